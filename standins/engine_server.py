"""Stand-in of a model engine: a target that also takes orders.

It loads models from the weight store, may check fencing numbers or ignore
them, tells of its prefix cache and exports and imports cache entries.
"""

import dataclasses
import secrets
import time

import klein
import msgspec
import treq
from twisted.internet import defer
from twisted.web import http

from standins import ledger
from standins import prefix_cache
from standins import target_server

__all__ = ['EngineServer', 'EngineServerSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class EngineServerSettings:
    """Settings of an engine, beside those of its target part.

    :param weight_store: address ``ip:port``, empty to load at once.
    :param checks_fencing: whether an order with an old number is refused.
    :param cache_entries: prefix blocks that the cache holds.
    :param cache_saving: share of the time that a cached prompt saves.
    :param cache_lag_s: time until a cache event is published.
    """

    target: target_server.TargetServerSettings
    weight_store: str = ''
    places: int = 1
    role: str = 'mixed'
    checks_fencing: bool = True
    cache_entries: int = 64
    cache_saving: float = 0.8
    cache_lag_s: float = 0.2
    cache_events_kept: int = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class _Model:
    name: str
    version: str = ''
    loading: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Wanted:
    role: str
    models: tuple[_Model, ...]
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    fencing: int
    issuer: str
    wanted: _Wanted


class _EngineTarget(target_server.TargetServer):
    """The target part, which tells of the models and prompts it runs."""

    def __init__(
        self,
        settings: EngineServerSettings,
        book: ledger.Ledger,
        cache: prefix_cache.PrefixCache,
    ) -> None:
        super().__init__(settings.target, book)
        self._cache = cache
        self._saving = settings.cache_saving
        self.demand_by_model: dict[str, int] = {}

    async def _with_slot(
        self, request, wanted, service_ms: float, then=None
    ) -> None:
        model = wanted.model
        demand = self.demand_by_model
        demand[model] = demand.get(model, 0) + 1
        try:
            await super()._with_slot(request, wanted, service_ms, then)
        finally:
            demand[model] -= 1

    def _work_ms(self, wanted, service_ms: float) -> float:
        prompt = str(wanted.input.get('prompt', ''))
        digests = prefix_cache.block_digests(wanted.model, prompt)
        if not digests:
            return service_ms
        share = self._cache.use(digests) / len(digests)
        return service_ms * (1 - self._saving * share)


class EngineServer:
    """A target with the control interface of an engine."""

    app = klein.Klein()

    def __init__(
        self, settings: EngineServerSettings, book: ledger.Ledger
    ) -> None:
        self._cache = prefix_cache.PrefixCache(
            settings.cache_entries, settings.cache_events_kept
        )
        self._target = _EngineTarget(settings, book, self._cache)
        self._book = book
        self._incarnation = secrets.token_hex(4)
        self._engine = settings
        self._role = settings.role
        self._models_by_name: dict[str, _Model] = {}
        self._adapters: tuple[str, ...] = ()
        self._fencing = -1

    @app.route('/v1/orders', methods=['POST'])
    def order(self, request) -> bytes:
        """Take the state that an order describes."""
        order = msgspec.json.decode(request.content.read(), type=_Order)
        stale = order.fencing < self._fencing
        accepted = not (stale and self._engine.checks_fencing)
        self._book.record(
            ledger.EventKind.ORDERED,
            outcome='accepted' if accepted else 'refused',
            detail=f'{order.issuer} {order.fencing}',
        )
        if not accepted:
            request.setResponseCode(http.CONFLICT)
            return msgspec.json.encode({'fencing': self._fencing})
        self._fencing = order.fencing
        self._role = order.wanted.role
        self._adapters = order.wanted.adapters
        self._replace_models(order.wanted.models)
        return msgspec.json.encode({'fencing': self._fencing})

    @app.route('/v1/engine')
    def report(self, request) -> bytes:
        """Report role, models, adapters, fencing number and demand."""
        return msgspec.json.encode(
            {
                'engine_id': self._engine.target.target_id,
                'incarnation': self._incarnation,
                'role': self._role,
                'places': self._engine.places,
                'models': list(self._models_by_name.values()),
                'adapters': self._adapters,
                'fencing': self._fencing,
                'demand_by_model': self._target.demand_by_model,
            }
        )

    @app.route('/v1/cache-events')
    def cache_events(self, request) -> bytes:
        """Return cache events from a sequence number on."""
        arguments = {
            name.decode(): values[0].decode()
            for name, values in request.args.items()
        }
        after = int(arguments.get('after', 0))
        if arguments.get('incarnation', '') not in ('', self._incarnation):
            after = 0
        most = int(arguments.get('max', 1_000))
        events = [
            event
            for event in self._cache.events_before(
                time.monotonic() - self._engine.cache_lag_s
            )
            if event.sequence > after
        ]
        return msgspec.json.encode(
            {'incarnation': self._incarnation, 'events': events[:most]}
        )

    @app.route('/v1/cache-stats')
    def cache_stats(self, request) -> bytes:
        """Return how many blocks were asked for and how many were held."""
        return msgspec.json.encode(
            {
                'asked': self._cache.asked_blocks,
                'hit': self._cache.hit_blocks,
            }
        )

    @app.route('/v1/kv/<string:digest>', methods=['GET'])
    def export_cache(self, request, digest: str) -> bytes:
        """Export a cache entry."""
        entry = self._cache.entries.get(digest)
        if entry is None:
            request.setResponseCode(http.NOT_FOUND)
            return b''
        return entry

    @app.route('/v1/kv/<string:digest>', methods=['POST'])
    def import_cache(self, request, digest: str) -> bytes:
        """Import a cache entry."""
        self._cache.store([digest], request.content.read())
        return b'{}'

    @app.route('/unload', methods=['POST'])
    def unload(self, request) -> bytes:
        """Drop every model, as an engine does that lost its memory."""
        self._models_by_name.clear()
        return b'{}'

    @app.route('/', branch=True)
    def target(self, request):
        """Serve everything else as a plain target."""
        return self._target.app.resource()

    def _replace_models(self, wanted: tuple[_Model, ...]) -> None:
        known = self._models_by_name
        self._models_by_name = {}
        for model in wanted:
            old = known.get(model.name)
            if old is not None and old.version == model.version:
                self._models_by_name[model.name] = old
                continue
            loading = dataclasses.replace(model, loading=True)
            self._models_by_name[model.name] = loading
            defer.Deferred.fromCoroutine(self._load(loading)).addErrback(
                self._load_failed, loading
            )

    async def _load(self, model: _Model) -> None:
        if self._engine.weight_store:
            response = await treq.post(
                f'http://{self._engine.weight_store}'
                f'/v1/weights/{model.name}/load'
            )
            await response.content()
        if self._models_by_name.get(model.name) is model:
            self._models_by_name[model.name] = dataclasses.replace(
                model, loading=False
            )

    def _load_failed(self, failure, model: _Model) -> None:
        if self._models_by_name.get(model.name) is model:
            del self._models_by_name[model.name]

"""Stand-in for a model engine: a target that also accepts orders.

It loads models from the weight store, checks or ignores fencing numbers,
publishes events of its prefix cache, and exports and imports cache entries.
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
    """Settings of an engine, in addition to those of its target.

    :param weight_store: address ``ip:port``; empty to load models at once.
    :param checks_fencing: whether an order with a fencing number below the
        last one is refused.
    :param cache_entries: capacity of the prefix cache in blocks.
    :param cache_saving: share of the service time that a fully cached
        prompt saves.
    :param cache_lag_s: delay until a cache event is published.
    :param cache_events_kept: cache events that are retained for readers.
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
class _DesiredState:
    role: str
    models: tuple[_Model, ...]
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    fencing: int
    issuer: str
    wanted: _DesiredState


class _EngineTarget(target_server.TargetServer):
    """Target server that counts demand by model and uses the prefix cache."""

    def __init__(
        self,
        settings: EngineServerSettings,
        event_ledger: ledger.Ledger,
        cache: prefix_cache.PrefixCache,
    ) -> None:
        super().__init__(settings.target, event_ledger)
        self._cache = cache
        self._cache_saving = settings.cache_saving
        self.demand_by_model: dict[str, int] = {}

    async def _run_in_slot(
        self, request, run_request, service_ms: float, write_stream=None
    ) -> None:
        model = run_request.model
        demand = self.demand_by_model
        demand[model] = demand.get(model, 0) + 1
        try:
            await super()._run_in_slot(
                request, run_request, service_ms, write_stream
            )
        finally:
            demand[model] -= 1

    def _work_ms(self, run_request, service_ms: float) -> float:
        prompt = str(run_request.input.get('prompt', ''))
        digests = prefix_cache.block_digests(run_request.model, prompt)
        if not digests:
            return service_ms
        cached_share = self._cache.match_and_store(digests) / len(digests)
        return service_ms * (1 - self._cache_saving * cached_share)


class EngineServer:
    """A target server with the control interface of an engine."""

    app = klein.Klein()

    def __init__(
        self, settings: EngineServerSettings, event_ledger: ledger.Ledger
    ) -> None:
        self._cache = prefix_cache.PrefixCache(
            settings.cache_entries, settings.cache_events_kept
        )
        self._target_server = _EngineTarget(
            settings, event_ledger, self._cache
        )
        self._ledger = event_ledger
        self._incarnation = secrets.token_hex(4)
        self._settings = settings
        self._role = settings.role
        self._models_by_name: dict[str, _Model] = {}
        self._adapters: tuple[str, ...] = ()
        self._fencing = -1

    @app.route('/v1/orders', methods=['POST'])
    def accept_order(self, request) -> bytes:
        """Apply the desired state of an order, unless it is fenced off."""
        order = msgspec.json.decode(request.content.read(), type=_Order)
        stale = order.fencing < self._fencing
        accepted = not (stale and self._settings.checks_fencing)
        self._ledger.record(
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
    def get_engine(self, request) -> bytes:
        """Return role, models, adapters, fencing number and demand."""
        return msgspec.json.encode(
            {
                'engine_id': self._settings.target.target_id,
                'incarnation': self._incarnation,
                'role': self._role,
                'places': self._settings.places,
                'models': list(self._models_by_name.values()),
                'adapters': self._adapters,
                'fencing': self._fencing,
                'demand_by_model': self._target_server.demand_by_model,
            }
        )

    @app.route('/v1/cache-events')
    def cache_events(self, request) -> bytes:
        """Return the cache events after a sequence number."""
        query = {
            name.decode(): values[0].decode()
            for name, values in request.args.items()
        }
        after = int(query.get('after', 0))
        if query.get('incarnation', '') not in ('', self._incarnation):
            after = 0
        limit = int(query.get('max', 1_000))
        events = [
            event
            for event in self._cache.events_before(
                time.monotonic() - self._settings.cache_lag_s
            )
            if event.sequence > after
        ]
        return msgspec.json.encode(
            {'incarnation': self._incarnation, 'events': events[:limit]}
        )

    @app.route('/v1/cache-stats')
    def cache_stats(self, request) -> bytes:
        """Return the counts of blocks that were requested and found."""
        return msgspec.json.encode(
            {
                'asked': self._cache.requested_blocks,
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
        """Drop all models, like an engine that lost its memory."""
        self._models_by_name.clear()
        return b'{}'

    @app.route('/', branch=True)
    def target_resource(self, request):
        """Delegate all other paths to the target server."""
        return self._target_server.app.resource()

    def _replace_models(self, desired_models: tuple[_Model, ...]) -> None:
        previous_models = self._models_by_name
        self._models_by_name = {}
        for model in desired_models:
            previous_model = previous_models.get(model.name)
            if (
                previous_model is not None
                and previous_model.version == model.version
            ):
                self._models_by_name[model.name] = previous_model
                continue
            loading = dataclasses.replace(model, loading=True)
            self._models_by_name[model.name] = loading
            defer.Deferred.fromCoroutine(self._load_model(loading)).addErrback(
                self._model_load_failed, loading
            )

    async def _load_model(self, model: _Model) -> None:
        if self._settings.weight_store:
            response = await treq.post(
                f'http://{self._settings.weight_store}'
                f'/v1/weights/{model.name}/load'
            )
            await response.content()
        if self._models_by_name.get(model.name) is model:
            self._models_by_name[model.name] = dataclasses.replace(
                model, loading=False
            )

    def _model_load_failed(self, failure, model: _Model) -> None:
        if self._models_by_name.get(model.name) is model:
            del self._models_by_name[model.name]

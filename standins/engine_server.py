"""Stand-in of a model engine: a target that also takes orders.

It loads models from the weight store, may check fencing numbers or ignore
them, tells of its prefix cache and exports and imports cache entries.
"""

from collections.abc import Mapping
import dataclasses
import hashlib
import secrets

import klein
import msgspec
import treq
from twisted.internet import defer
from twisted.web import http

from standins import ledger
from standins import target_server

__all__ = ['EngineServer', 'EngineServerSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class EngineServerSettings:
    """Settings of an engine, beside those of its target part.

    :param weight_store: address ``ip:port``, empty to load at once.
    :param checks_fencing: whether an order with an old number is refused.
    :param cache_entries: prefixes that the cache holds.
    """

    target: target_server.TargetServerSettings
    weight_store: str = ''
    places: int = 1
    role: str = 'mixed'
    checks_fencing: bool = True
    cache_entries: int = 64


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


@dataclasses.dataclass(frozen=True, slots=True)
class _CacheEvent:
    sequence: int
    kind: str
    digest: str


class _EngineTarget(target_server.TargetServer):
    """The target part, which tells of the models and prompts it runs."""

    def __init__(
        self, settings: EngineServerSettings, book: ledger.Ledger, on_prompt
    ) -> None:
        super().__init__(settings.target, book)
        self._on_prompt = on_prompt
        self.demand_by_model: dict[str, int] = {}

    async def _with_slot(
        self, request, wanted, service_ms: float, then=None
    ) -> None:
        model = wanted.model
        demand = self.demand_by_model
        demand[model] = demand.get(model, 0) + 1
        self._on_prompt(_digest(wanted.input))
        try:
            await super()._with_slot(request, wanted, service_ms, then)
        finally:
            demand[model] -= 1


class EngineServer:
    """A target with the control interface of an engine."""

    app = klein.Klein()

    def __init__(
        self, settings: EngineServerSettings, book: ledger.Ledger
    ) -> None:
        self._target = _EngineTarget(settings, book, self._store)
        self._book = book
        self._incarnation = secrets.token_hex(4)
        self._engine = settings
        self._role = settings.role
        self._models_by_name: dict[str, _Model] = {}
        self._adapters: tuple[str, ...] = ()
        self._fencing = -1
        self._cache: dict[str, bytes] = {}
        self._cache_events: list[_CacheEvent] = []

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
        after = int((request.args.get(b'after') or [b'0'])[0])
        events = [e for e in self._cache_events if e.sequence > after]
        return msgspec.json.encode({'events': events})

    @app.route('/v1/kv/<string:digest>', methods=['GET'])
    def export_cache(self, request, digest: str) -> bytes:
        """Export a cache entry."""
        entry = self._cache.get(digest)
        if entry is None:
            request.setResponseCode(http.NOT_FOUND)
            return b''
        return entry

    @app.route('/v1/kv/<string:digest>', methods=['POST'])
    def import_cache(self, request, digest: str) -> bytes:
        """Import a cache entry."""
        self._store(digest, request.content.read())
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

    def _store(self, digest: str, entry: bytes = b'kv') -> None:
        if digest in self._cache:
            return
        self._cache[digest] = entry
        self._add_cache_event('stored', digest)
        while len(self._cache) > self._engine.cache_entries:
            oldest = next(iter(self._cache))
            del self._cache[oldest]
            self._add_cache_event('evicted', oldest)

    def _add_cache_event(self, kind: str, digest: str) -> None:
        sequence = len(self._cache_events) + 1
        self._cache_events.append(_CacheEvent(sequence, kind, digest))


def _digest(data: Mapping) -> str:
    prompt = str(data.get('prompt', data.get('nonce', secrets.token_hex(8))))
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()

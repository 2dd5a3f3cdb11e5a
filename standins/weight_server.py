"""Stand-in for the weight store: lists and loads models at a limited rate."""

import dataclasses
import time

import klein
import msgspec
from twisted.internet import reactor
from twisted.internet import task

__all__ = ['StoredModel', 'WeightServer', 'WeightServerSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class StoredModel:
    """A model in the store."""

    name: str
    version: str = 'v1'
    bytes: int = 1_000_000
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WeightServerSettings:
    """Settings of the weight store."""

    port: int
    ip: str = '127.0.0.1'
    rate_bytes_per_s: float = 10_000_000
    models: tuple[StoredModel, ...] = (StoredModel('small'),)


class WeightServer:
    """Serves loads one after the other at a limited rate."""

    app = klein.Klein()

    def __init__(self, settings: WeightServerSettings) -> None:
        self._rate_bytes_per_s = settings.rate_bytes_per_s
        self._models_by_name = {model.name: model for model in settings.models}
        self._idle_at_s = 0.0
        self.loads = 0
        self.longest_wait_s = 0.0

    @app.route('/v1/weights')
    def get_weights(self, request) -> bytes:
        """Return the models and the rate limit."""
        return msgspec.json.encode(
            {
                'rate_bytes_per_s': self._rate_bytes_per_s,
                'models': list(self._models_by_name.values()),
            }
        )

    @app.route('/v1/weights/<string:name>/load', methods=['POST'])
    async def load(self, request, name: str) -> bytes:
        """Respond when the load of a model is complete."""
        model = self._models_by_name.get(name)
        if model is None:
            request.setResponseCode(404)
            return b'{}'
        now_s = time.monotonic()
        start_s = max(now_s, self._idle_at_s)
        self.loads += 1
        self.longest_wait_s = max(self.longest_wait_s, start_s - now_s)
        self._idle_at_s = start_s + model.bytes / self._rate_bytes_per_s
        await task.deferLater(reactor, self._idle_at_s - now_s)
        return msgspec.json.encode({'version': model.version})

    @app.route('/stats')
    def stats(self, request) -> bytes:
        """Return the number of loads and the longest wait for others."""
        return msgspec.json.encode(
            {'loads': self.loads, 'longest_wait_s': self.longest_wait_s}
        )

"""Stand-in of the weight store: a list and loads at a limited rate."""

import dataclasses
import time

import klein
import msgspec
from twisted.internet import reactor
from twisted.internet import task

__all__ = ['StoredModel', 'WeightServer', 'WeightServerSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class StoredModel:
    """A model of the store."""

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
    """Serves one load after the other at its rate."""

    app = klein.Klein()

    def __init__(self, settings: WeightServerSettings) -> None:
        self._rate = settings.rate_bytes_per_s
        self._models_by_name = {item.name: item for item in settings.models}
        self._free_at = 0.0
        self.loads = 0
        self.longest_wait_s = 0.0

    @app.route('/v1/weights')
    def listed(self, request) -> bytes:
        """Return the models and the rate limit."""
        return msgspec.json.encode(
            {
                'rate_bytes_per_s': self._rate,
                'models': list(self._models_by_name.values()),
            }
        )

    @app.route('/v1/weights/<string:name>/load', methods=['POST'])
    async def load(self, request, name: str) -> bytes:
        """Answer after the time that the load takes."""
        model = self._models_by_name.get(name)
        if model is None:
            request.setResponseCode(404)
            return b'{}'
        now = time.monotonic()
        start = max(now, self._free_at)
        self.loads += 1
        self.longest_wait_s = max(self.longest_wait_s, start - now)
        self._free_at = start + model.bytes / self._rate
        await task.deferLater(reactor, self._free_at - now)
        return msgspec.json.encode({'version': model.version})

    @app.route('/stats')
    def stats(self, request) -> bytes:
        """Return the loads and the longest wait behind other loads."""
        return msgspec.json.encode(
            {'loads': self.loads, 'longest_wait_s': self.longest_wait_s}
        )

"""HTTP endpoints for the load balancer, Prometheus and operators."""

from collections.abc import Callable

import msgspec

from walnutport.gateway.operations import metrics
from walnutport.http1 import server
from walnutport.platform import wire

__all__ = ['OperatorSite']


class OperatorSite:
    """Serves readiness, metrics and status.

    :param is_ready: returns whether the load balancer should send connections.
    :param status: returns the status of this host.
    :param gauges: returns the gauges by name.
    :param totals: returns the counters by name.
    """

    def __init__(
        self,
        entry_metrics: metrics.EntryMetrics,
        is_ready: Callable[[], bool],
        status: Callable[[], dict],
        gauges: Callable[[], dict[str, float]],
        totals: Callable[[], dict[str, float]],
    ) -> None:
        self._metrics = entry_metrics
        self._is_ready = is_ready
        self._status = status
        self._gauges = gauges
        self._totals = totals

    def handle(self, request: server.ServerRequest) -> None:
        """Respond to one request."""
        path = request.target.split(b'?', 1)[0]
        if path == wire.READINESS_PATH:
            request.respond(200 if self._is_ready() else 503, [], b'')
        elif path == b'/metrics':
            self._metrics.gauges = self._gauges()
            self._metrics.totals = self._totals()
            request.respond(
                200,
                [(b'content-type', b'text/plain; version=0.0.4')],
                self._metrics.render(),
            )
        elif path == b'/v1/status':
            request.respond(
                200,
                [(b'content-type', b'application/json')],
                msgspec.json.encode(self._status()),
            )
        else:
            request.respond(404, [], b'')

"""HTTP interface for operators: metrics, status and report of one host."""

from collections.abc import Callable
from collections.abc import Mapping

import klein
import msgspec

from walnutport.cost import ledger
from walnutport.metrics import exposition
from walnutport.metrics import histograms

__all__ = ['OperatorApi']


class OperatorApi:
    """Read-only views of a host, served on a separate listener.

    :param status: returns the status of the host as plain JSON values.
    """

    app = klein.Klein()

    def __init__(
        self,
        collector: exposition.HostCollector,
        latencies: histograms.LatencyHistograms,
        cost: ledger.CostLedger,
        status: Callable[[], Mapping[str, object]],
    ) -> None:
        self._collector = collector
        self._latencies = latencies
        self._cost = cost
        self._status = status

    @app.route('/metrics')
    def metrics(self, request) -> bytes:
        """Return the metrics in the Prometheus text format."""
        request.setHeader('content-type', 'text/plain; version=0.0.4')
        return exposition.render(self._collector)

    @app.route('/v1/status')
    def status(self, request) -> bytes:
        """Return the status of this host and its view of the fleet."""
        request.setHeader('content-type', 'application/json')
        return msgspec.json.encode(self._status())

    @app.route('/v1/report')
    def report(self, request) -> bytes:
        """Return histograms and cost in a form that can be merged."""
        request.setHeader('content-type', 'application/json')
        return msgspec.json.encode(
            {
                'histograms': [
                    {
                        'member': key.member_id,
                        'class': key.class_id,
                        'encoded': text,
                    }
                    for key, text in self._latencies.encoded_by_key().items()
                ],
                'cost': [
                    {
                        'owner': key.owner,
                        'member': key.member_id,
                        'entry': key.entry_id,
                        'stage': key.stage,
                        'attempts': line.attempts,
                        'failed': line.failed,
                        'target_us': line.target_us,
                        'tokens': line.tokens,
                    }
                    for key, line in sorted(
                        self._cost.sums_since_start.lines_by_key.items()
                    )
                ],
            }
        )

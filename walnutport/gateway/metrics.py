"""Counters and latency histograms of an entry host."""

import bisect
import collections

from walnutport.gateway import calls

__all__ = ['EntryMetrics']

# Upper bounds of the latency buckets in seconds.
BUCKETS_S = (0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 4.0, 8.0, 16.0)


#: Route, team and service of a request.
_Key = tuple[str, str, str]


class EntryMetrics:
    """Collects figures and renders them in Prometheus' text format.

    Names of gauges and totals may carry labels, as in ``left{service="a"}``.
    """

    def __init__(self) -> None:
        self._started: collections.Counter = collections.Counter()
        self._outcomes: collections.Counter = collections.Counter()
        self._rejected: collections.Counter = collections.Counter()
        self._requests = _Histogram(
            'walnutport_request_seconds', 'Time to the end of the answer.'
        )
        self._first_events = _Histogram(
            'walnutport_first_event_seconds',
            'Time to the first event of a stream.',
        )
        self._stages = _Histogram(
            'walnutport_stages_seconds',
            'Time of the stages of a request, its waits included.',
        )
        self.gauges: dict[str, float] = {}
        self.totals: dict[str, float] = {}

    def started(self, call: calls.CallerCall) -> None:
        """Count a request that has a route and a team."""
        self._started[_key(call)] += 1

    def rejected(self, reason: str) -> None:
        """Count a request without a route or a team."""
        self._rejected[reason] += 1

    def first_event(self, call: calls.CallerCall, now: float) -> None:
        """Count the first event of a stream."""
        self._first_events.observe(_key(call), now - call.arrived_at)

    def finished(self, call: calls.CallerCall, took_s: float) -> None:
        """Count the end of a request."""
        key = _key(call)
        self._outcomes[(key, call.outcome)] += 1
        self._requests.observe(key, took_s)
        if call.stages_s:
            self._stages.observe(key, call.stages_s)

    def render(self) -> bytes:
        """Return all figures as text."""
        lines: list[str] = []
        _counter(
            lines,
            'walnutport_requests_total',
            'Requests of callers with a route and a team.',
            {_labels(key): value for key, value in self._started.items()},
        )
        _counter(
            lines,
            'walnutport_outcomes_total',
            'Ends of requests by outcome.',
            {
                f'{_labels(key)},outcome="{outcome}"': value
                for (key, outcome), value in self._outcomes.items()
            },
        )
        _counter(
            lines,
            'walnutport_rejected_total',
            'Requests without a route or a team.',
            {
                f'reason="{reason}"': value
                for reason, value in self._rejected.items()
            },
        )
        for histogram in (self._requests, self._first_events, self._stages):
            histogram.render(lines)
        _values(lines, 'counter', self.totals)
        _values(lines, 'gauge', self.gauges)
        return ('\n'.join(lines) + '\n').encode()


class _Histogram:
    """Latencies by route, team and service."""

    def __init__(self, name: str, text: str) -> None:
        self._name = name
        self._text = text
        self._counts: dict[_Key, list[int]] = {}
        self._sums: dict[_Key, float] = collections.defaultdict(float)

    def observe(self, key: _Key, took_s: float) -> None:
        counts = self._counts.setdefault(key, [0] * (len(BUCKETS_S) + 1))
        counts[bisect.bisect_left(BUCKETS_S, took_s)] += 1
        self._sums[key] += took_s

    def render(self, lines: list[str]) -> None:
        name = self._name
        lines.append(f'# HELP {name} {self._text}')
        lines.append(f'# TYPE {name} histogram')
        for key, counts in sorted(self._counts.items()):
            labels = _labels(key)
            total = 0
            for bound, count in zip((*BUCKETS_S, '+Inf'), counts):
                total += count
                lines.append(f'{name}_bucket{{{labels},le="{bound}"}} {total}')
            lines.append(f'{name}_sum{{{labels}}} {self._sums[key]:g}')
            lines.append(f'{name}_count{{{labels}}} {total}')


def _key(call: calls.CallerCall) -> _Key:
    return call.route.name, call.team or '', call.service


def _labels(key: _Key) -> str:
    return f'route="{key[0]}",team="{key[1]}",service="{key[2]}"'


def _counter(
    lines: list[str], name: str, text: str, value_by_labels: dict[str, float]
) -> None:
    lines.append(f'# HELP {name} {text}')
    lines.append(f'# TYPE {name} counter')
    for labels, value in sorted(value_by_labels.items()):
        lines.append(f'{name}{{{labels}}} {value:g}')


def _values(
    lines: list[str], kind: str, value_by_name: dict[str, float]
) -> None:
    described = ''
    for name, value in sorted(value_by_name.items()):
        family = 'walnutport_' + name.partition('{')[0]
        if family != described:
            lines.append(f'# TYPE {family} {kind}')
            described = family
        lines.append(f'walnutport_{name} {value:g}')

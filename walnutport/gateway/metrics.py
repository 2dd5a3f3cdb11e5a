"""Counters and latency histograms of an entry host."""

import collections

from walnutport.gateway import calls

__all__ = ['EntryMetrics']

# Upper bounds of the latency buckets in seconds.
BUCKETS_S = (0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 4.0, 8.0, 16.0)


class EntryMetrics:
    """Collects figures and renders them in Prometheus' text format."""

    def __init__(self) -> None:
        self._started: collections.Counter = collections.Counter()
        self._outcomes: collections.Counter = collections.Counter()
        self._rejected: collections.Counter = collections.Counter()
        self._latencies: dict[tuple[str, str], list[int]] = {}
        self._latency_sums: dict[tuple[str, str], float] = (
            collections.defaultdict(float)
        )
        self._first_events: dict[tuple[str, str], list[int]] = {}
        self._first_sums: dict[tuple[str, str], float] = (
            collections.defaultdict(float)
        )
        self.gauges: dict[str, float] = {}

    def started(self, call: calls.CallerCall) -> None:
        """Count a request that has a route and a team."""
        self._started[_labels(call)] += 1

    def rejected(self, reason: str) -> None:
        """Count a request without a route or a team."""
        self._rejected[reason] += 1

    def first_event(self, call: calls.CallerCall, now: float) -> None:
        """Count the first event of a stream."""
        key = _labels(call)
        took_s = now - call.arrived_at
        _count(self._first_events, key, took_s)
        self._first_sums[key] += took_s

    def finished(self, call: calls.CallerCall, took_s: float) -> None:
        """Count the end of a request."""
        key = _labels(call)
        self._outcomes[(*key, call.outcome)] += 1
        _count(self._latencies, key, took_s)
        self._latency_sums[key] += took_s

    def render(self) -> bytes:
        """Return all figures as text."""
        lines: list[str] = []
        _counter(
            lines,
            'walnutport_requests_total',
            'Requests of callers with a route and a team.',
            {
                f'route="{route}",team="{team}"': value
                for (route, team), value in self._started.items()
            },
        )
        _counter(
            lines,
            'walnutport_outcomes_total',
            'Ends of requests by outcome.',
            {
                f'route="{route}",team="{team}",outcome="{outcome}"': value
                for (route, team, outcome), value in self._outcomes.items()
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
        _histogram(
            lines,
            'walnutport_request_seconds',
            'Time to the end of the answer.',
            self._latencies,
            self._latency_sums,
        )
        _histogram(
            lines,
            'walnutport_first_event_seconds',
            'Time to the first event of a stream.',
            self._first_events,
            self._first_sums,
        )
        for name, value in sorted(self.gauges.items()):
            lines.append(f'# TYPE walnutport_{name} gauge')
            lines.append(f'walnutport_{name} {value:g}')
        return ('\n'.join(lines) + '\n').encode()


def _labels(call: calls.CallerCall) -> tuple[str, str]:
    return call.route.name, call.team or ''


def _count(
    histograms: dict[tuple[str, str], list[int]],
    key: tuple[str, str],
    took_s: float,
) -> None:
    counts = histograms.setdefault(key, [0] * (len(BUCKETS_S) + 1))
    for number, bound in enumerate(BUCKETS_S):
        if took_s <= bound:
            counts[number] += 1
            return
    counts[-1] += 1


def _counter(
    lines: list[str], name: str, text: str, value_by_labels: dict[str, float]
) -> None:
    lines.append(f'# HELP {name} {text}')
    lines.append(f'# TYPE {name} counter')
    for labels, value in sorted(value_by_labels.items()):
        lines.append(f'{name}{{{labels}}} {value:g}')


def _histogram(
    lines: list[str],
    name: str,
    text: str,
    histograms: dict[tuple[str, str], list[int]],
    sums: dict[tuple[str, str], float],
) -> None:
    lines.append(f'# HELP {name} {text}')
    lines.append(f'# TYPE {name} histogram')
    for key, counts in sorted(histograms.items()):
        labels = f'route="{key[0]}",team="{key[1]}"'
        total = 0
        for bound, count in zip((*BUCKETS_S, '+Inf'), counts):
            total += count
            lines.append(f'{name}_bucket{{{labels},le="{bound}"}} {total}')
        lines.append(f'{name}_sum{{{labels}}} {sums[key]:g}')
        lines.append(f'{name}_count{{{labels}}} {total}')

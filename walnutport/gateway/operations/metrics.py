"""Counters and latency histograms of an entry host."""

import bisect
import collections

from walnutport.gateway.entry import calls

__all__ = ['EntryMetrics', 'format_labels']

# Upper bounds of the latency buckets.
BUCKET_BOUNDS_S = (0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 4.0, 8.0, 16.0)

_LABEL_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})

#: Route, team and service of a request.
_RequestKey = tuple[str, str, str]


class EntryMetrics:
    """Collects metrics and renders them in Prometheus' text format.

    :ivar gauges: values by name; a name may include labels, as in
        ``left{service="a"}``.
    :ivar totals: values of counters, named in the same way.
    """

    def __init__(self) -> None:
        self._started: collections.Counter = collections.Counter()
        self._outcomes: collections.Counter = collections.Counter()
        self._streams: collections.Counter = collections.Counter()
        self._rejected: collections.Counter = collections.Counter()
        self._stop_checks: collections.Counter = collections.Counter()
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
        """Count a request that was matched to a route and a team."""
        self._started[_request_key(call)] += 1

    def rejected(self, reason: str) -> None:
        """Count a request that matched no route or no team."""
        self._rejected[reason] += 1

    def stop_checked(self, place: str, fits: bool) -> None:
        """Count a decision whether a request will end before the host."""
        self._stop_checks[(place, fits)] += 1

    def first_event(self, call: calls.CallerCall, now: float) -> None:
        """Record the time to the first event of a stream."""
        self._first_events.observe(_request_key(call), now - call.arrived_at)

    def finished(self, call: calls.CallerCall, duration_s: float) -> None:
        """Record the outcome and the duration of a request."""
        key = _request_key(call)
        self._outcomes[(key, call.outcome)] += 1
        if call.is_stream:
            self._streams[_stream_labels(call)] += 1
        self._requests.observe(key, duration_s)
        if call.stages_s:
            self._stages.observe(key, call.stages_s)

    def render(self) -> bytes:
        """Return all metrics as text."""
        lines: list[str] = []
        _render_counter(
            lines,
            'walnutport_requests_total',
            'Requests of callers with a route and a team.',
            {
                _format_labels(key): value
                for key, value in self._started.items()
            },
        )
        _render_counter(
            lines,
            'walnutport_outcomes_total',
            'Ends of requests by outcome.',
            {
                f'{_format_labels(key)},outcome="{outcome}"': value
                for (key, outcome), value in self._outcomes.items()
            },
        )
        _render_counter(
            lines,
            'walnutport_streams_total',
            'Ends of streams, apart for those that their callers took up.',
            dict(self._streams),
        )
        _render_counter(
            lines,
            'walnutport_rejected_total',
            'Requests without a route or a team.',
            {
                f'reason="{reason}"': value
                for reason, value in self._rejected.items()
            },
        )
        _render_counter(
            lines,
            'walnutport_stop_checks_total',
            'Decisions of a stopping host whether a request ends before it.',
            {
                f'place="{place}",fits="{str(fits).lower()}"': value
                for (place, fits), value in self._stop_checks.items()
            },
        )
        for histogram in (self._requests, self._first_events, self._stages):
            histogram.render(lines)
        _render_values(lines, 'counter', self.totals)
        _render_values(lines, 'gauge', self.gauges)
        return ('\n'.join(lines) + '\n').encode()


class _Histogram:
    """Histogram of durations by route, team and service."""

    def __init__(self, name: str, help_text: str) -> None:
        self._name = name
        self._help_text = help_text
        self._counts: dict[_RequestKey, list[int]] = {}
        self._sums: dict[_RequestKey, float] = collections.defaultdict(float)

    def observe(self, key: _RequestKey, duration_s: float) -> None:
        counts = self._counts.setdefault(key, [0] * (len(BUCKET_BOUNDS_S) + 1))
        counts[bisect.bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        self._sums[key] += duration_s

    def render(self, lines: list[str]) -> None:
        name = self._name
        lines.append(f'# HELP {name} {self._help_text}')
        lines.append(f'# TYPE {name} histogram')
        for key, counts in sorted(self._counts.items()):
            labels = _format_labels(key)
            total = 0
            for bound, count in zip((*BUCKET_BOUNDS_S, '+Inf'), counts):
                total += count
                lines.append(f'{name}_bucket{{{labels},le="{bound}"}} {total}')
            lines.append(f'{name}_sum{{{labels}}} {self._sums[key]:g}')
            lines.append(f'{name}_count{{{labels}}} {total}')


def _request_key(call: calls.CallerCall) -> _RequestKey:
    return call.route.name, call.team or '', call.service


def _stream_labels(call: calls.CallerCall) -> str:
    if call.outcome == 'streamed':
        result = 'streamed'
    elif call.first_event_at:
        result = 'broken'
    else:
        result = 'refused' if call.status == 503 else 'failed'
    continues = 'true' if call.continues else 'false'
    return format_labels(
        route=call.route.name, continues=continues, result=result
    )


def format_labels(**value_by_label: str) -> str:
    """Return labels as Prometheus' text format has them.

    Names of services and data centres come from other writers.
    """
    return ','.join(
        f'{label}="{value.translate(_LABEL_ESCAPES)}"'
        for label, value in value_by_label.items()
    )


def _format_labels(key: _RequestKey) -> str:
    return format_labels(route=key[0], team=key[1], service=key[2])


def _render_counter(
    lines: list[str],
    name: str,
    help_text: str,
    value_by_labels: dict[str, float],
) -> None:
    lines.append(f'# HELP {name} {help_text}')
    lines.append(f'# TYPE {name} counter')
    for labels, value in sorted(value_by_labels.items()):
        lines.append(f'{name}{{{labels}}} {value:g}')


def _render_values(
    lines: list[str], kind: str, value_by_name: dict[str, float]
) -> None:
    family_with_type = ''
    for name, value in sorted(value_by_name.items()):
        family = 'walnutport_' + name.partition('{')[0]
        if family != family_with_type:
            lines.append(f'# TYPE {family} {kind}')
            family_with_type = family
        lines.append(f'walnutport_{name} {value:g}')

"""Definitions of the metrics of a host: name, kind, labels and help text.

A name in this table is stable: dashboards and alerts refer to it. The page
``docs/OPERATIONS.md`` shows the same table.
"""

import dataclasses
import enum
import hashlib

__all__ = ['Kind', 'FAMILIES', 'Family', 'Sample', 'bounded_label']

_MAX_LABEL_CHARS = 64
_DIGEST_CHARS = 8


class Kind(enum.StrEnum):
    """Kinds of metrics in the Prometheus text format."""

    GAUGE = 'gauge'
    COUNTER = 'counter'
    HISTOGRAM = 'histogram'


@dataclasses.dataclass(frozen=True, slots=True)
class Family:
    """Definition of a metric family.

    :param name: without the prefix ``walnutport_`` and the suffix ``_total``
        that the text format adds to counters.
    """

    name: str
    kind: Kind
    help_text: str
    labels: tuple[str, ...] = ()

    @property
    def exposed_name(self) -> str:
        """Return the name under which Prometheus exposes the family.

        >>> Family('sent', Kind.COUNTER, 'messages sent').exposed_name
        'walnutport_sent_total'
        """
        suffix = '_total' if self.kind is Kind.COUNTER else ''
        return f'walnutport_{self.name}{suffix}'


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Value of a family with its label values."""

    name: str
    value: float
    labels: tuple[str, ...] = ()


def bounded_label(text: str) -> str:
    """Return a label value of at most 64 characters.

    A longer value is truncated and ends in a digest, so that two long values
    with the same start remain distinct.

    >>> bounded_label('north')
    'north'
    >>> len(bounded_label('n' * 1000))
    64
    """
    if len(text) <= _MAX_LABEL_CHARS:
        return text
    digest = hashlib.sha256(text.encode(errors='replace')).hexdigest()
    prefix_chars = _MAX_LABEL_CHARS - _DIGEST_CHARS - 1
    return f'{text[:prefix_chars]}~{digest[:_DIGEST_CHARS]}'


def _gauge(name: str, help_text: str, *labels: str) -> Family:
    return Family(name, Kind.GAUGE, help_text, labels)


def _counter(name: str, help_text: str, *labels: str) -> Family:
    return Family(name, Kind.COUNTER, help_text, labels)


_COST_LABELS = ('owner', 'member', 'entry', 'stage')
_REQUESTS = (
    Family(
        'request_latency_seconds',
        Kind.HISTOGRAM,
        'time from acceptance to a complete answer',
        ('member', 'class'),
    ),
    _counter(
        'answers',
        'answers by outcome and reason',
        'member',
        'class',
        'outcome',
        'reason',
    ),
    _counter('attempts', 'attempts on targets', *_COST_LABELS),
    _counter('failed_attempts', 'attempts without a result', *_COST_LABELS),
    _counter('target_seconds', 'time on targets', *_COST_LABELS),
    _counter('tokens', 'tokens that targets generated', *_COST_LABELS),
)
_HOST = (
    _gauge('ready', '1 if the host takes new calls'),
    _gauge('calls_in_flight', 'calls that are not answered yet'),
    _gauge('live_hosts', 'hosts heard lately, this one included'),
    _gauge('catalogue_offset', 'log offset up to which edits are in force'),
    _gauge('caller_connections', 'open connections of callers'),
    _counter('refused_connections', 'connections over max_connections'),
    _counter(
        'calls_stopped',
        'calls that end without a result as the host stops before they can '
        'end',
    ),
)
_ADMISSION = (
    _gauge('queue_capacity', 'units that this host may use', 'queue'),
    _gauge('queue_in_use', 'units that granted requests hold', 'queue'),
    _gauge('queue_waiting', 'units that waiting requests ask for', 'queue'),
    _gauge('queued_requests', 'requests that wait for admission'),
)
_TARGETS = (
    _gauge('targets', 'targets by pool and health', 'service', 'health'),
    _gauge(
        'target_attempts_in_flight', 'open attempts of this host', 'service'
    ),
    _counter('target_ejections', 'ejections by pool', 'service'),
    _counter('prefix_index_gaps', 'prefix indexes dropped after a gap'),
    _counter('target_confirm_polls', 'silent targets asked before work'),
    _counter('target_confirm_polls_failed', 'of these, without an answer'),
    _counter('cache_polls', 'reads of cache events of engines'),
    _counter('cache_bytes', 'bytes of cache events read'),
    _counter('hedges_started', 'hedges started'),
    _counter('hedges_won', 'hedges that ended before the first attempt'),
    _counter('hedges_cancelled', 'attempts cancelled as another one won'),
    _counter('hedges_late_dropped', 'results that came after the first'),
    _counter('stream_attempts', 'attempts to stream from an engine'),
    _counter('stream_attempts_resumed', 'streams resumed on an engine'),
    _counter('stream_events', 'events passed on to callers'),
    _counter('stream_events_abandoned', 'events of attempts that were over'),
    _counter('stream_events_repeated', 'events that the caller had already'),
)
_SUSPECTS = (
    _counter('target_deaths', 'deaths of targets that this host saw'),
    _counter('verdicts_dropped', 'verdicts that found no room or no log'),
    _counter('permit_late_replies', 'permits granted after the wait for them'),
    _gauge('suspects', 'contents that may crash targets', 'standing'),
)
_LOG = (
    _gauge('log_available', '1 if the last read of the log succeeded'),
    _gauge('log_last_read_seconds', 'age of the last read; -1 before it'),
    _counter('log_read_failures', 'failed reads of the log'),
    _counter('log_appends', 'records sent to the log by the shared writer'),
    _counter('log_append_failures', 'appends without a confirmed effect'),
    _gauge('log_appends_queued', 'records that wait for the append rate'),
    _gauge('claims_unsettled', 'claims that are pending or in release'),
    _counter('claims', 'results of claims on idempotency keys', 'result'),
    _counter('cost_batches_appended', 'batches of cost in the log'),
    _counter('cost_appends_failed', 'appends of cost batches that failed'),
    _counter('snapshots_written', 'catalogue snapshots written to the log'),
    _counter('catalogue_states_taken', 'catalogues taken from a peer'),
    _gauge('orders_lease_held', '1 if this host gives orders to engines'),
    _counter('orders_sent', 'orders sent to engines'),
    _counter('orders_refused', 'orders that engines refused'),
    _counter('order_lease_changes', 'changes of the holder of the lease'),
)
_PEERS = (
    _counter('peer_received', 'messages received'),
    _counter('peer_received_bytes', 'bytes received'),
    _counter('peer_sent', 'messages sent'),
    _counter('peer_sent_bytes', 'bytes sent'),
    _counter('peer_dropped_malformed', 'messages that do not decode'),
    _counter(
        'peer_dropped_unauthenticated', 'messages under no valid peer key'
    ),
    _counter('peer_dropped_repeated', 'messages received before'),
    _counter('peer_dropped_old_incarnation', 'messages of a former process'),
    _counter('peer_dropped_own', 'messages under the id of this host'),
    _counter('peer_send_unknown_host', 'messages to hosts without an address'),
    _counter('peer_send_queue_full', 'messages dropped, peer too slow'),
    _counter('peer_send_failed', 'messages that could not be sent'),
    _counter('peer_send_refused', 'messages over the size bound'),
    _counter('peer_handler_errors', 'messages whose handling failed'),
)

FAMILIES = (
    *_REQUESTS,
    *_HOST,
    *_ADMISSION,
    *_TARGETS,
    *_SUSPECTS,
    *_LOG,
    *_PEERS,
)

"""Lease on the right to give orders, decided by the ``orders`` stream.

A record takes effect only if it names the offset of the record that took
effect before it, so of two concurrent records the first in log order wins on
every host. The offset of the effective record is also the fencing number,
which increases with each acquisition and renewal. No clock of another host is
used: each host measures the time without a record on its own clock.
"""

import dataclasses
import enum
import random

import msgspec

from walnutport import exceptions
from walnutport import interfaces

__all__ = [
    'LeaseFold',
    'LeaseManager',
    'LeaseRecord',
    'LeaseState',
    'ORDERS_STREAM',
    'RecordKind',
    'decode_record',
    'encode_record',
]

ORDERS_STREAM = 'orders'
_NO_OFFSET = -1
_RENEW_FRACTION = 1 / 3
_MAX_JITTER_FRACTION = 0.2


class RecordKind(enum.StrEnum):
    """Kind of a lease record."""

    ACQUIRE = 'acquire'
    RENEW = 'renew'


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A record of the ``orders`` stream.

    :param group: lease that the record belongs to.
    :param expected: offset of the record that took effect last, -1 if none.
    """

    kind: RecordKind
    group: str
    host_id: str
    incarnation: int
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseState:
    """Holder of a lease and its fencing number, -1 if there is none."""

    host_id: str = ''
    incarnation: int = 0
    fencing: int = _NO_OFFSET


def encode_record(record: LeaseRecord) -> bytes:
    """Return the payload of a log record."""
    return msgspec.json.encode(record)


def decode_record(payload: bytes) -> LeaseRecord:
    """Return the lease record in a payload.

    :raises CodecError: if the payload is not a lease record.
    """
    try:
        return msgspec.json.decode(payload, type=LeaseRecord)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.CodecError(
            f'malformed lease record: {error}'
        ) from None


class LeaseFold:
    """State of one lease after the records read so far.

    If older records have expired, the last effective one among them is
    unknown. It is the highest expired offset that any record names, as every
    record names one that took effect.

    >>> fold = LeaseFold('all')
    >>> record = LeaseRecord(RecordKind.ACQUIRE, 'all', 'a', 1, -1)
    >>> fold.apply(7, record), fold.apply(8, record), fold.state.fencing
    (True, False, 7)
    """

    def __init__(self, group: str) -> None:
        self.group = group
        self.state = LeaseState()
        self.next_offset = 0
        self._expired_before = 0
        self._predecessor = _NO_OFFSET

    def expire_before(self, offset: int) -> None:
        """Record that unread records below an offset have expired."""
        if offset > self.next_offset:
            self.next_offset = offset
            self._expired_before = offset
            self._predecessor = self.state.fencing

    def apply(self, offset: int, record: LeaseRecord) -> bool:
        """Apply the record at an offset and return whether it took effect."""
        self.next_offset = max(self.next_offset, offset + 1)
        if record.group != self.group or not self._follows_state(record):
            return False
        if record.kind is RecordKind.RENEW and self._is_by_other_host(record):
            return False
        if record.expected < self._expired_before:
            self._predecessor = record.expected
        self.state = LeaseState(record.host_id, record.incarnation, offset)
        return True

    def _follows_state(self, record: LeaseRecord) -> bool:
        if record.expected == self.state.fencing:
            return True
        return self._predecessor < record.expected < self._expired_before

    def _is_by_other_host(self, record: LeaseRecord) -> bool:
        """Return whether a renewal is by another process than the holder."""
        if record.expected != self.state.fencing:
            return False
        state = self.state
        return (record.host_id, record.incarnation) != (
            state.host_id,
            state.incarnation,
        )


class LeaseManager:
    """Acquires and renews the lease for one host.

    :param group: lease to acquire.
    :param lease_s: time without an effective record after which another
        host may take over.
    :param rng: random source that spreads the takeover attempts of the hosts.
    """

    stream = ORDERS_STREAM

    def __init__(
        self,
        group: str,
        host_id: str,
        incarnation: int,
        lease_s: float,
        rng: random.Random,
    ) -> None:
        self.fold = LeaseFold(group)
        self._host_id = host_id
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._rng = rng
        self._effective_at = float('-inf')
        self._read_to_end_at = float('-inf')
        self._appended_at: float | None = None
        self._takeover_delay_s = 0.0
        self._draw_takeover_delay()

    def start_offset(self) -> int:
        """Return the offset to read from next."""
        return self.fold.next_offset

    def apply(self, page: interfaces.StreamPage, now: float) -> None:
        """Apply a page whose read started an unknown time ago."""
        self._apply_records(page, now)

    def page_read(
        self, page: interfaces.StreamPage, started_at: float, now: float
    ) -> None:
        """Apply a page, and record if the stream was read to its end.

        :param started_at: time at which the read was started. The page counts
            as read at that time, as the host may be paused during a read.
        """
        self._apply_records(page, now)
        if self.fold.next_offset >= page.end_offset:
            self._read_to_end_at = max(self._read_to_end_at, started_at)
            if (
                self._appended_at is not None
                and started_at >= self._appended_at
            ):
                self._appended_at = None

    @property
    def is_holder(self) -> bool:
        """Whether this host holds the lease, as of the records read."""
        state = self.fold.state
        return (state.host_id, state.incarnation) == (
            self._host_id,
            self._incarnation,
        )

    def fencing(self, now: float) -> int | None:
        """Return the fencing number for an order to be sent now, or None.

        A number is returned only if this host holds the lease, has recently
        read the stream to its end and has recently renewed the lease.
        """
        has_recent_read = (
            now - self._read_to_end_at <= self._lease_s * _RENEW_FRACTION
        )
        if not self.is_holder or not has_recent_read or self._is_lapsed(now):
            return None
        return self.fold.state.fencing

    def needs_read(self, now: float) -> bool:
        """Return whether the stream is to be read to its end now.

        A host that does not hold the lease follows the long poll of the log
        reader, until it may take over because no record has taken effect.
        """
        return (
            self.is_holder
            or self._appended_at is not None
            or now - self._effective_at >= self._takeover_delay_s
        )

    def next_record(self, now: float) -> LeaseRecord | None:
        """Return the record to append now, or None.

        After an append there is none until the stream has been read to its
        end, which shows whether the appended record took effect.
        """
        if self._appended_at is not None:
            return None
        if self._read_to_end_at == float('-inf'):
            return None
        if self.is_holder:
            if now - self._effective_at < self._lease_s * _RENEW_FRACTION:
                return None
            return self._new_record(RecordKind.RENEW)
        # Only the time up to the last read counts: a record that has not been
        # read yet may have taken effect since.
        if (
            min(now, self._read_to_end_at) - self._effective_at
            < self._takeover_delay_s
        ):
            return None
        return self._new_record(RecordKind.ACQUIRE)

    def append_finished(self, now: float) -> None:
        """Record the end of an append, whatever its outcome."""
        self._appended_at = now
        self._draw_takeover_delay()

    def _apply_records(self, page: interfaces.StreamPage, now: float) -> None:
        if page.first_offset > self.fold.next_offset:
            self.fold.expire_before(page.first_offset)
        for record in page.records:
            if record.offset < self.fold.next_offset:
                continue
            try:
                lease_record = decode_record(record.payload)
            except exceptions.CodecError:
                self.fold.next_offset = record.offset + 1
                continue
            if self.fold.apply(record.offset, lease_record):
                self._effective_at = now

    def _is_lapsed(self, now: float) -> bool:
        return now - self._effective_at >= self._lease_s

    def _draw_takeover_delay(self) -> None:
        jitter = 1 + _MAX_JITTER_FRACTION * self._rng.random()
        self._takeover_delay_s = self._lease_s * jitter

    def _new_record(self, kind: RecordKind) -> LeaseRecord:
        return LeaseRecord(
            kind,
            self.fold.group,
            self._host_id,
            self._incarnation,
            self.fold.state.fencing,
        )

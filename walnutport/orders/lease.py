"""Lease on giving orders to the engines, decided by the stream ``orders``.

A record takes effect only if it names the offset of the record that took
effect before it, so of two concurrent records the first in log order wins on
every host. That offset is also the fencing number: it grows with each
acquisition and renewal. No clock of another host is used; silence is measured
by the reader's own clock.
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
_RENEW_SHARE = 1 / 3
_JITTER_SHARE = 0.2


class RecordKind(enum.StrEnum):
    """Kind of a lease record."""

    ACQUIRE = 'acquire'
    RENEW = 'renew'


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A record of the stream.

    :param expected: offset of the record that took effect last, -1 if none.
    """

    kind: RecordKind
    group: str
    host_id: str
    incarnation: int
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseState:
    """Holder of a lease and its fencing number."""

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
        raise exceptions.CodecError(f'lease record: {error}') from None


class LeaseFold:
    """State of one lease after a prefix of the stream.

    If older records are gone, the predecessor of the first effective record
    is unknown. It is the highest predecessor that any record names among the
    expired offsets, as every author names a record that took effect.

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
        """Take note that unread records below an offset are gone."""
        if offset > self.next_offset:
            self.next_offset = offset
            self._expired_before = offset
            self._predecessor = self.state.fencing

    def apply(self, offset: int, record: LeaseRecord) -> bool:
        """Apply the record at an offset and return whether it took effect."""
        self.next_offset = max(self.next_offset, offset + 1)
        if record.group != self.group or not self._is_next(record):
            return False
        if record.kind is RecordKind.RENEW and self._is_foreign(record):
            return False
        if record.expected < self._expired_before:
            self._predecessor = record.expected
        self.state = LeaseState(record.host_id, record.incarnation, offset)
        return True

    def _is_next(self, record: LeaseRecord) -> bool:
        if record.expected == self.state.fencing:
            return True
        return self._predecessor < record.expected < self._expired_before

    def _is_foreign(self, record: LeaseRecord) -> bool:
        """Return whether a renewal is not the known holder's."""
        if record.expected != self.state.fencing:
            return False
        state = self.state
        return (record.host_id, record.incarnation) != (
            state.host_id,
            state.incarnation,
        )


class LeaseManager:
    """The part of one host in the lease.

    :param lease_s: silence after which another host may take over.
    :param rng: spreads the attempts of several hosts to take over.
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
        self._heard_at = float('-inf')
        self._read_at = float('-inf')
        self._appended_at: float | None = None
        self._take_over_s = 0.0
        self._draw_wait()

    def start_offset(self) -> int:
        """Return the offset to read from next."""
        return self.fold.next_offset

    def apply(self, page: interfaces.StreamPage, now: float) -> None:
        """Apply a page whose read started an unknown time ago."""
        self._apply_records(page, now)

    def page_read(
        self, page: interfaces.StreamPage, started: float, now: float
    ) -> None:
        """Apply a page and note that the stream was read to its end.

        :param started: time at which the read was started. A host that is
            paused during a read must not take the page as fresh.
        """
        self._apply_records(page, now)
        if self.fold.next_offset >= page.end_offset:
            self._read_at = max(self._read_at, started)
            if self._appended_at is not None and started >= self._appended_at:
                self._appended_at = None

    @property
    def is_holder(self) -> bool:
        """Return whether this host holds the lease as far as it has read."""
        state = self.fold.state
        return (state.host_id, state.incarnation) == (
            self._host_id,
            self._incarnation,
        )

    def fencing(self, now: float) -> int | None:
        """Return the fencing number for an order to be sent now, or None.

        The number is given only if the stream was read to its end a short
        time ago and the own last renewal is recent.
        """
        fresh = now - self._read_at <= self._lease_s * _RENEW_SHARE
        if not self.is_holder or not fresh or self._is_silent(now):
            return None
        return self.fold.state.fencing

    def needs_read(self, now: float) -> bool:
        """Return whether the stream is to be read to its end now.

        Another host's part is to follow the log reader's long poll, until
        it hears nothing for so long that it may take over.
        """
        return (
            self.is_holder
            or self._appended_at is not None
            or now - self._heard_at >= self._take_over_s
        )

    def next_record(self, now: float) -> LeaseRecord | None:
        """Return the record to append now, if any.

        After an append none is due until the stream was read to its end,
        which tells whether it took effect.
        """
        if self._appended_at is not None:
            return None
        if self._read_at == float('-inf'):
            return None
        if self.is_holder:
            if now - self._heard_at < self._lease_s * _RENEW_SHARE:
                return None
            return self._record(RecordKind.RENEW)
        # Silence counts only up to the last read: unread records may follow.
        if min(now, self._read_at) - self._heard_at < self._take_over_s:
            return None
        return self._record(RecordKind.ACQUIRE)

    def append_finished(self, now: float) -> None:
        """Take note of the end of an append, whatever its outcome."""
        self._appended_at = now
        self._draw_wait()

    def _apply_records(self, page: interfaces.StreamPage, now: float) -> None:
        if page.first_offset > self.fold.next_offset:
            self.fold.expire_before(page.first_offset)
        for record in page.records:
            if record.offset < self.fold.next_offset:
                continue
            try:
                change = decode_record(record.payload)
            except exceptions.CodecError:
                self.fold.next_offset = record.offset + 1
                continue
            if self.fold.apply(record.offset, change):
                self._heard_at = now

    def _is_silent(self, now: float) -> bool:
        return now - self._heard_at >= self._lease_s

    def _draw_wait(self) -> None:
        spread = 1 + _JITTER_SHARE * self._rng.random()
        self._take_over_s = self._lease_s * spread

    def _record(self, kind: RecordKind) -> LeaseRecord:
        return LeaseRecord(
            kind,
            self.fold.group,
            self._host_id,
            self._incarnation,
            self.fold.state.fencing,
        )

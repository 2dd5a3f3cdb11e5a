"""Ledger of executions and answers, written by every stand-in process.

Each process appends JSON lines to its own file in one folder. A line is
written with a single ``write`` call, so it survives a SIGKILL of the process.
"""

from collections.abc import Iterator
import dataclasses
import enum
import os
import pathlib
import time

import msgspec

__all__ = ['EventKind', 'Ledger', 'LedgerEvent', 'read_ledger']


class EventKind(enum.StrEnum):
    """What happened."""

    STARTED = 'started'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    CRASHED = 'crashed'
    SENT = 'sent'
    ANSWERED = 'answered'
    ORDERED = 'ordered'


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerEvent:
    """One line of the ledger.

    :param time_s: monotonic time in seconds, the same clock for every
        process of a machine.
    :param nonce: value that the caller put into its request body.
    :param key: idempotency key of a caller's request.
    :param tokens: indexes of received stream events, in order.
    :param tokens_wanted: events of the whole stream as its last event says.
    """

    kind: EventKind
    time_s: float
    nonce: str = ''
    source: str = ''
    member_id: str = ''
    entry_id: str = ''
    stage: str = ''
    request_id: str = ''
    attempt_id: str = ''
    key: str = ''
    outcome: str = ''
    reason: str = ''
    answered_nonce: str = ''
    repeatable: bool = True
    late: bool = False
    latency_s: float = 0.0
    trace: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()
    tokens_wanted: int = 0
    detail: str = ''


class Ledger:
    """Writes the events of one process.

    A context manager that owns the file.
    """

    def __init__(self, folder: str, source: str) -> None:
        self._path = pathlib.Path(folder) / f'{source}-{os.getpid()}.jsonl'
        self._source = source
        self._fd = -1

    def __enter__(self) -> 'Ledger':
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._fd = os.open(self._path, flags, 0o644)
        return self

    def __exit__(self, *exc_info: object) -> None:
        os.close(self._fd)

    def record(self, kind: EventKind, **fields) -> None:
        """Append one event."""
        fields.setdefault('source', self._source)
        event = LedgerEvent(kind, time.monotonic(), **fields)
        os.write(self._fd, msgspec.json.encode(event) + b'\n')


def read_ledger(folder: str) -> list[LedgerEvent]:
    """Read the events of every process in time order."""
    events = list(_read_folder(pathlib.Path(folder)))
    return sorted(events, key=lambda event: event.time_s)


def _read_folder(folder: pathlib.Path) -> Iterator[LedgerEvent]:
    for path in sorted(folder.glob('*.jsonl')):
        # A line may be seen in part while it is being written.
        whole, _, _ = path.read_bytes().rpartition(b'\n')
        for line in whole.splitlines():
            yield msgspec.json.decode(line, type=LedgerEvent)

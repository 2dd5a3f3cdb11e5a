"""Ledger of executions and answers, written by the stand-in processes.

Each process appends JSON lines to a file of its own in a common folder. A
line is written with a single ``write`` call, so a line once written survives
a SIGKILL of the process.
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
    """Kind of an event in the ledger."""

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

    :param time_s: monotonic time in seconds; all processes of a machine share
        this clock.
    :param nonce: unique value that the caller puts into its request body.
    :param source: name of the process that wrote the event.
    :param key: idempotency key of a caller's request.
    :param answered_nonce: nonce in the output of the answer.
    :param tokens: indexes of the received stream events, in order of arrival.
    :param tokens_wanted: length of the complete stream, as reported by its
        last event.
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

    It is a context manager that opens and closes the file.
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
    """Return the events of all processes in order of time."""
    events = list(_read_folder(pathlib.Path(folder)))
    return sorted(events, key=lambda event: event.time_s)


def _read_folder(folder: pathlib.Path) -> Iterator[LedgerEvent]:
    for path in sorted(folder.glob('*.jsonl')):
        # The last line may be incomplete while its process writes it.
        complete_lines, _, _ = path.read_bytes().rpartition(b'\n')
        for line in complete_lines.splitlines():
            yield msgspec.json.decode(line, type=LedgerEvent)

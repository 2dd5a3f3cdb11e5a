"""Claim gates of two hosts with a log and a bus in memory."""

import collections

from expression import Error
from expression import Ok
from twisted.internet import defer
from twisted.internet import task

from walnutport.claims import records
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.peer import messages
from walnutport.service.records import claims
from walnutport.service.records import log_writer

WALL_S = 1_700_000_000.0
KEY = f'{int(WALL_S)}-k'
DONE = answers.Answer(answers.Outcome.COMPLETE, answers.Reason.OK, b'{"a":1}')


class FakeClock:
    """Clock of a simulated reactor."""

    def __init__(self, reactor: task.Clock) -> None:
        self._reactor = reactor

    def monotonic(self) -> float:
        return self._reactor.seconds()

    def wall(self) -> float:
        return WALL_S + self._reactor.seconds()


class MemoryLog:
    """Log that fails appends as told: kept, lost or refused."""

    def __init__(self, reactor: task.Clock) -> None:
        self._reactor = reactor
        self.records: list[interfaces.LogRecord] = []
        self.append_times: list[float] = []
        self.error: exceptions.LogServiceError | None = None

    def append(self, stream: str, payload: bytes):
        now = self._reactor.seconds()
        self.append_times.append(now)
        if not isinstance(self.error, exceptions.LogUnavailable):
            time_ms = int((WALL_S + now) * 1000)
            self.records.append(
                interfaces.LogRecord(len(self.records), time_ms, payload)
            )
        if self.error is not None:
            return defer.succeed(Error(self.error))
        return defer.succeed(Ok(len(self.records) - 1))

    def page(self, offset: int) -> interfaces.StreamPage:
        end = len(self.records)
        return interfaces.StreamPage(tuple(self.records[offset:]), 0, end, end)


class MemoryBus:
    """Delivers messages between the hosts of a test at once."""

    def __init__(self, host_id: str, buses: dict[str, 'MemoryBus']) -> None:
        self._origin = messages.PeerOrigin(host_id, 1)
        self._buses = buses
        self._handlers: dict[type, list] = collections.defaultdict(list)
        buses[host_id] = self

    def send(self, host_id: str, message) -> bool:
        if host_id not in self._buses:
            return False
        for handler in self._buses[host_id]._handlers[type(message)]:
            handler(self._origin, message)
        return True

    def broadcast(self, message) -> int:
        return sum(self.send(host_id, message) for host_id in self._buses)

    def subscribe(self, message_type, handler) -> None:
        self._handlers[message_type].append(handler)


class Hosts:
    """Claim gates of two hosts with one log."""

    def __init__(self, with_bus: bool = True) -> None:
        self.reactor = task.Clock()
        self.log = MemoryLog(self.reactor)
        self.buses: dict[str, MemoryBus] = {}
        self.available = True
        self.gates = [self._gate(name, with_bus) for name in ('a', 'b')]
        self.read()

    def _gate(self, name: str, with_bus: bool) -> claims.ClaimService:
        clock = FakeClock(self.reactor)
        writer = log_writer.LogWriter(self.log, clock, self.reactor, 20.0)
        return claims.ClaimService(
            records.Owner(name, 1),
            config.PlatformSettings(),
            10_000,
            writer,
            clock,
            self.reactor,
            lambda: self.available,
            MemoryBus(name, self.buses) if with_bus else None,
        )

    def claim(self, host: int, key: str = KEY, body: bytes = b'x') -> list:
        """Claim and return a list that takes the outcome."""
        identity = interfaces.ClaimIdentity('north', 'payments', key)
        outcomes: list = []
        deadline = self.reactor.seconds() + 8.0
        pending = self.gates[host].claim(identity, body, deadline)
        pending.addCallback(outcomes.append)
        return outcomes

    def read(self) -> None:
        for gate in self.gates:
            offset = gate.start_offset()
            gate.apply(self.log.page(offset), self.reactor.seconds())

    def step(self, seconds: float = 0.2, read: bool = True) -> None:
        self.reactor.pump([0.05] * round(seconds / 0.05))
        if read:
            self.read()
        for gate in self.gates:
            gate.advance()

    def owned(self) -> str:
        """Return the claim of a run that host ``a`` was granted."""
        outcomes = self.claim(0)
        self.step()
        return outcomes[0].ok.claim_id


def refusal(outcomes: list) -> answers.Answer:
    """Return the one answer that the gate gave instead of a grant."""
    assert len(outcomes) == 1
    return outcomes[0].error.answer

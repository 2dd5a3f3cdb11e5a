"""Detects deaths of targets and spreads what is known of suspects."""

from collections.abc import Callable
from collections.abc import Sequence
import logging
from typing import Any, Protocol

import msgspec
from twisted.internet import defer
from twisted.internet import task

from walnutport import exceptions
from walnutport import interfaces
from walnutport.peer import messages
from walnutport.quarantine import suspects
from walnutport.routing import router as standard_router
from walnutport import world

__all__ = [
    'CrashDetector',
    'LoadSource',
    'VERDICT_STREAM',
    'decode_verdicts',
    'encode_verdicts',
]

LOG = logging.getLogger(__name__)
PREFIX = 'suspects:'

VERDICT_STREAM = 'verdicts'
FLUSH_S = 0.25
MAX_UNSENT = 1_000
MAX_BATCH = 200
MAX_PROBES = 8
# A process that ends may take connections for a moment and reset them, so a
# probe without an answer is repeated.
PROBE_GAP_S = 0.02
PROBE_LIMIT_S = 0.6
_MAX_DIGEST_BYTES = 64
_MAX_DEATH_CHARS = 256


class LoadSource(Protocol):
    """Asks a target for its load; see ``adapters.target_control``."""

    async def read_load(self, target: world.Target) -> world.LoadReport:
        """Return the load.

        :raises NotSent: if the target refused the connection.
        :raises AttemptLost: if there is no valid report in time.
        """


class CrashDetector:
    """Shell around the ``SuspectTable``; follows the stream of verdicts.

    :param bus: spreads suspects to other hosts; None without peers.
    :param append: appends a record to a stream of the log.
    """

    stream = VERDICT_STREAM

    def __init__(
        self,
        book: suspects.SuspectTable,
        router: standard_router.StandardRouter,
        loads: LoadSource,
        clock: interfaces.Clock,
        reactor,
        bus: interfaces.PeerBus | None = None,
        append: Callable[[str, bytes], Any] | None = None,
    ) -> None:
        self.table = book
        self._router = router
        self._loads = loads
        self._clock = clock
        self._reactor = reactor
        self._bus = bus
        self._append = append
        self._offset = 0
        self._unsent: list[messages.SuspectReport] = []
        self._flush_at = 0.0
        self._appending = False
        self._waiting_by_target: dict[str, list[defer.Deferred]] = {}
        self._probing: set[str] = set()
        self.deaths = 0
        self._last_death = ''
        self.verdicts_dropped = 0
        book.publish = self._publish
        if bus is not None:
            bus.subscribe(messages.SuspectReport, self._on_suspect)

    def start_offset(self) -> int:
        """Return the offset to read from next."""
        return self._offset

    def apply(self, page: interfaces.StreamPage, now: float) -> None:
        """Merge the verdicts of a page of the log.

        The age of a record counts, so that a host that reads old records
        after its start forgets them when the others do.
        """
        for record in page.records:
            try:
                verdicts = decode_verdicts(record.payload)
            except exceptions.CodecError as error:
                LOG.warning('%s record %d: %s', PREFIX, record.offset, error)
                continue
            age_s = max(0.0, self._clock.wall() - record.time_ms / 1000)
            if age_s < suspects.ENTRY_LIFE_S:
                for verdict in verdicts:
                    self.table.merge(verdict, now - age_s)
        self._offset = page.next_offset

    def load_seen(self, target_id: str, load: world.LoadReport) -> None:
        """Learn the incarnation of a target from a load report."""
        self.table.incarnation_seen(target_id, load.incarnation)

    async def confirm_crash(
        self, target: world.Target, incarnation: str
    ) -> bool:
        """Find out whether a target whose connection was lost has died.

        It has died if it refuses a connection or answers with another
        incarnation. Without an answer nothing is known, and it has not.

        :param incarnation: the one known when the attempt started.
        """
        load = await self._probe(target)
        died = load is _REFUSED or (
            isinstance(load, world.LoadReport)
            and incarnation not in ('', load.incarnation)
        )
        now = self._clock.monotonic()
        if died:
            self._count(suspects.death_id(target.target_id, incarnation))
            self._router.target_down(target.target_id)
            self.table.target_died(target.target_id, now, incarnation)
            self._start_flush()
        self._take_load(target, load, now)
        return died

    def _count(self, death: str) -> None:
        """Count a death once, however many attempts it cut off."""
        if death != self._last_death:
            self._last_death = death
            self.deaths += 1
            LOG.warning('%s target died: %s', PREFIX, death)

    def advance(self) -> None:
        """Ask silent targets for a sign of life and write to the log."""
        wanted = self._router.down_targets()
        wanted += [
            target
            for target in self._router.known_targets()
            if not self.table.incarnation_of(target.target_id)
        ]
        for target in wanted:
            if len(self._probing) >= MAX_PROBES:
                break
            if target.target_id not in self._probing:
                self._probing.add(target.target_id)
                defer.Deferred.fromCoroutine(self._revive(target))
        if self._clock.monotonic() >= self._flush_at:
            self._start_flush()

    async def _revive(self, target: world.Target) -> None:
        try:
            load = await self._probe(target)
            self._take_load(target, load, self._clock.monotonic())
        finally:
            self._probing.discard(target.target_id)

    def _take_load(self, target: world.Target, load, now: float) -> None:
        if isinstance(load, world.LoadReport):
            self.load_seen(target.target_id, load)
            self._router.load_reported(target.target_id, load, now)

    def _probe(self, target: world.Target) -> defer.Deferred:
        """Return a load report, ``_REFUSED`` or None.

        All attempts that a death cuts off share one probe.
        """
        waiting = self._waiting_by_target.setdefault(target.target_id, [])
        result: defer.Deferred = defer.Deferred()
        waiting.append(result)
        if len(waiting) == 1:
            defer.Deferred.fromCoroutine(self._ask(target))
        return result

    async def _ask(self, target: world.Target) -> None:
        outcome: object = None
        give_up_at = self._clock.monotonic() + PROBE_LIMIT_S
        try:
            while outcome is None and self._clock.monotonic() < give_up_at:
                outcome = await self._ask_once(target)
                if outcome is None:
                    await task.deferLater(self._reactor, PROBE_GAP_S)
        finally:
            for waiting in self._waiting_by_target.pop(target.target_id):
                waiting.callback(outcome)

    async def _ask_once(self, target: world.Target) -> object:
        try:
            return await self._loads.read_load(target)
        except exceptions.NotSent:
            return _REFUSED
        except exceptions.AttemptLost as error:
            LOG.info('%s target %s: %s', PREFIX, target.target_id, error)
            return None

    def _publish(self, message: messages.SuspectReport) -> None:
        if self._bus is not None:
            self._bus.broadcast(message)
        if self._append is None:
            return
        if len(self._unsent) < MAX_UNSENT:
            self._unsent.append(message)
        else:
            self.verdicts_dropped += 1

    def _start_flush(self) -> None:
        if self._unsent and not self._appending:
            self._flush_at = self._clock.monotonic() + FLUSH_S
            defer.Deferred.fromCoroutine(self._flush())

    async def _flush(self) -> None:
        """Append the unsent verdicts; they stay unsent until it worked.

        A verdict that is written twice does no harm.
        """
        assert self._append is not None
        batch = self._unsent[:MAX_BATCH]
        self._appending = True
        try:
            appended = self._append(VERDICT_STREAM, encode_verdicts(batch))
            if isinstance(appended, defer.Deferred):
                appended = await appended
        except exceptions.LogServiceError as error:
            LOG.info('%s verdicts not written: %s', PREFIX, error)
            return
        finally:
            self._appending = False
        if appended is None or not appended.is_error():
            del self._unsent[: len(batch)]

    def _on_suspect(
        self, origin: messages.PeerOrigin, message: messages.SuspectReport
    ) -> None:
        self.table.merge(message, self._clock.monotonic())


_REFUSED = object()


def encode_verdicts(verdicts: Sequence[messages.SuspectReport]) -> bytes:
    """Return the payload of a record of the stream of verdicts."""
    return msgspec.json.encode(verdicts)


def decode_verdicts(payload: bytes) -> list[messages.SuspectReport]:
    """Decode a record of the stream of verdicts.

    :raises CodecError: if the payload is malformed or over a bound.
    """
    try:
        verdicts = msgspec.json.decode(
            payload, type=list[messages.SuspectReport]
        )
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.CodecError(f'verdicts: {error}') from None
    for verdict in verdicts:
        if (
            len(verdict.digest) > _MAX_DIGEST_BYTES
            or len(verdict.deaths) > suspects.MAX_DEATHS
            or any(len(death) > _MAX_DEATH_CHARS for death in verdict.deaths)
        ):
            raise exceptions.CodecError('verdicts: over a bound')
    return verdicts

"""Detects crashes of targets and shares crash suspects between hosts."""

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
from walnutport.quarantine import crash_evidence
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
FLUSH_INTERVAL_S = 0.25
MAX_PENDING_VERDICTS = 1_000
MAX_BATCH_VERDICTS = 200
MAX_CONCURRENT_PROBES = 8
# A terminating process may accept connections for a moment and reset them, so
# a probe without an answer is repeated.
PROBE_RETRY_DELAY_S = 0.02
PROBE_TIMEOUT_S = 0.6
_MAX_DIGEST_BYTES = 64
_MAX_DEATH_CHARS = 256


class LoadSource(Protocol):
    """Requests load reports; see ``adapters.target_control``."""

    async def read_load(self, target: world.Target) -> world.LoadReport:
        """Return the load report of a target.

        :raises NotSent: if the target refused the connection.
        :raises AttemptLost: if no valid report arrives in time.
        """


class CrashDetector:
    """Reports crashes and the verdicts of all hosts to a ``SuspectTable``.

    :param bus: sends suspects to other hosts; None without peers.
    :param append: appends a record to a stream of the log.
    """

    stream = VERDICT_STREAM

    def __init__(
        self,
        table: suspects.SuspectTable,
        router: standard_router.StandardRouter,
        load_source: LoadSource,
        clock: interfaces.Clock,
        reactor,
        bus: interfaces.PeerBus | None = None,
        append: Callable[[str, bytes], Any] | None = None,
    ) -> None:
        self.table = table
        self._router = router
        self._load_source = load_source
        self._clock = clock
        self._reactor = reactor
        self._bus = bus
        self._append = append
        self._offset = 0
        self._pending_verdicts: list[messages.SuspectReport] = []
        self._flush_at = 0.0
        self._appending = False
        self._waiting_by_target: dict[str, list[defer.Deferred]] = {}
        self._probing_ids: set[str] = set()
        self.crashes = 0
        self._last_death_id = ''
        self.verdicts_dropped = 0
        table.publish = self._publish
        if bus is not None:
            bus.subscribe(messages.SuspectReport, self._on_suspect_report)

    def start_offset(self) -> int:
        """Return the offset to read from next."""
        return self._offset

    def apply(self, page: interfaces.StreamPage, now: float) -> None:
        """Merge the verdicts of a page of the log.

        A verdict is as old as its record, so that a host that reads old
        records after a restart expires them when the other hosts do.
        """
        for record in page.records:
            try:
                verdicts = decode_verdicts(record.payload)
            except exceptions.CodecError as error:
                LOG.warning('%s record %d: %s', PREFIX, record.offset, error)
                continue
            age_s = max(0.0, self._clock.wall() - record.time_ms / 1000)
            if age_s < suspects.ENTRY_TTL_S:
                for verdict in verdicts:
                    self.table.merge(verdict, now - age_s)
        self._offset = page.next_offset

    def learn_incarnation(
        self, target_id: str, load: world.LoadReport
    ) -> None:
        """Learn the incarnation of a target from a load report."""
        self.table.incarnation_seen(target_id, load.incarnation)

    async def confirm_crash(
        self, target: world.Target, incarnation: str
    ) -> bool:
        """Return whether a target whose connection was lost has crashed.

        It has crashed if it refuses a connection or reports another
        incarnation. Without an answer it counts as not crashed.

        :param incarnation: incarnation known when the attempt started.
        """
        load = await self._probe(target)
        crashed = load is _REFUSED or (
            isinstance(load, world.LoadReport)
            and incarnation not in ('', load.incarnation)
        )
        now = self._clock.monotonic()
        if crashed:
            self._count_crash(
                crash_evidence.death_id(target.target_id, incarnation)
            )
            self._router.target_down(target.target_id)
            self.table.target_died(target.target_id, now, incarnation)
            self._start_flush()
        self._apply_load(target, load, now)
        return crashed

    def _count_crash(self, death_id: str) -> None:
        """Count a crash once, however many attempts it ended."""
        if death_id != self._last_death_id:
            self._last_death_id = death_id
            self.crashes += 1
            LOG.warning('%s target died: %s', PREFIX, death_id)

    def advance(self) -> None:
        """Probe targets down or of unknown incarnation; flush verdicts."""
        to_probe = self._router.down_targets()
        to_probe += [
            target
            for target in self._router.known_targets()
            if not self.table.incarnation_of(target.target_id)
        ]
        for target in to_probe:
            if len(self._probing_ids) >= MAX_CONCURRENT_PROBES:
                break
            if target.target_id not in self._probing_ids:
                self._probing_ids.add(target.target_id)
                defer.Deferred.fromCoroutine(self._probe_and_apply(target))
        if self._clock.monotonic() >= self._flush_at:
            self._start_flush()

    async def _probe_and_apply(self, target: world.Target) -> None:
        try:
            load = await self._probe(target)
            self._apply_load(target, load, self._clock.monotonic())
        finally:
            self._probing_ids.discard(target.target_id)

    def _apply_load(self, target: world.Target, load, now: float) -> None:
        if isinstance(load, world.LoadReport):
            self.learn_incarnation(target.target_id, load)
            self._router.load_reported(target.target_id, load, now)

    def _probe(self, target: world.Target) -> defer.Deferred:
        """Return a load report, ``_REFUSED`` or None if there is no answer.

        Concurrent calls share one probe, as a crash ends several attempts.
        """
        waiting = self._waiting_by_target.setdefault(target.target_id, [])
        result: defer.Deferred = defer.Deferred()
        waiting.append(result)
        if len(waiting) == 1:
            defer.Deferred.fromCoroutine(self._run_probe(target))
        return result

    async def _run_probe(self, target: world.Target) -> None:
        outcome: object = None
        probe_deadline = self._clock.monotonic() + PROBE_TIMEOUT_S
        try:
            while outcome is None and self._clock.monotonic() < probe_deadline:
                outcome = await self._probe_once(target)
                if outcome is None:
                    await task.deferLater(self._reactor, PROBE_RETRY_DELAY_S)
        finally:
            for waiting in self._waiting_by_target.pop(target.target_id):
                waiting.callback(outcome)

    async def _probe_once(self, target: world.Target) -> object:
        try:
            return await self._load_source.read_load(target)
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
        if len(self._pending_verdicts) < MAX_PENDING_VERDICTS:
            self._pending_verdicts.append(message)
        else:
            self.verdicts_dropped += 1

    def _start_flush(self) -> None:
        if self._pending_verdicts and not self._appending:
            self._flush_at = self._clock.monotonic() + FLUSH_INTERVAL_S
            defer.Deferred.fromCoroutine(self._flush())

    async def _flush(self) -> None:
        """Append pending verdicts, which stay pending if the append fails.

        Writing a verdict twice is harmless.
        """
        assert self._append is not None
        batch = self._pending_verdicts[:MAX_BATCH_VERDICTS]
        self._appending = True
        try:
            appended = self._append(VERDICT_STREAM, encode_verdicts(batch))
            if isinstance(appended, defer.Deferred):
                appended = await appended
        except exceptions.LogServiceError as error:
            LOG.info('%s verdicts not written to the log: %s', PREFIX, error)
            return
        finally:
            self._appending = False
        if appended is None or not appended.is_error():
            del self._pending_verdicts[: len(batch)]

    def _on_suspect_report(
        self, origin: messages.PeerOrigin, message: messages.SuspectReport
    ) -> None:
        self.table.merge(message, self._clock.monotonic())


_REFUSED = object()


def encode_verdicts(verdicts: Sequence[messages.SuspectReport]) -> bytes:
    """Encode a record of the stream of verdicts."""
    return msgspec.json.encode(verdicts)


def decode_verdicts(payload: bytes) -> list[messages.SuspectReport]:
    """Decode a record of the stream of verdicts.

    :raises CodecError: if the payload is malformed or exceeds a limit.
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
            or len(verdict.deaths) > crash_evidence.MAX_DEATHS
            or any(len(death) > _MAX_DEATH_CHARS for death in verdict.deaths)
        ):
            raise exceptions.CodecError(
                'verdicts: length of the digest, number of deaths or length '
                'of a death exceeds its limit'
            )
    return verdicts

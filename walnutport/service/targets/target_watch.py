"""Feeds the router with the targets that may get new work."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging

from twisted.internet import defer
from twisted.internet import interfaces as twisted_interfaces

from walnutport.adapters import http_client
from walnutport.adapters import stage
from walnutport import exceptions
from walnutport import interfaces
from walnutport.membership import targets
from walnutport.peer import messages
from walnutport import world

__all__ = ['TargetFanOut', 'TargetWatch']

LOG = logging.getLogger(__name__)
PREFIX = 'targets:'

_POLL_TIMEOUT_S = 1.0
# Work must not start on a target later than 3 s after the target began to say
# that it is leaving. The age of the last report and the pause after a poll
# that failed add up to that bound.
_MAX_SILENCE_S = 2.0
_CONFIRM_TIMEOUT_S = 0.25
_CONFIRM_PAUSE_S = 1.0
_MAX_POLLS = 32
_MAX_LOAD_BYTES = 4_096


class TargetFanOut:
    """Hands news of targets to the router and to admission."""

    def __init__(
        self, router: interfaces.Router, admission: interfaces.Admission
    ) -> None:
        self._router = router
        self._admission = admission

    def targets_changed(
        self, targets_by_id: Mapping[str, world.Target], now: float
    ) -> None:
        """Replace the set of targets that may get new work."""
        self._router.targets_changed(targets_by_id, now)
        self._admission.targets_changed(targets_by_id, now)

    def load_reported(
        self, target_id: str, load: world.LoadReport, now: float
    ) -> None:
        """Take note of a report that no answer carried."""
        self._router.load_reported(target_id, load, now)
        self._admission.load_reported(target_id, load, now)


class TargetWatch:
    """Knows the leaving targets and polls those that are silent.

    :param on_leaving: called when this host learns that a target is leaving.
    """

    def __init__(
        self,
        listeners: TargetFanOut,
        client: http_client.HttpClient,
        clock: interfaces.Clock,
        reactor: twisted_interfaces.IReactorTime,
        poll_s: float,
        on_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        self.membership = targets.TargetMembership(poll_s)
        self.on_leaving = on_leaving
        self._listeners = listeners
        self._client = client
        self._clock = clock
        self._reactor = reactor
        self._usable: Mapping[str, world.Target] | None = None
        self._leaving: frozenset[str] = frozenset()
        self.listed_by_id: Mapping[str, world.Target] = {}
        self._polls = 0
        # Returns the targets that this host may use; None stands for all.
        self.used_ids: Callable[[], Iterable[str]] | None = None
        self._waiting_by_target: dict[str, list[defer.Deferred[bool]]] = {}
        self._failed_at_by_target: dict[str, float] = {}
        self.confirm_polls = 0
        self.confirm_polls_failed = 0

    def list_read(self, targets_by_id: Mapping[str, world.Target]) -> None:
        """Take note of the list."""
        self.listed_by_id = targets_by_id
        for target_id in set(self._failed_at_by_target) - set(targets_by_id):
            del self._failed_at_by_target[target_id]
        self.membership.list_read(targets_by_id, self._clock.monotonic())
        self._feed()

    def load_reported(
        self, target_id: str, load: world.LoadReport, age_s: float = 0.0
    ) -> None:
        """Take note of a report of a target.

        :param age_s: time since the target made the report at most.
        """
        now = self._clock.monotonic()
        self.membership.load_reported(target_id, load, now, age_s)
        is_leaving = self.membership.is_leaving(target_id, now)
        if is_leaving != (target_id in self._leaving):
            self._feed()

    def peer_reported_leaving(
        self, words: Iterable[messages.LeavingTarget]
    ) -> None:
        """Take note of the leaving targets that a peer names."""
        if not words:
            return
        now = self._clock.monotonic()
        for word in words:
            self.membership.peer_reported_leaving(word, now)
        self._feed()

    def advance(self) -> None:
        """Poll silent targets and apply what the passing of time changes."""
        now = self._clock.monotonic()
        # Leaving targets are polled too: only their own report shows that
        # they are back, and the list may lag.
        used_ids = (
            None
            if self.used_ids is None
            else {*self.used_ids(), *self._leaving}
        )
        for target in self.membership.due_polls(
            now, _MAX_POLLS - self._polls, used_ids
        ):
            self._polls += 1
            polling = defer.Deferred.fromCoroutine(self._poll(target))
            polling.addBoth(self._poll_ended)
            polling.addErrback(
                lambda failure: LOG.error('%s poll: %s', PREFIX, failure)
            )
        self._feed()

    def is_fresh(self, target: world.Target) -> bool:
        """Return whether work may be sent without asking the target."""
        now = self._clock.monotonic()
        silent_s = self.membership.silent_s(target.target_id, now)
        failed_at = self._failed_at_by_target.get(target.target_id)
        return silent_s <= _MAX_SILENCE_S or (
            failed_at is not None and now - failed_at < _CONFIRM_PAUSE_S
        )

    def confirm(self, target: world.Target) -> defer.Deferred[bool]:
        """Return whether a target may get work; ask it if it was silent.

        There is one poll at a time for each target. A poll that fails does
        not keep work back, as the attempt itself shows what is wrong, and is
        not repeated for ``_CONFIRM_PAUSE_S``.
        """
        if self.is_fresh(target):
            return defer.succeed(self._may_send(target))
        waiting: defer.Deferred[bool] = defer.Deferred()
        waiters = self._waiting_by_target.setdefault(target.target_id, [])
        waiters.append(waiting)
        if len(waiters) == 1:
            self.confirm_polls += 1
            polling = defer.Deferred.fromCoroutine(
                self._poll(target, _CONFIRM_TIMEOUT_S)
            )
            polling.addBoth(self._confirmed, target)
        return waiting

    def _confirmed(self, heard: object, target: world.Target) -> None:
        if heard is True:
            self._failed_at_by_target.pop(target.target_id, None)
        else:
            self.confirm_polls_failed += 1
            now = self._clock.monotonic()
            self._failed_at_by_target[target.target_id] = now
        # A waiter that was cancelled in the meantime ignores the result.
        for waiting in self._waiting_by_target.pop(target.target_id):
            waiting.callback(self._may_send(target))

    def _may_send(self, target: world.Target) -> bool:
        now = self._clock.monotonic()
        return not self.membership.is_leaving(target.target_id, now)

    def _poll_ended(self, result):
        self._polls -= 1
        return result

    async def _poll(
        self, target: world.Target, timeout_s: float = _POLL_TIMEOUT_S
    ) -> bool:
        """Ask a target for its load and return whether it answered."""
        call = defer.Deferred.fromCoroutine(
            self._client.call(
                'GET',
                f'http://{target.address}/v1/load',
                max_body_bytes=_MAX_LOAD_BYTES,
            )
        )
        call.addTimeout(timeout_s, self._reactor)
        try:
            reply = await call
            load = stage.parse_load(reply.body.decode('latin-1'))
        except exceptions.CodecError as error:
            LOG.warning('%s %s: %s', PREFIX, target.target_id, error)
            return False
        except Exception as error:  # noqa: BLE001 - library errors vary
            LOG.debug('%s %s: %r', PREFIX, target.target_id, error)
            return False
        now = self._clock.monotonic()
        self._listeners.load_reported(target.target_id, load, now)
        self.load_reported(target.target_id, load)
        return True

    def _feed(self) -> None:
        now = self._clock.monotonic()
        usable = self.membership.usable(now)
        if usable == self._usable:
            return
        self._usable = usable
        leaving = frozenset(self.listed_by_id) - frozenset(usable)
        for target_id in sorted(leaving - self._leaving):
            LOG.info('%s %s is leaving', PREFIX, target_id)
        for target_id in sorted(self._leaving & frozenset(usable)):
            LOG.info('%s %s is usable again', PREFIX, target_id)
        is_news = bool(leaving - self._leaving)
        self._leaving = leaving
        self._listeners.targets_changed(usable, now)
        if is_news:
            self.on_leaving()

"""Keeps the router informed of the targets that may get new work."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging

from twisted.internet import defer
from twisted.internet import interfaces as twisted_interfaces

from walnutport.adapters import http_client
from walnutport.adapters import stage_client
from walnutport import exceptions
from walnutport import interfaces
from walnutport.membership import targets
from walnutport.peer import messages
from walnutport import world

__all__ = ['TargetFanOut', 'TargetWatch']

LOG = logging.getLogger(__name__)
PREFIX = 'targets:'

_POLL_TIMEOUT_S = 1.0
# Work must not start on a target later than 3 s after the target began to
# report that it is leaving. The maximum age of its last report (2 s) and the
# pause after a failed poll (1 s) add up to that limit.
_MAX_REPORT_AGE_S = 2.0
_CONFIRM_TIMEOUT_S = 0.25
_CONFIRM_PAUSE_S = 1.0
_MAX_CONCURRENT_POLLS = 32
_MAX_LOAD_BYTES = 4_096


class TargetFanOut:
    """Forwards changes and load reports of targets to router and admission."""

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
        """Forward a load report that came from a poll, not in a reply."""
        self._router.load_reported(target_id, load, now)
        self._admission.load_reported(target_id, load, now)


class TargetWatch:
    """Tracks which targets are leaving and polls those that are silent.

    A silent target is one whose last load report is too old.

    :param listeners: gets the usable targets and the load reports of polls.
    :param poll_s: silence after which a target is polled, in seconds.
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
        self._open_polls = 0
        # Returns the ids of the targets that this host may use; None means
        # all targets.
        self.used_ids: Callable[[], Iterable[str]] | None = None
        self._waiters_by_target: dict[str, list[defer.Deferred[bool]]] = {}
        self._failed_at_by_target: dict[str, float] = {}
        self.confirm_polls = 0
        self.confirm_polls_failed = 0

    def apply_target_list(
        self, targets_by_id: Mapping[str, world.Target]
    ) -> None:
        """Apply a new version of the platform's list of targets."""
        self.listed_by_id = targets_by_id
        for target_id in set(self._failed_at_by_target) - set(targets_by_id):
            del self._failed_at_by_target[target_id]
        self.membership.list_read(targets_by_id, self._clock.monotonic())
        self._publish_usable()

    def load_reported(
        self, target_id: str, load: world.LoadReport, age_s: float = 0.0
    ) -> None:
        """Process a load report of a target.

        :param age_s: upper bound of the report's age in seconds.
        """
        now = self._clock.monotonic()
        self.membership.load_reported(target_id, load, now, age_s)
        is_leaving = self.membership.is_leaving(target_id, now)
        if is_leaving != (target_id in self._leaving):
            self._publish_usable()

    def peer_reported_leaving(
        self, leaving_targets: Iterable[messages.LeavingTarget]
    ) -> None:
        """Process a peer's report of leaving targets."""
        if not leaving_targets:
            return
        now = self._clock.monotonic()
        for leaving_target in leaving_targets:
            self.membership.peer_reported_leaving(leaving_target, now)
        self._publish_usable()

    def advance(self) -> None:
        """Poll silent targets and publish changes that are due by now."""
        now = self._clock.monotonic()
        # Leaving targets are polled too: only their own reports show in time
        # that they are live again, as the list may lag.
        used_ids = (
            None
            if self.used_ids is None
            else {*self.used_ids(), *self._leaving}
        )
        for target in self.membership.due_polls(
            now, _MAX_CONCURRENT_POLLS - self._open_polls, used_ids
        ):
            self._open_polls += 1
            polling = defer.Deferred.fromCoroutine(self._poll(target))
            polling.addBoth(self._poll_ended)
            polling.addErrback(
                lambda failure: LOG.error(
                    '%s poll failed: %s', PREFIX, failure
                )
            )
        self._publish_usable()

    def is_fresh(self, target: world.Target) -> bool:
        """Return whether work may be sent without polling the target first.

        That is so if its last report is recent enough or a poll of
        ``confirm`` failed within the last ``_CONFIRM_PAUSE_S``.
        """
        now = self._clock.monotonic()
        silent_s = self.membership.silent_s(target.target_id, now)
        failed_at = self._failed_at_by_target.get(target.target_id)
        return silent_s <= _MAX_REPORT_AGE_S or (
            failed_at is not None and now - failed_at < _CONFIRM_PAUSE_S
        )

    def confirm(self, target: world.Target) -> defer.Deferred[bool]:
        """Return whether a target may get work; poll it if it was silent.

        Concurrent calls for a target share one poll. A failed poll does not
        block work, as the attempt itself will show what is wrong, and is not
        repeated for ``_CONFIRM_PAUSE_S``.
        """
        if self.is_fresh(target):
            return defer.succeed(self._may_get_work(target))
        waiting: defer.Deferred[bool] = defer.Deferred()
        waiters = self._waiters_by_target.setdefault(target.target_id, [])
        waiters.append(waiting)
        if len(waiters) == 1:
            self.confirm_polls += 1
            polling = defer.Deferred.fromCoroutine(
                self._poll(target, _CONFIRM_TIMEOUT_S)
            )
            polling.addBoth(self._confirm_poll_ended, target)
        return waiting

    def _confirm_poll_ended(
        self, has_report: object, target: world.Target
    ) -> None:
        if has_report is True:
            self._failed_at_by_target.pop(target.target_id, None)
        else:
            self.confirm_polls_failed += 1
            now = self._clock.monotonic()
            self._failed_at_by_target[target.target_id] = now
        # A Deferred that was cancelled in the meantime ignores the result.
        for waiting in self._waiters_by_target.pop(target.target_id):
            waiting.callback(self._may_get_work(target))

    def _may_get_work(self, target: world.Target) -> bool:
        now = self._clock.monotonic()
        return not self.membership.is_leaving(target.target_id, now)

    def _poll_ended(self, result):
        self._open_polls -= 1
        return result

    async def _poll(
        self, target: world.Target, timeout_s: float = _POLL_TIMEOUT_S
    ) -> bool:
        """Poll the load of a target and return whether it reported one."""
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
            load = stage_client.parse_load(reply.body.decode('latin-1'))
        except exceptions.CodecError as error:
            LOG.warning(
                '%s invalid load report of %s: %s',
                PREFIX,
                target.target_id,
                error,
            )
            return False
        except Exception as error:  # noqa: BLE001 - library errors vary
            LOG.debug(
                '%s poll of %s failed: %r', PREFIX, target.target_id, error
            )
            return False
        now = self._clock.monotonic()
        self._listeners.load_reported(target.target_id, load, now)
        self.load_reported(target.target_id, load)
        return True

    def _publish_usable(self) -> None:
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
        has_newly_leaving = bool(leaving - self._leaving)
        self._leaving = leaving
        self._listeners.targets_changed(usable, now)
        if has_newly_leaving:
            self.on_leaving()

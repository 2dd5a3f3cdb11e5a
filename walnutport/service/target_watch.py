"""Feeds the router with the targets that may get new work."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging

from twisted.internet import defer
from twisted.internet import interfaces as twisted_interfaces

from walnutport.adapters import http
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
        client: http.HttpClient,
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

    def list_read(self, targets_by_id: Mapping[str, world.Target]) -> None:
        """Take note of the list."""
        self.listed_by_id = targets_by_id
        self.membership.list_read(targets_by_id, self._clock.monotonic())
        self._feed()

    def load_heard(self, target_id: str, load: world.LoadReport) -> None:
        """Take note of a report of a target."""
        now = self._clock.monotonic()
        self.membership.load_heard(target_id, load, now)
        is_leaving = self.membership.is_leaving(target_id, now)
        if is_leaving != (target_id in self._leaving):
            self._feed()

    def words_heard(self, words: Iterable[messages.LeavingTarget]) -> None:
        """Take note of the leaving targets that a peer names."""
        if not words:
            return
        now = self._clock.monotonic()
        for word in words:
            self.membership.peer_says_leaving(word, now)
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
            polling.addErrback(
                lambda failure: LOG.error('%s poll: %s', PREFIX, failure)
            )
        self._feed()

    async def _poll(self, target: world.Target) -> None:
        call = defer.Deferred.fromCoroutine(
            self._client.call(
                'GET',
                f'http://{target.address}/v1/load',
                max_body_bytes=_MAX_LOAD_BYTES,
            )
        )
        call.addTimeout(_POLL_TIMEOUT_S, self._reactor)
        try:
            reply = await call
            load = stage.parse_load(reply.body.decode('latin-1'))
        except exceptions.CodecError as error:
            LOG.warning('%s %s: %s', PREFIX, target.target_id, error)
            return
        except Exception as error:  # noqa: BLE001 - library errors vary
            LOG.debug('%s %s: %r', PREFIX, target.target_id, error)
            return
        finally:
            self._polls -= 1
        now = self._clock.monotonic()
        self._listeners.load_reported(target.target_id, load, now)
        self.load_heard(target.target_id, load)

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

"""Follows the cache events of the engines that this host uses."""

from collections.abc import Callable
from collections.abc import Iterable
import logging

from twisted.internet import defer

from walnutport.adapters import cache_events
from walnutport import exceptions
from walnutport import interfaces
from walnutport.routing import affinity
from walnutport import world

__all__ = ['CacheFollower']

LOG = logging.getLogger(__name__)
PREFIX = 'cache:'

_POLL_S = 0.5
_RECENT_USE_S = 5.0
_FAILURE_RETRY_S = 30.0
_MAX_EVENTS_PER_POLL = 16
_MAX_CONCURRENT_POLLS = 2
# Half of a host's budget for control traffic (3 KB/s); heartbeats use the
# other half.
_BYTES_PER_S = 1_500.0
_BURST_BYTES = 4_096.0
# Size of the request and of the head of the response.
_POLL_OVERHEAD_BYTES = 400


class CacheFollower:
    """Updates the prefix index from cache events within a byte budget.

    An engine is polled only while this host sends it prompts. If the budget
    does not suffice, events are read later; if the engine no longer retains
    some of them by then, the gap drops the index of that engine.

    :param engines: returns the targets that may be polled.
    """

    def __init__(
        self,
        client: cache_events.CacheEventClient,
        prefixes: affinity.PrefixIndex,
        engines: Callable[[], Iterable[world.Target]],
        clock: interfaces.Clock,
    ) -> None:
        self._client = client
        self._prefixes = prefixes
        self._engines = engines
        self._clock = clock
        self._due_at_by_target: dict[str, float] = {}
        self._polling: set[str] = set()
        self._budget_bytes = _BURST_BYTES
        self._refilled_at = clock.monotonic()
        self.polls = 0
        self.bytes_read = 0

    def advance(self) -> None:
        """Poll the engines that are due, the longest overdue first."""
        now = self._clock.monotonic()
        elapsed_s = now - self._refilled_at
        self._refilled_at = now
        self._budget_bytes = min(
            _BURST_BYTES, self._budget_bytes + elapsed_s * _BYTES_PER_S
        )
        used_ids = self._prefixes.used_since(now - _RECENT_USE_S)
        if not used_ids:
            return
        targets = {target.target_id: target for target in self._engines()}
        for target_id in set(self._due_at_by_target) - set(targets):
            del self._due_at_by_target[target_id]
        due = sorted(
            (self._due_at_by_target.get(target_id, 0.0), target_id)
            for target_id in used_ids
            if target_id in targets and target_id not in self._polling
        )
        for due_at, target_id in due:
            if due_at > now or len(self._polling) >= _MAX_CONCURRENT_POLLS:
                break
            if self._budget_bytes <= 0:
                break
            self._budget_bytes -= _POLL_OVERHEAD_BYTES
            self._due_at_by_target[target_id] = now + _POLL_S
            self._polling.add(target_id)
            polling = defer.Deferred.fromCoroutine(
                self._poll(targets[target_id])
            )
            polling.addErrback(
                lambda failure: LOG.error(
                    '%s poll failed: %s', PREFIX, failure
                )
            )

    async def _poll(self, target: world.Target) -> None:
        target_id = target.target_id
        incarnation, after = self._prefixes.position(target_id)
        self.polls += 1
        try:
            page = await self._client.read(
                target, incarnation, after, _MAX_EVENTS_PER_POLL
            )
        except exceptions.TargetError as error:
            LOG.info('%s poll of %s failed: %s', PREFIX, target_id, error)
            now = self._clock.monotonic()
            self._due_at_by_target[target_id] = now + _FAILURE_RETRY_S
            return
        finally:
            self._polling.discard(target_id)
        self.bytes_read += page.body_bytes + _POLL_OVERHEAD_BYTES
        self._budget_bytes -= page.body_bytes
        if incarnation and page.incarnation != incarnation:
            self._prefixes.forget(target_id)
        for event in page.events:
            self._prefixes.apply(event)

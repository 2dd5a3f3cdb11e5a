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
_USED_LATELY_S = 5.0
_FAILED_PAUSE_S = 30.0
_MAX_EVENTS = 16
_MAX_POLLS = 2
# Half of the control budget of a host (3 KB/s); heartbeats take the rest.
_BYTES_PER_S = 1_500.0
_BURST_BYTES = 4_096.0
# Heads of the request and the answer.
_OVERHEAD_BYTES = 400


class CacheFollower:
    """Feeds the index of prefixes within a budget of bytes.

    An engine is asked while this host sends it prompts, and not at rest. If
    the budget does not keep up, events are read later; those that the engine
    no longer retains are a gap, which drops the index of that engine.

    :param engines: returns the targets that may be asked.
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
        self._due_by_target: dict[str, float] = {}
        self._polling: set[str] = set()
        self._budget_bytes = _BURST_BYTES
        self._refilled_at = clock.monotonic()
        self.polls = 0
        self.bytes_read = 0

    def advance(self) -> None:
        """Ask the engines that are due, the longest due first."""
        now = self._clock.monotonic()
        elapsed_s = now - self._refilled_at
        self._refilled_at = now
        self._budget_bytes = min(
            _BURST_BYTES, self._budget_bytes + elapsed_s * _BYTES_PER_S
        )
        used = self._prefixes.used_since(now - _USED_LATELY_S)
        if not used:
            return
        targets = {target.target_id: target for target in self._engines()}
        for target_id in set(self._due_by_target) - set(targets):
            del self._due_by_target[target_id]
        due = sorted(
            (self._due_by_target.get(target_id, 0.0), target_id)
            for target_id in used
            if target_id in targets and target_id not in self._polling
        )
        for due_at, target_id in due:
            if due_at > now or len(self._polling) >= _MAX_POLLS:
                break
            if self._budget_bytes <= 0:
                break
            self._budget_bytes -= _OVERHEAD_BYTES
            self._due_by_target[target_id] = now + _POLL_S
            self._polling.add(target_id)
            polling = defer.Deferred.fromCoroutine(
                self._poll(targets[target_id])
            )
            polling.addErrback(
                lambda failure: LOG.error('%s poll: %s', PREFIX, failure)
            )

    async def _poll(self, target: world.Target) -> None:
        target_id = target.target_id
        incarnation, after = self._prefixes.position(target_id)
        self.polls += 1
        try:
            page = await self._client.read(
                target, incarnation, after, _MAX_EVENTS
            )
        except exceptions.TargetError as error:
            LOG.info('%s %s: %s', PREFIX, target_id, error)
            now = self._clock.monotonic()
            self._due_by_target[target_id] = now + _FAILED_PAUSE_S
            return
        finally:
            self._polling.discard(target_id)
        self.bytes_read += page.body_bytes + _OVERHEAD_BYTES
        self._budget_bytes -= page.body_bytes
        if incarnation and page.incarnation != incarnation:
            self._prefixes.forget(target_id)
        for event in page.events:
            self._prefixes.apply(event)

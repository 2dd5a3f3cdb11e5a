"""Asks targets to find out whether this host is cut off from all of them."""

from collections.abc import Callable
from collections.abc import Iterable
import random
import time

from twisted.internet import defer

from walnutport import exceptions
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import messages
from walnutport.membership import target_path
from walnutport.platform import target_probe
from walnutport.world import registrations

__all__ = ['PathCheck']

# A target that does not accept a connection within this time, or does not
# answer within this time after that, counts as unreachable; data centres are
# milliseconds apart, and targets refuse such requests at once.
DIAL_TIMEOUT_S = 0.4
# Interval at which a host that is cut off dials a sample again.
RECHECK_INTERVAL_S = 0.4
# A sample that took longer than its timeout by this much says nothing: this
# host was suspended or slow meanwhile.
STALL_MARGIN_S = 0.25


class PathCheck:
    """Whether this host reaches any target, checked after failures.

    :param pool: channels to targets; all answers on them count.
    :param targets: returns the registered targets.
    :param on_change: called when the host was cut off, or no longer is.
    """

    def __init__(
        self,
        reactor,
        log,
        pool: channel_pool.ChannelPool,
        targets: Callable[[], Iterable[registrations.RegisteredTarget]],
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._pool = pool
        self._targets = targets
        self._on_change = on_change
        self._path = target_path.TargetPath(rng)
        self._is_checking = False
        # Start of the attempt that failed, and the result, of each request
        # that waits for a check.
        self._waiters: list[tuple[float, defer.Deferred]] = []
        pool.on_answered = self._answered
        pool.on_failed = self.check

    @property
    def is_cut(self) -> bool:
        """Whether this host reaches no target."""
        return self._path.is_cut

    def check(self) -> None:
        """Start a check after a failure, unless the path is clear."""
        if self._path.needs_check(time.monotonic()):
            self._start()

    def tick(self) -> None:
        """Start a check if requests wait and no target answers."""
        if self._path.is_silent(self._pool.waiting_since, time.monotonic()):
            self._start()

    def verify(self, since: float) -> defer.Deferred:
        """Find out whether a failure is one of the path.

        :param since: when the attempt that failed began. An answer on an
            earlier connection says nothing, as the host may have been cut off
            in between.
        :returns: fires with whether this host is cut off.
        """
        verified: defer.Deferred = defer.Deferred()
        if self._path.is_cut or self._path.answered_since(since):
            verified.callback(self._path.is_cut)
        else:
            self._waiters.append((since, verified))
            self._start()
        return verified

    async def answers(self, target: registrations.RegisteredTarget) -> bool:
        """Return whether a target itself answers on a new connection."""
        response = await self._dial(target.address)
        return response is not None and target_probe.is_refusal(response)

    def _start(self) -> None:
        if self._is_checking:
            return
        self._is_checking = True
        started_at = time.monotonic()
        sample = self._path.sample(self._targets())
        defer.DeferredList(
            [
                defer.Deferred.fromCoroutine(self._dial(target.address))
                for target in sample
            ]
        ).addCallback(self._sample_done, len(sample), started_at)

    async def _dial(
        self, address: client_channel.Address
    ) -> messages.Response | None:
        """Return what answers at an address, None without an answer."""
        try:
            return await channel_pool.fetch(
                self._reactor,
                self._pool,
                address,
                target_probe.encode_probe(address),
                DIAL_TIMEOUT_S,
                is_new=True,
            )
        except exceptions.ChannelError as problem:
            self._log.routine(
                'path_dial_failed',
                address=f'{address[0]}:{address[1]}',
                problem=str(problem),
            )
            return None

    def _sample_done(self, _: object, size: int, started_at: float) -> None:
        self._is_checking = False
        now = time.monotonic()
        was_stalled = now - started_at > 2 * DIAL_TIMEOUT_S + STALL_MARGIN_S
        if was_stalled and not self._path.answered_since(started_at):
            self._start()
            return
        if self._path.sample_failed(size, started_at, now):
            self._log.notable('targets_unreachable', dialled=size)
            self._on_change()
        if self._waiters and not self._path.is_cut:
            if size >= target_path.MIN_SAMPLE_SIZE:
                # The connection was opened before the failures in question.
                self._start()
                return
        self._answer_waiters()
        if self._path.is_cut:
            self._reactor.callLater(RECHECK_INTERVAL_S, self._recheck)

    def _recheck(self) -> None:
        if self._path.is_cut:
            self._start()

    def _answered(self, channel: client_channel.ClientChannel) -> None:
        now = time.monotonic()
        cut_s = now - self._path.changed_at
        if self._path.answered(channel.opened_at, now):
            self._log.notable('targets_reachable', cut_s=round(cut_s, 2))
            self._on_change()
        self._answer_waiters(opened_by=channel.opened_at)

    def _answer_waiters(self, opened_by: float = float('inf')) -> None:
        """Tell requests whether this host is cut off.

        :param opened_by: when the connection was opened that shows it; it says
            nothing about attempts that began later.
        """
        waiters, self._waiters = self._waiters, []
        for since, waiter in waiters:
            if since > opened_by:
                self._waiters.append((since, waiter))
            elif not waiter.called:
                waiter.callback(self._path.is_cut)

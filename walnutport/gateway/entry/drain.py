"""Graceful shutdown of the traffic of an entry host."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import time

from twisted.internet import defer

from walnutport.http1 import server
from walnutport.lifecycle import host_end

__all__ = ['Drain']

# How often completion is checked; a shutdown takes longer by at most this
# time.
CHECK_INTERVAL_S = 0.1
# The balancer removes a host after two readiness checks, a second apart, that
# do not return 200; new connections may arrive until then.
BALANCER_REMOVAL_S = 2.6
# While draining, connections of callers that were idle this long are closed.
DRAIN_IDLE_LIMIT_S = 0.5
# Unfinished responses are cut off this long before the process is killed.
KILL_MARGIN_S = 0.5
# Arrivals of requests that were cut off, which the log tells.
MAX_LOGGED_ARRIVALS = 20


class Drain:
    """Waits until no work for callers or other hosts is in progress.

    :param caller_site: site that serves callers.
    :param is_busy: returns whether jobs of other hosts are in progress.
    :param listeners: ports at which callers connect, filled at the start.
    :param grace_s: returns the time between the stop signal and the kill.
    :param end: end of the host, which the drain sets.
    """

    def __init__(
        self,
        reactor,
        caller_site: server.ServerSite,
        is_busy: Callable[[], bool],
        grace_s: Callable[[], float],
        end: host_end.HostEnd,
        listeners: Sequence = (),
    ) -> None:
        self._listeners = listeners
        self._is_listening = True
        self._reactor = reactor
        self._caller_site = caller_site
        self._is_busy = is_busy
        self._grace_s = grace_s
        self._end = end
        self._started_at = 0.0
        self._done: defer.Deferred = defer.Deferred()
        self.started = False

    def start(self) -> defer.Deferred:
        """Stop keeping connections of callers alive, and wait.

        :returns: fires with None once no work is left, or shortly before the
            kill.
        """
        self.started = True
        self._caller_site.closing = True
        self._started_at = time.monotonic()
        self._end.set(self._started_at + self._grace_s() - KILL_MARGIN_S)
        self._reactor.callLater(CHECK_INTERVAL_S, self._check)
        return self._done

    def arrivals_s(self, arrived_at: Iterable[float]) -> list[float]:
        """Return the times of arrivals after the stop signal, in seconds.

        :param arrived_at: monotonic times.
        :returns: the latest of them first; negative before the signal.
        """
        latest = sorted(arrived_at, reverse=True)[:MAX_LOGGED_ARRIVALS]
        return [round(at - self._started_at, 2) for at in latest]

    def _check(self) -> None:
        now = time.monotonic()
        finished = self._end.left_s(now) <= 0
        if now - self._started_at > BALANCER_REMOVAL_S:
            self._caller_site.close_idle(DRAIN_IDLE_LIMIT_S)
            if not self._caller_site.channels and not self._is_busy():
                finished = not self._is_listening
                self._stop_listening()
        if finished:
            self._done.callback(None)
        else:
            self._reactor.callLater(CHECK_INTERVAL_S, self._check)

    def _stop_listening(self) -> None:
        """Close the ports at which callers connect.

        The kernel resets connections that it has queued for a port when the
        port is closed, so they are accepted first.
        """
        if not self._is_listening:
            return
        self._is_listening = False
        for listener in self._listeners:
            count = -1
            while count < len(self._caller_site.channels):
                count = len(self._caller_site.channels)
                listener.doRead()
            listener.stopListening()

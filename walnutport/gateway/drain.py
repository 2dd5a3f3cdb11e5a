"""Stops the traffic of an entry host in order."""

from collections.abc import Callable
import time

from twisted.internet import defer

from walnutport.http1 import server

__all__ = ['Drain']

# How often the end is looked for; each step adds at most this to the stop.
STEP_S = 0.1
# The balancer takes a host out after two questions, a second apart, that it
# does not answer with 200; connections may come until then.
BALANCER_LEAVES_S = 2.6
# Callers' channels that were quiet this long are closed while draining.
QUIET_CHANNEL_S = 0.5
# Left before the kill when the last answers are broken off.
KILL_MARGIN_S = 0.5


class Drain:
    """Waits until nothing of callers or other hosts is under way.

    :param callers: site of the callers.
    :param busy: tells whether work of other hosts is under way.
    :param grace_s: returns the time between the signal and the kill.
    """

    def __init__(
        self,
        reactor,
        callers: server.ServerSite,
        busy: Callable[[], bool],
        grace_s: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._callers = callers
        self._busy = busy
        self._grace_s = grace_s
        self._started_at = 0.0
        self._done: defer.Deferred = defer.Deferred()
        self.begun = False

    def begin(self) -> defer.Deferred:
        """Stop taking connections and wait.

        :returns: fires with None once all is done, or shortly before the
            kill.
        """
        self.begun = True
        self._callers.closing = True
        self._started_at = time.monotonic()
        self._reactor.callLater(STEP_S, self._step)
        return self._done

    def _step(self) -> None:
        spent_s = time.monotonic() - self._started_at
        finished = spent_s > self._grace_s() - KILL_MARGIN_S
        if spent_s > BALANCER_LEAVES_S:
            self._callers.close_idle(QUIET_CHANNEL_S)
            if not self._callers.channels and not self._busy():
                finished = True
        if finished:
            self._done.callback(None)
        else:
            self._reactor.callLater(STEP_S, self._step)

"""An entry host: opens the listeners and runs until it is drained."""

import contextlib
import logging

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import task
from twisted.web import server

from walnutport.config import settings as config
from walnutport.metrics import exposition
from walnutport.service import components as host_parts
from walnutport.service import drain
from walnutport.service.operations import operators
from walnutport.service.operations import samples
from walnutport.service.operations import views
from walnutport.service.requests import caller_api
from walnutport.service.requests import caller_site

__all__ = ['EntryHost']

LOG = logging.getLogger(__name__)
PREFIX = 'host:'

_TICK_S = 0.05
_COORDINATION_TICK_S = 0.25


class EntryHost:
    """One entry host process.

    :param settings: validated settings.
    """

    def __init__(self, settings: config.HostSettings, reactor) -> None:
        self.settings = settings
        self._reactor = reactor
        self._stack = contextlib.ExitStack()
        self.stopping = False
        self._list_loaded = False
        self.parts = host_parts.HostParts(settings, reactor, self.is_ready)
        self._clock = self.parts.clock
        self.callers = caller_api.CallerApi(
            settings.callers,
            lambda: self.parts.catalogue.fold.view(),
            self.is_ready,
            self.takes_calls,
            self.parts.runner,
            self._clock,
            self.parts.latencies,
        )
        self.view = views.HostView(self)
        collector = exposition.HostCollector(
            self.parts.latencies,
            self.parts.cost,
            samples.HostSamples(self).collect,
        )
        self.operators = operators.OperatorApi(
            collector,
            self.parts.latencies,
            self.parts.cost,
            self.view.status,
        )
        self.caller_site = caller_site.CallerSite(
            self.callers.app.resource(), settings.callers, reactor
        )
        self._caller_connections = drain.TrackedFactory(self.caller_site)
        self._caller_port = None

    def takes_calls(self) -> bool:
        """Return whether the host can run calls, even if it is stopping."""
        return self.parts.catalogue.synced and self._list_loaded

    def is_ready(self) -> bool:
        """Return whether the balancer should send new calls."""
        return not self.stopping and self.takes_calls()

    async def start(self) -> None:
        """Open the listeners and start to follow the platform."""
        parts = self.parts
        self._stack.enter_context(parts.coordination)
        self._stack.enter_context(parts.log_reader)
        self._stack.enter_context(parts.cost_flusher)
        if parts.orders is not None:
            self._stack.enter_context(parts.orders)
        self._start_loops()
        self._caller_port = await self._listen(
            self.settings.callers.listen, self._caller_connections
        )
        await self._listen(
            self.settings.control.listen,
            server.Site(self.operators.app.resource()),
        )
        LOG.info('%s started as %s', PREFIX, self.settings.host_id)

    async def drain(self) -> bool:
        """Stop taking calls and wait for those in flight.

        Calls that arrive before the listener is closed are run; those that
        arrive later, on connections still open, are refused as not run.

        :returns: whether every call in flight was finished.
        """
        self.stopping = True
        LOG.info('%s draining', PREFIX)
        limits = self.settings.callers
        deadline = self._clock.monotonic() + limits.drain_limit_s
        self.parts.coordination.heartbeats.leave()
        await task.deferLater(
            self._reactor, min(limits.drain_grace_s, limits.drain_limit_s)
        )
        if self._caller_port is not None:
            await drain.stop_listening(self._caller_port)
        self.callers.stop()
        drained = await drain.close_quiet_connections(
            self._caller_connections, deadline, self._reactor
        )
        drained = drained and await self._finish_runs(deadline)
        if not drained:
            LOG.error(
                '%s drain limit reached: %d calls in flight, %d connections',
                PREFIX,
                len(self.callers.in_flight_by_id),
                len(self._caller_connections.protocols),
            )
            return False
        await self._settle_claims()
        await self.parts.cost_flusher.final_flush(
            self.settings.platform.cost_final_flush_s
        )
        self._stack.close()
        LOG.info('%s drained', PREFIX)
        return True

    async def _finish_runs(self, deadline: float) -> bool:
        """Wait for claimed runs, which outlive their callers."""
        while self.parts.runner.claimed_runs:
            if self._clock.monotonic() > deadline:
                return False
            await task.deferLater(self._reactor, _TICK_S)
        return True

    async def _settle_claims(self) -> None:
        """Release the claims that never ran, as far as the log takes it."""
        claims = self.parts.claims
        limit = self._clock.monotonic() + self.settings.platform.timeout_s
        while (
            claims is not None
            and claims.unsettled
            and self._clock.monotonic() < limit
        ):
            await task.deferLater(self._reactor, _TICK_S)

    async def _listen(self, listen: config.ListenAddress, factory):
        endpoint = endpoints.TCP4ServerEndpoint(
            self._reactor, listen.port, interface=listen.ip
        )
        port = await endpoint.listen(factory)
        self._stack.callback(port.stopListening)
        return port

    def _start_loops(self) -> None:
        parts = self.parts
        self._start_loop(
            self._read_list, self.settings.platform.host_list_poll_s
        )
        self._start_loop(
            parts.coordination.heartbeats.advance,
            self.settings.peers.heartbeat_s,
        )
        self._start_loop(parts.coordination.advance, _COORDINATION_TICK_S)
        self._start_loop(parts.update_hosts, _COORDINATION_TICK_S)
        self._start_loop(parts.runner.advance, _TICK_S)
        if parts.cache_follower is not None:
            self._start_loop(
                parts.cache_follower.advance, _COORDINATION_TICK_S
            )
        if parts.claims is not None:
            self._start_loop(parts.claims.advance, _TICK_S)

    def _start_loop(self, function, interval_s: float) -> None:
        def run_once() -> defer.Deferred:
            # A failure must not end the loop: without heartbeats, for one,
            # the peers would take this host for dead.
            return defer.maybeDeferred(function).addErrback(
                lambda failure: LOG.error(
                    '%s loop: %s', PREFIX, failure.getTraceback()
                )
            )

        loop = task.LoopingCall(run_once)
        loop.clock = self._reactor
        loop.start(interval_s)
        self._stack.callback(loop.stop)

    def _read_list(self) -> defer.Deferred[None]:
        return defer.Deferred.fromCoroutine(self._apply_list())

    async def _apply_list(self) -> None:
        result = await self.parts.host_list.read()
        if result.is_error():
            LOG.warning('%s host list: %s', PREFIX, result.error)
            return
        self.parts.list_read(result.ok)
        if not self._list_loaded:
            self._list_loaded = True
            self.parts.update_hosts()

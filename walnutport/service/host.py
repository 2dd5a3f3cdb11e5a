"""An entry host: opens its listeners and runs until it is drained."""

import contextlib
import logging

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import task
from twisted.web import server

from walnutport.config import settings as config
from walnutport.lifecycle import host_end
from walnutport.metrics import exposition
from walnutport.service import components as host_components
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
# Time to send the answers of the calls that are cut off at the drain limit.
_LAST_ANSWERS_S = 0.1


class EntryHost:
    """One entry host process.

    :param settings: validated settings.
    """

    def __init__(self, settings: config.HostSettings, reactor) -> None:
        self.settings = settings
        self._reactor = reactor
        self._stack = contextlib.ExitStack()
        self.stopping = False
        self._end = host_end.HostEnd()
        self._host_list_loaded = False
        self.components = host_components.HostComponents(
            settings, reactor, self.is_ready
        )
        self._clock = self.components.clock
        self.callers = caller_api.CallerApi(
            settings.callers,
            lambda: self.components.catalogue.fold.view(),
            self.is_ready,
            self.can_run_calls,
            self.components.pipeline_runner,
            self._clock,
            self.components.latencies,
            self._end,
        )
        self.view = views.HostView(self)
        collector = exposition.HostCollector(
            self.components.latencies,
            self.components.cost_ledger,
            samples.HostSamples(self).collect,
        )
        self.operators = operators.OperatorApi(
            collector,
            self.components.latencies,
            self.components.cost_ledger,
            self.view.status,
        )
        self.caller_site = caller_site.CallerSite(
            self.callers.app.resource(), settings.callers, reactor
        )
        self._caller_connections = drain.TrackedFactory(self.caller_site)
        self._caller_port = None

    def can_run_calls(self) -> bool:
        """Return whether the host can run calls, even while stopping."""
        return self.components.catalogue.synced and self._host_list_loaded

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new calls."""
        return not self.stopping and self.can_run_calls()

    async def start(self) -> None:
        """Open the listeners and start to follow the log and host list."""
        components = self.components
        self._stack.enter_context(components.coordination)
        self._stack.enter_context(components.log_reader)
        self._stack.enter_context(components.cost_flusher)
        if components.orders is not None:
            self._stack.enter_context(components.orders)
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
        """Stop accepting calls and wait for those in flight.

        Calls that arrive before the listener closes are run; those that
        arrive later, on open connections, are refused as not run.

        :returns: whether every call in flight was finished.
        """
        self.stopping = True
        LOG.info('%s draining', PREFIX)
        caller_settings = self.settings.callers
        deadline = self._clock.monotonic() + caller_settings.drain_limit_s
        self._end.set(deadline)
        self.components.coordination.heartbeats.leave()
        await task.deferLater(
            self._reactor,
            min(caller_settings.drain_grace_s, caller_settings.drain_limit_s),
        )
        if self._caller_port is not None:
            await drain.stop_listening(self._caller_port)
        self.callers.stop()
        drained = await drain.close_idle_connections(
            self._caller_connections, deadline, self._reactor
        )
        drained = drained and await self._wait_for_claimed_runs(deadline)
        if not drained:
            LOG.error(
                '%s drain limit reached: %d calls in flight, %d connections',
                PREFIX,
                len(self.callers.in_flight_by_id),
                len(self._caller_connections.protocols),
            )
            self.callers.cut_off()
            await task.deferLater(self._reactor, _LAST_ANSWERS_S)
            return False
        await self._wait_for_claim_releases()
        await self.components.cost_flusher.final_flush(
            self.settings.platform.cost_final_flush_s
        )
        self._stack.close()
        LOG.info('%s drained', PREFIX)
        return True

    async def _wait_for_claimed_runs(self, deadline: float) -> bool:
        """Wait for claimed runs, which go on after their callers leave."""
        while self.components.pipeline_runner.claimed_runs:
            if self._clock.monotonic() > deadline:
                return False
            await task.deferLater(self._reactor, _TICK_S)
        return True

    async def _wait_for_claim_releases(self) -> None:
        """Wait for the release of claims that never ran, up to a timeout."""
        claims = self.components.claims
        deadline = self._clock.monotonic() + self.settings.platform.timeout_s
        while (
            claims is not None
            and claims.unsettled
            and self._clock.monotonic() < deadline
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
        components = self.components
        self._start_loop(
            self._start_list_read, self.settings.platform.host_list_poll_s
        )
        self._start_loop(
            components.coordination.heartbeats.advance,
            self.settings.peers.heartbeat_s,
        )
        self._start_loop(components.coordination.advance, _COORDINATION_TICK_S)
        self._start_loop(components.update_hosts, _COORDINATION_TICK_S)
        self._start_loop(components.pipeline_runner.advance, _TICK_S)
        if components.cache_follower is not None:
            self._start_loop(
                components.cache_follower.advance, _COORDINATION_TICK_S
            )
        if components.claims is not None:
            self._start_loop(components.claims.advance, _TICK_S)

    def _start_loop(self, callback, interval_s: float) -> None:
        def run_once() -> defer.Deferred:
            # A failure must not end the loop: without heartbeats, for example,
            # the peers would consider this host dead.
            return defer.maybeDeferred(callback).addErrback(
                lambda failure: LOG.error(
                    '%s periodic task failed: %s',
                    PREFIX,
                    failure.getTraceback(),
                )
            )

        loop = task.LoopingCall(run_once)
        loop.clock = self._reactor
        loop.start(interval_s)
        self._stack.callback(loop.stop)

    def _start_list_read(self) -> defer.Deferred[None]:
        return defer.Deferred.fromCoroutine(self._read_host_list())

    async def _read_host_list(self) -> None:
        result = await self.components.host_list.read()
        if result.is_error():
            LOG.warning('%s host list not read: %s', PREFIX, result.error)
            return
        self.components.apply_host_list(result.ok)
        if not self._host_list_loaded:
            self._host_list_loaded = True
            self.components.update_hosts()

"""An entry host: owns every part and runs until it is drained."""

import contextlib
import dataclasses
import logging
import secrets

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import task
from twisted.web import server

from walnutport.adapters import engine
from walnutport.adapters import host_list
from walnutport.adapters import http
from walnutport.adapters import log
from walnutport.adapters import stage
from walnutport.catalogue import fold
from walnutport.adapters import target_control
from walnutport.catalogue import follower
from walnutport.claims import records
from walnutport import clock as system_clock
from walnutport.config import settings as config
from walnutport.cost import ledger
from walnutport import interfaces
from walnutport.metrics import exposition
from walnutport.metrics import histograms
from walnutport.peer import replay
from walnutport.service import attempts
from walnutport.service import callers
from walnutport.service import coordination
from walnutport.service import cost
from walnutport.service import drain
from walnutport.service import log_reader
from walnutport.service import operators
from walnutport.service import orders
from walnutport.service import claims
from walnutport.service import log_reader
from walnutport.service import log_writer
from walnutport.service import pipeline
from walnutport.service import policies as host_policies
from walnutport.service import target_watch
from walnutport.service import suspect_parts
from walnutport import world

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
        self._clock = system_clock.SystemClock()
        self._stack = contextlib.ExitStack()
        self.stopping = False
        self._list_loaded = False
        self.policies = host_policies.build_policies(settings)
        self._watch = coordination.new_target_watch(
            self.policies.router, self._clock, reactor, settings.peers
        )
        self.policies = dataclasses.replace(
            self.policies,
            router=target_watch.ObservingRouter(
                self.policies.router, self._watch.load_heard
            ),
        )
        self.latencies = histograms.LatencyHistograms()
        self.incarnation = replay.new_incarnation(
            self._clock.wall(), secrets.randbits(16)
        )
        self.cost = ledger.CostLedger(settings.host_id, self.incarnation)
        platform = settings.platform
        self._platform_client = http.HttpClient(reactor)
        self.catalogue = follower.CatalogueFollower(lambda: None)
        self._log = log.HttpLogService(
            self._platform_client,
            _address(platform.log),
            reactor,
            platform.timeout_s,
        )
        self.cost_flusher = cost.CostFlusher(
            self.cost, self._log.append, reactor, platform.cost_flush_s
        )
        self._host_list = host_list.HttpHostList(
            self._platform_client,
            _address(platform.host_list),
            reactor,
            platform.timeout_s,
        )
        self._engines_by_id: dict[str, world.Target] = {}
        self.orders = self._build_orders() if settings.orders.enabled else None
        self.log_reader = log_reader.LogReader(
            self._log,
            self._followers(),
        self.log_writer = log_writer.LogWriter(
            self._log, self._clock, reactor, platform.max_appends_per_s
        )
        self.incarnation = secrets.randbits(63)
        self.claims = claims.ClaimService(
            records.Owner(settings.host_id, self.incarnation),
            platform,
            settings.callers.answer_store_bytes,
            self.log_writer,
            self._clock,
            reactor,
            lambda: self.log_reader.available,
        )
        self.log_reader = log_reader.LogReader(
            self._log,
            [self.catalogue, self.claims],
        control = target_control.TargetControl(
            http.HttpClient(reactor, persistent=False), reactor
        )
        self.suspects = suspect_parts.build_suspect_parts(
            self.policies,
            settings.host_id,
            control,
            self._clock,
            reactor,
            append=self._log.append,
        )
        self.log_reader = log_reader.LogReader(
            self._log,
            [self.catalogue, *self.suspects.followers],
            self._clock,
            reactor,
            platform.poll_wait_s,
        )
        self.coordination = coordination.Coordination(
            settings,
            self.incarnation,
            self._watch,
            self.catalogue,
            self.log_reader,
            self._log,
            self.is_ready,
            self._clock,
            reactor,
        )
        stage_client = stage.StageClient(
            http.HttpClient(reactor),
            http.HttpClient(reactor, persistent=False),
        )
        self.runner = pipeline.PipelineRunner(
            self.policies,
            attempts.StageRunner(
                self.policies,
                stage_client,
                engine.EngineClient(self._platform_client, reactor),
                self.cost,
                self._clock,
                reactor,
                self.cost,
                self._clock,
                reactor,
                watch=self.suspects.watch,
                permits=self.suspects.permits,
                control=control,
            ),
            self._clock,
            claims=self.claims if self.policies.at_most_once else None,
        )
        self.callers = callers.CallerApi(
            settings.callers,
            lambda: self.catalogue.fold.view(),
            self.is_ready,
            self.takes_calls,
            self.runner,
            self._clock,
            self.latencies,
        )
        collector = exposition.HostCollector(
            self.latencies, self.cost, self._gauges, self._counters
        )
        self.operators = operators.OperatorApi(
            collector, self.latencies, self.cost, self.status
        )
        self._caller_connections = drain.tracked_site(
            self.callers.app.resource()
        )
        self._caller_port = None

    def takes_calls(self) -> bool:
        """Return whether the host can run calls, even if it is stopping."""
        return self.catalogue.synced and self._list_loaded

    def is_ready(self) -> bool:
        """Return whether the balancer should send new calls."""
        return not self.stopping and self.takes_calls()

    def status(self) -> dict[str, object]:
        """Return the host's own view as plain JSON values."""
        last_read = self.log_reader.last_success
        lag_s = None
        if last_read is not None:
            lag_s = round(self._clock.monotonic() - last_read, 3)
        return {
            'host_id': self.settings.host_id,
            'data_centre': self.settings.data_centre,
            'ready': self.is_ready(),
            'stopping': self.stopping,
            'calls_in_flight': len(self.callers.in_flight_by_id),
            'catalogue_offset': self.catalogue.start_offset(),
            'log_available': self.log_reader.available,
            'log_last_read_s_ago': lag_s,
        }

    def _gauges(self) -> dict[str, float]:
        return {
            'ready': float(self.is_ready()),
            'calls_in_flight': len(self.callers.in_flight_by_id),
            'catalogue_offset': self.catalogue.start_offset(),
            'log_available': float(self.log_reader.available),
        }

    def _counters(self) -> dict[str, float]:
        return {}

    async def start(self) -> None:
        """Open the listeners and start to follow the platform."""
        self._stack.enter_context(self.coordination)
        self._stack.enter_context(self.log_reader)
        self._stack.enter_context(self.cost_flusher)
        self._start_loop(
            self._read_list, self.settings.platform.host_list_poll_s
        )
        self._start_loop(
            self.coordination.heartbeats.advance,
            self.settings.peers.heartbeat_s,
        )
        self._start_loop(self.coordination.advance, _COORDINATION_TICK_S)
        if self.orders is not None:
            self._stack.enter_context(self.orders)
        self._start_loop(self.runner.advance, _TICK_S)
        self._caller_port = await self._listen(
            self.settings.callers.listen, self._caller_connections
        )
        self._start_loop(self.claims.advance, _TICK_S)
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
        self.coordination.heartbeats.leave()
        await task.deferLater(
            self._reactor, min(limits.drain_grace_s, limits.drain_limit_s)
        )
        if self._caller_port is not None:
            await drain.stop_listening(self._caller_port)
        self.callers.stop()
        drained = await drain.close_quiet_connections(
            self._caller_connections, deadline, self._reactor
        )
        if not drained:
            LOG.error(
                '%s drain limit reached: %d calls in flight, %d connections',
                PREFIX,
                len(self.callers.in_flight_by_id),
                len(self._caller_connections.protocols),
            )
            return False
        await self.cost_flusher.finish(
            self.settings.platform.cost_final_flush_s
        )
        while self.callers.in_flight_by_id or self.runner.owned_runs:
            if self._clock.monotonic() > deadline:
                LOG.error(
                    '%s drain limit reached with %d calls in flight',
                    PREFIX,
                    max(
                        len(self.callers.in_flight_by_id),
                        self.runner.owned_runs,
                    ),
                )
                return False
            await task.deferLater(self._reactor, _TICK_S)
        await self._settle_claims()
        self._stack.close()
        LOG.info('%s drained', PREFIX)
        return True

    async def _listen(self, listen: config.ListenAddress, factory):
    async def _settle_claims(self) -> None:
        """Release the claims that never ran, as far as the log takes it."""
        limit = self._clock.monotonic() + self.settings.platform.timeout_s
        while self.claims.unsettled and self._clock.monotonic() < limit:
            await task.deferLater(self._reactor, _TICK_S)

    async def _listen(self, listen: config.ListenAddress, resource) -> None:
        endpoint = endpoints.TCP4ServerEndpoint(
            self._reactor, listen.port, interface=listen.ip
        )
        port = await endpoint.listen(factory)
        self._stack.callback(port.stopListening)
        return port

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

    def _models(self) -> frozenset[str]:
        if not self.catalogue.synced:
            return frozenset()
        return _models(self.catalogue.fold.view())

    def _followers(self) -> list[interfaces.LogFollower]:
        if self.orders is None:
            return [self.catalogue]
        return [self.catalogue, self.orders.keeper]

    def _build_orders(self) -> orders.OrderService:
        return orders.build(
            self.settings,
            self.incarnation,
            self._platform_client,
            self._log,
            self._clock,
            self._reactor,
            engines=lambda: self._engines_by_id,
            models=self._models,
        )

    def _read_list(self) -> defer.Deferred[None]:
        return defer.Deferred.fromCoroutine(self._apply_list())

    async def _apply_list(self) -> None:
        result = await self._host_list.read()
        if result.is_error():
            LOG.warning('%s host list: %s', PREFIX, result.error)
            return
        self.coordination.list_read(result.ok)
        self._engines_by_id = {
            target.target_id: target
            for target in result.ok.targets_by_id.values()
            if target.service == self.settings.orders.engine_service
            and target.state is world.TargetState.LIVE
        }
        now = self._clock.monotonic()
        self.policies.router.hosts_changed(result.ok.hosts_by_id, now)
        self.policies.router.targets_changed(result.ok.targets_by_id, now)
        self._list_loaded = True


def _models(view: fold.CatalogueView) -> frozenset[str]:
    return frozenset(
        step.model
        for pipeline_ in view.pipelines_by_id.values()
        for step in pipeline_.stages
        if step.model
    )


def _address(listen: config.ListenAddress) -> world.Address:
    return world.Address(listen.ip, listen.port)

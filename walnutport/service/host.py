"""An entry host: owns every part and runs until it is drained."""

import contextlib
import logging

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import task

from walnutport.adapters import host_list
from walnutport.adapters import http
from walnutport.adapters import log
from walnutport.adapters import stage
from walnutport.catalogue import follower
from walnutport import clock as system_clock
from walnutport.config import settings as config
from walnutport.cost import ledger
from walnutport import interfaces
from walnutport.service import attempts
from walnutport.service import caller_site
from walnutport.service import callers
from walnutport.service import log_reader
from walnutport.service import pipeline
from walnutport.service import policies as host_policies
from walnutport import world

__all__ = ['EntryHost']

LOG = logging.getLogger(__name__)
PREFIX = 'host:'

_TICK_S = 0.05


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
        self.cost = ledger.CostLedger()
        platform = settings.platform
        self._platform_client = http.HttpClient(reactor)
        self.catalogue = follower.CatalogueFollower(self._catalogue_changed)
        self._log = log.HttpLogService(
            self._platform_client,
            _address(platform.log),
            reactor,
            platform.timeout_s,
        )
        self._host_list = host_list.HttpHostList(
            self._platform_client,
            _address(platform.host_list),
            reactor,
            platform.timeout_s,
        )
        self.log_reader = log_reader.LogReader(
            self._log,
            [self.catalogue],
            self._clock,
            reactor,
            platform.poll_wait_s,
        )
        stage_client = stage.StageClient(
            http.HttpClient(reactor),
            http.HttpClient(reactor, persistent=False),
        )
        self.runner = pipeline.PipelineRunner(
            self.policies,
            attempts.StageRunner(
                self.policies, stage_client, self.cost, self._clock, reactor
            ),
            self._clock,
        )
        self.callers = callers.CallerApi(
            settings.callers,
            lambda: self.catalogue.fold.view(),
            self.is_ready,
            self.runner,
            self._clock,
        )

    def is_ready(self) -> bool:
        """Return whether the host takes new calls."""
        return (
            not self.stopping and self.catalogue.synced and self._list_loaded
        )

    async def start(self) -> None:
        """Open the listeners and start to follow the platform."""
        self._stack.enter_context(self.log_reader)
        self._start_loop(
            self._read_list, self.settings.platform.host_list_poll_s
        )
        self._start_loop(self.runner.advance, _TICK_S)
        await self._listen(
            self.settings.callers.listen,
            caller_site.CallerSite(
                self.callers.app.resource(),
                self.settings.callers,
                self._reactor,
            ),
        )
        LOG.info('%s started as %s', PREFIX, self.settings.host_id)

    async def drain(self) -> bool:
        """Stop taking calls and wait for those in flight.

        :returns: whether every call in flight was finished.
        """
        self.stopping = True
        LOG.info('%s draining', PREFIX)
        deadline = (
            self._clock.monotonic() + self.settings.callers.drain_limit_s
        )
        while self.callers.in_flight_by_id:
            if self._clock.monotonic() > deadline:
                LOG.error(
                    '%s drain limit reached with %d calls in flight',
                    PREFIX,
                    len(self.callers.in_flight_by_id),
                )
                return False
            await task.deferLater(self._reactor, _TICK_S)
        self._stack.close()
        LOG.info('%s drained', PREFIX)
        return True

    async def _listen(self, listen: config.ListenAddress, site) -> None:
        endpoint = endpoints.TCP4ServerEndpoint(
            self._reactor, listen.port, interface=listen.ip
        )
        port = await endpoint.listen(site)
        self._stack.callback(port.stopListening)

    def _start_loop(self, function, interval_s: float) -> None:
        loop = task.LoopingCall(function)
        loop.clock = self._reactor
        loop.start(interval_s).addErrback(
            lambda failure: LOG.error('%s loop failed: %s', PREFIX, failure)
        )
        self._stack.callback(loop.stop)

    def _read_list(self) -> defer.Deferred[None]:
        return defer.Deferred.fromCoroutine(self._apply_list())

    async def _apply_list(self) -> None:
        result = await self._host_list.read()
        if result.is_error():
            LOG.warning('%s host list: %s', PREFIX, result.error)
            return
        self.policies.router.targets_changed(
            result.ok.targets_by_id, self._clock.monotonic()
        )
        self._list_loaded = True
        self._tell_admission(result.ok)

    def _tell_admission(self, page: interfaces.HostListPage) -> None:
        now = self._clock.monotonic()
        self.policies.admission.targets_changed(page.targets_by_id, now)
        # Until heartbeats tell who is live, every listed host counts.
        known = set(page.hosts_by_id) | {self.settings.host_id}
        self.policies.admission.hosts_changed(known, known, now)

    def _catalogue_changed(self) -> None:
        view = self.catalogue.fold.view()
        self.policies.admission.catalogue_changed(
            view.contracts_by_id,
            view.pipelines_by_id,
            view.classes_by_id,
            view.members_by_id,
        )


def _address(listen: config.ListenAddress) -> world.Address:
    return world.Address(listen.ip, listen.port)

"""Builds the components of an entry host and connects them."""

from collections.abc import Callable
import secrets

from walnutport.adapters import cache_events
from walnutport.adapters import engine_client
from walnutport.adapters import host_list
from walnutport.adapters import http_client
from walnutport.adapters import log_service
from walnutport.adapters import stage_client
from walnutport.adapters import target_control
from walnutport.catalogue import follower
from walnutport.claims import records as claim_records
from walnutport import clock as system_clock
from walnutport.config import settings as config
from walnutport.cost import ledger
from walnutport import interfaces
from walnutport.metrics import histograms
from walnutport.peer import replay
from walnutport.routing import router
from walnutport.service.fleet import coordination
from walnutport.service.fleet import suspect_components
from walnutport.service import policies as host_policies
from walnutport.service.records import claims
from walnutport.service.records import cost
from walnutport.service.records import log_reader
from walnutport.service.records import log_writer
from walnutport.service.records import orders
from walnutport.service.requests import pipeline
from walnutport.service.requests import stage_runner
from walnutport.service.targets import cache_follower
from walnutport.service.targets import target_watch
from walnutport import world

__all__ = ['HostComponents']


class HostComponents:
    """All components of a host except its listeners.

    :param settings: validated settings.
    :param is_ready: returns whether the host accepts new calls.
    """

    def __init__(
        self,
        settings: config.HostSettings,
        reactor,
        is_ready: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.clock = system_clock.SystemClock()
        self.incarnation = replay.new_incarnation(
            self.clock.wall(), secrets.randbits(16)
        )
        self.policies = host_policies.build_policies(settings)
        self.latencies = histograms.LatencyHistograms()
        self.cost_ledger = ledger.CostLedger(
            settings.host_id, self.incarnation
        )
        self._engines_by_id: dict[str, world.Target] = {}
        self._live_and_known_hosts: (
            tuple[frozenset[str], frozenset[str]] | None
        ) = None
        self._build_platform()
        self._build_coordination(is_ready)
        self._build_claims()
        self._build_runner()

    def _build_platform(self) -> None:
        platform = self.settings.platform
        self.platform_client = http_client.HttpClient(self.reactor)
        self.log_service = log_service.HttpLogService(
            http_client.TimeoutClient(
                self.platform_client,
                _address(platform.log),
                self.reactor,
                platform.timeout_s,
            )
        )
        self.log_writer = log_writer.LogWriter(
            self.log_service,
            self.clock,
            self.reactor,
            platform.max_appends_per_s,
        )
        self.host_list = host_list.HttpHostList(
            http_client.TimeoutClient(
                self.platform_client,
                _address(platform.host_list),
                self.reactor,
                platform.timeout_s,
            )
        )
        self.catalogue = follower.CatalogueFollower(self._catalogue_changed)
        self.log_reader = log_reader.LogReader(
            self.log_service,
            [self.catalogue],
            self.clock,
            self.reactor,
            platform.poll_wait_s,
        )
        self.cost_flusher = cost.CostFlusher(
            self.cost_ledger,
            self.log_writer.submit,
            self.reactor,
            platform.cost_flush_s,
        )
        self.orders: orders.OrderService | None = None
        if self.settings.orders.enabled:
            self.orders = orders.build_order_service(
                self.settings,
                self.incarnation,
                self.platform_client,
                self.log_service,
                self.clock,
                self.reactor,
                engines=lambda: self._engines_by_id,
                models=self._models,
            )
            self.log_reader.add_follower(self.orders.lease_manager)

    def _build_coordination(self, is_ready: Callable[[], bool]) -> None:
        self.target_watch = coordination.new_target_watch(
            target_watch.TargetFanOut(
                self.policies.router, self.policies.admission
            ),
            self.clock,
            self.reactor,
            self.settings.peers,
        )
        if isinstance(self.policies.router, router.StandardRouter):
            self.target_watch.used_ids = self.policies.router.known_ids
        self.coordination = coordination.Coordination(
            self.settings,
            self.incarnation,
            self.target_watch,
            self.catalogue,
            self.log_reader,
            self.log_service,
            is_ready,
            self.clock,
            self.reactor,
        )
        admission = self.policies.admission
        heartbeats = self.coordination.heartbeats
        heartbeats.demands = lambda: admission.demands(self.clock.monotonic())
        heartbeats.on_demands = admission.demands_received

    def _build_claims(self) -> None:
        self.claims: claims.ClaimService | None = None
        if not self.policies.at_most_once:
            return
        self.claims = claims.ClaimService(
            claim_records.Owner(self.settings.host_id, self.incarnation),
            self.settings.platform,
            self.settings.callers.answer_store_bytes,
            self.log_writer,
            self.clock,
            self.reactor,
            lambda: self.log_reader.available,
            self.coordination.network,
        )
        self.log_reader.add_follower(self.claims)

    def _build_runner(self) -> None:
        control = target_control.TargetControl(
            http_client.HttpClient(self.reactor, persistent=False),
            self.reactor,
        )
        self.suspect_components = suspect_components.build_suspect_components(
            self.policies,
            self.settings.host_id,
            control,
            self.clock,
            self.reactor,
            bus=self.coordination.network,
            append=self.log_writer.submit,
            live_hosts=self.coordination.heartbeats.live_peers,
        )
        for suspect_follower in self.suspect_components.followers:
            self.log_reader.add_follower(suspect_follower)
        self.engine_client = engine_client.EngineClient(
            self.platform_client, self.reactor
        )
        self.stage_runner = stage_runner.StageRunner(
            self.policies,
            stage_client.StageClient(
                http_client.HttpClient(self.reactor),
                http_client.HttpClient(self.reactor, persistent=False),
            ),
            self.engine_client,
            self.cost_ledger,
            self.clock,
            self.reactor,
            crash_detector=self.suspect_components.crash_detector,
            permits=self.suspect_components.permits,
            control=control,
            load_listeners=self._load_listeners(),
            watch=self.target_watch,
        )
        self.cache_follower: cache_follower.CacheFollower | None = None
        target_router = self.policies.router
        prefix_affinity = self.settings.policies.prefix_affinity
        if prefix_affinity and isinstance(
            target_router, router.StandardRouter
        ):
            self.cache_follower = cache_follower.CacheFollower(
                cache_events.CacheEventClient(
                    http_client.HttpClient(self.reactor), self.reactor
                ),
                target_router.prefixes,
                target_router.known_targets,
                self.clock,
            )
        self.pipeline_runner = pipeline.PipelineRunner(
            self.policies, self.stage_runner, self.clock, claims=self.claims
        )

    def apply_host_list(self, page: interfaces.HostListPage) -> None:
        """Apply a new version of the platform's host list."""
        self.coordination.apply_host_list(page)
        self.policies.router.hosts_changed(
            {*page.hosts_by_id, self.settings.host_id}, self.clock.monotonic()
        )
        self._engines_by_id = {
            target.target_id: target
            for target in page.targets_by_id.values()
            if target.service == self.settings.orders.engine_service
            and target.state is world.TargetState.LIVE
        }

    def update_hosts(self) -> None:
        """Pass the hosts that share the fleet-wide limits to admission."""
        membership = self.coordination.heartbeats.membership
        now = self.clock.monotonic()
        own = self.settings.host_id
        live = frozenset({own, *membership.recently_heard_ids(now)})
        known = frozenset({own, *membership.known_ids()})
        if (live, known) != self._live_and_known_hosts:
            self._live_and_known_hosts = (live, known)
            self.policies.admission.hosts_changed(live, known, now)

    def _load_listeners(
        self,
    ) -> list[Callable[[str, world.LoadReport, float], None]]:
        admission = self.policies.admission
        listeners: list[Callable[[str, world.LoadReport, float], None]] = [
            self.target_watch.load_reported,
            lambda target_id, load, _: admission.load_reported(
                target_id, load, self.clock.monotonic()
            ),
        ]
        crash_detector = self.suspect_components.crash_detector
        if crash_detector is not None:
            listeners.append(
                lambda target_id, load, _: crash_detector.learn_incarnation(
                    target_id, load
                )
            )
        return listeners

    def _catalogue_changed(self) -> None:
        view = self.catalogue.fold.view()
        self.policies.admission.catalogue_changed(
            view.contracts_by_id,
            view.pipelines_by_id,
            view.classes_by_id,
            view.members_by_id,
        )

    def _models(self) -> frozenset[str]:
        if not self.catalogue.synced:
            return frozenset()
        return frozenset(
            stage.model
            for pipeline in self.catalogue.fold.view().pipelines_by_id.values()
            for stage in pipeline.stages
            if stage.model
        )


def _address(listen: config.ListenAddress) -> world.Address:
    return world.Address(listen.ip, listen.port)

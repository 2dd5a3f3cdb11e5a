"""Manages the order lease and, while holding it, sends orders to engines."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging
import random

from twisted.internet import defer
from twisted.internet import task

from walnutport.adapters import engine_control
from walnutport.adapters import http_client
from walnutport.adapters import weight_store
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport import interfaces
from walnutport.orders import lease
from walnutport.orders import planner
from walnutport.orders import reconcile
from walnutport import world

__all__ = ['OrderService', 'build_order_service']

LOG = logging.getLogger(__name__)
PREFIX = 'orders:'

_WEIGHTS_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Round:
    """Engines and their reports in one round of the lease holder.

    :param reports_by_id: reports of this round.
    :param known_by_id: reports to plan with, including the last ones of
        engines that missed a few rounds, as a lost report must not move
        their models.
    """

    targets_by_id: Mapping[str, world.Target]
    reports_by_id: Mapping[str, reconcile.EngineReport]
    known_by_id: Mapping[str, reconcile.EngineReport]


@dataclasses.dataclass(frozen=True, slots=True)
class _LastReport:
    report: reconcile.EngineReport
    received_at: float


class OrderService:
    """Manages the lease of one host and sends orders while it is held.

    A context manager that runs from enter to exit. The log reader passes
    pages to the lease manager too; the service reads the stream itself where
    the lease depends on the time at which a read started.

    :param engines: returns the known engines by id.
    :param models: returns the models that some engine must have loaded; none
        before the catalogue is known.
    :param grace_s: time for which an engine without a report stays in the
        plan.
    """

    def __init__(
        self,
        lease_manager: lease.LeaseManager,
        order_planner: planner.Planner,
        log: interfaces.LogService,
        control: engine_control.EngineControl,
        store: weight_store.HttpWeightStore,
        clock: interfaces.Clock,
        reactor,
        *,
        issuer: str,
        engines: Callable[[], Mapping[str, world.Target]],
        models: Callable[[], frozenset[str]],
        tick_s: float,
        resend_s: float,
        grace_s: float,
    ) -> None:
        self.lease_manager = lease_manager
        self._planner = order_planner
        self._log = log
        self._control = control
        self._store = store
        self._clock = clock
        self._engines = engines
        self._models = models
        self._tick_s = tick_s
        self._grace_s = grace_s
        self._load_limiter = reconcile.LoadRateLimiter(1.0)
        self._reconciler = reconcile.EngineReconciler(
            issuer, self._load_limiter, resend_s
        )
        self._weights_by_name: dict[str, weight_store.Weights] = {}
        self._weights_read_at = float('-inf')
        self._was_holder = False
        self._held_since = float('-inf')
        self._last_reports_by_id: dict[str, _LastReport] = {}
        self._loop = task.LoopingCall(self._start_tick)
        self._loop.clock = reactor
        self._running: defer.Deferred[None] | None = None
        self.orders_sent = 0
        self.orders_refused = 0
        self.lease_changes = 0

    def __enter__(self) -> 'OrderService':
        self._loop.start(self._tick_s).addErrback(
            lambda failure: LOG.error('%s loop failed: %s', PREFIX, failure)
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._loop.running:
            self._loop.stop()
        if self._running is not None:
            self._running.cancel()

    def _start_tick(self) -> defer.Deferred[None]:
        self._running = defer.Deferred.fromCoroutine(self._tick())
        self._running.addErrback(self._tick_failed)
        return self._running

    def _tick_failed(self, failure) -> None:
        if not failure.check(defer.CancelledError):
            LOG.error('%s round failed: %s', PREFIX, failure)

    async def _tick(self) -> None:
        self._update_holder()
        if not self.lease_manager.needs_read(self._clock.monotonic()):
            return
        if not await self._read_to_end():
            return
        await self._acquire_or_renew_lease()
        self._update_holder()
        if not self.lease_manager.is_holder:
            return
        await self._read_weights()
        current_round = await self._read_reports()
        await self._send_orders(current_round, self._plan(current_round))

    async def _read_to_end(self) -> bool:
        """Read the stream from the known offset until its end."""
        while True:
            started_at = self._clock.monotonic()
            offsets = {
                self.lease_manager.stream: self.lease_manager.start_offset()
            }
            result = await self._log.read(offsets, 0.0)
            if result.is_error():
                return False
            page = result.ok[self.lease_manager.stream]
            self.lease_manager.page_read(
                page, started_at, self._clock.monotonic()
            )
            if page.next_offset >= page.end_offset:
                return True

    async def _acquire_or_renew_lease(self) -> None:
        record = self.lease_manager.next_record(self._clock.monotonic())
        if record is None:
            return
        payload = lease.encode_record(record)
        try:
            result = await self._log.append(self.lease_manager.stream, payload)
        finally:
            self.lease_manager.append_finished(self._clock.monotonic())
        if result.is_error():
            LOG.warning('%s %s: %s', PREFIX, record.kind.value, result.error)
            return
        await self._read_to_end()

    def _update_holder(self) -> None:
        if self.lease_manager.is_holder == self._was_holder:
            return
        self._was_holder = self.lease_manager.is_holder
        self._held_since = self._clock.monotonic()
        self._last_reports_by_id.clear()
        self.lease_changes += 1
        self._planner.reset()
        LOG.info(
            '%s lease %s, fencing number %d',
            PREFIX,
            'taken' if self._was_holder else 'lost',
            self.lease_manager.fold.state.fencing,
        )

    async def _read_weights(self) -> None:
        now = self._clock.monotonic()
        if now - self._weights_read_at < _WEIGHTS_INTERVAL_S:
            return
        result = await self._store.read()
        if result.is_error():
            LOG.warning('%s weight store not read: %s', PREFIX, result.error)
            return
        self._weights_read_at = now
        self._load_limiter.rate_bytes_per_s = result.ok.rate_bytes_per_s
        self._weights_by_name = {item.name: item for item in result.ok.models}

    async def _read_reports(self) -> _Round:
        targets = dict(self._engines())
        reading = [
            defer.Deferred.fromCoroutine(self._control.read_report(target))
            for target in targets.values()
        ]
        results = await defer.DeferredList(reading, consumeErrors=True)
        now = self._clock.monotonic()
        reports = {}
        for target_id, (ok, value) in zip(targets, results, strict=True):
            if ok:
                # The id in the host list overrides the id in the report.
                report = dataclasses.replace(value, engine_id=target_id)
                reports[target_id] = report
                self._last_reports_by_id[target_id] = _LastReport(report, now)
            else:
                LOG.debug('%s %s: %s', PREFIX, target_id, value.value)
        self._last_reports_by_id = {
            target_id: last_report
            for target_id, last_report in self._last_reports_by_id.items()
            if target_id in targets
            and now - last_report.received_at <= self._grace_s
        }
        known = {
            target_id: last_report.report
            for target_id, last_report in self._last_reports_by_id.items()
        }
        return _Round(targets, reports, known)

    def _plan(
        self, current_round: _Round
    ) -> dict[str, reconcile.DesiredEngineState]:
        now = self._clock.monotonic()
        models = self._models() & self._weights_by_name.keys()
        complete = (
            current_round.known_by_id.keys()
            == current_round.targets_by_id.keys()
        )
        # A plan without models would unload every engine, and one without
        # all reports would load models a second time.
        if not models or (
            not complete and now - self._held_since < self._grace_s
        ):
            return {}
        demand: dict[str, float] = {}
        for report in current_round.known_by_id.values():
            for name, count in report.demand_by_model.items():
                demand[name] = demand.get(name, 0.0) + count
        placed = self._planner.plan(
            [
                planner.EngineCapacity(
                    target_id,
                    max(0, report.places),
                    frozenset(model.name for model in report.models),
                )
                for target_id, report in current_round.known_by_id.items()
            ],
            sorted(models),
            demand,
            now,
        )
        return {
            target_id: self._desired_state(
                names, current_round.known_by_id[target_id].role
            )
            for target_id, names in placed.items()
        }

    def _desired_state(
        self, names: tuple[str, ...], role: str
    ) -> reconcile.DesiredEngineState:
        model_weights = [self._weights_by_name[name] for name in names]
        return reconcile.DesiredEngineState(
            role,
            tuple(
                reconcile.ModelState(item.name, item.version)
                for item in model_weights
            ),
            tuple(name for item in model_weights for name in item.adapters),
        )

    async def _send_orders(
        self,
        current_round: _Round,
        desired_by_id: Mapping[str, reconcile.DesiredEngineState],
    ) -> None:
        now = self._clock.monotonic()
        if not self._reconciler.out_of_sync_engines(
            desired_by_id, current_round.reports_by_id, now
        ):
            return
        # Another host may have taken the lease while the reports were read.
        if not await self._read_to_end():
            return
        now = self._clock.monotonic()
        fencing = self.lease_manager.fencing(now)
        if fencing is None:
            return
        sizes = {
            name: item.bytes for name, item in self._weights_by_name.items()
        }
        orders = self._reconciler.next_orders(
            desired_by_id, current_round.reports_by_id, sizes, fencing, now
        )
        for order in orders:
            # Sending takes time too: the fencing number must still be valid.
            if self.lease_manager.fencing(self._clock.monotonic()) != fencing:
                return
            await self._send(
                current_round.targets_by_id[order.engine_id], order
            )

    async def _send(
        self, target: world.Target, order: reconcile.EngineOrder
    ) -> None:
        try:
            accepted = await self._control.send_order(target, order)
        except exceptions.OrderError as error:
            LOG.warning('%s %s: %s', PREFIX, target.target_id, error)
            return
        self.orders_sent += 1
        self.orders_refused += not accepted
        LOG.info(
            '%s %s %s order %d',
            PREFIX,
            target.target_id,
            'accepted' if accepted else 'refused',
            order.fencing,
        )


def build_order_service(
    settings: config.HostSettings,
    incarnation: int,
    client: http_client.HttpClient,
    log: interfaces.LogService,
    clock: interfaces.Clock,
    reactor,
    *,
    engines: Callable[[], Mapping[str, world.Target]],
    models: Callable[[], frozenset[str]],
) -> OrderService:
    """Return an order service as the settings define it."""
    order_settings = settings.orders
    platform = settings.platform
    seed = f'{settings.policies.random_seed}/{settings.host_id}/orders'
    store = platform.weight_store
    return OrderService(
        lease.LeaseManager(
            order_settings.group,
            settings.host_id,
            incarnation,
            order_settings.lease_s,
            random.Random(seed),
        ),
        planner.Planner(
            planner.PlannerSettings(
                order_settings.margin, order_settings.hold_s
            )
        ),
        log,
        engine_control.EngineControl(client, reactor, platform.timeout_s),
        weight_store.HttpWeightStore(
            http_client.TimeoutClient(
                client,
                world.Address(store.ip, store.port),
                reactor,
                platform.timeout_s,
            )
        ),
        clock,
        reactor,
        issuer=settings.host_id,
        engines=engines,
        models=models,
        tick_s=order_settings.tick_s,
        grace_s=order_settings.hold_s,
        resend_s=order_settings.resend_s,
    )

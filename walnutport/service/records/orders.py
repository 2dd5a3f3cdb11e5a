"""Keeps the order lease and, while it is held, sends orders to engines."""

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

__all__ = ['OrderService', 'build']

LOG = logging.getLogger(__name__)
PREFIX = 'orders:'

_WEIGHTS_EVERY_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    """What a round of the holder knows.

    :param reports_by_id: reports of this round.
    :param known_by_id: reports to plan with, also of engines that missed a
        few rounds, as a lost report must not move their models.
    """

    targets_by_id: Mapping[str, world.Target]
    reports_by_id: Mapping[str, reconcile.EngineReport]
    known_by_id: Mapping[str, reconcile.EngineReport]


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    report: reconcile.EngineReport
    at: float


class OrderService:
    """Runs the lease and the orders of one host.

    A context manager: it works between enter and exit. The log reader feeds
    the keeper too; the service reads the stream itself where the lease must
    know when a read was started.

    :param engines: returns the known engines by id.
    :param models: returns the models that must be loaded somewhere; none
        as long as the catalogue is not known.
    :param grace_s: time for which an engine without a report keeps its part
        in the plan.
    """

    def __init__(
        self,
        keeper: lease.LeaseManager,
        plan: planner.Planner,
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
        self.keeper = keeper
        self._planner = plan
        self._log = log
        self._control = control
        self._store = store
        self._clock = clock
        self._engines = engines
        self._models = models
        self._tick_s = tick_s
        self._grace_s = grace_s
        self._pacer = reconcile.LoadRateLimiter(1.0)
        self._reconciler = reconcile.Reconciler(issuer, self._pacer, resend_s)
        self._weights_by_name: dict[str, weight_store.Weights] = {}
        self._weights_at = float('-inf')
        self._held = False
        self._held_since = float('-inf')
        self._heard_by_id: dict[str, _Heard] = {}
        self._loop = task.LoopingCall(self._tick_deferred)
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

    def _tick_deferred(self) -> defer.Deferred[None]:
        self._running = defer.Deferred.fromCoroutine(self._tick())
        self._running.addErrback(self._tick_failed)
        return self._running

    def _tick_failed(self, failure) -> None:
        if not failure.check(defer.CancelledError):
            LOG.error('%s round failed: %s', PREFIX, failure)

    async def _tick(self) -> None:
        self._note_change()
        if not self.keeper.needs_read(self._clock.monotonic()):
            return
        if not await self._read_to_end():
            return
        await self._keep_lease()
        self._note_change()
        if not self.keeper.is_holder:
            return
        await self._read_weights()
        view = await self._read_reports()
        await self._send_orders(view, self._plan(view))

    async def _read_to_end(self) -> bool:
        """Read the stream from the known offset until its end."""
        while True:
            started = self._clock.monotonic()
            offsets = {self.keeper.stream: self.keeper.start_offset()}
            result = await self._log.read(offsets, 0.0)
            if result.is_error():
                return False
            page = result.ok[self.keeper.stream]
            self.keeper.page_read(page, started, self._clock.monotonic())
            if page.next_offset >= page.end_offset:
                return True

    async def _keep_lease(self) -> None:
        record = self.keeper.next_record(self._clock.monotonic())
        if record is None:
            return
        payload = lease.encode_record(record)
        try:
            result = await self._log.append(self.keeper.stream, payload)
        finally:
            self.keeper.append_finished(self._clock.monotonic())
        if result.is_error():
            LOG.warning('%s %s: %s', PREFIX, record.kind.value, result.error)
            return
        await self._read_to_end()

    def _note_change(self) -> None:
        if self.keeper.is_holder == self._held:
            return
        self._held = self.keeper.is_holder
        self._held_since = self._clock.monotonic()
        self._heard_by_id.clear()
        self.lease_changes += 1
        self._planner.reset()
        LOG.info(
            '%s lease %s, number %d',
            PREFIX,
            'taken' if self._held else 'lost',
            self.keeper.fold.state.fencing,
        )

    async def _read_weights(self) -> None:
        now = self._clock.monotonic()
        if now - self._weights_at < _WEIGHTS_EVERY_S:
            return
        result = await self._store.read()
        if result.is_error():
            LOG.warning('%s weight store: %s', PREFIX, result.error)
            return
        self._weights_at = now
        self._pacer.rate_bytes_per_s = result.ok.rate_bytes_per_s
        self._weights_by_name = {item.name: item for item in result.ok.models}

    async def _read_reports(self) -> _View:
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
                # The listed id counts, whatever the engine calls itself.
                report = dataclasses.replace(value, engine_id=target_id)
                reports[target_id] = report
                self._heard_by_id[target_id] = _Heard(report, now)
            else:
                LOG.debug('%s %s: %s', PREFIX, target_id, value.value)
        self._heard_by_id = {
            target_id: heard
            for target_id, heard in self._heard_by_id.items()
            if target_id in targets and now - heard.at <= self._grace_s
        }
        known = {
            target_id: heard.report
            for target_id, heard in self._heard_by_id.items()
        }
        return _View(targets, reports, known)

    def _plan(self, view: _View) -> dict[str, reconcile.DesiredEngineState]:
        now = self._clock.monotonic()
        models = self._models() & self._weights_by_name.keys()
        complete = view.known_by_id.keys() == view.targets_by_id.keys()
        # Without models a plan would empty every engine, and without all
        # reports it would load models a second time.
        if not models or (
            not complete and now - self._held_since < self._grace_s
        ):
            return {}
        demand: dict[str, float] = {}
        for report in view.known_by_id.values():
            for name, count in report.demand_by_model.items():
                demand[name] = demand.get(name, 0.0) + count
        placed = self._planner.plan(
            [
                planner.EngineCapacity(
                    target_id,
                    max(0, report.places),
                    frozenset(model.name for model in report.models),
                )
                for target_id, report in view.known_by_id.items()
            ],
            sorted(models),
            demand,
            now,
        )
        return {
            target_id: self._wanted(names, view.known_by_id[target_id].role)
            for target_id, names in placed.items()
        }

    def _wanted(
        self, names: tuple[str, ...], role: str
    ) -> reconcile.DesiredEngineState:
        found = [self._weights_by_name[name] for name in names]
        return reconcile.DesiredEngineState(
            role,
            tuple(
                reconcile.ModelState(item.name, item.version) for item in found
            ),
            tuple(name for item in found for name in item.adapters),
        )

    async def _send_orders(
        self, view: _View, wanted: Mapping[str, reconcile.DesiredEngineState]
    ) -> None:
        now = self._clock.monotonic()
        if not self._reconciler.out_of_sync_engines(
            wanted, view.reports_by_id, now
        ):
            return
        # The reports took time, in which another host may have taken over.
        if not await self._read_to_end():
            return
        now = self._clock.monotonic()
        fencing = self.keeper.fencing(now)
        if fencing is None:
            return
        sizes = {
            name: item.bytes for name, item in self._weights_by_name.items()
        }
        orders = self._reconciler.orders(
            wanted, view.reports_by_id, sizes, fencing, now
        )
        for order in orders:
            # Sending takes time too: the number must still be valid.
            if self.keeper.fencing(self._clock.monotonic()) != fencing:
                return
            await self._send(view.targets_by_id[order.engine_id], order)

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
            'took' if accepted else 'refused',
            order.fencing,
        )


def build(
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
    """Return the order service that the settings ask for."""
    wanted = settings.orders
    platform = settings.platform
    seed = f'{settings.policies.random_seed}/{settings.host_id}/orders'
    store = platform.weight_store
    return OrderService(
        lease.LeaseManager(
            wanted.group,
            settings.host_id,
            incarnation,
            wanted.lease_s,
            random.Random(seed),
        ),
        planner.Planner(planner.PlannerSettings(wanted.margin, wanted.hold_s)),
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
        tick_s=wanted.tick_s,
        grace_s=wanted.hold_s,
        resend_s=wanted.resend_s,
    )

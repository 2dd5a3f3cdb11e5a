"""Tests of the shell that sends orders."""

import dataclasses
import random

from expression import Error
from expression import Ok
from twisted.internet import defer
from twisted.internet import task

from walnutport.adapters import weight_store
from walnutport import exceptions
from walnutport import interfaces
from walnutport.orders import lease
from walnutport.orders import planner
from walnutport.orders import reconcile
from walnutport.service.records import orders
from walnutport import world

_GRACE_S = 30.0
_STORED = weight_store.WeightList(
    1e9, tuple(weight_store.Weights(name, 'v1', 1) for name in 'ab')
)


class _Platform:
    """Log, weight store, engines and clock in memory."""

    def __init__(self) -> None:
        self.reactor = task.Clock()
        self.payloads: list[bytes] = []
        self.store_is_down = False
        self.models = frozenset('ab')
        self.silent: set[str] = set()
        self.orders: list[reconcile.EngineOrder] = []
        self.reports = {
            name: reconcile.EngineReport(name, 'i', 'mixed', 1)
            for name in ('e1', 'e2')
        }

    def monotonic(self) -> float:
        return self.reactor.seconds()

    def wall(self) -> float:
        return self.reactor.seconds()

    def append(self, stream: str, payload: bytes) -> defer.Deferred:
        self.payloads.append(payload)
        return defer.succeed(Ok(len(self.payloads) - 1))

    def read(self, offsets, wait_s: float) -> defer.Deferred:
        start = offsets[lease.ORDERS_STREAM]
        end = len(self.payloads)
        found = tuple(
            interfaces.LogRecord(at, 0, self.payloads[at])
            for at in range(start, end)
        )
        page = interfaces.StreamPage(found, 0, end, end)
        return defer.succeed(Ok({lease.ORDERS_STREAM: page}))

    async def read_weights(self):
        if self.store_is_down:
            return Error(exceptions.WeightStoreError('down'))
        return Ok(_STORED)

    async def read_report(
        self, target: world.Target
    ) -> reconcile.EngineReport:
        if target.target_id in self.silent:
            raise exceptions.OrderError('no answer')
        return self.reports[target.target_id]

    async def send_order(self, target: world.Target, order) -> bool:
        self.orders.append(order)
        self.reports[target.target_id] = dataclasses.replace(
            self.reports[target.target_id],
            models=order.wanted.models,
            fencing=order.fencing,
        )
        return True


class _Store:
    def __init__(self, platform: _Platform) -> None:
        self.read = platform.read_weights


def _service(platform: _Platform) -> orders.OrderService:
    return orders.OrderService(
        lease.LeaseManager('all', 'h', 1, 15.0, random.Random(1)),
        planner.Planner(planner.PlannerSettings()),
        platform,
        platform,
        _Store(platform),
        platform,
        platform.reactor,
        issuer='h',
        engines=lambda: {
            name: world.Target(
                name, 'engine', 'dc-1', world.Address('127.0.0.1', 1)
            )
            for name in platform.reports
        },
        models=lambda: platform.models,
        tick_s=1.0,
        resend_s=5.0,
        grace_s=_GRACE_S,
    )


def _run(platform: _Platform, seconds: int) -> None:
    platform.reactor.pump([1.0] * seconds)


def test_no_order_before_models_and_reports_are_known() -> None:
    """Guards against emptying every engine when the store is down."""
    platform = _Platform()
    platform.store_is_down = True
    with _service(platform):
        _run(platform, 20)
        assert platform.orders == []
        platform.store_is_down = False
        platform.models = frozenset()
        _run(platform, 20)
        assert platform.orders == []
        platform.models = frozenset('ab')
        _run(platform, 20)
        placed = {order.engine_id: order.wanted for order in platform.orders}
        names = {wanted.models[0].name for wanted in placed.values()}
        assert (set(placed), names) == ({'e1', 'e2'}, {'a', 'b'})


def test_a_lost_report_moves_no_model() -> None:
    """Guards against loads because one engine was slow to report."""
    platform = _Platform()
    with _service(platform):
        _run(platform, 5)
        count = len(platform.orders)
        platform.silent = {'e1'}
        _run(platform, int(_GRACE_S) - 5)
        platform.silent = set()
        _run(platform, 5)
        assert len(platform.orders) == count == 2


def test_an_engine_that_is_gone_is_replaced() -> None:
    """Guards against a model that stays away with its engine."""
    platform = _Platform()
    platform.models = frozenset('a')
    with _service(platform):
        _run(platform, 5)
        (order,) = platform.orders
        del platform.reports[order.engine_id]
        _run(platform, 5)
        assert platform.orders[-1].engine_id != order.engine_id
        assert platform.orders[-1].wanted.models[0].name == 'a'

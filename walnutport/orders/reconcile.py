"""Reconciles the reported state of engines with their desired state.

An order contains the complete desired state, so it is idempotent. An engine
that ignores fencing numbers may follow an old order; its next report then
differs from the desired state, and a new order corrects it.
"""

from collections.abc import Mapping
import dataclasses

__all__ = [
    'EngineOrder',
    'EngineReport',
    'LoadRateLimiter',
    'ModelState',
    'EngineReconciler',
    'DesiredEngineState',
]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ModelState:
    """A model that an engine has or is to load.

    :param loading: whether the weights are still being loaded.
    """

    name: str
    version: str = ''
    loading: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports.

    :param places: number of models that fit into the engine.
    :param fencing: highest fencing number of the orders that it followed, -1
        if none.
    :param demand_by_model: number of requests that run or wait.
    """

    engine_id: str
    incarnation: str
    role: str
    places: int
    models: tuple[ModelState, ...] = ()
    adapters: tuple[str, ...] = ()
    fencing: int = -1
    demand_by_model: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredEngineState:
    """Complete desired state of an engine."""

    role: str
    models: tuple[ModelState, ...]
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to one engine to reach its desired state.

    :param issuer: host that gives the order.
    :param wanted: complete desired state.
    """

    engine_id: str
    fencing: int
    issuer: str
    wanted: DesiredEngineState


def matches(desired: DesiredEngineState, report: EngineReport) -> bool:
    """Return whether an engine has, or is loading, its desired state."""
    return (
        desired.role == report.role
        and set(desired.adapters) == set(report.adapters)
        and _versions(desired.models) == _versions(report.models)
    )


class LoadRateLimiter:
    """Limits the loads that are ordered to the rate of the weight store.

    :param rate_bytes_per_s: rate limit of the weight store.
    """

    def __init__(self, rate_bytes_per_s: float) -> None:
        self.rate_bytes_per_s = rate_bytes_per_s
        self._next_load_at = float('-inf')

    def try_acquire(self, size_bytes: int, now: float) -> bool:
        """Reserve the time of one load, unless an earlier one still runs."""
        if size_bytes <= 0:
            return True
        if now < self._next_load_at:
            return False
        self._next_load_at = now + size_bytes / self.rate_bytes_per_s
        return True


class EngineReconciler:
    """Chooses the orders that bring engines to their desired state.

    :param issuer: host that gives the orders.
    :param resend_s: time after which an order without effect is sent again.
    """

    def __init__(
        self, issuer: str, limiter: LoadRateLimiter, resend_s: float
    ) -> None:
        self._issuer = issuer
        self._limiter = limiter
        self._resend_s = resend_s
        self._sent_by_engine: dict[
            str, tuple[str, DesiredEngineState, float]
        ] = {}

    def out_of_sync_engines(
        self,
        desired_by_engine: Mapping[str, DesiredEngineState],
        reports_by_engine: Mapping[str, EngineReport],
        now: float,
    ) -> list[str]:
        """Return the engines that need an order, regardless of the limiter."""
        return [
            engine_id
            for engine_id, desired in desired_by_engine.items()
            if (report := reports_by_engine.get(engine_id)) is not None
            and not matches(desired, report)
            and not self._was_sent_recently(report, desired, now)
        ]

    def next_orders(
        self,
        desired_by_engine: Mapping[str, DesiredEngineState],
        reports_by_engine: Mapping[str, EngineReport],
        bytes_by_model: Mapping[str, int],
        fencing: int,
        now: float,
    ) -> list[EngineOrder]:
        """Return the orders to send under a fencing number.

        An engine that has followed an order with a higher number gets none.
        """
        orders = []
        for engine_id in self.out_of_sync_engines(
            desired_by_engine, reports_by_engine, now
        ):
            desired = desired_by_engine[engine_id]
            report = reports_by_engine[engine_id]
            load_bytes = _load_bytes(desired, report, bytes_by_model)
            if report.fencing > fencing or not self._limiter.try_acquire(
                load_bytes, now
            ):
                continue
            self._sent_by_engine[engine_id] = (
                report.incarnation,
                desired,
                now,
            )
            orders.append(
                EngineOrder(engine_id, fencing, self._issuer, desired)
            )
        return orders

    def _was_sent_recently(
        self, report: EngineReport, desired: DesiredEngineState, now: float
    ) -> bool:
        sent = self._sent_by_engine.get(report.engine_id)
        if sent is None:
            return False
        incarnation, sent_state, sent_at = sent
        is_same_state = (incarnation, sent_state) == (
            report.incarnation,
            desired,
        )
        return is_same_state and now - sent_at < self._resend_s


def _versions(models: tuple[ModelState, ...]) -> set[tuple[str, str]]:
    return {(model.name, model.version) for model in models}


def _load_bytes(
    desired: DesiredEngineState,
    report: EngineReport,
    bytes_by_model: Mapping[str, int],
) -> int:
    missing = _versions(desired.models) - _versions(report.models)
    return sum(bytes_by_model.get(name, 0) for name, _ in missing)

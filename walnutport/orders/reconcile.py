"""Compares what engines report with what is wanted and paces the orders.

An order describes the whole wanted state, so it can be repeated. An engine
that ignores fencing numbers may follow an old order; its next report then
differs from the wanted state and a new order corrects it.
"""

from collections.abc import Mapping
import dataclasses

__all__ = [
    'EngineOrder',
    'EngineReport',
    'LoadRateLimiter',
    'ModelState',
    'Reconciler',
    'DesiredEngineState',
]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ModelState:
    """A model of an engine.

    :param loading: whether the weights are still being loaded.
    """

    name: str
    version: str = ''
    loading: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine reports of itself.

    :param places: models that fit into the engine.
    :param fencing: highest fencing number that it followed, -1 if none.
    :param demand_by_model: requests that run or wait.
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
    """Complete wanted state of an engine."""

    role: str
    models: tuple[ModelState, ...]
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to one engine."""

    engine_id: str
    fencing: int
    issuer: str
    wanted: DesiredEngineState


def matches(wanted: DesiredEngineState, report: EngineReport) -> bool:
    """Return whether an engine has, or is loading, the wanted state."""
    return (
        wanted.role == report.role
        and set(wanted.adapters) == set(report.adapters)
        and _versions(wanted.models) == _versions(report.models)
    )


class LoadRateLimiter:
    """Keeps the loads that are ordered within the rate of the weight store.

    :param rate_bytes_per_s: rate limit of the weight store.
    """

    def __init__(self, rate_bytes_per_s: float) -> None:
        self.rate_bytes_per_s = rate_bytes_per_s
        self._free_at = float('-inf')

    def try_acquire(self, size_bytes: int, now: float) -> bool:
        """Take the time of one load, unless an earlier one still runs."""
        if size_bytes <= 0:
            return True
        if now < self._free_at:
            return False
        self._free_at = now + size_bytes / self.rate_bytes_per_s
        return True


class Reconciler:
    """Chooses the orders to send.

    :param resend_s: time after which an order without effect is repeated.
    """

    def __init__(
        self, issuer: str, pacer: LoadRateLimiter, resend_s: float
    ) -> None:
        self._issuer = issuer
        self._pacer = pacer
        self._resend_s = resend_s
        self._sent_by_engine: dict[
            str, tuple[str, DesiredEngineState, float]
        ] = {}

    def out_of_sync_engines(
        self,
        wanted_by_engine: Mapping[str, DesiredEngineState],
        reports_by_engine: Mapping[str, EngineReport],
        now: float,
    ) -> list[str]:
        """Return the engines that need an order, without pacing."""
        return [
            engine_id
            for engine_id, wanted in wanted_by_engine.items()
            if (report := reports_by_engine.get(engine_id)) is not None
            and not matches(wanted, report)
            and not self._is_recent(report, wanted, now)
        ]

    def orders(
        self,
        wanted_by_engine: Mapping[str, DesiredEngineState],
        reports_by_engine: Mapping[str, EngineReport],
        bytes_by_model: Mapping[str, int],
        fencing: int,
        now: float,
    ) -> list[EngineOrder]:
        """Return the orders to send under a fencing number.

        An engine that has followed a higher number is left alone.
        """
        found = []
        for engine_id in self.out_of_sync_engines(
            wanted_by_engine, reports_by_engine, now
        ):
            wanted = wanted_by_engine[engine_id]
            report = reports_by_engine[engine_id]
            size = _load_bytes(wanted, report, bytes_by_model)
            if report.fencing > fencing or not self._pacer.try_acquire(
                size, now
            ):
                continue
            self._sent_by_engine[engine_id] = (report.incarnation, wanted, now)
            found.append(EngineOrder(engine_id, fencing, self._issuer, wanted))
        return found

    def _is_recent(
        self, report: EngineReport, wanted: DesiredEngineState, now: float
    ) -> bool:
        sent = self._sent_by_engine.get(report.engine_id)
        if sent is None:
            return False
        incarnation, order, at = sent
        same = (incarnation, order) == (report.incarnation, wanted)
        return same and now - at < self._resend_s


def _versions(models: tuple[ModelState, ...]) -> set[tuple[str, str]]:
    return {(model.name, model.version) for model in models}


def _load_bytes(
    wanted: DesiredEngineState,
    report: EngineReport,
    bytes_by_model: Mapping[str, int],
) -> int:
    missing = _versions(wanted.models) - _versions(report.models)
    return sum(bytes_by_model.get(name, 0) for name, _ in missing)

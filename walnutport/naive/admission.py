"""Naive admission: no queue, no limit, no deadline check."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from walnutport import interfaces
from walnutport.naive import policies
from walnutport.peer import messages
from walnutport import world

__all__ = ['NoAdmission']


class NoAdmission:
    """Grants every request immediately."""

    def __init__(self) -> None:
        self.entry_queue: interfaces.AdmissionQueue = policies.UnboundedQueue()

    def pool_queue(self, service: str) -> interfaces.AdmissionQueue:
        return policies.UnboundedQueue()

    def catalogue_changed(
        self,
        contracts_by_id: Mapping[str, world.Contract],
        pipelines_by_id: Mapping[str, world.Pipeline],
        classes_by_id: Mapping[str, world.ServiceClass],
        members_by_id: Mapping[str, world.Member],
    ) -> None:
        return None

    def targets_changed(
        self, targets_by_id: Mapping[str, world.Target], now: float
    ) -> None:
        return None

    def hosts_changed(
        self, live: Iterable[str], known: Iterable[str], now: float
    ) -> None:
        return None

    def load_reported(
        self, target_id: str, load: world.LoadReport, now: float
    ) -> None:
        return None

    def release_window(
        self, ticket_id: str, service: str, now: float
    ) -> Sequence[interfaces.Decision]:
        return ()

    def min_remaining_s(self, ticket: interfaces.Ticket) -> float:
        return 0.0

    def record_stage_time(
        self,
        entry_id: str,
        stage: str,
        waited_s: float,
        held_s: float,
        now: float,
    ) -> None:
        return None

    def demands(self, now: float) -> Sequence[messages.LimitDemand]:
        return ()

    def demands_received(
        self,
        host_id: str,
        demands: Sequence[messages.LimitDemand],
        now: float,
    ) -> None:
        return None

    def advance(self, now: float) -> None:
        return None

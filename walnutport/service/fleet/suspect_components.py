"""Builds the components of a host that handle crash suspects."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
from typing import Any

from walnutport.adapters import target_control
from walnutport import interfaces
from walnutport.quarantine import suspects as quarantine_suspects
from walnutport.routing import router as standard_router
from walnutport.service.fleet import permits as permit_service
from walnutport.service.fleet import suspects
from walnutport.service import policies as host_policies

__all__ = ['SuspectComponents', 'build_suspect_components']


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectComponents:
    """Crash detector and permit service of a host.

    Both are None with the naive policy.
    """

    crash_detector: suspects.CrashDetector | None = None
    permits: permit_service.PermitService | None = None

    @property
    def followers(self) -> tuple[interfaces.LogFollower, ...]:
        """Return the components that follow a stream of the log."""
        return () if self.crash_detector is None else (self.crash_detector,)


def build_suspect_components(
    policies: host_policies.Policies,
    host_id: str,
    control: target_control.TargetControl,
    clock: interfaces.Clock,
    reactor,
    *,
    bus: interfaces.PeerBus | None = None,
    append: Callable[[str, bytes], Any] | None = None,
    live_hosts: Callable[[], Collection[str]] = tuple,
) -> SuspectComponents:
    """Return the components that the policies of a host need.

    :param bus: sends messages to other hosts; None without peers.
    :param append: appends a record to a stream of the log.
    :param live_hosts: returns the ids of the live peers.
    """
    table, router = policies.quarantine, policies.router
    if not isinstance(table, quarantine_suspects.SuspectTable):
        return SuspectComponents()
    if not isinstance(router, standard_router.StandardRouter):
        return SuspectComponents()
    return SuspectComponents(
        suspects.CrashDetector(
            table, router, control, clock, reactor, bus, append
        ),
        permit_service.PermitService(host_id, clock, reactor, bus, live_hosts),
    )

"""Builds the parts of a host that deal with crash suspects."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
from typing import Any

from walnutport.adapters import target_control
from walnutport import interfaces
from walnutport.quarantine import suspects as suspect_book
from walnutport.routing import router as standard_router
from walnutport.service.fleet import permits as permit_service
from walnutport.service.fleet import suspects
from walnutport.service import policies as host_policies

__all__ = ['SuspectParts', 'build_suspect_parts']


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectParts:
    """The watch over deaths and the gate of permits.

    Both are None under the naive policy.
    """

    watch: suspects.CrashDetector | None = None
    permits: permit_service.PermitService | None = None

    @property
    def followers(self) -> tuple[interfaces.LogFollower, ...]:
        """Return the followers of log streams."""
        return () if self.watch is None else (self.watch,)


def build_suspect_parts(
    policies: host_policies.Policies,
    host_id: str,
    control: target_control.TargetControl,
    clock: interfaces.Clock,
    reactor,
    *,
    bus: interfaces.PeerBus | None = None,
    append: Callable[[str, bytes], Any] | None = None,
    live_hosts: Callable[[], Collection[str]] = tuple,
) -> SuspectParts:
    """Return the parts that the policies of a host ask for.

    :param bus: messages to other hosts; None without peers.
    :param append: appends a record to a stream of the log.
    :param live_hosts: returns the ids of the live peers.
    """
    book, router = policies.quarantine, policies.router
    if not isinstance(book, suspect_book.SuspectTable):
        return SuspectParts()
    if not isinstance(router, standard_router.StandardRouter):
        return SuspectParts()
    return SuspectParts(
        suspects.CrashDetector(
            book, router, control, clock, reactor, bus, append
        ),
        permit_service.PermitService(host_id, clock, reactor, bus, live_hosts),
    )

"""State of one peer as this host knows it."""

import dataclasses

from walnutport.gateway.peers import peer_link
from walnutport.peer import capabilities
from walnutport.peer import fleet_messages

__all__ = ['INITIAL_REDIAL_DELAY_S', 'PeerState']

INITIAL_REDIAL_DELAY_S = 0.1


@dataclasses.dataclass(slots=True)
class PeerState:
    """State of a peer as this host knows it.

    :param heartbeat_at: when the last heartbeat arrived.
    :param redial_at: earliest time of the next dial.
    :param redial_delay_s: delay after the next failed dial.
    :param failing_since: when the host became unreachable; None if it is
        reachable, or was not dialled yet.
    :param failed_dials: dials that failed since the host was reachable.
    """

    record: fleet_messages.HostRecord
    link: peer_link.PeerLink | None = None
    heartbeat: fleet_messages.Heartbeat | None = None
    heartbeat_at: float = 0.0
    redial_at: float = 0.0
    redial_delay_s: float = INITIAL_REDIAL_DELAY_S
    dialling: bool = False
    failing_since: float | None = None
    failed_dials: int = 0

    @property
    def reachable(self) -> bool:
        """Whether a link is up and a heartbeat was received on it."""
        return self.link is not None and self.heartbeat is not None

    @property
    def is_untried(self) -> bool:
        """Whether no link to the host was ever up or has failed."""
        return self.link is None and self.failing_since is None

    @property
    def accepts_work(self) -> bool:
        """Whether the peer accepts work of other hosts."""
        return (
            self.reachable
            and self.heartbeat is not None
            and self.heartbeat.fit
            and not self.heartbeat.draining
            and self.heartbeat.reaches_targets
        )

    @property
    def accepts_requests(self) -> bool:
        """Whether the peer may serve requests of other hosts' callers."""
        return (
            self.reachable
            and self.heartbeat is not None
            and self.heartbeat.reaches_targets
            and not self.heartbeat.draining
            and self.record.relay_port > 0
        )

    def supports(self, capability: capabilities.Capability | None) -> bool:
        """Return whether the peer understands a kind of message."""
        return capabilities.is_supported(capability, self.record.capabilities)

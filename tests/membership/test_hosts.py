"""State machine test of the membership of hosts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from walnutport.membership import hosts
from walnutport.peer import messages
from walnutport import world

# With several peers, Hypothesis rarely draws the event orders that matter.
PEERS = ('host-2',)
OWN_ID = 'host-1'


def listed(host_id: str, leaving: bool) -> world.Host:
    """Return a host as the platform's list describes it."""
    address = world.Address('127.0.0.1', 1)
    return world.Host(host_id, 'dc-1', address, leaving=leaving)


class HostsMachine(stateful.RuleBasedStateMachine):
    """Compares with a reference that stores every delivered message.

    Guards against a state taken from an old incarnation, from the list where
    a heartbeat contradicts it, or from a message delivered out of order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.membership = hosts.HostMembership(OWN_ID, 8, 1.0)
        self.now = 0.0
        self.incarnations = dict.fromkeys(PEERS, 1)
        self.leaving = dict.fromkeys(PEERS, False)
        self.offset = 0
        self.sent: list[tuple[messages.PeerOrigin, messages.Heartbeat]] = []
        self.delivered: list[
            tuple[float, messages.PeerOrigin, messages.Heartbeat]
        ] = []
        self.in_list: dict[str, world.Host] = {}
        self.first_seen: dict[str, float] = {}

    @stateful.rule(host_id=st.sampled_from(PEERS))
    def send(self, host_id: str) -> None:
        self.offset += 1
        origin = messages.PeerOrigin(host_id, self.incarnations[host_id])
        message = messages.Heartbeat(
            'dc-1', True, self.leaving[host_id], self.offset, False
        )
        self.sent.append((origin, message))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(index=st.integers(0, 2), repeat=st.booleans())
    def deliver(self, index: int, repeat: bool) -> None:
        """Deliver a message; order, repetitions and losses are arbitrary."""
        index %= len(self.sent)
        origin, message = self.sent[index]
        if not repeat:
            del self.sent[index]
        self.membership.heartbeat_received(origin, message, self.now)
        self.delivered.append((self.now, origin, message))
        self.first_seen.setdefault(origin.host_id, self.now)

    @stateful.rule(host_id=st.sampled_from(PEERS))
    def restart(self, host_id: str) -> None:
        self.incarnations[host_id] += 1
        self.leaving[host_id] = False

    @stateful.rule(host_id=st.sampled_from(PEERS))
    def leave(self, host_id: str) -> None:
        self.leaving[host_id] = True

    @stateful.rule(
        found=st.dictionaries(st.sampled_from(PEERS), st.booleans())
    )
    def read_list(self, found: dict[str, bool]) -> None:
        self.in_list = {
            name: listed(name, left) for name, left in found.items()
        }
        self.membership.list_read(self.in_list, self.now)
        for name in found:
            self.first_seen.setdefault(name, self.now)

    @stateful.rule(seconds=st.sampled_from([0.2, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        """Advance the clock up to 40 s; the reference never expires hosts."""
        if self.now + seconds < 40.0:
            self.now += seconds
            self.membership.advance(self.now)

    def expected(self, host_id: str) -> hosts.HostState:
        if host_id not in self.first_seen:
            return hosts.HostState.DEAD
        own_messages = [
            delivery
            for delivery in self.delivered
            if delivery[1].host_id == host_id
        ]
        if not own_messages:
            silent_s = self.now - self.first_seen[host_id]
            return (
                hosts.HostState.DEAD
                if silent_s >= 10.0
                else hosts.HostState.SUSPECT
            )
        current = current_incarnation(own_messages)
        current_messages = [
            delivery
            for delivery in own_messages
            if delivery[1].incarnation == current
        ]
        heard_at = max(delivery[0] for delivery in current_messages)
        leaving = any(delivery[2].leaving for delivery in current_messages)
        if self.now - heard_at < 3.5:
            return hosts.HostState.LEAVING if leaving else hosts.HostState.LIVE
        if leaving or self.now - heard_at >= 10.0:
            return hosts.HostState.DEAD
        return hosts.HostState.SUSPECT

    @stateful.rule(host_id=st.sampled_from(PEERS))
    def leave_with_reordered_heartbeats(self, host_id: str) -> None:
        """Deliver a heartbeat sent before leaving after one sent later."""
        if not self.leaving[host_id]:
            self.send(host_id)
            self.leave(host_id)
            self.send(host_id)
            self.deliver(len(self.sent) - 1, False)
            self.deliver(len(self.sent) - 1, False)

    @stateful.rule(host_id=st.sampled_from(PEERS))
    def rejoin(self, host_id: str) -> None:
        """Deliver a heartbeat of a new incarnation of a host that left."""
        self.leave_with_reordered_heartbeats(host_id)
        self.restart(host_id)
        self.send(host_id)
        self.deliver(len(self.sent) - 1, False)

    @stateful.invariant()
    def states_match_reference(self) -> None:
        for host_id in PEERS:
            state = self.membership.state(host_id, self.now)
            assert state is self.expected(host_id), host_id
        live = self.membership.live_ids(self.now)
        assert set(live) == {
            host_id
            for host_id in PEERS
            if self.expected(host_id) is hosts.HostState.LIVE
        }


def current_incarnation(delivered) -> int:
    """Return the current incarnation after all deliveries, in order.

    A lower incarnation becomes current only if it never was before and the
    higher one has been silent for 10 s.
    """
    history: list[int] = []
    heard_at = 0.0
    for time, origin, _ in delivered:
        incarnation = origin.incarnation
        if not history or incarnation > history[-1]:
            history.append(incarnation)
        elif incarnation != history[-1]:
            lower = [item for item in history if item < max(history)]
            if incarnation in lower or time - heard_at < 10.0:
                continue
            history.append(incarnation)
        heard_at = time
    return history[-1]


TestHosts = HostsMachine.TestCase
TestHosts.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=30
)

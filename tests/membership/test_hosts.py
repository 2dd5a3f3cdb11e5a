"""State machine test of the membership of hosts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from walnutport.membership import hosts
from walnutport.peer import messages
from walnutport import world

# One peer: with several, orders of events that matter are rarely drawn.
PEERS = ('host-2',)
ME = 'host-1'


def listed(host_id: str, leaving: bool) -> world.Host:
    """Return a host of the list."""
    address = world.Address('127.0.0.1', 1)
    return world.Host(host_id, 'dc-1', address, leaving=leaving)


class HostsMachine(stateful.RuleBasedStateMachine):
    """Compares with a naive reference that keeps every delivered message.

    Guards against a state taken from an old incarnation, from the list where
    a heartbeat says otherwise, or from a message that was overtaken.
    """

    def __init__(self) -> None:
        super().__init__()
        self.members = hosts.HostMembership(ME, 8, 1.0)
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
        """Deliver in any order, perhaps again, perhaps never."""
        index %= len(self.sent)
        origin, message = self.sent[index]
        if not repeat:
            del self.sent[index]
        self.members.heartbeat_received(origin, message, self.now)
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
        self.members.list_read(self.in_list, self.now)
        for name in found:
            self.first_seen.setdefault(name, self.now)

    @stateful.rule(seconds=st.sampled_from([0.2, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        """Pass time; the reference forgets nothing, so pauses stay short."""
        if self.now + seconds < 40.0:
            self.now += seconds
            self.members.advance(self.now)

    def expected(self, host_id: str) -> hosts.HostState:
        if host_id not in self.first_seen:
            return hosts.HostState.DEAD
        mine = [item for item in self.delivered if item[1].host_id == host_id]
        if not mine:
            silent = self.now - self.first_seen[host_id]
            return (
                hosts.HostState.DEAD
                if silent >= 10.0
                else hosts.HostState.SUSPECT
            )
        current = current_incarnation(mine)
        valid = [item for item in mine if item[1].incarnation == current]
        heard = max(item[0] for item in valid)
        leaving = any(item[2].leaving for item in valid)
        if self.now - heard < 3.5:
            return hosts.HostState.LEAVING if leaving else hosts.HostState.LIVE
        if leaving or self.now - heard >= 10.0:
            return hosts.HostState.DEAD
        return hosts.HostState.SUSPECT

    @stateful.rule(host_id=st.sampled_from(PEERS))
    def leave_and_be_overtaken(self, host_id: str) -> None:
        """A heartbeat from before the signal arrives after one from after."""
        if not self.leaving[host_id]:
            self.send(host_id)
            self.leave(host_id)
            self.send(host_id)
            self.deliver(len(self.sent) - 1, False)
            self.deliver(len(self.sent) - 1, False)

    @stateful.rule(host_id=st.sampled_from(PEERS))
    def come_back(self, host_id: str) -> None:
        """A new incarnation of a host that left is heard."""
        self.leave_and_be_overtaken(host_id)
        self.restart(host_id)
        self.send(host_id)
        self.deliver(len(self.sent) - 1, False)

    @stateful.invariant()
    def agrees_with_the_reference(self) -> None:
        for host_id in PEERS:
            state = self.members.state(host_id, self.now)
            assert state is self.expected(host_id), host_id
        live = self.members.live_ids(self.now)
        assert set(live) == {
            host_id
            for host_id in PEERS
            if self.expected(host_id) is hosts.HostState.LIVE
        }


def current_incarnation(delivered) -> int:
    """Return the incarnation in force after all deliveries, in order.

    A lower one is in force only if it was never in force before and the
    higher one was silent for 10 s.
    """
    in_force: list[int] = []
    heard = 0.0
    for time, origin, _ in delivered:
        found = origin.incarnation
        if not in_force or found > in_force[-1]:
            in_force.append(found)
        elif found != in_force[-1]:
            lower = [item for item in in_force if item < max(in_force)]
            if found in lower or time - heard < 10.0:
                continue
            in_force.append(found)
        heard = time
    return in_force[-1]


TestHosts = HostsMachine.TestCase
TestHosts.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=30
)

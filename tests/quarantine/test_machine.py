"""Compare the quarantine and permits of several hosts with a reference.

The bus between hosts delays, loses, reorders and repeats messages; the log
delivers every record.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from walnutport import interfaces
from walnutport.peer import messages
from walnutport.quarantine import permits
from walnutport.quarantine import suspects

HOSTS = ('a', 'b', 'c')
HOST = st.sampled_from(HOSTS)
DIGEST = st.sampled_from([b'killer', b'lookup', b'letter'])
TARGET = st.sampled_from(['t1', 't2', 't3'])


class ReferenceTable:
    """Reference that stores all messages and replays them for each query."""

    def __init__(self) -> None:
        self.events: list[tuple[float, messages.SuspectReport]] = []

    def state(self, digest: bytes, now: float) -> interfaces.SuspicionState:
        """Return the state that results from a replay."""
        deaths: set[str] = set()
        cleared: set[str] = set()
        updated_at = 0.0
        for time, message in self.events:
            if message.digest != digest:
                continue
            if time - updated_at >= suspects.ENTRY_TTL_S:
                deaths, cleared = set(), set()
            reported = set(message.deaths)
            newly_cleared = reported if message.cleared else set()
            if not (reported <= deaths and newly_cleared <= cleared):
                updated_at = time
            deaths |= reported
            cleared |= newly_cleared
        if now - updated_at >= suspects.ENTRY_TTL_S:
            return interfaces.SuspicionState.CLEAR
        return (
            interfaces.SuspicionState.CLEAR,
            interfaces.SuspicionState.SUSPECT,
            interfaces.SuspicionState.QUARANTINED,
        )[min(2, len(deaths - cleared))]


class Host:
    """One host with its tables and its read offset in the log."""

    def __init__(self, host_id: str, world: 'FleetMachine') -> None:
        self.host_id = host_id
        self.suspect_table = suspects.SuspectTable(
            lambda message: world.publish(self, message)
        )
        self.reference = ReferenceTable()
        self.permit_table = permits.PermitTable(host_id)
        self.log_offset = 0


class FleetMachine(stateful.RuleBasedStateMachine):
    """Hosts, targets, an unreliable bus and a reliable log."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0
        self.hosts = {name: Host(name, self) for name in HOSTS}
        for host in self.hosts.values():
            host.permit_table.hosts_changed(HOSTS, self.now)
        self.bus: list[tuple[str, str, object]] = []
        self.log: list[messages.SuspectReport] = []
        self.incarnations = {'t1': 0, 't2': 0, 't3': 0}
        self.attempts: dict[str, tuple[str, bytes, str]] = {}
        # Runs whose host received a permit, with the end of the lease.
        self.runs: dict[str, tuple[str, bytes, float]] = {}
        self.pending_requests: dict[str, tuple[str, bytes, float]] = {}
        self.unnoticed_death_at: float | None = None
        self.id_count = 0
        self.last_death = ('', '')
        self.seen_deaths: dict[str, tuple[str, str]] = {}

    def publish(self, origin: Host, message: messages.SuspectReport) -> None:
        """Publish a message of a host on the bus and in the log.

        Guards against two deaths of one target that get the same id.
        """
        for death in message.deaths if not message.cleared else ():
            seen = self.seen_deaths.setdefault(death, self.last_death)
            assert seen == self.last_death
        origin.reference.events.append((self.now, message))
        self.log.append(message)
        for name in self.hosts:
            if name != origin.host_id:
                self.bus.append((origin.host_id, name, message))

    def new_id(self) -> str:
        """Return an unused id."""
        self.id_count += 1
        return f'id-{self.id_count}'

    @stateful.rule(
        starts=st.lists(st.tuples(HOST, DIGEST, TARGET), min_size=2)
    )
    def start_attempts(self, starts: list[tuple[str, bytes, str]]) -> None:
        """Start attempts on hosts that are still running."""
        for name, digest, target_id in starts:
            if name in self.hosts:
                attempt_id = self.new_id()
                suspect_table = self.hosts[name].suspect_table
                suspect_table.incarnation_seen(
                    target_id, str(self.incarnations[target_id])
                )
                suspect_table.attempt_started(
                    digest, target_id, attempt_id, self.now
                )
                self.attempts[attempt_id] = (name, digest, target_id)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(index=st.integers(0, 99), ok=st.booleans())
    def finish_attempt(self, index: int, ok: bool) -> None:
        """Finish one of the attempts in flight."""
        attempt_id = sorted(self.attempts)[index % len(self.attempts)]
        name, _, _ = self.attempts.pop(attempt_id)
        if name in self.hosts:
            self.hosts[name].suspect_table.attempt_finished(
                attempt_id, ok, self.now
            )

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(target_id=TARGET, repeats=st.integers(1, 2))
    def kill_target(self, target_id: str, repeats: int) -> None:
        """Crash a target; each host may observe the same death twice."""
        incarnation = str(self.incarnations[target_id])
        self.last_death = (target_id, incarnation)
        for host in list(self.hosts.values()):
            host.suspect_table.incarnation_seen(
                target_id, f'after {incarnation}'
            )
            host.suspect_table.attempt_started(
                b'later', target_id, 'later', self.now
            )
            for _ in range(repeats):
                host.suspect_table.target_died(
                    target_id, self.now, incarnation
                )
            host.suspect_table.attempt_finished('later', False, self.now)
            assert host.suspect_table.state(b'later', self.now) is (
                interfaces.SuspicionState.CLEAR
            )
        ended = [
            key for key, val in self.attempts.items() if val[2] == target_id
        ]
        for attempt_id in ended:
            name, digest, _ = self.attempts.pop(attempt_id)
            if name in self.hosts:
                suspect_table = self.hosts[name].suspect_table
                assert suspect_table.state(digest, self.now) is not (
                    interfaces.SuspicionState.CLEAR
                )
                suspect_table.attempt_finished(attempt_id, False, self.now)
        self.incarnations[target_id] += 1

    @stateful.rule(names=st.lists(HOST, min_size=1), digest=DIGEST)
    def request_permits(self, names: list[str], digest: bytes) -> None:
        """Request a permit from the owner in the view of each host."""
        for name in names:
            if name in self.hosts:
                self.request_permit(name, digest, 2.0 + len(names) * 3.0)

    def request_permit(self, name: str, digest: bytes, run_s: float) -> None:
        """Request a permit for a run of ``run_s`` seconds."""
        owner = self.hosts[name].permit_table.owner(digest)
        permit_id = self.new_id()
        request = messages.PermitRequest(permit_id, digest, run_s)
        ends_at = self.now + min(run_s, permits.MAX_LEASE_S)
        self.pending_requests[permit_id] = (name, digest, ends_at)
        self.bus.append((name, owner, request))

    @stateful.precondition(lambda self: self.bus)
    @stateful.rule(
        rng=st.randoms(use_true_random=False),
        share=st.sampled_from([0.3, 1.0]),
        loss=st.sampled_from([0.0, 0.0, 0.3]),
    )
    def deliver(self, rng, share: float, loss: float) -> None:
        """Deliver messages in random order, with losses and repetitions."""
        rng.shuffle(self.bus)
        count = max(1, int(share * len(self.bus)))
        due, self.bus = self.bus[:count], self.bus[count:]
        for origin, name, message in due:
            if rng.random() < 0.2:
                self.bus.append((origin, name, message))
            if rng.random() >= loss and name in self.hosts:
                self.receive(origin, self.hosts[name], message)

    def receive(self, origin: str, host: Host, message: object) -> None:
        """Handle a message as the service layer does."""
        if isinstance(message, messages.SuspectReport):
            host.suspect_table.merge(message, self.now)
            host.reference.events.append((self.now, message))
        elif isinstance(message, messages.PermitRequest):
            grant = host.permit_table.request(
                message.permit_id, message.digest, message.lease_s, self.now
            )
            reply = messages.PermitReply(
                message.permit_id, grant.granted, grant.retry_after_s
            )
            self.bus.append((host.host_id, origin, reply))
        elif isinstance(message, messages.PermitRelease):
            host.permit_table.release(
                message.permit_id, message.digest, self.now
            )
        elif isinstance(message, messages.PermitReply):
            request = self.pending_requests.pop(message.permit_id, None)
            if (
                message.granted
                and request is not None
                and request[2] > self.now
            ):
                self.runs[message.permit_id] = request

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(index=st.integers(0, 99))
    def end_run(self, index: int) -> None:
        """End a permitted run and release its permit at the owner."""
        permit_id = sorted(self.runs)[index % len(self.runs)]
        name, digest, _ = self.runs.pop(permit_id)
        if name in self.hosts:
            release = messages.PermitRelease(permit_id, digest)
            owner = self.hosts[name].permit_table.owner(digest)
            self.bus.append((name, owner, release))

    @stateful.rule(index=st.integers(0, 99))
    def abandon_request(self, index: int) -> None:
        """Release a permit whose reply has not arrived, as on a timeout."""
        if self.pending_requests:
            permit_id = sorted(self.pending_requests)[
                index % len(self.pending_requests)
            ]
            name, digest, _ = self.pending_requests.pop(permit_id)
            if name in self.hosts:
                release = messages.PermitRelease(permit_id, digest)
                owner = self.hosts[name].permit_table.owner(digest)
                self.bus.append((name, owner, release))

    @stateful.precondition(
        lambda self: len(self.hosts) > 1 and self.id_count > 20
    )
    @stateful.rule(name=HOST)
    def kill_host(self, name: str) -> None:
        """Stop a host; its runs continue on their targets."""
        if self.hosts.pop(name, None) and self.unnoticed_death_at is None:
            self.unnoticed_death_at = self.now

    @stateful.rule(name=HOST)
    def update_live_hosts(self, name: str) -> None:
        """Update the set of live hosts on one host."""
        if name in self.hosts:
            self.hosts[name].permit_table.hosts_changed(self.hosts, self.now)

    @stateful.rule(step=st.floats(0.05, 6.0))
    def advance_time(self, step: float) -> None:
        """Advance the clock; every host notices a death within the skew."""
        since = self.unnoticed_death_at
        if since is not None and self.now + step > (
            since + permits.VIEW_SKEW_S
        ):
            for host in self.hosts.values():
                host.permit_table.hosts_changed(self.hosts, self.now)
            self.unnoticed_death_at = None
        self.now += step

    @stateful.precondition(lambda self: self.id_count % 10 == 9)
    @stateful.rule()
    def expire_all(self) -> None:
        """Advance the clock until every entry and lease has expired."""
        self.advance_time(5.0)
        self.now += suspects.ENTRY_TTL_S

    @stateful.rule(name=HOST)
    def read_log(self, name: str) -> None:
        """Merge the unread records of the log."""
        if name in self.hosts:
            host = self.hosts[name]
            for message in self.log[host.log_offset :]:
                self.receive('log', host, message)
            host.log_offset = len(self.log)

    @stateful.invariant()
    def states_match_reference(self) -> None:
        """Guards against states that depend on order or repetition."""
        for host in self.hosts.values():
            for digest in (b'killer', b'lookup', b'letter'):
                assert host.suspect_table.state(digest, self.now) == (
                    host.reference.state(digest, self.now)
                )

    @stateful.invariant()
    def at_most_one_permitted_run(self) -> None:
        """Guards against concurrent runs of one suspect."""
        running = [
            digest
            for _, digest, ends_at in self.runs.values()
            if ends_at > self.now
        ]
        assert len(running) == len(set(running))

    def teardown(self) -> None:
        """Guards against hosts that disagree after reading the whole log."""
        for name in list(self.hosts):
            self.hosts[name].log_offset = 0
            self.read_log(name)
        for digest in (b'killer', b'lookup', b'letter'):
            states = {
                host.suspect_table.state(digest, self.now)
                for host in self.hosts.values()
            }
            assert len(states) == 1


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=50
)
TestFleet = FleetMachine.TestCase

"""Quarantine and permits of several hosts against naive references.

Messages between hosts are late, lost and repeated; the log loses nothing.
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


class NaiveBook:
    """Keeps every message and replays all of them for each question."""

    def __init__(self) -> None:
        self.events: list[tuple[float, messages.SuspectReport]] = []

    def state(self, digest: bytes, now: float) -> interfaces.SuspicionState:
        """Return the standing after a replay."""
        deaths: set[str] = set()
        cleared: set[str] = set()
        news_at = 0.0
        for at, message in self.events:
            if message.digest != digest:
                continue
            if at - news_at >= suspects.ENTRY_LIFE_S:
                deaths, cleared = set(), set()
            told = set(message.deaths)
            gone = told if message.cleared else set()
            if not (told <= deaths and gone <= cleared):
                news_at = at
            deaths |= told
            cleared |= gone
        if now - news_at >= suspects.ENTRY_LIFE_S:
            return interfaces.SuspicionState.CLEAR
        return (
            interfaces.SuspicionState.CLEAR,
            interfaces.SuspicionState.SUSPECT,
            interfaces.SuspicionState.QUARANTINED,
        )[min(2, len(deaths - cleared))]


class Host:
    """One host with its parts and its view of the log."""

    def __init__(self, host_id: str, world: 'FleetMachine') -> None:
        self.host_id = host_id
        self.book = suspects.SuspectTable(
            lambda message: world.spread(self, message)
        )
        self.naive = NaiveBook()
        self.table = permits.PermitTable(host_id)
        self.log_offset = 0


class FleetMachine(stateful.RuleBasedStateMachine):
    """Hosts, targets, a lossy bus and a log."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0
        self.hosts = {name: Host(name, self) for name in HOSTS}
        for host in self.hosts.values():
            host.table.hosts_changed(HOSTS, self.now)
        self.bus: list[tuple[str, str, object]] = []
        self.log: list[messages.SuspectReport] = []
        self.incarnations = {'t1': 0, 't2': 0, 't3': 0}
        self.attempts: dict[str, tuple[str, bytes, str]] = {}
        # Runs that a holder believes to be permitted, with their end.
        self.runs: dict[str, tuple[str, bytes, float]] = {}
        self.asked: dict[str, tuple[str, bytes, float]] = {}
        self.unnoticed_since: float | None = None
        self.number = 0
        self.killed = ('', '')
        self.seen_deaths: dict[str, tuple[str, str]] = {}

    def spread(self, origin: Host, message: messages.SuspectReport) -> None:
        """Publish a message of a host on bus and log.

        Guards against two deaths of one target that count as one.
        """
        for death in message.deaths if not message.cleared else ():
            seen = self.seen_deaths.setdefault(death, self.killed)
            assert seen == self.killed
        origin.naive.events.append((self.now, message))
        self.log.append(message)
        for name in self.hosts:
            if name != origin.host_id:
                self.bus.append((origin.host_id, name, message))

    def fresh_id(self) -> str:
        """Return an id that was not used before."""
        self.number += 1
        return f'id-{self.number}'

    @stateful.rule(
        starts=st.lists(st.tuples(HOST, DIGEST, TARGET), min_size=2)
    )
    def start_attempts(self, starts: list[tuple[str, bytes, str]]) -> None:
        """Start attempts on hosts that live."""
        for name, digest, at in starts:
            if name in self.hosts:
                attempt_id = self.fresh_id()
                book = self.hosts[name].book
                book.incarnation_seen(at, str(self.incarnations[at]))
                book.attempt_started(digest, at, attempt_id, self.now)
                self.attempts[attempt_id] = (name, digest, at)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(pick=st.integers(0, 99), ok=st.booleans())
    def finish_attempt(self, pick: int, ok: bool) -> None:
        """End any attempt."""
        attempt_id = sorted(self.attempts)[pick % len(self.attempts)]
        name, _, _ = self.attempts.pop(attempt_id)
        if name in self.hosts:
            self.hosts[name].book.attempt_finished(attempt_id, ok, self.now)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(at=TARGET, repeats=st.integers(1, 2))
    def kill_target(self, at: str, repeats: int) -> None:
        """End a target; each host may see the same death twice."""
        gone = str(self.incarnations[at])
        self.killed = (at, gone)
        for host in list(self.hosts.values()):
            host.book.incarnation_seen(at, f'after {gone}')
            host.book.attempt_started(b'later', at, 'later', self.now)
            for _ in range(repeats):
                host.book.target_died(at, self.now, gone)
            host.book.attempt_finished('later', False, self.now)
            assert host.book.state(b'later', self.now) is (
                interfaces.SuspicionState.CLEAR
            )
        ended = [key for key, val in self.attempts.items() if val[2] == at]
        for attempt_id in ended:
            name, digest, _ = self.attempts.pop(attempt_id)
            if name in self.hosts:
                book = self.hosts[name].book
                assert book.state(digest, self.now) is not (
                    interfaces.SuspicionState.CLEAR
                )
                book.attempt_finished(attempt_id, False, self.now)
        self.incarnations[at] += 1

    @stateful.rule(names=st.lists(HOST, min_size=1), digest=DIGEST)
    def ask_permits(self, names: list[str], digest: bytes) -> None:
        """Let hosts ask the owner, in their view, for a permit."""
        for name in names:
            if name in self.hosts:
                self.ask(name, digest, 2.0 + len(names) * 3.0)

    def ask(self, name: str, digest: bytes, run_s: float) -> None:
        """Ask for a permit for a run of some seconds."""
        owner = self.hosts[name].table.owner(digest)
        permit_id = self.fresh_id()
        request = messages.PermitRequest(permit_id, digest, run_s)
        ends_at = self.now + min(run_s, permits.MAX_LEASE_S)
        self.asked[permit_id] = (name, digest, ends_at)
        self.bus.append((name, owner, request))

    @stateful.precondition(lambda self: self.bus)
    @stateful.rule(
        rng=st.randoms(use_true_random=False),
        share=st.sampled_from([0.3, 1.0]),
        loss=st.sampled_from([0.0, 0.0, 0.3]),
    )
    def deliver(self, rng, share: float, loss: float) -> None:
        """Deliver messages in any order; some are lost, some come twice."""
        rng.shuffle(self.bus)
        count = max(1, int(share * len(self.bus)))
        due, self.bus = self.bus[:count], self.bus[count:]
        for origin, name, message in due:
            if rng.random() < 0.2:
                self.bus.append((origin, name, message))
            if rng.random() >= loss and name in self.hosts:
                self.receive(origin, self.hosts[name], message)

    def receive(self, origin: str, host: Host, message: object) -> None:
        """Handle a message as the shells do."""
        if isinstance(message, messages.SuspectReport):
            host.book.merge(message, self.now)
            host.naive.events.append((self.now, message))
        elif isinstance(message, messages.PermitRequest):
            grant = host.table.request(
                message.permit_id, message.digest, message.lease_s, self.now
            )
            reply = messages.PermitReply(
                message.permit_id, grant.granted, grant.retry_after_s
            )
            self.bus.append((host.host_id, origin, reply))
        elif isinstance(message, messages.PermitRelease):
            host.table.release(message.permit_id, message.digest, self.now)
        elif isinstance(message, messages.PermitReply):
            asked = self.asked.pop(message.permit_id, None)
            if message.granted and asked is not None and asked[2] > self.now:
                self.runs[message.permit_id] = asked

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(pick=st.integers(0, 99))
    def end_run(self, pick: int) -> None:
        """End a permitted run and tell the owner."""
        permit_id = sorted(self.runs)[pick % len(self.runs)]
        name, digest, _ = self.runs.pop(permit_id)
        if name in self.hosts:
            release = messages.PermitRelease(permit_id, digest)
            owner = self.hosts[name].table.owner(digest)
            self.bus.append((name, owner, release))

    @stateful.rule(pick=st.integers(0, 99))
    def give_up_ask(self, pick: int) -> None:
        """Release a permit before its grant is known, as after a timeout."""
        if self.asked:
            permit_id = sorted(self.asked)[pick % len(self.asked)]
            name, digest, _ = self.asked.pop(permit_id)
            if name in self.hosts:
                release = messages.PermitRelease(permit_id, digest)
                owner = self.hosts[name].table.owner(digest)
                self.bus.append((name, owner, release))

    @stateful.precondition(
        lambda self: len(self.hosts) > 1 and self.number > 20
    )
    @stateful.rule(name=HOST)
    def kill_host(self, name: str) -> None:
        """End a host; its runs go on at their targets."""
        if self.hosts.pop(name, None) and self.unnoticed_since is None:
            self.unnoticed_since = self.now

    @stateful.rule(name=HOST)
    def notice(self, name: str) -> None:
        """Let one host learn which hosts live."""
        if name in self.hosts:
            self.hosts[name].table.hosts_changed(self.hosts, self.now)

    @stateful.rule(step=st.floats(0.05, 6.0))
    def pass_time(self, step: float) -> None:
        """Let time pass; every host notices a death within the skew."""
        since = self.unnoticed_since
        if since is not None and self.now + step > (
            since + permits.VIEW_SKEW_S
        ):
            for host in self.hosts.values():
                host.table.hosts_changed(self.hosts, self.now)
            self.unnoticed_since = None
        self.now += step

    @stateful.precondition(lambda self: self.number % 10 == 9)
    @stateful.rule()
    def pass_hour(self) -> None:
        """Let every entry and lease end."""
        self.pass_time(5.0)
        self.now += suspects.ENTRY_LIFE_S

    @stateful.rule(name=HOST)
    def read_log(self, name: str) -> None:
        """Merge what the log holds."""
        if name in self.hosts:
            host = self.hosts[name]
            for message in self.log[host.log_offset :]:
                self.receive('log', host, message)
            host.log_offset = len(self.log)

    @stateful.invariant()
    def standings_agree(self) -> None:
        """Guards against standings that depend on order or repetition."""
        for host in self.hosts.values():
            for digest in (b'killer', b'lookup', b'letter'):
                assert host.book.state(digest, self.now) == (
                    host.naive.state(digest, self.now)
                )

    @stateful.invariant()
    def one_permitted_run(self) -> None:
        """Guards against two runs of one suspect at the same time."""
        running = [
            digest
            for _, digest, ends_at in self.runs.values()
            if ends_at > self.now
        ]
        assert len(running) == len(set(running))

    def teardown(self) -> None:
        """Guards against hosts that disagree although the log is read."""
        for name in list(self.hosts):
            self.hosts[name].log_offset = 0
            self.read_log(name)
        for digest in (b'killer', b'lookup', b'letter'):
            states = {
                host.book.state(digest, self.now)
                for host in self.hosts.values()
            }
            assert len(states) == 1


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=50
)
TestFleet = FleetMachine.TestCase

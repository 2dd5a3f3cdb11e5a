"""Tests of telling hosts that join what may crash targets."""

import math
import types

import pytest
from twisted.internet import task

from tests.gateway.peers import test_suspect_exchange
from walnutport.gateway.peers import suspect_exchange
from walnutport.gateway.peers import suspect_handover
from walnutport.peer import fleet_messages
from walnutport.quarantine import prompt_parts
from walnutport.quarantine import suspects
from walnutport.quarantine import suspicion

OLD_DEATHS = ('t1/1', 't2/1', 't3/1')
# Enough to quarantine a content while other targets die as well.
MANY_DEATHS = (*OLD_DEATHS, 't4/1')
DEATH_AGES = {death: float(at) for at, death in enumerate(OLD_DEATHS)}
# More than fit into one page, and into the messages of earlier builds.
COUNT = 450


class Host:
    """Exchange of one host, whose messages go to the hosts it is linked with.

    :ivar linked: the linked hosts by their names; messages to others are lost.
    """

    def __init__(self, name: str, clock: task.Clock) -> None:
        self.name = name
        self.is_partial = False
        self.linked: dict[str, Host] = {}
        self.sent: list[fleet_messages.FleetMessage] = []
        self.logged: list[tuple[str, dict]] = []
        self.exchange = test_suspect_exchange.create_exchange(
            self, clock, log=self
        )

    def notable(self, event: str, **fields) -> None:
        """Record a line of the log."""
        self.logged.append((event, fields))

    def send(self, name: str, message: fleet_messages.FleetMessage) -> bool:
        """Deliver a message as its receiver decodes it."""
        if name not in self.linked:
            return False
        self.sent.append(message)
        received = fleet_messages.decode(fleet_messages.encode(message))
        self.linked[name].receive(self.name, received)
        return True

    def broadcast(self, message: fleet_messages.FleetMessage) -> None:
        """Deliver a message to all linked hosts."""
        for name in self.linked:
            self.send(name, message)

    def receive(self, name: str, message: fleet_messages.FleetMessage) -> None:
        """Handle a message as the entry host does."""
        if isinstance(message, fleet_messages.CrashReport):
            self.exchange.merge_report(name, message)
        else:
            self.exchange.merge_part_reports(name, message)

    def state(self, digest: bytes) -> suspicion.SuspicionState:
        """Return the state of a content."""
        return self.exchange.table.state(digest, suspect_exchange.time.now())


def link(one: Host, other: Host) -> None:
    """Let two hosts join each other."""
    one.linked[other.name] = other
    other.linked[one.name] = one
    one.exchange.peer_joined(other.name)
    other.exchange.peer_joined(one.name)


def unlink(one: Host, other: Host) -> None:
    """Cut the link of two hosts."""
    del one.linked[other.name], other.linked[one.name]


@pytest.fixture
def clock(monkeypatch) -> task.Clock:
    """Return the clock that all hosts use."""
    clock = task.Clock()
    clock.advance(10_000.0)
    time = types.SimpleNamespace(monotonic=clock.seconds, now=clock.seconds)
    for module in (suspect_exchange, suspect_handover):
        monkeypatch.setattr(module, 'time', time)
    return clock


def suspect_many(host: Host, clock: task.Clock) -> None:
    """Let a host know a quarantined suspect and many later ones."""
    host.receive('x', fleet_messages.CrashReport(b'bad', MANY_DEATHS, False))
    host.receive(
        'x',
        fleet_messages.PartReports(
            (prompt_parts.PartReport('bad', DEATH_AGES),)
        ),
    )
    clock.advance(1.0)
    for number in range(COUNT):
        host.receive(
            'x', fleet_messages.CrashReport(b'%d' % number, ('t/1',), False)
        )
        host.receive(
            'x',
            fleet_messages.PartReports(
                (prompt_parts.PartReport(f'p{number}', {'t/1': 0.0}),)
            ),
        )


def test_quarantined_suspect_is_told_however_many_came_later(clock):
    """Guards against a quarantine that ends where a host has started.

    Hosts that joined were told the 200 suspects that were used last.
    """
    knowing, started = Host('knowing', clock), Host('started', clock)
    suspect_many(knowing, clock)
    link(knowing, started)
    assert started.state(b'bad') is suspicion.SuspicionState.QUARANTINED
    assert started.exchange.parts.is_quarantined('bad', clock.seconds())
    clock.pump(COUNT * [suspect_handover.PAGE_INTERVAL_S])
    assert len(started.exchange.table) == COUNT + 1
    assert len(started.exchange.parts) == COUNT + 1


def test_suspects_are_told_in_pages_the_gravest_first(clock, monkeypatch):
    """Guards against a host that stands still while it tells a peer."""
    monkeypatch.setattr(suspect_handover, 'PAGE_SIZE', 10)
    knowing, started = Host('knowing', clock), Host('started', clock)
    suspect_many(knowing, clock)
    link(knowing, started)
    assert knowing.sent[0] == fleet_messages.CrashReport(
        b'bad', MANY_DEATHS, False, 1.0
    )
    assert knowing.sent[10].reports[0].part == 'bad'
    assert [len(message.reports) for message in knowing.sent[10:]] == [10]
    clock.advance(suspect_handover.PAGE_INTERVAL_S)
    assert len(knowing.sent) == 2 * 11
    clock.pump(COUNT // 10 * [suspect_handover.PAGE_INTERVAL_S])
    assert clock.getDelayedCalls() == []
    assert len(knowing.sent) == COUNT + 1 + COUNT // 10 + 1


def test_log_tells_how_many_suspects_a_peer_was_not_told(clock, monkeypatch):
    """Guards against suspects that are left out without a line."""
    monkeypatch.setattr(suspect_handover, 'PAGE_SIZE', 10)
    knowing, started = Host('knowing', clock), Host('started', clock)
    suspect_many(knowing, clock)
    link(knowing, started)
    unlink(knowing, started)
    knowing.logged.clear()
    clock.advance(1.0)
    fields = {'peer': 'started', 'contents': COUNT - 9, 'parts': COUNT - 9}
    assert knowing.logged == [('suspects_untold', fields)]
    assert clock.getDelayedCalls() == []


def suspect(*hosts: Host) -> None:
    """Let hosts know a quarantined content and part."""
    part_report = prompt_parts.PartReport('bad', DEATH_AGES)
    for host in hosts:
        host.receive(
            'x', fleet_messages.CrashReport(b'bad', OLD_DEATHS, False)
        )
        host.receive('x', fleet_messages.PartReports((part_report,)))


def clear(host: Host, deaths: tuple[str, ...] = OLD_DEATHS) -> None:
    """Let a host know that deaths under that content and part are cleared."""
    part_report = prompt_parts.PartReport('bad', cleared=deaths)
    host.receive('x', fleet_messages.CrashReport(b'bad', deaths, True))
    host.receive('x', fleet_messages.PartReports((part_report,)))


def is_clear(host: Host, clock: task.Clock) -> bool:
    """Return whether nothing speaks against that content and part."""
    return host.state(b'bad') is suspicion.SuspicionState.CLEAR and not (
        host.exchange.parts.death_count('bad', clock.seconds())
    )


@pytest.mark.parametrize('is_told_of_clear_first', [True, False])
def test_host_that_joins_is_told_what_was_cleared(
    clock, is_told_of_clear_first
):
    """Guards against a suspicion that returns after it was cleared.

    A host that had missed the clear, as its link was down, told the suspicion
    to hosts that started, and no other host told them of the clear.
    """
    knowing, missing = Host('knowing', clock), Host('missing', clock)
    suspect(knowing, missing)
    clear(knowing)
    started = Host('started', clock)
    tellers = [knowing, missing]
    if not is_told_of_clear_first:
        tellers.reverse()
    for teller in tellers:
        teller.linked['started'] = started
        teller.exchange.peer_joined('started')
    assert is_clear(started, clock)


def test_link_that_comes_back_tells_what_was_cleared(clock):
    """Guards against hosts that differ until their evidence expires."""
    knowing, missing = Host('knowing', clock), Host('missing', clock)
    suspect(knowing, missing)
    clear(knowing)
    clock.advance(1.0)
    link(missing, knowing)
    assert is_clear(missing, clock)
    assert is_clear(knowing, clock)
    (event, fields) = missing.logged[-1]
    assert event == 'part_suspect' and fields['cleared']


def test_only_the_deaths_before_a_clear_are_cleared(clock):
    """Guards against a clear that covers later crashes."""
    knowing, missing = Host('knowing', clock), Host('missing', clock)
    suspect(knowing, missing)
    clear(knowing, OLD_DEATHS[:2])
    link(missing, knowing)
    for host in (knowing, missing):
        assert host.state(b'bad') is suspicion.SuspicionState.SUSPECT
        assert host.exchange.parts.death_count('bad', clock.seconds()) == 1


def test_peer_that_tells_a_cleared_death_is_told_of_the_clear(clock):
    """Guards against a host that keeps a suspicion while its links stay up.

    It had missed the clear, whose sender is gone, and joined this host before
    this one was told of the clear.
    """
    knowing, missing = Host('knowing', clock), Host('missing', clock)
    suspect(knowing, missing)
    clear(knowing)
    started = Host('started', clock)
    missing.linked['started'] = started
    started.linked['missing'] = missing
    started.exchange.peer_joined('missing')
    link(started, knowing)
    missing.exchange.peer_joined('started')
    assert is_clear(missing, clock)
    assert is_clear(started, clock)
    count = len(started.sent)
    missing.exchange.peer_joined('started')
    assert len(started.sent) == count


def test_clears_of_unknown_deaths_are_not_passed_on(clock):
    """Guards against a started host that repeats all to all its peers.

    Peers that hold such a death have told it, or tell it and are answered.
    """
    started, peer = Host('started', clock), Host('peer', clock)
    started.is_partial = True
    link(started, peer)
    started.logged.clear()
    clear(started)
    assert started.sent == []
    assert started.logged == []


def test_clear_that_leaves_a_quarantine_is_passed_on(clock):
    """Guards against hosts behind this one that keep a cleared death."""
    passing, peer = Host('passing', clock), Host('peer', clock)
    passing.is_partial = True
    suspect(passing, peer)
    deaths = ('t4/1', 't5/1')
    for host in (passing, peer):
        host.receive('x', fleet_messages.CrashReport(b'bad', deaths, False))
    link(passing, peer)
    unlink(peer, passing)
    passing.linked['peer'] = peer
    clear(passing)
    clear(passing, deaths[:1])
    for host in (passing, peer):
        assert host.state(b'bad') is suspicion.SuspicionState.SUSPECT


@pytest.mark.parametrize('is_cleared', [False, True])
def test_joins_do_not_keep_what_has_expired(clock, is_cleared):
    """Guards against evidence that hosts hand on to each other without end.

    Each host that joined kept a report for its full time, so that a host which
    had missed a clear could tell the suspicion after the clear had expired.
    """
    hosts = [Host('0', clock)]
    suspect(hosts[0])
    if is_cleared:
        clear(hosts[0])
    for number in range(1, 3):
        clock.advance(0.6 * prompt_parts.ENTRY_TTL_S)
        hosts.append(Host(str(number), clock))
        link(hosts[-2], hosts[-1])
        unlink(hosts[-2], hosts[-1])
        assert len(hosts[1].exchange.parts) == 2 - number
    assert hosts[2].exchange.parts.parts_to_tell(clock.seconds()) == []
    assert hosts[2].exchange.table.digests_to_tell(clock.seconds())
    clock.advance(suspects.ENTRY_TTL_S - 1.2 * prompt_parts.ENTRY_TTL_S)
    assert hosts[2].exchange.table.digests_to_tell(clock.seconds()) == []


def test_report_of_a_host_that_tells_no_age_counts_as_new(clock):
    """Guards against hosts of the last landing that are not believed."""
    host = Host('host', clock)
    clock.advance(1.0)
    suspect(host)
    clock.advance(suspects.ENTRY_TTL_S - 1.0)
    assert host.state(b'bad') is suspicion.SuspicionState.QUARANTINED


def test_older_report_does_not_shorten_what_is_kept(clock):
    """Guards against a suspicion that ends early as an old peer joins."""
    old, host = Host('old', clock), Host('host', clock)
    suspect(old)
    clock.advance(0.9 * prompt_parts.ENTRY_TTL_S)
    part_report = prompt_parts.PartReport('bad', {'t9/1': 0.0})
    host.receive('x', fleet_messages.CrashReport(b'bad', ('t9/1',), False))
    host.receive('x', fleet_messages.PartReports((part_report,)))
    link(old, host)
    clock.advance(0.9 * prompt_parts.ENTRY_TTL_S)
    assert host.exchange.parts.death_count('bad', clock.seconds()) > 1
    clock.advance(suspects.ENTRY_TTL_S - prompt_parts.ENTRY_TTL_S)
    assert host.state(b'bad') is suspicion.SuspicionState.QUARANTINED


def test_started_host_keeps_the_gravest_of_more_than_it_can(
    clock, monkeypatch
):
    """Guards against a quarantine that ends where a host has started.

    A peer tells the gravest suspects first, and a full table dropped the
    entries that it had known longest.
    """
    knowing, started = Host('knowing', clock), Host('started', clock)
    suspect_many(knowing, clock)
    for number in range(COUNT):
        part_report = prompt_parts.PartReport(f'p{number}', cleared=('t/1',))
        knowing.receive(
            'x', fleet_messages.CrashReport(b'%d' % number, ('t/1',), True)
        )
        knowing.receive('x', fleet_messages.PartReports((part_report,)))
    for module in (prompt_parts, suspects):
        monkeypatch.setattr(module, 'MAX_ENTRIES', COUNT // 2)
    link(knowing, started)
    clock.pump(COUNT * [suspect_handover.PAGE_INTERVAL_S])
    assert len(started.exchange.table) == COUNT // 2
    assert len(started.exchange.parts) == COUNT // 2
    assert started.state(b'bad') is suspicion.SuspicionState.QUARANTINED
    assert started.exchange.parts.is_quarantined('bad', clock.seconds())


def test_what_a_started_host_is_told_does_not_fill_its_log(clock):
    """Guards against the first lines of a host that are dropped for these.

    The log takes 150 lines a second, and a host may be told 2,000 parts.
    """
    knowing, started = Host('knowing', clock), Host('started', clock)
    suspect_many(knowing, clock)
    clock.advance(1.0)
    link(knowing, started)
    clock.pump(COUNT * [suspect_handover.PAGE_INTERVAL_S])
    parts = [
        fields['part']
        for event, fields in started.logged
        if event == 'part_suspect'
    ]
    counts = [
        fields['count']
        for event, fields in started.logged
        if event == 'part_suspects_told'
    ]
    assert parts == ['bad']
    assert sum(counts) == COUNT
    assert len(counts) == math.ceil((COUNT + 1) / suspect_handover.PAGE_SIZE)

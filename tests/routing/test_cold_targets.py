"""Tests of how long targets count as cold."""

import pytest

from walnutport.membership import registry
from walnutport.routing import cold_targets
from walnutport.world import feeds
from walnutport.world import registrations
from walnutport.world import routes

COLD_S = 3.0
LIMITED = routes.Service('plain', 10, cold_s=COLD_S, cold_per_s=9.9)
FREE = routes.Service('free', 10, cold_s=COLD_S)


def target(
    target_id='t', incarnation=1, warmup_s=None, service='plain', sequence=0
):
    """Return a registered target."""
    return registrations.RegisteredTarget(
        target_id,
        incarnation,
        service,
        ('10.0.0.1', 80),
        'a',
        4,
        False,
        warmup_s,
        sequence,
    )


@pytest.fixture
def cold():
    """Return the cold times of a service with a limit and one without."""
    times = cold_targets.ColdTargets()
    times.set_services([LIMITED, FREE], 1.5, 5.0)
    times.update_entries({'first': target('first')}, 0.0)
    return times


def test_only_services_with_a_limit_have_cold_targets(cold):
    """Guards against limits where the operator wants none."""
    free = target(warmup_s=2.0, service='free')
    assert cold.update_entries({'t': free}, 1.0) == []
    assert cold.header_received(free, 5.0, 1.0) == []
    assert cold.connection_refused(free, 1.0) == []
    assert not cold.is_cold(free, 1.0)
    assert cold.rules('plain').bound_per_s == pytest.approx(19.85)
    cold.set_services([FREE], 1.5, 5.0)
    assert not cold.is_active


def test_entry_is_evaluated_once(cold):
    """Guards against a cold time that begins again with each change."""
    entry = target(warmup_s=2.0)
    (change,) = cold.update_entries({'t': entry}, 1.0)
    assert (change.left_s, change.source) == (2.0, 'entry')
    assert cold.update_entries({'t': entry}, 2.5) == []
    assert cold.is_cold(entry, 2.9) and not cold.is_cold(entry, 3.0)
    assert [change.source for change in cold.take_ended(3.0)] == ['time']


@pytest.mark.parametrize(
    ('warmup_s', 'expected'), [(None, COLD_S), (0.0, 0.0), (1.0, 1.0)]
)
def test_target_that_starts_during_traffic(cold, warmup_s, expected):
    """Guards against a start that the entry does not tell.

    A host that has just started cannot tell when a target has started.
    """
    entry = target(warmup_s=warmup_s)
    cold.update_entries({'first': target('first'), 't': entry}, 1.0)
    assert cold.left_s(entry, 1.0) == expected
    first = target('first')
    assert not cold.is_cold(first, 1.0)


def test_header_ends_or_begins_the_cold_time(cold):
    """Guards against a target that becomes cold again unnoticed."""
    entry = target(warmup_s=2.0)
    cold.update_entries({'t': entry}, 1.0)
    (ended,) = cold.header_received(entry, 0.0, 1.5)
    assert ended.left_s == 0 and not cold.is_cold(entry, 1.5)
    (begun,) = cold.header_received(entry, 4.0, 9.0)
    # Written before that, and read late.
    cold.update_entries({'t': target(warmup_s=0.0, sequence=1)}, 9.5)
    assert begun.source == 'header' and cold.is_cold(entry, 12.9)


def test_target_that_refused_connections_is_cold_when_it_returns(cold):
    """Guards against a crash at the start of a target that has crashed."""
    entry = target(warmup_s=0.0)
    cold.update_entries({'t': entry}, 1.0)
    cold.connection_refused(entry, 2.0)
    cold.connection_refused(entry, 4.0)
    # Written before the crash, and read late.
    cold.update_entries({'t': target(warmup_s=0.0, sequence=1)}, 4.5)
    assert cold.left_s(entry, 5.0) == 2.0
    restarted = target(incarnation=2, warmup_s=1.0)
    cold.update_entries({'t': restarted}, 5.0)
    assert cold.left_s(restarted, 5.0) == 1.0
    cold.connection_refused(restarted, 5.5)
    cold.path_restored()
    assert not cold.is_cold(restarted, 5.5)


def test_invalid_time_is_reported_once_per_lifetime(cold):
    """Guards against a log that fills with one target."""
    assert cold.is_first_problem(target())
    assert not cold.is_first_problem(target())
    assert cold.is_first_problem(target(incarnation=2))
    cold.update_entries({}, 1.0)
    assert cold.is_first_problem(target()), 'forgotten with the target'


def decode(key, value):
    """Decode the remaining time in seconds."""
    return target(key, warmup_s=float(value), sequence=0)


def test_registry_passes_on_changes_of_the_cold_time():
    """Guards against hosts that do not read the store and learn nothing.

    Entries of a cold target are read at irregular times, and must not be
    passed on each time.
    """
    targets = registry.TargetRegistry(decode)

    def read(offset, value, now):
        records = (feeds.FeedRecord('t', value, offset),)
        page = feeds.FeedPage(records, offset + 1)
        changes, _ = targets.apply(page, now)
        return [change.change for change in changes]

    assert read(0, b'0', 0.0) == ['added']
    assert read(1, b'3', 1.0) == [], 'the service has no limit'
    targets.limited_services = frozenset({'plain'})
    assert read(2, b'3', 10.0) == ['cold_time']
    assert targets.changes_end_offset == 3
    assert read(3, b'1.8', 11.9) == []
    assert read(4, b'0.6', 13.2) == []
    assert read(5, b'3', 13.4) == ['cold_time'], 'it is cold again'
    assert read(6, b'0', 16.5) == ['cold_time']
    assert read(7, b'0', 17.5) == []

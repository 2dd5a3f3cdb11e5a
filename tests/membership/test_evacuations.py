"""Tests of the state of evacuations of data centres."""

import hypothesis
from hypothesis import strategies as st

from walnutport.membership import evacuations
from walnutport.membership import registry
from walnutport.world import evacuations as world_evacuations

NAMES = ('a', 'b', 'c')
GRACE_S = registry.ERA_GRACE_S


def record(
    name: str, offset: int, is_evacuated: bool = True
) -> world_evacuations.EvacuationRecord:
    """Return a record of an evacuation."""
    return world_evacuations.EvacuationRecord(name, is_evacuated, offset)


def make_state(*records, era: int = 1) -> evacuations.Evacuations:
    """Return a state in an era with records at time 0."""
    state = evacuations.Evacuations()
    state.enter_era(era, 0.0)
    state.apply(records, 0.0)
    return state


# The log of the store: data centre and whether it is evacuated.
LOG = st.lists(
    st.tuples(st.sampled_from(NAMES), st.booleans()), min_size=1, max_size=8
)


@hypothesis.given(LOG, st.data())
def test_records_in_any_order(log, data):
    """Guards against a state that depends on the order of the reads.

    Records come one by one, repeated, or in lists that are stale and lack what
    was withdrawn.
    """
    records = [
        record(name, offset, is_evacuated)
        for offset, (name, is_evacuated) in enumerate(log)
    ]
    state = make_state()
    steps = data.draw(
        st.lists(st.tuples(st.booleans(), st.integers(0, len(log) - 1)))
    )
    for is_list, number in steps:
        if is_list:
            newest = {item.data_centre: item for item in records[:number]}
            listed = [item for item in newest.values() if item.is_evacuated]
            state.apply_list(listed, (), number, 0.0)
        else:
            state.apply([records[number]], 0.0)
    for item in data.draw(st.permutations(records)):
        state.apply([item], 0.0)
    newest = {item.data_centre: item for item in records}
    assert state.names == sorted(
        name for name, item in newest.items() if item.is_evacuated
    )
    assert state.end == len(log)


def test_list_without_the_record_withdraws():
    """Guards against an evacuation whose withdrawal was never read."""
    state = make_state(record('a', 5), record('b', 8))
    assert state.apply_list([], (), 5, 0.0) == [], 'the list is stale'
    (change,) = state.apply_list([], (), 8, 0.0)
    assert (change.data_centre, change.is_evacuated) == ('a', False)
    assert state.names == ['b']
    assert state.apply([record('a', 6)], 0.0) == []
    assert state.records(0.0)[0] == record('a', 7, False)


def test_peer_that_lags_behind_the_list():
    """Guards against a withdrawn evacuation that an old host brings back."""
    state = make_state()
    state.apply_list([], (), 8, 0.0)
    assert state.apply([record('a', 5)], 0.0) == []
    assert state.end == 8, 'the peer has to be told'
    (change,) = state.apply([record('a', 9)], 0.0)
    assert change.is_evacuated


def test_unusable_record_withdraws_nothing():
    """Guards against a typing error that ends an evacuation."""
    state = make_state(record('a', 5))
    assert state.apply_list([], ('a',), 9, 0.0) == []
    started = make_state()
    started.apply_list([], ('a',), 9, 0.0)
    (change,) = started.apply([record('a', 5)], 0.0)
    assert change.is_evacuated


def test_older_copy_keeps_what_is_in_force():
    """Guards against an evacuation that is lost with the store's last seconds.

    The copy has an earlier withdrawal; the operator writes the record again.
    """
    state = make_state(record('a', 5))
    state.enter_era(2, 10.0)
    assert state.apply_list([record('a', 3, False)], (), 4, 10.0) == []
    state.confirm(10.0)
    assert state.expire(12.0) == []
    assert state.apply([record('a', 4)], 12.0) == []
    state.confirm(20.0)
    assert state.expire(20.0) == []
    (change,) = state.apply([record('a', 6, False)], 21.0)
    assert not change.is_evacuated


def test_copy_is_authoritative_after_the_grace_period():
    """Guards against an evacuation that nobody can withdraw any more."""
    state = make_state(record('a', 5))
    state.enter_era(2, 10.0)
    state.apply_list([], (), 4, 10.0)
    due = 10.0 + GRACE_S
    state.confirm(due - 0.1)
    assert state.expire(due + 5.0) == [], 'the host may have been paused'
    state.confirm(due + 5.0)
    (change,) = state.expire(due + 5.0)
    assert (change.data_centre, change.is_evacuated) == ('a', False)


def test_copy_that_shows_a_withdrawn_evacuation():
    """Guards against work while it is unclear which record is later."""
    state = make_state(record('a', 5), record('a', 6, False))
    state.enter_era(2, 10.0)
    (change,) = state.apply_list([record('a', 5)], (), 6, 10.0)
    assert change.is_evacuated
    (change,) = state.apply([record('a', 6, False)], 12.0)
    assert not change.is_evacuated


def test_started_host_is_told_what_is_held_over():
    """Guards against a host that only sees the copy without the record.

    Hosts must not prolong the evacuation for each other without end.
    """
    state = make_state(record('a', 5))
    state.enter_era(2, 10.0)
    told = evacuations.Evacuations()
    told.enter_era(2, 11.0)
    told.apply_list([], (), 4, 11.0)
    (change,) = told.apply(state.records(11.0), 11.0)
    assert change.is_evacuated
    told.confirm(11.0 + GRACE_S)
    assert len(told.expire(11.0 + GRACE_S)) == 1
    assert told.apply(state.records(15.0), 15.0) == []


def test_second_return_during_the_grace_period():
    """Guards against an evacuation that a second return cuts short."""
    state = make_state(record('a', 5))
    state.enter_era(2, 10.0)
    state.enter_era(3, 13.0)
    state.confirm(14.0)
    assert state.expire(14.0) == []
    assert state.is_evacuated('a')

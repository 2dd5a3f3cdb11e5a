"""Tests of the targets as the store lists them."""

import pytest

from walnutport import exceptions
from walnutport.membership import registry
from walnutport.world import feeds
from walnutport.world import registrations


def decode(key: str, value: bytes) -> registrations.RegisteredTarget:
    """Decode values of the form ``INCARNATION[d]``."""
    if value == b'bad':
        raise exceptions.WireError('bad entry')
    return registrations.RegisteredTarget(
        key,
        int(value.rstrip(b'd')),
        'llm',
        ('10.0.0.1', 80),
        'a',
        4,
        value.endswith(b'd'),
        0.0,
    )


def page(end: int, **values) -> feeds.FeedPage:
    """Return records, the last of them before the end."""
    return feeds.FeedPage(
        tuple(
            feeds.FeedRecord(key, value, end - 1)
            for key, value in values.items()
        ),
        end,
    )


@pytest.fixture
def known() -> registry.TargetRegistry:
    """Return a registry with one target."""
    found = registry.TargetRegistry(decode)
    found.apply(page(1, t1=b'1'), 0.0)
    return found


def test_draining_target_takes_no_work(known):
    """Guards against new work at a target that leaves."""
    known.apply(page(2, t1=b'1d'), 0.0)
    assert known.usable('llm') == []
    assert 't1' in known.targets


def test_old_record_does_not_undo_a_newer_one(known):
    """Guards against news of a peer that lags behind."""
    known.apply(page(5, t1=b'1d'), 0.0)
    known.apply(page(3, t1=b'1'), 0.0)
    assert known.usable('llm') == []


def test_removed_target_is_gone_at_once(known):
    """Guards against requests to a target that has left."""
    changes, _ = known.apply(page(2, t1=None), 0.0)
    assert [change.change for change in changes] == ['gone']
    assert known.targets == {}


def test_entry_that_lapsed_in_an_outage_has_time_to_return(known):
    """Guards against taking every target as gone after an outage."""
    known.store_recovered(outage_s=4.0, now=10.0)
    known.apply(page(2, t1=None), 10.1)
    assert known.usable('llm')
    known.apply(page(3, t1=b'1'), 11.0)
    assert known.expire(13.0) == []
    assert known.usable('llm')


def test_entry_that_does_not_return_is_gone(known):
    """Guards against a target that died during an outage."""
    known.store_recovered(outage_s=4.0, now=10.0)
    known.apply(page(2, t1=None), 10.1)
    assert [change.change for change in known.expire(12.5)] == ['gone']


def test_unreadable_entry_hides_no_other(known):
    """Guards against one bad entry that makes all targets unknown."""
    changes, problems = known.apply(page(3, t2=b'bad', t3=b'1'), 0.0)
    assert len(problems) == 1
    assert set(known.targets) == {'t1', 't3'}
    assert [change.target_id for change in changes] == ['t3']


def test_restart_under_the_same_id_is_a_new_lifetime(known):
    """Guards against results that are expected of a restarted target."""
    changes, _ = known.apply(page(2, t1=b'2'), 0.0)
    assert [change.change for change in changes] == ['restarted']


def test_full_page_removes_what_it_does_not_list(known):
    """Guards against targets that left while history was dropped."""
    known.replace(page(9, t2=b'1'), 0.0)
    assert set(known.targets) == {'t2'}
    known.apply(page(10, t1=b'1'), 0.0)
    assert set(known.targets) == {'t1', 't2'}


def test_peer_gets_only_what_it_lacks(known):
    """Guards against whole lists on every heartbeat."""
    known.apply(page(7, t2=b'1'), 0.0)
    assert [record.key for record in known.changes_after(3)] == ['t2']


def test_heartbeat_of_a_target_is_no_change(known):
    """Guards against passing every heartbeat on to every host."""
    changed_end = known.changed_end
    known.apply(page(7, t1=b'1'), 0.0)
    assert known.end == 7
    assert known.changed_end == changed_end
    assert known.changes_after(changed_end) == ()

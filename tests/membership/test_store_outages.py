"""Tests of telling an outage of the store from one of a single host."""

from walnutport.membership import registry
from walnutport.membership import store_outages


def test_outage_of_one_host_lasts_from_the_last_read_of_any_host():
    """Guards against a host that takes its own outage for the store's."""
    outages = store_outages.StoreOutages()
    outages.record_read(10.0, 10.0)
    outages.record_read(17.5, 18.0)
    assert outages.duration_s(lost_at=10.5, now=18.0) == 0.5
    assert outages.duration_s(lost_at=17.75, now=18.0) == 0.25


def test_outage_is_recent_until_the_lapsed_entries_are_back():
    """Guards against dropping targets whose entries lapsed in an outage."""
    outages = store_outages.StoreOutages()
    outages.record_read(1.0, 1.0)
    assert outages.is_recent(1.5), 'a started host knows of no reads before'
    now = 2.0 + registry.LAPSE_GRACE_S
    outages.record_read(now - 0.5, now)
    outages.record_read(now + 0.5, now + 0.5)
    later = now + 0.5 + registry.MIN_OUTAGE_S
    assert outages.is_recent(later)
    outages.record_read(later, later)
    assert outages.is_recent(later + registry.LAPSE_GRACE_S)
    for step in range(1, 5):
        outages.record_read(later + step, later + step)
    assert not outages.is_recent(later + 4.0)

"""Tests of the permits of one owner."""

from walnutport.quarantine import permits

DIGEST = b'digest'


def table_of(owner_only: bool, digest: bytes = DIGEST) -> permits.PermitTable:
    """Return a table whose host owns the digest, or owns it alone only."""
    hosts = ('a', 'b', 'c')
    for host in hosts:
        table = permits.PermitTable(host)
        table.hosts_changed(hosts, 0.0)
        if (table.owner(digest) == host) == owner_only:
            return table
    raise AssertionError('no such host')


def test_a_new_owner_waits_for_the_leases_of_the_old_one() -> None:
    """Guards against a second run beside one that the dead owner allowed."""
    table = table_of(owner_only=False)
    table.hosts_changed((), 100.0)
    early = table.request('p', DIGEST, 4.0, 100.0 + permits.MAX_LEASE_S)
    assert not early.granted and early.retry_after_s > 0
    assert table.request('p', DIGEST, 4.0, 100.0 + permits.TAKEOVER_S).granted


def test_only_the_owner_grants() -> None:
    """Guards against two hosts that grant while their views differ."""
    assert not table_of(owner_only=False).request('p', DIGEST, 4.0, 1).granted


def test_a_permit_ends_by_release_or_lease() -> None:
    """Guards against two runs, and against a content locked for ever."""
    table = table_of(owner_only=True)
    assert table.request('p1', DIGEST, 4.0, 1.0).granted
    assert table.request('p1', DIGEST, 4.0, 1.1).granted
    assert not table.request('p2', DIGEST, 4.0, 4.9).granted
    assert table.request('p3', DIGEST, 4.0, 5.0).granted
    table.release('p1', DIGEST, 5.1)
    assert not table.request('p4', DIGEST, 4.0, 5.2).granted
    table.release('p3', DIGEST, 5.3)
    assert table.request('p4', DIGEST, 4.0, 5.4).granted


def test_a_release_that_overtakes_its_request() -> None:
    """Guards against a lease that nobody will release."""
    table = table_of(owner_only=True)
    table.release('p1', DIGEST, 1.0)
    assert not table.request('p1', DIGEST, 4.0, 1.1).granted
    assert table.request('p2', DIGEST, 4.0, 1.2).granted

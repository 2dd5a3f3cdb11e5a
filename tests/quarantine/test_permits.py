"""Tests of the permit table of one host."""

from walnutport.quarantine import permits

DIGEST = b'digest'


def new_table(is_owner: bool, digest: bytes = DIGEST) -> permits.PermitTable:
    """Return the permit table of one of three hosts.

    :param is_owner: whether the host owns the digest. A host that does not
        becomes the owner when it is the only live host.
    """
    hosts = ('a', 'b', 'c')
    for host in hosts:
        table = permits.PermitTable(host)
        table.hosts_changed(hosts, 0.0)
        if (table.owner(digest) == host) == is_owner:
            return table
    raise AssertionError('no such host')


def test_new_owner_waits_until_leases_of_previous_owner_end() -> None:
    """Guards against a run concurrent with one that the old owner permitted.

    After a takeover, the new owner does not know the permits of a dead one.
    """
    table = new_table(is_owner=False)
    table.hosts_changed((), 100.0)
    early = table.request('p', DIGEST, 4.0, 100.0 + permits.MAX_LEASE_S)
    assert not early.granted and early.retry_after_s > 0
    assert table.request(
        'p', DIGEST, 4.0, 100.0 + permits.TAKEOVER_DELAY_S
    ).granted


def test_only_owner_grants_permits() -> None:
    """Guards against two granting hosts while their host lists differ."""
    assert not new_table(is_owner=False).request('p', DIGEST, 4.0, 1).granted


def test_permit_ends_on_release_or_lease_expiry() -> None:
    """Guards against concurrent runs and against permits that never end."""
    table = new_table(is_owner=True)
    assert table.request('p1', DIGEST, 4.0, 1.0).granted
    assert table.request('p1', DIGEST, 4.0, 1.1).granted
    assert not table.request('p2', DIGEST, 4.0, 4.9).granted
    assert table.request('p3', DIGEST, 4.0, 5.0).granted
    table.release('p1', DIGEST, 5.1)
    assert not table.request('p4', DIGEST, 4.0, 5.2).granted
    table.release('p3', DIGEST, 5.3)
    assert table.request('p4', DIGEST, 4.0, 5.4).granted


def test_release_received_before_its_request() -> None:
    """Guards against granting a permit that was released in advance.

    Its lease would block the content until it expires.
    """
    table = new_table(is_owner=True)
    table.release('p1', DIGEST, 1.0)
    assert not table.request('p1', DIGEST, 4.0, 1.1).granted
    assert table.request('p2', DIGEST, 4.0, 1.2).granted

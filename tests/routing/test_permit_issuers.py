"""Tests of the choice of the host that issues permits."""

from walnutport.routing import permit_issuers

SHARES = {f'host-{number}': 1.0 for number in range(4)}
CELL = 3


def settled(ranking, now):
    """Return whether a host issues permits."""
    return ranking.is_settled(CELL, now)


def updated(ranking, shares, start, end):
    """Update a host with the same shares from one time to another."""
    now = start
    while now <= end:
        ranking.update(dict(shares), now)
        now += 0.25


def test_issuer_waits_a_second_after_a_change_that_concerns_it():
    """Guards against the permits of two issuers one after the other."""
    first = permit_issuers.IssuerRanking('')
    first.update(SHARES, 0.0)
    owner = first.issuer(CELL)
    rest = {name: 1.0 for name in SHARES if name != owner}
    first.update(rest, 0.1)
    successor = first.issuer(CELL)
    ranking = permit_issuers.IssuerRanking(successor)
    updated(ranking, SHARES, 0.0, 5.0)
    assert not settled(ranking, 5.0)
    updated(ranking, rest, 5.25, 6.0)
    assert ranking.issuer(CELL) == successor
    assert not settled(ranking, 6.0)
    updated(ranking, rest, 6.25, 6.5)
    assert settled(ranking, 6.5)
    # The loss of a host that comes after it changes nothing.
    fewer = {name: 1.0 for name in rest if name == successor}
    updated(ranking, fewer, 6.75, 6.75)
    assert settled(ranking, 6.75)


def test_host_that_started_or_was_paused_waits_a_second():
    """Guards against an issuer that does not know who issued meanwhile."""
    ranking = permit_issuers.IssuerRanking('own')
    assert not settled(ranking, 0.0)
    updated(ranking, {'own': 1.0}, 0.0, 0.75)
    assert not settled(ranking, 0.75)
    updated(ranking, {'own': 1.0}, 1.0, 2.0)
    assert settled(ranking, 2.0)
    assert not settled(ranking, 4.0)
    updated(ranking, {'own': 1.0}, 4.0, 4.75)
    assert not settled(ranking, 4.75)
    updated(ranking, {'own': 1.0}, 5.0, 5.0)
    assert settled(ranking, 5.0)

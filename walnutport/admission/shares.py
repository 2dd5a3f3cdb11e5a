"""Division of a limit among hosts and the loans that achieve it.

All functions are deterministic, so hosts with the same view compute the
same division. Shares are whole units.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import hashlib

__all__ = ['base_share', 'base_shares', 'plan_loans', 'water_fill']

# A host keeps at least its base divided by this, even without demand.
_RETAINED_DIVISOR = 5


def base_shares(
    limit_key: str, limit: int, hosts: Iterable[str]
) -> dict[str, int]:
    """Return equal whole shares that add up to the limit.

    The hosts that get one extra unit differ between keys, so that no host is
    preferred for every limit.

    >>> sum(base_shares('e', 10, ['a', 'b', 'c']).values())
    10
    """
    ordered = sorted(hosts, key=lambda host_id: _rank(limit_key, host_id))
    if not ordered:
        return {}
    quotient, remainder = divmod(max(0, limit), len(ordered))
    return {
        host_id: quotient + (index < remainder)
        for index, host_id in enumerate(ordered)
    }


def base_share(
    limit_key: str, limit: int, hosts: Collection[str], host_id: str
) -> int:
    """Return the share of one host without computing all shares.

    >>> hosts = frozenset('abc')
    >>> all(
    ...     base_share('e', 10, hosts, host) == share
    ...     for host, share in base_shares('e', 10, hosts).items()
    ... )
    True
    """
    quotient, remainder = divmod(max(0, limit), len(hosts))
    if not remainder:
        return quotient
    own_rank = _rank(limit_key, host_id)
    before = sum(_rank(limit_key, other) < own_rank for other in hosts)
    return quotient + (before < remainder)


def _rank(limit_key: str, host_id: str) -> bytes:
    return hashlib.blake2b(
        f'{limit_key}\0{host_id}'.encode(), digest_size=8
    ).digest()


def min_retained_share(base: int) -> int:
    """Return the units that a host keeps to absorb the start of a burst."""
    return max(base // _RETAINED_DIVISOR, min(base // 2, 1))


def water_fill(
    limit: int, demands: Mapping[str, int], bases: Mapping[str, int]
) -> dict[str, int]:
    """Return the max-min fair division of a limit.

    No host gets more than its demand while another host with less has unmet
    demand. Every host gets at least its minimum retained share.

    >>> bases = {'a': 4, 'b': 4, 'c': 4}
    >>> water_fill(12, {'a': 20, 'b': 1, 'c': 3}, bases)
    {'b': 1, 'c': 3, 'a': 8}
    """
    demand_by_host = {
        host_id: max(demands.get(host_id, 0), min_retained_share(base))
        for host_id, base in bases.items()
    }
    remaining = max(0, limit)
    shares = {}
    ordered = sorted(
        demand_by_host, key=lambda host_id: (demand_by_host[host_id], host_id)
    )
    for index, host_id in enumerate(ordered):
        shares[host_id] = min(
            demand_by_host[host_id], remaining // (len(ordered) - index)
        )
        remaining -= shares[host_id]
    return shares


def plan_loans(
    limit: int, demands: Mapping[str, int], bases: Mapping[str, int]
) -> dict[tuple[str, str], int]:
    """Return the units that each host lends to each other host.

    With these loans every host has its max-min fair share, or its base if that
    is larger and no other host needs the difference.

    >>> plan_loans(8, {'a': 9}, {'a': 4, 'b': 4})
    {('b', 'a'): 3}
    """
    shares = water_fill(limit, demands, bases)
    spare = {key: max(0, bases[key] - shares[key]) for key in bases}
    loans: dict[tuple[str, str], int] = {}
    borrowers = sorted(key for key in bases if shares[key] > bases[key])
    for borrower in borrowers:
        missing = shares[borrower] - bases[borrower]
        # Starting with the largest spare share keeps the number of loans
        # small.
        for lender in sorted(spare, key=lambda key: (-spare[key], key)):
            units = min(missing, spare[lender])
            if units > 0:
                loans[lender, borrower] = units
                spare[lender] -= units
                missing -= units
    return loans

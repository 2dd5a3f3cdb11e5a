"""Which host owns what, worked out alike on every host.

Load pattern: hosts come and go while work is under way. A rule over the known
hosts needs no agreement; hosts that see the fleet differently for a moment
only assemble smaller batches.
"""

from collections.abc import Iterable
import hashlib
import math

__all__ = [
    'TARGETS_READER',
    'eligible_hosts',
    'cell_count',
    'cell_key',
    'cell_targets',
    'rank_hosts',
    'hosts_to_link',
]

#: Key of the hosts that read the targets from the store.
TARGETS_READER = 'targets-reader'

# Stage targets that one host serves well: each takes some four calls a second,
# and a replay of 26 targets took a tenth of a core. Fewer cells fill calls
# better and deal fewer targets anew when one comes or goes.
TARGETS_PER_CELL = 32
# Owners of a key that are linked ahead of need: the owner and the hosts that
# follow if up to two are lost at once.
LINKED_OWNERS = 3
# Neighbours in the order of names that are linked, which keeps the fleet
# connected.
LINKED_NEIGHBOURS = 3
# Hosts with at least this part of the largest share may own cells.
ABLE_PART = 0.5


def eligible_hosts(shares_by_name: dict[str, float]) -> dict[str, float]:
    """Leave out hosts that are much smaller than the largest one.

    An owner's link carries the calls of its whole cell, which fills the link
    of a small host.
    """
    most = max(shares_by_name.values(), default=0.0)
    return {
        name: share
        for name, share in shares_by_name.items()
        if share >= most * ABLE_PART
    }


def rank_hosts(key: str, shares_by_name: dict[str, float]) -> list[str]:
    """Return the hosts in the order in which they own a key.

    :param shares_by_name: processor share of each host; larger hosts own
        more keys (weighted rendezvous hashing).
    """

    def score(name: str) -> float:
        digest = hashlib.blake2b(f'{key}/{name}'.encode(), digest_size=8)
        part = (int.from_bytes(digest.digest(), 'big') + 1) / 2.0**64
        return -shares_by_name[name] / math.log(min(part, 1 - 1e-12))

    return sorted(shares_by_name, key=lambda name: (-score(name), name))


def cell_count(stage_targets: int) -> int:
    """Return how many cells share the stage targets."""
    return max(1, -(-stage_targets // TARGETS_PER_CELL))


def cell_targets(target_ids: Iterable[str], cell: int, cells: int) -> set[str]:
    """Return the targets of one service that belong to a cell."""
    return {
        target_id
        for number, target_id in enumerate(sorted(target_ids))
        if number % cells == cell
    }


def cell_key(cell: int) -> str:
    """Return the key of a cell."""
    return f'cell-{cell}'


def hosts_to_link(
    own: str, shares_by_name: dict[str, float], cells: int
) -> set[str]:
    """Return the hosts to link with in a large fleet.

    These are the hosts that own cells or read the store, or will when others
    are lost, and the next ones in the order of names.

    :param shares_by_name: processor share of each known host, this one
        included.
    """
    wanted: set[str] = set()
    able = eligible_hosts(shares_by_name)
    for cell in range(cells):
        wanted.update(rank_hosts(cell_key(cell), able)[:LINKED_OWNERS])
    equal = dict.fromkeys(shares_by_name, 1.0)
    wanted.update(rank_hosts(TARGETS_READER, equal)[:LINKED_OWNERS])
    names = sorted(shares_by_name)
    position = names.index(own)
    for step in range(1, LINKED_NEIGHBOURS + 1):
        wanted.add(names[(position + step) % len(names)])
    return wanted

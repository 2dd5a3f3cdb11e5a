"""Which host owns what, worked out alike on every host.

Load pattern: hosts come and go while work is under way. A rule over the known
hosts needs no agreement; hosts that see the fleet differently for a moment
only assemble smaller batches.
"""

from collections.abc import Iterable
import hashlib
import math

__all__ = ['able_hosts', 'cell_count', 'cell_targets', 'rank_hosts']

# Stage targets that one host serves well: each takes some four calls a second,
# and a replay of 26 targets took a tenth of a core. Fewer cells fill calls
# better and deal fewer targets anew when one comes or goes.
TARGETS_PER_CELL = 32


# Hosts with at least this part of the largest share may own cells.
ABLE_PART = 0.5


def able_hosts(shares_by_name: dict[str, float]) -> dict[str, float]:
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

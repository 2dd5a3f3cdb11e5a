"""Assignment of keys and cells to hosts, computed alike on every host.

Hosts join and leave while work is in progress. A deterministic rule over the
known hosts needs no consensus protocol; hosts that disagree on the fleet for
a moment only assemble smaller batches.
"""

from collections.abc import Iterable
import functools
import hashlib
import math

__all__ = [
    'TARGETS_READER',
    'eligible_hosts',
    'cell_count',
    'cell_for_content',
    'cell_key',
    'cell_targets',
    'cell_targets_left',
    'rank_hosts',
    'rank_readers',
    'hosts_to_link',
    'origin_keepers',
    'origin_shard',
    'origin_shards',
]

#: Key of the hosts that read the targets from the store.
TARGETS_READER = 'targets-reader'

# Stage targets that one host can serve: each takes about four calls a second,
# and a replay with 26 targets used a tenth of a core. With fewer cells, calls
# carry fuller batches, and fewer targets change cells when one comes or goes.
TARGETS_PER_CELL = 32
# Hosts of a key to link with in advance: the owner, and those that succeed it
# if up to two hosts are lost at once.
LINKED_OWNERS = 3
# Hosts to link with that follow this one in the order of names, which keeps
# the fleet connected.
LINKED_NEIGHBOURS = 3
# Hosts whose streams share the same keepers of origins. Fewer keepers get more
# origins each; more of them need more messages.
HOSTS_PER_ORIGIN_SHARD = 64
# Hosts that keep where a stream began, besides the one that began it.
ORIGIN_KEEPERS = 2
# Hosts with at least this fraction of the largest share may own cells.
MIN_SHARE_FRACTION = 0.5
# Cached scores: a thousand hosts for the keys of twenty cells.
MAX_CACHED_SCORES = 20_000


def eligible_hosts(shares_by_name: dict[str, float]) -> dict[str, float]:
    """Return the hosts that are not much smaller than the largest one.

    An owner's link carries the calls of its whole cell, which would saturate
    the link of a small host, and a reader's what has changed to all others.
    """
    largest = max(shares_by_name.values(), default=0.0)
    return {
        name: share
        for name, share in shares_by_name.items()
        if share >= largest * MIN_SHARE_FRACTION
    }


def rank_hosts(key: str, shares_by_name: dict[str, float]) -> list[str]:
    """Return the hosts in their order of precedence as owners of a key.

    :param shares_by_name: processor share of each host; larger hosts own
        more keys (weighted rendezvous hashing).
    """

    return sorted(
        shares_by_name,
        key=lambda name: (
            -shares_by_name[name] * _unit_score(key, name),
            name,
        ),
    )


def rank_readers(shares_by_name: dict[str, float]) -> list[str]:
    """Return the hosts in their order of precedence as readers of the store.

    Those that are much smaller than the largest one come last.
    """
    eligible = eligible_hosts(shares_by_name)
    return sorted(
        rank_hosts(TARGETS_READER, dict.fromkeys(shares_by_name, 1.0)),
        key=lambda name: name not in eligible,
    )


@functools.lru_cache(maxsize=MAX_CACHED_SCORES)
def _unit_score(key: str, name: str) -> float:
    """Return the rendezvous hashing score of a host with a share of one."""
    digest = hashlib.blake2b(f'{key}/{name}'.encode(), digest_size=8)
    fraction = (int.from_bytes(digest.digest(), 'big') + 1) / 2.0**64
    return -1 / math.log(min(fraction, 1 - 1e-12))


def cell_count(stage_targets: int) -> int:
    """Return the count of cells for a count of stage targets."""
    return max(1, -(-stage_targets // TARGETS_PER_CELL))


def cell_targets(target_ids: Iterable[str], cell: int, cells: int) -> set[str]:
    """Return the targets of one service that belong to a cell."""
    return {
        target_id
        for index, target_id in enumerate(sorted(target_ids))
        if index % cells == cell
    }


def cell_targets_left(
    target_ids: Iterable[str],
    evacuated_ids: set[str],
    cell: int,
    cells: int,
) -> set[str]:
    """Return the targets of one service in a cell while some get no new work.

    The others are assigned anew, so that no cell is left without a target. If
    there are fewer than cells, some belong to several cells.
    """
    ids = set(target_ids)
    evacuated = ids & evacuated_ids
    left = ids - evacuated
    chosen = cell_targets(left, cell, cells)
    if evacuated and left and not chosen:
        chosen = cell_targets(left, cell % len(left), cells)
    return chosen | cell_targets(evacuated, cell, cells)


def cell_for_content(content: bytes, cells: int) -> int:
    """Return the cell whose owner runs the stages of a request.

    A request that is retried after a refusal has the same content and goes to
    the same cell, whose owner recognizes it.

    :param content: digest of the content of the request.
    """
    return int.from_bytes(content, 'big') % cells


def cell_key(cell: int) -> str:
    """Return the key of a cell."""
    return f'cell-{cell}'


def hosts_to_link(
    own: str, shares_by_name: dict[str, float], cells: int
) -> set[str]:
    """Return the hosts to link with in a large fleet.

    These are the hosts that own cells or read the store, those that replace
    them if they are lost, and the next ones in the order of names.

    :param own: name of this host.
    :param shares_by_name: processor share of each known host, including this
        one.
    """
    linked: set[str] = set()
    eligible = eligible_hosts(shares_by_name)
    for cell in range(cells):
        linked.update(rank_hosts(cell_key(cell), eligible)[:LINKED_OWNERS])
    linked.update(rank_readers(shares_by_name)[:LINKED_OWNERS])
    names = sorted(shares_by_name)
    position = names.index(own)
    for step in range(1, LINKED_NEIGHBOURS + 1):
        linked.add(names[(position + step) % len(names)])
    return linked


def origin_shards(host_count: int) -> int:
    """Return the count of shards of the origins of streams."""
    return max(1, -(-host_count // HOSTS_PER_ORIGIN_SHARD))


def origin_shard(attempt_id: str, host_count: int) -> int:
    """Return the shard of the origin of a stream.

    :param attempt_id: id of the attempt that began the stream.
    """
    digest = hashlib.blake2b(attempt_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % origin_shards(host_count)


def origin_keepers(
    shard: int, data_centre_by_name: dict[str, str]
) -> list[str]:
    """Return the hosts that keep a shard of the origins of streams.

    They are in two data centres if there are as many.

    :param data_centre_by_name: data centre of each host that is up.
    """
    equal_shares = dict.fromkeys(data_centre_by_name, 1.0)
    ranked = rank_hosts(f'origins-{shard}', equal_shares)
    keepers = ranked[:1]
    used = {data_centre_by_name[name] for name in keepers}
    elsewhere = [
        name for name in ranked[1:] if data_centre_by_name[name] not in used
    ]
    return (keepers + elsewhere + ranked[1:])[:ORIGIN_KEEPERS]

"""Subset of the targets of a large pool that a host uses.

Each target selects its hosts by rendezvous hashing: the ``r`` hosts with the
highest score of (host, target) use it, where ``r`` is the count of hosts that
gives each host ``size`` targets on average. Every target is then used by
exactly ``r`` hosts. If instead each host selected its targets, the count of
hosts for each target would follow a Poisson distribution and some targets
would be used by none.

A target that joins or leaves changes nothing for other targets; a host that
joins or leaves changes at most one host of each target.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import hashlib

__all__ = [
    'SubsetCache',
    'choose_subset',
    'hosts_for_each_target',
    'rendezvous_owner',
]

_MASK = (1 << 64) - 1


def hosts_for_each_target(hosts: int, targets: int, size: int) -> int:
    """Return how many hosts use each target of a pool.

    :param size: mean count of targets for each host.

    >>> hosts_for_each_target(hosts=730, targets=5200, size=64)
    9
    """
    if targets <= size:
        return hosts
    return min(hosts, max(1, -(-size * hosts // targets)))


def choose_subset(
    host_id: str,
    host_ids: Collection[str],
    target_ids: Iterable[str],
    size: int,
) -> frozenset[str]:
    """Return the targets that a host uses.

    The search for a target ends when enough hosts with a higher score are
    found, so the mean cost is far below hosts times targets.

    :param host_ids: all hosts; the host itself is added.
    :param size: mean count of targets for each host.
    """
    targets = sorted(set(target_ids))
    other_hashes = [hash_name(other) for other in host_ids if other != host_id]
    host_count = hosts_for_each_target(
        len(other_hashes) + 1, len(targets), size
    )
    if host_count > len(other_hashes):
        return frozenset(targets)
    own_hash = hash_name(host_id)
    return frozenset(
        target_id
        for target_id in targets
        if _is_selected(
            own_hash, other_hashes, hash_name(target_id), host_count
        )
    )


class SubsetCache:
    """Computes the same as ``choose_subset`` and caches the result.

    While the hosts and the count of hosts for each target stay the same, only
    new targets are compared with the hosts. With 730 hosts and 5,200 targets,
    the whole choice takes more than 0.1 s and blocks the event loop.

    :param size: mean count of targets for each host.
    """

    def __init__(self, host_id: str, size: int) -> None:
        self._host_id = host_id
        self._size = size
        self._cache_key: tuple[frozenset[str], int] | None = None
        self._is_chosen_by_target: dict[str, bool] = {}

    def choose(
        self, host_ids: Collection[str], target_ids: Collection[str]
    ) -> frozenset[str]:
        """Return the targets that the host uses.

        >>> cache = SubsetCache('a', size=1)
        >>> cache.choose(['a', 'b'], ['t', 'u']) == choose_subset(
        ...     'a', ['a', 'b'], ['t', 'u'], size=1
        ... )
        True
        """
        hosts = frozenset(host_ids) | {self._host_id}
        host_count = hosts_for_each_target(
            len(hosts), len(set(target_ids)), self._size
        )
        if self._cache_key != (hosts, host_count):
            self._cache_key = (hosts, host_count)
            self._is_chosen_by_target = {}
        cached = self._is_chosen_by_target
        self._is_chosen_by_target = {
            target_id: cached[target_id]
            for target_id in target_ids
            if target_id in cached
        }
        new_ids = set(target_ids) - cached.keys()
        if new_ids:
            self._add(hosts, new_ids, host_count)
        return frozenset(
            target_id
            for target_id, is_chosen in self._is_chosen_by_target.items()
            if is_chosen
        )

    def _add(
        self, hosts: frozenset[str], targets: set[str], host_count: int
    ) -> None:
        own_hash = hash_name(self._host_id)
        other_hashes = [
            hash_name(host) for host in hosts if host != self._host_id
        ]
        for target_id in targets:
            self._is_chosen_by_target[target_id] = host_count > len(
                other_hashes
            ) or _is_selected(
                own_hash, other_hashes, hash_name(target_id), host_count
            )


def rendezvous_owner(key: bytes, host_ids: Iterable[str]) -> str:
    """Return the host that owns a key by rendezvous hashing."""
    key_hash = _hash64(key)
    return max(
        host_ids, key=lambda host: (_mix(hash_name(host), key_hash), host)
    )


def hash_name(name: str) -> int:
    """Return a 64-bit hash of a name."""
    return _hash64(name.encode())


def _hash64(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def _mix(first: int, second: int) -> int:
    mixed = ((first ^ second) * 0x9E3779B97F4A7C15) & _MASK
    mixed ^= mixed >> 32
    mixed = (mixed * 0xD6E8FEB86659FD93) & _MASK
    return mixed ^ (mixed >> 32)


def _is_selected(
    own_hash: int,
    other_hashes: Sequence[int],
    target_hash: int,
    host_count: int,
) -> bool:
    score = _mix(own_hash, target_hash)
    higher_count = 0
    for other in other_hashes:
        if _mix(other, target_hash) > score:
            higher_count += 1
            if higher_count == host_count:
                return False
    return True

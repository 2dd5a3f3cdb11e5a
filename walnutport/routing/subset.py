"""Which targets of a large pool a host knows.

Each target draws its hosts by rendezvous hashing: the ``r`` hosts with the
highest score of (host, target) know it, where ``r`` is the count of hosts
that gives each host ``size`` targets on average. Every target is then known
by exactly ``r`` hosts. If instead each host drew its targets, the count of
hosts for each target would follow a Poisson distribution and some targets
would be known by none.

A target that comes or goes changes nothing for other targets; a host that
comes or goes changes at most one host of each target.
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
    """Return how many hosts know each target of a pool.

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
    """Return the targets that a host knows.

    The search of a target ends once enough hosts with a higher score were
    found, so the mean cost is far below hosts times targets.

    :param host_ids: all hosts; the host itself is added.
    :param size: mean count of targets for each host.
    """
    targets = sorted(set(target_ids))
    others = [number_of(other) for other in host_ids if other != host_id]
    wanted = hosts_for_each_target(len(others) + 1, len(targets), size)
    if wanted > len(others):
        return frozenset(targets)
    own = number_of(host_id)
    return frozenset(
        target_id
        for target_id in targets
        if _is_among(own, others, number_of(target_id), wanted)
    )


class SubsetCache:
    """Chooses like ``choose_subset`` and remembers what it chose.

    While the hosts and the count of hosts for each target stay the same, only
    new targets are compared with the hosts. At 730 hosts and 5,200 targets a
    whole choice takes more than 0.1 s, in which nothing else runs.

    :param size: mean count of targets for each host.
    """

    def __init__(self, host_id: str, size: int) -> None:
        self._host_id = host_id
        self._size = size
        self._known_for: tuple[frozenset[str], int] | None = None
        self._is_chosen_by_target: dict[str, bool] = {}

    def choose(
        self, host_ids: Collection[str], target_ids: Collection[str]
    ) -> frozenset[str]:
        """Return the targets that the host knows.

        >>> memory = SubsetCache('a', size=1)
        >>> memory.choose(['a', 'b'], ['t', 'u']) == choose_subset(
        ...     'a', ['a', 'b'], ['t', 'u'], size=1
        ... )
        True
        """
        hosts = frozenset(host_ids) | {self._host_id}
        wanted = hosts_for_each_target(
            len(hosts), len(set(target_ids)), self._size
        )
        if self._known_for != (hosts, wanted):
            self._known_for = (hosts, wanted)
            self._is_chosen_by_target = {}
        known = self._is_chosen_by_target
        self._is_chosen_by_target = {
            target_id: known[target_id]
            for target_id in target_ids
            if target_id in known
        }
        new = set(target_ids) - known.keys()
        if new:
            self._add(hosts, new, wanted)
        return frozenset(
            target_id
            for target_id, is_chosen in self._is_chosen_by_target.items()
            if is_chosen
        )

    def _add(
        self, hosts: frozenset[str], targets: set[str], wanted: int
    ) -> None:
        own = number_of(self._host_id)
        others = [number_of(host) for host in hosts if host != self._host_id]
        for target_id in targets:
            self._is_chosen_by_target[target_id] = wanted > len(
                others
            ) or _is_among(own, others, number_of(target_id), wanted)


def rendezvous_owner(key: bytes, host_ids: Iterable[str]) -> str:
    """Return the host that owns a key."""
    number = _digest_number(key)
    return max(
        host_ids, key=lambda host: (_mix(number_of(host), number), host)
    )


def number_of(name: str) -> int:
    """Return a 64-bit number that stands for a name."""
    return _digest_number(name.encode())


def _digest_number(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def _mix(first: int, second: int) -> int:
    mixed = ((first ^ second) * 0x9E3779B97F4A7C15) & _MASK
    mixed ^= mixed >> 32
    mixed = (mixed * 0xD6E8FEB86659FD93) & _MASK
    return mixed ^ (mixed >> 32)


def _is_among(
    own: int, others: Sequence[int], target: int, wanted: int
) -> bool:
    score = _mix(own, target)
    better = 0
    for other in others:
        if _mix(other, target) > score:
            better += 1
            if better == wanted:
                return False
    return True

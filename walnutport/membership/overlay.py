"""Chooses the hosts that each host sends heartbeats to.

Every host has a position on ``fanout`` rings, each ordered by its own hash. A
host sends to its successor on each ring, or to the next host that is not yet
chosen on another ring. The first ring covers every host, and a host that
joins or leaves changes one link on each ring. The union of random rings has a
diameter that grows with the logarithm of the count of hosts.
"""

import bisect
from collections.abc import Iterable
import hashlib

__all__ = ['Overlay']


class Overlay:
    """Links between the hosts of a fleet, computed alike on every host.

    Building takes O(fanout x n log n), a look-up O(fanout x log n).

    :param host_ids: all hosts.
    :param fanout: largest count of hosts that one host sends to.

    >>> sorted(Overlay(['a', 'b', 'c'], 8).peers_of('a'))
    ['b', 'c']
    """

    def __init__(self, host_ids: Iterable[str], fanout: int) -> None:
        self._host_ids = frozenset(host_ids)
        self._fanout = fanout
        self._rings = [
            sorted(
                (_ring_position(ring, host_id), host_id)
                for host_id in host_ids
            )
            for ring in range(fanout)
        ]

    def peers_of(self, host_id: str) -> tuple[str, ...]:
        """Return the hosts that a host sends heartbeats to."""
        other_count = len(self._host_ids - {host_id})
        if other_count <= self._fanout:
            return tuple(sorted(self._host_ids - {host_id}))
        chosen: list[str] = []
        for ring, positions in enumerate(self._rings):
            index = bisect.bisect(
                positions, (_ring_position(ring, host_id), host_id)
            )
            while True:
                successor = positions[index % len(positions)][1]
                index += 1
                if successor != host_id and successor not in chosen:
                    chosen.append(successor)
                    break
        return tuple(chosen)

    def senders_to(self, host_id: str) -> frozenset[str]:
        """Return the hosts that send heartbeats to a host."""
        return frozenset(
            other
            for other in self._host_ids
            if other != host_id and host_id in self.peers_of(other)
        )


def _ring_position(ring: int, host_id: str) -> bytes:
    return hashlib.blake2b(
        host_id.encode(), digest_size=8, salt=ring.to_bytes(4, 'big')
    ).digest()

"""Chooses which hosts send heartbeats to which.

Every host is placed on ``fanout`` rings, each in the order of a hash of its
own. A host sends to its successor on each ring; where that one is taken
already, to the next one that is not. The first ring covers every host, and a
host that comes or goes changes one link on each ring. The union of random
rings has a diameter that grows with the logarithm of the fleet.
"""

import bisect
from collections.abc import Iterable
import hashlib

__all__ = ['Overlay']


class Overlay:
    """Links between the hosts of a fleet, the same on every host.

    Building takes O(fanout x n log n), a look-up O(fanout x log n).

    :param host_ids: all hosts.
    :param fanout: most hosts that one host sends to.

    >>> sorted(Overlay(['a', 'b', 'c'], 8).peers_of('a'))
    ['b', 'c']
    """

    def __init__(self, host_ids: Iterable[str], fanout: int) -> None:
        self._host_ids = frozenset(host_ids)
        self._fanout = fanout
        self._rings = [
            sorted((_place(ring, host_id), host_id) for host_id in host_ids)
            for ring in range(fanout)
        ]

    def peers_of(self, host_id: str) -> tuple[str, ...]:
        """Return the hosts that a host sends to."""
        others = len(self._host_ids - {host_id})
        if others <= self._fanout:
            return tuple(sorted(self._host_ids - {host_id}))
        chosen: list[str] = []
        for ring, places in enumerate(self._rings):
            index = bisect.bisect(places, (_place(ring, host_id), host_id))
            while True:
                found = places[index % len(places)][1]
                index += 1
                if found != host_id and found not in chosen:
                    chosen.append(found)
                    break
        return tuple(chosen)

    def senders_to(self, host_id: str) -> frozenset[str]:
        """Return the hosts that send to a host."""
        return frozenset(
            other
            for other in self._host_ids
            if other != host_id and host_id in self.peers_of(other)
        )


def _place(ring: int, host_id: str) -> bytes:
    return hashlib.blake2b(
        host_id.encode(), digest_size=8, salt=ring.to_bytes(4, 'big')
    ).digest()

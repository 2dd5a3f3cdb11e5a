"""Which host issues the permits to send to a cold target.

Covers hosts that start, stop and lose links while targets are cold: views of
the fleet differ for some time, and the host that takes over must not add its
permits to those that its predecessor has just issued.
"""

import hashlib

from walnutport.membership import ranking

__all__ = ['IssuerRanking', 'cell_of_target']

# A host that has become the issuer issues nothing for this long: the permits
# of its predecessor may still arrive within the same second.
TAKEOVER_S = 1.0
# If a host was not updated for this long it was paused, and others may have
# issued permits in the meantime. A silent peer is noticed after 0.95 s.
MAX_UPDATE_GAP_S = 0.8


def cell_of_target(target_id: str, cells: int) -> int:
    """Return the cell whose owner issues the permits of a target."""
    digest = hashlib.blake2b(target_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % cells


class IssuerRanking:
    """Issuers by the work shares of the hosts, and how long they were those.

    :param own_name: name of this host.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        # Shares with the time from which on they applied, the latest last.
        self._history: list[tuple[float, dict[str, float]]] = []
        self._updated_at = 0.0
        # Issuers by the latest shares.
        self._issuer_by_cell: dict[int, str] = {}

    def update(self, shares_by_name: dict[str, float], now: float) -> None:
        """Set the current work shares of the hosts that issue permits."""
        if now - self._updated_at > MAX_UPDATE_GAP_S:
            self._history.clear()
        self._updated_at = now
        if not self._history or self._history[-1][1] != shares_by_name:
            self._history.append((now, shares_by_name))
            self._issuer_by_cell.clear()
        while len(self._history) > 1 and (
            self._history[1][0] <= now - TAKEOVER_S
        ):
            del self._history[0]

    def issuer(self, cell: int) -> str:
        """Return the host that issues permits, empty if there is none."""
        name = self._issuer_by_cell.get(cell)
        if name is None:
            shares = self._history[-1][1] if self._history else {}
            name = _first_host(cell, shares)
            self._issuer_by_cell[cell] = name
        return name

    def is_settled(self, cell: int, now: float) -> bool:
        """Return whether this host has been the issuer for long enough."""
        if (
            now - self._updated_at > MAX_UPDATE_GAP_S
            or not self._history
            or self._history[0][0] > now - TAKEOVER_S
        ):
            return False
        return self.issuer(cell) == self._own_name and all(
            _first_host(cell, shares) == self._own_name
            for _, shares in self._history[:-1]
        )


def _first_host(cell: int, shares_by_name: dict[str, float]) -> str:
    eligible = ranking.eligible_hosts(shares_by_name)
    ranked = ranking.rank_hosts(ranking.cell_key(cell), eligible)
    return ranked[0] if ranked else ''

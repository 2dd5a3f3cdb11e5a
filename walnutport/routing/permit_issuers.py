"""Which host issues the permits to send to a cold target.

Covers hosts that start, stop and lose links while targets are cold: views of
the fleet differ for some time, and the host that takes over must not add its
permits to those that its predecessor has just issued.
"""

from collections.abc import Collection
import dataclasses
import hashlib

from walnutport.membership import ranking

__all__ = ['IssuerRanking', 'cell_of_target', 'linked_owners']

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


def linked_owners(
    cell: int,
    shares_by_name: dict[str, float],
    reachable_names: Collection[str],
) -> frozenset[str]:
    """Return the hosts that all others link with as owners of a cell.

    In a large fleet, a host that is linked with none of them would take one
    of its neighbours, or itself, for the issuer, and so would others.

    :param shares_by_name: work share of each known host.
    :param reachable_names: hosts that may be up.
    """
    reachable = {name: shares_by_name[name] for name in reachable_names}
    return frozenset(
        name
        for shares in (shares_by_name, reachable)
        for name in ranking.rank_hosts(
            ranking.cell_key(cell), ranking.eligible_hosts(shares)
        )[: ranking.LINKED_OWNERS]
    )


@dataclasses.dataclass(slots=True)
class _View:
    """Work shares that applied from some time on, and the issuers by them.

    Issuers are determined when they are asked for: with 700 hosts, the first
    one of a cell takes some milliseconds.
    """

    since: float
    shares_by_name: dict[str, float]
    issuer_by_cell: dict[int, str] = dataclasses.field(default_factory=dict)

    def issuer(self, cell: int) -> str:
        """Return the host that issues permits, empty if there is none."""
        name = self.issuer_by_cell.get(cell)
        if name is None:
            eligible = ranking.eligible_hosts(self.shares_by_name)
            ranked = ranking.rank_hosts(ranking.cell_key(cell), eligible)
            name = ranked[0] if ranked else ''
            self.issuer_by_cell[cell] = name
        return name


class IssuerRanking:
    """Issuers by the work shares of the hosts, and how long they were those.

    :param own_name: name of this host.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        # Views of the last ``TAKEOVER_S`` seconds, the current one last.
        self._views: list[_View] = []
        self._updated_at = 0.0

    def update(self, shares_by_name: dict[str, float], now: float) -> None:
        """Set the current work shares of the hosts that issue permits."""
        if now - self._updated_at > MAX_UPDATE_GAP_S:
            self._views.clear()
        self._updated_at = now
        if not self._views or (
            self._views[-1].shares_by_name != shares_by_name
        ):
            self._views.append(_View(now, shares_by_name))
        while len(self._views) > 1 and (
            self._views[1].since <= now - TAKEOVER_S
        ):
            del self._views[0]

    def issuer(self, cell: int) -> str:
        """Return the host that issues permits, empty if there is none."""
        return self._views[-1].issuer(cell) if self._views else ''

    def is_settled(self, cell: int, now: float) -> bool:
        """Return whether this host has been the issuer for long enough."""
        return (
            now - self._updated_at <= MAX_UPDATE_GAP_S
            and bool(self._views)
            and self._views[0].since <= now - TAKEOVER_S
            and all(
                view.issuer(cell) == self._own_name for view in self._views
            )
        )

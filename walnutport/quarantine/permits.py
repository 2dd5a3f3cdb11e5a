"""Grants the sole run of a suspect content over the fleet.

The live host that owns the digest by rendezvous hashing keeps its permits. A
permit counts as running until it is released or its lease ends, also when its
holder died, as a target may still run the content then.

A host that becomes the owner of a digest does not know the permits of the
owner before it. It grants none until every lease of that owner has ended.
"""

from collections.abc import Iterable
import dataclasses

from walnutport.routing import subset

__all__ = ['PermitDecision', 'MAX_LEASE_S', 'PermitTable', 'TAKEOVER_S']

MAX_LEASE_S = 10.0
# Hosts notice the death of a host at moments that differ by a few seconds.
VIEW_SKEW_S = 5.0
TAKEOVER_S = MAX_LEASE_S + VIEW_SKEW_S
NOT_OWNER_RETRY_S = 0.5
SHORTEST_RETRY_S = 0.1
# Most runs end long before their lease does.
LONGEST_RETRY_S = 1.0
MAX_PERMITS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDecision:
    """Decision about a request for a permit."""

    granted: bool
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Permit:
    permit_id: str
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    host_ids: frozenset[str]
    until: float


class PermitTable:
    """Permits of the digests that one host owns."""

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._live = frozenset({host_id})
        self._past_views: list[_View] = []
        self._permits_by_digest: dict[bytes, _Permit] = {}
        self._released_by_id: dict[str, float] = {}

    def hosts_changed(self, live_ids: Iterable[str], now: float) -> None:
        """Replace the set of live hosts; this host is always one."""
        live = frozenset(live_ids) | {self._host_id}
        if live != self._live:
            self._past_views.append(_View(self._live, now))
            self._live = live
        self._forget(now)

    def owner(self, digest: bytes) -> str:
        """Return the live host that owns a digest."""
        return subset.rendezvous_owner(digest, self._live)

    def request(
        self, permit_id: str, digest: bytes, lease_s: float, now: float
    ) -> PermitDecision:
        """Decide about a request for a permit.

        A repeated request gets the same permit, and one that was released
        before it arrived gets none.
        """
        self._forget(now)
        if self.owner(digest) != self._host_id:
            return PermitDecision(False, NOT_OWNER_RETRY_S)
        wait_s = self._takeover_s(digest, now)
        if wait_s > 0:
            return PermitDecision(False, wait_s)
        if permit_id in self._released_by_id:
            return PermitDecision(False, SHORTEST_RETRY_S)
        held = self._permits_by_digest.get(digest)
        if held is not None and held.ends_at > now:
            if held.permit_id == permit_id:
                return PermitDecision(True)
            return PermitDecision(False, _retry_after_s(held.ends_at - now))
        if len(self._permits_by_digest) >= MAX_PERMITS:
            return PermitDecision(False, MAX_LEASE_S)
        ends_at = now + min(MAX_LEASE_S, max(0.0, lease_s))
        self._permits_by_digest[digest] = _Permit(permit_id, ends_at)
        return PermitDecision(True)

    def release(self, permit_id: str, digest: bytes, now: float) -> None:
        """End a permit.

        A release may overtake its request, which must then not be granted.
        """
        self._released_by_id[permit_id] = now + MAX_LEASE_S
        held = self._permits_by_digest.get(digest)
        if held is not None and held.permit_id == permit_id:
            del self._permits_by_digest[digest]

    def _takeover_s(self, digest: bytes, now: float) -> float:
        waits = [
            view.until + TAKEOVER_S - now
            for view in self._past_views
            if subset.rendezvous_owner(digest, view.host_ids) != self._host_id
        ]
        return max(waits, default=0.0)

    def _forget(self, now: float) -> None:
        if self._past_views:
            self._past_views = [
                view
                for view in self._past_views
                if view.until + TAKEOVER_S > now
            ]
        for digest, permit in list(self._permits_by_digest.items()):
            if permit.ends_at > now:
                break
            del self._permits_by_digest[digest]
        for permit_id, ends_at in list(self._released_by_id.items()):
            if ends_at > now:
                break
            del self._released_by_id[permit_id]


def _retry_after_s(remaining_s: float) -> float:
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, remaining_s))

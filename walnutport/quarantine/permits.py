"""Grants permits for exclusive runs of suspect content across the fleet.

The live host that owns a digest by rendezvous hashing stores its permit. A
permit is valid until it is released or its lease expires, even if its holder
died, because a target may still be running the content.

A host that becomes the owner of a digest does not know the permits of the
previous owner. It grants none until all leases of that owner have expired.
"""

from collections.abc import Iterable
import dataclasses

from walnutport.routing import subset

__all__ = ['PermitDecision', 'MAX_LEASE_S', 'PermitTable', 'TAKEOVER_DELAY_S']

MAX_LEASE_S = 10.0
# Hosts detect the death of a host up to a few seconds apart.
VIEW_SKEW_S = 5.0
TAKEOVER_DELAY_S = MAX_LEASE_S + VIEW_SKEW_S
NOT_OWNER_RETRY_S = 0.5
MIN_RETRY_S = 0.1
# Most runs end long before their lease expires.
MAX_RETRY_S = 1.0
MAX_PERMITS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDecision:
    """Decision on a permit request."""

    granted: bool
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Permit:
    permit_id: str
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    host_ids: frozenset[str]
    ended_at: float


class PermitTable:
    """Permits for the digests that this host owns."""

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._live_ids = frozenset({host_id})
        self._past_views: list[_View] = []
        self._permits_by_digest: dict[bytes, _Permit] = {}
        self._release_expiry_by_id: dict[str, float] = {}

    def hosts_changed(self, live_ids: Iterable[str], now: float) -> None:
        """Replace the set of live hosts, which always includes this host."""
        new_live_ids = frozenset(live_ids) | {self._host_id}
        if new_live_ids != self._live_ids:
            self._past_views.append(_View(self._live_ids, now))
            self._live_ids = new_live_ids
        self._remove_expired(now)

    def owner(self, digest: bytes) -> str:
        """Return the live host that owns a digest."""
        return subset.rendezvous_owner(digest, self._live_ids)

    def request(
        self, permit_id: str, digest: bytes, lease_s: float, now: float
    ) -> PermitDecision:
        """Decide on a permit request.

        A repeated request gets the same permit. A request that arrives after
        its release is refused.
        """
        self._remove_expired(now)
        if self.owner(digest) != self._host_id:
            return PermitDecision(False, NOT_OWNER_RETRY_S)
        wait_s = self._takeover_wait_s(digest, now)
        if wait_s > 0:
            return PermitDecision(False, wait_s)
        if permit_id in self._release_expiry_by_id:
            return PermitDecision(False, MIN_RETRY_S)
        permit = self._permits_by_digest.get(digest)
        if permit is not None and permit.ends_at > now:
            if permit.permit_id == permit_id:
                return PermitDecision(True)
            return PermitDecision(False, _retry_after_s(permit.ends_at - now))
        if len(self._permits_by_digest) >= MAX_PERMITS:
            return PermitDecision(False, MAX_LEASE_S)
        ends_at = now + min(MAX_LEASE_S, max(0.0, lease_s))
        self._permits_by_digest[digest] = _Permit(permit_id, ends_at)
        return PermitDecision(True)

    def release(self, permit_id: str, digest: bytes, now: float) -> None:
        """Release a permit.

        The release may arrive before its request, which is then refused.
        """
        self._release_expiry_by_id[permit_id] = now + MAX_LEASE_S
        permit = self._permits_by_digest.get(digest)
        if permit is not None and permit.permit_id == permit_id:
            del self._permits_by_digest[digest]

    def _takeover_wait_s(self, digest: bytes, now: float) -> float:
        waits = [
            view.ended_at + TAKEOVER_DELAY_S - now
            for view in self._past_views
            if subset.rendezvous_owner(digest, view.host_ids) != self._host_id
        ]
        return max(waits, default=0.0)

    def _remove_expired(self, now: float) -> None:
        if self._past_views:
            self._past_views = [
                view
                for view in self._past_views
                if view.ended_at + TAKEOVER_DELAY_S > now
            ]
        for digest, permit in list(self._permits_by_digest.items()):
            if permit.ends_at > now:
                break
            del self._permits_by_digest[digest]
        for permit_id, ends_at in list(self._release_expiry_by_id.items()):
            if ends_at > now:
                break
            del self._release_expiry_by_id[permit_id]


def _retry_after_s(remaining_s: float) -> float:
    return min(MAX_RETRY_S, max(MIN_RETRY_S, remaining_s))

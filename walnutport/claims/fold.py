"""Fold of the ``claims`` stream: which host owns the run of an identity.

The first claim in log order wins. Every decision depends only on the records
and on the times at which the log stored them, so all hosts agree. A claim
whose key is older than ``memory_s + skew_s`` at that time never wins, so it is
safe to drop the holder of such a key.
"""

from collections.abc import Iterator
import dataclasses
import enum
import math

from walnutport.claims import records

__all__ = ['ClaimDecision', 'ClaimFold', 'Holder', 'ItemOutcome']


class ItemOutcome(enum.StrEnum):
    """Outcome of one item of the log.

    ``REUSED`` is a claim whose key is held with another request body.
    """

    WON = 'won'
    LOST = 'lost'
    REUSED = 'reused'
    EXPIRED = 'expired'
    RELEASED = 'released'


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The claim that owns the run of an identity."""

    claim_id: str
    owner: records.Owner
    body_digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecision:
    """Outcome of one item and the claim that determined it.

    :param owner: host process that appended the item.
    :param holder: the claim that owns the identity, set at least for
        won, lost and reused.
    """

    outcome: ItemOutcome
    item: records.Item
    owner: records.Owner
    holder: Holder | None = None


class ClaimFold:
    """State of the claims after the records applied so far.

    Applying an item takes constant time. The number of claims kept is at most
    about the rate of claims times ``memory_s + skew_s``.

    :param memory_s: greatest age in seconds of keys that hosts accept.
    :param skew_s: largest difference of a host's clock from the log's clock.
    """

    def __init__(self, memory_s: float, skew_s: float) -> None:
        self.skew_s = skew_s
        self._retention_s = memory_s + skew_s
        self._holder_by_identity: dict[bytes, Holder] = {}
        self._identities_by_issue_s: dict[int, list[bytes]] = {}
        # Interned owners: each host process owns many claims.
        self._owners: dict[records.Owner, records.Owner] = {}
        self._log_time_s = -math.inf
        self._pruned_s = -math.inf

    def __len__(self) -> int:
        return len(self._holder_by_identity)

    @property
    def oldest_issue_s(self) -> float:
        """Return the issue time below which no claim can win any more."""
        return self._log_time_s - self._retention_s

    def holder(self, identity: bytes) -> Holder | None:
        """Return the claim that owns an identity, or None if there is none."""
        return self._holder_by_identity.get(identity)

    def apply(
        self, batch: records.Batch, log_time_s: float
    ) -> Iterator[ClaimDecision]:
        """Apply the next record of the log, item by item.

        :param log_time_s: Unix time at which the log stored the record. If
            the log's clock was set back, the latest earlier time is used.
        """
        self._log_time_s = max(self._log_time_s, log_time_s)
        self._prune()
        owner = self._owners.setdefault(batch.owner, batch.owner)
        for item in batch.items:
            if isinstance(item, records.Claim):
                yield from self._apply_claim(item, owner)
            else:
                yield from self._apply_release(item, owner)

    def _apply_claim(
        self, claim: records.Claim, owner: records.Owner
    ) -> Iterator[ClaimDecision]:
        holder = self._holder_by_identity.get(claim.identity)
        if claim.issued_s < self.oldest_issue_s:
            outcome = ItemOutcome.EXPIRED
        elif holder is None:
            outcome = ItemOutcome.WON
            holder = Holder(claim.claim_id, owner, claim.body_digest)
            self._holder_by_identity[claim.identity] = holder
            self._identities_by_issue_s.setdefault(claim.issued_s, []).append(
                claim.identity
            )
        elif holder.claim_id == claim.claim_id:
            return
        elif holder.body_digest != claim.body_digest:
            outcome = ItemOutcome.REUSED
        else:
            outcome = ItemOutcome.LOST
        yield ClaimDecision(outcome, claim, owner, holder)

    def _apply_release(
        self, release: records.Release, owner: records.Owner
    ) -> Iterator[ClaimDecision]:
        holder = self._holder_by_identity.get(release.identity)
        if (
            holder is not None
            and holder.claim_id == release.claim_id
            and holder.owner == owner
        ):
            del self._holder_by_identity[release.identity]
            yield ClaimDecision(ItemOutcome.RELEASED, release, owner)

    def _prune(self) -> None:
        if self.oldest_issue_s < self._pruned_s + 1.0:
            return
        self._pruned_s = self.oldest_issue_s
        for issue_s in list(self._identities_by_issue_s):
            if issue_s < self.oldest_issue_s:
                for identity in self._identities_by_issue_s.pop(issue_s):
                    self._holder_by_identity.pop(identity, None)

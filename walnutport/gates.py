"""Gates that grant exclusive runs of requests across the fleet."""

from __future__ import annotations

import dataclasses
from typing import Protocol, TYPE_CHECKING

from expression import Result

from walnutport.lifecycle import answers

if TYPE_CHECKING:
    # Policies must be importable without Twisted.
    from twisted.internet.defer import Deferred

__all__ = [
    'ClaimGate',
    'ClaimGrant',
    'ClaimIdentity',
    'ClaimRefusal',
    'PermitGate',
    'PermitRefusal',
]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimIdentity:
    """Identity of a request that must run at most once."""

    member_id: str
    entry_id: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGrant:
    """Grant of a claim: the caller owns the run of the request."""

    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefusal:
    """Refusal of a claim, with the answer to return to the caller."""

    answer: answers.Answer


class ClaimGate(Protocol):
    """Grants the only run of a request that must run at most once."""

    def claim(
        self, identity: ClaimIdentity, body_digest: bytes, deadline: float
    ) -> Deferred[Result[ClaimGrant, ClaimRefusal]]:
        """Claim the run, or join the run that already owns the identity."""

    def finish_run(self, claim_id: str, answer: answers.Answer) -> None:
        """Store the final answer of a granted run.

        An answer with outcome ``not_run`` releases the claim.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRefusal:
    """Refusal of a permit: the suspect may not run now.

    :param retry_after_s: time in seconds after which the caller may retry.
    """

    retry_after_s: float


class PermitGate(Protocol):
    """Grants exclusive runs of suspect content across the fleet."""

    def acquire(
        self, digest: bytes, deadline: float
    ) -> Deferred[Result[str, PermitRefusal]]:
        """Request a permit; the result is its id."""

    def release(self, permit_id: str, digest: bytes) -> None:
        """Release a permit at the end of its run."""

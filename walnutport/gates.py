"""Gates that grant the sole run of a request over the fleet."""

from __future__ import annotations

import dataclasses
from typing import Protocol, TYPE_CHECKING

from expression import Result

from walnutport.lifecycle import answers

if TYPE_CHECKING:
    # The decision parts run without Twisted.
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
    """The caller of the gate owns the run of the request."""

    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefusal:
    """The request may not run here; ``answer`` is what to tell the caller."""

    answer: answers.Answer


class ClaimGate(Protocol):
    """Grants the sole run of a request that must run at most once."""

    def claim(
        self, identity: ClaimIdentity, body_digest: bytes, deadline: float
    ) -> Deferred[Result[ClaimGrant, ClaimRefusal]]:
        """Claim the run, or join the run that owns the identity."""

    def finish(self, claim_id: str, answer: answers.Answer) -> None:
        """Store the final answer of a granted run.

        An answer with outcome ``not_run`` releases the claim.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRefusal:
    """The suspect may not run now.

    :param retry_after_s: when the caller may try again in seconds.
    """

    retry_after_s: float


class PermitGate(Protocol):
    """Grants the sole run of a suspect content over the fleet."""

    def acquire(
        self, digest: bytes, deadline: float
    ) -> Deferred[Result[str, PermitRefusal]]:
        """Ask for a permit; the result is its id."""

    def release(self, permit_id: str, digest: bytes) -> None:
        """End the run under a permit."""

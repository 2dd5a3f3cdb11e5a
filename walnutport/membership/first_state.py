"""Whether a started host may put the desired state of the store in force.

The store may have returned from an older copy, or answer with old data, and a
host that has just started does not know what was in force before. Its peers
do, but the copy may lack their records as well: that no peer is listed does
not mean that there is none.
"""

from collections.abc import Iterable
import dataclasses
import enum

__all__ = [
    'LIMIT_S',
    'RETURN_LIMIT_S',
    'SETTLE_S',
    'Peers',
    'Verdict',
    'judge',
]

# Longest wait for peers: dials end after 0.3 s, and a large desired state
# takes half a second on the slowest links.
LIMIT_S = 1.2
# The same where the store may return from an older copy, so that a peer that
# stands still for two seconds is heard.
RETURN_LIMIT_S = 3.0
# After a return, hosts notice the new era within 0.7 s, or within 1.7 s if a
# peer has to tell them, and publish their records again within half a second.
SETTLE_S = 2.2


class Verdict(enum.Enum):
    """What a started host does with the desired state of the store."""

    WAIT = 'wait'
    CONFIRMED = 'confirmed'
    #: The time limit is over.
    UNCONFIRMED = 'unconfirmed'


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """What a started host knows of its peers.

    :param versions: versions of the desired state at the linked peers, 0 for
        a peer that knows none.
    :param record_eras: eras of the store in which the known peers have
        published their records.
    :param are_awaited: whether the hosts in the store were not read yet, or a
        peer to link with has neither answered nor failed.
    """

    versions: tuple[int, ...]
    record_eras: tuple[int, ...]
    are_awaited: bool


def judge(
    version: int,
    store_era: int,
    is_first_start: bool,
    peers: Peers,
    waited_s: float,
) -> Verdict:
    """Return whether a desired state that the store shows may be in force.

    :param store_era: current era of the store, 0 if it counts none.
    :param is_first_start: whether the whole installation starts for the first
        time.
    :param waited_s: seconds since this host has read the desired state.
    """
    may_return = store_era > 0 and not is_first_start
    if waited_s >= (RETURN_LIMIT_S if may_return else LIMIT_S):
        return Verdict.UNCONFIRMED
    newest = max(peers.versions, default=0)
    if newest > version or peers.are_awaited:
        return Verdict.WAIT
    if (
        newest
        or not may_return
        or _all_published(peers.record_eras, store_era)
    ):
        return Verdict.CONFIRMED
    return Verdict.UNCONFIRMED if waited_s >= SETTLE_S else Verdict.WAIT


def _all_published(record_eras: Iterable[int], store_era: int) -> bool:
    """Return whether all known peers have published in the present era.

    The records of a copy are of an earlier one. When all hosts start at once,
    no peer has a desired state, and their records are no older than the store.
    """
    eras = tuple(record_eras)
    return bool(eras) and all(era == store_era for era in eras)

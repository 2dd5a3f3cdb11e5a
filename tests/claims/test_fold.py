"""Tests of the claims fold with records that no correct host appends."""

from walnutport.claims import fold
from walnutport.claims import records

OWNER = records.Owner('a', 1)


def apply(state: fold.ClaimFold, item, owner=OWNER, log_time_s=1_000.0):
    batch = records.Batch(owner, (item,))
    return [decision.outcome for decision in state.apply(batch, log_time_s)]


def test_only_the_owner_can_release_a_claim() -> None:
    """Guards against a release by another host, incarnation or claim."""
    state = fold.ClaimFold(60.0, 3.0)
    claim = records.Claim('c1', b'i', b'b', 1_000)
    assert apply(state, claim) == [fold.ItemOutcome.WON]
    release = records.Release('c1', b'i')
    assert apply(state, release, records.Owner('b', 1)) == []
    assert apply(state, release, records.Owner('a', 2)) == []
    assert apply(state, records.Release('c2', b'i')) == []
    assert apply(state, claim) == []
    assert apply(state, release) == [fold.ItemOutcome.RELEASED]


def test_expired_key_stays_expired_when_the_log_clock_steps_back() -> None:
    """Guards against a second run of a key whose claim was dropped."""
    state = fold.ClaimFold(60.0, 3.0)
    apply(state, records.Claim('c1', b'i', b'b', 900), log_time_s=900.0)
    apply(state, records.Release('none', b'x'), log_time_s=1_000.0)
    assert len(state) == 0
    late = records.Claim('c2', b'i', b'b', 900)
    assert apply(state, late, log_time_s=950.0) == [fold.ItemOutcome.EXPIRED]

"""Tests of the fold of claims on records that no host of ours appends."""

from walnutport.claims import fold
from walnutport.claims import records

OWNER = records.Owner('a', 1)


def apply(state: fold.ClaimFold, item, owner=OWNER, log_time_s=1_000.0):
    batch = records.Batch(owner, (item,))
    return [event.verdict for event in state.apply(batch, log_time_s)]


def test_only_the_owner_releases_and_only_its_claim() -> None:
    """Guards against releases of a run that another claim or host owns."""
    state = fold.ClaimFold(60.0, 3.0)
    claim = records.Claim('c1', b'i', b'b', 1_000)
    assert apply(state, claim) == [fold.Verdict.WON]
    release = records.Release('c1', b'i')
    assert apply(state, release, records.Owner('b', 1)) == []
    assert apply(state, release, records.Owner('a', 2)) == []
    assert apply(state, records.Release('c2', b'i')) == []
    assert apply(state, claim) == []
    assert apply(state, release) == [fold.Verdict.RELEASED]


def test_log_clock_that_steps_back_revives_no_key() -> None:
    """Guards against a second run of a key that was forgotten."""
    state = fold.ClaimFold(60.0, 3.0)
    apply(state, records.Claim('c1', b'i', b'b', 900), log_time_s=900.0)
    apply(state, records.Release('none', b'x'), log_time_s=1_000.0)
    assert len(state) == 0
    late = records.Claim('c2', b'i', b'b', 900)
    assert apply(state, late, log_time_s=950.0) == [fold.Verdict.EXPIRED]

"""Tests of when a started host trusts the desired state of the store."""

import pytest

from walnutport.membership import first_state

Verdict = first_state.Verdict


def judge(
    versions=(),
    record_eras=(),
    are_awaited=False,
    store_era=2,
    is_first_start=False,
    waited_s=0.0,
) -> Verdict:
    """Return the verdict on version 4."""
    return first_state.judge(
        4,
        store_era,
        is_first_start,
        first_state.Peers(versions, record_eras, are_awaited),
        waited_s,
    )


@pytest.mark.parametrize(
    'known, expected',
    [
        ({'versions': (5, 4)}, Verdict.WAIT),
        ({'versions': (4, 3)}, Verdict.CONFIRMED),
        ({'versions': (4,), 'are_awaited': True}, Verdict.WAIT),
        ({}, Verdict.WAIT),
        ({'store_era': 0}, Verdict.CONFIRMED),
        ({'is_first_start': True}, Verdict.CONFIRMED),
        ({'record_eras': (2, 2)}, Verdict.CONFIRMED),
        ({'record_eras': (2, 1)}, Verdict.WAIT),
        ({'versions': (0,), 'record_eras': (1,)}, Verdict.WAIT),
    ],
)
def test_evidence(known, expected):
    """Guards against an older state in force, and against needless waits."""
    assert judge(**known) is expected


@pytest.mark.parametrize(
    'known, limit_s',
    [
        ({}, first_state.SETTLE_S),
        ({'record_eras': (1,)}, first_state.SETTLE_S),
        ({'versions': (5,)}, first_state.RETURN_LIMIT_S),
        ({'are_awaited': True}, first_state.RETURN_LIMIT_S),
        ({'are_awaited': True, 'store_era': 0}, first_state.LIMIT_S),
        ({'versions': (5,), 'is_first_start': True}, first_state.LIMIT_S),
    ],
)
def test_every_wait_ends(known, limit_s):
    """Guards against a host that never serves."""
    assert judge(**known, waited_s=limit_s - 0.01) is Verdict.WAIT
    assert judge(**known, waited_s=limit_s) is Verdict.UNCONFIRMED

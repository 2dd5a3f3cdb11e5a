"""Tests of the decision whether a target may get new work."""

import dataclasses

import pytest

from walnutport.routing import eligibility
from walnutport.world import registrations

TARGET = registrations.RegisteredTarget(
    't1', 1, 'llm', ('10.0.0.1', 80), 'a', 4, False, 0.0
)
DRAINING = dataclasses.replace(TARGET, draining=True)


@pytest.mark.parametrize(
    ('target', 'current', 'is_leaving', 'evacuated', 'reason'),
    [
        (TARGET, None, False, (), eligibility.Reason.GONE),
        (TARGET, None, True, (), eligibility.Reason.LEAVING),
        (TARGET, TARGET, False, ('b',), None),
        (DRAINING, None, False, (), eligibility.Reason.DRAINING),
        (TARGET, DRAINING, False, (), eligibility.Reason.DRAINING),
        (TARGET, TARGET, True, (), eligibility.Reason.LEAVING),
        (TARGET, TARGET, False, ('a',), eligibility.Reason.EVACUATED),
        (DRAINING, None, True, ('a',), eligibility.Reason.DRAINING),
    ],
)
def test_reason(target, current, is_leaving, evacuated, reason):
    """Guards against new work for a target by an outdated entry of it."""
    found = eligibility.Eligibility(
        lambda target_id: current, lambda target: is_leaving, evacuated
    )
    assert found.reason(target) is reason
    assert found.accepts(target) == (reason is None)
    assert found.is_shutting_down(target) == (
        reason in (eligibility.Reason.DRAINING, eligibility.Reason.LEAVING)
    )


def test_target_whose_entry_was_removed_gets_nothing():
    """Guards against requests that outlast a target which never drains.

    It goes on for a while after its entry is gone. A request that was about
    to be sent then may need longer than the target has left.
    """
    registered = {TARGET.target_id: TARGET}
    found = eligibility.Eligibility(registered.get)
    assert found.accepts(TARGET)
    registered.clear()
    assert found.reason(TARGET) is eligibility.Reason.GONE
    assert eligibility.Eligibility().accepts(TARGET)


def test_service_is_evacuated_only_if_nothing_is_left():
    """Guards against refusals while a target elsewhere is left."""
    elsewhere = dataclasses.replace(TARGET, target_id='t2', data_centre='b')
    evacuated: dict[str, float] = {}
    found = eligibility.Eligibility(evacuated=evacuated)
    assert not found.all_evacuated([])
    assert not found.all_evacuated([DRAINING])
    evacuated['a'] = 0.0
    assert found.all_evacuated([TARGET])
    assert not found.all_evacuated([TARGET, elsewhere])
    drained = dataclasses.replace(elsewhere, draining=True)
    assert found.all_evacuated([TARGET, drained])
    assert not found.all_evacuated([drained])

"""Tests that a stage runner checks the deadline right before an attempt."""

import pytest
from twisted.internet import defer

from tests.service.requests import test_hedging
from walnutport import exceptions
from walnutport.lifecycle import answers
from walnutport.naive import admission
from walnutport.service import policies
from walnutport.service.requests import calls
from walnutport.service.requests import stage_runner
from walnutport import world


class FakeAdmission(admission.NoAdmission):
    """Admission that returns the minimum run time which the test sets."""

    needed_s = 0.0

    def min_remaining_s(self, ticket) -> float:
        """Return the minimum run time of the stage."""
        return self.needed_s


class FailingClient:
    """Fails each attempt and raises the minimum run time to 5 s."""

    def __init__(self, stub: FakeAdmission) -> None:
        self.sent = 0
        self._stub = stub

    async def run(self, target, call, on_sent):
        """Fail like a target that refuses the connection."""
        self.sent += 1
        self._stub.needed_s = 5.0
        raise exceptions.NotSent('refused')


@pytest.mark.parametrize(
    ('needed_s', 'sent', 'reason'),
    [
        (5.0, 0, answers.Reason.DEADLINE_INFEASIBLE),
        (1.0, 1, answers.Reason.NO_TARGET),
    ],
)
def test_attempt_that_cannot_meet_the_deadline_is_not_sent(
    needed_s, sent, reason
) -> None:
    """Guards against work on a target whose answer would come too late.

    The minimum run time may rise after the queue admitted the request, here
    through a failed attempt, so it is checked again before each attempt.
    """
    harness = test_hedging.Harness()
    stub = FakeAdmission()
    stub.needed_s = needed_s
    client = FailingClient(stub)
    runner = stage_runner.StageRunner(
        policies.Policies(
            stub, harness.router, harness.retries, harness.suspect_table
        ),
        client,
        None,
        harness.cost,
        harness.clock,
        harness.reactor,
    )
    stage = test_hedging.STAGE
    call = calls.Call(
        'r',
        world.Member('m', ()),
        world.Contract('entry', 'owner', 'standard', 'pipeline'),
        world.Pipeline('pipeline', (stage,)),
        'standard',
        b'{}',
        deadline=4.0,
    )
    running = defer.ensureDeferred(
        runner.run(call, stage, b'{}', lambda: None)
    )
    for _ in range(100):
        if running.called:
            break
        harness.reactor.advance(0.01)
    assert client.sent == sent
    assert running.result.reason is reason
    if not sent:
        assert harness.reactor.seconds() == 0.0

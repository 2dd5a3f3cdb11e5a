"""Tests of the check of the deadline right before an attempt."""

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


class SlowStage(admission.NoAdmission):
    """Tells that a stage takes longer after it was retried."""

    needed_s = 0.0

    def min_remaining_s(self, ticket) -> float:
        """Return what the test set."""
        return self.needed_s


class FailingClient:
    """Refuses each attempt and makes the stage slow."""

    def __init__(self, slow: SlowStage) -> None:
        self.sent = 0
        self._slow = slow

    async def run(self, target, call, on_sent):
        """Fail as a target that refuses the connection."""
        self.sent += 1
        self._slow.needed_s = 5.0
        raise exceptions.NotSent('refused')


@pytest.mark.parametrize(
    ('needed_s', 'sent', 'reason'),
    [
        (5.0, 0, answers.Reason.DEADLINE_INFEASIBLE),
        (1.0, 1, answers.Reason.NO_TARGET),
    ],
)
def test_an_attempt_that_must_be_late_is_not_sent(
    needed_s, sent, reason
) -> None:
    """Guards against a target that works for an answer that is too late."""
    bench = test_hedging.Bench()
    slow = SlowStage()
    slow.needed_s = needed_s
    client = FailingClient(slow)
    runner = stage_runner.StageRunner(
        policies.Policies(slow, bench.router, bench.retries, bench.book),
        client,
        None,
        bench.cost,
        bench.clock,
        bench.reactor,
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
        bench.reactor.advance(0.01)
    assert client.sent == sent
    assert running.result.reason is reason
    if not sent:
        assert bench.reactor.seconds() == 0.0

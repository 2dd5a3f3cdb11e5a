"""Jobs that end after the host of their owner, and their next owner."""

import time

import pytest
from twisted.internet import defer
from twisted.internet import task

from tests.gateway.stages import test_stage_client
from tests.gateway.state import test_feed_follower
from tests.stages import builders
from walnutport import exceptions
from walnutport.gateway.stages import stage_client
from walnutport.http1 import channel_pool
from walnutport.lifecycle import host_end
from walnutport.peer import fleet_messages
from walnutport.stages import pieces

RANKED = test_stage_client.RANKED
OWNER = RANKED[0]


class FakeReports:
    """Targets that state nothing."""

    def min_interval_s(self, target) -> float:
        return 0.0

    held_until = min_interval_s

    def is_leaving(self, target) -> bool:
        return False


class Owner:
    """Owner of a cell whose targets do not answer.

    :param peer_supports: whether peers take jobs that they are handed.
    """

    def __init__(self, monkeypatch, peer_supports: bool = True) -> None:
        self.clock = task.Clock()
        monkeypatch.setattr(time, 'monotonic', self.clock.seconds)
        monkeypatch.setattr(
            channel_pool, 'fetch', lambda *args: defer.Deferred()
        )
        self.sent: list[tuple[str, object]] = []
        self.log = test_feed_follower.FakeLog()
        self.end = host_end.HostEnd()
        self.work_shares = {OWNER: 1.0}
        self.client = stage_client.StageClient(
            self.clock,
            self.log,
            OWNER,
            'i',
            None,
            lambda: self.work_shares,
            dict,
            self._send,
            lambda spec, result, prefills, host: '',
            FakeReports(),
            None,
            self.end,
            lambda name: peer_supports,
        )
        self.client.update_targets(builders.RULES, [builders.target('t-1')])

    def _send(self, name: str, message: object) -> bool:
        self.sent.append((name, message))
        return True

    def submit(self, spec: pieces.JobSpec) -> None:
        """Submit a job of a peer."""
        self.client.handle_message('peer', fleet_messages.RunStages(spec, 0))

    def stop(self, left_s: float) -> None:
        """Let the host stop."""
        self.end.set(self.clock.seconds() + left_s)
        self.client.host_stops()


def test_job_of_a_peer_is_handed_over_at_the_signal(monkeypatch):
    """Guards against a peer that learns it when the owner is gone."""
    owner = Owner(monkeypatch)
    for number in range(30):
        owner.submit(builders.job_spec(f'{number}', aim_s=60.0))
    owner.stop(0.5)
    names, messages = zip(*owner.sent)
    assert set(names) == {'peer'}
    assert all(message.handover.was_admitted for message in messages)
    # Only the first job is in the call that runs, which ends in time.
    handed = {message.handover.job_id for message in messages}
    assert handed == {str(number) for number in range(1, 30)}
    assert owner.log.events.count('stages_handed_over') == len(handed)


def test_job_that_comes_too_late_is_handed_over_at_once(monkeypatch):
    """Guards against a new job that goes before others at the next owner."""
    owner = Owner(monkeypatch)
    owner.stop(0.3)
    owner.submit(builders.job_spec('1'))
    ((_, message),) = owner.sent
    assert message == fleet_messages.StagesHandedOver(
        pieces.JobHandover('1', False)
    )
    assert 'stages_taken' not in owner.log.events


def test_job_that_is_delayed_is_handed_over_during_the_drain(monkeypatch):
    """Guards against a job that fits at the signal and is lost later."""
    owner = Owner(monkeypatch)
    for number in range(4):
        owner.submit(builders.job_spec(f'{number}', aim_s=60.0))
    owner.stop(1.0)
    assert owner.sent == []
    for _ in range(9):
        owner.clock.advance(0.1)
        owner.client.tick()
    handed = {message.handover.job_id for _, message in owner.sent}
    assert handed == {'0', '1', '2', '3'}


def test_owner_keeps_jobs_of_peers_of_an_earlier_build(monkeypatch):
    """Guards against jobs that nobody runs as the message is withheld."""
    owner = Owner(monkeypatch, peer_supports=False)
    owner.submit(builders.job_spec('1'))
    owner.stop(0.3)
    owner.submit(builders.job_spec('2'))
    assert owner.sent == []
    (cell,) = owner.client.local_owners()
    assert cell.scheduler.job_count == 2


def test_own_job_goes_to_the_next_owner(monkeypatch):
    """Guards against a request of the host itself that ends with it."""
    owner = Owner(monkeypatch)
    run = stage_client.StageRun(
        owner.client, builders.job_spec('1', counts=(60,), aim_s=60.0)
    )
    defer.Deferred.fromCoroutine(run.run())
    owner.work_shares = {RANKED[1]: 1.0}
    owner.stop(0.3)
    ((name, message),) = owner.sent
    assert name == RANKED[1]
    assert message.order.was_admitted


def test_job_without_another_owner_is_refused(monkeypatch):
    """Guards against a caller that waits for a host that cannot serve."""
    owner = Owner(monkeypatch)
    run = stage_client.StageRun(
        owner.client, builders.job_spec('1', counts=(60,), aim_s=60.0)
    )
    result = defer.Deferred.fromCoroutine(run.run())
    owner.stop(0.3)
    assert result.result.check(exceptions.StagesRefused)
    assert result.result.value.reason == 'owner_stopping'
    result.addErrback(lambda failure: None)


@pytest.mark.parametrize('was_admitted', [True, False])
def test_job_is_submitted_with_its_results(monkeypatch, was_admitted):
    """Guards against stages that run a second time at the next owner.

    Their results are not used any more once the next owner is lost too.
    """
    fixture = test_stage_client.Fixture(monkeypatch, RANKED[-1])
    fixture.linked |= dict.fromkeys(RANKED[:3], 1.0)
    fixture.run()
    del fixture.linked[RANKED[0]]
    held = (pieces.HeldResult(0, 1, 'h', 't-1', 'a', 9),)
    fixture.client.handle_message(
        RANKED[0],
        fleet_messages.StagesHandedOver(
            pieces.JobHandover('1', was_admitted, held)
        ),
    )
    (_, first), (name, second) = fixture.sent
    assert name == RANKED[1]
    assert first.order.held == ()
    assert second.order.held == held
    assert second.order.was_admitted is was_admitted
    del fixture.linked[RANKED[1]]
    fixture.client.peer_lost(RANKED[1])
    name, third = fixture.sent[-1]
    assert (name, third.order.held) == (RANKED[2], ())


def test_job_that_returns_too_late_is_handed_over_at_once(monkeypatch):
    """Guards against a return that waits, and goes before others then.

    The owner adds the time of the refused attempt to the job.
    """
    owner = Owner(monkeypatch)
    owner.submit(builders.job_spec('1', content=b'c', deadline_s=0.1))
    owner.clock.advance(0.2)
    owner.stop(0.3)
    owner.submit(builders.job_spec('2', content=b'c'))
    (_, refused), (_, handed) = owner.sent
    assert refused.refusal.reason == 'deadline'
    assert handed.handover == pieces.JobHandover('2', False)

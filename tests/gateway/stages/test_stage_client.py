"""Tests of the choice of the host that runs stages."""

import time
import types

import msgspec
import pytest
from twisted.internet import defer
from twisted.internet import task

from tests.gateway.state import test_feed_follower
from tests.stages import builders
from walnutport import exceptions
from walnutport.gateway.stages import cell_owner
from walnutport.gateway.stages import stage_client
from walnutport.http1 import channel_pool
from walnutport.lifecycle import host_end
from walnutport.membership import ranking
from walnutport.peer import fleet_messages
from walnutport.routing import eligibility

SHARES = {f'host-{number}': 1.0 for number in range(6)}
RANKED = ranking.rank_hosts(ranking.cell_key(0), SHARES)


class Fixture:
    """Client of a host, with the shares of linked and of untried hosts."""

    def __init__(self, monkeypatch, own: str) -> None:
        self.clock = task.Clock()
        monkeypatch.setattr(time, 'monotonic', self.clock.seconds)
        self.linked = {own: 1.0}
        self.untried: dict[str, float] = {}
        self.sent: list[tuple[str, object]] = []
        self.client = stage_client.StageClient(
            self.clock,
            test_feed_follower.FakeLog(),
            own,
            'i',
            None,
            lambda: self.linked,
            lambda: self.untried,
            self._send,
            lambda spec, result, prefills: '',
            None,
        )

    def _send(self, name: str, message: object) -> bool:
        self.sent.append((name, message))
        return True

    def run(self) -> defer.Deferred:
        """Start to run the stages of a job."""
        run = stage_client.StageRun(self.client, builders.job_spec('1'))
        return defer.Deferred.fromCoroutine(run.run())


def test_started_host_waits_for_the_link_to_the_owner(monkeypatch):
    """Guards against every host calling the stage targets for itself.

    After a power cut of all hosts, each one assembled calls of its own until
    its links were up. Half of all calls found the target busy, and two
    seconds of requests were lost.
    """
    fixture = Fixture(monkeypatch, RANKED[-1])
    fixture.untried = {RANKED[0]: 1.0}
    fixture.run()
    assert fixture.sent == []
    fixture.linked[RANKED[0]] = 1.0
    fixture.untried = {}
    fixture.clock.advance(0.1)
    ((name, message),) = fixture.sent
    assert name == RANKED[0]
    assert isinstance(message, fleet_messages.RunStages)


def test_request_does_not_wait_long_for_an_owner(monkeypatch):
    """Guards against requests that are held until their aim has passed."""
    fixture = Fixture(monkeypatch, RANKED[-1])
    fixture.untried = {RANKED[0]: 1.0}
    result = fixture.run()
    fixture.clock.pump([0.05] * 10)
    failure = fixture.client and result.result
    assert failure.check(exceptions.StagesRefused)
    assert failure.value.reason == 'owner_unknown'
    assert failure.value.retry_after_s > 0
    result.addErrback(lambda failure: None)


@pytest.mark.parametrize('untried', [RANKED[1:3], []])
def test_owner_with_a_link_is_used_at_once(monkeypatch, untried):
    """Guards against a wait for hosts that would not be the owner."""
    fixture = Fixture(monkeypatch, RANKED[-1])
    fixture.linked[RANKED[0]] = 1.0
    fixture.untried = dict.fromkeys(untried, 1.0)
    fixture.run()
    assert [name for name, _ in fixture.sent] == [RANKED[0]]


def test_returning_request_reaches_the_owner_that_refused_it():
    """Guards against a return at a cell that holds no place for it."""
    digests = [bytes([number]) * 16 for number in range(20)]
    cells = [ranking.cell_for_content(digest, 4) for digest in digests]
    assert cells == [ranking.cell_for_content(item, 4) for item in digests]
    assert set(cells) == set(range(4))


def test_job_of_an_earlier_build_has_no_route():
    """Guards against a link that closes as a field of a job is missing."""
    message = fleet_messages.RunStages(builders.job_spec('1'), 0)
    fields = msgspec.msgpack.decode(fleet_messages.encode(message))
    del fields['order']['route']
    decoded = fleet_messages.decode(msgspec.msgpack.encode(fields))
    assert decoded == message and decoded.order.route == ''


@pytest.mark.parametrize('is_heard', [True, False])
def test_job_is_submitted_again_as_admitted(monkeypatch, is_heard):
    """Guards against a job that newer ones refuse after its owner was lost.

    An owner that is heard after it got the job has admitted it.
    """
    fixture = Fixture(monkeypatch, RANKED[-1])
    fixture.linked |= dict.fromkeys(RANKED[:2], 1.0)
    fixture.run()
    fixture.clock.advance(0.5)
    if is_heard:
        fixture.client.handle_message(RANKED[0], None)
    del fixture.linked[RANKED[0]]
    fixture.client.peer_lost(RANKED[0])
    (_, first), (name, second) = fixture.sent
    assert name == RANKED[1]
    assert first.order.was_admitted is False
    assert second.order.was_admitted is is_heard


def test_abandoned_stages_end_at_once(monkeypatch):
    """Guards against callers who wait for results of no use.

    The owner is told to cancel the job when the run is released.
    """
    fixture = Fixture(monkeypatch, RANKED[-1])
    fixture.linked |= dict.fromkeys(RANKED[:1], 1.0)
    run = stage_client.StageRun(fixture.client, builders.job_spec('1'))
    result = defer.Deferred.fromCoroutine(run.run())
    run.abandon('origin_gone', 0.4)
    failure = result.result
    assert failure.check(exceptions.StagesRefused)
    assert failure.value.reason == 'origin_gone'
    assert failure.value.retry_after_s == 0.4
    result.addErrback(lambda failure: None)
    run.release()
    assert isinstance(fixture.sent[-1][1], fleet_messages.ReleaseStages)


def test_target_that_is_gone_gets_no_stage_call(monkeypatch):
    """Guards against a call that outlasts its target.

    The entry of the target is removed while the connection is opened.
    """
    may_send: list = []
    monkeypatch.setattr(
        channel_pool,
        'fetch',
        lambda *args: may_send.append(args[5]) or defer.Deferred(),
    )
    target = builders.target('t-1')
    registered = {'t-1': target}
    owner = cell_owner.CellOwner(
        0,
        'own',
        task.Clock(),
        test_feed_follower.FakeLog(),
        None,
        lambda spec, result, prefills, host: '',
        types.SimpleNamespace(
            min_interval_s=lambda target: 0.0,
            held_until=lambda target: 0.0,
            is_leaving=lambda target: False,
        ),
        eligibility.Eligibility(registered.get),
        host_end.HostEnd(),
        lambda name: True,
    )
    owner.update_targets(builders.RULES, [target])
    owner.submit_job(builders.job_spec('1'), '', lambda reply: None)
    (check,) = may_send
    assert check()
    registered.clear()
    assert not check()

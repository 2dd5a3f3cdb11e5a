"""Tests of reading the targets when a decision needs them."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from walnutport.gateway.state import target_confirmation


class Reads:
    """Confirmation whose reads a test answers."""

    def __init__(self, monkeypatch) -> None:
        self.clock = task.Clock()
        monkeypatch.setattr(
            target_confirmation.time, 'monotonic', self.clock.seconds
        )
        self.running: list[defer.Deferred] = []
        self.confirmation = target_confirmation.TargetConfirmation(
            self.clock, self._read
        )

    async def _read(self) -> None:
        began_at = self.clock.seconds()
        self.running.append(defer.Deferred())
        if await self.running[-1]:
            self.confirmation.read_succeeded(began_at)

    def confirm(self) -> defer.Deferred:
        """Ask for the targets as of now."""
        return defer.Deferred.fromCoroutine(
            self.confirmation.confirm(self.clock.seconds())
        )


@pytest.fixture
def reads(monkeypatch) -> Reads:
    return Reads(monkeypatch)


def test_one_read_serves_all_that_wait(reads):
    """Guards against a read for each stream that is taken up."""
    waiting = [reads.confirm() for _ in range(10)]
    assert len(reads.running) == 1
    reads.running[0].callback(True)
    assert [result.result for result in waiting] == [True] * 10
    reads.clock.advance(0.01)
    assert reads.confirm().called is False


def test_read_that_began_before_confirms_nothing(reads):
    """Guards against a decision by what was read before it was due."""
    first = reads.confirm()
    reads.clock.advance(0.1)
    later = reads.confirm()
    reads.running[0].callback(True)
    assert first.result is True and not later.called
    reads.running[1].callback(True)
    assert later.result is True


def test_read_for_the_feed_counts(reads):
    """Guards against a second read at the same moment."""
    at = reads.clock.seconds()
    reads.confirmation.read_succeeded(at)
    assert reads.confirm().result is True
    assert reads.confirmation.read_count == 0


@pytest.mark.parametrize('outcome', ['not applied', 'error', 'silence'])
def test_store_that_is_away_confirms_nothing(reads, outcome):
    """Guards against streams that wait for a store that does not answer."""
    waiting = reads.confirm()
    if outcome == 'not applied':
        reads.running[0].callback(False)
    elif outcome == 'error':
        reads.running[0].errback(ValueError('unexpected'))
    else:
        reads.clock.advance(target_confirmation.CONFIRM_LIMIT_S)
    assert waiting.result is False

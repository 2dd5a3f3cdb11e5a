"""Tests of following the streams of the log service."""

import expression
from twisted.internet import task

from walnutport.service.records import log_reader


class FakeLog:
    """Log service with one page for each stream."""

    def __init__(self) -> None:
        self.reads = 0

    async def read(self, offsets, wait_s):
        self.reads += 1
        pages = {stream: f'page of {stream}' for stream in offsets}
        return expression.Ok(pages)


class Follower:
    """Follower of a stream that raises while it is told to."""

    def __init__(self, stream: str) -> None:
        self.stream = stream
        self.raises = False
        self.pages: list[str] = []

    def start_offset(self) -> int:
        return 0

    def apply(self, page, now) -> None:
        if self.raises:
            raise ValueError('unexpected record')
        self.pages.append(page)


def test_follower_that_raises_does_not_end_the_reading(caplog):
    """Guards against a host that hears of nothing while it seems to follow.

    The other streams are followed, the error is logged, the log counts as
    unavailable, and reading goes on after a pause.
    """
    clock = task.Clock()
    clock.monotonic = clock.seconds
    log = FakeLog()
    broken, sound = Follower('broken'), Follower('sound')
    broken.raises = True
    reader = log_reader.LogReader(log, (broken, sound), clock, clock, 1.0)
    with reader:
        assert not reader.available and reader.failures == 1
        assert len(sound.pages) == 1 and log.reads == 1
        assert 'unexpected record' in caplog.text
        clock.advance(0.25)
        assert reader.failures == 2 and len(sound.pages) == 2
    assert not clock.getDelayedCalls()

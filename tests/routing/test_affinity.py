"""Tests of prefix digests and of the prefix index."""

import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from standins import prefix_cache
from walnutport.adapters import cache_events
from walnutport import exceptions
from walnutport.routing import affinity
from walnutport.routing import prefixes

KEYS = st.integers(0, 5).map(lambda key: bytes([key]))


@hypothesis.given(st.text(max_size=40), st.integers(0, 200), st.text())
def test_host_and_engine_compute_the_same_digests(
    part, repeats, model
) -> None:
    """Guards against digests that differ from those in cache events."""
    prompt = part * repeats
    body = json.dumps({'nonce': 1, 'prompt': prompt}).encode()
    digests = prefixes.prefix_digests(model, body)
    expected = prefix_cache.block_digests(model, prompt)
    assert [digest.hex() for digest in digests] == expected


@hypothesis.given(st.binary(max_size=200))
def test_malformed_bytes_raise_only_target_errors(data) -> None:
    """Guards against unexpected exceptions, which would fail a request."""
    assert prefixes.prefix_digests('m', data) == ()
    try:
        cache_events.decode_page('t', data)
    except exceptions.TargetError:
        pass


@pytest.mark.parametrize(
    'body',
    [
        b'{"incarnation":"a&b","events":[]}',
        b'{"incarnation":"a","events":[{"sequence":1,"kind":"x",'
        b'"digests":[]}]}',
        b'{"incarnation":"a","events":[{"sequence":1,"kind":"stored",'
        b'"digests":["zz"]}]}',
    ],
)
def test_malformed_page_is_rejected(body) -> None:
    """Guards against decoding a malformed page without an error."""
    with pytest.raises(exceptions.AttemptLost):
        cache_events.decode_page('t', body)


class IndexMachine(stateful.RuleBasedStateMachine):
    """An engine whose events are delayed, repeated and lost.

    Guards against indexed prefixes that the engine did not hold at the last
    event read, and against missing prefixes whose events were all read. The
    reference replays the whole history.
    """

    def __init__(self) -> None:
        super().__init__()
        self.index = affinity.PrefixIndex()
        self.restart()

    @stateful.rule()
    def restart(self) -> None:
        self.incarnation = getattr(self, 'incarnation', 0) + 1
        self.history: list[affinity.CacheEvent] = []
        self.read_from = self.read_to = 0

    @stateful.rule(stored=st.sets(KEYS), evicted=st.sets(KEYS))
    def change(self, stored, evicted) -> None:
        self.history.append(
            affinity.CacheEvent(
                't',
                str(self.incarnation),
                len(self.history) + 1,
                tuple(sorted(stored)),
                tuple(sorted(evicted - stored)),
            )
        )

    @stateful.precondition(lambda self: self.read_to < len(self.history))
    @stateful.rule(skipped=st.sampled_from((0, 0, 0, 1, 2)))
    def read(self, skipped) -> None:
        position = min(self.read_to + skipped, len(self.history) - 1)
        if position != self.read_to:
            self.read_from = position
        self.read_to = position + 1
        self.index.apply(self.history[position])

    @stateful.precondition(lambda self: self.read_to)
    @stateful.rule(data=st.data())
    def repeat(self, data) -> None:
        position = data.draw(st.integers(0, self.read_to - 1))
        if self.read_from == self.read_to:
            # After ``forget``, the index starts again at any event.
            self.read_from, self.read_to = position, position + 1
        self.index.apply(self.history[position])

    @stateful.rule()
    def forget(self) -> None:
        self.index.forget('t')
        self.read_from = self.read_to

    @stateful.invariant()
    def index_matches_the_events_read(self) -> None:
        if not self.read_to or self.read_from == self.read_to:
            return
        expected: set[bytes] = set()
        for event in self.history[self.read_from : self.read_to]:
            expected = (expected - set(event.evicted)) | set(event.stored)
        for key in range(6):
            prefix = bytes([key])
            assert self.index.match_length('t', [prefix]) == (
                prefix in expected
            )
        assert self.index.position('t') == (
            str(self.incarnation),
            self.read_to,
        )


TestIndex = IndexMachine.TestCase

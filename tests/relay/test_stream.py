"""Tests of the stream relay against a reference parser."""

import functools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from walnutport.relay import framing
from walnutport.relay import stream

_EVENTS = 12
_DONE = b'event: done\ndata: {"output": {"a": "\\n"}, "tokens": 12}\n\n'


def _event(number: int, source: int = 0) -> bytes:
    return b'id: %d\ndata: {"token": %d, "s": %d, "t": "%b"}\n\n' % (
        number,
        number,
        source,
        b'x' * (number % 5),
    )


@functools.cache
def _stream_from(start: int, source: int) -> bytes:
    events = (_event(n, source) for n in range(start, _EVENTS))
    return b''.join(events) + _DONE


def naive_relay(data: bytes, next_event: int) -> tuple[bytes, bool]:
    """Return the bytes for the caller and whether the stream is complete."""
    passed = b''
    for text in data.split(b'\n\n')[:-1]:
        fields = dict(line.split(b': ', 1) for line in text.split(b'\n'))
        if fields.get(b'event') == b'done':
            return passed + text + b'\n\n', True
        number = int(fields[b'id'])
        if number > next_event:
            break
        if number == next_event:
            passed += text + b'\n\n'
            next_event += 1
    return passed, False


@hypothesis.settings(max_examples=1_500)
@hypothesis.given(
    numbers=st.lists(st.integers(0, 6), max_size=14),
    end=st.sampled_from([b'', _DONE]),
    cut=st.integers(0, 400),
    splits=st.lists(st.integers(0, 400), max_size=20),
)
def test_any_split_gives_the_reference_result(
    numbers, end, cut, splits
) -> None:
    """Guards against events lost or duplicated at read boundaries."""
    data = (b''.join(_event(number) for number in numbers) + end)[:cut]
    session = stream.StreamSession()
    attempt = session.open_attempt()
    edges = sorted({0, len(data), *(min(at, len(data)) for at in splits)})
    passed = b''.join(
        attempt.feed(data[start:stop])
        for start, stop in zip(edges, edges[1:], strict=False)
    )
    assert (passed, attempt.done is not None) == naive_relay(data, 0)


class StreamMachine(stateful.RuleBasedStateMachine):
    """Guards against gaps and duplicates over failed and concurrent attempts.

    Attempts start up to three events before or one after the next missing
    event, break off at any byte and may keep sending after another attempt
    has replaced them.
    """

    def __init__(self) -> None:
        super().__init__()
        self.session = stream.StreamSession()
        self.passed = b''
        self.attempts: list[list] = []
        self.last_owner: stream.AttemptStream | None = None

    @stateful.rule(back=st.integers(0, 3), ahead=st.integers(0, 1))
    def open(self, back: int, ahead: int) -> None:
        start = max(0, self.session.next_event - back) + ahead
        data = _stream_from(start, len(self.attempts))
        self.attempts.append([self.session.open_attempt(), data])

    def relay(self, attempt: stream.AttemptStream, chunk: bytes) -> None:
        passed = attempt.feed(chunk)
        if passed and attempt is not self.last_owner:
            before, self.last_owner = self.last_owner, attempt
            assert before is None or before.is_over(), (
                'events of two attempts are mixed'
            )
        self.passed += passed

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(index=st.integers(0, 20), size=st.integers(1, 120))
    def feed(self, index: int, size: int) -> None:
        entry = self.attempts[index % len(self.attempts)]
        attempt, data = entry
        entry[1] = data[size:]
        self.relay(attempt, data[:size])

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(index=st.integers(0, 20), count=st.integers(1, 3))
    def feed_whole_events(self, index: int, count: int) -> None:
        entry = self.attempts[index % len(self.attempts)]
        attempt, data = entry
        parts = data.split(framing.EVENT_END)
        chunk = data[: len(framing.EVENT_END.join(parts[:count])) + 2]
        entry[1] = data[len(chunk) :]
        self.relay(attempt, chunk)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(index=st.integers(0, 20))
    def break_off(self, index: int) -> None:
        self.attempts[index % len(self.attempts)][0].close()

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(junk=st.binary(max_size=30))
    def send_junk(self, junk: bytes) -> None:
        attempt, rest = self.attempts[-1]
        if not rest.startswith((b'id: ', b'event: ')):
            return  # Inside an event: the relay does not parse its data.
        self.relay(attempt, b'\x00' + junk + b'\n\n')

    @stateful.invariant()
    def caller_has_a_prefix_of_the_stream(self) -> None:
        events = self.passed.split(framing.EVENT_END)
        assert events.pop() == b''
        done = self.session.done is not None
        if done:
            assert events.pop() + framing.EVENT_END == _DONE
            assert len(events) == _EVENTS
        for number, event in enumerate(events):
            assert event.startswith(b'id: %d\ndata: {"token"' % number)
            assert event.endswith(b'}')
        assert self.session.next_event == len(events)


TestStream = StreamMachine.TestCase
TestStream.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


def test_late_events_of_a_closed_attempt_are_counted() -> None:
    """Guards against late events that are dropped without being counted."""
    session = stream.StreamSession()
    first = session.open_attempt()
    assert first.feed(_event(0)) == _event(0)
    first.close()
    second = session.open_attempt()
    assert second.feed(_event(1)) == _event(1)
    assert first.feed(_event(1) + _event(2)) == b''
    assert first.abandoned_events == 2


def test_size_of_an_incomplete_event_is_limited() -> None:
    """Guards against unbounded memory for an event that never ends."""
    attempt = stream.StreamSession().open_attempt()
    for _ in range(18):
        attempt.feed(b'x' * 65_536)
    assert 'exceeds' in attempt.error


@hypothesis.settings(max_examples=2_000)
@hypothesis.given(st.binary(max_size=200))
def test_malformed_bytes_raise_no_exception(data: bytes) -> None:
    """Guards against exceptions of other layers for malformed streams."""
    attempt = stream.StreamSession().open_attempt()
    attempt.feed(b'id: ' + data)
    attempt.feed(b'event: done\ndata: ' + data + b'\n\n')
    assert attempt.is_over()

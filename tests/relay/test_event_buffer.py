"""Tests of events that arrive in small pieces."""

import time

import pytest

from walnutport.relay import event_buffer
from walnutport.relay import resumable
from walnutport.relay import stream

# Searching or copying the unfinished event for each piece takes minutes; this
# only ends such a run.
MAX_CPU_S = 10.0
PIECE = b'xx'


def resumable_stream():
    return resumable.EventRelay().feed


def owned_stream():
    return stream.StreamSession().open_attempt().feed


@pytest.mark.parametrize('make_feed', [resumable_stream, owned_stream])
def test_unfinished_event_takes_time_in_proportion_to_its_length(make_feed):
    """Guards against a host that one event without end holds up."""
    feed = make_feed()
    feed(b'id: 0\ndata: ')
    started_s = time.process_time()
    for _ in range(3 * resumable.MAX_EVENT_BYTES // len(PIECE)):
        feed(PIECE)
        assert time.process_time() - started_s < MAX_CPU_S


@pytest.mark.parametrize('size', [1, 2, 3, 5])
def test_events_do_not_depend_on_the_size_of_the_pieces(size):
    """Guards against an event end that lies in two pieces."""
    data = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n\n\nid: 3\n'
    buffer = event_buffer.EventBuffer()
    events = []
    for start in range(0, len(data), size):
        buffer.add(data[start : start + size])
        while (event := buffer.take()) is not None:
            events.append(event)
    assert events == [b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n', b'\n\n']
    assert len(buffer) == len(b'id: 3\n')
    buffer.clear()
    buffer.add(b'\n')
    assert buffer.take() is None

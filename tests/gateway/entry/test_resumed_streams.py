"""Streams that break off, and what the next target sends, on sockets."""

import re

import pytest

from tests.gateway import socket_host
from tests import socket_target

in_thread = socket_target.in_thread

_CHUNK = re.compile(rb'([0-9a-f]+)\r\n')
LAST_CHUNK = b'0\r\n\r\n'


def event(number: int, data: bytes = b'x') -> bytes:
    """Return one event."""
    return b'id: %d\ndata: %b\n\n' % (number, data)


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def head(
    status: int = 200,
    *,
    content_type: bytes = b'text/event-stream',
    seal: bytes = b's1',
    fields: bytes = b'Transfer-Encoding: chunked\r\n',
) -> bytes:
    """Return the head of a response to the request of the test."""
    return (
        b'HTTP/1.1 %d Status\r\nWalnutport-Request-Attempt-Id: id-1\r\n%b'
        b'Content-Type: %b\r\n%b\r\n'
        % (
            status,
            b'Walnutport-Response-Seal: %b\r\n' % seal if seal else b'',
            content_type,
            fields,
        )
    )


def sized(body: bytes, status: int = 200, **options: bytes) -> bytes:
    """Return a response whose length is stated."""
    fields = b'Content-Length: %d\r\n' % len(body)
    return head(status, fields=fields, **options) + body


def not_run(status: int) -> bytes:
    """Return a refusal."""
    fields = b'Walnutport-Not-Executed: 1\r\nContent-Length: 5\r\n'
    return head(status, seal=b'', fields=fields) + b'error'


def body_of(response: bytes) -> tuple[bytes, bool]:
    """Return the body of a response in chunks, and whether it is complete."""
    _, _, rest = response.partition(b'\r\n\r\n')
    body = b''
    while True:
        size = _CHUNK.match(rest)
        if size is None:
            assert not rest, rest
            return body, False
        length = int(size.group(1), 16)
        rest = rest[size.end() :]
        if not length:
            assert rest == b'\r\n'
            return body, True
        body += rest[:length]
        rest = rest[length + 2 :]


async def broken_stream(*parts: bytes) -> tuple[bytes, bool]:
    """Break a stream off after its second event, and send parts after that.

    The first target sends events 1, 2 and half of the third and resets the
    connection; the second target sends the parts and closes.

    :returns: body that the caller has got, and whether it is complete.
    """
    with socket_host.SocketHost(socket_host.STREAM, 'llm-1') as host:
        caller = await in_thread(host.request, 'id-1')
        first = await in_thread(host.socket_targets['llm-1'].accept)
        await in_thread(first.read_request)
        host.add_target('llm-2')
        await in_thread(
            first.write,
            head() + chunk(event(1)) + chunk(event(2) + event(3)[:7]),
        )
        first.close()
        answered = in_thread(caller.read_all)
        second = await in_thread(host.socket_targets['llm-2'].accept)
        request = await in_thread(second.read_request)
        assert b'last-event-id: 2\r\n' in request.lower()
        for part in parts:
            await in_thread(second.write_if_open, part)
        second.close()
        response = await answered
        assert response.count(b'HTTP/1.1') == 1
        assert b'walnutport-response-seal: s1\r\n' in response.lower()
        return body_of(response)


JSON = b'{"error": "overloaded"}'
FAULTY = {
    # Errors, with each framing and in pieces.
    '500': [sized(b'error', 500, seal=b's2')],
    '404': [sized(b'error', 404)],
    '400_event': [sized(event(3, b'error'), 400, seal=b's2')],
    '502_stream': [head(502), chunk(event(3, b'error')), LAST_CHUNK],
    '500_pieces': [
        head(500, content_type=b'text/plain'),
        chunk(b'err'),
        chunk(b'or\n\n'),
        LAST_CHUNK,
    ],
    '500_by_close': [
        head(500, fields=b'Connection: close\r\n'),
        event(3, b'error'),
    ],
    '503_not_run': [not_run(503)],
    '429_not_run': [not_run(429)],
    '409_not_run': [not_run(409)],
    '421_not_run': [not_run(421)],
    # Successes that are no continuation.
    'unsealed': [sized(event(3), seal=b'')],
    'json': [sized(JSON, content_type=b'application/json')],
    'json_blank_line': [
        sized(JSON + b'\n\n', content_type=b'application/json')
    ],
    'json_chunks': [
        head(content_type=b'application/json'),
        chunk(JSON[:5]),
        chunk(JSON[5:] + b'\n\n'),
        LAST_CHUNK,
    ],
    'json_event': [sized(event(3), content_type=b'application/json')],
    'empty_json': [sized(b'', content_type=b'application/json')],
    'empty_204': [head(204, fields=b'')],
    'html': [sized(b'<html>\n\n</html>', content_type=b'text/html')],
    'error_event': [sized(b'event: error\ndata: overloaded\n\n')],
    'data_without_id': [sized(b'data: x\n\n')],
    'no_event': [head(), LAST_CHUNK],
    'no_event_by_length': [sized(b'')],
    'comments': [head(), chunk(b': wait\n\n'), LAST_CHUNK],
    'repeated_events': [head(), chunk(event(1) + event(2)), LAST_CHUNK],
    'gap': [head(), chunk(event(5)), LAST_CHUNK],
    'malformed': [b'overloaded\r\n\r\n'],
}


@pytest.mark.parametrize('parts', FAULTY.values(), ids=FAULTY)
def test_response_that_is_no_continuation(parts):
    """Guards against another response inside a stream, or as its end."""
    body, is_complete = socket_target.run(broken_stream(*parts))
    assert body.replace(b': wait\n\n', b'') == event(1) + event(2)
    assert not is_complete


@pytest.mark.parametrize(
    'parts',
    [
        [head(), chunk(event(3)), chunk(event(4)[:5])],
        [head(), chunk(event(3)), chunk(event(4)[:5]), LAST_CHUNK],
        [head(), chunk(event(3) + event(5)), LAST_CHUNK],
        [head(), chunk(event(3)) + b'HTTP/1.1 500 Error\r\n\r\n'],
        [sized(event(3) + event(4)[:5])],
        [sized(event(3) + event(4))[:-3]],
    ],
    ids=[
        'cut_event',
        'ended_in_event',
        'gap_after_event',
        'head_in_chunks',
        'ended_in_event_by_length',
        'cut_length',
    ],
)
def test_continuation_that_breaks_off_again(parts):
    """Guards against half a stream that looks like a whole one."""
    body, is_complete = socket_target.run(broken_stream(*parts))
    assert body == event(1) + event(2) + event(3)
    assert not is_complete


def test_continuation_to_the_end():
    """Guards against a stream that is cut off though it goes on."""
    parts = [head(seal=b's2'), chunk(event(3)), chunk(event(4)), LAST_CHUNK]
    body, is_complete = socket_target.run(broken_stream(*parts))
    assert body == b''.join(event(number) for number in (1, 2, 3, 4))
    assert is_complete


def test_continuation_that_repeats_events():
    """Guards against events that the caller gets twice."""
    parts = [head(), chunk(event(2) + event(3)), LAST_CHUNK]
    body, is_complete = socket_target.run(broken_stream(*parts))
    assert body == event(1) + event(2) + event(3)
    assert is_complete


def test_events_without_ids_are_not_joined():
    """Guards against a stream that begins again in the same response.

    No target can go on after an event without an id.
    """

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.STREAM, 'llm-1') as host:
            caller = await in_thread(host.request, 'id-1')
            first = await in_thread(host.socket_targets['llm-1'].accept)
            await in_thread(first.read_request)
            host.add_target('llm-2')
            answered = in_thread(caller.read_all)
            start_sending(
                host.socket_targets['llm-2'],
                [head(), chunk(b'data: a\n\n' + event(1)), LAST_CHUNK],
            )
            await in_thread(first.write, head() + chunk(b'data: a\n\n'))
            first.close()
            body, is_complete = body_of(await answered)
            assert body == b'data: a\n\n'
            assert not is_complete

    socket_target.run(scenario())


def test_third_target_goes_on_after_a_gap():
    """Guards against a stream that is lost at a target that skips events."""

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.STREAM, 'llm-1') as host:
            caller = await in_thread(host.request, 'id-1')
            first = await in_thread(host.socket_targets['llm-1'].accept)
            await in_thread(first.read_request)
            host.add_target('llm-2')
            answered = in_thread(caller.read_all)
            await in_thread(first.write, head() + chunk(event(1)))
            first.close()
            second = await in_thread(host.socket_targets['llm-2'].accept)
            await in_thread(second.read_request)
            host.add_target('llm-3')
            await in_thread(
                second.write, head() + chunk(event(2) + event(7) + event(8))
            )
            third = await in_thread(host.socket_targets['llm-3'].accept)
            request = await in_thread(third.read_request)
            assert b'last-event-id: 2\r\n' in request.lower()
            await in_thread(third.write, head() + chunk(event(3)) + LAST_CHUNK)
            body, is_complete = body_of(await answered)
            assert body == event(1) + event(2) + event(3)
            assert is_complete

    socket_target.run(scenario())


def start_sending(
    target: socket_target.SocketTarget, parts: list[bytes]
) -> None:
    """Let a target send parts to the next request, if one comes."""

    def send(connection: socket_target.Connection) -> None:
        connection.read_request()
        for part in parts:
            connection.write_if_open(part)
        connection.close()

    in_thread(target.accept).addCallback(
        lambda connection: in_thread(send, connection)
    ).addErrback(lambda failure: failure.trap(OSError))

"""Streams of the own interface that break off, on sockets."""

import pytest
from twisted.internet import reactor

from tests import socket_target
from walnutport.adapters import engine_client
from walnutport.adapters import http_client
from walnutport.adapters import stage_client
from walnutport import exceptions
from walnutport.relay import stream
from walnutport import world

in_thread = socket_target.in_thread


class Sink:
    """Sink that records the events for the caller."""

    def __init__(self) -> None:
        self.data = b''

    def write(self, data: bytes) -> None:
        self.data += data

    def attach(self, source) -> None:
        """Let the source send at any rate."""

    def detach(self, source) -> None:
        """End that."""


def event(number: int) -> bytes:
    """Return one event."""
    return b'id: %d\ndata: {}\n\n' % number


def head(
    status: int, attempt: str, fields: bytes = b'Connection: close\r\n'
) -> bytes:
    """Return the head of a response to an attempt."""
    return b'HTTP/1.1 %d Status\r\nWalnutport-Attempt-Id: %b\r\n%b\r\n' % (
        status,
        attempt.encode(),
        fields,
    )


def stage_call(attempt_id: str, resume_from: int) -> stage_client.StageCall:
    """Return one attempt of a stage."""
    return stage_client.StageCall(
        attempt_id=attempt_id,
        request_id='id-1',
        entry_id='host-1',
        stage='generate',
        remaining_s=10.0,
        input_json=b'{}',
        resume_from=resume_from,
    )


async def run_attempt(
    target: socket_target.SocketTarget,
    session: stream.StreamSession,
    sink: Sink,
    attempt_id: str,
    data: bytes,
) -> Exception | None:
    """Run an attempt whose engine sends data and closes; return its error."""
    engine = world.Target(
        'engine-1', 'generate', 'a', world.Address(*target.address)
    )
    client = engine_client.EngineClient(
        http_client.HttpClient(reactor, persistent=False), reactor
    )
    attempt = session.open_attempt()
    running = socket_target.start(
        client.stream(
            engine,
            stage_call(attempt_id, session.next_event),
            attempt,
            sink,
            lambda: None,
        )
    )
    connection = await in_thread(target.accept)
    await in_thread(connection.read_request)
    await in_thread(connection.write_if_open, data)
    connection.close()
    try:
        await running
    except exceptions.TargetError as error:
        return error
    finally:
        attempt.close()
    return None


DONE = b'event: done\ndata: {"output":{},"tokens":3}\n\n'
LATER = {
    'refused': head(503, 'a-2') + event(2),
    'error_chunks': head(500, 'a-2', b'Transfer-Encoding: chunked\r\n')
    + b'5\r\nerror\r\n0\r\n\r\n',
    'json': head(200, 'a-2') + b'{"error": "overloaded"}\n\n',
    'empty': head(200, 'a-2', b'Content-Length: 0\r\n'),
    'gap': head(200, 'a-2') + event(3) + DONE,
    'error_event': head(200, 'a-2') + b'event: error\ndata: {}\n\n',
    'unnamed': b'HTTP/1.1 200 OK\r\n\r\n' + event(2) + DONE,
    'named_after_refusal': head(503, 'a-2', b'Content-Length: 0\r\n')
    + head(200, 'a-2')
    + event(2)
    + DONE,
    'earlier_attempt': head(200, 'a-1') + event(2) + DONE,
    'no_response': b'',
}


@pytest.mark.parametrize('data', LATER.values(), ids=LATER)
def test_response_that_is_no_continuation(data):
    """Guards against another response inside a stream, or as its end."""

    async def scenario() -> None:
        session = stream.StreamSession()
        sink = Sink()
        with socket_target.SocketTarget() as target:
            begun = head(200, 'a-1') + event(0) + event(1) + event(2)[:5]
            assert await run_attempt(target, session, sink, 'a-1', begun)
            (await in_thread(target.accept)).close()
            error = await run_attempt(target, session, sink, 'a-2', data)
            assert error is not None
            assert sink.data == event(0) + event(1)
            assert session.done is None
            if isinstance(error, exceptions.AttemptLost):
                # The client asks the engine to cancel the attempt.
                (await in_thread(target.accept)).close()
            end = head(200, 'a-3') + event(2) + DONE
            assert not await run_attempt(target, session, sink, 'a-3', end)
            assert sink.data == event(0) + event(1) + event(2) + DONE

    socket_target.run(scenario())

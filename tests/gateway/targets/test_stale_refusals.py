"""Refusals of earlier requests that a target writes once more, on sockets.

A caller who is told that its request did not run sends it again, so that only
a refusal of this very request may be passed on or lead to a second target.
"""

import pytest

from tests.gateway import socket_host
from tests import socket_target
from walnutport.gateway.targets import attempts

in_thread = socket_target.in_thread

IDLE_CLOSE = (
    b'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
# Statuses that promise the caller that its request did not run.
PROMISES = (b'408', b'421', b'429', b'503')


def refusal(
    request_id: bytes = b'', status: int = 503, not_run: bool = True
) -> bytes:
    """Return the refusal of a request, which it names if there is an id."""
    name = b'Walnutport-Request-Attempt-Id: %b\r\n' % request_id
    return b'HTTP/1.1 %d Busy\r\n%b%bContent-Length: 0\r\n\r\n' % (
        status,
        b'Walnutport-Not-Executed: 1\r\n' if not_run else b'',
        name if request_id else b'',
    )


def success(request_id: bytes, body: bytes = b'ok') -> bytes:
    """Return the sealed response to a request."""
    return (
        b'HTTP/1.1 200 OK\r\nWalnutport-Request-Attempt-Id: %b\r\n'
        b'Walnutport-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%b'
        % (request_id, len(body), body)
    )


UNNAMED_REFUSALS = {
    '503': refusal(),
    '503_no_header': refusal(not_run=False),
    '429': refusal(status=429),
    '409': refusal(status=409),
    '400': refusal(status=400),
    '421': refusal(status=421),
    '421_no_header': refusal(status=421, not_run=False),
    '408_idle_close': IDLE_CLOSE,
}
unnamed = pytest.mark.parametrize(
    'stale', UNNAMED_REFUSALS.values(), ids=UNNAMED_REFUSALS
)


@pytest.fixture(autouse=True)
def slow_machine(monkeypatch):
    """Let idle channels be used however busy the machine is."""
    monkeypatch.setattr(attempts, 'NON_REPEATABLE_MAX_IDLE_S', 60.0)


async def refused_once(
    host: socket_host.SocketHost,
) -> socket_target.Connection:
    """Let a target refuse a first request; return its kept connection."""
    caller = await in_thread(host.request, 'first')
    connection = await in_thread(host.socket_targets['llm-1'].accept)
    await in_thread(connection.read_request)
    await in_thread(connection.write, refusal(b'first'))
    assert b' 503 ' in await in_thread(caller.read_all)
    return connection


async def second_request(
    host: socket_host.SocketHost, *parts: bytes
) -> tuple[bytes, bool]:
    """Send a second request, whose target writes parts once it has it.

    The second target is known by then, and accepts whatever comes.

    :returns: the response of the caller, and whether the second target got the
        request.
    """
    connection = await refused_once(host)
    caller = await in_thread(host.request, 'second')
    assert b'second' in await in_thread(connection.read_request)
    host.add_target('llm-2')
    start_answering(host.socket_targets['llm-2'])
    answered = in_thread(caller.read_all)
    for part in parts:
        await in_thread(connection.write, part)
    response = await answered
    return response, host.placements('second') != ['llm-1']


def start_answering(target: socket_target.SocketTarget) -> None:
    """Let a target answer the first request on its next connection."""

    def answer(connection: socket_target.Connection) -> None:
        connection.read_request()
        connection.write(success(b'second', b'two'))

    # The scenario may end before any connection is opened.
    in_thread(target.accept).addCallback(
        lambda connection: in_thread(answer, connection)
    ).addErrback(lambda failure: failure.trap(OSError))


def is_promise(response: bytes) -> bool:
    """Return whether a response says that the request did not run."""
    return response.split(b' ')[1] in PROMISES


@unnamed
def test_unnamed_refusal_after_the_next_request(stale):
    """Guards against a running request that is told not to have run.

    The copy arrives in a segment of its own, after the request was written.
    """

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, 'llm-1') as host:
            response, was_sent_twice = await second_request(host, stale)
            assert not was_sent_twice
            assert not is_promise(response), response
            assert b' 502 ' in response

    socket_target.run(scenario())


@unnamed
def test_unnamed_refusal_together_with_the_response(stale):
    """Guards against a refusal in front of the response that is believed."""

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, 'llm-1') as host:
            response, was_sent_twice = await second_request(
                host, stale + success(b'second')
            )
            assert not was_sent_twice
            assert not is_promise(response), response

    socket_target.run(scenario())


@unnamed
def test_unnamed_refusal_lets_a_repeatable_request_be_retried(stale):
    """Guards against an unknown outcome that ends a repeatable request."""

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.REPEATABLE, 'llm-1') as host:
            response, was_sent_twice = await second_request(host, stale)
            assert was_sent_twice
            assert b' 200 ' in response and response.endswith(b'two')

    socket_target.run(scenario())


@pytest.mark.parametrize('is_joined', [False, True])
@pytest.mark.parametrize('status', [400, 408, 409, 421, 429, 503])
def test_refusal_that_names_an_earlier_request(status, is_joined):
    """Guards against the refusal of another request that is believed."""
    stale = refusal(b'first', status)

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, 'llm-1') as host:
            parts = [stale, success(b'second')]
            response, was_sent_twice = await second_request(
                host, *([b''.join(parts)] if is_joined else parts)
            )
            assert not was_sent_twice
            assert b' 200 ' in response and response.endswith(b'ok')

    socket_target.run(scenario())


def test_interim_response_of_an_earlier_request():
    """Guards against a late interim response that hides the response."""

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, 'llm-1') as host:
            response, _ = await second_request(
                host, INTERIM, success(b'second')
            )
            assert b' 200 ' in response and response.endswith(b'ok')

    socket_target.run(scenario())


def test_switch_of_protocols_is_no_refusal():
    """Guards against a response of another protocol that is believed."""

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, 'llm-1') as host:
            response, was_sent_twice = await second_request(
                host,
                b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n'
                b'Connection: upgrade\r\n\r\n' + success(b'second'),
            )
            assert not was_sent_twice
            assert b' 502 ' in response

    socket_target.run(scenario())


@pytest.mark.parametrize(
    'stale',
    [refusal(b'first'), *UNNAMED_REFUSALS.values(), INTERIM, b'HTTP/1.1 503 B']
    + [b''],
    ids=['named', *UNNAMED_REFUSALS, 'interim', 'half_head', 'close'],
)
def test_bytes_or_a_close_in_the_kernel_before_the_next_request(stale):
    """Guards against a request on a channel with unread bytes.

    They arrive after the last response, and the reactor has not read them when
    the next request is written. A new channel serves it.
    """

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, 'llm-1') as host:
            connection = await refused_once(host)
            target = host.socket_targets['llm-1']
            original = host.pool.take_idle

            def take_idle(*args):
                if stale:
                    connection.write(stale)
                else:
                    connection.shut_down()
                socket_target.wait_readable(host.idle_transport('llm-1'))
                return original(*args)

            host.pool.take_idle = take_idle
            caller = await in_thread(host.request, 'second')
            answered = in_thread(caller.read_all)
            served = await in_thread(target.next_request, connection)
            assert served is not connection
            await in_thread(served.write, success(b'second'))
            response = await answered
            assert b' 200 ' in response and response.endswith(b'ok')
            assert host.placements('second') == ['llm-1']

    socket_target.run(scenario())


HALF_HEADS = {
    'status': b'HTTP/1.1 503 ',
    'reason': b'HTTP/1.1 503 Bu',
    'reason_429': b'HTTP/1.1 429 ',
    'field': b'HTTP/1.1 503 Busy\r\nWalnutport-Not-Executed: 1\r\nX: a',
    'not_run': b'HTTP/1.1 503 Busy\r\nWalnutport-Not-Executed: ',
    'gone': b'HTTP/1.1 409 No\r\nX: a\r\nWalnutport-Not-Executed: 1',
    'interim': b'HTTP/1.1 100 Con',
    'named': refusal(b'first')[:-2],
    'name': refusal(b'first')[:-30],
}


@pytest.mark.parametrize('start', HALF_HEADS.values(), ids=HALF_HEADS)
def test_half_a_head_before_the_response(start):
    """Guards against a head joined from a stale start and the true rest.

    Its status and its fields are those of the stale one, while the true rest
    names the request.
    """

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, 'llm-1') as host:
            connection = await refused_once(host)
            caller = await in_thread(host.request, 'second')
            await in_thread(connection.read_request)
            host.add_target('llm-2')
            start_answering(host.socket_targets['llm-2'])
            await in_thread(connection.write, start)
            await in_thread(connection.write, success(b'second'))
            connection.close()
            response = await in_thread(caller.read_all)
            assert host.placements('second') == ['llm-1']
            assert b' 502 ' in response, response

    socket_target.run(scenario())


def test_copy_of_the_refusal_of_an_earlier_attempt_of_the_request():
    """Guards against a copy that names the request as it was sent before.

    The inputs of a request were gone, and its target gets it once more with
    new ones: the copy of the first refusal has the same id.
    """

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.STAGED, 'llm-1') as host:
            host.run_stages_later()
            target = host.socket_targets['llm-1']
            caller = await in_thread(
                lambda: host.request('first', walnutport_pieces='2')
            )
            kept = await in_thread(target.accept)
            await in_thread(kept.read_request)
            gone = refusal(b'first', 409)
            await in_thread(kept.write, gone)
            served = await in_thread(target.next_request, kept)
            await in_thread(kept.write, gone)
            answered = in_thread(caller.read_all)
            try:
                await in_thread(served.write, STREAM)
            except OSError:
                assert served is kept
            response = await answered
            assert not is_promise(response), response
            assert response.endswith(b'id: 1\ndata: x\n\n\r\n0\r\n\r\n')
            assert host.placements('first') == ['llm-1', 'llm-1']

    socket_target.run(scenario())


STREAM = (
    b'HTTP/1.1 200 OK\r\nWalnutport-Request-Attempt-Id: first\r\n'
    b'Walnutport-Response-Seal: s\r\nContent-Type: text/event-stream\r\n'
    b'Content-Length: 15\r\n\r\nid: 1\ndata: x\n\n'
)


@unnamed
def test_unnamed_refusal_of_the_first_request_of_a_channel(stale):
    """Guards against refusals that no longer count, on a new channel.

    No other request was sent there, so that a statement not to have run it is
    about this one. Without it, the outcome is as before.
    """

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, 'llm-1') as host:
            caller = await in_thread(host.request, 'only')
            connection = await in_thread(host.socket_targets['llm-1'].accept)
            await in_thread(connection.read_request)
            await in_thread(connection.write, stale)
            response = await in_thread(caller.read_all)
            states = b'Not-Executed' in stale or b' 421 ' in stale
            if states:
                assert b' 503 ' in response
            else:
                assert response

    socket_target.run(scenario())

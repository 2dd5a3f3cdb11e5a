"""Targets and peers that stop in the middle of the head of a response."""

import pytest

from tests.gateway import socket_host
from tests.http1 import test_client_channel
from tests import socket_target
from walnutport.world import routes

in_thread = socket_target.in_thread

BODY = b'id: 1\ndata: whole\n\n'
FRAMINGS = {
    'length': b'Content-Length: %d\r\n\r\n%b' % (len(BODY), BODY),
    'chunks': (
        b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n'
        % (len(BODY), BODY)
    ),
    'close': b'Connection: close\r\n\r\n' + BODY,
}
INTERIM = {
    'alone': b'',
    '100': b'HTTP/1.1 100 Continue\r\n\r\n',
    '103': b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n',
}
ROUTES = {
    'once': socket_host.ONCE,
    'repeatable': socket_host.REPEATABLE,
    'stream': socket_host.STREAM,
}


def response(framing: str) -> bytes:
    """Return a whole response, with the length or the coding last."""
    return (
        b'HTTP/1.1 200 OK\r\nWalnutport-Request-Attempt-Id: id-1\r\n'
        b'Walnutport-Response-Seal: s\r\nContent-Type: text/event-stream\r\n'
    ) + FRAMINGS[framing]


def cuts(framing: str) -> list[bytes]:
    """Return the head cut after each byte, without its last one."""
    whole = response(framing)
    return [whole[:end] for end in range(whole.index(b'\r\n\r\n') + 4)]


@pytest.mark.parametrize('is_clean', [True, False])
@pytest.mark.parametrize('interim', INTERIM)
@pytest.mark.parametrize('framing', FRAMINGS)
def test_cut_head_is_no_response(framing, interim, is_clean):
    """Guards against a head that counts as whole when its channel ends.

    Stage calls and calls to the store end in the same channels.
    """
    for data in cuts(framing):
        exchange = test_client_channel.Exchange()
        if INTERIM[interim] + data:
            exchange.channel.dataReceived(INTERIM[interim] + data)
        exchange.close_by_peer(is_clean)
        assert not exchange.responses, data
        assert exchange.failures, data


async def exchange(
    route: routes.Route, data: bytes, is_cut: bool
) -> tuple[bytes, int]:
    """Let one target write some bytes and close.

    :param is_cut: whether the host reaches peers only, so that one of them
        writes the bytes.
    :returns: what the caller gets, and how many requests the target got.
    """
    targets = () if is_cut else ('llm-1',)
    with socket_host.SocketHost(route, *targets, is_cut=is_cut) as host:
        target = host.socket_targets['llm-1']
        if is_cut:
            for name in ('llm-2', 'llm-3'):
                del host.relay._mesh.peer_by_name[name]
        caller = await in_thread(host.request, 'id-1')
        connection = await in_thread(target.accept)
        await in_thread(connection.read_request)
        await in_thread(connection.write_if_open, data)
        connection.close()
        return await in_thread(caller.read_all), len(host.placements('id-1'))


# The end of a line, the middle of the length, and the blank line come first.
POINTS = [
    b'Seal: s\r\n',
    b'event-stream\r\n',
    b'event-stream\r\nContent-Length: 1',
    b'event-stream\r\nContent-Length: 19\r\n',
    b'event-stream\r\nContent-Length: 19\r\n\r',
]


@pytest.mark.parametrize('interim', INTERIM)
@pytest.mark.parametrize('point', POINTS)
@pytest.mark.parametrize('is_cut', [False, True])
@pytest.mark.parametrize('route', ROUTES)
def test_caller_gets_no_success_for_a_cut_head(route, is_cut, point, interim):
    """Guards against an empty or short body that is framed as whole."""
    whole = response('length')
    data = whole[: whole.index(point) + len(point)]
    got, sent_count = socket_target.run(
        exchange(ROUTES[route], INTERIM[interim] + data, is_cut)
    )
    assert not got.startswith(b'HTTP/1.1 2'), got
    assert sent_count <= 1


@pytest.mark.parametrize('is_cut', [False, True])
@pytest.mark.parametrize('route', ROUTES)
def test_head_that_ends_early_with_a_blank_line_is_no_success(route, is_cut):
    """Guards against an empty body of a target that stopped in its head.

    Without a length, it looks like a response that its close has ended.
    """
    whole = response('length')
    data = whole[: whole.index(b'Content-Length')] + b'\r\n'
    got, _ = socket_target.run(exchange(ROUTES[route], data, is_cut))
    assert not got.startswith(b'HTTP/1.1 2'), got

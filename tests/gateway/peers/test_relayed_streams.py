"""Streams that come by way of a peer and break off, on sockets."""

import pytest

from tests.gateway.entry import test_resumed_streams
from tests.gateway import socket_host
from tests import socket_target

in_thread = socket_target.in_thread
chunk = test_resumed_streams.chunk
event = test_resumed_streams.event
head = test_resumed_streams.head

ENDS = {
    'close': b'',
    'half_chunk': chunk(event(2))[:6],
    'head': b'HTTP/1.1 502 Bad Gateway\r\nContent-Length: 5\r\n\r\nerror',
    'head_of_the_request': test_resumed_streams.sized(b'error', 502),
    'empty_line': b'\r\n',
    'half_last_chunk': b'0\r\n',
}


@pytest.mark.parametrize('end', ENDS.values(), ids=ENDS)
@pytest.mark.parametrize('is_reset', [False, True])
def test_relayed_stream_that_breaks_off(end, is_reset):
    """Guards against half a relayed stream that looks like a whole one."""

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.STREAM, is_cut=True) as host:
            caller = await in_thread(host.request, 'id-1')
            peer = await in_thread(host.socket_targets['llm-1'].accept)
            await in_thread(peer.read_request)
            await in_thread(peer.write, head() + chunk(event(1)))
            begun = await in_thread(caller.read_until, event(1))
            await in_thread(peer.write_if_open, end)
            if is_reset:
                peer.reset()
            else:
                peer.close()
            response = begun + await in_thread(caller.read_all)
            assert response.count(b'HTTP/1.1') == 1
            body = response.partition(b'\r\n\r\n')[2]
            assert body.startswith(chunk(event(1)))
            assert b'error' not in body
            assert not response.endswith(b'0\r\n\r\n')
            assert host.calls['id-1'].outcome == 'broken'

    socket_target.run(scenario())


def test_relayed_stream_to_its_end():
    """Guards against relayed streams that never look complete."""

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.STREAM, is_cut=True) as host:
            caller = await in_thread(host.request, 'id-1')
            peer = await in_thread(host.socket_targets['llm-1'].accept)
            await in_thread(peer.read_request)
            await in_thread(
                peer.write,
                head() + chunk(event(1)) + test_resumed_streams.LAST_CHUNK,
            )
            body = test_resumed_streams.body_of(
                await in_thread(caller.read_all)
            )
            assert body == (event(1), True)

    socket_target.run(scenario())

"""Closing of server channels, on sockets."""

import socket

from twisted.internet import reactor

from tests import socket_target
from walnutport.http1 import server
from walnutport.world import routes

in_thread = socket_target.in_thread
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
# More than the buffers of the kernel take.
CHUNK = b'x' * (1 << 20)
CHUNKS = 24


def test_response_is_whole_although_a_request_follows_it_at_the_close():
    """Guards against a reset that drops the end of a response.

    Its head came before the stop signal and keeps the channel, so that its
    caller may write the next request.
    """
    requests: list[server.ServerRequest] = []

    async def scenario() -> None:
        site = server.ServerSite(
            reactor, requests.append, routes.RequestLimits
        )
        listener = reactor.listenTCP(0, site, interface='127.0.0.1')
        caller = socket_target.Connection(
            socket.create_connection(('127.0.0.1', listener.getHost().port))
        )
        await in_thread(caller.write, REQUEST)
        while not requests:
            await in_thread(lambda: None)
        requests[0].start(200, [])
        for _ in range(CHUNKS):
            requests[0].write(CHUNK)
        site.closing = True
        requests[0].finish()
        await in_thread(caller.write, REQUEST)
        try:
            response = await in_thread(caller.read_until, b'\r\n0\r\n\r\n')
            assert response.endswith(b'\r\n0\r\n\r\n')
        finally:
            caller.close()
            listener.stopListening()

    socket_target.run(scenario())

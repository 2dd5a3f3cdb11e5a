"""Calls whose responses name no request, on channels of other requests."""

from twisted.internet import reactor

from tests.gateway import socket_host
from tests.gateway.targets import test_stale_refusals
from tests import socket_target
from walnutport.adapters import http_client
from walnutport.http1 import channel_pool
from walnutport.platform import stage_calls

in_thread = socket_target.in_thread
PIECES_DONE = b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{"items":[]}'


def test_stage_call_does_not_get_the_refusal_of_a_request():
    """Guards against a stage call that counts as refused while it runs.

    The channel was kept after a refusal that named its request; the responses
    to stage calls name none.
    """

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, 'llm-1') as host:
            kept = await test_stale_refusals.refused_once(host)
            target = host.socket_targets['llm-1']
            served = in_thread(target.next_request, kept)

            async def answer() -> None:
                connection = await served
                if connection is kept:
                    refusal = test_stale_refusals.refusal(b'first')
                    await in_thread(connection.write, refusal)
                else:
                    await in_thread(connection.write, PIECES_DONE)

            answered = socket_target.start(answer())
            response = await channel_pool.fetch(
                reactor,
                host.pool,
                target.address,
                stage_calls.encode_run(target.address, 'llm-1', []),
                socket_target.TIMEOUT_S,
            )
            await answered
            assert response.status == 200

    socket_target.run(scenario())


def test_call_without_an_echo_does_not_get_an_earlier_response():
    """Guards against a control call that gets the response to an attempt."""

    async def scenario() -> None:
        with socket_target.SocketTarget() as target:
            client = http_client.HttpClient(reactor)
            ip, port = target.address
            url = f'http://{ip}:{port}/v1/run'
            echo = b'HTTP/1.1 503 Busy\r\nx-id: a\r\nContent-Length: 0\r\n\r\n'
            first = socket_target.start(
                client.call(
                    'POST', url, b'', {'x-id': 'a'}, echoed_header='x-id'
                )
            )
            kept = await in_thread(target.accept)
            await in_thread(kept.read_request)
            await in_thread(kept.write, echo)
            assert (await first).status == 503
            second = socket_target.start(client.call('GET', url))
            served = await in_thread(target.next_request, kept)
            await in_thread(
                served.write, echo if served is kept else PIECES_DONE
            )
            assert (await second).status == 200
            client.close()

    socket_target.run(scenario())

"""Earlier responses that arrive once more on channels to peers."""

import pytest

from tests.gateway import socket_host
from tests.gateway.targets import test_stale_refusals
from tests import socket_target
from walnutport.gateway.peers import peer_relay

in_thread = socket_target.in_thread
refusal = test_stale_refusals.refusal
success = test_stale_refusals.success


@pytest.fixture(autouse=True)
def slow_machine(monkeypatch):
    """Let idle channels be used however busy the machine is."""
    monkeypatch.setattr(peer_relay, 'NON_REPEATABLE_MAX_IDLE_S', 60.0)


async def second_response(host: socket_host.SocketHost, data: bytes) -> bytes:
    """Relay a second request, whose peer writes data once it has it.

    Another peer would serve it.

    :returns: the response of the caller.
    """
    first = await in_thread(host.request, 'first')
    peers = host.relay._mesh.peer_by_name
    other = peers.pop('llm-2')
    served = await in_thread(host.socket_targets['llm-1'].accept)
    await in_thread(served.read_request)
    await in_thread(served.write, success(b'first'))
    assert b' 200 ' in await in_thread(first.read_all)
    caller = await in_thread(host.request, 'second')
    assert b'second' in await in_thread(served.read_request)
    peers['llm-2'] = other
    test_stale_refusals.start_answering(host.socket_targets['llm-2'])
    await in_thread(served.write, data)
    served.close()
    return await in_thread(caller.read_all)


STALE = {
    'not_taken': refusal(status=421, not_run=False),
    'refusal': refusal(),
    'idle_close': test_stale_refusals.IDLE_CLOSE,
    'half_status': b'HTTP/1.1 503 B' + success(b'second'),
    'half_head': b'HTTP/1.1 421 No\r\nX: ' + success(b'second'),
}


@pytest.mark.parametrize('stale', STALE.values(), ids=STALE)
def test_response_that_is_not_shown_to_be_that_of_the_request(stale):
    """Guards against a request that a second peer serves as well.

    Its peer had begun it, and an unnamed or joined head came before the
    response.
    """

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, is_cut=True) as host:
            response = await second_response(host, stale)
            assert b' 502 ' in response, response

    socket_target.run(scenario())


def test_response_to_an_earlier_request_is_skipped():
    """Guards against a caller who gets the response to another one."""

    async def scenario() -> None:
        with socket_host.SocketHost(socket_host.ONCE, is_cut=True) as host:
            response = await second_response(
                host, refusal(b'first') + success(b'second')
            )
            assert b' 200 ' in response and response.endswith(b'ok')

    socket_target.run(scenario())

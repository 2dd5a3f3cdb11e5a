"""Statuses that promise what a target has not stated, on sockets."""

import pytest

from tests.gateway import socket_host
from tests.gateway.targets import test_stale_refusals
from tests import socket_target

in_thread = socket_target.in_thread
refusal = test_stale_refusals.refusal


async def response_to(route, data: bytes) -> bytes:
    """Return what a caller gets if the only target sends a response."""
    with socket_host.SocketHost(route, 'llm-1') as host:
        caller = await in_thread(host.request, 'only')
        connection = await in_thread(host.socket_targets['llm-1'].accept)
        await in_thread(connection.read_request)
        await in_thread(connection.write, data)
        return await in_thread(caller.read_all)


@pytest.mark.parametrize(
    'request_id', [b'only', b''], ids=['named', 'unnamed']
)
@pytest.mark.parametrize('status', [408, 429, 503])
def test_status_alone_does_not_say_that_a_request_did_not_run(
    status, request_id
):
    """Guards against a second run after a promise that no target made.

    Callers send a request again after such a status; the target has not said
    that it did not run it.
    """
    data = refusal(request_id, status, not_run=False)
    response = socket_target.run(response_to(socket_host.ONCE, data))
    assert b' 502 ' in response, response


@pytest.mark.parametrize('status', [408, 429, 503])
def test_status_of_a_repeatable_request_is_passed_on(status):
    """Guards against errors of targets that their callers do not see."""
    data = refusal(b'only', status, not_run=False)
    response = socket_target.run(response_to(socket_host.REPEATABLE, data))
    assert b' %d ' % status in response, response


@pytest.mark.parametrize('status', [400, 429, 503])
def test_refusal_that_is_stated_is_passed_on(status):
    """Guards against a request that is not run as its caller gives up."""
    data = refusal(b'only', status)
    response = socket_target.run(response_to(socket_host.ONCE, data))
    assert b' 503 ' in response, response

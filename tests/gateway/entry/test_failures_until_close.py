"""Failures that have no length, and whose targets may have crashed."""

import pytest

from tests.gateway import socket_host
from tests import socket_target

in_thread = socket_target.in_thread

FAILURE = (
    b'HTTP/1.1 500 Failed\r\nWalnutport-Request-Attempt-Id: id-1\r\n'
    b'Walnutport-Response-Seal: s\r\nConnection: close\r\n\r\nhalf of an err'
)


async def fail(answers: bool) -> bytes:
    """Let a target send a failure and close; return what the caller gets.

    :param answers: whether the target answers after that.
    """
    with socket_host.SocketHost(socket_host.ONCE, 'llm-1') as host:
        host.target_answers = answers
        caller = await in_thread(host.request, 'id-1')
        target = await in_thread(host.socket_targets['llm-1'].accept)
        await in_thread(target.read_request)
        await in_thread(target.write, FAILURE)
        target.close()
        return await in_thread(caller.read_all)


@pytest.mark.parametrize('answers', [True, False])
def test_failure_of_a_crashed_target_is_not_passed_on_as_whole(answers):
    """Guards against a failure that breaks off and looks complete."""
    got = socket_target.run(fail(answers))
    status, seal = (b'500', True) if answers else (b'502', False)
    assert got.startswith(b'HTTP/1.1 ' + status)
    assert (b'walnutport-response-seal' in got.lower()) is seal

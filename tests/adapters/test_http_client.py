"""Tests of reading bounded response bodies."""

import types

import pytest
from twisted.internet import defer
from twisted.internet.testing import StringTransport
from twisted.python import failure
from twisted.web import client

from walnutport.adapters import http_client
from walnutport import exceptions

LIMIT = 1000


class FakeResponse:
    """Response whose body tests deliver."""

    length = client.UNKNOWN_LENGTH

    def __init__(self) -> None:
        self.transport = StringTransport()
        self.body = types.SimpleNamespace()

    def deliverBody(self, body) -> None:
        body.makeConnection(self.transport)
        self.body = body

    def end(self, reason: type[Exception]) -> None:
        """End the body with the given reason."""
        self.body.connectionLost(failure.Failure(reason()))


def read(response: FakeResponse) -> defer.Deferred:
    """Read the body of a response."""
    return defer.Deferred.fromCoroutine(
        http_client.read_bounded(response, LIMIT)
    )


@pytest.mark.parametrize(
    'reason', [client.ResponseDone, client.PotentialDataLoss]
)
def test_complete_body_is_returned(reason):
    """Guards against a limit that is too low by one."""
    response = FakeResponse()
    found = read(response)
    response.body.dataReceived(b'x' * (LIMIT - 1))
    response.body.dataReceived(b'y')
    response.end(reason)
    assert found.result == b'x' * (LIMIT - 1) + b'y'


def test_endless_body_closes_the_connection():
    """Guards against bytes that are read until a timeout ends the wait."""
    response = FakeResponse()
    found = read(response)
    for _ in range(2):
        response.body.dataReceived(b'x' * LIMIT)
    assert response.transport.disconnecting
    with pytest.raises(exceptions.CodecError):
        found.result.raiseException()
    found.addErrback(lambda _: None)
    response.end(ConnectionError)


def test_body_that_breaks_off_is_an_error():
    """Guards against a part of a body that looks complete."""
    response = FakeResponse()
    found = read(response)
    response.body.dataReceived(b'x')
    response.end(ConnectionError)
    with pytest.raises(ConnectionError):
        found.result.raiseException()
    found.addErrback(lambda _: None)


def test_cancelled_read_closes_the_connection():
    """Guards against a body that goes on after its reader has left."""
    response = FakeResponse()
    found = read(response)
    found.addErrback(lambda _: None)
    found.cancel()
    assert response.transport.disconnecting

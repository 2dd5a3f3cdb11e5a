"""Encodes requests about a target itself, and decodes its report."""

import msgspec

from walnutport import exceptions
from walnutport.http1 import messages
from walnutport import json_input
from walnutport.platform import wire

__all__ = [
    'decode_report',
    'encode_probe',
    'encode_report_request',
    'is_of_another_target',
    'is_of_intermediary',
    'is_refusal',
]

# No target has this id, so that each refuses the request without running it
# (421), whatever else it limits.
_NO_TARGET = b'-'
MAX_REPORT_BYTES = 1 << 20
# A target that does not run a request says so with each of its 503 responses.
_DOWN_STATUSES = (502, 503, 504)


class _Report(msgspec.Struct):
    """What an engine reports of itself, as far as it is used.

    :param born: start of its process in Unix milliseconds, None if it does
        not tell it.
    """

    born: int | None = None


_REPORT_DECODER = json_input.Decoder(_Report, MAX_REPORT_BYTES)


def encode_probe(address: tuple[str, int]) -> bytes:
    """Return a request that every target refuses at once."""
    return messages.encode_request(
        b'GET',
        b'/',
        [
            (b'host', b'%s:%d' % (address[0].encode(), address[1])),
            (wire.EXPECT_INSTANCE, _NO_TARGET),
        ],
        b'',
    )


def is_refusal(response: messages.Response) -> bool:
    """Return whether a target itself has refused a request about itself.

    An intermediary answers with other statuses for a target that is down.
    """
    return (
        is_of_another_target(response)
        or response.head.header(wire.NOT_EXECUTED) is not None
    )


def is_of_intermediary(response: messages.Response) -> bool:
    """Return whether an intermediary has answered that a target is down."""
    return response.status in _DOWN_STATUSES and not is_refusal(response)


def encode_report_request(address: tuple[str, int], target_id: str) -> bytes:
    """Return the request for what an engine reports of itself.

    Another target at the address refuses it.
    """
    return messages.encode_request(
        b'GET',
        wire.REPORT_PATH,
        [
            (b'host', b'%s:%d' % (address[0].encode(), address[1])),
            (wire.EXPECT_INSTANCE, target_id.encode()),
        ],
        b'',
    )


def is_of_another_target(response: messages.Response) -> bool:
    """Return whether a target has refused a request that names another."""
    return response.status == 421


def decode_report(response: messages.Response) -> int | None:
    """Return the incarnation of the engine that has sent a report.

    :returns: None if it does not publish its start.
    :raises WireError: if the response is no report.
    """
    if response.status != 200:
        raise exceptions.WireError(f'status {response.status}')
    return _REPORT_DECODER.decode(response.body).born or None

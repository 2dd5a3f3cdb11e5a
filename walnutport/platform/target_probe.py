"""Encodes requests that only find out whether a target answers."""

from walnutport.http1 import messages
from walnutport.platform import wire

__all__ = ['encode_probe']

# No target has this id, so that each refuses the request without running it
# (421), whatever else it limits.
_NO_TARGET = b'-'


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

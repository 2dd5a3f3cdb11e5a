"""Records of the ``claims`` stream and their encoding.

One log record holds a batch of claims and releases of one host, in the order
in which the host issued them.
"""

import msgspec

from walnutport import exceptions

__all__ = [
    'CLAIMS_STREAM',
    'Batch',
    'Claim',
    'Item',
    'Owner',
    'Release',
    'decode_batch',
    'encode_batch',
]

CLAIMS_STREAM = 'claims'


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """A host process; each restart has another incarnation."""

    host_id: str
    incarnation: int


class Claim(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """Claim of the only run of an identity.

    :param identity: digest of member, entry and key.
    :param body_digest: digest of the request body.
    :param issued_s: issue time of the key in Unix seconds.
    """

    claim_id: str
    identity: bytes
    body_digest: bytes
    issued_s: int


class Release(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """Release of a claim by its owner, which sent no byte to a target."""

    claim_id: str
    identity: bytes


Item = Claim | Release


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Claims and releases of one host process."""

    owner: Owner
    items: tuple[Item, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Batch)


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch for the log."""
    return _ENCODER.encode(batch)


def decode_batch(payload: bytes) -> Batch:
    """Decode a batch from the log.

    :raises CodecError: if the payload is not a batch.
    """
    try:
        return _DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.CodecError(
            f'malformed claims record: {error}'
        ) from None

"""Digests of the growing prefixes of a prompt.

Hosts and engines compute them alike, so that an engine can report in its cache
events which prefixes it has cached (see ``docs/parts/affinity.md``).
"""

import hashlib

import msgspec

__all__ = ['BLOCK_BYTES', 'DIGEST_BYTES', 'MAX_BLOCKS', 'prefix_digests']

BLOCK_BYTES = 512
MAX_BLOCKS = 8
# A collision costs only a cache miss, and short digests keep events small.
DIGEST_BYTES = 4
# Decoding time is proportional to the input: about 10 us for this size.
_MAX_INPUT_BYTES = 65_536


class _Input(msgspec.Struct):
    prompt: str = ''


_DECODER = msgspec.json.Decoder(_Input)


def prefix_digests(model: str, input_json: bytes) -> tuple[bytes, ...]:
    """Return digests of the growing prefixes of the field ``prompt``.

    Each prefix is a whole number of blocks of ``BLOCK_BYTES``; at most
    ``MAX_BLOCKS`` are digested, which bounds the time.

    :param model: name of the model, which all digests depend on.
    :param input_json: JSON text of the stage's input; one without a prompt,
        or larger than the limit, has no prefixes.
    :returns: the digests, shortest prefix first.

    >>> text = b'{"prompt":"' + b'x' * 1200 + b'"}'
    >>> len(prefix_digests('small', text))
    2
    """
    if len(input_json) > _MAX_INPUT_BYTES:
        return ()
    try:
        prompt = _DECODER.decode(input_json).prompt
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return ()
    # A character takes at least one byte, so this many reach the limit.
    text = prompt[: BLOCK_BYTES * MAX_BLOCKS].encode('utf-8', 'replace')
    blocks = min(MAX_BLOCKS, len(text) // BLOCK_BYTES)
    hasher = hashlib.blake2b(
        model.encode('utf-8', 'replace') + b'\0', digest_size=DIGEST_BYTES
    )
    digests = []
    for start in range(0, blocks * BLOCK_BYTES, BLOCK_BYTES):
        hasher.update(text[start : start + BLOCK_BYTES])
        digests.append(hasher.digest())
    return tuple(digests)

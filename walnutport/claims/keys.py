"""Idempotency keys that carry their issue time.

A key is ``<unix seconds>-<opaque>``. The issue time lets a host recognise
a key that is older than every claim record it can still have, without having
its record.
"""

import dataclasses
import hashlib
import re

from expression import Error
from expression import Ok
from expression import Result

from walnutport.lifecycle import answers

__all__ = ['KeyValidator', 'identity_digest', 'parse_key']

_KEY = re.compile(r'(\d{1,12})-([\x21-\x7e]{1,100})', re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValidator:
    """How long keys are accepted.

    :param memory_s: age up to which a key is accepted.
    :param skew_s: largest difference of a clock from the log's clock.
    """

    memory_s: float
    skew_s: float

    def validate(self, key: str, wall: float) -> Result[int, answers.Reason]:
        """Return the issue time of a key in Unix seconds, or why not.

        :param wall: Unix time of this host in seconds.

        >>> KeyValidator(600.0, 30.0).check('1000-a', 1700.0).error.value
        'key_expired'
        """
        issued = parse_key(key)
        if issued is None or issued > wall + self.skew_s:
            return Error(answers.Reason.KEY_INVALID)
        if issued < wall - self.memory_s:
            return Error(answers.Reason.KEY_EXPIRED)
        return Ok(issued)


def parse_key(key: str) -> int | None:
    """Return the issue time in Unix seconds, or None if malformed.

    >>> parse_key('1700000000-4f2a')
    1700000000
    """
    match = _KEY.fullmatch(key)
    return int(match.group(1)) if match else None


def identity_digest(member_id: str, entry_id: str, key: str) -> bytes:
    """Return the digest that stands for an identity in the log."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (member_id, entry_id, key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big') + encoded)
    return digest.digest()

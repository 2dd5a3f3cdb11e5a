"""Idempotency keys that contain their issue time.

A key is ``<unix seconds>-<opaque>``. The issue time lets a host refuse a key
that is older than every claim record it still has, without the record of that
key.
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
    """Validates the format and age of keys.

    :param memory_s: greatest age in seconds at which a key is accepted.
    :param skew_s: largest difference of a clock from the log's clock.
    """

    memory_s: float
    skew_s: float

    def validate(self, key: str, wall: float) -> Result[int, answers.Reason]:
        """Return the issue time of a key, or the reason to refuse it.

        :param wall: Unix time of this host in seconds.
        :returns: issue time in Unix seconds.

        >>> KeyValidator(600.0, 30.0).validate('1000-a', 1700.0).error.value
        'key_expired'
        """
        issued_s = parse_key(key)
        if issued_s is None or issued_s > wall + self.skew_s:
            return Error(answers.Reason.KEY_INVALID)
        if issued_s < wall - self.memory_s:
            return Error(answers.Reason.KEY_EXPIRED)
        return Ok(issued_s)


def parse_key(key: str) -> int | None:
    """Return the issue time of a key in Unix seconds, or None if malformed.

    >>> parse_key('1700000000-4f2a')
    1700000000
    """
    match = _KEY.fullmatch(key)
    return int(match.group(1)) if match else None


def identity_digest(member_id: str, entry_id: str, key: str) -> bytes:
    """Return the digest that represents an identity in the log.

    Each part is prefixed with its length, so that no two identities are
    concatenated to the same bytes.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (member_id, entry_id, key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big') + encoded)
    return digest.digest()

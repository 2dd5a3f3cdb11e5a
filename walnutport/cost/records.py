"""Records of the log stream ``cost``."""

import dataclasses

import msgspec

from walnutport import exceptions

__all__ = [
    'COST_STREAM',
    'CostBatch',
    'CostKey',
    'CostLine',
    'CostRow',
    'decode_batch',
    'encode_batch',
]

COST_STREAM = 'cost'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CostKey:
    """Key under which costs are recorded."""

    owner: str
    member_id: str
    entry_id: str
    stage: str


@dataclasses.dataclass(frozen=True, slots=True)
class CostLine:
    """Sums for one key.

    :param failed: attempts without a result: failed, lost, cancelled, or
        timed out.
    :param target_us: time of the attempts on targets in microseconds; an
        integer, so that sums do not depend on the order of addition.
    """

    attempts: int = 0
    failed: int = 0
    target_us: int = 0
    tokens: int = 0

    def plus(self, other: 'CostLine') -> 'CostLine':
        """Return the sum of two lines."""
        return CostLine(
            self.attempts + other.attempts,
            self.failed + other.failed,
            self.target_us + other.target_us,
            self.tokens + other.tokens,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CostRow:
    """A key and its sums."""

    key: CostKey
    line: CostLine


@dataclasses.dataclass(frozen=True, slots=True)
class CostBatch:
    """Costs that a host recorded since its previous batch.

    :param sequence: increases with each batch of an incarnation.
    """

    host_id: str
    incarnation: int
    sequence: int
    rows: tuple[CostRow, ...]


def encode_batch(batch: CostBatch) -> bytes:
    """Return the payload of a log record.

    >>> decode_batch(encode_batch(CostBatch('h', 1, 2, ()))).sequence
    2
    """
    return msgspec.json.encode(batch)


def decode_batch(payload: bytes) -> CostBatch:
    """Return the batch in a log record.

    :raises CodecError: if the payload is not a batch.
    """
    try:
        return msgspec.json.decode(payload, type=CostBatch)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.CodecError(f'malformed cost batch: {error}') from None

"""Catalogue entries and the log records that change them."""

import dataclasses
import enum

import msgspec
import pydantic

from walnutport import exceptions
from walnutport import world

__all__ = [
    'CATALOGUE_STREAM',
    'ChangeRecord',
    'Definition',
    'EntryKind',
    'decode_change',
    'encode_change',
    'parse_definition',
]

CATALOGUE_STREAM = 'catalogue'

Definition = (
    world.Contract | world.Member | world.Pipeline | world.ServiceClass
)


class EntryKind(enum.StrEnum):
    """Kind of a catalogue entry."""

    CONTRACT = 'contract'
    MEMBER = 'member'
    PIPELINE = 'pipeline'
    SERVICE_CLASS = 'class'


_TYPE_BY_KIND: dict[EntryKind, type] = {
    EntryKind.CONTRACT: world.Contract,
    EntryKind.MEMBER: world.Member,
    EntryKind.PIPELINE: world.Pipeline,
    EntryKind.SERVICE_CLASS: world.ServiceClass,
}
_ADAPTER_BY_KIND: dict[EntryKind, pydantic.TypeAdapter] = {
    kind: pydantic.TypeAdapter(entry_type)
    for kind, entry_type in _TYPE_BY_KIND.items()
}


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One edit of one entry, conditional on the version that it replaces.

    :param change_id: identifies the edit if the reply to the append is lost.
    :param expected_version: version of the entry that the edit replaces, 0
        for an entry that never existed.
    :param body: JSON text of the definition; empty for a deletion.
    """

    change_id: str
    kind: EntryKind
    name: str
    expected_version: int
    operator: str
    body: str = ''

    @property
    def is_deletion(self) -> bool:
        """Return whether the record deletes the entry."""
        return not self.body


def encode_change(record: ChangeRecord) -> bytes:
    """Encode a change for the log."""
    return msgspec.json.encode(record)


def decode_change(payload: bytes) -> ChangeRecord:
    """Decode a change from the log.

    :raises CodecError: if the payload is not a change record.
    """
    try:
        return msgspec.json.decode(payload, type=ChangeRecord)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.CodecError(
            f'malformed change record: {error}'
        ) from None


def parse_definition(kind: EntryKind, body: str) -> Definition:
    """Parse and validate the definition of an entry.

    :raises CatalogueError: with the JSON path and reason of each error.
    """
    try:
        return _ADAPTER_BY_KIND[kind].validate_json(body, extra='forbid')
    except pydantic.ValidationError as error:
        reasons = '; '.join(
            f'$.{".".join(str(part) for part in item["loc"])}: {item["msg"]}'
            for item in error.errors()
        )
        raise exceptions.CatalogueError(reasons) from None

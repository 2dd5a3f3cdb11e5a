"""Fold of catalogue records into the entries in force.

A record is accepted only if its expected version equals the current version
in log order. The fold is deterministic, so every host accepts the same
records.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from walnutport.catalogue import records
from walnutport import exceptions
from walnutport import world

__all__ = ['CatalogueFold', 'CatalogueView', 'Entry', 'FoldResult']


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Current version of an entry; a deleted entry keeps its version."""

    kind: records.EntryKind
    name: str
    version: int
    change_id: str
    operator: str
    body: str

    @property
    def is_tombstone(self) -> bool:
        """Return whether the entry is deleted."""
        return not self.body


@dataclasses.dataclass(frozen=True, slots=True)
class FoldResult:
    """Result of applying one change.

    :param version: version of the entry after the change was applied.
    """

    change_id: str
    accepted: bool
    version: int
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueView:
    """Definitions in force, by name.

    :param members_by_digest: members by the digests of their tokens.
    """

    contracts_by_id: Mapping[str, world.Contract]
    members_by_id: Mapping[str, world.Member]
    pipelines_by_id: Mapping[str, world.Pipeline]
    classes_by_id: Mapping[str, world.ServiceClass]
    members_by_digest: Mapping[str, world.Member]


class CatalogueFold:
    """State of the catalogue after the records applied so far."""

    def __init__(self) -> None:
        self._entries_by_key: dict[tuple[records.EntryKind, str], Entry] = {}
        self._definitions_by_key: dict[
            tuple[records.EntryKind, str], records.Definition
        ] = {}
        self._view: CatalogueView | None = None

    def apply(self, record: records.ChangeRecord) -> FoldResult:
        """Apply the next record of the log."""
        key = (record.kind, record.name)
        current = self._entries_by_key.get(key)
        version = current.version if current else 0
        if current and current.change_id == record.change_id:
            return FoldResult(record.change_id, True, version, 'repeat')
        if record.expected_version != version:
            return FoldResult(record.change_id, False, version, 'conflict')
        if not record.is_deletion:
            try:
                records.parse_definition(record.kind, record.body)
            except exceptions.CatalogueError as error:
                return FoldResult(record.change_id, False, version, str(error))
        entry = Entry(
            record.kind,
            record.name,
            version + 1,
            record.change_id,
            record.operator,
            record.body,
        )
        self._store(entry)
        return FoldResult(record.change_id, True, entry.version)

    def merge(self, entries: Iterable[Entry]) -> int:
        """Take over every entry that is newer than the current one.

        :returns: the number of entries taken over.
        """
        updated = 0
        for entry in entries:
            current = self._entries_by_key.get((entry.kind, entry.name))
            if current is None or entry.version > current.version:
                self._store(entry)
                updated += 1
        return updated

    def entry(self, kind: records.EntryKind, name: str) -> Entry | None:
        """Return the current version of an entry, or None."""
        return self._entries_by_key.get((kind, name))

    def entries(self) -> tuple[Entry, ...]:
        """Return all entries and tombstones in a stable order."""
        return tuple(
            self._entries_by_key[key] for key in sorted(self._entries_by_key)
        )

    def view(self) -> CatalogueView:
        """Return the definitions in force."""
        if self._view is None:
            self._view = self._build_view()
        return self._view

    def _store(self, entry: Entry) -> None:
        key = (entry.kind, entry.name)
        self._entries_by_key[key] = entry
        if entry.is_tombstone:
            self._definitions_by_key.pop(key, None)
        else:
            self._definitions_by_key[key] = records.parse_definition(
                entry.kind, entry.body
            )
        self._view = None

    def _build_view(self) -> CatalogueView:
        by_kind: dict[records.EntryKind, dict] = {
            kind: {} for kind in records.EntryKind
        }
        for (kind, name), definition in self._definitions_by_key.items():
            by_kind[kind][name] = definition
        return CatalogueView(
            by_kind[records.EntryKind.CONTRACT],
            by_kind[records.EntryKind.MEMBER],
            by_kind[records.EntryKind.PIPELINE],
            by_kind[records.EntryKind.SERVICE_CLASS],
            {
                digest: member
                for member in by_kind[records.EntryKind.MEMBER].values()
                for digest in member.token_digests
            },
        )

"""Edits the catalogue through the log.

An edit is reported as accepted or refused only after its record was read
back, as only the order of the log decides. An append whose answer was lost
is settled in the same way, by the change id.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

from expression import Error
from expression import Ok
from expression import Result

from walnutport.catalogue import fold
from walnutport.catalogue import follower
from walnutport.catalogue import records
from walnutport import exceptions
from walnutport import interfaces
from walnutport import world

__all__ = ['CatalogueEditor', 'EditEnd', 'EditStatus', 'check_definition']

_MAX_RESULTS = 4_096
_POLL_S = 0.5


class EditStatus(enum.StrEnum):
    """What became of an edit."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True)
class EditEnd:
    """End of an edit.

    :param version: version of the entry after the edit; after a conflict,
        the version that the edit met.
    """

    status: EditStatus
    change_id: str
    version: int
    reason: str = ''


class CatalogueEditor:
    """Reads the catalogue and edits it.

    :param timeout_s: longest time in seconds to wait for the read-back.
    :param sleep: waits for a time in seconds.
    """

    def __init__(
        self,
        log: interfaces.LogService,
        clock: interfaces.Clock,
        timeout_s: float,
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self._log = log
        self._sleep = sleep
        self._clock = clock
        self._timeout_s = timeout_s
        self._results_by_change: collections.OrderedDict[
            str, fold.FoldResult
        ] = collections.OrderedDict()
        self.on_result: follower.OnResult = lambda *_: None
        self.follower = follower.CatalogueFollower(
            lambda: None, self._take_result
        )

    async def read(
        self, wait_s: float = 0.0
    ) -> Result[None, exceptions.LogServiceError]:
        """Read the catalogue to its end, or wait for one more page.

        :param wait_s: longest wait for news in seconds.
        """
        while True:
            start = self.follower.start_offset()
            result = await self._log.read(
                {self.follower.stream: start}, wait_s
            )
            if result.is_error():
                return Error(result.error)
            page = result.ok[self.follower.stream]
            self.follower.apply(page, self._clock.monotonic())
            if self.follower.start_offset() >= page.end_offset:
                break
            wait_s = 0.0
        if self.follower.has_gap:
            return Error(
                exceptions.RecordsExpired(
                    'the log holds no usable snapshot', page.first_offset
                )
            )
        return Ok(None)

    async def edit(
        self, change: records.ChangeRecord
    ) -> Result[EditEnd, exceptions.LogServiceError]:
        """Append a change and return what the log order made of it.

        The error is ``LogUnavailable`` if the change has no effect, and
        ``AppendAmbiguous`` if it may still take effect; the same edit with
        the same change id is then safe to repeat.
        """
        read = await self.read()
        if read.is_error():
            return Error(exceptions.LogUnavailable(str(read.error)))
        refusal = self._refuse_early(change)
        if refusal is not None:
            return Ok(refusal)
        appended = await self._log.append(
            records.CATALOGUE_STREAM, records.encode_change(change)
        )
        if appended.is_error() and not isinstance(
            appended.error, exceptions.AppendAmbiguous
        ):
            return Error(appended.error)
        return await self._read_back(change)

    def _refuse_early(self, change: records.ChangeRecord) -> EditEnd | None:
        """Return the end of an edit that needs no record."""
        if change.change_id in self._results_by_change:
            return self._end(change)
        entry = self.follower.fold.entry(change.kind, change.name)
        version = entry.version if entry else 0
        if entry is not None and entry.change_id == change.change_id:
            return EditEnd(EditStatus.ACCEPTED, change.change_id, version)
        if version != change.expected_version:
            return EditEnd(
                EditStatus.CONFLICT, change.change_id, version, 'conflict'
            )
        return None

    async def _read_back(
        self, change: records.ChangeRecord
    ) -> Result[EditEnd, exceptions.LogServiceError]:
        deadline = self._clock.monotonic() + self._timeout_s
        while change.change_id not in self._results_by_change:
            wait_s = min(_POLL_S, deadline - self._clock.monotonic())
            if wait_s <= 0:
                return Error(
                    exceptions.AppendAmbiguous(
                        f'change {change.change_id} was not read back'
                    )
                )
            read = await self.read(wait_s)
            if read.is_error():
                await self._sleep(wait_s)
        return Ok(self._end(change))

    def _end(self, change: records.ChangeRecord) -> EditEnd:
        result = self._results_by_change[change.change_id]
        if result.accepted:
            status = EditStatus.ACCEPTED
        elif result.reason == 'conflict':
            status = EditStatus.CONFLICT
        else:
            status = EditStatus.INVALID
        return EditEnd(status, result.change_id, result.version, result.reason)

    def _take_result(
        self,
        record: interfaces.LogRecord,
        change: records.ChangeRecord,
        result: fold.FoldResult,
    ) -> None:
        # A repeat of a change must not replace what became of the first.
        self._results_by_change.setdefault(change.change_id, result)
        if len(self._results_by_change) > _MAX_RESULTS:
            self._results_by_change.popitem(last=False)
        self.on_result(record, change, result)


def check_definition(kind: records.EntryKind, name: str, body: str) -> None:
    """Check a definition and that it bears the name of its entry.

    :raises CatalogueError: with the JSON path and reason of each error.
    """
    definition = records.parse_definition(kind, body)
    if isinstance(definition, world.Contract):
        field, found = 'entry_id', definition.entry_id
    elif isinstance(definition, world.Member):
        field, found = 'member_id', definition.member_id
    elif isinstance(definition, world.Pipeline):
        field, found = 'pipeline_id', definition.pipeline_id
    else:
        field, found = 'class_id', definition.class_id
    if found != name:
        raise exceptions.CatalogueError(
            f'$.{field}: {found!r} is not {name!r}'
        )

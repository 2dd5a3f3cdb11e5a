"""Edits the catalogue through the log.

An edit is reported as accepted or rejected only after its record was read
back, because the order of the log decides. An append whose reply was lost is
resolved in the same way, by its change id.
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

__all__ = ['CatalogueEditor', 'EditResult', 'EditStatus', 'check_definition']

_MAX_RESULTS = 4_096
_MAX_POLL_S = 0.5


class EditStatus(enum.StrEnum):
    """Outcome of an edit."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True)
class EditResult:
    """Result of an edit.

    :param version: version of the entry after the edit; after a conflict,
        the version that the edit conflicted with.
    """

    status: EditStatus
    change_id: str
    version: int
    reason: str = ''


class CatalogueEditor:
    """Reads the catalogue and edits it.

    :param timeout_s: longest wait in seconds for a record to be read back.
    :param sleep: waits for the given number of seconds.
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
            lambda: None, self._record_result
        )

    async def read(
        self, wait_s: float = 0.0
    ) -> Result[None, exceptions.LogServiceError]:
        """Read the catalogue to its end, or wait for one more page.

        :param wait_s: longest wait in seconds for new records.
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
    ) -> Result[EditResult, exceptions.LogServiceError]:
        """Append a change and return its result in log order.

        The error is ``LogUnavailable`` if the change has no effect, and
        ``AppendAmbiguous`` if it may still take effect; it is then safe to
        repeat the edit with the same change id.
        """
        read = await self.read()
        if read.is_error():
            return Error(exceptions.LogUnavailable(str(read.error)))
        known_result = self._result_without_append(change)
        if known_result is not None:
            return Ok(known_result)
        appended = await self._log.append(
            records.CATALOGUE_STREAM, records.encode_change(change)
        )
        if appended.is_error() and not isinstance(
            appended.error, exceptions.AppendAmbiguous
        ):
            return Error(appended.error)
        return await self._read_back(change)

    def _result_without_append(
        self, change: records.ChangeRecord
    ) -> EditResult | None:
        """Return the result of an edit that needs no new record, or None."""
        if change.change_id in self._results_by_change:
            return self._edit_result(change)
        entry = self.follower.fold.entry(change.kind, change.name)
        version = entry.version if entry else 0
        if entry is not None and entry.change_id == change.change_id:
            return EditResult(EditStatus.ACCEPTED, change.change_id, version)
        if version != change.expected_version:
            return EditResult(
                EditStatus.CONFLICT, change.change_id, version, 'conflict'
            )
        return None

    async def _read_back(
        self, change: records.ChangeRecord
    ) -> Result[EditResult, exceptions.LogServiceError]:
        deadline = self._clock.monotonic() + self._timeout_s
        while change.change_id not in self._results_by_change:
            wait_s = min(_MAX_POLL_S, deadline - self._clock.monotonic())
            if wait_s <= 0:
                return Error(
                    exceptions.AppendAmbiguous(
                        f'change {change.change_id} was not read back'
                    )
                )
            read = await self.read(wait_s)
            if read.is_error():
                await self._sleep(wait_s)
        return Ok(self._edit_result(change))

    def _edit_result(self, change: records.ChangeRecord) -> EditResult:
        result = self._results_by_change[change.change_id]
        if result.accepted:
            status = EditStatus.ACCEPTED
        elif result.reason == 'conflict':
            status = EditStatus.CONFLICT
        else:
            status = EditStatus.INVALID
        return EditResult(
            status, result.change_id, result.version, result.reason
        )

    def _record_result(
        self,
        record: interfaces.LogRecord,
        change: records.ChangeRecord,
        result: fold.FoldResult,
    ) -> None:
        # A repeated record must not replace the result of the first one.
        self._results_by_change.setdefault(change.change_id, result)
        if len(self._results_by_change) > _MAX_RESULTS:
            self._results_by_change.popitem(last=False)
        self.on_result(record, change, result)


def check_definition(kind: records.EntryKind, name: str, body: str) -> None:
    """Check a definition, and that its id is the name of its entry.

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
            f'$.{field}: {found!r} is not the entry name {name!r}'
        )

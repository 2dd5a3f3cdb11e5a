"""Client of the log service over HTTP."""

from collections.abc import Mapping
import dataclasses
from typing import Annotated

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer

from walnutport.adapters import http_client
from walnutport import exceptions
from walnutport import interfaces

__all__ = ['HttpLogService']

_MAX_PAGE_RECORDS = 2_000


# A larger number overflows where a time is turned into seconds.
_Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


@dataclasses.dataclass(frozen=True, slots=True)
class _AppendReply:
    offset: _Number


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    records: list[tuple[_Number, _Number, bytes]]
    first: _Number
    next: _Number
    end: _Number
    expired: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadReply:
    streams: dict[str, _Page]


class HttpLogService:
    """Log service behind its HTTP interface (see docs/interfaces.md)."""

    def __init__(self, client: http_client.TimeoutClient) -> None:
        self._client = client

    def append(
        self, stream: str, payload: bytes
    ) -> defer.Deferred[Result[int, exceptions.LogServiceError]]:
        """Append one record; see ``interfaces.LogService``."""
        return defer.Deferred.fromCoroutine(self._append(stream, payload))

    def read(
        self, offsets: Mapping[str, int], wait_s: float
    ) -> defer.Deferred[
        Result[Mapping[str, interfaces.StreamPage], exceptions.LogServiceError]
    ]:
        """Read streams; see ``interfaces.LogService``."""
        return defer.Deferred.fromCoroutine(self._read(offsets, wait_s))

    async def _append(
        self, stream: str, payload: bytes
    ) -> Result[int, exceptions.LogServiceError]:
        sent = False

        def on_sent() -> None:
            nonlocal sent
            sent = True

        path = f'/streams/{stream}/records'
        try:
            reply = await self._client.call(
                'POST', path, payload, on_sent=on_sent
            )
        except Exception as error:  # noqa: BLE001 - library errors vary
            if sent:
                return Error(exceptions.AppendAmbiguous(repr(error)))
            return Error(exceptions.LogUnavailable(repr(error)))
        if reply.status == 503:
            return Error(exceptions.LogUnavailable('status 503'))
        if reply.status != 201:
            return Error(exceptions.AppendAmbiguous(f'status {reply.status}'))
        try:
            return Ok(
                msgspec.json.decode(reply.body, type=_AppendReply).offset
            )
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return Error(exceptions.AppendAmbiguous(str(error)))

    async def _read(
        self, offsets: Mapping[str, int], wait_s: float
    ) -> Result[
        Mapping[str, interfaces.StreamPage], exceptions.LogServiceError
    ]:
        body = msgspec.json.encode(
            {
                'offsets': dict(offsets),
                'wait_ms': int(wait_s * 1000),
                'max': _MAX_PAGE_RECORDS,
            }
        )
        try:
            reply = await self._client.call(
                'POST', '/read', body, wait_s=wait_s
            )
        except Exception as error:  # noqa: BLE001 - library errors vary
            return Error(exceptions.LogUnavailable(repr(error)))
        if reply.status != 200:
            return Error(exceptions.LogUnavailable(f'status {reply.status}'))
        try:
            decoded = msgspec.json.decode(reply.body, type=_ReadReply)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return Error(exceptions.LogUnavailable(f'bad answer: {error}'))
        return Ok(
            {name: _to_page(page) for name, page in decoded.streams.items()}
        )


def _to_page(page: _Page) -> interfaces.StreamPage:
    return interfaces.StreamPage(
        records=tuple(
            interfaces.LogRecord(offset, time_ms, payload)
            for offset, time_ms, payload in page.records
        ),
        first_offset=page.first,
        next_offset=page.next,
        end_offset=page.end,
        expired=page.expired,
    )

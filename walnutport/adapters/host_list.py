"""Client of the platform's list of hosts and targets over HTTP."""

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
from walnutport import world

__all__ = ['HttpHostList', 'decode_list']


_Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


@dataclasses.dataclass(frozen=True, slots=True)
class _ListedHost:
    host_id: str
    data_centre: str
    ip: str
    peer_port: _Port
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _ListedTarget:
    target_id: str
    service: str
    data_centre: str
    ip: str
    port: _Port
    slots: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    state: world.TargetState = world.TargetState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class _List:
    hosts: list[_ListedHost]
    targets: list[_ListedTarget]


class HttpHostList:
    """Host list behind its HTTP interface (see docs/interfaces.md).

    A list that has not changed since the last read is answered with status
    304 and no body, and the same page object is returned again.
    """

    def __init__(self, client: http_client.TimeoutClient) -> None:
        self._client = client
        self._etag = ''
        self._page = interfaces.HostListPage({}, {})

    def read(
        self,
    ) -> defer.Deferred[
        Result[interfaces.HostListPage, exceptions.HostListError]
    ]:
        """Read the list; see ``interfaces.HostList``."""
        return defer.Deferred.fromCoroutine(self._read())

    async def _read(
        self,
    ) -> Result[interfaces.HostListPage, exceptions.HostListError]:
        headers = {'if-none-match': self._etag} if self._etag else {}
        try:
            reply = await self._client.call('GET', '/list', headers=headers)
        except Exception as error:  # noqa: BLE001 - library errors vary
            return Error(exceptions.HostListError(repr(error)))
        if reply.status == 304 and self._etag:
            return Ok(self._page)
        if reply.status != 200:
            return Error(exceptions.HostListError(f'status {reply.status}'))
        try:
            self._page = decode_list(reply.body)
        except exceptions.CodecError as error:
            return Error(exceptions.HostListError(str(error)))
        self._etag = reply.headers.get('etag', '')
        return Ok(self._page)


def decode_list(body: bytes) -> interfaces.HostListPage:
    """Decode the answer of the host list.

    :raises CodecError: if the body is not a host list.
    """
    try:
        listed = msgspec.json.decode(body, type=_List)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.CodecError(f'host list: {error}') from None
    hosts = {
        item.host_id: world.Host(
            item.host_id,
            item.data_centre,
            world.Address(item.ip, item.peer_port),
            leaving=item.leaving,
        )
        for item in listed.hosts
    }
    targets = {
        item.target_id: world.Target(
            item.target_id,
            item.service,
            item.data_centre,
            world.Address(item.ip, item.port),
            item.slots,
            item.state,
        )
        for item in listed.targets
    }
    return interfaces.HostListPage(hosts, targets)

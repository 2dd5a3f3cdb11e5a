"""Client of the cache events that engines publish."""

from typing import Literal

import msgspec
from twisted.internet import defer

from walnutport.adapters import http_client
from walnutport import exceptions
from walnutport.routing import affinity
from walnutport import world

__all__ = ['CacheEventClient', 'CachePage']

MAX_PAGE_BYTES = 32_768
_TIMEOUT_S = 0.5


class _Event(msgspec.Struct, frozen=True):
    sequence: int
    kind: Literal['stored', 'evicted']
    digests: tuple[str, ...]


class _Page(msgspec.Struct, frozen=True):
    incarnation: str
    events: tuple[_Event, ...]


class CachePage(msgspec.Struct, frozen=True):
    """Events of one engine.

    :param size: length of the answer's body in bytes.
    """

    incarnation: str
    events: tuple[affinity.CacheEvent, ...]
    body_bytes: int


class CacheEventClient:
    """Reads cache events (see docs/parts/affinity.md)."""

    def __init__(self, client: http_client.HttpClient, reactor) -> None:
        self._client = client
        self._reactor = reactor

    async def read(
        self, target: world.Target, incarnation: str, after: int, most: int
    ) -> CachePage:
        """Return up to ``most`` events after a sequence number.

        :param incarnation: the one that ``after`` counts in; another one of
            the engine answers from its first retained event on.
        :raises TargetError: if there is no valid answer in time.
        """
        reading = defer.Deferred.fromCoroutine(
            self._client.call(
                'GET',
                f'http://{target.address}/v1/cache-events?after={after}'
                f'&incarnation={incarnation}&max={most}',
                max_body_bytes=MAX_PAGE_BYTES,
            )
        )
        reading.addTimeout(_TIMEOUT_S, self._reactor)
        try:
            reply = await reading
        except Exception as error:  # noqa: BLE001 - library errors vary
            raise exceptions.AttemptLost(repr(error)) from error
        if reply.status != 200:
            raise exceptions.TargetRefused('cache events', reply.status)
        return decode_page(target.target_id, reply.body)


def decode_page(target_id: str, body: bytes) -> CachePage:
    """Decode a page.

    :raises AttemptLost: if it is malformed.
    """
    try:
        page = msgspec.json.decode(body, type=_Page)
        # It becomes part of a URL.
        if not page.incarnation.isalnum() or not page.incarnation.isascii():
            raise ValueError(f'incarnation {page.incarnation!r}')
        events = tuple(
            _event(target_id, page.incarnation, event) for event in page.events
        )
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.AttemptLost(f'cache events: {error}') from None
    return CachePage(page.incarnation, events, len(body))


def _event(
    target_id: str, incarnation: str, event: _Event
) -> affinity.CacheEvent:
    digests = tuple(bytes.fromhex(digest) for digest in event.digests)
    stored, evicted = (
        (digests, ()) if event.kind == 'stored' else ((), digests)
    )
    return affinity.CacheEvent(
        target_id, incarnation, event.sequence, stored, evicted
    )

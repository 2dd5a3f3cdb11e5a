"""Client that reads the prefix cache events of engines."""

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
    """Page of cache events of one engine.

    :param body_bytes: size of the response body.
    """

    incarnation: str
    events: tuple[affinity.CacheEvent, ...]
    body_bytes: int


class CacheEventClient:
    """Reads cache events of engines (see docs/parts/affinity.md)."""

    def __init__(self, client: http_client.HttpClient, reactor) -> None:
        self._client = client
        self._reactor = reactor

    async def read(
        self,
        target: world.Target,
        incarnation: str,
        after: int,
        max_events: int,
    ) -> CachePage:
        """Return up to ``max_events`` events after a sequence number.

        :param incarnation: incarnation of the engine that ``after`` belongs
            to; an engine with another one returns events from its first
            retained event on.
        :raises TargetError: if no valid response arrives in time.
        """
        pending = defer.Deferred.fromCoroutine(
            self._client.call(
                'GET',
                f'http://{target.address}/v1/cache-events?after={after}'
                f'&incarnation={incarnation}&max={max_events}',
                max_body_bytes=MAX_PAGE_BYTES,
            )
        )
        pending.addTimeout(_TIMEOUT_S, self._reactor)
        try:
            reply = await pending
        except Exception as error:  # noqa: BLE001 - library errors vary
            raise exceptions.AttemptLost(repr(error)) from error
        if reply.status != 200:
            raise exceptions.TargetRefused('cache events', reply.status)
        return decode_page(target.target_id, reply.body)


def decode_page(target_id: str, body: bytes) -> CachePage:
    """Decode a page of cache events.

    :raises AttemptLost: if it is malformed.
    """
    try:
        page = msgspec.json.decode(body, type=_Page)
        # The incarnation becomes part of the URL of the next read.
        if not page.incarnation.isalnum() or not page.incarnation.isascii():
            raise ValueError(
                f'incarnation {page.incarnation!r} is not alphanumeric ASCII'
            )
        events = tuple(
            _decode_event(target_id, page.incarnation, event)
            for event in page.events
        )
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.AttemptLost(f'cache events: {error}') from None
    return CachePage(page.incarnation, events, len(body))


def _decode_event(
    target_id: str, incarnation: str, event: _Event
) -> affinity.CacheEvent:
    digests = tuple(bytes.fromhex(digest) for digest in event.digests)
    stored, evicted = (
        (digests, ()) if event.kind == 'stored' else ((), digests)
    )
    return affinity.CacheEvent(
        target_id, incarnation, event.sequence, stored, evicted
    )

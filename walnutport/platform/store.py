"""Client of the platform's store."""

import base64
import binascii
from collections.abc import Callable
from collections.abc import Mapping
from urllib import parse

import msgspec

from walnutport import exceptions
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import messages
from walnutport import json_input
from walnutport.platform import record_pages
from walnutport.platform import wire
from walnutport.world import feeds

__all__ = ['PlatformStore']

# Timeout of a call. A healthy store responds within a few milliseconds.
RESPONSE_TIMEOUT_S = 2.0
# The same for a read that the store holds, beyond its wait time. Only this
# limit shows a connection that has fallen silent.
HELD_RESPONSE_TIMEOUT_S = 1.0
MAX_PAGES = 200
MAX_ERA_DIGITS = 15
# A page of the newest records has 1 MB and their keys at most.
MAX_BODY_BYTES = 16 << 20

_TOPIC_BY_FEED = {
    feeds.Feed.DESIRED: wire.OPERATOR_TOPIC,
    feeds.Feed.TARGETS: wire.TARGETS_TOPIC,
    feeds.Feed.HOSTS: wire.HOSTS_TOPIC,
    feeds.Feed.ORIGIN_HISTORY: wire.ORIGIN_HISTORY_TOPIC,
}


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: json_input.Position


class _Newest(msgspec.Struct, rename='camel'):
    items: list[_NewestItem]
    end: json_input.Position
    has_more: bool = False


class _Appended(msgspec.Struct):
    end: json_input.Position


_APPENDED_DECODER = json_input.Decoder(_Appended, MAX_BODY_BYTES)
_NEWEST_DECODER = json_input.Decoder(_Newest, MAX_BODY_BYTES)


class PlatformStore:
    """Reads and appends keyed records; see ``feeds.FeedStore``.

    :param on_era_problem: called with a description when a response names no
        valid era.
    :param max_kept_bytes: bytes of unfinished responses to keep, at least
        those of one response.
    """

    def __init__(
        self,
        reactor,
        address: client_channel.Address,
        on_era_problem: Callable[[str], None],
        max_kept_bytes: int = channel_pool.MAX_KEPT_BYTES,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._on_era_problem = on_era_problem
        self._pool = channel_pool.ChannelPool(
            reactor,
            max_idle=2,
            max_kept_bytes=max(max_kept_bytes, MAX_BODY_BYTES),
        )
        self.call_count = 0
        self._era = 0

    @property
    def era(self) -> int:
        """Latest era that the store has named; 0 before the first."""
        return self._era

    @property
    def oversized_count(self) -> int:
        """Responses of the store that were cut off."""
        return self._pool.oversized_count

    async def read_newest(self, feed: feeds.Feed) -> feeds.FeedPage:
        """Return the newest record of every key of a feed."""
        records: list[feeds.FeedRecord] = []
        end: int | None = None
        after = ''
        era = self._era
        for number in range(MAX_PAGES):
            query = {'topic': _TOPIC_BY_FEED[feed], 'part': '0'}
            if after:
                query['after'] = after
            response = await self.call(b'GET', wire.LOG_NEWEST_PATH, query)
            if number == 0:
                era = self._era
            elif self._era != era:
                raise exceptions.LogUnavailable(
                    'the store returned from an older copy between two pages'
                )
            if response.status == 404:
                return feeds.FeedPage((), 0, era)
            page = self._decode_newest(response)
            # The pages are not a consistent snapshot. Reading on from the
            # end of the first page repeats what changed meanwhile.
            end = page.end if end is None else end
            for item in page.items:
                records.append(_decode_newest_item(item))
            if not page.has_more or not page.items:
                return feeds.FeedPage(tuple(records), end, era)
            after = page.items[-1].key
        raise exceptions.LogUnavailable(
            'newest records exceed the maximum number of pages'
        )

    async def read(
        self, feed: feeds.Feed, offset: int, wait_s: float
    ) -> feeds.FeedPage:
        """Return the records from an offset on.

        :param wait_s: longest time that the store waits for a record.
        """
        query = {
            'topic': _TOPIC_BY_FEED[feed],
            'part': '0',
            'from': str(offset),
            'waitMs': str(int(wait_s * 1000)),
        }
        response = await self.call(
            b'GET',
            wire.LOG_READ_PATH,
            query,
            wait_s + HELD_RESPONSE_TIMEOUT_S if wait_s else RESPONSE_TIMEOUT_S,
        )
        if response.status == 410:
            raise exceptions.RecordsExpired(
                'records at the requested offset have expired', offset
            )
        if response.status == 404:
            return feeds.FeedPage((), offset, self._era)
        if response.status != 200:
            raise exceptions.LogUnavailable(
                f'read returned status {response.status}'
            )
        return _decode_records(response.body, offset, self._era)

    async def publish(self, feed: feeds.Feed, key: str, value: bytes) -> None:
        """Append a keyed record."""
        response = await self.call(
            b'POST',
            wire.LOG_APPEND_PATH,
            {'topic': _TOPIC_BY_FEED[feed], 'part': '0'},
            body=record_pages.encode_records((_encode_keyed(key, value),)),
        )
        if response.status != 200:
            raise exceptions.LogUnavailable(
                f'append returned status {response.status}'
            )

    async def publish_all(
        self, feed: feeds.Feed, value_by_key: Mapping[str, bytes], end: int
    ) -> int:
        """Append keyed records in one call, if a feed ends at an offset."""
        response = await self.call(
            b'POST',
            wire.LOG_APPEND_PATH,
            {'topic': _TOPIC_BY_FEED[feed], 'part': '0', 'at': str(end)},
            body=record_pages.encode_records(
                [
                    _encode_keyed(key, value)
                    for key, value in value_by_key.items()
                ]
            ),
        )
        if response.status == 412:
            raise exceptions.AppendConflict(f'feed does not end at {end}')
        if response.status != 200:
            raise exceptions.LogUnavailable(
                f'append returned status {response.status}'
            )
        try:
            return _APPENDED_DECODER.decode(response.body).end
        except exceptions.WireError as problem:
            raise exceptions.AppendAmbiguous(
                f'cannot decode the response to an append: {problem}'
            ) from problem

    async def call(
        self,
        method: bytes,
        path: str,
        query: dict[str, str],
        timeout_s: float = RESPONSE_TIMEOUT_S,
        body: bytes = b'',
    ) -> messages.Response:
        """Send a request to the store and return the response.

        :raises LogUnavailable: if no response of the latest era arrives.
        """
        self.call_count += 1
        host, port = self._address
        request = messages.encode_request(
            method,
            f'{path}?{parse.urlencode(query)}'.encode(),
            [(b'host', f'{host}:{port}'.encode())],
            body,
        )
        try:
            response = await channel_pool.fetch(
                self._reactor, self._pool, self._address, request, timeout_s
            )
        except exceptions.ChannelError as problem:
            raise exceptions.LogUnavailable(str(problem)) from problem
        self._check_era(response.head)
        return response

    def _check_era(self, head: messages.ResponseHead) -> None:
        """Adopt the era of a response.

        :raises LogUnavailable: if the response is from an earlier era, so that
            its offsets are not valid any more.
        """
        value = head.header(wire.STORE_ERA)
        if value is None:
            if self._era:
                self._on_era_problem('response without an era')
            return
        if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            self._on_era_problem(f'invalid era {value[:MAX_ERA_DIGITS]!r}')
            return
        era = int(value)
        if era < self._era:
            problem = f'response of era {era} after era {self._era}'
            self._on_era_problem(problem)
            raise exceptions.LogUnavailable(problem)
        self._era = era

    def _decode_newest(self, response: messages.Response) -> _Newest:
        if response.status != 200:
            raise exceptions.LogUnavailable(
                f'read of newest records returned status {response.status}'
            )
        try:
            return _NEWEST_DECODER.decode(response.body)
        except exceptions.WireError:
            # Not all keys need be text.
            text = json_input.replace_invalid_text(response.body)
        try:
            return _NEWEST_DECODER.decode(text)
        except exceptions.WireError as problem:
            raise exceptions.LogUnavailable(
                f'cannot decode the newest records: {problem}'
            ) from problem


def _encode_keyed(key: str, value: bytes) -> bytes:
    key_bytes = key.encode()
    return bytes((len(key_bytes),)) + key_bytes + value


def _decode_newest_item(item: _NewestItem) -> feeds.FeedRecord:
    try:
        value = base64.b64decode(item.value)
    except (binascii.Error, ValueError):
        # The raw value is returned: the decoder of the feed rejects and logs
        # it.
        value = item.value.encode()
    return feeds.FeedRecord(item.key, value or None, item.offset)


def _decode_records(data: bytes, offset: int, era: int = 0) -> feeds.FeedPage:
    """Decode the binary response to a read."""
    records = []
    page = record_pages.decode_page(data)
    for content in page.contents:
        record = _decode_record(content, offset)
        if record is not None:
            records.append(record)
        offset += 1
    return feeds.FeedPage(tuple(records), offset, era, feed_end=page.end)


def _decode_record(content: bytes, offset: int) -> feeds.FeedRecord | None:
    if not content:
        return None
    key_length = content[0]
    key = content[1 : 1 + key_length]
    if len(key) < key_length:
        return None
    value = content[1 + key_length :]
    return feeds.FeedRecord(
        key.decode('utf-8', 'replace'), value or None, offset
    )

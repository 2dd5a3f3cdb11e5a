"""Blocking read of the log stream ``cost`` for the command line."""

import msgspec

from walnutport.cli import fetch
from walnutport.cost import records
from walnutport.cost import totals
from walnutport import interfaces

__all__ = ['read_totals']

_MAX_RECORDS = 2_000


class _Page(msgspec.Struct, frozen=True):
    records: list[tuple[int, int, bytes]]
    first: int
    next: int
    end: int
    expired: bool = False


class _ReadReply(msgspec.Struct, frozen=True):
    streams: dict[str, _Page]


def read_totals(address: str) -> totals.CostTotals:
    """Read the stream from its oldest retained record to its end.

    :param address: ``ip:port`` of the log service.
    :returns: the totals; ``lost_records`` counts expired records.
    :raises FetchError: if the log service does not answer.
    """
    found = totals.CostTotals()
    while not found.synced:
        body = {
            'offsets': {found.stream: found.start_offset()},
            'wait_ms': 0,
            'max': _MAX_RECORDS,
        }
        reply = fetch.fetch_json(address, '/v1/read', _ReadReply, body)
        page = reply.streams.get(records.COST_STREAM)
        if page is None:
            raise fetch.FetchError(f'{address}: no stream cost in the answer')
        before = found.start_offset()
        found.apply(_stream_page(page), 0.0)
        if found.start_offset() == before and not found.synced:
            raise fetch.FetchError(f'{address}: no progress at {before}')
    return found


def _stream_page(page: _Page) -> interfaces.StreamPage:
    return interfaces.StreamPage(
        tuple(interfaces.LogRecord(*record) for record in page.records),
        page.first,
        page.next,
        page.end,
        page.expired,
    )

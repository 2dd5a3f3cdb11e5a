"""Blocking read of the log stream ``cost`` for the command line."""

import msgspec

from walnutport.cli import fetch
from walnutport.cost import records
from walnutport.cost import totals
from walnutport import interfaces

__all__ = ['read_totals']

_MAX_RECORDS_PER_READ = 2_000


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
    :returns: the totals; ``expired_records`` counts expired records.
    :raises FetchError: if the log service does not answer.
    """
    cost_totals = totals.CostTotals()
    while not cost_totals.synced:
        body = {
            'offsets': {cost_totals.stream: cost_totals.start_offset()},
            'wait_ms': 0,
            'max': _MAX_RECORDS_PER_READ,
        }
        reply = fetch.fetch_json(address, '/v1/read', _ReadReply, body)
        page = reply.streams.get(records.COST_STREAM)
        if page is None:
            raise fetch.FetchError(
                f'{address}: the response has no stream cost'
            )
        previous_offset = cost_totals.start_offset()
        cost_totals.apply(_to_stream_page(page), 0.0)
        if (
            cost_totals.start_offset() == previous_offset
            and not cost_totals.synced
        ):
            raise fetch.FetchError(
                f'{address}: no progress at offset {previous_offset}'
            )
    return cost_totals


def _to_stream_page(page: _Page) -> interfaces.StreamPage:
    return interfaces.StreamPage(
        tuple(interfaces.LogRecord(*record) for record in page.records),
        page.first,
        page.next,
        page.end,
        page.expired,
    )

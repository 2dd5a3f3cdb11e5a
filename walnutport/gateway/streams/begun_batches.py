"""Messages of bounded size about streams that began."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from walnutport.peer import fleet_messages
from walnutport.routing import stream_origins

__all__ = ['split']

# Bound of the ids of one message, some 400 ids of the usual length. Callers
# choose their ids, and links and logs reject what is too large.
MAX_BATCH_BYTES = 16_000


def split(
    ids_by_origin: Mapping[
        tuple[str, stream_origins.StreamOrigin], Iterable[str]
    ],
    writer: str = '',
    is_inferred: bool = False,
) -> Iterator[fleet_messages.StreamsBegun]:
    """Return messages that name the ids of streams.

    :param ids_by_origin: ids by route and origin.
    :param writer: run of the host that writes them to the store, empty for
        this one.
    :param is_inferred: whether the origin was inferred when callers took the
        streams up.
    """
    for (route_name, origin), attempt_ids in ids_by_origin.items():
        for batch in _batches(attempt_ids):
            yield fleet_messages.StreamsBegun(
                route_name,
                origin.service,
                origin.version,
                batch,
                writer,
                is_inferred,
            )


def _batches(attempt_ids: Iterable[str]) -> Iterator[tuple[str, ...]]:
    batch: list[str] = []
    size = 0
    for attempt_id in attempt_ids:
        if batch and size + len(attempt_id) > MAX_BATCH_BYTES:
            yield tuple(batch)
            batch = []
            size = 0
        batch.append(attempt_id)
        size += len(attempt_id)
    if batch:
        yield tuple(batch)

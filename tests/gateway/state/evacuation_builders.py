"""Builders for tests of evacuations."""

import functools

from walnutport.gateway.state import evacuation_feed
from walnutport.platform import documents

DATA_CENTRES = ('a', 'b', 'c')


def make_feed(
    log, mesh, on_change=lambda: None
) -> evacuation_feed.EvacuationFeed:
    """Return a feed of evacuations of three data centres."""
    return evacuation_feed.EvacuationFeed(
        log,
        mesh,
        documents.evacuated_data_centre,
        functools.partial(
            documents.decode_evacuation, data_centres=DATA_CENTRES
        ),
        on_change,
    )

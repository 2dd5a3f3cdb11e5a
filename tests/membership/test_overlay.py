"""Tests of the overlay network that heartbeats use."""

import hypothesis
from hypothesis import strategies as st

from walnutport.membership import overlay

NAMES = st.sets(st.integers(0, 10_000).map(str), min_size=2, max_size=60)


@hypothesis.settings(max_examples=100)
@hypothesis.given(names=NAMES, fanout=st.integers(1, 8))
def test_every_host_has_peers_and_senders(
    names: set[str], fanout: int
) -> None:
    """Guards against a host whose heartbeats reach no other host.

    Also checks the out-degree and that both directions of a link agree.
    """
    links = overlay.Overlay(names, fanout)
    for name in names:
        peers = links.peers_of(name)
        assert len(set(peers)) == min(fanout, len(names) - 1) == len(peers)
        assert name not in peers
        assert links.senders_to(name) == {
            other for other in names if name in links.peers_of(other)
        }
        assert links.senders_to(name)


def test_a_new_host_changes_few_links() -> None:
    """Guards against reconnecting the whole fleet when one host restarts."""
    names = [f'host-{number}' for number in range(200)]
    before, after = (overlay.Overlay(group, 8) for group in (names[1:], names))
    changed = sum(
        len(set(before.peers_of(name)) - set(after.peers_of(name)))
        for name in names[1:]
    )
    assert changed <= 16

"""Tests of reading the desired state from a store that does not answer."""

from tests.gateway.state import test_feed_follower
from tests.gateway.state import test_store_era

# Bounds of the users: a desired state is in force within the first one, for
# hosts without a fault in the second one.
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0


def test_held_read_that_a_returned_store_never_answers(monkeypatch):
    """Guards against a held read that hides the next desired state.

    The read waits at an offset that the copy does not have, so the next
    desired state gets a lower one, and the store does not answer.
    """
    fixture = test_store_era.Fixture(monkeypatch)
    fixture.write_desired(1)
    fixture.store.take_copy()
    for version in (2, 3, 4):
        fixture.write_desired(version)
    fixture.start()
    fixture.store.return_older(answers_held_reads=False)
    fixture.advance(1.0)
    fixture.write_desired(5)
    fixture.advance(CONFIG_APPLY_S)
    assert fixture.follower.desired_version == 5


def test_connections_to_the_store_that_fall_silent(monkeypatch):
    """Guards against hosts that all wait for a response that never comes.

    Connections may fall silent without a reset while new ones work. A host
    that reads the targets for all must notice that soon.
    """
    fixture = test_store_era.Fixture(monkeypatch)
    fixture.write_desired(1)
    fixture.start()
    fixture.store.lose_held_reads()
    fixture.advance(STABLE_WINDOW_S - CONFIG_APPLY_S)
    fixture.write_desired(2)
    fixture.advance(CONFIG_APPLY_S)
    assert fixture.follower.desired_version == 2


def test_host_that_becomes_a_reader_of_targets_reads_the_desired_state(
    monkeypatch,
):
    """Guards against a silent read of a host that others rely on from now on.

    The hosts that read the targets before have stopped.
    """
    fixture = test_store_era.Fixture(monkeypatch)
    readers = {name: test_feed_follower.FakePeer() for name in 'abcdefgh'}
    fixture.mesh.peer_by_name = readers
    fixture.write_desired(1)
    fixture.start()
    fixture.store.lose_held_reads()
    fixture.advance(4.0)
    calls = fixture.store.calls
    fixture.write_desired(2)
    fixture.advance(CONFIG_APPLY_S)
    assert fixture.store.calls == calls, 'another host is a reader'
    fixture.mesh.peer_by_name = {}
    fixture.advance(CONFIG_APPLY_S)
    assert fixture.follower.desired_version == 2

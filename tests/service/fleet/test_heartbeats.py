"""Tests of the heartbeats of a host."""

from walnutport.peer import codec
from walnutport.peer import messages
from walnutport.service.fleet import heartbeats


def test_long_names_do_not_stop_the_heartbeat() -> None:
    """Guards against a host taken for dead as its message was too large."""
    names = ['x' * 900 + str(number) for number in range(500)]
    demands = tuple(
        messages.LimitDemand(name, 1 << 40, 1 << 40) for name in names
    )
    too_long = messages.LimitDemand('y' * 70_000, 1, 1)
    parts = heartbeats._split(
        (too_long, *demands), lambda item: item.limit_key
    )
    assert [item for part in parts for item in part] == list(demands)
    sender = codec.Codec(codec.Keyring('k', {'k': b'k' * 16}))
    words = tuple(messages.LeavingTarget(name, '') for name in names[:25])
    for part in parts:
        message = messages.Heartbeat('d', True, False, 1, True, part, words)
        sender.encode(messages.PeerOrigin('host-1', 1), 1, message)
    assert heartbeats._split((), str) == [()]

"""Tests of splitting a heartbeat into messages."""

from walnutport.peer import codec
from walnutport.peer import messages
from walnutport.service.fleet import heartbeats


def test_heartbeat_parts_fit_into_a_message() -> None:
    """Guards against a host that seems dead as its heartbeat is too large."""
    names = ['x' * 900 + str(number) for number in range(500)]
    demands = tuple(
        messages.LimitDemand(name, 1 << 40, 1 << 40) for name in names
    )
    oversized = messages.LimitDemand('y' * 70_000, 1, 1)
    parts = heartbeats._split(
        (oversized, *demands), lambda item: item.limit_key
    )
    assert [item for part in parts for item in part] == list(demands)
    encoder = codec.Codec(codec.Keyring('k', {'k': b'k' * 16}))
    leaving_targets = tuple(
        messages.LeavingTarget(name, '') for name in names[:25]
    )
    for part in parts:
        message = messages.Heartbeat(
            'd', True, False, 1, True, part, leaving_targets
        )
        encoder.encode(messages.PeerOrigin('host-1', 1), 1, message)
    assert heartbeats._split((), str) == [()]

"""Unit and fuzz tests of the codec of messages between hosts."""

import hypothesis
from hypothesis import strategies as st
import pytest

from walnutport import exceptions
from walnutport.peer import codec
from walnutport.peer import messages

ORIGIN = messages.PeerOrigin('host-1', 1 << 62)
OLD = codec.Keyring('k1', {'k1': b'0123456789abcdef'})
BOTH = codec.Keyring('k2', {'k1': b'0123456789abcdef', 'k2': b'f' * 16})
NEW = codec.Keyring('k2', {'k2': b'f' * 16})

SMALL_INT = st.integers(0, 2**62)
st.register_type_strategy(int, SMALL_INT)
st.register_type_strategy(float, st.floats(allow_nan=False))
MESSAGES = st.one_of(
    *(
        st.from_type(message_type)
        for message_type in messages.PeerMessage.__args__
    )
)


@hypothesis.settings(max_examples=500)
@hypothesis.given(message=MESSAGES, sequence=SMALL_INT)
def test_each_message_round_trips(message, sequence: int) -> None:
    """Guards against a field that is lost or changed by the encoding."""
    frame = codec.Codec(OLD).encode(ORIGIN, sequence, message)
    received = codec.Codec(BOTH).decode(frame)
    assert received == codec.ReceivedMessage(ORIGIN, sequence, message)


def test_hosts_verify_each_other_during_a_key_rotation() -> None:
    """Guards against messages that are rejected while keys are rotated."""
    message = messages.StateRequest('q')
    for sender, receiver in ((OLD, BOTH), (BOTH, BOTH), (BOTH, NEW)):
        frame = codec.Codec(sender).encode(ORIGIN, 1, message)
        assert codec.Codec(receiver).decode(frame).message == message
    with pytest.raises(exceptions.PeerError):
        codec.Codec(NEW).decode(codec.Codec(OLD).encode(ORIGIN, 1, message))


@pytest.mark.parametrize(
    'message',
    [
        messages.StateReply('q', 1, 0, 1, bytes(codec.MAX_FRAME_BYTES)),
        messages.StateRequest('q', 1 << 64),
        messages.StateRequest('\ud800'),
    ],
)
def test_a_message_that_cannot_be_encoded_is_refused(message) -> None:
    """Guards against undocumented exceptions from values without encoding."""
    with pytest.raises(exceptions.PeerError):
        codec.Codec(OLD).encode(ORIGIN, 1, message)


@hypothesis.settings(max_examples=5_000)
@hypothesis.given(data=st.binary(max_size=200))
def test_random_bytes_raise_only_documented_errors(data: bytes) -> None:
    """Guards against undocumented exceptions for untrusted bytes."""
    with pytest.raises((exceptions.PeerError, exceptions.CodecError)):
        codec.Codec(OLD).decode(data)


@hypothesis.settings(max_examples=2_500)
@hypothesis.given(
    message=MESSAGES, flips=st.lists(SMALL_INT, min_size=1, max_size=3)
)
def test_a_changed_frame_is_refused(message, flips: list[int]) -> None:
    """Guards against a modified message that passes verification."""
    frame = codec.Codec(OLD).encode(ORIGIN, 1, message)
    changed = bytearray(frame)
    for flip in flips:
        changed[flip % len(frame)] ^= 1 + flip % 255
    hypothesis.assume(bytes(changed) != frame)
    with pytest.raises((exceptions.PeerError, exceptions.CodecError)):
        codec.Codec(OLD).decode(bytes(changed))


@hypothesis.settings(max_examples=2_500)
@hypothesis.given(kind=st.sampled_from(messages.MessageKind), body=st.binary())
def test_a_signed_body_that_does_not_fit_is_refused(kind, body) -> None:
    """Guards against undocumented exceptions for messages of other versions.

    The frame is signed with a valid key, but its body has another layout.
    """
    payload = codec._encode(messages.Envelope(1, 'host-2', 1, 1, kind, body))
    mac = codec._mac(OLD.keys_by_id['k1'], 1, 'k1', payload)
    frame = codec._ENCODER.encode((1, 'k1', mac, payload))
    try:
        codec.Codec(OLD).decode(frame)
    except exceptions.CodecError:
        pass

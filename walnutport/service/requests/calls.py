"""A validated call and the sink of its stream."""

import dataclasses
import hashlib
import secrets
from typing import Protocol

from walnutport.adapters import engine
from walnutport import world

__all__ = ['Call', 'StreamSink']


class StreamSink(Protocol):
    """Takes the events of a stream towards the caller.

    ``started`` tells whether the head of the answer was sent.
    """

    started: bool

    def start(self) -> None:
        """Send the head of the answer, before the first event."""

    def write(self, data: bytes) -> None:
        """Pass on whole events."""

    def attach(self, source: engine.FlowSource) -> None:
        """Let the caller's transport control the flow of a source."""

    def detach(self, source: engine.FlowSource) -> None:
        """End the control of a source."""

    def finish(self, *, cut: bool) -> None:
        """End the flow control before the final event is written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request of a member that passed validation.

    :param body: JSON text of the input.
    :param deadline: monotonic time in seconds.
    :param key: idempotency key, empty if none was given.
    :param permit_id: permit of a crash suspect, empty if none is held.
    :param priority: weight of the class, passed on to targets.
    :param sink: set if the caller asked for a stream.
    :param run_id: unique here, unlike the request id that a caller chooses.
    """

    request_id: str
    member: world.Member
    contract: world.Contract
    pipeline: world.Pipeline
    class_id: str
    body: bytes
    deadline: float
    key: str = ''
    sink: StreamSink | None = None
    permit_id: str = ''
    priority: float = 1.0
    run_id: str = dataclasses.field(
        default_factory=lambda: secrets.token_hex(8)
    )

    @property
    def streams(self) -> bool:
        """Return whether the last stage streams to the caller."""
        return self.sink is not None and self.pipeline.stages[-1].streams

    def digest(self) -> bytes:
        """Return the digest of member, entry and body."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.member.member_id, self.contract.entry_id):
            digest.update(part.encode() + b'\0')
        digest.update(self.body)
        return digest.digest()

"""Validated calls and the interface of the sinks of their streams."""

import dataclasses
import hashlib
import secrets
from typing import Protocol

from walnutport.adapters import engine_client
from walnutport import world

__all__ = ['Call', 'StreamSink']


class StreamSink(Protocol):
    """Sends the events of a stream to the caller.

    ``started`` tells whether the response head was sent.
    """

    started: bool

    def start(self) -> None:
        """Send the response head, unless it has been sent already."""

    def write(self, data: bytes) -> None:
        """Send whole events."""

    def attach(self, source: engine_client.FlowSource) -> None:
        """Let the caller's transport control the flow of a source."""

    def detach(self, source: engine_client.FlowSource) -> None:
        """Stop controlling the flow of a source."""

    def finish(self, *, abort_if_paused: bool) -> None:
        """End the flow control before the final event is written.

        :param abort_if_paused: whether to abort the connection if the caller
            is not reading.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A member's request that passed validation.

    :param body: JSON text of the input.
    :param deadline: monotonic time in seconds.
    :param key: idempotency key, empty if none was given.
    :param sink: set if the caller asked for a stream.
    :param permit_id: permit of a crash suspect, empty if none is held.
    :param priority: weight of the class, passed on to targets.
    :param run_id: unique on this host, unlike the request id, which the
        caller may choose.
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
        """Return the digest of member, entry and body: the content's id."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.member.member_id, self.contract.entry_id):
            digest.update(part.encode() + b'\0')
        digest.update(self.body)
        return digest.digest()

"""Encodes messages for peers, and leaves out those that cannot be sent."""

from walnutport import exceptions
from walnutport.gateway.operations import decision_log
from walnutport.peer import fleet_messages

__all__ = ['MAX_MESSAGE_BYTES', 'MessageEncoder']

# Receivers close a link on which a longer message begins.
MAX_MESSAGE_BYTES = 4 << 20


class MessageEncoder:
    """Encoder of a host's messages.

    What a message holds may come from other writers, so that one that cannot
    be encoded must neither end a link nor whoever sends it.

    :ivar unsent_count: messages that were left out.
    """

    def __init__(self, log: decision_log.DecisionLog) -> None:
        self._log = log
        self._logged_kinds: set[type] = set()
        self.unsent_count = 0

    def encode(self, message: fleet_messages.FleetMessage) -> bytes | None:
        """Return the bytes of a message, None if it cannot be sent.

        The first message of each kind that cannot be sent is logged.
        """
        try:
            data = fleet_messages.encode(message)
        except exceptions.PeerError as problem:
            self._leave_out(message, str(problem))
            return None
        if len(data) > MAX_MESSAGE_BYTES:
            self._leave_out(
                message,
                f'{len(data)} bytes; expected at most {MAX_MESSAGE_BYTES}',
            )
            return None
        return data

    def _leave_out(
        self, message: fleet_messages.FleetMessage, problem: str
    ) -> None:
        self.unsent_count += 1
        kind = type(message)
        if kind not in self._logged_kinds:
            self._logged_kinds.add(kind)
            self._log.notable(
                'peer_message_unsent', kind=kind.__name__, problem=problem
            )

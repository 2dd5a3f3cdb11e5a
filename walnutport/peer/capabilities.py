"""What hosts of different builds understand of each other's messages.

While hosts are replaced one after the other, hosts of two builds serve side by
side. A host names its capabilities in its record, and gets no message of a
kind that it does not understand: builds from before capabilities close the
link on such a message. A decision that needs all hosts keeps its older form
until every live host names the capability.
"""

from collections.abc import Collection
import enum

__all__ = ['OWN_CAPABILITIES', 'Capability', 'is_supported']


class Capability(enum.StrEnum):
    """Kinds of messages that a host understands.

    The values travel in the records of hosts and never change.
    """

    #: Evacuations of data centres.
    EVACUATIONS = 'evacuations'
    #: Permits to send to targets that are cold.
    SEND_PERMITS = 'send_permits'
    #: Questions whether a host has begun a stream.
    STREAM_CLAIMS = 'stream_claims'
    #: Jobs that the owner of a cell hands over before its host ends.
    STAGE_HANDOVER = 'stage_handover'


#: Capabilities of this build.
OWN_CAPABILITIES = tuple(sorted(Capability))


def is_supported(
    capability: Capability | None, named: Collection[str]
) -> bool:
    """Return whether a host understands a kind of message.

    :param capability: None for messages of the first builds.
    :param named: capabilities that the host names; unknown ones are ignored.
    """
    return capability is None or capability in named

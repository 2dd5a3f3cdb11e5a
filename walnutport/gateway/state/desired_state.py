"""The desired state that is in force on this host."""

from collections.abc import Callable
import time

from walnutport import exceptions
from walnutport.gateway.state import unreadable_records
from walnutport.world import feeds
from walnutport.world import routes

__all__ = ['DesiredState']


class DesiredState:
    """Desired state with the highest version that this host has seen.

    :param decode: decodes a desired state; raises WireError.
    :ivar current: the desired state, None if none is known.
    :ivar record: its record.
    :ivar applied_at: when it was applied.
    :ivar unreadable: desired states that could not be decoded.
    """

    def __init__(
        self, log, decode: Callable[[bytes], routes.DesiredState]
    ) -> None:
        self._log = log
        self._decode = decode
        self.current: routes.DesiredState | None = None
        self.record: feeds.FeedRecord | None = None
        self.applied_at = 0.0
        self.unreadable = unreadable_records.UnreadableRecords('desired')

    @property
    def version(self) -> int:
        """Version in force, 0 if none is known."""
        return 0 if self.current is None else self.current.version

    def version_of(self, record: feeds.FeedRecord) -> int:
        """Return the version of a desired state, 0 if it is unreadable."""
        try:
            return self._decode(record.value or b'').version
        except exceptions.WireError:
            # Logged when the record is applied.
            return 0

    def apply(
        self,
        record: feeds.FeedRecord,
        era: int,
        source: str,
        behind_s: float = 0.0,
        read_age_s: float = 0.0,
    ) -> bool:
        """Put a desired state in force if it has a higher version.

        Its offset is no criterion: a store that returns from an older copy
        assigns offsets again.

        :param era: present era of the store, for the log.
        :param behind_s: for how long a peer has had a newer one, for the log.
        :param read_age_s: age of the read in flight, for the log.
        :returns: whether it is in force now and was not before.
        """
        if self.record is not None and record.value == self.record.value:
            return False
        try:
            desired = self._decode(record.value or b'')
        except exceptions.WireError as problem:
            if self.unreadable.add(record.key, problem):
                self._log.notable(
                    'desired_unreadable',
                    offset=record.offset,
                    problem=str(problem),
                )
            return False
        if (
            self.current is not None
            and desired.version <= self.current.version
        ):
            self._log.notable(
                'desired_superseded',
                version=desired.version,
                in_force=self.current.version,
                offset=record.offset,
                source=source,
            )
            return False
        before = self.version
        self.record = record
        self.current = desired
        self.applied_at = time.monotonic()
        self._log.notable(
            'desired_applied',
            version=desired.version,
            before=before,
            offset=record.offset,
            era=era,
            source=source,
            routes=len(desired.routes),
            behind_s=round(behind_s, 2),
            read_age_s=round(read_age_s, 2),
        )
        return True

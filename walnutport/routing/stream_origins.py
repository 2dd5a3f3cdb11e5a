"""Where streams began.

Covers a release, during which targets of two versions serve side by side. A
stream may go on only at the service and version that began it, also when its
caller takes it up at another host. Hosts tell each other where streams began
only while that is ambiguous (``origin_history``).
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import NamedTuple, Self

from walnutport.world import registrations

__all__ = [
    'OriginSource',
    'StreamOrigin',
    'StreamOrigins',
]

# A caller may take a stream up until the longest timeout of a route has
# passed since the stream began; the margin covers differences of clocks and
# the delay until hosts know a change.
RETENTION_MARGIN_S = 5.0
# An entry takes some 150 bytes.
MAX_ORIGINS = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version of the target that began a stream.

    :param version: empty if the target publishes none;
        ``registrations.UNKNOWN_VERSION`` if nobody knows which version the run
        had, so that no target may go on with the stream.
    """

    service: str
    version: str

    @classmethod
    def of_unknown_run(cls, service: str) -> Self:
        """Return the origin of a stream that a run without entry began."""
        return cls(service, registrations.UNKNOWN_VERSION)

    @property
    def is_version_known(self) -> bool:
        """Whether targets can be told from those of other versions."""
        return self.version != registrations.UNKNOWN_VERSION


class OriginSource(NamedTuple):
    """Which hosts vouch for an origin; a key of all ids, so a tuple.

    :param writer: run of the host that writes the origin to the store, empty
        for this one. A later run of the same host knows nothing of it.
    :param is_inferred: whether it was inferred when a caller took the stream
        up; otherwise the host that began the stream has recorded it.
    """

    writer: str = ''
    is_inferred: bool = False


_BEGUN_HERE = OriginSource()


@dataclasses.dataclass(slots=True)
class _RecordedOrigin:
    origin: StreamOrigin
    route_name: str
    recorded_at: float
    source: OriginSource

    @property
    def weight(self) -> int:
        """Rank among records of one id: the highest counts."""
        if self.source.is_inferred:
            return 0
        return 2 if self.origin.is_version_known else 1


class StreamOrigins:
    """Origins of streams, by the id of the attempt that began them.

    Times are seconds of a monotonic clock, passed in as ``now``.

    :ivar retention_s: time for which an origin is kept.
    :ivar dropped_count: origins dropped before their time, for lack of room.
    """

    def __init__(self) -> None:
        self.retention_s = RETENTION_MARGIN_S
        self.dropped_count = 0
        self._recorded_by_id: collections.OrderedDict[str, _RecordedOrigin] = (
            collections.OrderedDict()
        )
        # Ids that this host has learnt first and told to no peer yet, as keys
        # in their order.
        self._untold_ids: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._recorded_by_id)

    def record(
        self,
        attempt_id: str,
        origin: StreamOrigin,
        route_name: str,
        now: float,
        is_own: bool,
        source: OriginSource = _BEGUN_HERE,
    ) -> bool:
        """Record where a stream began.

        The first record of an id stays, but one of the host that began the
        stream replaces one that was inferred: a caller may name an id before
        its stream begins. In the same way, one with a version replaces one of
        an unknown version, once that host has read the entry of the run.

        :param is_own: whether this host is the first to know, and has to tell
            the others.
        :returns: whether the record was new, and now counts.
        """
        self._forget_old(now)
        new = _RecordedOrigin(origin, route_name, now, source)
        recorded = self._recorded_by_id.get(attempt_id)
        if recorded is not None:
            if new.weight <= recorded.weight:
                return False
            # The order is that of time.
            del self._recorded_by_id[attempt_id]
            self._untold_ids.pop(attempt_id, None)
        if len(self._recorded_by_id) >= MAX_ORIGINS:
            self._forget_first()
            self.dropped_count += 1
        self._recorded_by_id[attempt_id] = new
        if is_own:
            self._untold_ids[attempt_id] = None
        return True

    def find(
        self, attempt_id: str, now: float, may_be_inferred: bool = True
    ) -> StreamOrigin | None:
        """Return where a stream began, None if that is not known.

        :param may_be_inferred: whether an origin counts that no host has
            recorded when the stream began.
        """
        recorded = self._recorded_by_id.get(attempt_id)
        if recorded is None or self._is_old(recorded, now):
            return None
        if recorded.source.is_inferred and not may_be_inferred:
            return None
        return recorded.origin

    def take_untold(
        self, route_names: set[str], now: float, is_inferred: bool = False
    ) -> dict[tuple[str, StreamOrigin], list[str]]:
        """Return the untold ids of some routes, by route and origin.

        :param is_inferred: which ones: those whose origin was inferred, or
            those of streams that this host has begun.
        """
        self._forget_old(now)
        taken = [
            attempt_id
            for attempt_id in self._untold_ids
            if (recorded := self._recorded_by_id[attempt_id]).route_name
            in route_names
            and recorded.source.is_inferred == is_inferred
        ]
        for attempt_id in taken:
            del self._untold_ids[attempt_id]
        return self.group(taken)

    def told_ids(self, now: float) -> list[str]:
        """Return the ids that this host has told or was told, oldest first."""
        self._forget_old(now)
        return [
            attempt_id
            for attempt_id in self._recorded_by_id
            if attempt_id not in self._untold_ids
        ]

    def group(
        self, attempt_ids: Iterable[str]
    ) -> dict[tuple[str, StreamOrigin], list[str]]:
        """Return ids by route and origin, without those that are forgotten."""
        ids_by_origin: dict[tuple[str, StreamOrigin], list[str]] = {}
        for attempt_id in attempt_ids:
            recorded = self._recorded_by_id.get(attempt_id)
            if recorded is not None:
                ids_by_origin.setdefault(
                    (recorded.route_name, recorded.origin), []
                ).append(attempt_id)
        return ids_by_origin

    def ids_by_source(
        self, attempt_ids: Iterable[str]
    ) -> dict[OriginSource, list[str]]:
        """Return ids by the source, without those that are forgotten."""
        ids_by_source: dict[OriginSource, list[str]] = {}
        for attempt_id in attempt_ids:
            recorded = self._recorded_by_id.get(attempt_id)
            if recorded is not None:
                ids_by_source.setdefault(recorded.source, []).append(
                    attempt_id
                )
        return ids_by_source

    def set_writer(self, attempt_ids: Iterable[str], writer: str) -> None:
        """Note which host writes origins that are known.

        :param writer: run of the host, empty for this one.
        """
        sources = {
            is_inferred: OriginSource(writer, is_inferred)
            for is_inferred in (False, True)
        }
        for attempt_id in attempt_ids:
            recorded = self._recorded_by_id[attempt_id]
            recorded.source = sources[recorded.source.is_inferred]

    def _is_old(self, recorded: _RecordedOrigin, now: float) -> bool:
        return now - recorded.recorded_at >= self.retention_s

    def _forget_old(self, now: float) -> None:
        while self._recorded_by_id:
            first = next(iter(self._recorded_by_id.values()))
            if not self._is_old(first, now):
                return
            self._forget_first()

    def _forget_first(self) -> None:
        attempt_id, _ = self._recorded_by_id.popitem(last=False)
        self._untold_ids.pop(attempt_id, None)

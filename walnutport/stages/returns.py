"""Places for refused requests that return.

Callers that are refused together during a burst return together after the same
``Retry-After`` and are refused again. Each refusal therefore names a time of
its own, spread over the capacity that is set aside for returns, and holds a
place until then.
"""

from collections.abc import Mapping
import dataclasses
import heapq

__all__ = ['Place', 'ReturnPlaces']

# Fraction of the capacity until its deadline that may be promised to refused
# requests. The rest serves new requests, which can still meet their aim. With
# two fifths, late answers displaced timely ones in long overload.
RETURN_RATIO = 0.1
# The same fraction for callers of a team that causes the burst, so that it
# does not displace the new requests of the others.
BURSTING_RETURN_RATIO = 0.05
# Callers honour a Retry-After of at most a third of the time that they have
# left; the rest covers the way to the caller.
MAX_DELAY_RATIO = 0.32
# Earliest return: a queue changes noticeably within one short call.
MIN_DELAY_S = 0.2
# A place is held this long after the time of its return.
HOLD_S = 0.5
# Bound of the memory: 1000 refusals a second for the longest retry delay of
# about 5 s.
MAX_PLACES = 6_000
# Positions of consecutive returns in a window that is too short for all of
# them; multiples of the golden ratio are spread evenly.
GOLDEN_RATIO = 0.618034


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Place of a refused request.

    :param due_at: time at which the caller may return.
    :param cost_by_service: reserved work in seconds of one target.
    """

    due_at: float
    cost_by_service: dict[str, float]


class ReturnPlaces:
    """Places of the refused requests of a cell, by content.

    Times are seconds of a monotonic clock, passed in as ``now``.
    """

    def __init__(self) -> None:
        self._place_by_content: dict[bytes, Place] = {}
        # Ends of the places; entries of places that were taken are stale.
        self._ends: list[tuple[float, bytes]] = []
        self._reserved_s: dict[str, float] = {}
        # Time up to which the capacity for returns is given out, by service.
        self._given_until: dict[str, float] = {}
        self._position = 0.0
        self.granted_count = 0
        self.expired_count = 0

    def __len__(self) -> int:
        return len(self._place_by_content)

    def reserved_s(self, service: str) -> float:
        """Return the work reserved at a service, in seconds of a target."""
        return self._reserved_s.get(service, 0.0)

    def find(self, content: bytes, now: float) -> Place | None:
        """Return the place of a request, if it holds one."""
        self._expire(now)
        return self._place_by_content.get(content)

    def take(self, content: bytes) -> None:
        """Release the place of a request that is admitted or has left."""
        place = self._place_by_content.pop(content, None)
        if place is None:
            return
        for service, cost_s in place.cost_by_service.items():
            self._reserved_s[service] = max(
                0.0, self._reserved_s[service] - cost_s
            )

    def has_room(
        self,
        cost_by_service: Mapping[str, float],
        slots_by_service: Mapping[str, float],
        late_by_service: Mapping[str, float],
        spare_s: float,
        place: Place | None = None,
        is_bursting: bool = False,
    ) -> bool:
        """Return whether work can be promised within a time.

        :param spare_s: time until it must start to meet its deadline.
        :param place: place that the request holds; it may use all capacity,
            as targets may have been lost since it was promised.
        :param is_bursting: whether its team causes the burst.
        """
        if place is not None:
            ratio = 1.0
        else:
            ratio = BURSTING_RETURN_RATIO if is_bursting else RETURN_RATIO
        for service, cost_s in cost_by_service.items():
            promised_s = late_by_service.get(service, 0.0) + cost_s
            if place is None:
                promised_s += self.reserved_s(service)
            slots = slots_by_service.get(service, 0.0)
            if promised_s > ratio * slots * spare_s:
                return False
        return True

    def reserve(
        self,
        content: bytes,
        cost_by_service: dict[str, float],
        slots_by_service: Mapping[str, float],
        late_by_service: Mapping[str, float],
        needed_s: float,
        aim_left_s: float,
        left_s: float,
        now: float,
        is_bursting: bool = False,
    ) -> Place | None:
        """Reserve a place for a request that is refused.

        :param slots_by_service: seconds of work that each service completes
            per second.
        :param late_by_service: admitted work that is late for its aim.
        :param needed_s: time that the request needs without waiting.
        :param aim_left_s: time until its aim.
        :param left_s: time until its deadline.
        :param is_bursting: whether its team causes the burst.
        :returns: None if a return cannot be promised to be in time.
        """
        self._expire(now)
        self.take(content)
        if not content or len(self._place_by_content) >= MAX_PLACES:
            return None
        spare_s = left_s - needed_s
        max_delay_s = left_s * MAX_DELAY_RATIO
        if max_delay_s < MIN_DELAY_S or spare_s < MIN_DELAY_S:
            return None
        if not self.has_room(
            cost_by_service,
            slots_by_service,
            late_by_service,
            spare_s,
            is_bursting=is_bursting,
        ):
            return None
        due_at = max(
            now + MIN_DELAY_S,
            *(self._given_until.get(name, 0.0) for name in cost_by_service),
        )
        latest_at = now + min(max_delay_s, spare_s)
        timely_s = min(max_delay_s, aim_left_s - needed_s)
        if timely_s >= MIN_DELAY_S:
            latest_at = now + timely_s
        if timely_s >= MIN_DELAY_S or due_at > latest_at:
            self._position = (self._position + GOLDEN_RATIO) % 1.0
            due_at = latest_at - self._position * (
                latest_at - now - MIN_DELAY_S
            )
        else:
            for service, cost_s in cost_by_service.items():
                rate = RETURN_RATIO * slots_by_service[service]
                self._given_until[service] = (
                    max(now, self._given_until.get(service, 0.0))
                    + cost_s / rate
                )
        place = Place(due_at, cost_by_service)
        self._place_by_content[content] = place
        for service, cost_s in cost_by_service.items():
            self._reserved_s[service] = self.reserved_s(service) + cost_s
        heapq.heappush(self._ends, (due_at + HOLD_S, content))
        self.granted_count += 1
        return place

    def _expire(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, content = heapq.heappop(self._ends)
            place = self._place_by_content.get(content)
            # The request may hold another place by now.
            if place is not None and place.due_at + HOLD_S <= now:
                self.take(content)
                self.expired_count += 1

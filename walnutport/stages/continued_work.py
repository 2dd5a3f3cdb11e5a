"""Bound of the work for streams that callers take up.

When hosts are lost, the callers of their streams come back at once. They hold
a part of the answer and leave after a gap of some seconds, so their stages go
before those of callers who have received nothing. Without a bound, a caller
that takes streams up all the time would keep a service for itself.
"""

from collections.abc import Mapping

__all__ = ['ContinuedWork']

# Fraction of the capacity that may go first, in the time until the deadline of
# each job and in the long run. The rest serves new jobs.
MAX_RATIO = 0.5


class ContinuedWork:
    """Time up to which the capacity for continued jobs is given out.

    Times are seconds of a monotonic clock, passed in as ``now``.
    """

    def __init__(self) -> None:
        self._given_until: dict[str, float] = {}

    def has_room(
        self,
        cost_by_service: Mapping[str, float],
        slots_by_service: Mapping[str, float],
        done_by: float,
        now: float,
    ) -> bool:
        """Return whether the work of a job may go first.

        :param cost_by_service: work in seconds of one target.
        :param slots_by_service: seconds of work that each service completes
            per second.
        :param done_by: time at which the work has to be done.
        """
        return all(
            end <= done_by
            for end in self._ends(
                cost_by_service, slots_by_service, now
            ).values()
        )

    def add(
        self,
        cost_by_service: Mapping[str, float],
        slots_by_service: Mapping[str, float],
        now: float,
    ) -> None:
        """Give capacity to the work of a job."""
        self._given_until.update(
            self._ends(cost_by_service, slots_by_service, now)
        )

    def retain_services(self, services: Mapping[str, object]) -> None:
        """Drop the state of services that no longer exist."""
        for service in self._given_until.keys() - services.keys():
            del self._given_until[service]

    def _ends(
        self,
        cost_by_service: Mapping[str, float],
        slots_by_service: Mapping[str, float],
        now: float,
    ) -> dict[str, float]:
        """Return when the work would be done with the capacity set aside.

        Services without a target are left out.
        """
        return {
            service: max(now, self._given_until.get(service, now))
            + cost_s / (MAX_RATIO * slots_by_service[service])
            for service, cost_s in cost_by_service.items()
            if slots_by_service.get(service)
        }

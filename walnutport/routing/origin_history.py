"""Which services and software versions have served streams lately.

While one version of one service has served a route for the longest timeout, it
is the origin of all streams of the route, and no host has to be told.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from walnutport.routing import recent_sets
from walnutport.routing import stream_origins
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['RECORD_DELAY_S', 'OriginHistory', 'RecentUse']

#: What was removed stays in the record for so much longer than it counts.
#: Hosts that write the record may differ by seconds in when they saw a
#: removal, and none of them must drop what counts at another.
RECORD_DELAY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class RecentUse:
    """Services of routes and versions of services that were in use lately.

    :param retention_s: time for which what was removed counts.
    """

    services_by_route: Mapping[str, frozenset[str]]
    versions_by_service: Mapping[str, frozenset[str]]
    retention_s: float


class OriginHistory:
    """Services of each route and versions of each service, lately in use.

    :param is_complete: whether no stream can have begun before this host has
        started, as the whole installation starts for the first time.
    :ivar retention_s: time for which a removed service or version counts. It
        never falls, as streams may have begun under a longer timeout.
    """

    def __init__(self, is_complete: bool) -> None:
        self.retention_s = stream_origins.RETENTION_MARGIN_S
        self._known_since = -math.inf if is_complete else math.inf
        self._services_by_route = recent_sets.RecentSets()
        self._versions_by_service = recent_sets.RecentSets()
        # Those whose use before this host started is known.
        self._recorded_routes: set[str] = set()
        self._recorded_services: set[str] = set()

    def seed(self, use: RecentUse, now: float) -> None:
        """Add what was in use lately at other hosts, or before the start.

        It counts as if it were removed now. Nothing else was in use of the
        routes and the services that are named.
        """
        self.retention_s = max(self.retention_s, use.retention_s)
        self._services_by_route.seed(use.services_by_route, now)
        self._versions_by_service.seed(use.versions_by_service, now)
        self.mark_recorded(use)

    def mark_recorded(self, use: RecentUse) -> None:
        """Take what is named for known in full from now on."""
        self._recorded_routes.update(use.services_by_route)
        self._recorded_services.update(use.versions_by_service)

    def recent_use(self, now: float) -> RecentUse:
        """Return what hosts that start have to know.

        It names only routes of streams, and services of these, whose recent
        use is known in full.
        """
        return self._use(now, self.retention_s + RECORD_DELAY_S, False)

    def observed_use(self, now: float) -> RecentUse:
        """Return the part of the recent use that counts and was seen here."""
        return self._use(now, self.retention_s, True)

    def _use(
        self, now: float, counted_s: float, is_observed: bool
    ) -> RecentUse:
        is_complete = self.is_complete(now)
        services_by_route = self._services_by_route.members(
            now, counted_s, is_observed
        )
        stream_services = frozenset().union(*services_by_route.values())
        return RecentUse(
            {
                name: services
                for name, services in services_by_route.items()
                if is_complete or name in self._recorded_routes
            },
            {
                name: versions
                for name, versions in self._versions_by_service.members(
                    now, counted_s, is_observed
                ).items()
                if name in stream_services
                and (is_complete or name in self._recorded_services)
            },
            self.retention_s,
        )

    def update_routes(
        self, desired_routes: Iterable[routes.Route], now: float
    ) -> None:
        """Record the services of the routes in force."""
        stream_routes = [
            route
            for route in desired_routes
            if route.kind is routes.RequestKind.STREAM
        ]
        for route in stream_routes:
            self.retention_s = max(
                self.retention_s,
                route.timeout_s + stream_origins.RETENTION_MARGIN_S,
            )
        self._services_by_route.update(
            {
                route.name: frozenset(route.weight_by_service)
                for route in stream_routes
            },
            now,
            self.retention_s + RECORD_DELAY_S,
        )

    def update_targets(
        self,
        targets: Iterable[registrations.RegisteredTarget],
        now: float,
    ) -> None:
        """Record the versions of the registered targets."""
        versions: dict[str, set[str]] = {}
        for target in targets:
            versions.setdefault(target.service, set()).add(
                target.software_version
            )
        self._known_since = min(self._known_since, now)
        self._versions_by_service.update(
            {name: frozenset(found) for name, found in versions.items()},
            now,
            self.retention_s + RECORD_DELAY_S,
        )

    def note_versions(
        self, versions: Iterable[tuple[str, str]], now: float
    ) -> None:
        """Record services and versions of runs that have just ended."""
        for service, version in versions:
            self._versions_by_service.note(
                service, version, now, self.retention_s
            )

    def note_origin(
        self, route_name: str, origin: stream_origins.StreamOrigin, now: float
    ) -> bool:
        """Record that a stream of a route began at an origin lately.

        Other streams may have begun there as well, although no entry that this
        host has read names it.

        :returns: whether it did not count before.
        """
        is_new_service = self._services_by_route.note(
            route_name, origin.service, now, self.retention_s
        )
        is_new_version = self._versions_by_service.note(
            origin.service, origin.version, now, self.retention_s
        )
        return is_new_service or is_new_version

    def is_complete(self, now: float) -> bool:
        """Return whether this host has seen all that streams may come from."""
        return now - self._known_since >= self.retention_s

    def is_recorded(self, route_name: str, now: float) -> bool:
        """Return whether what a route used before the start is known.

        This is so if a record names the route and its only service, and this
        host has seen the targets since.
        """
        service = self._services_by_route.sole_member(
            route_name, now, self.retention_s
        )
        return (
            self._known_since < math.inf
            and route_name in self._recorded_routes
            and service in self._recorded_services
        )

    def unsure_routes(self, now: float) -> set[str]:
        """Return the routes with an unknown use before the start."""
        if self.is_complete(now):
            return set()
        return {
            name
            for name in self._services_by_route.keys()
            if not self.is_recorded(name, now)
        }

    def sole_origin(
        self, route_name: str, now: float
    ) -> stream_origins.StreamOrigin | None:
        """Return the origin of all streams of a route, None if ambiguous.

        This is only as true as the history is complete.
        """
        service = self._services_by_route.sole_member(
            route_name, now, self.retention_s
        )
        if service is None:
            return None
        version = self._versions_by_service.sole_member(
            service, now, self.retention_s
        )
        if version in (None, registrations.UNKNOWN_VERSION):
            return None
        return stream_origins.StreamOrigin(service, version)

    def ambiguous_routes(self, now: float) -> set[str]:
        """Return the routes whose streams may differ in their origin."""
        clear_services = {
            service
            for service in self._versions_by_service.keys()
            if self._versions_by_service.sole_member(
                service, now, self.retention_s
            )
            not in (None, registrations.UNKNOWN_VERSION)
        }
        return {
            name
            for name in self._services_by_route.keys()
            if self._services_by_route.sole_member(name, now, self.retention_s)
            not in clear_services
        }

"""Matches requests to routes and teams."""

import hashlib
import time

from walnutport.admission import caller_retries
from walnutport.gateway.entry import calls
from walnutport.gateway.operations import metrics
from walnutport.gateway.state import feed_follower
from walnutport.http1 import server
from walnutport.platform import headers
from walnutport.world import requests
from walnutport.world import routes

__all__ = ['RouteMatcher']

# A starting host has no desired state until its next read of the store.
STARTING_RETRY_AFTER_S = 0.5
# A response is sent this long before the caller's own timeout ends.
DEADLINE_MARGIN_S = 0.03


class RouteMatcher:
    """Turns requests into calls, or rejects them.

    :param follower: source of the desired state.
    :param rng: chooses among the services of a weighted route.
    """

    def __init__(
        self,
        log,
        follower: feed_follower.FeedFollower,
        entry_metrics: metrics.EntryMetrics,
        rng,
    ) -> None:
        self._log = log
        self._follower = follower
        self._metrics = entry_metrics
        self._rng = rng
        self._deadlines = caller_retries.DeadlineHistory()

    def match(self, request: server.ServerRequest) -> calls.CallerCall | None:
        """Return the call for a request, or reject it and return None.

        :raises WireError: when the headers of the request are malformed.
        """
        fields = headers.decode_request_headers(request.headers)
        desired = self._follower.desired
        if desired is None:
            self._log.notable(
                'refused',
                id=fields.request_id,
                reason='no_desired_state',
                retry_after_s=STARTING_RETRY_AFTER_S,
            )
            request.respond(
                503,
                headers.local_response_headers(
                    fields.request_id, STARTING_RETRY_AFTER_S
                ),
                b'',
            )
            return None
        path = request.target.split(b'?', 1)[0].decode('latin-1')
        authority = (request.header(b'host') or b'').decode('latin-1').lower()
        route = desired.route_for(authority.rsplit(':', 1)[0], path)
        if route is None:
            self._reject(request, fields, 404, 'no_route', desired)
            return None
        team = None
        if desired.team_by_key is not None and not route.anonymous:
            team = desired.team_by_key.get(fields.api_key)
            if team is None:
                self._reject(request, fields, 401, 'unknown_key', desired)
                return None
        return self._create_call(request, fields, route, team, desired.version)

    def drop_missing_routes(self, desired: routes.DesiredState) -> None:
        """Drop the state of all routes that are not in the desired state."""
        self._deadlines.retain_routes({route.name for route in desired.routes})

    def _create_call(
        self,
        request: server.ServerRequest,
        fields: requests.RequestFields,
        route: routes.Route,
        team: routes.Team | None,
        desired_version: int,
    ) -> calls.CallerCall:
        arrived_at = request.started_at
        time_limit_s = route.timeout_s
        if fields.timeout_s is not None:
            time_limit_s = min(
                time_limit_s, fields.timeout_s - DEADLINE_MARGIN_S
            )
        spent_s = self._deadlines.spent_s(route.name, fields.timeout_s)
        priority = route.priority
        kind_priority = 0
        if team is not None and team.priority is not None:
            priority = team.priority
            kind_priority = route.priority
        content = b'\n'.join(
            (
                request.method,
                request.target,
                fields.api_key.encode(),
                request.body,
            )
        )
        return calls.CallerCall(
            request=request,
            fields=fields,
            route=route,
            service=self._choose_service(route),
            team=None if team is None else team.name,
            priority=priority,
            kind_priority=kind_priority,
            digest=hashlib.blake2b(content, digest_size=16).digest(),
            arrived_at=arrived_at,
            deadline_at=arrived_at + time_limit_s,
            aim_at=arrived_at + route.latency_target_s - spent_s,
            spent_s=spent_s,
            desired_version=desired_version,
        )

    def _choose_service(self, route: routes.Route) -> str:
        weights = route.weight_by_service
        if len(weights) == 1:
            return next(iter(weights))
        names = list(weights)
        return self._rng.choices(names, [weights[name] for name in names])[0]

    def _reject(
        self,
        request: server.ServerRequest,
        fields: requests.RequestFields,
        status: int,
        reason: str,
        desired: routes.DesiredState,
    ) -> None:
        self._log.notable(
            'rejected',
            id=fields.request_id,
            status=status,
            reason=reason,
            version=desired.version,
            age_s=round(time.monotonic() - self._follower.desired_at, 2),
            read_age_s=round(self._follower.desired_read_age_s(), 2),
            era=self._follower.era,
        )
        self._metrics.rejected(reason)
        request.respond(
            status,
            headers.local_response_headers(fields.request_id, None),
            b'',
        )

"""Callers of the soak test: threads with persistent connections."""

import http.client
import random
import select
import time

from bench import soak_checks
from bench import soak_threads
from standins import platform_fleet

__all__ = ['Callers', 'connect', 'is_closed', 'send']

# A load balancer polls a host once a second; the soak test polls more often
# because its rounds are short.
READINESS_POLL_S = 0.2
DEADLINES_S = (1.0, 2.0, 4.0)
ROUTES = ('check', 'pay', 'write', 'review')
# Share of the requests for which a caller opens a new connection.
NEW_CONNECTION_SHARE = 0.15
MEAN_PAUSE_S = 0.03
# Time left within which a caller takes up a stream that broke off.
MIN_CONTINUATION_S = 0.3
# A caller waits this long beyond the longest deadline.
TIMEOUT_SLACK_S = 6.0


class Callers(soak_threads.CallerThreads):
    """Threads that send requests to the hosts that are ready."""

    def __init__(
        self, fleet: platform_fleet.PlatformFleet, seed: int, count: int
    ) -> None:
        super().__init__(fleet, seed, READINESS_POLL_S, count)

    def _run(self, number: int) -> None:
        rng = random.Random(f'{self._seed}-{number}')
        connection: http.client.HTTPConnection | None = None
        host = -1
        sent = 0
        while not self._stop.wait(MEAN_PAUSE_S * rng.random() * 2):
            ready_hosts = self._ready_hosts
            if not ready_hosts:
                continue
            if (
                connection is None
                or rng.random() < NEW_CONNECTION_SHARE
                or is_closed(connection)
            ):
                if connection is not None:
                    connection.close()
                host = rng.choice(ready_hosts)
                connection = connect(self._fleet.caller_ports[host])
                reused = False
            sent += 1
            outcome = send(
                connection,
                host,
                rng.choice(ROUTES),
                f'{self._seed}-{number}-{sent}',
                rng.choice(DEADLINES_S),
                reused,
            )
            self.outcomes.append(outcome)
            self._continue_stream(outcome, rng)
            reused = True
            if not outcome.complete or connection.sock is None:
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def _continue_stream(
        self, outcome: soak_checks.Outcome, rng: random.Random
    ) -> None:
        """Take a stream that broke off up at any host, once."""
        ready_hosts = self._ready_hosts
        left_s = outcome.begin + outcome.deadline_s - time.monotonic()
        events = soak_checks.whole_events(outcome.body)
        if (
            outcome.complete
            or outcome.route not in soak_checks.STREAM_ROUTES
            or not events
            or not ready_hosts
            or left_s < MIN_CONTINUATION_S
        ):
            return
        host = rng.choice(ready_hosts)
        connection = connect(self._fleet.caller_ports[host])
        self.outcomes.append(
            send(
                connection,
                host,
                outcome.route,
                f'{outcome.request_id}-again',
                left_s,
                begun=events,
                begun_by=outcome.request_id,
            )
        )
        connection.close()


def send(
    connection: http.client.HTTPConnection,
    host: int,
    route: str,
    request_id: str,
    deadline_s: float,
    reused: bool = False,
    begun: bytes = b'',
    begun_by: str = '',
) -> soak_checks.Outcome:
    """Send one request and return its outcome.

    :param begun: events of a stream that the request goes on with.
    :param begun_by: id of the request that brought them.
    """
    headers = platform_fleet.caller_headers(request_id, deadline_s)
    if route == 'review':
        headers['Walnutport-Pieces'] = '2,3'
        headers['Walnutport-Piece-Key'] = request_id
    if begun:
        headers['Last-Event-Id'] = str(begun.count(b'\n\n'))
        headers['Resumes'] = begun_by
    begin = time.monotonic()
    status = 0
    body = b''
    complete = False
    sealed = False
    retry_after = None
    first_event_at = None
    sent_at = None
    error = ''
    try:
        connection.request('POST', f'/{route}/x', b'body', headers)
        sent_at = time.monotonic()
        reply = connection.getresponse()
        status = reply.status
        sealed = reply.getheader('walnutport-response-seal') is not None
        retry_after = reply.getheader('retry-after')
        while data := reply.read1():
            body += data
            if first_event_at is None and b'\n\n' in body:
                first_event_at = time.monotonic()
        # Without chunks, a missing end raises no error.
        complete = not reply.length
        # The connection takes no further request before.
        reply.close()
    except (http.client.HTTPException, OSError) as broken:
        # The checks evaluate the incomplete outcome.
        error = repr(broken)
    return soak_checks.Outcome(
        request_id,
        route,
        host,
        begin,
        time.monotonic(),
        deadline_s,
        status,
        body,
        complete,
        sealed,
        retry_after,
        reused,
        begun,
        first_event_at,
        begun_by,
        error,
        sent_at,
    )


def connect(port: int) -> http.client.HTTPConnection:
    """Return a connection to a host; the first request opens it."""
    return http.client.HTTPConnection(
        platform_fleet.LOOPBACK_IP,
        port,
        timeout=max(DEADLINES_S) + TIMEOUT_SLACK_S,
    )


def is_closed(connection: http.client.HTTPConnection) -> bool:
    """Return whether the host has closed an idle connection."""
    if connection.sock is None:
        return True
    readable, _, _ = select.select([connection.sock], [], [], 0)
    return bool(readable)

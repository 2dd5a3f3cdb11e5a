"""Callers that use the connections of hosts until these are gone."""

from collections.abc import Callable
import http.client
import random

from bench import soak_callers
from bench import soak_checks
from bench import soak_threads
from standins import platform_fleet

__all__ = ['AGAIN', 'StopCallers']

#: Part of the id of a request that its caller sends again after a refusal.
AGAIN = '-again-'
DEADLINE_S = 6.0
POLL_S = 0.1
MAX_TRIES = 8
# Routes of the requests of the callers, as often as they are drawn.
ROUTES = ('write', 'write', 'review', 'review', 'check', 'pay')
# Share of the new connections of openers that go to a host that stops.
STOPPING_SHARE = 0.7
MEAN_PAUSE_S = 0.2
# A caller that finds no host waits for this time.
NO_HOST_PAUSE_S = 0.05


class StopCallers(soak_threads.CallerThreads):
    """Threads of callers with two kinds of behaviour.

    A keeper sends its next request at once on the connection of the last one,
    until it is closed or said to close. An opener sends each request on a new
    connection, which leads to a host that stops most of the time. Both send a
    request that was refused again to another host.

    :param keepers: number of the callers that keep their connections.
    :param openers: number of the others.
    :param stopping: returns the hosts that stop at present.
    """

    def __init__(
        self,
        fleet: platform_fleet.PlatformFleet,
        seed: int,
        keepers: int,
        openers: int,
        stopping: Callable[[], set[int]],
    ) -> None:
        super().__init__(fleet, seed, POLL_S, keepers + openers)
        self._keepers = keepers
        self._stopping = stopping

    def _run(self, number: int) -> None:
        rng = random.Random(f'{self._seed}-{number}')
        keeps = number < self._keepers
        connection: http.client.HTTPConnection | None = None
        host = -1
        sent = 0
        while not self._stop.is_set():
            if not keeps:
                self._stop.wait(MEAN_PAUSE_S * rng.random() * 2)
            if connection is None:
                hosts = self._hosts_for_new(rng, keeps)
                if not hosts:
                    self._stop.wait(NO_HOST_PAUSE_S)
                    continue
                host = rng.choice(hosts)
                connection = soak_callers.connect(
                    self._fleet.caller_ports[host]
                )
            sent += 1
            outcome = self._send(
                connection,
                host,
                rng.choice(ROUTES),
                f'{self._seed}-{number}-{sent}',
            )
            if not keeps or not outcome.complete or connection.sock is None:
                connection.close()
                connection = None
            self._send_again(outcome, rng)
        if connection is not None:
            connection.close()

    def _send(
        self,
        connection: http.client.HTTPConnection,
        host: int,
        route: str,
        request_id: str,
    ) -> soak_checks.Outcome:
        reused = connection.sock is not None
        outcome = soak_callers.send(
            connection, host, route, request_id, DEADLINE_S, reused
        )
        self.outcomes.append(outcome)
        if 'Refused' in outcome.error:
            self._stop.wait(NO_HOST_PAUSE_S)
        return outcome

    def _hosts_for_new(self, rng: random.Random, keeps: bool) -> list[int]:
        """Return the hosts for a new connection.

        As a balancer does, these are all hosts if fewer than half are ready.
        """
        stopping = sorted(self._stopping())
        if not keeps and stopping and rng.random() < STOPPING_SHARE:
            return stopping
        ready = self._ready_hosts
        if len(ready) * 2 < len(self._fleet.hosts):
            return list(range(len(self._fleet.hosts)))
        return ready

    def _send_again(
        self, outcome: soak_checks.Outcome, rng: random.Random
    ) -> None:
        """Send a request again to other hosts until it is not refused."""
        first_id = outcome.request_id
        for tries in range(1, MAX_TRIES + 1):
            if outcome.status != 503 or outcome.retry_after is None:
                return
            self._stop.wait(float(outcome.retry_after))
            stopping = self._stopping()
            others = [
                host
                for host in self._ready_hosts
                if host != outcome.host and host not in stopping
            ]
            if not others:
                return
            host = rng.choice(others)
            connection = soak_callers.connect(self._fleet.caller_ports[host])
            outcome = self._send(
                connection, host, outcome.route, f'{first_id}{AGAIN}{tries}'
            )
            connection.close()

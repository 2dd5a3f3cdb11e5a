"""Entry hosts and targets that crash if pushed while they are cold."""

import bisect
import signal
import threading
import time

import pytest

from standins import platform_fleet

HOSTS = 4
PER_S = 9.9
# Bound of the users for the arrivals of each second, from all hosts.
BOUND_PER_S = PER_S * 1.5 + 5
MIN_USE = 0.7
COLD_S = 3.0
# Callers of each host. They send again after the time that a refusal states,
# or after this time.
CALLERS_PER_HOST = 6
CALLER_PAUSE_S = 0.05
# Time until all hosts know that a target has become cold, and until another
# host issues permits after the loss of the issuer.
KNOWN_S = 2.0
PAUSE_S = 2.0


class Load:
    """Callers that keep sending requests to all hosts."""

    def __init__(self, fleet, route, **headers) -> None:
        self._fleet = fleet
        self._route = route
        self._headers = headers
        self._stopped = threading.Event()
        self._threads = []
        self.statuses_by_host: dict[int, set[int]] = {}

    @property
    def statuses(self) -> set[int]:
        """The statuses of all answers."""
        return set().union(*self.statuses_by_host.values())

    def __enter__(self):
        for host in range(len(self._fleet.hosts)):
            self.add_callers(host)
        return self

    def __exit__(self, *exc_info) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def add_callers(self, host: int) -> None:
        """Start the callers of a host."""
        for caller in range(CALLERS_PER_HOST):
            thread = threading.Thread(target=self._send, args=(host, caller))
            thread.start()
            self._threads.append(thread)

    def _send(self, host: int, caller: int) -> None:
        number = 0
        statuses = self.statuses_by_host.setdefault(host, set())
        while not self._stopped.is_set():
            number += 1
            answer = self._fleet.call(
                self._route, f'{host}-{caller}-{number}', host, **self._headers
            )
            statuses.add(answer.status)
            time.sleep(float(answer.headers.get('retry-after', 0)))
            time.sleep(CALLER_PAUSE_S)


def most_in_a_second(times: list[float]) -> int:
    """Return the largest count of times within one second."""
    return max(
        (
            bisect.bisect_left(times, start + 1.0) - position
            for position, start in enumerate(times)
        ),
        default=0,
    )


def count(times: list[float], start: float, end: float) -> int:
    """Return the number of times in an interval."""
    return sum(start <= at < end for at in times)


@pytest.fixture
def fleet(tmp_path):
    """Start hosts and a service with one target, which is not cold yet."""
    with platform_fleet.PlatformFleet(tmp_path, HOSTS) as running:
        for host in range(HOSTS):
            for peer in range(HOSTS):
                if peer != host:
                    running.wait_for_event(
                        'peer_joined', host, peer=f'edge-{peer}'
                    )
        running.control_platform(
            desired=platform_fleet.cold_state(
                2, ('plain', 'llm', 'rank'), PER_S, COLD_S
            ),
            cold_rules={
                service: (BOUND_PER_S, COLD_S)
                for service in ('plain', 'llm', 'rank')
            },
            states={
                target: 'gone' for target in ('plain-2', 'llm-2', 'rank-2')
            },
        )
        for host in range(HOSTS):
            running.wait_for_event('desired_applied', host, version=2)
            for target in ('plain-2', 'llm-2', 'rank-2'):
                running.wait_for_event('target_gone', host, target=target)
        # From then on, the issuers of the permits are settled.
        time.sleep(KNOWN_S)
        yield running


def make_cold(fleet, target_id: str, cold_s: float) -> None:
    """Let a target become cold, and wait until all hosts know it."""
    fleet.control_platform(cold={target_id: cold_s})
    for host in range(HOSTS):
        fleet.wait_for_event('target_cold', host, target=target_id)


@pytest.mark.parametrize(
    ('route', 'target_id'),
    [
        pytest.param('check', 'plain-1', id='plain'),
        pytest.param('write', 'llm-1', id='stream'),
    ],
)
def test_rate_of_the_only_target_is_used_and_kept(fleet, route, target_id):
    """Guards against crashes of a cold target, and against its idleness.

    A host is paused and resumes, then the issuer; another host starts.
    """
    make_cold(fleet, target_id, 20.0)
    issuer = fleet.status()['targets'][target_id]['permits_by']
    number = int(issuer.removeprefix('edge-'))
    with Load(fleet, route) as load:
        time.sleep(KNOWN_S)
        begin = time.monotonic()
        other = fleet.hosts[(number + 1) % HOSTS]
        other.signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        other.signal(signal.SIGCONT)
        fleet.add_host()
        load.add_callers(HOSTS)
        end = time.monotonic()
        fleet.hosts[number].signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        fleet.hosts[number].signal(signal.SIGCONT)
        time.sleep(KNOWN_S)
    arrivals = fleet.cold_arrivals(target_id)
    assert most_in_a_second(arrivals) <= BOUND_PER_S
    assert not fleet.crashes()
    used = count(arrivals, begin, end) / (end - begin)
    assert used >= MIN_USE * PER_S, (used, arrivals)
    for host, statuses in load.statuses_by_host.items():
        # Deadlines may pass while a host is paused.
        paused = host in (number, (number + 1) % HOSTS)
        assert statuses <= ({200, 503, 504} if paused else {200, 503})


def test_target_that_has_crashed_is_cold_when_it_accepts_again(fleet):
    """Guards against callers that crash a target again as it starts.

    They wait for it, and reach it before its new entry is read.
    """
    with Load(fleet, 'check'):
        time.sleep(1.0)
        fleet.control_platform(crash=['plain-1'])
        time.sleep(8.0)
    assert fleet.cold_arrivals('plain-1')
    assert len(fleet.crashes()) == 1
    assert most_in_a_second(fleet.cold_arrivals('plain-1')) <= BOUND_PER_S


def test_rates_of_all_cold_targets_are_used(fleet):
    """Guards against requests that wait for one of several cold targets."""
    fleet.control_platform(states={'plain-2': 'ready'})
    for host in range(HOSTS):
        fleet.wait_for_event('target_added', host, target='plain-2')
    targets = ('plain-1', 'plain-2')
    fleet.control_platform(cold=dict.fromkeys(targets, 12.0))
    for host in range(HOSTS):
        for target in targets:
            fleet.wait_for_event('target_cold', host, target=target)
    with Load(fleet, 'check') as load:
        time.sleep(KNOWN_S)
        begin = time.monotonic()
        time.sleep(4.0)
        end = time.monotonic()
    for target in targets:
        arrivals = fleet.cold_arrivals(target)
        assert most_in_a_second(arrivals) <= BOUND_PER_S
        assert count(arrivals, begin, end) >= MIN_USE * PER_S * (end - begin)
    assert load.statuses <= {200, 503}


def test_calls_to_a_cold_stage_target_are_spaced(fleet):
    """Guards against the calls of a cell that crash its stage target."""
    make_cold(fleet, 'rank-1', 5.0)
    with Load(
        fleet, 'review', Walnutport_Pieces='1,1', Walnutport_Piece_Key='k'
    ) as load:
        time.sleep(4.0)
    assert most_in_a_second(fleet.cold_arrivals('rank-1')) <= BOUND_PER_S
    assert not fleet.crashes()
    assert 200 in load.statuses


def test_requests_go_to_warm_targets_before_cold_ones(fleet):
    """Guards against refusals while another target has room."""
    fleet.control_platform(states={'plain-2': 'ready'})
    for host in range(HOSTS):
        fleet.wait_for_event('target_added', host, target='plain-2')
    make_cold(fleet, 'plain-1', 5.0)
    with Load(fleet, 'check') as load:
        time.sleep(3.0)
    assert load.statuses == {200}
    assert most_in_a_second(fleet.cold_arrivals('plain-1')) <= BOUND_PER_S
    assert not fleet.crashes()

"""Entry hosts whose operator evacuates data centres."""

import concurrent.futures
import contextlib
import signal
import threading
import time

import pytest

from standins import platform_fleet
from standins import processes
from tests.integration import test_stream_versions

DATA_CENTRES = ('a', 'b')
HOSTS = 3
ROUTES = ('check', 'pay', 'write', 'review')
STAGED_HEADERS = {'Walnutport_Pieces': '1,1', 'Walnutport_Piece_Key': 'k'}
# Bounds of the platform: time from the acknowledgement on after which nothing
# may reach an evacuated target, and time without a fault before that.
EVACUATE_S = 5.0
STABLE_S = 4.0
# A refusal does not wait for anything.
AT_ONCE_S = 0.2
LOAD_S = 1.5


def call(
    fleet: platform_fleet.PlatformFleet, number: int, route: str, host: int
) -> platform_fleet.Answer:
    """Send a request with a content of its own."""
    headers = STAGED_HEADERS if route == 'review' else {}
    return fleet.call(
        route, f'id-{number}', host, body=b'%d' % number, **headers
    )


class Load:
    """Requests to all routes of some hosts; a context manager."""

    def __init__(self, fleet: platform_fleet.PlatformFleet, hosts) -> None:
        self.answers: list[platform_fleet.Answer] = []
        self._fleet = fleet
        self._hosts = list(hosts)
        self._stop = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(len(ROUTES))

    def __enter__(self) -> 'Load':
        for index in range(len(ROUTES)):
            self._pool.submit(self._run, index)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stop.set()
        self._pool.shutdown()

    def _run(self, index: int) -> None:
        number = 0
        while not self._stop.wait(0.02):
            number += 1
            host = self._hosts[number % len(self._hosts)]
            self.answers.append(
                call(
                    self._fleet,
                    number * len(ROUTES) + index,
                    ROUTES[index],
                    host,
                )
            )


def start_fleet(tmp_path, **settings) -> platform_fleet.PlatformFleet:
    """Return a fleet with a target of each service in each data centre."""
    settings.setdefault('hosts', HOSTS)
    return platform_fleet.PlatformFleet(
        tmp_path, data_centres=DATA_CENTRES, **settings
    )


def wait_until_linked(fleet: platform_fleet.PlatformFleet) -> None:
    """Wait until each host knows a peer."""
    for host in range(len(fleet.hosts)):
        fleet.wait_for_event('peer_joined', host)


def wait_until_evacuated(
    fleet: platform_fleet.PlatformFleet, data_centre: str = 'b'
) -> None:
    """Wait until each host knows an evacuation."""
    for host in range(len(fleet.hosts)):
        fleet.wait_for_event(
            'evacuation_started', host, data_centre=data_centre
        )


def check_nothing_reaches_b(
    fleet: platform_fleet.PlatformFleet, hosts=range(HOSTS)
) -> None:
    """Check that all is served, and none of it in data centre b."""
    before = fleet.runs_in('b')
    with Load(fleet, hosts) as load:
        time.sleep(LOAD_S)
    assert load.answers
    assert {answer.status for answer in load.answers} == {200}
    assert fleet.runs_in('b') == before


def test_evacuation_under_load(tmp_path):
    """Guards against work that reaches an evacuated data centre.

    Everything is served elsewhere meanwhile, and there again afterwards.
    """
    with start_fleet(tmp_path) as fleet:
        wait_until_linked(fleet)
        with Load(fleet, range(HOSTS)) as load:
            time.sleep(LOAD_S)
            assert fleet.runs_in('b')
            fleet.evacuate('b')
            time.sleep(EVACUATE_S)
            before = fleet.runs_in('b')
            time.sleep(LOAD_S)
            assert fleet.runs_in('b') == before
            fleet.withdraw_evacuation('b')
            for host in range(HOSTS):
                fleet.wait_for_event('evacuation_ended', host)
            time.sleep(LOAD_S)
            assert fleet.runs_in('b') > before
        assert {answer.status for answer in load.answers} == {200}
        # A host whose read is late learns of it from the first one.
        assert 'store' in {
            fleet.wait_for_event('evacuation_started', host)['source']
            for host in range(HOSTS)
        }


def test_host_without_the_store_learns_from_its_peers(tmp_path):
    """Guards against a host that goes on as its reads of the store fail."""
    with start_fleet(tmp_path, cut_hosts=1) as fleet:
        wait_until_linked(fleet)
        fleet.set_store_mode(0, 'reset')
        fleet.wait_for_event('store_lost', 0)
        fleet.evacuate('b')
        time.sleep(EVACUATE_S)
        check_nothing_reaches_b(fleet)
        line = fleet.wait_for_event('evacuation_started', 0)
        assert line['source'].startswith('peer ')


def test_all_data_centres_evacuated(tmp_path):
    """Guards against requests that wait for a target until their deadline."""
    with start_fleet(tmp_path, hosts=1) as fleet:
        for name in DATA_CENTRES:
            fleet.evacuate(name)
            wait_until_evacuated(fleet, name)
        metrics = processes.http_request(
            f'http://{platform_fleet.LOOPBACK_IP}:{fleet.ready_ports[0]}'
            '/metrics'
        ).decode()
        assert 'walnutport_data_centres_evacuated 2' in metrics
        for number, route in enumerate(ROUTES):
            answer = call(fleet, number, route, 0)
            assert answer.status == 503
            assert 'retry-after' in {name.lower() for name in answer.headers}
            line = fleet.wait_for_event('finished', id=f'id-{number}')
            assert line['outcome'] == 'evacuated'
            assert line['took_s'] < AT_ONCE_S
        assert not fleet.all_runs()
        for name in DATA_CENTRES:
            fleet.withdraw_evacuation(name)
            fleet.wait_for_event('evacuation_ended', data_centre=name)
        for number, route in enumerate(ROUTES, len(ROUTES)):
            assert call(fleet, number, route, 0).status == 200


def test_jobs_of_a_stage_service_that_is_evacuated(tmp_path):
    """Guards against jobs that wait for a stage target until their deadline.

    They were admitted when the data centres were evacuated.
    """
    with start_fleet(tmp_path, hosts=1, call_ms=700.0) as fleet:
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            started_at = time.monotonic()
            futures = [
                pool.submit(call, fleet, number, 'review', 0)
                for number in range(6)
            ]
            time.sleep(0.3)
            for name in DATA_CENTRES:
                fleet.evacuate(name)
            answers = [future.result() for future in futures]
        assert {answer.status for answer in answers} == {503}
        assert time.monotonic() - started_at < 2.0
        assert not [run for run in fleet.all_runs() if run['stage'] != 0]


@pytest.mark.parametrize(
    ('values', 'is_evacuated'),
    [
        pytest.param(({}, None, {}), True, id='requested again'),
        pytest.param(({}, None, {}, None), False, id='withdrawn'),
        pytest.param(({}, [], 'no'), True, id='unusable records'),
    ],
)
def test_records_in_quick_succession(tmp_path, values, is_evacuated):
    """Guards against hosts that stop at a state in between."""
    with start_fleet(tmp_path) as fleet:
        wait_until_linked(fleet)
        fleet.control_platform(evacuations={'z': {}, '': {}})
        for value in values:
            fleet.control_platform(evacuations={'b': value})
        fleet.wait_for_event('evacuation_unusable')
        if is_evacuated:
            wait_until_evacuated(fleet)
            check_nothing_reaches_b(fleet)
            return
        time.sleep(1.0)
        with Load(fleet, range(HOSTS)):
            time.sleep(LOAD_S)
        assert fleet.runs_in('b')


def test_host_that_has_just_started(tmp_path):
    """Guards against a host that serves before it knows the evacuation."""
    with start_fleet(tmp_path, hosts=2) as fleet:
        fleet.evacuate('b')
        wait_until_evacuated(fleet)
        before = fleet.runs_in('b')
        fleet.add_host()
        check_nothing_reaches_b(fleet, (2,))
        assert fleet.runs_in('b') == before


def test_host_that_was_paused(tmp_path):
    """Guards against a host that goes on where it was stopped."""
    with start_fleet(tmp_path) as fleet:
        wait_until_linked(fleet)
        fleet.hosts[0].signal(signal.SIGSTOP)
        time.sleep(1.5)
        fleet.evacuate('b')
        time.sleep(1.5)
        fleet.hosts[0].signal(signal.SIGCONT)
        time.sleep(STABLE_S)
        check_nothing_reaches_b(fleet)


def test_store_that_returns_from_a_copy_without_the_evacuation(tmp_path):
    """Guards against an evacuation that is lost with the store's last seconds.

    The operator writes it again two seconds later.
    """
    with start_fleet(tmp_path) as fleet:
        wait_until_linked(fleet)
        fleet.control_platform(copy=True)
        fleet.evacuate('b')
        wait_until_evacuated(fleet)
        fleet.control_platform(return_older=2.0)
        for host in range(HOSTS):
            fleet.wait_for_event('store_returned_older', host)
        for _ in range(4):
            check_nothing_reaches_b(fleet)
        for host in range(HOSTS):
            events = {line['event'] for line in fleet.log_lines(host)}
            assert 'evacuation_ended' not in events
        fleet.withdraw_evacuation('b')
        for host in range(HOSTS):
            fleet.wait_for_event('evacuation_ended', host)


def test_streams_of_a_version_that_is_evacuated(tmp_path):
    """Guards against events of two versions, and against an exception.

    One version runs in the evacuated data centre only. Streams that run there
    go on, but none may be taken up there.
    """
    with test_stream_versions.versioned_fleet(
        tmp_path,
        hosts=2,
        versions=('v1', 'v2'),
        data_centres=DATA_CENTRES,
        event_ms=100.0,
    ) as fleet:
        with contextlib.ExitStack() as connections:
            running = {
                f'begun-{number}': connections.enter_context(
                    test_stream_versions.begin_stream(fleet, f'begun-{number}')
                )
                for number in range(4)
            }
            versions = {
                request_id: test_stream_versions.versions_of_request(
                    fleet, request_id
                )
                for request_id in running
            }
            assert sorted(versions.values()) == [['v1']] * 2 + [['v2']] * 2
            fleet.evacuate('b')
            wait_until_evacuated(fleet)
            before = fleet.runs_in('b')
            for request_id, (version,) in versions.items():
                answer = test_stream_versions.continue_stream(
                    fleet, request_id
                )
                assert answer.status == (200 if version == 'v1' else 503)
                if version == 'v2':
                    fleet.wait_for_event(
                        'refused',
                        1,
                        id=f'again-{request_id}',
                        reason='evacuated',
                    )
            for connection in running.values():
                connection.settimeout(platform_fleet.TIMEOUT_S)
                data = b''
                while b'id: 20\n' not in data:
                    received = connection.recv(4096)
                    assert received, 'a running stream was cut'
                    data += received
            assert fleet.runs_in('b') == before

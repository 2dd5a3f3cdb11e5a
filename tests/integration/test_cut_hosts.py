"""Hosts that reach no target, while their callers and peers reach them."""

import concurrent.futures
import dataclasses
import time

import pytest

from standins import fault_proxy
from standins import platform_fleet

HOSTS = 4
CUT_HOSTS = 3
# Bounds of the platform: time from the cut on, and the share of the requests
# that others serve which a cut host has to serve at the first attempt.
STABLE_S = 3.0
MIN_RATIO = 2 / 3
CUT_S = 9.0
REQUESTS_PER_S = 16
STAGED_HEADERS = {'Walnutport_Pieces': '1,1', 'Walnutport_Piece_Key': 'k'}
ROUTES = ('check', 'pay', 'write', 'review')


@dataclasses.dataclass(frozen=True)
class Sent:
    """Request of a caller, and the time from the cut until it was sent."""

    request_id: str
    route: str
    sent_s: float
    is_cut: bool
    served: bool


def send_requests(fleet: platform_fleet.PlatformFleet) -> list[Sent]:
    """Send requests to all hosts for some seconds."""
    cut_at = time.monotonic()

    def send(number: int) -> Sent:
        route = ROUTES[number // HOSTS % len(ROUTES)]
        host = number % HOSTS
        sent_s = time.monotonic() - cut_at
        headers = STAGED_HEADERS if route == 'review' else {}
        served = False
        try:
            answer = fleet.call(
                route, f'id-{number}', host, body=b'%d' % number, **headers
            )
            served = answer.status == 200 and answer.complete
        except OSError:
            pass
        return Sent(f'id-{number}', route, sent_s, host < CUT_HOSTS, served)

    with concurrent.futures.ThreadPoolExecutor(60) as pool:
        futures = []
        for number in range(int(CUT_S * REQUESTS_PER_S)):
            futures.append(pool.submit(send, number))
            time.sleep(1 / REQUESTS_PER_S)
        return [future.result() for future in futures]


@pytest.mark.parametrize(
    'faults',
    [
        pytest.param(
            (fault_proxy.Faults(reset=True), fault_proxy.Faults(refuse=True)),
            id='reset',
        ),
        pytest.param((fault_proxy.Faults(refuse=True),), id='refused'),
        pytest.param(
            (fault_proxy.Faults(black_hole=True, stall=True),), id='silent'
        ),
        # The proxy stands for an intermediary that accepts connections.
        pytest.param(
            (fault_proxy.Faults(reset=True),), id='accepted_and_reset'
        ),
        pytest.param(
            (fault_proxy.Faults(black_hole=True),), id='accepted_and_silent'
        ),
    ],
)
def test_hosts_without_targets_serve_their_callers_through_peers(
    tmp_path, faults
):
    """Guards against callers who are refused as long as their host is cut off.

    Its peers, which it reaches, could send what it cannot.
    """
    with platform_fleet.PlatformFleet(
        tmp_path, HOSTS, engine_versions=('v1',) * 4, cut_hosts=CUT_HOSTS
    ) as fleet:
        for host in range(HOSTS):
            for peer in range(HOSTS):
                if peer != host:
                    fleet.wait_for_event(
                        'peer_joined', host, peer=f'edge-{peer}'
                    )
        for route in ROUTES:
            for host in range(HOSTS):
                fleet.call(route, f'before-{route}-{host}', host)
        for fault in faults:
            fleet.cut_targets(fault)
        sent = send_requests(fleet)
        fleet.cut_targets(fault_proxy.Faults())
        runs = [
            run['request_id']
            for run in fleet.all_runs()
            if run['request_id'].startswith('id-') and run['stage'] < 0
        ]
    counted = [request for request in sent if request.sent_s > STABLE_S]
    served = {
        is_cut: [
            request.served for request in counted if request.is_cut is is_cut
        ]
        for is_cut in (True, False)
    }
    cut_share = sum(served[True]) / len(served[True])
    other_share = sum(served[False]) / len(served[False])
    assert cut_share >= MIN_RATIO * other_share, (cut_share, other_share)
    assert other_share > 0.9
    for request in sent:
        if request.route == 'pay':
            assert runs.count(request.request_id) <= 1, request

"""Responses of the store and of targets that arrive a second time."""

import pytest

from standins import fault_proxy
from standins import platform_fleet

REPEATS = [
    fault_proxy.Faults(repeat=fault_proxy.Repeat.BEFORE_NEXT),
    fault_proxy.Faults(repeat=fault_proxy.Repeat.BYTE),
    fault_proxy.Faults(repeat=fault_proxy.Repeat.LATE, repeat_s=0.05),
]
REPEAT_IDS = [faults.repeat.value for faults in REPEATS]
STAGED_HEADERS = {'Walnutport_Pieces': '1,1', 'Walnutport_Piece_Key': 'k'}


@pytest.mark.parametrize('faults', REPEATS, ids=REPEAT_IDS)
def test_callers_get_their_own_answers(tmp_path, faults):
    """Guards against callers and stages that get the answer to another one."""
    with platform_fleet.PlatformFleet(tmp_path, proxied=True) as fleet:
        for plan in fleet.plans:
            fleet.set_proxy_faults(plan.target_id, faults)
        for number in range(8):
            answer = fleet.call('check', f'check-{number}')
            assert answer.status == 200
            assert answer.body.startswith(b'check-%d by' % number)
            # Surplus bytes inside a stream end it.
            answer = fleet.call('write', f'write-{number}')
            assert platform_fleet.STREAM_BODY.startswith(answer.body)
            request_id = f'review-{number}'
            answer = fleet.call('review', request_id, **STAGED_HEADERS)
            assert platform_fleet.STREAM_BODY.startswith(answer.body)
            *_, run = fleet.runs_of_request(request_id)
            inputs = run['headers']['walnutport-inputs'].split(',')
            assert inputs and all(f'/{request_id}.' in name for name in inputs)


@pytest.mark.parametrize('faults', REPEATS, ids=REPEAT_IDS)
def test_host_reads_its_own_answers_of_the_store(tmp_path, faults):
    """Guards against a page of the store that answers another read.

    The reads of the desired state and of the targets shared channels, so that
    a version of the desired state was never read.
    """
    with platform_fleet.PlatformFleet(tmp_path, proxied=True) as fleet:
        fleet.set_proxy_faults('store', faults)
        for version in range(2, 6):
            fleet.control_platform(
                desired=platform_fleet.desired_state(version),
                states={'plain-1': 'draining' if version % 2 else 'ready'},
            )
            fleet.wait_for_event('desired_applied', version=version)
        fleet.wait_for_event('target_draining', offset=11)
        for number in range(4):
            answer = fleet.call('check', f'check-{number}')
            assert answer.body == b'check-%d by plain-2' % number
        lines = fleet.log_lines()
    assert not [
        line
        for line in lines
        if line['event'] in ('error', 'records_invalid', 'store_unreadable')
    ]

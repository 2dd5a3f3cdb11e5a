"""Entry hosts that follow a list in which another writer left odd entries."""

import json
import signal
import time

import pytest

from standins import platform_fleet
from standins import processes
from tests.integration import test_evacuations
from tests.platform import test_odd_entries

HOSTS = 3
# Host that the store can refuse.
REFUSED = 0
LOAD_S = 1.0
# A target that leaves must get no new work this long after its entry.
FOLLOW_S = 2.0


def odd_entries(fleet: platform_fleet.PlatformFleet) -> dict[str, bytes]:
    """Return an entry of each sort by id, most for the service of a route.

    All name the address of a target that is in use. An empty value would
    remove the key.
    """
    (port,) = (
        plan.port for plan in fleet.plans if plan.target_id == 'plain-1'
    )
    return {
        f'stray-{number}': value.replace(b'"llm"', b'"plain"').replace(
            b'10.1.0.9:8080', f'{platform_fleet.LOOPBACK_IP}:{port}'.encode()
        )
        for number, value in enumerate(test_odd_entries.ODD_ENTRIES.values())
        if value
    }


def check_hosts(fleet: platform_fleet.PlatformFleet) -> None:
    """Check that no host has ended or failed in any way."""
    for number, host in enumerate(fleet.hosts):
        assert host.is_running(), number
        text = (fleet.folder / f'host-{number}.log').read_text()
        assert 'Traceback' not in text
        assert 'Unhandled' not in text
        for event in ('error', 'peer_garbled', 'feed_failed'):
            assert f'"event":"{event}"' not in text


def check_list_is_followed(
    fleet: platform_fleet.PlatformFleet, hosts, target_id: str
) -> None:
    """Let a target leave and return, and check that hosts notice."""
    fleet.control_platform(states={target_id: 'draining'})
    for host in hosts:
        fleet.wait_for_event('target_draining', host, target=target_id)
    fleet.control_platform(states={target_id: 'ready'})
    for host in hosts:
        fleet.wait_for_event('target_ready', host, target=target_id)


@pytest.mark.parametrize('is_from_start', [False, True])
def test_odd_entries_among_good_ones(tmp_path, is_from_start):
    """Guards against entry hosts that end, or stop to follow the list.

    The entries are in the list when hosts start, or appear while callers send,
    one after the other; then a host starts, and one that the store refuses is
    told by its peers.
    """
    with platform_fleet.PlatformFleet(
        tmp_path, hosts=0 if is_from_start else HOSTS, cut_hosts=1
    ) as fleet:
        entries = odd_entries(fleet)
        if is_from_start:
            fleet.write_entries(entries)
            for _ in range(HOSTS):
                fleet.add_host(is_first_start=True)
        test_evacuations.wait_until_linked(fleet)
        load = test_evacuations.Load(fleet, range(HOSTS))
        with load:
            if not is_from_start:
                for target_id, value in entries.items():
                    fleet.write_entries({target_id: value})
                    time.sleep(0.02)
            time.sleep(LOAD_S)
            check_hosts(fleet)
            check_list_is_followed(fleet, range(HOSTS), 'plain-1')
            fleet.add_host()
            joined = HOSTS
            fleet.wait_for_event('peer_joined', joined)
            fleet.control_platform(states={'plain-2': 'gone'})
            for host in range(HOSTS + 1):
                fleet.wait_for_event('target_gone', host, target='plain-2')
            check_restarted_host_is_told(fleet)
        check_hosts(fleet)
        # Without those that the host which was killed has cut off.
        statuses = [answer.status for answer in load.answers]
        assert statuses.count(200) >= 0.8 * len(statuses) > 20
        answer = fleet.call('check', 'last', joined)
        assert answer.status == 200
        lines = [
            line
            for line in fleet.log_lines(joined)
            if line['event'] == 'target_unreadable'
        ]
        assert {line['target'] for line in lines} == set(entries)
        assert len(lines) == len(entries)
        metrics = processes.http_request(
            f'http://{platform_fleet.LOOPBACK_IP}:'
            f'{fleet.ready_ports[joined]}/metrics'
        ).decode()
        assert (
            f'walnutport_records_unreadable_total{{feed="targets"}} '
            f'{len(entries)}\n' in metrics
        )
        assert not [
            run
            for run in fleet.all_runs()
            if run['target_id'].startswith('stray')
        ]


def check_restarted_host_is_told(
    fleet: platform_fleet.PlatformFleet,
) -> None:
    """Check that peers tell a host what the store does not."""
    fleet.end_first_start()
    fleet.hosts[REFUSED].signal(signal.SIGKILL)
    fleet.hosts[REFUSED].kill()
    before = len(fleet.log_lines(REFUSED))
    fleet.set_store_mode(REFUSED, 'busy')
    fleet.restart(REFUSED)
    fleet.wait_ready(REFUSED)
    check_list_is_followed(fleet, [REFUSED], 'llm-1')
    sources = {
        line['source']
        for line in fleet.log_lines(REFUSED)[before:]
        if line['event'] == 'target_added'
    }
    assert sources and 'store' not in sources
    answer = fleet.call('check', 'told', REFUSED)
    assert answer.status == 200, json.dumps(answer.headers)

"""A stop signal that comes more than once."""

import signal

from standins import platform_fleet


def test_second_stop_signal_does_not_change_the_outcome(tmp_path):
    """Guards against a host that drained and reports that it failed."""
    with platform_fleet.PlatformFleet(tmp_path) as fleet:
        (host,) = fleet.hosts
        host.signal(signal.SIGTERM)
        fleet.wait_for_event('stopping')
        assert host.terminate() == 0
        (stopped,) = [
            line for line in fleet.log_lines() if line['event'] == 'stopped'
        ]
        assert stopped['in_flight'] == 0
        assert 'Traceback' not in host.output.read_text()

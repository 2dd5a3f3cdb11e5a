"""Soak rounds of entry hosts with fixed seeds."""

import pytest

from bench import fleet_soak
from bench import soak_releases
from bench import soak_stops

# With one of these bugs injected, the named seed detects it: a false refusal
# after a run (11), a second run of a request that must not be repeated (11), a
# stream that continues after half an event (13). Seed 213 has failed: a stream
# that broke off right after its first events was reset, and its caller got
# none of them. Seed 300 has engines of two versions and detects streams that
# go on at the other one. Seed 328 has failed: a host removed all targets after
# returns of the store, as its peer had told it changes only. In seed 403, two
# hosts are cut off from all targets. Seed 437 has failed: a host that was cut
# off took the targets for crashed, and the content of a request was refused.
# In seed 529, both data centres are evacuated while the store returns from
# older copies and hosts are cut off from all targets. Seed 572 makes targets
# cold, and detects hosts that send without permits.
SEEDS = (11, 13, 213, 300, 328, 403, 437, 529, 572)


@pytest.mark.parametrize('seed', SEEDS)
def test_round_violates_no_guarantee(seed, tmp_path):
    """Guards against guarantees that are violated when faults overlap."""
    problems, counts = fleet_soak.run_round(seed, tmp_path)
    assert not problems, '\n'.join(problems)
    assert int(counts.split()[0]) > 100


# In seed 5, both versions stay, and the hosts are killed in series: streams of
# callers that a live host knew were refused at all others. In seed 14, all
# hosts are killed while the old version leaves: streams went on at the new
# version. In seed 18, all hosts are killed again after the old version has
# left: hosts that had not known it told nobody where streams began.
RELEASE_SEEDS = (5, 14, 18)


@pytest.mark.parametrize('seed', RELEASE_SEEDS)
def test_streams_go_on_at_their_version_after_kills_in_a_release(
    seed, tmp_path
):
    """Guards against streams that are refused or joined from two versions."""
    problems, _ = soak_releases.run_round(seed, tmp_path)
    assert not problems, '\n'.join(problems)


# Three hosts are stopped twice, within 5 s, with a grace of 4 s.
STOP_SEEDS = (110,)


@pytest.mark.parametrize('seed', STOP_SEEDS)
def test_stops_in_series_cut_off_no_late_request(seed, tmp_path):
    """Guards against requests that a stopping host takes and cuts off."""
    problems, counts = soak_stops.run_round(seed, tmp_path)
    assert not problems, '\n'.join(problems)
    assert int(counts.split()[0]) > 100

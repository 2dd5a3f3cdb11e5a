"""Connection faults between hosts and targets while requests run."""

from collections.abc import Iterator

import pytest

from standins import fleet
from standins import ledger
from standins import processes
from tests.integration import faults

FAULTS_BY_NAME: dict[str, dict] = {
    'reset': {'reset': True},
    'black_hole': {'black_hole': True},
    'half_open': {'half_open': True},
    'delayed': {'delay_s': 0.3},
    'dripped': {'drip_bytes': 64, 'drip_s': 0.01},
    'answers_lost': {'black_hole': True, 'direction': 'to_client'},
}
RESETS = 4
FAULTY_TARGETS = ('retriever-1', 'engine-1', 'payments-1')


@pytest.fixture(scope='module', name='running')
def fixture_running() -> Iterator[fleet.Fleet]:
    """Start a fleet; no test ends its processes."""
    with fleet.Fleet(faults.plan()) as running:
        yield running


@pytest.mark.parametrize('name', FAULTS_BY_NAME)
def test_faulty_connections_to_targets(running: fleet.Fleet, name) -> None:
    """Guards against lost, doubled or misdelivered work and false refusals."""
    loads = (
        faults.load('summaries', 50, 30.0),
        faults.load('summaries', 25, 15.0, stream=True),
        faults.load('payments', 25, 15.0),
    )
    sender = running.start_caller(loads, name)
    faults.wait_count(running, name, 15, kind='started', stage='reranker')
    for target_id in FAULTY_TARGETS:
        running.set_proxy_faults(target_id, **FAULTS_BY_NAME[name])
    faults.wait_count(running, name, 60, kind='sent')
    for target_id in FAULTY_TARGETS:
        running.set_proxy_faults(target_id)
    faults.finish(sender)
    report = faults.verdict(running, name, 100)
    # The caller disconnects if a host waits for a connection beyond the
    # deadline of a request.
    assert faults.count(running, name, outcome='disconnected') == 0
    assert report.complete >= 50


def test_stream_reset_while_events_arrive(running: fleet.Fleet) -> None:
    """Guards against lost or repeated events when a stream is resumed.

    The connections are reset several times: beside other load, the streams of
    one time may be over before the reset.
    """
    source = 'streams'
    loads = (faults.load('summaries', RESETS * 40, 40.0, stream=True),)
    sender = running.start_caller(loads, source)
    for _ in range(RESETS):
        _wait_for_more(
            running,
            sender,
            source,
            1,
            kind='started',
            stage='generate',
            source='engine-2',
        )
        running.set_proxy_faults('engine-2', reset=True)
        _wait_for_more(running, sender, source, 10, kind='sent')
        running.set_proxy_faults('engine-2')
    faults.finish(sender)
    faults.verdict(running, source, RESETS * 40)
    events = faults.events_of(running, source)
    started_nonces = [
        event.nonce
        for event in events
        if event.kind is ledger.EventKind.STARTED and event.stage == 'generate'
    ]
    all_tokens = tuple(range(20))
    resumed = 0
    for event in events:
        if event.kind is ledger.EventKind.ANSWERED:
            assert event.tokens == all_tokens[: len(event.tokens)]
            if event.outcome == 'complete':
                assert event.tokens == all_tokens
                resumed += started_nonces.count(event.nonce) > 1
    assert resumed, 'no stream was resumed'


def _wait_for_more(
    running: fleet.Fleet,
    sender: processes.ManagedProcess,
    caller_name: str,
    least: int,
    /,
    **wanted: str,
) -> None:
    """Wait for further events of a caller's requests, or for its end."""
    before = faults.count(running, caller_name, **wanted)
    faults.wait(
        lambda: (
            not sender.is_running()
            or faults.count(running, caller_name, **wanted) >= before + least
        )
    )

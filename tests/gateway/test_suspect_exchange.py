"""Tests of the exchange of reports on requests that crash targets."""

import random

import pytest

from walnutport.gateway import suspect_exchange
from walnutport.peer import fleet_messages
from walnutport.quarantine import suspicion
from walnutport.routing import outcomes

REPORT = fleet_messages.CrashReport(b'd', ('t1/1', 't2/1'), False)


class FakeMesh:
    """Mesh that records what is sent to all linked peers."""

    def __init__(self, is_partial: bool) -> None:
        self.is_partial = is_partial
        self.sent: list = []

    def broadcast(self, message) -> None:
        self.sent.append(message)

    def send(self, name, message) -> None:
        self.sent.append((name, message))


@pytest.mark.parametrize('is_partial', [True, False])
def test_new_report_reaches_hosts_without_a_link_to_its_sender(is_partial):
    """Guards against a request that crashes targets through host after host.

    In a partial mesh, a report reached only the hosts linked with its sender.
    Each of the others ran the request once more when its caller returned.
    """
    mesh = FakeMesh(is_partial)
    exchange = suspect_exchange.SuspectExchange(
        None, None, mesh, None, outcomes.TargetOutcomes(random.Random(1))
    )
    exchange.merge_report(REPORT)
    exchange.merge_report(REPORT)
    assert mesh.sent == ([REPORT] if is_partial else [])
    assert (
        exchange.table.state(b'd', 0.0) is suspicion.SuspicionState.QUARANTINED
    )


def test_host_that_joins_is_told_about_suspects():
    """Guards against a request that crashes targets once more.

    A host that had just started did not know the suspects of its peers.
    """
    mesh = FakeMesh(False)
    exchange = suspect_exchange.SuspectExchange(
        None, None, mesh, None, outcomes.TargetOutcomes(random.Random(1))
    )
    exchange.merge_report(REPORT)
    cleared = fleet_messages.CrashReport(b'e', ('t1/1',), True)
    exchange.merge_report(cleared)
    exchange.peer_joined('started')
    assert mesh.sent == [('started', REPORT)]

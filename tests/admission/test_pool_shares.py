"""Tests of the pool capacity of a host that has lent part of its share."""

from walnutport.admission import control
from walnutport.peer import messages
from walnutport import world


def test_lending_does_not_reduce_own_pool_capacity() -> None:
    """Guards against a host that queues requests while the pool is idle.

    Demand for a few slots varies within the 3 s of a lease. When a loan
    reduced the lender's own capacity, a host at 70% load was left with one
    of its three slots.
    """
    admission = control.AdmissionControl('a', max_queued=100)
    address = world.Address('127.0.0.1', 9)
    admission.targets_changed(
        {'t': world.Target('t', 'encoder', 'dc', address, slots=8)}, 0.0
    )
    admission.hosts_changed(('a', 'b'), ('a', 'b'), 0.0)
    queue = admission.pool_queue('encoder')
    admission.advance(1.0)
    before = queue.capacity('pool/encoder')
    demand = messages.LimitDemand('pool/encoder', 4, 40, tick_ms=1_000)
    admission.demands_received('b', (demand,), 1.0)
    loans = admission.demands(1.1)[0].loans
    assert loans and loans[0].host_id == 'b'
    assert queue.capacity('pool/encoder') == before

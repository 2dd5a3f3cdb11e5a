"""Tests of the estimated queueing time."""

from walnutport.admission import flows
from walnutport.admission import waits
from walnutport import interfaces


def resource(key: str, in_use: int, waiting: int) -> waits.Resource:
    """Return a resource of 32 units with a drain rate of one unit a second."""
    made = waits.Resource(key, 32, in_use, waiting)
    for second in range(20):
        made.meter.observe(float(second), saturated=True)
        made.meter.release(1)
    return made


def test_only_a_full_resource_contributes_to_the_estimate() -> None:
    """Guards against refusals caused by a resource that has free units.

    A ticket counts as waiting for every resource that it needs, also for
    those with free units. The outdated drain rate of an almost idle resource
    then gave estimates of seconds, and requests were refused at 70% load.
    """
    ticket = interfaces.Ticket('t', 'e', 'm', 'c', deadline=4.0)
    tree = flows.FlowTree(lambda _: 1.0, lambda _: 1.0)
    roomy = resource('window/engine', in_use=4, waiting=17)
    item = flows.WaitingTicket(ticket, (roomy,), 0, tree.flow_of(ticket))
    assert waits.estimate_wait(item, 17, lambda: 1.0).seconds == 0
    full = resource('window/retriever', in_use=32, waiting=3)
    item = flows.WaitingTicket(ticket, (roomy, full), 0, tree.flow_of(ticket))
    assert waits.estimate_wait(item, 3, lambda: 1.0).key == 'window/retriever'

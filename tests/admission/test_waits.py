"""Tests of the estimate of a wait."""

from walnutport.admission import flows
from walnutport.admission import waits
from walnutport import interfaces


def resource(key: str, in_use: int, waiting: int) -> waits.Resource:
    """Return a resource of 32 units that once drained one unit a second."""
    made = waits.Resource(key, 32, in_use, waiting)
    for second in range(20):
        made.meter.observe(float(second), saturated=True)
        made.meter.release(1)
    return made


def test_only_the_full_resource_counts() -> None:
    """Guards against refusals for a wait in front of a resource with room.

    Tickets that wait for one resource count as waiting for each that they
    need. The old rate of a resource that is nearly free then gave waits of
    seconds, and requests were refused at 70% load.
    """
    ticket = interfaces.Ticket('t', 'e', 'm', 'c', deadline=4.0)
    tree = flows.FlowTree(lambda _: 1.0, lambda _: 1.0)
    roomy = resource('window/engine', in_use=4, waiting=17)
    item = flows.Waiting(ticket, (roomy,), 0, tree.flow_of(ticket))
    assert waits.estimate(item, 17, lambda: 1.0).seconds == 0
    full = resource('window/retriever', in_use=32, waiting=3)
    item = flows.Waiting(ticket, (roomy, full), 0, tree.flow_of(ticket))
    assert waits.estimate(item, 3, lambda: 1.0).key == 'window/retriever'

"""Tests of the slots of a stand-in target."""

from twisted.internet import defer

from standins import priority_slots


def test_a_cancelled_wait_takes_no_slot() -> None:
    """Guards against a target that loses a slot with each lost caller.

    Cancelled hedges left targets of the bench with fewer and fewer slots.
    """
    slots = priority_slots.PrioritySlots(1)
    slots.acquire(1.0)
    gone = slots.acquire(2.0)
    gone.addErrback(lambda failure: failure.trap(defer.CancelledError))
    kept = slots.acquire(1.0)
    gone.cancel()
    slots.release()
    assert kept.called

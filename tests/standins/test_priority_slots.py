"""Tests of the request slots of a target stand-in."""

from twisted.internet import defer

from standins import priority_slots


def test_cancelled_wait_takes_no_slot() -> None:
    """Guards against a slot that leaks with each cancelled wait.

    Cancelled hedges left the targets of a benchmark with fewer and fewer
    slots.
    """
    slots = priority_slots.PrioritySlots(1)
    slots.acquire(1.0)
    cancelled = slots.acquire(2.0)
    cancelled.addErrback(lambda failure: failure.trap(defer.CancelledError))
    remaining = slots.acquire(1.0)
    cancelled.cancel()
    slots.release()
    assert remaining.called

"""The time at which a host that stops cuts off what is unfinished."""

import math

__all__ = ['DELIVERY_MARGIN_S', 'HostEnd']

# Time for a response to reach its caller, and for the delay of the event loop
# that sends it.
DELIVERY_MARGIN_S = 0.2


class HostEnd:
    """The end of a host, which is known from its stop signal on.

    All times are those of the monotonic clock.

    >>> end = HostEnd()
    >>> end.is_set, end.fits(60.0, now=5.0)
    (False, True)
    >>> end.set(12.5)
    >>> end.left_s(10.0), end.fits(1.0, 10.0), end.fits(2.4, 10.0)
    (2.5, True, False)
    """

    def __init__(self) -> None:
        self._ends_at = math.inf

    def set(self, ends_at: float) -> None:
        """Record when the host cuts off what is unfinished.

        A later end than one that was recorded before has no effect: the
        process that sent the first stop signal does not wait longer.
        """
        self._ends_at = min(self._ends_at, ends_at)

    @property
    def is_set(self) -> bool:
        """Whether the stop signal has come."""
        return math.isfinite(self._ends_at)

    def left_s(self, now: float) -> float:
        """Return the seconds until the end, ``math.inf`` before the signal.

        They are negative after the end.
        """
        return self._ends_at - now

    def fits(self, expected_s: float, now: float) -> bool:
        """Return whether work that begins now can be delivered in time.

        :param expected_s: expected seconds until its response is complete.
        """
        return expected_s + DELIVERY_MARGIN_S <= self.left_s(now)

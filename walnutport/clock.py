"""Implementation of the ``Clock`` interface by the system clock."""

import time

__all__ = ['SystemClock']


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the time of the monotonic clock in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the Unix time in seconds."""
        return time.time()

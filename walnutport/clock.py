"""System clock behind the ``Clock`` interface."""

import time

__all__ = ['SystemClock']


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds of the monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()

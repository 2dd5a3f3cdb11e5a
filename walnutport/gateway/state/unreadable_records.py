"""Counts the records of other writers that cannot be decoded."""

__all__ = ['MAX_LOGGED_RECORDS', 'UnreadableRecords']

# Bound of the records that were logged once.
MAX_LOGGED_RECORDS = 1000


class UnreadableRecords:
    """Records of one kind that cannot be decoded.

    A writer may write such a record again and again, and lists repeat it, so
    that it is logged once for each key and reason.

    :param kind: kind of the records, as a label of the counter.
    :ivar count: records that could not be decoded, repeated ones included.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._logged: set[tuple[str, str]] = set()
        self.count = 0

    def add(self, key: str, problem: object) -> bool:
        """Count a record.

        :param problem: why it cannot be decoded.
        :returns: whether it is to be logged; False if it was logged before, or
            many others were.
        """
        self.count += 1
        record = (key, str(problem))
        if record in self._logged or len(self._logged) >= MAX_LOGGED_RECORDS:
            return False
        self._logged.add(record)
        return True

    def totals(self) -> dict[str, float]:
        """Return the counter by name."""
        return {f'records_unreadable_total{{feed="{self._kind}"}}': self.count}

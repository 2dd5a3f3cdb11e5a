"""Sums of cost since the start of a process, in bounded memory."""

from walnutport.cost import records

__all__ = ['CostSums']

_OTHER = '*'


class CostSums:
    """Adds up cost lines by key.

    Beyond ``max_keys`` keys, all new keys of an owner and stage are recorded
    under one shared key with member and entry ``*``. Beyond twice as many
    keys, new shared keys are recorded under a single key with owner and stage
    ``*`` as well.

    >>> sums = CostSums(max_keys=1)
    >>> for member in 'abc':
    ...     key = records.CostKey('o', member, 'e', 's')
    ...     sums.add(key, records.CostLine(attempts=1))
    >>> [(k.member_id, v.attempts) for k, v in sums.lines_by_key.items()]
    [('a', 1), ('*', 2)]
    """

    def __init__(self, max_keys: int = 1_000) -> None:
        self._max_keys = max_keys
        self.lines_by_key: dict[records.CostKey, records.CostLine] = {}

    def add(self, key: records.CostKey, line: records.CostLine) -> None:
        """Add a line under its own key or under a shared one."""
        lines = self.lines_by_key
        if key not in lines and len(lines) >= self._max_keys:
            key = records.CostKey(key.owner, _OTHER, _OTHER, key.stage)
            if key not in lines and len(lines) >= 2 * self._max_keys:
                key = records.CostKey(_OTHER, _OTHER, _OTHER, _OTHER)
        known = lines.get(key)
        lines[key] = known.plus(line) if known else line

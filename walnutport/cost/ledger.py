"""Records the cost of a host's attempts and returns it in numbered batches.

A cost is in the open counters, in the one pending batch, or in the log. Only
a pending batch whose append may have taken effect must keep its number and
its content; any other returns to the counters, so an outage of the log takes
no more memory than the counters.
"""

from walnutport.cost import records
from walnutport.cost import sums
from walnutport import interfaces

__all__ = ['CostLedger']

_US_PER_S = 1_000_000
_OTHER = '*'


class CostLedger:
    """Records the cost of the attempts of this host.

    :param incarnation: number chosen at the start of the process.
    :param max_keys: limit of open keys; beyond it, all new keys of an owner
        and stage are recorded under one with member and entry ``*``.
    :param max_rows: maximum number of rows of a batch; 200 stay below 64 KiB.
    """

    def __init__(
        self,
        host_id: str = '',
        incarnation: int = 0,
        max_keys: int = 10_000,
        max_rows: int = 200,
    ) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._max_keys = max_keys
        self._max_rows = max_rows
        self._sequence = 0
        self._pending: records.CostBatch | None = None
        self._ambiguous = False
        self.lines_by_key: dict[records.CostKey, records.CostLine] = {}
        # The open counters are reduced by each flush; these only grow.
        self.sums_since_start = sums.CostSums()

    def record(
        self,
        *,
        member_id: str,
        owner: str,
        entry_id: str,
        stage: str,
        result: interfaces.AttemptResult,
    ) -> None:
        """Record one attempt, whatever its result."""
        if result.status is interfaces.AttemptStatus.NOT_SENT:
            return
        line = records.CostLine(
            attempts=1,
            failed=int(result.status is not interfaces.AttemptStatus.OK),
            target_us=round(result.latency_s * _US_PER_S),
            tokens=result.tokens,
        )
        key = records.CostKey(owner, member_id, entry_id, stage)
        self._add(key, line)
        self.sums_since_start.add(key, line)

    def next_batch(self) -> records.CostBatch | None:
        """Return the batch to append next, or None if there is none."""
        if self._pending is None and self.lines_by_key:
            keys = sorted(self.lines_by_key)[: self._max_rows]
            self._sequence += 1
            self._pending = records.CostBatch(
                self._host_id,
                self._incarnation,
                self._sequence,
                tuple(
                    records.CostRow(key, self.lines_by_key.pop(key))
                    for key in keys
                ),
            )
        return self._pending

    def append_succeeded(self) -> None:
        """Discard the pending batch: it is in the log."""
        self._pending = None
        self._ambiguous = False

    def append_ambiguous(self) -> None:
        """Keep the pending batch: it may be in the log."""
        self._ambiguous = True

    def append_refused(self) -> None:
        """Return the batch to the counters, unless it may be in the log.

        The last append had no effect, but an earlier one may have had.
        """
        if self._pending is None or self._ambiguous:
            return
        for row in self._pending.rows:
            self._add(row.key, row.line)
        self._pending = None

    def _add(self, key: records.CostKey, line: records.CostLine) -> None:
        known = self.lines_by_key.get(key)
        if known is None and len(self.lines_by_key) >= self._max_keys:
            key = records.CostKey(key.owner, _OTHER, _OTHER, key.stage)
            known = self.lines_by_key.get(key)
        self.lines_by_key[key] = known.plus(line) if known else line

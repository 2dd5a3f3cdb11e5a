"""Logs and counts which runs have brought the streams of callers."""

import collections

from walnutport.gateway.entry import calls
from walnutport.gateway.streams import stream_record

__all__ = ['StreamLog']


class StreamLog:
    """Log line of each stream, and counters of what its runs have brought."""

    def __init__(self, log) -> None:
        self._log = log
        self._repeated_events = 0
        self._gaps = 0
        self._resumed_runs = 0
        self._mixed_streams = 0
        self._close_outcomes: collections.Counter[
            stream_record.CloseOutcome
        ] = collections.Counter()

    def ended(self, call: calls.CallerCall) -> None:
        """Count the runs of a call that has ended; log those of a stream."""
        record = call.delivery
        self._repeated_events += record.repeated_events
        self._gaps += record.gaps
        self._close_outcomes.update(record.close_outcomes)
        if not record.events:
            return
        self._resumed_runs += record.run_count - 1
        self._mixed_streams += bool(
            record.versions - {call.origin_version, None}
        )
        is_complete = call.outcome == 'streamed'
        write = (
            self._log.routine
            if is_complete and record.run_count == 1
            else self._log.notable
        )
        write(
            'stream_ended',
            id=call.request_id,
            begun_by=call.fields.begun_by,
            after=call.fields.last_event_id,
            version=call.origin_version,
            first=record.first_id,
            last=record.last_id,
            events=record.events,
            repeated=record.repeated_events,
            runs=[run.describe() for run in record.runs],
            run_count=record.run_count,
            framing=record.framing,
            end=call.outcome or 'error',
            close=record.close_outcome or '',
            close_checked_by=record.close_checked_by,
        )

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'stream_events_repeated_total': self._repeated_events,
            'stream_gaps_total': self._gaps,
            'stream_runs_resumed_total': self._resumed_runs,
            'stream_versions_mixed_total': self._mixed_streams,
            **{
                f'responses_ended_by_close_total{{outcome="{outcome}"}}': (
                    self._close_outcomes[outcome]
                )
                for outcome in stream_record.CloseOutcome
            },
        }

"""State of the stage targets that the owner of a cell tracks."""

import dataclasses
import enum

from walnutport.stages import jobs
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['BUSY_PAUSE_S', 'CallFailure', 'RunningCall', 'StageTarget']

# Weight of a new sample in the moving average of the slowness of a target.
SLOWNESS_GAIN = 0.3
# Bounds of the slowness, so that a single outlier does not exclude a target.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
# Pause after a target refused a call because it runs other work; such a call
# takes a few hundred ms.
BUSY_PAUSE_S = 0.06
# Pause after a failed call; it doubles with each consecutive failure.
FAILURE_PAUSE_S = 0.5
MAX_FAILURE_PAUSE_S = 4.0


class CallFailure(enum.Enum):
    """Reason for the failure of a whole call."""

    BUSY = 'busy'
    WRONG_TARGET = 'wrong_target'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    ERROR = 'error'


@dataclasses.dataclass(slots=True)
class RunningCall:
    """Call that its target has not answered yet.

    :param target: target lifetime that runs the call.
    :param pieces: pieces of the call, each with its job.
    :param expected_s: expected duration at this target, slowness included.
    """

    target: 'StageTarget'
    pieces: list[tuple[jobs.Job, jobs.PieceId]]
    started_at: float
    expected_s: float

    def jobs(self) -> list[jobs.Job]:
        """Return the distinct jobs that have pieces in the call."""
        return list({id(job): job for job, _ in self.pieces}.values())


@dataclasses.dataclass(slots=True)
class StageTarget:
    """One lifetime of a stage target.

    :param held_bytes: result memory that running calls and jobs occupy.
    :param slowness: measured duration of its calls divided by the expected
        one.
    """

    info: registrations.RegisteredTarget
    rules: routes.BatchRules
    calls: dict[int, RunningCall] = dataclasses.field(default_factory=dict)
    held_bytes: float = 0.0
    slowness: float = 1.0
    paused_until: float = 0.0
    failures: int = 0
    usable: bool = True

    def is_free(self, now: float) -> bool:
        """Return whether the target can take a call."""
        return (
            self.usable
            and now >= self.paused_until
            and len(self.calls) < self.rules.slots
        )

    def free_in_s(self, now: float) -> float:
        """Return the expected time until the target can take a call."""
        paused_s = max(0.0, self.paused_until - now)
        if len(self.calls) < self.rules.slots:
            return paused_s
        return max(
            paused_s,
            min(
                call.started_at + call.expected_s - now
                for call in self.calls.values()
            ),
        )

    def release_memory(self, size: float) -> None:
        """Subtract the size of a released result."""
        self.held_bytes = max(0.0, self.held_bytes - size)

    def record_answer(self, call: RunningCall, now: float) -> None:
        """Update the slowness from an answered call."""
        self.failures = 0
        expected_s = call.expected_s / self.slowness
        measured_slowness = (now - call.started_at) / expected_s
        measured_slowness = min(
            MAX_SLOWNESS, max(MIN_SLOWNESS, measured_slowness)
        )
        self.slowness += SLOWNESS_GAIN * (measured_slowness - self.slowness)

    def record_failure(self, failure: CallFailure, now: float) -> None:
        """Pause the target after a failed call."""
        if failure is CallFailure.BUSY:
            self.paused_until = now + BUSY_PAUSE_S
            return
        if failure is CallFailure.TIMEOUT:
            self.slowness = min(MAX_SLOWNESS, self.slowness * 2)
        pause_s = min(MAX_FAILURE_PAUSE_S, FAILURE_PAUSE_S * 2**self.failures)
        self.failures += 1
        self.paused_until = now + pause_s
        if failure is CallFailure.WRONG_TARGET:
            self.usable = False

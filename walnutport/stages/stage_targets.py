"""Stage targets as the owner of a cell knows them."""

import dataclasses
import enum

from walnutport.stages import jobs
from walnutport.world import registrations
from walnutport.world import routes

__all__ = ['BUSY_PAUSE_S', 'CallFailure', 'RunningCall', 'StageTarget']

# Share of a new sample in the measured slowness of a target.
SLOWNESS_GAIN = 0.3
# Bounds of the slowness, so that one odd sample does not rule a target out.
LEAST_SLOWNESS = 0.5
MOST_SLOWNESS = 8.0
# A target that refuses a call is busy with others' work; a call there takes
# some hundred ms.
BUSY_PAUSE_S = 0.06
# Pause after a failed call, doubled with each further failure.
FAILURE_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0


class CallFailure(enum.Enum):
    """How a call fails as a whole."""

    BUSY = 'busy'
    WRONG_TARGET = 'wrong_target'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    ERROR = 'error'


@dataclasses.dataclass(slots=True)
class RunningCall:
    """Call under way.

    :param target: lifetime that runs it.
    :param expected_s: how long it should take at this target.
    """

    target: 'StageTarget'
    work: list[tuple[jobs.Job, jobs.PieceId]]
    started_at: float
    expected_s: float

    def jobs(self) -> list[jobs.Job]:
        """Return the jobs that have pieces in the call, each once."""
        return list({id(job): job for job, _ in self.work}.values())


@dataclasses.dataclass(slots=True)
class StageTarget:
    """One lifetime of a stage target.

    :param held_bytes: memory for results that calls and jobs take.
    :param slowness: measured over expected time of its calls.
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
        """Whether the target can take a call."""
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

    def give_room(self, size: float) -> None:
        """Take note that a result takes no memory any more."""
        self.held_bytes = max(0.0, self.held_bytes - size)

    def answered(self, call: RunningCall, now: float) -> None:
        """Learn from a call that was answered."""
        self.failures = 0
        expected_s = call.expected_s / self.slowness
        sample = (now - call.started_at) / expected_s
        sample = min(MOST_SLOWNESS, max(LEAST_SLOWNESS, sample))
        self.slowness += SLOWNESS_GAIN * (sample - self.slowness)

    def failed(self, failure: CallFailure, now: float) -> None:
        """Leave the target out for a while after a failed call."""
        if failure is CallFailure.BUSY:
            self.paused_until = now + BUSY_PAUSE_S
            return
        if failure is CallFailure.TIMEOUT:
            self.slowness = min(MOST_SLOWNESS, self.slowness * 2)
        pause_s = min(LONGEST_PAUSE_S, FAILURE_PAUSE_S * 2**self.failures)
        self.failures += 1
        self.paused_until = now + pause_s
        if failure is CallFailure.WRONG_TARGET:
            self.usable = False

"""State of the stage targets that the owner of a cell tracks."""

import dataclasses
import enum
import math

from walnutport.routing import eligibility
from walnutport.routing import target_speed
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
# After a target has refused a result for lack of room, no result that needs
# more is asked of it for this time. The results of a lost owner that fill it
# are dropped all at once after some seconds.
NO_ROOM_HOLD_S = 0.1
# After that, what it refused is forgotten evenly within this time, so that a
# few results show first whether there is room again.
NO_ROOM_DECAY_S = 0.25
# A call that exceeds this multiple of its expected time plus the margin is
# retried at another target.
TIMEOUT_RATIO = 2.5
TIMEOUT_MARGIN_S = 0.3
# Network round trip to a target and processing time of the host.
CALL_OVERHEAD_S = 0.01
# A target that states a limit has results freed once in this number of calls.
FREE_SPACING = 4


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
    :param slowness: slowness that was expected at the start; None for the
        measured one.
    """

    target: 'StageTarget'
    pieces: list[tuple[jobs.Job, jobs.PieceId]]
    started_at: float
    expected_s: float
    slowness: float | None = None

    @property
    def timeout_s(self) -> float:
        """Time after which the call is retried at another target."""
        return self.expected_s * TIMEOUT_RATIO + TIMEOUT_MARGIN_S

    def jobs(self) -> list[jobs.Job]:
        """Return the distinct jobs that have pieces in the call."""
        return list({id(job): job for job, _ in self.pieces}.values())


@dataclasses.dataclass(slots=True)
class StageTarget:
    """One lifetime of a stage target.

    :param held_bytes: result memory that running calls and jobs occupy.
    :param unknown_bytes: result memory that others occupy, as far as a refusal
        for lack of room has shown; forgotten some time after it.
    :param no_room_at: time of that refusal.
    :param speed: duration of its calls divided by the expected one.
    :param usable: whether it is listed and is itself.
    :param leaving: whether it has stated that it is shutting down, so that its
        results end with it.
    :param min_interval_s: time between calls that keeps the limit that the
        target states; 0 without a limit.
    :param held_until: end of the time for which it wants no calls.
    :param next_send_at: earliest time of the next call by that limit.
    :param next_free_at: earliest time to free results by that limit.
    :param ineligible: why it may not get new work, None if it may.
    """

    info: registrations.RegisteredTarget
    rules: routes.BatchRules
    calls: dict[int, RunningCall] = dataclasses.field(default_factory=dict)
    held_bytes: float = 0.0
    unknown_bytes: float = 0.0
    no_room_at: float = -math.inf
    speed: target_speed.TargetSpeed = dataclasses.field(
        default_factory=lambda: target_speed.TargetSpeed(1.0, SLOWNESS_GAIN)
    )
    paused_until: float = 0.0
    failures: int = 0
    usable: bool = True
    leaving: bool = False
    min_interval_s: float = 0.0
    held_until: float = -math.inf
    next_send_at: float = 0.0
    next_free_at: float = 0.0
    ineligible: eligibility.Reason | None = None

    @property
    def accepts_work(self) -> bool:
        """Whether the target can take calls now or later."""
        return self.usable and self.ineligible is None

    def call_s(self, piece_count: int) -> float:
        """Return the duration of a call, without the measured slowness."""
        rules = self.rules
        return rules.call_s + piece_count * rules.piece_s + CALL_OVERHEAD_S

    def is_free(self, now: float) -> bool:
        """Return whether the target can take a call."""
        return (
            self.accepts_work
            and now >= self.paused_until
            and self.stated_delay_s(now) <= 0
            and len(self.calls) < self.rules.slots
        )

    def free_in_s(self, now: float) -> float:
        """Return the expected time until the target can take a call."""
        paused_s = max(0.0, self.paused_until - now, self.stated_delay_s(now))
        if len(self.calls) < self.rules.slots:
            return paused_s
        return max(
            paused_s,
            min(
                call.started_at + call.expected_s - now
                for call in self.calls.values()
            ),
        )

    def stated_delay_s(self, now: float) -> float:
        """Return the time until the next call by what the target states."""
        delay_s = max(0.0, self.held_until - now)
        if self.min_interval_s:
            delay_s = max(delay_s, self.next_send_at - now)
        return delay_s

    def record_send(self, now: float) -> None:
        """Record a call, or the freeing of results."""
        # One unused turn is kept, as calls do not come evenly.
        self.next_send_at = (
            max(self.next_send_at, now - self.min_interval_s)
            + self.min_interval_s
        )

    def may_free(self, now: float) -> bool:
        """Return whether results may be freed by what the target states."""
        if self.stated_delay_s(now) > 0:
            return False
        return not self.min_interval_s or now >= self.next_free_at

    def record_free(self, now: float) -> None:
        """Record the freeing of results."""
        self.record_send(now)
        self.next_free_at = now + FREE_SPACING * self.min_interval_s

    @property
    def slowness(self) -> float:
        """Measured duration of its calls divided by the expected one."""
        return self.speed.measured

    def slowness_at(self, now: float) -> float:
        """Return the slowness of a call that starts now."""
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, self.speed.expected(now)))

    def effective_slowness(self, now: float) -> float:
        """Return the slowness of full calls, with the wait between them."""
        full_call_s = (
            self.rules.call_s + self.rules.max_pieces * self.rules.piece_s
        )
        return max(self.slowness_at(now), self.min_interval_s / full_call_s)

    def free_bytes(self, now: float) -> float:
        """Return the result memory that is free as far as is known."""
        forgotten_s = now - self.no_room_at - NO_ROOM_HOLD_S
        unknown_ratio = 1 - max(0.0, forgotten_s) / NO_ROOM_DECAY_S
        return (
            self.rules.memory_bytes
            - self.held_bytes
            - self.unknown_bytes * max(0.0, unknown_ratio)
        )

    def record_no_room(self, size: float, now: float) -> None:
        """Record that a result had no room beside those that are known.

        Smaller results may still have room.
        """
        self.no_room_at = now
        self.unknown_bytes = max(
            0.0, self.rules.memory_bytes - self.held_bytes - size + 1
        )

    def release_memory(self, size: float) -> None:
        """Subtract the size of a released result."""
        self.held_bytes = max(0.0, self.held_bytes - size)

    def record_answer(self, call: RunningCall, now: float) -> None:
        """Update the slowness from an answered call."""
        self.failures = 0
        expected_s = call.expected_s / (call.slowness or self.slowness)
        measured_slowness = (now - call.started_at) / expected_s
        measured_slowness = min(
            MAX_SLOWNESS, max(MIN_SLOWNESS, measured_slowness)
        )
        self.speed.measure(measured_slowness, now)

    def record_failure(self, failure: CallFailure, now: float) -> None:
        """Pause the target after a failed call."""
        if failure is CallFailure.BUSY:
            self.paused_until = now + BUSY_PAUSE_S
            return
        if failure is CallFailure.TIMEOUT:
            self.speed.replace(
                min(MAX_SLOWNESS, self.slowness_at(now) * 2), now
            )
        pause_s = min(MAX_FAILURE_PAUSE_S, FAILURE_PAUSE_S * 2**self.failures)
        self.failures += 1
        self.paused_until = now + pause_s
        if failure is CallFailure.WRONG_TARGET:
            self.usable = False

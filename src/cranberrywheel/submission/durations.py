"""Expected durations of tasks, since declared ones are off by up to nine tenths.

Load pattern: half of the queues declare durations that say nothing. An estimate
weighs three sources by how well each has predicted: the declared duration, the mean
of the queue, and the finished tasks of the same submission. All three are compared
as logarithms, since errors are factors.
"""

import dataclasses
import math

from cranberrywheel.submission.live import LiveSubmission
from cranberrywheel.submission.model import Step

#: Weight of the newest observation once there are enough.
LEARNING_RATE = 0.02
#: Observations that the assumed spread of a new queue counts for.
PRIOR_COUNT = 8
#: Assumed spread of the errors of declared durations and of a queue's durations, as
#: standard deviations of logarithms. The first is what honest callers reach.
DECLARED_SPREAD = 0.3
QUEUE_SPREAD = 0.6
#: Spread between the tasks of one submission.
SUBMISSION_SPREAD = 0.3
#: Bounds on one observation against the declared duration, so that a stalled run
#: does not spoil the averages.
MIN_FACTOR, MAX_FACTOR = 0.05, 20.0
#: Change of a queue's estimate, as a factor, from which work is estimated again.
NOTICED_CHANGE = 1.05


@dataclasses.dataclass
class _Average:
    """Running mean and variance of logarithms."""

    mean: float
    variance: float
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        rate = max(LEARNING_RATE, 1 / self.count)
        spread_rate = max(LEARNING_RATE, 1 / (self.count + PRIOR_COUNT))
        error = value - self.mean
        self.mean += rate * error
        if self.count > 1:
            self.variance += spread_rate * (error * error - self.variance)


class _QueueDurations:
    def __init__(self) -> None:
        self.declared = _Average(0.0, DECLARED_SPREAD**2)
        self.true = _Average(0.0, QUEUE_SPREAD**2)
        self.generation = 0
        self._noted = (0.0, 0.0)

    def add(self, declared_ms: int, true_ms: int) -> None:
        log_ms = math.log(true_ms)
        self.declared.add(log_ms - math.log(declared_ms))
        self.true.add(log_ms)
        state = (self.declared.mean, self.true.mean)
        if any(
            abs(now - noted) > math.log(NOTICED_CHANGE)
            for now, noted in zip(state, self._noted, strict=True)
        ):
            self._noted = state
            self.generation += 1


class Durations:
    """Learned durations by queue."""

    def __init__(self) -> None:
        self._by_queue: dict[str, _QueueDurations] = {}

    def note(self, live: LiveSubmission, step: Step, ran_ms: int) -> None:
        """Learn from a run that ended ``done``."""
        if not step.estimated_ms:
            return
        low, high = MIN_FACTOR * step.estimated_ms, MAX_FACTOR * step.estimated_ms
        true_ms = max(1, round(min(high, max(low, ran_ms))))
        queue = self._by_queue.setdefault(live.submission.queue, _QueueDurations())
        queue.add(step.estimated_ms, true_ms)
        live.note_duration(true_ms)

    def generation(self, live: LiveSubmission) -> int:
        """Return a number that rises with each noticeable change of the estimates."""
        queue = self._by_queue.get(live.submission.queue)
        return queue.generation if queue else 0

    def expected_ms(self, live: LiveSubmission, step: Step) -> float:
        """Return the expected duration of a task on a sound executor."""
        if not step.estimated_ms:
            return 0.0
        queue = self._by_queue.get(live.submission.queue)
        if queue is None:
            return float(step.estimated_ms)
        declared_ms = math.log(step.estimated_ms) + queue.declared.mean
        weight = 1 / queue.declared.variance
        total, weights = weight * declared_ms, weight
        weight = 1 / queue.true.variance
        total, weights = total + weight * queue.true.mean, weights + weight
        if live.done_durations:
            weight = 1 / SUBMISSION_SPREAD**2
            own = live.done_log_ms / live.done_durations
            total, weights = total + weight * own, weights + weight
        return math.exp(total / weights)

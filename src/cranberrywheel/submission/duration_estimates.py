"""Estimates of task durations, learned per queue from finished runs.

Callers declare durations that differ widely from the true ones.
"""

from cranberrywheel.submission.live import LiveSubmission
from cranberrywheel.submission.model import Step

#: Weight of the newest observation in the moving average.
LEARNING_RATE = 0.05
#: Limits of one observation, so that a stalled run does not distort the average.
MIN_FACTOR, MAX_FACTOR = 0.2, 5.0


class DurationEstimates:
    """Moving averages of true against declared durations, by queue."""

    def __init__(self) -> None:
        self._factor_by_queue: dict[str, float] = {}

    def record_run(self, live: LiveSubmission, step: Step, ran_ms: int) -> None:
        """Update the estimate of a queue with a run that ended as ``DONE``.

        :param ran_ms: duration of the run in milliseconds.
        """
        if not step.estimated_ms:
            return
        observed = min(MAX_FACTOR, max(MIN_FACTOR, ran_ms / step.estimated_ms))
        key = live.submission.queue
        average = self._factor_by_queue.get(key, 1.0)
        self._factor_by_queue[key] = average + LEARNING_RATE * (observed - average)

    def get_factor(self, live: LiveSubmission) -> float:
        """Return the expected duration as a multiple of the declared one."""
        return self._factor_by_queue.get(live.submission.queue, 1.0)

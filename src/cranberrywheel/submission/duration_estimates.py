"""Learned durations, since declared ones are far off."""

from cranberrywheel.submission.live import LiveSubmission
from cranberrywheel.submission.model import Step

#: Weight of the newest observation.
LEARNING_RATE = 0.05
#: Bounds on one observation, so that a stalled run does not spoil the average.
MIN_FACTOR, MAX_FACTOR = 0.2, 5.0


class DurationEstimates:
    """Averages of true against declared durations by queue."""

    def __init__(self) -> None:
        self._factor_by_queue: dict[str, float] = {}

    def record_run(self, live: LiveSubmission, step: Step, ran_ms: int) -> None:
        """Learn from a run that ended ``done``."""
        if not step.estimated_ms:
            return
        seen = min(MAX_FACTOR, max(MIN_FACTOR, ran_ms / step.estimated_ms))
        key = live.submission.queue
        known = self._factor_by_queue.get(key, 1.0)
        self._factor_by_queue[key] = known + LEARNING_RATE * (seen - known)

    def factor(self, live: LiveSubmission) -> float:
        """Return true durations as a multiple of the declared ones."""
        return self._factor_by_queue.get(live.submission.queue, 1.0)

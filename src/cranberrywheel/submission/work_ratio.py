"""True against declared work of each queue, for sums over many submissions.

The mean of the ratios of single runs, which :mod:`.duration_estimates` holds, is too
large for a sum where declarations scatter: with a factor of two in either direction,
declared work times that mean is a third above the true work.
"""

from cranberrywheel.submission.live import LiveSubmission
from cranberrywheel.submission.model import Step

#: Weight of the newest run. Some 50 runs, those of a few submissions, decide.
LEARNING_RATE = 0.02
#: Declared and true work that a queue begins with, in core-milliseconds: a small weight
#: on the declarations.
INITIAL_CORE_MS = 1_000.0


class WorkRatio:
    """Moving sums of declared and true work, by queue."""

    def __init__(self) -> None:
        self._sums_by_queue: dict[str, tuple[float, float]] = {}

    def record_run(self, live: LiveSubmission, step: Step, ran_ms: int) -> None:
        """Add a run that ended as ``DONE``.

        :param ran_ms: duration of the run in milliseconds.
        """
        if not step.estimated_ms or step.long_running:
            return
        cores = step.size.cpu / 1_000
        declared, true = self._sums_by_queue.get(
            live.submission.queue, (INITIAL_CORE_MS, INITIAL_CORE_MS)
        )
        keep = 1 - LEARNING_RATE
        self._sums_by_queue[live.submission.queue] = (
            keep * declared + LEARNING_RATE * cores * step.estimated_ms,
            keep * true + LEARNING_RATE * cores * ran_ms,
        )

    def get_factor(self, live: LiveSubmission) -> float:
        """Return the expected work as a multiple of the declared work."""
        declared, true = self._sums_by_queue.get(live.submission.queue, (0.0, 0.0))
        return true / declared if declared > 0 else 1.0

"""Run times and sizes learned from finished requests."""

import collections
import dataclasses

#: The declared run time counts as this many observed runs, because declared values
#: may be far off.
DECLARED_WEIGHT = 3
#: Number of recent runs that the mean covers.
MEAN_RUNS = 50
#: Recent sizes kept per queue. All of them must exceed a worker before requests are
#: refused, so that one oversized request does not block its queue.
SIZES_KEPT = 8
#: One in this many refusals is let through, so that a queue whose requests became
#: smaller is measured again.
RECHECK_INTERVAL = 20


@dataclasses.dataclass(slots=True)
class _QueueRuns:
    runs: float = 0.0
    mean_ms: float = 0.0
    refusals: int = 0
    cores: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SIZES_KEPT)
    )
    memory_mb: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SIZES_KEPT)
    )


class RunTimeEstimates:
    """Learns per queue how long requests run and how large they are."""

    def __init__(self) -> None:
        self._runs_by_queue: dict[str, _QueueRuns] = {}

    def record(
        self,
        queue: str,
        duration_ms: int,
        cores: float | None = None,
        memory_mb: int | None = None,
    ) -> None:
        """Learn from one finished run.

        :param queue: queue name.
        :param duration_ms: time that it ran.
        :param cores: cores that it used, or ``None`` if no usage report covered it.
        :param memory_mb: most memory that it used, or ``None``.
        """
        runs = self._runs_by_queue.get(queue)
        if runs is None:
            runs = self._runs_by_queue[queue] = _QueueRuns()
        runs.runs = min(runs.runs + 1, MEAN_RUNS)
        runs.mean_ms += (duration_ms - runs.mean_ms) / runs.runs
        if cores is not None and memory_mb is not None:
            runs.cores.append(cores)
            runs.memory_mb.append(memory_mb)

    def run_ms(self, queue: str, declared_ms: int) -> float:
        """Return the expected run time of a request.

        :param queue: queue name.
        :param declared_ms: run time in the configuration.
        :returns: milliseconds; the declared time while nothing is learned.
        """
        runs = self._runs_by_queue.get(queue)
        if runs is None:
            return float(declared_ms)
        learned_ms = runs.runs * runs.mean_ms
        weight = DECLARED_WEIGHT + runs.runs
        return (DECLARED_WEIGHT * declared_ms + learned_ms) / weight

    def wait_ms(self, queue: str, declared_ms: int, queued: float, slots: int) -> float:
        """Return the expected wait of a request that arrives now.

        :param queue: queue name.
        :param declared_ms: run time in the configuration.
        :param queued: requests that start before it; see ``FairQueue.ahead_of``.
        :param slots: slots that serve them.
        :returns: milliseconds; infinite without slots.
        """
        if slots <= 0:
            return float("inf")
        return queued * self.run_ms(queue, declared_ms) / slots

    def should_reject_oversized(self, queue: str, cores: float, memory_mb: int) -> bool:
        """Tell whether requests of a queue are too large for a worker.

        :param queue: queue name.
        :param cores: cores of the largest worker of the pool.
        :param memory_mb: memory of that worker.
        :returns: true if each recent run needed more than the worker has. One in
            ``RECHECK_INTERVAL`` such requests is still let through.
        """
        runs = self._runs_by_queue.get(queue)
        if runs is None or len(runs.cores) < SIZES_KEPT:
            return False
        if min(runs.cores) <= cores and min(runs.memory_mb) <= memory_mb:
            return False
        runs.refusals += 1
        return runs.refusals % RECHECK_INTERVAL != 0

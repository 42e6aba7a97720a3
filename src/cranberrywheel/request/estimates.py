"""Run times and resource sizes estimated from finished requests."""

import collections
import dataclasses

#: Number of observed runs that the declared run time weighs as much as. It is small
#: because declared values may be far off.
DECLARED_WEIGHT = 3
#: Number of recent runs that the mean run time covers.
MAX_AVERAGED_RUNS = 50
#: Number of recent sizes kept per queue. Requests are rejected only if all of them
#: exceed the largest worker, so that one oversized request does not block its queue.
SIZES_KEPT = 8
#: One in this many oversized requests is accepted. The size of a request is known only
#: after its run, so without these runs the recorded sizes would never change, and a
#: queue whose requests have become smaller would be rejected forever.
RECHECK_INTERVAL = 20


@dataclasses.dataclass(slots=True)
class _QueueStatistics:
    run_count: float = 0.0
    mean_ms: float = 0.0
    rejections: int = 0
    cores: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SIZES_KEPT)
    )
    memory_mb: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SIZES_KEPT)
    )


class RunTimeEstimates:
    """Estimates run time and resource size of the requests of each queue."""

    def __init__(self) -> None:
        self._statistics_by_queue: dict[str, _QueueStatistics] = {}

    def record(
        self,
        queue: str,
        duration_ms: int,
        cores: float | None = None,
        memory_mb: int | None = None,
    ) -> None:
        """Include a finished run in the estimates.

        :param queue: queue name.
        :param duration_ms: run time in milliseconds.
        :param cores: cores used, or ``None`` if no usage report covered the run.
        :param memory_mb: peak memory in MB, or ``None`` if no usage report covered
            the run.
        """
        statistics = self._statistics_by_queue.get(queue)
        if statistics is None:
            statistics = self._statistics_by_queue[queue] = _QueueStatistics()
        statistics.run_count = min(statistics.run_count + 1, MAX_AVERAGED_RUNS)
        statistics.mean_ms += (duration_ms - statistics.mean_ms) / statistics.run_count
        if cores is not None and memory_mb is not None:
            statistics.cores.append(cores)
            statistics.memory_mb.append(memory_mb)

    def estimate_run_ms(self, queue: str, declared_ms: int) -> float:
        """Return the expected run time of a request.

        :param queue: queue name.
        :param declared_ms: run time in the configuration, in milliseconds.
        :returns: milliseconds; the declared run time until a run has finished.
        """
        statistics = self._statistics_by_queue.get(queue)
        if statistics is None:
            return float(declared_ms)
        observed_ms = statistics.run_count * statistics.mean_ms
        weight = DECLARED_WEIGHT + statistics.run_count
        return (DECLARED_WEIGHT * declared_ms + observed_ms) / weight

    def estimate_wait_ms(
        self, queue: str, declared_ms: int, queued: float, slots: int
    ) -> float:
        """Return the expected wait of a request that arrives now.

        :param queue: queue name.
        :param declared_ms: run time in the configuration, in milliseconds.
        :param queued: number of requests that start before it, as
            :meth:`FairQueue.estimate_requests_ahead` returns it.
        :param slots: number of slots that serve these requests.
        :returns: milliseconds; infinite if there are no slots.
        """
        if slots <= 0:
            return float("inf")
        return queued * self.estimate_run_ms(queue, declared_ms) / slots

    def should_reject_oversized(self, queue: str, cores: float, memory_mb: int) -> bool:
        """Decide whether to reject a request as too large for every worker.

        :param queue: queue name.
        :param cores: cores of the largest worker of the pool.
        :param memory_mb: memory of that worker in MB.
        :returns: true if each recent run of the queue needed more than the worker
            has. One in ``RECHECK_INTERVAL`` such requests is still accepted.
        """
        statistics = self._statistics_by_queue.get(queue)
        if statistics is None or len(statistics.cores) < SIZES_KEPT:
            return False
        if min(statistics.cores) <= cores and min(statistics.memory_mb) <= memory_mb:
            return False
        statistics.rejections += 1
        return statistics.rejections % RECHECK_INTERVAL != 0

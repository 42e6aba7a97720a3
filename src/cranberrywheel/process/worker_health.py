"""Failure and run time statistics of workers, compared with those of their pool."""

import dataclasses
import math

#: Time in which a sample loses half its weight. It must cover the quiet periods, in
#: which a queue has a twentieth of its mean load.
HALF_LIFE_MS = 30_000
#: One or two failures may be caused by the requests.
MIN_FAILURES = 2.5
#: A worker is failing if its failure rate exceeds that of the other workers by this
#: much. A failed dependency raises all rates alike and therefore ejects no worker.
FAILURE_MARGIN = 0.4
MIN_DURATIONS = 5.0
#: A worker is slow if the geometric mean of its run times is this many times that of
#: the others.
SLOW_FACTOR = 3.0
#: The difference must also exceed this many standard errors, because run times vary.
SLOW_STANDARD_ERRORS = 4.0
#: Lower bound of the standard deviation of log durations, for the case of a few
#: samples that happen to be equal.
MIN_LOG_DEVIATION = 0.2
#: Run time assumed before the first successful run if none is expected either.
DEFAULT_RUN_MS = 1_000


@dataclasses.dataclass(slots=True)
class AttemptStats:
    """Exponentially decaying sums over the attempts on a worker or on a whole pool.

    The decay depends only on time, so the sums of a pool minus those of a worker are
    exactly those of the other workers.

    :param attempts: number of attempts that ran.
    :param failures: number of attempts that failed.
    :param durations: number of attempts whose duration is known.
    :param log_sum: sum of the logarithms of the durations. Durations are divided by
        the expected run time of their queue, because queues with different run times
        share a pool; without an expected run time, they are in milliseconds.
    :param log_squares: sum of the squares of these logarithms.
    :param at_ms: clock reading at which the sums are valid.
    """

    attempts: float = 0.0
    failures: float = 0.0
    durations: float = 0.0
    log_sum: float = 0.0
    log_squares: float = 0.0
    at_ms: int = 0

    def decay(self, now_ms: int) -> None:
        """Decay the sums up to a clock reading in milliseconds."""
        if now_ms <= self.at_ms:
            return
        factor = 0.5 ** ((now_ms - self.at_ms) / HALF_LIFE_MS)
        self.attempts *= factor
        self.failures *= factor
        self.durations *= factor
        self.log_sum *= factor
        self.log_squares *= factor
        self.at_ms = now_ms

    def add_outcome(self, failed: bool) -> None:
        """Count an attempt that ran."""
        self.attempts += 1
        self.failures += failed

    def add_duration(self, log_duration: float) -> None:
        """Count a duration, given by its logarithm."""
        self.durations += 1
        self.log_sum += log_duration
        self.log_squares += log_duration * log_duration

    def remove_failure(self) -> None:
        """Remove one failed attempt."""
        removed = min(1.0, self.failures)
        self.failures -= removed
        self.attempts = max(0.0, self.attempts - removed)

    def minus(self, other: "AttemptStats") -> "AttemptStats":
        """Return the difference to other sums, which must be valid at the same time."""
        return AttemptStats(
            attempts=max(0.0, self.attempts - other.attempts),
            failures=max(0.0, self.failures - other.failures),
            durations=max(0.0, self.durations - other.durations),
            log_sum=self.log_sum - other.log_sum,
            log_squares=self.log_squares - other.log_squares,
            at_ms=self.at_ms,
        )

    def mean_log(self) -> float | None:
        """Return the mean logarithm of the durations, or ``None`` if none is known."""
        return self.log_sum / self.durations if self.durations >= 0.5 else None

    def geometric_mean(self) -> float | None:
        """Return the geometric mean of the durations, or ``None`` if none is known."""
        mean = self.mean_log()
        return None if mean is None else math.exp(mean)

    def deviation(self) -> float:
        """Return the standard deviation of the logarithms, at least a lower bound."""
        mean = self.mean_log()
        if mean is None:
            return MIN_LOG_DEVIATION
        variance = self.log_squares / self.durations - mean * mean
        return max(MIN_LOG_DEVIATION, math.sqrt(max(0.0, variance)))


def is_failing(worker: AttemptStats, others: AttemptStats) -> bool:
    """Tell whether a worker fails far more often than the others of its pool.

    :param worker: statistics of the worker.
    :param others: statistics of the other workers, valid at the same time.
    """
    if worker.failures < MIN_FAILURES:
        return False
    rate = worker.failures / (worker.attempts + 1)
    return rate > others.failures / (others.attempts + 1) + FAILURE_MARGIN


def is_slow(worker: AttemptStats, others: AttemptStats) -> bool:
    """Tell whether a worker is far slower than the others of its pool.

    :param worker: statistics of the worker.
    :param others: statistics of the other workers, valid at the same time.
    """
    mean, others_mean = worker.mean_log(), others.mean_log()
    if mean is None or others_mean is None:
        return False
    if min(worker.durations, others.durations) < MIN_DURATIONS:
        return False
    error = others.deviation() / math.sqrt(worker.durations)
    return mean - others_mean > max(math.log(SLOW_FACTOR), SLOW_STANDARD_ERRORS * error)


def is_unhealthy(worker: AttemptStats, others: AttemptStats) -> bool:
    """Tell whether a worker is failing or slow compared with the others."""
    return is_failing(worker, others) or is_slow(worker, others)


def is_slow_run(log_duration: float, others: AttemptStats) -> bool:
    """Tell whether a single run is far slower than those on the other workers.

    :param log_duration: as given to :meth:`AttemptStats.add_duration`.
    :param others: statistics of the other workers.
    """
    mean = others.mean_log()
    if mean is None:
        return False
    return log_duration - mean > max(math.log(SLOW_FACTOR), 2 * others.deviation())


def typical_run_ms(
    worker: AttemptStats, pool: AttemptStats, expected_ms: float | None
) -> float:
    """Return the milliseconds that a successful run usually takes.

    :param worker: statistics of the worker.
    :param pool: statistics of its pool, used while the worker has none.
    :param expected_ms: expected run time of the queue in milliseconds, if the
        durations are relative to it.
    """
    geometric_mean = worker.geometric_mean() or pool.geometric_mean()
    if geometric_mean is None:
        return expected_ms or DEFAULT_RUN_MS
    return geometric_mean * (expected_ms or 1)

"""Evidence about a worker's failures and speed, compared with its pool."""

import dataclasses
import math

#: Evidence loses half its weight in this time. It must span the quiet periods, in
#: which a queue has a twentieth of its mean load.
HALF_LIFE_MS = 30_000
#: One or two failures may be the requests' fault.
MIN_FAILURES = 2.5
#: Failure rate above that of the rest of the pool. A dependency that fails all
#: workers alike therefore ejects none.
FAILURE_MARGIN = 0.4
MIN_DURATIONS = 5.0
#: A worker is slow if its typical run takes this many times that of its pool.
SLOW_FACTOR = 3.0
#: The difference must also exceed this many standard errors, because run times vary.
SLOW_ERRORS = 4.0
#: Spread of log durations assumed at least, against samples that happen to agree.
MIN_DEVIATION = 0.2
#: Service time assumed while no run has succeeded and none is expected.
DEFAULT_SERVICE_MS = 1_000


@dataclasses.dataclass(slots=True)
class Tally:
    """Decaying sums over the attempts on a worker or on a whole pool.

    Decay depends only on time, so a pool's tally minus a worker's is exactly that of
    the other workers.

    :param attempts: attempts that ran.
    :param failures: those that failed.
    :param durations: attempts whose duration is known.
    :param log_sum: sum of the logarithms of the durations. Durations are divided by
        the run time expected of their queue, because queues with different run times
        share a pool; without an expectation they are in milliseconds.
    :param log_squares: sum of the squares of these logarithms.
    :param at_ms: clock reading that the sums belong to.
    """

    attempts: float = 0.0
    failures: float = 0.0
    durations: float = 0.0
    log_sum: float = 0.0
    log_squares: float = 0.0
    at_ms: int = 0

    def decay(self, now_ms: int) -> None:
        """Bring the sums to a clock reading."""
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
        """Count one attempt that ran."""
        self.attempts += 1
        self.failures += failed

    def add_duration(self, log_duration: float) -> None:
        """Count one duration by its logarithm."""
        self.durations += 1
        self.log_sum += log_duration
        self.log_squares += log_duration * log_duration

    def remove_failure(self) -> None:
        """Take back one failed attempt."""
        taken = min(1.0, self.failures)
        self.failures -= taken
        self.attempts = max(0.0, self.attempts - taken)

    def minus(self, other: "Tally") -> "Tally":
        """Return the sums without another tally's; both at the same reading."""
        return Tally(
            attempts=max(0.0, self.attempts - other.attempts),
            failures=max(0.0, self.failures - other.failures),
            durations=max(0.0, self.durations - other.durations),
            log_sum=self.log_sum - other.log_sum,
            log_squares=self.log_squares - other.log_squares,
            at_ms=self.at_ms,
        )

    def mean_log(self) -> float | None:
        """Return the mean logarithm of the durations, or ``None``."""
        return self.log_sum / self.durations if self.durations >= 0.5 else None

    def typical(self) -> float | None:
        """Return the geometric mean duration, or ``None`` if nothing is known."""
        mean = self.mean_log()
        return None if mean is None else math.exp(mean)

    def deviation(self) -> float:
        """Return the standard deviation of the logarithms."""
        mean = self.mean_log()
        if mean is None:
            return MIN_DEVIATION
        variance = self.log_squares / self.durations - mean * mean
        return max(MIN_DEVIATION, math.sqrt(max(0.0, variance)))


def is_failing(worker: Tally, rest: Tally) -> bool:
    """Tell whether a worker fails far more often than the rest of its pool.

    :param worker: its tally.
    :param rest: that of the other workers, at the same reading.
    """
    if worker.failures < MIN_FAILURES:
        return False
    rate = worker.failures / (worker.attempts + 1)
    return rate > rest.failures / (rest.attempts + 1) + FAILURE_MARGIN


def is_slow(worker: Tally, rest: Tally) -> bool:
    """Tell whether a worker is far slower than the rest of its pool.

    :param worker: its tally.
    :param rest: that of the other workers, at the same reading.
    """
    mean, rest_mean = worker.mean_log(), rest.mean_log()
    if mean is None or rest_mean is None:
        return False
    if min(worker.durations, rest.durations) < MIN_DURATIONS:
        return False
    error = rest.deviation() / math.sqrt(worker.durations)
    return mean - rest_mean > max(math.log(SLOW_FACTOR), SLOW_ERRORS * error)


def is_unhealthy(worker: Tally, rest: Tally) -> bool:
    """Tell whether a worker is failing or slow; see these functions."""
    return is_failing(worker, rest) or is_slow(worker, rest)


def is_slow_run(log_duration: float, rest: Tally) -> bool:
    """Tell whether a single run is far slower than the rest of the pool.

    :param log_duration: as given to :meth:`Tally.add_duration`.
    :param rest: tally of the other workers.
    """
    mean = rest.mean_log()
    if mean is None:
        return False
    return log_duration - mean > max(math.log(SLOW_FACTOR), 2 * rest.deviation())


def service_ms(worker: Tally, pool: Tally, expected_ms: float | None) -> float:
    """Return the time that a successful run would take.

    :param worker: tally of the worker.
    :param pool: tally of its pool, used while the worker has none.
    :param expected_ms: run time expected of the queue, if durations are relative.
    """
    typical = worker.typical() or pool.typical()
    if typical is None:
        return expected_ms or DEFAULT_SERVICE_MS
    return typical * (expected_ms or 1)

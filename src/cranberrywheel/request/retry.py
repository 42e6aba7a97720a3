"""Whether and when a failed attempt is retried."""

import random
import typing as t

from cranberrywheel.request.model import Request

#: Retries that each request adds to the budget.
RETRIES_PER_REQUEST = 0.1
#: Retries kept at low load, where 10% of recent requests is less than one.
MIN_BALANCE = 3.0
#: A balance above the minimum halves in this time, so that retries saved during a
#: long healthy period cannot double the load in the first seconds of a failure.
BALANCE_HALF_LIFE_MS = 10_000
#: Failures on this many different workers show that the request is the cause.
WORKERS_TO_BLAME_REQUEST = 3
#: Attempts that may have run. More would only spread a request that breaks workers.
MAX_ATTEMPTS = 3
#: Attempts that a worker refused to start do no harm to it.
MAX_UNSTARTED_ATTEMPTS = 6
BASE_DELAY_MS = 50
MAX_DELAY_MS = 2_000


class RetryBudget:
    """Limits retries to a tenth of recent requests.

    Without it, a failing target multiplies its own load by the number of attempts.
    """

    def __init__(self) -> None:
        self._balance = MIN_BALANCE
        self._updated_ms: int | None = None

    def _decay(self, now_ms: int) -> None:
        if self._updated_ms is not None and self._balance > MIN_BALANCE:
            elapsed_ms = max(0, now_ms - self._updated_ms)
            excess = self._balance - MIN_BALANCE
            excess *= 0.5 ** (elapsed_ms / BALANCE_HALF_LIFE_MS)
            self._balance = MIN_BALANCE + excess
        self._updated_ms = now_ms

    def record_request(self, now_ms: int) -> None:
        """Count a first attempt.

        :param now_ms: clock reading.
        """
        self._decay(now_ms)
        self._balance += RETRIES_PER_REQUEST

    def try_acquire(self, now_ms: int) -> bool:
        """Use one retry.

        :param now_ms: clock reading.
        :returns: whether the budget had one.
        """
        self._decay(now_ms)
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def request_caused_failures(failed_workers: t.Iterable[str]) -> bool:
    """Tell whether a request, not its workers, caused its failures.

    :param failed_workers: names of the workers on which it ran and failed.
    """
    return len(set(failed_workers)) >= WORKERS_TO_BLAME_REQUEST


def plan_retry(
    request: Request,
    attempts: int,
    certainly_not_started: bool,
    now_ms: int,
    budget: RetryBudget,
    rng: random.Random,
) -> int | None:
    """Decide whether a failed attempt is followed by another.

    :param request: the request.
    :param attempts: attempts so far, at least 1.
    :param certainly_not_started: whether no attempt can have run.
    :param now_ms: clock reading.
    :param budget: charged only if the result is a delay.
    :param rng: source of the jitter.
    :returns: delay in milliseconds, or ``None`` for no retry.
    """
    if not (request.idempotent or certainly_not_started):
        return None
    if attempts >= (MAX_UNSTARTED_ATTEMPTS if certainly_not_started else MAX_ATTEMPTS):
        return None
    backoff_ms = min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (attempts - 1))
    delay_ms = round(backoff_ms * rng.uniform(0.5, 1.5))
    if now_ms + delay_ms >= request.deadline_ms or not budget.try_acquire(now_ms):
        return None
    return delay_ms

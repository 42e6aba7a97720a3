"""Decides whether and when a failed attempt is retried."""

import random
import typing as t

from cranberrywheel.request.model import Request

#: Retries that each request adds to the budget.
RETRY_RATIO = 0.1
#: Smallest balance to which the budget decays. It permits retries at low load, where
#: 10% of the recent requests is less than one.
MIN_BALANCE = 3.0
#: Half-life of the balance above the minimum. The decay prevents retries accumulated
#: in a long healthy period from doubling the load in the first seconds of a failure.
BALANCE_HALF_LIFE_MS = 10_000
#: Number of different workers on which a request must fail before the request itself
#: is taken for the cause.
MIN_FAILED_WORKERS = 3
#: Bound on attempts of a request that may have run. Further attempts would send a
#: request that crashes workers to more of them.
MAX_ATTEMPTS = 3
#: Bound on attempts of a request that certainly did not start. It is higher, because
#: a worker is not harmed by an attempt that it refuses.
MAX_NOT_STARTED_ATTEMPTS = 6
BASE_DELAY_MS = 50
MAX_DELAY_MS = 2_000


class RetryBudget:
    """Limits retries to a tenth of the recent requests.

    Without the limit, failures of a target would multiply its load by the number of
    attempts per request.
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
        """Credit the budget for the first attempt of a request.

        :param now_ms: clock reading in milliseconds.
        """
        self._decay(now_ms)
        self._balance += RETRY_RATIO

    def try_acquire(self, now_ms: int) -> bool:
        """Charge one retry to the budget if its balance permits it.

        :param now_ms: clock reading in milliseconds.
        :returns: whether the retry is permitted.
        """
        self._decay(now_ms)
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def request_caused_failures(failed_workers: t.Iterable[str]) -> bool:
    """Return whether a request, rather than its workers, caused its failures.

    :param failed_workers: names of the workers on which the request ran and failed.
    """
    return len(set(failed_workers)) >= MIN_FAILED_WORKERS


def plan_retry(
    request: Request,
    attempts: int,
    certainly_not_started: bool,
    now_ms: int,
    budget: RetryBudget,
    rng: random.Random,
) -> int | None:
    """Decide whether a failed attempt is retried.

    :param request: the request.
    :param attempts: number of attempts so far, at least 1.
    :param certainly_not_started: whether it is certain that no attempt has run.
    :param now_ms: clock reading in milliseconds.
    :param budget: the retry budget; charged only if the attempt is retried.
    :param rng: random generator for the jitter.
    :returns: delay before the retry in milliseconds, or ``None`` for no retry.
    """
    if not (request.idempotent or certainly_not_started):
        return None
    if attempts >= (
        MAX_NOT_STARTED_ATTEMPTS if certainly_not_started else MAX_ATTEMPTS
    ):
        return None
    backoff_ms = min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (attempts - 1))
    delay_ms = round(backoff_ms * rng.uniform(0.5, 1.5))
    if now_ms + delay_ms >= request.deadline_ms or not budget.try_acquire(now_ms):
        return None
    return delay_ms

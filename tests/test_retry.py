import random

import testtools
from dispatch_fixtures import SEED, request

from cranberrywheel.request.retry import (
    RetryBudget,
    plan_retry,
    request_caused_failures,
)


class RetryTest(testtools.TestCase):
    def plan(self, item, attempts=1, not_started=False, now_ms=0, budget=None):
        state = budget or RetryBudget(), random.Random(SEED)
        return plan_retry(item, attempts, not_started, now_ms, *state)

    def test_non_idempotent_request_is_retried_only_if_certainly_not_started(self):
        """A retry must not run a non-idempotent request twice."""
        item = request(idempotent=False)
        self.assertIs(None, self.plan(item))
        self.assertIsNot(None, self.plan(item, not_started=True))

    def test_no_retry_that_would_start_after_the_deadline(self):
        """A retry must not use a worker for an answer that nobody waits for."""
        self.assertIs(None, self.plan(request(deadline_ms=20)))

    def test_rejected_retry_does_not_charge_the_budget(self):
        """Retries that do not happen must not use up the budget of others."""
        budget = RetryBudget()
        for _ in range(50):
            self.plan(request(deadline_ms=20), budget=budget)
            self.plan(request(idempotent=False), budget=budget)
        self.assertIsNot(None, self.plan(request(), budget=budget))

    def test_attempts_are_bounded_and_delays_grow(self):
        """A failing request must not be retried without end or without backoff."""
        delays = [self.plan(request(), attempts=n) for n in (1, 2)]
        self.assertTrue(25 <= delays[0] < delays[1] <= 150, delays)
        self.assertIs(None, self.plan(request(), attempts=3))
        self.assertIsNot(None, self.plan(request(), attempts=3, not_started=True))
        self.assertIs(None, self.plan(request(), attempts=6, not_started=True))

    def test_budget_stops_load_multiplication_when_a_target_fails(self):
        """A failing target must not receive a multiple of its normal load.

        Without a budget each of the 1,000 failing requests is sent three times.
        """
        budget, sent = RetryBudget(), 0
        for now_ms in range(0, 10_000, 10):
            budget.record_request(now_ms)
            item = request(arrived_ms=now_ms)
            attempts = 1
            while self.plan(item, attempts, now_ms=now_ms, budget=budget) is not None:
                attempts += 1
            sent += attempts
        self.assertTrue(1_050 <= sent <= 1_104, sent)

    def test_retries_accumulated_in_a_healthy_period_do_not_double_the_load(self):
        """The balance must decay, or the first seconds of a failure double the load."""
        budget = RetryBudget()
        for now_ms in range(600_000):
            budget.record_request(now_ms)
        taken = sum(budget.try_acquire(600_000) for _ in range(100_000))
        # The balance is a tenth of the requests in 10 s / ln 2, its mean age.
        self.assertTrue(1_300 < taken < 1_500, taken)

    def test_request_that_failed_on_three_workers_is_taken_for_the_cause(self):
        """Repeated failures on two workers must not be attributed to the request."""
        self.assertFalse(request_caused_failures(["w1", "w2", "w1", "w2"]))
        self.assertTrue(request_caused_failures(["w1", "w2", "w3"]))

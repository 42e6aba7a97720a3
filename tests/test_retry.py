import random

import testtools
from dispatch_fixtures import SEED, request

from cranberrywheel.request.retry import RetryBudget, blames_request, plan_retry


class RetryTest(testtools.TestCase):
    def plan(self, item, attempts=1, not_started=False, now_ms=0, budget=None):
        state = budget or RetryBudget(), random.Random(SEED)
        return plan_retry(item, attempts, not_started, now_ms, *state)

    def test_non_idempotent_request_is_retried_only_if_certainly_not_started(self):
        item = request(idempotent=False)
        self.assertIs(None, self.plan(item))
        self.assertIsNot(None, self.plan(item, not_started=True))

    def test_no_retry_that_would_start_after_the_deadline(self):
        self.assertIs(None, self.plan(request(deadline_ms=20)))

    def test_refused_plan_leaves_the_budget_alone(self):
        budget = RetryBudget()
        for _ in range(50):
            self.plan(request(deadline_ms=20), budget=budget)
            self.plan(request(idempotent=False), budget=budget)
        self.assertIsNot(None, self.plan(request(), budget=budget))

    def test_attempts_are_bounded_and_delays_grow(self):
        delays = [self.plan(request(), attempts=n) for n in (1, 2)]
        self.assertTrue(25 <= delays[0] < delays[1] <= 150, delays)
        self.assertIs(None, self.plan(request(), attempts=3))
        self.assertIsNot(None, self.plan(request(), attempts=3, not_started=True))
        self.assertIs(None, self.plan(request(), attempts=6, not_started=True))

    def test_budget_stops_load_multiplication_when_a_target_fails(self):
        # Without a budget each of the 1,000 failing requests is sent three times.
        budget, sent = RetryBudget(), 0
        for now_ms in range(0, 10_000, 10):
            budget.note_request(now_ms)
            item = request(arrived_ms=now_ms)
            attempts = 1
            while self.plan(item, attempts, now_ms=now_ms, budget=budget) is not None:
                attempts += 1
            sent += attempts
        self.assertTrue(1_050 <= sent <= 1_104, sent)

    def test_retries_saved_in_a_healthy_period_do_not_double_the_load(self):
        budget = RetryBudget()
        for now_ms in range(600_000):
            budget.note_request(now_ms)
        taken = sum(budget.take(600_000) for _ in range(100_000))
        # A tenth of the requests in 10 s / ln 2, the mean age of the balance.
        self.assertTrue(1_300 < taken < 1_500, taken)

    def test_request_that_failed_on_three_workers_is_blamed(self):
        self.assertFalse(blames_request(["w1", "w2", "w1", "w2"]))
        self.assertTrue(blames_request(["w1", "w2", "w3"]))

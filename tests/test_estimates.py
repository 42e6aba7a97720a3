import testtools

from cranberrywheel.request.estimates import RECHECK_INTERVAL, RunTimeEstimates


class RunTimeEstimatesTest(testtools.TestCase):
    def make_estimates(self, count, duration_ms=1_000, cores=2.0, memory_mb=100):
        estimates = RunTimeEstimates()
        for _ in range(count):
            estimates.record("q", duration_ms, cores, memory_mb)
        return estimates

    def test_declared_time_that_is_far_off_is_corrected(self):
        """A wrong declaration must not distort the predicted waits for long."""
        self.assertEqual(10, RunTimeEstimates().estimate_run_ms("q", 10))
        self.assertTrue(900 < self.make_estimates(50).estimate_run_ms("q", 10) < 1_000)
        self.assertTrue(
            900 < self.make_estimates(50).estimate_run_ms("q", 2_000) < 1_100
        )

    def test_changed_run_time_is_followed(self):
        """A long history must not hide that requests became slower."""
        estimates = self.make_estimates(1_000, 100)
        for _ in range(150):
            estimates.record("q", 1_000, 1.0, 1)
        self.assertTrue(estimates.estimate_run_ms("q", 100) > 850)

    def test_wait_grows_with_the_queue_and_falls_with_slots(self):
        """A wrong prediction would refuse requests that could start in time."""
        estimates = RunTimeEstimates()
        self.assertEqual(0, estimates.estimate_wait_ms("q", 100, 0, 8))
        self.assertEqual(250, estimates.estimate_wait_ms("q", 100, 20, 8))
        self.assertEqual(float("inf"), estimates.estimate_wait_ms("q", 100, 1, 0))

    def test_requests_that_can_never_run_are_refused(self):
        """Requests that exceed every worker must not be started again and again."""
        self.assertFalse(RunTimeEstimates().should_reject_oversized("q", 1, 1))
        self.assertTrue(self.make_estimates(8).should_reject_oversized("q", 1.0, 1_000))
        self.assertTrue(self.make_estimates(8).should_reject_oversized("q", 4.0, 99))
        self.assertFalse(self.make_estimates(8).should_reject_oversized("q", 2.0, 100))

    def test_one_oversized_request_does_not_block_its_queue(self):
        """A single large run must not cause the refusal of normal requests."""
        estimates = self.make_estimates(8, cores=1.0)
        estimates.record("q", 100, 50.0, 100)
        self.assertFalse(estimates.should_reject_oversized("q", 2.0, 1_000))

    def test_refused_queue_is_measured_again(self):
        """Refusals stop new size records, so they must not become permanent."""
        estimates = self.make_estimates(8)
        refused = [
            estimates.should_reject_oversized("q", 1.0, 1_000) for _ in range(100)
        ]
        self.assertEqual(100 // RECHECK_INTERVAL, refused.count(False))

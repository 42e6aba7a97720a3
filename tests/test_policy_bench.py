import testtools

from cranberrywheel_load.policy_bench import Case


class PolicyBenchTest(testtools.TestCase):
    def run_case(self, scheduler, load, fault="none", workload="cancelled"):
        return Case(scheduler, workload, load, fault, 10).run(11)

    def test_policy_keeps_shares_and_urgent_starts_at_five_times_capacity(self):
        # Guards against regressions of the combined decisions under overload, which
        # the tests of single modules do not show.
        policy = self.run_case("policy", 5.0)
        closeness = policy.compute_closeness_by_team()
        self.assertTrue(min(closeness.values()) > 0.9, closeness)
        self.assertTrue(max(policy.urgent_waits_ms) < 100)
        baseline = self.run_case("round-robin", 5.0)
        self.assertTrue(policy.useful_ms > 0.85 * baseline.useful_ms)

    def test_failing_worker_gets_few_attempts_and_loses_few_requests(self):
        # Guards against a worker that receives most attempts because it fails
        # them at once and so frees its slots.
        metrics = self.run_case("policy", 1.0, "fails")
        self.assertTrue(metrics.faulty_attempts < 0.02 * metrics.attempts)
        baseline = self.run_case("round-robin", 1.0, "fails")
        self.assertTrue(metrics.lost < 0.1 * baseline.lost)

    def test_urgent_requests_start_in_time_among_long_ones(self):
        # Guards against urgent requests that wait for the end of long runs.
        metrics = self.run_case("policy", 2.0, workload="overnight")
        self.assertTrue(max(metrics.urgent_waits_ms) < 1_500)

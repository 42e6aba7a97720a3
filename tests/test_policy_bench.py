import testtools

from cranberrywheel_load.policy_bench import Case


class PolicyBenchTest(testtools.TestCase):
    def run_case(self, scheduler, load, fault="none", workload="cancelled"):
        return Case(scheduler, workload, load, fault, 10).run(11)

    def test_policy_keeps_shares_and_urgent_starts_at_five_times_capacity(self):
        # Guards against changes of the decisions that no single test would notice.
        policy = self.run_case("policy", 5.0)
        closeness = policy.closeness_by_team()
        self.assertTrue(min(closeness.values()) > 0.9, closeness)
        self.assertTrue(max(policy.urgent_waits_ms) < 100)
        baseline = self.run_case("round-robin", 5.0)
        self.assertTrue(policy.useful_ms > 0.85 * baseline.useful_ms)

    def test_worker_that_fails_everything_gets_little_and_costs_little(self):
        measures = self.run_case("policy", 1.0, "fails")
        self.assertTrue(measures.bad_attempts < 0.02 * measures.attempts)
        baseline = self.run_case("round-robin", 1.0, "fails")
        self.assertTrue(measures.lost < 0.1 * baseline.lost)

    def test_urgent_requests_start_in_time_among_long_ones(self):
        measures = self.run_case("policy", 2.0, workload="overnight")
        self.assertTrue(max(measures.urgent_waits_ms) < 1_500)

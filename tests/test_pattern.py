import collections
import pathlib
import random

import testtools

from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel_load.pattern import LoadPlan, compute_rate_factor, plan_arrivals

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


class PatternTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        text = (EXAMPLES / "kayis-birligi.ini").read_text()
        self.configuration = parse_configuration(text)

    def plan(self, seed=1, **fields):
        plan = LoadPlan(duration_ms=60_000, burst_ms=10_000, **fields)
        return plan_arrivals(self.configuration, plan, random.Random(seed))

    def test_exactly_one_queue_bursts_at_any_time(self):
        """Guards against bursts of several queues at once, or of none."""
        for at_ms in range(0, 9_000, 250):
            factors = [compute_rate_factor(i, 3, at_ms, 1_000) for i in range(3)]
            self.assertEqual([0.05, 0.05, 5.0], sorted(factors))
        self.assertEqual(5.0, compute_rate_factor(0, 3, 3_000, 1_000))

    def test_each_queue_gets_five_times_its_mean_rate_in_its_burst(self):
        """Guards against arrival rates that differ from the configured mean rates."""
        counts = collections.Counter((a.queue, a.at_ms // 10_000) for a in self.plan())
        for index, (name, queue) in enumerate(
            self.configuration.queues_by_name.items()
        ):
            for burst in range(6):
                factor = 5 if burst == index else 0.05
                mean = queue.mean_per_second * 10 * factor
                # Five standard deviations of a Poisson count.
                self.assertAlmostEqual(
                    mean, counts[name, burst], delta=5 * mean**0.5 + 1
                )

    def test_a_seed_determines_the_arrivals_and_max_calls_limits_them(self):
        """Guards against runs that cannot be repeated or that exceed their maximum."""
        self.assertEqual(self.plan(seed=7), self.plan(seed=7))
        self.assertNotEqual(self.plan(seed=7), self.plan(seed=8))
        self.assertEqual(100, len(self.plan(max_calls=100)))

    def test_open_queues_have_no_team_and_weights_are_respected(self):
        """Guards against keys on open queues and calls of teams without a weight."""
        arrivals = self.plan(weights_by_team={"partner-a": 1.0, "catalogue": 0.0})
        teams = {(a.team, a.queue == "browse") for a in arrivals}
        self.assertEqual({("", True), ("partner-a", False)}, teams)
        for arrival in self.plan(cancel_fraction=1.0):
            self.assertIsNotNone(arrival.cancel_after_ms)

import pathlib

import testtools

from cranberrywheel.process.fleet_model import Plan
from cranberrywheel.process.waves import plan_round
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel_load.fortnight import plan_one_at_a_time, run_fortnight
from cranberrywheel_load.fortnight_faults import HOUR_MS, build_schedule

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
STEP_MS = 5 * 60_000
SEED = 4


def take_all_instances(configuration, fleet, sizing):
    return Plan(sizing=sizing, take=dict.fromkeys(fleet.instances_by_name, ""))


class FortnightTest(testtools.TestCase):
    def run_hours(self, policy, hours=8):
        text = (EXAMPLES / "maclachlan-rennie.ini").read_text()
        configuration = parse_configuration(text)
        schedule = build_schedule(configuration, SEED)
        return run_fortnight(
            configuration, schedule, policy, STEP_MS, duration_ms=hours * HOUR_MS
        )

    def test_planner_keeps_budgets_through_rack_outage_and_bad_wave(self):
        # Guards against maintenance that violates an availability budget when a rack
        # fails or reboots do not complete.
        metrics = self.run_hours(plan_round)
        self.assertEqual(0, metrics.violations)
        self.assertIsNotNone(metrics.rollout_ms)

    def test_violations_of_a_policy_without_budgets_are_counted(self):
        # Guards against a violation count that is always zero.
        self.assertGreater(self.run_hours(take_all_instances).violations, 0)

    def test_same_seed_gives_the_same_line(self):
        # Guards against unseeded randomness in the simulation.
        first, second = (
            self.run_hours(plan_one_at_a_time).format_line() for _ in range(2)
        )
        self.assertEqual(first, second)

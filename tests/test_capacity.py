import pathlib

import testtools
from planner_fixtures import make_configuration, make_fleet

from cranberrywheel.connection.store_client import InstanceList
from cranberrywheel.process.capacity import (
    build_problem,
    compute_cost,
    compute_pool_demands,
    compute_wave_limit,
)
from cranberrywheel.process.fleet_model import QueueUsage
from cranberrywheel.process.size_search import choose_sizes
from cranberrywheel.process.waves import plan_preview
from cranberrywheel.version.configuration import parse_configuration

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def load_example(name):
    return parse_configuration((EXAMPLES / f"{name}.ini").read_text())


class CapacityTest(testtools.TestCase):
    def test_learned_usage_replaces_declared_sizes(self):
        # Guards against plans based on declared sizes that differ from real usage.
        configuration = make_configuration()
        usage = {"qa": QueueUsage(busy=16, cores=4, memory_mb=10)}
        demand = compute_pool_demands(configuration, usage)["a"]
        self.assertEqual((8, 40), (demand.mean_workers, demand.burst_workers))

    def test_buffer_of_a_pool_covers_one_burst_at_a_time(self):
        # Guards against a buffer for the sum of all bursts of a pool.
        configuration = load_example("maclachlan-rennie")
        demand = compute_pool_demands(configuration, {})["administration"]
        self.assertAlmostEqual((8 * 4.95 + 16 * 0.05) / 8, demand.burst_workers)

    def test_wave_limit_survives_any_zone(self):
        # Guards against wave sizes that break the budget when a zone is lost.
        self.assertEqual(2, compute_wave_limit((4, 4), 3))
        self.assertEqual(4, compute_wave_limit((4, 2), 1))
        self.assertEqual(0, compute_wave_limit((1, 1), 2))
        self.assertEqual(1, compute_wave_limit((3, 1), 2))

    def test_examples_give_different_plans(self):
        # Guards against weights that have no effect.
        plans = [
            plan_preview(load_example(name), {}, InstanceList(0, 0, ())).sizing
            for name in ("maclachlan-rennie", "kayis-birligi")
        ]
        rollout_first, share_first = (
            {pool: sum(zones.values()) for pool, zones in sizing.counts.items()}
            for sizing in plans
        )
        # With weight on roll-out time, sizes stay and pools spread over zones, which
        # allows larger waves.
        self.assertEqual({8}, set(rollout_first.values()))
        self.assertEqual(4, plans[0].wave_sizes_by_pool["dispatch"])
        # With weight on share and buffers, idle workers move to the overloaded pool.
        self.assertEqual(14, share_first["shared-desk"])
        self.assertEqual(1, plans[1].wave_sizes_by_pool["storefront-a"])

    def test_search_never_raises_the_cost_and_keeps_each_zone(self):
        # Guards against a search that makes things worse or moves workers across zones.
        configuration = load_example("kayis-birligi")
        problem = build_problem(configuration, make_fleet(configuration))
        sizing = choose_sizes(problem)
        waves = {pool: 1 for pool in problem.counts}
        self.assertLessEqual(sizing.cost, compute_cost(problem, problem.counts, waves))
        for zone in configuration.regions_by_zone:
            before, after = (
                sum(zones.get(zone, 0) for zones in counts.values())
                for counts in (problem.counts, sizing.counts)
            )
            self.assertEqual(before, after)

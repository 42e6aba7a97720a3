import dataclasses

import testtools
from planner_fixtures import NOW_MS, configuration, fleet, listing

from cranberrywheel.connection.store_client import InstanceList
from cranberrywheel.process.budget import AvailabilityBudgets
from cranberrywheel.process.capacity import build_problem
from cranberrywheel.process.fleet_model import (
    InstanceAssignment,
    InstanceState,
    QueueUsage,
    WorkerReport,
    add_declared_workers,
)
from cranberrywheel.process.fleet_model import dump_zone_pools as dump
from cranberrywheel.process.size_search import choose_sizes
from cranberrywheel.process.waves import plan_preview, plan_round

DRAINING = InstanceAssignment(pool="a", state=InstanceState.DRAINING)


def plan(config, built):
    return plan_round(config, built, choose_sizes(build_problem(config, built)))


def taken(result, pool="a"):
    return sorted(name for name in result.take if name.startswith(pool))


class WavesTest(testtools.TestCase):
    def test_rack_lost_during_wave_leaves_the_budget(self):
        # Guards against a wave that leaves too few workers when a rack fails.
        config = configuration(healthy=1)
        out = taken(plan(config, fleet(config)))
        self.assertNotEqual([], out)
        for lost in (("a1", "a2"), ("a3", "a4")):
            left = {"a1", "a2", "a3", "a4"} - set(lost) - set(out)
            self.assertGreaterEqual(len(left), 1)

    def test_failure_in_the_margin_stops_and_recalls_the_wave(self):
        # Guards against a wave that goes on when a failure took its margin.
        config = configuration(healthy=1)
        rows = {"a1": DRAINING}
        stopped = plan(config, fleet(config, missing=("a3", "a4"), rows=rows))
        self.assertEqual([], taken(stopped))
        self.assertEqual(("a1",), stopped.recall)
        self.assertIn("budget of pool a", stopped.waits_by_name["a2"])
        resumed = plan(config, fleet(config, rows=rows))
        self.assertEqual((), resumed.recall)
        self.assertEqual(["a3"], taken(resumed))

    def test_loss_that_breaks_the_budget_anyway_is_reported_and_no_worse(self):
        # Guards against maintenance that never starts, or that worsens the loss.
        config = configuration(("a1@x/r1", "a2@x/r1", "a3@x/r1", "a4@y/r2"), 2)
        result = plan(config, fleet(config))
        self.assertIn("pool a: loss of zone x leaves 1 of 2", result.risks)
        self.assertNotIn("a4", result.take)
        self.assertEqual(1, len(taken(result)))

    def test_pool_that_cannot_be_maintained_is_reported(self):
        # Guards against a pool that silently never gets its maintenance.
        config = configuration(healthy=2)
        result = plan(config, fleet(config))
        self.assertIn("pool a: no worker can be spared with 2 to keep", result.risks)
        self.assertEqual((), plan(configuration(), fleet(configuration())).risks)

    def test_returned_instances_count_as_at_risk_until_they_settle(self):
        # Guards against correlated failures of instances that just rebooted.
        config = configuration(healthy=1)
        built = fleet(config)
        back = dataclasses.replace(
            built.instances_by_name["a1"], maintained_ms=NOW_MS - 1000
        )
        instances = {**built.instances_by_name, "a1": back}
        built = dataclasses.replace(built, instances_by_name=instances)
        self.assertNotIn("a2", plan(config, built).take)

    def test_broken_dependency_pauses_the_dependents(self):
        # Guards against a wave in a service whose dependency is in trouble.
        config = configuration()
        result = plan(config, fleet(config, missing=("b1", "b2", "b3")))
        self.assertEqual([], taken(result))
        self.assertIn("dependency b", result.waits_by_name["a1"])

    def test_overnight_job_holds_its_worker_and_others_go_first(self):
        # Guards against waiting in a wave for a job that runs all night.
        config = configuration()
        reports = {"a1": WorkerReport(running=1, drain_ms=5 * 3_600_000)}
        result = plan(config, fleet(config, reports=reports))
        self.assertNotIn("a1", result.take)
        self.assertIn("work runs for up to 300 more min", result.waits_by_name["a1"])
        self.assertNotEqual([], taken(result))

    def test_moves_leave_overnight_jobs_alone(self):
        # Guards against a move that holds capacity for hours.
        config = configuration([f"a{n}@{z}/r{z}" for n, z in enumerate("xxxyyy")])
        usage = {"qb": QueueUsage(busy=9, cores=1, memory_mb=1)}
        idle = plan(config, fleet(config, usage_by_queue=usage))
        self.assertEqual("b", idle.take["a0"])
        job = WorkerReport(running=1, drain_ms=5 * 3_600_000)
        reports = {f"a{n}": job for n in range(6)}
        built = fleet(config, reports=reports, usage_by_queue=usage)
        self.assertEqual([], taken(plan(config, built)))

    def test_quarantine_stays_within_the_budget(self):
        # Guards against one bad request that quarantines a whole pool.
        config = configuration(healthy=1)
        bad = WorkerReport(fails_everything=True)
        reports = {f"a{n}": bad for n in (1, 2, 3, 4)}
        result = plan(config, fleet(config, reports=reports))
        self.assertEqual(2, len(result.quarantine))
        waiting = set(reports) - set(result.quarantine)
        for name in waiting:
            self.assertIn("fails everything, but", result.waits_by_name[name])

    def test_quarantined_worker_joins_the_next_wave_once(self):
        # Guards against a worker that stays out, and against a reboot loop.
        config = configuration()
        row = InstanceAssignment(pool="a", state=InstanceState.QUARANTINED)
        built = fleet(config, rows={"a1": row})
        self.assertEqual(("a1",), plan(config, built).repair)
        recent = dataclasses.replace(
            built.instances_by_name["a1"], maintained_ms=NOW_MS - 3_600_000
        )
        instances = {**built.instances_by_name, "a1": recent}
        built = dataclasses.replace(built, instances_by_name=instances)
        self.assertIn("replace it", plan(config, built).waits_by_name["a1"])

    def test_old_instance_list_starts_nothing(self):
        # Guards against a plan from a list that hides a failure.
        config = configuration()
        result = plan(config, fleet(config, list_age_ms=31_000))
        self.assertEqual({}, result.take)

    def test_disruptions_of_another_zone_count(self):
        # Guards against two zones that each use the same margin.
        config = configuration(healthy=1)
        out = {"a": ("a3", "a4")}
        built = fleet(config, out_by_service=out)
        self.assertEqual([], taken(plan(config, built)))
        ledger = AvailabilityBudgets(config, built, out["a"])
        self.assertNotEqual("", ledger.take(built.instances_by_name["a1"]))

    def test_preview_is_json_ready_with_and_without_records(self):
        config = configuration()
        empty = InstanceList(0, 0, ())
        pools = dump(add_declared_workers(config, "x", None, 3, NOW_MS))
        for records in ({}, {"x": pools}):
            shown = plan_preview(config, records, empty).to_json()
            self.assertNotEqual({}, shown["take"])
            self.assertNotEqual({}, shown["waits_by_name"])
        live = plan_preview(config, {"x": pools}, listing(config), NOW_MS).to_json()
        self.assertEqual(shown["sizing"], live["sizing"])

    def test_ledger_never_takes_below_a_floor(self):
        # Guards the invariant itself over all orders of taking.
        config = configuration(healthy=1)
        built = fleet(config)
        ledger = AvailabilityBudgets(config, built)
        instances = built.instances_by_name.values()
        kept = [i for i in instances if ledger.take(i)]
        for zone in ("x", "y"):
            left = [i for i in kept if i.pool == "a" and i.zone != zone]
            self.assertGreaterEqual(len(left), 1)

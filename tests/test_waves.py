import dataclasses

import testtools
from planner_fixtures import NOW_MS, make_configuration, make_fleet, make_instance_list

from cranberrywheel.connection.store_client import InstanceList
from cranberrywheel.process.budget import AvailabilityBudgets
from cranberrywheel.process.capacity import build_problem
from cranberrywheel.process.fleet_model import (
    InstanceAssignment,
    InstanceState,
    QueueUsage,
    WorkerReport,
    add_declared_workers,
    dump_zone_pools,
)
from cranberrywheel.process.size_search import choose_sizes
from cranberrywheel.process.waves import plan_preview, plan_round

DRAINING = InstanceAssignment(pool="a", state=InstanceState.DRAINING)


def make_plan(configuration, fleet):
    return plan_round(
        configuration, fleet, choose_sizes(build_problem(configuration, fleet))
    )


def names_taken(result, pool="a"):
    return sorted(name for name in result.take if name.startswith(pool))


class WavesTest(testtools.TestCase):
    def test_rack_lost_during_wave_leaves_the_budget(self):
        # Guards against a wave that leaves too few workers when a rack fails.
        configuration = make_configuration(healthy=1)
        out = names_taken(make_plan(configuration, make_fleet(configuration)))
        self.assertNotEqual([], out)
        for lost in (("a1", "a2"), ("a3", "a4")):
            left = {"a1", "a2", "a3", "a4"} - set(lost) - set(out)
            self.assertGreaterEqual(len(left), 1)

    def test_failure_in_the_margin_stops_and_recalls_the_wave(self):
        # Guards against a wave that continues after a failure used up the budget.
        configuration = make_configuration(healthy=1)
        assignments = {"a1": DRAINING}
        stopped = make_plan(
            configuration,
            make_fleet(configuration, missing=("a3", "a4"), assignments=assignments),
        )
        self.assertEqual([], names_taken(stopped))
        self.assertEqual(("a1",), stopped.recall)
        self.assertIn("budget of pool a", stopped.waits_by_name["a2"])
        resumed = make_plan(
            configuration, make_fleet(configuration, assignments=assignments)
        )
        self.assertEqual((), resumed.recall)
        self.assertEqual(["a3"], names_taken(resumed))

    def test_loss_that_breaks_the_budget_anyway_is_reported_and_no_worse(self):
        # Guards against maintenance that never starts because a zone loss breaks the
        # budget anyway, and against maintenance that makes that loss worse.
        configuration = make_configuration(
            ("a1@x/r1", "a2@x/r1", "a3@x/r1", "a4@y/r2"), 2
        )
        result = make_plan(configuration, make_fleet(configuration))
        self.assertIn("pool a: loss of zone x leaves 1 of 2", result.risks)
        self.assertNotIn("a4", result.take)
        self.assertEqual(1, len(names_taken(result)))

    def test_pool_that_cannot_be_maintained_is_reported(self):
        # Guards against a pool that silently never gets its maintenance.
        configuration = make_configuration(healthy=2)
        result = make_plan(configuration, make_fleet(configuration))
        self.assertIn(
            "pool a: no worker can be taken out while 2 must stay healthy", result.risks
        )
        self.assertEqual(
            (), make_plan(make_configuration(), make_fleet(make_configuration())).risks
        )

    def test_returned_instances_count_as_at_risk_until_they_settle(self):
        # Guards against correlated failures of instances that just rebooted.
        configuration = make_configuration(healthy=1)
        fleet = make_fleet(configuration)
        recently_maintained = dataclasses.replace(
            fleet.instances_by_name["a1"], maintained_ms=NOW_MS - 1000
        )
        instances = {**fleet.instances_by_name, "a1": recently_maintained}
        fleet = dataclasses.replace(fleet, instances_by_name=instances)
        self.assertNotIn("a2", make_plan(configuration, fleet).take)

    def test_broken_dependency_pauses_the_dependents(self):
        # Guards against a wave in a service whose dependency lacks healthy workers.
        configuration = make_configuration()
        result = make_plan(
            configuration, make_fleet(configuration, missing=("b1", "b2", "b3"))
        )
        self.assertEqual([], names_taken(result))
        self.assertIn("dependency b", result.waits_by_name["a1"])

    def test_worker_with_overnight_job_is_postponed_and_others_go_first(self):
        # Guards against a wave that waits for a job that runs all night.
        configuration = make_configuration()
        reports = {"a1": WorkerReport(running=1, drain_ms=5 * 3_600_000)}
        result = make_plan(configuration, make_fleet(configuration, reports=reports))
        self.assertNotIn("a1", result.take)
        self.assertIn("tasks run for up to 300 more min", result.waits_by_name["a1"])
        self.assertNotEqual([], names_taken(result))

    def test_workers_with_overnight_jobs_are_not_moved(self):
        # Guards against a move that drains a worker for hours.
        configuration = make_configuration(
            [f"a{n}@{z}/r{z}" for n, z in enumerate("xxxyyy")]
        )
        usage = {"qb": QueueUsage(busy=9, cores=1, memory_mb=1)}
        idle = make_plan(configuration, make_fleet(configuration, usage_by_queue=usage))
        self.assertEqual("b", idle.take["a0"])
        busy_report = WorkerReport(running=1, drain_ms=5 * 3_600_000)
        reports = {f"a{n}": busy_report for n in range(6)}
        fleet = make_fleet(configuration, reports=reports, usage_by_queue=usage)
        self.assertEqual([], names_taken(make_plan(configuration, fleet)))

    def test_quarantine_stays_within_the_budget(self):
        # Guards against one faulty request that puts a whole pool into quarantine.
        configuration = make_configuration(healthy=1)
        failing_report = WorkerReport(fails_everything=True)
        reports = {f"a{n}": failing_report for n in (1, 2, 3, 4)}
        result = make_plan(configuration, make_fleet(configuration, reports=reports))
        self.assertEqual(2, len(result.quarantine))
        waiting = set(reports) - set(result.quarantine)
        for name in waiting:
            self.assertIn(
                "all recent tasks failed, not quarantined: ", result.waits_by_name[name]
            )

    def test_quarantined_worker_is_repaired_once(self):
        # Guards against a worker that stays in quarantine, and against a reboot loop.
        configuration = make_configuration()
        assignment = InstanceAssignment(pool="a", state=InstanceState.QUARANTINED)
        fleet = make_fleet(configuration, assignments={"a1": assignment})
        self.assertEqual(("a1",), make_plan(configuration, fleet).repair)
        recent = dataclasses.replace(
            fleet.instances_by_name["a1"], maintained_ms=NOW_MS - 3_600_000
        )
        instances = {**fleet.instances_by_name, "a1": recent}
        fleet = dataclasses.replace(fleet, instances_by_name=instances)
        self.assertIn("replace it", make_plan(configuration, fleet).waits_by_name["a1"])

    def test_old_instance_list_starts_nothing(self):
        # Guards against a plan made from an instance list that lacks a recent failure.
        configuration = make_configuration()
        result = make_plan(configuration, make_fleet(configuration, list_age_ms=31_000))
        self.assertEqual({}, result.take)

    def test_disruptions_of_another_zone_count(self):
        # Guards against planners of two zones that use the same budget.
        configuration = make_configuration(healthy=1)
        out = {"a": ("a3", "a4")}
        fleet = make_fleet(configuration, out_by_service=out)
        self.assertEqual([], names_taken(make_plan(configuration, fleet)))
        budgets = AvailabilityBudgets(configuration, fleet, out["a"])
        self.assertNotEqual("", budgets.try_take_out(fleet.instances_by_name["a1"]))

    def test_preview_is_json_ready_with_and_without_records(self):
        # Guards against a preview that depends on pool records being present.
        configuration = make_configuration()
        empty = InstanceList(0, 0, ())
        pools = dump_zone_pools(
            add_declared_workers(configuration, "x", None, 3, NOW_MS)
        )
        for records in ({}, {"x": pools}):
            shown = plan_preview(configuration, records, empty).to_json()
            self.assertNotEqual({}, shown["take"])
            self.assertNotEqual({}, shown["waits_by_name"])
        live = plan_preview(
            configuration, {"x": pools}, make_instance_list(configuration), NOW_MS
        ).to_json()
        self.assertEqual(shown["sizing"], live["sizing"])

    def test_budgets_keep_the_minimum_after_any_zone_loss(self):
        # Guards against taking out so many instances that a zone loss breaks a budget.
        configuration = make_configuration(healthy=1)
        fleet = make_fleet(configuration)
        budgets = AvailabilityBudgets(configuration, fleet)
        instances = fleet.instances_by_name.values()
        kept_in_service = [i for i in instances if budgets.try_take_out(i)]
        for zone in ("x", "y"):
            left = [i for i in kept_in_service if i.pool == "a" and i.zone != zone]
            self.assertGreaterEqual(len(left), 1)

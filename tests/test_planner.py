import json

import testtools
from planner_fixtures import NOW_MS, Deployment, make_configuration_text

from cranberrywheel.process.disruptions import Disruptions
from cranberrywheel.process.record_store import RecordStore
from cranberrywheel.process.worker_reports import (
    TaskStatus,
    UsageEstimator,
    parse_tasks,
    sum_usage,
    summarize_worker,
)

MINUTE_MS = 60_000


class PlannerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.deployment = Deployment(make_configuration_text())
        self.planner, self.client = self.deployment.planner()

    def test_first_round_writes_declared_workers_with_the_fence(self):
        # Guards against a pools record without all workers or without the own fence.
        self.planner.run_once()
        body = self.deployment.body("pools/x")
        holder = self.deployment.platform.get("planners/x")
        self.assertEqual(holder.revision, body["fence"])
        self.assertEqual({"a1", "a2", "b1", "b2"}, set(body["instances"]))
        self.assertEqual(set(self.deployment.states()), self.deployment.out())

    def test_maintenance_drains_reboots_and_admits_each_instance(self):
        # Guards against waves that stop halfway or leave an instance out of service.
        for _ in range(400):
            self.deployment.rounds(self.planner, 1)
            # A rebooting worker does not answer until the next round.
            self.deployment.workers.tasks_by_name = {
                name: None
                for name, (_, state) in self.deployment.states().items()
                if state == "rebooting" and self.deployment.workers.tasks_by_name == {}
            }
        self.assertEqual({}, self.deployment.states())
        self.assertEqual(set(), self.deployment.out())
        maintained = self.deployment.body("pools/x")["maintained"]
        self.assertEqual({"a1", "a2", "b1", "b2"}, set(maintained))
        reboots = [name for name, action in self.client.actions if action == "reboot"]
        self.assertEqual(["a1", "a2", "b1", "b2"], sorted(reboots))

    def test_drain_waits_for_an_overnight_job(self):
        # Guards against a reboot that interrupts a running task.
        self.deployment.rounds(self.planner, 1)
        draining_name = min(n for n in self.deployment.states() if n.startswith("a"))
        running_task = TaskStatus(task_id="t", state="running", queue="qa")
        self.deployment.workers.tasks_by_name = {draining_name: (running_task,)}
        self.deployment.rounds(self.planner, 300, MINUTE_MS)
        self.assertNotIn((draining_name, "reboot"), self.client.actions)
        self.deployment.workers.tasks_by_name = {}
        self.deployment.rounds(self.planner, 3)
        self.assertIn((draining_name, "reboot"), self.client.actions)

    def test_drain_checkpoints_tasks_that_support_it(self):
        # Guards against a drain that waits for tasks that could be checkpointed.
        self.deployment.rounds(self.planner, 1)
        draining_name = min(n for n in self.deployment.states() if n.startswith("b"))
        running_task = TaskStatus(task_id="t", state="running", queue="qb")
        self.deployment.workers.tasks_by_name = {draining_name: (running_task,)}
        self.deployment.rounds(self.planner, 3)
        self.assertEqual([(draining_name, "t")], self.deployment.workers.checkpoints)

    def test_planner_paused_past_its_lease_cannot_act(self):
        # Guards against two planners that both drain instances on one budget.
        other, other_client = self.deployment.planner(instance="p2")

        def pause(key):
            if key == "pools/x":
                self.client.before_put = lambda key: None
                self.deployment.clock.advance(20_000)
                self.deployment.rounds(other, 1)

        self.deployment.rounds(self.planner, 1, 0)
        fence = self.deployment.body("pools/x")["fence"]
        # The pause begins after the lease check of the next change.
        self.client.before_put = pause
        self.client.actions.clear()
        self.planner.run_once()
        self.assertEqual([], self.client.actions)
        self.assertLess(fence, self.deployment.body("pools/x")["fence"])
        self.assertFalse(self.client.control_instance("a1", "drain", fence))
        self.assertNotEqual([], other_client.actions)

    def test_next_planner_finishes_a_recorded_move(self):
        # Guards against an instance that stays out of service when its planner dies.
        self.deployment.rounds(self.planner, 1)
        draining = set(self.deployment.states())
        self.assertNotEqual(set(), draining)
        self.deployment.clock.advance(20_000)
        other, other_client = self.deployment.planner(instance="p2")
        running_task = TaskStatus(task_id="t", state="running", queue="qa")
        self.deployment.workers.tasks_by_name = dict.fromkeys(draining, (running_task,))
        self.deployment.rounds(other, 1)
        # The platform sees the new fence for all instances of the zone.
        wanted = {n: "undrain" for n in ("a1", "a2", "b1", "b2")}
        wanted.update(dict.fromkeys(draining, "drain"))
        self.assertEqual(sorted(wanted.items()), sorted(other_client.actions))
        self.deployment.workers.tasks_by_name = {}
        self.deployment.rounds(other, 2)
        for name in draining:
            self.assertIn((name, "reboot"), other_client.actions)

    def test_second_planner_of_a_zone_stands_by(self):
        # Guards against two planners that act for one zone.
        self.deployment.rounds(self.planner, 1, 0)
        other, other_client = self.deployment.planner(instance="p2")
        self.deployment.rounds(other, 1, 0)
        self.assertIsNone(other.plan)
        self.assertEqual([], other_client.actions)

    def test_two_planners_race_for_one_zone(self):
        # Guards against two lease holders that both found the zone without a planner.
        other, other_client = self.deployment.planner(instance="p2")

        def race(key):
            self.client.before_put = lambda key: None
            other.run_once()

        self.client.before_put = race
        self.planner.run_once()
        self.assertEqual([], self.client.actions)
        self.assertNotEqual([], other_client.actions)
        holder = self.deployment.body("planners/x")
        self.assertEqual("p2", holder["instance"])

    def test_planners_of_two_zones_race_for_one_budget(self):
        # Guards against both planners taking the last instance that a budget allows.
        workers = [f"a{n}@{zone}/r{zone}" for n, zone in enumerate("xxyyzz")]
        self.deployment = Deployment(make_configuration_text(workers, healthy=3))
        first, client = self.deployment.planner("x")
        second, _ = self.deployment.planner("y")
        second_out = []

        def race(key):
            if key == "disruptions":
                client.before_put = lambda key: None
                second.run_once()
                second_out.extend(self.deployment.states("y"))

        client.before_put = race
        for _ in range(40):
            self.deployment.rounds(first, 1)
            self.assert_pool_a_survives_any_zone(minimum=3)
            self.deployment.rounds(second, 1)
            self.assert_pool_a_survives_any_zone(minimum=3)
        self.assertIn("a2", second_out)

    def assert_pool_a_survives_any_zone(self, minimum):
        declared = self.deployment.configuration.workers_by_name.values()
        healthy = [w.zone for w in declared if w.name in ("a4", "a5")]
        for zone in ("x", "y"):
            rows = self.deployment.body(f"pools/{zone}").get("instances", {})
            healthy += [
                zone
                for row in rows.values()
                if row["pool"] == "a" and row["state"] == "serving"
            ] or ["x", "x"]
        for lost_zone in ("x", "y", "z"):
            self.assertGreaterEqual(
                len([z for z in healthy if z != lost_zone]), minimum
            )

    def test_lost_answers_are_read_back(self):
        # Guards against a step done twice or skipped after a lost answer.
        for round_index in range(12):
            self.deployment.platform.faults.lose_answers = 1 + round_index % 3
            self.deployment.rounds(self.planner, 1)
        self.deployment.platform.faults.lose_answers = 0
        self.deployment.rounds(self.planner, 2)
        self.assertEqual(set(self.deployment.states()), self.deployment.out())
        self.assertNotEqual(set(), self.deployment.out())

    def test_own_write_is_found_behind_a_later_writer(self):
        # Guards against repeating a write that took effect but whose answer was lost.
        first = RecordStore(self.client, "p1")
        later = RecordStore(self.client, "p2")
        known = first.write("k", {"n": 1}, None)
        self.deployment.platform.faults.lose_answers = 1
        own = first.write("k", {"n": 2}, known)
        later.write("k", {"n": 3}, later.read("k"))
        foreign = later.write("foreign", {}, None)
        first.write("foreign", {}, first.read("foreign"))
        self.assertIn(foreign.write_id, first.read("foreign").recent_write_ids)
        self.assertIn(own.write_id, first.read("k").recent_write_ids)

    def test_store_outage_starts_nothing(self):
        # Guards against drains started without claiming the budget in the store.
        self.deployment.rounds(self.planner, 1)
        states = self.deployment.states()
        self.client.actions.clear()
        self.deployment.platform.faults.outage = True
        self.deployment.rounds(self.planner, 50)
        self.assertEqual([], self.client.actions)
        self.assertEqual(states, self.deployment.states())
        self.deployment.platform.faults.outage = False
        self.deployment.rounds(self.planner, 2)
        self.assertNotEqual([], self.client.actions)

    def test_recorded_drains_are_confirmed_without_the_store_while_leased(self):
        # Guards against a recorded drain that is never sent to the platform, and
        # against acting for a zone whose lease may have expired.
        for wait_ms, confirmed in ((2_000, True), (20_000, False)):
            deployment = Deployment(make_configuration_text())
            planner, client = deployment.planner()
            client.control_outage = True
            deployment.rounds(planner, 1, 0)
            client.control_outage = False
            deployment.platform.faults.outage = True
            deployment.clock.advance(wait_ms)
            deployment.rounds(planner, 1)
            self.assertEqual(confirmed, bool(client.actions))

    def test_worker_whose_tasks_all_failed_is_quarantined(self):
        # Guards against a faulty worker that keeps receiving tasks.
        failed_tasks = tuple(
            TaskStatus(task_id=f"t{n}", state="failed") for n in range(5)
        )
        self.deployment.workers.tasks_by_name = {"a2": failed_tasks}
        self.deployment.rounds(self.planner, 1)
        self.assertEqual(("a", "quarantined"), self.deployment.states()["a2"])
        self.assertIn("a2", self.deployment.out())
        self.deployment.rounds(self.planner, 1)
        self.assertIn(("a2", "reboot"), self.client.actions)

    def test_worker_removed_from_the_text_is_drained_and_dropped(self):
        # Guards against tasks on a worker that operators removed.
        self.deployment.rounds(self.planner, 1)
        self.deployment.apply(
            make_configuration_text(["a1@x/r1", "a3@y/r2", "a4@y/r2"])
        )
        self.deployment.rounds(self.planner, 600)
        self.assertNotIn("a2", self.deployment.body("pools/x")["instances"])
        self.assertNotIn("a2", self.deployment.out())
        self.assertNotIn(("a2", "reboot"), self.client.actions)
        self.assertEqual("drain", dict(self.client.actions)["a2"])

    def test_instance_is_listed_only_under_the_services_of_its_pool(self):
        # Guards against a moved instance that still uses the budget of its old pool.
        configuration = self.deployment.configuration
        disruptions = Disruptions(RecordStore(self.client, "p1"))
        for pool in ("a", "b"):
            disruptions.read()
            disruptions.change(configuration, {"a1": pool})
            self.assertEqual({pool: ["a1"]}, self.deployment.body("disruptions")["out"])

    def test_plan_is_published_for_operators(self):
        # Guards against operators who cannot see why instances wait.
        self.deployment.rounds(self.planner, 1)
        shown = self.deployment.body("plans/x")["plan"]
        self.assertIn("waits_by_name", shown)

    def test_malformed_records_end_the_round_with_a_remedy(self):
        # Guards against a planner that stops because of one malformed record.
        envelope = {"write_id": "w", "writer": "x", "recent_write_ids": []}
        incomplete = json.dumps({**envelope, "body": {"fence": 1}})
        for value in ("no JSON", '{"body": {}}', incomplete):
            self.deployment.platform.entries_by_key.pop("pools/y", None)
            self.deployment.platform.put("pools/y", value, 0, "")
            self.deployment.rounds(self.planner, 1)
        self.assertEqual(set(), self.deployment.out())


class WorkerReportsTest(testtools.TestCase):
    def test_tasks_are_read_and_summarized(self):
        # Guards against a plan that treats a worker with a long task as idle.
        configuration = Deployment(make_configuration_text()).configuration
        rows = [
            {"id": "1", "state": "running", "queue": "qa", "deadline_ms": 7_200_000},
            {"id": "2", "state": "running", "queue": "qb", "deadline_ms": 9_000_000},
        ]
        report = summarize_worker(configuration, parse_tasks({"tasks": rows}))
        self.assertEqual((2, 7_200_000), (report.running, report.drain_ms))
        self.assertFalse(summarize_worker(configuration, None).reachable)
        for body in ({}, {"tasks": [3]}, "x"):
            self.assertRaises(ValueError, parse_tasks, body)

    def test_usage_of_zones_adds_up(self):
        # Guards against pool demand that misses the usage of other zones.
        configuration = Deployment(make_configuration_text()).configuration
        estimator = UsageEstimator()
        row = TaskStatus(task_id="1", state="running", queue="qa", cores=2, memory_mb=9)
        for sample in range(40):
            estimator.sample({"a1": (row, row) if sample % 2 else ()})
        body = estimator.to_body(NOW_MS)
        usage = sum_usage(configuration, [body, body], NOW_MS + 5)["qa"]
        self.assertAlmostEqual(2.0, usage.busy)
        self.assertEqual((2, 9, 5), (usage.cores, usage.memory_mb, usage.age_ms))

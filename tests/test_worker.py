import json

import testtools
from werkzeug.test import Client

from cranberrywheel.clock import ManualClock
from cranberrywheel_standin.history import build_task_recorder
from cranberrywheel_standin.worker import (
    StartOrder,
    StartRefusedError,
    Worker,
    WorkerConfig,
    WorkerFaults,
)
from cranberrywheel_standin.worker_app import WorkerApp, compute_digest


class WorkerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10_000)
        self.events = []
        self.worker = Worker(
            WorkerConfig(name="a-1", slots=2),
            self.clock.now_ms,
            build_task_recorder(self),
        )

    def write(self, event, **fields):
        """Record an event in place of a ``HistoryWriter``."""
        self.events.append((event, fields.get("how")))

    def start(self, task_id, token=None, **fields):
        token = token or self.worker.issue_start_token()
        values = {"lease_ms": 10_000, "run_ms": 1_000, **fields}
        return self.worker.start(StartOrder(task_id=task_id, token=token, **values))

    def assert_start_refused(self, kind, *args, **fields):
        error = self.assertRaises(StartRefusedError, self.start, *args, **fields)
        self.assertEqual(kind, error.kind)

    def test_stale_or_malformed_start_tokens_are_refused(self):
        """Guards against starts by a sender that was paused or missed a reboot."""
        token = self.worker.issue_start_token()
        self.clock.advance(2_000)
        self.start("t1", token)
        self.clock.advance(1)
        self.assert_start_refused("stale-token", "t2", token)
        self.assert_start_refused("stale-token", "t2", "garbage")
        earlier = self.worker.issue_start_token()
        self.worker.apply_control("reboot")
        self.assert_start_refused("stale-token", "t2", earlier)

    def test_a_task_id_runs_once_on_a_worker(self):
        """Guards against a repeated start that runs a task a second time."""
        self.start("t1")
        self.assert_start_refused("duplicate", "t1")
        self.clock.advance(1_000)
        self.assertEqual("finished", self.worker.find_task("t1").state)
        self.assert_start_refused("duplicate", "t1")

    def test_a_task_stops_when_its_lease_expires(self):
        """Guards against tasks that run on after their owner stopped renewing."""
        kept, lost = [
            self.start(task_id, run_ms=60_000) for task_id in ("kept", "lost")
        ]
        self.clock.advance(9_999)
        self.worker.renew(kept, self.worker.issue_start_token(), 10_000)
        self.clock.advance(1)
        self.assertEqual(
            ["kept"], [task.order.task_id for task in self.worker.list_running()]
        )
        self.assertEqual("lease-expired", lost.reason)
        self.assertIn(("task_end", "expired"), self.events)
        stale = self.worker.issue_start_token()
        self.clock.advance(2_001)
        self.assertRaises(StartRefusedError, self.worker.renew, kept, stale, 10_000)

    def test_a_draining_or_full_worker_refuses_starts_but_finishes_its_tasks(self):
        """Guards against starts beyond capacity and tasks that a drain interrupts."""
        running = self.start("t1")
        self.worker.apply_control("drain")
        self.assert_start_refused("draining", "t2")
        self.clock.advance(1_000)
        self.assertEqual([], self.worker.list_running())
        self.assertEqual("finished", running.state)
        self.worker.apply_control("undrain")
        self.start("t2")
        self.start("t3")
        self.assert_start_refused("busy", "t4")
        self.assert_start_refused("does-not-fit", "t4", cores=33)
        self.assert_start_refused("does-not-fit", "t4", memory_mb=1_000_000)

    def test_throttling_and_checkpoints_free_slots_and_keep_progress(self):
        """Guards against progress lost at a checkpoint and slots held if throttled."""
        slow, saved = self.start("slow"), self.start("saved")
        self.clock.advance(400)
        self.worker.throttle(slow)
        self.assertEqual(1, self.worker.count_free_slots())
        self.assertTrue(self.worker.checkpoint(saved))
        resumed = self.start("resumed", checkpoint="saved")
        other = self.start("other", run_ms=600)
        self.clock.advance(600)
        self.assertEqual([slow], self.worker.list_running())
        self.assertEqual(("finished", "finished"), (resumed.state, other.state))
        self.clock.advance(600)
        self.assertEqual("finished", self.worker.find_task("slow").state)

    def test_a_stop_is_confirmed_only_after_the_task_has_stopped(self):
        """Guards against a stop that is confirmed while the task still runs."""
        task = self.start("t1")
        self.worker.request_stop(task)
        self.assertEqual("running", self.worker.find_task("t1").state)
        self.clock.advance(self.worker.config.stop_ms)
        self.worker.wait_until_ended(task)
        self.assertEqual(("stopped", "stop-requested"), (task.state, task.reason))


class WorkerAppTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.worker = Worker(WorkerConfig(name="a-1", run_ms=1))
        self.client = Client(WorkerApp(self.worker))

    def run_task(self, task_id, **body):
        headers = {"Start-Token": self.worker.issue_start_token(), "Team": "north"}
        data = json.dumps({"request": f"call-{task_id}", **body})
        answer = self.client.put(f"/v1/tasks/{task_id}", data=data, headers=headers)
        return answer, data.encode()

    def test_an_answer_identifies_its_task_and_request(self):
        """Guards against answers that cannot be matched with their requests."""
        answer, body = self.run_task("t1")
        self.assertEqual(200, answer.status_code)
        self.assertEqual("t1", answer.headers["Task-Id"])
        self.assertEqual(compute_digest(body), answer.json["digest"])
        self.assertEqual("call-t1", answer.json["request"])
        self.assertEqual("8", answer.headers["Slots-Free"])
        headers = {"Start-Token": answer.headers["Next-Start-Token"]}
        refused = self.client.put("/v1/tasks/t1", data=b"{}", headers=headers)
        self.assertEqual(
            (409, "duplicate"), (refused.status_code, refused.json["kind"])
        )

    def test_injected_faults_fail_tasks_or_cross_answers(self):
        """Guards against fault injection that leaves the answers unharmed."""
        self.run_task("t1")
        self.worker.faults = WorkerFaults(cross=1)
        answer, _ = self.run_task("t2")
        self.assertEqual("t1", answer.headers["Task-Id"])
        self.worker.faults = WorkerFaults(fail=True)
        answer, _ = self.run_task("t3", run_ms=60_000)
        self.assertEqual(
            (500, "task-failed"), (answer.status_code, answer.json["kind"])
        )
        self.assertEqual("failed", self.client.get("/v1/tasks/t3").json["state"])

    def test_drain_and_reboot_show_in_the_task_list(self):
        """Guards against a drained or rebooting worker that still takes tasks."""
        self.client.post("/v1/control/drain")
        listed = self.client.get("/v1/tasks").json
        self.assertEqual({"tasks": [], "draining": True}, listed)
        answer, _ = self.run_task("t1")
        self.assertEqual((409, "draining"), (answer.status_code, answer.json["kind"]))
        self.client.post("/v1/control/reboot")
        self.assertEqual(503, self.client.get("/v1/tasks").status_code)

import testtools

from cranberrywheel.process import instance_lifecycle
from cranberrywheel.process.fleet_model import (
    InstanceAssignment,
    InstanceState,
    WorkerReport,
)

IDLE = WorkerReport()
BUSY = WorkerReport(running=1)
UNREACHABLE = WorkerReport(reachable=False)


class InstanceLifecycleTest(testtools.TestCase):
    def test_move_passes_through_each_state(self):
        # Guards against a skipped state or a reboot of an instance that is not due.
        assignment = instance_lifecycle.begin_drain(
            InstanceAssignment(pool="a"), "b", 1
        )
        self.assertEqual(
            instance_lifecycle.PlatformAction.DRAIN,
            instance_lifecycle.get_platform_action(assignment.state),
        )
        assignment = instance_lifecycle.advance(assignment, IDLE, True, False, 2)
        self.assertEqual(
            ("a", InstanceState.EMPTY), (assignment.pool, assignment.state)
        )
        moved = instance_lifecycle.advance(assignment, IDLE, True, False, 3)
        self.assertEqual(InstanceAssignment(pool="b", since_ms=3), moved)
        moved = instance_lifecycle.advance(assignment, IDLE, True, True, 3)
        self.assertEqual(("b", InstanceState.REBOOTING), (moved.pool, moved.state))

    def test_running_or_silent_worker_is_not_empty(self):
        # Guards against interrupting tasks of a worker that did not answer.
        assignment = instance_lifecycle.begin_drain(InstanceAssignment(pool="a"), "", 1)
        for report in (BUSY, UNREACHABLE):
            self.assertIsNone(
                instance_lifecycle.advance(assignment, report, True, True, 10**9)
            )

    def test_reboot_ends_only_when_the_worker_is_back(self):
        # Guards against admitting a worker that is still down or was not yet stopped.
        empty = InstanceAssignment(pool="a", state=InstanceState.EMPTY)
        assignment = instance_lifecycle.advance(empty, IDLE, True, True, 0)
        self.assertEqual(InstanceState.REBOOTING, assignment.state)
        self.assertIsNone(instance_lifecycle.advance(assignment, IDLE, False, True, 1))
        self.assertIsNone(
            instance_lifecycle.advance(assignment, UNREACHABLE, True, True, 1)
        )
        admitted = instance_lifecycle.advance(assignment, IDLE, True, True, 1)
        self.assertEqual(InstanceAssignment(pool="a", since_ms=1), admitted)

import testtools

from cranberrywheel.request.preemption import RunningTask, select_tasks_to_preempt


def task(request_id, end_ms=5_000, urgent=False, can_checkpoint=True, **changes):
    return RunningTask(
        request_id=request_id,
        urgent=urgent,
        can_checkpoint=can_checkpoint,
        expected_end_ms=end_ms,
        **{"can_throttle": False} | changes,
    )


class PreemptionTest(testtools.TestCase):
    def test_only_as_many_tasks_as_waiting_urgent_requests_are_preempted(self):
        """Preemption must not stop more work than the urgent requests need."""
        running = [task("a", 1_000), task("b", 9_000), task("c", 5_000)]
        self.assertEqual(["b", "c"], select_tasks_to_preempt(running, 2, 0))
        self.assertEqual([], select_tasks_to_preempt(running, 0, 0))

    def test_urgent_and_unstoppable_tasks_are_not_preempted(self):
        """A task must not lose its work when the worker cannot checkpoint it."""
        running = [task("a", urgent=True), task("b", can_checkpoint=False)]
        self.assertEqual([], select_tasks_to_preempt(running, 2, 0))
        throttled = task("c", can_checkpoint=False, can_throttle=True)
        self.assertEqual(["c"], select_tasks_to_preempt([*running, throttled], 2, 0))

    def test_slots_about_to_become_free_are_counted(self):
        """Each tick of the dispatcher must not preempt one more task."""
        for first in (task("a", preempted=True), task("a", 200)):
            self.assertEqual([], select_tasks_to_preempt([first, task("b")], 1, 0))

    def test_overdue_task_is_not_counted_as_a_slot_about_to_become_free(self):
        """A task past its expected end may run on, so urgent work must not wait."""
        self.assertEqual(["b"], select_tasks_to_preempt([task("b", 100)], 1, 5_000))

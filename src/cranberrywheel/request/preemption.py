"""Selects running tasks to preempt for urgent requests that waited too long."""

import dataclasses
import heapq
import typing as t

#: A task that is expected to end within this time frees its slot sooner than
#: writing a checkpoint would.
IMMINENT_COMPLETION_MS = 250


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunningTask:
    """The properties of a running task that decide whether it is preempted.

    :param request_id: id of the request, which is also the task id.
    :param urgent: whether the task itself is urgent.
    :param can_checkpoint: whether the worker can checkpoint the task.
    :param can_throttle: whether the worker can throttle the task.
    :param expected_end_ms: clock reading in milliseconds at which the task is
        expected to end.
    :param preempted: whether preemption of the task was already requested.
    """

    request_id: str
    urgent: bool
    can_checkpoint: bool
    can_throttle: bool
    expected_end_ms: int
    preempted: bool = False


def select_tasks_to_preempt(
    running: t.Iterable[RunningTask], urgent_waiting: int, now_ms: int
) -> list[str]:
    """Select non-urgent tasks to checkpoint or throttle.

    A task that is about to end or is already being preempted counts as a slot that
    becomes free. Further tasks are selected by longest remaining run time, because
    they would occupy their slots longest.

    :param running: tasks in the pool that the urgent requests need. A team at its
        upper limit can only use slots of its own tasks, so pass only those for it.
    :param urgent_waiting: number of urgent requests that waited over the threshold.
    :param now_ms: clock reading in milliseconds.
    :returns: request ids, at most ``urgent_waiting``.
    """
    slots_needed = urgent_waiting
    eligible = []
    for task in running:
        if (
            task.preempted
            or 0 <= task.expected_end_ms - now_ms <= IMMINENT_COMPLETION_MS
        ):
            slots_needed -= 1
        elif not task.urgent and (task.can_checkpoint or task.can_throttle):
            eligible.append(task)
    if slots_needed <= 0:
        return []
    chosen = heapq.nlargest(
        slots_needed, eligible, key=lambda task: task.expected_end_ms
    )
    return [task.request_id for task in chosen]

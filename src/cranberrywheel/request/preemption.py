"""Which running tasks make room for urgent requests that waited too long."""

import dataclasses
import heapq
import typing as t

#: Tasks that end sooner free their slot before a checkpoint would.
ENDS_SOON_MS = 250


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunningTask:
    """A running task as far as displacement is concerned.

    :param request_id: also the task id.
    :param urgent: whether it is itself urgent.
    :param can_checkpoint: whether its worker can checkpoint it.
    :param can_throttle: whether its worker can throttle it.
    :param expected_end_ms: clock reading at which it should end.
    :param displaced: whether it was already asked to make room.
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

    Tasks that end soon or were already asked count as room to come. The others are
    taken in the order of most remaining run time, because those would hold their
    slot longest.

    :param running: tasks in the pool that the urgent requests need. A team at its
        upper limit gets room only from its own tasks, so pass only those for it.
    :param urgent_waiting: urgent requests that waited over the threshold.
    :param now_ms: clock reading.
    :returns: request ids, at most ``urgent_waiting``.
    """
    missing = urgent_waiting
    eligible = []
    for task in running:
        if task.preempted or 0 <= task.expected_end_ms - now_ms <= ENDS_SOON_MS:
            missing -= 1
        elif not task.urgent and (task.can_checkpoint or task.can_throttle):
            eligible.append(task)
    if missing <= 0:
        return []
    chosen = heapq.nlargest(missing, eligible, key=lambda task: task.expected_end_ms)
    return [task.request_id for task in chosen]

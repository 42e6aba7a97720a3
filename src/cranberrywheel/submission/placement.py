"""Which executor a task goes to.

Load pattern: a pool in its turn is asked for more than it holds, while lasting tasks
stay on it all day and planned work takes machines out of it.
"""

import typing as t

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import StepRun, Task
from cranberrywheel.submission.model import NO_RESOURCES, Resources

#: Weight of a near data rack against free capacity (0 to 1).
LOCALITY_BONUS = 2.0
#: Weight against mixing tasks that serve with tasks that fill on one executor.
INTERFERENCE_PENALTY = 4.0
#: Weight against an executor that failed or stalled runs lately.
SUSPECT_PENALTY = 10.0
#: Weight against a machine that has its upkeep or a move before it, for tasks that
#: last.
LEAVING_PENALTY = 3.0


class PoolCapacity:
    """Usable executors of a pool with a bound on the free capacity of any one.

    While a queue has its turn, most waiting steps fit nowhere; the bound tells so
    without a look at each executor.
    """

    def __init__(self, executors: t.Iterable[Executor]) -> None:
        self.usable = [executor for executor in executors if executor.is_usable]
        self._largest = NO_RESOURCES
        self.refresh()

    def refresh(self) -> None:
        """Work the bound out again after a start."""
        free = [executor.free for executor in self.usable]
        self._largest = Resources(
            max((room.cpu for room in free), default=-1),
            max((room.memory_mb for room in free), default=-1),
            max((room.gpu for room in free), default=-1),
        )

    def may_fit(self, claim: Resources) -> bool:
        """Whether any executor may have room; false is certain."""
        return claim.fits_in(self._largest)


def meets_constraints(executor: Executor, task: Task, now_ms: int) -> bool:
    """Tell whether a task may run on a usable executor, its room aside."""
    step_run = task.step_run
    step = step_run.step
    if step.required_label and step.required_label not in executor.entry.labels:
        return False
    if any(run.executor_id == executor.id for run in task.runs):
        return False
    if task.avoid_until_ms_by_executor.get(executor.id, 0) > now_ms:
        return False
    return not step.anti_affinity or (
        executor.count_by_step.get(step_run, 0) < step.anti_affinity
    )


def can_start(executor: Executor, task: Task, now_ms: int) -> bool:
    """Tell whether a task may start on an executor."""
    return (
        executor.is_usable
        and task.step_run.step.claim.fits_in(executor.free)
        and meets_constraints(executor, task, now_ms)
    )


def score(
    executor: Executor, task: Task, now_ms: int, leaving: t.Container[str]
) -> float:
    """Rate an executor for a task; higher is better."""
    step = task.step_run.step
    capacity = executor.entry.capacity
    free = executor.free
    value = free.cpu / max(1, capacity.cpu)
    if step.long_running:
        value = (
            free.memory_mb / max(1, capacity.memory_mb)
            - executor.latency_sensitive_count * 0.3
        )
        if executor.entry.machine in leaving:
            value -= LEAVING_PENALTY
    if step.data_rack and step.data_rack == executor.entry.rack:
        value += LOCALITY_BONUS
    if step.colocate:
        racks = {run.rack for other in task.step_run.tasks for run in other.runs}
        if executor.entry.rack in racks:
            value += LOCALITY_BONUS
    if step.fills:
        value -= INTERFERENCE_PENALTY * executor.latency_sensitive_count
    elif step.target_ms:
        value -= INTERFERENCE_PENALTY * executor.background_count
    if executor.suspect_until_ms > now_ms:
        value -= SUSPECT_PENALTY
    return value


def choose_executor(
    room: PoolCapacity,
    task: Task,
    now_ms: int,
    leaving: t.Container[str],
) -> Executor | None:
    """Return the best executor for a task, or ``None``."""
    claim = task.step_run.step.claim
    best: Executor | None = None
    best_score = 0.0
    for executor in room.usable:
        if claim.fits_in(executor.free) and meets_constraints(executor, task, now_ms):
            value = score(executor, task, now_ms, leaving)
            if best is None or value > best_score:
                best, best_score = executor, value
    return best


def choose_gang_executors(
    executors: t.Sequence[Executor], step_run: StepRun, now_ms: int
) -> list[Executor] | None:
    """Return an executor for each member of a gang, or ``None`` if not all fit.

    Members that must be near each other go to the first rack that holds all.
    """
    groups: list[list[Executor]] = [list(executors)]
    if step_run.step.colocate:
        racks: dict[str, list[Executor]] = {}
        for executor in executors:
            racks.setdefault(executor.entry.rack, []).append(executor)
        groups = [*racks.values(), list(executors)]
    for group in groups:
        chosen = _assign_first_fit(group, step_run, now_ms)
        if chosen is not None:
            return chosen
    return None


def _assign_first_fit(
    executors: list[Executor], step_run: StepRun, now_ms: int
) -> list[Executor] | None:
    step = step_run.step
    free = {executor.id: executor.free for executor in executors}
    count = {x.id: x.count_by_step.get(step_run, 0) for x in executors}
    chosen: list[Executor] = []
    for task in step_run.tasks:
        for executor in executors:
            if step.anti_affinity and count[executor.id] >= step.anti_affinity:
                continue
            if step.claim.fits_in(free[executor.id]) and meets_constraints(
                executor, task, now_ms
            ):
                free[executor.id] = free[executor.id] - step.claim
                count[executor.id] += 1
                chosen.append(executor)
                break
        else:
            return None
    return chosen

"""Which executor a task goes to.

Load pattern: a pool in its turn is asked for more than it holds, while lasting tasks
stay on it all day, planned work takes machines out of it, and an executor, a rack or
a zone of it is lost.
"""

import typing as t

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import StepRun, Task
from cranberrywheel.submission.model import NOTHING, Resources

#: Weight of a zone in which tasks of the submission run, and of one that has room for
#: the whole step, against free capacity (0 to 1). In the replay of a cut zone the two
#: worst windows serve 0.46 to 0.52 with them and 0.23 to 0.34 without.
SAME_ZONE_BONUS = 1.0
ROOMY_ZONE_BONUS = 1.0
#: Weight of a near data rack against free capacity.
NEAR_BONUS = 2.0
#: Weight against each task that serves and is there already.
SERVING_PENALTY = 0.3
#: Weight against mixing tasks that serve with tasks that fill on one executor.
MIX_PENALTY = 4.0
#: Weight against an executor that failed or stalled runs lately.
SUSPECT_PENALTY = 10.0
#: Weight against a machine that has its upkeep or a move before it, for tasks that
#: last.
LEAVING_PENALTY = 3.0


class PoolRoom:
    """Usable executors of a pool with a bound on the free capacity of any one.

    While a queue has its turn, most waiting steps fit nowhere; the bound tells so
    without a look at each executor.
    """

    def __init__(self, executors: t.Iterable[Executor]) -> None:
        self.usable = [executor for executor in executors if executor.is_usable]
        self._largest = NOTHING
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
        return claim.fits(self._largest)


def may_run(executor: Executor, task: Task, now_ms: int) -> bool:
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


def can_take(executor: Executor, task: Task, now_ms: int) -> bool:
    """Tell whether a task may start on an executor."""
    return (
        executor.is_usable
        and task.step_run.step.claim.fits(executor.free)
        and may_run(executor, task, now_ms)
    )


def score_lasting(
    executor: Executor, task: Task, now_ms: int, leaving: t.Container[str]
) -> float:
    """Rate an executor for a task that lasts; higher is better.

    Lasting tasks spread, so that no single loss takes more than one of a step.
    """
    step = task.step_run.step
    capacity = executor.entry.capacity
    value = executor.free.memory_mb / max(1, capacity.memory_mb)
    value -= executor.serving * SERVING_PENALTY
    if executor.entry.machine in leaving:
        value -= LEAVING_PENALTY
    if step.data_rack and step.data_rack == executor.entry.rack:
        value += NEAR_BONUS
    if step.fills:
        value -= MIX_PENALTY * executor.serving
    elif step.target_ms:
        value -= MIX_PENALTY * executor.filling
    if executor.suspect_until_ms > now_ms:
        value -= SUSPECT_PENALTY
    return value


def slots(executor: Executor, step_run: StepRun) -> int:
    """Return how many further tasks of a step an executor has room for."""
    step = step_run.step
    claim, free = step.claim, executor.free
    count = step.count
    if claim.cpu:
        count = min(count, free.cpu // claim.cpu)
    if claim.memory_mb:
        count = min(count, free.memory_mb // claim.memory_mb)
    if claim.gpu:
        count = min(count, free.gpu // claim.gpu)
    if step.anti_affinity:
        here = executor.count_by_step.get(step_run, 0)
        count = min(count, step.anti_affinity - here)
    return max(0, count)


def roomy_zones(room: PoolRoom, step_run: StepRun) -> set[str]:
    """Return the zones that have room for all waiting tasks of a step."""
    slots_by_zone: dict[str, int] = {}
    for executor in room.usable:
        zone = executor.entry.zone
        slots_by_zone[zone] = slots_by_zone.get(zone, 0) + slots(executor, step_run)
    wanted = len(step_run.waiting)
    return {zone for zone, count in slots_by_zone.items() if count >= wanted}


def score_short(
    executor: Executor, task: Task, now_ms: int, roomy: t.Container[str]
) -> float:
    """Rate an executor for a short task; higher is better.

    Tasks of one submission share a zone, since a submission is late if any of its
    tasks is: a lost zone then delays a part of the submissions and not a task of
    nearly all. Within a zone they spread, which leaves room for wide tasks.

    :param roomy: zones with room for the whole step.
    """
    step_run = task.step_run
    step, live = step_run.step, step_run.live
    entry = executor.entry
    value = min(
        executor.free.cpu / max(1, entry.capacity.cpu),
        executor.free.memory_mb / max(1, entry.capacity.memory_mb),
    )
    if live.runs_by_zone.get(entry.zone):
        value += SAME_ZONE_BONUS
    elif not live.run_count and entry.zone in roomy:
        value += ROOMY_ZONE_BONUS
    if step.data_rack and step.data_rack == entry.rack:
        value += NEAR_BONUS
    if step.colocate and live.runs_by_rack.get(entry.rack):
        value += NEAR_BONUS
    if step.fills:
        value -= MIX_PENALTY * executor.serving
    if executor.suspect_until_ms > now_ms:
        value -= SUSPECT_PENALTY
    return value


def choose(
    room: PoolRoom, task: Task, now_ms: int, score: t.Callable[[Executor], float]
) -> Executor | None:
    """Return the executor with the highest score that takes a task, or ``None``."""
    claim = task.step_run.step.claim
    best: Executor | None = None
    best_score = 0.0
    for executor in room.usable:
        if claim.fits(executor.free) and may_run(executor, task, now_ms):
            value = score(executor)
            if best is None or value > best_score:
                best, best_score = executor, value
    return best


def choose_gang(
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
        chosen = _fill(group, step_run, now_ms)
        if chosen is not None:
            return chosen
    return None


def _fill(
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
            if step.claim.fits(free[executor.id]) and may_run(executor, task, now_ms):
                free[executor.id] = free[executor.id] - step.claim
                count[executor.id] += 1
                chosen.append(executor)
                break
        else:
            return None
    return chosen

"""Placement of tasks on executors.

Load pattern: during a burst a pool gets more work than it can hold, while long-running
tasks occupy it all day, maintenance takes machines out of it, and an executor, a rack
or an availability zone of it is lost.
"""

import typing as t

from cranberrywheel.submission.cold_executors import COLD_PENALTY, may_start_cold
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.interference import (
    InterferenceEstimates,
    compute_placement_term,
    has_term,
)
from cranberrywheel.submission.live import StepRun, Task
from cranberrywheel.submission.model import NO_RESOURCES, Resources
from cranberrywheel.submission.packing import compute_packing_score

#: Added to the score of an executor for a short task, if tasks of its submission run
#: there. A submission is late if one of its tasks is, so the loss of a zone, a rack or
#: an executor should hit few submissions. The larger domain counts more; the fraction
#: of free capacity adds 0 to 1.
SAME_ZONE_BONUS = 4.0
SAME_RACK_BONUS = 2.0
SAME_EXECUTOR_BONUS = 1.0
#: Added to the score of an executor on the rack of the task's data or of its step's
#: other tasks.
LOCALITY_BONUS = 8.0
#: Subtracted from the score of a background task for each latency-sensitive run on the
#: executor, and the other way round.
INTERFERENCE_PENALTY = 4.0
#: Subtracted for an executor that has recently failed or stalled runs.
SUSPECT_PENALTY = 20.0
#: Subtracted for a machine that is due for maintenance or a move, for long-running
#: tasks.
LEAVING_PENALTY = 3.0
#: Subtracted for each latency-sensitive run on the executor, for long-running tasks.
CROWDING_PENALTY = 0.3


class PoolCapacity:
    """Usable executors of a pool with an upper bound of the free capacity of any one.

    During a burst most waiting steps fit nowhere; the bound shows that without
    examining each executor.

    :ivar usable: executors on which new runs may start.
    :ivar total_cpu: their cpu in thousandths of a core.
    """

    def __init__(self, executors: t.Iterable[Executor]) -> None:
        executors = list(executors)
        self.usable = [executor for executor in executors if executor.is_usable]
        self._isolated = [
            executor
            for executor in executors
            if executor.isolated_for is not None and executor.is_available
        ]
        self.total_cpu = sum(executor.entry.capacity.cpu for executor in self.usable)
        self._largest_free = NO_RESOURCES
        self.refresh()

    def isolate(self, executor: Executor) -> None:
        """Exclude an executor that is isolated for one submission from now on."""
        self.usable.remove(executor)
        self._isolated.append(executor)

    def refresh(self) -> None:
        """Recompute the bound after free capacities have changed.

        It covers isolated executors, on which the steps of one submission fit.
        """
        free = [executor.free for executor in (*self.usable, *self._isolated)]
        self._largest_free = Resources(
            max((amount.cpu for amount in free), default=-1),
            max((amount.memory_mb for amount in free), default=-1),
            max((amount.gpu for amount in free), default=-1),
        )

    def may_fit(self, claim: Resources) -> bool:
        """Tell whether an executor may have enough free capacity.

        :returns: false if certainly none has; true may be wrong, since the bound
            combines the amounts of different executors.
        """
        return claim.fits_in(self._largest_free)


def meets_constraints(executor: Executor, task: Task, now_ms: int) -> bool:
    """Tell whether a task may run on a usable executor, free capacity aside.

    :param now_ms: steady time in milliseconds.
    """
    step_run = task.step_run
    step = step_run.step
    if now_ms < executor.start_pause_end_ms:
        return False
    if (
        step_run.advice is not None
        and step_run.live.queue.advised
        and (executor.id, executor.boot) in step_run.advice.denied_boots
    ):
        return False
    if step.required_label and step.required_label not in executor.entry.labels:
        return False
    if any(run.executor_id == executor.id for run in task.runs):
        return False
    if task.avoid_until_ms_by_executor.get(executor.id, 0) > now_ms:
        return False
    if (
        executor.withholds_last_attempts
        and executor.failing_until_ms > now_ms
        and _has_one_attempt_left(task)
    ):
        return False
    if executor.cold_until_ms > now_ms and not may_start_cold(executor, step, now_ms):
        return False
    return not step.anti_affinity or (
        executor.count_by_step.get(step_run, 0) < step.anti_affinity
    )


def _has_one_attempt_left(task: Task) -> bool:
    """Tell whether the submission fails if the next run of a task does.

    An executor that fails its runs at once always has capacity. In a full pool it would
    get the last attempts of every task that waits.
    """
    attempts = task.step_run.live.queue.attempts
    return not task.step_run.step.long_running and len(task.failed_runs) + 1 >= attempts


def can_start(executor: Executor, task: Task, now_ms: int) -> bool:
    """Tell whether a task may start on an executor now."""
    return (
        executor.is_usable
        and task.step_run.step.claim.fits_in(executor.free)
        and meets_constraints(executor, task, now_ms)
    )


def compute_score(
    executor: Executor,
    task: Task,
    now_ms: int,
    leaving_machines: t.Container[str],
    packed_machines: t.Container[str] | None = None,
    interference: InterferenceEstimates | None = None,
) -> float:
    """Compute how well an executor suits a task; higher is better.

    :param leaving_machines: ids of machines due for maintenance or a move.
    :param packed_machines: ids of the machines on which the pool packs its long-running
        tasks; ``None`` if it does not pack them.
    :param interference: known effects of images on each other; ``None`` while that
        part is off or knows nothing of the task.
    """
    step = task.step_run.step
    entry = executor.entry
    if step.long_running:
        score = executor.free.memory_mb / max(1, entry.capacity.memory_mb)
        score -= CROWDING_PENALTY * executor.latency_sensitive_count
        if entry.machine in leaving_machines:
            score -= LEAVING_PENALTY
        if packed_machines is not None:
            score += compute_packing_score(executor, task.step_run, packed_machines)
    else:
        score = executor.free.cpu / max(1, entry.capacity.cpu)
        score += _compute_domain_bonus(executor, task.step_run)
    if step.data_rack and step.data_rack == entry.rack:
        score += LOCALITY_BONUS
    if step.colocate:
        racks = {run.rack for other in task.step_run.tasks for run in other.runs}
        if entry.rack in racks:
            score += LOCALITY_BONUS
    if step.fills:
        score -= INTERFERENCE_PENALTY * executor.latency_sensitive_count
    elif step.target_ms:
        score -= INTERFERENCE_PENALTY * executor.background_count
    if interference is not None:
        score += compute_placement_term(
            interference, executor, step, INTERFERENCE_PENALTY
        )
    if executor.suspect_until_ms > now_ms:
        score -= SUSPECT_PENALTY
    if executor.cold_until_ms > now_ms:
        score -= COLD_PENALTY
    return score


def _compute_domain_bonus(executor: Executor, step_run: StepRun) -> float:
    """Compute the preference for the failure domains of a submission's other runs."""
    live = step_run.live
    entry = executor.entry
    if not live.run_count_by_zone.get(entry.zone):
        return 0.0
    bonus = SAME_ZONE_BONUS
    if live.run_count_by_rack.get(entry.rack):
        bonus += SAME_RACK_BONUS
        if executor.count_by_step.get(step_run):
            bonus += SAME_EXECUTOR_BONUS
    return bonus


def count_slots(executor: Executor, step_run: StepRun) -> int:
    """Return how many further tasks of a step fit on an executor."""
    step = step_run.step
    claim, free = step.claim, executor.free
    limits = [len(step_run.waiting)]
    if claim.cpu:
        limits.append(free.cpu // claim.cpu)
    if claim.memory_mb:
        limits.append(free.memory_mb // claim.memory_mb)
    if claim.gpu:
        limits.append(free.gpu // claim.gpu)
    if step.anti_affinity:
        limits.append(step.anti_affinity - executor.count_by_step.get(step_run, 0))
    return max(0, min(limits))


def choose_zone(
    pool_capacity: PoolCapacity, step_run: StepRun, now_ms: int
) -> str | None:
    """Return the availability zone in which a submission's next step should start.

    Cold executors have no slots, since an empty zone of them would attract every step.

    :returns: the zone with the most free slots if all waiting tasks fit there, or
        ``None`` if they fit in no single zone, if the submission has runs already, or
        if it is long-running.
    """
    if step_run.step.long_running or step_run.live.run_count:
        return None
    slots_by_zone: dict[str, int] = {}
    for executor in pool_capacity.usable:
        if executor.cold_until_ms > now_ms:
            continue
        zone = executor.entry.zone
        slots = count_slots(executor, step_run)
        slots_by_zone[zone] = slots_by_zone.get(zone, 0) + slots
    if not slots_by_zone:
        return None
    best = max(slots_by_zone, key=lambda zone: slots_by_zone[zone])
    return best if slots_by_zone[best] >= len(step_run.waiting) else None


def choose_executor(
    pool_capacity: PoolCapacity,
    task: Task,
    now_ms: int,
    leaving_machines: t.Container[str],
    zone: str | None = None,
    packed_machines: t.Container[str] | None = None,
    interference: InterferenceEstimates | None = None,
) -> Executor | None:
    """Return the executor with the highest score, or ``None`` if the task fits none.

    :param zone: availability zone in which its submission should begin, from
        :func:`choose_zone`.
    :param packed_machines: see :func:`compute_score`.
    :param interference: see :func:`compute_score`.
    """
    claim = task.step_run.step.claim
    if interference is not None and not has_term(interference, task.step_run.step):
        interference = None
    best: Executor | None = None
    best_score = 0.0
    for executor in pool_capacity.usable:
        if claim.fits_in(executor.free) and meets_constraints(executor, task, now_ms):
            score = compute_score(
                executor, task, now_ms, leaving_machines, packed_machines, interference
            )
            if zone == executor.entry.zone and not task.step_run.live.run_count:
                score += SAME_ZONE_BONUS
            if best is None or score > best_score:
                best, best_score = executor, score
    return best


def choose_gang_executors(
    executors: t.Sequence[Executor], step_run: StepRun, now_ms: int
) -> list[Executor] | None:
    """Return an executor for each member of a gang, or ``None`` if not all fit.

    The members of a colocated gang go to the first rack that can hold all of them,
    or are spread over the racks if none can.
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
    """Assign each task of a step to the first executor with enough free capacity.

    :returns: an executor for each task, or ``None`` if some task fits nowhere.
    """
    step = step_run.step
    free = {executor.id: executor.free for executor in executors}
    count = {
        executor.id: executor.count_by_step.get(step_run, 0) for executor in executors
    }
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

"""Stops runs of less urgent queues where urgent work would miss its objective.

Load pattern: see :mod:`.preemption`, which chooses the runs.
"""

import math
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import LiveSubmission, Run, StepRun
from cranberrywheel.submission.model import Resources
from cranberrywheel.submission.placement import PoolCapacity, meets_constraints
from cranberrywheel.submission.preemption import MAX_AT_ONCE, choose_victims
from cranberrywheel.submission.queue_order import (
    ON_TIME,
    compute_objective_end_ms,
    compute_scheduling_key,
    estimate_remaining_work,
)
from cranberrywheel.submission.scheduling_pass import is_within_quota
from cranberrywheel.submission.state import SchedulerState

#: Slack from which a submission that fits nowhere gets room. A stop and the start after
#: it take about 0.2 s and are decided once per tick of 0.1 s; earlier, runs that end by
#: themselves may still make room.
URGENT_SLACK_MS = 400
#: Work that may be lost for urgent work, as a multiple of it, so that at least a third
#: of the capacity spent on both is of use.
MAX_LOSS = 2.0
#: Submissions of a pool for which the executors are searched per tick: each search
#: examines all runs of the pool. The others follow in the next ticks.
MAX_PLANS_PER_TICK = 4
#: An executor, what is kept on it, the work that is lost and the runs that are stopped.
_Room = tuple[Executor, Resources, float, list[Run]]

_log = ComponentLogger("scheduler")


def preempt_for_urgent(state: SchedulerState, now_ms: int, unix_ms: int) -> None:
    """Make room for urgent work of all pools that is about to miss its objective.

    :param now_ms: steady time in milliseconds.
    :param unix_ms: time of day in Unix milliseconds.
    """
    preemption = state.preemption
    if preemption.expire(state.live_by_id, now_ms):
        state.mark_all_dirty()
    preemption.refill(now_ms)
    for service, waiting in state.waiting_by_service.items():
        if not waiting:
            continue
        executors = state.executors_by_service.get(service, {}).values()
        cpu_by_priority = _find_smallest_runs(executors)
        if not cpu_by_priority:
            continue
        lowest_priority = max(cpu_by_priority)
        pool = PoolCapacity(executors)
        rows = sorted(
            (
                row
                for live in waiting.values()
                if live.queue.priority < lowest_priority
                and (row := _find_urgent(state, live, pool, unix_ms))
            ),
            key=lambda row: row[:2],
        )
        plans = 0
        for _, _, step_run in rows:
            priority = step_run.live.queue.priority
            smallest_cpu = min(
                cpu for other, cpu in cpu_by_priority.items() if other > priority
            )
            if not _may_plan(state, service, step_run, pool, smallest_cpu):
                continue
            _make_room(state, service, step_run, pool, now_ms)
            plans += 1
            if plans == MAX_PLANS_PER_TICK:
                break


def _find_smallest_runs(executors: t.Iterable[Executor]) -> dict[int, int]:
    """Return the cpu of the smallest run by the priority of its queue."""
    found: dict[int, int] = {}
    for executor in executors:
        for run in executor.runs.values():
            step_run = run.task.step_run
            priority, cpu = step_run.live.queue.priority, step_run.step.size.cpu
            found[priority] = min(cpu, found.get(priority, cpu))
    return found


def _sum_sizes(step_run: StepRun) -> Resources:
    """Return the resources that the waiting tasks of a step use together."""
    size, count = step_run.step.size, len(step_run.waiting)
    return Resources(size.cpu * count, size.memory_mb * count, size.gpu * count)


def _may_plan(
    state: SchedulerState,
    service: str,
    step_run: StepRun,
    pool: PoolCapacity,
    smallest_cpu: int,
) -> bool:
    """Tell whether the quota and the rate may allow to make room for a step.

    :param smallest_cpu: cpu of the smallest run that may be stopped for it.
    """
    budget = state.preemption.budget_by_service.get(service, MAX_AT_ONCE)
    return (
        bool(pool.usable)
        and smallest_cpu / max(1, pool.total_cpu) <= budget
        and is_within_quota(state, step_run.live, _sum_sizes(step_run))
    )


def _find_urgent(
    state: SchedulerState, live: LiveSubmission, pool: PoolCapacity, unix_ms: int
) -> tuple[tuple[int, int, float], str, StepRun] | None:
    """Return the key, the id and the first step of a submission that needs room now."""
    if (
        live.has_long_running_step
        or live.submission.id in state.preemption.reservations_by_submission
        or live.get_due_ms(0) > unix_ms
    ):
        return None
    step_run = next(iter(live.list_ready_steps()), None)
    if step_run is None or step_run.step.gang or pool.may_fit(step_run.step.claim):
        return None
    remaining = estimate_remaining_work(
        live, state.duration_estimates.get_factor(live), pool.total_cpu
    )
    key = compute_scheduling_key(live, remaining, unix_ms)
    end_ms = compute_objective_end_ms(live, remaining)
    slack_ms = end_ms - unix_ms - remaining.critical_path_ms
    if key[0] != ON_TIME or slack_ms > URGENT_SLACK_MS:
        return None
    return key, live.submission.id, step_run


def _make_room(
    state: SchedulerState,
    service: str,
    step_run: StepRun,
    pool: PoolCapacity,
    now_ms: int,
) -> None:
    """Stop runs and keep their capacity for all waiting tasks of a step, or for none.

    A step of which only some tasks start in time is late nevertheless.
    """
    plan = _plan_room(state, service, step_run, pool, now_ms)
    live = step_run.live
    for executor, claim, lost_core_ms, runs in plan:
        cpu = sum(run.task.step_run.step.size.cpu for run in runs)
        _log.event(
            "making room for urgent work",
            request=step_run.name,
            queue=live.queue.name,
            priority=live.queue.priority,
            executor=executor.id,
            stopped=len(runs),
            stopped_cpu=cpu,
            lost_core_ms=round(lost_core_ms),
        )
        for run in runs:
            run.task.preempted = True
            state.stop_run(run, now_ms, "urgent work needs its capacity")
        state.preemption.stopped_count += len(runs)
        state.preemption.reserve(live, executor, claim, now_ms)


def _plan_room(
    state: SchedulerState,
    service: str,
    step_run: StepRun,
    pool: PoolCapacity,
    now_ms: int,
) -> list[_Room]:
    """Return where the waiting tasks of a step get room.

    :returns: nothing if not all of them get room within the rate, or if much more work
        would be lost than they have.
    """
    step = step_run.step
    count = len(step_run.waiting)
    per_task = step.claim
    per_executor = math.ceil(count / len(pool.usable))
    if step.anti_affinity:
        per_executor = min(per_executor, step.anti_affinity)
    claim = Resources(
        per_task.cpu * per_executor,
        per_task.memory_mb * per_executor,
        per_task.gpu * per_executor,
    )
    rooms = _list_rooms(state, step_run, claim, pool, now_ms)
    rooms = _drop_shared_steps(rooms)[: math.ceil(count / per_executor)]
    # By the size, since background tasks claim no cpu but lose the work all the same.
    cpu = sum(run.task.step_run.step.size.cpu for room in rooms for run in room[3])
    share = cpu / max(1, pool.total_cpu)
    budgets = state.preemption.budget_by_service
    budget = budgets.setdefault(service, MAX_AT_ONCE)
    work_core_ms = step.estimated_ms * step.size.cpu * count / 1_000
    if (
        len(rooms) * per_executor < count
        or share > budget
        or sum(room[2] for room in rooms) > MAX_LOSS * work_core_ms
    ):
        return []
    budgets[service] = budget - share
    return rooms


def _list_rooms(
    state: SchedulerState,
    step_run: StepRun,
    claim: Resources,
    pool: PoolCapacity,
    now_ms: int,
) -> list[_Room]:
    """Return the executors that can make room, that with the least loss first."""
    rooms: list[_Room] = []
    task = next(iter(step_run.waiting.values()))
    for executor in pool.usable:
        if executor.reserved_for is not None or not meets_constraints(
            executor, task, now_ms
        ):
            continue
        found = choose_victims(
            executor,
            claim,
            step_run.live.queue.priority,
            state.duration_estimates.get_factor,
            now_ms,
        )
        if found is not None:
            rooms.append((executor, claim, *found))
    rooms.sort(key=lambda room: (room[2], room[0].id))
    return rooms


def _drop_shared_steps(rooms: list[_Room]) -> list[_Room]:
    """Leave out executors that would stop a second task of one long-running step."""
    taken: set[int] = set()
    kept: list[_Room] = []
    for room in rooms:
        steps = {
            id(run.task.step_run)
            for run in room[3]
            if run.task.step_run.step.long_running
        }
        if not steps & taken:
            taken |= steps
            kept.append(room)
    return kept

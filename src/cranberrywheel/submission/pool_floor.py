"""Machines that an idle pool must hold, and those on which its tasks are packed.

Load pattern: long-running steps with at most one task on each machine occupy a pool all
day. Spread over the whole pool they keep every machine switched on; packed on as few
machines as their steps allow, they leave the others empty between two bursts.
"""

import collections
import dataclasses
import math
import typing as t

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import Run, RunState, StepRun
from cranberrywheel.submission.maintenance import (
    count_other_unavailable,
    may_interrupt,
)
from cranberrywheel.submission.model import NO_RESOURCES, Resources
from cranberrywheel.submission.packing import is_strained
from cranberrywheel.submission.placement import can_start
from cranberrywheel.submission.state import SchedulerState

#: Time for which a task is unavailable when it moves: the stop of its run, the start
#: elsewhere and the start-up.
INTERRUPTION_MS = 900
#: A second without a task counts as this many seconds of a whole machine, although a
#: task uses a fraction of one: callers come before machines.
INTERRUPTION_WEIGHT = 2.0
#: Machines of a pool from which long-running tasks are moved at once.
MAX_CONSOLIDATING = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PoolFloor:
    """Machines that the long-running steps and the idle load of a pool need.

    :param machines: machines for all tasks.
    :param after_loss: machines without which more tasks of a step are missing than it
        may miss.
    """

    machines: int
    after_loss: int


def compute_floor(
    step_runs: t.Iterable[StepRun], machine: Resources, idle_cpu: float
) -> PoolFloor:
    """Return the fewest machines that can carry long-running steps and the idle load.

    :param machine: capacity of a machine.
    :param idle_cpu: short work with its error, in thousandths of a core.
    """
    fewest = fewest_after_loss = 1
    cpu, memory_mb = idle_cpu, 0
    largest_cpu = largest_mb = 0
    for step_run in step_runs:
        step = step_run.step
        count = len(step_run.tasks) - step_run.done_count
        # Without a limit, one machine must not take away more than the step may miss.
        limit = step.anti_affinity or max(1, step.may_miss)
        fewest = max(fewest, math.ceil(count / limit))
        fewest_after_loss = max(
            fewest_after_loss, math.ceil((count - step.may_miss) / limit)
        )
        cpu += count * step.claim.cpu
        memory_mb += count * step.claim.memory_mb
        largest_cpu = max(largest_cpu, step.claim.cpu)
        largest_mb = max(largest_mb, step.claim.memory_mb)
    # Tasks are not divisible, so a machine counts as full with less than one task free.
    usable_cpu = max(largest_cpu, machine.cpu - largest_cpu, 1)
    usable_mb = max(largest_mb, machine.memory_mb - largest_mb, 1)
    by_resources = max(math.ceil(cpu / usable_cpu), math.ceil(memory_mb / usable_mb))
    return PoolFloor(max(fewest, by_resources), min(max(fewest_after_loss, 1), fewest))


def count_long_running(executor: Executor) -> int:
    """Count the runs of long-running tasks on an executor."""
    return sum(run.task.step_run.step.long_running for run in executor.runs.values())


def choose_packed_machines(
    executors: t.Sequence[Executor],
    count: int,
    previous: t.Container[str],
    leaving: t.Container[str],
) -> frozenset[str]:
    """Choose the machines on which a pool packs its long-running tasks.

    They are spread evenly over the availability zones, and over the racks of a zone.
    Machines that were chosen before and hold long-running tasks stay, so that tasks do
    not move without need. After a takeover the reports show which do.

    :param leaving: ids of machines that are borrowed or due for maintenance; they are
        chosen last.
    """
    held = {executor.id: count_long_running(executor) for executor in executors}
    candidates = sorted(
        executors,
        key=lambda executor: (
            executor.entry.machine not in previous,
            -held[executor.id],
            executor.entry.machine,
        ),
    )
    stays = [
        executor
        for executor in candidates
        if executor.entry.machine in previous
        and executor.entry.machine not in leaving
        and held[executor.id]
    ]
    chosen = stays if len(stays) <= count else []
    chosen_ids = {executor.id for executor in chosen}
    # Machines of a group are equal but for the order within it, so that each choice
    # compares groups and not machines.
    groups: dict[tuple[bool, str, bool, str], list[Executor]] = {}
    for executor in reversed(candidates):
        if executor.id not in chosen_ids:
            entry = executor.entry
            key = (
                entry.machine in leaving,
                entry.zone,
                not held[executor.id],
                entry.rack,
            )
            groups.setdefault(key, []).append(executor)
    by_zone = collections.Counter(executor.entry.zone for executor in chosen)
    by_rack = collections.Counter(executor.entry.rack for executor in chosen)
    while groups and len(chosen) < count:
        best = min(
            groups,
            key=lambda key: (key[0], by_zone[key[1]], key[2], by_rack[key[3]], key),
        )
        chosen.append(groups[best].pop())
        by_zone[best[1]] += 1
        by_rack[best[3]] += 1
        if not groups[best]:
            del groups[best]
    return frozenset(executor.entry.machine for executor in chosen)


def list_present_executors(state: SchedulerState, service: str) -> list[Executor]:
    """Return the executors of a pool that can hold long-running tasks.

    Those drained for a move count, since their drain can end.
    """
    return [
        executor
        for executor in state.executors_by_service.get(service, {}).values()
        if executor.registered
        and executor.reachable
        and not executor.entry.draining
        and not executor.evacuated
    ]


def compute_pool_floor(state: SchedulerState, service: str) -> PoolFloor:
    """Return what the long-running steps and the idle load of a pool need."""
    executors = list_present_executors(state, service)
    machine = max(
        (executor.entry.capacity for executor in executors),
        key=lambda capacity: capacity.cpu,
        default=NO_RESOURCES,
    )
    queue = state.turns.by_pool.get(service)
    step_runs = [
        step_run
        for live in state.live_by_id.values()
        if live.has_long_running_step
        and live.queue.service == service
        and not live.final_state
        for step_run in live.step_runs.values()
        if step_run.step.long_running
    ]
    return compute_floor(step_runs, machine, queue.idle_cpu_bound if queue else 0.0)


def pack_pool(state: SchedulerState, service: str) -> PoolFloor:
    """Choose the machines on which a pool packs its long-running tasks.

    An executor near a latency limit gets no further task, so one more machine joins.

    :returns: the floor on which the choice rests.
    """
    floor = compute_pool_floor(state, service)
    executors = list_present_executors(state, service)
    previous = state.packed_machines_by_service.get(service, frozenset())
    strained = sum(
        executor.entry.machine in previous and is_strained(executor)
        for executor in executors
    )
    state.packed_machines_by_service[service] = choose_packed_machines(
        executors,
        floor.machines + strained,
        previous,
        state.maintenance_due | state.borrowed_machines,
    )
    return floor


def list_runs_to_pack(
    executor: Executor, packed: t.Sequence[Executor], now_ms: int
) -> list[Run] | None:
    """Return the long-running runs that must move before a machine is empty.

    :param packed: executors on which they can start instead.
    :returns: ``None`` if one of them cannot move now.
    """
    runs = [
        run for run in executor.runs.values() if run.task.step_run.step.long_running
    ]
    targets = [other for other in packed if other is not executor]
    for run in runs:
        if run.state is RunState.STOPPING:
            continue
        step_run = run.task.step_run
        # Packing only saves machines, so it interrupts no step that may miss no task,
        # and no gang, of which all members would end.
        if (
            step_run.step.gang
            or count_other_unavailable(step_run, run) >= step_run.step.may_miss
        ):
            return None
        if not may_interrupt(run) or not any(
            not is_strained(other) and can_start(other, run.task, now_ms)
            for other in targets
        ):
            return None
    return runs


def is_worth_moving(run_count: int, saved_ms: float) -> bool:
    """Tell whether an emptied machine outweighs the interruption of its tasks.

    :param saved_ms: time for which the machine will be off.
    """
    return saved_ms >= INTERRUPTION_WEIGHT * INTERRUPTION_MS * run_count

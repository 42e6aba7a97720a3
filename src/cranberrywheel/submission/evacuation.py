"""Evacuation of availability zones: which zones, and which runs leave them.

Load pattern: a third of the executors of every pool stops accepting work at once, often
beside a burst, a maintenance wave or a takeover. Short runs finish where they are; the
long-running tasks, which occupy the zone all day, move as far as the other zones have
places and their steps may miss tasks.
"""

import dataclasses
import typing as t

from cranberrywheel.submission.executor import Executor, compute_lease_expiry_delay
from cranberrywheel.submission.live import Run, RunState, StepRun, Task
from cranberrywheel.submission.maintenance import count_other_unavailable
from cranberrywheel.submission.model import NO_RESOURCES, Resources
from cranberrywheel.submission.placement import meets_constraints
from cranberrywheel.submission.state import RUN_LEASE_MS, SchedulerState

#: Bound that is assumed if the part is switched on although the platform names none.
DEFAULT_EVACUATION_MS = 5_000
#: Smallest fraction of the bound for which the known zones may be used, on platforms
#: whose bound is shorter than the lease of a start.
MIN_AGE_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedZones:
    """Evacuated zones as of a revision of the store.

    :param unreadable: zones whose key has a value that cannot be read.
    """

    revision: int = 0
    zones: frozenset[str] = frozenset()
    unreadable: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChange:
    """Change of the key of a zone.

    :param is_present: the key exists.
    :param is_readable: its value is an evacuation.
    """

    zone: str
    revision: int
    is_present: bool
    is_readable: bool


def replace_zones(known: EvacuatedZones, read: EvacuatedZones) -> EvacuatedZones:
    """Return the known zones after a complete set of them was read.

    An unreadable value changes nothing, so a zone that was evacuated stays so.
    """
    if read.revision < known.revision:
        return known
    zones = read.zones | (read.unreadable & known.zones)
    return dataclasses.replace(read, zones=zones)


def apply_changes(
    known: EvacuatedZones, changes: t.Iterable[ZoneChange], revision: int
) -> EvacuatedZones:
    """Return the known zones after a watch reported changes up to a revision."""
    zones, unreadable = set(known.zones), set(known.unreadable)
    for change in changes:
        revision = max(revision, change.revision)
        if change.revision <= known.revision:
            continue
        unreadable.discard(change.zone)
        if not change.is_present:
            zones.discard(change.zone)
        elif change.is_readable:
            zones.add(change.zone)
        else:
            unreadable.add(change.zone)
    return EvacuatedZones(
        max(known.revision, revision), frozenset(zones), frozenset(unreadable)
    )


def compute_max_age_ms(evacuation_ms: int) -> int:
    """Return how old the leader's knowledge of the zones may be for a start.

    A start that is ordered at the end of that time may take effect until its lease has
    expired, and must still be within the bound.

    :param evacuation_ms: bound of the platform in milliseconds; 0 for none.
    """
    bound_ms = evacuation_ms or DEFAULT_EVACUATION_MS
    return max(
        int(bound_ms * MIN_AGE_FRACTION),
        bound_ms - compute_lease_expiry_delay(RUN_LEASE_MS),
    )


def _must_move(run: Run) -> bool:
    """Tell whether a run leaves an evacuated zone before it ends."""
    step = run.task.step_run.step
    return step.long_running or (step.fills and step.checkpointing and not step.gang)


class _Places:
    """Places on the usable executors of a pool that no task has been promised."""

    def __init__(self, pool: t.Iterable[Executor], now_ms: int) -> None:
        self._usable = [executor for executor in pool if executor.is_usable]
        self._now_ms = now_ms
        self._promised: dict[str, Resources] = {}
        self._promised_by_step: dict[tuple[str, StepRun], int] = {}
        self._exhausted: set[StepRun] = set()

    def promise(self, task: Task) -> bool:
        """Promise a place to a task; false if there is none.

        Once a step finds no place it is not examined again, so that a decision costs
        one search for each step that has to wait.
        """
        step_run = task.step_run
        if step_run in self._exhausted:
            return False
        claim = step_run.step.claim
        for executor in self._usable:
            promised = self._promised.get(executor.id, NO_RESOURCES)
            if not (claim + promised).fits_in(executor.free):
                continue
            key = (executor.id, step_run)
            count = self._promised_by_step.get(key, 0)
            limit = step_run.step.anti_affinity
            if limit and executor.count_by_step.get(step_run, 0) + count >= limit:
                continue
            if meets_constraints(executor, task, self._now_ms):
                self._promised[executor.id] = promised + claim
                self._promised_by_step[key] = count + 1
                return True
        self._exhausted.add(step_run)
        return False


def choose_runs_to_evacuate(state: SchedulerState, now_ms: int) -> list[Run]:
    """Return the runs in evacuated zones that may be stopped now.

    Each has a place elsewhere, and no step loses more tasks at once than it may miss.

    :param now_ms: steady time in milliseconds.
    """
    chosen: list[Run] = []
    if not state.evacuated_zones:
        return chosen
    for service, executors_by_id in state.executors_by_service.items():
        pool = executors_by_id.values()
        candidates = [
            run
            for executor in pool
            if executor.evacuated
            for run in executor.runs.values()
            if run.state is RunState.RUNNING and _must_move(run)
        ]
        if not candidates:
            continue
        places = _Places(pool, now_ms)
        for task in _list_homeless_tasks(state, service, pool):
            places.promise(task)
        chosen.extend(_choose_candidates(candidates, places))
    return chosen


def _list_homeless_tasks(
    state: SchedulerState, service: str, pool: t.Iterable[Executor]
) -> t.Iterator[Task]:
    """Yield the long-running tasks that are about to start, which need places first."""
    for live in state.waiting_by_service.get(service, {}).values():
        for step_run in live.list_ready_steps():
            if step_run.step.long_running:
                yield from step_run.waiting.values()
    for executor in pool:
        for run in executor.runs.values():
            if run.state is RunState.STOPPING and _must_move(run):
                if not run.task.step_run.live.final_state:
                    yield run.task


def _choose_candidates(candidates: t.Sequence[Run], places: _Places) -> list[Run]:
    chosen: list[Run] = []
    count_by_step: dict[StepRun, int] = {}
    for run in candidates:
        step_run = run.task.step_run
        step = step_run.step
        if not step.long_running:
            if places.promise(run.task):
                chosen.append(run)
            continue
        if run.task.available_since_ms == 0:
            continue  # it is away already, and moves once it works
        away = count_other_unavailable(step_run, run) + count_by_step.get(step_run, 0)
        if step.gang:
            members = _list_gang_to_move(step_run, candidates, away, places)
            chosen.extend(members)
            count_by_step[step_run] = step.count  # decided once for all members
        elif away < max(1, step.may_miss) and places.promise(run.task):
            count_by_step[step_run] = count_by_step.get(step_run, 0) + 1
            chosen.append(run)
    return chosen


def _list_gang_to_move(
    step_run: StepRun, candidates: t.Sequence[Run], away: int, places: _Places
) -> list[Run]:
    """Return all runs of a gang, or none if they may not or cannot move together.

    :param away: tasks of it that are away or were chosen already.
    """
    if away or step_run.step.count > max(1, step_run.step.may_miss):
        return []
    leaving = [run for run in candidates if run.task.step_run is step_run]
    if not all(places.promise(run.task) for run in leaving):
        return []
    return [run for task in step_run.tasks for run in task.runs]


@dataclasses.dataclass(slots=True)
class RemainingRuns:
    """Runs that are still in an evacuated zone."""

    long_running: int = 0
    short: int = 0


def count_remaining_runs(state: SchedulerState) -> dict[str, RemainingRuns]:
    """Count the runs in each evacuated zone."""
    remaining_by_zone = {zone: RemainingRuns() for zone in state.evacuated_zones}
    for executor in state.executors_by_id.values():
        if not executor.evacuated:
            continue
        remaining = remaining_by_zone[executor.entry.zone]
        for run in executor.runs.values():
            if run.task.step_run.step.long_running:
                remaining.long_running += 1
            else:
                remaining.short += 1
    return remaining_by_zone

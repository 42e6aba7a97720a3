"""Order of upkeep: machines of a wave leave one after the other, emptied first.

Load pattern: a wave takes up to half of the machines of a pool while its queue has
its turn and lasting tasks may miss only one of their number.
"""

import dataclasses
import math
import typing as t

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import Run, RunState, StepRun
from cranberrywheel.submission.machines import Machine, Wave
from cranberrywheel.submission.placement import can_start

#: Expected time from the choice of a machine to its return, besides its upkeep.
DRAIN_ESTIMATE_MS = 3_000
#: Runs still there after this long are cut by the upkeep; longer than most tasks.
MAX_DRAIN_MS = 6_000
#: A machine that is missing from the list for this long has left for good; one that
#: moves or is down stays in it.
REMOVED_AFTER_MS = 4_000
#: Part of the wave's time that the plan uses, so that delays do not make it late.
PLANNED_FRACTION = 0.8

#: Pressure from which a pool counts as busy with its queue's turn.
BUSY_PRESSURE = 0.35
#: Machines that a pool at rest gives at once; a quarter to a third of today's pools.
IDLE_POOL_CONCURRENCY = 2
#: A busy pool gives machines if fewer rounds than this share of its machines is left.
URGENT_ROUNDS_PER_MACHINE = 0.6


@dataclasses.dataclass
class WaveState:
    """Progress of a wave.

    :ivar done: machines whose upkeep has begun.
    :ivar emptying_since_ms: machines that take no new work, and since when.
    :ivar ordered: machines whose order is under way.
    :ivar missing_since_ms: machines that are not in the list, and since when.
    :ivar reported: status that the operators were told last.
    :ivar logged_waiting: machines named in the last log line, with their state.
    """

    wave: Wave
    received_ms: int
    begun: set[str] = dataclasses.field(default_factory=set)
    draining_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    orders_in_flight: set[str] = dataclasses.field(default_factory=set)
    missing_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    completed: bool = False
    reported_status: bytes = b""
    logged_waiting: dict[str, str] = dataclasses.field(default_factory=dict)

    def update_presence(self, machines: t.Container[str], now_ms: int) -> None:
        """Note which machines are in the list; one that has left needs no upkeep."""
        for machine in self.wave.machines:
            if machine in machines:
                self.missing_since_ms.pop(machine, None)
            else:
                self.missing_since_ms.setdefault(machine, now_ms)

    def is_finished(self, now_ms: int) -> bool:
        """Whether the upkeep of every machine that stays has begun."""
        return all(
            now_ms - self.missing_since_ms.get(machine, now_ms) >= REMOVED_AFTER_MS
            for machine in self.remaining()
        )

    def remaining(self) -> list[str]:
        """Machines whose upkeep has not begun."""
        return [machine for machine in self.wave.machines if machine not in self.begun]


def _concurrency_limit(
    state: WaveState, pool_count: int, maintenance_ms: int, pressure: float, now_ms: int
) -> int:
    """Return how many machines of one pool may be away at once.

    A pool at rest gives more machines than the even pace, so that it has few left to
    give when its queue has its turn; a busy one gives them only when time runs out.
    """
    end_ms = state.received_ms + state.wave.duration_ms * PLANNED_FRACTION
    rounds = max(0.0, (end_ms - now_ms) / (maintenance_ms + DRAIN_ESTIMATE_MS))
    even = math.ceil(pool_count / max(1.0, rounds))
    if pressure < BUSY_PRESSURE:
        return max(IDLE_POOL_CONCURRENCY, even)
    if rounds < pool_count * URGENT_ROUNDS_PER_MACHINE:
        return even
    return 0


def choose_machines_to_drain(
    state: WaveState,
    machines_by_id: t.Mapping[str, Machine],
    executors_by_machine: t.Mapping[str, Executor],
    pressure_by_pool: t.Mapping[str, float],
    maintenance_ms: int,
    now_ms: int,
) -> list[str]:
    """Return machines that should be emptied next.

    :param pressure_by_pool: cpu that short work uses and waits for, as a share of
        the pool's capacity.
    """
    down = sum(
        machine in machines_by_id and not machines_by_id[machine].is_up
        for machine in state.begun
    )
    room = state.wave.max_concurrent - down - len(state.draining_since_ms)
    left_by_pool: dict[str, list[str]] = {}
    away_by_pool: dict[str, int] = {}
    for machine_id in state.wave.machines:
        machine = machines_by_id.get(machine_id)
        if machine is None:
            continue
        if machine_id in state.draining_since_ms or not machine.is_up:
            away_by_pool[machine.pool] = away_by_pool.get(machine.pool, 0) + 1
        elif machine_id not in state.begun:
            left_by_pool.setdefault(machine.pool, []).append(machine_id)
    chosen: list[str] = []

    def load(machine_id: str) -> int:
        executor = executors_by_machine.get(machine_id)
        return executor.used.cpu if executor else 0

    for pool in sorted(left_by_pool, key=lambda p: pressure_by_pool.get(p, 0.0)):
        left = left_by_pool[pool]
        away = away_by_pool.get(pool, 0)
        pressure = pressure_by_pool.get(pool, 0.0)
        limit = _concurrency_limit(
            state, len(left) + away, maintenance_ms, pressure, now_ms
        )
        for machine_id in sorted(left, key=load)[: max(0, limit - away)]:
            if len(chosen) < room:
                chosen.append(machine_id)
    return chosen


def may_interrupt(run: Run) -> bool:
    """Tell whether planned work may end a lasting task's run now."""
    step_run = run.task.step_run
    if run.state is not RunState.RUNNING or run.task.available_since_ms == 0:
        return False
    return count_unavailable(step_run, run) < max(1, step_run.step.may_miss)


def count_unavailable(step_run: StepRun, besides: Run) -> int:
    """Count the other tasks of a lasting step that are not at work."""
    return sum(
        task.available_since_ms == 0
        or any(run.state is RunState.STOPPING for run in task.runs)
        for task in step_run.tasks
        if task is not besides.task
    )


def runs_to_move(
    executor: Executor, pool: t.Sequence[Executor], now_ms: int
) -> list[Run]:
    """Return lasting runs that may leave an executor now and have a place to go."""
    chosen: list[Run] = []
    steps: set[int] = set()
    for run in executor.runs.values():
        step_run = run.task.step_run
        if not step_run.step.long_running or id(step_run) in steps:
            continue
        if not may_interrupt(run):
            continue
        if any(
            other is not executor and can_start(other, run.task, now_ms)
            for other in pool
        ):
            steps.add(id(step_run))
            chosen.append(run)
    return chosen


def may_begin_maintenance(
    executor: Executor | None, since_ms: int, now_ms: int
) -> bool:
    """Tell whether an upkeep may begin."""
    if executor is None or not executor.runs:
        return True
    if now_ms - since_ms < MAX_DRAIN_MS:
        return False
    return all(
        not run.task.step_run.step.long_running for run in executor.runs.values()
    )

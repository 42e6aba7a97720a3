"""Maintenance of a wave's machines: which are drained next, and when each may begin.

Load pattern: a wave covers up to half of the machines of a pool, also while its queue
has a burst, and a long-running step may miss only one of its tasks.
"""

import dataclasses
import math
import typing as t

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import Run, RunState, StepRun
from cranberrywheel.submission.machines import Machine, MachineState, Wave
from cranberrywheel.submission.maintenance_orders import MaintenanceOrders
from cranberrywheel.submission.placement import can_start

#: Expected time of a maintenance round of a wave besides the maintenance itself, if the
#: machines are drained beforehand.
ROUND_OVERHEAD_MS = 500
#: Expected time from the choice of a machine to its return, besides its maintenance.
DRAIN_ESTIMATE_MS = 3_000
#: Drain time after which maintenance begins although short tasks still run; longer
#: than most tasks run.
MAX_DRAIN_MS = 6_000
#: A machine that is missing from the platform's list for this long has been removed;
#: one that moves or is down stays listed.
REMOVED_AFTER_MS = 4_000
#: Fraction of the wave's time within which its maintenance is planned to end, so that
#: delays do not make the wave late.
PLANNED_FRACTION = 0.8

#: Pressure from which a pool counts as busy, since its queue has a burst.
BUSY_PRESSURE = 0.35
#: Machines of an idle pool that may be unavailable at once: a quarter to a third of the
#: machines of a pool of today's usual size.
IDLE_POOL_CONCURRENCY = 2
#: Machines of a busy pool are taken once the number of remaining maintenance rounds is
#: below this multiple of the number of its remaining machines.
URGENT_ROUNDS_PER_MACHINE = 0.6


@dataclasses.dataclass
class WaveState:
    """Progress of a wave. Times are steady milliseconds.

    :ivar received_ms: when the leader read the wave.
    :ivar begun: machines whose maintenance has begun.
    :ivar draining_since_ms: machines that accept no new runs, and since when.
    :ivar orders_in_flight: machines with an order that is not repeated yet.
    :ivar orders: orders that decide how many machines are down.
    :ivar withdrawn: operators have deleted the wave.
    :ivar missing_since_ms: machines missing from the platform's list, and since when.
    :ivar completed: the wave needs nothing more.
    :ivar reported_status: status that was last stored for the operators.
    :ivar logged_waiting: machines that the last log line named, with their state.
    """

    wave: Wave
    received_ms: int
    begun: set[str] = dataclasses.field(default_factory=set)
    draining_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    orders_in_flight: set[str] = dataclasses.field(default_factory=set)
    orders: MaintenanceOrders = dataclasses.field(default_factory=MaintenanceOrders)
    withdrawn: bool = False
    missing_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    completed: bool = False
    reported_status: bytes = b""
    logged_waiting: dict[str, str] = dataclasses.field(default_factory=dict)

    def update_presence(self, machines: t.Container[str], now_ms: int) -> None:
        """Record which machines of the wave the platform lists.

        A machine that has been removed needs no maintenance.
        """
        for machine in self.wave.machines:
            if machine in machines:
                self.missing_since_ms.pop(machine, None)
            else:
                self.missing_since_ms.setdefault(machine, now_ms)

    def replace_wave(self, wave: Wave, now_ms: int) -> None:
        """Apply a changed record of the wave, or one that was deleted and came back.

        Orders and what has begun stay, since the machines that are down still are.
        """
        if self.withdrawn:
            self.received_ms = now_ms
        self.wave = wave
        self.withdrawn = False
        self.completed = False

    def is_finished(self, now_ms: int) -> bool:
        """Tell whether maintenance has begun on every machine that was not removed."""
        return all(
            now_ms - self.missing_since_ms.get(machine, now_ms) >= REMOVED_AFTER_MS
            for machine in self.list_remaining()
        )

    def is_resumed(self, machines: t.Container[str]) -> bool:
        """Tell whether a machine that was taken for removed is listed again."""
        return any(
            machine in machines
            for machine in self.missing_since_ms
            if machine not in self.begun
        )

    def list_remaining(self) -> list[str]:
        """Return the machines whose maintenance has not begun."""
        return [machine for machine in self.wave.machines if machine not in self.begun]

    def is_short_of_time(self, maintenance_ms: int, now_ms: int) -> bool:
        """Tell whether the wave ends late unless its slots are used without a gap.

        :param maintenance_ms: duration of the maintenance of one machine.
        """
        rounds = math.ceil(len(self.list_remaining()) / self.wave.max_concurrent)
        end_ms = self.received_ms + self.wave.duration_ms * PLANNED_FRACTION
        return now_ms + rounds * (maintenance_ms + ROUND_OVERHEAD_MS) > end_ms


def _compute_concurrency_limit(
    state: WaveState,
    pool_count: int,
    maintenance_ms: int,
    pressure: float,
    is_urgent: bool,
    now_ms: int,
) -> int:
    """Return how many machines of one pool may be unavailable at once.

    The even limit spreads the machines over the remaining rounds. An idle pool may
    exceed it, so that few machines remain for its queue's next burst; a busy pool
    provides machines only when time runs short.

    :param pool_count: machines of the pool that remain or are unavailable.
    :param maintenance_ms: duration of the maintenance of one machine.
    :param pressure: see :func:`choose_machines_to_drain`.
    :param is_urgent: the wave as a whole is short of time.
    """
    end_ms = state.received_ms + state.wave.duration_ms * PLANNED_FRACTION
    rounds = max(0.0, (end_ms - now_ms) / (maintenance_ms + DRAIN_ESTIMATE_MS))
    even_limit = math.ceil(pool_count / max(1.0, rounds))
    if pressure < BUSY_PRESSURE:
        return max(IDLE_POOL_CONCURRENCY, even_limit)
    if is_urgent or rounds < pool_count * URGENT_ROUNDS_PER_MACHINE:
        return even_limit
    return 0


def find_down_machines(
    state: WaveState,
    machines_by_id: t.Mapping[str, Machine],
    inherited: t.Collection[str] = (),
    others: t.Collection[WaveState] = (),
) -> set[str]:
    """Return the machines that are down for a wave, or may be.

    The list alone does not tell, since a reading may be older than an order. It may
    show, though, a machine that an earlier leader ordered without a record of it.

    :param inherited: machines for which an order of an earlier leader may still arrive.
    :param others: the other waves.
    """
    down = {*state.orders.machines, *inherited}
    for machine_id in state.wave.machines:
        machine = machines_by_id.get(machine_id)
        if (
            machine is not None
            and machine.state is MachineState.MAINTENANCE
            and not state.orders.is_over(machine_id)
            and not any(other.orders.was_carried_out(machine_id) for other in others)
        ):
            down.add(machine_id)
    return down


@dataclasses.dataclass
class _Choice:
    """Machines of a wave, by what may happen to them next.

    :ivar unanswered: those with an order that got no answer and can be repeated.
    :ivar remaining_by_pool: those that can be drained.
    :ivar unavailable_by_pool: number of machines that the wave or another one takes, or
        that are not up.
    """

    unanswered: list[str] = dataclasses.field(default_factory=list)
    remaining_by_pool: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    unavailable_by_pool: dict[str, int] = dataclasses.field(default_factory=dict)


def _group_machines(
    state: WaveState,
    machines_by_id: t.Mapping[str, Machine],
    down: t.Container[str],
    may_be_repeated: t.Callable[[str], bool],
    is_moving: t.Callable[[str], bool],
    taken_by_others: t.Collection[str],
) -> _Choice:
    """Group the listed machines of a wave.

    :param down: machines that are down for the wave, or may be.
    """
    choice = _Choice()
    for machine_id in dict.fromkeys((*state.wave.machines, *sorted(taken_by_others))):
        machine = machines_by_id.get(machine_id)
        if machine is None:
            continue
        is_drained = machine_id in state.draining_since_ms
        is_taken = is_drained or machine_id in down or machine_id in taken_by_others
        if is_taken or not machine.is_up:
            count = choice.unavailable_by_pool.get(machine.pool, 0)
            choice.unavailable_by_pool[machine.pool] = count + 1
        if machine_id in state.begun or not machine.is_up or is_moving(machine_id):
            continue
        if not is_taken:
            choice.remaining_by_pool.setdefault(machine.pool, []).append(machine_id)
        elif not is_drained and may_be_repeated(machine_id):
            choice.unanswered.append(machine_id)
    return choice


def choose_machines_to_drain(
    state: WaveState,
    machines_by_id: t.Mapping[str, Machine],
    executors_by_machine: t.Mapping[str, Executor],
    pressure_by_pool: t.Mapping[str, float],
    maintenance_ms: int,
    now_ms: int,
    inherited: t.Collection[str] = (),
    others: t.Collection[WaveState] = (),
    may_order: t.Callable[[str], bool] = lambda machine_id: True,
    is_moving: t.Callable[[str], bool] = lambda machine_id: False,
) -> list[str]:
    """Return the machines that should be drained next, from the idlest pool on.

    A machine with an order that got no answer comes first: until the order is repeated
    it counts as down. A wave that is short of time drains one machine ahead.

    :param pressure_by_pool: cpu that short work uses and waits for, as a fraction of
        the pool's capacity.
    :param maintenance_ms: duration of the maintenance of one machine.
    :param inherited: see :func:`find_down_machines`.
    :param others: the other waves; machines that they take are not available.
    :param may_order: tells whether a machine may be ordered so soon after a takeover.
    :param is_moving: tells whether a machine moves to another pool.
    """
    down = find_down_machines(state, machines_by_id, inherited, others)
    is_urgent = state.is_short_of_time(maintenance_ms, now_ms)
    free_slots = state.wave.max_concurrent + is_urgent
    free_slots -= len(down.union(state.draining_since_ms))
    taken_by_others = {
        machine_id
        for other in others
        for machine_id in (*other.draining_since_ms, *other.orders.machines)
    }

    def may_be_repeated(machine_id: str) -> bool:
        is_unanswered = state.orders.is_unresolved(machine_id)
        return (is_unanswered or machine_id in inherited) and may_order(machine_id)

    choice = _group_machines(
        state, machines_by_id, down, may_be_repeated, is_moving, taken_by_others
    )

    def used_cpu(machine_id: str) -> tuple[int, bool]:
        """Order the machines by use; an evacuated one is missed less."""
        executor = executors_by_machine.get(machine_id)
        return (executor.used.cpu, not executor.evacuated) if executor else (0, True)

    chosen: list[str] = []
    for pool in sorted(
        choice.remaining_by_pool, key=lambda name: pressure_by_pool.get(name, 0.0)
    ):
        remaining = choice.remaining_by_pool[pool]
        unavailable = choice.unavailable_by_pool.get(pool, 0)
        limit = _compute_concurrency_limit(
            state,
            len(remaining) + unavailable,
            maintenance_ms,
            pressure_by_pool.get(pool, 0.0),
            is_urgent,
            now_ms,
        )
        chosen += sorted(remaining, key=used_cpu)[: max(0, limit - unavailable)]
    return choice.unanswered + chosen[: max(0, free_slots)]


def may_interrupt(run: Run) -> bool:
    """Tell whether maintenance may stop a run of a long-running task now."""
    step_run = run.task.step_run
    if run.state is not RunState.RUNNING or run.task.available_since_ms == 0:
        return False
    return count_other_unavailable(step_run, run) < max(1, step_run.step.may_miss)


def count_other_unavailable(step_run: StepRun, excluded_run: Run) -> int:
    """Count the tasks of a long-running step that are not available.

    :param excluded_run: run whose task is not counted.
    """
    return sum(
        task.available_since_ms == 0
        or any(run.state is RunState.STOPPING for run in task.runs)
        for task in step_run.tasks
        if task is not excluded_run.task
    )


def choose_runs_to_move(
    executor: Executor, pool: t.Sequence[Executor], now_ms: int
) -> list[Run]:
    """Return long-running runs that may be stopped now and can start elsewhere.

    At most one run of each step is chosen.

    :param pool: executors on which the tasks may start instead.
    """
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
    """Tell whether a machine is drained enough for its maintenance.

    :param executor: executor on the machine, or ``None`` for none.
    :param since_ms: steady time at which the drain began.
    """
    if executor is None:
        return True
    if not executor.fence_confirmed and now_ms <= executor.lease_expiry_ms:
        return False  # it may have runs that are not known yet
    if not executor.runs and not executor.untracked_runs:
        return True
    if now_ms - since_ms < MAX_DRAIN_MS:
        return False
    return all(
        not run.task.step_run.step.long_running for run in executor.runs.values()
    )

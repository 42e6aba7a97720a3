"""Which machines move between pools.

Load pattern: each queue in turn asks for more than its pool holds, for a few seconds,
and for a twentieth in between. Machines of the standby pool join the pool whose queue
has its turn, and go back when it is over. A pool at rest keeps what a lost rack or
zone and an upkeep may take, and switches the rest off until its next turn.
"""

import dataclasses
import math
import typing as t

from cranberrywheel.submission.machines import Machine, MachineState

#: Waiting cpu, as a share of a pool's capacity, from which machines are lent.
BORROW_THRESHOLD = 0.25
#: Machines lent for each machine's worth of waiting cpu. Part of the backlog is gone
#: by the time that they are up; lending for all of it cost 40 more moves a day and
#: served no more.
BORROW_RATIO = 2 / 3
#: Pressure under which a pool gives lent machines back.
RETURN_PRESSURE = 0.45
#: How long the pressure has to stay low; a turn has short gaps.
RETURN_DELAY_MS = 800
#: Pressure under which a pool is at rest, and how long it has to stay there.
IDLE_PRESSURE = 0.25
IDLE_DELAY_MS = 1_500
#: Share of its machines that a pool at rest keeps on.
IDLE_KEEP_FRACTION = 0.75
#: Pressure from which a pool has its own machines back.
RESTORE_PRESSURE = 0.3
#: Pressure from which a queue has its turn, for the rhythm.
BURST_PRESSURE = 0.6
#: A pool gets its machines back this long before its next expected turn, and waits
#: for it this long.
BURST_LEAD_MS = 2_500
BURST_GRACE_MS = 1_500


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """Demand of a pool for short work, in thousandths of a core.

    :param used: cpu of short runs.
    :param waiting: cpu of tasks that could run now.
    :param capacity: cpu of the usable executors.
    :param machine_cpu: cpu of one machine.
    """

    used: int = 0
    waiting: int = 0
    capacity: int = 0
    machine_cpu: int = 0

    @property
    def pressure(self) -> float:
        """Used and waiting cpu as a share of the capacity."""
        return (self.used + self.waiting) / max(1, self.capacity)


@dataclasses.dataclass
class PoolSizingState:
    """What the decision remembers between two looks at the machines.

    :ivar home_by_machine: pool in which each machine was first seen.
    :ivar calm_since_ms: since when a pool's pressure is low.
    :ivar returning: lent machines that take no new work.
    :ivar moving: machines on their way, with their new pool.
    :ivar turns_ms: when the last turns of each pool's queue began.
    """

    home_pool_by_machine: dict[str, str] = dataclasses.field(default_factory=dict)
    low_pressure_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    returning: set[str] = dataclasses.field(default_factory=set)
    moving: dict[str, str] = dataclasses.field(default_factory=dict)
    burst_starts_ms: dict[str, list[int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDecision:
    """Moves that are due, and machines that should be emptied for one."""

    moves: tuple[tuple[str, str], ...]
    drain: tuple[str, ...]


def is_borrowed(state: PoolSizingState, machine: Machine) -> bool:
    """Whether a machine is in another pool than its own."""
    return state.home_pool_by_machine.get(machine.id, machine.pool) != machine.pool


def decide_moves(
    state: PoolSizingState,
    machines: t.Sequence[Machine],
    standby_pools: t.Container[str],
    demand_by_pool: t.Mapping[str, PoolDemand],
    reserved: t.Container[str],
    is_empty: t.Callable[[Machine], bool],
    now_ms: int,
) -> PoolDecision:
    """Decide which machines move.

    :param reserved: machines of a wave that is not finished with them.
    :param is_empty: whether nothing runs on a machine.
    """
    for machine in machines:
        state.home_pool_by_machine.setdefault(machine.id, machine.pool)
        if state.moving.get(machine.id) == machine.pool and machine.is_up:
            state.moving.pop(machine.id)
    for pool, demand in demand_by_pool.items():
        _record_pressure(state, pool, demand.pressure, now_ms)
    needs = _missing_machines(state, machines, demand_by_pool, standby_pools, now_ms)
    surplus = _surplus_machines(
        state, machines, demand_by_pool, standby_pools, needs, now_ms
    )
    standby = next((m.pool for m in machines if m.pool in standby_pools), None)
    moves: list[tuple[str, str]] = []

    def send(machine: Machine, pool: str) -> None:
        moves.append((machine.id, pool))
        state.moving[machine.id] = pool
        state.returning.discard(machine.id)
        if pool in needs:
            needs[pool] -= 1
            if needs[pool] <= 0:
                del needs[pool]

    def neediest() -> str | None:
        return max(needs, key=lambda pool: needs[pool]) if needs else None

    for machine in machines:
        if machine.id in state.moving or machine.id in reserved:
            continue
        target = neediest()
        if machine.pool in standby_pools:
            home = state.home_pool_by_machine[machine.id]
            target = home if home in needs else target
            if target is not None:
                send(machine, target)
        elif not is_borrowed(state, machine):
            if surplus.get(machine.pool, 0) > 0 and machine.is_up and is_empty(machine):
                if target is not None or standby is not None:
                    surplus[machine.pool] -= 1
                    send(machine, target or t.cast(str, standby))
        elif is_borrowed(state, machine) and machine.is_up:
            calm_ms = now_ms - state.low_pressure_since_ms.get(machine.pool, now_ms)
            if machine.id not in state.returning and calm_ms >= RETURN_DELAY_MS:
                state.returning.add(machine.id)
            if machine.id in state.returning and is_empty(machine):
                send(machine, target or state.home_pool_by_machine[machine.id])
    return PoolDecision(tuple(moves), tuple(sorted(state.returning)))


def _record_pressure(
    state: PoolSizingState, pool: str, pressure: float, now_ms: int
) -> None:
    calm_ms = now_ms - state.low_pressure_since_ms.get(pool, now_ms)
    if pressure >= BURST_PRESSURE and calm_ms >= RETURN_DELAY_MS:
        state.burst_starts_ms[pool] = [
            *state.burst_starts_ms.get(pool, [])[-1:],
            now_ms,
        ]
    if pressure >= RETURN_PRESSURE:
        state.low_pressure_since_ms.pop(pool, None)
    else:
        state.low_pressure_since_ms.setdefault(pool, now_ms)


def expects_burst(state: PoolSizingState, pool: str, now_ms: int) -> bool:
    """Whether a pool's queue is about to have its turn, after the learned rhythm."""
    turns = state.burst_starts_ms.get(pool, [])
    if len(turns) < 2:
        return False
    next_ms = turns[-1] + (turns[-1] - turns[-2])
    return next_ms - BURST_LEAD_MS <= now_ms <= next_ms + BURST_GRACE_MS


def _present(state: PoolSizingState, machines: t.Sequence[Machine], pool: str) -> int:
    """Count the machines of a pool that are on, or back within seconds."""
    return sum(
        target == pool
        if (target := state.moving.get(machine.id))
        else machine.pool == pool and machine.state is not MachineState.DOWN
        for machine in machines
    )


def _home_count(state: PoolSizingState, pool: str) -> int:
    return sum(home == pool for home in state.home_pool_by_machine.values())


def _missing_machines(
    state: PoolSizingState,
    machines: t.Sequence[Machine],
    demand_by_pool: t.Mapping[str, PoolDemand],
    standby_pools: t.Container[str],
    now_ms: int,
) -> dict[str, int]:
    """Return how many machines each pool lacks."""
    needs: dict[str, int] = {}
    for pool, demand in demand_by_pool.items():
        if pool in standby_pools or not demand.machine_cpu:
            continue
        present = _present(state, machines, pool)
        home = _home_count(state, pool)
        lacking = math.ceil(IDLE_KEEP_FRACTION * home) - present
        if demand.pressure >= RESTORE_PRESSURE or expects_burst(state, pool, now_ms):
            lacking = home - present
        if demand.waiting >= BORROW_THRESHOLD * demand.capacity:
            coming = sum(target == pool for target in state.moving.values())
            wanted = math.ceil(BORROW_RATIO * demand.waiting / demand.machine_cpu)
            wanted -= coming
            lacking = max(lacking, wanted)
        if lacking > 0:
            needs[pool] = lacking
    return needs


def _surplus_machines(
    state: PoolSizingState,
    machines: t.Sequence[Machine],
    demand_by_pool: t.Mapping[str, PoolDemand],
    standby_pools: t.Container[str],
    needs: t.Mapping[str, int],
    now_ms: int,
) -> dict[str, int]:
    """Return how many machines each pool at rest can switch off."""
    surplus: dict[str, int] = {}
    for pool, demand in demand_by_pool.items():
        calm_ms = now_ms - state.low_pressure_since_ms.get(pool, now_ms)
        if (
            pool in standby_pools
            or pool in needs
            or demand.pressure >= IDLE_PRESSURE
            or calm_ms < IDLE_DELAY_MS
            or expects_burst(state, pool, now_ms)
        ):
            continue
        keep = math.ceil(IDLE_KEEP_FRACTION * _home_count(state, pool))
        surplus[pool] = _present(state, machines, pool) - keep
    return surplus

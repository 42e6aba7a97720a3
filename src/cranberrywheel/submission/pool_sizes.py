"""Which machines move between pools.

Load pattern: each queue in turn asks for more than its pool holds, for a few seconds,
and for a twentieth in between. Machines of the standby pool join the pool whose queue
has its turn, and go back when it is over.
"""

import dataclasses
import typing as t

from cranberrywheel.submission.machines import Machine

#: Waiting cpu, as a share of a pool's capacity, from which machines are lent.
LEND_FROM = 0.25
#: Pressure under which a pool gives lent machines back.
RETURN_BELOW = 0.45
#: How long the pressure has to stay low; a turn has short gaps.
RETURN_AFTER_MS = 800


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
class PoolState:
    """What the decision remembers between two looks at the machines.

    :ivar home_by_machine: pool in which each machine was first seen.
    :ivar calm_since_ms: since when a pool's pressure is low.
    :ivar returning: lent machines that take no new work.
    :ivar moving: machines on their way, with their new pool.
    """

    home_by_machine: dict[str, str] = dataclasses.field(default_factory=dict)
    calm_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    returning: set[str] = dataclasses.field(default_factory=set)
    moving: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDecision:
    """Moves that are due, and machines that should be emptied for one."""

    moves: tuple[tuple[str, str], ...]
    empty: tuple[str, ...]


def is_lent(state: PoolState, machine: Machine) -> bool:
    """Whether a machine is in another pool than its own."""
    return state.home_by_machine.get(machine.id, machine.pool) != machine.pool


def decide_moves(
    state: PoolState,
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
        state.home_by_machine.setdefault(machine.id, machine.pool)
        if state.moving.get(machine.id) == machine.pool and machine.up:
            state.moving.pop(machine.id)
    for pool, demand in demand_by_pool.items():
        if demand.pressure >= RETURN_BELOW:
            state.calm_since_ms.pop(pool, None)
        else:
            state.calm_since_ms.setdefault(pool, now_ms)
    needs = _needs(state, demand_by_pool, standby_pools)
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
            if target is not None:
                send(machine, target)
        elif is_lent(state, machine) and machine.up:
            calm_ms = now_ms - state.calm_since_ms.get(machine.pool, now_ms)
            if machine.id not in state.returning and calm_ms >= RETURN_AFTER_MS:
                state.returning.add(machine.id)
            if machine.id in state.returning and is_empty(machine):
                send(machine, target or state.home_by_machine[machine.id])
    return PoolDecision(tuple(moves), tuple(sorted(state.returning)))


def _needs(
    state: PoolState,
    demand_by_pool: t.Mapping[str, PoolDemand],
    standby_pools: t.Container[str],
) -> dict[str, int]:
    """Return how many machines each pool lacks."""
    needs: dict[str, int] = {}
    for pool, demand in demand_by_pool.items():
        if pool in standby_pools or not demand.machine_cpu:
            continue
        if demand.waiting < LEND_FROM * demand.capacity:
            continue
        coming = sum(target == pool for target in state.moving.values())
        lacking = -(-demand.waiting // demand.machine_cpu) - coming
        if lacking > 0:
            needs[pool] = lacking
    return needs

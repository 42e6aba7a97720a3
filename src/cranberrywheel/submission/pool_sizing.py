"""Sizing of pools: which machines move from one pool to another.

Load pattern: each queue in turn has a burst, in which it demands more than its pool
holds for a few seconds; in between it demands a twentieth of that. Machines of the
standby pool join a pool for its queue's burst and return afterwards. They are ordered
for the work that arrives, since the backlog shows a burst seconds later, and a move
takes a third of it. An idle pool keeps enough machines to survive the loss of a rack or
availability zone during maintenance, and switches the others off until its next burst.
"""

import dataclasses
import math
import typing as t

from cranberrywheel.submission.machines import Machine, MachineState

#: Waiting cpu, as a fraction of a pool's capacity, from which it borrows machines.
BORROW_THRESHOLD = 0.25
#: Fraction of the waiting cpu that a pool gets capacity for. Part of the backlog is
#: gone by the time that borrowed machines are up; borrowing for all of it costs 40 more
#: moves a day without serving more.
BORROW_RATIO = 2 / 3
#: Capacity that a pool gets as a multiple of the work that arrives.
OFFERED_MARGIN = 1.0
#: Pressure below which a pool returns borrowed machines.
RETURN_PRESSURE = 0.45
#: How long the pressure must stay low first, since a burst has short gaps.
RETURN_DELAY_MS = 800
#: Multiple of its demand that a pool keeps when another pool is missing machines.
EXCESS_MARGIN = 1.3
#: Pressure below which a pool is idle, if it has been low for ``IDLE_DELAY_MS``.
IDLE_PRESSURE = 0.25
#: How long the pressure of a pool must be low before the pool counts as idle.
IDLE_DELAY_MS = 1_500
#: Fraction of its machines that an idle pool keeps switched on.
IDLE_KEEP_FRACTION = 0.75
#: Pressure from which a pool gets its own machines back, mostly from the standby
#: pool, where they are switched off.
RESTORE_PRESSURE = 0.3
#: Pressure at which a burst counts as begun when its period is learned.
BURST_PRESSURE = 0.6
#: A pool gets its own machines back this long before the expected start of its next
#: burst.
BURST_LEAD_MS = 2_500
#: It keeps them for this long after the expected start if the burst does not come.
BURST_GRACE_MS = 1_500


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """Demand of a pool for short work, in thousandths of a core.

    :param used: cpu that runs of short tasks reserve.
    :param waiting: cpu that ready tasks without a run will reserve.
    :param capacity: cpu of the usable executors.
    :param machine_cpu: cpu of the pool's largest machine.
    :param offered: cpu that the work which arrives keeps busy.
    :param long_running: cpu that long-running tasks reserve.
    :param executors: registered executors in reachable zones, also those that are not
        usable; ``None`` if it is not known.
    """

    used: int = 0
    waiting: int = 0
    capacity: int = 0
    machine_cpu: int = 0
    offered: int = 0
    long_running: int = 0
    executors: int | None = None

    @property
    def pressure(self) -> float:
        """Demand as a fraction of the capacity; above 1 in a burst."""
        return max(self.used + self.waiting, self.offered) / max(1, self.capacity)

    @property
    def excess_machines(self) -> int:
        """Machines that the pool can give to another one during its own burst."""
        wanted = EXCESS_MARGIN * max(self.used + self.waiting, self.offered)
        excess = self.capacity - wanted - self.long_running
        return max(0, int(excess // max(1, self.machine_cpu)))

    @property
    def missing_cpu(self) -> float:
        """Cpu by which the capacity falls short of a burst; 0 or less: none."""
        wanted = 0.0
        if self.waiting >= BORROW_THRESHOLD * self.capacity:
            wanted = self.used + BORROW_RATIO * self.waiting
        if self.pressure >= RESTORE_PRESSURE:
            wanted = max(wanted, OFFERED_MARGIN * self.offered)
        return wanted + self.long_running - self.capacity if wanted else 0.0


@dataclasses.dataclass
class PoolSizingState:
    """State that is kept from one decision to the next. Times are steady milliseconds.

    :ivar home_pool_by_machine: pool to which each machine belongs: that in which it was
        first listed.
    :ivar low_pressure_since_ms: since when the pressure of a pool is low.
    :ivar returning: borrowed machines that are drained for their return.
    :ivar destination_by_machine: new pool of each machine that is moving.
    :ivar burst_starts_ms: when the last two bursts of each pool began.
    :ivar phase_by_pool: last logged phase of each pool's plan.
    """

    home_pool_by_machine: dict[str, str] = dataclasses.field(default_factory=dict)
    low_pressure_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    returning: set[str] = dataclasses.field(default_factory=set)
    destination_by_machine: dict[str, str] = dataclasses.field(default_factory=dict)
    burst_starts_ms: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    phase_by_pool: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class PoolPlan:
    """Size of a pool that follows the turns of its queue; see :mod:`.pool_plans`.

    :param wanted: machines below which the pool is missing some.
    :param keep: machines above which it releases some.
    :param is_idle: machines are released without a pool that needs them.
    :param rank_by_machine: machines that may leave, with their position in the order.
    :param use_ratio: what the work of the last turn used, as a fraction of what its
        arrivals declared.
    :param floor: machines that the long-running steps need; a pool below it gets
        machines before any burst.
    """

    wanted: int
    keep: int
    is_idle: bool
    rank_by_machine: t.Mapping[str, int]
    use_ratio: float = 1.0
    floor: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDecision:
    """Decided moves.

    :param moves: machines to move now, each with its new pool.
    :param drain: machines to drain for a later move.
    :param keep: machines whose drain ends, since their pool needs them again.
    """

    moves: tuple[tuple[str, str], ...]
    drain: tuple[str, ...]
    keep: tuple[str, ...] = ()


def is_borrowed(state: PoolSizingState, machine: Machine) -> bool:
    """Tell whether a machine is in another pool than its home pool."""
    return state.home_pool_by_machine.get(machine.id, machine.pool) != machine.pool


def decide_moves(
    state: PoolSizingState,
    machines: t.Sequence[Machine],
    standby_pools: t.Container[str],
    demand_by_pool: t.Mapping[str, PoolDemand],
    reserved: t.Container[str],
    is_empty: t.Callable[[Machine], bool],
    now_ms: int,
    evacuated_zones: t.Container[str] = frozenset(),
    unreachable_zones: t.Container[str] = frozenset(),
    plans: t.Mapping[str, PoolPlan] | None = None,
) -> PoolDecision:
    """Decide which machines move, and record the moves as under way.

    A pool has the name of the service that its executors provide.

    :param standby_pools: names of the pools whose machines are switched off.
    :param reserved: machines that a maintenance wave still needs where they are.
    :param is_empty: tells whether nothing runs on a machine.
    :param now_ms: steady time in milliseconds.
    :param evacuated_zones: availability zones whose machines no pool can use. They
        move to the standby pool once they are empty.
    :param unreachable_zones: availability zones in which machines do not help: they are
        not moved, and a pool in a burst gets others in their place.
    :param plans: plans of the pools that follow the turns of their queues.
    """
    plans = plans or {}
    for machine in machines:
        state.home_pool_by_machine.setdefault(machine.id, machine.pool)
        if (
            state.destination_by_machine.get(machine.id) == machine.pool
            and machine.is_up
        ):
            state.destination_by_machine.pop(machine.id)
    for pool, demand in demand_by_pool.items():
        _record_pressure(state, pool, demand.pressure, now_ms)
    evacuated = {machine.id for machine in machines if machine.zone in evacuated_zones}
    usable = [machine for machine in machines if machine.id not in evacuated]
    reachable = [machine for machine in usable if machine.zone not in unreachable_zones]
    missing_by_pool = _count_missing_machines(
        state,
        machines,
        usable,
        demand_by_pool,
        standby_pools,
        now_ms,
        unreachable_zones,
        plans,
    )
    surplus_by_pool = _count_surplus_machines(
        state, usable, demand_by_pool, standby_pools, missing_by_pool, now_ms, plans
    )
    replacements_by_pool: dict[str, int] = {}
    if evacuated:
        replacements_by_pool = _count_replacements(
            state, usable, demand_by_pool, standby_pools
        )
    standby_pool = next(
        (machine.pool for machine in machines if machine.pool in standby_pools), None
    )
    below_floor = {
        pool: plan.floor - _count_present(state, reachable, pool)
        for pool, plan in plans.items()
    }
    moves: list[tuple[str, str]] = []
    keep: list[str] = []

    def order_move(machine: Machine, pool: str) -> None:
        moves.append((machine.id, pool))
        state.destination_by_machine[machine.id] = pool
        state.returning.discard(machine.id)
        below_floor[pool] = below_floor.get(pool, 0) - 1
        if pool in missing_by_pool:
            missing_by_pool[pool] -= 1
            if missing_by_pool[pool] <= 0:
                del missing_by_pool[pool]

    def pool_missing_most() -> str | None:
        return (
            max(
                missing_by_pool,
                key=lambda pool: (below_floor.get(pool, 0) > 0, missing_by_pool[pool]),
            )
            if missing_by_pool
            else None
        )

    excess_by_pool = {
        pool: demand.excess_machines for pool, demand in demand_by_pool.items()
    }

    def order_of_release(machine: Machine) -> tuple[bool, int]:
        # Machines without runs leave a pool first, since they need no drain.
        plan = plans.get(machine.pool)
        return not is_empty(machine), (
            plan.rank_by_machine.get(machine.id, 0) if plan else 0
        )

    def get_return_pool(machine: Machine) -> str | None:
        """Return where a machine goes that no other pool needs.

        A home pool that follows the turns would send it on to the standby pool.
        """
        home_pool = state.home_pool_by_machine[machine.id]
        if home_pool == machine.pool or (
            home_pool in plans and home_pool not in missing_by_pool
        ):
            return standby_pool or (home_pool if home_pool != machine.pool else None)
        return home_pool

    def release(machine: Machine, plan: PoolPlan, destination: str | None) -> None:
        """Release a machine of a planned pool, or end its drain."""
        pool = machine.pool
        if destination is None or destination == pool:
            destination = get_return_pool(machine)
            low_ms = now_ms - state.low_pressure_since_ms.get(pool, now_ms)
            may_leave = plan.is_idle or low_ms >= RETURN_DELAY_MS
        else:
            may_leave = True
        if (
            may_leave
            and destination is not None
            and machine.is_up
            and surplus_by_pool.get(pool, 0) > 0
            and machine.id in plan.rank_by_machine
        ):
            surplus_by_pool[pool] -= 1
            if is_empty(machine):
                order_move(machine, destination)
            else:
                state.returning.add(machine.id)
        elif machine.id in state.returning:
            state.returning.discard(machine.id)
            keep.append(machine.id)

    for machine in machines:
        if machine.id in state.returning and (
            machine.id in reserved
            or machine.zone in unreachable_zones
            or not (machine.pool in plans or is_borrowed(state, machine))
        ):
            # Nothing else would end its drain.
            state.returning.discard(machine.id)
            keep.append(machine.id)
    for machine in sorted(machines, key=order_of_release):
        if (
            machine.id in state.destination_by_machine
            or machine.id in reserved
            or machine.zone in unreachable_zones
        ):
            continue
        if machine.id in evacuated:
            if (
                standby_pool is not None
                and machine.pool not in standby_pools
                and machine.is_up
                and is_empty(machine)
            ):
                order_move(machine, standby_pool)
            continue
        destination = pool_missing_most()
        if machine.pool in standby_pools:
            if not machine.is_up:
                continue
            home_pool = state.home_pool_by_machine[machine.id]
            if home_pool in missing_by_pool and not below_floor.get(destination, 0) > 0:
                destination = home_pool
            if destination is not None:
                order_move(machine, destination)
        elif machine.pool in plans:
            release(machine, plans[machine.pool], destination)
        elif not is_borrowed(state, machine):
            if (
                surplus_by_pool.get(machine.pool, 0) > 0
                and machine.is_up
                and is_empty(machine)
            ):
                if destination is not None or standby_pool is not None:
                    surplus_by_pool[machine.pool] -= 1
                    order_move(machine, destination or t.cast(str, standby_pool))
        elif replacements_by_pool.get(machine.pool, 0) > 0:
            replacements_by_pool[machine.pool] -= 1
            if machine.id in state.returning:
                state.returning.discard(machine.id)
                keep.append(machine.id)
        elif is_borrowed(state, machine) and machine.is_up:
            low_pressure_ms = now_ms - state.low_pressure_since_ms.get(
                machine.pool, now_ms
            )
            if destination == machine.pool:
                # Its own pool is missing machines, so it stays. An order to the pool in
                # which it is would count its executor as ended.
                if machine.id in state.returning:
                    state.returning.discard(machine.id)
                    keep.append(machine.id)
                continue
            is_excess = (
                destination not in (None, machine.pool)
                and excess_by_pool.get(machine.pool, 0) > 0
            )
            if machine.id not in state.returning and (
                low_pressure_ms >= RETURN_DELAY_MS or is_excess
            ):
                state.returning.add(machine.id)
                if is_excess:
                    excess_by_pool[machine.pool] -= 1
            if machine.id in state.returning and is_empty(machine):
                order_move(
                    machine, destination or state.home_pool_by_machine[machine.id]
                )
    return PoolDecision(tuple(moves), tuple(sorted(state.returning)), tuple(keep))


def _record_pressure(
    state: PoolSizingState, pool: str, pressure: float, now_ms: int
) -> None:
    low_pressure_ms = now_ms - state.low_pressure_since_ms.get(pool, now_ms)
    if pressure >= BURST_PRESSURE and low_pressure_ms >= RETURN_DELAY_MS:
        state.burst_starts_ms[pool] = [
            *state.burst_starts_ms.get(pool, [])[-1:],
            now_ms,
        ]
    if pressure >= RETURN_PRESSURE:
        state.low_pressure_since_ms.pop(pool, None)
    else:
        state.low_pressure_since_ms.setdefault(pool, now_ms)


def is_burst_expected(state: PoolSizingState, pool: str, now_ms: int) -> bool:
    """Tell whether a burst of a pool is due, if the last interval repeats."""
    starts_ms = state.burst_starts_ms.get(pool, [])
    if len(starts_ms) < 2:
        return False
    next_ms = starts_ms[-1] + (starts_ms[-1] - starts_ms[-2])
    return next_ms - BURST_LEAD_MS <= now_ms <= next_ms + BURST_GRACE_MS


def _count_present(
    state: PoolSizingState, machines: t.Sequence[Machine], pool: str
) -> int:
    """Count the machines of a pool that are up, moving to it or back within seconds."""
    return sum(
        destination == pool
        if (destination := state.destination_by_machine.get(machine.id))
        else machine.pool == pool and machine.state is not MachineState.DOWN
        for machine in machines
    )


def _count_returning(
    state: PoolSizingState, machines: t.Sequence[Machine], pool: str
) -> int:
    return sum(
        machine.pool == pool and machine.id in state.returning for machine in machines
    )


def _count_home_machines(state: PoolSizingState, pool: str) -> int:
    return sum(home_pool == pool for home_pool in state.home_pool_by_machine.values())


def _count_arriving(
    state: PoolSizingState,
    machines: t.Sequence[Machine],
    reachable: t.Sequence[Machine],
    pool: str,
    demand: PoolDemand,
) -> int:
    """Count the machines that move to a pool or are up without an executor yet.

    :param machines: machines in reachable zones, evacuated ones included, as counted by
        ``demand.executors``.
    :param reachable: those of them that a pool can use.
    """
    moving_count = sum(
        state.destination_by_machine.get(machine.id) == pool for machine in reachable
    )
    if demand.executors is None:
        return moving_count
    up_count = sum(machine.pool == pool and machine.is_up for machine in machines)
    return moving_count + max(0, up_count - demand.executors)


def _count_replacements(
    state: PoolSizingState,
    usable: t.Sequence[Machine],
    demand_by_pool: t.Mapping[str, PoolDemand],
    standby_pools: t.Container[str],
) -> dict[str, int]:
    """Return how many borrowed machines each pool keeps for those of its own.

    An idle pool would return them and order others for its missing machines at once.

    :param usable: machines outside the evacuated zones.
    """
    own_by_pool: dict[str, int] = {}
    for machine in usable:
        if not is_borrowed(state, machine):
            own_by_pool[machine.pool] = own_by_pool.get(machine.pool, 0) + 1
    return {
        pool: math.ceil(IDLE_KEEP_FRACTION * _count_home_machines(state, pool))
        - own_by_pool.get(pool, 0)
        for pool in demand_by_pool
        if pool not in standby_pools
    }


def _count_missing_machines(
    state: PoolSizingState,
    machines: t.Sequence[Machine],
    usable: t.Sequence[Machine],
    demand_by_pool: t.Mapping[str, PoolDemand],
    standby_pools: t.Container[str],
    now_ms: int,
    unreachable_zones: t.Container[str],
    plans: t.Mapping[str, PoolPlan],
) -> dict[str, int]:
    """Return how many machines each pool is missing; no entry means none.

    An idle pool does not replace the machines of an unreachable zone, which would take
    them from the pool that has a burst.

    :param usable: machines outside the evacuated zones.
    """
    missing_by_pool: dict[str, int] = {}
    in_reach = [
        machine for machine in machines if machine.zone not in unreachable_zones
    ]
    reachable = [machine for machine in usable if machine.zone not in unreachable_zones]
    for pool, demand in demand_by_pool.items():
        if pool in standby_pools or not demand.machine_cpu:
            continue
        home_count = _count_home_machines(state, pool)
        missing_count = math.ceil(IDLE_KEEP_FRACTION * home_count)
        missing_count -= _count_present(state, usable, pool)
        if demand.pressure >= RESTORE_PRESSURE or is_burst_expected(
            state, pool, now_ms
        ):
            missing_count = home_count - _count_present(state, reachable, pool)
        plan = plans.get(pool)
        if plan is not None:
            counted = usable if plan.is_idle else reachable
            missing_count = plan.wanted - _count_present(state, counted, pool)
            offered = round(min(1.0, plan.use_ratio) * demand.offered)
            demand = dataclasses.replace(demand, offered=offered)
        borrow_count = math.ceil(demand.missing_cpu / demand.machine_cpu)
        if borrow_count > 0:
            borrow_count -= _count_arriving(state, in_reach, reachable, pool, demand)
            if plan is not None:  # the capacity does not include drained machines
                borrow_count -= _count_returning(state, machines, pool)
            missing_count = max(missing_count, borrow_count)
        if missing_count > 0:
            missing_by_pool[pool] = missing_count
    return missing_by_pool


def _count_surplus_machines(
    state: PoolSizingState,
    machines: t.Sequence[Machine],
    demand_by_pool: t.Mapping[str, PoolDemand],
    standby_pools: t.Container[str],
    missing_by_pool: t.Mapping[str, int],
    now_ms: int,
    plans: t.Mapping[str, PoolPlan],
) -> dict[str, int]:
    """Return how many machines each idle pool can switch off or pass on."""
    surplus_by_pool: dict[str, int] = {}
    for pool, demand in demand_by_pool.items():
        plan = plans.get(pool)
        if plan is not None:
            if pool not in missing_by_pool:
                surplus_by_pool[pool] = min(
                    _count_present(state, machines, pool) - plan.keep,
                    demand.excess_machines + _count_returning(state, machines, pool),
                )
            continue
        low_pressure_ms = now_ms - state.low_pressure_since_ms.get(pool, now_ms)
        if (
            pool in standby_pools
            or pool in missing_by_pool
            or demand.pressure >= IDLE_PRESSURE
            or low_pressure_ms < IDLE_DELAY_MS
            or is_burst_expected(state, pool, now_ms)
        ):
            continue
        keep_count = math.ceil(IDLE_KEEP_FRACTION * _count_home_machines(state, pool))
        surplus_by_pool[pool] = _count_present(state, machines, pool) - keep_count
    return surplus_by_pool

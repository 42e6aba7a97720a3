"""Plans of the pools: how many machines each should hold now, and which may leave.

Load pattern: between its turns a pool needs only the machines that carry its
long-running steps. Its own machines and those that it will borrow are back before its
next turn; the first sign of an unexpected burst brings its own machines back at once.
"""

import collections
import enum
import math
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.demand import compute_arrival_load
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.machines import Machine
from cranberrywheel.submission.pool_floor import (
    MAX_CONSOLIDATING,
    PoolFloor,
    count_long_running,
    is_worth_moving,
    list_present_executors,
    list_runs_to_pack,
    pack_pool,
)
from cranberrywheel.submission.pool_sizing import (
    RESTORE_PRESSURE,
    PoolDemand,
    PoolPlan,
    PoolSizingState,
    is_borrowed,
)
from cranberrywheel.submission.state import SchedulerState
from cranberrywheel.submission.turn_forecast import (
    ArrivalLoad,
    TurnForecast,
    get_forecast,
    is_contradicted,
    observe,
)

#: Time from the decision until a moved machine can take work: the wait for the next
#: round of decisions, the order, the move and the registration of its executor.
MOVE_LEAD_MS = 2_100
#: Shortest time off for which machines are sent away: two moves of a machine.
MIN_OFF_MS = 3_000

#: Fraction of its own machines that an idle pool keeps in any case. While the leader is
#: lost, nobody orders machines for about 5 s: a turn that begins then has only these.
MIN_IDLE_FRACTION = 0.5
#: Machines of a pool that cannot be emptied after which no others are examined. Each
#: costs a look at all packed machines.
MAX_REJECTED = 8

_log = ComponentLogger("pools")


class Phase(enum.Enum):
    """What decides about the size of a pool.

    ``UNKNOWN``: no forecast. Once any queue has had a turn, all own machines stay, as
    the turn of this one may come at any moment; before, the rules for pools without a
    plan hold.
    ``TURN``: work arrives. ``AHEAD``: the turn is due within a move's time. ``IDLE``:
    it certainly is not.
    """

    UNKNOWN = "unknown"
    TURN = "turn"
    AHEAD = "ahead"
    IDLE = "idle"


def choose_phase(
    load: ArrivalLoad,
    in_turn: bool,
    forecast: TurnForecast | None,
    now_ms: int,
    contradicted: bool = False,
) -> Phase:
    """Return the phase of a pool.

    :param in_turn: its queue has its turn.
    :param contradicted: another queue has its turn at the time of the expected one.
    :param now_ms: steady time in milliseconds.
    """
    if in_turn or load.has_sign(RESTORE_PRESSURE):
        return Phase.TURN
    if forecast is None or contradicted:
        return Phase.UNKNOWN
    if now_ms >= compute_ahead_ms(forecast):
        return Phase.AHEAD
    return Phase.IDLE


def compute_ahead_ms(forecast: TurnForecast) -> int:
    """Return when machines must be ordered to be there before a turn."""
    return forecast.start_ms - MOVE_LEAD_MS - forecast.error_ms


def plan_pools(
    scheduler: SchedulerState,
    sizing: PoolSizingState,
    machines: t.Sequence[Machine],
    standby_pools: t.Container[str],
    demand_by_pool: t.Mapping[str, PoolDemand],
    now_ms: int,
) -> dict[str, PoolPlan]:
    """Return the plan of each pool, and record what arrives for the forecast.

    Also sets the machines on which the scheduler packs long-running tasks.

    :param standby_pools: names of the pools whose machines are switched off.
    :param now_ms: steady time in milliseconds.
    :returns: nothing while the part is off, and no plan of a pool without a forecast
        before the first turn of any queue.
    """
    if not scheduler.features.turn_forecast:
        scheduler.packed_machines_by_service = {}
        return {}
    home_counts: dict[str, int] = {}
    for machine in machines:
        home_pool = sizing.home_pool_by_machine.get(machine.id, machine.pool)
        home_counts[home_pool] = home_counts.get(home_pool, 0) + 1
    loads = {
        pool: compute_arrival_load(
            scheduler,
            pool,
            demand,
            home_counts[pool] * demand.machine_cpu,
            now_ms,
        )
        for pool, demand in demand_by_pool.items()
        if pool not in standby_pools and demand.machine_cpu and home_counts.get(pool)
    }
    observe(scheduler.turns, loads, now_ms)
    floors = {pool: pack_pool(scheduler, pool) for pool in loads}
    phases = {
        pool: choose_phase(
            load,
            scheduler.turns.by_pool[pool].began_ms is not None,
            get_forecast(scheduler.turns, pool, now_ms),
            now_ms,
            is_contradicted(scheduler.turns, pool, now_ms),
        )
        for pool, load in loads.items()
    }
    idle_floors = {
        pool: floor for pool, floor in floors.items() if phases[pool] is Phase.IDLE
    }
    reserves = compute_reserves(scheduler, machines, standby_pools, idle_floors)
    plans: dict[str, PoolPlan] = {}
    for pool, load in loads.items():
        phase = phases[pool]
        wanted, keep = choose_size(
            scheduler,
            pool,
            phase,
            home_counts[pool],
            demand_by_pool[pool],
            reserves.get(pool, 0),
            now_ms,
        )
        if phase is Phase.IDLE:
            # Lost machines are replaced: only machines that are there can be packed.
            least = max(
                floors[pool].machines,
                math.ceil(MIN_IDLE_FRACTION * home_counts[pool]),
            )
            wanted = max(wanted, min(home_counts[pool], least))
            keep = max(keep, wanted)
        forecast = get_forecast(scheduler.turns, pool, now_ms)
        if phase is Phase.AHEAD and forecast is not None and not forecast.confirmed:
            # Machines of other pools are borrowed for a turn once it is certain.
            wanted = keep = min(wanted, home_counts[pool])
        off_ms = compute_ahead_ms(forecast) - now_ms if forecast else 0
        ranks = _rank_for_release(
            scheduler, sizing, pool, machines, phase, off_ms, now_ms
        )
        is_idle = phase is Phase.IDLE and off_ms >= MIN_OFF_MS
        use_ratio = scheduler.turns.by_pool[pool].use_ratio
        plan = PoolPlan(wanted, keep, is_idle, ranks, use_ratio, floors[pool].machines)
        if phase is not Phase.UNKNOWN or scheduler.turns.last_turn is not None:
            plans[pool] = plan
        _log_phase(sizing, pool, phase, plan, floors[pool], forecast, load)
    return plans


def choose_size(
    scheduler: SchedulerState,
    pool: str,
    phase: Phase,
    home_count: int,
    demand: PoolDemand,
    reserve: int,
    now_ms: int,
) -> tuple[int, int]:
    """Return below how many machines a pool is missing some, and how many it keeps.

    :param reserve: machines that it keeps against the loss of a rack or zone.
    """
    if phase is Phase.IDLE:
        wanted = min(home_count, len(scheduler.packed_machines_by_service[pool]))
        return wanted, min(home_count, wanted + reserve)
    queue = scheduler.turns.by_pool[pool]
    cpu = queue.turn_cpu + demand.long_running if queue.turn_cpu else 0
    turn_count = max(home_count, math.ceil(cpu / demand.machine_cpu))
    if phase is Phase.AHEAD:
        return turn_count, turn_count
    if queue.began_ms is not None and now_ms - queue.began_ms < queue.turn_ms:
        # At the start of a turn the use does not show yet what it will need.
        return home_count, turn_count
    return home_count, home_count


def list_drain_targets(scheduler: SchedulerState, service: str) -> list[Executor]:
    """Return the executors to which the long-running tasks of a drained one move.

    A pool that packs its tasks moves them to the packed machines only; on any other
    machine they would move again.
    """
    executors = list(scheduler.executors_by_service.get(service, {}).values())
    packed = scheduler.packed_machines_by_service.get(service)
    if packed is None:
        return executors
    return [executor for executor in executors if executor.entry.machine in packed]


def compute_reserves(
    scheduler: SchedulerState,
    machines: t.Sequence[Machine],
    standby_pools: t.Container[str],
    floors: t.Mapping[str, PoolFloor],
) -> dict[str, int]:
    """Return what each idle pool keeps against the loss of a rack.

    Machines of the standby pool replace lost ones before the leases of the lost runs
    have expired, so a pool itself keeps only what the standby pool lacks. One rack is
    lost at a time. A zone takes a third of all pools, which no idle pool can hold in
    reserve; the machines that remain in the other zones replace it.

    :param floors: floors of the idle pools; the others hold more machines.
    """
    standby_by_zone: dict[str, int] = {}
    for machine in machines:
        if machine.pool in standby_pools and machine.is_up:
            standby_by_zone[machine.zone] = standby_by_zone.get(machine.zone, 0) + 1
    survivors = sum(standby_by_zone.values()) - max(standby_by_zone.values(), default=0)
    reserves: dict[str, int] = {}
    for pool, floor in floors.items():
        packed = scheduler.packed_machines_by_service[pool]
        count_by_rack = collections.Counter(
            executor.entry.rack
            for executor in list_present_executors(scheduler, pool)
            if executor.entry.machine in packed
        )
        left = count_by_rack.total() - max(count_by_rack.values(), default=0)
        reserves[pool] = max(0, floor.after_loss - left - survivors)
    return reserves


def _rank_for_release(
    scheduler: SchedulerState,
    sizing: PoolSizingState,
    pool: str,
    machines: t.Sequence[Machine],
    phase: Phase,
    off_ms: float,
    now_ms: int,
) -> dict[str, int]:
    """Return the machines that may leave a pool, with their position in the order.

    Borrowed machines leave first, then those with the fewest long-running tasks. Own
    machines leave an idle pool only, and one with long-running tasks only if the time
    off outweighs their interruption.
    """
    packed = scheduler.packed_machines_by_service[pool]
    executors = scheduler.executors_by_service.get(pool, {}).values()
    executor_by_machine = {
        executor.entry.machine: executor
        for executor in executors
        if executor.registered
    }
    targets = [
        executor for name, executor in executor_by_machine.items() if name in packed
    ]
    rows: list[tuple[bool, bool, int, str]] = []
    for machine in machines:
        if machine.pool != pool or machine.id in packed:
            continue
        executor = executor_by_machine.get(machine.id)
        count = count_long_running(executor) if executor else 0
        borrowed = is_borrowed(sizing, machine)
        if borrowed or phase is Phase.IDLE:
            rows.append(
                (not borrowed, machine.id not in sizing.returning, count, machine.id)
            )
    rank_by_machine: dict[str, int] = {}
    consolidating = 0
    rejected = 0
    for own, _, count, machine_id in sorted(rows):
        if own and count:
            if consolidating >= MAX_CONSOLIDATING or rejected >= MAX_REJECTED:
                continue
            executor = executor_by_machine[machine_id]
            if machine_id not in sizing.returning and (
                not is_worth_moving(count, off_ms)
                or list_runs_to_pack(executor, targets, now_ms) is None
            ):
                rejected += 1
                continue
            consolidating += 1
        rank_by_machine[machine_id] = len(rank_by_machine)
    return rank_by_machine


def _log_phase(
    sizing: PoolSizingState,
    pool: str,
    phase: Phase,
    plan: PoolPlan,
    floor: PoolFloor,
    forecast: TurnForecast | None,
    load: ArrivalLoad,
) -> None:
    """Log the phase of a pool when it changes."""
    if sizing.phase_by_pool.get(pool) == phase.value:
        return
    sizing.phase_by_pool[pool] = phase.value
    _log.event(
        "pool plan",
        pool=pool,
        phase=phase.value,
        wanted=plan.wanted,
        keep=plan.keep,
        floor=floor.machines,
        after_loss=floor.after_loss,
        arriving_cpu=load.arriving,
        own_cpu=load.own_cpu,
        expected_ms=forecast.start_ms if forecast else 0,
        error_ms=forecast.error_ms if forecast else 0,
        confirmed=bool(forecast and forecast.confirmed),
    )

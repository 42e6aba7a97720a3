"""Packing of long-running tasks and the machines that idle pools hold, without I/O."""

import collections

import pytest
from leader_harness import make_step, make_submission

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import ExecutorEntry
from cranberrywheel.submission.features import ALL_OFF, FeatureSettings, Switch
from cranberrywheel.submission.live import LiveSubmission, Run, RunState
from cranberrywheel.submission.machines import Machine, MachineState
from cranberrywheel.submission.model import (
    Configuration,
    Queue,
    Resources,
    Service,
)
from cranberrywheel.submission.packing import compute_packing_score
from cranberrywheel.submission.placement import compute_score
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.pool_floor import (
    INTERRUPTION_MS,
    choose_packed_machines,
    compute_floor,
    is_worth_moving,
    list_runs_to_pack,
    pack_pool,
)
from cranberrywheel.submission.pool_plans import Phase, choose_phase, compute_reserves
from cranberrywheel.submission.pool_sizing import (
    PoolDemand,
    PoolPlan,
    PoolSizingState,
    decide_moves,
)
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel.submission.turn_forecast import ArrivalLoad, TurnForecast

MACHINE = Resources(64_000, 262_144, 0)
QUEUE = Queue("q", "h", "/", "pool")


def make_executors(count, zones=3, per_rack=4):
    executors = []
    for number in range(count):
        zone = number % zones
        rack = f"r{zone}-{number // zones // per_rack}"
        entry = ExecutorEntry(
            f"x{number}",
            "pool",
            f"x{number}",
            f"z{zone}",
            False,
            MACHINE,
            frozenset(),
            rack,
            f"m{number}",
            1,
        )
        executor = Executor(entry, True, 0)
        executor.fence_confirmed = True
        executors.append(executor)
    return executors


def make_live(name="s1", **fields):
    step = make_step(24, 8_000, long_running=True, **{"anti_affinity": 1, **fields})
    live = LiveSubmission(make_submission(name, step, queue=QUEUE), QUEUE, False)
    live.begin_occurrence()
    return live


def start(live, index, executor, load=0.0):
    """Start a long-running task that is available at once."""
    task = live.step_runs[0, 0].tasks[index]
    run = Run(task, 1, executor.id, 0)
    run.state = RunState.RUNNING
    run.load = load
    task.runs.append(run)
    task.available_since_ms = 1
    task.step_run.remove_waiting(task)
    executor.add_run(run)
    return run


def make_scheduler(executors, switch=Switch.ON):
    settings = FeatureSettings(
        **{
            name: Switch.OFF
            for name in FeatureSettings.__dataclass_fields__
            if name != "turn_forecast"
        },
        turn_forecast=switch,
    )
    scheduler = Scheduler(1, 0, PlatformTiming(), -10_000, settings)
    scheduler.set_configuration(
        Configuration(
            version=1,
            queues_by_host={"h": (QUEUE,)},
            queues_by_key={QUEUE.key: QUEUE},
            services_by_name={
                "pool": Service("pool"),
                "standby": Service("standby", True),
            },
            organisations_by_name={},
            organisation_by_api_key={},
        )
    )
    for executor in executors:
        scheduler.add_executor(executor)
    return scheduler


def test_steps_with_anti_affinity_share_the_same_machines():
    """Guards against a floor that adds up the machines of steps which can share them:
    three steps of 24 tasks need 24 machines and not 72."""
    steps = [make_live(f"s{n}", may_miss=3).step_runs[0, 0] for n in range(3)]
    floor = compute_floor(steps, MACHINE, 0.0)
    assert (floor.machines, floor.after_loss) == (24, 21)


def test_floor_grows_with_the_memory_of_the_steps_and_the_idle_load():
    """Guards against packed machines on which not all long-running tasks fit."""
    steps = [make_live(f"s{n}").step_runs[0, 0] for n in range(9)]
    # With less than one task of 8 cores free a machine counts as full: 56 of 64.
    assert compute_floor(steps, MACHINE, 0.0).machines == 31
    assert compute_floor(steps[:3], MACHINE, 28 * 56_000.0).machines == 24 + 15


def test_tasks_of_a_step_without_a_limit_are_not_lost_together():
    """Guards against a crash of one machine that takes more than a step may miss."""
    live = make_live(anti_affinity=0, may_miss=2)
    assert compute_floor([live.step_runs[0, 0]], MACHINE, 0.0).machines == 12


def test_packed_machines_are_spread_over_zones_and_racks():
    """Guards against a zone or rack whose loss takes most tasks of a step."""
    executors = make_executors(39)
    packed = choose_packed_machines(executors, 24, (), ())
    chosen = [executor for executor in executors if executor.entry.machine in packed]
    zones = collections.Counter(executor.entry.zone for executor in chosen)
    racks = collections.Counter(executor.entry.rack for executor in chosen)
    assert set(zones.values()) == {8}
    assert max(racks.values()) <= 3


def test_machines_with_tasks_stay_packed():
    """Guards against tasks that move because the choice changes from round to round,
    also at a new leader, which does not know the former choice."""
    executors = make_executors(36)
    live = make_live()
    for index, executor in enumerate(executors[6:30]):
        start(live, index, executor)
    expected = {executor.entry.machine for executor in executors[6:30]}
    assert choose_packed_machines(executors, 24, (), ()) == expected
    shuffled = executors[::-1]
    assert choose_packed_machines(shuffled, 24, expected, ()) == expected


def test_lost_packed_machines_are_replaced():
    """Guards against tasks of a lost rack that find no packed machine."""
    executors = make_executors(36)
    live = make_live()
    packed = choose_packed_machines(executors, 24, (), ())
    for index, machine in enumerate(sorted(packed)):
        executor = next(x for x in executors if x.entry.machine == machine)
        start(live, index, executor)
    remaining = [x for x in executors if x.entry.rack != "r0-0"]
    replaced = choose_packed_machines(remaining, 24, packed, ())
    assert len(replaced) == 24
    kept = packed & {executor.entry.machine for executor in remaining}
    assert kept <= replaced


def test_long_running_tasks_start_on_packed_machines_only_while_the_part_is_on():
    """Guards against a placement that changes where the part is off."""
    executors = make_executors(2)
    task = make_live().step_runs[0, 0].tasks[0]
    plain = [compute_score(executor, task, 0, ()) for executor in executors]
    assert plain[0] == plain[1]
    packing = [compute_score(executor, task, 0, (), {"m1"}) for executor in executors]
    assert packing[1] > packing[0]


def test_executor_near_its_latency_limit_gets_no_further_task():
    """Guards against a tail latency over its limit because tasks were packed."""
    executors = make_executors(30)
    scheduler = make_scheduler(executors)
    live = make_live(target_ms=100)
    scheduler.live_by_id["s1"] = live
    floor = pack_pool(scheduler, "pool")
    assert floor.machines == 24
    packed = scheduler.packed_machines_by_service["pool"]
    assert len(packed) == 24
    chosen = [x for x in executors if x.entry.machine in packed]
    runs = [start(live, index, executor) for index, executor in enumerate(chosen)]
    other = make_live("s2").step_runs[0, 0]
    assert compute_packing_score(chosen[0], other, packed) == 0.0
    for run in runs[:4]:
        run.load = 90.0
    assert compute_packing_score(chosen[0], other, packed) < 0.0
    pack_pool(scheduler, "pool")
    assert len(scheduler.packed_machines_by_service["pool"]) == 28


def test_task_moves_only_within_what_its_step_may_miss():
    """Guards against consolidation that interrupts more tasks than a step may miss."""
    executors = make_executors(30)
    live = make_live(may_miss=2)
    for index, executor in enumerate(executors[:24]):
        start(live, index, executor)
    source, targets = executors[0], executors[20:]
    assert list_runs_to_pack(source, targets, 1_000)
    tasks = live.step_runs[0, 0].tasks
    tasks[1].available_since_ms = tasks[2].available_since_ms = 0
    assert list_runs_to_pack(source, targets, 1_000) is None


def test_task_does_not_move_where_it_has_no_place():
    """Guards against a task that is stopped and then waits for a place."""
    executors = make_executors(30)
    live = make_live(may_miss=2)
    for index, executor in enumerate(executors[:24]):
        start(live, index, executor)
    assert list_runs_to_pack(executors[0], executors[:24], 1_000) is None


def test_interruption_must_be_outweighed_by_the_time_off():
    """Guards against tasks that are interrupted for a machine which soon returns."""
    assert not is_worth_moving(3, 3 * INTERRUPTION_MS)
    assert is_worth_moving(3, 8_000)


@pytest.mark.parametrize(
    ("standby_count", "expected"),
    [(0, 5), (6, 1), (30, 0)],
)
def test_idle_pool_keeps_what_the_standby_pool_lacks_after_a_rack(
    standby_count, expected
):
    """Guards against a lost rack that leaves a step with less than it needs."""
    executors = make_executors(32, per_rack=20)
    scheduler = make_scheduler(executors)
    scheduler.live_by_id["s1"] = make_live(may_miss=3)
    floor = pack_pool(scheduler, "pool")
    machines = [
        Machine(f"s{n}", "standby", MachineState.UP, f"z{n % 3}", "")
        for n in range(standby_count)
    ]
    # Each rack holds a third of the packed machines: 16 are left of the 21 needed.
    reserves = compute_reserves(scheduler, machines, {"standby"}, {"pool": floor})
    assert reserves == {"pool": expected}


def make_load(certain=0, first_sign=0):
    return ArrivalLoad(certain, certain, first_sign, 0, 0, 0, 1_000_000)


def test_first_sign_of_an_unexpected_burst_ends_an_idle_time():
    """Guards against a burst that a pool meets with the machines of its idle time."""
    forecast = TurnForecast(60_000, 300, 1_000_000, True)
    assert choose_phase(make_load(), False, forecast, 20_000) is Phase.IDLE
    sign = make_load(first_sign=400_000)
    assert choose_phase(sign, False, forecast, 20_000) is Phase.TURN


def test_pool_is_not_idle_without_a_forecast_or_just_before_its_turn():
    """Guards against a pool that is made small without knowing its next turn."""
    assert choose_phase(make_load(), False, None, 20_000) is Phase.UNKNOWN
    forecast = TurnForecast(22_000, 300, 1_000_000, True)
    assert choose_phase(make_load(), False, forecast, 20_000) is Phase.AHEAD


def decide(state, machines, plan, now_ms, is_empty=lambda machine: True):
    demand = {"a": PoolDemand(100, 0, 8_000, 1_000)}
    return decide_moves(
        state,
        machines,
        {"spare"},
        demand,
        set(),
        is_empty,
        now_ms,
        plans={"a": plan},
    )


def make_pool():
    machines = [Machine(f"a{n}", "a", MachineState.UP, "z", f"i{n}") for n in range(8)]
    return [*machines, Machine("s0", "spare", MachineState.UP, "z", "")]


def test_idle_pool_releases_machines_down_to_its_plan():
    """Guards against three quarters of an idle pool that stay without a reason."""
    plan = PoolPlan(3, 4, True, {f"a{n}": n for n in range(3, 8)})
    moves = decide(PoolSizingState(), make_pool(), plan, 0).moves
    assert moves == tuple((f"a{n}", "spare") for n in range(3, 7))


def test_machine_with_work_is_drained_and_returns_to_work_at_a_burst():
    """Guards against drained machines that stay out of use when a burst begins."""
    state = PoolSizingState()
    plan = PoolPlan(3, 4, True, {f"a{n}": n for n in range(3, 8)})
    decision = decide(state, make_pool(), plan, 0, lambda machine: False)
    assert decision.moves == () and decision.drain == ("a3", "a4", "a5", "a6")
    burst = PoolPlan(8, 8, False, {})
    decision = decide(state, make_pool(), burst, 400, lambda machine: False)
    assert decision.drain == () and set(decision.keep) == {"a3", "a4", "a5", "a6"}


def test_machines_that_wait_for_an_expected_turn_are_not_returned():
    """Guards against borrowed machines that leave just before the turn they are for."""
    state = PoolSizingState(home_pool_by_machine={"a6": "spare", "a7": "spare"})
    plan = PoolPlan(8, 8, False, {"a6": 0, "a7": 1})
    for now_ms in range(0, 4_000, 400):
        decision = decide(state, make_pool(), plan, now_ms)
        assert decision.moves == () and decision.drain == ()


def test_part_that_is_off_plans_nothing():
    """Guards against decisions that change where the switch is off."""
    executors = make_executors(4)
    scheduler = Scheduler(1, 0, PlatformTiming(), -10_000, ALL_OFF)
    for executor in executors:
        scheduler.add_executor(executor)
    scheduler.add_submission(make_live().submission, 0)
    assert scheduler.packed_machines_by_service == {}


def test_executor_without_an_entry_may_still_have_runs():
    """Guards against the move of a machine on which runs go on: entries expire while
    the store is away, and a new leader has not polled every executor yet."""
    (executor,) = make_executors(1)
    executor.fence_confirmed = True
    assert not executor.may_have_runs(0)
    executor.untracked_runs = frozenset({("task", 1)})
    executor.registered = False
    assert executor.may_have_runs(0)
    executor.untracked_runs = frozenset()
    executor.registered, executor.fence_confirmed = True, False
    assert executor.may_have_runs(0)
    executor.registered, executor.lease_expiry_ms = False, 1_000
    assert executor.may_have_runs(1_000)
    assert not executor.may_have_runs(1_001)

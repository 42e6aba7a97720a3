"""Moves of machines between pools around bursts, decided without I/O."""

from leader_harness import LeaderHarness, make_step, make_submission

from cranberrywheel.submission.demand import compute_demand_by_service
from cranberrywheel.submission.machines import Machine, MachineState
from cranberrywheel.submission.pool_sizing import (
    BURST_LEAD_MS,
    IDLE_DELAY_MS,
    RETURN_DELAY_MS,
    PoolDemand,
    PoolSizingState,
    decide_moves,
)

STANDBY = {"spare"}


def make_machine(name: str, pool: str, zone: str = "z") -> Machine:
    executor_id = f"i-{name}" if pool != "spare" else ""
    return Machine(name, pool, MachineState.UP, zone, executor_id)


def decide(state, machines, demand, now_ms, reserved=(), empty=True, evacuated=()):
    return decide_moves(
        state,
        machines,
        STANDBY,
        demand,
        set(reserved),
        lambda machine: empty,
        now_ms,
        set(evacuated),
    )


def play_rounds(machines, demand, evacuated, occupied=(), rounds=40):
    """Carry out the decided moves for some rounds, and return those of each round."""
    state = PoolSizingState()
    machine_by_id = {machine.id: machine for machine in machines}
    moves = []
    for number in range(rounds):
        decision = decide_moves(
            state,
            list(machine_by_id.values()),
            STANDBY,
            demand,
            set(),
            lambda machine: machine.id not in occupied,
            400 * number,
            evacuated,
        )
        moves.append(decision.moves)
        for machine_id, pool in decision.moves:
            zone = machine_by_id[machine_id].zone
            machine_by_id[machine_id] = make_machine(machine_id, pool, zone)
    return moves, machine_by_id


def test_machines_of_an_evacuated_zone_are_replaced_once():
    """Guards against a pool that stays short of the machines it cannot use.

    An idle pool must not return the replacements and order them again in turns either.
    """
    machines = [make_machine(f"a{i}", "a", f"z{i % 3}") for i in range(12)]
    machines += [make_machine(f"s{i}", "spare", f"z{i % 3}") for i in range(12)]
    demand = {"a": PoolDemand(100, 0, 8_000, 1_000)}
    moves, machine_by_id = play_rounds(machines, demand, {"z0"})
    usable = [m for m in machine_by_id.values() if m.pool == "a" and m.zone != "z0"]
    assert len(usable) == 9
    assert sum(len(row) for row in moves) == 4 + 1
    assert all(row == () for row in moves[5:])


def test_occupied_machines_of_an_evacuated_zone_are_no_surplus():
    """Guards against a pool that switches off what it can use for what it cannot."""
    machines = [make_machine(f"a{i}", "a", f"z{i % 3}") for i in range(12)]
    machines += [make_machine(f"s{i}", "spare", f"z{i % 3}") for i in range(12)]
    demand = {"a": PoolDemand(100, 0, 8_000, 1_000)}
    occupied = {f"a{i}" for i in range(0, 12, 3)}
    moves, machine_by_id = play_rounds(machines, demand, {"z0"}, occupied)
    usable = [m for m in machine_by_id.values() if m.pool == "a" and m.zone != "z0"]
    assert len(usable) == 9 and sum(len(row) for row in moves) == 1


def test_no_machine_joins_a_pool_in_an_evacuated_zone():
    """Guards against a burst that borrows machines which cannot be used."""
    machines = [make_machine(f"a{i}", "a", f"z{i % 3}") for i in range(12)]
    machines += [make_machine(f"s{i}", "spare", f"z{i % 3}") for i in range(12)]
    demand = {"a": PoolDemand(8_000, 20_000, 8_000, 1_000, 8_000)}
    state = PoolSizingState()
    moves = decide(state, machines, demand, 0, evacuated={"z0"}).moves
    zone_by_id = {machine.id: machine.zone for machine in machines}
    joined = [machine for machine, pool in moves if pool == "a"]
    assert len(joined) == 8 and all(zone_by_id[name] != "z0" for name in joined)


def test_machine_of_an_evacuated_zone_leaves_only_when_it_is_empty():
    """Guards against moves of machines on which tasks still run."""
    machines = [make_machine("a0", "a", "z0"), make_machine("s0", "spare", "z1")]
    demand = {"a": PoolDemand(100, 0, 8_000, 1_000)}
    state = PoolSizingState()
    occupied = decide(state, machines, demand, 0, empty=False, evacuated={"z0"})
    assert ("a0", "spare") not in occupied.moves
    assert ("a0", "spare") in decide(state, machines, demand, 9, evacuated={"z0"}).moves


def test_machines_return_once_the_zone_is_taken_back():
    """Guards against a pool that stays on its replacements after an evacuation."""
    machines = [make_machine(f"a{i}", "a", f"z{i % 3}") for i in range(12)]
    machines += [make_machine(f"s{i}", "spare", f"z{i % 3}") for i in range(12)]
    idle = {"a": PoolDemand(100, 0, 8_000, 1_000)}
    _, machine_by_id = play_rounds(machines, idle, {"z0"})
    state = PoolSizingState(
        home_pool_by_machine={
            name: "a" if name[0] == "a" else "spare" for name in machine_by_id
        }
    )
    busy = {"a": PoolDemand(3_000, 0, 8_000, 1_000, 3_000)}
    moves = decide(state, list(machine_by_id.values()), busy, 0).moves
    assert {machine for machine, pool in moves if pool == "a"} <= {
        "a0",
        "a3",
        "a6",
        "a9",
    }
    assert moves


def test_standby_machines_join_the_pool_with_a_burst():
    """Guards against a pool that stays overloaded while standby machines are unused."""
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [make_machine(f"s{i}", "spare") for i in range(4)]
    demand = {"a": PoolDemand(4_000, 4_500, 4_000, 1_000)}
    decision = decide(PoolSizingState(), machines, demand, 0)
    assert [pool for _, pool in decision.moves] == ["a"] * 3


def test_moving_machines_count_for_the_demand():
    """Guards against decisions that order the same machines again each time."""
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [make_machine(f"s{i}", "spare") for i in range(4)]
    demand = {"a": PoolDemand(4_000, 4_500, 4_000, 1_000)}
    state = PoolSizingState()
    decide(state, machines, demand, 0)
    assert decide(state, machines, demand, 400).moves == ()


def test_borrowed_machines_return_after_the_burst_once_empty():
    """Guards against paying for borrowed machines after the burst, and against moving
    them while tasks run on them."""
    state = PoolSizingState(home_pool_by_machine={"s0": "spare"})
    machines = [make_machine("s0", "a")]
    low_demand = {"a": PoolDemand(100, 0, 4_000, 1_000)}
    assert decide(state, machines, low_demand, 0).moves == ()
    later_ms = RETURN_DELAY_MS + 1
    occupied_decision = decide(state, machines, low_demand, later_ms, empty=False)
    assert occupied_decision.moves == () and occupied_decision.drain == ("s0",)
    assert decide(state, machines, low_demand, later_ms + 400).moves == (
        ("s0", "spare"),
    )


def test_returning_machine_moves_directly_to_the_next_burst():
    """Guards against a detour over the standby pool: two moves and three seconds."""
    state = PoolSizingState(home_pool_by_machine={"s0": "spare"}, returning={"s0"})
    machines = [make_machine("s0", "a")]
    demand = {
        "a": PoolDemand(100, 0, 4_000, 1_000),
        "b": PoolDemand(4_000, 3_000, 4_000, 1_000),
    }
    assert decide(state, machines, demand, 5_000).moves == (("s0", "b"),)


def test_machine_reserved_by_a_wave_does_not_move():
    """Guards against a move during a wave, which delays the machine's maintenance."""
    machines = [make_machine("s0", "spare")]
    demand = {"a": PoolDemand(4_000, 3_000, 4_000, 1_000)}
    assert decide(PoolSizingState(), machines, demand, 0, reserved={"s0"}).moves == ()


def test_short_gap_in_a_burst_returns_no_machine():
    """Guards against machines that move back and forth within one burst."""
    state = PoolSizingState(home_pool_by_machine={"s0": "spare"})
    machines = [make_machine("s0", "a")]
    low_demand = {"a": PoolDemand(100, 0, 4_000, 1_000)}
    decide(state, machines, low_demand, 0)
    decide(state, machines, {"a": PoolDemand(4_000, 0, 4_000, 1_000)}, 400)
    assert decide(state, machines, low_demand, RETURN_DELAY_MS + 100).drain == ()


LOW_DEMAND = PoolDemand(100, 0, 8_000, 1_000)


def make_idle_pool(count=8):
    return [make_machine(f"a{i}", "a") for i in range(count)] + [
        make_machine("s0", "spare")
    ]


def test_idle_pool_switches_machines_off_but_keeps_a_reserve():
    """Guards against paying for unused machines between two bursts, and against an
    idle pool that loses all its machines with one rack."""
    state = PoolSizingState()
    machines = make_idle_pool()
    assert decide(state, machines, {"a": LOW_DEMAND}, 0).moves == ()
    moves = decide(state, machines, {"a": LOW_DEMAND}, IDLE_DELAY_MS).moves
    assert [pool for _, pool in moves] == ["spare", "spare"]


def test_machine_with_work_is_not_switched_off():
    """Guards against switching off a machine on which a long-running task runs."""
    state = PoolSizingState()
    decide(state, make_idle_pool(), {"a": LOW_DEMAND}, 0)
    decision = decide(
        state, make_idle_pool(), {"a": LOW_DEMAND}, IDLE_DELAY_MS, empty=False
    )
    assert decision.moves == ()


def test_pool_gets_its_machines_back_before_the_expected_burst():
    """Guards against machines that arrive 1.5 s after the start of a periodic burst."""
    state = PoolSizingState(burst_starts_ms={"a": [0, 18_000]})
    home_pools = dict.fromkeys(("a0", "a1", "a2", "a3"), "a")
    state.home_pool_by_machine.update(home_pools)
    machines = [make_machine(f"a{i}", "a") for i in range(3)]
    machines.append(make_machine("a3", "spare"))
    assert decide(state, machines, {"a": LOW_DEMAND}, 30_000).moves == ()
    expected_ms = 36_000 - BURST_LEAD_MS
    assert decide(state, machines, {"a": LOW_DEMAND}, expected_ms).moves == (
        ("a3", "a"),
    )


def test_idle_pool_that_lost_machines_gets_others():
    """Guards against an idle pool that stays at a quarter of its size after a rack
    became unreachable."""
    state = PoolSizingState(home_pool_by_machine={f"a{i}": "a" for i in range(8)})
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [make_machine(f"s{i}", "spare") for i in range(3)]
    moves = decide(state, machines, {"a": LOW_DEMAND}, 0).moves
    assert [pool for _, pool in moves] == ["a", "a"]


def test_machines_are_ordered_for_arriving_work_before_a_backlog_forms():
    """Guards against help that comes four seconds after the start of a burst.

    On further-grown trouble-1 the first burst offered 1.5 times its pool; machines were
    ordered once a quarter of the pool was waiting, and 2,400 cores were by then.
    """
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [make_machine(f"s{i}", "spare") for i in range(4)]
    demand = {"a": PoolDemand(1_300, 0, 4_000, 1_000, offered=6_800)}
    decision = decide(PoolSizingState(), machines, demand, 0)
    assert [pool for _, pool in decision.moves] == ["a"] * 3


def test_capacity_for_arriving_work_counts_long_running_tasks():
    """Guards against a burst that is short of the cpu that long-running tasks hold."""
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [make_machine(f"s{i}", "spare") for i in range(6)]
    demand = {"a": PoolDemand(0, 0, 4_000, 1_000, offered=6_500, long_running=1_900)}
    assert len(decide(PoolSizingState(), machines, demand, 0).moves) == 5


def test_machines_without_an_executor_yet_are_not_ordered_twice():
    """Guards against one more machine in each round until the first has registered."""
    machines = [make_machine(f"a{i}", "a") for i in range(7)]
    machines += [make_machine(f"s{i}", "spare") for i in range(4)]
    demand = {"a": PoolDemand(1_300, 0, 4_000, 1_000, offered=6_800, executors=4)}
    assert decide(PoolSizingState(), machines, demand, 0).moves == ()


def test_pool_without_a_burst_borrows_nothing():
    """Guards against machines that move for the work of a quiet pool."""
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [make_machine(f"s{i}", "spare") for i in range(4)]
    demand = {"a": PoolDemand(200, 0, 4_000, 1_000, offered=900, long_running=3_900)}
    assert decide(PoolSizingState(), machines, demand, 0).moves == ()


def test_pool_with_excess_gives_machines_to_a_starved_one_at_once():
    """Guards against a queue that starves while its predecessor keeps its machines.

    On further-grown trouble-1, after the power loss at 41 s, one pool kept 94 machines
    for the demand of 32, and the next one had 3,687 cores waiting.
    """
    home = {f"s{i}": "spare" for i in range(6)}
    state = PoolSizingState(home_pool_by_machine=home)
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [make_machine(f"s{i}", "a") for i in range(6)]
    machines += [make_machine(f"b{i}", "b") for i in range(4)]
    demand = {
        "a": PoolDemand(4_800, 0, 10_000, 1_000),
        "b": PoolDemand(4_000, 8_000, 4_000, 1_000, offered=9_000),
    }
    decision = decide(state, machines, demand, 0)
    assert [pool for _, pool in decision.moves] == ["b"] * 3


def test_pool_without_need_elsewhere_keeps_its_machines_through_a_gap():
    """Guards against machines that leave during a burst although no pool needs them."""
    home = {f"s{i}": "spare" for i in range(6)}
    state = PoolSizingState(home_pool_by_machine=home)
    machines = [make_machine(f"s{i}", "a") for i in range(6)]
    demand = {"a": PoolDemand(3_000, 0, 6_000, 1_000)}
    assert decide(state, machines, demand, 0).drain == ()


def test_few_arrivals_are_no_burst(monkeypatch):
    """Guards against machines that a small pool borrows for one large submission.

    On quiet days of further/rsll-booking that cost 0.05 of worth and served nobody.
    """
    harness = LeaderHarness(monkeypatch)
    for index in range(4):
        harness.fleet.add(f"x{index}", "pool", cpu=4_000)
    harness.start_leader()
    harness.run_for(300)
    harness.submit(make_submission("s0", make_step(8)))
    harness.run_for(20)

    def compute_offered():
        now_ms = harness.loop.clock.now_ms()
        return compute_demand_by_service(harness.scheduler, now_ms)["pool"].offered

    assert compute_offered() == 0
    for number in range(1, 16):
        harness.submit(make_submission(f"s{number}", make_step(8)))
        harness.run_for(20)
    assert 0.7 * 16 * 8_000 <= compute_offered() <= 16 * 8_000


def test_machine_is_not_moved_to_the_pool_in_which_it_is():
    """Guards against a drained machine whose own pool needs it again.

    The platform answers such an order with success, so its executor counted as ended
    and stayed cordoned.
    """
    state = PoolSizingState(home_pool_by_machine={"s0": "spare"}, returning={"s0"})
    machines = [make_machine("s0", "a"), make_machine("a0", "a")]
    demand = {"a": PoolDemand(1_000, 3_000, 1_000, 1_000)}
    decision = decide(state, machines, demand, 5_000)
    assert decision.moves == () and decision.drain == ()
    assert decision.keep == ("s0",)


def make_zone_machines(name: str, pool: str, zones: str) -> list[Machine]:
    return [
        Machine(f"{name}{i}", pool, MachineState.UP, zone, "")
        for i, zone in enumerate(zones)
    ]


def test_machines_of_an_unreachable_zone_are_not_borrowed():
    """Guards against a pool that waits for machines whose executors nobody reaches."""
    machines = make_zone_machines("a", "a", "xyz") + make_zone_machines(
        "s", "spare", "xyzxyz"
    )
    demand = {"a": PoolDemand(2_000, 3_000, 2_000, 1_000, executors=2)}
    decision = decide_moves(
        PoolSizingState(),
        machines,
        STANDBY,
        demand,
        (),
        lambda machine: True,
        0,
        (),
        {"x"},
    )
    zone_by_machine = {machine.id: machine.zone for machine in machines}
    assert sorted(zone_by_machine[machine] for machine, _ in decision.moves) == [
        "y",
        "z",
    ]


def test_machines_moving_to_an_unreachable_zone_are_replaced():
    """Guards against a burst that waits six seconds for the timeout of a move: the
    machines that were under way when the zone was cut off counted as arriving."""
    machines = make_zone_machines("a", "a", "xyz") + make_zone_machines(
        "s", "spare", "xyzxyz"
    )
    state = PoolSizingState(destination_by_machine={"s0": "a", "s3": "a"})
    demand = {"a": PoolDemand(2_000, 3_000, 2_000, 1_000, executors=2)}
    decision = decide_moves(
        state, machines, STANDBY, demand, (), lambda machine: True, 0, (), {"x"}
    )
    assert len(decision.moves) == 2


def test_idle_pool_does_not_replace_the_machines_of_an_unreachable_zone():
    """Guards against idle pools that take the machines which a burst needs."""
    machines = make_zone_machines("a", "a", "xxyyzz") + make_zone_machines(
        "s", "spare", "yzyz"
    )
    demand = {"a": PoolDemand(0, 0, 4_000, 1_000, executors=4)}
    decision = decide_moves(
        PoolSizingState(),
        machines,
        STANDBY,
        demand,
        (),
        lambda machine: True,
        0,
        (),
        {"x"},
    )
    assert decision.moves == ()


def test_borrowed_machine_of_a_pool_that_misses_some_stays():
    """Guards against an order to the pool in which a machine is, repeated in each
    round: its executor counted as ended, and the pool ordered another machine."""
    state = PoolSizingState(home_pool_by_machine={"s0": "spare"})
    state.home_pool_by_machine |= {f"a{i}": "a" for i in range(8)}
    machines = [make_machine("s0", "a"), make_machine("a0", "a")]
    demand = {"a": PoolDemand(0, 0, 2_000, 1_000)}
    for now_ms in (0, RETURN_DELAY_MS + 1, RETURN_DELAY_MS + 400):
        assert decide(state, machines, demand, now_ms).moves == ()


def test_standby_machine_that_is_not_up_is_not_ordered():
    """Guards against a burst whose orders go to the same lost machines each time."""
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [
        Machine(f"s{i}", "spare", MachineState.DOWN, "z", "") for i in range(3)
    ]
    machines += [make_machine(f"t{i}", "spare") for i in range(3)]
    demand = {"a": PoolDemand(4_000, 4_500, 4_000, 1_000)}
    decision = decide(PoolSizingState(), machines, demand, 0)
    assert sorted(machine for machine, _ in decision.moves) == ["t0", "t1", "t2"]


def test_drain_of_a_machine_that_a_wave_needs_ends():
    """Guards against a machine that takes no work through the whole next burst."""
    state = PoolSizingState(home_pool_by_machine={"s0": "spare"}, returning={"s0"})
    demand = {"a": PoolDemand(4_000, 0, 4_000, 1_000)}
    decision = decide(state, [make_machine("s0", "a")], demand, 0, reserved={"s0"})
    assert decision.keep == ("s0",) and decision.drain == ()


def test_pool_that_has_lost_all_executors_gets_machines(monkeypatch):
    """Guards against a small idle pool whose only machines fail: without an executor
    the size of its machines was unknown, and nothing was ordered."""
    harness = LeaderHarness(monkeypatch)
    harness.fleet.add("a", "pool")
    harness.start_leader()
    harness.run_for(100)
    scheduler = harness.leader.scheduler
    for executor in scheduler.executors_by_id.values():
        executor.reachable = False
    demands = compute_demand_by_service(scheduler, harness.loop.clock.now_ms())
    assert all(
        demand.capacity == 0 and demand.machine_cpu > 0 for demand in demands.values()
    )
    assert demands

"""Moves of machines when queues have their turns, decided without input or output."""

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


def make_machine(name: str, pool: str) -> Machine:
    executor_id = f"i-{name}" if pool != "spare" else ""
    return Machine(name, pool, MachineState.UP, "z", executor_id)


def decide(state, machines, demand, now_ms, reserved=(), empty=True):
    return decide_moves(
        state, machines, STANDBY, demand, set(reserved), lambda m: empty, now_ms
    )


def test_spare_machines_join_the_pool_whose_queue_has_its_turn():
    """A queue that asks for more than its pool holds while machines stand by."""
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [make_machine(f"s{i}", "spare") for i in range(4)]
    demand = {"a": PoolDemand(4_000, 4_500, 4_000, 1_000)}
    decision = decide(PoolSizingState(), machines, demand, 0)
    assert [pool for _, pool in decision.moves] == ["a"] * 3


def test_machines_on_their_way_are_counted():
    """Each look at the machines ordered as many again."""
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [make_machine(f"s{i}", "spare") for i in range(4)]
    demand = {"a": PoolDemand(4_000, 4_500, 4_000, 1_000)}
    state = PoolSizingState()
    decide(state, machines, demand, 0)
    assert decide(state, machines, demand, 400).moves == ()


def test_lent_machines_go_back_after_the_turn_once_they_are_empty():
    """Machines that stay, and are paid for, after the turn is over; or that leave
    while tasks run on them."""
    state = PoolSizingState(home_pool_by_machine={"s0": "spare"})
    machines = [make_machine("s0", "a")]
    calm = {"a": PoolDemand(100, 0, 4_000, 1_000)}
    assert decide(state, machines, calm, 0).moves == ()
    later = RETURN_DELAY_MS + 1
    busy = decide(state, machines, calm, later, empty=False)
    assert busy.moves == () and busy.drain == ("s0",)
    assert decide(state, machines, calm, later + 400).moves == (("s0", "spare"),)


def test_lent_machine_goes_straight_to_the_next_turn():
    """A detour over the standby pool costs two moves and three seconds."""
    state = PoolSizingState(home_pool_by_machine={"s0": "spare"}, returning={"s0"})
    machines = [make_machine("s0", "a")]
    demand = {
        "a": PoolDemand(100, 0, 4_000, 1_000),
        "b": PoolDemand(4_000, 3_000, 4_000, 1_000),
    }
    assert decide(state, machines, demand, 5_000).moves == (("s0", "b"),)


def test_machine_that_a_wave_needs_stays():
    """A move in the middle of a wave makes its upkeep late."""
    machines = [make_machine("s0", "spare")]
    demand = {"a": PoolDemand(4_000, 3_000, 4_000, 1_000)}
    assert decide(PoolSizingState(), machines, demand, 0, reserved={"s0"}).moves == ()


def test_short_gap_in_a_turn_returns_nothing():
    """Machines that go back and forth within one turn."""
    state = PoolSizingState(home_pool_by_machine={"s0": "spare"})
    machines = [make_machine("s0", "a")]
    calm = {"a": PoolDemand(100, 0, 4_000, 1_000)}
    decide(state, machines, calm, 0)
    decide(state, machines, {"a": PoolDemand(4_000, 0, 4_000, 1_000)}, 400)
    assert decide(state, machines, calm, RETURN_DELAY_MS + 100).drain == ()


CALM = PoolDemand(100, 0, 8_000, 1_000)


def make_rest(count=8):
    return [make_machine(f"a{i}", "a") for i in range(count)] + [
        make_machine("s0", "spare")
    ]


def test_pool_at_rest_switches_machines_off_but_keeps_a_reserve():
    """Idle machines that are paid for between two turns; or a pool at rest that a
    lost rack leaves without machines."""
    state = PoolSizingState()
    machines = make_rest()
    assert decide(state, machines, {"a": CALM}, 0).moves == ()
    moves = decide(state, machines, {"a": CALM}, IDLE_DELAY_MS).moves
    assert [pool for _, pool in moves] == ["spare", "spare"]


def test_machine_with_work_is_not_switched_off():
    """A lasting task that ends because its machine was switched off."""
    state = PoolSizingState()
    decide(state, make_rest(), {"a": CALM}, 0)
    decision = decide(state, make_rest(), {"a": CALM}, IDLE_DELAY_MS, empty=False)
    assert decision.moves == ()


def test_pool_gets_its_machines_back_before_the_expected_turn():
    """Machines that come 1.5 s after a turn that repeats has begun."""
    state = PoolSizingState(burst_starts_ms={"a": [0, 18_000]})
    home = dict.fromkeys(("a0", "a1", "a2", "a3"), "a")
    state.home_pool_by_machine.update(home)
    machines = [make_machine(f"a{i}", "a") for i in range(3)]
    machines.append(make_machine("a3", "spare"))
    assert decide(state, machines, {"a": CALM}, 30_000).moves == ()
    expected_ms = 36_000 - BURST_LEAD_MS
    assert decide(state, machines, {"a": CALM}, expected_ms).moves == (("a3", "a"),)


def test_pool_that_lost_machines_gets_others():
    """A pool at rest whose rack went dark stays at a quarter of its size."""
    state = PoolSizingState(home_pool_by_machine={f"a{i}": "a" for i in range(8)})
    machines = [make_machine(f"a{i}", "a") for i in range(4)]
    machines += [make_machine(f"s{i}", "spare") for i in range(3)]
    moves = decide(state, machines, {"a": CALM}, 0).moves
    assert [pool for _, pool in moves] == ["a", "a"]

"""Moves of machines when queues have their turns, decided without input or output."""

from cranberrywheel.submission.machines import Machine, MachineState
from cranberrywheel.submission.pool_sizes import (
    RETURN_AFTER_MS,
    PoolDemand,
    PoolState,
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
    demand = {"a": PoolDemand(4_000, 2_500, 4_000, 1_000)}
    decision = decide(PoolState(), machines, demand, 0)
    assert [pool for _, pool in decision.moves] == ["a"] * 3


def test_machines_on_their_way_are_counted():
    """Each look at the machines ordered as many again."""
    machines = [make_machine(f"s{i}", "spare") for i in range(4)]
    demand = {"a": PoolDemand(4_000, 2_500, 4_000, 1_000)}
    state = PoolState()
    decide(state, machines, demand, 0)
    assert decide(state, machines, demand, 400).moves == ()


def test_lent_machines_go_back_after_the_turn_once_they_are_empty():
    """Machines that stay, and are paid for, after the turn is over; or that leave
    while tasks run on them."""
    state = PoolState(home_by_machine={"s0": "spare"})
    machines = [make_machine("s0", "a")]
    calm = {"a": PoolDemand(100, 0, 4_000, 1_000)}
    assert decide(state, machines, calm, 0).moves == ()
    later = RETURN_AFTER_MS + 1
    busy = decide(state, machines, calm, later, empty=False)
    assert busy.moves == () and busy.empty == ("s0",)
    assert decide(state, machines, calm, later + 400).moves == (("s0", "spare"),)


def test_lent_machine_goes_straight_to_the_next_turn():
    """A detour over the standby pool costs two moves and three seconds."""
    state = PoolState(home_by_machine={"s0": "spare"}, returning={"s0"})
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
    assert decide(PoolState(), machines, demand, 0, reserved={"s0"}).moves == ()


def test_short_gap_in_a_turn_returns_nothing():
    """Machines that go back and forth within one turn."""
    state = PoolState(home_by_machine={"s0": "spare"})
    machines = [make_machine("s0", "a")]
    calm = {"a": PoolDemand(100, 0, 4_000, 1_000)}
    decide(state, machines, calm, 0)
    decide(state, machines, {"a": PoolDemand(4_000, 0, 4_000, 1_000)}, 400)
    assert decide(state, machines, calm, RETURN_AFTER_MS + 100).empty == ()

"""Order and completion of a maintenance wave, decided without I/O."""

import types

from cranberrywheel.submission.machines import (
    Machine,
    MachineOrderVerdict,
    MachineState,
    Wave,
)
from cranberrywheel.submission.maintenance import (
    REMOVED_AFTER_MS,
    WaveState,
    choose_machines_to_drain,
)
from cranberrywheel.submission.model import NO_RESOURCES

MAINTENANCE_MS = 2_000


def make_machines(*rows):
    return {
        name: Machine(name, pool, state, "z", f"i-{name}") for name, pool, state in rows
    }


def make_state(*machines, at_once=8, duration_ms=26_000):
    return WaveState(Wave(1, machines, duration_ms, at_once), 0)


def choose(state, machines, pressure, now_ms=0):
    return choose_machines_to_drain(
        state, machines, {}, pressure, MAINTENANCE_MS, now_ms
    )


def test_idle_pool_is_drained_before_a_busy_one():
    """Guards against a wave that takes machines from a pool during its queue's burst.

    The worst time windows scored 0.22 when that happened.
    """
    up = MachineState.UP
    machines = make_machines(("a1", "a", up), ("b1", "b", up), ("b2", "b", up))
    state = make_state("a1", "b1", "b2")
    assert choose(state, machines, {"a": 1.4, "b": 0.1}) == ["b1", "b2"]


def test_busy_pool_is_drained_when_time_runs_short():
    """Guards against a wave that never finishes because a pool is never idle."""
    machines = make_machines(("a1", "a", MachineState.UP))
    state = make_state("a1")
    assert choose(state, machines, {"a": 1.4}) == []
    assert choose(state, machines, {"a": 1.4}, now_ms=19_000) == ["a1"]


def test_busy_pool_is_drained_when_the_limit_of_the_wave_leaves_no_time():
    """Guards against a wave that waits for idle pools and misses its time.

    One after the other, the maintenance of twelve machines takes more than 26 s.
    """
    machines = make_machines(
        *((f"a{i}", "a", MachineState.UP) for i in range(6)),
        *((f"b{i}", "b", MachineState.UP) for i in range(6)),
    )
    state = make_state(*machines, at_once=1)
    assert choose(state, machines, {"a": 1.4, "b": 1.4})
    assert (
        choose(make_state(*machines, at_once=6), machines, {"a": 1.4, "b": 1.4}) == []
    )


def test_wave_that_is_short_of_time_drains_one_machine_ahead():
    """Guards against a drain that begins only when the machine before it is up."""
    machines = make_machines(
        *((f"a{i}", "a", MachineState.UP) for i in range(12)),
        ("down", "a", MachineState.MAINTENANCE),
    )
    state = make_state(*machines, at_once=1)
    assert len(choose(state, machines, {})) == 1
    state.draining_since_ms["a0"] = 0
    assert choose(state, machines, {}) == []
    assert (
        choose(make_state(*machines, at_once=1, duration_ms=260_000), machines, {})
        == []
    )


def test_unavailable_machines_stay_within_the_wave_limit():
    """Guards against more machines down at once than the wave allows."""
    rows = [(f"p{i}", f"pool{i}", MachineState.UP) for i in range(6)]
    machines = make_machines(*rows, ("d", "pool9", MachineState.MAINTENANCE))
    state = make_state(*machines, at_once=3)
    state.begun.add("d")
    state.draining_since_ms["p0"] = 0
    assert len(choose(state, machines, {})) == 1


def test_machine_that_the_list_still_shows_as_up_counts_against_its_pool():
    """Guards against three machines of a pool that are down, where two may be.

    The reading of the list is older than the order for the first.
    """
    machines = make_machines(*((f"a{i}", "a", MachineState.UP) for i in range(8)))
    state = make_state(*machines, at_once=4, duration_ms=260_000)
    assert len(choose(state, machines, {})) == 2
    state.orders.note_sent("a0", 0)
    state.orders.note_answer("a0", MachineOrderVerdict.OK, 7, 10)
    assert len(choose(state, machines, {}, now_ms=20)) == 1


def test_machine_of_another_wave_counts_against_its_pool():
    """Guards against two waves that each take what one of them may take."""
    machines = make_machines(*((f"a{i}", "a", MachineState.UP) for i in range(8)))
    first = make_state("a0", "a1", "a2", "a3", duration_ms=260_000)
    first.draining_since_ms = {"a0": 0, "a1": 0}
    second = make_state("a4", "a5", "a6", "a7", duration_ms=260_000)
    chosen = choose_machines_to_drain(
        second, machines, {}, {}, MAINTENANCE_MS, 0, others=[first]
    )
    assert chosen == []


def test_machine_that_moves_to_another_pool_is_not_drained():
    """Guards against a slot for a machine whose order can only be refused."""
    machines = make_machines(("a0", "a", MachineState.UP), ("a1", "a", MachineState.UP))
    state = make_state("a0", "a1", at_once=1)
    chosen = choose_machines_to_drain(
        state, machines, {}, {}, MAINTENANCE_MS, 0, is_moving=lambda name: name == "a0"
    )
    assert chosen == ["a1"]


def test_empty_machine_of_an_evacuated_zone_is_drained_first():
    """Guards against a wave that takes usable machines while others serve nobody."""
    up = MachineState.UP
    machines = make_machines(*((f"a{i}", "a", up) for i in range(4)))
    state = make_state(*machines, at_once=1)
    executors = {
        name: types.SimpleNamespace(used=NO_RESOURCES, evacuated=name == "a2")
        for name in machines
    }
    chosen = choose_machines_to_drain(state, machines, executors, {}, 2_000, 0)
    assert chosen == ["a2"]


def test_wave_completes_without_a_removed_machine():
    """Guards against a wave that never completes once a machine was removed."""
    state = make_state("a1", "a2")
    state.begun.add("a1")
    state.update_presence({"a1"}, 0)
    assert not state.is_finished(REMOVED_AFTER_MS - 1)
    assert state.is_finished(REMOVED_AFTER_MS)


def test_wave_waits_for_a_machine_that_is_down():
    """Guards against a wave that completes before a listed machine is maintained."""
    state = make_state("a1", "a2")
    state.begun.add("a1")
    state.update_presence({"a1", "a2"}, 0)
    assert not state.is_finished(60_000)

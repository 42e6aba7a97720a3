"""Order and end of a wave of upkeep."""

from cranberrywheel.submission.machines import Machine, MachineState, Wave
from cranberrywheel.submission.maintenance import (
    REMOVED_AFTER_MS,
    WaveState,
    choose_machines_to_drain,
)

UPKEEP_MS = 2_000


def make_machines(*rows):
    return {
        name: Machine(name, pool, state, "z", f"i-{name}") for name, pool, state in rows
    }


def make_state(*machines, at_once=8, duration_ms=26_000):
    return WaveState(Wave(1, machines, duration_ms, at_once), 0)


def choose(state, machines, pressure, now_ms=0):
    return choose_machines_to_drain(state, machines, {}, pressure, UPKEEP_MS, now_ms)


def test_pool_at_rest_goes_before_the_busy_one():
    """A wave that takes machines out of a pool in its queue's turn (worst windows
    0.22 on mlr-clyde scale-1)."""
    up = MachineState.UP
    machines = make_machines(("a1", "a", up), ("b1", "b", up), ("b2", "b", up))
    state = make_state("a1", "b1", "b2")
    assert choose(state, machines, {"a": 1.4, "b": 0.1}) == ["b1", "b2"]


def test_busy_pool_gives_machines_when_time_runs_out():
    """A wave that is never finished because a pool never rests."""
    machines = make_machines(("a1", "a", MachineState.UP))
    state = make_state("a1")
    assert choose(state, machines, {"a": 1.4}) == []
    assert choose(state, machines, {"a": 1.4}, now_ms=19_000) == ["a1"]


def test_no_more_machines_than_allowed_are_away():
    """More machines down for one wave than its limit."""
    rows = [(f"p{i}", f"pool{i}", MachineState.UP) for i in range(6)]
    machines = make_machines(*rows, ("d", "pool9", MachineState.MAINTENANCE))
    state = make_state(*machines, at_once=3)
    state.begun.add("d")
    state.draining_since_ms["p0"] = 0
    assert len(choose(state, machines, {})) == 1


def test_wave_is_completed_without_a_machine_that_has_left():
    """A wave that was never said to be done because a machine of it was lost for
    good (recorded day inc-d84e of mlr-clyde)."""
    state = make_state("a1", "a2")
    state.begun.add("a1")
    state.update_presence({"a1"}, 0)
    assert not state.is_finished(REMOVED_AFTER_MS - 1)
    assert state.is_finished(REMOVED_AFTER_MS)


def test_wave_waits_for_a_machine_that_is_down():
    """A wave said to be done while a machine that stays has had no upkeep."""
    state = make_state("a1", "a2")
    state.begun.add("a1")
    state.update_presence({"a1", "a2"}, 0)
    assert not state.is_finished(60_000)

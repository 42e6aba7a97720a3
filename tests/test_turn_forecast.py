"""Forecast of the queues' turns from their arrivals, without I/O."""

import random

import pytest

from cranberrywheel.submission.turn_forecast import (
    GRACE_MS,
    ArrivalLoad,
    TurnForecastState,
    get_forecast,
    observe,
)

POOLS = ("a", "b", "c", "d")
TURN_MS = 4_500
ROUND_MS = TURN_MS * len(POOLS)
OWN_CPU = 1_000_000
STEP_MS = 400


def build_load(since_ms, now_ms):
    """Build the load of a pool whose turn began at a time, or ``None`` for no turn."""
    if since_ms is None:
        return ArrivalLoad(10_000, 0, 0, now_ms, 10_000, 0, OWN_CPU)
    cpu = 1_400_000
    return ArrivalLoad(cpu, cpu, cpu, max(since_ms, now_ms - 900), cpu, 0, OWN_CPU)


def run_turns(state, begin_ms, end_ms, get_turn):
    """Observe turns until a time.

    :param get_turn: returns the pool that has its turn and the start of the turn.
    """
    for now_ms in range(begin_ms, end_ms, STEP_MS):
        turn_pool, since_ms = get_turn(now_ms)
        loads = {
            pool: build_load(since_ms if pool == turn_pool else None, now_ms)
            for pool in POOLS
        }
        observe(state, loads, now_ms)


def get_regular_turn(now_ms):
    number = (now_ms - 2_000) // TURN_MS
    if number < 0:
        return None, None
    return POOLS[number % len(POOLS)], 2_000 + number * TURN_MS


def test_first_round_already_tells_when_the_next_turns_begin():
    """Guards against a forecast that a day with two rounds never gets to use."""
    state = TurnForecastState()
    run_turns(state, 0, 2_000 + 3 * TURN_MS, get_regular_turn)
    forecast = get_forecast(state, "a", 2_000 + 3 * TURN_MS)
    assert forecast is not None and not forecast.confirmed
    assert abs(forecast.start_ms - (2_000 + ROUND_MS)) <= STEP_MS
    assert get_forecast(state, "d", 2_000 + 3 * TURN_MS) is None


def test_repeated_round_confirms_the_forecast_of_every_queue():
    """Guards against a queue that must itself repeat before its pool is prepared."""
    state = TurnForecastState()
    now_ms = 2_000 + ROUND_MS + 3_000
    run_turns(state, 0, now_ms, get_regular_turn)
    for number, pool in enumerate(POOLS[1:], 1):
        forecast = get_forecast(state, pool, now_ms)
        assert forecast is not None and forecast.confirmed
        expected_ms = 2_000 + ROUND_MS + number * TURN_MS
        assert abs(forecast.start_ms - expected_ms) <= STEP_MS
        assert forecast.cpu >= 1_000_000


@pytest.mark.parametrize("seed", range(5))
def test_uncertainty_covers_turns_that_begin_irregularly(seed):
    """Guards against machines that come late because a turn began a little early."""
    rng = random.Random(seed)
    print("seed", seed)
    starts_ms = [2_000 + n * TURN_MS + rng.randint(-300, 300) for n in range(16)]

    def get_turn(now_ms):
        begun = [n for n, start_ms in enumerate(starts_ms) if start_ms <= now_ms]
        if not begun:
            return None, None
        return POOLS[begun[-1] % 4], starts_ms[begun[-1]]

    state = TurnForecastState()
    run_turns(state, 0, starts_ms[12] - STEP_MS, get_turn)
    now_ms = starts_ms[12] - STEP_MS
    for number in (13, 14, 15):
        forecast = get_forecast(state, POOLS[number % 4], now_ms)
        assert forecast is not None
        off_ms = abs(forecast.start_ms - starts_ms[number])
        assert off_ms <= forecast.error_ms + GRACE_MS
    assert state.failure_count == 0


def test_turns_that_stop_end_the_forecast_after_two_failures():
    """Guards against machines that are borrowed for bursts which no longer come."""
    state = TurnForecastState()
    stop_ms = 2_000 + 2 * ROUND_MS
    run_turns(state, 0, stop_ms, get_regular_turn)
    assert all(get_forecast(state, pool, stop_ms) for pool in POOLS)
    run_turns(state, stop_ms, stop_ms + 2 * ROUND_MS + 4_000, lambda now_ms: (None, 0))
    end_ms = stop_ms + 2 * ROUND_MS + 4_000
    assert [get_forecast(state, pool, end_ms) for pool in POOLS] == [None] * 4
    assert state.failure_count == 2


def test_turns_in_another_order_end_the_forecast_until_they_repeat():
    """Guards against pools that stay small at the time of their turns because an
    earlier order of the turns is still believed."""
    state = TurnForecastState()
    change_ms = 2_000 + 2 * ROUND_MS
    run_turns(state, 0, change_ms, get_regular_turn)

    def get_reversed_turn(now_ms):
        pool, since_ms = get_regular_turn(now_ms)
        return POOLS[3 - POOLS.index(pool)], since_ms

    run_turns(state, change_ms, change_ms + 2 * ROUND_MS, get_reversed_turn)
    now_ms = change_ms + 2 * ROUND_MS
    for pool in POOLS:
        forecast = get_forecast(state, pool, now_ms)
        assert forecast is None
    end_ms = change_ms + 7 * ROUND_MS
    run_turns(state, now_ms, end_ms, get_reversed_turn)
    for number, pool in enumerate(reversed(POOLS)):
        forecast = get_forecast(state, pool, end_ms - STEP_MS)
        assert forecast is not None
        expected_ms = end_ms + number * TURN_MS
        assert abs(forecast.start_ms - expected_ms) <= GRACE_MS


def test_turn_under_way_at_a_takeover_does_not_count_as_a_start():
    """Guards against a round that a new leader measures from its own takeover."""
    state = TurnForecastState()
    takeover_ms = 2_000 + 2_800  # in the turn of "a"
    run_turns(state, takeover_ms, 2_000 + 2 * TURN_MS + 2_000, get_regular_turn)
    assert get_forecast(state, "a", 2_000 + 2 * TURN_MS + 2_000) is None
    forecast = get_forecast(state, "b", 2_000 + 2 * TURN_MS + 2_000)
    assert forecast is not None
    assert abs(forecast.start_ms - (2_000 + ROUND_MS + TURN_MS)) <= STEP_MS


def test_large_submissions_at_once_are_no_turn():
    """Guards against a round that is learned from a second of chance."""
    state = TurnForecastState()

    def get_blip(now_ms):
        return ("a", 4_000) if 4_000 <= now_ms < 5_000 else (None, None)

    run_turns(state, 0, 8_000, get_blip)
    assert state.last_turn is None


def test_turns_that_passed_unseen_are_no_failures():
    """Guards against forecasts that are abandoned because a takeover or an outage of
    the list of machines hid the turns."""
    state = TurnForecastState()
    gap_begin_ms = 2_000 + 6 * TURN_MS
    run_turns(state, 0, gap_begin_ms, get_regular_turn)
    after_ms = gap_begin_ms + ROUND_MS + GRACE_MS
    run_turns(state, after_ms, after_ms + 2 * STEP_MS, get_regular_turn)
    assert state.failure_count == 0
    assert get_forecast(state, "a", after_ms + 2 * STEP_MS) is not None

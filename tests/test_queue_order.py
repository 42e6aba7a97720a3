"""Order of waiting work in a turn that asks for more than the pool holds."""

import random

import pytest
from leader_harness import LeaderHarness, make_step, make_submission

from cranberrywheel.submission import scheduling_pass
from cranberrywheel.submission.live import LiveSubmission
from cranberrywheel.submission.model import Queue, SubmissionState
from cranberrywheel.submission.queue_order import (
    LATE,
    LONG_RUNNING,
    ON_TIME,
    scheduling_key,
)
from cranberrywheel.submission.queue_order import remaining_work as remaining

QUEUE = Queue("q", "h", "/", "s", objective_factor=1.6, objective_ms=600)


def make_live(*steps, accepted_ms=0):
    live = LiveSubmission(
        make_submission("s", *steps, accepted_ms=accepted_ms), QUEUE, False
    )
    live.begin_occurrence()
    return live


def key(live, unix_ms):
    return scheduling_key(live, remaining(live, 1.0), unix_ms)


def test_work_that_can_meet_its_goal_goes_before_work_that_is_late():
    """Late work that takes the capacity of work which could still be in time."""
    late, fresh = make_live(make_step(1)), make_live(make_step(9), accepted_ms=4_000)
    assert key(late, 5_000)[0] == LATE and key(fresh, 5_000)[0] == ON_TIME
    assert key(fresh, 5_000) < key(late, 5_000)


def test_least_remaining_work_goes_first():
    """One wide submission that makes many small ones late."""
    assert key(make_live(make_step(2)), 0) < key(make_live(make_step(20)), 0)


def test_lasting_work_goes_first():
    """Lasting tasks that wait through a whole turn."""
    long_running = make_live(make_step(5, long_running=True))
    assert key(long_running, 0)[0] == LONG_RUNNING


def test_done_tasks_count_for_the_chain_but_not_for_what_remains():
    """A submission near its end that is taken for a long one."""
    live = make_live(make_step(1), make_step(1, after=(0,)))
    live.step_runs[0, 0].mark_done(live.step_runs[0, 0].tasks[0])
    left = remaining(live, 1.0)
    assert (left.critical_path_ms, left.total_critical_path_ms, left.core_ms) == (
        1_000,
        2_000,
        1_000,
    )


def play_turn(monkeypatch, seed, key_of):
    """Play a turn of 4.5 s that asks for 1.5 times the pool.

    :returns: share of the submissions that met their goal.
    """
    monkeypatch.setattr(scheduling_pass, "scheduling_key", key_of)
    harness = LeaderHarness(monkeypatch)
    for index in range(4):
        harness.fleet.add(f"x{index}", "pool", cpu=8_000)
    harness.lead()
    harness.run_for(300)
    rng = random.Random(seed)
    arrivals = sorted(rng.uniform(0, 4_500) for _ in range(36))
    accepted: dict[str, int] = {}
    begin = harness.loop.clock.now_ms()
    for number, at_ms in enumerate(arrivals):
        harness.run_for(max(0, begin + int(at_ms) - harness.loop.clock.now_ms()))
        count = rng.choice((2, 4, 6, 12))
        name = f"s{number}"
        accepted[name] = harness.loop.clock.now_ms()
        submission = make_submission(
            name, make_step(count), accepted_ms=harness.unix_ms()
        )
        harness.submit(submission, rng.randint(700, 1_300))
    harness.run_for(15_000)
    assert all(
        harness.scheduler.state_of(n) is SubmissionState.COMPLETED for n in accepted
    )
    assert harness.fleet.rejections == 0
    ended: dict[str, int] = {}
    for task, ended_ms in harness.fleet.done_ms_by_task.items():
        name = task.partition(".")[0]
        ended[name] = max(ended_ms, ended.get(name, 0))
    objective_ms = 1.6 * 1_000 + 600
    return sum(ended[n] - at <= objective_ms for n, at in accepted.items()) / len(
        accepted
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_turn_above_the_pool_serves_more_in_time_than_first_come(monkeypatch, seed):
    """An order that leaves most of a turn late, or loses accepted work. First come,
    first served meets 0.31, 0.28 and 0.58 of the goals on these seeds, the order in
    force 0.75, 0.83 and 0.83."""
    in_force = play_turn(monkeypatch, seed, scheduling_key)
    first_come = play_turn(
        monkeypatch,
        seed,
        lambda live, remaining, unix_ms: (0, 0, live.submission.accepted_ms),
    )
    assert in_force >= 1.2 * first_come

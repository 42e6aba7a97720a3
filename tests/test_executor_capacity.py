"""Starts on executors that do not guard their capacity."""

import pytest
from leader_harness import LeaderHarness, make_step, make_submission

from cranberrywheel.submission.model import SubmissionState


@pytest.fixture
def harness(monkeypatch):
    """A leader with two executors that start whatever they are told to start."""
    harness = LeaderHarness(monkeypatch)
    for number in range(2):
        harness.fleet.add(f"x{number}", "pool", cpu=4_000).guards = False
    harness.start_leader()
    harness.run_for(300)
    return harness


def submit(harness, submission_id, count=4, duration_ms=500, cpu=1_000, **fields):
    harness.submit(
        make_submission(submission_id, make_step(count, cpu=cpu, **fields)),
        duration_ms,
        long_running=fields.get("long_running", False),
    )


def count_running(harness):
    return {
        executor.entry.id: len(executor.runs)
        for executor in harness.fleet.executors_by_id.values()
    }


def test_capacity_that_shrinks_and_grows_again_is_followed(harness):
    """Guards against starts beyond a capacity that has shrunk, and against capacity
    that stays unused once it has grown again."""
    for number in range(6):
        submit(harness, f"s{number}")
    harness.run_for(100)
    for executor in harness.fleet.executors_by_id.values():
        executor.set_capacity(2_000)
    harness.run_for(700)
    assert set(count_running(harness).values()) == {2}
    for executor in harness.fleet.executors_by_id.values():
        executor.set_capacity(6_000)
    harness.run_for(100)
    assert max(count_running(harness).values()) > 4
    harness.run_for(5_000)
    states = {harness.scheduler.get_state(f"s{number}") for number in range(6)}
    assert states == {SubmissionState.COMPLETED}
    assert harness.fleet.violations == []


@pytest.mark.parametrize("offset_ms", range(0, 1_000, 130))
def test_runs_that_are_being_stopped_still_count(harness, offset_ms):
    """Guards against a start beyond the capacity while a stop takes its time."""
    submit(harness, "a", count=8, duration_ms=5_000)
    harness.run_for(200)
    for number in range(4):
        submit(harness, f"s{number}")
    harness.run_for(offset_ms)
    harness.cancel("a")
    harness.run_for(6_000)
    states = {harness.scheduler.get_state(f"s{number}") for number in range(4)}
    assert states == {SubmissionState.COMPLETED}
    assert harness.fleet.violations == []


@pytest.mark.parametrize("planned", [False, True])
@pytest.mark.parametrize("delay_ms", range(0, 130, 10))
def test_stops_of_an_earlier_leader_still_count(harness, delay_ms, planned):
    """Guards against a new leader that takes the capacity of runs being stopped.

    It does not track them if their submission has ended.
    """
    harness.fleet.stop_duration_ms = 400
    submit(harness, "a", count=8, duration_ms=5_000)
    harness.run_for(200)
    harness.cancel("a")
    for number in range(4):
        submit(harness, f"s{number}")
    harness.run_for(delay_ms)
    if planned:
        harness.hand_over()
    else:
        harness.start_leader()
    harness.run_for(12_000)
    states = {harness.scheduler.get_state(f"s{number}") for number in range(4)}
    assert states == {SubmissionState.COMPLETED}
    assert harness.fleet.violations == []


@pytest.mark.parametrize("seed", range(6))
def test_starts_that_are_carried_out_late_still_count(monkeypatch, seed):
    """Guards against a start beyond the capacity after one that got no answer."""
    harness = LeaderHarness(monkeypatch, seed)
    for number in range(3):
        executor = harness.fleet.add(f"x{number}", "pool", cpu=4_000)
        executor.guards = False
        executor.unanswered_start_share = 0.2
    harness.start_leader()
    for number in range(10):
        submit(harness, f"s{number}", count=3, duration_ms=700)
        harness.run_for(200)
    harness.run_for(30_000)
    states = {harness.scheduler.get_state(f"s{number}") for number in range(10)}
    assert states == {SubmissionState.COMPLETED}
    assert harness.fleet.violations == []

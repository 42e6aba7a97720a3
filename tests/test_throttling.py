"""Pace of filling tasks beside serving ones, decided without input or output."""

from leader_harness import make_step, make_submission

from cranberrywheel.submission.actions import ThrottleRun
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import ExecutorEntry
from cranberrywheel.submission.live import LiveSubmission, Run, RunState
from cranberrywheel.submission.model import Queue, Resources
from cranberrywheel.submission.throttling import (
    MIN_CHANGE_INTERVAL_MS,
    OVER_TARGET_DELAY_MS,
    decide_throttling,
)


def make_executor():
    """An executor with one serving and one filling run."""
    entry = ExecutorEntry(
        "a", "s", "a", "z", False, Resources(8_000, 8_000, 0), frozenset(), "", "m", 1
    )
    executor = Executor(entry, True, 0)
    serving = make_step(1, long_running=True, target_ms=100)
    filling = make_step(1, long_running=True, fills=True)
    submission = make_submission("s1", serving, filling)
    live = LiveSubmission(submission, Queue("q", "h", "/", "s"), False)
    live.begin_occurrence()
    runs = []
    for number in (0, 1):
        run = Run(live.step_runs[0, number].tasks[0], 1, "a", 0)
        run.state = RunState.RUNNING
        executor.add_run(run)
        runs.append(run)
    return executor, *runs


def paces(actions):
    return [action.percent for action in actions if isinstance(action, ThrottleRun)]


def test_filling_task_is_slowed_when_the_serving_one_is_over_its_target():
    """A serving task that is harmed for seconds by what fills beside it."""
    executor, serving, _ = make_executor()
    serving.load = 150
    assert paces(decide_throttling([executor], 5_000)) == []
    assert paces(decide_throttling([executor], 5_000 + OVER_TARGET_DELAY_MS)) == [40]
    later = 5_000 + OVER_TARGET_DELAY_MS + MIN_CHANGE_INTERVAL_MS
    assert paces(decide_throttling([executor], later)) == [0]


def test_short_peak_changes_nothing():
    """A pace that follows every single reading."""
    executor, serving, _ = make_executor()
    serving.load = 150
    decide_throttling([executor], 5_000)
    serving.load = 80
    assert paces(decide_throttling([executor], 5_000 + OVER_TARGET_DELAY_MS)) == []


def test_pace_is_raised_again_in_steps():
    """A filling task that stays paused when the load is gone."""
    executor, serving, filling = make_executor()
    filling.speed_percent, serving.load = 0, 20
    assert paces(decide_throttling([executor], 5_000)) == [25]
    assert paces(decide_throttling([executor], 5_000 + MIN_CHANGE_INTERVAL_MS)) == [50]


def test_filling_task_alone_runs_at_full_pace():
    """A pace that outlives the serving task it was set for."""
    executor, serving, filling = make_executor()
    executor.remove_run(serving)
    filling.speed_percent = 0
    assert paces(decide_throttling([executor], 5_000)) == [100]

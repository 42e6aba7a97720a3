"""Throttling of background tasks beside latency-sensitive ones, without I/O."""

from leader_harness import make_step, make_submission

from cranberrywheel.submission.actions import ThrottleRun
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import ExecutorEntry
from cranberrywheel.submission.live import LiveSubmission, Run, RunState
from cranberrywheel.submission.model import Queue, Resources
from cranberrywheel.submission.throttling import (
    MIN_CHANGE_INTERVAL_MS,
    OVER_LIMIT_DELAY_MS,
    decide_throttling,
)


def make_executor():
    """Build an executor with one latency-sensitive and one background run."""
    entry = ExecutorEntry(
        "a", "s", "a", "z", False, Resources(8_000, 8_000, 0), frozenset(), "", "m", 1
    )
    executor = Executor(entry, True, 0)
    sensitive = make_step(1, long_running=True, target_ms=100)
    background = make_step(1, long_running=True, fills=True)
    submission = make_submission("s1", sensitive, background)
    live = LiveSubmission(submission, Queue("q", "h", "/", "s"), False)
    live.begin_occurrence()
    runs = []
    for number in (0, 1):
        run = Run(live.step_runs[0, number].tasks[0], 1, "a", 0)
        run.state = RunState.RUNNING
        executor.add_run(run)
        runs.append(run)
    return executor, *runs


def speeds(actions):
    return [action.percent for action in actions if isinstance(action, ThrottleRun)]


def test_background_run_is_throttled_while_latency_is_over_its_limit():
    """Guards against a latency-sensitive task that stays over its limit for seconds
    because of a background task on the same executor."""
    executor, sensitive, _ = make_executor()
    sensitive.load = 150
    assert speeds(decide_throttling([executor], 5_000)) == []
    assert speeds(decide_throttling([executor], 5_000 + OVER_LIMIT_DELAY_MS)) == [40]
    later = 5_000 + OVER_LIMIT_DELAY_MS + MIN_CHANGE_INTERVAL_MS
    assert speeds(decide_throttling([executor], later)) == [0]


def test_short_latency_peak_does_not_throttle():
    """Guards against a speed that changes with every single latency reading."""
    executor, sensitive, _ = make_executor()
    sensitive.load = 150
    decide_throttling([executor], 5_000)
    sensitive.load = 80
    assert speeds(decide_throttling([executor], 5_000 + OVER_LIMIT_DELAY_MS)) == []


def test_speed_is_raised_in_steps_once_latency_is_low():
    """Guards against a background task that stays paused after the load is gone."""
    executor, sensitive, background = make_executor()
    background.speed_percent, sensitive.load = 0, 20
    assert speeds(decide_throttling([executor], 5_000)) == [25]
    assert speeds(decide_throttling([executor], 5_000 + MIN_CHANGE_INTERVAL_MS)) == [50]


def test_background_run_alone_gets_full_speed():
    """Guards against a throttle that outlasts the latency-sensitive task."""
    executor, sensitive, background = make_executor()
    executor.remove_run(sensitive)
    background.speed_percent = 0
    assert speeds(decide_throttling([executor], 5_000)) == [100]

"""Throttling of background tasks that share executors with latency-sensitive ones.

Load pattern: the tail latency of a latency-sensitive task exceeds its limit because
background tasks use the spare cpu of its executor; this interference changes within
seconds.
"""

import typing as t

from cranberrywheel.submission import actions
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import Run, RunState

#: Time over the latency limit after which background tasks are throttled; well below
#: the time after which the task counts as degraded.
OVER_LIMIT_DELAY_MS = 400
#: Shortest time between two speed changes of one run, so that the next decision sees
#: the effect of the last.
MIN_CHANGE_INTERVAL_MS = 1_200
#: Speed after the first reduction, in percent; the second reduction pauses the task.
THROTTLED_PERCENT = 40
#: Fraction of the latency limit below which the speed is raised again.
RAISE_THRESHOLD = 0.7
#: Percentage points that one raise adds to the speed.
RAISE_STEP_PERCENT = 25


def decide_throttling(
    executors: t.Iterable[Executor], now_ms: int
) -> list[actions.Action]:
    """Decide which background runs change their speed.

    A run that shares its executor with no latency-sensitive run gets its full speed.

    :param now_ms: steady time in milliseconds.
    """
    changes: list[actions.Action] = []
    for executor in executors:
        if not executor.background_count or not executor.latency_sensitive_count:
            if executor.background_count:
                changes.extend(_set_all_speeds(executor, 100, now_ms))
            continue
        highest_ratio = 0.0
        over_limit = False
        for run in executor.runs.values():
            limit_ms = run.task.step_run.step.target_ms
            if not limit_ms or run.state is not RunState.RUNNING:
                continue
            load_ratio = run.load / limit_ms
            highest_ratio = max(highest_ratio, load_ratio)
            if load_ratio > 1:
                run.over_limit_since_ms = run.over_limit_since_ms or now_ms
                over_limit = (
                    over_limit
                    or now_ms - run.over_limit_since_ms >= OVER_LIMIT_DELAY_MS
                )
            else:
                run.over_limit_since_ms = 0
        if over_limit:
            changes.extend(_lower_speeds(executor, now_ms))
        elif highest_ratio < RAISE_THRESHOLD:
            changes.extend(_raise_speeds(executor, now_ms))
    return changes


def _list_background_runs(executor: Executor) -> list[Run]:
    return [
        run
        for run in executor.runs.values()
        if run.task.step_run.step.fills and run.state is RunState.RUNNING
    ]


def _set_speed(run: Run, percent: int, now_ms: int) -> list[actions.Action]:
    if (
        percent == run.speed_percent
        or now_ms - run.speed_changed_ms < MIN_CHANGE_INTERVAL_MS
    ):
        return []
    run.speed_percent = percent
    run.speed_changed_ms = now_ms
    return [actions.ThrottleRun(run, percent)]


def _lower_speeds(executor: Executor, now_ms: int) -> list[actions.Action]:
    changes: list[actions.Action] = []
    for run in _list_background_runs(executor):
        percent = THROTTLED_PERCENT if run.speed_percent > THROTTLED_PERCENT else 0
        changes.extend(_set_speed(run, percent, now_ms))
    return changes


def _raise_speeds(executor: Executor, now_ms: int) -> list[actions.Action]:
    changes: list[actions.Action] = []
    for run in _list_background_runs(executor):
        changes.extend(
            _set_speed(run, min(100, run.speed_percent + RAISE_STEP_PERCENT), now_ms)
        )
    return changes


def _set_all_speeds(
    executor: Executor, percent: int, now_ms: int
) -> list[actions.Action]:
    changes: list[actions.Action] = []
    for run in _list_background_runs(executor):
        changes.extend(_set_speed(run, percent, now_ms))
    return changes

"""Pace of tasks that fill beside tasks that serve.

Load pattern: the tail of a serving task passes its target because of what fills the
rest of its executor; the disturbance changes within seconds.
"""

import typing as t

from cranberrywheel.submission import actions as a
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import Run, RunState

#: Time over the target after which the filling tasks are slowed; well below the time
#: after which the task counts as harmed.
OVER_TARGET_DELAY_MS = 400
#: Time between two changes of pace of one run, so that the effect is seen first.
MIN_CHANGE_INTERVAL_MS = 1_200
#: Pace after the first lowering, in percent; the second one pauses the task.
THROTTLED_PERCENT = 40
#: Share of the target under which the pace is raised again.
RAISE_THRESHOLD = 0.7
#: Pace after one raise, as a sum.
RAISE_STEP_PERCENT = 25


def decide_throttling(executors: t.Iterable[Executor], now_ms: int) -> list[a.Action]:
    """Return the changes of pace that are due."""
    actions: list[a.Action] = []
    for executor in executors:
        if not executor.filling_count or not executor.serving_count:
            if executor.filling_count:
                actions.extend(_set_all_speeds(executor, 100, now_ms))
            continue
        worst = 0.0
        over = False
        for run in executor.runs.values():
            target = run.task.step_run.step.target_ms
            if not target or run.state is not RunState.RUNNING:
                continue
            ratio = run.load / target
            worst = max(worst, ratio)
            if ratio > 1:
                run.over_target_since_ms = run.over_target_since_ms or now_ms
                over = over or now_ms - run.over_target_since_ms >= OVER_TARGET_DELAY_MS
            else:
                run.over_target_since_ms = 0
        if over:
            actions.extend(_lower_speeds(executor, now_ms))
        elif worst < RAISE_THRESHOLD:
            actions.extend(_raise_speeds(executor, now_ms))
    return actions


def _filling_runs(executor: Executor) -> list[Run]:
    return [
        run
        for run in executor.runs.values()
        if run.task.step_run.step.fills and run.state is RunState.RUNNING
    ]


def _set_speed(run: Run, percent: int, now_ms: int) -> list[a.Action]:
    if (
        percent == run.speed_percent
        or now_ms - run.speed_changed_ms < MIN_CHANGE_INTERVAL_MS
    ):
        return []
    run.speed_percent = percent
    run.speed_changed_ms = now_ms
    return [a.ThrottleRun(run, percent)]


def _lower_speeds(executor: Executor, now_ms: int) -> list[a.Action]:
    actions: list[a.Action] = []
    for run in _filling_runs(executor):
        percent = THROTTLED_PERCENT if run.speed_percent > THROTTLED_PERCENT else 0
        actions.extend(_set_speed(run, percent, now_ms))
    return actions


def _raise_speeds(executor: Executor, now_ms: int) -> list[a.Action]:
    actions: list[a.Action] = []
    for run in _filling_runs(executor):
        actions.extend(
            _set_speed(run, min(100, run.speed_percent + RAISE_STEP_PERCENT), now_ms)
        )
    return actions


def _set_all_speeds(executor: Executor, percent: int, now_ms: int) -> list[a.Action]:
    actions: list[a.Action] = []
    for run in _filling_runs(executor):
        actions.extend(_set_speed(run, percent, now_ms))
    return actions

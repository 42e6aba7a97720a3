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
PATIENCE_MS = 400
#: Time between two changes of pace of one run, so that the effect is seen first.
SETTLE_MS = 1_200
#: Pace after the first lowering, in percent; the second one pauses the task.
FIRST_PACE = 40
#: Share of the target under which the pace is raised again.
RAISE_BELOW = 0.7
#: Pace after one raise, as a sum.
RAISE_STEP = 25


def decide_pace(executors: t.Iterable[Executor], now_ms: int) -> list[a.Action]:
    """Return the changes of pace that are due."""
    actions: list[a.Action] = []
    for executor in executors:
        if not executor.filling or not executor.serving:
            if executor.filling:
                actions.extend(_set(executor, 100, now_ms))
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
                run.over_since_ms = run.over_since_ms or now_ms
                over = over or now_ms - run.over_since_ms >= PATIENCE_MS
            else:
                run.over_since_ms = 0
        if over:
            actions.extend(_lower(executor, now_ms))
        elif worst < RAISE_BELOW:
            actions.extend(_raise(executor, now_ms))
    return actions


def _filling_runs(executor: Executor) -> list[Run]:
    return [
        run
        for run in executor.runs.values()
        if run.task.step_run.step.fills and run.state is RunState.RUNNING
    ]


def _change(run: Run, percent: int, now_ms: int) -> list[a.Action]:
    if percent == run.paced or now_ms - run.paced_ms < SETTLE_MS:
        return []
    run.paced = percent
    run.paced_ms = now_ms
    return [a.PaceRun(run, percent)]


def _lower(executor: Executor, now_ms: int) -> list[a.Action]:
    actions: list[a.Action] = []
    for run in _filling_runs(executor):
        percent = FIRST_PACE if run.paced > FIRST_PACE else 0
        actions.extend(_change(run, percent, now_ms))
    return actions


def _raise(executor: Executor, now_ms: int) -> list[a.Action]:
    actions: list[a.Action] = []
    for run in _filling_runs(executor):
        actions.extend(_change(run, min(100, run.paced + RAISE_STEP), now_ms))
    return actions


def _set(executor: Executor, percent: int, now_ms: int) -> list[a.Action]:
    actions: list[a.Action] = []
    for run in _filling_runs(executor):
        actions.extend(_change(run, percent, now_ms))
    return actions

"""Throttling of background tasks that share executors with latency-sensitive ones.

Load pattern: the tail latency of a latency-sensitive task exceeds its limit because
background tasks use the spare cpu of its executor; this interference changes within
seconds.
"""

import math
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission import actions
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.interference import InterferenceEstimates
from cranberrywheel.submission.live import Run, RunState
from cranberrywheel.submission.pair_estimate import Verdict

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
#: Time over the latency limit after which all background tasks are paused, whatever is
#: known of them: when two reductions pause them at the earliest.
PAUSE_ALL_MS = OVER_LIMIT_DELAY_MS + MIN_CHANGE_INTERVAL_MS
#: Fraction of the latency limit up to which a task that is known to disturb may be
#: expected to raise the latency.
MAX_EXPECTED_RATIO = 0.9

_log = ComponentLogger("interference")


def decide_throttling(
    executors: t.Iterable[Executor],
    now_ms: int,
    interference: InterferenceEstimates | None = None,
) -> list[actions.Action]:
    """Decide which background runs change their speed.

    A run that shares its executor with no latency-sensitive run gets its full speed.

    :param now_ms: steady time in milliseconds.
    :param interference: known effects of images on each other, by which the run that
        disturbs is slowed first; ``None`` while that part is off.
    """
    changes: list[actions.Action] = []
    for executor in executors:
        if not executor.background_count or not executor.latency_sensitive_count:
            if executor.background_count:
                changes.extend(_set_all_speeds(executor, 100, now_ms))
            continue
        highest_ratio = 0.0
        over_limit: list[Run] = []
        for run in executor.runs.values():
            limit_ms = run.task.step_run.step.target_ms
            if not limit_ms or run.state is not RunState.RUNNING:
                continue
            load_ratio = run.load / limit_ms
            highest_ratio = max(highest_ratio, load_ratio)
            if load_ratio > 1:
                run.over_limit_since_ms = run.over_limit_since_ms or now_ms
                if now_ms - run.over_limit_since_ms >= OVER_LIMIT_DELAY_MS:
                    over_limit.append(run)
            else:
                run.over_limit_since_ms = 0
        if over_limit and interference is not None:
            changes.extend(
                _lower_disturbing_first(executor, over_limit, interference, now_ms)
            )
        elif over_limit:
            changes.extend(_lower_speeds(_list_background_runs(executor), now_ms))
        elif highest_ratio < RAISE_THRESHOLD:
            changes.extend(_raise_speeds(executor, now_ms, interference))
    return changes


def _list_background_runs(executor: Executor) -> list[Run]:
    return [
        run
        for run in executor.runs.values()
        if run.task.step_run.step.fills and run.state is RunState.RUNNING
    ]


def _set_speed(
    run: Run,
    percent: int,
    now_ms: int,
    min_interval_ms: int = MIN_CHANGE_INTERVAL_MS,
) -> list[actions.Action]:
    if percent == run.speed_percent or now_ms - run.speed_changed_ms < min_interval_ms:
        return []
    run.speed_percent = percent
    run.speed_changed_ms = now_ms
    return [actions.ThrottleRun(run, percent)]


def _lower_speeds(runs: t.Iterable[Run], now_ms: int) -> list[actions.Action]:
    changes: list[actions.Action] = []
    for run in runs:
        percent = THROTTLED_PERCENT if run.speed_percent > THROTTLED_PERCENT else 0
        changes.extend(_set_speed(run, percent, now_ms))
    return changes


def _lower_disturbing_first(
    executor: Executor,
    over_limit: t.Sequence[Run],
    interference: InterferenceEstimates,
    now_ms: int,
) -> list[actions.Action]:
    """Pause the runs that are known to disturb, and spare those known to be harmless.

    Without a known disturber that still works, all are slowed as without estimates.
    From :data:`PAUSE_ALL_MS` on all are paused, so that a wrong estimate never delays
    the end of the harm.

    :param over_limit: latency-sensitive runs over their limit.
    """
    background = _list_background_runs(executor)
    changes: list[actions.Action] = []
    longest_ms = max(now_ms - run.over_limit_since_ms for run in over_limit)
    if longest_ms >= PAUSE_ALL_MS:
        for run in background:
            changes.extend(_set_speed(run, 0, now_ms, min_interval_ms=0))
        return changes
    disturbing = [
        run
        for run in background
        if run.speed_percent
        and _find_disturbed(run, over_limit, interference, Verdict.DISTURBING)
    ]
    if not disturbing:
        return _lower_speeds(background, now_ms)
    spared = [
        run
        for run in background
        if run.speed_percent > THROTTLED_PERCENT
        and len(_find_disturbed(run, over_limit, interference, Verdict.HARMLESS))
        == len(over_limit)
    ]
    for run in disturbing:
        if change := _set_speed(run, 0, now_ms):
            changes.extend(change)
            _record_pause(run, over_limit, spared, interference)
    others = [run for run in background if run not in disturbing and run not in spared]
    return [*changes, *_lower_speeds(others, now_ms)]


def _find_disturbed(
    background_run: Run,
    sensitive_runs: t.Iterable[Run],
    interference: InterferenceEstimates,
    verdict: Verdict,
) -> list[Run]:
    """Return the latency-sensitive runs that form pairs with a verdict."""
    image = background_run.task.step_run.step.image
    return [
        run
        for run in sensitive_runs
        if interference.get_verdict(run.task.step_run.step.image, image) is verdict
    ]


def _record_pause(
    paused: Run,
    over_limit: t.Iterable[Run],
    spared: t.Iterable[Run],
    interference: InterferenceEstimates,
) -> None:
    """Count and log the pause of a run that is known to disturb."""
    disturbing = paused.task.step_run.step.image
    for run in over_limit:
        step = run.task.step_run.step
        for other in spared:
            pair = interference.find_pair(step.image, other.task.step_run.step.image)
            if pair is not None:
                pair.spared += 1
        pair = interference.find_pair(step.image, disturbing)
        if pair is None or pair.verdict is not Verdict.DISTURBING:
            continue
        pair.slowed += 1
        _log.event(
            "pausing the neighbour that disturbs",
            request=paused.task.name,
            run=paused.number,
            executor=paused.executor_id,
            disturbed=step.image,
            disturbing=disturbing,
            latency_ms=run.load,
            target_ms=step.target_ms,
            ratio=math.exp(pair.effect),
            confidence=pair.confidence,
        )


def _raise_speeds(
    executor: Executor, now_ms: int, interference: InterferenceEstimates | None
) -> list[actions.Action]:
    changes: list[actions.Action] = []
    for run in _list_background_runs(executor):
        percent = min(100, run.speed_percent + RAISE_STEP_PERCENT)
        if interference is None or _may_raise(run, percent, executor, interference):
            changes.extend(_set_speed(run, percent, now_ms))
    return changes


def _may_raise(
    run: Run, percent: int, executor: Executor, interference: InterferenceEstimates
) -> bool:
    """Tell whether no task that a run is known to disturb should exceed its limit."""
    sensitive = [
        other
        for other in executor.runs.values()
        if other.task.step_run.step.target_ms and other.state is RunState.RUNNING
    ]
    image = run.task.step_run.step.image
    for other in _find_disturbed(run, sensitive, interference, Verdict.DISTURBING):
        step = other.task.step_run.step
        pair = interference.find_pair(step.image, image)
        if pair is None:
            continue
        factor = math.exp(pair.effect * (percent - run.speed_percent) / 100)
        if other.load * factor > MAX_EXPECTED_RATIO * step.target_ms:
            return False
    return True


def _set_all_speeds(
    executor: Executor, percent: int, now_ms: int
) -> list[actions.Action]:
    changes: list[actions.Action] = []
    for run in _list_background_runs(executor):
        changes.extend(_set_speed(run, percent, now_ms))
    return changes

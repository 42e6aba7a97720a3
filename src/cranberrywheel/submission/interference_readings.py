"""Readings of tail latencies, taken from executors' reports.

Load pattern: polls are answered at each completion, reports are late, frozen, absurd or
false, and speeds of background runs change several times in a second.
"""

import math
import typing as t

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import RunningReport
from cranberrywheel.submission.interference import (
    MAX_READINGS,
    ExecutorView,
    InterferenceEstimates,
    RunKey,
    find_window,
)
from cranberrywheel.submission.live import Run, RunState
from cranberrywheel.submission.pair_regression import CROWDING, Reading

#: Shortest time between two readings of one executor. A reading covers half a second,
#: and polls are answered at each completion.
MIN_READING_INTERVAL_MS = 400
#: Time that a reading covers.
READING_MS = 500
#: Time after a change of the neighbours for which readings mix the old and the new
#: state; an executor needs some time to start and stop a run.
SETTLE_MS = 600
#: Multiple of its limit from which a latency is absurd.
ABSURD_FACTOR = 100
#: A latency that stays the same for this long, in at least this many readings, is
#: frozen. Below the smallest latency, whole milliseconds hide the noise.
FROZEN_MS = 1_500
FROZEN_READINGS = 3
MIN_FROZEN_LATENCY_MS = 10


def record_report(
    estimates: InterferenceEstimates,
    executor: Executor,
    report_by_run: t.Mapping[RunKey, RunningReport],
    clock_ms: int,
    now_ms: int,
) -> None:
    """Take the readings of an executor's answer to a poll.

    :param clock_ms: executor's clock; 0 if the answer has none.
    :param now_ms: steady time in milliseconds.
    """
    if not executor.latency_sensitive_count:
        estimates.view_by_executor.pop(executor.id, None)
        return
    view = estimates.view_by_executor.setdefault(
        executor.id, ExecutorView(now_ms - MIN_READING_INTERVAL_MS)
    )
    if now_ms - view.read_ms < MIN_READING_INTERVAL_MS:
        return
    view.read_ms = now_ms
    last_clock_ms, view.clock_ms = view.clock_ms, clock_ms
    last_exposure = view.exposure
    runs = [
        run
        for run in executor.runs.values()
        if run.task.step_run.step.fills or run.task.step_run.step.target_ms
    ]
    neighbours = tuple((run.key, run.state) for run in runs)
    view.exposure = _sum_exposure(runs)
    if neighbours != view.neighbours:
        view.neighbours, view.neighbours_since_ms = neighbours, now_ms
    reason = ""
    if executor.suspect_until_ms > now_ms:
        reason = "suspect"
    elif clock_ms and clock_ms == last_clock_ms:
        reason = "frozen"
    elif not all(_is_plausible(run, report_by_run) for run in runs):
        reason = "absurd"
    if reason:
        estimates.ignored_by_reason[reason] += 1
    elif now_ms - view.neighbours_since_ms >= SETTLE_MS:
        exposure = _average_exposure(runs, last_exposure, view.exposure, now_ms)
        _record_readings(
            estimates, executor, view, exposure, runs, report_by_run, now_ms
        )


def _is_plausible(run: Run, report_by_run: t.Mapping[RunKey, RunningReport]) -> bool:
    report = report_by_run.get(run.key)
    if report is None:
        return True
    limit = run.task.step_run.step.target_ms * ABSURD_FACTOR
    return (
        math.isfinite(report.load)
        and report.load >= 0
        and (not limit or report.load <= limit)
    )


def _record_readings(
    estimates: InterferenceEstimates,
    executor: Executor,
    view: ExecutorView,
    exposure: t.Mapping[str, float],
    runs: t.Sequence[Run],
    report_by_run: t.Mapping[RunKey, RunningReport],
    now_ms: int,
) -> None:
    """Add one reading per serving run to the present windows of their images."""
    unchanged: dict[RunKey, tuple[float, int, int]] = {}
    for run in runs:
        step = run.task.step_run.step
        report = report_by_run.get(run.key)
        if not step.target_ms or not step.image or run.state is not RunState.RUNNING:
            continue
        if report is None or not report.load:
            estimates.ignored_by_reason["missing"] += 1
            continue
        if step.long_running and report.percent < 100:
            continue  # it is still starting up
        load, since_ms, count = view.unchanged_by_run.get(run.key, (-1.0, 0, 0))
        if load != report.load:
            since_ms, count = now_ms, 0
        unchanged[run.key] = (report.load, since_ms, count + 1)
        if (
            report.load >= MIN_FROZEN_LATENCY_MS
            and now_ms - since_ms >= FROZEN_MS
            and count + 1 >= FROZEN_READINGS
        ):
            estimates.ignored_by_reason["frozen"] += 1
            continue
        readings = find_window(estimates, step.image, now_ms)
        if readings is None or (
            len(readings) >= MAX_READINGS and run.key not in readings
        ):
            estimates.ignored_by_reason["bounds"] += 1
            continue
        readings[run.key] = Reading(executor.id, math.log(report.load), exposure)
    view.unchanged_by_run = unchanged


def _sum_exposure(runs: t.Sequence[Run]) -> dict[str, float]:
    exposure: dict[str, float] = {}
    serving = 0
    for run in runs:
        step = run.task.step_run.step
        if step.fills:
            amount = run.speed_percent / 100
            exposure[step.image] = exposure.get(step.image, 0.0) + amount
        else:
            serving += 1
    if serving > 1:
        exposure[CROWDING] = serving - 1.0
    return exposure


def _average_exposure(
    runs: t.Iterable[Run],
    before: t.Mapping[str, float],
    after: t.Mapping[str, float],
    now_ms: int,
) -> t.Mapping[str, float]:
    """Return the mean exposure in the time that a reading covers.

    :param before: exposure before the last change of a speed.
    :param after: present exposure.
    """
    changed_ms = max((run.speed_changed_ms for run in runs), default=0)
    share = min(1.0, (now_ms - changed_ms) / READING_MS)
    if share == 1:
        return after
    return {
        image: share * after.get(image, 0.0) + (1 - share) * before.get(image, 0.0)
        for image in before.keys() | after.keys()
    }

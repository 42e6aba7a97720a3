"""Executors that fail or stall what they start, while their health looks good."""

from cranberrywheel.submission.duration_estimates import DurationEstimates
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import Run

#: Time in which an executor's count of troubles halves.
FAULT_HALF_LIFE_MS = 3_000
#: Troubles from which other executors are preferred.
SUSPECT_FAULT_COUNT = 2.5
#: How long an executor stays out of favour; disturbances last five to eight seconds.
SUSPECT_MS = 5_000
#: A run without progress for this long stands still. Progress is seen at each look,
#: at least every 1.5 s.
STALL_MS = 4_000
#: A run may also take this multiple of its expected duration without any sign.
STALL_FACTOR = 2.0
#: A run with less than this share of the expected progress counts as slow. Declared
#: times are off by up to nine tenths, so one slow run says little; several at one
#: executor do.
SLOW_PROGRESS_FRACTION = 0.35
#: Progress is judged from this share of the expected duration on.
PROGRESS_CHECK_FRACTION = 0.6
#: Progress is not judged before this time; a start takes its share of it.
PROGRESS_CHECK_MIN_MS = 700


def is_slow(run: Run, durations: DurationEstimates, now_ms: int) -> bool:
    """Tell whether a run makes much less progress than expected."""
    step = run.task.step_run.step
    if (
        step.long_running
        or step.gang
        or run.speed_percent < 100
        or not step.estimated_ms
    ):
        return False
    expected_ms = step.estimated_ms * durations.factor(run.task.step_run.live)
    elapsed_ms = now_ms - run.started_ms
    if elapsed_ms < max(PROGRESS_CHECK_MIN_MS, PROGRESS_CHECK_FRACTION * expected_ms):
        return False
    return run.percent < 100 * SLOW_PROGRESS_FRACTION * min(
        1.0, elapsed_ms / expected_ms
    )


def record_fault(executor: Executor, now_ms: int) -> None:
    """Count a failed, refused or stalled run against its executor."""
    decay = 0.5 ** ((now_ms - executor.fault_counted_ms) / FAULT_HALF_LIFE_MS)
    executor.fault_count = executor.fault_count * decay + 1
    executor.fault_counted_ms = now_ms
    if executor.fault_count >= SUSPECT_FAULT_COUNT:
        executor.suspect_until_ms = now_ms + SUSPECT_MS


def is_stalled(
    run: Run, executor: Executor, durations: DurationEstimates, now_ms: int
) -> bool:
    """Tell whether a run stands still."""
    if not executor.reachable or run.speed_percent < 100:
        return False
    step = run.task.step_run.step
    if step.long_running or step.gang:
        return False
    expected_ms = step.estimated_ms * durations.factor(run.task.step_run.live)
    # Slow executors report each percent; silence is counted in percents.
    patience_ms = max(STALL_MS, STALL_FACTOR * expected_ms)
    return now_ms - run.last_progress_ms > patience_ms

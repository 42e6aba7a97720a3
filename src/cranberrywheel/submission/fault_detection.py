"""Detection of executors that fail, slow down or stall runs but seem healthy."""

import typing as t

from cranberrywheel.submission.duration_estimates import DurationEstimates
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import Run

#: Time in which the fault count of an executor halves.
FAULT_HALF_LIFE_MS = 3_000
#: Fault count from which other executors are preferred.
SUSPECT_FAULT_COUNT = 2.5
#: How long other executors are preferred. The periods in which an executor fails, slows
#: down or stalls runs last five to eight seconds.
SUSPECT_MS = 5_000
#: Fraction of a pool above which failing executors get last attempts too. If more fail
#: runs, the cause is rather the tasks of a queue, which must not block other queues.
MAX_FAILING_FRACTION = 1 / 3
#: Time without progress after which a run counts as stalled. Progress is read with
#: each poll, at least every 1.5 s.
STALL_MS = 4_000
#: Multiple of its expected duration that a run may take without progress, if that is
#: longer than ``STALL_MS``.
STALL_FACTOR = 2.0
#: Fraction of the expected progress below which a run counts as slow. Declared
#: durations are wrong by up to nine tenths, so one slow run proves little, but several
#: on one executor do.
SLOW_PROGRESS_FRACTION = 0.35
#: Fraction of the expected duration after which progress is checked.
PROGRESS_CHECK_FRACTION = 0.6
#: Progress is not checked before this time, part of which the start takes.
PROGRESS_CHECK_MIN_MS = 700


def is_slow(run: Run, estimates: DurationEstimates, now_ms: int) -> bool:
    """Tell whether a run makes much less progress than expected.

    Throttled, long-running and gang tasks and those without a declared duration are
    never slow.
    """
    step = run.task.step_run.step
    if (
        step.long_running
        or step.gang
        or run.speed_percent < 100
        or not step.estimated_ms
    ):
        return False
    expected_ms = step.estimated_ms * estimates.get_factor(run.task.step_run.live)
    elapsed_ms = now_ms - run.started_ms
    if elapsed_ms < max(PROGRESS_CHECK_MIN_MS, PROGRESS_CHECK_FRACTION * expected_ms):
        return False
    return run.percent < 100 * SLOW_PROGRESS_FRACTION * min(
        1.0, elapsed_ms / expected_ms
    )


def record_fault(executor: Executor, now_ms: int) -> None:
    """Count a failed, refused, slow or stalled run as a fault of its executor.

    The count decays with :data:`FAULT_HALF_LIFE_MS`; from :data:`SUSPECT_FAULT_COUNT`
    on, the executor is suspect for a time.
    """
    decay = 0.5 ** ((now_ms - executor.fault_counted_ms) / FAULT_HALF_LIFE_MS)
    executor.fault_count = executor.fault_count * decay + 1
    executor.fault_counted_ms = now_ms
    if executor.fault_count >= SUSPECT_FAULT_COUNT:
        executor.suspect_until_ms = now_ms + SUSPECT_MS


def record_failed_run(executor: Executor, now_ms: int) -> None:
    """Count a failed run as a fault of its executor.

    A suspect executor with a failed run may not only be slow: it is failing, see
    :func:`update_last_attempts`.
    """
    record_fault(executor, now_ms)
    if executor.suspect_until_ms > now_ms:
        executor.failing_until_ms = executor.suspect_until_ms


def update_last_attempts(
    executors: t.Sequence[Executor], is_on: bool, now_ms: int
) -> None:
    """Decide whether the failing executors of a pool get last attempts.

    :param executors: the usable executors of the pool.
    :param is_on: placement depends on how executors have performed.
    """
    failing = sum(executor.failing_until_ms > now_ms for executor in executors)
    withholds = is_on and failing <= MAX_FAILING_FRACTION * len(executors)
    for executor in executors:
        executor.withholds_last_attempts = withholds


def is_stalled(
    run: Run, executor: Executor, estimates: DurationEstimates, now_ms: int
) -> bool:
    """Tell whether a run has made no progress for too long."""
    if not executor.reachable or run.speed_percent < 100:
        return False
    step = run.task.step_run.step
    if step.long_running or step.gang:
        return False
    expected_ms = step.estimated_ms * estimates.get_factor(run.task.step_run.live)
    # Even a slow executor reports each percent, so any progress restarts the timeout.
    timeout_ms = max(STALL_MS, STALL_FACTOR * expected_ms)
    return now_ms - run.last_progress_ms > timeout_ms

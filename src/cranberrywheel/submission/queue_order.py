"""Order in which waiting work is started.

Load pattern: each queue in turn has a burst that demands more than its pool holds.

Submissions that can still meet their latency objective go first, ordered by its end
and, in small pools, by the time for which they occupy the pool.
Least remaining work first makes the widest submissions late, and with a pool that
follows the burst it also meets fewer objectives. Submissions that can no longer meet
their objective follow in the order of arrival and are still finished, and so is work
beyond the share of its organisation, which comes last.
"""

from cranberrywheel.submission.live import LiveSubmission, RemainingWork

#: Weight of the delay that a submission imposes on all others, by occupying the pool,
#: against the end of its objective. In a small pool a wide submission makes several
#: others late; in a large one the delay is a few milliseconds.
DELAY_WEIGHT = 3.0
#: Priority groups of waiting work; the lowest goes first.
LONG_RUNNING, ON_TIME, INFEASIBLE, LATE, BEYOND_SHARE = 0, 1, 2, 3, 4


def estimate_remaining_work(
    live: LiveSubmission, duration_factor: float, pool_cpu: int = 0
) -> RemainingWork:
    """Estimate the remaining work of a submission's begun occurrences.

    :param duration_factor: expected durations as a multiple of the declared ones.
    :param pool_cpu: cpu of the usable executors in thousandths of a core; 0 if it does
        not matter.
    """
    declared = live.declared_remaining
    if declared is None:
        declared = live.declared_remaining = _estimate_declared_remaining(live)
    return RemainingWork(
        declared.critical_path_ms * duration_factor,
        declared.total_critical_path_ms * duration_factor,
        declared.core_ms * duration_factor,
        1_000 * declared.core_ms * duration_factor / pool_cpu if pool_cpu else 0.0,
    )


def _estimate_declared_remaining(live: LiveSubmission) -> RemainingWork:
    steps = live.submission.steps
    core_ms = 0.0
    critical_path_ms = 0.0
    total_critical_path_ms = 0.0
    for occurrence in range(live.begun_occurrences):
        ends_ms: list[float] = []
        total_ends_ms: list[float] = []
        for number, step in enumerate(steps):
            step_run = live.step_runs[occurrence, number]
            remaining_count = step.count - step_run.done_count
            core_ms += remaining_count * step.estimated_ms * step.size.cpu / 1000
            begin_ms = max(
                (ends_ms[predecessor] for predecessor in step.after), default=0.0
            )
            ends_ms.append(begin_ms + (step.estimated_ms if remaining_count else 0.0))
            begin_ms = max(
                (total_ends_ms[predecessor] for predecessor in step.after), default=0.0
            )
            total_ends_ms.append(begin_ms + step.estimated_ms)
        critical_path_ms = max(critical_path_ms, *ends_ms)
        total_critical_path_ms = max(total_critical_path_ms, *total_ends_ms)
    return RemainingWork(critical_path_ms, total_critical_path_ms, core_ms)


def compute_scheduling_key(
    live: LiveSubmission, remaining: RemainingWork, unix_ms: int
) -> tuple[int, int, float]:
    """Return the sort key of a submission's waiting steps; the smallest goes first.

    The key consists of the priority group, the queue's priority and the end of the
    objective, which the time of acceptance replaces for long-running and late
    submissions.

    :param unix_ms: time of day in Unix milliseconds.
    """
    queue = live.queue
    if live.has_long_running_step:
        return LONG_RUNNING, queue.priority, live.submission.accepted_ms
    if live.beyond_share:
        return BEYOND_SHARE, queue.priority, live.submission.accepted_ms
    objective_end_ms = compute_objective_end_ms(live, remaining)
    if unix_ms + remaining.critical_path_ms > objective_end_ms:
        accepted_ms = max(live.submission.accepted_ms, live.get_due_ms(0))
        return LATE, queue.priority, accepted_ms
    group = INFEASIBLE if live.is_infeasible else ON_TIME
    delay_ms = DELAY_WEIGHT * remaining.pool_ms - live.advance_ms
    return group, queue.priority, objective_end_ms + delay_ms


def compute_objective_end_ms(live: LiveSubmission, remaining: RemainingWork) -> float:
    """Return the end of a submission's latency objective in Unix milliseconds."""
    accepted_ms = max(live.submission.accepted_ms, live.get_due_ms(0))
    return (
        accepted_ms
        + live.queue.objective_factor * remaining.total_critical_path_ms
        + live.queue.objective_ms
    )

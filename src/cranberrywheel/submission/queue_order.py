"""Order of waiting work at the worst load: each queue in turn asks for more than
its pool holds.

Work that can still meet its goal goes first, the least remaining work foremost, so
that a short peak leaves as few submissions late as it can. What can no longer earn
its full benefit goes behind, in the order of arrival, and is still finished.
"""

from cranberrywheel.submission.live import LiveSubmission, RemainingWork

#: Groups of waiting work; a lower one goes first.
LONG_RUNNING, ON_TIME, LATE = 0, 1, 2


def remaining_work(live: LiveSubmission, duration_factor: float) -> RemainingWork:
    """Work out what is left of a submission's begun occurrences.

    :param duration_factor: true durations as a multiple of the declared ones.
    """
    declared = live.declared_remaining
    if declared is None:
        declared = live.declared_remaining = _declared_remaining(live)
    return RemainingWork(
        declared.critical_path_ms * duration_factor,
        declared.total_critical_path_ms * duration_factor,
        declared.core_ms * duration_factor,
    )


def _declared_remaining(live: LiveSubmission) -> RemainingWork:
    steps = live.submission.steps
    core_ms = 0.0
    longest = 0.0
    longest_whole = 0.0
    for occurrence in range(live.begun_occurrences):
        ends: list[float] = []
        whole_ends: list[float] = []
        for number, step in enumerate(steps):
            step_run = live.step_runs[occurrence, number]
            left = step.count - step_run.done_count
            core_ms += left * step.estimated_ms * step.size.cpu / 1000
            begin = max((ends[earlier] for earlier in step.after), default=0.0)
            ends.append(begin + (step.estimated_ms if left else 0.0))
            begin = max((whole_ends[earlier] for earlier in step.after), default=0.0)
            whole_ends.append(begin + step.estimated_ms)
        longest = max(longest, *ends)
        longest_whole = max(longest_whole, *whole_ends)
    return RemainingWork(longest, longest_whole, core_ms)


def scheduling_key(
    live: LiveSubmission, remaining: RemainingWork, unix_ms: int
) -> tuple[int, int, float]:
    """Return the sort key of a submission's waiting steps.

    :param unix_ms: time of day.
    """
    queue = live.queue
    if live.has_long_running_step:
        return LONG_RUNNING, queue.priority, live.submission.accepted_ms
    accepted_ms = max(live.submission.accepted_ms, live.due_ms(0))
    objective_ms = (
        accepted_ms
        + queue.objective_factor * remaining.total_critical_path_ms
        + queue.objective_ms
    )
    if unix_ms + remaining.critical_path_ms > objective_ms:
        return LATE, queue.priority, accepted_ms
    return ON_TIME, queue.priority, remaining.core_ms

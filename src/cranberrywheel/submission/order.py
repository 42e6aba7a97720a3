"""Order of waiting work at the worst load: each queue in turn asks for more than
its pool holds.

Work that can still meet its goal goes first, the goal that ends first foremost, with
an allowance for size, since a wide submission makes several small ones late. What
can no longer meet its goal goes behind, in the order of arrival, and is still
finished. Least remaining work first serves about as much, but leaves wide
submissions late.
"""

from cranberrywheel.submission.durations import Durations
from cranberrywheel.submission.live import LiveSubmission, Remaining

#: Time by which a core-millisecond of remaining work moves a goal back. Without it,
#: fewer submissions meet their goals; four times as much leaves the largest tenth
#: late.
SIZE_ALLOWANCE = 0.05
#: Groups of waiting work; a lower one goes first.
LASTING, ON_TIME, LATE = 0, 1, 2


def remaining_work(live: LiveSubmission, durations: Durations) -> Remaining:
    """Return what is left of a submission's begun occurrences."""
    generation = durations.generation(live)
    if live.remaining is None or live.remaining_generation != generation:
        live.remaining = _expect_remaining(live, durations)
        live.remaining_generation = generation
    return live.remaining


def _expect_remaining(live: LiveSubmission, durations: Durations) -> Remaining:
    steps = live.submission.steps
    expected = [durations.expected_ms(live, step) for step in steps]
    core_ms = 0.0
    longest = 0.0
    longest_whole = 0.0
    for occurrence in range(live.begun_occurrences):
        ends: list[float] = []
        whole_ends: list[float] = []
        for number, step in enumerate(steps):
            step_run = live.step_runs[occurrence, number]
            left = step.count - step_run.done_count
            core_ms += left * expected[number] * step.size.cpu / 1000
            begin = max((ends[earlier] for earlier in step.after), default=0.0)
            ends.append(begin + (expected[number] if left else 0.0))
            begin = max((whole_ends[earlier] for earlier in step.after), default=0.0)
            whole_ends.append(begin + expected[number])
        longest = max(longest, *ends)
        longest_whole = max(longest_whole, *whole_ends)
    return Remaining(longest, longest_whole, core_ms)


def order_key(
    live: LiveSubmission, remaining: Remaining, unix_ms: int
) -> tuple[int, int, float]:
    """Return the sort key of a submission's waiting steps.

    :param unix_ms: time of day.
    """
    queue = live.queue
    if live.lasts:
        return LASTING, queue.priority, live.submission.accepted_ms
    accepted_ms = max(live.submission.accepted_ms, live.due_ms(0))
    goal_ms = accepted_ms + queue.goal_factor * remaining.whole_chain_ms + queue.goal_ms
    if unix_ms + remaining.chain_ms > goal_ms:
        return LATE, queue.priority, accepted_ms
    return ON_TIME, queue.priority, goal_ms + SIZE_ALLOWANCE * remaining.core_ms

"""Waiting work that cannot meet its objective beside what is committed already.

Load pattern: a burst demands 1.4 times what its pool holds for several seconds, or a
hot organisation adds to a burst. In the order of the ends of the objectives alone, all
submissions wait until just before that end, and most then miss it narrowly.
"""

import dataclasses
import typing as t

#: Time that a pool takes for waiting work as a multiple of the work over the capacity:
#: long-running tasks occupy a part of the pool, tasks leave gaps, and a step waits for
#: the last task of the step before. In the large pools of the same replay 1.5 serves
#: 0.738 and 1.0 serves 0.732; in pools of 6 machines 1.0, 1.5 and 2.0 serve the same.
BACKLOG_FACTOR = 1.5


#: By how much earlier a submission that has begun is ordered, so that what it has used
#: is not wasted and wide submissions, whose tasks do not all fit at once, are on time.
#: With two of six organisations at eight times their rate, 3,000 ms in pools of 32 to
#: 44 machines serves 0.744 instead of 0.738, and 0.645 instead of 0.598 of the largest
#: tenth. In pools of 8 machines, where one begun submission delays many others, it
#: serves 0.900 instead of 0.914, so the advance is small there. Without any, the
#: largest tenth of a pool of 6 machines was served 0.48 times as often as its queue.
ADVANCE_MS, SMALL_POOL_ADVANCE_MS = 3_000, 500
#: Executors from which a pool counts as large; small ones may double by borrowing.
LARGE_POOL_EXECUTORS = 20


def get_advance_ms(executor_count: int) -> int:
    """Return by how much earlier begun submissions of a contended pool are ordered."""
    if executor_count >= LARGE_POOL_EXECUTORS:
        return ADVANCE_MS
    return SMALL_POOL_ADVANCE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A submission with waiting work that would be on time if it began now.

    :param id: id of the submission.
    :param order: position among the candidates; the smallest goes first.
    :param committed: tasks of it have started.
    :param slack_ms: longest wait after which it still meets its objective.
    :param pool_ms: time for which its remaining work occupies the whole pool.
    """

    id: str
    order: tuple[t.Any, ...]
    committed: bool
    slack_ms: float
    pool_ms: float


def find_infeasible(candidates: t.Iterable[Candidate]) -> set[str]:
    """Return the ids of submissions that are put behind, so that the rest is on time.

    Submissions are taken in their order. One that cannot be on time after those before
    it is put behind and makes no other one wait, unless it has begun.
    """
    infeasible: set[str] = set()
    backlog_ms = 0.0
    for candidate in sorted(candidates, key=lambda row: row.order):
        wait_ms = BACKLOG_FACTOR * backlog_ms
        if wait_ms > candidate.slack_ms and not candidate.committed:
            infeasible.add(candidate.id)
        else:
            backlog_ms += candidate.pool_ms
    return infeasible

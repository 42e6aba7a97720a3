"""Admission of short work: which submissions are refused, and when they may return.

Load pattern: several queues or organisations demand a multiple of a pool for seconds,
or a pool loses racks during a burst. The backlog then grows until a submission that
arrives is served only when its answer is worth nothing to its caller. Such a submission
is refused at once, with the time after which it can be served.

An estimate errs on the side of acceptance, since a wrong refusal costs a caller more
than a late answer: arriving machines count as capacity at once, work that is yet to
arrive does not count, and the submission may be as long as declarations are inaccurate.
"""

import dataclasses
import math
import typing as t

from cranberrywheel.submission.fair_shares import clamp_weight
from cranberrywheel.submission.model import Configuration, Queue, Submission
from cranberrywheel.submission.pool_load import WORTHLESS_AFTER_OBJECTIVES, PoolLoad
from cranberrywheel.submission.queue_order import DELAY_WEIGHT
from cranberrywheel.submission.turns import Turn, Turns

#: Factor by which a submission may be longer than expected. Callers' declarations of
#: short work are off by up to 0.5. A longer submission has a later objective.
DURATION_MARGIN = 1.5
#: Multiple of its objective up to which a submission may be in time by the work ahead,
#: of which a part becomes late itself and is then ordered behind. In a replay of five
#: times the load, 1,987 callers are served in time with 1.5 and 82 refusals, 1,943 with
#: 1.0 and 605, and 1,966 without admission.
ON_TIME_MARGIN = 1.5
#: Longest time after which a caller is asked to return.
MAX_RETRY_AFTER_S = 30
#: Longest such time while the store cannot be reached, which lasts for a few seconds.
MAX_STORE_RETRY_AFTER_S = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a submission is accepted, and what decided it. Times are milliseconds.

    :param retry_after_s: whole seconds after which to return; 0: accepted.
    :param reason: ``in-time``, ``late``, ``turn``, ``no-load`` or ``overloaded``.
    :param on_time_wait_ms: wait behind work that is ordered before the submission while
        it can meet its objective.
    :param wait_ms: wait behind all accepted work.
    :param end_ms: expected end after ``wait_ms``.
    :param objective_ms: latency objective of the submission.
    """

    retry_after_s: int
    reason: str
    on_time_wait_ms: int = 0
    wait_ms: int = 0
    end_ms: int = 0
    objective_ms: int = 0
    drain_cpu: int = 0
    load_age_ms: int = 0

    @property
    def is_refused(self) -> bool:
        """Whether the submission must not be stored."""
        return self.retry_after_s > 0


def is_refusable(submission: Submission, queue: Queue) -> bool:
    """Tell whether a submission may be refused because of load."""
    return (
        queue.objective_ms > 0
        and submission.schedule is None
        and not any(step.long_running for step in submission.steps)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class NewWork:
    """Expected work of a submission that is not accepted yet.

    :param critical_path_ms: duration of its longest chain of steps.
    :param core_ms: processor time of all its tasks.
    """

    critical_path_ms: float
    core_ms: float


def estimate_new_work(submission: Submission, duration_factor: float) -> NewWork:
    """Estimate the work of a submission from the declared durations.

    :param duration_factor: expected durations as a multiple of the declared ones.
    """
    ends_ms: list[float] = []
    for step in submission.steps:
        begin_ms = max((ends_ms[number] for number in step.after), default=0.0)
        ends_ms.append(begin_ms + step.estimated_ms * duration_factor)
    core_ms = sum(
        step.count * step.estimated_ms * step.size.cpu / 1_000
        for step in submission.steps
    )
    return NewWork(max(ends_ms, default=0.0), core_ms * duration_factor)


def compute_waves_path_ms(submission: Submission, load: PoolLoad) -> float:
    """Return the declared duration of the longest chain of steps.

    A step that needs more than a quarter of the pool counts in waves of a quarter,
    since it shares the pool.
    """
    ends_ms: list[float] = []
    for step in submission.steps:
        begin_ms = max((ends_ms[number] for number in step.after), default=0.0)
        waves = math.ceil(4 * step.count * step.size.cpu / load.pool_cpu)
        ends_ms.append(begin_ms + max(1, waves) * step.estimated_ms)
    return max(ends_ms, default=0.0)


def compute_place_ms(
    submission: Submission, queue: Queue, pool_cpu: int, order_factor: float
) -> float:
    """Return the scheduling key that a submission gets, counted from its acceptance.

    See :func:`.queue_order.compute_scheduling_key`.
    """
    work = estimate_new_work(submission, order_factor)
    return (
        queue.objective_factor * work.critical_path_ms
        + queue.objective_ms
        + DELAY_WEIGHT * 1_000 * work.core_ms / pool_cpu
    )


def compute_drain_ms(
    work_by_organisation: t.Mapping[str, float],
    limit_by_organisation: t.Mapping[str, int],
    drain_cpu: float,
) -> float:
    """Return the time in which a pool does the work of several organisations.

    An organisation at its quota leaves the rest of the pool to the others, so that it
    delays them by no more than its quota.

    :param work_by_organisation: core-milliseconds.
    :param limit_by_organisation: thousandths of a core; no entry or 0 for no limit.
    :param drain_cpu: thousandths of a core.
    """
    rows = [
        (1_000 * core_ms / limit, core_ms, limit)
        for organisation, core_ms in work_by_organisation.items()
        if (limit := limit_by_organisation.get(organisation, 0))
    ]
    total = sum(work_by_organisation.values())
    drain_ms = 1_000 * total / drain_cpu
    for limited_ms, core_ms, limit in sorted(rows, reverse=True):
        if limited_ms <= drain_ms:
            break
        total -= core_ms
        drain_cpu -= limit
        if drain_cpu <= 0:
            break
        drain_ms = 1_000 * max(0.0, total) / drain_cpu
    return drain_ms


def estimate_wait_ms(
    load: PoolLoad,
    queue: Queue,
    organisation: str,
    configuration: Configuration,
    has_fair_shares: bool,
    place_ms: float | None,
) -> float:
    """Return the time until the work ahead of a new submission is done.

    Ahead is the accepted work of the pool's queues that are at least as urgent. Where
    organisations share the pool by weight, another one is ahead only as far as it is
    served while the organisation's own backlog is.

    :param place_ms: place of the submission in the order while it can meet its
        objective; ``None``: behind everything.
    """
    work: dict[str, float] = {}
    limits: dict[str, int] = {}
    for row in load.backlogs:
        other = configuration.queues_by_key.get(row.queue)
        if other is not None and other.priority > queue.priority:
            continue
        if place_ms is None:
            core_ms = sum(row.on_time_core_ms) + row.late_core_ms
        else:
            core_ms = row.sum_ahead_core_ms(place_ms)
        work[row.organisation] = work.get(row.organisation, 0.0) + core_ms
        limits[row.organisation] = row.limit_cpu
    own = work.get(organisation, 0.0)
    if has_fair_shares:
        by_name = configuration.organisations_by_name

        def weight(name: str) -> float:
            return clamp_weight(by_name[name].weight) if name in by_name else 1.0

        own_weight = weight(organisation)
        work = {
            name: min(core_ms, own * weight(name) / own_weight)
            for name, core_ms in work.items()
        }
    wait_ms = compute_drain_ms(work, limits, load.drain_cpu)
    if limit := limits.get(organisation, 0):
        wait_ms = max(wait_ms, 1_000 * own / limit)
    return wait_ms


def decide_admission(
    load: PoolLoad | None,
    load_age_ms: int,
    submission: Submission,
    queue: Queue,
    configuration: Configuration,
    has_fair_shares: bool,
    turns: Turns,
    now_ms: int,
) -> Verdict:
    """Decide whether a submission is refused, and record its turn if it is.

    :param load: load of the queue's pool; ``None`` if the pool is not contended or the
        load is not known.
    :param load_age_ms: age of the load, for which the pool has gone on.
    :param has_fair_shares: organisations share a contended pool by weight.
    :param now_ms: steady time in milliseconds.
    """
    if load is None or not is_refusable(submission, queue):
        return Verdict(0, "no-load")
    turn = turns.find(submission.id, now_ms)
    if turn is not None and turn.is_due(now_ms):
        return Verdict(0, "turn")
    factor, order_factor = load.factors_by_queue.get(queue.key, (1.0, 1.0))
    expected = estimate_new_work(submission, factor)
    path_ms = DURATION_MARGIN * factor * compute_waves_path_ms(submission, load)
    objective_ms = queue.objective_factor * path_ms + queue.objective_ms
    own_ms = max(path_ms, 1_000 * expected.core_ms / load.drain_cpu)
    place_ms = compute_place_ms(submission, queue, load.pool_cpu, order_factor)

    def wait_ms(place_ms: float | None) -> float:
        estimate_ms = estimate_wait_ms(
            load,
            queue,
            submission.organisation,
            configuration,
            has_fair_shares,
            place_ms,
        )
        return max(0.0, estimate_ms - load_age_ms)

    on_time_wait_ms, late_wait_ms = wait_ms(place_ms + load_age_ms), wait_ms(None)
    retry_after_s, reason = 0, "in-time"
    if on_time_wait_ms + own_ms > ON_TIME_MARGIN * objective_ms:
        reason = "late"
        if late_wait_ms + own_ms > WORTHLESS_AFTER_OBJECTIVES * objective_ms:
            reason = "overloaded"
            # Callers with a turn may never return, so their work delays a return only.
            promised_core_ms = turns.sum_core_ms(queue.service, now_ms, turn)
            promised_ms = 1_000 * promised_core_ms / load.drain_cpu
            # From then on it can meet an objective that begins with its return.
            return_ms = late_wait_ms + promised_ms - max(0.0, objective_ms - own_ms)
            retry_after_s = _record_turn(
                turns, turn, submission.id, queue, expected, return_ms, now_ms
            )
    return Verdict(
        retry_after_s,
        reason,
        round(on_time_wait_ms),
        round(late_wait_ms),
        round(late_wait_ms + own_ms),
        round(objective_ms),
        load.drain_cpu,
        load_age_ms,
    )


def _record_turn(
    turns: Turns,
    turn: Turn | None,
    submission_id: str,
    queue: Queue,
    work: NewWork,
    return_ms: float,
    now_ms: int,
) -> int:
    """Record the turn of a refused submission and return its whole seconds.

    A submission that returns before its turn keeps it.
    """
    if turn is not None:
        return max(1, math.ceil((turn.due_ms - now_ms) / 1_000))
    retry_after_s = min(MAX_RETRY_AFTER_S, max(1, math.ceil(return_ms / 1_000)))
    turns.put(
        submission_id,
        Turn.promise(queue.service, work.core_ms, retry_after_s, now_ms),
        now_ms,
    )
    return retry_after_s


def compute_store_retry_after_s(unreachable_ms: int) -> int:
    """Return after which whole seconds a submission that was not stored may return.

    A disturbance that has lasted for some time is expected to last as long again.

    :param unreachable_ms: time for which the store could not be reached.
    """
    return min(MAX_STORE_RETRY_AFTER_S, max(1, math.ceil(unreachable_ms / 1_000)))

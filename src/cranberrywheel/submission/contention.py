"""Use of the pools by the organisations, and the order in which they are served.

Load pattern: a pool is full for seconds, and some organisations send many times their
usual rate. What is decided for a whole pool is decided once per tick, because a pass
runs at each completion of a task.
"""

import itertools
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.fair_shares import (
    DEFAULT_WEIGHT,
    LOG_INTERVAL_MS,
    PoolShares,
    clamp_weight,
    iterate_least_served,
)
from cranberrywheel.submission.live import LiveSubmission, StepRun
from cranberrywheel.submission.model import NO_RESOURCES, Resources
from cranberrywheel.submission.overload_order import (
    Candidate,
    find_infeasible,
    get_advance_ms,
)
from cranberrywheel.submission.queue_order import (
    INFEASIBLE,
    ON_TIME,
    compute_objective_end_ms,
    compute_scheduling_key,
    estimate_remaining_work,
)
from cranberrywheel.submission.state import SchedulerState

#: Organisations that a log line about a contention names.
LOGGED_OWNERS = 3

_Key = tuple[int, int, float]

_log = ComponentLogger("scheduler")


def order_by_share(
    rows: t.Iterable[tuple[_Key, StepRun]], shares: PoolShares
) -> t.Iterator[StepRun]:
    """Iterate over startable steps, the least-served organisation of each group first.

    Long-running and late work keeps the order of arrival.

    :param rows: steps with their scheduling keys, in the order of the keys.
    """
    for (group, _), members in itertools.groupby(rows, key=lambda row: row[0][:2]):
        if group in (ON_TIME, INFEASIBLE):
            yield from iterate_least_served(
                (
                    (key, step_run.live.submission.organisation, step_run)
                    for key, step_run in members
                ),
                shares.compute_level,
            )
        else:
            yield from (step_run for _, step_run in members)


def update_shares(state: SchedulerState, now_ms: int, unix_ms: int) -> None:
    """Update the use of each pool, and mark the work that cannot be on time.

    :param now_ms: steady time in milliseconds.
    :param unix_ms: time of day in Unix milliseconds.
    """
    for service in state.waiting_by_service.keys() | state.pool_shares_by_service:
        shares = state.shares_of(service)
        waiting = [
            live
            for live in state.waiting_by_service.get(service, {}).values()
            if not live.has_long_running_step and live.list_ready_steps()
        ]
        if waiting or shares.used or shares.mean_use:
            _update_pool(state, service, waiting, now_ms, unix_ms)
        else:
            shares.contended, shares.infeasible_count = False, 0


def _update_pool(
    state: SchedulerState,
    service: str,
    waiting: t.Sequence[LiveSubmission],
    now_ms: int,
    unix_ms: int,
) -> None:
    shares = state.shares_of(service)
    free = capacity = NO_RESOURCES
    pool = state.executors_by_service.get(service, {})
    for executor in pool.values():
        if executor.is_usable:
            capacity = capacity + executor.entry.capacity
            free = free + executor.free
    asked = _sum_waiting(waiting)
    contended = asked.cpu > free.cpu or asked.memory_mb > free.memory_mb
    owners = {live.submission.organisation for live in waiting} | shares.used.keys()
    weights = {owner: _get_weight(state, owner) for owner in owners}
    shares.update(capacity, weights, contended, now_ms)
    infeasible: set[str] = set()
    if contended:
        infeasible = _find_infeasible(state, shares, waiting, unix_ms)
    advance_ms = get_advance_ms(len(pool)) if contended else 0
    for live in waiting:
        live.advance_ms = advance_ms if live.started else 0
        live.is_infeasible = live.submission.id in infeasible
    shares.infeasible_count = len(infeasible)
    if contended and now_ms - shares.logged_ms >= LOG_INTERVAL_MS:
        shares.logged_ms = now_ms
        _log.event(
            "pool contended",
            service=service,
            waiting=len(waiting),
            waiting_cpu=asked.cpu,
            free_cpu=free.cpu,
            put_behind=len(infeasible),
            use=_format_largest(shares),
        )


def _format_largest(shares: PoolShares) -> str:
    """Format the organisations with the largest use, each with its use and share."""
    rows = sorted(
        (-shares.get_recent_use(owner), share, owner)
        for owner, share in shares.fair_share.items()
    )
    return ",".join(
        f"{owner}:{-use:.2f}/{share:.2f}" for use, share, owner in rows[:LOGGED_OWNERS]
    )


def _sum_waiting(waiting: t.Iterable[LiveSubmission]) -> Resources:
    cpu = memory_mb = 0
    for live in waiting:
        for step_run in live.list_ready_steps():
            claim = step_run.step.claim
            cpu += claim.cpu * len(step_run.waiting)
            memory_mb += claim.memory_mb * len(step_run.waiting)
    return Resources(cpu, memory_mb)


def _get_weight(state: SchedulerState, owner: str) -> float:
    organisation = state.settings.find_organisation(owner)
    return clamp_weight(organisation.weight) if organisation else DEFAULT_WEIGHT


def _find_infeasible(
    state: SchedulerState,
    shares: PoolShares,
    waiting: t.Iterable[LiveSubmission],
    unix_ms: int,
) -> set[str]:
    """Return the ids of the waiting submissions that are put behind."""
    candidates: list[Candidate] = []
    for live in waiting:
        live.is_infeasible = False
        remaining = estimate_remaining_work(
            live, state.duration_estimates.get_factor(live), shares.capacity.cpu
        )
        key = compute_scheduling_key(live, remaining, unix_ms)
        if key[0] != ON_TIME:
            continue
        latest_begin_ms = (
            compute_objective_end_ms(live, remaining) - remaining.critical_path_ms
        )
        candidates.append(
            Candidate(
                live.submission.id,
                # As order_by_share serves them: a more urgent queue goes first.
                (key[1], shares.compute_level(live.submission.organisation), key),
                live.started,
                latest_begin_ms - unix_ms,
                remaining.pool_ms,
            )
        )
    return find_infeasible(candidates)

"""Scheduling pass, which starts the waiting tasks that can start now.

Load pattern: during a burst a queue demands more than its pool holds, so that a pass
runs at each completion of a task and finds hundreds of steps that fit nowhere. A pass
covers only services of which something changed, and a step larger than any free
capacity costs one comparison.
"""

import dataclasses
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission import actions, advice
from cranberrywheel.submission.contention import order_by_share
from cranberrywheel.submission.crash_attribution import choose_isolated_executor
from cranberrywheel.submission.executor import LATE_START_MS, Executor
from cranberrywheel.submission.fault_detection import update_last_attempts
from cranberrywheel.submission.live import LiveSubmission, Run, StepRun, Task
from cranberrywheel.submission.model import NO_RESOURCES, Resources
from cranberrywheel.submission.placement import (
    PoolCapacity,
    choose_executor,
    choose_gang_executors,
    choose_zone,
)
from cranberrywheel.submission.queue_order import (
    compute_scheduling_key,
    estimate_remaining_work,
)
from cranberrywheel.submission.state import SchedulerState

#: Run numbers that one leader may use for a task. Each leader begins above those of
#: its predecessors, so that a number is never used twice. Refused starts use up
#: numbers: at one every 5 ms, these last for 14 hours. 900 million terms stay below
#: 2**53, the largest number that JSON certainly carries exactly.
RUN_NUMBERS_PER_TERM = 10_000_000

_log = ComponentLogger("scheduler")


def start_waiting_tasks(state: SchedulerState, now_ms: int, unix_ms: int) -> None:
    """Decide the starts in all services that changed since the last pass.

    :param now_ms: steady time in milliseconds.
    :param unix_ms: time of day in Unix milliseconds.
    """
    if not state.may_start or not state.zones_current or state.configuration is None:
        return
    services, state.dirty_services = state.dirty_services, set()
    unpolled = _find_unpolled_services(state, now_ms)
    state.unknown_use_by_organisation = _estimate_unknown_use(state, unpolled)
    state.forget_expired_runs(now_ms)
    for service in sorted(services):
        state.advice_turns.begin_pass(service)
        if state.waiting_by_service.get(service):
            _schedule_service(state, service, unpolled, now_ms, unix_ms)
    call = advice.choose_call(state, now_ms)
    if call is not None:
        state.actions.append(call)


@dataclasses.dataclass(frozen=True, slots=True)
class _UnpolledServices:
    """Services with executors that may report runs that this leader does not know.

    :param awaiting_poll: services with an executor whose first answer is expected.
    :param all: also those with unreachable executors whose lease has not expired.
    :param capacity: capacity of all these executors.
    """

    awaiting_poll: frozenset[str]
    all: frozenset[str]
    capacity: Resources


def _find_unpolled_services(state: SchedulerState, now_ms: int) -> _UnpolledServices:
    unpolled = [
        executor
        for executor in state.executors_by_id.values()
        if not executor.fence_confirmed
        and now_ms <= executor.lease_expiry_ms
        and _may_have_unknown_runs(state, executor)
    ]
    return _UnpolledServices(
        frozenset(e.entry.service for e in unpolled if e.reachable),
        frozenset(e.entry.service for e in unpolled),
        sum((e.entry.capacity for e in unpolled), NO_RESOURCES),
    )


def _estimate_unknown_use(
    state: SchedulerState, unpolled: _UnpolledServices
) -> dict[str, Resources]:
    """Return what organisations with a quota may use on executors never polled."""
    if not unpolled.all:
        return {}
    use_by_organisation: dict[str, Resources] = {}
    for live in state.live_by_id.values():
        owner = live.submission.organisation
        organisation = state.settings.find_organisation(owner)
        if (
            not live.recovered
            or organisation is None
            or organisation.quota == NO_RESOURCES
        ):
            continue
        use = use_by_organisation.get(owner, NO_RESOURCES)
        for step_run in live.list_ready_steps():
            if _may_run_on_unpolled(state, step_run, unpolled):
                use = use + step_run.step.size * len(step_run.waiting)
        use_by_organisation[owner] = use
    return {
        owner: use.limit_to(unpolled.capacity)
        for owner, use in use_by_organisation.items()
    }


def _may_have_unknown_runs(state: SchedulerState, executor: Executor) -> bool:
    """Tell whether an earlier leader may have started runs on its present boot.

    A boot that came after this leader had polled the executor can only have received
    starts that were on their way at the takeover.
    """
    return (
        not executor.was_polled
        or executor.boot_known_ms - state.takeover_ms < LATE_START_MS
    )


def _schedule_service(
    state: SchedulerState,
    service: str,
    unpolled: _UnpolledServices,
    now_ms: int,
    unix_ms: int,
) -> None:
    state.quota_limited_services.discard(service)
    pool = list(state.executors_by_service.get(service, {}).values())
    pool_capacity = PoolCapacity(pool)
    update_last_attempts(pool_capacity.usable, state.features.failing_executors, now_ms)
    rows = _find_startable_steps(state, service, unpolled, pool_capacity, unix_ms)
    ordered: t.Iterable[StepRun] = (step_run for _, step_run in rows)
    reservations = state.preemption.reservations_by_submission
    smallest: Resources | None = None
    if state.features.fair_shares and rows:
        # The order is computed as far as something may still fit.
        smallest = _compute_smallest_claim(rows)
        ordered = order_by_share(rows, state.shares_of(service))
    for step_run in ordered:
        opened = reservations and state.preemption.open_for(step_run.live)
        if opened:
            pool_capacity.refresh()
        _start_step(state, step_run, pool, pool_capacity, now_ms, unix_ms)
        if opened:
            state.preemption.close_for(step_run.live, opened)
            pool_capacity.refresh()
        if smallest and not reservations and not pool_capacity.may_fit(smallest):
            return


def _compute_smallest_claim(rows: t.Iterable[tuple[t.Any, StepRun]]) -> Resources:
    """Return the smallest amount of each resource that a task of the steps claims."""
    claims = [step_run.step.claim for _, step_run in rows]
    return Resources(
        min(claim.cpu for claim in claims),
        min(claim.memory_mb for claim in claims),
        min(claim.gpu for claim in claims),
    )


def _find_startable_steps(
    state: SchedulerState,
    service: str,
    unpolled: _UnpolledServices,
    pool_capacity: PoolCapacity,
    unix_ms: int,
) -> list[tuple[tuple[int, int, float], StepRun]]:
    """Return the steps that may start and may fit, with their sort keys, in order."""
    waiting = state.waiting_by_service[service]
    rows: list[tuple[tuple[int, int, float], StepRun]] = []
    for submission_id, live in list(waiting.items()):
        ready = live.list_ready_steps()
        if not ready and not live.has_waiting:
            del waiting[submission_id]
        # An executor whose first poll is not answered yet may report runs of any step.
        if (
            live.recovered
            and unpolled.awaiting_poll
            and unpolled.awaiting_poll & live.list_possible_services()
        ):
            continue
        startable = [
            step_run
            for step_run in ready
            if _may_begin_step(state, step_run, unix_ms)
            and (
                pool_capacity.may_fit(step_run.step.claim)
                or submission_id in state.preemption.reservations_by_submission
            )
            and not (
                live.recovered
                and unpolled.all
                and _may_run_on_unpolled(state, step_run, unpolled)
            )
        ]
        if startable:
            remaining = estimate_remaining_work(
                live, state.duration_estimates.get_factor(live), pool_capacity.total_cpu
            )
            key = compute_scheduling_key(live, remaining, unix_ms)
            rows.extend((key, step_run) for step_run in startable)
    rows.sort(key=lambda row: row[0])
    return rows


def _may_run_on_unpolled(
    state: SchedulerState, step_run: StepRun, unpolled: _UnpolledServices
) -> bool:
    """Tell whether tasks of a step may run on executors that were never polled."""
    if state.trusts_records and not step_run.may_have_begun:
        return False
    return bool(unpolled.all & step_run.list_possible_services())


def _may_begin_step(state: SchedulerState, step_run: StepRun, unix_ms: int) -> bool:
    """Tell whether a step is due and recorded as begun on its queue's service.

    A step that is not recorded yet is marked for the record, so that a successor knows
    that tasks of it may run. While the store is unreachable the step begins without
    its record, which is stored afterwards.
    """
    live = step_run.live
    if live.submission.schedule and live.get_due_ms(step_run.occurrence) > unix_ms:
        return False
    state.mark_begun(step_run, live.queue.service)
    return (
        state.store_unreachable or live.stored_version >= step_run.begin_record_version
    )


def _start_step(
    state: SchedulerState,
    step_run: StepRun,
    pool: t.Sequence[Executor],
    pool_capacity: PoolCapacity,
    now_ms: int,
    unix_ms: int,
) -> None:
    """Start the waiting tasks of a step as far as capacity and quota allow.

    The tasks of an advised queue start on executors for which they have a ticket. For
    those that wait on, the advisor is asked about others with free capacity.
    """
    if not pool_capacity.may_fit(step_run.step.claim):
        return
    if not step_run.live.queue.advised:
        _start_tasks(state, step_run, pool, pool_capacity, now_ms, unix_ms)
        return
    ticketed = advice.list_ticketed(step_run, pool, now_ms)
    if ticketed:
        _start_tasks(state, step_run, ticketed, PoolCapacity(ticketed), now_ms, unix_ms)
        pool_capacity.refresh()
    if (
        step_run.waiting
        and pool_capacity.may_fit(step_run.step.claim)
        and advice.wants_call(state, step_run, now_ms)
    ):
        tasks = _list_startable_tasks(state, step_run)
        advice.consider_call(state, step_run, tasks, pool, now_ms)


def _list_startable_tasks(state: SchedulerState, step_run: StepRun) -> list[Task]:
    """Return the waiting tasks that may start if an executor is found for them."""
    step = step_run.step
    size = step.size * step.count if step.gang else step.size
    if not is_within_quota(state, step_run.live, size):
        return []
    tasks = [
        task
        for task in step_run.waiting.values()
        if not (state.unlocated_runs and state.may_run_unlocated(task))
        and (not task.crashes or _may_start_suspect(state, task))
    ]
    return [] if step.gang and len(tasks) < step.count else tasks


def _start_tasks(
    state: SchedulerState,
    step_run: StepRun,
    pool: t.Sequence[Executor],
    pool_capacity: PoolCapacity,
    now_ms: int,
    unix_ms: int,
) -> None:
    live = step_run.live
    step = step_run.step
    if step.gang:
        _start_gang(state, step_run, pool_capacity, now_ms, unix_ms)
        pool_capacity.refresh()
        return
    leaving_machines = state.maintenance_due | state.borrowed_machines
    packed_machines = state.packed_machines_by_service.get(live.queue.service)
    zone = choose_zone(pool_capacity, step_run, now_ms)
    interference = state.interference if state.features.interference else None
    for task in list(step_run.waiting.values()):
        if not pool_capacity.may_fit(step.claim) or not is_within_quota(
            state, live, step.size
        ):
            return
        if state.unlocated_runs and state.may_run_unlocated(task):
            continue
        if task.crashes:
            if not _may_start_suspect(state, task):
                continue
            executor = choose_isolated_executor(pool, pool_capacity, task, now_ms)
            if executor is None:
                continue
        else:
            executor = choose_executor(
                pool_capacity,
                task,
                now_ms,
                leaving_machines,
                zone,
                packed_machines,
                interference,
            )
        if executor is None:
            if not task.avoid_until_ms_by_executor:
                return  # the other tasks of the step need the same capacity
            continue
        number = _get_next_run_number(state, task)
        _start_run(state, task, number, executor, now_ms, unix_ms)
        pool_capacity.refresh()


def _may_start_suspect(state: SchedulerState, task: Task) -> bool:
    """Tell whether a task that may have crashed an executor may start again.

    Its crashes must be stored first, so that they count for the next leader too.
    """
    return task.step_run.live.stored_version >= task.crash_record_version


def _start_gang(
    state: SchedulerState,
    step_run: StepRun,
    pool_capacity: PoolCapacity,
    now_ms: int,
    unix_ms: int,
) -> None:
    """Start all members of a gang under one run number, or none."""
    step = step_run.step
    if len(step_run.waiting) < step.count:
        return
    if state.unlocated_runs and any(
        state.may_run_unlocated(task) for task in step_run.tasks
    ):
        return
    if not is_within_quota(state, step_run.live, step.size * step.count):
        return
    chosen = choose_gang_executors(pool_capacity.usable, step_run, now_ms)
    if chosen is None:
        return
    number = max(_get_next_run_number(state, task) for task in step_run.tasks)
    checkpoint = next(
        (task.checkpoint for task in step_run.tasks if task.checkpoint), ""
    )
    for task, executor in zip(step_run.tasks, chosen, strict=True):
        task.checkpoint = checkpoint
        _start_run(state, task, number, executor, now_ms, unix_ms)


def _get_next_run_number(state: SchedulerState, task: Task) -> int:
    return max(task.last_run_number, state.term * RUN_NUMBERS_PER_TERM) + 1


def _start_run(
    state: SchedulerState,
    task: Task,
    number: int,
    executor: Executor,
    now_ms: int,
    unix_ms: int,
) -> None:
    """Track a new run and add its start to the actions."""
    live = task.step_run.live
    task.last_run_number = number
    run = Run(task, number, executor.id, now_ms)
    if live.queue.advised:
        run.ticket = advice.use_ticket(state, task.step_run, executor)
    state.track_run(run, executor)
    if executor.cold_until_ms > now_ms:
        executor.cold_started_cpu += task.step_run.step.size.cpu
    _log.event(
        "starting a run",
        request=task.name,
        run=number,
        executor=executor.id,
        queue=live.queue.name,
        waited_ms=unix_ms - live.submission.accepted_ms,
        free_cpu=executor.free.cpu,
        config=state.configuration.version if state.configuration else 0,
    )
    state.actions.append(actions.StartRun(run))


def is_within_quota(
    state: SchedulerState, live: LiveSubmission, size: Resources
) -> bool:
    """Tell whether a submission's organisation may use further resources.

    A service in which the quota is exhausted is noted as quota-limited.
    """
    owner = live.submission.organisation
    organisation = state.settings.find_organisation(owner)
    if organisation is None:
        return True
    quota = organisation.quota
    total = state.used_by_organisation.get(owner, NO_RESOURCES) + size
    total = total + state.unknown_use_by_organisation.get(owner, NO_RESOURCES)
    within_quota = (
        (not quota.cpu or total.cpu <= quota.cpu)
        and (not quota.memory_mb or total.memory_mb <= quota.memory_mb)
        and (not quota.gpu or total.gpu <= quota.gpu)
    )
    if not within_quota:
        state.quota_limited_services.add(live.queue.service)
    return within_quota

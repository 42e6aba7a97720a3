"""Which waiting tasks start now: one pass over a service's waiting work.

Load pattern: a queue in its turn asks for more than its pool holds, so that a pass
runs at each end of a task and finds hundreds of steps that fit nowhere. A pass
handles only services of which something changed, and steps larger than the largest
free room cost one comparison.
"""

import typing as t

from cranberrywheel.logs import PartLogger
from cranberrywheel.submission import actions
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import LiveSubmission, Run, StepRun, Task
from cranberrywheel.submission.model import NO_RESOURCES, Resources
from cranberrywheel.submission.placement import (
    PoolCapacity,
    choose_executor,
    choose_gang_executors,
)
from cranberrywheel.submission.queue_order import remaining_work, scheduling_key
from cranberrywheel.submission.state import Advice, SchedulerState

#: Numbers of runs that one leader may use for a task. Each leader begins above its
#: predecessors', so that a number is never used twice.
RUN_NUMBERS_PER_TERM = 1_000

_log = PartLogger("scheduler")


def start_waiting_tasks(state: SchedulerState, now_ms: int, unix_ms: int) -> None:
    """Start what can start in the services that changed."""
    if not state.may_start or state.configuration is None:
        return
    services, state.dirty_services = state.dirty_services, set()
    for service in sorted(services):
        if state.waiting_by_service.get(service):
            _schedule_service(state, service, now_ms, unix_ms)


def _schedule_service(
    state: SchedulerState, service: str, now_ms: int, unix_ms: int
) -> None:
    state.quota_limited_services.discard(service)
    pool = list(state.executors_by_service.get(service, {}).values())
    room = PoolCapacity(pool)
    for _, step_run in _startable_steps(state, service, pool, room, now_ms, unix_ms):
        _start_step(state, step_run, pool, room, now_ms, unix_ms)


def _startable_steps(
    state: SchedulerState,
    service: str,
    pool: t.Sequence[Executor],
    room: PoolCapacity,
    now_ms: int,
    unix_ms: int,
) -> list[tuple[tuple[int, int, float], StepRun]]:
    """Return the steps that may start and may find room, first ones first."""
    waiting = state.waiting_by_service[service]
    unsettled = [
        x for x in pool if not x.fence_confirmed and now_ms <= x.lease_expiry_ms
    ]
    unseen = any(x.reachable for x in unsettled)  # a first look is under way
    rows: list[tuple[tuple[int, int, float], StepRun]] = []
    for submission_id, live in list(waiting.items()):
        ready = live.ready_steps()
        if not ready and not live.has_waiting:
            del waiting[submission_id]
        if live.recovered and unseen:
            continue
        startable = [
            step_run
            for step_run in ready
            if _may_begin(state, step_run, unix_ms)
            and room.may_fit(step_run.step.claim)
            and not (
                live.recovered and unsettled and _may_run_unpolled(state, step_run)
            )
        ]
        if startable:
            remaining = remaining_work(live, state.duration_estimates.factor(live))
            key = scheduling_key(live, remaining, unix_ms)
            rows.extend((key, step_run) for step_run in startable)
    rows.sort(key=lambda row: row[0])
    return rows


def _may_run_unpolled(state: SchedulerState, step_run: StepRun) -> bool:
    return step_run.may_have_begun or not state.trusts_records


def _may_begin(state: SchedulerState, step_run: StepRun, unix_ms: int) -> bool:
    """Whether a step is due and its first start would be known to a successor."""
    live = step_run.live
    if live.submission.schedule and live.due_ms(step_run.occurrence) > unix_ms:
        return False
    if step_run.may_have_begun or state.store_unreachable:
        return True
    if not step_run.begin_record_version:
        state.mark_changed(live)
        step_run.begin_record_version = live.version
    return live.stored_version >= step_run.begin_record_version


def _start_step(
    state: SchedulerState,
    step_run: StepRun,
    pool: t.Sequence[Executor],
    room: PoolCapacity,
    now_ms: int,
    unix_ms: int,
) -> None:
    live = step_run.live
    step = step_run.step
    if not room.may_fit(step.claim):
        return
    tickets: dict[str, str] | None = None
    if live.queue.advised:
        tickets = _advised_tickets(state, step_run, pool, now_ms)
        pool = [executor for executor in pool if executor.id in tickets]
        room = PoolCapacity(pool)
    if step.gang:
        _start_gang(state, step_run, room, tickets, now_ms, unix_ms)
        room.refresh()
        return
    leaving = state.maintenance_due | state.borrowed_machines
    for task in list(step_run.waiting.values()):
        if not room.may_fit(step.claim) or not _is_within_quota(state, live, step.size):
            return
        executor = choose_executor(room, task, now_ms, leaving)
        if executor is None:
            if not task.avoid_until_ms_by_executor:
                return  # the other tasks of the step are of the same size
            continue
        ticket = tickets[executor.id] if tickets else ""
        _start(
            state, task, _next_number(state, task), executor, ticket, now_ms, unix_ms
        )
        room.refresh()


def _start_gang(
    state: SchedulerState,
    step_run: StepRun,
    room: PoolCapacity,
    tickets: dict[str, str] | None,
    now_ms: int,
    unix_ms: int,
) -> None:
    step = step_run.step
    if len(step_run.waiting) < step.count:
        return
    whole = Resources(
        step.size.cpu * step.count,
        step.size.memory_mb * step.count,
        step.size.gpu * step.count,
    )
    if not _is_within_quota(state, step_run.live, whole):
        return
    chosen = choose_gang_executors(room.usable, step_run, now_ms)
    if chosen is None:
        return
    number = max(_next_number(state, task) for task in step_run.tasks)
    saved = next((task.checkpoint for task in step_run.tasks if task.checkpoint), "")
    for task, executor in zip(step_run.tasks, chosen, strict=True):
        task.checkpoint = saved
        ticket = tickets[executor.id] if tickets else ""
        _start(state, task, number, executor, ticket, now_ms, unix_ms)


def _next_number(state: SchedulerState, task: Task) -> int:
    return max(task.last_run_number, state.term * RUN_NUMBERS_PER_TERM) + 1


def _start(
    state: SchedulerState,
    task: Task,
    number: int,
    executor: Executor,
    ticket: str,
    now_ms: int,
    unix_ms: int,
) -> None:
    live = task.step_run.live
    task.last_run_number = number
    run = Run(task, number, executor.id, now_ms)
    state.track_run(run, executor)
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
    state.actions.append(actions.StartRun(run, ticket))


def _is_within_quota(
    state: SchedulerState, live: LiveSubmission, size: Resources
) -> bool:
    owner = live.submission.organisation
    if state.configuration is None or not owner:
        return True
    organisation = state.configuration.organisations_by_name.get(owner)
    if organisation is None:
        return True
    quota = organisation.quota
    total = state.used_by_organisation.get(owner, NO_RESOURCES) + size
    within = (
        (not quota.cpu or total.cpu <= quota.cpu)
        and (not quota.memory_mb or total.memory_mb <= quota.memory_mb)
        and (not quota.gpu or total.gpu <= quota.gpu)
    )
    if not within:
        state.quota_limited_services.add(live.queue.service)
    return within


def _advised_tickets(
    state: SchedulerState,
    step_run: StepRun,
    pool: t.Sequence[Executor],
    now_ms: int,
) -> dict[str, str]:
    advice = state.advice_by_step.get(step_run.name)
    if advice is not None and (advice.pending or advice.until_ms > now_ms):
        return advice.tickets
    ids = tuple(executor.id for executor in pool if executor.is_usable)
    if ids:
        state.advice_by_step[step_run.name] = Advice({}, 0, pending=True)
        state.actions.append(actions.RequestAdvice(step_run.name, ids))
    return {}

"""Which waiting tasks start now: one pass over a service's waiting work.

Load pattern: a queue in its turn asks for more than its pool holds, so that a pass
runs at each end of a task and finds hundreds of steps that fit nowhere. A pass
handles only services of which something changed, and steps larger than the largest
free room cost one comparison.
"""

import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission import actions as a
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import LiveSubmission, Run, StepRun, Task
from cranberrywheel.submission.model import NOTHING, Resources
from cranberrywheel.submission.order import order_key, remaining_work
from cranberrywheel.submission.placement import PoolRoom, choose, choose_gang
from cranberrywheel.submission.state import Advice, SchedulerState

#: Numbers of runs that one leader may use for a task. Each leader begins above its
#: predecessors', so that a number is never used twice.
NUMBERS_PER_TERM = 1_000

_log = ComponentLogger("scheduler")


def start_waiting(state: SchedulerState, now_ms: int, unix_ms: int) -> None:
    """Start what can start in the services that changed."""
    if not state.may_start or state.configuration is None:
        return
    services, state.dirty_services = state.dirty_services, set()
    for service in sorted(services):
        if state.waiting_by_service.get(service):
            _pass(state, service, now_ms, unix_ms)


def _pass(state: SchedulerState, service: str, now_ms: int, unix_ms: int) -> None:
    state.capped_services.discard(service)
    pool = list(state.executors_by_service.get(service, {}).values())
    room = PoolRoom(pool)
    for _, step_run in _startable(state, service, pool, room, now_ms, unix_ms):
        _start_step(state, step_run, pool, room, now_ms, unix_ms)


def _startable(
    state: SchedulerState,
    service: str,
    pool: t.Sequence[Executor],
    room: PoolRoom,
    now_ms: int,
    unix_ms: int,
) -> list[tuple[tuple[int, int, float], StepRun]]:
    """Return the steps that may start and may find room, first ones first."""
    waiting = state.waiting_by_service[service]
    unsettled = [x for x in pool if not x.fenced and now_ms <= x.lapse_ms]
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
            and not (live.recovered and unsettled and _may_run_unseen(state, step_run))
        ]
        if startable:
            remaining = remaining_work(live, state.durations.factor(live))
            key = order_key(live, remaining, unix_ms)
            rows.extend((key, step_run) for step_run in startable)
    rows.sort(key=lambda row: row[0])
    return rows


def _may_run_unseen(state: SchedulerState, step_run: StepRun) -> bool:
    return step_run.begun_before or not state.trusts_records


def _may_begin(state: SchedulerState, step_run: StepRun, unix_ms: int) -> bool:
    """Whether a step is due and its first start would be known to a successor."""
    live = step_run.live
    if live.submission.schedule and live.due_ms(step_run.occurrence) > unix_ms:
        return False
    if step_run.begun_before or state.store_away:
        return True
    if not step_run.begin_version:
        state.touch(live)
        step_run.begin_version = live.version
    return live.stored_version >= step_run.begin_version


def _start_step(
    state: SchedulerState,
    step_run: StepRun,
    pool: t.Sequence[Executor],
    room: PoolRoom,
    now_ms: int,
    unix_ms: int,
) -> None:
    live = step_run.live
    step = step_run.step
    if not room.may_fit(step.claim):
        return
    tickets: dict[str, str] | None = None
    if live.queue.advised:
        tickets = _tickets(state, step_run, pool, now_ms)
        pool = [executor for executor in pool if executor.id in tickets]
        room = PoolRoom(pool)
    if step.gang:
        _start_gang(state, step_run, room, tickets, now_ms, unix_ms)
        room.refresh()
        return
    leaving = state.upkeep_due | state.lent_machines
    for task in list(step_run.waiting.values()):
        if not room.may_fit(step.claim) or not _is_within_cap(state, live, step.size):
            return
        executor = choose(room, task, now_ms, leaving)
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
    room: PoolRoom,
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
    if not _is_within_cap(state, step_run.live, whole):
        return
    chosen = choose_gang(room.usable, step_run, now_ms)
    if chosen is None:
        return
    number = max(_next_number(state, task) for task in step_run.tasks)
    saved = next((task.checkpoint for task in step_run.tasks if task.checkpoint), "")
    for task, executor in zip(step_run.tasks, chosen, strict=True):
        task.checkpoint = saved
        ticket = tickets[executor.id] if tickets else ""
        _start(state, task, number, executor, ticket, now_ms, unix_ms)


def _next_number(state: SchedulerState, task: Task) -> int:
    return max(task.last_number, state.term * NUMBERS_PER_TERM) + 1


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
    task.last_number = number
    run = Run(task, number, executor.id, now_ms)
    state.count_run(run, executor)
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
    state.actions.append(a.StartRun(run, ticket))


def _is_within_cap(
    state: SchedulerState, live: LiveSubmission, size: Resources
) -> bool:
    owner = live.submission.organisation
    if state.configuration is None or not owner:
        return True
    organisation = state.configuration.organisations_by_name.get(owner)
    if organisation is None:
        return True
    cap = organisation.cap
    total = state.used_by_organisation.get(owner, NOTHING) + size
    within = (
        (not cap.cpu or total.cpu <= cap.cpu)
        and (not cap.memory_mb or total.memory_mb <= cap.memory_mb)
        and (not cap.gpu or total.gpu <= cap.gpu)
    )
    if not within:
        state.capped_services.add(live.queue.service)
    return within


def _tickets(
    state: SchedulerState,
    step_run: StepRun,
    pool: t.Sequence[Executor],
    now_ms: int,
) -> dict[str, str]:
    advice = state.advice_by_step.get(step_run.name)
    if advice is not None and (advice.asked or advice.until_ms > now_ms):
        return advice.tickets
    ids = tuple(executor.id for executor in pool if executor.is_usable)
    if ids:
        state.advice_by_step[step_run.name] = Advice({}, 0, asked=True)
        state.actions.append(a.AskAdvice(step_run.name, ids))
    return {}

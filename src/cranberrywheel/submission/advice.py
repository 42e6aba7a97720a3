"""Tickets of the advisor, and the calls that bring them.

Load pattern: a burst makes dozens of steps wait for tickets at once, while the advisor
handles one call of a process at a time and takes a fraction of a second for each. An
answer is worth something only if its step can start while the tickets are valid. So a
step asks only while something of it could start now, and one call is under way at a
time; it is chosen when the advisor is free, see :mod:`.advice_turns`.
"""

import dataclasses
import enum
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.actions import RequestAdvice
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.fair_shares import DEFAULT_WEIGHT
from cranberrywheel.submission.live import StepRun, Task
from cranberrywheel.submission.placement import (
    choose_gang_executors,
    compute_score,
    count_slots,
    meets_constraints,
)

if t.TYPE_CHECKING:
    from cranberrywheel.submission.state import SchedulerState

#: Largest number of executors that one call may name.
MAX_EXECUTORS_PER_CALL = 100
#: Executors of which nothing is known that the first call for a step names at least.
#: Each costs time of the advisor, and some of them may not run the step.
FIRST_UNKNOWN_EXECUTORS = 8
#: Waiting tasks that are examined for an executor on which one of them may start.
EXAMINED_TASKS = 4
#: A ticket is used only while it is valid for longer than a start takes.
TICKET_MARGIN_MS = 100
#: Longest validity that counts, an hour.
MAX_VALID_MS = 3_600_000
#: Shortest and longest delay before a step asks again after a call that failed, or
#: after a ticket that an executor refused. Other steps go first meanwhile.
MIN_RETRY_MS, MAX_RETRY_MS = 250, 4_000

_log = ComponentLogger("scheduler")


class AdviceOutcome(enum.Enum):
    """How a call to the advisor ended.

    ``BUSY``: too many calls wait there. ``REFUSED``: it was not handled, or its answer
    is of no use. ``NO_ANSWER``: it may be handled yet.
    """

    ANSWERED = "answered"
    BUSY = "busy"
    REFUSED = "refused"
    NO_ANSWER = "no-answer"


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceReply:
    """End of a call to the advisor.

    :param ticket_by_executor: tickets by id of the executors that may run the step.
    :param valid_ms: validity of the tickets in milliseconds, from the answer.
    :param error: status code, or the reason without an answer; for logs.
    """

    outcome: AdviceOutcome
    ticket_by_executor: dict[str, str] = dataclasses.field(default_factory=dict)
    valid_ms: int = 0
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Ticket of a step for one life of an executor.

    :param boot: start of the executor's process, see :class:`.Executor`.
    :param until_ms: steady time until which it is used, in milliseconds.
    """

    text: str
    boot: int
    until_ms: int


class StepAdvice:
    """What is known about the executors that may run a step.

    Which executors may run it never changes, so an executor whose ticket has expired is
    still allowed, and one that got no ticket is not named again in the same life.

    :ivar waiting_since_ms: since when the step has needed tickets, as steady time; 0
        after a start with one.
    :ivar ticket_by_executor: last ticket of each allowed executor, by its id.
    :ivar denied_boots: executors that may not run the step, by id and boot.
    :ivar unknown_count: executors of which nothing is known that the next call names at
        least.
    :ivar failure_count: failed calls and refused tickets since the last start.
    :ivar retry_ms: steady time before which the step does not ask again.
    :ivar is_used: the last answer has led to a start.
    """

    __slots__ = (
        "denied_boots",
        "failure_count",
        "is_used",
        "retry_ms",
        "ticket_by_executor",
        "unknown_count",
        "waiting_since_ms",
    )

    def __init__(self, now_ms: int) -> None:
        self.waiting_since_ms = now_ms
        self.ticket_by_executor: dict[str, Ticket] = {}
        self.denied_boots: frozenset[tuple[str, int]] = frozenset()
        self.unknown_count = FIRST_UNKNOWN_EXECUTORS
        self.failure_count = 0
        self.retry_ms = 0
        self.is_used = True

    def is_allowed(self, executor: Executor) -> bool:
        """Tell whether an executor in its present life is known to be allowed."""
        ticket = self.ticket_by_executor.get(executor.id)
        return ticket is not None and ticket.boot == executor.boot

    def has_valid_ticket(self, executor: Executor, now_ms: int) -> bool:
        """Tell whether a start on an executor may use its ticket now."""
        return (
            self.is_allowed(executor)
            and now_ms < self.ticket_by_executor[executor.id].until_ms
        )

    def is_unknown(self, executor: Executor) -> bool:
        """Tell whether the advisor has not been asked about an executor's life."""
        return (
            not self.is_allowed(executor)
            and (executor.id, executor.boot) not in self.denied_boots
        )

    def delay_next_call(self, now_ms: int) -> None:
        """Let other steps go first after a failure, longer with each in a row."""
        self.retry_ms = now_ms + min(
            MAX_RETRY_MS, MIN_RETRY_MS << min(self.failure_count, 16)
        )
        self.failure_count += 1


def list_ticketed(
    step_run: StepRun, pool: t.Iterable[Executor], now_ms: int
) -> list[Executor]:
    """Return the executors of a pool for which a step has a valid ticket."""
    advice = step_run.advice
    if advice is None or not advice.ticket_by_executor:
        return []
    return [executor for executor in pool if advice.has_valid_ticket(executor, now_ms)]


def note_need(step_run: StepRun, now_ms: int) -> StepAdvice:
    """Record that a step needs tickets, and since when."""
    if step_run.advice is None:
        step_run.advice = StepAdvice(now_ms)
        _log.event(
            "waiting for tickets",
            request=step_run.name,
            queue=step_run.live.queue.name,
            organisation=step_run.live.submission.organisation,
        )
    elif not step_run.advice.waiting_since_ms:
        step_run.advice.waiting_since_ms = now_ms
    return step_run.advice


def wants_call(state: "SchedulerState", step_run: StepRun, now_ms: int) -> bool:
    """Record that a step needs tickets; tell whether it may ask for them now."""
    advice = note_need(step_run, now_ms)
    return advice.retry_ms <= now_ms and not state.advice_turns.has_candidate(step_run)


def consider_call(
    state: "SchedulerState",
    step_run: StepRun,
    tasks: t.Sequence[Task],
    pool: t.Iterable[Executor],
    now_ms: int,
) -> None:
    """Let a step ask if tickets would let one of its tasks start now.

    :param tasks: its tasks that may start, apart from the tickets.
    """
    if not tasks:
        return
    executors = _choose_executors(state, step_run, tasks, pool, now_ms)
    if executors:
        state.advice_turns.add_candidate(step_run, executors)


def _can_start(executor: Executor, task: Task, now_ms: int) -> bool:
    """Tell whether a task could start on an executor now if it had a ticket."""
    is_open = executor.is_usable or (
        executor.is_available and executor.isolated_for is task.step_run.live
    )
    return (
        is_open
        and task.step_run.step.claim.fits_in(executor.free)
        and meets_constraints(executor, task, now_ms)
    )


def _list_candidates(
    state: "SchedulerState",
    step_run: StepRun,
    advice: StepAdvice,
    tasks: t.Sequence[Task],
    pool: t.Iterable[Executor],
    now_ms: int,
) -> list[tuple[bool, Executor]]:
    """Return the executors on which tickets would let a task start now.

    :returns: rows of whether nothing is known about the executor, and the executor;
        those that are known to be allowed first, and the best for the task first.
    """
    leaving_machines = state.maintenance_due | state.borrowed_machines
    packed_machines = state.packed_machines_by_service.get(step_run.live.queue.service)
    examined = tasks[:EXAMINED_TASKS]
    rows: list[tuple[bool, float, str, Executor]] = []
    for executor in pool:
        # The tickets of a gang are valid together only if all of them are renewed.
        if not step_run.step.gang and advice.has_valid_ticket(executor, now_ms):
            continue
        fitting = (task for task in examined if _can_start(executor, task, now_ms))
        task = next(fitting, None)
        if task is not None:
            score = compute_score(
                executor, task, now_ms, leaving_machines, packed_machines
            )
            rows.append((advice.is_unknown(executor), -score, executor.id, executor))
    rows.sort(key=lambda row: row[:3])
    return [(is_unknown, executor) for is_unknown, _, _, executor in rows]


def _choose_executors(
    state: "SchedulerState",
    step_run: StepRun,
    tasks: t.Sequence[Task],
    pool: t.Iterable[Executor],
    now_ms: int,
) -> tuple[Executor, ...]:
    """Return the executors to name in the next call for a step.

    Those that are known to be allowed go first, and as many of the others as the
    waiting tasks may need, counting with a denial for every second one.
    """
    advice = step_run.advice
    assert advice is not None
    chosen: list[Executor] = []
    unknown_count = 0
    missing: float = len(step_run.waiting)
    rows = _list_candidates(state, step_run, advice, tasks, pool, now_ms)
    for is_unknown, executor in rows[:MAX_EXECUTORS_PER_CALL]:
        needs_more_unknown = 0 < unknown_count < advice.unknown_count
        if missing <= 0 and not needs_more_unknown:
            break
        slots = count_slots(executor, step_run)
        missing -= slots / 2 if is_unknown else slots
        unknown_count += is_unknown
        chosen.append(executor)
    if step_run.step.gang and (
        choose_gang_executors(chosen, step_run, now_ms) is None
        or all(advice.has_valid_ticket(executor, now_ms) for executor in chosen)
    ):
        return ()
    return tuple(chosen)


def choose_call(state: "SchedulerState", now_ms: int) -> RequestAdvice | None:
    """Return the next call to the advisor, if it is free and a step needs it."""
    turns = state.advice_turns
    if not turns.may_ask:
        return None
    candidate = turns.take_next()
    if candidate is None:
        return None
    turns.may_ask = False
    step_run, executors = candidate
    live = step_run.live
    call_ms = live.queue.advisor_timing.compute_call_ms(len(executors))
    organisation = state.settings.find_organisation(live.submission.organisation)
    weight = organisation.weight if organisation else DEFAULT_WEIGHT
    turns.charge(step_run, call_ms, weight)
    assert step_run.advice is not None
    return RequestAdvice(
        step_run.name,
        tuple((executor.id, executor.boot) for executor in executors),
        call_ms,
        step_run.advice.waiting_since_ms,
    )


def apply_reply(
    state: "SchedulerState", call: RequestAdvice, reply: AdviceReply, now_ms: int
) -> None:
    """Apply the end of a call to the advisor to its step."""
    step_run = state.find_step_run(call.step)
    if step_run is None:
        return  # the submission has ended
    # An earlier leadership of this process may have made the call.
    advice = note_need(step_run, now_ms)
    state.dirty_services.add(step_run.live.queue.service)
    if reply.outcome is AdviceOutcome.BUSY:
        return  # nothing of the step caused it
    if reply.outcome is not AdviceOutcome.ANSWERED:
        advice.delay_next_call(now_ms)
        return
    valid_ms = min(reply.valid_ms, MAX_VALID_MS)
    until_ms = now_ms + valid_ms - min(TICKET_MARGIN_MS, valid_ms // 4)
    denied: set[tuple[str, int]] = set()
    for executor_id, boot in call.executors:
        text = reply.ticket_by_executor.get(executor_id)
        if text is None:
            denied.add((executor_id, boot))
            advice.ticket_by_executor.pop(executor_id, None)
        else:
            advice.ticket_by_executor[executor_id] = Ticket(text, boot, until_ms)
    advice.denied_boots |= denied
    advice.is_used = not reply.ticket_by_executor
    if reply.ticket_by_executor:
        state.advice_turns.answer_count += 1
    if denied:
        advice.unknown_count = min(MAX_EXECUTORS_PER_CALL, 2 * advice.unknown_count)


def count_waiting(state: "SchedulerState", now_ms: int) -> None:
    """Count the steps that wait for tickets, for metrics and logs.

    A step that waits for capacity or its quota is counted only if it needed tickets
    before.
    """
    waits_ms = [
        now_ms - step_run.advice.waiting_since_ms
        for live in state.live_by_id.values()
        if live.queue.advised and not live.final_state
        for step_run in live.list_ready_steps()
        if step_run.advice is not None and step_run.advice.waiting_since_ms
    ]
    state.advice_turns.waiting_count = len(waits_ms)
    state.advice_turns.longest_wait_ms = max(waits_ms, default=0)


def use_ticket(state: "SchedulerState", step_run: StepRun, executor: Executor) -> str:
    """Return the ticket for a start, and count the answer that brought it as used."""
    advice = step_run.advice
    if advice is None or not advice.is_allowed(executor):
        return ""
    advice.waiting_since_ms = 0
    if not advice.is_used:
        advice.is_used = True
        state.advice_turns.used_answer_count += 1
    return advice.ticket_by_executor[executor.id].text


def note_accepted(step_run: StepRun) -> None:
    """Record that an executor has accepted a ticket."""
    if step_run.advice is not None:
        step_run.advice.failure_count = 0


def note_refused_ticket(
    step_run: StepRun, executor_id: str, ticket: str, now_ms: int
) -> None:
    """Forget a ticket that an executor has refused, unless there is a newer one.

    The executor may have begun a new life, about which the advisor is asked again.
    """
    advice = step_run.advice
    if advice is None:
        return
    held = advice.ticket_by_executor.get(executor_id)
    if held is not None and held.text == ticket:
        del advice.ticket_by_executor[executor_id]
        advice.delay_next_call(now_ms)

"""Choice of the runs that are stopped for urgent work, and what is kept for that work.

Load pattern: a pool is full of work of less urgent queues when a burst of an urgent
queue begins, whose objectives end before that work does.
"""

import dataclasses
import typing as t

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import LiveSubmission, Run, RunState
from cranberrywheel.submission.maintenance import count_other_unavailable
from cranberrywheel.submission.model import NO_RESOURCES, Resources

#: Time for which freed capacity is kept: a stop takes 0.1 to 0.2 s to be reported, and
#: an executor that does not answer is polled again after 0.3 s.
RESERVATION_MS = 1_500
#: A run that is expected to end within this time frees its capacity sooner than a stop.
IMMINENT_COMPLETION_MS = 250
#: Work that a run loses at most if its task saves checkpoints: their interval.
CHECKPOINT_INTERVAL_MS = 500
#: Loss of a long-running task: it starts up again for 0.7 s, and is away meanwhile.
RESTART_LOSS_MS = 1_400
#: Part of a pool's cpu that may be taken from running work per second, and at once: the
#: widest submissions of a small pool ask for a quarter of it.
MAX_RATE_PER_S = 0.1
MAX_AT_ONCE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity of an executor that is kept for a submission.

    :param until_ms: steady time at which others may have it.
    :param used_before: what was used on the executor when it was opened.
    """

    executor: Executor
    amount: Resources
    until_ms: int
    used_before: Resources = NO_RESOURCES


@dataclasses.dataclass
class PreemptionState:
    """What one leadership has preempted. Times are steady milliseconds.

    :ivar reservations_by_submission: freed capacity by submission id.
    :ivar budget_by_service: part of each pool's cpu that may be taken at present.
    :ivar updated_ms: when the budgets were last updated.
    :ivar stopped_count: runs that were stopped for urgent work.
    """

    reservations_by_submission: dict[str, list[Reservation]] = dataclasses.field(
        default_factory=dict
    )
    budget_by_service: dict[str, float] = dataclasses.field(default_factory=dict)
    updated_ms: int = 0
    stopped_count: int = 0

    def reserve(
        self, live: LiveSubmission, executor: Executor, amount: Resources, now_ms: int
    ) -> None:
        """Keep capacity of an executor for a submission."""
        executor.reserve(live, amount)
        self.reservations_by_submission.setdefault(live.submission.id, []).append(
            Reservation(executor, amount, now_ms + RESERVATION_MS)
        )

    def open_for(self, live: LiveSubmission) -> list[Reservation]:
        """Open the executors to the submission that they are reserved for."""
        rows = self.reservations_by_submission.pop(live.submission.id, [])
        for row in rows:
            row.executor.reserve(None, NO_RESOURCES)
        return [dataclasses.replace(row, used_before=row.executor.used) for row in rows]

    def close_for(self, live: LiveSubmission, opened: list[Reservation]) -> None:
        """Reserve again what the submission has not used, while tasks of it wait."""
        if not any(step_run.waiting for step_run in live.list_ready_steps()):
            return
        kept: list[Reservation] = []
        for row in opened:
            left = row.amount - (row.executor.used - row.used_before)
            left = Resources(max(0, left.cpu), max(0, left.memory_mb), max(0, left.gpu))
            if left != NO_RESOURCES:
                row.executor.reserve(live, left)
                kept.append(dataclasses.replace(row, amount=left))
        if kept:
            self.reservations_by_submission[live.submission.id] = kept

    def expire(self, live_ids: t.Container[str], now_ms: int) -> bool:
        """Open what was kept for too long, or for a submission that has ended.

        :returns: whether anything was opened.
        """
        expired = False
        for submission_id, rows in list(self.reservations_by_submission.items()):
            kept = [
                row
                for row in rows
                if row.until_ms > now_ms and submission_id in live_ids
            ]
            for row in rows:
                if row not in kept:
                    row.executor.reserve(None, NO_RESOURCES)
                    expired = True
            if kept:
                self.reservations_by_submission[submission_id] = kept
            else:
                del self.reservations_by_submission[submission_id]
        return expired

    def refill(self, now_ms: int) -> None:
        """Add to the budgets what the time since the last update allows."""
        added = MAX_RATE_PER_S * (now_ms - self.updated_ms) / 1_000
        self.updated_ms = now_ms
        for service, budget in self.budget_by_service.items():
            self.budget_by_service[service] = min(MAX_AT_ONCE, budget + added)


def may_preempt(run: Run, priority: int) -> bool:
    """Tell whether a run may be stopped for work of a priority.

    Members of gangs, runs that were stopped for urgent work before and runs whose start
    or end is under way stay. A long-running step never misses more than ``may_miss``.
    """
    task = run.task
    step = task.step_run.step
    if (
        task.step_run.live.queue.priority <= priority
        or run.state is not RunState.RUNNING
        or step.gang
        or task.preempted
        or task.done
    ):
        return False
    if step.long_running:
        return (
            task.available_since_ms > 0
            and count_other_unavailable(task.step_run, run) < step.may_miss
        )
    return True


def compute_lost_core_ms(run: Run, now_ms: int) -> float:
    """Return the work that a stop of a run loses, in core-milliseconds."""
    step = run.task.step_run.step
    lost_ms: float = now_ms - run.started_ms
    if step.long_running:
        lost_ms = RESTART_LOSS_MS
    elif step.checkpointing and run.task.checkpoint:
        lost_ms = min(lost_ms, CHECKPOINT_INTERVAL_MS)
    return lost_ms * step.size.cpu / 1_000


def compute_remaining_ms(run: Run, duration_factor: float, now_ms: int) -> float:
    """Estimate when a run ends, from its progress or else its declared duration."""
    elapsed_ms = now_ms - run.started_ms
    if run.percent > 0:
        return elapsed_ms * (100 - run.percent) / run.percent
    return run.task.step_run.step.estimated_ms * duration_factor - elapsed_ms


def choose_victims(
    executor: Executor,
    claim: Resources,
    priority: int,
    get_factor: t.Callable[[LiveSubmission], float],
    now_ms: int,
) -> tuple[float, list[Run]] | None:
    """Choose the runs of an executor with the least loss that make room for work.

    :param claim: capacity that the work needs.
    :param priority: priority of its queue.
    :param get_factor: returns expected durations as a multiple of the declared ones.
    :returns: the lost work in core-milliseconds and the runs, none if there is room
        already or runs that are about to end make it; ``None`` if the work cannot fit.
    """
    free = executor.free
    rows: list[tuple[float, int, Run]] = []
    for number, run in enumerate(executor.runs.values()):
        if _ends_soon(run, get_factor(run.task.step_run.live), now_ms):
            free = free + run.task.step_run.step.claim
        elif may_preempt(run, priority):
            rows.append((compute_lost_core_ms(run, now_ms), number, run))
    chosen: list[Run] = []
    lost = 0.0
    steps: set[int] = set()
    for lost_core_ms, _, run in sorted(rows):
        if claim.fits_in(free):
            break
        step_run = run.task.step_run
        if not _frees_lacking(step_run.step.claim, claim - free):
            continue
        if step_run.step.long_running:
            if id(step_run) in steps:
                continue  # the next tick counts what is away by then
            steps.add(id(step_run))
        chosen.append(run)
        lost += lost_core_ms
        free = free + step_run.step.claim
    return (lost, chosen) if claim.fits_in(free) else None


def _frees_lacking(freed: Resources, lacking: Resources) -> bool:
    """Tell whether a run frees some of what is lacking; background runs free no cpu."""
    return (
        (freed.cpu > 0 and lacking.cpu > 0)
        or (freed.memory_mb > 0 and lacking.memory_mb > 0)
        or (freed.gpu > 0 and lacking.gpu > 0)
    )


def _ends_soon(run: Run, duration_factor: float, now_ms: int) -> bool:
    if run.state is RunState.STOPPING:
        return True
    if run.task.step_run.step.long_running:
        return False
    remaining_ms = compute_remaining_ms(run, duration_factor, now_ms)
    return 0 <= remaining_ms <= IMMINENT_COMPLETION_MS

"""State of live submissions (accepted and not finished), their tasks and runs."""

import dataclasses
import enum
import typing as t

from cranberrywheel.submission.model import Queue, Step, Submission, SubmissionState
from cranberrywheel.submission.record import Progress

if t.TYPE_CHECKING:
    from cranberrywheel.submission.advice import StepAdvice


class RunState(enum.Enum):
    """State of a run as the leader knows it.

    ``STARTING``: the start is not answered yet. ``UNCONFIRMED``: the start got no
    answer, so the run may exist. ``STOPPING``: the leader has ordered a stop.
    """

    STARTING = "starting"
    UNCONFIRMED = "doubtful"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Crash of an executor just after the start of a task.

    :param boot: start of the process that crashed.
    :param machine: id of its machine.
    :param is_attributed: only tasks of one submission can have caused it.
    :param is_prompt: it was noticed right after the task's start, which seldom happens
        by chance.
    """

    executor_id: str
    boot: int
    machine: str
    is_attributed: bool
    is_prompt: bool

    def is_same_process(self, other: "Crash") -> bool:
        """Tell whether both are the crash of one process."""
        return (self.executor_id, self.boot) == (other.executor_id, other.boot)


class Run:
    """One execution of a task on one executor. Times are steady milliseconds.

    :ivar number: number of the run; rises from run to run of a task.
    :ivar boot: process of the executor that was known when the run was first tracked.
    :ivar listed_boot: process that has listed the run; 0 if none has.
    :ivar zone: availability zone of the executor when the run started.
    :ivar rack: rack of the executor when the run started.
    :ivar pool: service of the executor when the run started.
    :ivar percent: progress; 100 means that a long-running task is available.
    :ivar confirmed_ms: when its executor confirmed the start or first listed the run;
        0 before.
    :ivar last_progress_ms: when ``percent`` last changed.
    :ivar load: last reading, see :class:`.executor_orders.RunningReport`.
    :ivar over_limit_since_ms: since when the latency of a latency-sensitive run is over
        its limit; 0 while it is not.
    :ivar speed_percent: speed that the run is throttled to; 100 is full speed.
    :ivar speed_changed_ms: when ``speed_percent`` last changed.
    :ivar stop_sent_ms: when the last stop order was sent.
    :ivar stop_confirmed_ms: when the executor confirmed the stop; 0 if not yet.
    :ivar slowness_recorded: its slow progress has been counted as a fault of its
        executor.
    :ivar ticket: advisor's ticket of its start; ``""`` if its queue needs none.
    """

    __slots__ = (
        "boot",
        "last_progress_ms",
        "executor_id",
        "confirmed_ms",
        "listed_boot",
        "load",
        "number",
        "over_limit_since_ms",
        "speed_percent",
        "speed_changed_ms",
        "percent",
        "pool",
        "rack",
        "slowness_recorded",
        "started_ms",
        "state",
        "stop_confirmed_ms",
        "stop_sent_ms",
        "task",
        "ticket",
        "stop_reason",
        "zone",
    )

    def __init__(self, task: "Task", number: int, executor_id: str, now_ms: int):
        self.task = task
        self.number = number
        self.executor_id = executor_id
        self.boot = 0
        self.listed_boot = 0
        self.zone = ""
        self.rack = ""
        self.pool = ""
        self.state = RunState.STARTING
        self.confirmed_ms = 0
        self.started_ms = now_ms
        self.percent = 0.0
        self.last_progress_ms = now_ms
        self.load = 0.0
        self.over_limit_since_ms = 0
        self.speed_percent = 100
        self.speed_changed_ms = 0
        self.stop_sent_ms = 0
        self.stop_confirmed_ms = 0
        self.stop_reason = ""
        self.slowness_recorded = False
        self.ticket = ""

    @property
    def is_confirmed(self) -> bool:
        """Whether its executor has confirmed the start or listed the run."""
        return self.confirmed_ms > 0

    def confirm(self, now_ms: int) -> None:
        """Record that its executor has confirmed it."""
        self.confirmed_ms = self.confirmed_ms or now_ms

    @property
    def key(self) -> tuple[str, int]:
        """Name of the task and number of the run, as executors identify it."""
        return self.task.name, self.number


class Task:
    """A task and its runs; tasks of speculative steps may have several at once.

    :ivar index: position within the step.
    :ivar name: ``ID.OCCURRENCE.STEP.INDEX``, see :func:`parse_task_name`.
    :ivar failed_runs: numbers of the runs that ended as failed.
    :ivar crashes: crashes of executors that the task may have caused, see
        :mod:`.crash_attribution`.
    :ivar crash_record_version: version of the submission's record that contains them.
    :ivar last_run_number: highest number of a run so far.
    :ivar preempted: a run of it was stopped for urgent work; none will be again.
    :ivar checkpoint: last saved checkpoint, from which the next run resumes.
    :ivar avoid_until_ms_by_executor: until when the task should not start on an
        executor.
    """

    __slots__ = (
        "avoid_until_ms_by_executor",
        "unavailable_since_ms",
        "checkpoint",
        "crash_record_version",
        "crashes",
        "done",
        "failed_runs",
        "index",
        "last_run_number",
        "name",
        "preempted",
        "runs",
        "step_run",
        "available_since_ms",
    )

    def __init__(self, step_run: "StepRun", index: int) -> None:
        self.step_run = step_run
        self.index = index
        submission = step_run.live.submission
        self.name = f"{submission.id}.{step_run.occurrence}.{step_run.number}.{index}"
        self.runs: list[Run] = []
        self.done = False
        self.failed_runs: set[int] = set()
        self.crashes: list[Crash] = []
        self.crash_record_version = 0
        self.last_run_number = 0
        self.preempted = False
        self.checkpoint = ""
        self.avoid_until_ms_by_executor: dict[str, int] = {}
        #: Since when a long-running task is available; 0 while it is not.
        self.available_since_ms = 0
        self.unavailable_since_ms = 0


class StepRun:
    """A step of one occurrence of a submission.

    :ivar number: position within the submission.
    :ivar waiting: tasks that wait for a start, by index; changed only through the
        methods, which invalidate the submission's cached list of ready steps.
    :ivar begin_record_version: version of the submission's record that names all of
        ``begun_services``; 0 if the record that was loaded names them.
    :ivar begun_services: services on whose executors tasks of it may have started;
        empty until it begins.
    :ivar may_have_begun: an earlier leader may have started tasks of it.
    :ivar advice: what the advisor has said about it; ``None`` until it needs tickets.
    """

    __slots__ = (
        "advice",
        "begin_record_version",
        "begun_services",
        "may_have_begun",
        "done_count",
        "live",
        "number",
        "occurrence",
        "step",
        "tasks",
        "waiting",
    )

    def __init__(self, live: "LiveSubmission", occurrence: int, number: int) -> None:
        self.live = live
        self.occurrence = occurrence
        self.number = number
        self.step: Step = live.submission.steps[number]
        self.tasks = [Task(self, index) for index in range(self.step.count)]
        self.waiting = {task.index: task for task in self.tasks}
        self.done_count = 0
        self.begin_record_version = 0
        self.begun_services: tuple[str, ...] = ()
        self.may_have_begun = False
        self.advice: StepAdvice | None = None

    @property
    def name(self) -> str:
        """``ID.OCCURRENCE.STEP``."""
        return f"{self.live.submission.id}.{self.occurrence}.{self.number}"

    def list_possible_services(self) -> set[str]:
        """Return the services on whose executors earlier leaders may have started it.

        Records of earlier versions name no services, so those that the submission and
        the configuration name are always included.
        """
        live = self.live
        return {live.submission.service, live.queue.service, *self.begun_services}

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count == len(self.tasks)

    def mark_done(self, task: Task) -> None:
        """Mark a task as done and drop it from the waiting tasks."""
        if not task.done:
            task.done = True
            self.done_count += 1
            self.waiting.pop(task.index, None)
            self.live.invalidate_derived()

    def add_waiting(self, task: Task) -> None:
        """Add a task that waits for a start."""
        if not self.waiting:
            self.live.invalidate_derived()
        self.waiting[task.index] = task

    def remove_waiting(self, task: Task) -> None:
        """Remove a task that no longer waits for a start."""
        self.waiting.pop(task.index, None)
        if not self.waiting:
            self.live.invalidate_derived()


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingWork:
    """Remaining work of a submission.

    :param critical_path_ms: duration of the longest chain of unfinished steps, in
        milliseconds.
    :param total_critical_path_ms: the same over all steps, finished ones included.
    :param core_ms: processor time of the unfinished tasks, in core-milliseconds.
    :param pool_ms: time for which the unfinished tasks would occupy the whole pool, in
        milliseconds.
    """

    critical_path_ms: float
    total_critical_path_ms: float
    core_ms: float
    pool_ms: float = 0.0


class LiveSubmission:
    """A submission that is accepted and not finished.

    Variables and attributes named ``live`` hold a live submission.

    :ivar recovered: it was read from the store at a takeover, so tasks of it may
        already run on executors that the leader has not polled yet.
    :ivar beyond_share: its organisation had used up its share when it arrived.
    :ivar is_infeasible: it cannot meet its objective beside what is committed already,
        see :mod:`.overload_order`.
    :ivar advance_ms: by how much earlier it is ordered than its objective ends, because
        tasks of it have started and its pool is contended.
    :ivar started: an executor has certainly started a run of it.
    :ivar final_state: state in which it ended; ``None`` until then.
    :ivar final_stored: the store holds the final state.
    :ivar version: incremented with each change that must be stored.
    :ivar stored_version: latest version that the store is known to hold.
    :ivar progress_revision: store revision of its progress record; 0 for none.
    :ivar begun_occurrences: number of occurrences whose steps were created.
    :ivar step_runs: steps by occurrence and number.
    :ivar run_count: number of runs that may be on executors.
    :ivar run_count_by_zone: the same by availability zone.
    :ivar run_count_by_rack: the same by rack.
    :ivar declared_remaining: cached remaining work by declared durations; ``None``
        after a change.
    """

    def __init__(self, submission: Submission, queue: Queue, recovered: bool) -> None:
        self.submission = submission
        self.queue = queue
        self.recovered = recovered
        self.beyond_share = False
        self.is_infeasible = False
        self.advance_ms = 0
        self.started = False
        self.cancelled = False
        self.final_state: SubmissionState | None = None
        self.final_stored = False
        self.version = 0
        self.stored_version = 0
        self.progress_revision = 0
        self.begun_occurrences = 0
        self.step_runs: dict[tuple[int, int], StepRun] = {}
        self.run_count = 0
        self.run_count_by_zone: dict[str, int] = {}
        self.run_count_by_rack: dict[str, int] = {}
        self.has_long_running_step = any(step.long_running for step in submission.steps)
        self.declared_remaining: RemainingWork | None = None
        self._ready_steps: tuple[StepRun, ...] | None = None

    def count_run(self, run: Run, change: int) -> None:
        """Count a run that is tracked (1) or no longer tracked (-1)."""
        self.run_count += change
        for counts, domain in (
            (self.run_count_by_zone, run.zone),
            (self.run_count_by_rack, run.rack),
        ):
            counts[domain] = counts.get(domain, 0) + change

    def invalidate_derived(self) -> None:
        """Clear the cached ready steps and remaining work after a change."""
        self._ready_steps = None
        self.declared_remaining = None

    @property
    def has_waiting(self) -> bool:
        """Whether any task waits for a start."""
        return any(step_run.waiting for step_run in self.step_runs.values())

    def list_ready_steps(self) -> tuple[StepRun, ...]:
        """Return the steps with waiting tasks whose predecessors are done."""
        if self._ready_steps is None:
            self._ready_steps = tuple(
                step_run
                for step_run in self.step_runs.values()
                if step_run.waiting and self.is_ready(step_run)
            )
        return self._ready_steps

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        schedule = self.submission.schedule
        return schedule.repeat_count if schedule else 1

    def get_due_ms(self, occurrence: int) -> int:
        """Return the Unix time in milliseconds from which an occurrence may start."""
        schedule = self.submission.schedule
        if schedule is None:
            return 0
        return schedule.start_at_ms + occurrence * schedule.interval_ms

    def begin_occurrence(self) -> None:
        """Create the steps of the next occurrence."""
        occurrence = self.begun_occurrences
        self.begun_occurrences += 1
        self.invalidate_derived()
        for number in range(len(self.submission.steps)):
            self.step_runs[occurrence, number] = StepRun(self, occurrence, number)

    def is_ready(self, step_run: StepRun) -> bool:
        """Tell whether all predecessors of a step are done."""
        return all(
            self.step_runs[step_run.occurrence, earlier].is_done
            for earlier in step_run.step.after
        )

    @property
    def is_complete(self) -> bool:
        """Whether every occurrence has begun and all tasks are done."""
        return self.begun_occurrences == self.occurrences and all(
            step_run.is_done for step_run in self.step_runs.values()
        )

    def get_visible_state(self) -> SubmissionState:
        """Return the state that callers see.

        A final state other than ``CANCELLED`` shows only once it is stored.
        """
        if self.cancelled:
            return SubmissionState.CANCELLED
        if self.final_state and self.final_stored:
            return self.final_state
        return SubmissionState.RUNNING if self.started else SubmissionState.PENDING

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task, or ``None`` if the submission has none of these numbers.

        Occurrences up to that of the task are begun.
        """
        if not (0 <= occurrence < self.occurrences and 0 <= step):
            return None
        if step >= len(self.submission.steps):
            return None
        while self.begun_occurrences <= occurrence:
            self.begin_occurrence()
        tasks = self.step_runs[occurrence, step].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    def tasks(self) -> t.Iterator[Task]:
        """Iterate over the tasks of all occurrences that have begun."""
        for step_run in self.step_runs.values():
            yield from step_run.tasks

    def list_possible_services(self) -> set[str]:
        """Return the services on whose executors tasks of it may run."""
        services = {self.submission.service, self.queue.service}
        for step_run in self.step_runs.values():
            services.update(step_run.begun_services)
        return services

    @property
    def has_outdated_terms(self) -> bool:
        """Whether failed runs count under other attempts than the stored ones."""
        terms = self.submission.terms
        return (
            terms is not None
            and terms.attempts != self.queue.attempts
            and any(task.failed_runs for task in self.tasks())
        )

    def runs(self) -> t.Iterator[Run]:
        """Iterate over the runs of all tasks."""
        for task in self.tasks():
            yield from task.runs

    def build_progress(self) -> Progress:
        """Return the progress that must be stored."""
        progress = Progress()
        for (occurrence, number), step_run in self.step_runs.items():
            if step_run.begun_services:
                key = f"{occurrence}.{number}"
                progress.begun_steps.append(key)
                if step_run.begun_services != (self.submission.service,):
                    progress.services_by_step[key] = list(step_run.begun_services)
            if step_run.done_count:
                progress.done_by_step[f"{occurrence}.{number}"] = [
                    task.index for task in step_run.tasks if task.done
                ]
            for task in step_run.tasks:
                if task.crashes and not task.done:
                    key = f"{occurrence}.{number}.{task.index}"
                    progress.crashes_by_task[key] = [
                        dataclasses.astuple(crash) for crash in task.crashes
                    ]
            if step_run.step.long_running:
                continue
            for task in step_run.tasks:
                if task.failed_runs and not task.done:
                    key = f"{occurrence}.{number}.{task.index}"
                    progress.failed_runs_by_task[key] = sorted(task.failed_runs)
                if task.checkpoint and not task.done:
                    key = f"{occurrence}.{number}.{task.index}"
                    progress.checkpoint_by_task[key] = task.checkpoint
        return progress

    def restore(self, progress: Progress) -> None:
        """Apply a stored progress record."""
        # The begun steps do not count: a step is recorded as begun before its first
        # start, which may still fail.
        self.started = bool(progress.done_by_step or progress.failed_runs_by_task)
        for key in progress.begun_steps:
            occurrence, number = map(int, key.split("."))
            task = self.find_task(occurrence, number, 0)
            if task is not None:
                task.step_run.may_have_begun = True
                task.step_run.begun_services = tuple(
                    progress.services_by_step.get(key, (self.submission.service,))
                )
        for key, indices in progress.done_by_step.items():
            occurrence, number = map(int, key.split("."))
            for index in indices:
                task = self.find_task(occurrence, number, index)
                if task is not None:
                    task.step_run.mark_done(task)
        for key, numbers in progress.failed_runs_by_task.items():
            task = self.find_task(*map(int, key.split(".")))
            if task is not None:
                task.failed_runs.update(numbers)
        for key, checkpoint in progress.checkpoint_by_task.items():
            task = self.find_task(*map(int, key.split(".")))
            if task is not None:
                task.checkpoint = checkpoint
        for key, rows in progress.crashes_by_task.items():
            task = self.find_task(*map(int, key.split(".")))
            if task is not None:
                task.crashes = [Crash(*row) for row in rows]


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Split a task name of the form ``ID.OCCURRENCE.STEP.INDEX``.

    :returns: ``None`` for any other form.
    """
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])

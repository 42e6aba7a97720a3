"""State of the submissions that are not finished: tasks and their runs."""

import dataclasses
import enum
import typing as t

from cranberrywheel.submission.model import Queue, Step, Submission, SubmissionState
from cranberrywheel.submission.record import Progress


class RunState(enum.Enum):
    """State of a run as the leader knows it.

    ``DOUBTFUL``: a start got no answer. ``STOPPING``: a stop was ordered.
    """

    STARTING = "starting"
    UNCONFIRMED = "doubtful"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One start of a task on one executor.

    :ivar changed_ms: when ``percent`` last changed.
    :ivar slow: its progress has been counted against its executor.
    :ivar paced: share of its speed that it may work at.
    :ivar stop_confirmed_ms: when the executor confirmed the stop; 0 if not yet.
    """

    __slots__ = (
        "last_progress_ms",
        "executor_id",
        "load",
        "number",
        "over_limit_since_ms",
        "speed_percent",
        "speed_changed_ms",
        "percent",
        "rack",
        "slowness_recorded",
        "started_ms",
        "state",
        "stop_confirmed_ms",
        "stop_sent_ms",
        "task",
        "stop_reason",
    )

    def __init__(self, task: "Task", number: int, executor_id: str, now_ms: int):
        self.task = task
        self.number = number
        self.executor_id = executor_id
        self.rack = ""
        self.state = RunState.STARTING
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

    @property
    def key(self) -> tuple[str, int]:
        """Name of the task and number of the run."""
        return self.task.name, self.number


class Task:
    """One task with its runs; copies may run side by side in speculative steps."""

    __slots__ = (
        "avoid_until_ms_by_executor",
        "unavailable_since_ms",
        "checkpoint",
        "done",
        "failed_runs",
        "index",
        "last_run_number",
        "name",
        "runs",
        "step_run",
        "available_since_ms",
    )

    def __init__(self, step_run: "StepRun", index: int) -> None:
        self.step_run = step_run
        self.index = index
        live = step_run.live.submission
        self.name = f"{live.id}.{step_run.occurrence}.{step_run.number}.{index}"
        self.runs: list[Run] = []
        self.done = False
        self.failed_runs: set[int] = set()
        self.last_run_number = 0
        self.checkpoint = ""
        self.avoid_until_ms_by_executor: dict[str, int] = {}
        #: Since when a lasting task is at work; 0 while it is not.
        self.available_since_ms = 0
        self.unavailable_since_ms = 0


class StepRun:
    """A step of one occurrence of a submission.

    :ivar waiting: tasks without a run that are not done, by index; changed only
        through the methods, which keep the submission's list of ready steps.
    :ivar begin_version: version of the record that says that the step begins; 0
        before.
    :ivar begun_before: an earlier leader may have started tasks of it.
    """

    __slots__ = (
        "begin_record_version",
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
        self.may_have_begun = False

    @property
    def name(self) -> str:
        """Submission, occurrence and step."""
        return f"{self.live.submission.id}.{self.occurrence}.{self.number}"

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count == len(self.tasks)

    def mark_done(self, task: Task) -> None:
        """Note that a task is done."""
        if not task.done:
            task.done = True
            self.done_count += 1
            self.waiting.pop(task.index, None)
            self.live.invalidate_derived()

    def add_waiting(self, task: Task) -> None:
        """Let a task wait for a start."""
        if not self.waiting:
            self.live.invalidate_derived()
        self.waiting[task.index] = task

    def remove_waiting(self, task: Task) -> None:
        """Note that a task waits no more."""
        self.waiting.pop(task.index, None)
        if not self.waiting:
            self.live.invalidate_derived()


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingWork:
    """Remaining work of a submission.

    :param chain_ms: duration of its longest chain of steps.
    :param whole_chain_ms: the same with what is done already.
    :param core_ms: core-milliseconds.
    """

    critical_path_ms: float
    total_critical_path_ms: float
    core_ms: float


class LiveSubmission:
    """A submission that is not finished.

    :ivar started: a run of it has certainly been at an executor.
    :ivar version: rises with each change that must be stored.
    :ivar stored_version: version that the store is known to hold.
    :ivar recovered: read from the store at a take-over, so that tasks of it may
        already run where the leader has not looked yet.
    :ivar declared_remaining: remaining work by declared durations; ``None`` until it
        is asked for after a change.
    """

    def __init__(self, submission: Submission, queue: Queue, recovered: bool) -> None:
        self.submission = submission
        self.queue = queue
        self.recovered = recovered
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
        self.has_long_running_step = any(step.long_running for step in submission.steps)
        self.declared_remaining: RemainingWork | None = None
        self._ready_steps: tuple[StepRun, ...] | None = None

    def invalidate_derived(self) -> None:
        """Work ready steps and remaining work out again when they are asked for."""
        self._ready_steps = None
        self.declared_remaining = None

    @property
    def has_waiting(self) -> bool:
        """Whether any task has no run and is not done."""
        return any(step_run.waiting for step_run in self.step_runs.values())

    def ready_steps(self) -> tuple[StepRun, ...]:
        """Return the steps with waiting tasks whose earlier steps are done."""
        if self._ready_steps is None:
            self._ready_steps = tuple(
                step_run
                for step_run in self.step_runs.values()
                if step_run.waiting and self.is_ready(step_run)
            )
        return self._ready_steps

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        schedule = self.submission.schedule
        return schedule.repeat_count if schedule else 1

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time from which an occurrence may start."""
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
        """Whether all steps that come before a step are done."""
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

    def state(self) -> SubmissionState:
        """Return the state that callers may see."""
        if self.cancelled:
            return SubmissionState.CANCELLED
        if self.final_state and self.final_stored:
            return self.final_state
        return SubmissionState.RUNNING if self.started else SubmissionState.PENDING

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task, beginning occurrences up to its own."""
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

    def runs(self) -> t.Iterator[Run]:
        """Iterate over all runs."""
        for task in self.tasks():
            yield from task.runs

    def progress(self) -> Progress:
        """Return what the store has to keep."""
        progress = Progress()
        for (occurrence, number), step_run in self.step_runs.items():
            if step_run.begin_record_version or step_run.may_have_begun:
                progress.begun_steps.append(f"{occurrence}.{number}")
            if step_run.done_count:
                progress.done_by_step[f"{occurrence}.{number}"] = [
                    task.index for task in step_run.tasks if task.done
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
        # A step is marked as begun before its first start, which may still fail.
        self.started = bool(progress.done_by_step or progress.failed_runs_by_task)
        for key in progress.begun_steps:
            occurrence, number = map(int, key.split("."))
            task = self.find_task(occurrence, number, 0)
            if task is not None:
                task.step_run.may_have_begun = True
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


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Split ``ID.OCCURRENCE.STEP.INDEX``; ``None`` if it is none."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])

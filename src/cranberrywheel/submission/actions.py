"""What the scheduler wants done; its driver carries it out."""

import dataclasses

from cranberrywheel.submission.live import Run


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run on its executor."""

    run: Run
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run by its task's name; it may be unknown to the scheduler."""

    executor_id: str
    task: str
    number: int
    run: Run | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Let a run work at a share of its speed."""

    run: Run
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Ask which of these executors may run a step."""

    step: str
    executor_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteExecutorRecord:
    """Delete the record of an executor on which nothing can run any more."""

    executor_id: str


Action = StartRun | StopRun | ThrottleRun | RequestAdvice | DeleteExecutorRecord

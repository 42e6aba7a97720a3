"""Actions that the scheduler decides on and the leader carries out."""

import dataclasses

from cranberrywheel.submission.live import Run


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run on its executor."""

    run: Run


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run, identified by its task's name and its number.

    :param run: the run, or ``None`` if the scheduler does not track it.
    """

    executor_id: str
    task: str
    number: int
    run: Run | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Limit a run to a percentage of its full speed."""

    run: Run
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Ask the advisor which of these executors may run a step.

    :param executors: id and boot of each.
    :param call_ms: time that the advisor takes by the configuration, in milliseconds.
    :param waiting_since_ms: since when the step has needed tickets, as steady time.
    """

    step: str
    executors: tuple[tuple[str, int], ...]
    call_ms: int
    waiting_since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteExecutorRecord:
    """Delete the stored record of an executor on which nothing can run any more."""

    executor_id: str


Action = StartRun | StopRun | ThrottleRun | RequestAdvice | DeleteExecutorRecord

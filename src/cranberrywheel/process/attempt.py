"""One attempt to run a request on a worker, and its result."""

import dataclasses
import enum

from cranberrywheel.connection.target_messages import AttemptOutcome
from cranberrywheel.process.worker_table import WorkerRow
from cranberrywheel.request.model import Request
from cranberrywheel.version.configuration import Queue


class AttemptState(enum.Enum):
    """State of an attempt that has not ended."""

    NEEDS_TOKEN = "needs-token"
    RUNNING = "running"
    #: No caller waits for it, and the worker is asked to stop it.
    STOPPING = "stopping"
    #: Its connection broke, and the worker is asked for its state.
    QUERYING = "querying"


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One task on one worker. All times are readings of the local clock.

    :param task_id: id on the worker; also identifies the quota unit in use.
    :param sent_ms: when the start was sent, or 0.
    :param lease_sent_ms: when the latest task lease was sent.
    :param checkpoint: id of the checkpointed task to continue, or ``""``.
    :param preempted: whether it was asked to checkpoint in favour of urgent work.
    :param used_cores: highest usage reported, or ``None`` before the first report.
    :param used_memory_mb: highest usage reported, or ``None``.
    :param confirmed_running_ms: when the worker last reported the task as running.
    """

    task_id: str
    request: Request
    queue: Queue
    worker: WorkerRow
    state: AttemptState
    created_ms: int
    expected_ms: float
    sent_ms: int = 0
    lease_sent_ms: int = 0
    confirmed_running_ms: int = 0
    checkpoint: str = ""
    preempted: bool = False
    used_cores: float | None = None
    used_memory_mb: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptResult:
    """Result of an attempt, for its request.

    :param kind: problem type that the worker named, or ``""``.
    :param detail: cause in words, or ``""``.
    :param last: whether the attempt has ended on the worker.
    """

    attempt: Attempt
    end: AttemptOutcome
    kind: str = ""
    detail: str = ""
    body: bytes = b""
    content_type: str = ""
    last: bool = True

    @property
    def started(self) -> bool:
        """Whether the task may have been started; false if it certainly was not."""
        return self.end not in (AttemptOutcome.REFUSED, AttemptOutcome.NOT_SENT)

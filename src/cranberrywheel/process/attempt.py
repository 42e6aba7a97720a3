"""One attempt of a request at one worker, and what its end means."""

import dataclasses
import enum

from cranberrywheel.connection.target_messages import AttemptOutcome
from cranberrywheel.process.worker_table import WorkerRow
from cranberrywheel.request.model import Request
from cranberrywheel.version.configuration import Queue


class AttemptState(enum.Enum):
    """Where an attempt stands."""

    NEEDS_TOKEN = "needs-token"
    RUNNING = "running"
    #: Nobody waits for it; the worker is asked to stop it.
    STOPPING = "stopping"
    #: Its connection broke; the worker is asked what became of it.
    QUERYING = "querying"


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One task at one worker.

    :param task_id: id at the worker; also names the unit it uses.
    :param lease_sent_ms: clock reading before the last lease was sent.
    :param checkpoint: id of the checkpointed task that it continues, or ``""``.
    :param displaced: whether it was asked to make room for urgent work.
    :param used_cores: most cores in usage reports, or ``None`` before the first.
    :param used_memory_mb: most memory in usage reports, or ``None``.
    :param seen_running_ms: when the worker last confirmed that the task runs.
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
    seen_running_ms: int = 0
    checkpoint: str = ""
    displaced: bool = False
    used_cores: float | None = None
    used_memory_mb: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptResult:
    """What an attempt means for its request.

    :param started: false only if the task certainly was not started.
    :param last: whether the attempt is over at the worker.
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
        return self.end not in (AttemptOutcome.REFUSED, AttemptOutcome.NOT_SENT)

"""Messages between the dispatcher and the target client."""

import dataclasses
import enum


class AttemptOutcome(enum.Enum):
    """How one attempt at a worker ended."""

    #: The worker ran the task and answered with its result.
    RAN = "ran"
    #: The worker ran the task and reported a failure.
    FAILED = "failed"
    #: The worker started the task and stopped it before its end.
    STOPPED = "stopped"
    #: The worker refused before it started; see the result's ``kind``.
    REFUSED = "refused"
    #: Nothing was sent to the worker.
    NOT_SENT = "not-sent"
    #: Something was sent and no usable answer came back.
    NO_USABLE_ANSWER = "broken"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartAttempt:
    """To the target client: start a task at a worker.

    :param checkpoint: id of the checkpointed task that it continues, or ``""``.
    """

    task_id: str
    worker: str
    address: str
    token: str
    lease_ms: int
    timeout_ms: int
    team: str
    queue: str
    cores: float
    memory_mb: int
    run_ms: int
    idempotent: bool
    checkpoint: str
    content_type: str
    traceparent: str
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class FetchToken:
    """To the target client: get a start token."""

    worker: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlTask:
    """To the target client: ``lease``, ``stop``, ``checkpoint`` or ``throttle``."""

    task_id: str
    worker: str
    address: str
    action: str
    token: str = ""
    lease_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryTask:
    """To the target client: ask what became of a task."""

    task_id: str
    worker: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FetchUsage:
    """To the target client: ask a worker for the usage of its tasks."""

    worker: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageFetched:
    """From the target client: usage as the worker reported it, with its lag.

    :param usage_by_task: cores and memory in MB by task id; malformed rows are left
        out.
    """

    worker: str
    usage_by_task: dict[str, tuple[float, int]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptFinished:
    """From the target client: the end of an attempt.

    :param next_token: fresh start token, or ``""``.
    :param asked_ms: clock reading before the request was sent.
    :param slots_free: free slots that the worker reported, or -1.
    """

    task_id: str
    worker: str
    outcome: AttemptOutcome
    kind: str = ""
    detail: str = ""
    body: bytes = b""
    content_type: str = ""
    next_token: str = ""
    requested_ms: int = 0
    slots_free: int = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenFetched:
    """From the target client: a start token, or ``""`` if there is none."""

    worker: str
    token: str
    requested_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlFinished:
    """From the target client: the end of a :class:`ControlTask`.

    :param confirmed: whether the worker carried it out.
    :param gone: whether the worker does not know the task.
    """

    task_id: str
    worker: str
    action: str
    confirmed: bool
    task_unknown: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskQueried:
    """From the target client: what became of a task.

    :param state: ``finished``, ``failed``, ``stopped``, ``running``, ``absent``,
        or ``""`` without a usable answer.
    :param body: the result, if ``finished`` or ``failed``.
    """

    task_id: str
    worker: str
    state: str
    body: bytes = b""
    content_type: str = ""

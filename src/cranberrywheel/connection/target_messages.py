"""Messages between the dispatcher and the target client."""

import dataclasses
import enum


class AttemptOutcome(enum.Enum):
    """The outcome of one attempt at a worker."""

    #: The worker ran the task and answered with its result.
    RAN = "ran"
    #: The worker ran the task and reported a failure.
    FAILED = "failed"
    #: The worker started the task and stopped it before completion.
    STOPPED = "stopped"
    #: The worker refused to start the task; ``kind`` of the result tells the reason.
    REFUSED = "refused"
    #: No byte of the request was sent to the worker.
    NOT_SENT = "not-sent"
    #: The request was sent, at least in part, and no usable answer was received.
    NO_USABLE_ANSWER = "broken"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartAttempt:
    """To the target client: start a task at a worker.

    :param lease_ms: time in milliseconds that the task may run without a lease
        renewal.
    :param timeout_ms: longest time in milliseconds until the answer is complete.
    :param run_ms: declared run time in milliseconds.
    :param checkpoint: id of the checkpointed task that this task continues, or ``""``.
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
    """To the target client: fetch a start token from a worker."""

    worker: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlTask:
    """To the target client: control a running task.

    :param action: ``lease``, ``stop``, ``checkpoint`` or ``throttle``.
    :param token: start token to send, or ``""``.
    :param lease_ms: new lease of the task in milliseconds, or 0.
    """

    task_id: str
    worker: str
    address: str
    action: str
    token: str = ""
    lease_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryTask:
    """To the target client: query the state of a task."""

    task_id: str
    worker: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FetchUsage:
    """To the target client: fetch the resource usage of a worker's tasks."""

    worker: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageFetched:
    """From the target client: the resource usage that a worker reported.

    The report lags behind the actual usage.

    :param usage_by_task: cores and memory in MB by task id, without malformed rows.
    """

    worker: str
    usage_by_task: dict[str, tuple[float, int]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptFinished:
    """From the target client: the result of an attempt.

    :param kind: kind of the refusal or stop that the worker reported, or ``""``.
    :param detail: text that describes the cause.
    :param body: the result of the task.
    :param next_token: start token for the next task, or ``""``.
    :param requested_ms: clock reading in milliseconds before the request was sent.
    :param slots_free: free slots that the worker reported, or -1 if it reported none.
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
    """From the target client: the result of a :class:`FetchToken`.

    :param token: the start token, or ``""`` if none was received.
    :param requested_ms: clock reading in milliseconds before the request was sent.
    """

    worker: str
    token: str
    requested_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlFinished:
    """From the target client: the result of a :class:`ControlTask`.

    :param confirmed: whether the worker confirmed the action.
    :param task_unknown: whether the worker does not know the task.
    """

    task_id: str
    worker: str
    action: str
    confirmed: bool
    task_unknown: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskQueried:
    """From the target client: the result of a :class:`QueryTask`.

    :param state: ``finished``, ``failed``, ``stopped``, ``running``, ``absent``,
        or ``""`` if there was no usable answer.
    :param body: the result of the task if ``finished`` or ``failed``.
    """

    task_id: str
    worker: str
    state: str
    body: bytes = b""
    content_type: str = ""

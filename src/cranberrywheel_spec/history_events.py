"""Format of histories of concurrent runs; :mod:`.history` checks them.

A history is one or more files of JSON lines, each one event with an ``event`` kind and
``at_ms``, a reading of ``CLOCK_MONOTONIC`` in milliseconds (a fraction is allowed). All
files of a run come from one machine, so their readings share one clock. Files are
merged by ``at_ms``; lines need not be sorted. The field ``request`` is a token that the
caller chooses for each call, unique in the run. The caller puts it into the body, the
worker logs it with each task and returns it in the answer.

===============  ==================================================================
event            written by, when, fields
===============  ==================================================================
``meta``         load tool, once: ``key_bound_ms`` (5000), ``leaving_bound_ms``
                 (5000), ``limit_bound_ms`` (5000), ``stale_queues`` (queues with
                 ``stale_keys = serve``), ``seed``
``invoke``       caller, before it sends a request: ``request``, ``team`` (empty on
                 an open queue), ``queue``, ``ticket`` (empty if idempotent),
                 ``key_id`` (empty on an open queue), ``key_valid`` (false if the
                 caller sends a key that was never granted)
``response``     caller, after the whole answer: ``request``, ``outcome`` (``ok``,
                 ``failed``, ``unknown``, ``not-run``), ``answer_to`` (the token in
                 the body; only with ``ok``), ``complete`` (false if the body is
                 shorter than announced or its digest differs). A call that broke or
                 was cancelled has no response.
``query``        caller, after the answer to ``GET /v1/requests/<ticket>``:
                 ``ticket``, ``outcome`` (as above, or ``running``)
``task_start``   worker, before the work begins: ``worker``, ``task`` (unique per
                 start), ``request``, ``team``, ``queue``
``task_end``     worker, after the work ended: ``worker``, ``task``, ``how``
                 (``finished``, ``failed``, ``stopped``, ``expired``)
``worker_lost``  load tool, after it killed a worker: ``worker``
``limit``        load tool, when a limit is accepted: ``team``, ``limit``
``units``        platform, each write of ``limits/<team>``: ``team``, ``revision``,
                 ``limit``, ``held_by_holder`` (process id to long plus short)
``adopt``        entry, when it adopts: ``process``, ``version``
``withdraw``     operator, after the withdrawal is accepted: ``key_id``
``pool_record``  platform, each write of ``pools/<zone>``: ``zone``, ``revision``,
                 ``fence``, ``instances`` (name to ``{"pool", "state"}``)
``leaving``      platform, when the instance list shows it: ``worker``
``returned``     platform, when the list shows it live again: ``worker``
===============  ==================================================================

A last line without a newline was truncated when its writer was killed; it is skipped.
"""

import collections
import dataclasses
import json
import typing as t

import pydantic

Outcome = t.Literal["ok", "failed", "unknown", "not-run"]


class Event(pydantic.BaseModel):
    """Fields that all events share."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
    at_ms: float


class Meta(Event):
    event: t.Literal["meta"]
    key_bound_ms: float = 5_000
    leaving_bound_ms: float = 5_000
    limit_bound_ms: float = 5_000
    stale_queues: tuple[str, ...] = ()
    seed: int = 0


class Invoke(Event):
    event: t.Literal["invoke"]
    request: str
    queue: str
    team: str = ""
    ticket: str = ""
    key_id: str = ""
    key_valid: bool = True


class Response(Event):
    event: t.Literal["response"]
    request: str
    outcome: Outcome
    answer_to: str = ""
    complete: bool = True


class Query(Event):
    event: t.Literal["query"]
    ticket: str
    outcome: Outcome | t.Literal["running"]


class TaskStart(Event):
    event: t.Literal["task_start"]
    worker: str
    task: str
    request: str
    team: str = ""
    queue: str = ""


class TaskEnd(Event):
    event: t.Literal["task_end"]
    worker: str
    task: str
    how: t.Literal["finished", "failed", "stopped", "expired"]


class WorkerEvent(Event):
    event: t.Literal["worker_lost", "leaving", "returned"]
    worker: str


class Limit(Event):
    event: t.Literal["limit"]
    team: str
    limit: int


class Units(Event):
    event: t.Literal["units"]
    team: str
    revision: int
    limit: int
    held_by_holder: dict[str, int]


class Adopt(Event):
    event: t.Literal["adopt"]
    process: str
    version: int


class Withdraw(Event):
    event: t.Literal["withdraw"]
    key_id: str


class PoolAssignment(pydantic.BaseModel):
    """Pool and state of one instance in a pool record."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)
    pool: str
    state: str


class PoolRecord(Event):
    event: t.Literal["pool_record"]
    zone: str
    revision: int
    fence: int
    instances: dict[str, PoolAssignment]


AnyEvent = t.Annotated[
    Meta
    | Invoke
    | Response
    | Query
    | TaskStart
    | TaskEnd
    | WorkerEvent
    | Limit
    | Units
    | Adopt
    | Withdraw
    | PoolRecord,
    pydantic.Field(discriminator="event"),
]
_ADAPTER: pydantic.TypeAdapter[t.Any] = pydantic.TypeAdapter(AnyEvent)
_EventType = t.TypeVar("_EventType", bound=Event)


class HistoryError(Exception):
    """A line of a history file is malformed."""


def parse_lines(lines: t.Iterable[str], name: str = "history") -> list[t.Any]:
    """Read events from JSON lines.

    :param lines: lines with their newlines; a last line without a newline is skipped.
    :param name: file name for error messages.
    :returns: the events in the order of the lines.
    :raises HistoryError: with file and line number if a line is malformed.
    """
    events = []
    for number, line in enumerate(lines, 1):
        if not line.endswith("\n"):
            continue
        try:
            events.append(_ADAPTER.validate_python(json.loads(line)))
        except (ValueError, pydantic.ValidationError) as error:
            raise HistoryError(f"{name}:{number}: {error}") from error
    return events


@dataclasses.dataclass
class History:
    """Events of one run, sorted and indexed.

    :param events: all events. At one reading, task ends precede task starts, because
        a reading in whole milliseconds does not order them.
    """

    events: list[t.Any]

    def __post_init__(self) -> None:
        order = {"meta": 0, "invoke": 1, "task_end": 2, "worker_lost": 2}
        self.events = sorted(
            self.events, key=lambda e: (e.at_ms, order.get(e.event, 3))
        )
        metas = self.select(Meta)
        self.meta = metas[0] if metas else Meta(at_ms=0, event="meta")
        self.invokes_by_request = {e.request: e for e in self.select(Invoke)}
        self.starts_by_work_id: dict[str, list[TaskStart]] = collections.defaultdict(
            list
        )
        for start in self.select(TaskStart):
            self.starts_by_work_id[self.get_work_id(start.request)].append(start)
        self.invokes_by_work_id: dict[str, list[Invoke]] = collections.defaultdict(list)
        for invoke in self.select(Invoke):
            self.invokes_by_work_id[invoke.ticket or invoke.request].append(invoke)
        self.ends_by_task = {e.task: e for e in self.select(TaskEnd)}

    def select(self, kind: type[_EventType]) -> list[_EventType]:
        """Return the events of one class in time order."""
        return [event for event in self.events if isinstance(event, kind)]

    def get_work_id(self, request: str) -> str:
        """Return the id of the requested work: the ticket, or else the request."""
        invoke = self.invokes_by_request.get(request)
        return invoke.ticket if invoke and invoke.ticket else request

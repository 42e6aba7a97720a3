"""Executors: their store entries, and the calls that start, stop and poll runs."""

import json
import typing as t

import pydantic

from cranberrywheel.connection.addresses import check_address
from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.json_body import (
    FIELD_ERRORS,
    clamp,
    decode_object,
    read_count,
    read_list,
    read_text,
)
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.platform.wire_model import MAX_NAME_CHARS, Name, WireModel
from cranberrywheel.submission.executor_orders import (
    CompletionReport,
    ExecutorEntry,
    OrderReply,
    OrderVerdict,
    PollReply,
    RunningReport,
    RunOutcome,
    StartOrder,
)
from cranberrywheel.submission.model import Resources
from cranberrywheel.validation import describe_fault

#: Key prefix of the entries that executors register.
EXECUTOR_PREFIX = "servers/"
#: Timeout of an order; a healthy executor answers in a few milliseconds.
CALL_TIMEOUT_MS = 400
#: Time added to the wait of a poll before it counts as unanswered. It is short because
#: completions stay unknown until a lost poll has timed out.
POLL_MARGIN_MS = 350
#: Longest time for which an executor may call itself cold, against absurd entries.
MAX_COLD_MS = 60_000
#: Limits of one executor, above any machine on the market. With an entry beyond them a
#: pool would seem to have endless capacity, and its sums would overflow as floats.
MAX_CPU = 4_096_000
MAX_MEMORY_MB = 2**28
MAX_GPUS = 1_024
#: End of the year 2099 in Unix milliseconds. A later start would hide every restart.
MAX_BOOT_MS = 4_102_444_800_000
MAX_LABELS = 64
#: Largest load reading, in milliseconds or thousandths of a core; its square is finite.
MAX_LOAD = 1e9
#: Printable characters without blanks, so that an id cannot add lines to the header of
#: a call; with the prefix of any record the key stays within the store's 200 bytes.
_ID = pydantic.TypeAdapter(t.Annotated[str, pydantic.Field(pattern="^[!-~]{1,190}$")])

_log = ComponentLogger("executors")


class _Capacity(WireModel):
    cpu: int = pydantic.Field(ge=0, le=MAX_CPU)
    memory_mb: int = pydantic.Field(alias="memMb", ge=0, le=MAX_MEMORY_MB)
    gpu: int = pydantic.Field(0, ge=0, le=MAX_GPUS)


class _Entry(WireModel):
    service: t.Annotated[Name, pydantic.Field(min_length=1)]
    address: t.Annotated[str, pydantic.AfterValidator(check_address)]
    zone: Name = ""
    state: t.Literal["ready", "draining"]
    capacity: _Capacity
    labels: list[Name] = pydantic.Field(default_factory=list, max_length=MAX_LABELS)
    machine: Name = ""
    # Start of the process in Unix milliseconds; a different value means a restart.
    born: int = pydantic.Field(0, ge=0, le=MAX_BOOT_MS)
    # How much longer the executor is slow.
    cold_ms: int = pydantic.Field(0, alias="coldRemainingMs")

    @pydantic.field_validator("cold_ms", mode="before")
    @classmethod
    def _read_cold_ms(cls, value: t.Any) -> int:
        """Read the time, or 0 if it is invalid: the executor is usable without it."""
        try:
            return min(max(0, int(value)), MAX_COLD_MS)
        except (OverflowError, TypeError, ValueError):
            _log.warning(
                "time of a cold executor cannot be read", value=repr(value)[:40]
            )
            return 0


def decode_executor(executor_id: str, value: bytes) -> ExecutorEntry | None:
    """Decode an executor's entry; ``None`` if it names no executor that can be used."""
    try:
        _ID.validate_python(executor_id)
        wire = _Entry.model_validate_json(value)
    except pydantic.ValidationError as error:
        _log.warning(
            "ignored an invalid executor entry",
            executor=executor_id,
            **describe_fault(error),
        )
        return None
    size = wire.capacity
    racks = [label for label in wire.labels if label.startswith("r")]
    return ExecutorEntry(
        id=executor_id,
        service=wire.service,
        address=wire.address,
        zone=wire.zone,
        draining=wire.state == "draining",
        capacity=Resources(size.cpu, size.memory_mb, size.gpu),
        labels=frozenset(wire.labels),
        rack=racks[0] if racks else "",
        machine=wire.machine,
        boot=wire.born,
        cold_remaining_ms=wire.cold_ms,
    )


_VERDICT_BY_REASON = {
    "fence": OrderVerdict.FENCED,
    "old": OrderVerdict.DUPLICATE,
    "late": OrderVerdict.LATE,
    "room": OrderVerdict.NO_CAPACITY,
    "ticket": OrderVerdict.TICKET,
}


def _decode_refusal(reply: HttpReply) -> OrderVerdict:
    """Decode an answer without success, or the lack of an answer."""
    if reply.status == 0:
        return OrderVerdict.UNKNOWN if reply.sent else OrderVerdict.REFUSED
    if reply.status == 421:
        return OrderVerdict.OTHER_BOOT
    if reply.status != 409:
        return OrderVerdict.REFUSED
    try:
        reason = str(decode_object(reply.body).get("reason"))
    except ValueError:
        return OrderVerdict.REFUSED
    return _VERDICT_BY_REASON.get(reason, OrderVerdict.REFUSED)


def _decode_order_reply(reply: HttpReply, executor_id: str) -> OrderReply:
    """Decode the answer to an order.

    A success that cannot be decoded counts as ``UNKNOWN``.
    """
    text = reply.error or str(reply.status)
    if reply.status != 200:
        return OrderReply(_decode_refusal(reply), error=text)
    try:
        clock_ms = read_count(decode_object(reply.body).get("timestampMs"))
    except FIELD_ERRORS as error:
        _log.warning(
            "executor's answer to an order cannot be decoded; outcome unknown",
            executor=executor_id,
            error=repr(error)[:200],
        )
        return OrderReply(OrderVerdict.UNKNOWN, error="malformed answer")
    return OrderReply(OrderVerdict.OK, clock_ms, text)


def _decode_poll_reply(reply: HttpReply, executor_id: str) -> PollReply:
    """Decode the answer to a poll, completely or not at all.

    A skipped run would be given up while it is running, and a skipped completion would
    be acknowledged with a later one and lost.
    """
    text = reply.error or str(reply.status)
    if reply.status != 200:
        return PollReply(
            _decode_refusal(reply),
            error=text,
            connection_lost=reply.connection_lost,
            refused=reply.refused,
        )
    try:
        answer = decode_object(reply.body)
        return PollReply(
            OrderVerdict.OK,
            read_count(answer.get("timestampMs")),
            read_count(answer.get("born"), MAX_BOOT_MS),
            tuple(map(_decode_running, read_list(answer["running"]))),
            tuple(map(_decode_completion, read_list(answer["finished"]))),
            text,
        )
    except FIELD_ERRORS as error:
        _log.warning(
            "executor's answer to a poll cannot be decoded; counted as no answer",
            executor=executor_id,
            error=repr(error)[:200],
        )
        return PollReply(OrderVerdict.UNKNOWN, error="malformed answer")


def _decode_running(row: t.Any) -> RunningReport:
    load = row[4] if len(row) > 4 and row[4] is not None else 0
    return RunningReport(
        read_text(row[0], MAX_NAME_CHARS),
        read_count(row[1]),
        str(row[2] or ""),
        clamp(row[3], 100),
        clamp(load, MAX_LOAD),
    )


def _decode_completion(row: t.Any) -> CompletionReport:
    return CompletionReport(
        read_count(row[0]),
        read_text(row[1], MAX_NAME_CHARS),
        read_count(row[2]),
        RunOutcome(row[3]),
        str(row[4] or ""),
    )


class ExecutorClient:
    """Client of the executors; each ``done`` runs on the loop's thread."""

    def __init__(self, loop: HttpLoop) -> None:
        self._loop = loop

    def _call(
        self,
        entry: ExecutorEntry,
        path: str,
        body: dict[str, t.Any],
        done: t.Callable[[HttpReply], None],
        timeout_ms: int = CALL_TIMEOUT_MS,
        sent_once: bool = False,
    ) -> None:
        headers = (f"Cranberrywheel-Expect-Instance: {entry.id}",)
        data = json.dumps(body, separators=(",", ":")).encode()
        request = HttpRequest(
            "POST",
            entry.address,
            path,
            data,
            headers,
            timeout_ms,
            sent_once=sent_once,
        )
        self._loop.call(request, done)

    def _order(
        self,
        entry: ExecutorEntry,
        path: str,
        body: dict[str, t.Any],
        done: t.Callable[[OrderReply], None],
        sent_once: bool = False,
    ) -> None:
        self._call(
            entry,
            path,
            body,
            lambda reply: done(_decode_order_reply(reply, entry.id)),
            sent_once=sent_once,
        )

    def start(
        self,
        entry: ExecutorEntry,
        order: StartOrder,
        done: t.Callable[[OrderReply], None],
    ) -> None:
        """Start a run."""
        body: dict[str, t.Any] = {
            "task": order.task,
            "run": order.number,
            "spec": order.payload,
            "deadlineMs": order.deadline_ms,
            "fencingToken": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        self._order(entry, "/api/run-start", body, done, sent_once=True)

    def stop(
        self,
        entry: ExecutorEntry,
        task: str,
        number: int,
        fence: int,
        done: t.Callable[[OrderReply], None],
    ) -> None:
        """Stop a run; a start order that arrives later is refused."""
        body = {"task": task, "run": number, "fencingToken": fence}
        self._order(entry, "/api/run-stop", body, done)

    def throttle(
        self,
        entry: ExecutorEntry,
        task: str,
        number: int,
        percent: int,
        fence: int,
        done: t.Callable[[OrderReply], None],
    ) -> None:
        """Limit a run to a percentage of its speed.

        :param percent: share of the full speed, in percent.
        """
        body = {"task": task, "run": number, "percent": percent, "fencingToken": fence}
        self._order(entry, "/api/pace", body, done)

    def poll(
        self,
        entry: ExecutorEntry,
        fence: int,
        acknowledged: int,
        deadline_ms: int,
        wait_ms: int,
        done: t.Callable[[PollReply], None],
    ) -> None:
        """Renew the lease, acknowledge completions and wait for new ones.

        :param acknowledged: sequence number up to which the executor may delete
            completions.
        :param deadline_ms: end of the lease on the executor's clock; 0 leaves the
            lease unchanged.
        :param wait_ms: longest time for which the executor holds the call open.
        """
        body: dict[str, t.Any] = {"fencingToken": fence, "ackCursor": acknowledged}
        if deadline_ms:
            body["deadlineMs"] = deadline_ms
        if wait_ms:
            body["waitMs"] = wait_ms

        self._call(
            entry,
            "/api/hold",
            body,
            lambda reply: done(_decode_poll_reply(reply, entry.id)),
            wait_ms + POLL_MARGIN_MS,
        )


def encode_executor(entry: ExecutorEntry) -> bytes:
    """Encode an entry in the executors' own format, for records and stand-ins."""
    wire = _Entry(
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        state="draining" if entry.draining else "ready",
        capacity=_Capacity(
            cpu=entry.capacity.cpu,
            memory_mb=entry.capacity.memory_mb,
            gpu=entry.capacity.gpu,
        ),
        labels=sorted(entry.labels),
        machine=entry.machine,
        born=entry.boot,
        cold_ms=entry.cold_remaining_ms,
    )
    return wire.model_dump_json(by_alias=True).encode()

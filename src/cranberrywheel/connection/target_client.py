"""Calls to workers, on one thread that owns a ``CurlMulti`` and its connections."""

import dataclasses
import io
import json
import queue
import selectors
import socket
import threading
import typing as t

import pycurl

from cranberrywheel.clock import Clock
from cranberrywheel.connection.target_messages import (
    AttemptFinished,
    AttemptOutcome,
    ControlFinished,
    FetchToken,
    FetchUsage,
    QueryTask,
    StartAttempt,
    TaskQueried,
    TokenFetched,
    UsageFetched,
)
from cranberrywheel.logs import ComponentLogger

#: Kinds of refusal that the worker protocol defines as "not started". A ``duplicate``
#: is not among them, because a task with the same id may be running.
NOT_STARTED_KINDS = frozenset(
    {"stale-token", "busy", "draining", "does-not-fit", "no-checkpoint"}
)
#: Kind of a 500 answer for a task that can continue from its checkpoint.
CHECKPOINTED_KIND = "checkpointed"
#: Kind of a 500 answer for a task that ran to completion and failed.
TASK_FAILED_KIND = "task-failed"
CONNECT_TIMEOUT_MS = 1_000
CONTROL_TIMEOUT_MS = 5_000
#: Timeout of the start token, for which a request waits. Workers answer within
#: milliseconds, and if the zone of the worker is partitioned, urgent requests must
#: still start elsewhere within 1.5 s.
TOKEN_TIMEOUT_MS = 700
MAX_CONNECTIONS = 1_024

_log = ComponentLogger("target-client")


@dataclasses.dataclass(eq=False)
class _Transfer:
    message: t.Any
    curl: pycurl.Curl
    requested_ms: int
    max_body_bytes: int
    body: io.BytesIO = dataclasses.field(default_factory=io.BytesIO)
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    def write(self, chunk: bytes) -> int:
        if self.body.tell() + len(chunk) > self.max_body_bytes:
            return -1
        return self.body.write(chunk)

    def header(self, line: bytes) -> None:
        name, separator, value = line.decode("latin-1").partition(":")
        if separator:
            self.headers[name.strip().lower()] = value.strip()

    def json(self) -> dict[str, t.Any]:
        try:
            value = json.loads(self.body.getvalue())
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


class TargetClient:
    """Sends the dispatcher's messages to workers as HTTP requests.

    :param clock: clock for ``requested_ms``.
    :param to_dispatcher: receives the resulting messages, on the client's thread.
    :param max_body_bytes: largest answer body in bytes; a longer answer is not usable.
    """

    def __init__(
        self,
        clock: Clock,
        to_dispatcher: t.Callable[[t.Any], None],
        max_body_bytes: int,
    ) -> None:
        self._clock = clock
        self._send = to_dispatcher
        self._max_body_bytes = max_body_bytes
        self._inbox: queue.SimpleQueue[t.Any] = queue.SimpleQueue()
        self._wakeup_sender, self._wakeup_receiver = socket.socketpair()
        self._wakeup_sender.setblocking(False)
        self._wakeup_receiver.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._wakeup_receiver, selectors.EVENT_READ)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)
        self._timer_due_ms: int | None = None
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="target-client", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def post(self, message: t.Any) -> None:
        """Queue a message; may be called from any thread."""
        self._inbox.put(message)
        try:
            self._wakeup_sender.send(b"\0")
        except BlockingIOError:
            pass  # the socket already holds bytes that wake the thread

    def stop(self) -> None:
        """Stop the thread; running transfers are abandoned."""
        self._stopping = True
        self.post(None)
        self._thread.join(timeout=5)

    def _watch_socket(self, event: int, fd: int, multi: t.Any, data: t.Any) -> None:
        if event == pycurl.POLL_REMOVE:
            if fd in self._selector.get_map():
                self._selector.unregister(fd)
            return
        events = 0
        if event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            events |= selectors.EVENT_READ
        if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            events |= selectors.EVENT_WRITE
        if fd in self._selector.get_map():
            self._selector.modify(fd, events)
        else:
            self._selector.register(fd, events)

    def _set_timer(self, timeout_ms: int) -> None:
        self._timer_due_ms = (
            None if timeout_ms < 0 else self._clock.now_ms() + timeout_ms
        )

    def _run(self) -> None:
        while not self._stopping:
            self._wait_for_events()
            if (
                self._timer_due_ms is not None
                and self._clock.now_ms() >= self._timer_due_ms
            ):
                self._timer_due_ms = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._collect_finished()
        for transfer in list(self._transfers.values()):
            self._remove_transfer(transfer)
        self._multi.close()

    def _wait_for_events(self) -> None:
        wait_ms = 1_000
        if self._timer_due_ms is not None:
            wait_ms = max(0, min(wait_ms, self._timer_due_ms - self._clock.now_ms()))
        for key, mask in self._selector.select(wait_ms / 1000):
            if key.fileobj is self._wakeup_receiver:
                self._read_inbox()
                continue
            flags = 0
            if mask & selectors.EVENT_READ:
                flags |= pycurl.CSELECT_IN
            if mask & selectors.EVENT_WRITE:
                flags |= pycurl.CSELECT_OUT
            self._multi.socket_action(key.fd, flags)

    def _read_inbox(self) -> None:
        try:
            while self._wakeup_receiver.recv(4096):
                pass
        except BlockingIOError:
            pass
        while True:
            try:
                message = self._inbox.get_nowait()
            except queue.Empty:
                return
            if message is not None:
                self._start_transfer(message)

    def _start_transfer(self, message: t.Any) -> None:
        curl = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        curl.reset()
        transfer = _Transfer(message, curl, self._clock.now_ms(), self._max_body_bytes)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.WRITEFUNCTION, transfer.write)
        curl.setopt(pycurl.HEADERFUNCTION, transfer.header)
        _configure_request(curl, message)
        self._transfers[curl] = transfer
        self._multi.add_handle(curl)

    def _remove_transfer(self, transfer: _Transfer) -> None:
        self._multi.remove_handle(transfer.curl)
        del self._transfers[transfer.curl]
        self._idle_handles.append(transfer.curl)

    def _collect_finished(self) -> None:
        remaining = 1
        while remaining:
            remaining, finished, failed = self._multi.info_read()
            completed = [(curl, 0, "") for curl in finished] + list(failed)
            for curl, code, text in completed:
                transfer = self._transfers[curl]
                message = _build_result(transfer, code, text)
                self._remove_transfer(transfer)
                self._send(message)


def _configure_request(curl: pycurl.Curl, message: t.Any) -> None:
    base = f"http://{message.address}/v1"
    if isinstance(message, StartAttempt):
        curl.setopt(pycurl.URL, f"{base}/tasks/{message.task_id}")
        curl.setopt(pycurl.CUSTOMREQUEST, "PUT")
        curl.setopt(pycurl.POSTFIELDS, message.body)
        curl.setopt(pycurl.HTTPHEADER, _build_attempt_headers(message))
        curl.setopt(pycurl.TIMEOUT_MS, message.timeout_ms)
        if not message.idempotent:
            # libcurl sends a request again if a reused connection is closed before
            # the first byte of the answer. It never does so on a new connection.
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        return
    curl.setopt(pycurl.TIMEOUT_MS, CONTROL_TIMEOUT_MS)
    if isinstance(message, FetchToken):
        curl.setopt(pycurl.URL, f"{base}/start-token")
        curl.setopt(pycurl.TIMEOUT_MS, TOKEN_TIMEOUT_MS)
    elif isinstance(message, FetchUsage):
        curl.setopt(pycurl.URL, f"{base}/usage")
    elif isinstance(message, QueryTask):
        curl.setopt(pycurl.URL, f"{base}/tasks/{message.task_id}/result")
    else:
        curl.setopt(pycurl.URL, f"{base}/tasks/{message.task_id}/{message.action}")
        curl.setopt(pycurl.POSTFIELDS, b"")
        headers = [f"Start-Token: {message.token}"] if message.token else []
        if message.lease_ms:
            headers.append(f"Task-Lease-Ms: {message.lease_ms}")
        curl.setopt(pycurl.HTTPHEADER, headers)


def _build_attempt_headers(message: StartAttempt) -> list[str]:
    headers = [
        "Expect:",
        f"Content-Type: {message.content_type or 'application/octet-stream'}",
        f"Start-Token: {message.token}",
        f"Task-Lease-Ms: {message.lease_ms}",
        f"Deadline-Ms: {message.timeout_ms}",
        f"Team: {message.team}",
        f"Queue: {message.queue}",
        f"Cores: {message.cores:g}",
        f"Memory-Mb: {message.memory_mb}",
        f"Run-Ms: {message.run_ms}",
    ]
    if message.checkpoint:
        headers.append(f"Checkpoint: {message.checkpoint}")
    if message.traceparent:
        headers.append(f"traceparent: {message.traceparent}")
    return headers


def _build_result(transfer: _Transfer, code: int, text: str) -> t.Any:
    message = transfer.message
    status = transfer.curl.getinfo(pycurl.RESPONSE_CODE) if code == 0 else 0
    if isinstance(message, StartAttempt):
        return _build_attempt_result(transfer, code, text, status)
    if isinstance(message, FetchToken):
        token = str(transfer.json().get("token", "")) if status == 200 else ""
        return TokenFetched(
            worker=message.worker, token=token, requested_ms=transfer.requested_ms
        )
    if isinstance(message, FetchUsage):
        rows = transfer.json().get("tasks", ()) if status == 200 else ()
        return UsageFetched(worker=message.worker, usage_by_task=_parse_usage(rows))
    if isinstance(message, QueryTask):
        return TaskQueried(
            task_id=message.task_id,
            worker=message.worker,
            state=_classify_queried_task(transfer, status),
            body=transfer.body.getvalue(),
            content_type=transfer.headers.get("content-type", ""),
        )
    return ControlFinished(
        task_id=message.task_id,
        worker=message.worker,
        action=message.action,
        confirmed=status == 200,
        task_unknown=status == 404,
    )


def _parse_usage(rows: t.Any) -> dict[str, tuple[float, int]]:
    usage = {}
    for row in rows if isinstance(rows, list) else ():
        try:
            usage[str(row["id"])] = (float(row["cores"]), int(row["memory_mb"]))
        except (KeyError, TypeError, ValueError):
            continue
    return usage


def _classify_response(transfer: _Transfer, status: int) -> AttemptOutcome:
    if 200 <= status < 300:
        return AttemptOutcome.RAN
    failed = transfer.json().get("kind") == TASK_FAILED_KIND
    return AttemptOutcome.FAILED if failed else AttemptOutcome.STOPPED


def _classify_queried_task(transfer: _Transfer, status: int) -> str:
    if status == 404:
        return "absent"
    if status == 409:
        return "running"
    if transfer.headers.get("task-id") != transfer.message.task_id:
        return ""
    states = {AttemptOutcome.RAN: "finished", AttemptOutcome.FAILED: "failed"}
    return states.get(_classify_response(transfer, status), "stopped")


def _build_attempt_result(
    transfer: _Transfer, code: int, text: str, status: int
) -> AttemptFinished:
    message = transfer.message
    kind, detail = "", ""
    if code:
        # Only a REQUEST_SIZE of 0 proves that no byte of the request was sent.
        sent = transfer.curl.getinfo(pycurl.REQUEST_SIZE) > 0
        outcome = AttemptOutcome.NO_USABLE_ANSWER if sent else AttemptOutcome.NOT_SENT
        detail = text
    elif status == 409:
        kind = str(transfer.json().get("kind", ""))
        nothing_started = kind in NOT_STARTED_KINDS
        outcome = (
            AttemptOutcome.REFUSED
            if nothing_started
            else AttemptOutcome.NO_USABLE_ANSWER
        )
        detail = f"the worker refused to start the task: {kind or 'unknown'}"
    elif transfer.headers.get("task-id") != message.task_id:
        outcome = AttemptOutcome.NO_USABLE_ANSWER
        detail = "the answer belongs to another task"
        _log.warning(
            "discarded an answer that belongs to another task",
            request_id=message.task_id,
            worker=message.worker,
        )
    else:
        outcome = _classify_response(transfer, status)
        if outcome is AttemptOutcome.STOPPED:
            kind = str(transfer.json().get("kind", ""))
        detail = f"the worker answered with status {status}"
    slots_free = transfer.headers.get("slots-free", "")
    return AttemptFinished(
        task_id=message.task_id,
        worker=message.worker,
        outcome=outcome,
        kind=kind,
        detail=detail,
        body=transfer.body.getvalue(),
        content_type=transfer.headers.get("content-type", ""),
        next_token=transfer.headers.get("next-start-token", ""),
        requested_ms=transfer.requested_ms,
        slots_free=int(slots_free) if slots_free.isdigit() else -1,
    )

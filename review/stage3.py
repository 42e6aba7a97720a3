"""Stand-ins and process control for the cases of review 3 that are scripts.

Only the standard library is used. All stand-ins run on one event loop in a thread of
the script and follow ``PROTOCOL.md``: the platform's store, the list of machines and
executors that guard their capacity. Addresses are loopback addresses on free ports.
"""

import asyncio
import base64
import bisect
import contextlib
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import typing as t
import urllib.parse

#: Names of tasks are recorded with slashes: with dots a part looks like an address.
TASK_NAME = re.compile(r"([0-9a-f]{16})\.(\d+)\.(\d+)(?:\.(\d+))?")
ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
#: Bounds of ``sites/mlr-clyde.toml`` as SYSTEM.md states them.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevocation": False,
    "revokeTimeoutMs": 5000,
    "quotaWindowS": 5,
    "quotaOverage": 0.1,
    "quotaTolerance": 20,
    "recoveryS": 12,
    "holdMaxMs": 6000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 3,
    "checkpointIntervalS": 2,
    "restoreMs": 600,
    "noticeMs": 4500,
    "migrationS": 1.5,
    "maintenanceS": 2,
    "enforceFencing": False,
    "leaseDurationMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}
CONTRACTS = (
    "base drain config cost recover sched tenants quota platform advice upkeep sharing"
).split()
HISTORY_S = 20.0
STOP_MS = 50
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MAX_ENDS = 500
TICK_S = 0.01

Answer = tuple[int, dict[str, t.Any]]
Handler = t.Callable[[str, str, dict[str, str], dict[str, str], t.Any], t.Any]


class CannotRunError(Exception):
    """The case could not be played, so that it tells nothing."""


def find_free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((HOST, 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


class Record:
    """The file with what was sent, answered and run, with seconds from its start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line, also to standard output."""
        text = TASK_NAME.sub(lambda match: "/".join(filter(None, match.groups())), text)
        with self._lock:
            line = f"{time.monotonic() - self._start_s:8.3f} {text}"
            print(line, flush=True)
            self._file.write(line + "\n")
            self._file.flush()


async def _serve_connection(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            line = await reader.readline()
            if not line.strip():
                return
            method, target, _ = line.decode().split(" ", 2)
            headers: dict[str, str] = {}
            while (row := (await reader.readline()).strip()) != b"":
                name, _, value = row.decode().partition(":")
                headers[name.lower()] = value.strip()
            length = int(headers.get("content-length", 0))
            data = await reader.readexactly(length) if length else b""
            path, _, query = target.partition("?")
            fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            body = json.loads(data) if data else {}
            answer = await handler(method, path, fields, headers, body)
            if answer is None:
                return
            status, value = answer
            text = json.dumps(value, separators=(",", ":")).encode()
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text)
            )
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()


async def _listen(handler: Handler, port: int) -> asyncio.Server:
    return await asyncio.start_server(
        lambda reader, writer: _serve_connection(handler, reader, writer),
        HOST,
        port,
        backlog=512,
    )


class Store:
    """The platform's store: items, conditional writes, watches and leases."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, t.Any]] = {}
        self._keys: list[str] = []
        #: Changes of the last ``HISTORY_S``: revision, time, key, item or ``None``.
        self._events: list[tuple[int, float, str, dict[str, t.Any] | None]] = []
        self._first_revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item on behalf of the operator or an executor."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), lease)
        self._notify()

    def delete(self, key: str) -> None:
        """Delete an item on behalf of the operator or an executor."""
        self.revision += 1
        self._delete(key)
        self._notify()

    def get(self, key: str) -> bytes | None:
        """Return the value of a key; ``None`` for none."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def _put(self, key: str, value: str, lease: int) -> None:
        before = self.items.get(key)
        if before is None:
            bisect.insort(self._keys, key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._events.append((self.revision, time.monotonic(), key, item))

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            del self._keys[bisect.bisect_left(self._keys, key)]
            self._events.append((self.revision, time.monotonic(), key, None))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire(self) -> None:
        """End leases and forget old history, for ever."""
        while True:
            now_s = time.monotonic()
            for lease, (end_s, _) in list(self._leases.items()):
                if end_s <= now_s:
                    self._end_lease(lease)
            old = 0
            while old < len(self._events) and self._events[old][1] < now_s - HISTORY_S:
                old += 1
            if old:
                self._first_revision = self._events[old - 1][0]
                del self._events[:old]
            await asyncio.sleep(TICK_S)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self._notify()

    async def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: t.Any,
    ) -> Answer:
        """Answer a call."""
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"asOf": self.revision}
            return 200, {**item, "asOf": self.revision}
        if path == "/api/kv-range":
            return self._read_range(query["prefix"], query.get("after", ""))
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._write(body)
        if path == "/api/kv-lease":
            ttl_ms = min(600_000, max(1_000, body["ttlMs"]))
            lease = self.revision * 1_000 + len(self._leases)
            while lease in self._leases:
                lease += 1
            self._leases[lease] = (time.monotonic() + ttl_ms / 1_000, ttl_ms)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        number = int(path.rpartition("/")[2])
        if path.startswith("/api/kv-keep/"):
            if number not in self._leases:
                return 404, {}
            ttl_ms = self._leases[number][1]
            self._leases[number] = (time.monotonic() + ttl_ms / 1_000, ttl_ms)
            return 200, {"ttlMs": ttl_ms}
        if path.startswith("/api/kv-lease-end/"):
            self._end_lease(number)
            return 200, {}
        return 404, {}

    def _read_range(self, prefix: str, after: str) -> Answer:
        if after:
            index = bisect.bisect_right(self._keys, after)
        else:
            index = bisect.bisect_left(self._keys, prefix)
        rows: list[dict[str, t.Any]] = []
        size = 0
        has_more = False
        while index < len(self._keys) and self._keys[index].startswith(prefix):
            item = self.items[self._keys[index]]
            size += len(item["value"]) + 150
            if rows and (len(rows) == PAGE_ITEMS or size > PAGE_BYTES):
                has_more = True
                break
            rows.append(item)
            index += 1
        return 200, {"items": rows, "hasMore": has_more, "asOf": self.revision}

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["prefix"], int(query["after"])
        end_s = time.monotonic() + min(30_000, int(query["waitMs"])) / 1_000
        seen = after
        while True:
            if seen < self._first_revision - 1:
                return 410, {}
            # What an earlier turn of the loop has seen is not looked at again.
            first = bisect.bisect_right(self._events, seen, key=lambda row: row[0])
            seen = self.revision
            events = [
                item or {"key": key, "revision": revision, "tombstone": True}
                for revision, _, key, item in self._events[first:]
                if key.startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _write(self, body: dict[str, t.Any]) -> Answer:
        conditions = body.get("precondition") or []
        puts, deletes = body.get("puts") or [], body.get("deletes") or []
        if len(conditions) > 32 or len(puts) > 32 or len(deletes) > 32:
            return 400, {}
        for row in conditions:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items.get(other["key"]) for other in conditions]
                return 412, {"items": [item for item in found if item]}
        if any(row.get("lease") and row["lease"] not in self._leases for row in puts):
            return 404, {}
        keys = [row["key"] for row in puts] + list(deletes)
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        self.revision += 1
        for row in puts:
            self._put(row["key"], row["value"], row.get("lease") or 0)
        for key in deletes:
            self._delete(key)
        self._notify()
        return 200, {"revision": self.revision}


class Run:
    """A run on an executor; ``spec`` tells by ``ms`` how long it works, 0 for ever."""

    def __init__(self, task: str, number: int, work_ms: float, size: tuple) -> None:
        self.task, self.number, self.work_ms, self.size = task, number, work_ms, size
        self.started_s = time.monotonic()
        self.stop_s = 0.0

    @property
    def percent(self) -> int:
        ran_ms = (time.monotonic() - self.started_s) * 1_000
        if not self.work_ms:
            return 100 if ran_ms > 200 else 0
        return min(99, int(100 * ran_ms / self.work_ms))


class Executor:
    """One life of a machine: an executor that guards its capacity.

    :param on_event: called with each start and end.
    :ivar is_up: false while its process is down.
    """

    def __init__(
        self,
        stage: "Stage",
        executor_id: str,
        machine: str,
        service: str,
        port: int,
        cpu: int,
        on_event: t.Callable[[str], None],
    ) -> None:
        self._stage = stage
        self.id, self.machine, self.service, self.port = (
            executor_id,
            machine,
            service,
            port,
        )
        self.cpu, self.memory = cpu, 131_072
        self._on_event = on_event
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.is_up = False
        self._reset()

    def _reset(self) -> None:
        self._start_s = time.monotonic()
        self.born = time.time_ns() // 1_000_000
        self.runs: dict[tuple[str, int], Run] = {}
        self._ends: list[tuple[int, str, int, str, str]] = []
        self._end_count = 0
        self._fence = 0
        self._deadline_ms = 0
        self._highest: dict[str, int] = {}
        self._sequence = 0
        self._ended = asyncio.Event()

    def clock_ms(self) -> int:
        """Return its steady clock, which begins with its process."""
        return int((time.monotonic() - self._start_s) * 1_000) + 1

    async def start(self) -> None:
        """Start its process, and register."""
        self._reset()
        self._server = await asyncio.start_server(
            self._accept, HOST, self.port, backlog=128
        )
        self.is_up = True
        self.beat()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await _serve_connection(self._handle, reader, writer)
        finally:
            self._writers.discard(writer)

    def crash(self) -> None:
        """End its process at once, with all its runs; its connections are reset."""
        self.is_up = False
        for run in self.runs.values():
            self._on_event(f"crash {self.id} ends {run.task} run {run.number}")
        self.runs = {}
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def beat(self) -> None:
        """Write its entry, as every ``heartbeatIntervalMs``."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "z1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0},
            "labels": ["a", "r1-1"],
            "machine": self.machine,
            "born": self.born,
        }
        self._stage.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def tick(self) -> None:
        """End what is due."""
        now_s = time.monotonic()
        if self.runs and self.clock_ms() > self._deadline_ms:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")
        for run in list(self.runs.values()):
            if run.stop_s and now_s >= run.stop_s:
                self._end(run, "stopped")
            elif run.work_ms and (now_s - run.started_s) * 1_000 >= run.work_ms:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task, run.number]
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._stage.note_end(how)
        self._end_count += 1
        self._ends.append((self._end_count, run.task, run.number, how, ""))
        self._on_event(f"end {self.id} {run.task} run {run.number} {how}")
        self._ended.set()
        self._ended = asyncio.Event()

    async def _handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: t.Any,
    ) -> Answer:
        expected = headers.get("cranberrywheel-expect-instance", self.id)
        if expected != self.id:
            return 421, {"timestampMs": self.clock_ms()}
        fence = body.get("fencingToken", 0)
        if fence < self._fence:
            return 409, {"timestampMs": self.clock_ms(), "reason": "fence"}
        self._fence = fence
        if path == "/api/run-start":
            return self._start_run(body)
        if path == "/api/run-stop":
            task, number = body["task"], body["run"]
            self._highest[task] = max(self._highest.get(task, 0), number)
            run = self.runs.get((task, number))
            if run is not None and not run.stop_s:
                run.stop_s = time.monotonic() + STOP_MS / 1_000
        elif path == "/api/hold":
            return await self._hold(body)
        return 200, {"timestampMs": self.clock_ms()}

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms() + BOUNDS["holdMaxMs"]
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _start_run(self, body: dict[str, t.Any]) -> Answer:
        self.tick()
        task, number = body["task"], body["run"]
        deadline_ms = body.get("deadlineMs", 0)

        def refuse(reason: str) -> Answer:
            return 409, {"timestampMs": self.clock_ms(), "reason": reason}

        if (task, number) in self.runs:
            self._extend(deadline_ms)
            return 200, {"timestampMs": self.clock_ms()}
        if deadline_ms <= self.clock_ms():
            return refuse("late")
        self._extend(deadline_ms)
        if number <= self._highest.get(task, 0):
            return refuse("old")
        if not self._stage.is_allowed(task, self.id, body.get("ticket", "")):
            return refuse("ticket")
        work = json.loads(body["spec"])
        size = (work["cpu"], work["memMb"])
        used = [sum(run.size[part] for run in self.runs.values()) for part in (0, 1)]
        if used[0] + size[0] > self.cpu or used[1] + size[1] > self.memory:
            return refuse("room")
        self.runs[task, number] = Run(task, number, work["ms"], size)
        self._stage.note_start(task, number, self)
        self._on_event(f"start {self.id} {task} run {number}")
        return 200, {"timestampMs": self.clock_ms()}

    async def _hold(self, body: dict[str, t.Any]) -> Answer:
        if body.get("deadlineMs"):
            self._extend(body["deadlineMs"])
        cursor = body.get("ackCursor", 0)
        self._ends = [end for end in self._ends if end[0] > cursor]
        wait_ms = min(2_000, body.get("waitMs", 0))
        if wait_ms and not self._ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_ms / 1_000)
        return 200, {
            "timestampMs": self.clock_ms(),
            "born": self.born,
            "running": [
                [run.task, run.number, "", run.percent, 0] for run in self.runs.values()
            ],
            "finished": [list(end) for end in self._ends[:MAX_ENDS]],
        }


class Advisor:
    """The service that allows executors for a step; it allows all that a call names.

    It handles one call at a time, in turn; while 32 calls wait it answers 429.
    """

    def __init__(
        self, record: Record, decision_ms: int, period_ms: int, valid_ms: int
    ) -> None:
        self._record = record
        self._decision_ms, self._period_ms = decision_ms, period_ms
        self._valid_ms = valid_ms
        self._turn = asyncio.Lock()
        self._waiting = 0
        self._valid_until_s: dict[tuple[str, str, str], float] = {}
        self.answers: dict[int, int] = {200: 0, 429: 0}

    def is_valid(self, step: str, executor_id: str, ticket: str) -> bool:
        """Tell whether a ticket is valid now."""
        until_s = self._valid_until_s.get((step, executor_id, ticket), 0.0)
        return time.monotonic() < until_s

    async def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: t.Any,
    ) -> Answer:
        """Answer a call."""
        if self._waiting >= 32:
            self.answers[429] += 1
            return 429, {}
        self._waiting += 1
        asked_s = time.monotonic()
        step, workers = body["step"], body["workers"]
        async with self._turn:
            self._waiting -= 1
            await asyncio.sleep(
                (self._decision_ms + self._period_ms * len(workers)) / 1_000
            )
        self.answers[200] += 1
        ticket = f"{self.answers[200]:08x}"
        for worker in workers:
            until_s = time.monotonic() + self._valid_ms / 1_000
            self._valid_until_s[step, worker, ticket] = until_s
        self._record.write(
            f"advisor answers for {step} after {time.monotonic() - asked_s:.3f} s"
        )
        allowed = [[worker, ticket] for worker in workers]
        return 200, {"allowed": allowed, "validMs": self._valid_ms}


class Stage:
    """A small deployment: stand-ins of the platform and real node processes.

    :param record_path: file that :class:`Record` writes.
    """

    def __init__(self, record_path: pathlib.Path) -> None:
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.executors: list[Executor] = []
        self.starts: list[tuple[float, str, int, str]] = []
        self._count_by_end: dict[str, int] = {}
        self.advisor: Advisor | None = None
        self.advisor_address: str | None = None
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.front_ports: dict[int, int] = {}
        self.ready_ports: dict[int, int] = {}
        self._settings: dict[int, dict[str, t.Any]] = {}
        ports = find_free_ports(2)
        self.store_port, self.machines_port = ports
        self.store: Store = self.on_loop(self._open())

    def on_loop(self, coroutine: t.Any, timeout_s: float = 60) -> t.Any:
        """Run a coroutine on the loop of the stand-ins and return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(timeout_s)

    def call(self, function: t.Callable[[], t.Any]) -> t.Any:
        """Run a function on the loop of the stand-ins and return its result."""

        async def run() -> t.Any:
            return function()

        return self.on_loop(run())

    async def _open(self) -> Store:
        store = Store()
        await _listen(store.handle, self.store_port)
        await _listen(self._serve_machines, self.machines_port)
        self.loop.create_task(store.expire())
        self.loop.create_task(self._tick())
        return store

    async def _tick(self) -> None:
        beat_s = time.monotonic()
        while True:
            for executor in self.executors:
                if executor.is_up:
                    executor.tick()
            if time.monotonic() - beat_s > 1.5:
                beat_s = time.monotonic()
                for executor in self.executors:
                    if executor.is_up:
                        executor.beat()
            await asyncio.sleep(TICK_S)

    async def _serve_machines(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: t.Any,
    ) -> Answer:
        if method == "POST":  # one pool and no wave: nothing can be asked for
            return 409, {"reason": "busy"}
        rows = [
            {
                "machine": executor.machine,
                "pool": executor.service,
                "state": "up" if executor.is_up else "down",
                "zone": "z1",
                "labels": ["a", "r1-1"],
                "capacity": {"cpu": executor.cpu, "memMb": executor.memory, "gpu": 0},
                "id": executor.id if executor.is_up else "",
            }
            for executor in self.executors
        ]
        return 200, {"machines": rows, "nextPageToken": None}

    def note_start(self, task: str, number: int, executor: Executor) -> None:
        """Keep a start for the check."""
        self.starts.append((time.monotonic(), task, number, executor.id))

    def is_allowed(self, task: str, executor_id: str, ticket: str) -> bool:
        """Tell whether a start on an executor needs no ticket, or has a valid one."""
        if self.advisor is None:
            return True
        step = task.rpartition(".")[0]
        return self.advisor.is_valid(step, executor_id, ticket)

    def add_advisor(self, decision_ms: int, period_ms: int, valid_ms: int) -> None:
        """Start an advisor, from which each start needs a ticket."""
        self.advisor = Advisor(self.record, decision_ms, period_ms, valid_ms)
        (port,) = find_free_ports(1)
        self.on_loop(_listen(self.advisor.handle, port))
        self.advisor_address = f"{HOST}:{port}"

    def note_end(self, how: str) -> None:
        """Count an end that an executor lists."""
        self._count_by_end[how] = self._count_by_end.get(how, 0) + 1

    def count_ends(self, how: str) -> int:
        """Return how many ends of a kind all executors have listed."""
        return self._count_by_end.get(how, 0)

    def add_executors(
        self,
        count: int,
        service: str,
        cpu: int = 32_000,
        on_event: t.Callable[[str], None] = lambda text: None,
    ) -> None:
        """Start executors, each on a machine of its own."""
        for port in find_free_ports(count):
            name = f"i-{len(self.executors):04x}"
            machine = f"m-{len(self.executors):04x}"
            executor = Executor(self, name, machine, service, port, cpu, on_event)
            self.executors.append(executor)
            self.on_loop(executor.start())

    def put_configuration(self, configuration: dict[str, t.Any]) -> None:
        """Write the operator's configuration."""
        value = json.dumps(configuration).encode()
        self.call(lambda: self.store.put("op/config", value))

    def add_nodes(self, count: int, changes: t.Mapping[str, t.Any] = {}) -> None:
        """Start node processes with the command of the deploy file."""
        for _ in range(count):
            number = len(self._settings)
            front, ready, control, first, metrics = find_free_ports(5)
            self.front_ports[number] = front
            self.ready_ports[number] = ready
            self._settings[number] = {
                "metrics": metrics,
                "settings": {
                    "nodeName": f"frontend-z1-{number}",
                    "role": "entry",
                    "machineClass": "frontend",
                    "serves": ["frontend"],
                    "ip": HOST,
                    "zone": "z1",
                    "region": "r",
                    "zones": {"z1": "r"},
                    "listenAddrs": {
                        "frontend": f"{HOST}:{front}",
                        "ready": f"{HOST}:{ready}",
                        "controlPlane": f"{HOST}:{control}",
                    },
                    "internalPorts": [first, first + 1],
                    "seeds": [],
                    "bootstrap": True,
                    "lossCounts": False,
                    "limits": {
                        "cpuShare": 0.537,
                        "cpuCores": 2,
                        "memoryMb": 300,
                        "maxFds": 4100,
                        "linkMbps": 1000.0,
                        "diskMb": 0,
                    },
                    "dataDir": None,
                    "discovery": "platform",
                    "entry": "vip",
                    "heartbeatIntervalMs": 1500,
                    "contracts": CONTRACTS,
                    "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
                    "bounds": BOUNDS,
                    "controlMode": "call",
                    "advisor": self.advisor_address,
                    "platform": {
                        "address": f"{HOST}:{self.store_port}",
                        "form": "kv",
                        "writesPerS": 400,
                        "readsPerS": 2000,
                        "historyS": HISTORY_S,
                        "valueBytes": 1048576,
                        "ttlMinMs": 1000,
                    },
                    "cloudApi": {
                        "address": f"{HOST}:{self.machines_port}",
                        "ratePerS": 64.0,
                        "duties": [],
                        "dutyPerS": 64.0,
                    },
                    **changes,
                },
            }
            self.start_node(number)

    def start_node(self, number: int) -> None:
        """Start the process of a machine, as the platform does after each end."""
        row = self._settings[number]
        path = self.folder / f"settings-{number}.json"
        path.write_text(json.dumps(row["settings"]))
        log = (self.folder / f"node-{number}.log").open("ab")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "CRANBERRYWHEEL_BOOT": str(path),
            "CRANBERRYWHEEL_METRICS_PORT": str(row["metrics"]),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        self.processes[number] = subprocess.Popen(
            ["python3", "deploy/node.py", "--settings", "deploy/node.ini"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"node {number} starts, pid {self.processes[number].pid}")

    def kill_node(self, number: int) -> None:
        """Send SIGKILL to a node that this script started."""
        process = self.processes[number]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record.write(f"node {number} killed, pid {process.pid}")

    def find_leader(self) -> int | None:
        """Return the number of the process that leads by its record in the store."""
        value = self.call(lambda: self.store.get("cw/leader"))
        if value is None:
            return None
        name = json.loads(value)["process"].rpartition("-")[0]
        return int(name.rpartition("-")[2])

    def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until every node is ready and one of them leads."""
        end_s = time.monotonic() + timeout_s
        waiting = set(self.processes)
        while waiting or self.find_leader() is None:
            if time.monotonic() > end_s:
                raise CannotRunError(f"nodes not ready: {waiting}")
            for number in list(waiting):
                answer = ask(self.ready_ports[number], "GET", "/api/ready")
                if answer[0] == 200:
                    waiting.discard(number)
            time.sleep(0.1)

    def keep_log(self, text: str) -> list[str]:
        """Return the lines of all node logs that contain a text."""
        lines = []
        for path in sorted(self.folder.glob("node-*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if text in line:
                    lines.append(f"{path.stem}: {line}")
        return lines

    def close(self) -> None:
        """End all processes of this script and remove its folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"kept {self.folder}")


class Channel:
    """A consumer's channel, which stays open between its requests."""

    def __init__(self, port: int, timeout_s: float = 3.0) -> None:
        self._connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
        self._timeout_ms = int(timeout_s * 1_000)

    def ask(
        self, method: str, path: str, body: t.Any = None, key: str = "", host: str = ""
    ) -> tuple[int, dict[str, t.Any]]:
        """Send a request; returns status 0 if there is no answer in time."""
        headers = {"Cranberrywheel-Deadline-Remaining": str(self._timeout_ms)}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        if host:
            headers["Host"] = host
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            self._connection.request(method, path, data, headers)
            reply = self._connection.getresponse()
            text = reply.read()
            return reply.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._connection.close()
            return 0, {"error": repr(error)}

    def close(self) -> None:
        """Close the channel."""
        self._connection.close()


def ask(port: int, method: str, path: str, **options: t.Any) -> tuple[int, t.Any]:
    """Send one request on a channel of its own."""
    channel = Channel(port)
    try:
        return channel.ask(method, path, **options)
    finally:
        channel.close()


def has_trouble() -> bool:
    """Tell whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(case: t.Callable[[Stage], bool], folder: pathlib.Path) -> t.NoReturn:
    """Play a case: exit with 1 if the rule was broken, 0 if it held, 2 for neither."""
    stage = Stage(folder / "record.txt")
    code = 2
    try:
        is_broken = case(stage)
        stage.record.write("rule broken" if is_broken else "rule held")
        code = int(is_broken)
    except Exception as error:
        stage.record.write(f"could not run: {error!r}")
    finally:
        stage.close()
    sys.stdout.flush()
    os._exit(code)

"""Small stand-ins of the platform for the cases 6 to 10: store, executors, machines.

They follow PROTOCOL.md. All of them run in one thread with an asyncio loop, on loopback
addresses and the real clock.
"""

import asyncio
import base64
import bisect
import collections
import json
import threading
import time
import urllib.parse

HOST = "127.0.0.1"
#: Figures of the small installation `mlr-clyde`.
STORE_ANSWER_S = 0.004
HISTORY_S = 20.0
VALUE_BYTES = 1_048_576
PAGE_ITEMS = 500
HEARTBEAT_S = 1.5
#: Heartbeats without a sign after which the store removes an entry.
SILENT_BEATS = 3
HOLD_MAX_MS = 6_000
STOP_S = 0.1


def steady_ms():
    """Return the steady time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def unix_ms():
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000


class HttpListener:
    """An HTTP/1.1 server on the loop of the stand-ins.

    :param handle: coroutine that takes method, path, query and body, and returns the
        status and the JSON body.
    """

    def __init__(self, port, handle):
        self.port = port
        self._handle = handle
        self._server = None
        self._writers = set()

    async def open(self):
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=512
        )

    def close(self):
        """Stop to listen and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *rows = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (row.partition(":") for row in rows if row)
                }
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await self._handle(method, path, fields, body)
                data = json.dumps(answer, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The key-value store: revisions, conditions, leases and watches."""

    def __init__(self, port):
        self.listener = HttpListener(port, self._handle)
        self.item_by_key = {}
        self._keys = []
        self.revision = 100
        self._events = collections.deque()
        self._dropped_revision = 100
        self._changed = asyncio.Condition()
        self._lease_end_by_id = {}
        self._ttl_by_lease = {}
        self._keys_by_lease = collections.defaultdict(set)
        self._next_lease = 1_000
        self.calls = collections.Counter()

    async def run(self):
        """Remove the keys of expired leases, and old history."""
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for lease, end_s in list(self._lease_end_by_id.items()):
                if now_s >= end_s:
                    self.end_lease(lease)
            while self._events and self._events[0][0] < now_s - HISTORY_S:
                self._dropped_revision = self._events.popleft()[1]["revision"]
            await self.notify()

    async def notify(self):
        """Wake the watches."""
        async with self._changed:
            self._changed.notify_all()

    def _put(self, key, value, lease, revision):
        old = self.item_by_key.get(key)
        if old is None:
            bisect.insort(self._keys, key)
        elif old["lease"]:
            self._keys_by_lease[old["lease"]].discard(key)
        item = {
            "key": key,
            "value": value,
            "revision": revision,
            "created": old["created"] if old else revision,
            "lease": lease,
        }
        self.item_by_key[key] = item
        if lease:
            self._keys_by_lease[lease].add(key)
        self._events.append((time.monotonic(), item))

    def _delete(self, key, revision):
        old = self.item_by_key.pop(key, None)
        if old is None:
            return
        del self._keys[bisect.bisect_left(self._keys, key)]
        self._keys_by_lease[old["lease"]].discard(key)
        event = {"key": key, "revision": revision, "tombstone": True}
        self._events.append((time.monotonic(), event))

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        self._lease_end_by_id.pop(lease, None)
        keys = self._keys_by_lease.pop(lease, set())
        if keys:
            self.revision += 1
            for key in list(keys):
                self._delete(key, self.revision)

    def write(self, value_by_key, deletes=()):
        """Write without conditions, for the operator and the executors."""
        self.revision += 1
        for key, value in value_by_key.items():
            self._put(key, base64.b64encode(value).decode(), 0, self.revision)
        for key in deletes:
            self._delete(key, self.revision)
        return self.revision

    def read(self, key):
        """Return the value of a key, or ``None``."""
        item = self.item_by_key.get(key)
        return base64.b64decode(item["value"]) if item else None

    def list_keys(self, prefix):
        """Return the keys that begin with a prefix."""
        start = bisect.bisect_left(self._keys, prefix)
        found = []
        for key in self._keys[start:]:
            if not key.startswith(prefix):
                break
            found.append(key)
        return found

    def _range(self, prefix, after):
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        page = []
        for key in self._keys[start : start + PAGE_ITEMS + 1]:
            if not key.startswith(prefix):
                break
            page.append(self.item_by_key[key])
        return page[:PAGE_ITEMS], len(page) > PAGE_ITEMS

    def _apply(self, body):
        conditions = body.get("precondition") or []
        puts = body.get("puts") or []
        deletes = body.get("deletes") or []
        if len(conditions) + len(puts) + len(deletes) > 32:
            return 400, {}
        for row in conditions:
            item = self.item_by_key.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.item_by_key.get(row["key"]) for row in conditions]
                return 412, {"items": [item for item in found if item]}
        for row in puts:
            lease = row.get("lease") or 0
            if lease and lease not in self._lease_end_by_id:
                return 404, {}
            if len(base64.b64decode(row["value"])) > VALUE_BYTES:
                return 400, {}
        self.revision += 1
        for row in puts:
            self._put(row["key"], row["value"], row.get("lease") or 0, self.revision)
        for key in deletes:
            self._delete(key, self.revision)
        return 200, {"revision": self.revision}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self._dropped_revision:
                return 410, {}
            events = []
            for _, event in reversed(self._events):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                events.reverse()
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    async def _handle(self, method, path, query, body):
        self.calls[path.rpartition("/kv-")[2].partition("/")[0]] += 1
        if path == "/api/kv-watch":
            return await self._watch(query)
        await asyncio.sleep(STORE_ANSWER_S)
        row = json.loads(body) if body else {}
        if path == "/api/kv-key":
            item = self.item_by_key.get(query["key"])
            if item is None:
                return 404, {"asOf": self.revision}
            return 200, {**item, "asOf": self.revision}
        if path == "/api/kv-range":
            page, has_more = self._range(query["prefix"], query.get("after", ""))
            answer = {"items": page, "hasMore": has_more, "asOf": self.revision}
            return 200, answer
        if path == "/api/kv-txn":
            answer = self._apply(row)
            await self.notify()
            return answer
        if path == "/api/kv-lease":
            self._next_lease += 1
            self._ttl_by_lease[self._next_lease] = row["ttlMs"]
            end_s = time.monotonic() + row["ttlMs"] / 1000
            self._lease_end_by_id[self._next_lease] = end_s
            return 200, {"lease": self._next_lease, "ttlMs": row["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/api/kv-keep/"):
            if lease not in self._lease_end_by_id:
                return 404, {}
            ttl_ms = self._ttl_by_lease[lease]
            self._lease_end_by_id[lease] = time.monotonic() + ttl_ms / 1000
            return 200, {"ttlMs": ttl_ms}
        if path.startswith("/api/kv-lease-end/"):
            self.end_lease(lease)
            await self.notify()
            return 200, {}
        return 404, {}


class _Run:
    def __init__(self, task, number, plan):
        self.task = task
        self.number = number
        self.started_ms = steady_ms()
        self.length_ms = plan.get("ms", 1_000)
        self.fails = number_fails(plan, task)
        self.cpu = plan.get("cpu", 1_000)
        self.timer = None


#: Starts of each task so far, which decide whether a run fails.
_starts_by_task = collections.Counter()


def number_fails(plan, task):
    """Tell whether the next run of a task fails: the first ``fails`` of them do."""
    _starts_by_task[task] += 1
    return _starts_by_task[task] <= plan.get("fails", 0)


class Executor:
    """An executor that runs tasks for as long as their ``spec`` says.

    The ``spec`` is JSON: ``ms``, how long a task works; ``cpu``, what it uses;
    ``fails``, how many of its first runs end as failed; ``lasts``, it does not end.

    :param note: called with a line for each start and end.
    """

    def __init__(self, store, number, port, service, note, cpu=32_000):
        self.id = f"i-{number:04x}"
        self.machine = f"m-{number:04x}"
        self.service = service
        self.cpu = cpu
        self.labels = ["a", f"r1-{number // 4}"]
        self.address = f"{HOST}:{port}"
        self.listener = HttpListener(port, self._handle)
        self._store = store
        self._note = note
        self._sequence = 0
        self.is_up = False
        self.is_registered = False
        self._written_s = 0.0
        self.is_cut_off = False
        #: Time after which the next poll that acknowledges ends is carried out, without
        #: an answer; 0 for none.
        self.late_poll_s = 0.0

    async def open(self, registers=True):
        """Start the process of the executor.

        :param registers: it writes its entry at once, and not with its next heartbeat.
        """
        self.born = unix_ms()
        self._start_ms = steady_ms()
        self.fence = 0
        self.deadline_ms = 0
        self.run_by_task = {}
        self.last_by_task = {}
        self.finished = collections.deque()
        self._next_end = 1
        self._ended = asyncio.Event()
        self.is_up = True
        self._beat_s = time.monotonic()
        await self.listener.open()
        if registers:
            self.write_entry()

    def crash(self):
        """End the process of the executor at once."""
        self.is_up = False
        self.listener.close()
        for run in self.run_by_task.values():
            if run.timer:
                run.timer.cancel()
        self.run_by_task.clear()

    def write_entry(self):
        """Write the entry in the store."""
        self._sequence += 1
        self._written_s = time.monotonic()
        self.is_registered = True
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "glasgow-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 131_072, "gpu": 0},
            "labels": self.labels,
            "machine": self.machine,
            "timestampMs": self._clock_ms(),
            "born": self.born,
            "sequence": self._sequence,
        }
        self._store.write({f"servers/{self.id}": json.dumps(entry).encode()})

    async def run(self):
        """Write the entry again and again, and end runs whose lease is over."""
        while True:
            await asyncio.sleep(0.05)
            silent_s = time.monotonic() - self._written_s
            if silent_s > SILENT_BEATS * HEARTBEAT_S and self.is_registered:
                self.is_registered = False
                self._store.write({}, [f"servers/{self.id}"])
                await self._store.notify()
            if not self.is_up:
                continue
            if time.monotonic() - self._beat_s >= HEARTBEAT_S and not self.is_cut_off:
                self._beat_s = time.monotonic()
                self.write_entry()
                await self._store.notify()
            if self.run_by_task and self._clock_ms() > self.deadline_ms:
                for run in list(self.run_by_task.values()):
                    self._end(run, "lapsed")

    def _clock_ms(self):
        return steady_ms() - self._start_ms + 400_000

    def _end(self, run, how):
        if self.run_by_task.get(run.task) is not run:
            return
        del self.run_by_task[run.task]
        if run.timer:
            run.timer.cancel()
        last = self.last_by_task.get(run.task, 0)
        self.last_by_task[run.task] = max(last, run.number)
        self.finished.append([self._next_end, run.task, run.number, how, ""])
        self._next_end += 1
        self._note("end", run.task, run.number, self.id, how)
        self._ended.set()

    def _extend(self, deadline_ms):
        limit_ms = self._clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def _refuse(self, reason):
        return 409, {"timestampMs": self._clock_ms(), "reason": reason}

    async def _handle(self, method, path, query, body):
        if self.is_cut_off:
            await asyncio.Event().wait()  # a call that the partition has lost
        row = json.loads(body) if body else {}
        if path == "/api/hold" and row.get("ackCursor") and self.late_poll_s:
            delay_s, self.late_poll_s = self.late_poll_s, 0.0
            self._note("late", "poll", row["ackCursor"], self.id, f"in {delay_s} s")
            asyncio.get_running_loop().call_later(delay_s, self._apply, path, row)
            await asyncio.Event().wait()  # it gets no answer
        answer = self._apply(path, row)
        if answer is None:
            answer = await self._hold(row)
        if self.is_cut_off:
            await asyncio.Event().wait()  # an answer that the partition has lost
        return answer

    def _apply(self, path, row):
        """Carry out a call; ``None`` for a poll, which may wait for an end."""
        if row.get("fencingToken", 0) < self.fence:
            return self._refuse("fence")
        self.fence = row.get("fencingToken", 0)
        if path == "/api/hold":
            self._acknowledge(row.get("ackCursor", 0))
            if "deadlineMs" in row:
                self._extend(row["deadlineMs"])
            return None
        if path == "/api/run-start":
            return self._start(row)
        if path == "/api/run-stop":
            task, number = row["task"], row["run"]
            last = self.last_by_task.get(task, 0)
            self.last_by_task[task] = max(last, number)
            run = self.run_by_task.get(task)
            if run is not None and run.number <= number:
                loop = asyncio.get_running_loop()
                loop.call_later(STOP_S, self._end, run, "stopped")
            return 200, {"timestampMs": self._clock_ms()}
        if path == "/api/pace":
            return 200, {"timestampMs": self._clock_ms()}
        return 404, {}

    def _start(self, row):
        task, number = row["task"], row["run"]
        present = self.run_by_task.get(task)
        if present is not None and present.number == number:
            return 200, {"timestampMs": self._clock_ms()}
        if row["deadlineMs"] <= self._clock_ms():
            return self._refuse("late")
        self._extend(row["deadlineMs"])
        if number <= self.last_by_task.get(task, 0) or present is not None:
            return self._refuse("old")
        plan = json.loads(row["spec"])
        used = sum(run.cpu for run in self.run_by_task.values())
        if used + plan.get("cpu", 1_000) > self.cpu:
            return self._refuse("room")
        run = _Run(task, number, plan)
        self.run_by_task[task] = run
        self._note("start", task, number, self.id, "")
        if not plan.get("lasts"):
            loop = asyncio.get_running_loop()
            how = "failed" if run.fails else "done"
            run.timer = loop.call_later(run.length_ms / 1000, self._end, run, how)
        return 200, {"timestampMs": self._clock_ms()}

    def _acknowledge(self, cursor):
        """Forget ends, and note each one with what was left of the lease."""
        while self.finished and self.finished[0][0] <= cursor:
            number, task, run, how, _ = self.finished.popleft()
            left_ms = self.deadline_ms - self._clock_ms()
            self._note("noted", task, run, self.id, f"{how}, lease {left_ms} ms")

    async def _hold(self, row):
        wait_s = min(row.get("waitMs", 0), 2_000) / 1000
        if wait_s and not self.finished:
            self._ended.clear()
            try:
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except TimeoutError:
                pass
        running = []
        for run in self.run_by_task.values():
            done = (steady_ms() - run.started_ms) * 100 // max(1, run.length_ms)
            running.append([run.task, run.number, "", min(100, done), run.cpu])
        return 200, {
            "timestampMs": self._clock_ms(),
            "born": self.born,
            "running": running,
            "finished": list(self.finished)[:500],
        }


class Platform:
    """All stand-ins of one installation, on a thread of their own.

    :param pools: number of executors of each service.
    :param note: called with a line for each start and end of a run.
    """

    def __init__(self, ports, pools, note):
        self._ready = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._ports = ports
        self._pools = pools
        self._note = note
        self.executors = []

    def start(self):
        """Start all stand-ins."""
        self._thread.start()
        if not self._ready.wait(10):
            raise RuntimeError("the stand-ins did not start")

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._open())
        self._ready.set()
        self._loop.run_forever()

    async def _open(self):
        self.store_port = next(self._ports)
        self.cloud_port = next(self._ports)
        self.store = Store(self.store_port)
        await self.store.listener.open()
        self._loop.create_task(self.store.run())
        await HttpListener(self.cloud_port, self._serve_machines).open()
        number = 0
        for service, count in self._pools.items():
            for _ in range(count):
                executor = Executor(
                    self.store, number, next(self._ports), service, self._note
                )
                number += 1
                self.executors.append(executor)
                await executor.open()
                self._loop.create_task(executor.run())

    async def _serve_machines(self, method, path, query, body):
        if path != "/api/machines":
            return 400, {}
        rows = [
            {
                "machine": executor.machine,
                "pool": executor.service,
                "state": "up",
                "zone": "glasgow-a",
                "labels": executor.labels,
                "capacity": {"cpu": executor.cpu, "memMb": 131_072, "gpu": 0},
                "id": executor.id,
            }
            for executor in self.executors
        ]
        return 200, {"machines": rows, "nextPageToken": None}

    def do(self, function, *arguments):
        """Run a function on the thread of the stand-ins and return its result."""

        async def call():
            result = function(*arguments)
            if asyncio.iscoroutine(result):
                result = await result
            await self.store.notify()
            return result

        return asyncio.run_coroutine_threadsafe(call(), self._loop).result(30)

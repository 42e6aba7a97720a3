"""Small deployment for the cases: platform, executors, proxies and clients.

One process holds the stand-ins for the metadata store, the list of machines and the
executors, as the users' PROTOCOL.md describes them. The nodes are separate processes,
started with the command of deploy/system.toml. Each node reaches the store through a
proxy of its own. Everything listens on loopback addresses. Only the standard library
is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
#: Bounds of sites/kayis-ortak (SYSTEM.md).
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
    "stopTimeoutMs": 900,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 2,
    "checkpointIntervalS": 2,
    "restoreMs": 100,
    "noticeMs": 4500,
    "migrationS": 1.5,
    "maintenanceS": 2,
    "enforceFencing": False,
    "leaseDurationMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}
HEARTBEAT_S = 1.5
STOP_S = 0.1
STARTUP_S = 0.7
#: Time that the store takes for an answer.
STORE_S = 0.004


class RigError(Exception):
    """The case could not run."""


def now() -> float:
    """Return the steady time in seconds."""
    return time.monotonic()


def free_port(host: str) -> int:
    """Return a free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randint(12_000, 31_000)
        if port in _taken_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port


_taken_ports: set[int] = set()


# HTTP


async def read_message(reader):
    """Read one HTTP message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length") or 0)
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class HttpServer:
    """HTTP/1.1 server whose handler returns a status and a JSON value.

    A handler returns ``None`` to leave the call without an answer.
    """

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Listen on the port."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                args = dict(urllib.parse.parse_qsl(query))
                answer = await self.handler(method, path, args, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()

    async def stop(self, reset=True):
        """Stop listening and end all connections, as the end of a process does."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()
        for task in list(self._tasks):
            task.cancel()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Send one request on a new connection; status 0 if there is no answer."""
    host, _, port = address.rpartition(":")
    data = json.dumps(body).encode() if body is not None else b""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
            head += ["Content-Type: application/json", "Connection: close"]
            head += [f"{key}: {value}" for key, value in (headers or {}).items()]
            if not headers or "Host" not in headers:
                head.append(f"Host: {address}")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            status = int(first.split(" ")[1])
            return status, json.loads(answer) if answer else {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            with contextlib.suppress(Exception):
                writer.close()


# The metadata store


class Store:
    """The platform's metadata store; linearizable, and loses nothing."""

    def __init__(self, rig):
        self.rig = rig
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.lease_ids = 1000
        self.changed = asyncio.Event()
        self.delay_s = STORE_S
        #: Called with each write that was applied.
        self.on_write = lambda puts, deletes: None

    def put(self, key, value, lease=0):
        """Write one key without a condition, as the operator and executors do."""
        self._apply([(key, base64.b64encode(value).decode(), lease)], [])

    def delete(self, key):
        """Delete one key."""
        if key in self.items:
            self._apply([], [key])

    def _apply(self, puts, deletes):
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            item = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.events.append((self.revision, key, item))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                row = {"key": key, "revision": self.revision, "tombstone": True}
                self.events.append((self.revision, key, row))
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        """End leases whose time is over."""
        while True:
            await asyncio.sleep(0.01)
            for lease, (_, end) in list(self.leases.items()):
                if now() >= end:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    async def handle(self, method, path, args, headers, body):
        """Answer one call."""
        value = json.loads(body) if body else {}
        if path == "/api/kv-watch":
            return await self._watch(args)
        await asyncio.sleep(self.delay_s)
        if path == "/api/kv-key":
            item = self.items.get(args["key"])
            if item is None:
                return 404, {"asOf": self.revision}
            return 200, {**item, "asOf": self.revision}
        if path == "/api/kv-range":
            prefix, after = args["prefix"], args.get("after", "")
            keys = sorted(
                key for key in self.items if key.startswith(prefix) and key > after
            )
            rows = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": rows, "hasMore": more, "asOf": self.revision}
        if path == "/api/kv-txn":
            return self._txn(value)
        if path == "/api/kv-lease":
            self.lease_ids += 1
            ttl = max(1000, min(600_000, int(value["ttlMs"])))
            self.leases[self.lease_ids] = (ttl, now() + ttl / 1000)
            return 200, {"lease": self.lease_ids, "ttlMs": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path.startswith("/api/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    async def _watch(self, args):
        prefix, after = args["prefix"], int(args["after"])
        end = now() + min(30_000, int(args["waitMs"])) / 1000
        while True:
            rows = [
                row
                for revision, key, row in self.events
                if revision > after and key.startswith(prefix)
            ]
            left = end - now()
            if rows or left <= 0:
                return 200, {"events": rows, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _txn(self, value):
        puts = [
            (row["key"], row["value"], int(row.get("lease") or 0))
            for row in value.get("puts") or []
        ]
        deletes = list(value.get("deletes") or [])
        conditions = value.get("precondition") or []
        if len(puts) + len(deletes) + len(conditions) > 32:
            return 400, {}
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return 403, {}
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        failed = False
        rows = []
        for condition in conditions:
            item = self.items.get(condition["key"])
            if item is not None:
                rows.append(item)
            failed |= (item["revision"] if item else 0) != condition["revision"]
        if failed:
            return 412, {"items": rows}
        self._apply(puts, deletes)
        self.on_write(puts, deletes)
        return 200, {"revision": self.revision}


# Proxies


class Proxy:
    """TCP proxy. ``held``: bytes are held up, as by a partition, until it ends.

    :meth:`silence` makes the open channels silent for good, while new ones work.
    """

    def __init__(self, host, port, target):
        self.host, self.port, self.target = host, port, target
        self.open = asyncio.Event()
        self.open.set()
        self.pairs = set()
        self._tasks = set()

    async def start(self):
        """Listen on the port."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def hold(self):
        """Let nothing through in either direction."""
        self.open.clear()

    def release(self):
        """Deliver what was held up, and let everything through again."""
        self.open.set()

    def silence(self):
        """Make the channels that are open now silent for good."""
        for pair in self.pairs:
            pair["silent"] = True

    def stop(self):
        """Stop listening, and end all connections."""
        self.server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        pair = _Pair(silent=False)
        self.pairs.add(pair)
        up = None
        pumps = []
        try:
            await self.open.wait()
            up_reader, up = await asyncio.open_connection(*self.target)
            pumps = [
                asyncio.create_task(self._pump(reader, up, pair)),
                asyncio.create_task(self._pump(up_reader, writer, pair)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            self.pairs.discard(pair)
            self._tasks.discard(asyncio.current_task())
            for end in (writer, up):
                if end is not None:
                    with contextlib.suppress(Exception):
                        end.close()

    async def _pump(self, reader, writer, pair):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.open.wait()
                # What is held up is lost if its sender has reset the channel meanwhile.
                if not pair["silent"] and reader.exception() is None:
                    writer.write(data)
                    await writer.drain()
            await self.open.wait()


class _Pair(dict):
    __hash__ = object.__hash__


# Executors


class Executor:
    """A worker of PROTOCOL.md, "Running tasks" and "Service discovery"."""

    def __init__(self, rig, name, service, zone, rack, cpu, labels=()):
        self.rig, self.id, self.service, self.zone = rig, name, service, zone
        self.machine = f"m-{name}"
        self.labels = ["a", rack, *labels]
        self.cpu, self.mem = cpu, 64_000
        self.port = free_port(HOST)
        self.server = HttpServer(HOST, self.port, self.handle)
        self.up = False
        #: While true, calls are not answered and the store is not reached.
        self.cut = False
        #: Called with a task and its run when it begins.
        self.on_start = lambda task, run: None
        #: Called with a task and a run when a stop of a run there arrives.
        self.on_stop = lambda task, run: None
        self.last_beat = 0.0
        self.lives = 0

    @property
    def address(self):
        """Address of its interface."""
        return f"{HOST}:{self.port}"

    async def boot(self):
        """Start a life of the executor, which knows nothing of before."""
        self.born = int(time.time() * 1000)
        # The clock of a life starts anew; the first one began long before the case.
        self.steady0 = now() - (0 if self.lives else random.uniform(50, 500))
        self.lives += 1
        self.fence = self.deadline = self.sequence = self.ends = 0
        self.runs, self.last, self.finished = {}, {}, []
        self.changed = asyncio.Event()
        await self.server.stop()
        await self.server.start()
        self.up = True
        self.beat()

    async def crash(self, dark=False):
        """End the life at once, and all that runs.

        :param dark: as by a loss of power: channels to it hang until it is back.
        """
        self.up = False
        for task, run in self.runs.items():
            self.rig.record("lost", executor=self.id, task=task, run=run["run"])
        self.runs = {}
        if not dark:
            await self.server.stop()

    def clock(self):
        """Return its steady clock in milliseconds."""
        return int((now() - self.steady0) * 1000)

    def beat(self):
        """Write its entry to the store."""
        self.last_beat = now()
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "sequence": self.sequence,
            "born": self.born,
            "machine": self.machine,
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
            "labels": self.labels,
        }
        self.rig.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def _end(self, task, how):
        run = self.runs.pop(task)
        self.ends += 1
        self.last[task] = max(self.last.get(task, 0), run["run"])
        self.finished.append([self.ends, task, run["run"], how, ""])
        self.rig.record(
            "end", executor=self.id, task=task, run=run["run"], how=how, n=self.ends
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def tick(self):
        """End what is due, and write the entry."""
        key = f"servers/{self.id}"
        if not self.up or self.cut:
            if now() - self.last_beat > 3 * HEARTBEAT_S:
                self.rig.store.delete(key)
        elif now() - self.last_beat > HEARTBEAT_S or key not in self.rig.store.items:
            self.beat()
        if not self.up:
            return
        for task, run in list(self.runs.items()):
            if run["stop"] and now() >= run["stop"]:
                self._end(task, "stopped")
            elif run["until"] and now() >= run["until"]:
                self._end(task, "done")
        if self.runs and self.clock() >= self.deadline:
            for task in list(self.runs):
                self._end(task, "lapsed")

    async def handle(self, method, path, args, headers, body):
        """Answer one call."""
        if self.cut or not self.up:
            return None
        name = headers.get("cranberrywheel-expect-instance")
        if name and name != self.id:
            return 421, {"timestampMs": self.clock(), "born": self.born}
        if path == "/health":
            return 200, {}
        value = json.loads(body) if body else {}
        self.tick()
        if value.get("fencingToken", 0) < self.fence:
            return 409, {"timestampMs": self.clock(), "reason": "fence"}
        self.fence = value.get("fencingToken", 0)
        if path == "/api/run-start":
            status, answer = self._start(value)
        elif path == "/api/run-stop":
            status, answer = self._stop(value)
        elif path == "/api/hold":
            status, answer = await self._hold(value)
        elif path == "/api/pace":
            status, answer = 200, {}
        else:
            return 404, {}
        if self.cut or not self.up:
            return None
        return status, {"timestampMs": self.clock(), "born": self.born, **answer}

    def _extend(self, value):
        if value.get("deadlineMs"):
            limit = self.clock() + BOUNDS["holdMaxMs"]
            self.deadline = max(self.deadline, min(value["deadlineMs"], limit))

    def used(self):
        """Return the cpu of all that runs, also of what is being stopped."""
        return sum(run["cpu"] for run in self.runs.values())

    def _start(self, value):
        task, number = value["task"], value["run"]
        present = self.runs.get(task)
        if present and present["run"] == number:
            return 200, {}
        if number <= self.last.get(task, 0):
            self._extend(value)
            return 409, {"reason": "old"}
        step = self.rig.find_step(task)
        cpu = step.get("cpu", 0)
        if self.used() + cpu > self.cpu:
            self._extend(value)
            return 409, {"reason": "room"}
        if value["deadlineMs"] <= self.clock():
            return 409, {"reason": "late"}
        self._extend(value)
        lasts = step.get("longRunning", False)
        until = 0 if lasts else now() + step["estimatedMs"] / 1000
        self.runs[task] = {
            "run": number,
            "cpu": cpu,
            "since": now(),
            "until": until,
            "stop": 0,
            "lasts": lasts,
        }
        self.rig.record(
            "start",
            executor=self.id,
            task=task,
            run=number,
            fence=self.fence,
            spec=value["spec"],
        )
        self.on_start(task, number)
        return 200, {}

    def _stop(self, value):
        task, number = value["task"], value["run"]
        present = self.runs.get(task)
        if present and present["run"] <= number:
            if not present["stop"]:
                self.on_stop(task, number)
            present["stop"] = present["stop"] or now() + STOP_S
        self.last[task] = max(self.last.get(task, 0), number)
        return 200, {}

    async def _hold(self, value):
        self._extend(value)
        cursor = value.get("ackCursor", 0)
        self.finished = [row for row in self.finished if row[0] > cursor]
        end = now() + min(2000, value.get("waitMs", 0)) / 1000
        while not self.finished and (left := end - now()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        running = []
        for task, run in self.runs.items():
            age = now() - run["since"]
            whole = STARTUP_S if run["lasts"] else run["until"] - run["since"]
            percent = min(100 if run["lasts"] else 99, int(100 * age / whole))
            running.append([task, run["run"], "", percent, 0])
        return 200, {"running": running, "finished": self.finished[:500]}


# The list of machines


class Machines:
    """The platform's interface for machines (PROTOCOL.md, "Machines").

    :ivar delay_s: time that each answer takes; a call takes effect as it arrives.
    :ivar page: machines in a page of the list.
    """

    def __init__(self, rig):
        self.rig = rig
        self.delay_s = 0.004
        self.page = 100
        self.pools = {}
        self.away = {}
        self.done = set()
        self.waves = {}

    def _state(self, executor):
        kind, until = self.away.get(executor.machine, ("up", 0))
        return kind if now() < until else "up" if executor.up else "down"

    async def handle(self, method, path, args, headers, body):
        """Answer one call."""
        if path == "/api/machines":
            first = int(args.get("pageToken") or 0)
            rows = []
            executors = sorted(self.rig.executors.values(), key=lambda e: e.machine)
            for executor in executors[first : first + self.page]:
                state = self._state(executor)
                rows.append(
                    {
                        "machine": executor.machine,
                        "pool": executor.service,
                        "state": state,
                        "zone": executor.zone,
                        "labels": executor.labels,
                        "capacity": {"cpu": executor.cpu, "memMb": executor.mem},
                        "id": executor.id if state == "up" else "",
                    }
                )
            more = first + self.page < len(executors)
            answer = {"machines": rows}
            if more:
                answer["nextPageToken"] = str(first + self.page)
            await asyncio.sleep(self.delay_s)
            return 200, answer
        value = json.loads(body)
        answer = self._order(path, value, headers)
        await asyncio.sleep(self.delay_s)
        return answer

    def _order(self, path, value, headers):
        machine = value.get("machine")
        found = [e for e in self.rig.executors.values() if e.machine == machine]
        if not found:
            return 400, {}
        executor = found[0]
        holder = headers.get("cranberrywheel-duty-holder")
        fence = headers.get("cranberrywheel-fencing-token")
        if path == "/api/machine-upkeep":
            wave = value["wave"]
            if machine not in self.waves.get(wave, {}).get("machines", ()):
                return 409, {"reason": "wave"}
            if (wave, machine) in self.done:
                return 200, {}
            if self._state(executor) != "up":
                return 409, {"reason": "busy"}
            down = [
                name
                for name in self.waves[wave]["machines"]
                if self.away.get(name, ("", 0))[0] == "upkeep"
                and now() < self.away[name][1]
            ]
            self.done.add((wave, machine))
            self.rig.record(
                "upkeep",
                machine=machine,
                wave=wave,
                down=",".join(down),
                holder=holder,
                fence=fence,
            )
            self._begin(executor, "upkeep", BOUNDS["maintenanceS"], executor.service)
            return 200, {}
        pool = value["pool"]
        if pool == executor.service and self._state(executor) == "up":
            return 200, {}
        if self._state(executor) != "up":
            return 409, {"reason": "busy"}
        self.rig.record("move", machine=machine, pool=pool, holder=holder, fence=fence)
        self._begin(executor, "moving", BOUNDS["migrationS"], pool)
        return 200, {}

    def _begin(self, executor, kind, seconds, pool):
        self.away[executor.machine] = (kind, now() + seconds)
        self.rig.spawn(self._replace(executor, seconds, pool))

    async def _replace(self, executor, seconds, pool):
        await executor.crash()
        self.rig.store.delete(f"servers/{executor.id}")
        await asyncio.sleep(seconds)
        executor.service = pool
        self.rig.executors.pop(executor.id)
        executor.id = f"{executor.id}+"
        self.rig.executors[executor.id] = executor
        self.away.pop(executor.machine, None)
        await executor.boot()


# The deployment


class NodeProcess:
    """A node, started with the command of the deploy file.

    :param number: its loopback address is 127.0.0.(10 + number).
    """

    def __init__(self, rig, number, zone):
        self.rig, self.zone = rig, zone
        self.name = f"n{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.process = None
        self.proxy = Proxy(HOST, free_port(HOST), (HOST, rig.store_port))
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.peer_port = free_port(self.ip)

    def start(self):
        """Write the settings file and start the process."""
        settings = {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": {zone: "r" for zone in self.rig.zones},
            "listenAddrs": {"frontend": self.front, "ready": self.ready},
            "internalPorts": [self.peer_port, self.peer_port],
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
            "contracts": ["base", "drain", "config", "cost", "recover", "sched"]
            + ["tenants", "quota", "platform", "advice", "upkeep", "sharing"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "controlMode": "call",
            "platform": {
                "address": f"{HOST}:{self.proxy.port}",
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            "cloudApi": {
                "address": f"{HOST}:{self.rig.machines_port}",
                "ratePerS": 64.0,
                "duties": [],
                "dutyPerS": 64.0,
            },
        }
        path = self.rig.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["CRANBERRYWHEEL_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CRANBERRYWHEEL_METRICS_PORT"] = str(free_port(self.ip))
        self.log = (self.rig.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "deploy/node.py", "--settings", "deploy/node.ini"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_lines(self, *texts):
        """Return the lines of its log that contain all texts."""
        path = self.rig.folder / f"{self.name}.log"
        lines = path.read_text(errors="replace").splitlines()
        return [line for line in lines if all(text in line for text in texts)]


class Rig:
    """A small deployment, and the record of what was sent, answered and run.

    :param case: folder of the case, which gets ``record.txt``.
    """

    def __init__(self, case, nodes=3, zones=("z1", "z2", "z3")):
        self.case = pathlib.Path(case)
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.lines = []
        self.began = now()
        self.store_port = free_port(HOST)
        self.machines_port = free_port(HOST)
        self.store = Store(self)
        self.machines = Machines(self)
        self.executors = {}
        self.submissions = {}
        self.tasks = []
        self.nodes = [
            NodeProcess(self, number, zones[number % len(zones)])
            for number in range(nodes)
        ]
        self.servers = []
        self.version = 0
        self.routes, self.tenants, self.services = [], [], []
        self.broken = []

    def spawn(self, coroutine):
        """Run a coroutine beside the case."""
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def record(self, event, **fields):
        """Add a line to the record."""
        row = {"t": round(now() - self.began, 3), "event": event, **fields}
        self.lines.append(row)
        return row

    def fail(self, text):
        """Note that the rule was broken."""
        self.broken.append(text)
        self.record("RULE BROKEN", text=text)

    def find_step(self, task):
        """Return the step of a task as its caller sent it."""
        submission, _, step, _ = task.split(".")
        return self.submissions[submission]["steps"][int(step)]

    def add_executor(self, name, service, zone="z1", rack="r1-0", cpu=8000, labels=()):
        """Add an executor, which boots with the deployment."""
        executor = Executor(self, name, service, zone, rack, cpu, labels)
        self.executors[name] = executor
        return executor

    def add_route(self, name, service, **fields):
        """Add a queue to the next config."""
        self.routes.append(
            {
                "name": name,
                "host": "shop.example",
                "prefix": f"/{name}/",
                "service": service,
                "attempts": 4,
                "targetFactor": 2.0,
                "targetLatencyMs": 600,
                "timeoutMs": 3000,
                **fields,
            }
        )

    def write_config(self):
        """Write the config as the operator does."""
        self.version += 1
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": name, "enforceCapacity": True} for name in self.services
            ],
            "tenants": self.tenants,
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op/config", json.dumps(config).encode())

    async def start(self):
        """Start the stand-ins and the nodes, and wait until one leads."""
        handlers = (
            (self.store_port, self.store.handle),
            (self.machines_port, self.machines.handle),
        )
        for port, handler in handlers:
            server = HttpServer(HOST, port, handler)
            self.servers.append(server)
            await server.start()
        self.spawn(self.store.expire())
        self.services = self.services or sorted(
            {executor.service for executor in self.executors.values()}
        )
        self.write_config()
        for executor in self.executors.values():
            await executor.boot()
        self.spawn(self._tick())
        for node in self.nodes:
            await node.proxy.start()
        self.nodes[0].start()
        await self.wait(lambda: self.leader() is not None, 20, "a leader")
        for node in self.nodes[1:]:
            node.start()
        for node in self.nodes:
            await self.wait_ready(node)
        await asyncio.sleep(1.5)

    async def _tick(self):
        while True:
            await asyncio.sleep(0.01)
            for executor in list(self.executors.values()):
                executor.tick()

    async def wait(self, condition, seconds, what):
        """Wait for a condition, or give the case up."""
        end = now() + seconds
        while not condition():
            if now() > end:
                raise RigError(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.01)

    async def wait_ready(self, node):
        """Wait until a node reports itself ready."""
        end = now() + 20
        while (await call(node.ready, "GET", "/api/ready", timeout=1))[0] != 200:
            if now() > end:
                raise RigError(f"{node.name} is not ready")
            await asyncio.sleep(0.05)

    def leader(self):
        """Return the node that the store names as the leader."""
        for key, item in self.store.items.items():
            if "leader" in key and item["lease"]:
                value = json.loads(base64.b64decode(item["value"]))
                for node in self.nodes:
                    if value.get("process", "").startswith(f"{node.name}-"):
                        return node
        return None

    async def send(self, node, method, path, body=None, key="k1", timeout=3.0):
        """Send a caller's request to a node and record it."""
        name = path.rpartition("/")[2]
        if method == "POST":
            self.submissions[name] = body
        headers = {
            "Host": "shop.example",
            "Authorization": f"Bearer {key}",
            "Cranberrywheel-Deadline-Remaining": str(int(timeout * 1000)),
        }
        self.record("sent", to=node.name, call=f"{method} {path}")
        status, answer = await call(node.front, method, path, body, headers, timeout)
        self.record(
            "answered",
            by=node.name,
            call=f"{method} {path}",
            status=status,
            answer=json.dumps(answer),
        )
        return status, answer

    def starts(self, submission):
        """Return the recorded starts of a submission."""
        return [
            row
            for row in self.lines
            if row["event"] == "start" and row["task"].startswith(f"{submission}.")
        ]

    def running(self, submission=""):
        """Return the tasks that run now, as (executor, task, run)."""
        return [
            (executor.id, task, run["run"])
            for executor in self.executors.values()
            if executor.up
            for task, run in executor.runs.items()
            if task.startswith(submission)
        ]

    async def stop(self):
        """End all processes that the case started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.kill()
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.process is not None:
                node.proxy.stop()
        for server in self.servers:
            await server.stop()
        for executor in self.executors.values():
            await executor.server.stop()
        await asyncio.sleep(0.2)

    def write_record(self):
        """Write ``record.txt``; a task ID.0.1.2 is written as ID.K0.1.2."""
        lines = [
            re.sub(
                r"\b([0-9a-f]{16})\.(\d+)\.",
                r"\1.K\2.",
                " ".join(f"{key}={value}" for key, value in row.items()),
            )
            for row in self.lines
        ]
        (self.case / "record.txt").write_text("\n".join(lines) + "\n")


def new_id():
    """Return a new id of a submission."""
    return f"{random.getrandbits(64):016x}"


def run_case(case, build, play):
    """Run a case; exits with 1 if the rule was broken, 0 if it held, else 2."""

    async def main():
        rig = build()
        code = 2
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(110):
                await rig.start()
                rig.record("deployment ready", trouble=TROUBLE)
                await play(rig)
            code = 1 if rig.broken else 0
        except (Exception, asyncio.CancelledError) as error:
            rig.record("case could not run", error=repr(error))
            print(f"could not run: {error!r}")
        finally:
            await rig.stop()
            rig.write_record()
        for text in rig.broken:
            print(f"broken: {text}")
        print(f"exit {code}; logs of the nodes in {rig.folder}")
        return code

    sys.exit(asyncio.run(main()))

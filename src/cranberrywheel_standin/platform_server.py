"""Stand-in for the users' platform over HTTP: store, executors and machines.

It speaks the platform's protocol on loopback addresses, so that real processes and
the adapter can be tested without the users' programs.
"""

import base64
import json
import threading
import time
import typing as t

from werkzeug.wrappers import Request, Response

from cranberrywheel.clock import Clock
from cranberrywheel.connection.http_server import HttpServer
from cranberrywheel.platform.executors import EXECUTOR_PREFIX, encode_executor
from cranberrywheel.platform.store import Item, Outcome, StoreReply, Write
from cranberrywheel.submission.executor_orders import (
    ExecutorEntry,
    OrderVerdict,
    StartOrder,
)
from cranberrywheel.submission.model import Resources
from cranberrywheel_standin.virtual_fleet import (
    StoreState,
    VirtualExecutor,
    VirtualFleet,
)

POLL_S = 0.01
THREADS = 48
MAX_BODY_BYTES = 1_000_000

_STATUS_BY_OUTCOME = {Outcome.OK: 200, Outcome.ABSENT: 404, Outcome.CONFLICT: 412}
_REASON_BY_VERDICT = {
    OrderVerdict.FENCED: "fence",
    OrderVerdict.DUPLICATE: "old",
    OrderVerdict.LATE: "late",
    OrderVerdict.NO_CAPACITY: "room",
}


class _ClockOnly:
    """What the fleet needs of a loop."""

    def __init__(self) -> None:
        self.clock = Clock()


def _json(body: t.Any, status: int = 200) -> Response:
    return Response(json.dumps(body), status=status, content_type="application/json")


def _encode_item(item: Item) -> dict[str, t.Any]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "tombstone": True}
    value = base64.b64encode(item.value).decode()
    return {"key": item.key, "value": value, "revision": item.revision}


class PlatformServer:
    """One platform: a store, executors and the list of machines.

    :ivar refuses: the store answers 503 while true.
    :ivar slow_ms: further time of each answer of the store.
    """

    def __init__(self, host: str, store_port: int, machines_port: int) -> None:
        loop = _ClockOnly()
        self.lock = threading.RLock()
        self.state = StoreState(loop.clock)
        self.fleet = VirtualFleet(t.cast(t.Any, loop), t.cast(t.Any, self.state))
        self.clock = loop.clock
        self.store_unavailable = False
        self.store_delay_ms = 0
        self.host = host
        self._servers = [
            HttpServer(host, store_port, self._store_app, THREADS, MAX_BODY_BYTES),
            HttpServer(host, machines_port, self._machines_app, 4, MAX_BODY_BYTES),
        ]
        self._executor_servers: list[HttpServer] = []

    def start(self) -> None:
        """Start to serve."""
        for server in self._servers:
            server.start()

    def stop(self) -> None:
        """Stop serving."""
        for server in (*self._servers, *self._executor_servers):
            server.close_listener()

    def add_executor(
        self, executor_id: str, service: str, port: int, advertised: str, cpu: int
    ) -> VirtualExecutor:
        """Add an executor that listens on a port.

        :param advertised: address in its entry; a proxy may stand before it.
        """
        entry = ExecutorEntry(
            id=executor_id,
            service=service,
            address=advertised,
            zone="z1",
            draining=False,
            capacity=Resources(cpu, 64_000, 0),
            labels=frozenset({"a", "r1"}),
            rack="r1",
            machine=f"m-{executor_id}",
            boot=self.clock.now_ms(),
        )
        executor = VirtualExecutor(self.clock, entry, self.fleet)
        with self.lock:
            self.fleet.executors_by_id[executor_id] = executor
            self.state.put(EXECUTOR_PREFIX + executor_id, encode_executor(entry))

        def app(environ: t.Any, start_response: t.Any) -> t.Any:
            return self._run(executor, Request(environ))(environ, start_response)

        server = HttpServer(self.host, port, app, THREADS, MAX_BODY_BYTES)
        server.start()
        self._executor_servers.append(server)
        return executor

    # Executors

    def _run(self, executor: VirtualExecutor, request: Request) -> Response:
        body = json.loads(request.get_data() or b"{}")
        if request.path == "/api/hold":
            return self._hold(executor, body)
        with self.lock:
            if request.path == "/api/run-start":
                order = StartOrder(
                    body["task"],
                    body["run"],
                    body["spec"],
                    body["deadlineMs"],
                    body["fencingToken"],
                )
                reply = executor.start(order)
            elif request.path == "/api/run-stop":
                reply = executor.stop(body["task"], body["run"], body["fencingToken"])
            else:
                return _json({}, 404)
        if reply.verdict is OrderVerdict.OK:
            return _json({"timestampMs": reply.clock_ms})
        reason = _REASON_BY_VERDICT[reply.verdict]
        return _json({"timestampMs": reply.clock_ms, "reason": reason}, 409)

    def _hold(self, executor: VirtualExecutor, body: dict[str, t.Any]) -> Response:
        give_up_ms = self.clock.now_ms() + body.get("waitMs", 0)
        with self.lock:
            verdict = executor.hold(
                body["fencingToken"], body["ackCursor"], body.get("deadlineMs", 0)
            )
            if verdict is not OrderVerdict.OK:
                return _json({"reason": "fence"}, 409)
        while True:
            with self.lock:
                executor.end_due_runs()
                if executor.ends or self.clock.now_ms() >= give_up_ms:
                    look = executor.look(OrderVerdict.OK)
                    break
            time.sleep(POLL_S)
        return _json(
            {
                "timestampMs": look.clock_ms,
                "born": look.boot,
                "running": [
                    [row.task, row.number, row.checkpoint, int(row.percent), 0]
                    for row in look.running
                ],
                "finished": [
                    [row.sequence, row.task, row.number, row.outcome.value, ""]
                    for row in look.completions
                ],
            }
        )

    # Store

    def _store_app(self, environ: t.Any, start_response: t.Any) -> t.Any:
        request = Request(environ)
        if self.store_delay_ms:
            time.sleep(self.store_delay_ms / 1000)
        if self.store_unavailable:
            return _json({}, 503)(environ, start_response)
        if request.path == "/api/kv-watch":
            response = self._watch(request)
        else:
            with self.lock:
                response = self._answer(request)
        return response(environ, start_response)

    def _watch(self, request: Request) -> Response:
        prefix, after = request.args["prefix"], int(request.args["after"])
        give_up_ms = self.clock.now_ms() + int(request.args["waitMs"])
        while True:
            with self.lock:
                reply = self.state.events(prefix, after)
            if (
                reply.items
                or self.clock.now_ms() >= give_up_ms
                or self.store_unavailable
            ):
                events = [_encode_item(item) for item in reply.items]
                return _json({"events": events, "asOf": reply.revision})
            time.sleep(POLL_S)

    def _answer(self, request: Request) -> Response:
        path = request.path
        if path == "/api/kv-key":
            reply = self.state.read(request.args["key"])
            if reply.outcome is Outcome.ABSENT:
                return _json({"asOf": reply.revision}, 404)
            return _json({**_encode_item(reply.items[0]), "asOf": reply.revision})
        if path == "/api/kv-range":
            reply = self.state.read_all(request.args["prefix"])
            after = request.args.get("after", "")
            rows = [item for item in reply.items if item.key > after]
            page = [_encode_item(item) for item in rows[:500]]
            more = len(rows) > 500
            return _json({"items": page, "hasMore": more, "asOf": reply.revision})
        if path == "/api/kv-txn":
            return self._write(json.loads(request.get_data()))
        if path == "/api/kv-lease":
            reply = self.state.grant_lease(json.loads(request.get_data())["ttlMs"])
            return _json({"lease": reply.lease, "ttlMs": reply.ttl_ms})
        lease = path.rpartition("/")[2]
        if path.startswith("/api/kv-keep/"):
            reply = self.state.renew_lease(int(lease))
            return _json({"ttlMs": reply.ttl_ms}, _STATUS_BY_OUTCOME[reply.outcome])
        if path.startswith("/api/kv-lease-end/"):
            self.state.end_lease(int(lease))
            return _json({})
        return _json({}, 404)

    def _write(self, body: dict[str, t.Any]) -> Response:
        write = Write(
            tuple((row["key"], row["revision"]) for row in body["precondition"]),
            tuple(
                (row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
                for row in body["puts"]
            ),
            tuple(body["deletes"]),
        )
        reply: StoreReply = self.state.write(write)
        status = _STATUS_BY_OUTCOME[reply.outcome]
        if reply.outcome is Outcome.CONFLICT:
            return _json({"items": [_encode_item(i) for i in reply.items]}, status)
        return _json({"revision": reply.revision}, status)

    # Machines

    def _machines_app(self, environ: t.Any, start_response: t.Any) -> t.Any:
        with self.lock:
            rows = [
                {
                    "machine": executor.entry.machine,
                    "pool": executor.entry.service,
                    "state": "up",
                    "zone": executor.entry.zone,
                    "labels": sorted(executor.entry.labels),
                    "id": executor.entry.id,
                }
                for executor in self.fleet.executors_by_id.values()
            ]
        response = _json({"machines": rows, "nextPageToken": None})
        return response(environ, start_response)

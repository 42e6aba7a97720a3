"""Stand-in for the users' platform over HTTP: store, executors and machines.

It implements the platform's protocol on loopback addresses, so that real node
processes and the platform clients can be tested without the users' programs.
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
from cranberrywheel.store_messages import Item, Outcome, StoreReply, Write
from cranberrywheel.submission.executor_orders import (
    ExecutorEntry,
    OrderVerdict,
    StartOrder,
)
from cranberrywheel.submission.model import Resources
from cranberrywheel_standin.advisor import AdvisorApp, AdvisorState
from cranberrywheel_standin.virtual_fleet import (
    StoreState,
    VirtualExecutor,
    VirtualFleet,
)

POLL_INTERVAL_S = 0.01
SERVER_THREADS = 256
MAX_BODY_BYTES = 1_000_000

_STATUS_BY_OUTCOME = {
    Outcome.OK: 200,
    Outcome.ABSENT: 404,
    Outcome.COMPACTED: 410,
    Outcome.CONFLICT: 412,
}
_REASON_BY_VERDICT = {
    OrderVerdict.FENCED: "fence",
    OrderVerdict.DUPLICATE: "old",
    OrderVerdict.LATE: "late",
    OrderVerdict.NO_CAPACITY: "room",
    OrderVerdict.TICKET: "ticket",
}


class _LoopClock:
    """Stands in for a :class:`VirtualLoop`, of which the fleet uses only the clock."""

    def __init__(self) -> None:
        self.clock = Clock()


def _build_json_response(body: t.Any, status: int = 200) -> Response:
    return Response(json.dumps(body), status=status, content_type="application/json")


def _encode_item(item: Item) -> dict[str, t.Any]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "tombstone": True}
    value = base64.b64encode(item.value).decode()
    return {"key": item.key, "value": value, "revision": item.revision}


class PlatformServer:
    """Servers of one platform: store, executors and the list of machines.

    :ivar store_unavailable: the store answers 503 while this is true.
    :ivar store_delay_ms: additional time that the store takes for each answer.
    :ivar watches_silent: watches get no answer while this is true.
    :ivar watched_prefixes: key prefixes that any process has watched.
    """

    def __init__(self, host: str, store_port: int, machines_port: int) -> None:
        loop = _LoopClock()
        self.lock = threading.RLock()
        self.state = StoreState(loop.clock)
        self.fleet = VirtualFleet(t.cast(t.Any, loop), t.cast(t.Any, self.state))
        self.clock = loop.clock
        self.store_unavailable = False
        self.store_delay_ms = 0
        self.watches_silent = False
        self.watched_prefixes: set[str] = set()
        self.host = host
        self._servers = [
            HttpServer(
                host, store_port, self._serve_store, SERVER_THREADS, MAX_BODY_BYTES
            ),
            HttpServer(host, machines_port, self._serve_machines, 4, MAX_BODY_BYTES),
        ]
        self._executor_servers: list[HttpServer] = []

    def start(self) -> None:
        """Start serving the store and the list of machines."""
        for server in self._servers:
            server.start()

    def stop(self) -> None:
        """Stop accepting connections on all servers."""
        for server in (*self._servers, *self._executor_servers):
            server.close_listener()

    def add_advisor(
        self, ports: t.Sequence[int], advisor: AdvisorState
    ) -> AdvisorState:
        """Add an advisor, whose ticket each start needs from now on.

        :param ports: a port for each machine that calls it.
        """
        for number, port in enumerate(ports):
            app = AdvisorApp(advisor, self.lock, f"machine {number}")
            self._servers.append(
                HttpServer(self.host, port, app, SERVER_THREADS, MAX_BODY_BYTES)
            )
        self.fleet.advisor = advisor
        return advisor

    def add_executor(
        self,
        executor_id: str,
        service: str,
        port: int,
        advertised: str,
        cpu: int,
        zone: str = "z1",
    ) -> VirtualExecutor:
        """Add an executor that listens on a port and write its entry to the store.

        :param advertised: address in its entry; may be that of a proxy to the port.
        :param cpu: capacity in thousandths of a core.
        """
        entry = ExecutorEntry(
            id=executor_id,
            service=service,
            address=advertised,
            zone=zone,
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
            return self._handle_executor_call(executor, Request(environ))(
                environ, start_response
            )

        server = HttpServer(self.host, port, app, SERVER_THREADS, MAX_BODY_BYTES)
        server.start()
        self._executor_servers.append(server)
        return executor

    def _handle_executor_call(
        self, executor: VirtualExecutor, request: Request
    ) -> Response:
        body = json.loads(request.get_data() or b"{}")
        if request.path == "/api/hold":
            return self._handle_poll(executor, body)
        with self.lock:
            if request.path == "/api/run-start":
                order = StartOrder(
                    body["task"],
                    body["run"],
                    body["spec"],
                    body["deadlineMs"],
                    body["fencingToken"],
                    ticket=body.get("ticket", ""),
                )
                reply = executor.start(order)
            elif request.path == "/api/run-stop":
                reply = executor.stop(body["task"], body["run"], body["fencingToken"])
            else:
                return _build_json_response({}, 404)
        if reply.verdict is OrderVerdict.OK:
            return _build_json_response({"timestampMs": reply.clock_ms})
        reason = _REASON_BY_VERDICT[reply.verdict]
        return _build_json_response(
            {"timestampMs": reply.clock_ms, "reason": reason}, 409
        )

    def _handle_poll(
        self, executor: VirtualExecutor, body: dict[str, t.Any]
    ) -> Response:
        wait_end_ms = self.clock.now_ms() + body.get("waitMs", 0)
        with self.lock:
            verdict = executor.apply_poll_parameters(
                body["fencingToken"], body["ackCursor"], body.get("deadlineMs", 0)
            )
            if verdict is not OrderVerdict.OK:
                return _build_json_response({"reason": "fence"}, 409)
        while True:
            with self.lock:
                executor.end_due_runs()
                if executor.completions or self.clock.now_ms() >= wait_end_ms:
                    reply = executor.build_poll_reply(OrderVerdict.OK)
                    break
            time.sleep(POLL_INTERVAL_S)
        return _build_json_response(
            {
                "timestampMs": reply.clock_ms,
                "born": reply.boot,
                "running": [
                    [row.task, row.number, row.checkpoint, int(row.percent), 0]
                    for row in reply.running
                ],
                "finished": [
                    [row.sequence, row.task, row.number, row.outcome.value, ""]
                    for row in reply.completions
                ],
            }
        )

    def _serve_store(self, environ: t.Any, start_response: t.Any) -> t.Any:
        request = Request(environ)
        if self.store_delay_ms:
            time.sleep(self.store_delay_ms / 1000)
        if self.store_unavailable:
            return _build_json_response({}, 503)(environ, start_response)
        if request.path == "/api/kv-watch":
            response = self._handle_watch(request)
        else:
            with self.lock:
                response = self._handle_store_call(request)
        return response(environ, start_response)

    def _handle_watch(self, request: Request) -> Response:
        prefix, after = request.args["prefix"], int(request.args["after"])
        wait_end_ms = self.clock.now_ms() + int(request.args["waitMs"])
        self.watched_prefixes.add(prefix)
        while True:
            if self.watches_silent:
                time.sleep(POLL_INTERVAL_S)
                continue
            with self.lock:
                reply = self.state.events(prefix, after)
            if reply.outcome is not Outcome.OK:
                return _build_json_response({}, _STATUS_BY_OUTCOME[reply.outcome])
            if (
                reply.items
                or self.clock.now_ms() >= wait_end_ms
                or self.store_unavailable
            ):
                events = [_encode_item(item) for item in reply.items]
                return _build_json_response({"events": events, "asOf": reply.revision})
            time.sleep(POLL_INTERVAL_S)

    def _handle_store_call(self, request: Request) -> Response:
        path = request.path
        if path == "/api/kv-key":
            reply = self.state.read(request.args["key"])
            if reply.outcome is Outcome.ABSENT:
                return _build_json_response({"asOf": reply.revision}, 404)
            return _build_json_response(
                {**_encode_item(reply.items[0]), "asOf": reply.revision}
            )
        if path == "/api/kv-range":
            reply = self.state.read_all(request.args["prefix"])
            after = request.args.get("after", "")
            items_after = [item for item in reply.items if item.key > after]
            page = [_encode_item(item) for item in items_after[:500]]
            has_more = len(items_after) > 500
            return _build_json_response(
                {"items": page, "hasMore": has_more, "asOf": reply.revision}
            )
        if path == "/api/kv-txn":
            return self._handle_write(json.loads(request.get_data()))
        if path == "/api/kv-lease":
            reply = self.state.grant_lease(json.loads(request.get_data())["ttlMs"])
            return _build_json_response({"lease": reply.lease, "ttlMs": reply.ttl_ms})
        lease = path.rpartition("/")[2]
        if path.startswith("/api/kv-keep/"):
            reply = self.state.renew_lease(int(lease))
            return _build_json_response(
                {"ttlMs": reply.ttl_ms}, _STATUS_BY_OUTCOME[reply.outcome]
            )
        if path.startswith("/api/kv-lease-end/"):
            self.state.end_lease(int(lease))
            return _build_json_response({})
        return _build_json_response({}, 404)

    def _handle_write(self, body: dict[str, t.Any]) -> Response:
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
            return _build_json_response(
                {"items": [_encode_item(item) for item in reply.items]}, status
            )
        return _build_json_response({"revision": reply.revision}, status)

    def _serve_machines(self, environ: t.Any, start_response: t.Any) -> t.Any:
        with self.lock:
            machines = [
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
        response = _build_json_response({"machines": machines, "nextPageToken": None})
        return response(environ, start_response)

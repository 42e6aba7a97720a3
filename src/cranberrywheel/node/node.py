"""Wires the tasks of one process on the platform."""

import json
import signal
import threading
import typing as t
import uuid
from concurrent.futures import Future

from werkzeug.wrappers import Request, Response

from cranberrywheel.clock import Clock
from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.connection.http_server import HttpServer
from cranberrywheel.logs import PartLogger
from cranberrywheel.node.front import FrontApi
from cranberrywheel.node.intake import Acceptance, Intake
from cranberrywheel.node.keys import (
    CANCEL_SUFFIX,
    FINAL_SUFFIX,
    MEMBER_PREFIX,
    PROGRESS_SUFFIX,
    submission_key,
)
from cranberrywheel.node.leader import Leader
from cranberrywheel.node.leadership import Candidate, Leadership, lead_capacity
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.node.store_contact import (
    PEER_TIMEOUT_MS,
    RELAY_PREFIX,
    STATUS_PATH,
    StoreContact,
)
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.platform.callers import READY_PATH
from cranberrywheel.platform.configuration import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    decode_configuration,
)
from cranberrywheel.platform.executors import AdvisorClient, ExecutorClient
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.platform.settings import NodeSettings
from cranberrywheel.platform.store import Item, Outcome, Store, StoreReply, Write
from cranberrywheel.submission.demand import count_waiting_submissions
from cranberrywheel.submission.model import (
    Configuration,
    Queue,
    Submission,
    SubmissionState,
)
from cranberrywheel.submission.record import decode_final_state
from cranberrywheel.submission.scheduler import Scheduler

#: Caller connections served at once; each holds a thread while it is open.
FRONT_THREADS = 96
#: Balancer probes, peers and metrics need few connections.
SIDE_THREADS = 8
MAX_BODY_BYTES = 300_000
#: Lease of a member's record and its renewal. A member that is gone matters only as
#: an address that does not answer.
MEMBER_LEASE_MS = 5_000
MEMBER_RENEW_MS = 1_500
RETRY_MS = 250
#: Time between two looks for a machine that is better fit to lead.
YIELD_CHECK_MS = 500
#: Time between SIGTERM and the exit: the balancer takes two seconds to notice.
DRAIN_MS = 3_000
#: Time kept back of the grace period for the exit itself.
EXIT_MARGIN_MS = 1_000
METRICS_PORT = 9464
#: Longest call that is passed on for a peer: above a waiting watch.
RELAY_TIMEOUT_MS = 1_600
#: Peers' connections; each waiting watch of a cut-off peer holds one.
PEER_THREADS = 48
SIGNAL_POLL_S = 0.2

_log = PartLogger("node")
T = t.TypeVar("T")


class Node:
    """One process: front, leadership, configuration and, at times, the leader.

    :param settings: what the platform tells the process.
    :param metrics_port: port of the metrics; several nodes may share an address.
    """

    def __init__(
        self, settings: NodeSettings, metrics_port: int = METRICS_PORT
    ) -> None:
        self._settings = settings
        self.configuration: Configuration | None = None
        self.stopping = False
        self._stop_requested = threading.Event()
        self._clock = Clock()
        self._loop = HttpLoop(self._clock)
        self._process = f"{settings.node}-{uuid.uuid4().hex[:8]}"
        self._peer_address = f"{settings.ip}:{settings.peer_port}"
        self._store = Store(
            self._loop,
            settings.store,
            lambda answered: self._contact.note(answered),
            self._way_to_store,
        )
        self._contact = StoreContact(
            self._loop, self._peer_addresses, self._store.probe
        )
        self._intake = Intake(self._loop, self._store, lambda: self._contact.can_write)
        self._executors = ExecutorClient(self._loop)
        self._leader: Leader | None = None
        self._registered = False
        self._member_lease = 0
        self._raw_configuration = b""
        self._member_by_process: dict[str, Candidate] = {}
        self._candidate = Candidate(
            self._process,
            self._peer_address,
            lead_capacity(settings.cores, settings.link_mbps),
        )
        self._leadership = Leadership(
            self._loop,
            self._store,
            self._candidate,
            self._largest_rival,
            self._may_compete,
            self._on_gain,
            self._on_loss,
        )
        self._config_watch = PrefixWatch(
            self._loop, self._store, OPERATOR_PREFIX + "config", self._on_configuration
        )
        self._member_watch = PrefixWatch(
            self._loop, self._store, MEMBER_PREFIX, self._on_member
        )
        self._metrics = Metrics()
        self._metrics.gauge(
            "cranberrywheel_is_leader",
            "Whether this process leads",
            lambda: float(self._leadership.is_leader),
        )
        self._metrics.gauge(
            "cranberrywheel_live_submissions",
            "Submissions that are not finished, at the leader",
            lambda: float(
                len(self._leader.scheduler.live_by_id) if self._leader else 0
            ),
        )
        host, _, port = settings.front.rpartition(":")
        self._front = HttpServer(
            host,
            int(port),
            FrontApi(self, self._metrics),
            FRONT_THREADS,
            MAX_BODY_BYTES,
        )
        host, _, port = settings.ready.rpartition(":")
        self._ready = HttpServer(
            host, int(port), self._ready_app, SIDE_THREADS, MAX_BODY_BYTES
        )
        self._peers = HttpServer(
            settings.ip,
            settings.peer_port,
            self._peer_app,
            PEER_THREADS,
            MAX_BODY_BYTES,
        )
        self._metrics_server = HttpServer(
            settings.ip, metrics_port, self._metrics_app, 2, MAX_BODY_BYTES
        )

    # Life

    def run(self) -> None:
        """Run until SIGTERM, then drain and return."""
        signal.signal(signal.SIGTERM, lambda *_: self._stop_requested.set())
        signal.signal(signal.SIGINT, lambda *_: self._stop_requested.set())
        signal.signal(signal.SIGHUP, lambda *_: _log.event("settings may have changed"))
        self._loop.start()
        self._loop.post(self._start)
        for server in (self._front, self._ready, self._peers, self._metrics_server):
            server.start()
        _log.event("started", process=self._process, zone=self._settings.zone)
        while not self._stop_requested.wait(SIGNAL_POLL_S):
            pass
        self._stop()

    def _start(self) -> None:
        self._config_watch.start()
        self._member_watch.start()
        self._leadership.start()
        self._contact.start()
        self._register()
        self._loop.after(YIELD_CHECK_MS, self._yield_to_larger)

    def _stop(self) -> None:
        self.stopping = True
        _log.event("stopping", process=self._process, drain_ms=DRAIN_MS)
        self._loop.post(self._hand_over)
        self._clock.sleep_ms(DRAIN_MS)
        self._front.close_listener()
        stopper = threading.Thread(target=self._front.stop, daemon=True)
        stopper.start()
        left_ms = self._settings.bounds.grace_ms - DRAIN_MS - EXIT_MARGIN_MS
        stopper.join(max(0, left_ms) / 1000)
        _log.event("stopped", process=self._process, clean=not stopper.is_alive())

    def _hand_over(self) -> None:
        leader = self._leader
        if leader is not None:
            self._leadership.release(leader.handover_record, "the process stops")
        if self._member_lease:
            # Nobody waits for this process to take the lead any more.
            self._store.end_lease(self._member_lease, lambda reply: None)

    def _yield_to_larger(self) -> None:
        self._loop.after(YIELD_CHECK_MS, self._yield_to_larger)
        leader = self._leader
        if leader and leader.is_loaded and self._leadership.should_yield:
            self._leadership.release(
                leader.handover_record, "a larger machine can lead"
            )

    def _way_to_store(self) -> tuple[str, str] | None:
        helper = self._contact.helper()
        return (helper, RELAY_PREFIX) if helper else None

    # Configuration

    def _on_configuration(self, item: Item) -> None:
        if item.key == CONFIGURATION_KEY and item.value is not None:
            self._adopt_configuration(item.value, "store")

    def _adopt_configuration(self, value: bytes, source: str) -> None:
        try:
            configuration = decode_configuration(value)
        except ValueError as error:
            _log.warning("unreadable configuration", error=str(error)[:200])
            return
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self._raw_configuration = value
        _log.event(
            "configuration in force", version=configuration.version, source=source
        )
        if self._leader:
            self._leader.set_configuration(configuration)

    # Members

    def _register(self) -> None:
        if self.stopping:
            return

        def on_lease(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                self._loop.after(RETRY_MS, self._register)
                return
            self._member_lease = reply.lease
            value = json.dumps(
                {
                    "address": self._candidate.address,
                    "capacity": self._candidate.capacity,
                }
            ).encode()
            put = (MEMBER_PREFIX + self._process, value, reply.lease)
            self._store.write(Write(puts=(put,)), on_written)

        def on_written(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                self._loop.after(RETRY_MS, self._register)
                return
            self._registered = True
            self._loop.after(MEMBER_RENEW_MS, self._renew_member)

        self._store.grant_lease(MEMBER_LEASE_MS, on_lease)

    def _renew_member(self) -> None:
        if self.stopping:
            return

        def on_reply(reply: StoreReply) -> None:
            if reply.outcome is Outcome.ABSENT:
                self._register()
            else:
                self._loop.after(MEMBER_RENEW_MS, self._renew_member)

        self._store.renew_lease(self._member_lease, on_reply)

    def _on_member(self, item: Item) -> None:
        process = item.key[len(MEMBER_PREFIX) :]
        if item.value is None:
            self._member_by_process.pop(process, None)
            return
        try:
            row = json.loads(item.value)
            member = Candidate(process, str(row["address"]), float(row["capacity"]))
        except (KeyError, TypeError, ValueError) as error:
            _log.warning("unreadable member", member=process, error=repr(error))
            return
        self._member_by_process[process] = member

    def _rivals(self) -> list[Candidate]:
        return [
            member
            for member in self._member_by_process.values()
            if member.address != self._peer_address
        ]

    def _peer_addresses(self) -> list[str]:
        return [member.address for member in self._rivals()]

    def _largest_rival(self) -> float:
        return max((member.capacity for member in self._rivals()), default=0.0)

    # Leadership

    def _may_compete(self) -> bool:
        return not self.stopping and self.configuration is not None and self._registered

    def _on_gain(self, fence: int, term: int, previous_fence: int) -> None:
        scheduler = Scheduler(fence, term, self._settings.bounds, self._clock.now_ms())
        scheduler.trusts_records = not self._contact.was_away_lately()
        if self.configuration:
            scheduler.set_configuration(self.configuration)
        settings = self._settings
        advisor = AdvisorClient(self._loop, settings.advisor)
        machines = MachineClient(self._loop, settings.machines, self._process)
        self._leader = Leader(
            self._loop,
            self._store,
            self._executors,
            advisor if settings.advisor else None,
            machines if settings.machines else None,
            scheduler,
            self._leadership.is_valid,
            self._may_continue_without_store,
            self._leadership.step_down,
            previous_fence,
        )
        self._leader.start()

    def _on_loss(self) -> None:
        if self._leader:
            self._leader.stop()
            self._leader = None

    def _may_continue_without_store(self) -> bool:
        """Whether nobody can have taken over, since the store is away for all."""
        return self._contact.all_away(self._leadership.fence)

    # What the front asks for

    def _on_loop(self, begin: t.Callable[["Future[T]"], None]) -> "Future[T]":
        future: Future[T] = Future()
        self._loop.post(lambda: begin(future))
        return future

    def submit(self, submission: Submission, wait_ms: int) -> "Future[Acceptance]":
        """Store a submission."""

        def begin(future: "Future[Acceptance]") -> None:
            give_up_ms = self._clock.now_ms() + wait_ms
            self._intake.submit(submission, give_up_ms, future.set_result)

        return self._on_loop(begin)

    def find_state(
        self, submission_id: str, wait_ms: int
    ) -> "Future[SubmissionState | None]":
        """Find a submission's state; ``None`` if there is no such submission."""
        return self._on_loop(
            lambda future: self._find_state(submission_id, wait_ms, future)
        )

    def _find_state(
        self, submission_id: str, wait_ms: int, future: "Future[SubmissionState | None]"
    ) -> None:
        give_up_ms = self._clock.now_ms() + wait_ms
        if self._leader and self._leadership.is_valid():
            state = self._leader.scheduler.get_state(submission_id)
            if state is not None:
                future.set_result(state)
                return
        key = submission_key(submission_id)

        def read() -> None:
            self._store.read_all(key, on_items)

        def on_items(reply: StoreReply) -> None:
            if reply.outcome is Outcome.OK:
                by_key = {item.key: item.value or b"" for item in reply.items}
                future.set_result(_state_from_records(key, by_key))
            elif self._clock.now_ms() + RETRY_MS < give_up_ms:
                if not self._ask_leader(submission_id, future, read):
                    self._loop.after(RETRY_MS, read)

        read()

    def _ask_leader(
        self,
        submission_id: str,
        future: "Future[SubmissionState | None]",
        otherwise: t.Callable[[], None],
    ) -> bool:
        holder = self._leadership.holder
        if holder is None or holder.address == self._peer_address:
            return False

        def on_reply(reply: HttpReply) -> None:
            try:
                future.set_result(SubmissionState(json.loads(reply.body)["state"]))
            except (KeyError, TypeError, ValueError):
                self._loop.after(RETRY_MS, otherwise)

        path = f"/peer/submission/{submission_id}"
        request = HttpRequest("GET", holder.address, path, timeout_ms=PEER_TIMEOUT_MS)
        self._loop.call(request, on_reply)
        return True

    def cancel(self, submission_id: str, wait_ms: int) -> "Future[bool]":
        """Cancel a submission; false if there is none."""
        return self._on_loop(
            lambda future: self._cancel(
                submission_id, self._clock.now_ms() + wait_ms, future
            )
        )

    def _cancel(
        self, submission_id: str, give_up_ms: int, future: "Future[bool]"
    ) -> None:
        key = submission_key(submission_id)

        def retry() -> None:
            if self._clock.now_ms() + RETRY_MS < give_up_ms:
                self._loop.after(
                    RETRY_MS, lambda: self._cancel(submission_id, give_up_ms, future)
                )

        def on_items(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                retry()
                return
            by_key = {item.key: item for item in reply.items}
            if key + FINAL_SUFFIX in by_key or key + CANCEL_SUFFIX in by_key:
                future.set_result(True)
            elif key not in by_key:
                future.set_result(False)
            else:
                conditions = ((key, by_key[key].revision),)
                put = (key + CANCEL_SUFFIX, b"{}", 0)
                self._store.write(Write(conditions, (put,)), on_written)

        def on_written(reply: StoreReply) -> None:
            if reply.outcome is Outcome.OK:
                future.set_result(True)
            else:
                retry()

        self._store.read_all(key, on_items)

    def count_waiting(self, queue: Queue) -> "Future[int]":
        """Count a queue's submissions of which no task has started."""
        return self._on_loop(lambda future: self._count_waiting(queue, future))

    def _count_waiting(self, queue: Queue, future: "Future[int]") -> None:
        leader = self._leader
        if leader and leader.is_loaded:
            future.set_result(count_waiting_submissions(leader.scheduler, queue.key))
            return
        holder = self._leadership.holder
        if holder is None or holder.address == self._peer_address:
            self._loop.after(RETRY_MS, lambda: self._count_waiting(queue, future))
            return

        def on_reply(reply: HttpReply) -> None:
            try:
                future.set_result(int(json.loads(reply.body)["count"]))
            except (KeyError, TypeError, ValueError):
                self._loop.after(RETRY_MS, lambda: self._count_waiting(queue, future))

        body = json.dumps({"queue": queue.key}).encode()
        request = HttpRequest(
            "POST", holder.address, "/peer/queue", body, timeout_ms=PEER_TIMEOUT_MS
        )
        self._loop.call(request, on_reply)

    # Other interfaces

    def _ready_app(self, environ: t.Any, start_response: t.Any) -> t.Any:
        request = Request(environ)
        ready = (
            self.configuration is not None
            and not self.stopping
            and not self._contact.is_isolated(self._leadership.fence)
        )
        status = 200 if request.path == READY_PATH and ready else 503
        return Response(b"", status=status)(environ, start_response)

    def _metrics_app(self, environ: t.Any, start_response: t.Any) -> t.Any:
        response = Response(self._metrics.render(), content_type="text/plain")
        return response(environ, start_response)

    def _peer_app(self, environ: t.Any, start_response: t.Any) -> t.Any:
        request = Request(environ)
        if request.path.startswith(RELAY_PREFIX + "/"):
            return self._relay(request)(environ, start_response)
        answer: Future[dict[str, t.Any]] = Future()
        self._loop.post(lambda: answer.set_result(self._answer_peer(request)))
        try:
            body = answer.result(PEER_TIMEOUT_MS / 1000)
        except TimeoutError:
            body = {}
        response = Response(
            json.dumps(body),
            status=200 if body else 404,
            content_type="application/json",
        )
        return response(environ, start_response)

    def _relay(self, request: Request) -> Response:
        """Pass a peer's call on to the store."""
        path = request.full_path.rstrip("?")[len(RELAY_PREFIX) :]
        body = request.get_data() if request.method == "POST" else None
        answer: Future[HttpReply] = Future()
        self._loop.post(
            lambda: self._store.pass_on(
                request.method, path, body, RELAY_TIMEOUT_MS, answer.set_result
            )
        )
        try:
            reply = answer.result(RELAY_TIMEOUT_MS / 1000 + 1)
        except TimeoutError:
            reply = HttpReply(0)
        # 503 says that nothing was done, 504 that it may have been.
        status = reply.status or (504 if reply.sent else 503)
        return Response(reply.body, status=status, content_type="application/json")

    def _answer_peer(self, request: Request) -> dict[str, t.Any]:
        leader = self._leader
        if request.path == STATUS_PATH:
            holder = self._leadership.holder
            return {
                "store_away": self._contact.is_away,
                "fence": holder.fence if holder else 0,
                "version": self.configuration.version if self.configuration else 0,
            }
        if request.path == "/peer/configuration" and self._raw_configuration:
            return {"value": self._raw_configuration.decode()}
        if leader is None or not leader.is_loaded:
            return {}
        if request.path == "/peer/queue":
            try:
                queue = str(json.loads(request.get_data())["queue"])
            except (KeyError, TypeError, ValueError):
                return {}
            return {"count": count_waiting_submissions(leader.scheduler, queue)}
        if request.path.startswith("/peer/submission/"):
            state = leader.scheduler.get_state(request.path.rpartition("/")[2])
            return {"state": state.value} if state else {}
        return {}


def _state_from_records(
    key: str, value_by_key: dict[str, bytes]
) -> SubmissionState | None:
    final = value_by_key.get(key + FINAL_SUFFIX)
    if final is not None:
        return decode_final_state(final)
    if key not in value_by_key:
        return None
    if key + CANCEL_SUFFIX in value_by_key:
        return SubmissionState.CANCELLED
    started = key + PROGRESS_SUFFIX in value_by_key
    return SubmissionState.RUNNING if started else SubmissionState.PENDING

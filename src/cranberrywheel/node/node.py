"""Composition of one process on the platform: components, start and stop."""

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
from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.call_timeout import CallTimeout
from cranberrywheel.node.caller_api import CallerApi
from cranberrywheel.node.configuration_sync import ConfigurationSync
from cranberrywheel.node.intake import Acceptance, Intake
from cranberrywheel.node.keys import (
    CANCEL_SUFFIX,
    FINAL_SUFFIX,
    MEMBER_PREFIX,
    PROGRESS_SUFFIX,
    submission_key,
)
from cranberrywheel.node.leader import Leader
from cranberrywheel.node.leadership import Candidate, Leadership, scheduling_capacity
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.node.peer_api import (
    QUEUE_PATH,
    STORED_PATH,
    SUBMISSION_PATH,
    PeerApi,
    encode_items,
)
from cranberrywheel.node.store_route import (
    PEER_TIMEOUT_MS,
    RELAY_PREFIX,
    StoreRoute,
)
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.platform.callers import READY_PATH
from cranberrywheel.platform.executors import AdvisorClient, ExecutorClient
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.platform.settings import NodeSettings
from cranberrywheel.platform.store import CALL_TIMEOUT_MS, Store
from cranberrywheel.store_messages import CallResult, Item, Outcome, StoreReply, Write
from cranberrywheel.submission.demand import count_waiting_submissions
from cranberrywheel.submission.model import (
    Configuration,
    Queue,
    Submission,
    SubmissionState,
)
from cranberrywheel.submission.record import decode_final_state
from cranberrywheel.submission.scheduler import Scheduler

#: Concurrent caller connections; each occupies a thread while it is open.
CALLER_THREADS = 96
#: Concurrent connections for the balancer's readiness check, which needs few.
READINESS_THREADS = 8
#: Largest request body that any server of this process reads.
MAX_BODY_BYTES = 300_000
#: Time to live of the lease of a member record, and its renewal interval. Until it
#: expires, the record of a stopped member only names an address that does not answer.
MEMBER_LEASE_MS = 5_000
MEMBER_RENEW_MS = 1_500
#: Delay before a failed store or peer call is repeated.
RETRY_MS = 250
#: Interval between checks for a larger candidate, to which this leader hands over.
HANDOVER_CHECK_INTERVAL_MS = 500
#: Time for which callers are still accepted after SIGTERM: the balancer takes two
#: seconds to stop sending them.
DRAIN_MS = 3_000
#: Part of the grace period that is reserved for the exit itself.
EXIT_MARGIN_MS = 1_000
#: Default port of the metrics.
METRICS_PORT = 9464
#: Concurrent connections of peers; each watch call relayed for a peer occupies one.
PEER_THREADS = 96
#: Time for which a peer's connection may be idle. All other processes send notices to
#: the leader now and then, and may be more than it has threads.
PEER_IDLE_TIMEOUT_S = 0.5
#: Interval at which the main thread checks for SIGTERM.
SIGNAL_POLL_S = 0.2

_log = ComponentLogger("node")
T = t.TypeVar("T")


class Node:
    """One process: caller API, leader election and, while it leads, the scheduler.

    :param settings: settings that the platform gives the process.
    :param metrics_port: port of the metrics; nodes that share an IP address need
        different ports.
    """

    def __init__(
        self, settings: NodeSettings, metrics_port: int = METRICS_PORT
    ) -> None:
        self._settings = settings
        self.stopping = False
        self._stop_requested = threading.Event()
        self._clock = Clock()
        self._loop = HttpLoop(self._clock)
        self._process_name = f"{settings.node}-{uuid.uuid4().hex[:8]}"
        self._peer_address = f"{settings.ip}:{settings.peer_port}"
        self._store_timeout = CallTimeout(CALL_TIMEOUT_MS)
        self._store = Store(
            self._loop,
            settings.store_address,
            self._on_store_call_end,
            self._relay_route,
            lambda: self._store_timeout.current_ms,
        )
        self._store_route = StoreRoute(
            self._loop,
            self._peer_capacities,
            self._store.probe,
            self._peer_address,
            lambda version, peer: self._configuration_sync.on_announcement(
                version, peer
            ),
        )
        self._intake = Intake(
            self._loop,
            self._store,
            lambda: self._store_route.has_route,
            self._notify_leader,
        )
        self._executor_client = ExecutorClient(self._loop)
        self._leader: Leader | None = None
        self._is_registered = False
        self._member_lease = 0
        self._member_by_process: dict[str, Candidate] = {}
        self._candidate = Candidate(
            self._process_name,
            self._peer_address,
            scheduling_capacity(settings.cores, settings.link_mbps),
        )
        self._leadership = Leadership(
            self._loop,
            self._store,
            self._candidate,
            self._largest_candidate_capacity,
            self._may_compete,
            self._on_leadership_acquired,
            self._on_leadership_lost,
        )
        self._configuration_sync = ConfigurationSync(
            self._loop,
            self._store,
            self._peer_capacities,
            self._peer_address,
            lambda: not self._store_route.is_unreachable,
            self._on_configuration,
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
        host, _, port = settings.caller_address.rpartition(":")
        self._metrics.gauge(
            "cranberrywheel_configuration_version",
            "Version of the configuration in force; 0 before the first",
            lambda: float(self._configuration_sync.version),
        )
        self._metrics.gauge(
            "cranberrywheel_configuration_silence_seconds",
            "Time since the store last answered a call for the configuration",
            lambda: self._configuration_sync.silent_ms / 1000,
        )
        self._caller_server = HttpServer(
            host,
            int(port),
            CallerApi(self, self._metrics),
            CALLER_THREADS,
            MAX_BODY_BYTES,
        )
        host, _, port = settings.readiness_address.rpartition(":")
        self._readiness_server = HttpServer(
            host, int(port), self._serve_readiness, READINESS_THREADS, MAX_BODY_BYTES
        )
        self._peer_server = HttpServer(
            settings.ip,
            settings.peer_port,
            PeerApi(
                self._loop,
                self._store,
                self._store_route,
                self._configuration_sync,
                lambda: self._leader,
                lambda: self._leadership.holder.fence if self._leadership.holder else 0,
            ),
            PEER_THREADS,
            MAX_BODY_BYTES,
            PEER_IDLE_TIMEOUT_S,
        )
        self._metrics_server = HttpServer(
            settings.ip, metrics_port, self._serve_metrics, 2, MAX_BODY_BYTES
        )

    # Start and stop

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain and return."""
        signal.signal(signal.SIGTERM, lambda *_: self._stop_requested.set())
        signal.signal(signal.SIGINT, lambda *_: self._stop_requested.set())
        signal.signal(
            signal.SIGHUP,
            lambda *_: _log.event(
                "SIGHUP received; changed settings take effect at the next start"
            ),
        )
        self._loop.start()
        self._loop.post(self._start)
        for server in (
            self._caller_server,
            self._readiness_server,
            self._peer_server,
            self._metrics_server,
        ):
            server.start()
        _log.event("started", process=self._process_name, zone=self._settings.zone)
        while not self._stop_requested.wait(SIGNAL_POLL_S):
            pass
        self._stop()

    def _start(self) -> None:
        self._configuration_sync.start()
        self._member_watch.start()
        self._leadership.start()
        self._store_route.start()
        self._register()
        self._loop.after(
            HANDOVER_CHECK_INTERVAL_MS, self._hand_over_to_larger_candidate
        )

    def _stop(self) -> None:
        self.stopping = True
        _log.event("stopping", process=self._process_name, drain_ms=DRAIN_MS)
        self._loop.post(self._release_roles)
        self._clock.sleep_ms(DRAIN_MS)
        self._caller_server.close_listener()
        stopper = threading.Thread(target=self._caller_server.stop, daemon=True)
        stopper.start()
        left_ms = self._settings.timing.grace_ms - DRAIN_MS - EXIT_MARGIN_MS
        stopper.join(max(0, left_ms) / 1000)
        _log.event("stopped", process=self._process_name, clean=not stopper.is_alive())

    def _release_roles(self) -> None:
        leader = self._leader
        if leader is not None:
            self._leadership.release(leader.handover_record, "the process stops")
        if self._member_lease:
            # Other candidates no longer give precedence to this process.
            self._store.end_lease(self._member_lease, lambda reply: None)

    def _hand_over_to_larger_candidate(self) -> None:
        self._loop.after(
            HANDOVER_CHECK_INTERVAL_MS, self._hand_over_to_larger_candidate
        )
        leader = self._leader
        if leader and leader.is_loaded and self._leadership.should_hand_over:
            self._leadership.release(
                leader.handover_record, "a larger machine can lead"
            )

    def _on_store_call_end(self, result: CallResult) -> None:
        if not result.waited:
            if result.answered:
                self._store_timeout.record_answer(result.took_ms)
            elif result.timed_out:
                self._store_timeout.record_timeout(result.timeout_ms)
        self._store_route.record_call(result.answered, result.timed_out)

    def _relay_route(self) -> tuple[str, str] | None:
        relay_peer = self._store_route.relay_peer()
        return (relay_peer, RELAY_PREFIX) if relay_peer else None

    # Configuration

    @property
    def configuration(self) -> Configuration | None:
        """Configuration in force; ``None`` before the first."""
        return self._configuration_sync.configuration

    def _on_configuration(self, configuration: Configuration) -> None:
        if self._leader:
            self._leader.set_configuration(configuration)

    # Membership

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
            put = (MEMBER_PREFIX + self._process_name, value, reply.lease)
            self._store.write(Write(puts=(put,)), on_written)

        def on_written(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                self._loop.after(RETRY_MS, self._register)
                return
            self._is_registered = True
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
            row = decode_object(item.value)
            member = Candidate(process, str(row["address"]), float(row["capacity"]))
        except FIELD_ERRORS as error:
            _log.warning(
                "member record cannot be decoded; ignored",
                member=process,
                error=repr(error),
            )
            return
        self._member_by_process[process] = member

    def _other_members(self) -> list[Candidate]:
        return [
            member
            for member in self._member_by_process.values()
            if member.address != self._peer_address
        ]

    def _peer_capacities(self) -> dict[str, float]:
        return {member.address: member.capacity for member in self._other_members()}

    def _largest_candidate_capacity(self) -> float:
        return max((member.capacity for member in self._other_members()), default=0.0)

    # Leader election

    def _may_compete(self) -> bool:
        return (
            not self.stopping and self.configuration is not None and self._is_registered
        )

    def _on_leadership_acquired(
        self, fence: int, term: int, previous_fence: int
    ) -> None:
        scheduler = Scheduler(fence, term, self._settings.timing, self._clock.now_ms())
        scheduler.trusts_records = not self._store_route.was_recently_unreachable()
        if self.configuration:
            scheduler.set_configuration(self.configuration)
        settings = self._settings
        advisor = AdvisorClient(self._loop, settings.advisor_address)
        machines = MachineClient(
            self._loop, settings.machines_address, self._process_name
        )
        self._leader = Leader(
            self._loop,
            self._store,
            self._executor_client,
            advisor if settings.advisor_address else None,
            machines if settings.machines_address else None,
            scheduler,
            self._leadership.has_valid_lease,
            self._may_continue_without_store,
            self._leadership.step_down,
            previous_fence,
        )
        self._leader.start()

    def _on_leadership_lost(self) -> None:
        if self._leader:
            self._leader.stop()
            self._leader = None

    def _may_continue_without_store(self) -> bool:
        """Whether no other process can lead, since none of them reaches the store."""
        return self._store_route.is_unreachable_for_all(self._leadership.fence)

    # Backend of the caller API

    def _run_on_loop(self, begin: t.Callable[["Future[T]"], None]) -> "Future[T]":
        future: Future[T] = Future()
        self._loop.post(lambda: begin(future))
        return future

    def submit(self, submission: Submission, wait_ms: int) -> "Future[Acceptance]":
        """Store a submission; see ``Backend.submit``."""

        def begin(future: "Future[Acceptance]") -> None:
            deadline_ms = self._clock.now_ms() + wait_ms
            self._intake.submit(submission, deadline_ms, future.set_result)

        return self._run_on_loop(begin)

    def find_state(
        self, submission_id: str, wait_ms: int
    ) -> "Future[SubmissionState | None]":
        """Read the state of a submission; see ``Backend.find_state``."""
        return self._run_on_loop(
            lambda future: self._find_state(submission_id, wait_ms, future)
        )

    def _find_state(
        self, submission_id: str, wait_ms: int, future: "Future[SubmissionState | None]"
    ) -> None:
        deadline_ms = self._clock.now_ms() + wait_ms
        if self._leader and self._leadership.has_valid_lease():
            state = self._leader.scheduler.get_state(submission_id)
            if state is not None:
                future.set_result(state)
                return
        key = submission_key(submission_id)

        def read() -> None:
            self._store.read_all(key, on_items)

        def on_items(reply: StoreReply) -> None:
            # After the deadline the future stays open, as in _cancel().
            if reply.outcome is Outcome.OK:
                value_by_key = {item.key: item.value or b"" for item in reply.items}
                future.set_result(_state_from_records(key, value_by_key))
            elif self._clock.now_ms() + RETRY_MS < deadline_ms:
                if not self._request_state_from_leader(submission_id, future, read):
                    self._loop.after(RETRY_MS, read)

        read()

    def _request_state_from_leader(
        self,
        submission_id: str,
        future: "Future[SubmissionState | None]",
        retry: t.Callable[[], None],
    ) -> bool:
        holder = self._leadership.holder
        if holder is None or holder.address == self._peer_address:
            return False

        def on_reply(reply: HttpReply) -> None:
            try:
                future.set_result(SubmissionState(decode_object(reply.body)["state"]))
            except FIELD_ERRORS:
                self._loop.after(RETRY_MS, retry)

        path = SUBMISSION_PATH + submission_id
        request = HttpRequest("GET", holder.address, path, timeout_ms=PEER_TIMEOUT_MS)
        self._loop.call(request, on_reply)
        return True

    def cancel(self, submission_id: str, wait_ms: int) -> "Future[bool]":
        """Cancel a submission; see ``Backend.cancel``.

        :returns: true once the cancellation is stored or the submission has ended;
            false if the submission does not exist. The future stays open if neither
            is known within ``wait_ms`` milliseconds.
        """
        return self._run_on_loop(
            lambda future: self._cancel(
                submission_id, self._clock.now_ms() + wait_ms, future
            )
        )

    def _cancel(
        self, submission_id: str, deadline_ms: int, future: "Future[bool]"
    ) -> None:
        key = submission_key(submission_id)

        def retry() -> None:
            # After the deadline the future stays open: CallerApi stops waiting for it
            # and tells the caller that the outcome is unknown.
            if self._clock.now_ms() + RETRY_MS < deadline_ms:
                self._loop.after(
                    RETRY_MS, lambda: self._cancel(submission_id, deadline_ms, future)
                )

        def on_items(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                retry()
                return
            item_by_key = {item.key: item for item in reply.items}
            if key + FINAL_SUFFIX in item_by_key or key + CANCEL_SUFFIX in item_by_key:
                future.set_result(True)
            elif key not in item_by_key:
                future.set_result(False)
            else:
                conditions = ((key, item_by_key[key].revision),)
                put = (key + CANCEL_SUFFIX, b"{}", 0)  # 0: no lease
                self._store.write(Write(conditions, (put,)), on_written)

        def on_written(reply: StoreReply) -> None:
            if reply.outcome is Outcome.OK:
                self._notify_leader([Item(key + CANCEL_SUFFIX, b"{}", reply.revision)])
                future.set_result(True)
            else:
                retry()

        self._store.read_all(key, on_items)

    def _notify_leader(self, items: t.Sequence[Item]) -> None:
        """Pass records that were just stored on to the leader, ahead of its watch.

        A lost notice has no consequence but the delay of the watch.
        """
        if self._leader:
            self._leader.offer(items)
            return
        holder = self._leadership.holder
        if holder is None or holder.address == self._peer_address:
            return
        request = HttpRequest(
            "POST",
            holder.address,
            STORED_PATH,
            encode_items(items),
            timeout_ms=PEER_TIMEOUT_MS,
        )
        self._loop.call(request, lambda reply: None)

    def count_waiting(self, queue: Queue) -> "Future[int]":
        """Count the submissions of a queue without a started task."""
        return self._run_on_loop(lambda future: self._count_waiting(queue, future))

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
                future.set_result(int(decode_object(reply.body)["count"]))
            except FIELD_ERRORS:
                self._loop.after(RETRY_MS, lambda: self._count_waiting(queue, future))

        body = json.dumps({"queue": queue.key}).encode()
        request = HttpRequest(
            "POST", holder.address, QUEUE_PATH, body, timeout_ms=PEER_TIMEOUT_MS
        )
        self._loop.call(request, on_reply)

    # Readiness check and metrics

    def _serve_readiness(self, environ: t.Any, start_response: t.Any) -> t.Any:
        request = Request(environ)
        ready = (
            self.configuration is not None
            and not self.stopping
            and not self._store_route.is_isolated(self._leadership.fence)
        )
        status = 200 if request.path == READY_PATH and ready else 503
        return Response(b"", status=status)(environ, start_response)

    def _serve_metrics(self, environ: t.Any, start_response: t.Any) -> t.Any:
        response = Response(self._metrics.render(), content_type="text/plain")
        return response(environ, start_response)


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

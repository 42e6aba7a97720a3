"""Composition of one process on the platform: components, start and stop."""

import random
import signal
import threading
import typing as t
import uuid

from werkzeug.wrappers import Request, Response

from cranberrywheel.clock import Clock
from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.connection.http_server import HttpServer
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.admission_sync import AdmissionSync
from cranberrywheel.node.advisor_calls import AdvisorCalls
from cranberrywheel.node.advisor_metrics import add_advisor_metrics
from cranberrywheel.node.call_timeout import CallTimeout
from cranberrywheel.node.caller_api import RETRY_AFTER_S, CallerApi
from cranberrywheel.node.configuration_sync import ConfigurationSync
from cranberrywheel.node.evacuation_sync import EvacuationSync
from cranberrywheel.node.leader import Leader
from cranberrywheel.node.leadership import Candidate, Leadership, scheduling_capacity
from cranberrywheel.node.membership import Membership
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.node.peer_api import (
    PeerApi,
)
from cranberrywheel.node.store_route import (
    RELAY_PREFIX,
    StoreRoute,
)
from cranberrywheel.node.submission_calls import SubmissionCalls
from cranberrywheel.node.turn_metrics import add_turn_gauges
from cranberrywheel.platform.advisor import AdvisorClient
from cranberrywheel.platform.callers import READY_PATH
from cranberrywheel.platform.executors import ExecutorClient
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.platform.settings import NodeSettings
from cranberrywheel.platform.store import CALL_TIMEOUT_MS, Store
from cranberrywheel.store_messages import CallResult
from cranberrywheel.submission.admission import compute_store_retry_after_s
from cranberrywheel.submission.features import FeatureSettings, has_zone_evacuation
from cranberrywheel.submission.model import (
    Configuration,
)
from cranberrywheel.submission.scheduler import Scheduler

#: Concurrent caller connections; each occupies a thread while it is open.
CALLER_THREADS = 96
#: Concurrent connections for the balancer's readiness check, which needs few.
READINESS_THREADS = 8
#: Largest request body that any server of this process reads.
MAX_BODY_BYTES = 300_000
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


class Node:
    """One process: caller API, leader election and, while it leads, the scheduler.

    :param settings: settings that the platform gives the process.
    :param feature_settings: switches of the scheduler's parts.
    :param metrics_port: port of the metrics; nodes that share an IP address need
        different ports.
    """

    def __init__(
        self,
        settings: NodeSettings,
        feature_settings: FeatureSettings,
        metrics_port: int = METRICS_PORT,
    ) -> None:
        self._feature_settings = feature_settings
        self._settings = settings
        self.stopping = False
        self._stop_requested = threading.Event()
        self._clock = Clock()
        self._loop = HttpLoop(self._clock)
        self._process_name = f"{settings.node}-{uuid.uuid4().hex[:8]}"
        self._peer_address = f"{settings.ip}:{settings.peer_port}"
        candidate = Candidate(
            self._process_name,
            self._peer_address,
            scheduling_capacity(settings.cores, settings.link_mbps),
        )
        self._store_timeout = CallTimeout(CALL_TIMEOUT_MS)
        self._store = Store(
            self._loop,
            settings.store_address,
            self._on_store_call_end,
            self._relay_route,
            lambda: self._store_timeout.current_ms,
        )
        self._membership = Membership(self._loop, self._store, candidate)
        self._store_route = StoreRoute(
            self._loop,
            self._membership.peer_capacities,
            self._store.probe,
            self._peer_address,
            lambda version, peer: self._configuration_sync.on_announcement(
                version, peer
            ),
        )
        self._executor_client = ExecutorClient(self._loop)
        self._advisor_calls: AdvisorCalls | None = None
        if settings.advisor_address:
            self._advisor_calls = AdvisorCalls(
                self._loop, AdvisorClient(self._loop, settings.advisor_address)
            )
        self._leader: Leader | None = None
        self._leadership = Leadership(
            self._loop,
            self._store,
            candidate,
            self._membership.largest_capacity,
            self._may_compete,
            self._on_leadership_acquired,
            self._on_leadership_lost,
        )
        self._configuration_sync = ConfigurationSync(
            self._loop,
            self._store,
            self._membership.peer_capacities,
            self._peer_address,
            lambda: not self._store_route.is_unreachable,
            self._on_configuration,
        )
        self._evacuation_sync = self._build_evacuation_sync()
        self._admission = AdmissionSync(
            self._loop,
            self._store,
            self._peer_address,
            lambda: self._leader if self._leadership.has_valid_lease() else None,
            lambda: self._leadership.holder,
            lambda: self.configuration,
            feature_settings,
            settings.timing,
        )
        self._submission_calls = SubmissionCalls(
            self._loop,
            self._store,
            self._leadership,
            self._admission,
            self._peer_address,
            lambda: self._store_route.has_route,
            lambda: self._leader,
        )
        self._metrics = Metrics()
        self._admission.register_metrics(self._metrics)
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
        self._metrics.add_contention_gauges(
            lambda: self._leader.scheduler if self._leader else None
        )
        add_turn_gauges(
            self._metrics, lambda: self._leader.scheduler if self._leader else None
        )
        if self._advisor_calls is not None:
            add_advisor_metrics(
                self._metrics,
                self._advisor_calls,
                lambda: self._leader.scheduler if self._leader else None,
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
        if self._evacuation_sync is not None:
            self._add_evacuation_metrics(self._evacuation_sync)
        self._metrics.collect_interference(
            lambda: self._leader.scheduler.interference if self._leader else None
        )
        self._caller_server = HttpServer(
            host,
            int(port),
            CallerApi(
                self,
                self._submission_calls,
                self._metrics,
                self._estimate_store_retry_s,
            ),
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
                self._admission,
                lambda: self._leader,
                lambda: self._leadership.holder.fence if self._leadership.holder else 0,
                self._evacuation_sync,
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
        if self._evacuation_sync is not None:
            self._evacuation_sync.start()
        self._membership.start()
        self._leadership.start()
        self._store_route.start()
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
        self._membership.stop()

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

    def _estimate_store_retry_s(self) -> int:
        """Return the ``Retry-After`` of a submission that could not be stored."""
        if not self._admission.is_on:
            return RETRY_AFTER_S
        return compute_store_retry_after_s(self._store_route.unreachable_ms)

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

    # Evacuation of availability zones

    def _build_evacuation_sync(self) -> EvacuationSync | None:
        timing = self._settings.timing
        if not has_zone_evacuation(self._feature_settings, timing):
            return None

        def choose_relay() -> tuple[str, str] | None:
            peers = list(self._membership.peer_capacities())
            return (random.choice(peers), RELAY_PREFIX) if peers else None

        return EvacuationSync(
            self._loop,
            self._store,
            Store(
                self._loop,
                self._settings.store_address,
                lambda result: None,
                choose_relay,
            ),
            self._membership.peer_capacities,
            self._peer_address,
            timing.evacuation_ms,
            lambda: self._leader.apply_evacuations() if self._leader else None,
        )

    def _add_evacuation_metrics(self, sync: EvacuationSync) -> None:
        self._metrics.gauge(
            "cranberrywheel_evacuated_zones",
            "Availability zones in which nothing may start",
            lambda: float(len(sync.known.zones)),
        )
        self._metrics.gauge(
            "cranberrywheel_evacuated_zone_runs",
            "Runs that are still in evacuated zones, at the leader",
            lambda: float(self._leader.evacuated_zone_runs if self._leader else 0),
        )
        self._metrics.gauge(
            "cranberrywheel_evacuation_age_seconds",
            "Time since the evacuated zones were last confirmed by the store",
            lambda: sync.age_ms / 1000,
        )

    # Leader election

    def _may_compete(self) -> bool:
        return (
            not self.stopping
            and self.configuration is not None
            and self._membership.is_registered
        )

    def _on_leadership_acquired(
        self, fence: int, term: int, previous_fence: int
    ) -> None:
        scheduler = Scheduler(
            fence,
            term,
            self._settings.timing,
            self._clock.now_ms(),
            self._feature_settings,
        )
        scheduler.trusts_records = not self._store_route.was_recently_unreachable()
        if self.configuration:
            scheduler.set_configuration(self.configuration)
        settings = self._settings
        machines = MachineClient(
            self._loop, settings.machines_address, self._process_name
        )
        self._leader = Leader(
            self._loop,
            self._store,
            self._executor_client,
            self._advisor_calls,
            machines if settings.machines_address else None,
            scheduler,
            self._leadership.has_valid_lease,
            self._may_continue_without_store,
            self._leadership.step_down,
            previous_fence,
            self._evacuation_sync,
        )
        self._leader.start()

    def _on_leadership_lost(self) -> None:
        if self._leader:
            self._leader.stop()
            self._leader = None

    def _may_continue_without_store(self) -> bool:
        """Whether no other process can lead, since none of them reaches the store."""
        return self._store_route.is_unreachable_for_all(self._leadership.fence)

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

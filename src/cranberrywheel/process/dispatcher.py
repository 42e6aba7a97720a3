"""The task that owns the queues, quota units, workers and requests of an entry."""

import queue
import threading
import typing as t

from cranberrywheel.connection import target_messages
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process import messages
from cranberrywheel.process.entry_state import EntryState
from cranberrywheel.process.long_waits import forward_to_idle_peers, preempt_for_urgent
from cranberrywheel.process.placement import Placement
from cranberrywheel.process.ticket_calls import TicketCalls
from cranberrywheel.request.fair_queue import FairQueue

TICK_MS = 100
TICKS_PER_REPORT = 5
TICKS_PER_USAGE_FETCH = 50
#: Messages handled at most before due timers run.
MAX_MESSAGES_PER_ITERATION = 200

_log = ComponentLogger("dispatcher")


class Dispatcher:
    """Queues requests and starts them on workers.

    It runs on a thread of its own and handles one message at a time, so the state
    needs no locks.

    :param state: state of a process that has just started; only the dispatcher
        may change it from now on.
    """

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self.inbox: queue.SimpleQueue[t.Any] = queue.SimpleQueue()
        self._placement = Placement(state)
        self._request_handler = self._placement.request_handler
        self._attempts = self._placement.attempt_manager
        self._stopping: messages.Stop | None = None
        self._ticks = 0
        self._ejected_workers: set[str] = set()
        self._running = True
        self._handlers = self._build_handlers()
        state.timers.add(state.clock.now_ms() + TICK_MS, self._tick)
        self._thread = threading.Thread(
            target=self._run, name="dispatcher", daemon=True
        )

    def _build_handlers(self) -> dict[type, t.Callable[[t.Any], None]]:
        state = self._state
        tickets = TicketCalls(state)
        return {
            messages.SubmitRequest: self._request_handler.submit,
            messages.CancelRequest: lambda msg: self._request_handler.cancel(
                msg.request_id
            ),
            messages.ForwardFinished: self._request_handler.handle_forward_finished,
            messages.IssueTickets: tickets.issue,
            messages.QueryTicket: tickets.query,
            messages.ReadStatus: lambda msg: msg.status.set_result(self._status()),
            messages.ReadFleet: lambda msg: msg.fleet.set_result(
                state.fleet.describe()
            ),
            messages.ConfigurationAdopted: self._adopt_configuration,
            messages.FreshnessProven: lambda msg: state.freshness.record_proof(
                msg.proven_ms
            ),
            messages.KeyRevoked: lambda msg: state.revoked_key_ids.add(msg.key_id),
            messages.PoolsChanged: state.fleet.set_pools,
            messages.InstancesListed: lambda msg: state.fleet.set_instances(msg.listed),
            messages.QuotaUnitsHeld: self._set_held_units,
            messages.QuotaLeaseRenewed: lambda msg: state.ledger.note_lease_renewal(
                msg.started_ms
            ),
            messages.ReleaseQuotaUnits: self._release_units,
            messages.PeerReport: state.fleet.set_peer,
            messages.PeerLost: lambda msg: state.fleet.drop_peer(msg.process_id),
            messages.ResultsHandedOver: self._import_results,
            messages.ExportResults: self._export_results,
            messages.Stop: self._begin_stop,
            target_messages.AttemptFinished: self._attempts.handle_attempt_finished,
            target_messages.TokenFetched: self._attempts.handle_token_fetched,
            target_messages.ControlFinished: self._attempts.handle_control_finished,
            target_messages.TaskQueried: self._attempts.handle_task_queried,
            target_messages.UsageFetched: self._attempts.handle_usage_fetched,
        }

    def start(self) -> None:
        """Start the dispatcher thread."""
        self._thread.start()

    def post(self, message: t.Any) -> None:
        """Queue a message for the dispatcher; safe from any thread."""
        self.inbox.put(message)

    def _run(self) -> None:
        while self._running:
            self.run_once(self._state.timers.get_wait_ms(self._now_ms(), TICK_MS))

    def run_once(self, wait_ms: int = 0) -> None:
        """Handle waiting messages, run due timers and start queued requests.

        :param wait_ms: longest wait for the first message in milliseconds.
        """
        try:
            self._handle(self.inbox.get(timeout=max(wait_ms, 1) / 1000))
            for _ in range(MAX_MESSAGES_PER_ITERATION):
                self._handle(self.inbox.get_nowait())
        except queue.Empty:
            pass
        self._run_guarded("timers", lambda: self._state.timers.run_due(self._now_ms()))
        self._run_guarded("placement", self._placement.start_queued)

    def _handle(self, message: t.Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            _log.warning("dropped message of unknown type", type=type(message).__name__)
            return
        self._run_guarded(type(message).__name__, lambda: handler(message))

    @staticmethod
    def _run_guarded(step: str, run: t.Callable[[], None]) -> None:
        """Run one step; an error in it is logged and must not end the dispatcher."""
        try:
            run()
        except Exception as error:
            _log.warning(
                "step failed; continuing with the next one",
                step=step,
                error=repr(error),
            )

    def _now_ms(self) -> int:
        return self._state.clock.now_ms()

    def _adopt_configuration(self, message: messages.ConfigurationAdopted) -> None:
        snapshot = message.snapshot
        if self._state.snapshot and snapshot.version <= self._state.snapshot.version:
            return
        self._state.snapshot = snapshot
        configuration = snapshot.configuration
        for team in configuration.teams_by_name.values():
            self._state.ledger.set_limit(team.name, team.limit)
        self._state.fleet.set_configuration(configuration)
        for name in configuration.services_by_name:
            if name not in self._state.queues_by_service:
                capacity = max(
                    (
                        queue_config.max_queued
                        for queue_config in configuration.queues_by_name.values()
                        if queue_config.service == name
                    ),
                    default=1,
                )
                self._state.queues_by_service[name] = FairQueue(capacity)
        self._request_handler.drop_removed_queues()
        _log.event("applied configuration", version=snapshot.version)

    def _export_results(self, message: messages.ExportResults) -> None:
        tickets = self._state.tickets
        own = (self._state.process_id, tickets.export_results(self._now_ms()))
        message.exports.set_result([own, *tickets.export_imported_results()])

    def _import_results(self, message: messages.ResultsHandedOver) -> None:
        self._state.tickets.import_results(message.process_id, message.export)
        # The peer has closed its listener, so no request may be forwarded to it.
        self._state.fleet.drop_peer(message.process_id)

    def _set_held_units(self, message: messages.QuotaUnitsHeld) -> None:
        self._state.ledger.set_held(
            message.team, message.long_units, message.short_units
        )

    def _release_units(self, message: messages.ReleaseQuotaUnits) -> None:
        message.released.set_result(
            self._state.ledger.release_units(
                message.team, message.long_units, message.short_units
            )
        )

    def _tick(self) -> None:
        now_ms = self._now_ms()
        self._state.timers.add(now_ms + TICK_MS, self._tick)
        self._ticks += 1
        self._attempts.renew_leases()
        if self._state.snapshot is not None:
            preempt_for_urgent(self._state, self._attempts)
            forward_to_idle_peers(self._state, self._request_handler)
        if self._ticks % TICKS_PER_REPORT == 0:
            self._state.tickets.expire(now_ms)
            self._send_reports(now_ms)
            if self._state.snapshot is not None:
                self._log_ejections()
        if self._ticks % TICKS_PER_USAGE_FETCH == 0:
            self._attempts.fetch_usage()
        self._finish_stop_if_idle()

    def _log_ejections(self) -> None:
        assert self._state.snapshot is not None
        pools = self._state.snapshot.configuration.pools_by_name
        ejected = {
            worker
            for pool in pools
            for worker in self._state.workers.list_ejected(pool)
        }
        for worker in sorted(ejected - self._ejected_workers):
            _log.event("ejected unhealthy worker", worker=worker)
        for worker in sorted(self._ejected_workers - ejected):
            _log.event("worker is no longer ejected", worker=worker)
        self._ejected_workers = ejected

    def _send_reports(self, now_ms: int) -> None:
        metrics = self._state.metrics
        metrics.gauge("running", len(self._attempts))
        metrics.gauge("pending", len(self._state.pending))
        metrics.gauge("keys_age_ms", self._state.freshness.age_ms(now_ms) or 0)
        waiting: dict[str, int] = {}
        for fair_queue in self._state.queues_by_service.values():
            for team, count in fair_queue.queued_by_team().items():
                waiting[team] = waiting.get(team, 0) + count
        waiting.pop("", None)
        self._state.links.to_store(
            messages.QuotaDemand(dict(self._state.ledger.in_use_by_team()), waiting)
        )
        idle_units_by_team = {
            team: self._state.ledger.idle_units(team, now_ms)
            for team in self._state.fleet.shares_by_team
        }
        self._state.links.to_peers(
            self._state.fleet.build_load_report(
                {
                    service: fair_queue.queued_by_team()
                    for service, fair_queue in self._state.queues_by_service.items()
                },
                idle_units_by_team,
                self._stopping is not None,
            )
        )

    def _status(self) -> dict[str, t.Any]:
        now_ms = self._now_ms()
        snapshot = self._state.snapshot
        return {
            "process_id": self._state.process_id,
            "zone": self._state.settings.zone,
            "version": snapshot.version if snapshot else 0,
            "text_version": snapshot.text_version if snapshot else 0,
            "keys_age_ms": self._state.freshness.age_ms(now_ms),
            "queued_by_service": {
                service: len(fair_queue)
                for service, fair_queue in self._state.queues_by_service.items()
            },
            "running": len(self._attempts),
            "late_answers": self._attempts.late_answers,
            "units_in_use_by_team": dict(self._state.ledger.in_use_by_team()),
            "units_usable_by_team": {
                team: self._state.ledger.idle_units(team, now_ms)
                for team in self._state.fleet.shares_by_team
            },
            "peers": self._state.fleet.list_peer_ids(),
            "pools": self._state.fleet.build_pool_status(),
            "stopping": self._stopping is not None,
        }

    def _begin_stop(self, message: messages.Stop) -> None:
        self._stopping = message
        self._finish_stop_if_idle()

    def _finish_stop_if_idle(self) -> None:
        if self._stopping and not len(self._state.pending) and not len(self._attempts):
            if not self._state.drained:
                self._state.drained = True
                self._stopping.done.set_result(None)

    def stop(self) -> None:
        """End the dispatcher thread; no message may wait for a reply any more."""
        self._running = False
        self._thread.join(timeout=5)

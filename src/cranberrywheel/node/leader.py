"""Drives the scheduler while this process leads: executor calls, records, timers."""

import time
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.json_body import FIELD_ERRORS
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.advisor_calls import AdvisorCalls
from cranberrywheel.node.evacuation_sync import EvacuationSync
from cranberrywheel.node.executor_calls import ExecutorCalls
from cranberrywheel.node.executor_records import ExecutorRecords
from cranberrywheel.node.keys import (
    CANCEL_SUFFIX,
    EXECUTOR_PREFIX,
    FINAL_SUFFIX,
    HANDOVER_KEY,
    PROGRESS_SUFFIX,
    SUBMISSION_PREFIX,
    split_submission_key,
)
from cranberrywheel.node.maintenance import MaintenanceController
from cranberrywheel.node.progress_writer import ProgressWriter
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.node.withdrawal_cleanup import WithdrawalCleanup
from cranberrywheel.platform import executors as wire
from cranberrywheel.platform.evacuations import EVACUATION_PREFIX
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply
from cranberrywheel.submission import actions
from cranberrywheel.submission.advice import AdviceReply, count_waiting
from cranberrywheel.submission.demand import compute_demand_by_service
from cranberrywheel.submission.evacuation import count_remaining_runs
from cranberrywheel.submission.handover import (
    EMPTY_HANDOVER_RECORD,
    apply_handover_record,
    build_handover_record,
    decode_handover_record,
    encode_handover_record,
    prepare_takeover,
)
from cranberrywheel.submission.model import Configuration
from cranberrywheel.submission.record import (
    decode_final_state,
    decode_progress,
    decode_submission,
    decode_withdrawal,
)
from cranberrywheel.submission.scheduler import Scheduler

#: Delay before a failed store call is repeated.
RETRY_MS = 300
#: Interval of the timer that drives timeouts in the scheduler.
TICK_INTERVAL_MS = 100
#: Interval of the log lines with the load of each pool.
LOAD_LOG_INTERVAL_MS = 1_000
#: Shortest time between two scheduling passes, so that completions in quick succession
#: lead to one pass.
MIN_PASS_INTERVAL_MS = 3

_log = ComponentLogger("leader")


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000


class Leader:
    """One leadership of this process. All methods run on the loop's thread.

    :param advisor: calls of this process to the advisor; ``None`` if there is no
        advisor.
    :param machines: client of the machine interface; ``None`` if there is none.
    :param has_valid_lease: returns whether no other process can lead at this moment.
    :param may_continue_without_store: returns whether runs may continue although the
        lease has expired.
    :param step_down: called with a reason when there is a newer leader.
    :param previous_fence: fencing token of the previous leadership; only a handover
        record with this token is used.
    :param evacuation_sync: the evacuated zones; ``None`` if there are no evacuations.
    :ivar evacuated_zone_runs: runs in evacuated zones when they were last counted.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        client: wire.ExecutorClient,
        advisor: AdvisorCalls | None,
        machines: MachineClient | None,
        scheduler: Scheduler,
        has_valid_lease: t.Callable[[], bool],
        may_continue_without_store: t.Callable[[], bool],
        step_down: t.Callable[[str], None],
        previous_fence: int = 0,
        evacuation_sync: EvacuationSync | None = None,
    ) -> None:
        self._loop = loop
        self._store = store
        self._previous_fence = previous_fence
        self._evacuation_sync = evacuation_sync
        self.evacuated_zone_runs = 0
        self._unknown_zones: frozenset[str] = frozenset()
        self._handover_record = EMPTY_HANDOVER_RECORD
        self._advisor = advisor
        if advisor is not None:
            advisor.receiver = self._on_advice
        self._has_valid_lease = has_valid_lease
        self._may_continue_without_store = may_continue_without_store
        self.scheduler = scheduler
        self._stopped = False
        self._pass_requested = False
        self._last_pass_ms = 0
        self._load_logged_ms = 0
        self._executors_loaded = False
        self._submissions_loaded = False
        #: Submissions whose cancellation was reported before their record: notices may
        #: overtake each other, and the pages of a read are no snapshot.
        self._cancelled_before_added: set[str] = set()
        self._executor_watch = PrefixWatch(
            loop,
            store,
            wire.EXECUTOR_PREFIX,
            self._on_executor_item,
            self._on_executors_loaded,
        )
        self._submission_watch = PrefixWatch(
            loop,
            store,
            SUBMISSION_PREFIX,
            self._on_submission_item,
            self._on_submissions_loaded,
        )
        self._executor_calls = ExecutorCalls(
            loop,
            client,
            scheduler,
            self._may_renew_leases,
            self._update_permissions,
            self.request_pass,
            step_down,
        )
        self._executor_records = ExecutorRecords(
            loop, store, scheduler, self.request_pass
        )
        self._progress_writer = ProgressWriter(
            loop,
            store,
            scheduler,
            self.request_pass,
            step_down,
            self._note_revision,
        )
        self._withdrawal_cleanup = WithdrawalCleanup(loop, store, scheduler.fence)
        self.maintenance: MaintenanceController | None = None
        if machines is not None:
            self.maintenance = MaintenanceController(
                loop, store, machines, scheduler, has_valid_lease
            )

    def start(self) -> None:
        """Load the recorded state, then start scheduling."""
        if self._evacuation_sync is not None:
            self._evacuation_sync.require_read()
            self.apply_evacuations()
        self._store.read(HANDOVER_KEY, self._on_handover)

    def _on_handover(self, reply: StoreReply) -> None:
        if self._stopped:
            return
        if not reply.outcome.is_answer:
            self._loop.after(RETRY_MS, self.start)
            return
        if reply.outcome is Outcome.OK:
            handover_record = decode_handover_record(reply.items[0].value or b"")
            if (
                handover_record is not None
                and handover_record.fence == self._previous_fence
            ):
                self._handover_record = handover_record
                prepare_takeover(
                    self.scheduler, handover_record, self._loop.clock.now_ms()
                )
        self._read_executors()

    def _read_executors(self) -> None:
        self._store.read_all(EXECUTOR_PREFIX, self._on_recorded_executors)

    def handover_record(self) -> bytes:
        """Return the encoded handover record of all runs for the next leader."""
        is_complete = self._submissions_loaded and self._executors_loaded
        now_ms = self._loop.clock.now_ms()
        return encode_handover_record(
            build_handover_record(self.scheduler, is_complete, now_ms)
        )

    def stop(self) -> None:
        """Stop scheduling and ignore replies that are still outstanding."""
        self._stopped = True
        if self._advisor is not None and self._advisor.receiver == self._on_advice:
            self._advisor.receiver = None
        self._executor_watch.stop()
        self._submission_watch.stop()
        self._executor_calls.stop()
        self._executor_records.stop()
        self._progress_writer.stop()
        self._withdrawal_cleanup.stop()
        if self.maintenance:
            self.maintenance.stop()

    @property
    def is_loaded(self) -> bool:
        """Whether all stored submissions have been loaded."""
        return self._submissions_loaded

    # Loading of the recorded state

    def _on_recorded_executors(self, reply: StoreReply) -> None:
        if self._stopped:
            return
        if reply.outcome is not Outcome.OK:
            self._loop.after(RETRY_MS, self._read_executors)
            return
        now_ms = self._loop.clock.now_ms()
        for item in reply.items:
            entry = self._executor_records.load(item)
            if entry is not None:
                self.scheduler.put_executor(entry, now_ms, registered=False)
        self._executor_watch.start()
        self._submission_watch.start()
        self._loop.after(TICK_INTERVAL_MS, self._tick)

    def _on_executors_loaded(self) -> None:
        self._executors_loaded = True
        self.request_pass()

    def _on_submissions_loaded(self) -> None:
        self._submissions_loaded = True
        scheduler = self.scheduler
        _log.event(
            "leader state loaded",
            live=len(scheduler.live_by_id),
            fence=scheduler.fence,
            handed_over=scheduler.handed_over,
            runs=len(self._handover_record.runs),
        )
        apply_handover_record(
            scheduler, self._handover_record, self._loop.clock.now_ms()
        )
        self._handover_record = EMPTY_HANDOVER_RECORD
        for submission_id in list(self._cancelled_before_added):
            self._cancel_if_added(submission_id)
        if self.maintenance:
            self.maintenance.start()
        self._executor_calls.start()
        self.request_pass()

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self.scheduler.set_configuration(configuration)
        self.request_pass()

    def apply_evacuations(self) -> None:
        """Apply the evacuated zones after they or their confirmation have changed."""
        self._update_permissions()
        self.request_pass()

    def _on_executor_item(self, item: Item) -> None:
        self._note_revision(item.revision)
        executor_id = item.key[len(wire.EXECUTOR_PREFIX) :]
        now_ms = self._loop.clock.now_ms()
        if item.value is None:
            self.scheduler.remove_executor(executor_id, now_ms)
            return
        entry = wire.decode_executor(executor_id, item.value)
        if entry is None:
            # Another writer may have replaced the entry of an executor that goes on.
            # Its runs are tracked like those of one whose entry has expired.
            self.scheduler.remove_executor(executor_id, now_ms)
            return
        self.scheduler.put_executor(entry, now_ms)
        self._executor_records.update(entry, item.value)
        self._executor_calls.poll_if_needed(self.scheduler.executors_by_id[executor_id])
        self.request_pass()

    def _note_revision(self, revision: int) -> None:
        if self._has_valid_lease():
            self.scheduler.note_revision(revision)

    def offer(self, items: t.Iterable[Item]) -> None:
        """Take records of submissions that an entry process has just stored.

        They arrive before those of the watch, which may be silent for seconds.
        """
        for item in items:
            self._submission_watch.offer(item)

    def _on_submission_item(self, item: Item) -> None:
        submission_id, suffix = split_submission_key(item.key)
        if item.value is None:
            self._withdrawal_cleanup.remove(item.key)
            if suffix == CANCEL_SUFFIX:
                self._cancelled_before_added.discard(submission_id)
            return
        try:
            self._apply_record(submission_id, suffix, item)
        except FIELD_ERRORS as error:
            _log.warning(
                "submission record cannot be decoded; skipped",
                request=submission_id,
                error=str(error),
            )

    def _apply_record(self, submission_id: str, suffix: str, item: Item) -> None:
        value = item.value or b""
        now_ms = self._loop.clock.now_ms()
        scheduler = self.scheduler
        if not suffix:
            # Items are sorted by key, so a submission precedes its other records.
            submission = decode_submission(value)
            scheduler.add_submission(
                submission, now_ms, recovered=not self._submissions_loaded
            )
            if self._submissions_loaded:
                _log.event(
                    "submission added",
                    request=submission_id,
                    revision=item.revision,
                    age_ms=unix_ms() - submission.accepted_ms,
                )
                if submission_id in self._cancelled_before_added:
                    self._cancel_if_added(submission_id)
                self.request_pass()
        elif suffix == CANCEL_SUFFIX:
            self._cancelled_before_added.add(submission_id)
            if self._submissions_loaded:
                self._cancel_if_added(submission_id)
                self.request_pass()
        elif suffix == PROGRESS_SUFFIX and not self._submissions_loaded:
            scheduler.restore(submission_id, decode_progress(value), item.revision)
        elif suffix == FINAL_SUFFIX and decode_withdrawal(value):
            self._withdrawal_cleanup.add(item)
        elif suffix == FINAL_SUFFIX:
            scheduler.final_state_by_id[submission_id] = decode_final_state(value)

    def _cancel_if_added(self, submission_id: str) -> None:
        """Cancel a submission, or keep the cancellation until it is added."""
        state = self.scheduler.get_state(submission_id)
        _log.event(
            "cancellation reported",
            request=submission_id,
            state=state.value if state else "not-added",
        )
        if state is not None:
            self._cancelled_before_added.discard(submission_id)
            self.scheduler.cancel(submission_id, self._loop.clock.now_ms())

    # Scheduling passes and orders, which are commands to executors

    def request_pass(self) -> None:
        """Schedule a pass; requests within a few milliseconds share one pass."""
        if not self._pass_requested and not self._stopped:
            self._pass_requested = True
            delay_ms = (
                self._last_pass_ms + MIN_PASS_INTERVAL_MS - self._loop.clock.now_ms()
            )
            self._loop.after(max(0, delay_ms), self._run_pass)

    def _tick(self) -> None:
        if self._stopped:
            return
        self._loop.after(TICK_INTERVAL_MS, self._tick)
        if self._evacuation_sync is not None:
            self._evacuation_sync.refresh_if_old()
        self._update_permissions()
        now_ms = self._loop.clock.now_ms()
        self.scheduler.tick(now_ms, unix_ms())
        self._run_pass()
        if now_ms - self._load_logged_ms >= LOAD_LOG_INTERVAL_MS:
            self._load_logged_ms = now_ms
            self._log_load()
            self._log_advice(now_ms)
            self._log_evacuations()
        self._executor_calls.poll_all()
        self._withdrawal_cleanup.delete_due()

    def _log_load(self) -> None:
        """Log the load of each pool, so that a late submission can be explained."""
        now_ms = self._loop.clock.now_ms()
        demands = compute_demand_by_service(self.scheduler, now_ms)
        for service, demand in demands.items():
            pool = self.scheduler.executors_by_service.get(service, {}).values()
            _log.event(
                "pool load",
                service=service,
                executors=len(pool),
                usable=sum(executor.is_usable for executor in pool),
                unreachable=sum(not executor.reachable for executor in pool),
                capacity_cpu=demand.capacity,
                used_cpu=demand.used,
                waiting_cpu=demand.waiting,
                offered_cpu=demand.offered,
                unsaved=len(self.scheduler.unsaved_by_id),
                writes=self._progress_writer.active_writes,
            )

    def _log_advice(self, now_ms: int) -> None:
        """Count and log the steps that wait for tickets of the advisor."""
        count_waiting(self.scheduler, now_ms)
        turns = self.scheduler.advice_turns
        if not turns.waiting_count:
            return
        if self._advisor is None:
            _log.warning(
                "steps of advised queues cannot start: the settings name no advisor",
                steps=turns.waiting_count,
                longest_ms=turns.longest_wait_ms,
            )
            return
        call = self._advisor.under_way
        _log.event(
            "steps wait for tickets",
            steps=turns.waiting_count,
            longest_ms=turns.longest_wait_ms,
            under_way=call.step if call else "",
            given_up=self._advisor.given_up_count,
            answers=turns.answer_count,
            used=turns.used_answer_count,
        )

    def _log_evacuations(self) -> None:
        """Count and log what is still in each evacuated zone."""
        self.evacuated_zone_runs = 0
        zones = {
            executor.entry.zone for executor in self.scheduler.executors_by_id.values()
        }
        for zone in self.scheduler.evacuated_zones - zones - self._unknown_zones:
            _log.warning(
                "evacuation of a zone without executors", key=EVACUATION_PREFIX + zone
            )
        self._unknown_zones = self.scheduler.evacuated_zones - zones
        for zone, remaining in count_remaining_runs(self.scheduler).items():
            self.evacuated_zone_runs += remaining.long_running + remaining.short
            _log.event(
                "evacuated zone",
                zone=zone,
                long_running=remaining.long_running,
                short=remaining.short,
            )

    def _run_pass(self) -> None:
        self._pass_requested = False
        if self._stopped:
            return
        now_ms = self._loop.clock.now_ms()
        self._last_pass_ms = now_ms
        self._update_permissions()
        if self._submissions_loaded:
            self.scheduler.schedule(now_ms, unix_ms())
            for action in self.scheduler.take_actions():
                if isinstance(action, actions.DeleteExecutorRecord):
                    self._executor_records.delete(action.executor_id)
                elif isinstance(action, actions.RequestAdvice):
                    assert self._advisor is not None
                    self._advisor.call(action)
                else:
                    self._executor_calls.execute(action)
            self._progress_writer.write_changes()

    def _on_advice(self, call: actions.RequestAdvice, reply: AdviceReply) -> None:
        self.scheduler.on_advice(call, reply, self._loop.clock.now_ms())
        self.request_pass()

    def _update_permissions(self) -> None:
        self.scheduler.advice_turns.may_ask = (
            self._advisor is not None and self._advisor.is_free
        )
        self.scheduler.store_unreachable = self._may_continue_without_store()
        self.scheduler.may_start = self._may_renew_leases() and self._executors_loaded
        if self._evacuation_sync is not None:
            self.scheduler.set_evacuated_zones(self._evacuation_sync.known.zones)
            # While no process reaches the store, no operator gets an acknowledgement.
            self.scheduler.zones_current = (
                self._evacuation_sync.is_current or self.scheduler.store_unreachable
            )

    def _may_renew_leases(self) -> bool:
        """Tell whether no other process can lead at this moment."""
        return self._has_valid_lease() or self._may_continue_without_store()

"""Drives the scheduler while this process leads: executor calls, records, timers."""

import collections
import time
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.json_body import FIELD_ERRORS
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.keys import (
    CANCEL_SUFFIX,
    EXECUTOR_PREFIX,
    FINAL_SUFFIX,
    HANDOVER_KEY,
    LEADER_KEY,
    PROGRESS_SUFFIX,
    SUBMISSION_PREFIX,
    split_submission_key,
    submission_key,
)
from cranberrywheel.node.maintenance import MaintenanceController
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.platform import executors as wire
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply, Write
from cranberrywheel.submission import actions
from cranberrywheel.submission.demand import compute_demand_by_service
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import (
    OrderVerdict,
    PollReply,
    StartOrder,
)
from cranberrywheel.submission.handover import (
    EMPTY_HANDOVER_RECORD,
    apply_handover_record,
    build_handover_record,
    decode_handover_record,
    encode_handover_record,
    prepare_takeover,
)
from cranberrywheel.submission.live import LiveSubmission, RunState
from cranberrywheel.submission.model import Configuration
from cranberrywheel.submission.record import (
    decode_final_state,
    decode_progress,
    decode_submission,
    encode_final_state,
    encode_progress,
)
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel.submission.state import RUN_LEASE_MS

#: Longest time for which an executor holds a poll open. With the margin of the call, a
#: lost poll is detected and repeated well within the lease.
POLL_WAIT_MS = 900
#: Delay before the next poll, so that completions in quick succession share one reply.
POLL_DELAY_MS = 15
#: Delay before a failed poll or store call is repeated.
RETRY_MS = 300
#: Interval of the timer that drives timeouts in the scheduler.
TICK_INTERVAL_MS = 100
#: Interval of the log lines with the load of each pool.
LOAD_LOG_INTERVAL_MS = 1_000
#: Shortest time between two scheduling passes, so that completions in quick succession
#: lead to one pass.
MIN_PASS_INTERVAL_MS = 3
#: Submissions in one write. Each takes a condition and a put, or a condition, a put and
#: three deletions. With the condition on the leader record, six submissions take at
#: most 31 entries; the store accepts 32 in one write.
SUBMISSIONS_PER_WRITE = 6
#: Concurrent progress writes.
MAX_CONCURRENT_WRITES = 3
#: Concurrent start calls to one executor; each needs its own connection.
MAX_CONCURRENT_STARTS = 2

_log = ComponentLogger("leader")


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000


class Leader:
    """One leadership of this process. All methods run on the loop's thread.

    :param advisor: client of the advisor; ``None`` if there is no advisor.
    :param machines: client of the machine interface; ``None`` if there is none.
    :param has_valid_lease: returns whether no other process can lead at this moment.
    :param may_continue_without_store: returns whether runs may continue although the
        lease has expired.
    :param step_down: called with a reason when there is a newer leader.
    :param previous_fence: fencing token of the previous leadership; only a handover
        record with this token is used.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        client: wire.ExecutorClient,
        advisor: wire.AdvisorClient | None,
        machines: MachineClient | None,
        scheduler: Scheduler,
        has_valid_lease: t.Callable[[], bool],
        may_continue_without_store: t.Callable[[], bool],
        step_down: t.Callable[[str], None],
        previous_fence: int = 0,
    ) -> None:
        self._loop = loop
        self._store = store
        self._previous_fence = previous_fence
        self._handover_record = EMPTY_HANDOVER_RECORD
        self._client = client
        self._advisor = advisor
        self._has_valid_lease = has_valid_lease
        self._may_continue_without_store = may_continue_without_store
        self._step_down = step_down
        self.scheduler = scheduler
        self._stopped = False
        self._pass_requested = False
        self._last_pass_ms = 0
        self._load_logged_ms = 0
        #: Executors with a poll under way or due soon, by id and boot. The poll of an
        #: earlier boot must not delay the first poll of a new one.
        self._polled_boots: set[tuple[str, int]] = set()
        self._start_count_by_executor: dict[str, int] = {}
        self._start_queue_by_executor: dict[
            str, collections.deque[actions.StartRun]
        ] = {}
        self._active_writes = 0
        self._ids_in_write: set[str] = set()
        self._recorded_executor_ids: set[str] = set()
        self._executors_loaded = False
        self._submissions_loaded = False
        self._cancelled_while_loading: set[str] = set()
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
        self.maintenance: MaintenanceController | None = None
        if machines is not None:
            self.maintenance = MaintenanceController(
                loop, store, machines, scheduler, has_valid_lease
            )

    def start(self) -> None:
        """Load the recorded state, then start scheduling."""
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
        self._executor_watch.stop()
        self._submission_watch.stop()
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
            executor_id = item.key[len(EXECUTOR_PREFIX) :]
            entry = wire.decode_executor(executor_id, item.value or b"")
            if entry is not None:
                self._recorded_executor_ids.add(executor_id)
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
        for submission_id in self._cancelled_while_loading:
            scheduler.cancel(submission_id, self._loop.clock.now_ms())
        self._cancelled_while_loading.clear()
        if self.maintenance:
            self.maintenance.start()
        for executor in list(scheduler.executors_by_id.values()):
            self._poll_if_needed(executor)
        self.request_pass()

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self.scheduler.set_configuration(configuration)
        self.request_pass()

    def _on_executor_item(self, item: Item) -> None:
        executor_id = item.key[len(wire.EXECUTOR_PREFIX) :]
        now_ms = self._loop.clock.now_ms()
        if item.value is None:
            self.scheduler.remove_executor(executor_id, now_ms)
            return
        entry = wire.decode_executor(executor_id, item.value)
        if entry is None:
            return
        self.scheduler.put_executor(entry, now_ms)
        self._poll_if_needed(self.scheduler.executors_by_id[executor_id])
        if executor_id not in self._recorded_executor_ids:
            self._recorded_executor_ids.add(executor_id)
            self._store_executor(item, executor_id)
        self.request_pass()

    def _store_executor(self, item: Item, executor_id: str) -> None:
        put = (EXECUTOR_PREFIX + executor_id, item.value or b"", 0)  # 0: no lease
        # The fencing token is the revision of the leader record, so the write takes
        # effect only while this leadership lasts.
        conditions = ((LEADER_KEY, self.scheduler.fence),)

        def on_reply(reply: StoreReply) -> None:
            if not reply.outcome.is_answer and not self._stopped:
                self._loop.after(
                    RETRY_MS, lambda: self._store_executor(item, executor_id)
                )

        self._store.write(Write(conditions, (put,)), on_reply)

    def _delete_executor_record(self, executor_id: str) -> None:
        self._recorded_executor_ids.discard(executor_id)
        conditions = ((LEADER_KEY, self.scheduler.fence),)
        deletes = (EXECUTOR_PREFIX + executor_id,)
        # If the deletion fails, the next leader waits for the lease of this
        # executor.
        self._store.write(Write(conditions, (), deletes), lambda reply: None)

    def offer(self, items: t.Iterable[Item]) -> None:
        """Take records of submissions that an entry process has just stored.

        They arrive before those of the watch, which may be silent for seconds.
        """
        for item in items:
            self._submission_watch.offer(item)

    def _on_submission_item(self, item: Item) -> None:
        submission_id, suffix = split_submission_key(item.key)
        if item.value is None:
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
            scheduler.add_submission(
                decode_submission(value),
                now_ms,
                recovered=not self._submissions_loaded,
            )
            if self._submissions_loaded:
                self.request_pass()
        elif suffix == CANCEL_SUFFIX:
            if self._submissions_loaded:
                scheduler.cancel(submission_id, now_ms)
                self.request_pass()
            else:
                self._cancelled_while_loading.add(submission_id)
        elif suffix == PROGRESS_SUFFIX and not self._submissions_loaded:
            scheduler.restore(submission_id, decode_progress(value), item.revision)
        elif suffix == FINAL_SUFFIX:
            scheduler.final_state_by_id[submission_id] = decode_final_state(value)

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
        self._update_permissions()
        now_ms = self._loop.clock.now_ms()
        self.scheduler.tick(now_ms, unix_ms())
        self._run_pass()
        if now_ms - self._load_logged_ms >= LOAD_LOG_INTERVAL_MS:
            self._load_logged_ms = now_ms
            self._log_load()
        if self._submissions_loaded:
            for executor in list(self.scheduler.executors_by_id.values()):
                self._poll_if_needed(executor)

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
                writes=self._active_writes,
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
                self._execute(action)
            self._write_changes()

    def _update_permissions(self) -> None:
        may_continue = self._may_continue_without_store()
        self.scheduler.store_unreachable = may_continue
        allowed = self._has_valid_lease() or may_continue
        self.scheduler.may_start = allowed and self._executors_loaded

    def _execute(self, action: actions.Action) -> None:
        if isinstance(action, actions.StartRun):
            executor_id = action.run.executor_id
            queue = self._start_queue_by_executor.setdefault(
                executor_id, collections.deque()
            )
            queue.append(action)
            self._send_starts(executor_id)
            executor = self.scheduler.executors_by_id.get(executor_id)
            if executor is not None:
                self._poll_if_needed(executor)
        elif isinstance(action, actions.StopRun):
            self._send_stop(action)
        elif isinstance(action, actions.ThrottleRun):
            self._send_throttle(action)
        elif isinstance(action, actions.DeleteExecutorRecord):
            self._delete_executor_record(action.executor_id)
        else:
            self._request_advice(action)

    def _send_starts(self, executor_id: str) -> None:
        queue = self._start_queue_by_executor.get(executor_id)
        if queue:
            # A start may have waited here since the pass, and the lease may have
            # expired meanwhile.
            self._update_permissions()
        while (
            queue
            and self._start_count_by_executor.get(executor_id, 0)
            < MAX_CONCURRENT_STARTS
        ):
            action = queue.popleft()
            executor = self.scheduler.executors_by_id.get(executor_id)
            run = action.run
            if executor is None or run.key not in executor.runs:
                continue
            if (
                run.state is not RunState.STARTING
                or not executor.reachable
                or not self.scheduler.may_start
            ):
                self.scheduler.discard_run(run)
                continue
            self._send_start(executor, action)

    def _send_start(self, executor: Executor, action: actions.StartRun) -> None:
        run = action.run
        task = run.task
        now_ms = self._loop.clock.now_ms()
        order = StartOrder(
            task=task.name,
            number=run.number,
            payload=task.step_run.live.submission.payload,
            deadline_ms=executor.extend_lease(RUN_LEASE_MS, now_ms),
            fence=self.scheduler.fence,
            checkpoint=task.checkpoint,
            ticket=action.ticket,
        )
        self._start_count_by_executor[executor.id] = (
            self._start_count_by_executor.get(executor.id, 0) + 1
        )

        def on_reply(reply: t.Any) -> None:
            self._start_count_by_executor[executor.id] -= 1
            if self._stopped:
                return
            if not self.scheduler.on_start_reply(run, reply, self._loop.clock.now_ms()):
                self._step_down("an executor has seen a newer fencing token")
                return
            self._send_starts(executor.id)
            if reply.verdict is not OrderVerdict.OK:
                self.request_pass()

        self._client.start(executor.entry, order, on_reply)

    def _send_stop(self, action: actions.StopRun) -> None:
        executor = self.scheduler.executors_by_id.get(action.executor_id)
        if executor is None:
            return

        def on_reply(reply: t.Any) -> None:
            if self._stopped:
                return
            now_ms = self._loop.clock.now_ms()
            if not self.scheduler.on_stop_reply(action.run, reply, now_ms):
                self._step_down("an executor has seen a newer fencing token")
            elif action.run is not None and reply.verdict is OrderVerdict.OK:
                if not action.run.is_confirmed:
                    self._poll_once(executor)

        self._client.stop(
            executor.entry, action.task, action.number, self.scheduler.fence, on_reply
        )

    def _send_throttle(self, action: actions.ThrottleRun) -> None:
        run = action.run
        executor = self.scheduler.executors_by_id.get(run.executor_id)
        if executor is None:
            return
        _log.event(
            "run speed limit ordered",
            request=run.task.name,
            run=run.number,
            executor=executor.id,
            percent=action.percent,
        )

        def on_reply(reply: t.Any) -> None:
            if reply.verdict is not OrderVerdict.OK:
                run.speed_changed_ms = 0  # decide again after the next poll
                run.speed_percent = 100 if action.percent < 100 else 0

        self._client.throttle(
            executor.entry,
            run.task.name,
            run.number,
            action.percent,
            self.scheduler.fence,
            on_reply,
        )

    def _request_advice(self, action: actions.RequestAdvice) -> None:
        def on_reply(tickets: dict[str, str], valid_ms: int) -> None:
            now_ms = self._loop.clock.now_ms()
            self.scheduler.on_advice(action.step, tickets, valid_ms, now_ms)
            self.request_pass()

        if self._advisor is None:
            on_reply({}, 0)
        else:
            self._advisor.request_tickets(action.step, action.executor_ids, on_reply)

    # Polls of executors

    def _poll_if_needed(self, executor: Executor) -> None:
        # Until all submissions are loaded, their runs and completions would be unknown.
        if self._submissions_loaded and executor.needs_poll:
            self._poll_executor(executor)

    def _poll_executor(self, executor: Executor) -> None:
        boot = executor.boot
        if (executor.id, boot) in self._polled_boots or self._stopped:
            return
        if not executor.registered and not executor.runs and executor.fence_confirmed:
            return
        self._polled_boots.add((executor.id, boot))
        now_ms = self._loop.clock.now_ms()
        deadline_ms = 0
        # The lease of an unreachable executor must expire, so that its tasks can run on
        # other executors.
        renews = bool(executor.runs) and executor.reachable
        if renews and (self._has_valid_lease() or self._may_continue_without_store()):
            deadline_ms = executor.extend_lease(RUN_LEASE_MS, now_ms)
        was_reachable = executor.reachable
        holds_open = (
            bool(executor.runs or executor.untracked_runs)
            and executor.fence_confirmed
            and executor.reachable
        )

        def on_poll_reply(reply: PollReply) -> None:
            self._polled_boots.discard((executor.id, boot))
            if self._stopped:
                return
            current = self.scheduler.executors_by_id.get(executor.id)
            if (
                current is not None
                and boot
                and current.boot != boot
                and reply.verdict is OrderVerdict.UNKNOWN
            ):
                # The connection ended with the earlier boot, which tells nothing
                # about the new one.
                self._poll_if_needed(current)
                return
            if not self.scheduler.on_poll_reply(
                executor.id, reply, now_ms, self._loop.clock.now_ms()
            ):
                self._step_down("an executor has seen a newer fencing token")
                return
            self.request_pass()
            if current is not None and current.needs_poll:
                # The first failed poll may be an isolated loss, so it is soon repeated.
                repeats_soon = reply.verdict is OrderVerdict.OK or was_reachable
                delay_ms = POLL_DELAY_MS if repeats_soon else RETRY_MS
                key = (current.id, current.boot)
                if key in self._polled_boots:
                    return
                self._polled_boots.add(key)

                def poll_again() -> None:
                    self._polled_boots.discard(key)
                    if current.needs_poll and executor.id in (
                        self.scheduler.executors_by_id
                    ):
                        self._poll_executor(current)

                self._loop.after(delay_ms, poll_again)

        self._client.poll(
            executor.entry,
            self.scheduler.fence,
            executor.acknowledged_sequence,
            deadline_ms,
            POLL_WAIT_MS if holds_open else 0,
            on_poll_reply,
        )

    def _poll_once(self, executor: Executor) -> None:
        """Poll an executor beside the poll that it may be holding open."""
        sent_ms = self._loop.clock.now_ms()

        def on_reply(reply: PollReply) -> None:
            if self._stopped or reply.verdict is not OrderVerdict.OK:
                return  # the regular polls find out more
            now_ms = self._loop.clock.now_ms()
            self.scheduler.on_poll_reply(executor.id, reply, sent_ms, now_ms)
            self.request_pass()

        self._client.poll(
            executor.entry,
            self.scheduler.fence,
            executor.acknowledged_sequence,
            0,
            0,
            on_reply,
        )

    # Progress records

    def _write_changes(self) -> None:
        unsaved = self.scheduler.unsaved_by_id
        while unsaved and self._active_writes < MAX_CONCURRENT_WRITES:
            batch = [
                live for key, live in unsaved.items() if key not in self._ids_in_write
            ]
            if not batch:
                return
            self._write_batch(batch[:SUBMISSIONS_PER_WRITE])

    def _write_batch(self, batch: list[LiveSubmission]) -> None:
        conditions: list[tuple[str, int]] = [(LEADER_KEY, self.scheduler.fence)]
        # Key, value and lease id; 0 means no lease.
        puts: list[tuple[str, bytes, int]] = []
        deletes: list[str] = []
        versions: list[tuple[LiveSubmission, int]] = []
        for live in batch:
            submission_id = live.submission.id
            key = submission_key(submission_id)
            self.scheduler.unsaved_by_id.pop(submission_id, None)
            self._ids_in_write.add(submission_id)
            versions.append((live, live.version))
            conditions.append((key + PROGRESS_SUFFIX, live.progress_revision))
            if live.final_state:
                value = encode_final_state(live.final_state, live.submission.queue)
                puts.append((key + FINAL_SUFFIX, value, 0))
                deletes += [key, key + CANCEL_SUFFIX]
                if live.progress_revision:
                    deletes.append(key + PROGRESS_SUFFIX)
            else:
                value = encode_progress(live.build_progress())
                puts.append((key + PROGRESS_SUFFIX, value, 0))
        self._active_writes += 1
        self._store.write(
            Write(tuple(conditions), tuple(puts), tuple(deletes)),
            lambda reply: self._on_written(versions, reply),
        )

    def _on_written(
        self, versions: list[tuple[LiveSubmission, int]], reply: StoreReply
    ) -> None:
        self._active_writes -= 1
        for live, _ in versions:
            self._ids_in_write.discard(live.submission.id)
        if self._stopped:
            return
        if reply.outcome is Outcome.OK:
            for live, version in versions:
                live.progress_revision = reply.revision
                self.scheduler.on_stored(live, version)
            for executor in self.scheduler.executors_by_id.values():
                executor.advance_acknowledged()
            self.request_pass()
            return
        for live, _ in versions:
            if not live.final_stored:
                self.scheduler.unsaved_by_id[live.submission.id] = live
        if reply.outcome is Outcome.CONFLICT:
            self._on_conflict(versions, reply)
        else:
            self._loop.after(RETRY_MS, self.request_pass)

    def _on_conflict(
        self, versions: list[tuple[LiveSubmission, int]], reply: StoreReply
    ) -> None:
        """Adopt the current revisions, since an earlier write may have arrived late."""
        revision_by_key = {item.key: item.revision for item in reply.items}
        if revision_by_key.get(LEADER_KEY, 0) != self.scheduler.fence:
            self._step_down("the leader record has changed")
            return
        for live, _ in versions:
            key = submission_key(live.submission.id) + PROGRESS_SUFFIX
            live.progress_revision = revision_by_key.get(key, 0)
        self.request_pass()

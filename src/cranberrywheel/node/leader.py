"""Drives the scheduler while this process leads: calls, records, time."""

import collections
import time
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import PartLogger
from cranberrywheel.node.duties import Duties
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
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.platform import executors as wire
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.platform.store import Item, Outcome, Store, StoreReply, Write
from cranberrywheel.submission import actions as a
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

#: Longest wait of a look; with the margin of its call a lost look is noticed and made
#: good well within the lease.
LOOK_WAIT_MS = 900
#: Pause between looks, so that ends which come together are fetched together.
LOOK_GAP_MS = 15
#: Pause after a look that got no answer.
LOOK_RETRY_MS = 300
TICK_MS = 100
#: Shortest time between two passes over the waiting work, so that ends which come
#: together are followed by one pass.
PASS_GAP_MS = 3
#: Submissions in one write: each takes a condition and a put, or a condition, a put
#: and three deletions, of 32 entries with the leader's condition.
PROGRESS_BATCH = 6
#: Progress writes under way at once.
MAX_WRITES = 3
#: Starts under way at one executor; each needs a connection of its own.
MAX_STARTS = 2

_log = PartLogger("leader")


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000


class Leader:
    """One leadership of this process. All methods run on the loop's thread.

    :param is_valid: whether nobody else can lead at this moment.
    :param may_continue: whether runs may be kept although the lease has run out.
    :param step_down: called with a reason when another leader was seen.
    :param previous_fence: fence of the leadership before; its account is used.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        client: wire.ExecutorClient,
        advisor: wire.AdvisorClient | None,
        machines: MachineClient | None,
        scheduler: Scheduler,
        is_valid: t.Callable[[], bool],
        may_continue_without_store: t.Callable[[], bool],
        step_down: t.Callable[[str], None],
        previous_fence: int = 0,
    ) -> None:
        self._loop = loop
        self._store = store
        self._previous_fence = previous_fence
        self._account = EMPTY_HANDOVER_RECORD
        self._client = client
        self._advisor = advisor
        self._is_valid = is_valid
        self._may_continue_without_store = may_continue_without_store
        self._step_down = step_down
        self.scheduler = scheduler
        self._stopped = False
        self._pumping = False
        self._last_pass_ms = 0
        self._looking: set[str] = set()
        self._starts: dict[str, int] = {}
        self._start_queues: dict[str, collections.deque[a.StartRun]] = {}
        self._writes = 0
        self._writing: set[str] = set()
        self._recorded_executors: set[str] = set()
        self._executors_ready = False
        self._submissions_ready = False
        self._early_cancels: set[str] = set()
        self._executor_watch = PrefixWatch(
            loop, store, wire.EXECUTOR_PREFIX, self._on_executor, self._on_executors
        )
        self._submission_watch = PrefixWatch(
            loop, store, SUBMISSION_PREFIX, self._on_record, self._on_submissions
        )
        self.duties: Duties | None = None
        if machines is not None:
            self.duties = Duties(loop, store, machines, scheduler, is_valid)

    def start(self) -> None:
        """Load the state, then decide."""
        self._store.read(HANDOVER_KEY, self._on_handover)

    def _on_handover(self, reply: StoreReply) -> None:
        if self._stopped:
            return
        if not reply.outcome.is_answer:
            self._loop.after(LOOK_RETRY_MS, self.start)
            return
        if reply.outcome is Outcome.OK:
            account = decode_handover_record(reply.items[0].value or b"")
            if account is not None and account.fence == self._previous_fence:
                self._account = account
                prepare_takeover(self.scheduler, account, self._loop.clock.now_ms())
        self._read_executors()

    def _read_executors(self) -> None:
        self._store.read_all(EXECUTOR_PREFIX, self._on_recorded_executors)

    def handover_record(self) -> bytes:
        """Return the record of all runs for the next leader."""
        is_complete = self._submissions_ready and self._executors_ready
        now_ms = self._loop.clock.now_ms()
        return encode_handover_record(
            build_handover_record(self.scheduler, is_complete, now_ms)
        )

    def stop(self) -> None:
        """Decide nothing any more."""
        self._stopped = True
        self._executor_watch.stop()
        self._submission_watch.stop()
        if self.duties:
            self.duties.stop()

    @property
    def is_loaded(self) -> bool:
        """Whether all stored submissions are known."""
        return self._submissions_ready

    # Loading

    def _on_recorded_executors(self, reply: StoreReply) -> None:
        if self._stopped:
            return
        if reply.outcome is not Outcome.OK:
            self._loop.after(LOOK_RETRY_MS, self._read_executors)
            return
        now_ms = self._loop.clock.now_ms()
        for item in reply.items:
            executor_id = item.key[len(EXECUTOR_PREFIX) :]
            entry = wire.decode_executor(executor_id, item.value or b"")
            if entry is not None:
                self._recorded_executors.add(executor_id)
                self.scheduler.put_executor(entry, now_ms, registered=False)
        self._executor_watch.start()
        self._submission_watch.start()
        self._loop.after(TICK_MS, self._tick)

    def _on_executors(self) -> None:
        self._executors_ready = True
        self.wake()

    def _on_submissions(self) -> None:
        self._submissions_ready = True
        scheduler = self.scheduler
        _log.event(
            "loaded",
            live=len(scheduler.live_by_id),
            fence=scheduler.fence,
            handed_over=scheduler.handed_over,
            runs=len(self._account.runs),
        )
        apply_handover_record(scheduler, self._account, self._loop.clock.now_ms())
        self._account = EMPTY_HANDOVER_RECORD
        for submission_id in self._early_cancels:
            scheduler.cancel(submission_id, self._loop.clock.now_ms())
        self._early_cancels.clear()
        if self.duties:
            self.duties.start()
        for executor in list(scheduler.executors_by_id.values()):
            self._look_if_wanted(executor)
        self.wake()

    def set_configuration(self, configuration: Configuration) -> None:
        """Take a newer configuration into force."""
        self.scheduler.set_configuration(configuration)
        self.wake()

    def _on_executor(self, item: Item) -> None:
        executor_id = item.key[len(wire.EXECUTOR_PREFIX) :]
        now_ms = self._loop.clock.now_ms()
        if item.value is None:
            self.scheduler.remove_executor(executor_id, now_ms)
            return
        entry = wire.decode_executor(executor_id, item.value)
        if entry is None:
            return
        self.scheduler.put_executor(entry, now_ms)
        self._look_if_wanted(self.scheduler.executors_by_id[executor_id])
        if executor_id not in self._recorded_executors:
            self._recorded_executors.add(executor_id)
            self._record_executor(item, executor_id)
        self.wake()

    def _record_executor(self, item: Item, executor_id: str) -> None:
        put = (EXECUTOR_PREFIX + executor_id, item.value or b"", 0)
        conditions = ((LEADER_KEY, self.scheduler.fence),)

        def on_reply(reply: StoreReply) -> None:
            if not reply.outcome.is_answer and not self._stopped:
                self._loop.after(
                    LOOK_RETRY_MS, lambda: self._record_executor(item, executor_id)
                )

        self._store.write(Write(conditions, (put,)), on_reply)

    def _forget_executor(self, executor_id: str) -> None:
        self._recorded_executors.discard(executor_id)
        conditions = ((LEADER_KEY, self.scheduler.fence),)
        deletes = (EXECUTOR_PREFIX + executor_id,)
        # A record that stays only lets the next leader wait for its lease.
        self._store.write(Write(conditions, (), deletes), lambda reply: None)

    def _on_record(self, item: Item) -> None:
        submission_id, suffix = split_submission_key(item.key)
        if item.value is None:
            return
        try:
            self._apply_record(submission_id, suffix, item)
        except ValueError as error:
            _log.warning("unreadable record", request=submission_id, error=str(error))

    def _apply_record(self, submission_id: str, suffix: str, item: Item) -> None:
        value = item.value or b""
        now_ms = self._loop.clock.now_ms()
        scheduler = self.scheduler
        if not suffix:
            # Pages are sorted by key: a record comes before what belongs to it.
            scheduler.add_submission(
                decode_submission(value), recovered=not self._submissions_ready
            )
            if self._submissions_ready:
                self.wake()
        elif suffix == CANCEL_SUFFIX:
            if self._submissions_ready:
                scheduler.cancel(submission_id, now_ms)
                self.wake()
            else:
                self._early_cancels.add(submission_id)
        elif suffix == PROGRESS_SUFFIX and not self._submissions_ready:
            scheduler.restore(submission_id, decode_progress(value), item.revision)
        elif suffix == FINAL_SUFFIX:
            scheduler.final_state_by_id[submission_id] = decode_final_state(value)

    # Time and orders

    def wake(self) -> None:
        """Decide soon; what happens within a few milliseconds is decided together."""
        if not self._pumping and not self._stopped:
            self._pumping = True
            rest_ms = self._last_pass_ms + PASS_GAP_MS - self._loop.clock.now_ms()
            self._loop.after(max(0, rest_ms), self._pump)

    def _tick(self) -> None:
        if self._stopped:
            return
        self._loop.after(TICK_MS, self._tick)
        self._update_rights()
        self.scheduler.tick(self._loop.clock.now_ms(), unix_ms())
        self._pump()
        if self._submissions_ready:
            for executor in list(self.scheduler.executors_by_id.values()):
                self._look_if_wanted(executor)

    def _pump(self) -> None:
        self._pumping = False
        if self._stopped:
            return
        now_ms = self._loop.clock.now_ms()
        self._last_pass_ms = now_ms
        self._update_rights()
        if self._submissions_ready:
            self.scheduler.schedule(now_ms, unix_ms())
            for action in self.scheduler.take_actions():
                self._carry_out(action)
            self._write_changes()

    def _update_rights(self) -> None:
        away = self._may_continue_without_store()
        self.scheduler.store_unreachable = away
        allowed = self._is_valid() or away
        self.scheduler.may_start = allowed and self._executors_ready

    def _carry_out(self, action: a.Action) -> None:
        if isinstance(action, a.StartRun):
            executor_id = action.run.executor_id
            queue = self._start_queues.setdefault(executor_id, collections.deque())
            queue.append(action)
            self._send_starts(executor_id)
            executor = self.scheduler.executors_by_id.get(executor_id)
            if executor is not None:
                self._look_if_wanted(executor)
        elif isinstance(action, a.StopRun):
            self._send_stop(action)
        elif isinstance(action, a.ThrottleRun):
            self._send_pace(action)
        elif isinstance(action, a.DeleteExecutorRecord):
            self._forget_executor(action.executor_id)
        else:
            self._ask(action)

    def _send_starts(self, executor_id: str) -> None:
        queue = self._start_queues.get(executor_id)
        while queue and self._starts.get(executor_id, 0) < MAX_STARTS:
            action = queue.popleft()
            executor = self.scheduler.executors_by_id.get(executor_id)
            run = action.run
            if executor is None or run.key not in executor.runs:
                continue
            if run.state is not RunState.STARTING or not executor.reachable:
                self.scheduler.discard_run(run)
                continue
            self._send_start(executor, action)

    def _send_start(self, executor: Executor, action: a.StartRun) -> None:
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
        self._starts[executor.id] = self._starts.get(executor.id, 0) + 1

        def on_reply(reply: t.Any) -> None:
            self._starts[executor.id] -= 1
            if self._stopped:
                return
            if not self.scheduler.on_start_reply(run, reply, self._loop.clock.now_ms()):
                self._step_down("an executor has seen a newer fence")
                return
            self._send_starts(executor.id)
            if reply.verdict is not OrderVerdict.OK:
                self.wake()

        self._client.start(executor.entry, order, on_reply)

    def _send_stop(self, action: a.StopRun) -> None:
        executor = self.scheduler.executors_by_id.get(action.executor_id)
        if executor is None:
            return

        def on_reply(reply: t.Any) -> None:
            if not self._stopped and not self.scheduler.on_stop_reply(
                action.run, reply, self._loop.clock.now_ms()
            ):
                self._step_down("an executor has seen a newer fence")

        self._client.stop(
            executor.entry, action.task, action.number, self.scheduler.fence, on_reply
        )

    def _send_pace(self, action: a.ThrottleRun) -> None:
        run = action.run
        executor = self.scheduler.executors_by_id.get(run.executor_id)
        if executor is None:
            return
        _log.event(
            "pace",
            request=run.task.name,
            run=run.number,
            executor=executor.id,
            percent=action.percent,
        )

        def on_reply(reply: t.Any) -> None:
            if reply.verdict is not OrderVerdict.OK:
                run.speed_changed_ms = 0  # decide again at the next look
                run.speed_percent = 100 if action.percent < 100 else 0

        self._client.throttle(
            executor.entry,
            run.task.name,
            run.number,
            action.percent,
            self.scheduler.fence,
            on_reply,
        )

    def _ask(self, action: a.RequestAdvice) -> None:
        def on_reply(tickets: dict[str, str], valid_ms: int) -> None:
            now_ms = self._loop.clock.now_ms()
            self.scheduler.on_advice(action.step, tickets, valid_ms, now_ms)
            self.wake()

        if self._advisor is None:
            on_reply({}, 0)
        else:
            self._advisor.ask(action.step, action.executor_ids, on_reply)

    # Looks

    def _look_if_wanted(self, executor: Executor) -> None:
        # Before the load, a run or an end of a stored submission would be unknown.
        if self._submissions_ready and executor.needs_poll:
            self._look(executor)

    def _look(self, executor: Executor) -> None:
        if executor.id in self._looking or self._stopped:
            return
        if not executor.registered and not executor.runs and executor.fence_confirmed:
            return
        self._looking.add(executor.id)
        now_ms = self._loop.clock.now_ms()
        deadline_ms = 0
        # The lease of a lost executor runs out, so that its tasks can go elsewhere.
        renews = bool(executor.runs) and executor.reachable
        if renews and (self._is_valid() or self._may_continue_without_store()):
            deadline_ms = executor.extend_lease(RUN_LEASE_MS, now_ms)
        was_reachable = executor.reachable
        waits = bool(executor.runs) and executor.fence_confirmed and executor.reachable

        def on_poll_reply(look: PollReply) -> None:
            self._looking.discard(executor.id)
            if self._stopped:
                return
            known = self.scheduler.executors_by_id.get(executor.id)
            if not self.scheduler.on_poll_reply(
                executor.id, look, now_ms, self._loop.clock.now_ms()
            ):
                self._step_down("an executor has seen a newer fence")
                return
            self.wake()
            if known is not None and known.needs_poll:
                # A single look may be lost alone; its repetition tells.
                again_at_once = look.verdict is OrderVerdict.OK or was_reachable
                delay_ms = LOOK_GAP_MS if again_at_once else LOOK_RETRY_MS
                self._looking.add(executor.id)

                def again() -> None:
                    self._looking.discard(executor.id)
                    if known.needs_poll and executor.id in (
                        self.scheduler.executors_by_id
                    ):
                        self._look(known)

                self._loop.after(delay_ms, again)

        self._client.poll(
            executor.entry,
            self.scheduler.fence,
            executor.acknowledged_sequence,
            deadline_ms,
            LOOK_WAIT_MS if waits else 0,
            on_poll_reply,
        )

    # Records

    def _write_changes(self) -> None:
        changed = self.scheduler.unsaved_by_id
        while changed and self._writes < MAX_WRITES:
            batch = [live for key, live in changed.items() if key not in self._writing]
            if not batch:
                return
            self._write_batch(batch[:PROGRESS_BATCH])

    def _write_batch(self, batch: list[LiveSubmission]) -> None:
        conditions: list[tuple[str, int]] = [(LEADER_KEY, self.scheduler.fence)]
        puts: list[tuple[str, bytes, int]] = []
        deletes: list[str] = []
        versions: list[tuple[LiveSubmission, int]] = []
        for live in batch:
            submission_id = live.submission.id
            key = submission_key(submission_id)
            self.scheduler.unsaved_by_id.pop(submission_id, None)
            self._writing.add(submission_id)
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
        self._writes += 1
        self._store.write(
            Write(tuple(conditions), tuple(puts), tuple(deletes)),
            lambda reply: self._on_written(versions, reply),
        )

    def _on_written(
        self, versions: list[tuple[LiveSubmission, int]], reply: StoreReply
    ) -> None:
        self._writes -= 1
        for live, _ in versions:
            self._writing.discard(live.submission.id)
        if self._stopped:
            return
        if reply.outcome is Outcome.OK:
            for live, version in versions:
                live.progress_revision = reply.revision
                self.scheduler.on_stored(live, version)
            for executor in self.scheduler.executors_by_id.values():
                executor.advance_acknowledged()
            self.wake()
            return
        for live, _ in versions:
            if not live.final_stored:
                self.scheduler.unsaved_by_id[live.submission.id] = live
        if reply.outcome is Outcome.CONFLICT:
            self._on_conflict(versions, reply)
        else:
            self._loop.after(LOOK_RETRY_MS, self.wake)

    def _on_conflict(
        self, versions: list[tuple[LiveSubmission, int]], reply: StoreReply
    ) -> None:
        """Learn the present revisions: an earlier write may have come late."""
        revision_by_key = {item.key: item.revision for item in reply.items}
        if revision_by_key.get(LEADER_KEY, 0) != self.scheduler.fence:
            self._step_down("the leader record has changed")
            return
        for live, _ in versions:
            key = submission_key(live.submission.id) + PROGRESS_SUFFIX
            live.progress_revision = revision_by_key.get(key, 0)
        self.wake()

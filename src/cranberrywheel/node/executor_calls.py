"""Calls to executors, which the leader makes for the scheduler: orders and polls."""

import collections
import dataclasses
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.platform import executors as wire
from cranberrywheel.submission import actions
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import (
    OrderVerdict,
    PollReply,
    StartOrder,
)
from cranberrywheel.submission.live import RunState
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel.submission.state import RUN_LEASE_MS

#: Longest time for which an executor holds a poll open. With the margin of the call, a
#: lost poll is detected and repeated well within the lease.
POLL_WAIT_MS = 900
#: Delay before the next poll, so that completions in quick succession share one reply.
POLL_DELAY_MS = 15
#: Delay before the poll of an unreachable executor is repeated.
RETRY_MS = 300
#: Concurrent start calls to one executor; each needs its own connection.
MAX_CONCURRENT_STARTS = 2

_log = ComponentLogger("leader")


class ExecutorCalls:
    """Orders and polls of one leadership. All methods run on the loop's thread.

    :param may_renew_leases: returns whether no other process can lead at this moment,
        so that the leases of runs may be extended.
    :param update_permissions: tells the scheduler whether it may start runs.
    :param request_pass: requests a scheduling pass.
    :param step_down: called with a reason when there is a newer leader.
    """

    def __init__(
        self,
        loop: HttpLoop,
        client: wire.ExecutorClient,
        scheduler: Scheduler,
        may_renew_leases: t.Callable[[], bool],
        update_permissions: t.Callable[[], None],
        request_pass: t.Callable[[], None],
        step_down: t.Callable[[str], None],
    ) -> None:
        self._loop = loop
        self._client = client
        self._scheduler = scheduler
        self._may_renew_leases = may_renew_leases
        self._update_permissions = update_permissions
        self._request_pass = request_pass
        self._step_down = step_down
        self._started = False
        self._stopped = False
        #: Executors with a poll under way or due soon, by id and boot. The poll of an
        #: earlier boot must not delay the first poll of a new one.
        self._polled_boots: set[tuple[str, int]] = set()
        self._start_count_by_executor: dict[str, int] = {}
        #: Fencing tokens of the polls with a sequence number to acknowledge that are
        #: not answered, by executor id.
        self._acknowledging_fences: dict[str, list[int]] = {}
        self._start_queue_by_executor: dict[
            str, collections.deque[actions.StartRun]
        ] = {}

    def start(self) -> None:
        """Poll all executors; before, the runs that they report would be unknown."""
        self._started = True
        self.poll_all()

    def stop(self) -> None:
        """Make no further calls and ignore answers that are still outstanding."""
        self._stopped = True

    def poll_all(self) -> None:
        """Poll each executor that needs it."""
        for executor in list(self._scheduler.executors_by_id.values()):
            self.poll_if_needed(executor)

    def execute(self, action: actions.Action) -> None:
        """Carry out an action of the scheduler."""
        if isinstance(action, actions.StartRun):
            executor_id = action.run.executor_id
            queue = self._start_queue_by_executor.setdefault(
                executor_id, collections.deque()
            )
            queue.append(action)
            self._send_starts(executor_id)
            executor = self._scheduler.executors_by_id.get(executor_id)
            if executor is not None:
                self.poll_if_needed(executor)
        elif isinstance(action, actions.StopRun):
            self._send_stop(action)
        elif isinstance(action, actions.ThrottleRun):
            self._send_throttle(action)

    def _send_starts(self, executor_id: str) -> None:
        queue = self._start_queue_by_executor.get(executor_id)
        # Read before the check: after a pause in between, a deadline that counts from
        # the end of the pause would outlast the leadership.
        now_ms = self._loop.clock.now_ms()
        if queue:
            # A start may have waited here since the pass. Meanwhile the lease may have
            # expired, or the zone may have been evacuated.
            self._update_permissions()
        while (
            queue
            and self._start_count_by_executor.get(executor_id, 0)
            < MAX_CONCURRENT_STARTS
        ):
            action = queue.popleft()
            executor = self._scheduler.executors_by_id.get(executor_id)
            run = action.run
            if executor is None or run.key not in executor.runs:
                continue
            if (
                run.state is not RunState.STARTING
                or not executor.reachable
                or executor.boot_doubtful_ms
                or executor.evacuated
                or now_ms < executor.start_pause_end_ms
                or not self._scheduler.may_start
                or not self._scheduler.zones_current
            ):
                _log.event(
                    "start not sent, task requeued",
                    request=run.task.name,
                    run=run.number,
                    executor=executor_id,
                    state=run.state.value,
                    reachable=executor.reachable,
                )
                self._scheduler.discard_run(run)
                continue
            self._send_start(executor, action, now_ms)

    def _send_start(
        self, executor: Executor, action: actions.StartRun, now_ms: int
    ) -> None:
        """Send a start.

        :param now_ms: time from which its lease counts.
        """
        run = action.run
        task = run.task
        self._outdate_acknowledgements(executor)
        order = StartOrder(
            task=task.name,
            number=run.number,
            payload=task.step_run.live.submission.payload,
            deadline_ms=executor.extend_lease(RUN_LEASE_MS, now_ms),
            fence=self._scheduler.get_fence(executor.id),
            checkpoint=task.checkpoint,
            ticket=run.ticket,
        )
        self._start_count_by_executor[executor.id] = (
            self._start_count_by_executor.get(executor.id, 0) + 1
        )

        def on_reply(reply: t.Any) -> None:
            self._start_count_by_executor[executor.id] -= 1
            if self._stopped:
                return
            reply = self._mark_overtaken(executor.id, order.fence, reply)
            if not self._scheduler.on_start_reply(
                run, reply, self._loop.clock.now_ms()
            ):
                self._step_down("an executor has seen a newer fencing token")
                return
            self._send_starts(executor.id)
            if reply.verdict is OrderVerdict.DUPLICATE:
                # A poll in the millisecond of the answer would prove nothing.
                self._loop.after(1, lambda: self._poll_once(executor))
            if executor.boot_doubtful_ms:
                self._poll_once(executor)
            if reply.verdict is not OrderVerdict.OK:
                self._request_pass()

        self._client.start(executor.entry, order, on_reply)

    def _mark_overtaken(self, executor_id: str, fence: int, reply: t.Any) -> t.Any:
        """Tell a refusal for a higher token of this leader from one of a newer leader.

        :param fence: fencing token of the order.
        """
        if reply.verdict is OrderVerdict.FENCED and fence < self._scheduler.get_fence(
            executor_id
        ):
            return dataclasses.replace(reply, verdict=OrderVerdict.OVERTAKEN)
        return reply

    def _outdate_acknowledgements(self, executor: Executor) -> None:
        """Give the next order a higher token than any poll that may acknowledge ends.

        If the executor has restarted unnoticed, such a poll may arrive after the end of
        a run that the order starts, and make the new process forget that end.
        """
        fences = self._acknowledging_fences.get(executor.id)
        if not fences:
            return
        if max(fences) >= self._scheduler.get_fence(executor.id):
            self._scheduler.raise_fence(executor)
        fence = self._scheduler.get_fence(executor.id)
        self._acknowledging_fences[executor.id] = [
            other for other in fences if other >= fence
        ]

    def _choose_acknowledged(self, executor: Executor) -> int:
        """Return the sequence number that the next poll acknowledges; 0 for none.

        A start that is not answered may have reached a process that has just begun. Its
        ends would be forgotten by the numbers of the former one.
        """
        if any(run.state is RunState.STARTING for run in executor.runs.values()):
            return 0
        acknowledged = executor.sequence_to_acknowledge
        if acknowledged:
            self._acknowledging_fences.setdefault(executor.id, []).append(
                self._scheduler.get_fence(executor.id)
            )
        return acknowledged

    def _end_acknowledgement(self, executor: Executor, fence: int) -> None:
        """Note that a poll with a sequence number has been answered."""
        fences = self._acknowledging_fences.get(executor.id, [])
        if fence in fences:
            fences.remove(fence)
        if not fences:
            self._acknowledging_fences.pop(executor.id, None)

    def _send_stop(self, action: actions.StopRun) -> None:
        executor = self._scheduler.executors_by_id.get(action.executor_id)
        if executor is None:
            return
        boot = executor.boot
        fence = self._scheduler.get_fence(executor.id)

        def on_reply(reply: t.Any) -> None:
            if self._stopped:
                return
            reply = self._mark_overtaken(executor.id, fence, reply)
            now_ms = self._loop.clock.now_ms()
            # An earlier boot has taken its stops with it.
            run = action.run if executor.boot == boot else None
            if not self._scheduler.on_stop_reply(run, reply, now_ms):
                self._step_down("an executor has seen a newer fencing token")
            elif action.run is not None and reply.verdict is OrderVerdict.OK:
                if not action.run.is_confirmed:
                    self._poll_once(executor)

        self._client.stop(executor.entry, action.task, action.number, fence, on_reply)

    def _send_throttle(self, action: actions.ThrottleRun) -> None:
        run = action.run
        executor = self._scheduler.executors_by_id.get(run.executor_id)
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
            self._scheduler.get_fence(executor.id),
            on_reply,
        )

    # Polls of executors

    def poll_if_needed(self, executor: Executor) -> None:
        """Poll an executor unless a poll is under way or nothing can run there."""
        if self._started and executor.needs_poll:
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
        if executor.boot_doubtful_ms:
            renews = False  # the deadline would be on the clock of a former process
        if renews and self._may_renew_leases():
            deadline_ms = executor.extend_lease(RUN_LEASE_MS, now_ms)
        was_reachable = executor.reachable
        acknowledged = self._choose_acknowledged(executor)
        fence = self._scheduler.get_fence(executor.id)
        holds_open = (
            bool(executor.runs or executor.untracked_runs)
            and executor.fence_confirmed
            and executor.reachable
        )

        def on_poll_reply(reply: PollReply) -> None:
            self._polled_boots.discard((executor.id, boot))
            if self._stopped:
                return
            if self._mark_overtaken(executor.id, fence, reply) is not reply:
                return  # repeated by the next tick
            if reply.verdict is OrderVerdict.UNKNOWN and (acknowledged or deadline_ms):
                self._scheduler.raise_fence(executor, "a poll got no answer")
            current = self._scheduler.executors_by_id.get(executor.id)
            if (
                current is not None
                and boot
                and current.boot != boot
                and reply.verdict not in (OrderVerdict.OK, OrderVerdict.FENCED)
            ):
                # What became of the earlier boot or its address tells nothing about
                # the new one.
                self.poll_if_needed(current)
                return
            if not self._scheduler.on_poll_reply(
                executor.id, reply, now_ms, self._loop.clock.now_ms()
            ):
                self._step_down("an executor has seen a newer fencing token")
                return
            if acknowledged and reply.verdict is OrderVerdict.OK:
                self._end_acknowledgement(executor, fence)
            if reply.verdict is OrderVerdict.OK and executor.boot == boot:
                executor.forgotten_sequence = max(
                    executor.forgotten_sequence, acknowledged
                )
            self._request_pass()
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
                        self._scheduler.executors_by_id
                    ):
                        self._poll_executor(current)

                self._loop.after(delay_ms, poll_again)

        self._client.poll(
            executor.entry,
            fence,
            acknowledged,
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
            self._scheduler.on_poll_reply(executor.id, reply, sent_ms, now_ms)
            self._request_pass()

        self._client.poll(
            executor.entry,
            self._scheduler.get_fence(executor.id),
            0,
            0,
            0,
            on_reply,
        )

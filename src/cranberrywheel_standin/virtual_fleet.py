"""Simulated store and executors in virtual time, for tests of faults and load.

The classes have the methods of the real clients, so that the leader and the
scheduler run on them unchanged. All events of a test are timers of one
:class:`VirtualLoop`.
"""

import dataclasses
import heapq
import itertools
import random
import typing as t

from cranberrywheel.clock import Clock, ManualClock
from cranberrywheel.platform.executors import (
    CALL_TIMEOUT_MS,
    EXECUTOR_PREFIX,
    POLL_MARGIN_MS,
    encode_executor,
)
from cranberrywheel.platform.store import WATCH_MARGIN_MS, Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply, Write
from cranberrywheel.submission.executor_orders import (
    CompletionReport,
    ExecutorEntry,
    OrderReply,
    OrderVerdict,
    PollReply,
    RunningReport,
    RunOutcome,
    StartOrder,
)
from cranberrywheel.submission.model import Resources
from cranberrywheel_standin.advisor import AdvisorState

#: Delay of a message in one direction between a node and the platform.
NETWORK_DELAY_MS = 2
#: Default time from an accepted stop to the end of the run.
STOP_DURATION_MS = 100
#: Interval at which a long poll checks for news.
POLL_INTERVAL_MS = 5
#: Longest lease that an executor grants, whatever deadline an order carries.
MAX_LEASE_MS = 10_000
#: Unix time at which the virtual clock starts.
UNIX_START_MS = 1_700_000_000_000


class VirtualLoop:
    """Timers on a manual clock; stands in for ``HttpLoop``."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000)
        self._timers: list[tuple[int, int, t.Callable[[], None]]] = []
        self._timer_sequence = itertools.count()

    def after(self, delay_ms: int, function: t.Callable[[], None]) -> None:
        """Run a function once after a delay."""
        due_ms = self.clock.now_ms() + max(0, delay_ms)
        heapq.heappush(self._timers, (due_ms, next(self._timer_sequence), function))

    def post(self, function: t.Callable[[], None]) -> None:
        """Run a function as soon as the timers that are due now have run."""
        self.after(0, function)

    def run_for(self, duration_ms: int) -> None:
        """Advance the clock by a duration and run the timers that become due."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._timers and self._timers[0][0] <= end_ms:
            due_ms, _, function = heapq.heappop(self._timers)
            self.clock.advance(max(0, due_ms - self.clock.now_ms()))
            function()
        self.clock.advance(end_ms - self.clock.now_ms())


class ProcessLoop:
    """Loop of one process, which can be frozen; stands in for ``HttpLoop``.

    :param random: decides the order of what is handled when the process resumes.
    """

    def __init__(self, loop: VirtualLoop, random: random.Random) -> None:
        self._loop = loop
        self._random = random
        self.clock = loop.clock
        self.is_frozen = False
        self._due_timers: list[t.Callable[[], None]] = []
        self._due_replies: list[t.Callable[[], None]] = []

    def after(self, delay_ms: int, function: t.Callable[[], None]) -> None:
        """Run a function once after a delay, or when the process resumes."""

        def run_timer() -> None:
            if self.is_frozen:
                self._due_timers.append(function)
            else:
                function()

        self._loop.after(delay_ms, run_timer)

    def post(self, function: t.Callable[[], None]) -> None:
        """Run a function as soon as the timers that are due now have run."""
        self.after(0, function)

    def handle_reply(self, function: t.Callable[[], None]) -> None:
        """Handle a reply now, or when the process resumes."""
        if self.is_frozen:
            self._due_replies.append(function)
        else:
            function()

    def freeze(self, duration_ms: int) -> None:
        """Stop the process for a time; then it handles all that is due.

        Replies on different connections are handled in any order, before or after the
        timers.
        """
        if not self.is_frozen:
            self.is_frozen = True
            self._loop.after(duration_ms, self._resume)

    def _resume(self) -> None:
        self.is_frozen = False
        self._random.shuffle(self._due_replies)
        groups = [self._due_timers, self._due_replies]
        self._random.shuffle(groups)
        functions = [function for group in groups for function in group]
        self._due_timers, self._due_replies = [], []
        for function in functions:
            function()


class ProcessClient:
    """Calls of a process, whose callbacks wait while the process is frozen.

    :param client: client that makes the calls.
    """

    def __init__(self, client: t.Any, loop: ProcessLoop) -> None:
        self._client = client
        self._loop = loop

    def __getattr__(self, name: str) -> t.Any:
        method = getattr(self._client, name)

        def defer(callback: t.Any) -> t.Any:
            if not callable(callback):
                return callback
            return lambda *args: self._loop.handle_reply(lambda: callback(*args))

        def call(*args: t.Any, **kwargs: t.Any) -> t.Any:
            return method(
                *map(defer, args),
                **{key: defer(value) for key, value in kwargs.items()},
            )

        return call


class StoreState:
    """Content of the key-value service: items, leases and change history.

    :param clock: clock by which leases expire.
    :ivar writes: number of conditional writes that were attempted.
    :ivar reads: number of reads of all keys under a prefix.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.revision = 0
        self.item_by_key: dict[str, Item] = {}
        self.lease_by_key: dict[str, int] = {}
        self.writes = 0
        self.reads = 0
        self._lease_times_by_id: dict[int, tuple[int, int]] = {}
        self._history: list[Item] = []
        self._dropped_revision = 0
        self._lease_ids = itertools.count(1)

    def _set_item(self, key: str, value: bytes | None) -> None:
        item = Item(key, value, self.revision)
        self._history.append(item)
        if value is None:
            self.item_by_key.pop(key, None)
            self.lease_by_key.pop(key, None)
        else:
            self.item_by_key[key] = item

    def put(self, key: str, value: bytes) -> None:
        """Write a key without conditions, as an operator or an executor does."""
        self.revision += 1
        self._set_item(key, value)

    def delete(self, key: str) -> None:
        """Delete a key without conditions, as an executor does when it leaves."""
        self.revision += 1
        self._set_item(key, None)

    def _expire_leases(self) -> None:
        now_ms = self._clock.now_ms()
        for lease in [
            lease
            for lease, (end_ms, _) in self._lease_times_by_id.items()
            if end_ms <= now_ms
        ]:
            self.end_lease(lease)

    def read(self, key: str) -> StoreReply:
        """Read one key."""
        self._expire_leases()
        item = self.item_by_key.get(key)
        if item is None:
            return StoreReply(Outcome.ABSENT, revision=self.revision)
        return StoreReply(Outcome.OK, (item,), self.revision)

    def read_all(self, prefix: str) -> StoreReply:
        """Read all keys under a prefix."""
        self._expire_leases()
        self.reads += 1
        items = [
            item
            for key, item in sorted(self.item_by_key.items())
            if key.startswith(prefix)
        ]
        return StoreReply(Outcome.OK, tuple(items), self.revision)

    def drop_history(self) -> None:
        """Forget all changes so far."""
        self._dropped_revision = self.revision
        self._history.clear()

    def events(self, prefix: str, after: int) -> StoreReply:
        """Return the changes under a prefix after a revision."""
        self._expire_leases()
        if after < self._dropped_revision:
            return StoreReply(Outcome.COMPACTED)
        events = [
            item
            for item in reversed(self._history)
            if item.revision > after and item.key.startswith(prefix)
        ]
        return StoreReply(Outcome.OK, tuple(reversed(events)), self.revision)

    def write(self, write: Write) -> StoreReply:
        """Apply a conditional write completely or not at all.

        :returns: ``CONFLICT`` with the current items if a condition does not hold,
            ``ABSENT`` if a lease has expired, otherwise ``OK``.
        """
        self._expire_leases()
        self.writes += 1
        current_items = [
            self.item_by_key.get(key, Item(key, None, 0)) for key, _ in write.conditions
        ]
        for (_, revision), item in zip(write.conditions, current_items, strict=True):
            if item.revision != revision:
                return StoreReply(
                    Outcome.CONFLICT,
                    tuple(item for item in current_items if item.revision),
                )
        if any(
            lease and lease not in self._lease_times_by_id for _, _, lease in write.puts
        ):
            return StoreReply(Outcome.ABSENT)
        self.revision += 1
        for key, value, lease in write.puts:
            self._set_item(key, value)
            if lease:
                self.lease_by_key[key] = lease
        for key in write.deletes:
            if key in self.item_by_key:
                self._set_item(key, None)
        return StoreReply(Outcome.OK, revision=self.revision)

    def grant_lease(self, ttl_ms: int) -> StoreReply:
        """Create a lease."""
        lease = next(self._lease_ids)
        self._lease_times_by_id[lease] = (self._clock.now_ms() + ttl_ms, ttl_ms)
        return StoreReply(Outcome.OK, lease=lease, ttl_ms=ttl_ms)

    def renew_lease(self, lease: int) -> StoreReply:
        """Renew a lease; returns ``ABSENT`` if it has expired."""
        self._expire_leases()
        if lease not in self._lease_times_by_id:
            return StoreReply(Outcome.ABSENT)
        ttl_ms = self._lease_times_by_id[lease][1]
        self._lease_times_by_id[lease] = (self._clock.now_ms() + ttl_ms, ttl_ms)
        return StoreReply(Outcome.OK, ttl_ms=ttl_ms)

    def end_lease(self, lease: int) -> StoreReply:
        """End a lease and delete its keys."""
        self._lease_times_by_id.pop(lease, None)
        for key in [
            key for key, key_lease in self.lease_by_key.items() if key_lease == lease
        ]:
            self.delete(key)
        return StoreReply(Outcome.OK)


class VirtualStore(StoreState):
    """Key-value service behind a network with delays.

    :ivar unreachable: no call is answered while this is true.
    :ivar lost_answer_share: share of the calls, from 0 to 1, that get no answer and
        take effect seconds later.
    :ivar delay_ms_by_prefix: additional time that reading all keys under a prefix
        takes.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop.clock)
        self._loop = loop
        self.unreachable = False
        self.lost_answer_share = 0.0
        self.random = random.Random(1)
        self.delay_ms_by_prefix: dict[str, int] = {}

    def build_client(self) -> Store:
        """Build a client that has the methods of ``Store``."""
        return t.cast(Store, VirtualStoreClient(self._loop, self))


class VirtualStoreClient:
    """Client of a virtual store; stands in for ``Store``.

    :ivar watches_silent: watches that are waiting get no answer.
    :ivar unreachable: no call of this client is answered while this is true.
    :ivar failing_reads: number of next reads whose connection breaks midway.
    """

    def __init__(self, loop: VirtualLoop, store: VirtualStore) -> None:
        self._loop = loop
        self._store = store
        self.watches_silent = False
        self.unreachable = False
        self.failing_reads = 0

    def _call_store(
        self,
        done: t.Callable[[StoreReply], None],
        operation: t.Callable[[], StoreReply],
        delay_ms: int = NETWORK_DELAY_MS,
        timeout_ms: int = 800,
    ) -> None:
        def process_call() -> None:
            is_lost = self._store.random.random() < self._store.lost_answer_share
            if self._store.unreachable or self.unreachable or is_lost:
                self._loop.after(timeout_ms, lambda: done(StoreReply(Outcome.UNKNOWN)))
                if is_lost:
                    late_ms = self._store.random.randint(1_000, 6_000)
                    self._loop.after(late_ms, operation)
                return
            reply = operation()
            self._loop.after(NETWORK_DELAY_MS, lambda: done(reply))

        self._loop.after(delay_ms, process_call)

    def read(self, key: str, done: t.Callable[[StoreReply], None]) -> None:
        """See ``Store.read``."""
        self._call_store(done, lambda: self._store.read(key))

    def read_all(
        self,
        prefix: str,
        done: t.Callable[[StoreReply], None],
        on_data: t.Callable[[], None] = lambda: None,
    ) -> None:
        """See ``Store.read_all``."""
        delay_ms = NETWORK_DELAY_MS + self._store.delay_ms_by_prefix.get(prefix, 0)
        if self.failing_reads:
            self.failing_reads -= 1
            self._loop.after(delay_ms, lambda: done(StoreReply(Outcome.UNKNOWN)))
            return
        self._call_store(done, lambda: self._store.read_all(prefix), delay_ms)

    def watch(
        self,
        prefix: str,
        after: int,
        wait_ms: int,
        done: t.Callable[[StoreReply], None],
        on_data: t.Callable[[], None] = lambda: None,
    ) -> None:
        """See ``Store.watch``."""
        wait_end_ms = self._loop.clock.now_ms() + wait_ms

        def poll() -> None:
            timed_out = self._loop.clock.now_ms() >= wait_end_ms
            if self.watches_silent:
                timeout_ms = max(0, wait_end_ms - self._loop.clock.now_ms())
                timeout_ms += WATCH_MARGIN_MS
                self._loop.after(timeout_ms, lambda: done(StoreReply(Outcome.UNKNOWN)))
                return
            reply = self._store.events(prefix, after)
            if self._store.unreachable and timed_out:
                done(StoreReply(Outcome.UNKNOWN))
            elif not self._store.unreachable and (reply.items or timed_out):
                self._loop.after(NETWORK_DELAY_MS, lambda: done(reply))
            else:
                self._loop.after(POLL_INTERVAL_MS, poll)

        self._loop.after(NETWORK_DELAY_MS, poll)

    def write(self, write: Write, done: t.Callable[[StoreReply], None]) -> None:
        """See ``Store.write``."""
        self._call_store(done, lambda: self._store.write(write))

    def grant_lease(self, ttl_ms: int, done: t.Callable[[StoreReply], None]) -> None:
        """See ``Store.grant_lease``."""
        self._call_store(done, lambda: self._store.grant_lease(ttl_ms))

    def renew_lease(
        self, lease: int, done: t.Callable[[StoreReply], None], timeout_ms: int = 0
    ) -> None:
        """See ``Store.renew_lease``."""
        self._call_store(
            done,
            lambda: self._store.renew_lease(lease),
            timeout_ms=timeout_ms or 800,
        )


@dataclasses.dataclass
class VirtualRun:
    """One run of a task on an executor.

    :param end_ms: time at which the run ends unless it is stopped or its lease expires
        before.
    :param outcome: how it ends then.
    :param stop_end_ms: time at which an ordered stop ends it.
    """

    task: str
    number: int
    end_ms: int
    start_ms: int
    outcome: RunOutcome = RunOutcome.DONE
    stop_end_ms: int | None = None

    @property
    def stopping(self) -> bool:
        """Whether a stop was ordered."""
        return self.stop_end_ms is not None

    @property
    def next_end_ms(self) -> int:
        """Time of its end by itself or by a stop."""
        if self.stop_end_ms is None:
            return self.end_ms
        return min(self.end_ms, self.stop_end_ms)

    @property
    def next_outcome(self) -> RunOutcome:
        """Outcome at that time; a run may be done before its stop takes effect."""
        if self.next_end_ms < self.end_ms:
            return RunOutcome.STOPPED
        return self.outcome


@dataclasses.dataclass
class DoneEnd:
    """End of a run with the outcome ``DONE``.

    :param acknowledged: a leader has acknowledged it within the lease.
    :param later_start: description of a start of the task after the end; empty while
        there is none.
    """

    executor_id: str
    boot: int
    sequence: int
    number: int
    end_ms: int
    acknowledged: bool = False
    later_start: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageFaults:
    """Random faults of each call to an executor. Shares are from 0 to 1.

    :param delay_ms: longest usual delay in each direction, in milliseconds.
    :param slow_share: share of the directions that are slow.
    :param slow_delay_ms: longest delay of a slow direction, in milliseconds.
    :param lost_share: share of the calls that are never carried out.
    :param unanswered_share: share of the calls whose answer is lost.
    :param late_share: share of the calls that time out and are carried out later.
    :param late_ms: longest time until then, in milliseconds.
    :param refused_share: share of the calls that an executor refuses without effect.
    :param repeated_share: share of the calls whose connection ends without an answer,
        so that the client library makes them again, except for starts. It does so on
        connections that have served a call before.
    """

    delay_ms: int = 4
    slow_share: float = 0.0
    slow_delay_ms: int = 300
    lost_share: float = 0.0
    unanswered_share: float = 0.0
    late_share: float = 0.0
    late_ms: int = 5_000
    refused_share: float = 0.0
    repeated_share: float = 0.0


class VirtualExecutor:
    """One executor: its runs, lease, fencing token and unacknowledged completions.

    :ivar isolated: no call reaches the executor and no answer leaves it.
    :ivar crashed: its process has ended and refuses connections.
    :ivar replaced: another executor answers at its address.
    :ivar guards: it refuses runs beyond its capacity; otherwise it starts them, which
        the fleet records as a violation.
    :ivar unanswered_start_share: share of the starts, from 0 to 1, that get no answer
        and take effect late.
    :ivar start_delay_ms: additional time that a start takes to arrive.
    :ivar fails_all_runs: every run ends with the outcome ``FAILED``.
    :ivar slowdown_factor: factor on the duration of its runs.
    :ivar startup_ms: time for which a run takes no progress after its start.
    :ivar failed_share: share of the runs, from 0 to 1, that end early as ``FAILED``.
    :ivar clock_rate: rate of its own clock; less than 1 for a slow clock.
    :ivar deadline_ms: end of the lease, on the executor's own clock.
    :ivar last_lapse_ms: when its lease last expired; 0 if it never did.
    :ivar held_up: deliveries of messages that a cut holds up.
    :ivar completions: ended runs that the leader has not acknowledged yet.
    :ivar highest_ended_by_task: highest number of an ended run, by task.
    """

    def __init__(
        self, clock: Clock, entry: ExecutorEntry, fleet: "VirtualFleet"
    ) -> None:
        self._clock = clock
        self.entry = entry
        self._fleet = fleet
        self.isolated = False
        self.crashed = False
        self.replaced = False
        self.guards = True
        self.unanswered_start_share = 0.0
        self.start_delay_ms = 0
        self.fails_all_runs = False
        self.slowdown_factor = 1
        self.startup_ms = 0
        self.failed_share = 0.0
        self.clock_rate = 1.0
        self.fence = 0
        self.deadline_ms = 0
        self.last_lapse_ms = 0
        self.held_up: list[t.Callable[[], None]] = []
        self.boot = entry.boot
        self.runs: dict[tuple[str, int], VirtualRun] = {}
        self.completions: list[CompletionReport] = []
        self.sequence = 0
        self.acknowledged = 0
        self.highest_ended_by_task: dict[str, int] = {}

    def read_clock_ms(self) -> int:
        """Return the executor's own clock: milliseconds since its boot."""
        return int((self._clock.now_ms() - self.boot) * self.clock_rate)

    def _extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease; a longer one than allowed is shortened."""
        longest_ms = self.read_clock_ms() + MAX_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def compute_used_cpu(self) -> int:
        """Return the cpu that the runs use, in thousandths of a core."""
        return sum(self._fleet.get_cpu(run.task) for run in self.runs.values())

    def end_due_runs(self) -> None:
        """End the runs whose time is over or whose lease has expired."""
        now_ms = self._clock.now_ms()
        lease_expiry_ms = self.boot + int(self.deadline_ms / self.clock_rate)
        for run in sorted(self.runs.values(), key=lambda run: run.next_end_ms):
            if run.next_end_ms <= min(now_ms, lease_expiry_ms):
                outcome = run.next_outcome
                if self.fails_all_runs and outcome is RunOutcome.DONE:
                    outcome = RunOutcome.FAILED
                self._end_run(run, outcome)
        if now_ms > lease_expiry_ms:
            if self.deadline_ms:
                self.last_lapse_ms = lease_expiry_ms
            for run in list(self.runs.values()):
                self._end_run(run, RunOutcome.EXPIRED)

    def _end_run(self, run: VirtualRun, outcome: RunOutcome) -> None:
        del self.runs[run.task, run.number]
        self.sequence += 1
        self.completions.append(
            CompletionReport(self.sequence, run.task, run.number, outcome, "")
        )
        self.highest_ended_by_task[run.task] = max(
            run.number, self.highest_ended_by_task.get(run.task, 0)
        )
        self._fleet.record_end(self, run, outcome)

    def restart(self, registers: bool = False) -> None:
        """Lose all runs and state and begin a new boot.

        :param registers: writes the new boot to its entry in the store at once;
            otherwise only its answers name it.
        """
        self._end_process()
        self.crashed = False
        self.boot = self._clock.now_ms()
        self.sequence = self.fence = self.deadline_ms = self.last_lapse_ms = 0
        self.highest_ended_by_task.clear()
        if registers:
            self._fleet.register(dataclasses.replace(self.entry, boot=self.boot))

    def _end_process(self) -> None:
        self._fleet.record_restart(self)
        self.runs.clear()
        self.completions.clear()

    def crash(self) -> None:
        """End the process, which refuses connections until it is restarted."""
        self._end_process()
        self.crashed = True

    def set_capacity(self, cpu: int) -> None:
        """Change the capacity, in thousandths of a core, and register it."""
        capacity = dataclasses.replace(self.entry.capacity, cpu=cpu)
        self.entry = dataclasses.replace(self.entry, capacity=capacity)
        self._fleet.register(self.entry)

    def start(self, order: StartOrder) -> OrderReply:
        """Start a run.

        :returns: ``FENCED`` if a newer fencing token was seen before, ``LATE``
            after the lease's end, ``TICKET`` without a valid ticket of the advisor,
            ``DUPLICATE`` if the run has ended, ``NO_CAPACITY`` if it does not fit,
            otherwise ``OK``.
        """
        self.end_due_runs()
        if order.fence < self.fence:
            return OrderReply(OrderVerdict.FENCED, self.read_clock_ms())
        self.fence = order.fence
        if order.deadline_ms <= self.read_clock_ms():
            return OrderReply(OrderVerdict.LATE, self.read_clock_ms())
        if not self._fleet.accepts_ticket(self, order):
            return OrderReply(OrderVerdict.TICKET, self.read_clock_ms())
        self._extend_lease(order.deadline_ms)
        if (order.task, order.number) in self.runs:
            return OrderReply(OrderVerdict.OK, self.read_clock_ms())
        if order.number <= self.highest_ended_by_task.get(order.task, 0):
            return OrderReply(OrderVerdict.DUPLICATE, self.read_clock_ms())
        if (
            self.compute_used_cpu() + self._fleet.get_cpu(order.task)
            > self.entry.capacity.cpu
        ):
            if self.guards:
                self._fleet.rejections += 1
                return OrderReply(OrderVerdict.NO_CAPACITY, self.read_clock_ms())
            self._fleet.violations.append(
                f"{order.task} started beyond the capacity of {self.entry.id}"
            )
        now_ms = self._clock.now_ms()
        run = VirtualRun(
            order.task,
            order.number,
            now_ms
            + self.startup_ms
            + self._fleet.get_duration_ms(order.task) * self.slowdown_factor,
            now_ms,
        )
        self._fleet.draw_failure(self, run)
        self.runs[run.task, run.number] = run
        self._fleet.record_start(self, run)
        return OrderReply(OrderVerdict.OK, self.read_clock_ms())

    def stop(self, task: str, number: int, fence: int) -> OrderReply:
        """Stop a run; one that has not started can no longer start.

        :returns: ``FENCED`` if a newer fencing token was seen before,
            otherwise ``OK``.
        """
        self.end_due_runs()
        if fence < self.fence:
            return OrderReply(OrderVerdict.FENCED, self.read_clock_ms())
        self.fence = fence
        run = self.runs.get((task, number))
        if run is None:
            self.highest_ended_by_task[task] = max(
                number, self.highest_ended_by_task.get(task, 0)
            )
        elif run.stop_end_ms is None:
            run.stop_end_ms = self._clock.now_ms() + self._fleet.draw_stop_duration_ms()
        return OrderReply(OrderVerdict.OK, self.read_clock_ms())

    def apply_poll_parameters(
        self, fence: int, acknowledged: int, deadline_ms: int
    ) -> OrderVerdict:
        """Apply fencing token, acknowledgement and lease extension of a poll.

        :param acknowledged: sequence number up to which completions are dropped.
        :param deadline_ms: end of the lease, on the executor's own clock.
        """
        self.end_due_runs()
        if fence < self.fence:
            return OrderVerdict.FENCED
        self.fence = fence
        for row in self.completions:
            if row.sequence <= acknowledged:
                self._fleet.record_acknowledgement(self, row)
        self._extend_lease(deadline_ms)
        self.completions = [
            row for row in self.completions if row.sequence > acknowledged
        ]
        return OrderVerdict.OK

    def build_poll_reply(self, verdict: OrderVerdict) -> PollReply:
        """Build the answer to a poll from the current runs and completions."""
        now_ms = self._clock.now_ms()
        running_reports = []
        for run in self.runs.values():
            work_ms = max(1, run.end_ms - run.start_ms - self.startup_ms)
            worked_ms = max(0, now_ms - run.start_ms - self.startup_ms)
            percent = float(min(100, 100 * worked_ms // work_ms))
            if self._fleet.is_long_running(run.task):
                percent = 100.0 if now_ms - run.start_ms > 500 else 0.0
            running_reports.append(
                RunningReport(run.task, run.number, "", percent, 0.0)
            )
        return PollReply(
            verdict,
            self.read_clock_ms(),
            self.boot,
            tuple(running_reports),
            tuple(self.completions),
        )


class VirtualFleet:
    """Executors in virtual time; stands in for ``ExecutorClient``.

    It also checks two invariants: a task has at most one run at a time on executors
    that are up, and none starts after an end ``done`` that is acknowledged then or
    later, unless the executor's lease expired between the end and the acknowledgement.

    :param seed: seed of the starts that get no answer.
    :ivar violations: messages about broken invariants.
    :ivar rejections: starts refused for lack of capacity.
    :ivar message_faults: random faults of each call; ``None`` for the faults of
        the executors alone.
    :ivar message_log: what happened to each call while there are message faults.
    """

    def __init__(self, loop: VirtualLoop, store: VirtualStore, seed: int = 1) -> None:
        self._loop = loop
        self._store = store
        self._random = random.Random(seed)
        self.executors_by_id: dict[str, VirtualExecutor] = {}
        #: Time from an accepted stop to the end of the run.
        self.stop_duration_ms = STOP_DURATION_MS
        #: Delay from a start of a task to the crash that it causes, by task.
        self.crash_delay_ms_by_task: dict[str, int] = {}
        #: Times of the crashes that a task has caused, by task.
        self.crashes_by_task: dict[str, list[int]] = {}
        #: Times of all starts, by task.
        self.start_times_by_task: dict[str, list[int]] = {}
        #: Time for which a crashed executor is down.
        self.downtime_ms = 3_000
        #: A crashed executor comes back under another id.
        self.changes_id = False
        self.message_faults: MessageFaults | None = None
        self.message_log: list[str] = []
        #: Each stop takes a random time up to ``stop_duration_ms``.
        self.random_stop_duration = False
        #: The advisor whose ticket a start needs; ``None`` if no start needs one.
        self.advisor: AdvisorState | None = None
        #: Submissions whose tasks start without a ticket.
        self.unadvised_submissions: set[str] = set()
        self.refused_tickets = 0
        self.violations: list[str] = []
        self.rejections = 0
        self.starts = 0
        self.polls = 0
        self._cpu_by_submission: dict[str, int] = {}
        self._duration_ms_by_submission: dict[str, int] = {}
        self._long_running_submissions: set[str] = set()
        self._done_ends_by_task: dict[str, list[DoneEnd]] = {}
        self._running_by_task: dict[str, list[tuple[str, int]]] = {}
        self.done_ms_by_task: dict[str, int] = {}
        self.started_tasks: set[str] = set()
        #: Submissions whose tasks may have several runs at a time.
        self.speculative_submissions: set[str] = set()

    def add(
        self,
        executor_id: str,
        service: str,
        cpu: int = 4_000,
        rack: str = "r1",
        machine: str = "",
        zone: str = "z",
    ) -> VirtualExecutor:
        """Add an executor and write its entry to the store.

        :param cpu: capacity in thousandths of a core.
        """
        entry = ExecutorEntry(
            id=executor_id,
            service=service,
            address="10.0.0.1:80",
            zone=zone,
            draining=False,
            capacity=Resources(cpu, 64_000, 0),
            labels=frozenset({rack}),
            rack=rack,
            machine=machine or f"m-{executor_id}",
            boot=self._loop.clock.now_ms(),
        )
        executor = VirtualExecutor(self._loop.clock, entry, self)
        self.executors_by_id[executor_id] = executor
        self.register(entry)
        return executor

    def register(self, entry: ExecutorEntry) -> None:
        """Write an executor's entry to the store."""
        self._store.put(EXECUTOR_PREFIX + entry.id, encode_executor(entry))

    def accepts_ticket(self, executor: VirtualExecutor, order: StartOrder) -> bool:
        """Tell whether a start needs no ticket, or carries a valid one."""
        if self.advisor is None:
            return True
        if order.task.partition(".")[0] in self.unadvised_submissions:
            return True
        accepted = self.advisor.is_valid(
            order.task, executor.entry.id, executor.boot, order.ticket
        )
        self.refused_tickets += not accepted
        return accepted

    def get_boot(self, executor_id: str) -> int | None:
        """Return the boot of an executor that is up, by its id."""
        executor = self.executors_by_id.get(executor_id)
        return None if executor is None or executor.crashed else executor.boot

    @property
    def submission_ids(self) -> t.Collection[str]:
        """Ids of the submissions that have a profile."""
        return self._duration_ms_by_submission.keys()

    def set_task_profile(
        self, submission_id: str, cpu: int, duration_ms: int, long_running: bool = False
    ) -> None:
        """Set the real cpu use and duration of the tasks of a submission.

        :param cpu: cpu per task, in thousandths of a core.
        :param long_running: the tasks run until they are stopped.
        """
        self._cpu_by_submission[submission_id] = cpu
        self._duration_ms_by_submission[submission_id] = duration_ms
        if long_running:
            self._long_running_submissions.add(submission_id)

    def get_cpu(self, task: str) -> int:
        """Return the cpu of a task in thousandths of a core."""
        return self._cpu_by_submission.get(task.partition(".")[0], 1_000)

    def get_duration_ms(self, task: str) -> int:
        """Return the duration of a task in milliseconds."""
        submission_id = task.partition(".")[0]
        if submission_id in self._long_running_submissions:
            return 10_000_000
        return self._duration_ms_by_submission.get(submission_id, 1_000)

    def is_long_running(self, task: str) -> bool:
        """Return whether a task runs until it is stopped."""
        return task.partition(".")[0] in self._long_running_submissions

    def draw_stop_duration_ms(self) -> int:
        """Return the time that a stop takes."""
        if self.random_stop_duration:
            return self._random.randint(0, self.stop_duration_ms)
        return self.stop_duration_ms

    def draw_failure(self, executor: VirtualExecutor, run: VirtualRun) -> None:
        """Decide whether a run ends early as failed."""
        if executor.failed_share and self._random.random() < executor.failed_share:
            run.outcome = RunOutcome.FAILED
            longest_ms = min(run.end_ms - run.start_ms, 3_000)
            run.end_ms = run.start_ms + self._random.randint(1, longest_ms)

    def has_run(self, task: str) -> bool:
        """Return whether a run of a task is on an executor that is up."""
        for executor in self.executors_by_id.values():
            executor.end_due_runs()
        return bool(self._running_by_task.get(task))

    def record_start(self, executor: VirtualExecutor, run: VirtualRun) -> None:
        """Record the start of a run and check the invariants."""
        self.starts += 1
        self.started_tasks.add(run.task)
        now_ms = self._loop.clock.now_ms()
        self.start_times_by_task.setdefault(run.task, []).append(now_ms)
        delay_ms = self.crash_delay_ms_by_task.get(run.task)
        if delay_ms is not None:
            self._loop.after(delay_ms, lambda: self._crash(executor, run))
        for other in self.executors_by_id.values():
            other.end_due_runs()
        running = self._running_by_task.setdefault(run.task, [])
        start = f"run {run.number} on {executor.entry.id} at {now_ms}"
        if run.task.partition(".")[0] not in self.speculative_submissions:
            if running:
                self.violations.append(
                    f"two runs of {run.task} at the same time: {running}, {start}"
                )
            for end in self._done_ends_by_task.get(run.task, ()):
                end.later_start = end.later_start or start
                if end.acknowledged:
                    self._report_start_after_end(run.task, end)
        running.append((executor.entry.id, run.number))
        self.log_message(f"{run.task} {start}")

    def _report_start_after_end(self, task: str, end: DoneEnd) -> None:
        text = (
            f"{task} started after its completion was acknowledged: "
            f"run {end.number} done on {end.executor_id} at {end.end_ms}, "
            f"{end.later_start}"
        )
        if text not in self.violations:
            self.violations.append(text)

    def log_message(self, text: str) -> None:
        """Add a line to the message log."""
        if self.message_faults is not None:
            self.message_log.append(f"{self._loop.clock.now_ms()} {text}")

    def _crash(self, executor: VirtualExecutor, run: VirtualRun) -> None:
        if executor.runs.get((run.task, run.number)) is not run:
            return  # the run has ended before
        now_ms = self._loop.clock.now_ms()
        self.crashes_by_task.setdefault(run.task, []).append(now_ms)
        self.crash_and_return(executor)

    def crash_and_return(self, executor: VirtualExecutor) -> None:
        """Crash an executor, which is back after the downtime."""
        executor.crash()

        def come_back() -> None:
            if not self.changes_id:
                executor.restart(registers=True)
                return
            entry = executor.entry
            self._store.delete(EXECUTOR_PREFIX + entry.id)
            self.add(
                f"{entry.id}+",
                entry.service,
                entry.capacity.cpu,
                entry.rack,
                entry.machine,
                entry.zone,
            )
            executor.replaced = True

        self._loop.after(self.downtime_ms, come_back)

    def record_end(
        self, executor: VirtualExecutor, run: VirtualRun, outcome: RunOutcome
    ) -> None:
        """Record the end of a run."""
        running = self._running_by_task.get(run.task, [])
        if (executor.entry.id, run.number) in running:
            running.remove((executor.entry.id, run.number))
        if outcome is RunOutcome.DONE:
            self.done_ms_by_task.setdefault(run.task, run.end_ms)
            self._done_ends_by_task.setdefault(run.task, []).append(
                DoneEnd(
                    executor.entry.id,
                    executor.boot,
                    executor.sequence,
                    run.number,
                    run.end_ms,
                )
            )
        self.log_message(
            f"{run.task} run {run.number} on {executor.entry.id} ended "
            f"{outcome.value} as {executor.sequence}"
        )

    def record_restart(self, executor: VirtualExecutor) -> None:
        """Record that a restart of an executor has ended all its runs."""
        for run in executor.runs.values():
            self.record_end(executor, run, RunOutcome.EXPIRED)

    def record_acknowledgement(
        self, executor: VirtualExecutor, row: CompletionReport
    ) -> None:
        """Record that a leader has acknowledged a completion."""
        if row.outcome is not RunOutcome.DONE:
            return
        for end in self._done_ends_by_task[row.task]:
            if (
                (end.executor_id, end.boot, end.sequence)
                == (executor.entry.id, executor.boot, row.sequence)
                and not end.acknowledged
                and executor.last_lapse_ms < end.end_ms
            ):
                end.acknowledged = True
                if end.later_start:
                    self._report_start_after_end(row.task, end)

    def end_cut(self, executor: VirtualExecutor) -> None:
        """End the cut of an executor; what it held up arrives in any order."""
        executor.isolated = False
        held_up, executor.held_up = executor.held_up, []
        for delivery in held_up:
            self._loop.after(self._draw_delay_ms(), delivery)

    def _draw_delay_ms(self) -> int:
        faults = self.message_faults or MessageFaults()
        if self._random.random() < faults.slow_share:
            return self._random.randint(1, faults.slow_delay_ms)
        return self._random.randint(1, faults.delay_ms)

    def _call_with_faults(
        self,
        entry: ExecutorEntry,
        label: str,
        operation: t.Callable[[VirtualExecutor, t.Callable[[t.Any], None]], None],
        done: t.Callable[[t.Any], None],
        unanswered_reply: t.Any,
        refused_reply: t.Any,
        timeout_ms: int,
        is_start: bool = False,
    ) -> None:
        """Make a call that is subject to the message faults.

        A call that is late or held up by a cut reaches the process that has the
        executor's id by then. One that has timed out is carried out only by the process
        that it was sent to, whose connections end with it.

        :param operation: carries out the call and passes the answer on.
        """
        faults = self.message_faults
        assert faults is not None
        executor = self.executors_by_id[entry.id]
        is_settled = False
        is_timed_out = False
        boot = executor.boot
        sent_ms = self._loop.clock.now_ms()

        def log(text: str) -> None:
            self.log_message(f"{label} to {entry.id} sent {sent_ms}: {text}")

        def settle(reply: t.Any) -> None:
            nonlocal is_settled
            if not is_settled:
                is_settled = True
                log(f"{reply}")
                done(reply)

        def send_answer(reply: t.Any) -> None:
            if is_unanswered:
                log("answer lost")
            else:
                self._loop.after(self._draw_delay_ms(), lambda: receive(reply))

        def receive(reply: t.Any) -> None:
            if executor.isolated:
                executor.held_up.append(lambda: receive(reply))
            else:
                settle(reply)

        def arrive(answer: t.Callable[[t.Any], None]) -> None:
            if executor.isolated:
                executor.held_up.append(lambda: arrive(answer))
            elif executor.crashed:
                answer(refused_reply)
            elif is_timed_out and executor.boot != boot:
                log(f"lost with boot {boot}")
            else:
                log(f"carried out by boot {executor.boot}")
                operation(executor, answer)

        def time_out() -> None:
            nonlocal is_timed_out
            is_timed_out = True
            settle(unanswered_reply)

        self._loop.after(timeout_ms, time_out)
        draw = self._random.random()
        is_unanswered = False
        delay_ms = self._draw_delay_ms()
        if draw < faults.lost_share:
            log("lost")
            return
        draw -= faults.lost_share
        if draw < faults.refused_share:
            log("refused")
            self._loop.after(delay_ms, lambda: send_answer(refused_reply))
            return
        draw -= faults.refused_share
        if draw < faults.late_share:
            delay_ms = self._random.randint(timeout_ms, faults.late_ms)
        elif draw < faults.late_share + faults.unanswered_share:
            is_unanswered = True
        elif draw - faults.late_share - faults.unanswered_share < faults.repeated_share:
            self._loop.after(delay_ms, lambda: arrive(lambda reply: None))
            delay_ms += self._draw_delay_ms() + self._draw_delay_ms()
            if is_start:
                log("connection lost")
                self._loop.after(delay_ms, lambda: settle(unanswered_reply))
                return
            log("made again")
            if self._random.random() < faults.refused_share:
                self._loop.after(delay_ms, lambda: send_answer(refused_reply))
                return
        self._loop.after(delay_ms, lambda: arrive(send_answer))

    def _deliver(
        self,
        entry: ExecutorEntry,
        operation: t.Callable[[VirtualExecutor], t.Any],
        done: t.Callable[[t.Any], None],
        unanswered_reply: t.Any,
        is_start: bool = False,
        label: str = "",
    ) -> None:
        if self.message_faults is not None:
            self._call_with_faults(
                entry,
                label,
                lambda executor, answer: answer(operation(executor)),
                done,
                unanswered_reply,
                OrderReply(OrderVerdict.REFUSED),
                CALL_TIMEOUT_MS,
                is_start,
            )
            return
        executor = self.executors_by_id[entry.id]

        def process_call() -> None:
            if executor.isolated:
                self._loop.after(700, lambda: done(unanswered_reply))
                return
            if executor.crashed:
                verdict = OrderVerdict.REFUSED
                if executor.replaced:
                    verdict = OrderVerdict.OTHER_BOOT
                self._loop.after(NETWORK_DELAY_MS, lambda: done(OrderReply(verdict)))
                return
            if is_start and self._random.random() < executor.unanswered_start_share:
                extra_delay_ms = self._random.randint(2_000, 6_000)
                self._loop.after(extra_delay_ms, lambda: operation(executor))
                self._loop.after(700, lambda: done(unanswered_reply))
                return
            reply = operation(executor)

            def deliver_reply() -> None:
                if executor.isolated:
                    self._loop.after(700, lambda: done(unanswered_reply))
                else:
                    done(reply)

            self._loop.after(NETWORK_DELAY_MS, deliver_reply)

        delay_ms = executor.start_delay_ms if is_start else 0
        self._loop.after(NETWORK_DELAY_MS + delay_ms, process_call)

    def start(
        self,
        entry: ExecutorEntry,
        order: StartOrder,
        done: t.Callable[[OrderReply], None],
    ) -> None:
        """See ``ExecutorClient.start``."""
        unanswered_reply = OrderReply(OrderVerdict.UNKNOWN)
        self._deliver(
            entry,
            lambda executor: executor.start(order),
            done,
            unanswered_reply,
            is_start=True,
            label=f"start {order.task} run {order.number} until {order.deadline_ms}",
        )

    def stop(
        self,
        entry: ExecutorEntry,
        task: str,
        number: int,
        fence: int,
        done: t.Callable[[OrderReply], None],
    ) -> None:
        """See ``ExecutorClient.stop``."""
        unanswered_reply = OrderReply(OrderVerdict.UNKNOWN)
        self._deliver(
            entry,
            lambda executor: executor.stop(task, number, fence),
            done,
            unanswered_reply,
            label=f"stop {task} run {number}",
        )

    def throttle(self, *args: t.Any) -> None:
        """See ``ExecutorClient.throttle``; throttling has no effect here."""
        args[-1](OrderReply(OrderVerdict.OK))

    def poll(
        self,
        entry: ExecutorEntry,
        fence: int,
        acknowledged: int,
        deadline_ms: int,
        wait_ms: int,
        done: t.Callable[[PollReply], None],
    ) -> None:
        """See ``ExecutorClient.poll``."""
        self.polls += 1
        if self.message_faults is not None:
            self._call_with_faults(
                entry,
                f"poll ack {acknowledged} until {deadline_ms}",
                lambda executor, answer: self._hold_poll(
                    executor, (fence, acknowledged, deadline_ms), wait_ms, answer
                ),
                done,
                PollReply(OrderVerdict.UNKNOWN),
                PollReply(OrderVerdict.REFUSED, refused=True),
                wait_ms + POLL_MARGIN_MS,
            )
            return
        executor = self.executors_by_id[entry.id]
        wait_end_ms = self._loop.clock.now_ms() + wait_ms

        def process_call() -> None:
            if executor.isolated:
                self._loop.after(
                    700 + wait_ms, lambda: done(PollReply(OrderVerdict.UNKNOWN))
                )
                return
            if executor.crashed:
                reply = PollReply(OrderVerdict.REFUSED, refused=True)
                if executor.replaced:
                    reply = PollReply(OrderVerdict.OTHER_BOOT)
                self._loop.after(NETWORK_DELAY_MS, lambda: done(reply))
                return
            verdict = executor.apply_poll_parameters(fence, acknowledged, deadline_ms)
            if verdict is OrderVerdict.OK:
                poll()
            else:
                self._loop.after(NETWORK_DELAY_MS, lambda: done(PollReply(verdict)))

        def poll() -> None:
            if executor.isolated:
                self._loop.after(700, lambda: done(PollReply(OrderVerdict.UNKNOWN)))
                return
            if executor.crashed:
                lost = PollReply(OrderVerdict.UNKNOWN, connection_lost=True)
                self._loop.after(NETWORK_DELAY_MS, lambda: done(lost))
                return
            executor.end_due_runs()
            if executor.completions or self._loop.clock.now_ms() >= wait_end_ms:
                reply = executor.build_poll_reply(OrderVerdict.OK)
                self._loop.after(NETWORK_DELAY_MS, lambda: done(reply))
            else:
                self._loop.after(POLL_INTERVAL_MS, poll)

        self._loop.after(NETWORK_DELAY_MS, process_call)

    def _hold_poll(
        self,
        executor: VirtualExecutor,
        parameters: tuple[int, int, int],
        wait_ms: int,
        answer: t.Callable[[PollReply], None],
    ) -> None:
        """Carry out a poll; the answer is composed when the wait ends.

        :param parameters: those of :meth:`VirtualExecutor.apply_poll_parameters`.
        """
        verdict = executor.apply_poll_parameters(*parameters)
        if verdict is not OrderVerdict.OK:
            answer(PollReply(verdict))
            return
        boot = executor.boot
        wait_end_ms = self._loop.clock.now_ms() + wait_ms

        def wait() -> None:
            if executor.crashed or executor.boot != boot:
                answer(PollReply(OrderVerdict.UNKNOWN, connection_lost=True))
                return
            executor.end_due_runs()
            if executor.completions or self._loop.clock.now_ms() >= wait_end_ms:
                answer(executor.build_poll_reply(OrderVerdict.OK))
            else:
                self._loop.after(POLL_INTERVAL_MS, wait)

        wait()

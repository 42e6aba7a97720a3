"""Store and executors in virtual time, for tests that replay faults and load.

The classes have the methods of the real clients, so that the leader and the
scheduler run on them unchanged. Everything happens on one :class:`VirtualLoop`.
"""

import dataclasses
import heapq
import itertools
import random
import typing as t

from cranberrywheel.clock import Clock, ManualClock
from cranberrywheel.platform.executors import EXECUTOR_PREFIX, encode_executor
from cranberrywheel.platform.store import (
    Item,
    Outcome,
    Store,
    StoreReply,
    Write,
)
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

#: One way between a node and the platform.
DELAY_MS = 2
STOP_MS = 100
STEP_MS = 5
UNIX_START_MS = 1_700_000_000_000


class VirtualLoop:
    """Timers on a manual clock; stands in for ``HttpLoop``."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000)
        self._timers: list[tuple[int, int, t.Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, delay_ms: int, function: t.Callable[[], None]) -> None:
        """Run a function once after a delay."""
        due_ms = self.clock.now_ms() + max(0, delay_ms)
        heapq.heappush(self._timers, (due_ms, next(self._order), function))

    def post(self, function: t.Callable[[], None]) -> None:
        """Run a function in this turn."""
        self.after(0, function)

    def run_for(self, duration_ms: int) -> None:
        """Move the clock and run what is due."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._timers and self._timers[0][0] <= end_ms:
            due_ms, _, function = heapq.heappop(self._timers)
            self.clock.advance(max(0, due_ms - self.clock.now_ms()))
            function()
        self.clock.advance(end_ms - self.clock.now_ms())


class StoreState:
    """Content of the key-value service: conditions, leases and history.

    :param clock: source of the leases' times.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.revision = 0
        self.item_by_key: dict[str, Item] = {}
        self.lease_by_key: dict[str, int] = {}
        self.writes = 0
        self._lease_ends: dict[int, tuple[int, int]] = {}
        self._history: list[Item] = []
        self._lease_ids = itertools.count(1)

    def _set(self, key: str, value: bytes | None) -> None:
        item = Item(key, value, self.revision)
        self._history.append(item)
        if value is None:
            self.item_by_key.pop(key, None)
            self.lease_by_key.pop(key, None)
        else:
            self.item_by_key[key] = item

    def put(self, key: str, value: bytes) -> None:
        """Write as an operator or an executor does."""
        self.revision += 1
        self._set(key, value)

    def delete(self, key: str) -> None:
        """Delete as an executor does that has left."""
        self.revision += 1
        self._set(key, None)

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        for lease in [i for i, (end, _) in self._lease_ends.items() if end <= now_ms]:
            self.end_lease(lease)

    def read(self, key: str) -> StoreReply:
        """Read one key."""
        self._expire()
        item = self.item_by_key.get(key)
        if item is None:
            return StoreReply(Outcome.ABSENT, revision=self.revision)
        return StoreReply(Outcome.OK, (item,), self.revision)

    def read_all(self, prefix: str) -> StoreReply:
        """Read everything under a prefix."""
        self._expire()
        items = [
            item
            for key, item in sorted(self.item_by_key.items())
            if key.startswith(prefix)
        ]
        return StoreReply(Outcome.OK, tuple(items), self.revision)

    def events(self, prefix: str, after: int) -> StoreReply:
        """Return the changes under a prefix after a revision."""
        self._expire()
        events = [
            item
            for item in reversed(self._history)
            if item.revision > after and item.key.startswith(prefix)
        ]
        return StoreReply(Outcome.OK, tuple(reversed(events)), self.revision)

    def write(self, write: Write) -> StoreReply:
        """Write all or nothing."""
        self._expire()
        self.writes += 1
        current = [
            self.item_by_key.get(key, Item(key, None, 0)) for key, _ in write.conditions
        ]
        for (_, revision), item in zip(write.conditions, current, strict=True):
            if item.revision != revision:
                return StoreReply(
                    Outcome.CONFLICT, tuple(i for i in current if i.revision)
                )
        if any(lease and lease not in self._lease_ends for _, _, lease in write.puts):
            return StoreReply(Outcome.ABSENT)
        self.revision += 1
        for key, value, lease in write.puts:
            self._set(key, value)
            if lease:
                self.lease_by_key[key] = lease
        for key in write.deletes:
            if key in self.item_by_key:
                self._set(key, None)
        return StoreReply(Outcome.OK, revision=self.revision)

    def grant_lease(self, ttl_ms: int) -> StoreReply:
        """Create a lease."""
        lease = next(self._lease_ids)
        self._lease_ends[lease] = (self._clock.now_ms() + ttl_ms, ttl_ms)
        return StoreReply(Outcome.OK, lease=lease, ttl_ms=ttl_ms)

    def renew_lease(self, lease: int) -> StoreReply:
        """Renew a lease."""
        self._expire()
        if lease not in self._lease_ends:
            return StoreReply(Outcome.ABSENT)
        ttl_ms = self._lease_ends[lease][1]
        self._lease_ends[lease] = (self._clock.now_ms() + ttl_ms, ttl_ms)
        return StoreReply(Outcome.OK, ttl_ms=ttl_ms)

    def end_lease(self, lease: int) -> StoreReply:
        """End a lease and delete its keys."""
        self._lease_ends.pop(lease, None)
        for key in [k for k, i in self.lease_by_key.items() if i == lease]:
            self.delete(key)
        return StoreReply(Outcome.OK)


class VirtualStore(StoreState):
    """The service behind a network with delays; stands in for ``Store``.

    :ivar away: answers nothing while true.
    :ivar delay_ms_by_prefix: further time that reading a prefix takes.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop.clock)
        self._loop = loop
        self.unreachable = False
        self.delay_ms_by_prefix: dict[str, int] = {}

    def build_client(self) -> Store:
        """Return a client with the methods of the real one."""
        return t.cast(Store, VirtualStoreClient(self._loop, self))


class VirtualStoreClient:
    """Calls a virtual store; has the methods of ``Store``."""

    def __init__(self, loop: VirtualLoop, store: VirtualStore) -> None:
        self._loop = loop
        self._store = store

    def _answer(
        self,
        done: t.Callable[[StoreReply], None],
        work: t.Callable[[], StoreReply],
        delay_ms: int = DELAY_MS,
    ) -> None:
        def arrive() -> None:
            if self._store.unreachable:
                self._loop.after(800, lambda: done(StoreReply(Outcome.UNKNOWN)))
                return
            reply = work()
            self._loop.after(DELAY_MS, lambda: done(reply))

        self._loop.after(delay_ms, arrive)

    def read(self, key: str, done: t.Callable[[StoreReply], None]) -> None:
        """See ``Store.read``."""
        self._answer(done, lambda: self._store.read(key))

    def read_all(self, prefix: str, done: t.Callable[[StoreReply], None]) -> None:
        """See ``Store.read_all``."""
        delay_ms = DELAY_MS + self._store.delay_ms_by_prefix.get(prefix, 0)
        self._answer(done, lambda: self._store.read_all(prefix), delay_ms)

    def watch(
        self,
        prefix: str,
        after: int,
        wait_ms: int,
        done: t.Callable[[StoreReply], None],
    ) -> None:
        """See ``Store.watch``."""
        give_up_ms = self._loop.clock.now_ms() + wait_ms

        def poll() -> None:
            late = self._loop.clock.now_ms() >= give_up_ms
            reply = self._store.events(prefix, after)
            if self._store.unreachable and late:
                done(StoreReply(Outcome.UNKNOWN))
            elif not self._store.unreachable and (reply.items or late):
                self._loop.after(DELAY_MS, lambda: done(reply))
            else:
                self._loop.after(STEP_MS, poll)

        self._loop.after(DELAY_MS, poll)

    def write(self, write: Write, done: t.Callable[[StoreReply], None]) -> None:
        """See ``Store.write``."""
        self._answer(done, lambda: self._store.write(write))

    def grant_lease(self, ttl_ms: int, done: t.Callable[[StoreReply], None]) -> None:
        """See ``Store.grant_lease``."""
        self._answer(done, lambda: self._store.grant_lease(ttl_ms))

    def renew_lease(
        self, lease: int, done: t.Callable[[StoreReply], None], timeout_ms: int = 0
    ) -> None:
        """See ``Store.renew_lease``."""
        self._answer(done, lambda: self._store.renew_lease(lease))


@dataclasses.dataclass
class VirtualRun:
    """A run at an executor."""

    task: str
    number: int
    end_ms: int
    begin_ms: int
    stopping: bool = False


class VirtualExecutor:
    """One executor: its runs, lease, fence and list of ends.

    :ivar cut: no call reaches it and no answer leaves it.
    :ivar slowness: how many times as long its tasks take.
    :ivar mute_share: share of the starts that get no answer and happen late.
    """

    def __init__(
        self, clock: Clock, entry: ExecutorEntry, fleet: "VirtualFleet"
    ) -> None:
        self._clock = clock
        self.entry = entry
        self._fleet = fleet
        self.isolated = False
        self.unanswered_start_share = 0.0
        self.fails_all_runs = False
        self.slowdown_factor = 1
        self.fence = 0
        self.deadline_ms = 0
        self.boot = entry.boot
        self.runs: dict[tuple[str, int], VirtualRun] = {}
        self.ends: list[CompletionReport] = []
        self.sequence = 0
        self.acknowledged = 0
        self.highest_ended: dict[str, int] = {}

    def clock_ms(self) -> int:
        """The executor's own clock."""
        return self._clock.now_ms() - self.boot

    def used(self) -> int:
        """Cpu in use."""
        return sum(self._fleet.cpu_of(run.task) for run in self.runs.values())

    def end_due_runs(self) -> None:
        """Bring the runs up to the present moment."""
        now_ms = self._clock.now_ms()
        for run in sorted(self.runs.values(), key=lambda r: r.end_ms):
            lapse_ms = self.deadline_ms + self.boot
            if run.end_ms <= min(now_ms, lapse_ms):
                if run.stopping:
                    self._end(run, RunOutcome.STOPPED)
                else:
                    self._end(
                        run,
                        RunOutcome.FAILED if self.fails_all_runs else RunOutcome.DONE,
                    )
        if now_ms > self.deadline_ms + self.boot:
            for run in list(self.runs.values()):
                self._end(run, RunOutcome.EXPIRED)

    def _end(self, run: VirtualRun, end: RunOutcome) -> None:
        del self.runs[run.task, run.number]
        self.sequence += 1
        self.ends.append(CompletionReport(self.sequence, run.task, run.number, end, ""))
        self.highest_ended[run.task] = max(
            run.number, self.highest_ended.get(run.task, 0)
        )
        self._fleet.note_end(self, run, end)

    def restart(self) -> None:
        """Lose everything and begin a new boot."""
        self._fleet.note_loss(self)
        self.boot = self._clock.now_ms()
        self.runs.clear()
        self.ends.clear()
        self.sequence = self.fence = self.deadline_ms = 0
        self.highest_ended.clear()

    def start(self, order: StartOrder) -> OrderReply:
        """Carry out a start."""
        self.end_due_runs()
        if order.fence < self.fence:
            return OrderReply(OrderVerdict.FENCED, self.clock_ms())
        self.fence = order.fence
        if order.deadline_ms <= self.clock_ms():
            return OrderReply(OrderVerdict.LATE, self.clock_ms())
        self.deadline_ms = max(self.deadline_ms, order.deadline_ms)
        if (order.task, order.number) in self.runs:
            return OrderReply(OrderVerdict.OK, self.clock_ms())
        if order.number <= self.highest_ended.get(order.task, 0):
            return OrderReply(OrderVerdict.DUPLICATE, self.clock_ms())
        if self.used() + self._fleet.cpu_of(order.task) > self.entry.capacity.cpu:
            self._fleet.rejections += 1
            return OrderReply(OrderVerdict.NO_CAPACITY, self.clock_ms())
        now_ms = self._clock.now_ms()
        run = VirtualRun(
            order.task,
            order.number,
            now_ms + self._fleet.duration_of(order.task) * self.slowdown_factor,
            now_ms,
        )
        self.runs[run.task, run.number] = run
        self._fleet.note_start(self, run)
        return OrderReply(OrderVerdict.OK, self.clock_ms())

    def stop(self, task: str, number: int, fence: int) -> OrderReply:
        """Carry out a stop."""
        self.end_due_runs()
        if fence < self.fence:
            return OrderReply(OrderVerdict.FENCED, self.clock_ms())
        self.fence = fence
        run = self.runs.get((task, number))
        if run is None:
            self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
        else:
            run.stopping = True
            run.end_ms = min(run.end_ms, self._clock.now_ms() + STOP_MS)
        return OrderReply(OrderVerdict.OK, self.clock_ms())

    def hold(self, fence: int, acknowledged: int, deadline_ms: int) -> OrderVerdict:
        """Take over fence, acknowledgement and lease of a look."""
        self.end_due_runs()
        if fence < self.fence:
            return OrderVerdict.FENCED
        self.fence = fence
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        for row in self.ends:
            if row.sequence <= acknowledged:
                self._fleet.note_acknowledged(row)
        self.ends = [row for row in self.ends if row.sequence > acknowledged]
        return OrderVerdict.OK

    def look(self, verdict: OrderVerdict) -> PollReply:
        """Return the lists."""
        now_ms = self._clock.now_ms()
        rows = []
        for run in self.runs.values():
            length = max(1, run.end_ms - run.begin_ms)
            percent = min(100.0, 100.0 * (now_ms - run.begin_ms) / length)
            if self._fleet.lasts(run.task):
                percent = 100.0 if now_ms - run.begin_ms > 500 else 0.0
            rows.append(RunningReport(run.task, run.number, "", percent, 0.0))
        return PollReply(
            verdict, self.clock_ms(), self.boot, tuple(rows), tuple(self.ends)
        )


class VirtualFleet:
    """Executors in virtual time; stands in for ``ExecutorClient``.

    It also checks promises: at most one run of a task at a time, and none after an
    acknowledged ``done``.

    :ivar violations: broken promises, in words.
    """

    def __init__(self, loop: VirtualLoop, store: VirtualStore, seed: int = 1) -> None:
        self._loop = loop
        self._store = store
        self._random = random.Random(seed)
        self.executors_by_id: dict[str, VirtualExecutor] = {}
        self.violations: list[str] = []
        self.rejections = 0
        self.starts = 0
        self.looks = 0
        self._cpu_by_step: dict[str, int] = {}
        self._duration_by_step: dict[str, int] = {}
        self._lasting: set[str] = set()
        self._done: set[str] = set()
        self._acknowledged: set[str] = set()
        self._running: dict[str, list[tuple[str, int]]] = {}
        self.done_ms_by_task: dict[str, int] = {}
        self.started_tasks: set[str] = set()
        #: Submissions of which copies of a task may run side by side.
        self.speculative_submissions: set[str] = set()

    def add(
        self,
        executor_id: str,
        service: str,
        cpu: int = 4_000,
        rack: str = "r1",
        machine: str = "",
    ) -> VirtualExecutor:
        """Add an executor and its entry."""
        entry = ExecutorEntry(
            id=executor_id,
            service=service,
            address=executor_id,
            zone="z",
            draining=False,
            capacity=Resources(cpu, 64_000, 0),
            labels=frozenset({rack}),
            rack=rack,
            machine=machine or f"m-{executor_id}",
            boot=self._loop.clock.now_ms(),
        )
        executor = VirtualExecutor(self._loop.clock, entry, self)
        self.executors_by_id[executor_id] = executor
        self._store.put(EXECUTOR_PREFIX + executor_id, encode_executor(entry))
        return executor

    def set_task_profile(
        self, submission_id: str, cpu: int, duration_ms: int, long_running: bool = False
    ) -> None:
        """Set the true size and duration of a submission's tasks."""
        self._cpu_by_step[submission_id] = cpu
        self._duration_by_step[submission_id] = duration_ms
        if long_running:
            self._lasting.add(submission_id)

    def cpu_of(self, task: str) -> int:
        """Cpu of a task."""
        return self._cpu_by_step.get(task.partition(".")[0], 1_000)

    def duration_of(self, task: str) -> int:
        """Duration of a task."""
        submission_id = task.partition(".")[0]
        if submission_id in self._lasting:
            return 10_000_000
        return self._duration_by_step.get(submission_id, 1_000)

    def lasts(self, task: str) -> bool:
        """Whether a task lasts."""
        return task.partition(".")[0] in self._lasting

    def note_start(self, executor: VirtualExecutor, run: VirtualRun) -> None:
        """Check the promises at a start."""
        self.starts += 1
        self.started_tasks.add(run.task)
        for other in self.executors_by_id.values():
            other.end_due_runs()
        running = self._running.setdefault(run.task, [])
        if running and run.task.partition(".")[0] not in self.speculative_submissions:
            self.violations.append(f"two runs of {run.task}")
        if run.task in self._acknowledged:
            self.violations.append(f"{run.task} started after its end was noted")
        running.append((executor.entry.id, run.number))

    def note_end(
        self, executor: VirtualExecutor, run: VirtualRun, end: RunOutcome
    ) -> None:
        """Note an end."""
        running = self._running.get(run.task, [])
        if (executor.entry.id, run.number) in running:
            running.remove((executor.entry.id, run.number))
        if end is RunOutcome.DONE:
            self._done.add(run.task)
            self.done_ms_by_task.setdefault(run.task, run.end_ms)

    def note_loss(self, executor: VirtualExecutor) -> None:
        """Note that a crash has ended all runs."""
        for run in executor.runs.values():
            self.note_end(executor, run, RunOutcome.EXPIRED)

    def note_acknowledged(self, row: CompletionReport) -> None:
        """Note that a leader has taken note of an end."""
        if row.outcome is RunOutcome.DONE:
            self._acknowledged.add(row.task)

    def _deliver(
        self,
        entry: ExecutorEntry,
        work: t.Callable[[VirtualExecutor], t.Any],
        done: t.Callable[[t.Any], None],
        lost: t.Any,
        mutable: bool = False,
    ) -> None:
        executor = self.executors_by_id[entry.id]

        def arrive() -> None:
            if executor.isolated:
                self._loop.after(700, lambda: done(lost))
                return
            if mutable and self._random.random() < executor.unanswered_start_share:
                late_ms = self._random.randint(2_000, 6_000)
                self._loop.after(late_ms, lambda: work(executor))
                self._loop.after(700, lambda: done(lost))
                return
            reply = work(executor)

            def leave() -> None:
                if executor.isolated:
                    self._loop.after(700, lambda: done(lost))
                else:
                    done(reply)

            self._loop.after(DELAY_MS, leave)

        self._loop.after(DELAY_MS, arrive)

    def start(
        self,
        entry: ExecutorEntry,
        order: StartOrder,
        done: t.Callable[[OrderReply], None],
    ) -> None:
        """See ``ExecutorClient.start``."""
        lost = OrderReply(OrderVerdict.UNKNOWN)
        self._deliver(entry, lambda x: x.start(order), done, lost, mutable=True)

    def stop(
        self,
        entry: ExecutorEntry,
        task: str,
        number: int,
        fence: int,
        done: t.Callable[[OrderReply], None],
    ) -> None:
        """See ``ExecutorClient.stop``."""
        lost = OrderReply(OrderVerdict.UNKNOWN)
        self._deliver(entry, lambda x: x.stop(task, number, fence), done, lost)

    def throttle(self, *args: t.Any) -> None:
        """See ``ExecutorClient.throttle``; the pace has no effect here."""
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
        self.looks += 1
        executor = self.executors_by_id[entry.id]
        give_up_ms = self._loop.clock.now_ms() + wait_ms

        def arrive() -> None:
            if executor.isolated:
                self._loop.after(
                    700 + wait_ms, lambda: done(PollReply(OrderVerdict.UNKNOWN))
                )
                return
            verdict = executor.hold(fence, acknowledged, deadline_ms)
            if verdict is OrderVerdict.OK:
                poll()
            else:
                self._loop.after(DELAY_MS, lambda: done(PollReply(verdict)))

        def poll() -> None:
            if executor.isolated:
                self._loop.after(700, lambda: done(PollReply(OrderVerdict.UNKNOWN)))
                return
            executor.end_due_runs()
            if executor.ends or self._loop.clock.now_ms() >= give_up_ms:
                look = executor.look(OrderVerdict.OK)
                self._loop.after(DELAY_MS, lambda: done(look))
            else:
                self._loop.after(STEP_MS, poll)

        self._loop.after(DELAY_MS, arrive)

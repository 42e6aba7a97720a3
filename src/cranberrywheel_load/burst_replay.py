"""Replays bursts of the queues on the real scheduler, in virtual time.

Executors answer after a few milliseconds and end their tasks after the true
durations. The replay measures what callers get and what the pools cost, so that
policies can be compared on the same arrivals.
"""

import dataclasses
import heapq
import itertools
import typing as t

from cranberrywheel.submission import actions
from cranberrywheel.submission.demand import compute_demand_by_service
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import (
    CompletionReport,
    ExecutorEntry,
    OrderReply,
    OrderVerdict,
    PollReply,
    RunningReport,
    RunOutcome,
)
from cranberrywheel.submission.failure_domains import find_unreachable_zones
from cranberrywheel.submission.features import ALL_OFF, FeatureSettings
from cranberrywheel.submission.live import Run
from cranberrywheel.submission.machines import Machine, MachineState
from cranberrywheel.submission.maintenance import choose_runs_to_move
from cranberrywheel.submission.model import (
    Configuration,
    Resources,
    Service,
    Step,
    Submission,
)
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.pool_plans import list_drain_targets, plan_pools
from cranberrywheel.submission.pool_sizing import (
    PoolSizingState,
    decide_moves,
    is_borrowed,
)
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel.submission.state import RUN_LEASE_MS
from cranberrywheel_load.burst_load import (
    UNIX_START_MS,
    BurstArrival,
    BurstPlan,
    build_organisations,
    build_queue,
    draw_arrivals,
)

STANDBY = "standby"
#: One way to an executor with its handling.
CALL_MS = 4
#: From the end of a task until the leader knows it.
COMPLETION_DELAY_MS = 18
#: Time of a write to the store.
STORE_MS = 8
#: Intervals of the scheduler's timer and of the decisions about machines.
TICK_MS = 100
MACHINES_MS = 400
#: Duration of a machine's move to another pool.
MIGRATION_MS = 1_500
#: From the return of a machine until its executor can take work.
REGISTER_MS = 60
#: Interval of the polls of an executor, and delay after one without an answer.
POLL_MS = 900
POLL_RETRY_MS = 300
#: Time until a long-running task is available, and until a stopped run has ended.
STARTUP_MS = 700
STOP_MS = 100
#: Time until the entry of a lost executor disappears from the store.
ENTRY_LEASE_MS = 3_000
#: Length of the windows of which the two worst are reported.
WINDOW_MS = 2_000
#: Benefit of a submission that completes late, as a fraction, and until which multiple
#: of its objective.
LATE_BENEFIT = 0.07
LATE_OBJECTIVES = 3.0
#: Time after the last arrival for which the replay goes on.
TAIL_MS = 16_000


@dataclasses.dataclass(frozen=True)
class Cut:
    """A zone that the leader cannot reach for a time; its runs go on."""

    at_ms: int
    for_ms: int
    zone: str


@dataclasses.dataclass(frozen=True)
class Loss:
    """Machines that are down for a time; their runs end.

    :param place: id of an availability zone or of a rack.
    """

    at_ms: int
    for_ms: int
    place: str


@dataclasses.dataclass
class Measures:
    """Sums of one replay.

    :param served: benefit earned, as a fraction of that of all submissions.
    :param worst_windows: mean of the two worst windows.
    :param largest: share of the largest tenth of each queue.
    :param available: fraction of the time that long-running tasks are available.
    :param pool_share: machine time in pools as a share of the pools' own machines.
    :param moves: machine moves.
    :param moving_share: machine time of moves as a share of the pools' own machines.
    """

    served: float
    worst_windows: float
    largest: float
    available: float
    pool_share: float
    moves: int
    moving_share: float


class BurstReplay:
    """One replay.

    :param sizes_pools: whether machines move between pools.
    :param feature_settings: switches of the scheduler's parts.
    :param arrivals: arrivals in place of those that are drawn from the plan.
    """

    def __init__(
        self,
        plan: BurstPlan,
        seed: int,
        sizes_pools: bool = True,
        cuts: t.Sequence[Cut] = (),
        feature_settings: FeatureSettings = ALL_OFF,
        losses: t.Sequence[Loss] = (),
        arrivals: t.Sequence[BurstArrival] | None = None,
    ) -> None:
        self.plan = plan
        self.arrivals = draw_arrivals(plan, seed) if arrivals is None else arrivals
        self._cuts = cuts
        self._losses = losses
        self._sizes_pools = sizes_pools
        self._now_ms = 0
        self._heap: list[tuple[int, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        self._machine_order = itertools.count()
        self.scheduler = Scheduler(1, 0, PlatformTiming(), -10_000, feature_settings)
        queues = [build_queue(plan, number) for number in range(len(plan.pools))]
        self.scheduler.set_configuration(
            Configuration(
                version=1,
                queues_by_host={"load": tuple(queues)},
                queues_by_key={queue.key: queue for queue in queues},
                services_by_name={
                    **{queue.service: Service(queue.service) for queue in queues},
                    STANDBY: Service(STANDBY, True),
                },
                organisations_by_name=build_organisations(plan),
                organisation_by_api_key={},
            )
        )
        self._pool_state = PoolSizingState()
        self._machines: dict[str, Machine] = {}
        self._place_by_machine: dict[str, tuple[str, str]] = {}
        self._arrival_by_id: dict[str, BurstArrival] = {}
        self._running: dict[str, dict[tuple[str, int], tuple[Run, int, int]]] = {}
        self._sequence: dict[str, int] = {}
        self._ends: dict[str, list[CompletionReport]] = {}
        self._cut_zones: set[str] = set()
        self._lost_executors: set[str] = set()
        self.ended_ms: dict[str, int] = {}
        self._machine_ms = 0.0
        self._moving_ms = 0.0
        self._available_ms = 0.0
        self._moves = 0
        self._wake_due = False

    # Time

    def _after(self, delay_ms: int, function: t.Callable[[], None]) -> None:
        due_ms = self._now_ms + max(0, delay_ms)
        heapq.heappush(self._heap, (due_ms, next(self._order), function))

    @property
    def _unix_ms(self) -> int:
        return UNIX_START_MS + self._now_ms

    def run(self) -> Measures:
        """Play everything and return the sums."""
        plan = self.plan
        for number, count in enumerate(plan.pools):
            for _ in range(count):
                self._add_machine(f"pool-{number}")
            for index in range(plan.long_running_submissions):
                self._after(
                    500, lambda n=number, i=index: self._submit_long_running(n, i)
                )
        for _ in range(plan.standby):
            self._add_machine(STANDBY)
        for arrival in self.arrivals:
            self._after(
                plan.lead_ms + arrival.at_ms + STORE_MS,
                lambda row=arrival: self._submit(row),
            )
        for cut in self._cuts:
            self._after(plan.lead_ms + cut.at_ms, lambda c=cut: self._cut(c, True))
            end_ms = plan.lead_ms + cut.at_ms + cut.for_ms
            self._after(end_ms, lambda c=cut: self._cut(c, False))
        for loss in self._losses:
            at_ms = plan.lead_ms + loss.at_ms
            self._after(at_ms, lambda x=loss: self._lose(x.place))
            self._after(at_ms + loss.for_ms, lambda x=loss: self._return(x.place))
        self._after(TICK_MS, self._tick)
        if self._sizes_pools:
            self._after(MACHINES_MS, self._move_machines)
        end_ms = plan.lead_ms + plan.length_ms + TAIL_MS
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, function = heapq.heappop(self._heap)
            self._now_ms = due_ms
            function()
        return self._measure()

    def _tick(self) -> None:
        self._after(TICK_MS, self._tick)
        if self._now_ms % POLL_MS < TICK_MS:
            for executor in list(self.scheduler.executors_by_id.values()):
                self._poll(executor.id)
        if 0 <= self._now_ms - self.plan.lead_ms < self.plan.length_ms:
            self._machine_ms += TICK_MS * sum(
                m.pool != STANDBY and m.state is MachineState.UP
                for m in self._machines.values()
            )
            self._moving_ms += TICK_MS * sum(
                m.state is MachineState.MOVING for m in self._machines.values()
            )
            self._available_ms += TICK_MS * self._count_available()
        self.scheduler.tick(self._now_ms, self._unix_ms)
        self._wake()

    def _wake(self) -> None:
        if not self._wake_due:
            self._wake_due = True
            self._after(1, self._pass)

    def _pass(self) -> None:
        self._wake_due = False
        scheduler = self.scheduler
        scheduler.schedule(self._now_ms, self._unix_ms)
        for action in scheduler.take_actions():
            if isinstance(action, actions.StartRun):
                self._after(CALL_MS, lambda run=action.run: self._start(run))
            elif isinstance(action, actions.StopRun) and action.run is not None:
                self._stop(action.run)
        for key, live in list(scheduler.unsaved_by_id.items()):
            del scheduler.unsaved_by_id[key]
            version = live.version
            self._after(STORE_MS, lambda x=live, v=version: self._stored(x, v))

    def _stored(self, live: t.Any, version: int) -> None:
        self.scheduler.on_stored(live, version)
        if live.final_stored and live.submission.id not in self.ended_ms:
            self.ended_ms[live.submission.id] = self._now_ms
        self._wake()

    # Machines

    def _add_machine(self, pool: str) -> None:
        number = next(self._machine_order)
        zone = number % self.plan.zones
        rack = number // self.plan.zones
        if self.plan.machines_per_rack:
            rack //= self.plan.machines_per_rack
        else:
            rack %= self.plan.racks
        name = f"m{number}"
        self._place_by_machine[name] = (f"z{zone}", f"r{zone}-{rack}")
        self._machines[name] = Machine(name, pool, MachineState.UP, f"z{zone}", "")
        self._bring_up(name)

    def _bring_up(self, name: str) -> None:
        if self._machines[name].state is MachineState.DOWN:
            return
        machine = dataclasses.replace(self._machines[name], state=MachineState.UP)
        self._machines[name] = machine
        if machine.pool == STANDBY:
            return
        executor_id = f"i{next(self._machine_order)}"
        self._machines[name] = dataclasses.replace(machine, executor_id=executor_id)
        zone, rack = self._place_by_machine[name]
        entry = ExecutorEntry(
            executor_id,
            machine.pool,
            executor_id,
            zone,
            False,
            self.plan.machine,
            frozenset({rack}),
            rack,
            name,
            max(1, self._now_ms),
        )
        self._after(REGISTER_MS, lambda: self._register(entry))

    def _register(self, entry: ExecutorEntry) -> None:
        self._running[entry.id] = {}
        self.scheduler.put_executor(entry, self._now_ms)
        self._poll(entry.id)

    def _executors_by_machine(self) -> dict[str, Executor]:
        return {
            executor.entry.machine: executor
            for executor in self.scheduler.executors_by_id.values()
            if executor.registered
        }

    def _move_machines(self) -> None:
        self._after(MACHINES_MS, self._move_machines)
        executors = self._executors_by_machine()
        state = self._pool_state

        def is_empty(machine: Machine) -> bool:
            executor = executors.get(machine.id)
            return executor is None or not executor.runs

        machines = list(self._machines.values())
        demand = compute_demand_by_service(self.scheduler, self._now_ms)
        plans = plan_pools(
            self.scheduler, state, machines, {STANDBY}, demand, self._now_ms
        )
        decision = decide_moves(
            state,
            machines,
            {STANDBY},
            demand,
            set(),
            is_empty,
            self._now_ms,
            unreachable_zones=find_unreachable_zones(executors.values()),
            plans=plans,
        )
        borrowed = {machine.id for machine in machines if is_borrowed(state, machine)}
        self.scheduler.borrowed_machines = borrowed | set(state.destination_by_machine)
        for name in decision.keep:
            executor = executors.get(name)
            if executor is not None:
                executor.cordoned = False
        for name in decision.drain:
            executor = executors.get(name)
            if executor is None:
                continue
            executor.cordoned = True
            service = executor.entry.service
            pool = list_drain_targets(self.scheduler, service)
            for run in choose_runs_to_move(executor, pool, self._now_ms):
                self.scheduler.stop_run(run, self._now_ms, "its machine moves")
        for name, pool_name in decision.moves:
            self._move(name, pool_name, executors.get(name))
        self._wake()

    def _move(self, name: str, pool: str, executor: Executor | None) -> None:
        self._moves += 1
        self._machines[name] = dataclasses.replace(
            self._machines[name], state=MachineState.MOVING, pool=pool, executor_id=""
        )
        if executor is not None:
            self._running.pop(executor.id, None)
            self.scheduler.mark_terminated(executor.id, self._now_ms)
        self._after(MIGRATION_MS, lambda: self._bring_up(name))

    def _cut(self, cut: Cut, begins: bool) -> None:
        if begins:
            self._cut_zones.add(cut.zone)
        else:
            self._cut_zones.discard(cut.zone)

    def _is_cut(self, executor: Executor) -> bool:
        return (
            executor.entry.zone in self._cut_zones
            or executor.id in self._lost_executors
        )

    def _list_machines_in(self, place: str) -> list[str]:
        return [
            name for name, where in self._place_by_machine.items() if place in where
        ]

    def _lose(self, place: str) -> None:
        """Take down the machines of a rack or zone with everything on them."""
        for name in self._list_machines_in(place):
            machine = self._machines[name]
            self._machines[name] = dataclasses.replace(
                machine, state=MachineState.DOWN, executor_id=""
            )
            if machine.executor_id in self._running:
                self._running[machine.executor_id] = {}
                self._lost_executors.add(machine.executor_id)
                self._after(
                    ENTRY_LEASE_MS,
                    lambda x=machine.executor_id: self.scheduler.remove_executor(
                        x, self._now_ms
                    ),
                )

    def _return(self, place: str) -> None:
        for name in self._list_machines_in(place):
            self._machines[name] = dataclasses.replace(
                self._machines[name], state=MachineState.OTHER
            )
            self._bring_up(name)

    # Work

    def _submit(self, arrival: BurstArrival) -> None:
        self._arrival_by_id[arrival.submission.id] = arrival
        self.scheduler.add_submission(arrival.submission, self._now_ms)
        self._wake()

    def _submit_long_running(self, number: int, index: int) -> None:
        plan = self.plan
        queue = build_queue(plan, number)
        fills = plan.long_running_fills and index == plan.long_running_submissions - 1
        step = Step(
            count=plan.long_running,
            size=Resources(plan.long_running_cpu, plan.long_running_memory_mb, 0),
            target_ms=0 if fills else plan.target_ms,
            fills=fills,
            long_running=True,
            anti_affinity=plan.long_running_limit,
            may_miss=plan.may_miss,
        )
        self.scheduler.add_submission(
            Submission(
                f"long-running-{number}-{index}",
                queue.key,
                queue.service,
                "",
                "",
                (step,),
                self._unix_ms,
            ),
            self._now_ms,
        )
        self._wake()

    def _count_available(self) -> int:
        return sum(
            self._now_ms - begin_ms >= STARTUP_MS
            for rows in self._running.values()
            for run, begin_ms, _ in rows.values()
            if run.task.step_run.step.long_running
        )

    def _start(self, run: Run) -> None:
        executor = self.scheduler.executors_by_id.get(run.executor_id)
        rows = self._running.get(run.executor_id)
        if executor is None or rows is None or run.key not in executor.runs:
            return
        if self._is_cut(executor):
            self.scheduler.on_start_reply(
                run, OrderReply(OrderVerdict.UNKNOWN), self._now_ms
            )
            return
        duration_ms = 10_000_000
        step_run = run.task.step_run
        if not step_run.step.long_running:
            arrival = self._arrival_by_id[step_run.live.submission.id]
            duration_ms = arrival.durations_ms[step_run.number][run.task.index]
        rows[run.key] = (run, self._now_ms, self._now_ms + duration_ms)
        self._after(duration_ms, lambda: self._end(run, RunOutcome.DONE))
        clock_ms = self._now_ms
        self._after(
            CALL_MS,
            lambda: self.scheduler.on_start_reply(
                run, OrderReply(OrderVerdict.OK, clock_ms), self._now_ms
            ),
        )

    def _stop(self, run: Run) -> None:
        run.stop_confirmed_ms = self._now_ms + CALL_MS
        self._after(CALL_MS + STOP_MS, lambda: self._end(run, RunOutcome.STOPPED))

    def _end(self, run: Run, end: RunOutcome) -> None:
        rows = self._running.get(run.executor_id)
        if rows is None or rows.pop(run.key, None) is None:
            return
        executor_id = run.executor_id
        sequence = self._sequence.get(executor_id, 0) + 1
        self._sequence[executor_id] = sequence
        self._ends.setdefault(executor_id, []).append(
            CompletionReport(sequence, *run.key, end, "")
        )
        self._after(COMPLETION_DELAY_MS, lambda: self._poll(executor_id))

    def _poll(self, executor_id: str) -> None:
        executor = self.scheduler.executors_by_id.get(executor_id)
        rows = self._running.get(executor_id)
        if executor is None or rows is None:
            return
        reply = PollReply(OrderVerdict.UNKNOWN)
        if self._is_cut(executor):
            self._after(POLL_RETRY_MS, lambda: self._poll(executor_id))
        else:
            ends = tuple(self._ends.pop(executor_id, ()))
            boot = executor.entry.boot
            reply = PollReply(
                OrderVerdict.OK, self._now_ms, boot, self._rows(rows), ends
            )
            executor.extend_lease(RUN_LEASE_MS, self._now_ms)
        self.scheduler.on_poll_reply(executor_id, reply, self._now_ms - 1, self._now_ms)
        self._wake()

    def _rows(
        self, rows: dict[tuple[str, int], tuple[Run, int, int]]
    ) -> tuple[RunningReport, ...]:
        found: list[RunningReport] = []
        neighbours = (
            sum(run.task.step_run.step.long_running for run, _, _ in rows.values()) - 1
        )
        for run, begin_ms, end_ms in rows.values():
            percent = 100.0 * (self._now_ms - begin_ms) / max(1, end_ms - begin_ms)
            if run.task.step_run.step.long_running:
                percent = 100.0 if self._now_ms - begin_ms >= STARTUP_MS else 0.0
            target_ms = run.task.step_run.step.target_ms
            load = target_ms * self.plan.crowding_load * neighbours
            found.append(RunningReport(*run.key, "", percent, load))
        return tuple(found)

    # Sums

    def _compute_benefit(self, arrival: BurstArrival, mean_core_ms: float) -> float:
        return min(4.0, 0.3 + 0.7 * arrival.core_ms / mean_core_ms)

    def objective_ms(self, arrival: BurstArrival) -> float:
        """Latency objective of a submission."""
        load = self.plan.queues[arrival.queue]
        pool_cpu = self.plan.pools[arrival.queue] * self.plan.machine.cpu
        return (
            load.objective_factor * arrival.compute_critical_path_ms(pool_cpu)
            + load.objective_ms
        )

    def earned_share(self, arrival: BurstArrival) -> float:
        """Return what part of its worth a submission earned."""
        ended_ms = self.ended_ms.get(arrival.submission.id)
        if ended_ms is None:
            return 0.0
        took_ms = ended_ms - self.plan.lead_ms - arrival.at_ms
        objective_ms = self.objective_ms(arrival)
        if took_ms <= objective_ms:
            return 1.0
        return LATE_BENEFIT if took_ms <= LATE_OBJECTIVES * objective_ms else 0.0

    def _measure(self) -> Measures:
        by_queue: dict[int, list[BurstArrival]] = {}
        for arrival in self.arrivals:
            by_queue.setdefault(arrival.queue, []).append(arrival)
        mean = {
            number: sum(row.core_ms for row in rows) / len(rows)
            for number, rows in by_queue.items()
        }
        earned: dict[int, float] = {}
        owed: dict[int, float] = {}
        for arrival in self.arrivals:
            worth = self._compute_benefit(arrival, mean[arrival.queue])
            window = arrival.at_ms // WINDOW_MS
            owed[window] = owed.get(window, 0.0) + worth
            share = self.earned_share(arrival)
            earned[window] = earned.get(window, 0.0) + worth * share
        shares = sorted(earned[window] / owed[window] for window in owed)
        largest = [
            self.earned_share(arrival)
            for rows in by_queue.values()
            for arrival in sorted(rows, key=lambda r: -r.core_ms)[: len(rows) // 10 + 1]
        ]
        length_ms = self.plan.length_ms
        own = sum(self.plan.pools) * length_ms
        expected_ms = self.plan.long_running * len(self.plan.pools) * length_ms
        expected_ms *= self.plan.long_running_submissions
        return Measures(
            served=sum(earned.values()) / sum(owed.values()),
            worst_windows=sum(shares[:2]) / 2,
            largest=sum(largest) / len(largest),
            available=self._available_ms / expected_ms if expected_ms else 1.0,
            pool_share=self._machine_ms / own,
            moves=self._moves,
            moving_share=self._moving_ms / own,
        )

"""Load of contended pools, which the leader summarises for the entry processes.

Load pattern: during an overload, hundreds of accepted submissions wait in a pool. Where
a new one would be served depends on the order in which they are started, on the quotas
of their organisations, and on machines that are on their way.
"""

import collections
import dataclasses
import math
import typing as t

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import LiveSubmission
from cranberrywheel.submission.machines import Machine, MachineState
from cranberrywheel.submission.model import NO_RESOURCES, Queue, Resources
from cranberrywheel.submission.pool_sizing import PoolSizingState
from cranberrywheel.submission.queue_order import (
    ON_TIME,
    compute_scheduling_key,
    estimate_remaining_work,
)
from cranberrywheel.submission.state import SchedulerState

#: Multiple of its objective after which an answer is worth nothing to its caller.
WORTHLESS_AFTER_OBJECTIVES = 3.0
#: Part of the shortest wait that can lead to a refusal from which a pool counts as
#: contended, so that the processes have its load before they need it.
CONTENDED_FRACTION = 0.5
#: Resolution and number of steps of the order of work in a summary. Work beyond the
#: last step is not counted as ahead of anything.
ORDER_BIN_MS = 500
ORDER_BINS = 10
#: Place in the order from which work is not counted as ahead of anything. Of a run,
#: too, no more is counted: otherwise a few long runs refuse work in a pool that has
#: free capacity.
ORDER_HORIZON_MS = ORDER_BIN_MS * (ORDER_BINS - 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """Accepted short work of one organisation in one queue, in core-milliseconds.

    :param on_time_core_ms: work that can still meet its objective, by its place in the
        order: first that of the runs, then that of each ``ORDER_BIN_MS`` of the
        scheduling key.
    :param late_core_ms: waiting work that cannot meet its objective any more.
    :param limit_cpu: thousandths of a core that the organisation's quota leaves it on
        this pool; 0 for no limit.
    """

    queue: str
    organisation: str
    on_time_core_ms: tuple[int, ...]
    late_core_ms: int
    limit_cpu: int = 0

    def sum_ahead_core_ms(self, place_ms: float) -> int:
        """Return the work that is certainly ordered before a place.

        :param place_ms: scheduling key, counted from the time of the summary.
        """
        bins = 1 + max(0, int(place_ms // ORDER_BIN_MS))
        return sum(self.on_time_core_ms[: min(bins, ORDER_BINS)])


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad:
    """Short work ahead of a new submission, and how fast a pool does it.

    :param drain_cpu: thousandths of a core for short work, of all executors that are
        there, do not answer at the moment, are on their way or belong to the pool.
    :param pool_cpu: thousandths of a core of the executors, as the order counts them.
    :param factors_by_queue: expected work and the durations by which the scheduler
        orders, as multiples of the declared ones.
    """

    drain_cpu: int
    pool_cpu: int
    backlogs: tuple[Backlog, ...]
    factors_by_queue: dict[str, tuple[float, float]]

    @property
    def wait_ms(self) -> float:
        """Time in which the pool does its whole backlog."""
        core_ms = sum(
            sum(row.on_time_core_ms) + row.late_core_ms for row in self.backlogs
        )
        return 1_000 * core_ms / self.drain_cpu


def count_expected_machines(
    sizing: PoolSizingState, machines: t.Iterable[Machine]
) -> dict[str, int]:
    """Count the machines that each pool has, gets, or has lent to another pool.

    A backlog that lasts for seconds brings lent machines home.
    """
    counts: collections.Counter[str] = collections.Counter()
    for machine in machines:
        if machine.state is MachineState.DOWN:
            continue
        present = sizing.destination_by_machine.get(machine.id, machine.pool)
        counts.update({present, sizing.home_pool_by_machine.get(machine.id, present)})
    return dict(counts)


def compute_load_by_service(
    state: SchedulerState,
    machines_by_service: t.Mapping[str, int],
    now_ms: int,
    unix_ms: int,
) -> dict[str, PoolLoad]:
    """Return the load of each contended pool.

    :param machines_by_service: machines that each pool can expect to have, from
        :func:`count_expected_machines`.
    :param now_ms: steady time in milliseconds.
    :param unix_ms: time of day in Unix milliseconds.
    """
    configuration = state.configuration
    if configuration is None or not any(state.waiting_by_service.values()):
        return {}
    queues_by_service: dict[str, list[Queue]] = {}
    for queue in configuration.queues_by_key.values():
        if queue.objective_ms > 0 and state.waiting_by_service.get(queue.service):
            queues_by_service.setdefault(queue.service, []).append(queue)
    lives_by_service: dict[str, list[LiveSubmission]] = {}
    for live in state.live_by_id.values():
        if live.queue.service in queues_by_service and _is_short(live):
            lives_by_service.setdefault(live.queue.service, []).append(live)
    found: dict[str, PoolLoad] = {}
    for service, lives in lives_by_service.items():
        load = _compute_load(
            state, service, lives, machines_by_service.get(service, 0), now_ms, unix_ms
        )
        shortest_ms = min(queue.objective_ms for queue in queues_by_service[service])
        threshold_ms = CONTENDED_FRACTION * WORTHLESS_AFTER_OBJECTIVES * shortest_ms
        if load is not None and load.wait_ms >= threshold_ms:
            found[service] = load
    return found


def _is_short(live: LiveSubmission) -> bool:
    return not (
        live.final_state or live.has_long_running_step or live.submission.schedule
    )


def _may_serve(executor: Executor) -> bool:
    """Tell whether an executor serves now, or may do so again at any moment."""
    # Executors that a new leader has not polled yet, or that stop runs of the previous
    # one, serve again within a poll or two.
    return (
        executor.registered
        and not executor.cordoned
        and not executor.evacuated
        and not executor.entry.draining
    )


def _count_fitting(claim: Resources, amount: Resources, limit: int) -> int:
    """Return how many times a claim fits in an amount, up to a limit."""
    pairs = (
        (claim.cpu, amount.cpu),
        (claim.memory_mb, amount.memory_mb),
        (claim.gpu, amount.gpu),
    )
    return max(0, min([limit, *(has // asks for asks, has in pairs if asks)]))


def _fits_waiting(
    waiting: t.Iterable[LiveSubmission],
    executors: t.Sequence[Executor],
    unix_ms: int,
) -> bool:
    """Tell whether all tasks that are ready and wait fit in the free capacity.

    The tasks are assigned to the first executor with room. Labels and other constraints
    do not count, nor do tasks that are larger than any executor.
    """
    free = [executor.free for executor in executors if executor.is_usable]
    for live in waiting:
        if live.get_due_ms(0) > unix_ms:
            continue
        for step_run in live.list_ready_steps():
            claim, count = step_run.step.claim, len(step_run.waiting)
            if not any(claim.fits_in(row.entry.capacity) for row in executors):
                continue
            for number, amount in enumerate(free):
                taken = _count_fitting(claim, amount, count)
                free[number] = amount - Resources(
                    claim.cpu * taken, claim.memory_mb * taken, claim.gpu * taken
                )
                count -= taken
            if count:
                return False
    return True


@dataclasses.dataclass(slots=True)
class _Running:
    """Runs of short work on one pool.

    :ivar long_running_cpu: cpu that long-running tasks reserve.
    :ivar begun_core_ms: expected work of the running tasks, by submission id.
    :ivar left_core_ms: the part of it that is not done, up to the horizon of the order.
    :ivar cpu_by_organisation: cpu that short tasks reserve.
    """

    long_running_cpu: int = 0
    begun_core_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    left_core_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    cpu_by_organisation: dict[str, int] = dataclasses.field(default_factory=dict)


def _measure_runs(
    state: SchedulerState, executors: t.Iterable[Executor], now_ms: int
) -> _Running:
    running = _Running()
    for executor in executors:
        for run in executor.runs.values():
            live = run.task.step_run.live
            step = run.task.step_run.step
            if step.long_running:
                running.long_running_cpu += step.claim.cpu
                continue
            key = live.submission.id
            duration_ms = step.estimated_ms * state.work_ratio.get_factor(live)
            left_ms = max(0.0, duration_ms - (now_ms - run.started_ms))
            left_ms = min(left_ms, ORDER_HORIZON_MS)
            cores = step.size.cpu / 1_000
            running.begun_core_ms[key] = (
                running.begun_core_ms.get(key, 0.0) + cores * duration_ms
            )
            running.left_core_ms[key] = (
                running.left_core_ms.get(key, 0.0) + cores * left_ms
            )
            owner = live.submission.organisation
            running.cpu_by_organisation[owner] = (
                running.cpu_by_organisation.get(owner, 0) + step.size.cpu
            )
    return running


def _compute_load(
    state: SchedulerState,
    service: str,
    lives: t.Sequence[LiveSubmission],
    machines: int,
    now_ms: int,
    unix_ms: int,
) -> PoolLoad | None:
    """Return the load of one pool; ``None`` if nothing can be said about it."""
    pool = state.executors_by_service.get(service, {}).values()
    if any(
        executor.registered and executor.reachable and not executor.fence_confirmed
        for executor in pool
    ):
        return None  # its runs are not known yet
    executors = [executor for executor in pool if _may_serve(executor)]
    if _fits_waiting(state.waiting_by_service[service].values(), executors, unix_ms):
        return None
    running = _measure_runs(state, executors, now_ms)
    machine_cpu = max((row.entry.capacity.cpu for row in executors), default=0)
    total_cpu = sum(row.entry.capacity.cpu for row in executors)
    drain_cpu = max(total_cpu, machines * machine_cpu) - running.long_running_cpu
    if drain_cpu <= 0:
        return None
    # The work of a backlog is known up to its standard error, as in demand.py.
    certainty = 1 - 1 / math.sqrt(len(lives))
    rows: dict[tuple[str, str], tuple[list[float], list[float]]] = {}
    factors_by_queue: dict[str, tuple[float, float]] = {}
    for live in lives:
        if any(step.claim.cpu > machine_cpu for step in live.submission.steps):
            continue  # waits until there is a larger machine, and delays nobody
        submission = live.submission
        factor = state.work_ratio.get_factor(live)
        order_factor = state.duration_estimates.get_factor(live)
        factors_by_queue[submission.queue] = (factor, order_factor)
        on_time, late = rows.setdefault(
            (submission.queue, submission.organisation), ([0.0] * ORDER_BINS, [0.0])
        )
        on_time[0] += running.left_core_ms.get(submission.id, 0.0)
        begun = running.begun_core_ms.get(submission.id, 0.0)
        waiting = max(0.0, estimate_remaining_work(live, factor).core_ms - begun)
        waiting *= certainty
        remaining = estimate_remaining_work(live, order_factor, total_cpu)
        group, _, place = compute_scheduling_key(live, remaining, unix_ms)
        if group is not ON_TIME:
            late[0] += waiting
            continue
        number = 1 + int(max(0.0, place - unix_ms) // ORDER_BIN_MS)
        if number < ORDER_BINS:
            on_time[number] += waiting
        else:
            late[0] += waiting  # ahead only of work that is late itself
    backlogs = tuple(
        Backlog(
            *key,
            tuple(round(core_ms) for core_ms in on_time),
            round(late[0]),
            _compute_limit_cpu(state, key[1], running),
        )
        for key, (on_time, late) in sorted(rows.items())
    )
    return PoolLoad(drain_cpu, max(1, total_cpu), backlogs, factors_by_queue)


def _compute_limit_cpu(
    state: SchedulerState, organisation: str, running: _Running
) -> int:
    """Return the cpu that a quota leaves for short work on a pool; 0 for no limit."""
    owner = state.settings.find_organisation(organisation)
    if not owner or not owner.quota.cpu:
        return 0
    used_cpu = state.used_by_organisation.get(organisation, NO_RESOURCES).cpu
    used_elsewhere = used_cpu - running.cpu_by_organisation.get(organisation, 0)
    return max(1, owner.quota.cpu - max(0, used_elsewhere))

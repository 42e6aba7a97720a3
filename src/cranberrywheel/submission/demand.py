"""Demand for short work: the cpu that each pool uses, has waiting and is offered.

Long-running steps count only for the cpu that they reserve.
"""

import collections
import math

from cranberrywheel.submission.failure_domains import find_unreachable_zones
from cranberrywheel.submission.live import LiveSubmission
from cranberrywheel.submission.mean_work import MeanWork
from cranberrywheel.submission.pool_sizing import PoolDemand
from cranberrywheel.submission.queue_order import estimate_remaining_work
from cranberrywheel.submission.state import SchedulerState
from cranberrywheel.submission.turn_forecast import ArrivalLoad

#: Time over which arriving work is averaged. A burst shows within it, and a single
#: large submission does not look like one for long.
OFFERED_WINDOW_MS = 1_000
#: Time within which the first submissions of a burst are looked for.
FIRST_SIGN_WINDOW_MS = 300
#: Submissions within it that are no coincidence between two bursts, when a pool of the
#: larger deployments gets less than one in a second.
FIRST_SIGN_COUNT = 4


def record_arrival(state: SchedulerState, live: LiveSubmission, now_ms: int) -> None:
    """Record the work of a submission that has just been accepted.

    :param now_ms: steady time in milliseconds.
    """
    if live.has_long_running_step or live.submission.schedule:
        return
    remaining = estimate_remaining_work(live, state.duration_estimates.get_factor(live))
    arrivals = state.arrivals_by_service.setdefault(
        live.queue.service, collections.deque()
    )
    arrivals.append((now_ms, remaining.core_ms))
    state.mean_work_by_service.setdefault(live.queue.service, MeanWork()).add(
        remaining.core_ms
    )


def _compute_offered(state: SchedulerState, service: str, now_ms: int) -> int:
    """Return the cpu that the work of the last moments certainly keeps busy.

    The estimate is reduced by its standard error, one over the root of the number of
    arrivals: in a small pool, one large submission is no burst.
    """
    arrivals = state.arrivals_by_service.get(service)
    while arrivals and arrivals[0][0] < now_ms - OFFERED_WINDOW_MS:
        arrivals.popleft()
    if not arrivals:
        return 0
    core_ms = sum(core_ms for _, core_ms in arrivals)
    if state.features.turn_forecast:
        core_ms = state.mean_work_by_service[service].smooth(core_ms, len(arrivals))
    certainty = 1 - 1 / math.sqrt(len(arrivals))
    return round(1_000 * certainty * core_ms / OFFERED_WINDOW_MS)


def compute_arrival_load(
    state: SchedulerState,
    service: str,
    demand: PoolDemand,
    own_cpu: int,
    now_ms: int,
) -> ArrivalLoad:
    """Return the work that arrives for a pool.

    :param demand: present demand of the pool.
    :param own_cpu: cpu of the pool's own machines, in thousandths of a core.
    :param now_ms: steady time in milliseconds.
    """
    certain = _compute_offered(state, service, now_ms)
    arrivals = state.arrivals_by_service.get(service) or ()
    core_ms = sum(core_ms for _, core_ms in arrivals)
    since_ms, seen_core_ms = now_ms, 0.0
    for at_ms, arrived_core_ms in arrivals:
        seen_core_ms += arrived_core_ms
        if seen_core_ms >= core_ms / 10:
            since_ms = at_ms
            break
    recent = [
        core_ms for at_ms, core_ms in arrivals if at_ms >= now_ms - FIRST_SIGN_WINDOW_MS
    ]
    first_sign = 0
    if len(recent) >= FIRST_SIGN_COUNT:
        first_sign = round(1_000 * sum(recent) / FIRST_SIGN_WINDOW_MS)
    return ArrivalLoad(
        arriving=round(1_000 * core_ms / OFFERED_WINDOW_MS),
        certain=certain,
        first_sign=first_sign,
        since_ms=since_ms,
        used=demand.used,
        waiting=demand.waiting,
        own_cpu=own_cpu,
        error=math.sqrt(sum(work * work for _, work in arrivals)) / max(1, core_ms),
    )


def compute_demand_by_service(
    state: SchedulerState, now_ms: int
) -> dict[str, PoolDemand]:
    """Return the demand of each pool for short work, by service.

    :param now_ms: steady time in milliseconds.
    """
    capacity: dict[str, int] = {}
    machine_cpu: dict[str, int] = {}
    executors: dict[str, int] = {}
    unreachable_zones = find_unreachable_zones(state.executors_by_id.values())
    used: dict[str, int] = {}
    long_running: dict[str, int] = {}
    waiting: dict[str, int] = {}
    for executor in state.executors_by_id.values():
        service = executor.entry.service
        executors[service] = executors.get(service, 0) + (
            executor.registered and executor.entry.zone not in unreachable_zones
        )
        cpu = executor.entry.capacity.cpu
        # A pool that has lost all its executors still needs machines of some size.
        machine_cpu[service] = max(machine_cpu.get(service, 0), cpu)
        if executor.is_available:
            capacity[service] = capacity.get(service, 0) + cpu
        for run in executor.runs.values():
            step = run.task.step_run.step
            by_service = long_running if step.long_running else used
            by_service[service] = by_service.get(service, 0) + step.claim.cpu
    for live in state.live_by_id.values():
        service = live.queue.service
        for step_run in live.list_ready_steps():
            claim = step_run.step.claim.cpu
            # A task larger than any machine waits for ever, and no machine helps it.
            if step_run.step.long_running or claim > machine_cpu.get(service, claim):
                continue
            claim *= len(step_run.waiting)
            waiting[service] = waiting.get(service, 0) + claim
    return {
        service: PoolDemand(
            used.get(service, 0),
            waiting.get(service, 0),
            capacity.get(service, 0),
            machine_cpu.get(service) or max(machine_cpu.values(), default=0),
            _compute_offered(state, service, now_ms),
            long_running.get(service, 0),
            executors.get(service, 0),
        )
        for service in executors.keys() | used.keys() | waiting.keys()
    }


def compute_pressure_by_service(state: SchedulerState, now_ms: int) -> dict[str, float]:
    """Return the demand for short work as a fraction of each pool.

    :param now_ms: steady time in milliseconds.
    """
    return {
        service: demand.pressure
        for service, demand in compute_demand_by_service(state, now_ms).items()
    }


def count_waiting_submissions(state: SchedulerState, queue: str) -> int:
    """Count the unfinished submissions of a queue of which no task has started.

    :param queue: key of the queue.
    """
    return sum(
        live.submission.queue == queue and not live.started and not live.final_state
        for live in state.live_by_id.values()
    )

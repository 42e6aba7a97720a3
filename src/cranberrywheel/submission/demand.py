"""Demand for short work: the cpu that each pool uses and has waiting.

Long-running steps are not counted.
"""

from cranberrywheel.submission.pool_sizing import PoolDemand
from cranberrywheel.submission.state import SchedulerState


def compute_demand_by_service(state: SchedulerState) -> dict[str, PoolDemand]:
    """Return the demand of each pool for short work, by service."""
    capacity: dict[str, int] = {}
    machine_cpu: dict[str, int] = {}
    used: dict[str, int] = {}
    waiting: dict[str, int] = {}
    for executor in state.executors_by_id.values():
        service = executor.entry.service
        if executor.is_usable:
            cpu = executor.entry.capacity.cpu
            capacity[service] = capacity.get(service, 0) + cpu
            machine_cpu[service] = max(machine_cpu.get(service, 0), cpu)
        for run in executor.runs.values():
            step = run.task.step_run.step
            if not step.long_running:
                used[service] = used.get(service, 0) + step.claim.cpu
    for live in state.live_by_id.values():
        service = live.queue.service
        for step_run in live.list_ready_steps():
            if not step_run.step.long_running:
                claim = step_run.step.claim.cpu * len(step_run.waiting)
                waiting[service] = waiting.get(service, 0) + claim
    return {
        service: PoolDemand(
            used.get(service, 0),
            waiting.get(service, 0),
            capacity.get(service, 0),
            machine_cpu.get(service, 0),
        )
        for service in capacity.keys() | used.keys() | waiting.keys()
    }


def compute_pressure_by_service(state: SchedulerState) -> dict[str, float]:
    """Return used and waiting cpu of short work as a fraction of each pool."""
    return {
        service: demand.pressure
        for service, demand in compute_demand_by_service(state).items()
    }


def count_waiting_submissions(state: SchedulerState, queue: str) -> int:
    """Count the unfinished submissions of a queue of which no task has started.

    :param queue: key of the queue.
    """
    return sum(
        live.submission.queue == queue and not live.started and not live.final_state
        for live in state.live_by_id.values()
    )

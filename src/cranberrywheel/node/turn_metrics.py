"""Metrics of the pools that follow the turns of their queues."""

import typing as t

from cranberrywheel.node.metrics import Metrics
from cranberrywheel.submission.state import SchedulerState


def add_turn_gauges(
    metrics: Metrics, get_scheduler: t.Callable[[], SchedulerState | None]
) -> None:
    """Add the gauges; they are 0 at a process that does not lead.

    :param get_scheduler: returns the scheduler of the leader, or ``None``.
    """

    def read(compute: t.Callable[[SchedulerState], int]) -> t.Callable[[], float]:
        def read_value() -> float:
            scheduler = get_scheduler()
            return float(compute(scheduler)) if scheduler is not None else 0.0

        return read_value

    metrics.gauge(
        "cranberrywheel_turns_known",
        "Queues of which the start of a turn is known, at the leader",
        read(
            lambda scheduler: sum(
                queue.last_start_ms is not None
                for queue in list(scheduler.turns.by_pool.values())
            )
        ),
    )
    metrics.gauge(
        "cranberrywheel_turn_forecast_failures",
        "Turns that came unexpectedly or not at all, since the takeover",
        read(lambda scheduler: scheduler.turns.failure_count),
    )
    metrics.gauge(
        "cranberrywheel_packed_machines",
        "Machines on which pools pack their long-running tasks, at the leader",
        read(
            lambda scheduler: sum(
                map(len, list(scheduler.packed_machines_by_service.values()))
            )
        ),
    )

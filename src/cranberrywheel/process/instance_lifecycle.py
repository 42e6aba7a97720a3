"""State machine of one instance: drain, confirm empty, change pool or reboot, admit.

Each function is pure. The planner writes the new assignment by compare-and-swap
before it calls the platform, so that any later planner can finish a recorded step.
"""

import collections
import dataclasses
import enum
import typing as t

from cranberrywheel.process.fleet_model import (
    Fleet,
    FleetInstance,
    InstanceAssignment,
    InstanceState,
    Sizing,
    WorkerReport,
)


class PlatformAction(enum.StrEnum):
    """Action that the planner requests from the platform."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    REBOOT = "reboot"


def get_platform_action(state: InstanceState) -> PlatformAction:
    """Return the platform action that establishes a recorded state.

    The action is safe to repeat: a second reboot only costs time, because the
    instance is empty.
    """
    if state is InstanceState.SERVING:
        return PlatformAction.UNDRAIN
    if state is InstanceState.REBOOTING:
        return PlatformAction.REBOOT
    return PlatformAction.DRAIN


def begin_drain(
    assignment: InstanceAssignment, target_pool: str, now_ms: int
) -> InstanceAssignment:
    """Return the assignment that starts a drain.

    :param target_pool: pool to move to, or ``""`` for maintenance.
    """
    return dataclasses.replace(
        assignment,
        state=InstanceState.DRAINING,
        target_pool=target_pool,
        since_ms=now_ms,
    )


def recall(assignment: InstanceAssignment, now_ms: int) -> InstanceAssignment:
    """Return the assignment that puts a drained instance back into its present pool."""
    return InstanceAssignment(pool=assignment.pool, since_ms=now_ms)


def quarantine(assignment: InstanceAssignment, now_ms: int) -> InstanceAssignment:
    """Return the assignment that takes a worker out because its tasks all failed."""
    return InstanceAssignment(
        pool=assignment.pool, state=InstanceState.QUARANTINED, since_ms=now_ms
    )


def begin_repair(assignment: InstanceAssignment, now_ms: int) -> InstanceAssignment:
    """Return the assignment that reboots a quarantined instance."""
    return InstanceAssignment(
        pool=assignment.pool, state=InstanceState.REBOOTING, since_ms=now_ms
    )


def advance(
    assignment: InstanceAssignment,
    report: WorkerReport,
    rebooted: bool,
    due: bool,
    now_ms: int,
) -> InstanceAssignment | None:
    """Return the next assignment of an instance that is out, or ``None`` to wait.

    :param report: the worker's report, requested after the state began.
    :param rebooted: whether the worker did not answer at some time since the reboot
        was requested, or the reboot time has passed. Otherwise a worker that answers
        may not have been stopped yet.
    :param due: whether maintenance is due; a move then includes the reboot, which
        saves a second drain.
    """
    if assignment.state is InstanceState.DRAINING:
        # Only the worker's own report proves that no task is running.
        if report.reachable and report.running == 0:
            return dataclasses.replace(
                assignment, state=InstanceState.EMPTY, since_ms=now_ms
            )
        return None
    if assignment.state is InstanceState.EMPTY:
        pool = assignment.target_pool or assignment.pool
        if pool != assignment.pool and not due:
            return InstanceAssignment(pool=pool, since_ms=now_ms)
        return InstanceAssignment(
            pool=pool, state=InstanceState.REBOOTING, since_ms=now_ms
        )
    if assignment.state is InstanceState.REBOOTING:
        if rebooted and report.reachable:
            return InstanceAssignment(pool=assignment.pool, since_ms=now_ms)
    return None


def choose_transfers(
    fleet: Fleet, sizing: Sizing, available: t.Iterable[FleetInstance]
) -> list[tuple[FleetInstance, str]]:
    """Choose instances to move so that pools get closer to their decided sizes.

    Instances that drain soonest are chosen first. Moves already recorded count as
    made.

    :param available: instances that may be taken out of service.
    :returns: pairs of instance and target pool, within the same zone.
    """
    current_counts: collections.Counter[tuple[str, str]] = collections.Counter(
        (instance.assignment.target_pool or instance.pool, instance.zone)
        for instance in fleet.instances_by_name.values()
    )
    decided_counts = {
        (pool, zone): count
        for pool, zones in sizing.counts.items()
        for zone, count in zones.items()
    }
    pools_short_by_zone: dict[str, list[str]] = {}
    for (pool, zone), count in sorted(decided_counts.items()):
        shortage = count - current_counts[pool, zone]
        pools_short_by_zone.setdefault(zone, []).extend([pool] * max(0, shortage))
    surplus = {
        key: count - decided_counts.get(key, 0) for key, count in current_counts.items()
    }
    chosen = []
    for instance in sorted(
        available, key=lambda instance: (instance.report.drain_ms, instance.name)
    ):
        key = (instance.pool, instance.zone)
        if surplus.get(key, 0) > 0 and pools_short_by_zone.get(instance.zone):
            chosen.append((instance, pools_short_by_zone[instance.zone].pop(0)))
            surplus[key] -= 1
    return chosen

"""State machine of one instance: drain, confirm empty, change pool or reboot, admit.

Each function is pure. The planner writes the new row by compare-and-swap before it
acts at the platform, so that any later planner can finish a recorded step.
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
    """What the platform is asked to do with an instance."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    REBOOT = "reboot"


def get_platform_action(state: InstanceState) -> PlatformAction:
    """Return the platform's action that makes a recorded state true.

    Repeating it does no harm; a second reboot costs only time, because the instance
    is empty.
    """
    if state is InstanceState.SERVING:
        return PlatformAction.UNDRAIN
    if state is InstanceState.REBOOTING:
        return PlatformAction.REBOOT
    return PlatformAction.DRAIN


def begin_drain(
    assignment: InstanceAssignment, target_pool: str, now_ms: int
) -> InstanceAssignment:
    """Start maintenance, or a move if ``target_pool`` is not empty."""
    return dataclasses.replace(
        assignment,
        state=InstanceState.DRAINING,
        target_pool=target_pool,
        since_ms=now_ms,
    )


def recall(assignment: InstanceAssignment, now_ms: int) -> InstanceAssignment:
    """Return a drained instance to its present pool."""
    return InstanceAssignment(pool=assignment.pool, since_ms=now_ms)


def quarantine(assignment: InstanceAssignment, now_ms: int) -> InstanceAssignment:
    """Take a worker that fails everything out of its pool's service."""
    return InstanceAssignment(
        pool=assignment.pool, state=InstanceState.QUARANTINED, since_ms=now_ms
    )


def begin_repair(assignment: InstanceAssignment, now_ms: int) -> InstanceAssignment:
    """Reboot a quarantined instance."""
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
    """Return the next row of an instance that is out, or ``None`` to wait.

    :param report: the worker's answer, asked for after the state began.
    :param rebooted: whether the worker was silent since the platform was asked to
        reboot it, or had the time for a reboot. A worker that answers may otherwise
        not have been stopped yet.
    :param due: whether maintenance is due; a move then includes the reboot, which
        saves a second drain.
    """
    if assignment.state is InstanceState.DRAINING:
        # Only the worker's own answer shows that no task runs.
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
    fleet: Fleet, sizing: Sizing, free: t.Iterable[FleetInstance]
) -> list[tuple[FleetInstance, str]]:
    """Choose instances whose move brings pools closer to their decided sizes.

    Instances whose work ends soonest go first; moves already recorded count.

    :param free: instances that may be taken.
    :returns: pairs of instance and target pool, within each zone.
    """
    present: collections.Counter[tuple[str, str]] = collections.Counter(
        (i.assignment.target_pool or i.pool, i.zone)
        for i in fleet.instances_by_name.values()
    )
    wanted = {
        (pool, zone): count
        for pool, zones in sizing.counts.items()
        for zone, count in zones.items()
    }
    lacking: dict[str, list[str]] = {}
    for (pool, zone), count in sorted(wanted.items()):
        lack = count - present[pool, zone]
        lacking.setdefault(zone, []).extend([pool] * max(0, lack))
    surplus = {key: n - wanted.get(key, 0) for key, n in present.items()}
    chosen = []
    for instance in sorted(free, key=lambda i: (i.report.drain_ms, i.name)):
        key = (instance.pool, instance.zone)
        if surplus.get(key, 0) > 0 and lacking.get(instance.zone):
            chosen.append((instance, lacking[instance.zone].pop(0)))
            surplus[key] -= 1
    return chosen

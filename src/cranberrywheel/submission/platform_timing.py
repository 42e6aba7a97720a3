"""Timing of the deployment that decisions depend on."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformTiming:
    """Timing of the deployment, in milliseconds.

    :param grace_ms: time between SIGTERM and the kill of a process.
    :param order_lease_ms: shortest time between machine orders of two leaders.
    :param maintenance_ms: how long the maintenance of a machine takes.
    :param max_run_lease_ms: longest lease that an executor grants to a run, whatever
        deadline an order carries.
    :param evacuation_ms: time within which the evacuation of an availability zone must
        take effect; 0 if operators cannot ask for one.
    """

    grace_ms: int = 6_000
    order_lease_ms: int = 3_000
    maintenance_ms: int = 2_000
    max_run_lease_ms: int = 10_000
    evacuation_ms: int = 0

"""Figures of the deployment that decisions depend on."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformTiming:
    """Figures of the deployment, in milliseconds.

    :param grace_ms: time between SIGTERM and the kill of a process.
    :param order_lease_ms: pause between duty orders of two holders.
    :param upkeep_ms: how long a machine's upkeep takes.
    """

    grace_ms: int = 6_000
    order_lease_ms: int = 3_000
    maintenance_ms: int = 2_000

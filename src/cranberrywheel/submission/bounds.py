"""Figures of the deployment that decisions depend on."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the deployment, in milliseconds.

    :param grace_ms: time between SIGTERM and the kill of a process.
    :param duty_lease_ms: pause between duty orders of two holders.
    :param upkeep_ms: how long a machine's upkeep takes.
    """

    grace_ms: int = 6_000
    duty_lease_ms: int = 3_000
    upkeep_ms: int = 2_000

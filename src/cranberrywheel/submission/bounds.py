"""Figures of the deployment that decisions depend on."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Figures that decisions depend on, all in milliseconds.

    :param lease_max_ms: longest lease that an executor grants.
    :param stop_ms: longest time that a stop takes.
    :param notice_ms: time at work after which a task counts as back.
    :param duty_lease_ms: pause between duty orders of two holders.
    :param harm_ms: time over its target after which a task counts as harmed.
    """

    grace_ms: int = 6_000
    lease_max_ms: int = 6_000
    stop_ms: int = 400
    gang_ms: int = 3_000
    early_ms: int = 250
    remote_factor: float = 2.0
    restore_ms: int = 500
    notice_ms: int = 4_500
    duty_lease_ms: int = 3_000
    harm_ms: int = 4_000
    upkeep_ms: int = 2_000
    move_ms: int = 1_500
    drain_ms: int = 2_000

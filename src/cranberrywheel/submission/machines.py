"""Machines, the waves of their upkeep, and the answers to duty orders."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """Machines whose upkeep is due within a time, at most ``at_once`` together."""

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    at_once: int


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """One machine; ``executor_id`` is empty while none runs on it.

    :param up: neither moving, nor in upkeep, nor down.
    """

    id: str
    pool: str
    up: bool
    in_upkeep: bool
    zone: str
    executor_id: str


class DutyVerdict(enum.Enum):
    """How the platform answered a duty order."""

    OK = "ok"
    FENCED = "fenced"
    BUSY = "busy"
    OTHER_WAVE = "other-wave"
    REFUSED = "refused"
    UNKNOWN = "unknown"

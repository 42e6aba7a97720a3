"""Machines, the waves of their upkeep, and the answers to duty orders."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """Machines whose upkeep is due within a time, at most ``at_once`` together."""

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_concurrent: int


class MachineState(enum.Enum):
    """State of a machine; ``OTHER`` stands for one that is not known here."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """One machine; ``executor_id`` is empty while none runs on it."""

    id: str
    pool: str
    state: MachineState
    zone: str
    executor_id: str

    @property
    def is_up(self) -> bool:
        """Whether the machine can take an order."""
        return self.state is MachineState.UP


class MachineOrderVerdict(enum.Enum):
    """How the platform answered a duty order."""

    OK = "ok"
    FENCED = "fenced"
    BUSY = "busy"
    OTHER_WAVE = "other-wave"
    REFUSED = "refused"
    UNKNOWN = "unknown"

"""Machines, their maintenance waves and the platform's answers to machine orders."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """Machines that need maintenance within a time.

    :param duration_ms: time within which the maintenance of all of them is due.
    :param max_concurrent: largest number of machines that may be down for the wave at
        once.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_concurrent: int


class MachineState(enum.Enum):
    """State of a machine.

    ``OTHER`` stands for any state that this version does not know.
    """

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the platform.

    :param executor_id: id of the executor on the machine, or ``""`` for none.
    """

    id: str
    pool: str
    state: MachineState
    zone: str
    executor_id: str

    @property
    def is_up(self) -> bool:
        """Whether the machine accepts orders."""
        return self.state is MachineState.UP


class MachineOrderVerdict(enum.Enum):
    """Platform's answer to a maintenance or move order for a machine.

    ``FENCED``: a newer leader has sent an order. ``BUSY``: the machine cannot take the
    order now. ``OTHER_WAVE``: the machine belongs to another wave, so it needs nothing
    more for this one. ``REFUSED``: the order had no effect. ``UNKNOWN``: it may have
    been or may yet be carried out.
    """

    OK = "ok"
    FENCED = "fenced"
    BUSY = "busy"
    OTHER_WAVE = "other-wave"
    REFUSED = "refused"
    UNKNOWN = "unknown"

"""Executors as the product knows them, and the orders that they take."""

import dataclasses
import enum

from cranberrywheel.submission.model import Resources


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorEntry:
    """What an executor says of itself.

    :param boot: start of its process; another value means that it restarted.
    :param rack: label that names its rack, or ``""``.
    """

    id: str
    service: str
    address: str
    zone: str
    draining: bool
    capacity: Resources
    labels: frozenset[str]
    rack: str
    machine: str
    boot: int


class RunOutcome(enum.Enum):
    """How a run ended.

    ``BROKEN``: another member of its gang ended. ``ALONE``: the other members of its
    gang did not come.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    GANG_MEMBER_ENDED = "broken"
    GANG_INCOMPLETE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningReport:
    """A run at work; ``percent`` is its progress, ``load`` a rough last reading.

    :param load: tail latency in milliseconds of a serving task; cpu in use of others.
    """

    task: str
    number: int
    checkpoint: str
    percent: float
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionReport:
    """An end in the executor's list; ``sequence`` rises within one boot."""

    sequence: int
    task: str
    number: int
    outcome: RunOutcome
    checkpoint: str


class OrderVerdict(enum.Enum):
    """How an executor answered an order.

    ``DUPLICATE``: the run is not newer than one that ended or was stopped there.
    ``REFUSED``: nothing was done. ``UNKNOWN``: it may have been or may yet be done.
    """

    OK = "ok"
    FENCED = "fenced"
    DUPLICATE = "duplicate"
    LATE = "late"
    NO_ROOM = "no-room"
    TICKET = "ticket"
    OTHER_BOOT = "other-boot"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer to a start, stop or pace order; ``clock_ms`` is the executor's clock."""

    verdict: OrderVerdict
    clock_ms: int = 0
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PollReply:
    """Answer to a look: what runs and which ends are not acknowledged."""

    verdict: OrderVerdict
    clock_ms: int = 0
    boot: int = 0
    running: tuple[RunningReport, ...] = ()
    completions: tuple[CompletionReport, ...] = ()
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """A start; ``deadline_ms`` is on the executor's clock."""

    task: str
    number: int
    payload: str
    deadline_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""

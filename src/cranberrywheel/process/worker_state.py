"""Data that the worker table keeps about each worker and pool."""

import dataclasses
import enum

from cranberrywheel.process.worker_health import Tally
from cranberrywheel.request.routing import SamplingList


class AttemptVerdict(enum.Enum):
    """How an attempt on a worker ended."""

    OK = "ok"
    #: It ran and the worker reported a failure.
    FAILED = "failed"
    #: The connection failed or broke before the answer.
    UNREACHABLE = "unreachable"
    #: The worker answered that it did not start it.
    REFUSED = "refused"
    #: The caller cancelled it or its deadline passed while it ran.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerRow:
    """What the configuration, pools and instance list say about a worker.

    :param name: unique name.
    :param address: IP address and port.
    :param zone: availability zone.
    :param rack: rack.
    :param pool: pool that it belongs to.
    :param slots: tasks that it runs at once.
    :param serving: whether its pool state is ``serving``.
    """

    name: str
    address: str
    zone: str
    rack: str
    pool: str
    slots: int
    serving: bool

    @property
    def place(self) -> tuple[str, str, str]:
        """What identifies the process behind the name: pool, zone and address."""
        return self.pool, self.zone, self.address


@dataclasses.dataclass(slots=True, eq=False)
class WorkerState:
    """A worker with its load, health and start token."""

    row: WorkerRow
    listed: bool = True
    leaving: bool = False
    own_in_flight: int = 0
    peer_in_flight: int = 0
    #: Slots held by recent failures and refusals.
    penalties: int = 0
    tally: Tally = dataclasses.field(default_factory=Tally)
    ejected_until_ms: int | None = None
    ejections: int = 0
    reinstated_ms: int = 0
    probing: bool = False
    token: str = ""
    token_asked_ms: int = 0

    def load(self) -> int:
        """Return the slots that count as used."""
        return self.own_in_flight + self.peer_in_flight + self.penalties


@dataclasses.dataclass(slots=True)
class PoolState:
    """A pool with the lists that its workers are sampled from."""

    near: SamplingList[WorkerState] = dataclasses.field(default_factory=SamplingList)
    far: SamplingList[WorkerState] = dataclasses.field(default_factory=SamplingList)
    #: Ejected workers whose backoff has passed.
    probes: SamplingList[WorkerState] = dataclasses.field(default_factory=SamplingList)
    #: Ejected workers in the order of their ejection.
    ejected: dict[WorkerState, None] = dataclasses.field(default_factory=dict)
    tally: Tally = dataclasses.field(default_factory=Tally)
    most_ejected: int = 0

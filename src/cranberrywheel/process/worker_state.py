"""Data that the worker table keeps about each worker and pool."""

import dataclasses
import enum

from cranberrywheel.process.worker_health import Tally
from cranberrywheel.request.routing import SamplingList

#: Workers refuse a token older than 2 s. The rest is left for sending the start.
TOKEN_USABLE_MS = 1_500
FIRST_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 60_000
#: A worker that stayed healthy this long starts again at the first backoff.
BACKOFF_RESET_MS = 300_000


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

    @property
    def is_failure(self) -> bool:
        """Whether it speaks against the worker."""
        return self in (AttemptVerdict.FAILED, AttemptVerdict.UNREACHABLE)


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

    def has_capacity(self) -> bool:
        """Whether it may get work and has a free slot, apart from its health."""
        listed = self.listed and self.row.serving and not self.leaving
        return listed and self.load() < self.row.slots

    def fresh_token(self, now_ms: int) -> str | None:
        """Return the start token if the worker will still accept it."""
        fresh = now_ms - self.token_asked_ms < TOKEN_USABLE_MS
        return self.token if self.token and fresh else None

    def next_backoff_ms(self, now_ms: int) -> int:
        """Count an ejection and return the time until its first probe."""
        healthy_ms = now_ms - self.reinstated_ms
        if not self.probing and healthy_ms > BACKOFF_RESET_MS:
            self.ejections = 0
        backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2**self.ejections)
        self.ejections += backoff_ms < MAX_BACKOFF_MS
        return backoff_ms


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

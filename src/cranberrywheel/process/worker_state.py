"""State that the worker table keeps of each worker and pool."""

import dataclasses
import enum

from cranberrywheel.process.worker_health import AttemptStats
from cranberrywheel.request.routing import SamplingList

#: Workers refuse a start token older than 2 s, and sending the start takes time.
MAX_TOKEN_AGE_MS = 1_500
FIRST_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 60_000
#: After this long without an ejection, a worker starts again at the first backoff.
BACKOFF_RESET_MS = 300_000


class AttemptVerdict(enum.Enum):
    """How an attempt on a worker ended, for the health statistics."""

    OK = "ok"
    #: The worker ran it and reported a failure.
    FAILED = "failed"
    #: The connection failed or broke before the answer.
    UNREACHABLE = "unreachable"
    #: The worker answered that it did not start the task.
    REFUSED = "refused"
    #: The caller cancelled it or its deadline passed while it ran.
    CANCELLED = "cancelled"

    @property
    def is_failure(self) -> bool:
        """Whether it counts as a failure of the worker."""
        return self in (AttemptVerdict.FAILED, AttemptVerdict.UNREACHABLE)


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerRow:
    """A worker as given by the configuration, the pool records and the instance list.

    :param name: unique name.
    :param address: ``host:port`` of the worker.
    :param zone: availability zone.
    :param rack: rack within the zone.
    :param pool: pool that the worker belongs to.
    :param slots: number of tasks that the worker runs at once.
    :param serving: whether its state in the pool record is ``serving``.
    """

    name: str
    address: str
    zone: str
    rack: str
    pool: str
    slots: int
    serving: bool

    @property
    def identity(self) -> tuple[str, str, str]:
        """Pool, zone and address; if they change, the name has another process."""
        return self.pool, self.zone, self.address


@dataclasses.dataclass(slots=True, eq=False)
class WorkerState:
    """Load, health and start token of one worker."""

    row: WorkerRow
    listed: bool = True
    leaving: bool = False
    own_in_flight: int = 0
    peer_in_flight: int = 0
    #: Number of slots that count as used after recent failures and refusals.
    penalties: int = 0
    stats: AttemptStats = dataclasses.field(default_factory=AttemptStats)
    ejected_until_ms: int | None = None
    ejections: int = 0
    reinstated_ms: int = 0
    probing: bool = False
    token: str = ""
    token_asked_ms: int = 0

    def count_used_slots(self) -> int:
        """Return the number of slots that count as used."""
        return self.own_in_flight + self.peer_in_flight + self.penalties

    def has_capacity(self) -> bool:
        """Whether it may get requests and has a free slot, whatever its health."""
        is_available = self.listed and self.row.serving and not self.leaving
        return is_available and self.count_used_slots() < self.row.slots

    def usable_token(self, now_ms: int) -> str | None:
        """Return the start token, or ``None`` if there is none or it is too old."""
        fresh = now_ms - self.token_asked_ms < MAX_TOKEN_AGE_MS
        return self.token if self.token and fresh else None

    def next_backoff_ms(self, now_ms: int) -> int:
        """Count an ejection and return the milliseconds until its first probe."""
        healthy_ms = now_ms - self.reinstated_ms
        if not self.probing and healthy_ms > BACKOFF_RESET_MS:
            self.ejections = 0
        backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2**self.ejections)
        self.ejections += backoff_ms < MAX_BACKOFF_MS
        return backoff_ms


@dataclasses.dataclass(slots=True)
class PoolState:
    """Sampling lists and statistics of one pool."""

    #: Workers with a free slot in the zone of this process, and in other zones.
    same_zone: SamplingList[WorkerState] = dataclasses.field(
        default_factory=SamplingList
    )
    other_zones: SamplingList[WorkerState] = dataclasses.field(
        default_factory=SamplingList
    )
    #: Ejected workers whose backoff has ended.
    probe_candidates: SamplingList[WorkerState] = dataclasses.field(
        default_factory=SamplingList
    )
    #: All ejected workers in the order of their ejection.
    ejected: dict[WorkerState, None] = dataclasses.field(default_factory=dict)
    stats: AttemptStats = dataclasses.field(default_factory=AttemptStats)
    max_ejected: int = 0

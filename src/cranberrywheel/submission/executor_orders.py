"""Registration of executors, the orders they accept and the replies they send."""

import dataclasses
import enum

from cranberrywheel.submission.model import Resources

#: Largest number of completions that an executor lists in one answer.
MAX_LISTED_COMPLETIONS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorEntry:
    """Entry that an executor registers in the store.

    :param address: ``host:port`` of its interface.
    :param draining: it shuts down and accepts no new runs.
    :param rack: label that names its rack, or ``""`` if none does.
    :param machine: id of the machine that it runs on.
    :param boot: start of its process, in Unix milliseconds; a later value means that
        it has restarted.
    :param cold_remaining_ms: how much longer it is slow after it has come back, in
        milliseconds.
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
    cold_remaining_ms: int = 0


class RunOutcome(enum.Enum):
    """How a run ended; the values are those of the executors' interface.

    ``EXPIRED``: the lease ran out. ``GANG_MEMBER_ENDED``: another member of its gang
    ended. ``GANG_INCOMPLETE``: the other members of its gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    GANG_MEMBER_ENDED = "broken"
    GANG_INCOMPLETE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningReport:
    """State of a running task, as its executor reports it.

    :param checkpoint: last saved checkpoint, or ``""`` for none.
    :param percent: progress.
    :param load: rough last reading: the tail latency in milliseconds of a
        latency-sensitive task, the cpu in use of any other.
    """

    task: str
    number: int
    checkpoint: str
    percent: float
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionReport:
    """A finished run in an executor's list of completions.

    :param sequence: position in the list; increases within one boot.
    :param checkpoint: last saved checkpoint, or ``""`` for none.
    """

    sequence: int
    task: str
    number: int
    outcome: RunOutcome
    checkpoint: str


class OrderVerdict(enum.Enum):
    """Executor's answer to an order or a poll.

    ``FENCED``: it has seen the fence of a newer leader. ``DUPLICATE``: the run is not
    newer than one that ended or was stopped there. ``LATE``: the order's deadline has
    passed. ``NO_CAPACITY``: its capacity does not suffice. ``TICKET``: the advisor's
    ticket is missing or not valid. ``OTHER_BOOT``: another process has its address.
    ``OVERTAKEN``: a later order of the same leader with a higher fencing token arrived
    first, so it had no effect. ``REFUSED``: the order had no effect. ``UNKNOWN``: it
    may have been or may yet be carried out.
    """

    OK = "ok"
    FENCED = "fenced"
    DUPLICATE = "duplicate"
    LATE = "late"
    NO_CAPACITY = "no-room"
    TICKET = "ticket"
    OTHER_BOOT = "other-boot"
    OVERTAKEN = "overtaken"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer to a start, stop or throttle order.

    :param clock_ms: time on the executor's clock, or 0 if the answer has none.
    :param error: reason without an answer, otherwise the status code; for logs.
    """

    verdict: OrderVerdict
    clock_ms: int = 0
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PollReply:
    """Answer to a poll.

    :param clock_ms: time on the executor's clock, or 0 if the answer has none.
    :param boot: start of the executor's process, see :class:`ExecutorEntry`.
    :param running: all runs that have not ended.
    :param completions: completions that no leader has acknowledged yet.
    :param error: reason without an answer, otherwise the status code; for logs.
    :param connection_lost: the executor closed or reset the connection of the poll.
    :param refused: nothing accepts connections at the executor's address.
    """

    verdict: OrderVerdict
    clock_ms: int = 0
    boot: int = 0
    running: tuple[RunningReport, ...] = ()
    completions: tuple[CompletionReport, ...] = ()
    error: str = ""
    connection_lost: bool = False
    refused: bool = False

    @property
    def is_truncated(self) -> bool:
        """Whether the executor may have more completions than it lists."""
        return len(self.completions) >= MAX_LISTED_COMPLETIONS


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    :param deadline_ms: end of the lease on the executor's clock.
    :param checkpoint: checkpoint from which the run resumes, or ``""``.
    :param ticket: the advisor's ticket for the executor, or ``""``.
    """

    task: str
    number: int
    payload: str
    deadline_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""

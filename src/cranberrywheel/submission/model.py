"""Submissions, their steps and the operators' configuration."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of resources.

    :param cpu: thousandths of a core.
    :param memory_mb: memory in megabytes.
    :param gpu: number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )

    def __mul__(self, count: int) -> "Resources":
        return Resources(self.cpu * count, self.memory_mb * count, self.gpu * count)

    def limit_to(self, most: "Resources") -> "Resources":
        """Return the amounts, each reduced to that of ``most`` if it is larger."""
        return Resources(
            min(self.cpu, most.cpu),
            min(self.memory_mb, most.memory_mb),
            min(self.gpu, most.gpu),
        )

    def fits_in(self, available: "Resources") -> bool:
        """Tell whether no amount exceeds that of ``available``."""
        return (
            self.cpu <= available.cpu
            and self.memory_mb <= available.memory_mb
            and self.gpu <= available.gpu
        )


NO_RESOURCES = Resources()


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Identical tasks within a submission.

    Stored records use the field names.

    :param count: number of tasks.
    :param size: resources that one task uses.
    :param estimated_ms: declared duration of a task; may differ widely from the true
        one.
    :param after: numbers of the steps whose tasks must all be done first.
    :param checkpointing: tasks save checkpoints, from which a later run resumes.
    :param gang: tasks make progress only while all of them run.
    :param colocate: tasks run slower when they are spread over several racks.
    :param required_label: label that the executor must have, or ``""`` for none.
    :param data_rack: rack that holds the input data, or ``""`` for none.
    :param anti_affinity: largest number of the step's tasks on one executor; 0 for no
        limit.
    :param speculative: several runs of a task may execute at the same time.
    :param long_running: tasks run until the submission is cancelled.
    :param image: name of the program image; tasks of one image behave alike.
    :param target_ms: limit of the tail latency of a latency-sensitive task; 0 for
        none.
    :param fills: background tasks, which use spare cpu: their cpu is not counted
        against the executor's capacity.
    :param may_miss: largest number of tasks of a long-running step that planned
        maintenance may make unavailable at once.
    """

    count: int
    size: Resources
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    colocate: bool = False
    required_label: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def claim(self) -> Resources:
        """Capacity that a task reserves on an executor."""
        if self.fills:
            return Resources(0, self.size.memory_mb, self.size.gpu)
        return self.size


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Due times of a repeated submission.

    :param start_at_ms: Unix time of the first occurrence, in milliseconds.
    :param interval_ms: time between two occurrences, in milliseconds.
    :param repeat_count: number of occurrences.
    """

    start_at_ms: int
    interval_ms: int
    repeat_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Settings of its queue and its organisation with which a submission was accepted.

    They apply while the configuration does not name the queue or the organisation. The
    fields are those of :class:`Queue` and :class:`Organisation`; stored records use the
    field names.
    """

    queue_name: str
    priority: int
    attempts: int
    objective_factor: float
    objective_ms: int
    advised: bool
    weight: float
    quota: Resources


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """Work that a caller submitted. Stored records use the field names.

    :param queue: key of the queue, from :func:`build_queue_key`.
    :param service: service of the queue when the submission was accepted.
    :param organisation: owner of the API key of the call; ``""`` for a call without
        one.
    :param payload: opaque text for the executors.
    :param accepted_ms: Unix time of acceptance, in milliseconds.
    :param schedule: due times, or ``None`` to run the steps once and at once.
    :param terms: settings with which it was accepted; ``None`` in records of earlier
        versions.
    """

    id: str
    queue: str
    service: str
    organisation: str
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: int
    schedule: Schedule | None = None
    terms: Terms | None = None


class SubmissionState(enum.Enum):
    """State of a submission that callers see."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self in (
            SubmissionState.COMPLETED,
            SubmissionState.FAILED,
            SubmissionState.CANCELLED,
        )


def build_queue_key(host: str, prefix: str) -> str:
    """Return the key of a queue: its host and path prefix, separated by a space."""
    return f"{host} {prefix}"


@dataclasses.dataclass(frozen=True, slots=True)
class AdvisorTiming:
    """Time that the advisor takes for the calls of a queue; 0 if it is not stated.

    :param decision_ms: time for each call, in milliseconds.
    :param per_executor_ms: further time for each executor that a call names.
    """

    decision_ms: int = 0
    per_executor_ms: int = 0

    def compute_call_ms(self, executor_count: int) -> int:
        """Return the time of one call, without its wait for a turn."""
        return self.decision_ms + self.per_executor_ms * executor_count


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the configuration.

    The latency objective of a submission is ``objective_factor`` times the length of
    its critical path plus ``objective_ms``.

    :param host: host of the calls that belong to the queue.
    :param prefix: path prefix of the calls that belong to the queue.
    :param service: service whose pool of executors runs the queue's tasks.
    :param priority: 0 is the highest.
    :param attempts: failed runs of one task after which its submission fails.
    :param objective_factor: part of the latency objective that grows with the
        critical path.
    :param objective_ms: constant part of the latency objective, in milliseconds.
    :param timeout_ms: how long callers may wait for an answer, in milliseconds.
    :param public: calls need no API key.
    :param advised: the external advisor decides which executors may run a step.
    :param advisor_timing: time that the advisor takes for a call.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    objective_factor: float = 1.0
    objective_ms: int = 0
    timeout_ms: int = 0
    public: bool = False
    advised: bool = False
    advisor_timing: AdvisorTiming = AdvisorTiming()

    @property
    def key(self) -> str:
        """Key of the queue, see :func:`build_queue_key`."""
        return build_queue_key(self.host, self.prefix)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that executors provide, and the pool of these executors.

    Each pool serves one service and has its name, so a service's name is also that of
    its pool in the platform's list of machines.

    :param standby: the pool's machines are switched off and serve as a reserve for
        the other pools.
    """

    name: str
    standby: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A tenant.

    :param weight: share of the capacity when all of it is in use, given as the
        submissions per second that it covers.
    :param quota: upper limit of the resources that its runs use at once; an amount of 0
        means no limit.
    """

    name: str
    weight: float = 1.0
    quota: Resources = NO_RESOURCES


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    :param queues_by_host: queues of each host, longest prefix first.
    :param max_body_bytes: largest accepted request body.
    """

    version: int
    queues_by_host: dict[str, tuple[Queue, ...]]
    queues_by_key: dict[str, Queue]
    services_by_name: dict[str, Service]
    organisations_by_name: dict[str, Organisation]
    organisation_by_api_key: dict[str, str]
    max_body_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that a path starts with.

        :returns: ``None`` if no queue of the host matches.
        """
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

"""Submissions, their steps and the configuration that they are run under."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of cpu (thousandths of a core), memory (MB) and accelerators."""

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

    def fits_in(self, room: "Resources") -> bool:
        """Tell whether this amount fits into ``room``."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.gpu <= room.gpu
        )


NO_RESOURCES = Resources()


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind within a submission.

    :param count: number of tasks.
    :param estimated_ms: declared duration of a task; may be far off.
    :param after: earlier steps whose tasks must all be done first.
    :param checkpointing: its tasks save their progress.
    :param gang: its tasks work only while all of them run.
    :param colocate: its tasks are slower on more than one rack.
    :param required_label: label that the executor must have, or ``""``.
    :param data_rack: rack near the data, or ``""``.
    :param anti_affinity: most tasks of the step on one executor; 0 for no limit.
    :param speculative: copies of a task may run in parallel.
    :param long_running: its tasks run until the submission is cancelled.
    :param image: tasks of one image behave alike.
    :param target_ms: bound on the tail latency of a serving task; 0 for none.
    :param fills: its cpu is not counted against the executor's capacity.
    :param may_miss: tasks that planned work may keep away at once.
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
        """What a task takes of an executor's capacity."""
        if self.fills:
            return Resources(0, self.size.memory_mb, self.size.gpu)
        return self.size


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Due times of a repeated submission, in Unix milliseconds."""

    start_at_ms: int
    interval_ms: int
    repeat_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """What a caller handed in.

    :param payload: opaque text for the executors.
    :param queue: key of the queue, from :func:`queue_key`.
    :param service: service of the queue when the submission was accepted.
    :param organisation: owner of the key that came with it; ``""`` for none.
    :param accepted_ms: Unix time at which an entry accepted it.
    """

    id: str
    queue: str
    service: str
    organisation: str
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: int
    schedule: Schedule | None = None


class SubmissionState(enum.Enum):
    """State of a submission as callers see it."""

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


def queue_key(host: str, prefix: str) -> str:
    """Return the key of a queue: a host and a path prefix name it."""
    return f"{host} {prefix}"


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the configuration.

    :param priority: 0 comes first.
    :param attempts: failed runs of one task after which its submission fails.
    :param goal_factor: response-time goal as a multiple of the longest chain.
    :param goal_ms: constant part of the response-time goal.
    :param timeout_ms: how long callers may wait for an answer.
    :param public: calls need no key.
    :param advised: an outside service tells which executors may run a step.
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

    @property
    def key(self) -> str:
        """Key of the queue."""
        return queue_key(self.host, self.prefix)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of executors; those of a standby pool are switched off."""

    name: str
    standby: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A tenant: its weight when all is full and its cap; 0 means no limit."""

    name: str
    weight: float = 1.0
    quota: Resources = NO_RESOURCES


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    :param queues_by_host: queues of each host, longest prefix first.
    """

    version: int
    queues_by_host: dict[str, tuple[Queue, ...]]
    queues_by_key: dict[str, Queue]
    services_by_name: dict[str, Service]
    organisations_by_name: dict[str, Organisation]
    organisation_by_api_key: dict[str, str]
    max_body_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

"""A leader on a virtual store and virtual executors, for regression tests."""

import json
import typing as t

from cranberrywheel.node import leader as leader_module
from cranberrywheel.node.keys import (
    CANCEL_SUFFIX,
    HANDOVER_KEY,
    LEADER_KEY,
    submission_key,
)
from cranberrywheel.node.leader import Leader
from cranberrywheel.platform.executors import ExecutorClient
from cranberrywheel.submission.bounds import Bounds
from cranberrywheel.submission.model import (
    NOTHING,
    Configuration,
    Organisation,
    Queue,
    Resources,
    Service,
    Step,
    Submission,
)
from cranberrywheel.submission.record import encode_submission
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel_standin.virtual_fleet import (
    UNIX_START_MS,
    VirtualFleet,
    VirtualLoop,
    VirtualStore,
)

QUEUE = Queue("orders", "shop", "/q/", "pool", attempts=3, goal_factor=1.6, goal_ms=600)


def make_configuration(
    queues: t.Sequence[Queue] = (QUEUE,), cap: Resources = NOTHING
) -> Configuration:
    """Build a configuration with one organisation, ``org``."""
    by_host: dict[str, tuple[Queue, ...]] = {}
    for queue in queues:
        by_host[queue.host] = (*by_host.get(queue.host, ()), queue)
    return Configuration(
        version=1,
        queues_by_host=by_host,
        queues_by_key={queue.key: queue for queue in queues},
        services_by_name={q.service: Service(q.service) for q in queues},
        organisations_by_name={"org": Organisation("org", 1.0, cap)},
        organisation_by_api_key={"key": "org"},
    )


def make_submission(
    submission_id: str,
    *steps: Step,
    queue: Queue = QUEUE,
    accepted_ms: int = UNIX_START_MS,
) -> Submission:
    """Build a submission of ``org``; by default one step with one task."""
    return Submission(
        id=submission_id,
        queue=queue.key,
        service=queue.service,
        organisation="org",
        payload="work",
        steps=steps or (make_step(),),
        accepted_ms=accepted_ms,
    )


def make_step(count: int = 1, cpu: int = 1_000, **fields: t.Any) -> Step:
    """Build a step."""
    fields.setdefault("estimated_ms", 1_000)
    return Step(count=count, size=Resources(cpu, 100, 0), **fields)


class LeaderWorld:
    """A store, executors and at most one leader at a time."""

    def __init__(self, monkeypatch: t.Any, seed: int = 1) -> None:
        self.loop = VirtualLoop()
        self.store = VirtualStore(self.loop)
        self.fleet = VirtualFleet(self.loop, self.store, seed)
        self.leader: Leader | None = None
        self.configuration = make_configuration()
        self._term = -1
        self.stepped_down: list[str] = []
        monkeypatch.setattr(leader_module, "unix_ms", self.unix_ms)

    def unix_ms(self) -> int:
        """Time of day."""
        return UNIX_START_MS + self.loop.clock.now_ms()

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler of the present leader."""
        assert self.leader is not None
        return self.leader.scheduler

    def hand_over(self) -> Leader:
        """Let the leader give up in good order, and a new one take over."""
        assert self.leader is not None
        self.leader.stop()
        self.store.put(HANDOVER_KEY, self.leader.handover_record())
        return self.lead()

    def lead(self) -> Leader:
        """Let a new leader take over; an earlier one is forgotten."""
        previous_fence = 0
        if self.leader:
            self.leader.stop()
            previous_fence = self.scheduler.fence
        self._term += 1
        self.store.put(LEADER_KEY, json.dumps({"term": self._term}).encode())
        scheduler = Scheduler(
            self.store.revision, self._term, Bounds(), self.loop.clock.now_ms()
        )
        scheduler.trusts_records = True
        scheduler.set_configuration(self.configuration)
        self.leader = Leader(
            t.cast(t.Any, self.loop),
            self.store.as_store(),
            t.cast(ExecutorClient, self.fleet),
            None,
            None,
            scheduler,
            lambda: True,
            lambda: False,
            self.stepped_down.append,
            previous_fence,
        )
        self.leader.start()
        return self.leader

    def submit(
        self, submission: Submission, duration_ms: int = 1_000, lasting: bool = False
    ) -> None:
        """Store a submission as an entry does."""
        cpu = submission.steps[0].size.cpu
        self.fleet.describe(submission.id, cpu, duration_ms, lasting)
        self.store.put(submission_key(submission.id), encode_submission(submission))

    def cancel(self, submission_id: str) -> None:
        """Store a cancellation as an entry does."""
        self.store.put(submission_key(submission_id) + CANCEL_SUFFIX, b"{}")

    def run_for(self, duration_ms: int) -> None:
        """Let time pass."""
        self.loop.run_for(duration_ms)

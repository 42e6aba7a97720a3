"""A leader on a simulated store and simulated executors, for regression tests."""

import dataclasses
import json
import typing as t

from cranberrywheel.node import leader as leader_module
from cranberrywheel.node.advisor_calls import AdvisorCalls
from cranberrywheel.node.evacuation_sync import EvacuationSync
from cranberrywheel.node.keys import (
    CANCEL_SUFFIX,
    HANDOVER_KEY,
    LEADER_KEY,
    submission_key,
)
from cranberrywheel.node.leader import Leader
from cranberrywheel.platform.executors import ExecutorClient
from cranberrywheel.submission.features import ALL_OFF, Switch
from cranberrywheel.submission.model import (
    NO_RESOURCES,
    Configuration,
    Organisation,
    Queue,
    Resources,
    Service,
    Step,
    Submission,
    Terms,
)
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.record import encode_submission
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel_standin.advisor import AdvisorState, VirtualAdvisor
from cranberrywheel_standin.virtual_fleet import (
    UNIX_START_MS,
    ProcessClient,
    ProcessLoop,
    VirtualFleet,
    VirtualLoop,
    VirtualStore,
)

QUEUE = Queue(
    "orders", "shop", "/q/", "pool", attempts=3, objective_factor=1.6, objective_ms=600
)


def make_configuration(
    queues: t.Sequence[Queue] = (QUEUE,), quota: Resources = NO_RESOURCES
) -> Configuration:
    """Build a configuration with one organisation, ``org``.

    :param quota: quota of the organisation; no limit by default.
    """
    by_host: dict[str, tuple[Queue, ...]] = {}
    for queue in queues:
        by_host[queue.host] = (*by_host.get(queue.host, ()), queue)
    return Configuration(
        version=1,
        queues_by_host=by_host,
        queues_by_key={queue.key: queue for queue in queues},
        services_by_name={q.service: Service(q.service) for q in queues},
        # A share that the submissions of no test exceed.
        organisations_by_name={"org": Organisation("org", 1_000.0, quota)},
        organisation_by_api_key={"key": "org"},
    )


def make_submission(
    submission_id: str,
    *steps: Step,
    queue: Queue = QUEUE,
    accepted_ms: int = UNIX_START_MS,
    organisation: str = "org",
    terms: Terms | None = None,
) -> Submission:
    """Build a submission; by default one step with one task."""
    return Submission(
        id=submission_id,
        queue=queue.key,
        service=queue.service,
        organisation=organisation,
        payload="work",
        steps=steps or (make_step(),),
        accepted_ms=accepted_ms,
        terms=terms,
    )


def make_step(count: int = 1, cpu: int = 1_000, **fields: t.Any) -> Step:
    """Build a step; ``fields`` are further fields of :class:`.Step`.

    :param cpu: thousandths of a core that each task uses.
    """
    fields.setdefault("estimated_ms", 1_000)
    return Step(count=count, size=Resources(cpu, 100, 0), **fields)


class LeaderHarness:
    """A simulated store and fleet with at most one leader at a time.

    :ivar notifies: entry processes tell the leader what they have stored.
    :ivar feature_settings: parts of the scheduler that are on; none by default.
    :ivar has_valid_lease: the leader's lease in the store is valid.
    :ivar continues_without_store: no process reaches the store.
    :ivar evacuation_sync: evacuated zones as the leader's process knows them; ``None``
        while the part is off.
    :ivar advisor_calls: calls of the current process to the advisor; a leader that is
        started without a change of it leads in the same process.
    :ivar stepped_down: reasons for which a leader has stepped down.
    :ivar process_loop: loop of the current leader's process.
    """

    def __init__(self, monkeypatch: t.Any, seed: int = 1) -> None:
        self.loop = VirtualLoop()
        self.store = VirtualStore(self.loop)
        self.fleet = VirtualFleet(self.loop, self.store, seed)
        self.leader: Leader | None = None
        self.configuration = make_configuration()
        self.has_valid_lease = True
        self.notifies = False
        self.continues_without_store = False
        self.timing = PlatformTiming()
        self.feature_settings = ALL_OFF
        self.evacuation_sync: EvacuationSync | None = None
        self.advisor: AdvisorState | None = None
        self.advisor_calls: AdvisorCalls | None = None
        self._term = -1
        self.stepped_down: list[str] = []
        monkeypatch.setattr(leader_module, "unix_ms", self.unix_ms)

    def unix_ms(self) -> int:
        """Return the simulated time of day in Unix milliseconds."""
        return UNIX_START_MS + self.loop.clock.now_ms()

    @property
    def scheduler(self) -> Scheduler:
        """Scheduler of the current leader."""
        assert self.leader is not None
        return self.leader.scheduler

    def hand_over(self) -> Leader:
        """Stop the leader, store its handover record and start a successor."""
        assert self.leader is not None
        self.leader.stop()
        self.store.put(HANDOVER_KEY, self.leader.handover_record())
        return self.start_leader()

    def enable_evacuations(self, evacuation_ms: int = 5_000) -> None:
        """Switch evacuations on and follow them like a process without peers."""
        self.timing = PlatformTiming(evacuation_ms=evacuation_ms)
        self.feature_settings = dataclasses.replace(ALL_OFF, zone_evacuation=Switch.ON)
        self.zone_client = self.store.build_client()
        self.peer_client = self.store.build_client()
        self.evacuation_sync = EvacuationSync(
            t.cast(t.Any, self.loop),
            self.zone_client,
            self.peer_client,
            lambda: [],
            "own:1",
            evacuation_ms,
            lambda: self.leader.apply_evacuations() if self.leader else None,
        )
        self.evacuation_sync.start()

    def add_advisor(self, **options: t.Any) -> AdvisorState:
        """Add an advisor; ``options`` are those of :class:`.AdvisorState`.

        The queues must be advised for it to be asked.
        """
        self.advisor = AdvisorState(self.loop.clock, self.fleet.get_boot, **options)
        self.fleet.advisor = self.advisor
        self.move_to_machine("m1")
        return self.advisor

    def move_to_machine(self, machine: str) -> None:
        """Let the next leader run in a new process on a machine."""
        assert self.advisor is not None
        self.advisor_client = VirtualAdvisor(self.loop, self.advisor, machine)
        self.advisor_calls = AdvisorCalls(
            t.cast(t.Any, self.loop), t.cast(t.Any, self.advisor_client)
        )

    def start_leader(self, stops_predecessor: bool = True) -> Leader:
        """Start a new leader; an earlier one leaves no handover record.

        :param stops_predecessor: the earlier leader stops; otherwise it goes on without
            a valid lease until it learns of the new one.
        """
        previous_fence = 0
        if self.leader:
            if stops_predecessor:
                self.leader.stop()
            previous_fence = self.scheduler.fence
        self._term += 1
        term = self._term
        self.store.put(LEADER_KEY, json.dumps({"term": self._term}).encode())
        scheduler = Scheduler(
            self.store.revision,
            self._term,
            self.timing,
            self.loop.clock.now_ms(),
            self.feature_settings,
        )
        scheduler.trusts_records = True
        scheduler.set_configuration(self.configuration)
        self.leader_client = self.store.build_client()
        self.process_loop = ProcessLoop(self.loop, self.store.random)

        def step_down(reason: str) -> None:
            self.stepped_down.append(reason)
            if self._term != term:
                leader.stop()

        leader = self.leader = Leader(
            t.cast(t.Any, self.process_loop),
            t.cast(t.Any, ProcessClient(self.leader_client, self.process_loop)),
            t.cast(ExecutorClient, ProcessClient(self.fleet, self.process_loop)),
            self.advisor_calls,
            None,
            scheduler,
            lambda: self.has_valid_lease and self._term == term,
            lambda: self.continues_without_store and self._term == term,
            step_down,
            previous_fence,
            self.evacuation_sync,
        )
        self.leader.start()
        return self.leader

    def submit(
        self,
        submission: Submission,
        duration_ms: int = 1_000,
        long_running: bool = False,
    ) -> None:
        """Store a submission as the entry process does.

        :param duration_ms: true duration of each task.
        :param long_running: tasks run until they are stopped.
        """
        cpu = submission.steps[0].size.cpu
        self.fleet.set_task_profile(submission.id, cpu, duration_ms, long_running)
        key = submission_key(submission.id)
        self.store.put(key, encode_submission(submission))
        self._notify(key)

    def cancel(self, submission_id: str) -> None:
        """Store a cancellation as the entry process does."""
        key = submission_key(submission_id) + CANCEL_SUFFIX
        self.store.put(key, b"{}")
        self._notify(key)

    def _notify(self, key: str) -> None:
        if self.notifies and self.leader:
            self.leader.offer([self.store.item_by_key[key]])

    def run_for(self, duration_ms: int) -> None:
        """Advance the simulated time."""
        self.loop.run_for(duration_ms)

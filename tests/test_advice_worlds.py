"""Random worlds with advised queues: bursts, cancellations, faults and new leaders.

``ADVICE_SEEDS=FIRST-LAST`` plays other worlds by hand.
"""

import dataclasses
import os
import random

import pytest
from leader_harness import (
    QUEUE,
    LeaderHarness,
    make_configuration,
    make_step,
    make_submission,
)

from cranberrywheel.submission.model import AdvisorTiming, Organisation

#: Time in which faults happen, and time after them in which all work has to end.
FAULTS_MS = 20_000
END_MS = 60_000
#: The page of the platform allows 32 calls to wait.
MAX_WAITING = 32


def list_seeds():
    first, _, last = os.environ.get("ADVICE_SEEDS", "1-60").partition("-")
    return range(int(first), int(last or first) + 1)


class AdviceWorld:
    """A leader, three advised queues and one without an advisor, and faults by seed."""

    def __init__(self, monkeypatch, seed):
        self.random = random.Random(seed)
        self.harness = harness = LeaderHarness(monkeypatch, seed)
        harness.notifies = True
        timing = AdvisorTiming(self.random.choice([20, 80, 150]), 5)
        self.queues = [
            dataclasses.replace(
                QUEUE,
                name=f"q{number}",
                prefix=f"/q{number}/",
                service=f"pool{number % 2}",
                priority=number % 2,
                attempts=50,
                advised=True,
                advisor_timing=timing,
            )
            for number in range(3)
        ]
        self.free_queue = dataclasses.replace(
            QUEUE, name="free", prefix="/free/", service="pool0", attempts=50
        )
        configuration = make_configuration([*self.queues, self.free_queue])
        harness.configuration = dataclasses.replace(
            configuration,
            organisations_by_name={
                name: Organisation(name, 1_000.0) for name in ("org", "other")
            },
        )
        for number in range(self.random.randint(4, 12)):
            harness.fleet.add(f"e{number}", f"pool{number % 2}", 8_000)
        # An executor of each pool may run everything, so that all work can end.
        allowed_share = self.random.choice([0.2, 0.6, 1.0])
        self.advisor = harness.add_advisor(
            may_run=lambda step, executor_id: (
                executor_id in ("e0", "e1")
                or random.Random(f"{seed}{step}{executor_id}").random() < allowed_share
            ),
            decision_ms=timing.decision_ms,
            period_ms=timing.per_executor_ms,
            valid_ms=self.random.choice([500, 3_000]),
        )
        self.clients = [harness.advisor_client]
        self.submitted = set()
        self.cancelled = set()
        self.machines = 1

    def submit(self, queue):
        name = f"{len(self.submitted):016x}"
        step = make_step(self.random.randint(1, 6), 1_000)
        steps = [step]
        if self.random.random() < 0.3:
            steps.append(dataclasses.replace(step, after=(0,)))
        if self.random.random() < 0.1:
            steps = [make_step(2, 4_000, gang=True)]
        if queue is self.free_queue:
            self.harness.fleet.unadvised_submissions.add(name)
        self.submitted.add(name)
        self.harness.submit(
            make_submission(
                name,
                *steps,
                queue=queue,
                accepted_ms=self.harness.unix_ms(),
                organisation=self.random.choice(["org", "other"]),
            ),
            self.random.randint(50, 1_000),
        )

    def disturb(self):
        harness = self.harness
        kind = self.random.choice(
            ["burst", "burst", "few", "few", "cancel", "restart", "restart"]
            + ["lost", "cut", "slow", "same process", "new process", "new machine"]
            + ["broken", "away", "heal"]
        )
        client = harness.advisor_client
        if kind == "burst":
            queue = self.random.choice(self.queues)
            for _ in range(self.random.randint(10, 40)):
                self.submit(queue)
        elif kind == "few":
            self.submit(self.random.choice([*self.queues, self.free_queue]))
        elif kind == "cancel" and self.submitted:
            for name in self.random.sample(sorted(self.submitted), 1):
                self.cancelled.add(name)
                harness.cancel(name)
        elif kind == "restart":
            executor = self.random.choice(list(harness.fleet.executors_by_id.values()))
            executor.restart(registers=self.random.random() < 0.5)
        elif kind == "lost":
            client.lost_share = self.random.choice([0.3, 1.0])
        elif kind == "cut":
            client.is_cut_off = True
        elif kind == "slow":
            self.advisor.decision_ms *= 4
        elif kind == "same process":
            harness.hand_over()
        elif kind in ("new process", "new machine"):
            # A new process on the machine finds the calls of the former one there.
            self.machines += kind == "new machine"
            harness.move_to_machine(f"m{self.machines}")
            self.clients.append(harness.advisor_client)
            harness.start_leader()
        elif kind == "broken" and self.submitted:
            name = self.random.choice(sorted(self.submitted))
            client.broken_steps.add(f"{name}.0.0")
        elif kind == "away":
            harness.store.unreachable = True
            harness.has_valid_lease = False
            harness.run_for(self.random.randint(100, 1_000))
            harness.store.unreachable = False
            harness.has_valid_lease = True
        elif kind == "heal":
            self.heal()

    def heal(self):
        for client in self.clients:
            client.lost_share = 0.0
            client.is_cut_off = False
            client.broken_steps.clear()
        self.advisor.decision_ms = self.queues[0].advisor_timing.decision_ms

    def play(self):
        harness = self.harness
        harness.start_leader()
        harness.run_for(300)
        end_ms = harness.loop.clock.now_ms() + FAULTS_MS
        while harness.loop.clock.now_ms() < end_ms:
            self.disturb()
            harness.run_for(self.random.randint(10, 1_500))
        self.heal()
        harness.run_for(END_MS)


@pytest.mark.parametrize("seed", list_seeds())
def test_advised_work_ends_and_the_advisor_is_spared(monkeypatch, seed):
    """Guards against work without tickets for ever, and a full queue of the advisor."""
    world = AdviceWorld(monkeypatch, seed)
    world.play()
    harness = world.harness
    assert harness.fleet.violations == []
    assert harness.stepped_down == []
    live = {
        name
        for name, live in harness.scheduler.live_by_id.items()
        if not live.final_state and name not in world.cancelled
    }
    assert live == set(), f"{len(live)} of {len(world.submitted)} have not ended"
    assert world.advisor.count_by_status[429] == 0
    assert world.advisor.largest_waiting < MAX_WAITING

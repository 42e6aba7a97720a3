"""Number of machines that are down for a wave at once, behind a slow machine list."""

import json
import random
import typing as t

import pytest
from leader_harness import make_configuration

from cranberrywheel.node.keys import LEADER_KEY
from cranberrywheel.node.maintenance import MaintenanceController
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.submission.machines import (
    Machine,
    MachineOrderVerdict,
    MachineState,
)
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel_standin.virtual_fleet import VirtualLoop, VirtualStore

MAINTENANCE_MS = 2_000
#: Longest time for which an order that was given up may still be on its way.
LATE_ORDER_MS = 1_500


class SlowMachines:
    """Machine interface whose calls take random times in each direction.

    :ivar slow_ms: longest time of a direction.
    :ivar unanswered_share: share of the orders, from 0 to 1, whose answer is lost.
    :ivar most_down: largest number of machines that were down at the same time.
    """

    def __init__(self, loop: VirtualLoop, count: int, seed: int) -> None:
        self._loop = loop
        self._random = random.Random(seed)
        self._up_at_ms = {f"m{number}": 0 for number in range(count)}
        self._begun: set[str] = set()
        self.slow_ms = 1
        self.unanswered_share = 0.0
        self.most_down = 0

    @property
    def begun(self) -> int:
        """Number of machines whose maintenance has begun."""
        return len(self._begun)

    def _delay_ms(self) -> int:
        return self._random.randint(1, self.slow_ms)

    def _is_up(self, machine: str) -> bool:
        return self._loop.clock.now_ms() >= self._up_at_ms[machine]

    def read_all(self, done: t.Callable[[list[Machine]], None]) -> None:
        """See ``MachineClient.read_all``."""

        def read() -> None:
            machines = [
                Machine(
                    name,
                    "pool",
                    MachineState.UP if self._is_up(name) else MachineState.MAINTENANCE,
                    "z",
                    "",
                )
                for name in self._up_at_ms
            ]
            self._loop.after(self._delay_ms(), lambda: done(machines))

        self._loop.after(self._delay_ms(), read)

    def begin_maintenance(
        self, machine: str, wave: int, fence: int, done: t.Callable[..., None]
    ) -> None:
        """Carry an order out; one that is repeated for the wave has no effect."""

        def carry_out() -> None:
            if machine in self._begun:
                verdict = MachineOrderVerdict.OK
            elif not self._is_up(machine):
                verdict = MachineOrderVerdict.BUSY
            else:
                verdict = MachineOrderVerdict.OK
                self._begun.add(machine)
                self._up_at_ms[machine] = self._loop.clock.now_ms() + MAINTENANCE_MS
                down = sum(not self._is_up(name) for name in self._up_at_ms)
                self.most_down = max(self.most_down, down)
            if not is_lost:
                self._loop.after(self._delay_ms(), lambda: done(verdict))

        is_lost = self._random.random() < self.unanswered_share
        if is_lost:
            self._loop.after(LATE_ORDER_MS, lambda: done(MachineOrderVerdict.UNKNOWN))
        self._loop.after(self._delay_ms(), carry_out)


class Deployment:
    """Machines with a wave over all of them, and at most one leader."""

    def __init__(self, machines: int, cap: int, seed: int) -> None:
        self.loop = VirtualLoop()
        self.machines = SlowMachines(self.loop, machines, seed)
        self._store = VirtualStore(self.loop)
        names = [f"m{number}" for number in range(machines)]
        wave = {"wave": 1, "machines": names, "durationS": 60, "cap": cap}
        self._store.put("op/wave/1", json.dumps(wave).encode())
        self._controller: MaintenanceController | None = None
        self._term = -1

    def start_leader(self) -> None:
        """Start a leader; an earlier one ends without a trace but its orders."""
        if self._controller:
            self._controller.stop()
        self._term += 1
        term = self._term
        self._store.put(LEADER_KEY, b"{}")
        scheduler = Scheduler(
            self._store.revision, term, PlatformTiming(), self.loop.clock.now_ms()
        )
        scheduler.set_configuration(make_configuration())
        self._controller = MaintenanceController(
            t.cast(t.Any, self.loop),
            self._store.build_client(),
            t.cast(MachineClient, self.machines),
            scheduler,
            lambda: self._term == term,
        )
        self._controller.start()


@pytest.mark.parametrize("cap", [1, 3])
@pytest.mark.parametrize("seed", range(20))
def test_slow_list_takes_no_more_machines_than_the_cap(cap, seed):
    """Guards against an upkeep beyond the cap of its wave.

    A reading of the list that was requested before an order took effect arrives after
    the answer to the order, and shows the machine as up.
    """
    deployment = Deployment(machines=8, cap=cap, seed=seed)
    deployment.start_leader()
    deployment.machines.slow_ms = 1_000
    deployment.loop.run_for(60_000)
    assert deployment.machines.begun > cap
    assert deployment.machines.most_down <= cap


@pytest.mark.parametrize("seed", range(20))
def test_lost_answers_take_no_more_machines_than_the_cap(seed):
    """Guards against an order without an answer that counts for nothing."""
    deployment = Deployment(machines=8, cap=1, seed=seed)
    deployment.start_leader()
    deployment.machines.slow_ms = 400
    deployment.machines.unanswered_share = 0.4
    deployment.loop.run_for(90_000)
    assert deployment.machines.begun == 8
    assert deployment.machines.most_down <= 1


@pytest.mark.parametrize("seed", range(20))
def test_new_leaders_take_no_more_machines_than_the_cap(seed):
    """Guards against a leader that does not count what the one before has ordered."""
    chance = random.Random(seed)
    deployment = Deployment(machines=8, cap=1, seed=seed)
    deployment.start_leader()
    deployment.machines.slow_ms = LATE_ORDER_MS
    for _ in range(12):
        deployment.loop.run_for(chance.randint(3_000, 7_000))
        deployment.start_leader()
    deployment.loop.run_for(30_000)
    assert deployment.machines.begun > 1
    assert deployment.machines.most_down <= 1


def test_wave_goes_on_when_the_list_is_quick():
    """Guards against machines that count as down for good after an order."""
    deployment = Deployment(machines=8, cap=2, seed=1)
    deployment.start_leader()
    deployment.loop.run_for(25_000)
    assert deployment.machines.begun == 8
    assert deployment.machines.most_down == 2

"""A maintenance controller on a simulated store and machine interface, for tests."""

import dataclasses
import json
import typing as t

from leader_harness import make_configuration

from cranberrywheel.node.keys import LEADER_KEY
from cranberrywheel.node.maintenance import MaintenanceController
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.platform.store import Store
from cranberrywheel.submission.machines import (
    Machine,
    MachineOrderVerdict,
    MachineState,
)
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel_standin.virtual_fleet import VirtualLoop, VirtualStore

MAINTENANCE_MS = 2_000
MOVE_MS = 1_500
CALL_TIMEOUT_MS = 1_500
NETWORK_MS = 5


@dataclasses.dataclass
class SimulatedMachine:
    """Machine of the simulated platform. Times are steady milliseconds.

    :ivar busy_until_ms: end of its maintenance or move.
    :ivar state: state until then, or for good if it is ``DOWN``.
    :ivar wave: wave of its last maintenance.
    :ivar done: waves whose maintenance has begun.
    """

    pool: str
    busy_until_ms: int = 0
    state: MachineState = MachineState.UP
    wave: int | None = None
    done: set[int] = dataclasses.field(default_factory=set)
    is_listed: bool = True


class SimulatedMachines:
    """Machine interface whose orders and readings can be held up.

    An order carries the number of its wave, so that an order which is repeated after
    it has been carried out has no effect.

    :ivar late_ms_by_machine: for the next order of a machine: no answer comes, and the
        order is carried out after this time.
    :ivar reading_ms: how long the answer with the list takes to arrive.
    :ivar answer_ms: how long the answer to an order takes to arrive.
    :ivar caps: numbers of machines that may be down for a wave, by its number.
    :ivar begun: time, machine and wave of each maintenance.
    :ivar violations: time, machine and wave of each maintenance beyond the cap that was
        in force when its order was sent.
    :ivar orders: time, machine and wave of each order that was sent.
    """

    def __init__(self, loop: VirtualLoop, names: t.Iterable[str]) -> None:
        self._loop = loop
        self.by_id = {name: SimulatedMachine("pool") for name in names}
        self.late_ms_by_machine: dict[str, int] = {}
        self.reading_ms = NETWORK_MS
        self.answer_ms = NETWORK_MS
        self.caps: dict[int, int] = {}
        self.begun: list[tuple[int, str, int]] = []
        self.violations: list[tuple[int, str, int]] = []
        self.orders: list[tuple[int, str, int]] = []

    def _get_state(self, machine: SimulatedMachine) -> MachineState:
        if machine.state is MachineState.DOWN:
            return MachineState.DOWN
        if self._loop.clock.now_ms() < machine.busy_until_ms:
            return machine.state
        return MachineState.UP

    def count_down(self, wave: int) -> int:
        """Count the machines that are down for a wave."""
        return sum(
            machine.wave == wave
            and self._get_state(machine) is MachineState.MAINTENANCE
            for machine in self.by_id.values()
        )

    def read_all(self, done: t.Callable[[list[Machine]], None]) -> None:
        """See ``MachineClient.read_all``."""

        def read() -> None:
            machines = [
                Machine(name, machine.pool, self._get_state(machine), "z", "")
                for name, machine in self.by_id.items()
                if machine.is_listed
            ]
            self._loop.after(self.reading_ms, lambda: done(machines))

        self._loop.after(NETWORK_MS, read)

    def begin_maintenance(
        self,
        name: str,
        wave: int,
        fence: int,
        done: t.Callable[[MachineOrderVerdict], None],
    ) -> None:
        """See ``MachineClient.begin_maintenance``."""
        self.orders.append((self._loop.clock.now_ms(), name, wave))
        cap = self.caps[wave]

        def carry_out() -> MachineOrderVerdict:
            machine = self.by_id.get(name)
            if machine is None:
                return MachineOrderVerdict.REFUSED
            if wave in machine.done:
                return MachineOrderVerdict.OK
            if self._get_state(machine) is not MachineState.UP:
                return MachineOrderVerdict.BUSY
            now_ms = self._loop.clock.now_ms()
            if self.count_down(wave) >= cap:
                self.violations.append((now_ms, name, wave))
            self.begun.append((now_ms, name, wave))
            machine.done.add(wave)
            machine.wave = wave
            machine.state = MachineState.MAINTENANCE
            machine.busy_until_ms = now_ms + MAINTENANCE_MS
            return MachineOrderVerdict.OK

        def answer() -> None:
            verdict = carry_out()
            self._loop.after(self.answer_ms, lambda: done(verdict))

        late_ms = self.late_ms_by_machine.pop(name, None)
        if late_ms is None:
            self._loop.after(NETWORK_MS, answer)
        else:
            self._loop.after(late_ms, carry_out)
            self._loop.after(CALL_TIMEOUT_MS, lambda: done(MachineOrderVerdict.UNKNOWN))

    def move(
        self,
        name: str,
        pool: str,
        fence: int,
        done: t.Callable[[MachineOrderVerdict], None],
    ) -> None:
        """See ``MachineClient.move``; no test here needs a move to be carried out."""
        self._loop.after(NETWORK_MS, lambda: done(MachineOrderVerdict.REFUSED))


class MaintenanceRig:
    """Waves over simulated machines, carried out by one leader after another.

    :ivar loop: virtual time.
    :ivar machines: the simulated platform.
    :ivar store: records of the waves and of the leaders.
    :ivar write_ms: how much longer the leader's writes to the store take.
    """

    def __init__(self, *names: str) -> None:
        self.loop = VirtualLoop()
        self.store = VirtualStore(self.loop)
        self.machines = SimulatedMachines(self.loop, names)
        self.controller: MaintenanceController | None = None
        self.write_ms = 0
        self._term = 0

    @property
    def now_ms(self) -> int:
        """The virtual time."""
        return self.loop.clock.now_ms()

    def put_wave(
        self,
        number: int = 1,
        machines: t.Sequence[str] | None = None,
        cap: int = 1,
        duration_s: int = 60,
    ) -> None:
        """Write the record of a wave, over all machines by default.

        A leader prefers the machines that come first in the record.
        """
        names = list(self.machines.by_id if machines is None else machines)
        wave = {
            "wave": number,
            "machines": names,
            "durationS": duration_s,
            "cap": cap,
        }
        self.machines.caps[number] = cap
        self.store.put(f"op/wave/{number}", json.dumps(wave).encode())

    def delete_wave(self, number: int = 1) -> None:
        """Delete the record of a wave."""
        self.store.delete(f"op/wave/{number}")

    def _build_client(self) -> Store:
        client = self.store.build_client()
        write = client.write

        def write_slowly(*arguments: t.Any) -> None:
            self.loop.after(self.write_ms, lambda: write(*arguments))

        client.write = write_slowly  # type: ignore[method-assign]
        return client

    def start_leader(self) -> Scheduler:
        """Start a leader; an earlier one ends without a trace but its orders."""
        if self.controller:
            self.controller.stop()
        self._term += 1
        term = self._term
        self.store.put(LEADER_KEY, b"{}")
        scheduler = Scheduler(
            self.store.revision, term, PlatformTiming(), self.loop.clock.now_ms()
        )
        scheduler.set_configuration(make_configuration())
        self.controller = MaintenanceController(
            t.cast(t.Any, self.loop),
            self._build_client(),
            t.cast(MachineClient, self.machines),
            scheduler,
            lambda: self._term == term,
        )
        self.controller.start()
        return scheduler

    def run_until(self, condition: t.Callable[[], bool], limit_ms: int = 5_000) -> None:
        """Advance the time until a condition holds.

        :raises AssertionError: if it does not hold within the limit.
        """
        end_ms = self.now_ms + limit_ms
        while not condition():
            assert self.now_ms < end_ms, "the condition does not hold in time"
            self.loop.run_for(1)

    def run_until_begun(self, count: int, limit_ms: int = 5_000) -> None:
        """Advance the time until the maintenance of some machines has begun."""
        self.run_until(lambda: len(self.machines.begun) >= count, limit_ms)

"""Maintenance of machines, which the leader carries out in waves."""

import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.keys import LEADER_KEY, WAVE_PROGRESS_PREFIX
from cranberrywheel.node.machine_occupants import MachineOccupants
from cranberrywheel.node.machine_orders import MachineOrders
from cranberrywheel.node.pool_moves import PoolMoveController
from cranberrywheel.node.turn_records import unix_ms
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.node.wave_progress import (
    WaveProgress,
    decode_progress,
    encode_progress,
)
from cranberrywheel.platform import machines as wire
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Write
from cranberrywheel.submission.demand import compute_pressure_by_service
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.machines import Machine, MachineOrderVerdict, Wave
from cranberrywheel.submission.maintenance import (
    WaveState,
    choose_machines_to_drain,
    choose_runs_to_move,
    find_down_machines,
    may_begin_maintenance,
)
from cranberrywheel.submission.scheduler import Scheduler

#: Interval between the controller's rounds, which each read the list of machines.
ROUND_INTERVAL_MS = 400
#: Delay before an order or a store call that got no answer is repeated.
RETRY_MS = 700

_log = ComponentLogger("duties")


class MaintenanceController:
    """Carries out the maintenance waves that operators request, and pool moves.

    :param has_valid_lease: returns whether this process certainly leads at this moment.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        client: wire.MachineClient,
        scheduler: Scheduler,
        has_valid_lease: t.Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._store = store
        self._client = client
        self._scheduler = scheduler
        self._has_valid_lease = has_valid_lease
        self._state_by_key: dict[str, WaveState] = {}
        self._recorded_progress_by_key: dict[str, WaveProgress] = {}
        self._last_value_by_key: dict[str, bytes] = {}
        self._machine_by_id: dict[str, Machine] = {}
        #: When the reading that was applied last was requested.
        self._reading_requested_ms = 0
        self._stopped = False
        self._orders = MachineOrders(
            loop,
            store,
            scheduler.fence,
            scheduler.timing.order_lease_ms,
            has_valid_lease,
        )
        self._occupants = MachineOccupants(scheduler)
        self._pool_moves = PoolMoveController(
            loop, store, client, scheduler, self._orders, self._occupants
        )
        self._wave_watch = PrefixWatch(loop, store, wire.WAVE_PREFIX, self._on_wave)

    def start(self) -> None:
        """Load the progress recorded by earlier leaders, then watch the waves."""

        def on_recorded(reply: t.Any) -> None:
            if self._stopped:
                return
            if not reply.outcome.is_answer:
                self._loop.after(RETRY_MS, self.start)
                return
            for item in reply.items:
                key = wire.WAVE_PREFIX + item.key[len(WAVE_PROGRESS_PREFIX) :]
                progress = decode_progress(item.value or b"")
                self._recorded_progress_by_key[key] = progress
            self._orders.load()
            self._wave_watch.start()
            self._pool_moves.start()
            self._loop.after(ROUND_INTERVAL_MS, self._on_timer)

        self._store.read_all(WAVE_PROGRESS_PREFIX, on_recorded)

    def stop(self) -> None:
        """Send no further orders."""
        self._stopped = True
        self._orders.stop()
        self._wave_watch.stop()

    def count_expected_machines(self) -> dict[str, int]:
        """Count the machines that each pool has, gets or has lent."""
        return self._pool_moves.count_expected_machines(self._machine_by_id.values())

    def list_drained_machines(self) -> list[str]:
        """List the machines that are drained for a wave."""
        return [
            machine
            for state in self._state_by_key.values()
            for machine in state.draining_since_ms
        ]

    def _on_wave(self, item: Item) -> None:
        now_ms = self._loop.clock.now_ms()
        state = self._state_by_key.get(item.key)
        if item.value is None:
            if state is not None:
                state.withdrawn = True
                self._end_needless_drains(state)
                self._update_due_machines()
                _log.event("maintenance wave withdrawn", wave=state.wave.number)
            return
        wave = wire.decode_wave(item.value)
        if wave is None:
            return
        if state is not None and state.wave.number == wave.number:
            is_requested_anew = state.withdrawn
            state.replace_wave(wave, now_ms)
            if is_requested_anew:
                self._store_progress(item.key, state)
        else:
            if state is not None:
                state.withdrawn = True
                self._end_needless_drains(state)
            state = self._restore_wave(item.key, wave, now_ms)
            self._state_by_key[item.key] = state
            self._store_progress(item.key, state)
        self._update_due_machines()
        _log.event(
            "maintenance wave received",
            wave=wave.number,
            machines=len(wave.machines),
            at_once=wave.max_concurrent,
            duration_ms=wave.duration_ms,
            begun=len(state.begun),
            may_be_down=len(state.orders.machines),
        )

    def _restore_wave(self, key: str, wave: Wave, now_ms: int) -> WaveState:
        """Build the state of a wave from what earlier leaders recorded of it."""
        progress = self._recorded_progress_by_key.get(key, WaveProgress())
        state = WaveState(wave, now_ms)
        if progress.received_unix_ms:
            # Limited, since the clocks of two instances differ.
            elapsed_ms = max(0, unix_ms() - progress.received_unix_ms)
            state.received_ms -= min(elapsed_ms, wave.duration_ms)
        state.begun = set(progress.begun)
        for machine_id in state.begun:
            state.orders.note_begun_earlier(machine_id, now_ms)
        return state

    def _update_due_machines(self) -> None:
        """Tell the scheduler which machines a wave still takes down."""
        due = {
            machine
            for state in self._state_by_key.values()
            if not state.withdrawn
            for machine in state.list_remaining()
        }
        self._scheduler.maintenance_due.clear()
        self._scheduler.maintenance_due.update(due)

    def _on_timer(self) -> None:
        if self._stopped:
            return
        self._loop.after(ROUND_INTERVAL_MS, self._on_timer)
        self._read_machines()

    def _read_machines(self) -> None:
        if self._stopped:
            return
        number = self._occupants.begin_reading()
        now_ms = self._loop.clock.now_ms()
        self._client.read_all(
            lambda machines: self._on_machines(number, now_ms, machines)
        )

    def _on_machines(
        self, number: int, requested_ms: int, machines: list[Machine] | None
    ) -> None:
        """Apply the reading of the list with a number."""
        if machines is None or self._stopped:
            return
        now_ms = self._loop.clock.now_ms()
        if not self._occupants.apply_reading(number, machines, now_ms):
            return
        self._reading_requested_ms = requested_ms
        self._machine_by_id = {machine.id: machine for machine in machines}
        states = list(self._state_by_key.values())
        maintenance_ms = self._scheduler.timing.maintenance_ms
        for state in states:
            state.orders.settle(number, self._machine_by_id, maintenance_ms, now_ms)
        if self._has_valid_lease():
            reserved = {
                machine
                for state in states
                for machine in (*state.draining_since_ms, *state.orders.machines)
            }
            self._pool_moves.advance(
                machines,
                self._map_executors_by_machine(),
                reserved | self._scheduler.maintenance_due,
            )
        for key, state in self._state_by_key.items():
            self._end_needless_drains(state)
            if state.completed and state.is_resumed(self._machine_by_id):
                state.completed = False
            if not state.completed and not state.withdrawn:
                self._advance_wave(key, state)

    def _map_executors_by_machine(self) -> dict[str, Executor]:
        """Return the executor of each machine.

        One whose entry has expired counts while it may have runs.
        """
        now_ms = self._loop.clock.now_ms()
        executors = self._scheduler.executors_by_id.values()
        return {
            executor.entry.machine: executor
            for executor in sorted(executors, key=lambda executor: executor.registered)
            if executor.registered or executor.may_have_runs(now_ms)
        }

    def _advance_wave(self, key: str, state: WaveState) -> None:
        now_ms = self._loop.clock.now_ms()
        executors = self._map_executors_by_machine()
        if not self._has_valid_lease():
            return
        for machine_id in choose_machines_to_drain(
            state,
            self._machine_by_id,
            executors,
            compute_pressure_by_service(self._scheduler, now_ms),
            self._scheduler.timing.maintenance_ms,
            now_ms,
            self._find_inherited(state),
            self._list_other_waves(state),
            self._orders.may_order,
            self._pool_moves.is_moving,
        ):
            state.draining_since_ms[machine_id] = now_ms
            _log.event(
                "draining machine",
                wave=state.wave.number,
                machine=machine_id,
                reading=self._occupants.applied_reading,
            )
        for machine_id, since_ms in list(state.draining_since_ms.items()):
            executor = executors.get(machine_id)
            if executor is not None:
                executor.cordoned = True
                # A pool serves the service of the same name.
                pool = [
                    other
                    for other in self._scheduler.executors_by_id.values()
                    if other.entry.service == executor.entry.service
                ]
                for run in choose_runs_to_move(executor, pool, now_ms):
                    self._scheduler.stop_run(run, now_ms, "planned maintenance")
            if (
                machine_id not in state.orders_in_flight
                and self._orders.may_order(machine_id)
                and may_begin_maintenance(executor, since_ms, now_ms)
                and self._has_free_slot(state, machine_id)
            ):
                self._order_maintenance(key, state, machine_id)
        self._log_waiting(state)
        state.update_presence(self._machine_by_id, now_ms)
        if state.is_finished(now_ms) and not state.completed:
            state.completed = True
        self._store_status(key, state)

    def _find_inherited(self, state: WaveState) -> set[str]:
        """Return the machines that an earlier leader's order may still take down."""
        wave = state.wave
        return self._orders.find_inherited(wave.number, wave.machines) - state.begun

    def _list_other_waves(self, state: WaveState) -> list[WaveState]:
        return [other for other in self._state_by_key.values() if other is not state]

    def _find_down_machines(self, state: WaveState) -> set[str]:
        return find_down_machines(
            state,
            self._machine_by_id,
            self._find_inherited(state),
            self._list_other_waves(state),
        )

    def _has_free_slot(self, state: WaveState, machine_id: str) -> bool:
        """Tell whether a machine may go down beside the others of its wave."""
        down = self._find_down_machines(state) - {machine_id}
        return len(down) < state.wave.max_concurrent

    def _is_wanted(self, state: WaveState, machine_id: str) -> bool:
        """Tell whether a wave takes a machine.

        A machine that is not listed has no order to wait for, and would hold a slot.
        """
        return (
            not state.withdrawn
            and machine_id in state.wave.machines
            and machine_id in self._machine_by_id
        )

    def _end_needless_drains(self, state: WaveState) -> None:
        """End the drain of machines that the wave does not take any more."""
        for machine_id in list(state.draining_since_ms):
            if not self._is_wanted(state, machine_id) and not state.orders.is_waiting(
                machine_id
            ):
                self._stop_draining(state, machine_id)

    def _log_waiting(self, state: WaveState) -> None:
        """Log the machines that a wave waits for, if they have changed."""
        waiting = {
            machine_id: machine.state.value if machine else "gone"
            for machine_id in state.list_remaining()
            if not (machine := self._machine_by_id.get(machine_id)) or not machine.is_up
        }
        if waiting != state.logged_waiting:
            state.logged_waiting = waiting
            text = ",".join(f"{key}:{value}" for key, value in waiting.items())
            _log.event("wave waits for machines", wave=state.wave.number, machines=text)

    def _order_maintenance(self, key: str, state: WaveState, machine_id: str) -> None:
        executor = self._map_executors_by_machine().get(machine_id)
        state.orders_in_flight.add(machine_id)
        state.orders.note_sent(machine_id, self._loop.clock.now_ms())

        def on_reply(verdict: MachineOrderVerdict) -> None:
            _log.event(
                "maintenance ordered",
                wave=state.wave.number,
                machine=machine_id,
                executor=executor.id if executor else "",
                runs=len(executor.runs) if executor else 0,
                outcome=verdict.value,
                fence=self._scheduler.fence,
                reading=self._occupants.last_reading,
            )
            state.orders.note_answer(
                machine_id,
                verdict,
                self._occupants.last_reading,
                self._loop.clock.now_ms(),
            )
            if (
                verdict is MachineOrderVerdict.OK
                or verdict is MachineOrderVerdict.OTHER_WAVE
            ):
                state.begun.add(machine_id)
                self._update_due_machines()
                if verdict is MachineOrderVerdict.OK:
                    state.draining_since_ms.pop(machine_id, None)
                    present = self._map_executors_by_machine().get(machine_id)
                    self._occupants.note_order(machine_id, present)
                    # The next machine need not wait for the timer.
                    self._loop.after(
                        self._scheduler.timing.maintenance_ms, self._read_machines
                    )
                else:
                    self._stop_draining(state, machine_id)
                self._store_progress(key, state)
            elif verdict is MachineOrderVerdict.BUSY:
                self._stop_draining(state, machine_id)
            self._end_needless_drains(state)
            self._loop.after(
                RETRY_MS, lambda: state.orders_in_flight.discard(machine_id)
            )

        def send() -> None:
            is_wanted = self._is_wanted(state, machine_id)
            if not is_wanted or not self._has_free_slot(state, machine_id):
                abandon()
                return
            now_ms = self._loop.clock.now_ms()
            state.orders.note_sent(machine_id, now_ms)
            _log.event(
                "maintenance order sent",
                wave=state.wave.number,
                machine=machine_id,
                may_be_down=len(self._find_down_machines(state) - {machine_id}),
                at_once=state.wave.max_concurrent,
                reading=self._occupants.applied_reading,
                reading_age_ms=now_ms - self._reading_requested_ms,
            )
            self._client.begin_maintenance(
                machine_id, state.wave.number, self._scheduler.fence, on_reply
            )

        def abandon() -> None:
            state.orders_in_flight.discard(machine_id)
            state.orders.note_not_sent(machine_id)

        self._orders.record([machine_id], send, abandon, state.wave.number)

    def _stop_draining(self, state: WaveState, machine_id: str) -> None:
        state.draining_since_ms.pop(machine_id, None)
        executor = self._map_executors_by_machine().get(machine_id)
        if executor is not None and not any(
            machine_id in other.draining_since_ms
            for other in self._state_by_key.values()
        ):
            executor.cordoned = False

    def _store_progress(self, key: str, state: WaveState) -> None:
        if self._state_by_key.get(key) is not state:
            return  # the record has been replaced by that of another wave
        name = key[len(wire.WAVE_PREFIX) :]
        received_unix_ms = unix_ms() - (self._loop.clock.now_ms() - state.received_ms)
        progress = WaveProgress(frozenset(state.begun), received_unix_ms)
        self._write(WAVE_PROGRESS_PREFIX + name, encode_progress(progress))

    def _store_status(self, key: str, state: WaveState) -> None:
        name = key[len(wire.WAVE_PREFIX) :]
        value = wire.encode_wave_status(state.completed)
        if state.reported_status != value:
            state.reported_status = value
            self._write(wire.WAVE_STATUS_PREFIX + name, value)

    def _write(self, key: str, value: bytes) -> None:
        self._last_value_by_key[key] = value
        conditions = ((LEADER_KEY, self._scheduler.fence),)

        def on_reply(reply: t.Any) -> None:
            if not reply.outcome.is_answer:
                self._loop.after(RETRY_MS, repeat)

        def repeat() -> None:
            if not self._stopped and self._last_value_by_key[key] is value:
                self._write(key, value)

        # The lease id 0 means no lease.
        self._store.write(Write(conditions, ((key, value, 0),)), on_reply)

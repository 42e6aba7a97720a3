"""Moves of machines between pools, which the leader carries out."""

import json
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.keys import HOME_POOLS_KEY, LEADER_KEY
from cranberrywheel.node.machine_occupants import MachineOccupants
from cranberrywheel.node.machine_orders import MachineOrders
from cranberrywheel.node.turn_records import TurnRecords
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Outcome, StoreReply, Write
from cranberrywheel.submission.demand import compute_demand_by_service
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.failure_domains import find_unreachable_zones
from cranberrywheel.submission.machines import Machine, MachineOrderVerdict
from cranberrywheel.submission.maintenance import choose_runs_to_move
from cranberrywheel.submission.pool_load import count_expected_machines
from cranberrywheel.submission.pool_plans import list_drain_targets, plan_pools
from cranberrywheel.submission.pool_sizing import (
    PoolSizingState,
    decide_moves,
    is_borrowed,
)
from cranberrywheel.submission.scheduler import Scheduler

#: Time after which a move that does not appear in the list of machines is abandoned.
MOVE_TIMEOUT_MS = 6_000
#: Delay before a failed read from the store is repeated.
RETRY_MS = 700

_log = ComponentLogger("pools")


def _decode_home_pools(value: bytes) -> dict[str, str]:
    """Decode the home pool of each machine; empty if the record is invalid.

    Without the record each machine counts as at home where it is listed.
    """
    try:
        return {key: str(pool) for key, pool in decode_object(value).items()}
    except FIELD_ERRORS as error:
        _log.warning(
            "record of home pools cannot be decoded; ignored", error=repr(error)
        )
        return {}


class PoolMoveController:
    """Assigns machines temporarily to pools whose queues have a burst."""

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        client: MachineClient,
        scheduler: Scheduler,
        orders: MachineOrders,
        occupants: MachineOccupants,
    ) -> None:
        self._orders = orders
        self._occupants = occupants
        self._loop = loop
        self._store = store
        self._client = client
        self._scheduler = scheduler
        self._state = PoolSizingState()
        self._turn_records = TurnRecords(loop, store, scheduler)
        self._loaded = False
        self._stored_home_count = 0
        self._ordered_ms_by_machine: dict[str, int] = {}

    def start(self) -> None:
        """Load the home pool of each machine and the turns of the queues."""

        def on_reply(reply: StoreReply) -> None:
            if not reply.outcome.is_answer:
                self._loop.after(RETRY_MS, self.start)
                return
            if reply.outcome is Outcome.OK:
                home_by_machine = _decode_home_pools(reply.items[0].value or b"")
                self._state.home_pool_by_machine.update(home_by_machine)
                self._stored_home_count = len(home_by_machine)
            if self._scheduler.features.turn_forecast:
                self._turn_records.load(finish)
            else:
                finish()

        def finish() -> None:
            self._loaded = True

        self._store.read(HOME_POOLS_KEY, on_reply)

    def count_expected_machines(self, machines: t.Iterable[Machine]) -> dict[str, int]:
        """See :func:`.pool_load.count_expected_machines`."""
        return count_expected_machines(self._state, machines)

    def is_moving(self, machine_id: str) -> bool:
        """Tell whether a machine moves to another pool, or has been ordered to."""
        return machine_id in self._state.destination_by_machine

    def advance(
        self,
        machines: t.Sequence[Machine],
        executors_by_machine: t.Mapping[str, Executor],
        reserved: t.Iterable[str],
    ) -> None:
        """Decide which machines to move, and drain or move them.

        :param reserved: machines that a maintenance wave needs in their present pool.
        """
        configuration = self._scheduler.configuration
        if not self._loaded or configuration is None:
            return
        now_ms = self._loop.clock.now_ms()
        state = self._state
        for machine_id, ordered_ms in list(self._ordered_ms_by_machine.items()):
            if now_ms - ordered_ms > MOVE_TIMEOUT_MS:
                is_unsettled = state.destination_by_machine.pop(machine_id, None)
                executor = executors_by_machine.get(machine_id)
                if is_unsettled and executor is not None:
                    executor.cordoned = False
                del self._ordered_ms_by_machine[machine_id]
        standby_services = {
            service.name
            for service in configuration.services_by_name.values()
            if service.standby
        }

        listed_id_by_machine = {machine.id: machine.executor_id for machine in machines}

        def has_successor(executor: Executor) -> bool:
            listed_id = listed_id_by_machine.get(executor.entry.machine)
            return not executor.registered and listed_id not in (None, "", executor.id)

        occupied = {
            executor.entry.machine
            for executor in self._scheduler.executors_by_id.values()
            if executor.may_have_runs(now_ms) and not has_successor(executor)
        }

        def is_idle(machine: Machine) -> bool:
            return machine.id not in occupied

        waiting = {
            machine.id for machine in machines if not self._orders.may_order(machine.id)
        }
        demand = compute_demand_by_service(self._scheduler, now_ms)
        plans = plan_pools(
            self._scheduler, state, machines, standby_services, demand, now_ms
        )
        decision = decide_moves(
            state,
            machines,
            standby_services,
            demand,
            waiting.union(reserved),
            is_idle,
            now_ms,
            self._scheduler.evacuated_zones,
            find_unreachable_zones(self._scheduler.executors_by_id.values()),
            plans,
        )
        self._store_home_pools()
        if self._scheduler.features.turn_forecast:
            self._turn_records.store_changes()
        borrowed = {machine.id for machine in machines if is_borrowed(state, machine)}
        self._scheduler.borrowed_machines = borrowed | set(state.destination_by_machine)
        for machine_id in decision.keep:
            executor = executors_by_machine.get(machine_id)
            if executor is not None:
                executor.cordoned = False
        for machine_id in decision.drain:
            self._drain(executors_by_machine.get(machine_id), now_ms)
        if decision.moves:
            self._record_moves(decision.moves, executors_by_machine)

    def _drain(self, executor: Executor | None, now_ms: int) -> None:
        if executor is None:
            return
        executor.cordoned = True
        pool = list_drain_targets(self._scheduler, executor.entry.service)
        for run in choose_runs_to_move(executor, pool, now_ms):
            self._scheduler.stop_run(run, now_ms, "its machine moves to another pool")

    def _record_moves(
        self,
        moves: t.Sequence[tuple[str, str]],
        executors_by_machine: t.Mapping[str, Executor],
    ) -> None:
        """Cordon the machines, record their moves and order them."""
        executor_by_machine = {
            machine_id: executors_by_machine.get(machine_id) for machine_id, _ in moves
        }
        for machine_id, executor in executor_by_machine.items():
            self._ordered_ms_by_machine[machine_id] = self._loop.clock.now_ms()
            if executor is not None:
                executor.cordoned = True

        def send() -> None:
            for machine_id, pool in moves:
                self._order_move(machine_id, pool, executor_by_machine[machine_id])

        def abandon() -> None:
            for machine_id, executor in executor_by_machine.items():
                self._state.destination_by_machine.pop(machine_id, None)
                if executor is not None:
                    executor.cordoned = False

        self._orders.record([machine_id for machine_id, _ in moves], send, abandon)

    def _order_move(
        self, machine_id: str, pool: str, executor: Executor | None
    ) -> None:

        def on_reply(verdict: MachineOrderVerdict) -> None:
            _log.event(
                "machine move ordered",
                machine=machine_id,
                pool=pool,
                executor=executor.id if executor else "",
                runs=len(executor.runs) if executor else 0,
                outcome=verdict.value,
                fence=self._scheduler.fence,
            )
            if verdict is MachineOrderVerdict.OK:
                self._occupants.note_order(machine_id, executor)
            elif verdict is not MachineOrderVerdict.UNKNOWN:
                self._state.destination_by_machine.pop(machine_id, None)
                if executor is not None:
                    executor.cordoned = False

        self._client.move(machine_id, pool, self._scheduler.fence, on_reply)

    def _store_home_pools(self) -> None:
        home_by_machine = self._state.home_pool_by_machine
        if len(home_by_machine) == self._stored_home_count:
            return
        self._stored_home_count = len(home_by_machine)
        write = Write(
            ((LEADER_KEY, self._scheduler.fence),),
            ((HOME_POOLS_KEY, json.dumps(home_by_machine).encode(), 0),),  # 0: no lease
        )

        def on_reply(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                self._stored_home_count = 0  # written again by the next advance()

        self._store.write(write, on_reply)

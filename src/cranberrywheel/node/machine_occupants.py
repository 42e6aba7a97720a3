"""Executors that the platform's list shows on the machines, and which have ended."""

import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.machines import Machine, MachineState
from cranberrywheel.submission.scheduler import Scheduler

_OUT_OF_SERVICE = (MachineState.MOVING, MachineState.MAINTENANCE)

_log = ComponentLogger("duties")


class MachineOccupants:
    """Follows the executor of each machine through readings of the platform's list.

    The platform also answers an order with success if it was carried out before, when
    another executor may be on the machine. The end of an executor is therefore taken
    from the list only.

    :ivar applied_reading: number of the last reading that was applied.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._reading_count = 0
        self.applied_reading = 0
        self._executor_id_by_machine: dict[str, str] = {}
        #: Executors that a reading has shown to have ended, by machine.
        self._ended_ids_by_machine: dict[str, set[str]] = {}
        #: Executor of each machine with a successful order, and the number of readings
        #: that were requested before.
        self._ordered_by_machine: dict[str, tuple[Executor, int]] = {}

    @property
    def last_reading(self) -> int:
        """Number of the last reading that was requested."""
        return self._reading_count

    def begin_reading(self) -> int:
        """Return the number of a reading that is requested now."""
        self._reading_count += 1
        return self._reading_count

    def note_order(self, machine_id: str, executor: Executor | None) -> None:
        """Record that an order for a machine was answered with success.

        :param executor: the executor that is known on the machine, or ``None``.
        """
        if executor is not None:
            self._ordered_by_machine[machine_id] = (executor, self._reading_count)

    def apply_reading(
        self, number: int, machines: t.Iterable[Machine], now_ms: int
    ) -> bool:
        """Apply a reading of the list.

        :param number: its number from :meth:`begin_reading`.
        :returns: false if a later reading has been applied before.
        """
        if number <= self.applied_reading:
            return False
        self.applied_reading = number
        for machine in machines:
            ended_ids = self._ended_ids_by_machine.setdefault(machine.id, set())
            if machine.executor_id in ended_ids:
                continue  # an older state of the list than that of an earlier reading
            self._update_executor(machine, ended_ids, now_ms)
            self._settle_order(machine, number)
        return True

    def _update_executor(
        self, machine: Machine, ended_ids: set[str], now_ms: int
    ) -> None:
        earlier_id = self._executor_id_by_machine.get(machine.id, "")
        if earlier_id and machine.executor_id != earlier_id:
            if machine.executor_id or machine.state in _OUT_OF_SERVICE:
                ended_ids.add(earlier_id)
                self._scheduler.mark_terminated(earlier_id, now_ms)
                self._executor_id_by_machine.pop(machine.id)
        if machine.executor_id:
            self._executor_id_by_machine[machine.id] = machine.executor_id

    def _settle_order(self, machine: Machine, number: int) -> None:
        """Open an executor again that came after the order was carried out."""
        executor, reading_count = self._ordered_by_machine.get(machine.id, (None, 0))
        if executor is None or number <= reading_count:
            return
        if not machine.is_up and machine.state not in _OUT_OF_SERVICE:
            return
        del self._ordered_by_machine[machine.id]
        if machine.is_up and machine.executor_id == executor.id:
            executor.cordoned = False
            _log.event(
                "machine order had been carried out before its executor came",
                machine=machine.id,
                executor=executor.id,
            )

"""Maintenance orders of a wave that may still have an effect.

The list of machines cannot tell how many machines of a wave are down: a reading may be
older than an order, and an order without an answer may be carried out later.
"""

import dataclasses
import typing as t

from cranberrywheel.submission.machines import Machine, MachineOrderVerdict

#: Longest time after which an order without an answer is carried out.
LATE_ORDER_MS = 12_000
#: Added to the duration of a maintenance that is taken to be over by the clock alone.
MAINTENANCE_MARGIN_MS = 500


@dataclasses.dataclass
class _Order:
    """Order for one machine. Times are steady milliseconds.

    :ivar sent_ms: when the copy that waits for its answer was sent.
    :ivar unanswered_ms: when the last copy was sent that was given up.
    :ivar carried_out_ms: when an answer said that the order has been carried out.
    :ivar last_reading: number of the last reading of the machine list that was
        requested before the answer.
    """

    sent_ms: int | None = None
    unanswered_ms: int | None = None
    carried_out_ms: int | None = None
    last_reading: int = 0


class MaintenanceOrders:
    """Orders for the maintenance of a wave's machines, as one leader knows them."""

    def __init__(self) -> None:
        self._order_by_machine: dict[str, _Order] = {}
        #: Machines whose maintenance is known to be over.
        self._over: set[str] = set()

    @property
    def machines(self) -> t.KeysView[str]:
        """Machines that may be down, or may yet go down, because of an order."""
        return self._order_by_machine.keys()

    def is_over(self, machine: str) -> bool:
        """Tell whether the maintenance of a machine is known to be over."""
        return machine in self._over

    def is_waiting(self, machine: str) -> bool:
        """Tell whether an order for a machine waits for its answer."""
        order = self._order_by_machine.get(machine)
        return order is not None and order.sent_ms is not None

    def is_unresolved(self, machine: str) -> bool:
        """Tell whether an order for a machine was given up without an answer."""
        order = self._order_by_machine.get(machine)
        return (
            order is not None
            and order.unanswered_ms is not None
            and order.carried_out_ms is None
        )

    def was_carried_out(self, machine: str) -> bool:
        """Tell whether the maintenance of a machine began and may not be over."""
        order = self._order_by_machine.get(machine)
        return order is not None and order.carried_out_ms is not None

    def note_sent(self, machine: str, now_ms: int) -> None:
        """Record that an order for a machine is sent now."""
        self._order_by_machine.setdefault(machine, _Order()).sent_ms = now_ms

    def note_not_sent(self, machine: str) -> None:
        """Record that an order that was noted as sent has not been sent."""
        order = self._order_by_machine[machine]
        order.sent_ms = None
        if order.unanswered_ms is None and order.carried_out_ms is None:
            del self._order_by_machine[machine]

    def note_begun_earlier(self, machine: str, now_ms: int) -> None:
        """Record that an earlier leader saw the maintenance of a machine begin."""
        self._order_by_machine[machine] = _Order(carried_out_ms=now_ms)

    def note_answer(
        self, machine: str, verdict: MachineOrderVerdict, last_reading: int, now_ms: int
    ) -> None:
        """Record the answer to an order, or that it was given up.

        A copy that is carried out after the maintenance has begun has no effect.

        :param last_reading: number of the last reading of the list that was requested.
        """
        order = self._order_by_machine[machine]
        sent_ms, order.sent_ms = order.sent_ms, None
        order.last_reading = last_reading
        if verdict is MachineOrderVerdict.OK:
            order.carried_out_ms = now_ms
        elif verdict is MachineOrderVerdict.OTHER_WAVE:
            del self._order_by_machine[machine]
        elif verdict is MachineOrderVerdict.UNKNOWN:
            order.unanswered_ms = sent_ms
        elif verdict is MachineOrderVerdict.REFUSED and order.unanswered_ms is None:
            del self._order_by_machine[machine]

    def settle(
        self,
        reading: int,
        machines_by_id: t.Mapping[str, Machine],
        maintenance_ms: int,
        now_ms: int,
    ) -> None:
        """Forget the orders that have no further effect.

        :param reading: number of the reading of the list that is applied now.
        :param machines_by_id: machines in that reading.
        :param maintenance_ms: duration of the maintenance of one machine.
        """
        longest_ms = maintenance_ms + MAINTENANCE_MARGIN_MS
        for machine_id, order in list(self._order_by_machine.items()):
            if order.sent_ms is not None:
                continue
            machine = machines_by_id.get(machine_id)
            is_up = machine is not None and machine.is_up
            if order.carried_out_ms is not None:
                is_seen = reading > order.last_reading and is_up
                if is_seen or now_ms >= order.carried_out_ms + longest_ms:
                    del self._order_by_machine[machine_id]
                    self._over.add(machine_id)
            elif order.unanswered_ms is not None:
                if now_ms >= order.unanswered_ms + LATE_ORDER_MS + longest_ms:
                    del self._order_by_machine[machine_id]
            elif reading > order.last_reading:
                del self._order_by_machine[machine_id]

"""Record of the machines that the leader orders, for the next leader.

Two leaders must not order one machine within the lease of an order, and an order that
was sent before a takeover may still be carried out after it. Each order is therefore
recorded first. The next leader waits only for the machines in the record, so that a
pool in a burst gets machines at once after a takeover.

The record also tells which of the orders are for the maintenance of a wave, since these
count against the wave's limit for as long as they may be carried out.
"""

import collections
import dataclasses
import json
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.keys import LEADER_KEY, ORDERED_MACHINES_KEY
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Outcome, StoreReply, Write
from cranberrywheel.submission.maintenance_orders import LATE_ORDER_MS

#: Delay before a failed read from the store is repeated.
RETRY_MS = 700
#: Added to the lease of an order, for orders that arrive late.
LATE_ORDER_MARGIN_MS = 700

_log = ComponentLogger("machine-orders")


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingOrders:
    machines: tuple[str, ...]
    send: t.Callable[[], None]
    on_failure: t.Callable[[], None]
    wave: int | None


def _decode_waves(row: t.Mapping[str, t.Any]) -> set[tuple[str, int]] | None:
    """Decode the machines that were ordered for a wave, each with its number.

    :returns: ``None`` if the record is one of a version that does not tell.
    :raises TypeError, ValueError, AttributeError: if the record is invalid.
    """
    waves_by_machine = row.get("waves")
    if waves_by_machine is None:
        return None
    return {
        (str(machine), int(wave))
        for machine, waves in waves_by_machine.items()
        for wave in waves
    }


class MachineOrders:
    """Recorded machine orders of this leadership and of the one before.

    All methods run on the loop's thread.

    :param fence: fencing token of this leadership.
    :param order_lease_ms: shortest time between the orders of two leaders for one
        machine, in milliseconds.
    :param has_valid_lease: returns whether this process certainly leads at this moment.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        fence: int,
        order_lease_ms: int,
        has_valid_lease: t.Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._store = store
        self._fence = fence
        self._has_valid_lease = has_valid_lease
        self._wait_ms = order_lease_ms + LATE_ORDER_MARGIN_MS
        self._wait_end_ms = loop.clock.now_ms() + self._wait_ms
        self._late_end_ms = self._wait_end_ms + LATE_ORDER_MS
        #: Machines in the record of the earlier leader; ``None`` while it is not known.
        self._inherited: set[str] | None = None
        #: Machines in that record that were ordered for a wave, with its number;
        #: ``None`` while they are not known.
        self._inherited_waves: set[tuple[str, int]] | None = None
        self._ordered_ms_by_machine: dict[str, int] = {}
        self._ordered_ms_by_wave: dict[tuple[str, int], int] = {}
        self._revision = 0
        self._writing = False
        self._stopped = False
        self._pending: list[_PendingOrders] = []

    def load(self) -> None:
        """Load the record of the earlier leader."""
        self._store.read(ORDERED_MACHINES_KEY, self._on_record)

    def _on_record(self, reply: StoreReply) -> None:
        if reply.outcome is Outcome.OK:
            self._revision = reply.items[0].revision
            try:
                row = decode_object(reply.items[0].value or b"")
                machines = {str(machine) for machine in row["machines"]}
                self._inherited_waves = _decode_waves(row)
                self._inherited = machines
            except FIELD_ERRORS as error:
                _log.warning(
                    "record of machine orders cannot be decoded, waiting for all",
                    error=repr(error),
                )
        elif reply.outcome is Outcome.ABSENT:
            # No leader has recorded an order, but one of an earlier version may have
            # sent some.
            _log.event("no record of machine orders, waiting for all")
        else:
            self._loop.after(RETRY_MS, self.load)

    def stop(self) -> None:
        """Send no order any more, also none whose record is being written."""
        self._stopped = True

    def may_order(self, machine: str) -> bool:
        """Tell whether no order of an earlier leader can still arrive at a machine."""
        if self._loop.clock.now_ms() >= self._wait_end_ms:
            return True
        return self._inherited is not None and machine not in self._inherited

    def find_inherited(self, wave: int, machines: t.Iterable[str]) -> set[str]:
        """Return the machines that an earlier leader's order may still take down.

        :param wave: number of the wave.
        :param machines: machines of the wave.
        """
        now_ms = self._loop.clock.now_ms()
        if now_ms >= self._late_end_ms:
            return set()
        if self._inherited_waves is None:
            return {machine for machine in machines if not self.may_order(machine)}
        return {machine for machine, number in self._inherited_waves if number == wave}

    def record(
        self,
        machines: t.Sequence[str],
        send: t.Callable[[], None],
        on_failure: t.Callable[[], None],
        wave: int | None = None,
    ) -> None:
        """Record orders, then send them.

        :param send: sends the orders; called once they are recorded, if this process
            still leads.
        :param on_failure: called instead if the orders are not sent.
        :param wave: number of the wave for which the machines are maintained; ``None``
            for moves.
        """
        self._pending.append(_PendingOrders(tuple(machines), send, on_failure, wave))
        self._write_pending()

    def _write_pending(self) -> None:
        """Write the record with all pending orders, unless a write is under way."""
        if self._writing or not self._pending:
            return
        batch, self._pending = self._pending, []
        now_ms = self._loop.clock.now_ms()
        for orders in batch:
            for machine in orders.machines:
                self._ordered_ms_by_machine[machine] = now_ms
                if orders.wave is not None:
                    self._ordered_ms_by_wave[machine, orders.wave] = now_ms
        self._ordered_ms_by_machine = {
            machine: ordered_ms
            for machine, ordered_ms in self._ordered_ms_by_machine.items()
            if now_ms - ordered_ms < self._wait_ms
        }
        self._ordered_ms_by_wave = {
            key: ordered_ms
            for key, ordered_ms in self._ordered_ms_by_wave.items()
            if now_ms - ordered_ms < self._wait_ms + LATE_ORDER_MS
        }
        recorded = set(self._ordered_ms_by_machine)
        if now_ms < self._wait_end_ms:
            recorded |= self._inherited or set()
        waves_by_machine = collections.defaultdict(list)
        for machine, wave in sorted(self._list_waves(now_ms)):
            waves_by_machine[machine].append(wave)
        row = {"machines": sorted(recorded), "waves": waves_by_machine}
        value = json.dumps(row).encode()
        # The condition on the leader record stops a process that was paused past its
        # lease, that on the record itself an earlier write that arrives late.
        write = Write(
            ((LEADER_KEY, self._fence), (ORDERED_MACHINES_KEY, self._revision)),
            ((ORDERED_MACHINES_KEY, value, 0),),  # 0: no lease
        )
        self._writing = True
        self._store.write(write, lambda reply: self._on_written(batch, reply))

    def _list_waves(self, now_ms: int) -> set[tuple[str, int]]:
        """Return the maintenance orders that the next leader has to count."""
        waves = set(self._ordered_ms_by_wave)
        if now_ms < self._late_end_ms:
            waves |= self._inherited_waves or set()
        return waves

    def _on_written(self, batch: list["_PendingOrders"], reply: StoreReply) -> None:
        self._writing = False
        if self._stopped:
            # This process may lead again, under a later fencing token.
            return
        revision_by_key = {item.key: item.revision for item in reply.items}
        if reply.outcome is Outcome.OK:
            self._revision = reply.revision
            is_sent = self._has_valid_lease()
        else:
            is_sent = False
        if (
            reply.outcome is Outcome.CONFLICT
            and revision_by_key.get(LEADER_KEY) == self._fence
        ):
            # An earlier write took effect although its answer was lost.
            self._revision = revision_by_key.get(ORDERED_MACHINES_KEY, 0)
            self._pending = batch + self._pending
        elif is_sent:
            for orders in batch:
                orders.send()
        else:
            _log.warning(
                "machine orders not sent: not recorded, or the lease has expired",
                machines=sum(len(orders.machines) for orders in batch),
                outcome=reply.outcome.value,
            )
            for orders in batch:
                orders.on_failure()
        self._write_pending()

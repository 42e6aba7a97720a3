"""Machine orders of two leaders, one after the other."""

import pytest

from cranberrywheel.node.keys import LEADER_KEY, ORDERED_MACHINES_KEY
from cranberrywheel.node.machine_orders import LATE_ORDER_MARGIN_MS, MachineOrders
from cranberrywheel_standin.virtual_fleet import VirtualLoop, VirtualStore

ORDER_LEASE_MS = 3_000


class Leaders:
    """A store in which one leader follows another.

    :ivar sent: leader and machine of each order that was sent.
    """

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.store = VirtualStore(self.loop)
        self.sent: list[tuple[str, str]] = []
        self.failed: list[str] = []

    def lead(self) -> MachineOrders:
        """Write a new leader record and return the orders of its leader."""
        self.store.put(LEADER_KEY, b"{}")
        orders = MachineOrders(
            self.loop,
            self.store.build_client(),
            self.store.revision,
            ORDER_LEASE_MS,
            lambda: True,
        )
        orders.load()
        self.loop.run_for(50)
        return orders

    def order(
        self, name: str, orders: MachineOrders, *machines: str, wave: int | None = None
    ) -> None:
        """Record orders for machines that are noted once they are sent."""
        orders.record(
            machines,
            lambda: self.sent.extend((name, machine) for machine in machines),
            lambda: self.failed.append(name),
            wave,
        )


def test_new_leader_waits_only_for_machines_that_were_ordered():
    """Guards against a pool that gets no machine for four seconds after a takeover.

    On further-grown trouble-1 a queue had 6,000 cores waiting while 69 machines were
    lent to an idle pool.
    """
    leaders = Leaders()
    first = leaders.lead()
    leaders.loop.run_for(10_000)
    leaders.order("first", first, "m1")
    leaders.loop.run_for(50)
    second = leaders.lead()
    assert second.may_order("m2") and not second.may_order("m1")
    leaders.loop.run_for(ORDER_LEASE_MS)
    assert not second.may_order("m1")
    leaders.loop.run_for(LATE_ORDER_MARGIN_MS)
    assert second.may_order("m1")


def test_third_leader_still_waits_for_the_orders_of_the_first():
    """Guards against a record that forgets orders at the second of two takeovers."""
    leaders = Leaders()
    first = leaders.lead()
    leaders.loop.run_for(10_000)
    leaders.order("first", first, "m1")
    leaders.loop.run_for(50)
    second = leaders.lead()
    leaders.order("second", second, "m2")
    leaders.loop.run_for(50)
    third = leaders.lead()
    assert not third.may_order("m1") and not third.may_order("m2")
    assert third.may_order("m3")


def test_move_by_an_earlier_leader_does_not_count_against_a_wave():
    """Guards against a wave that loses four seconds to machines that move."""
    leaders = Leaders()
    first = leaders.lead()
    leaders.loop.run_for(10_000)
    leaders.order("first", first, "m1")
    leaders.order("first", first, "m2", wave=7)
    leaders.loop.run_for(50)
    second = leaders.lead()
    assert second.find_inherited(7, ["m1", "m2", "m3"]) == {"m2"}
    assert second.find_inherited(8, ["m1", "m2", "m3"]) == set()


def test_maintenance_by_an_earlier_leader_counts_while_it_may_be_carried_out():
    """Guards against an order that counts no longer than the next one must wait."""
    leaders = Leaders()
    first = leaders.lead()
    leaders.loop.run_for(10_000)
    leaders.order("first", first, "m1", wave=7)
    leaders.loop.run_for(50)
    second = leaders.lead()
    leaders.loop.run_for(12_000)
    assert second.may_order("m1")
    assert second.find_inherited(7, []) == {"m1"}
    leaders.order("second", second, "m2", wave=7)
    leaders.loop.run_for(50)
    third = leaders.lead()
    assert third.find_inherited(7, []) == {"m1", "m2"}
    leaders.loop.run_for(12_000 + ORDER_LEASE_MS + LATE_ORDER_MARGIN_MS)
    assert third.find_inherited(7, []) == set()


def test_leader_counts_all_machines_of_a_wave_before_it_knows_the_record():
    """Guards against a machine that goes down while the record is being read."""
    leaders = Leaders()
    leaders.store.unreachable = True
    orders = leaders.lead()
    assert orders.find_inherited(7, ["m1", "m2"]) == {"m1", "m2"}


def test_paused_leader_sends_no_order_after_a_takeover():
    """Guards against orders of two leaders for one machine."""
    leaders = Leaders()
    first = leaders.lead()
    second = leaders.lead()
    leaders.loop.run_for(10_000)
    leaders.order("first", first, "m1")
    leaders.order("second", second, "m1")
    leaders.loop.run_for(2_000)
    assert leaders.sent == [("second", "m1")] and leaders.failed == ["first"]


def test_leader_that_stops_sends_no_order_that_is_being_recorded():
    """Guards against an order with an old fencing token after a hand-over.

    The process may lead again by the time that the record is written.
    """
    leaders = Leaders()
    orders = leaders.lead()
    leaders.loop.run_for(10_000)
    leaders.order("first", orders, "m1")
    orders.stop()
    leaders.loop.run_for(1_000)
    assert leaders.sent == []


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"machines":7}',
        b"\xff",
        b'{"machines":[],"waves":[7]}',
        b'{"machines":[],"waves":{"m2":7}}',
        b'{"machines":[],"waves":{"m2":["seven"]}}',
    ],
)
def test_unreadable_record_makes_the_leader_wait_for_all(value):
    """Guards against orders that an unreadable record would have forbidden."""
    leaders = Leaders()
    leaders.store.put(ORDERED_MACHINES_KEY, value)
    orders = leaders.lead()
    assert not orders.may_order("m1")
    leaders.loop.run_for(ORDER_LEASE_MS + LATE_ORDER_MARGIN_MS)
    assert orders.may_order("m1")


@pytest.mark.parametrize("seed", range(5))
def test_lost_answers_neither_hide_nor_repeat_an_order(seed):
    """Guards against a record that a late write of an earlier one replaces."""
    leaders = Leaders()
    orders = leaders.lead()
    leaders.loop.run_for(10_000)
    leaders.store.random.seed(seed)
    leaders.store.lost_answer_share = 0.4
    for number in range(20):
        leaders.order("first", orders, f"m{number}")
        leaders.loop.run_for(300)
        second_view = leaders.store.item_by_key.get(ORDERED_MACHINES_KEY)
        for _, machine in leaders.sent[-1:]:
            assert second_view is not None
            assert f'"{machine}"'.encode() in (second_view.value or b"")
    machines = [machine for _, machine in leaders.sent]
    assert len(machines) == len(set(machines)) > 5

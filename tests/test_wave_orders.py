"""Machines of a wave that count as down, whatever the list of machines shows."""

import json
import random

import pytest
from maintenance_rig import MAINTENANCE_MS, MaintenanceRig
from test_run_taken_for_gone import make_entry, make_poll_reply

from cranberrywheel.node import maintenance
from cranberrywheel.node.keys import ORDERED_MACHINES_KEY
from cranberrywheel.node.machine_orders import LATE_ORDER_MARGIN_MS
from cranberrywheel.node.maintenance import ROUND_INTERVAL_MS
from cranberrywheel.submission.machines import MachineState
from cranberrywheel.submission.platform_timing import PlatformTiming

#: Answers with the list take this long in the tests of readings that are too old.
SLOW_READING_MS = 900
#: Longest time after which the platform carries out an order without an answer.
LONGEST_LATE_MS = 12_000
TAKEOVER_WAIT_MS = PlatformTiming().order_lease_ms + LATE_ORDER_MARGIN_MS


def make_rig(count=10, **wave):
    """Build a rig with a leader and a wave over all machines."""
    rig = MaintenanceRig(*(f"m{number}" for number in range(count)))
    rig.put_wave(**wave)
    rig.start_leader()
    return rig


def put_wave_anew(rig, **wave):
    """Write the record of the wave so that the leader prefers other machines."""
    rig.put_wave(machines=list(reversed(rig.machines.by_id)), **wave)


def run_until_ordered(rig):
    rig.run_until(lambda: bool(rig.machines.orders))


def test_rewritten_record_keeps_the_machines_that_are_down():
    """Guards against a second machine that goes down since the record was repeated.

    A reading that is older than the order arrives after the record.
    """
    rig = make_rig()
    rig.machines.reading_ms = SLOW_READING_MS
    rig.run_until_begun(1, 10_000)
    rig.loop.run_for(100)
    put_wave_anew(rig)
    rig.loop.run_for(20_000)
    assert rig.machines.violations == []
    assert len(rig.machines.begun) > 3


def test_rewritten_record_keeps_an_order_that_is_under_way():
    """Guards against a second machine that goes down beside an unanswered order."""
    rig = make_rig()
    rig.loop.run_for(TAKEOVER_WAIT_MS - 500)
    rig.machines.late_ms_by_machine = dict.fromkeys(rig.machines.by_id, 1_000)
    run_until_ordered(rig)
    rig.machines.late_ms_by_machine.clear()
    put_wave_anew(rig)
    rig.loop.run_for(20_000)
    assert rig.machines.violations == []
    assert len(rig.machines.begun) > 3


def test_lowered_cap_counts_the_machines_that_were_ordered_before():
    """Guards against a machine that goes down beside those of the earlier cap."""
    rig = make_rig(cap=3)
    rig.loop.run_for(TAKEOVER_WAIT_MS - 500)
    rig.machines.late_ms_by_machine = dict.fromkeys(rig.machines.by_id, 1_000)
    run_until_ordered(rig)
    rig.machines.late_ms_by_machine.clear()
    put_wave_anew(rig, cap=1)
    rig.loop.run_for(20_000)
    assert rig.machines.violations == []
    assert len(rig.machines.begun) > 5


def test_lowered_cap_holds_for_machines_that_are_drained_already():
    """Guards against machines that go down since an earlier record allowed them."""
    rig = MaintenanceRig(*(f"m{number}" for number in range(6)))
    rig.put_wave(cap=3)
    scheduler = rig.start_leader()
    for name in rig.machines.by_id:
        # Nothing is known yet of what runs there, so that no order may be sent.
        scheduler.put_executor(make_entry(f"i-{name}", machine=name), rig.now_ms)
    rig.loop.run_for(TAKEOVER_WAIT_MS + ROUND_INTERVAL_MS)
    assert rig.controller is not None
    assert len(rig.controller.list_drained_machines()) > 1
    rig.put_wave(cap=1)
    rig.loop.run_for(ROUND_INTERVAL_MS)
    for name in rig.machines.by_id:
        scheduler.on_poll_reply(
            f"i-{name}", make_poll_reply(10), rig.now_ms, rig.now_ms
        )
    rig.loop.run_for(30_000)
    assert rig.machines.violations == []
    assert len(rig.machines.begun) == 6


def test_lowered_cap_holds_while_an_order_is_being_recorded():
    """Guards against orders that a slow store holds up, sent beyond a lowered cap."""
    rig = make_rig(cap=2)
    rig.loop.run_for(TAKEOVER_WAIT_MS - 500)
    rig.write_ms = 600
    rig.loop.run_for(500 + 2 * ROUND_INTERVAL_MS)
    assert rig.machines.orders == []
    rig.put_wave(cap=1)
    rig.loop.run_for(10_000)
    assert rig.machines.violations == []
    assert len(rig.machines.begun) > 1


def test_order_for_a_deleted_wave_is_not_sent_once_it_is_recorded():
    """Guards against a machine that goes down after its wave has been withdrawn."""
    rig = make_rig()
    rig.loop.run_for(TAKEOVER_WAIT_MS - 500)
    rig.write_ms = 600
    rig.loop.run_for(500 + 2 * ROUND_INTERVAL_MS)
    rig.delete_wave()
    rig.loop.run_for(10_000)
    assert rig.machines.orders == []


def test_deleted_record_that_comes_back_finds_the_machines_that_are_down():
    """Guards against a second machine that goes down since the wave seems new."""
    rig = make_rig()
    rig.machines.reading_ms = SLOW_READING_MS
    rig.run_until_begun(1, 10_000)
    rig.loop.run_for(100)
    rig.delete_wave()
    rig.loop.run_for(200)
    put_wave_anew(rig)
    rig.loop.run_for(20_000)
    assert rig.machines.violations == []
    assert len(rig.machines.begun) > 3


def test_deleted_wave_drains_nothing_any_more():
    """Guards against executors that stay closed for a wave that was withdrawn."""
    rig = MaintenanceRig("m0", "m1")
    rig.put_wave()
    scheduler = rig.start_leader()
    rig.run_until_begun(1, 10_000)
    rig.delete_wave()
    rig.loop.run_for(10_000)
    assert len(rig.machines.begun) == 1
    assert scheduler.maintenance_due == set()


@pytest.mark.parametrize("late_ms", [4_000, 8_000, LONGEST_LATE_MS])
def test_unanswered_order_counts_although_its_repetition_is_answered_busy(late_ms):
    """Guards against a late order that takes a second machine down.

    The machine breaks down before the order is repeated, and is up again when the
    first one is carried out.
    """
    rig = make_rig(machines=["m0"])
    rig.loop.run_for(TAKEOVER_WAIT_MS - 500)
    rig.machines.late_ms_by_machine["m0"] = late_ms
    run_until_ordered(rig)
    rig.machines.by_id["m0"].state = MachineState.DOWN
    rig.put_wave()
    rig.loop.run_for(late_ms - 100)
    rig.machines.by_id["m0"].state = MachineState.UP
    rig.loop.run_for(40_000)
    assert rig.machines.violations == []
    assert len(rig.machines.begun) == 10


@pytest.mark.parametrize("late_ms", [4_500, 8_000, LONGEST_LATE_MS])
def test_new_leader_counts_an_order_of_the_one_before_until_it_knows_its_outcome(
    late_ms,
):
    """Guards against a second machine that goes down once the leader has waited."""
    rig = make_rig()
    rig.loop.run_for(TAKEOVER_WAIT_MS - 500)
    rig.machines.late_ms_by_machine = dict.fromkeys(rig.machines.by_id, late_ms)
    run_until_ordered(rig)
    rig.machines.late_ms_by_machine.clear()
    put_wave_anew(rig)
    rig.start_leader()
    rig.loop.run_for(40_000)
    assert rig.machines.violations == []
    assert len(rig.machines.begun) == 10


def test_third_leader_counts_an_order_of_the_first():
    """Guards against a record that forgets maintenance at the second of two takeovers.

    The machine of the order is down for other reasons, so nobody can repeat it.
    """
    rig = make_rig(machines=["m0"])
    rig.loop.run_for(TAKEOVER_WAIT_MS - 500)
    rig.machines.late_ms_by_machine["m0"] = 11_500
    run_until_ordered(rig)
    rig.machines.by_id["m0"].state = MachineState.DOWN
    rig.put_wave()
    rig.start_leader()
    rig.loop.run_for(6_000)
    rig.start_leader()
    rig.loop.run_for(5_000)
    rig.machines.by_id["m0"].state = MachineState.UP
    rig.loop.run_for(40_000)
    assert rig.machines.violations == []
    assert len(rig.machines.begun) == 10


def test_machine_that_is_not_listed_during_its_maintenance_counts():
    """Guards against a second machine that goes down since the first is not listed."""
    rig = make_rig(count=3)
    rig.run_until_begun(1, 10_000)
    _, name, _ = rig.machines.begun[0]
    rig.machines.by_id[name].is_listed = False
    rig.loop.run_for(MAINTENANCE_MS)
    rig.machines.by_id[name].is_listed = True
    rig.loop.run_for(10_000)
    assert rig.machines.violations == []
    assert len(rig.machines.begun) == 3


def test_machine_that_is_removed_while_it_is_drained_holds_no_slot():
    """Guards against a wave that ends with the first machine that is removed."""
    rig = make_rig(count=3)
    rig.run_until_begun(1, 10_000)
    # Without its record the next order is not sent, so that its machine stays drained.
    rig.store.unreachable = True
    rig.loop.run_for(MAINTENANCE_MS + 2 * ROUND_INTERVAL_MS)
    assert rig.controller is not None
    (name,) = rig.controller.list_drained_machines()
    del rig.machines.by_id[name]
    rig.store.unreachable = False
    rig.loop.run_for(20_000)
    assert len(rig.machines.begun) == 2


def test_machine_that_breaks_down_after_its_maintenance_holds_no_slot():
    """Guards against a wave that stands still beside a machine that is gone."""
    rig = make_rig(count=3)
    rig.run_until_begun(1, 10_000)
    rig.loop.run_for(MAINTENANCE_MS - 50)
    _, name, _ = rig.machines.begun[0]
    rig.machines.by_id[name].state = MachineState.DOWN
    rig.loop.run_for(10_000)
    assert len(rig.machines.begun) == 3
    assert rig.machines.violations == []


def test_new_leader_goes_on_at_once_if_no_machine_may_be_down():
    """Guards against a wave that loses four seconds at each takeover.

    The former leader recorded that the maintenance it had ordered had begun.
    """
    rig = make_rig()
    rig.run_until_begun(1, 10_000)
    rig.run_until(lambda: not rig.machines.count_down(1))
    rig.start_leader()
    rig.loop.run_for(2 * ROUND_INTERVAL_MS)
    assert len(rig.machines.begun) == 2
    rig.loop.run_for(10_000)
    assert rig.machines.violations == []


def test_new_leader_waits_for_a_machine_that_went_down_just_before():
    """Guards against a second machine that goes down during the first takeover."""
    rig = make_rig()
    rig.run_until_begun(1, 10_000)
    rig.loop.run_for(50)
    rig.machines.reading_ms = SLOW_READING_MS
    put_wave_anew(rig)
    rig.start_leader()
    rig.loop.run_for(20_000)
    assert rig.machines.violations == []


def test_next_machine_goes_down_as_soon_as_the_one_before_is_up():
    """Guards against a wave that waits for the next round before each machine."""
    rig = MaintenanceRig(*(f"m{number}" for number in range(6)))
    rig.put_wave(duration_s=10)
    rig.start_leader()
    rig.loop.run_for(40_000)
    begun_ms = [time_ms for time_ms, _, _ in rig.machines.begun]
    assert len(begun_ms) == 6
    gaps_ms = [
        later - earlier - MAINTENANCE_MS
        for earlier, later in zip(begun_ms, begun_ms[1:], strict=False)
    ]
    assert max(gaps_ms) < ROUND_INTERVAL_MS / 2
    assert rig.machines.violations == []


def test_machine_that_is_listed_again_still_gets_its_maintenance():
    """Guards against a wave that stays completed although a machine has come back."""
    rig = make_rig(count=2)
    rig.run_until_begun(1, 10_000)
    names = {name for _, name, _ in rig.machines.begun}
    (name,) = set(rig.machines.by_id) - names
    rig.machines.by_id[name].is_listed = False
    rig.loop.run_for(10_000)
    item = rig.store.item_by_key["status/wave/1"]
    assert json.loads(item.value or b"") == {"state": "completed"}
    rig.machines.by_id[name].is_listed = True
    rig.loop.run_for(5_000)
    assert len(rig.machines.begun) == 2


def test_two_waves_take_a_machine_one_after_the_other():
    """Guards against a wave that waits for a machine which another one has taken down.

    Each may take one machine down, and they share two of three.
    """
    rig = MaintenanceRig("m0", "m1", "m2", "m3")
    rig.put_wave(1, ["m0", "m1", "m2"])
    rig.put_wave(2, ["m1", "m2", "m3"])
    rig.start_leader()
    rig.loop.run_for(30_000)
    assert rig.machines.violations == []
    assert sorted((name, wave) for _, name, wave in rig.machines.begun) == [
        ("m0", 1),
        ("m1", 1),
        ("m1", 2),
        ("m2", 1),
        ("m2", 2),
        ("m3", 2),
    ]
    assert len(rig.machines.orders) == 6


def test_record_of_an_earlier_version_counts_for_each_wave():
    """Guards against orders of a leader whose record does not name their waves."""
    rig = MaintenanceRig("m0", "m1")
    rig.store.put(ORDERED_MACHINES_KEY, json.dumps({"machines": ["m0"]}).encode())
    rig.put_wave()
    rig.start_leader()
    rig.loop.run_for(TAKEOVER_WAIT_MS - 50)
    assert rig.machines.begun == []
    rig.loop.run_for(10_000)
    assert len(rig.machines.begun) == 2


def test_new_leader_knows_how_much_time_a_wave_has_left(monkeypatch):
    """Guards against a wave that takes its time after a takeover, and ends late.

    A wave that is short of time drains a machine while another one is down.
    """
    rig = MaintenanceRig(*(f"m{number}" for number in range(6)))
    monkeypatch.setattr(maintenance, "unix_ms", lambda: 1_000_000 + rig.now_ms)
    for machine in rig.machines.by_id.values():
        machine.state = MachineState.DOWN
    rig.put_wave(duration_s=60)
    rig.start_leader()
    rig.loop.run_for(45_000)
    for machine in rig.machines.by_id.values():
        machine.state = MachineState.UP
    rig.start_leader()
    rig.run_until_begun(1)
    rig.loop.run_for(MAINTENANCE_MS // 2)
    assert rig.controller is not None
    assert len(rig.controller.list_drained_machines()) == 1


def test_status_is_not_overwritten_by_an_earlier_one():
    """Guards against a wave that is completed for operators while machines remain.

    The write of the earlier status got no answer, and is repeated.
    """
    rig = make_rig(count=2, machines=["m0"])
    rig.run_until_begun(1, 10_000)
    rig.store.unreachable = True
    rig.loop.run_for(ROUND_INTERVAL_MS + 100)
    rig.store.unreachable = False
    rig.machines.by_id["m1"].state = MachineState.DOWN
    rig.put_wave()
    rig.loop.run_for(10_000)
    item = rig.store.item_by_key["status/wave/1"]
    assert json.loads(item.value or b"") == {"state": "running"}


@pytest.mark.parametrize("seed", range(40))
def test_no_mix_of_faults_takes_more_machines_down_than_the_cap(seed):
    """Guards against orders, readings, records and takeovers that overlap at random."""
    chance = random.Random(seed)
    cap = chance.randint(1, 3)
    rig = MaintenanceRig(*(f"m{number}" for number in range(12)))
    names = list(rig.machines.by_id)
    rig.put_wave(1, names[:8], cap)
    rig.put_wave(2, names[4:], cap)
    rig.start_leader()
    for _ in range(chance.randint(20, 60)):
        rig.loop.run_for(chance.randint(50, 2_500))
        machine = rig.machines.by_id[chance.choice(names)]
        fault = chance.randrange(8)
        if fault == 0:
            rig.start_leader()
        elif fault == 1:
            rig.machines.late_ms_by_machine = {
                name: chance.randint(100, LONGEST_LATE_MS)
                for name in chance.sample(names, 4)
            }
        elif fault == 2:
            rig.machines.reading_ms = chance.choice([5, 300, SLOW_READING_MS])
            rig.machines.answer_ms = chance.choice([5, 200, 700])
        elif fault == 3:
            is_down = machine.state is MachineState.DOWN
            machine.state = MachineState.UP if is_down else MachineState.DOWN
            machine.busy_until_ms = 0
        elif fault == 4:
            machine.is_listed = not machine.is_listed
        elif fault == 5:
            chance.shuffle(names)
            rig.put_wave(1, names[:8], cap)
        elif fault == 6:
            rig.delete_wave(2)
        else:
            rig.put_wave(2, names[4:], cap)
    assert rig.machines.violations == []
    rig.machines.late_ms_by_machine.clear()
    for machine in rig.machines.by_id.values():
        machine.is_listed = True
        if machine.state is MachineState.DOWN:
            machine.state = MachineState.UP
    rig.put_wave(1, names, cap)
    rig.loop.run_for(60_000)
    assert rig.machines.violations == []
    assert all(1 in machine.done for machine in rig.machines.by_id.values())

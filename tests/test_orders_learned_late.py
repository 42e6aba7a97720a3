"""Executors and machines around orders whose outcome is learned late."""

import dataclasses

from leader_harness import make_step, make_submission
from test_run_taken_for_gone import (
    CLOCK_MS,
    FIRST_BOOT,
    NOW_MS,
    MachineService,
    make_entry,
    make_poll_reply,
    make_scheduler,
    schedule,
)

from cranberrywheel.node.keys import LEADER_KEY, ORDERED_MACHINES_KEY
from cranberrywheel.node.machine_orders import LATE_ORDER_MARGIN_MS
from cranberrywheel.node.maintenance import ROUND_INTERVAL_MS, MaintenanceController
from cranberrywheel.submission.executor_orders import (
    OrderVerdict,
    PollReply,
    RunningReport,
)
from cranberrywheel.submission.machines import (
    Machine,
    MachineOrderVerdict,
    MachineState,
    Wave,
)
from cranberrywheel.submission.maintenance import (
    WaveState,
    choose_machines_to_drain,
    may_interrupt,
)
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel_standin.virtual_fleet import VirtualLoop, VirtualStore


def make_world(orders_record=None):
    loop = VirtualLoop()
    store = VirtualStore(loop)
    if orders_record:
        store.put(ORDERED_MACHINES_KEY, orders_record)
    store.put(LEADER_KEY, b"{}")
    store.put("op/wave/1", b'{"wave":1,"machines":["m"],"durationS":60,"cap":1}')
    scheduler = make_scheduler()
    scheduler.fence = store.revision - 1
    service = MachineService()
    controller = MaintenanceController(
        loop, store.build_client(), service, scheduler, lambda: True
    )
    return loop, scheduler, service, controller


def put(scheduler, loop, executor_id):
    now_ms = loop.clock.now_ms()
    scheduler.put_executor(make_entry(executor_id, machine="m"), now_ms)
    scheduler.on_poll_reply(executor_id, make_poll_reply(10), now_ms, now_ms)


def test_executor_that_comes_while_a_repeated_order_is_answered_is_opened():
    """Guards against an executor that stays closed after a repeated order.

    The order was decided while the machine had no executor.
    """
    loop, scheduler, service, controller = make_world()
    put(scheduler, loop, "a")
    controller.start()
    loop.run_for(PlatformTiming().order_lease_ms + LATE_ORDER_MARGIN_MS + 1_000)
    assert len(service.orders) == 1
    service.machine = dataclasses.replace(
        service.machine, state=MachineState.MAINTENANCE, executor_id=""
    )
    scheduler.remove_executor("a", loop.clock.now_ms())
    service.orders[0](MachineOrderVerdict.UNKNOWN)  # carried out, its answer is lost
    loop.run_for(1_500)
    assert len(service.orders) == 2
    service.machine = dataclasses.replace(
        service.machine, state=MachineState.UP, executor_id="b"
    )
    put(scheduler, loop, "b")
    loop.run_for(ROUND_INTERVAL_MS + 50)
    service.orders[1](MachineOrderVerdict.OK)
    loop.run_for(10 * ROUND_INTERVAL_MS)
    assert scheduler.executors_by_id["b"].is_available


def test_executor_whose_order_is_refused_for_good_is_opened():
    """Guards against an executor that stays closed for a wave it is not part of."""
    loop, scheduler, service, controller = make_world()
    put(scheduler, loop, "a")
    controller.start()
    loop.run_for(PlatformTiming().order_lease_ms + LATE_ORDER_MARGIN_MS + 1_000)
    assert len(service.orders) == 1
    service.orders[0](MachineOrderVerdict.OTHER_WAVE)
    loop.run_for(10 * ROUND_INTERVAL_MS)
    assert len(service.orders) == 1
    assert scheduler.executors_by_id["a"].is_available


def test_maintenance_waits_for_an_executor_that_was_never_polled():
    """Guards against maintenance of an executor with runs that are not known yet."""
    loop, scheduler, service, controller = make_world(b'{"machines": []}')
    now_ms = loop.clock.now_ms()
    scheduler.put_executor(make_entry("a", machine="m"), now_ms)
    scheduler.on_poll_reply("a", PollReply(OrderVerdict.UNKNOWN), now_ms, now_ms)
    assert scheduler.executors_by_id["a"].lease_expiry_ms > now_ms
    controller.start()
    loop.run_for(ROUND_INTERVAL_MS * 3)
    lease_left_ms = scheduler.executors_by_id["a"].lease_expiry_ms - loop.clock.now_ms()
    assert lease_left_ms > 0
    assert service.orders == [], f"the lease lasts {lease_left_ms} ms longer"


def test_maintenance_waits_for_an_executor_that_only_a_record_names():
    """Guards against maintenance that ends runs of an executor without an entry.

    The entry expired before the takeover, and the executor has not been polled.
    """
    loop, scheduler, service, controller = make_world(b'{"machines": []}')
    now_ms = loop.clock.now_ms()
    scheduler.put_executor(make_entry("a", machine="m"), now_ms, registered=False)
    assert scheduler.executors_by_id["a"].lease_expiry_ms > now_ms
    controller.start()
    loop.run_for(ROUND_INTERVAL_MS * 3)
    lease_left_ms = scheduler.executors_by_id["a"].lease_expiry_ms - loop.clock.now_ms()
    assert lease_left_ms > 0
    assert service.orders == [], f"the lease lasts {lease_left_ms} ms longer"
    loop.run_for(lease_left_ms + 2 * ROUND_INTERVAL_MS)
    assert len(service.orders) == 1


def test_maintenance_waits_for_runs_that_are_not_tracked():
    """Guards against maintenance that ends runs of an earlier leader."""
    loop, scheduler, service, controller = make_world(b'{"machines": []}')
    put(scheduler, loop, "a")
    scheduler.executors_by_id["a"].set_untracked([("t1.0.0.0", 1)])
    controller.start()
    loop.run_for(ROUND_INTERVAL_MS * 3)
    assert service.orders == []
    scheduler.executors_by_id["a"].set_untracked([])
    loop.run_for(2 * ROUND_INTERVAL_MS)
    assert len(service.orders) == 1


def test_machine_in_maintenance_that_is_not_recorded_as_begun_counts():
    """Guards against more machines down at once than the wave allows.

    The former leader ended between its order and the record of it.
    """
    wave = Wave(1, ("m1", "m2"), 60_000, 1)
    state = WaveState(wave, 0)
    machines = {
        "m1": Machine("m1", "pool", MachineState.MAINTENANCE, "z", ""),
        "m2": Machine("m2", "pool", MachineState.UP, "z", "b"),
    }
    assert choose_machines_to_drain(state, machines, {}, {}, 2_000, 1_000) == []


def test_stop_counts_although_an_older_answer_lists_the_run():
    """Guards against a second interruption of a step that may miss one task.

    The answer to a poll that was sent before the stop arrives after it.
    """
    scheduler = make_scheduler("a", "b")
    step = make_step(2, long_running=True, may_miss=1, anti_affinity=1)
    scheduler.add_submission(make_submission("s1", step), NOW_MS)
    runs = schedule(scheduler, NOW_MS)
    names = [run.task.name for run in runs]
    for run in runs:
        report = RunningReport(run.task.name, 1, "", 100.0, 0.0)
        reply = PollReply(OrderVerdict.OK, CLOCK_MS, FIRST_BOOT, (report,), ())
        scheduler.on_poll_reply(run.executor_id, reply, NOW_MS + 10, NOW_MS + 20)
    first, second = runs
    assert may_interrupt(first) and may_interrupt(second)
    scheduler.stop_run(first, NOW_MS + 100, "planned maintenance")
    report = RunningReport(names[0], 1, "", 100.0, 0.0)
    reply = PollReply(OrderVerdict.OK, CLOCK_MS + 90, FIRST_BOOT, (report,), ())
    scheduler.on_poll_reply(first.executor_id, reply, NOW_MS + 90, NOW_MS + 120)
    assert not may_interrupt(second)

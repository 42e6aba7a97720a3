"""Actions that are repeated after a failure, and what they cost the other side."""

import collections

import pytest
from leader_harness import LeaderHarness, make_step, make_submission

from cranberrywheel.store_messages import Outcome, StoreReply
from cranberrywheel.submission.executor_orders import (
    OrderReply,
    OrderVerdict,
    PollReply,
)
from cranberrywheel_standin.virtual_fleet import (
    VirtualExecutor,
    VirtualFleet,
    VirtualRun,
    VirtualStoreClient,
)


@pytest.fixture
def harness(monkeypatch):
    harness = LeaderHarness(monkeypatch)
    harness.notifies = True
    return harness


def submit_many(harness, count, tasks=2):
    for number in range(count):
        name = f"{number:016x}"
        harness.submit(make_submission(name, make_step(tasks)), duration_ms=500)


@pytest.mark.parametrize(
    "verdict", [OrderVerdict.REFUSED, OrderVerdict.NO_CAPACITY, OrderVerdict.LATE]
)
def test_an_executor_that_refuses_starts_gets_few(harness, monkeypatch, verdict):
    """Guards against a start from each waiting task to an executor that refuses all.

    Each task avoided the executor for itself, so that 600 tasks sent each of four
    executors hundreds of starts a second.
    """
    for number in range(4):
        harness.fleet.add(f"e{number}", "pool", 32_000)
    count_by_executor = collections.Counter()

    def refuse(executor, order):
        count_by_executor[executor.entry.id] += 1
        return OrderReply(verdict)

    harness.start_leader()
    harness.run_for(300)
    with monkeypatch.context() as patch:
        patch.setattr(VirtualExecutor, "start", refuse)
        submit_many(harness, 300)
        harness.run_for(5_000)
    # Pauses of 0.05 s to 1 s, with two starts under way after each.
    assert 0 < max(count_by_executor.values()) <= 2 * 9
    harness.run_for(12_000)
    assert len(harness.fleet.done_ms_by_task) == 600


def test_one_refusal_closes_an_executor_for_a_moment(harness, monkeypatch):
    """Guards against an executor that stands idle for long after one refusal."""
    executor = harness.fleet.add("e0", "pool", 32_000)
    harness.start_leader()
    harness.run_for(300)
    original = executor.start
    replies = [OrderReply(OrderVerdict.NO_CAPACITY)]
    executor.start = lambda order: replies.pop() if replies else original(order)
    submit_many(harness, 2, tasks=1)
    harness.run_for(150)
    assert len(harness.fleet.started_tasks) == 1
    harness.run_for(150)
    assert len(harness.fleet.started_tasks) == 2


def test_a_run_that_is_not_tracked_is_stopped_seldom(harness, monkeypatch):
    """Guards against a stop with each answer to a poll while the run is ending."""
    stops = collections.Counter()
    stop = VirtualExecutor.stop

    def count(executor, task, number, fence):
        stops[task] += 1
        return stop(executor, task, number, fence)

    monkeypatch.setattr(VirtualExecutor, "stop", count)
    harness.fleet.stop_duration_ms = 1_200
    executor = harness.fleet.add("e0", "pool", 32_000)
    harness.start_leader()
    harness.run_for(300)
    for number in range(60):
        # An end each 15 ms, so that polls are answered as often.
        name = f"{number:016x}"
        harness.submit(make_submission(name), duration_ms=50 + 15 * number)
    harness.run_for(30)
    task = "00000000000000aa.0.0.0"
    now_ms = harness.loop.clock.now_ms()
    executor.runs[task, 7] = VirtualRun(task, 7, now_ms + 60_000, now_ms)
    harness.run_for(2_000)
    assert (task, 7) not in executor.runs
    assert 1 <= stops[task] <= 3


def test_a_store_that_refuses_writes_gets_few(harness, monkeypatch):
    """Guards against a write of the same records in each pass after one that failed."""
    for number in range(4):
        harness.fleet.add(f"e{number}", "pool", 32_000)
    harness.start_leader()
    harness.run_for(300)
    writes = []
    write = harness.leader_client.write

    def refuse(request, done):
        writes.append(harness.loop.clock.now_ms())
        harness.loop.after(4, lambda: done(StoreReply(Outcome.NOT_DONE)))

    harness.leader_client.write = refuse
    submit_many(harness, 40)
    for _ in range(300):
        harness.leader.request_pass()
        harness.run_for(10)
    # Pauses of 20 ms to 300 ms, with three writes under way after each.
    assert 3 <= len(writes) <= 3 * 15
    harness.leader_client.write = write
    harness.run_for(3_000)
    assert len(harness.fleet.done_ms_by_task) == 80


@pytest.mark.parametrize("is_loaded", [False, True])
def test_a_store_that_refuses_everything_gets_few_calls(
    harness, monkeypatch, is_loaded
):
    """Guards against calls of a leader that are repeated at the rate of their answers.

    Each of the leader's calls waits at least 250 ms after a refusal, but for the
    progress writes, of which three are under way each 300 ms.
    """
    for number in range(20):
        harness.fleet.add(f"e{number}", "pool", 32_000)
    if is_loaded:
        harness.start_leader()
        harness.run_for(500)
        submit_many(harness, 50)
        harness.run_for(300)
    counts = collections.Counter()

    def refuse_all(name):
        def refuse(client, *args, **kwargs):
            counts[name] += 1
            done = next(value for value in args if callable(value))
            harness.loop.after(4, lambda: done(StoreReply(Outcome.NOT_DONE)))

        return refuse

    for name in ("read", "read_all", "watch", "write", "grant_lease", "renew_lease"):
        monkeypatch.setattr(VirtualStoreClient, name, refuse_all(name))
    if is_loaded:
        for executor in harness.fleet.executors_by_id.values():
            executor.set_capacity(30_000)
    else:
        harness.start_leader()
    harness.run_for(10_000)
    assert counts["write"] <= 10 * 3 / 0.3 + 20
    # Two watches, each with a read of its prefix.
    assert counts["read"] + counts["read_all"] + counts["watch"] <= 10 * 4 / 0.25
    assert sum(counts.values()) >= 10


def test_executors_that_refuse_polls_get_few(harness, monkeypatch):
    """Guards against polls and stops at the rate of their refusals."""
    for number in range(4):
        harness.fleet.add(f"e{number}", "pool", 32_000)
    harness.start_leader()
    harness.run_for(300)
    for number in range(50):
        name = f"{number:016x}"
        harness.submit(make_submission(name, make_step(2)), duration_ms=60_000)
    harness.run_for(500)
    counts = collections.Counter()

    def refuse(fleet, *args):
        reply = PollReply(OrderVerdict.REFUSED)
        if len(args) == 5:  # a stop
            reply = OrderReply(OrderVerdict.REFUSED)
        counts[len(args)] += 1
        harness.loop.after(4, lambda: args[-1](reply))

    monkeypatch.setattr(VirtualFleet, "poll", refuse)
    monkeypatch.setattr(VirtualFleet, "stop", refuse)
    for number in range(50):
        harness.cancel(f"{number:016x}")
    harness.run_for(3_000)
    polls, stops = counts[6], counts[5]
    assert 4 <= polls <= 4 * (2 + 3_000 / 300)
    assert 100 <= stops <= 100 * (1 + 3_000 / 500)

"""Which waiting tasks a scheduling pass starts, and the cost of a pass."""

from leader_harness import LeaderHarness, make_step, make_submission

from cranberrywheel.submission import placement
from cranberrywheel.submission.demand import count_waiting_submissions


def test_steps_without_capacity_examine_no_executor(monkeypatch):
    """Guards against a pass that examines each executor for each waiting step.

    Such a pass took 48 ms with 120 waiting steps and 76 executors, so that decisions
    fell further and further behind during a burst.
    """
    harness = LeaderHarness(monkeypatch)
    for index in range(20):
        harness.fleet.add(f"x{index}", "pool", cpu=4_000)
    harness.start_leader()
    for number in range(120):
        harness.submit(make_submission(f"s{number}", make_step(4, 4_000)), 60_000)
    harness.run_for(1_000)
    assert harness.fleet.starts == 20
    examined_ids: list[str] = []
    meets_constraints = placement.meets_constraints
    monkeypatch.setattr(
        placement,
        "meets_constraints",
        lambda executor, *rest: (
            examined_ids.append(executor.id) or meets_constraints(executor, *rest)
        ),
    )
    harness.scheduler.mark_all_dirty()
    harness.scheduler.schedule(harness.loop.clock.now_ms(), harness.unix_ms())
    assert examined_ids == []


def test_pass_covers_only_services_that_changed(monkeypatch):
    """Guards against a pass over the waiting work of all queues at each completion."""
    harness = LeaderHarness(monkeypatch)
    harness.fleet.add("x", "pool", cpu=1_000)
    harness.start_leader()
    for number in range(3):
        harness.submit(make_submission(f"s{number}"), 60_000)
    harness.run_for(500)
    scheduler = harness.scheduler
    scheduler.schedule(harness.loop.clock.now_ms(), harness.unix_ms())
    assert scheduler.dirty_services == set()
    scheduler.on_stored(scheduler.live_by_id["s2"], 1)
    assert scheduler.dirty_services == {"pool"}


def test_queue_length_counts_submissions_with_unanswered_start(monkeypatch):
    """Guards against a queue length that omits submissions whose start got no answer.

    The reported length was 1 while 5 submissions were waiting.
    """
    harness = LeaderHarness(monkeypatch)
    harness.fleet.add("x", "pool").unanswered_start_share = 1.0
    harness.start_leader()
    harness.run_for(300)
    harness.submit(make_submission("s1"))
    harness.run_for(1_500)
    assert harness.fleet.started_tasks == set()
    assert count_waiting_submissions(harness.scheduler, "shop /q/") == 1


def test_released_quota_marks_other_services_for_a_pass(monkeypatch):
    """Guards against work that waits for the next tick, or for ever, at its quota.

    The run that releases the organisation's quota belongs to another service.
    """
    from leader_harness import QUEUE, make_configuration

    from cranberrywheel.submission.model import Queue, Resources

    other_queue = Queue(
        "other", "shop", "/o/", "pool-2", objective_factor=1.6, objective_ms=600
    )
    harness = LeaderHarness(monkeypatch)
    harness.configuration = make_configuration(
        (QUEUE, other_queue), Resources(1_000, 0, 0)
    )
    harness.fleet.add("x", "pool")
    harness.fleet.add("y", "pool-2")
    harness.start_leader()
    harness.run_for(300)
    harness.submit(make_submission("s1"), 400)
    harness.run_for(100)
    harness.submit(make_submission("s2", queue=other_queue), 400)
    harness.run_for(200)
    assert "s2.0.0.0" not in harness.fleet.started_tasks
    assert harness.scheduler.quota_limited_services == {"pool-2"}
    run = next(iter(harness.scheduler.live_by_id["s1"].runs()))
    harness.scheduler.dirty_services.clear()
    harness.scheduler.discard_run(run)
    assert "pool-2" in harness.scheduler.dirty_services

"""Which waiting tasks start, and what a pass over the waiting work costs."""

from leader_harness import LeaderHarness, make_step, make_submission

from cranberrywheel.submission import placement
from cranberrywheel.submission.demand import queue_length


def test_waiting_steps_that_fit_nowhere_cost_no_look_at_executors(monkeypatch):
    """A pass that looks at each executor for each waiting step: 48 ms at 120 waiting
    steps and 76 executors, so that a leader in a queue's turn decided ever later."""
    harness = LeaderHarness(monkeypatch)
    for index in range(20):
        harness.fleet.add(f"x{index}", "pool", cpu=4_000)
    harness.lead()
    for number in range(120):
        harness.submit(make_submission(f"s{number}", make_step(4, 4_000)), 60_000)
    harness.run_for(1_000)
    assert harness.fleet.starts == 20
    looks: list[str] = []
    meets_constraints = placement.meets_constraints
    monkeypatch.setattr(
        placement,
        "meets_constraints",
        lambda executor, *rest: (
            looks.append(executor.id) or meets_constraints(executor, *rest)
        ),
    )
    harness.scheduler.mark_all_dirty()
    harness.scheduler.schedule(harness.loop.clock.now_ms(), harness.unix_ms())
    assert looks == []


def test_pass_handles_only_services_that_changed(monkeypatch):
    """A pass over every queue's waiting work at each end of a task."""
    harness = LeaderHarness(monkeypatch)
    harness.fleet.add("x", "pool", cpu=1_000)
    harness.lead()
    for number in range(3):
        harness.submit(make_submission(f"s{number}"), 60_000)
    harness.run_for(500)
    scheduler = harness.scheduler
    scheduler.schedule(harness.loop.clock.now_ms(), harness.unix_ms())
    assert scheduler.dirty_services == set()
    scheduler.on_stored(scheduler.live_by_id["s2"], 1)
    assert scheduler.dirty_services == {"pool"}


def test_submission_whose_start_got_no_answer_still_waits(monkeypatch):
    """A queue length that leaves out submissions of which nothing has started
    (kayis-ortak-grown fresh-c495: MIXED, 1 said to wait, 5 waited)."""
    harness = LeaderHarness(monkeypatch)
    harness.fleet.add("x", "pool").mute_share = 1.0
    harness.lead()
    harness.run_for(300)
    harness.submit(make_submission("s1"))
    harness.run_for(1_500)
    assert harness.fleet.started_tasks == set()
    assert queue_length(harness.scheduler, "shop /q/") == 1


def test_released_cap_lets_work_of_another_service_start_at_once(monkeypatch):
    """Work of an organisation at its cap waits for the next tick, or for ever, when
    the run that frees the cap ends in another service."""
    from leader_harness import QUEUE, make_configuration

    from cranberrywheel.submission.model import Queue, Resources

    other = Queue(
        "other", "shop", "/o/", "pool-2", objective_factor=1.6, objective_ms=600
    )
    harness = LeaderHarness(monkeypatch)
    harness.configuration = make_configuration((QUEUE, other), Resources(1_000, 0, 0))
    harness.fleet.add("x", "pool")
    harness.fleet.add("y", "pool-2")
    harness.lead()
    harness.run_for(300)
    harness.submit(make_submission("s1"), 400)
    harness.run_for(100)
    harness.submit(make_submission("s2", queue=other), 400)
    harness.run_for(200)
    assert "s2.0.0.0" not in harness.fleet.started_tasks
    assert harness.scheduler.quota_limited_services == {"pool-2"}
    run = next(iter(harness.scheduler.live_by_id["s1"].runs()))
    harness.scheduler.dirty_services.clear()
    harness.scheduler.discard_run(run)
    assert "pool-2" in harness.scheduler.dirty_services

"""Take-over, loss of executors and late orders, replayed in virtual time."""

from leader_world import LeaderWorld, make_step, make_submission

from cranberrywheel.submission.model import State
from cranberrywheel.submission.upkeep import runs_to_move


def test_runs_a_submission_to_its_end(monkeypatch):
    """A submission that is never started or never shown as completed."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool")
    world.lead()
    world.submit(make_submission("s1", make_step(3), make_step(2, after=(0,))))
    world.run_for(3_000)
    assert world.scheduler.state_of("s1") is State.COMPLETED
    assert world.fleet.violations == []


def test_take_over_does_not_acknowledge_before_it_has_loaded(monkeypatch):
    """An end that is acknowledged before its submission is known is lost, and the
    task runs again (seen on mlr-clyde trouble-1: 55 tasks ran twice)."""
    world = LeaderWorld(monkeypatch)
    for name in "abc":
        world.fleet.add(name, "pool")
    world.lead()
    for index in range(6):
        world.submit(make_submission(f"s{index}", make_step(2)), 500)
    world.run_for(450)
    world.leader.stop()
    world.run_for(100)  # the runs end while nobody looks
    world.store.delay_ms_by_prefix["cw/j/"] = 50
    world.lead()
    world.run_for(8_000)
    assert world.fleet.violations == []
    assert [world.scheduler.state_of(f"s{i}") for i in range(6)] == (
        [State.COMPLETED] * 6
    )
    assert world.fleet.starts == 12


def test_take_over_keeps_lasting_tasks(monkeypatch):
    """A leader that stops runs which it does not know yet (AVAIL on trouble-1)."""
    world = LeaderWorld(monkeypatch)
    for name in "abc":
        world.fleet.add(name, "pool")
    world.lead()
    step = make_step(3, long_running=True, may_miss=1, anti_affinity=1)
    world.submit(make_submission("s1", step), lasting=True)
    world.run_for(2_000)
    world.store.delay_ms_by_prefix["cw/j/"] = 50
    world.lead()
    world.run_for(2_000)
    assert world.fleet.starts == 3


def test_executor_that_left_does_not_delay_the_next_leader(monkeypatch):
    """Waiting work of earlier submissions stood still for six seconds after each
    take-over, because executors that had left were still waited for."""
    world = LeaderWorld(monkeypatch)
    for name in "ab":
        world.fleet.add(name, "pool", cpu=1_000)
    world.lead()
    world.run_for(500)
    world.store.delete("servers/b")
    world.fleet.by_id["b"].cut = True
    world.run_for(12_000)
    world.submit(make_submission("s1", make_step(4)), 500)
    world.run_for(700)
    world.lead()
    world.run_for(2_500)
    assert world.scheduler.state_of("s1") is State.COMPLETED


def test_lost_executor_of_another_pool_does_not_hold_back_a_queue(monkeypatch):
    """After a take-over one dark rack held back the queues of all pools."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool", cpu=1_000)
    world.fleet.add("x", "other")
    world.lead()
    world.submit(make_submission("s1", make_step(3)), 300)
    world.run_for(400)
    world.fleet.by_id["x"].cut = True
    world.lead()
    world.run_for(1_500)
    assert world.scheduler.state_of("s1") is State.COMPLETED


def test_cut_off_executor_runs_a_task_alone(monkeypatch):
    """A task starts elsewhere while it still runs behind a partition."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool")
    world.fleet.add("b", "pool")
    world.lead()
    world.submit(make_submission("s1", make_step(6)), 3_000)
    world.run_for(1_000)
    world.fleet.by_id["a"].cut = True
    world.run_for(9_000)
    world.fleet.by_id["a"].cut = False
    world.run_for(6_000)
    assert world.fleet.violations == []
    assert world.scheduler.state_of("s1") is State.COMPLETED


def test_start_without_an_answer_never_runs_twice(monkeypatch):
    """Orders that are carried out seconds late, after the task went elsewhere."""
    world = LeaderWorld(monkeypatch, seed=7)
    for name in "abc":
        world.fleet.add(name, "pool").mute_share = 0.3
    world.lead()
    for index in range(10):
        world.submit(make_submission(f"s{index}", make_step(3)), 700)
    world.run_for(20_000)
    assert world.fleet.violations == []
    assert all(world.scheduler.state_of(f"s{i}") is State.COMPLETED for i in range(10))


def test_restarted_executor_gives_its_tasks_back_at_once(monkeypatch):
    """A boot at the same id and address that knows nothing of before."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool")
    world.lead()
    world.submit(make_submission("s1", make_step(2)), 1_000)
    world.run_for(500)
    world.fleet.by_id["a"].restart()
    world.run_for(4_500)
    assert world.scheduler.state_of("s1") is State.COMPLETED
    assert world.fleet.violations == []


def test_cancelled_submission_stops_and_stays_cancelled(monkeypatch):
    """Work that runs on after its cancellation."""
    world = LeaderWorld(monkeypatch)
    executor = world.fleet.add("a", "pool")
    world.lead()
    world.submit(make_submission("s1", make_step(2), make_step(1, after=(0,))), 5_000)
    world.run_for(300)
    world.cancel("s1")
    world.run_for(1_000)
    assert world.scheduler.state_of("s1") is State.CANCELLED
    assert not executor.runs
    world.lead()
    world.run_for(1_000)
    assert world.scheduler.state_of("s1") is State.CANCELLED


def test_failing_task_fails_its_submission_after_its_attempts(monkeypatch):
    """A submission that can never be done and is tried for ever."""
    world = LeaderWorld(monkeypatch)
    for name in "abcd":
        world.fleet.add(name, "pool").fails = True
    world.lead()
    world.submit(make_submission("s1", make_step(1)), 200)
    world.run_for(6_000)
    assert world.scheduler.state_of("s1") is State.FAILED
    assert world.fleet.starts == 3


def test_lasting_step_loses_one_task_at_a_time(monkeypatch):
    """Two machines that are emptied at once took two tasks of one step, although
    only one may be missing (AVAIL on mlr-clyde quiet-1)."""
    world = LeaderWorld(monkeypatch)
    for name in "abcdef":
        world.fleet.add(name, "pool")
    world.lead()
    step = make_step(4, long_running=True, may_miss=1, anti_affinity=1)
    world.submit(make_submission("s1", step), lasting=True)
    world.run_for(2_000)
    now_ms = world.loop.clock.now_ms()
    executors = list(world.scheduler.executors_by_id.values())
    stopped = 0
    for executor in executors:
        executor.cordoned = True
        for run in runs_to_move(executor, executors, now_ms):
            world.scheduler.stop_run(run, now_ms, "planned upkeep")
            stopped += 1
        executor.cordoned = False
    assert stopped == 1


def test_lost_executors_tasks_start_elsewhere_when_its_lease_has_ended(monkeypatch):
    """Looks that tried to reach a dark executor renewed its lease, so that its
    tasks waited until it was back (kayis-ortak scale-1)."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool")
    world.lead()
    world.submit(make_submission("s1", make_step(1)), 2_000)
    world.run_for(500)
    world.fleet.add("b", "pool")
    world.fleet.by_id["a"].cut = True
    world.run_for(4_500 + 2_100)
    assert world.scheduler.state_of("s1") is State.COMPLETED


def test_task_on_a_lost_executor_counts_as_away(monkeypatch):
    """Upkeep took a second task of a lasting step while one was on an executor that
    had been dark for seconds (AVAIL on kayis-ortak scale-1)."""
    world = LeaderWorld(monkeypatch)
    for name in "abcdef":
        world.fleet.add(name, "pool")
    world.lead()
    step = make_step(4, long_running=True, may_miss=1, anti_affinity=1)
    world.submit(make_submission("s1", step), lasting=True)
    world.run_for(2_000)
    executors = [x for x in world.scheduler.executors_by_id.values() if x.runs]
    world.fleet.by_id[executors[0].id].cut = True
    world.run_for(3_000)
    executors[1].cordoned = True
    pool = list(world.scheduler.executors_by_id.values())
    assert runs_to_move(executors[1], pool, world.loop.clock.now_ms()) == []


def test_handed_over_work_does_not_wait_for_a_lost_executor(monkeypatch):
    """After a planned stop of the leader during a zone's partition, all waiting work
    of earlier submissions stood still until every lease had ended (mlr-clyde
    trouble-1, 35 to 40 s)."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool", cpu=1_000)
    world.fleet.add("b", "pool", cpu=1_000)
    world.lead()
    world.submit(make_submission("s1", make_step(4)), 400)
    world.run_for(100)
    world.fleet.by_id["b"].cut = True
    world.run_for(200)
    world.hand_over()
    world.run_for(1_900)
    assert len(world.fleet.done_ms_by_task) == 4
    world.fleet.by_id["b"].cut = False
    world.run_for(6_000)
    assert world.scheduler.state_of("s1") is State.COMPLETED
    assert world.fleet.violations == []


def test_account_of_an_older_leader_is_not_used(monkeypatch):
    """A leader that crashed after a hand-over left runs which the account of its
    predecessor does not name."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool")
    world.lead()
    world.run_for(200)
    world.hand_over()
    world.run_for(200)
    world.submit(make_submission("s1", make_step(2)), 1_500)
    world.run_for(300)
    world.fleet.by_id["a"].cut = True
    world.fleet.add("b", "pool")
    world.lead()
    world.run_for(8_000)
    assert world.fleet.violations == []
    assert world.scheduler.state_of("s1") is State.COMPLETED


def test_steps_that_never_began_do_not_wait_for_lost_executors(monkeypatch):
    """After the leader's own zone was cut off, work that nobody had started waited
    for the leases of the zone's executors (kayis-ortak, recorded day inc-1bb5)."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool", cpu=1_000)
    world.fleet.add("b", "pool", cpu=1_000)
    world.lead()
    world.submit(make_submission("s1", make_step(2)), 1_000)
    world.submit(make_submission("s2", make_step(1)), 200)
    world.run_for(300)
    world.fleet.by_id["b"].cut = True
    world.lead()
    world.run_for(1_500)
    assert world.scheduler.state_of("s2") is State.COMPLETED
    world.run_for(6_000)
    assert world.scheduler.state_of("s1") is State.COMPLETED
    assert world.fleet.violations == []


def test_records_are_not_trusted_after_an_outage_of_the_store(monkeypatch):
    """While the store was away for all, steps began without a record; a new leader
    that believed the records would start them a second time."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool")
    world.lead()
    world.run_for(200)
    world.leader._may_continue_without_store = lambda: True
    world.submit(make_submission("s1", make_step(2)), 2_500)
    world.run_for(20)
    world.store.away = True
    world.run_for(300)
    assert world.fleet.starts == 2
    world.store.away = False
    world.fleet.by_id["a"].cut = True
    world.fleet.add("b", "pool")
    world.lead().scheduler.trusts_records = False
    world.run_for(9_000)
    assert world.fleet.violations == []
    assert world.scheduler.state_of("s1") is State.COMPLETED


def test_ends_that_are_not_stored_yet_are_handed_over(monkeypatch):
    """A leader that stopped between an end and its record let the next one start the
    task again (TWICE on kayis-ortak trouble-2, once in two plays)."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool")
    world.lead()
    world.submit(make_submission("s1", make_step(2)), 300)
    world.run_for(100)
    world.leader._write_changes = lambda: None
    world.run_for(400)
    assert len(world.fleet.done_ms_by_task) == 2
    world.fleet.by_id["a"].cut = True
    world.fleet.add("b", "pool")
    world.hand_over()
    world.run_for(3_000)
    world.fleet.by_id["a"].cut = False
    world.run_for(3_000)
    assert world.fleet.starts == 2
    assert world.scheduler.state_of("s1") is State.COMPLETED


def test_copy_starts_at_once_where_copies_may_run(monkeypatch):
    """A task on a lost executor waits for its lease although a copy is allowed."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool")
    world.lead()
    world.fleet.copies_allowed.add("s1")
    world.submit(make_submission("s1", make_step(2, speculative=True)), 600)
    world.run_for(200)
    world.fleet.by_id["a"].cut = True
    world.fleet.add("b", "pool")
    world.run_for(3_000)
    assert world.scheduler.state_of("s1") is State.COMPLETED


def test_work_that_saves_its_progress_leaves_a_slow_executor(monkeypatch):
    """Tasks that stay for seconds on an executor that runs at a sixth of its speed."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("slow", "pool", cpu=8_000).slowness = 8
    world.lead()
    for index in range(3):
        step = make_step(2, checkpointing=True)
        world.submit(make_submission(f"s{index}", step), 1_000)
    world.run_for(500)
    world.fleet.add("b", "pool", cpu=8_000)
    world.run_for(4_000)
    assert all(world.scheduler.state_of(f"s{i}") is State.COMPLETED for i in range(3))
    assert world.fleet.violations == []


def test_account_of_a_leader_that_was_not_settled_says_so(monkeypatch):
    """A leader that took over during a zone's partition and stopped before the
    leases behind the partition had ended handed over an account without the runs
    there (TWICE on deploy/days/cut-and-roll.toml)."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool", cpu=1_000)
    world.lead()
    world.submit(make_submission("s1", make_step(1)), 9_000)
    world.run_for(500)
    world.fleet.by_id["a"].cut = True
    world.fleet.add("b", "pool", cpu=1_000)
    world.lead()
    world.run_for(800)
    world.hand_over()
    world.run_for(700)
    world.hand_over()
    world.run_for(12_000)
    assert world.fleet.violations == []
    assert world.scheduler.state_of("s1") is State.COMPLETED


def test_leader_that_stops_before_it_has_loaded_leaves_no_account(monkeypatch):
    """A rolling restart that stops the new leader while it reads the store; an empty
    account would say that nothing runs."""
    world = LeaderWorld(monkeypatch)
    world.fleet.add("a", "pool", cpu=1_000)
    world.lead()
    world.submit(make_submission("s1", make_step(1)), 3_000)
    world.run_for(500)
    world.fleet.by_id["a"].cut = True
    world.fleet.add("b", "pool", cpu=1_000)
    world.store.delay_ms_by_prefix["cw/j/"] = 100
    world.hand_over()
    world.run_for(20)
    world.hand_over()
    world.run_for(9_000)
    assert world.fleet.violations == []
    assert world.scheduler.state_of("s1") is State.COMPLETED

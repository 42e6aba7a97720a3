"""Decisions that follow from known interference: placement, throttling and moves."""

import copy
import dataclasses
import random
import sys

import pytest
from interference_fixtures import TARGET_MS, World, background, know, serving
from leader_harness import make_step, make_submission

from cranberrywheel.submission import neighbour_moves
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import ExecutorEntry
from cranberrywheel.submission.interference import (
    MAX_TERM,
    InterferenceEstimates,
    compute_placement_term,
)
from cranberrywheel.submission.live import LiveSubmission, Run, RunState
from cranberrywheel.submission.model import Queue, Resources
from cranberrywheel.submission.pair_estimate import Verdict
from cranberrywheel.submission.placement import (
    INTERFERENCE_PENALTY,
    LOCALITY_BONUS,
    SUSPECT_PENALTY,
    compute_score,
)
from cranberrywheel.submission.throttling import (
    MIN_CHANGE_INTERVAL_MS,
    OVER_LIMIT_DELAY_MS,
    decide_throttling,
)

BAD = {("web", "bad"): 0.9}


def build_executor(sensitive=("web",), disturbing=("bad", "good"), name="a"):
    """Build an executor with running serving and background runs of these images."""
    capacity = Resources(64_000, 64_000, 0)
    executor = Executor(
        ExecutorEntry(
            name, "s", name, "z", False, capacity, frozenset(), "", f"m{name}", 1
        ),
        True,
        0,
    )
    steps = [serving(1, image) for image in sensitive]
    steps += [background(1, image) for image in disturbing]
    live = LiveSubmission(
        make_submission(f"s{name}", *steps), Queue("q", "h", "/", "s"), False
    )
    live.begin_occurrence()
    runs = {}
    for step_run in live.step_runs.values():
        run = Run(step_run.tasks[0], 1, name, 0)
        run.state = RunState.RUNNING
        executor.add_run(run)
        runs[step_run.step.image] = run
    return executor, runs


def changes(actions):
    return {action.run.task.step_run.step.image: action.percent for action in actions}


# Throttling


def test_neighbour_that_disturbs_is_paused_first_and_a_harmless_one_is_spared():
    """Guards against innocent tasks that pay for the harm of their neighbour."""
    executor, runs = build_executor()
    estimates = InterferenceEstimates()
    bad = know(estimates, "web", "bad", 0.9)
    good = know(estimates, "web", "good", 0.0)
    runs["web"].load = 1.5 * TARGET_MS
    assert not decide_throttling([executor], 5_000, estimates)
    now_ms = 5_000 + OVER_LIMIT_DELAY_MS
    decided = decide_throttling([executor], now_ms, estimates)
    assert changes(decided) == {"bad": 0}
    assert (bad.slowed, good.spared) == (1, 1)


def test_neighbours_of_unknown_effect_are_slowed_beside_a_known_disturber():
    """Guards against sparing what is not known to be harmless."""
    executor, runs = build_executor()
    estimates = InterferenceEstimates()
    know(estimates, "web", "bad", 0.9)
    runs["web"].load = 1.5 * TARGET_MS
    decide_throttling([executor], 5_000, estimates)
    decided = decide_throttling([executor], 5_000 + OVER_LIMIT_DELAY_MS, estimates)
    assert changes(decided) == {"bad": 0, "good": 40}


def test_run_that_is_harmless_to_one_task_is_not_spared_for_another():
    """Guards against a verdict about one image that is applied to all."""
    executor, runs = build_executor(sensitive=("web", "api"))
    estimates = InterferenceEstimates()
    know(estimates, "web", "bad", 0.9)
    know(estimates, "web", "good", 0.0)
    runs["web"].load = runs["api"].load = 1.5 * TARGET_MS
    decide_throttling([executor], 5_000, estimates)
    decided = decide_throttling([executor], 5_000 + OVER_LIMIT_DELAY_MS, estimates)
    assert changes(decided) == {"bad": 0, "good": 40}


def find_pause_ms(executor, estimates, drawn):
    """Return when all background runs are paused while the latency stays high.

    Verdicts change at random every half second.
    """
    background_runs = [
        run for run in executor.runs.values() if run.task.step_run.step.fills
    ]
    for now_ms in range(5_000, 15_000, 100):
        if estimates is not None and now_ms % 500 == 0:
            for run in background_runs:
                verdict = drawn.choice(list(Verdict))
                know(estimates, "web", run.task.step_run.step.image, 0.5, verdict)
        decide_throttling([executor], now_ms, estimates)
        if not any(run.speed_percent for run in background_runs):
            return now_ms
    raise AssertionError("some background run is never paused")


@pytest.mark.parametrize("first_seed", range(0, 400, 100))
def test_all_are_paused_no_later_than_without_estimates(first_seed):
    """Guards against a task over its target for longer because of a wrong estimate.

    Whatever the verdicts, earlier speeds and earlier changes are.
    """
    images = ("a", "b", "c")
    for seed in range(first_seed, first_seed + 100):
        drawn = random.Random(seed)
        speeds = [drawn.choice((0, 25, 40, 65, 100)) for _ in images]
        changed = [5_000 - drawn.randrange(0, 3_000, 100) for _ in images]
        pause_ms = []
        for known in (None, InterferenceEstimates()):
            executor, runs = build_executor(disturbing=images)
            runs["web"].load = 3 * TARGET_MS
            for image, speed, changed_ms in zip(images, speeds, changed, strict=True):
                runs[image].speed_percent = speed
                runs[image].speed_changed_ms = changed_ms
            pause_ms.append(find_pause_ms(executor, known, drawn))
        assert pause_ms[1] <= pause_ms[0], seed


def test_speed_of_a_disturber_is_raised_only_as_far_as_the_target_holds():
    """Guards against a speed that alternates between raise and pause."""
    executor, runs = build_executor()
    estimates = InterferenceEstimates()
    know(estimates, "web", "bad", 1.6)
    runs["bad"].speed_percent = runs["good"].speed_percent = 0
    runs["web"].load = 0.65 * TARGET_MS  # 0.65 * exp(0.4) is 0.97
    assert changes(decide_throttling([executor], 5_000, estimates)) == {"good": 25}
    runs["web"].load = 0.5 * TARGET_MS
    decided = decide_throttling([executor], 5_100, estimates)
    assert changes(decided) == {"bad": 25}


def test_decisions_without_verdicts_are_those_of_the_part_switched_off():
    """Guards against a successor that decides otherwise before it has learned."""
    worlds = []
    for on in (False, True):
        world = World(24, 3, BAD, on=on, base_ms=60)
        world.submit("web", serving(12))
        world.submit("api", serving(12, "api"))
        world.run_for(1_000)
        world.submit("bad", background(8, "bad"), background(8, "good"))
        worlds.append(world)
    off, on = worlds
    while not any(
        pair.verdict is not Verdict.UNKNOWN
        for regression in on.estimates.regression_by_image.values()
        for pair in regression.pair_by_image.values()
    ):
        off.run_for(100)
        on.run_for(100)
        if any(
            pair.verdict is not Verdict.UNKNOWN
            for regression in on.estimates.regression_by_image.values()
            for pair in regression.pair_by_image.values()
        ):
            break
        assert (off.started, off.stopped, off.speeds) == (
            on.started,
            on.stopped,
            on.speeds,
        )
    assert len(on.started) == 40


# Placement


def build_known_world(executors, on=True, base_ms=20):
    """Build a pool in which ``bad`` is known to disturb ``web`` but not ``api``."""
    world = World(executors, 1, BAD, on=on, base_ms=base_ms)
    half = executors // 2
    world.put("web", range(half), serving(half))
    world.put("api", range(half, executors), serving(executors - half, "api"))
    know(world.estimates, "web", "bad", 0.9)
    know(world.estimates, "api", "bad", 0.0)
    return world


def test_known_bad_pair_is_kept_apart_where_there_is_capacity():
    """Guards against a background task that starts beside a task that it disturbs."""
    world = build_known_world(8)
    world.submit("bad", background(8, "bad"))
    world.run_for(100)
    places = {executor_id for _, _, executor_id in world.started}
    assert len(world.started) == 8
    assert places <= {"x4", "x5", "x6", "x7"}


def test_serving_task_starts_away_from_background_tasks_that_disturb_it():
    """Guards against knowledge that is used for one side of the pair only."""
    world = World(8, 1, BAD)
    world.put("bad", range(4))
    world.put("good", range(4, 8))
    know(world.estimates, "web", "bad", 0.9)
    world.submit("web", serving(4))
    world.run_for(100)
    assert {place for _, _, place in world.started} == {"x4", "x5", "x6", "x7"}


@pytest.mark.parametrize("on", [False, True])
def test_without_other_capacity_a_bad_pair_is_placed_as_before(on):
    """Guards against a task that waits because of what is known of its neighbours."""
    world = build_known_world(8, on=on)
    for number in range(1, 8):
        executor = world.scheduler.executors_by_id[f"x{number}"]
        executor.cordoned = True
    world.submit("bad", background(2, "bad"))
    world.run_for(100)
    assert [row[1:] for row in world.started] == [("bad", "x0")] * 2


def test_term_is_zero_without_verdicts_and_never_outweighs_rules():
    """Guards against interference that outweighs locality or a suspect executor."""
    estimates = InterferenceEstimates()
    executor, runs = build_executor(sensitive=("web",) * 3, disturbing=())
    task = copy.copy(runs["web"].task)
    step = background(1, "bad")
    know(estimates, "web", "bad", 0.9, Verdict.UNKNOWN)
    assert compute_placement_term(estimates, executor, step, 4.0) == 0.0
    assert compute_score(executor, task, 0, ()) == compute_score(
        executor, task, 0, (), interference=estimates
    )
    know(estimates, "web", "bad", 5.0)
    term = compute_placement_term(estimates, executor, step, INTERFERENCE_PENALTY)
    assert term == -MAX_TERM
    assert MAX_TERM < min(LOCALITY_BONUS, SUSPECT_PENALTY)
    know(estimates, "web", "bad", 0.0)
    assert 0 < compute_placement_term(estimates, executor, step, 4.0) <= MAX_TERM


def count_calls(action):
    """Count the Python functions that an action calls."""
    calls = 0

    def profile(frame, event, argument):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(profile)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls


def test_cost_of_placement_at_2000_executors_stays_within_1_3_times():
    """Guards against a scheduling pass that becomes slow on a large pool."""
    calls = []
    for on in (False, True):
        world = World(2_000, 1, on=on)
        world.put("web", range(1_000), serving(1_000))
        know(world.estimates, "web", "bad", 0.9)
        world.submit("bad", background(4, "bad"))
        world.submit("short", make_step(4))
        schedule = world.scheduler.schedule
        calls.append(count_calls(lambda run=schedule, at=world.now_ms: run(at, at)))
    assert calls[1] <= 1.3 * calls[0]


def test_cost_of_a_tick_grows_no_faster_than_the_executors():
    """Guards against a search for moves that compares all executors with each other."""
    calls = {}
    for size in (500, 2_000):
        world = World(size, 1, BAD)
        world.put("web", range(size), serving(size))
        world.put("bad", range(0, size, 2))
        know(world.estimates, "web", "bad", 0.9)
        for executor in world.scheduler.executors_by_id.values():
            for run in executor.runs.values():
                run.load = 3 * TARGET_MS
                if run.task.step_run.step.fills:
                    run.speed_percent, run.speed_changed_ms = 0, 0
        at = world.now_ms
        world.estimates.moves_checked_ms = 0
        calls[size] = count_calls(lambda run=world.scheduler.tick, at=at: run(at, at))
    assert calls[2_000] <= 1.1 * 4 * calls[500]


# Moves


def build_throttled_world(step=None, executors=8):
    """Build a pool with a throttled run of ``bad`` beside ``web`` on x0."""
    world = build_known_world(executors)
    world.put("bad", [0], step or background(1, "bad"))
    for number in range(executors):
        world.poll(f"x{number}")
    run = find_background_run(world, "x0")
    run.speed_percent, run.speed_changed_ms = 0, world.now_ms - 2_000
    world.scheduler.take_actions()
    return world


def find_background_run(world, executor_id):
    runs = world.scheduler.executors_by_id[executor_id].runs.values()
    return next(run for run in runs if run.task.step_run.step.fills)


def check_moves(world):
    """Search for a move, and return the images of the runs that are stopped."""
    world.estimates.moves_checked_ms = 0
    neighbour_moves.move_background_run(world.scheduler, world.now_ms)
    return [action.task for action in world.scheduler.take_actions()]


def test_throttled_run_moves_where_it_disturbs_nothing():
    """Guards against a background task that stays paused while there are places."""
    world = build_throttled_world()
    pair = world.estimates.find_pair("web", "bad")
    world.run_for(2_000)
    assert [row[1:] for row in world.stopped] == [("bad", "x0")]
    assert world.started[-1][2] in ("x4", "x5", "x6", "x7")
    assert world.started[-1][0] - world.stopped[0][0] <= 1_200
    assert pair.moved == 1


@pytest.mark.parametrize(
    "step",
    [
        background(1, "bad", may_miss=0),
        background(2, "bad", gang=True),
        make_step(1, fills=True, image="bad", estimated_ms=60_000),
        make_step(1, fills=True, image="bad", estimated_ms=2_000, checkpointing=True),
    ],
    ids=["may_miss 0", "gang", "no checkpoint", "nearly done"],
)
def test_run_that_must_not_or_need_not_move_stays(step):
    """Guards against moves that break a rule or cost more than they gain."""
    world = build_throttled_world(step)
    find_background_run(world, "x0").percent = 50
    if step.long_running:
        find_background_run(world, "x0").percent = 100
    assert check_moves(world) == []


def test_long_run_with_a_checkpoint_moves():
    """Guards against the previous test passing because nothing ever moves."""
    step = make_step(
        1, fills=True, image="bad", estimated_ms=60_000, checkpointing=True
    )
    world = build_throttled_world(step)
    find_background_run(world, "x0").percent = 50
    assert len(check_moves(world)) == 1


def test_step_never_misses_more_than_it_may():
    """Guards against moves that take more tasks away than ``may_miss``."""
    world = build_known_world(8, base_ms=60)
    world.put("bad", range(4), background(4, "bad", may_miss=1))
    for number in range(4):
        run = find_background_run(world, f"x{number}")
        run.speed_percent, run.speed_changed_ms = 0, world.now_ms - 2_000
    away = []

    def check():
        live = world.scheduler.live_by_id["s2"]
        tasks = live.step_runs[0, 0].tasks
        away.append(sum(not task.available_since_ms for task in tasks))

    world.run_for(12_000, check)
    assert max(away) == 1
    assert len(world.stopped) >= 2


def test_moves_are_bounded_in_rate():
    """Guards against a wave of moves after one verdict."""
    world = build_known_world(40)
    world.put("bad", range(20), background(20, "bad", may_miss=20))
    for number in range(20):
        run = find_background_run(world, f"x{number}")
        run.speed_percent, run.speed_changed_ms = 0, world.now_ms - 2_000
    world.run_for(5_000)
    times = [row[0] for row in world.stopped]
    assert 2 <= len(times) <= 5
    assert all(
        later - earlier >= neighbour_moves.MOVE_INTERVAL_MS
        for earlier, later in zip(times, times[1:], strict=False)
    )


def test_nothing_moves_while_work_waits_in_the_pool():
    """Guards against a moved task whose place is taken, so that it waits."""
    world = build_throttled_world()
    world.submit("waiting", make_step(1, cpu=10**6))
    assert check_moves(world) == []


def test_nothing_moves_where_it_would_disturb_or_to_a_leaving_machine():
    """Guards against moves from one bad neighbour to the next."""
    world = build_throttled_world()
    know(world.estimates, "api", "bad", 0.9)
    assert check_moves(world) == []
    know(world.estimates, "api", "bad", 0.0)
    world.scheduler.maintenance_due = {f"m{number}" for number in range(4, 8)}
    assert check_moves(world) == []


def test_machine_that_packing_has_emptied_is_left_alone():
    """Guards against moves that keep a machine on which packing wants to free."""
    world = build_throttled_world()
    for number in range(4, 8):
        executor = world.scheduler.executors_by_id[f"x{number}"]
        for run in list(executor.runs.values()):
            world.scheduler.untrack_run(run, executor)
    features = world.scheduler.features
    world.scheduler.features = dataclasses.replace(features, turn_forecast=True)
    assert check_moves(world) == []
    world.scheduler.features = features
    assert len(check_moves(world)) == 1


def test_run_on_an_executor_with_a_short_peak_does_not_move():
    """Guards against moves for a speed that has just changed."""
    world = build_throttled_world()
    find_background_run(world, "x0").speed_changed_ms = world.now_ms - 500
    assert check_moves(world) == []


def test_takeover_in_the_middle_of_a_move_runs_the_task_once():
    """Guards against a second run of a task that is being moved."""
    world = build_throttled_world()
    while not world.stopped:
        world.run_for(100)
    world.take_over()
    world.run_for(6_000)
    runs = [
        key
        for runs in world.runs_by_executor.values()
        for key, (step, _) in runs.items()
        if step.image == "bad"
    ]
    assert len(runs) == 1


# Effect and operation


@pytest.mark.parametrize("base_ms", [40, 50, 60])
@pytest.mark.parametrize("seed", range(2))
def test_fewer_serving_tasks_are_over_their_target(base_ms, seed):
    """Guards against a part that learns but does not help.

    Serving load changes by 40% every 2.5 s, as in turns of bursts.
    """
    over_ms, worked_ms = [], []
    for on in (False, True):
        world = World(24, seed, BAD, on=on, base_ms=base_ms)
        world.submit("web", serving(12))
        world.submit("api", serving(12, "api"))
        world.run_for(1_000)
        world.submit("good", background(8, "good"))
        world.submit("bad", background(8, "bad"))
        world.run_for(1_000)
        world.over_target_ms = world.worked_ms = 0
        for _ in range(6):
            for load in (1.4, 1.0):
                world.load = load
                world.run_for(2_500)
        over_ms.append(world.over_target_ms)
        worked_ms.append(world.worked_ms)
    assert over_ms[1] <= 0.85 * over_ms[0]
    assert worked_ms[1] >= worked_ms[0]


def test_interval_between_changes_of_one_run_is_kept():
    """Guards against a speed that changes with each reading below the pause of all."""
    executor, runs = build_executor()
    estimates = InterferenceEstimates()
    know(estimates, "web", "bad", 0.9)
    know(estimates, "web", "good", 0.0)
    runs["bad"].speed_changed_ms = 5_000
    runs["web"].load = 1.5 * TARGET_MS
    decide_throttling([executor], 5_000, estimates)
    assert not decide_throttling([executor], 5_000 + OVER_LIMIT_DELAY_MS, estimates)
    decided = decide_throttling([executor], 5_000 + MIN_CHANGE_INTERVAL_MS, estimates)
    assert changes(decided) == {"bad": 0}

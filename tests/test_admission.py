"""Verdicts on single submissions, the load of a pool, and turns."""

import dataclasses

import hypothesis
import hypothesis.strategies as st
import pytest
from leader_harness import QUEUE, make_configuration, make_step, make_submission

from cranberrywheel.submission.admission import (
    MAX_RETRY_AFTER_S,
    compute_drain_ms,
    compute_store_retry_after_s,
    decide_admission,
    estimate_wait_ms,
)
from cranberrywheel.submission.machines import Machine, MachineState
from cranberrywheel.submission.model import Organisation, Resources
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.pool_load import (
    ORDER_BIN_MS,
    ORDER_BINS,
    Backlog,
    PoolLoad,
    compute_load_by_service,
    count_expected_machines,
)
from cranberrywheel.submission.pool_sizing import PoolSizingState
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel.submission.turns import Turn, Turns
from cranberrywheel.submission.work_ratio import WorkRatio

#: A submission whose objective is 1.6 times 1 s and 0.6 s; 3.0 s with the margin.
SUBMISSION = make_submission("a" * 16, make_step(2))


def build_backlog(
    on_time_core_ms=0, late_core_ms=0, organisation="org", queue=QUEUE, limit_cpu=0
):
    on_time = (on_time_core_ms, *[0] * (ORDER_BINS - 1))
    return Backlog(queue.key, organisation, on_time, late_core_ms, limit_cpu)


def build_load(*backlogs, cpu=4_000):
    return PoolLoad(cpu, 2 * cpu, backlogs, {QUEUE.key: (1.0, 1.0)})


def decide(load, submission=SUBMISSION, turns=None, now_ms=0, age_ms=0, fair=False):
    return decide_admission(
        load,
        age_ms,
        submission,
        QUEUE,
        make_configuration(),
        fair,
        Turns() if turns is None else turns,
        now_ms,
    )


@pytest.mark.parametrize(
    "on_time_core_ms,late_core_ms,reason",
    [
        (4_000, 0, "in-time"),  # 1 s
        (4_000, 400_000, "in-time"),  # late work is ordered behind it
        (12_000, 28_000, "in-time"),  # 3 s: a part of it becomes late itself
        (16_000, 0, "late"),  # 4 s
        (16_000, 12_000, "late"),  # 7 s
        (16_000, 24_000, "overloaded"),  # 10 s: three objectives are 9 s
    ],
)
def test_only_what_cannot_be_served_in_three_objectives_is_refused(
    on_time_core_ms, late_core_ms, reason
):
    """Guards against the refusal of a submission that is worth serving."""
    verdict = decide(build_load(build_backlog(on_time_core_ms, late_core_ms)))
    assert verdict.reason == reason
    assert verdict.is_refused == (reason == "overloaded")


def test_work_that_is_ordered_behind_does_not_count():
    """Guards against the refusal of small work because of large work behind it."""
    on_time = [0] * ORDER_BINS
    on_time[-1] = 400_000  # objectives that end after 4.5 s, or wide submissions
    load = build_load(dataclasses.replace(build_backlog(), on_time_core_ms=(*on_time,)))
    assert decide(load).reason == "in-time"
    backlog = load.backlogs[0]
    assert backlog.sum_ahead_core_ms(ORDER_BINS * ORDER_BIN_MS) == 400_000


def test_age_of_the_load_counts_as_work_done():
    """Guards against refusals by a backlog that is gone by now."""
    load = build_load(build_backlog(16_000, 16_000))
    assert decide(load).is_refused
    assert not decide(load, age_ms=700).is_refused


def test_caller_returns_when_it_can_be_served():
    """Guards against a time at which the caller would be refused or late again."""
    load = build_load(build_backlog(16_000, 24_000))
    turns = Turns()
    verdict = decide(load, turns=turns)
    due_ms = 1_000 * verdict.retry_after_s
    assert decide(load, turns=turns, now_ms=due_ms).reason == "turn"
    left_core_ms = 40_000 - 4 * due_ms
    assert decide(build_load(build_backlog(left_core_ms))).reason == "in-time"


def test_callers_do_not_return_together():
    """Guards against hundreds of refused callers that return in the same second."""
    load = build_load(build_backlog(16_000, 24_000))
    turns = Turns()
    times_s = [
        decide(
            load, make_submission(f"{number:016x}", make_step(2)), turns
        ).retry_after_s
        for number in range(30)
    ]
    assert times_s == sorted(times_s)  # those refused first come first
    # Two seconds of work each, on four cores: two callers a second.
    assert max(times_s.count(second) for second in set(times_s)) <= 2


def test_early_caller_keeps_its_place_and_a_late_one_loses_it():
    """Guards against places that depend on patience, or that are kept for ever."""
    load = build_load(build_backlog(16_000, 96_000))
    turns = Turns()
    first = decide(load, turns=turns)
    early = decide(load, turns=turns, now_ms=2_000)
    assert early.retry_after_s == first.retry_after_s - 2
    turn = turns.by_id[SUBMISSION.id]
    assert decide(load, turns=turns, now_ms=turn.expires_ms).reason == "turn"
    assert decide(load, turns=turns, now_ms=turn.expires_ms + 1).is_refused


def test_places_of_callers_that_never_return_expire():
    """Guards against a pool that is reserved for callers that have gone."""
    turns = Turns()
    turns.put("gone", Turn.promise("pool", 400_000.0, 3, 0), 0)
    assert turns.sum_core_ms("pool", 6_000, None) == 400_000.0
    assert turns.sum_core_ms("pool", 6_001, None) == 0


def test_memory_for_turns_is_bounded():
    """Guards against a process that a day of refusals fills."""
    turns = Turns(limit=100)
    for number in range(1_000):
        turns.put(f"{number:x}", Turn.promise("pool", 1.0, 3, number), number)
        assert len(turns.by_id) <= 100
    assert "3e7" in turns.by_id


def test_organisation_at_its_quota_delays_others_by_no_more_than_the_quota():
    """Guards against refusals because of work that may not use the pool anyway."""
    huge = build_backlog(400_000, organisation="other", limit_cpu=1_000)
    load = build_load(huge, build_backlog(4_000))
    assert decide(load).reason == "in-time"  # 1.3 s on three cores
    own = build_load(build_backlog(400_000, limit_cpu=1_000))
    assert decide(own).is_refused


def test_share_of_an_organisation_is_not_delayed_by_the_backlog_of_another():
    """Guards against refusals in an organisation that uses less than its share."""
    configuration = dataclasses.replace(
        make_configuration(),
        organisations_by_name={
            "org": Organisation("org", 2.0),
            "other": Organisation("other", 1.0),
        },
    )
    load = build_load(
        build_backlog(400_000, organisation="other"), build_backlog(8_000)
    )

    def wait_ms(has_fair_shares):
        return estimate_wait_ms(
            load, QUEUE, "org", configuration, has_fair_shares, None
        )

    assert wait_ms(False) == 102_000
    # While 8 core-seconds of its own are done, the other one gets half as much.
    assert wait_ms(True) == 3_000


def test_less_urgent_queues_do_not_delay():
    """Guards against the refusal of urgent work because of other work."""
    background = dataclasses.replace(QUEUE, prefix="/later/", priority=1)
    configuration = make_configuration([QUEUE, background])
    load = build_load(build_backlog(400_000, queue=background))
    assert estimate_wait_ms(load, QUEUE, "org", configuration, False, None) == 0
    assert estimate_wait_ms(load, background, "org", configuration, False, None) > 0


@hypothesis.given(
    st.dictionaries(
        st.sampled_from("abcdef"),
        st.tuples(st.floats(0, 1e6), st.integers(0, 8_000)),
        max_size=6,
    ),
    st.integers(1, 100_000),
)
@hypothesis.settings(max_examples=300, derandomize=True)
def test_pool_does_no_more_than_its_capacity_and_the_quotas(rows, drain_cpu):
    """Guards against a drain time at which other work is done than estimated."""
    work = {name: core_ms for name, (core_ms, _) in rows.items()}
    limits = {name: limit for name, (_, limit) in rows.items()}
    drain_ms = compute_drain_ms(work, limits, drain_cpu)
    done = sum(
        min(core_ms, limits[name] * drain_ms / 1_000) if limits[name] else core_ms
        for name, core_ms in work.items()
    )
    assert done == pytest.approx(drain_cpu * drain_ms / 1_000, rel=1e-6, abs=1e-3)


@hypothesis.given(
    st.integers(0, 10**9), st.integers(0, 10**9), st.integers(1, 10**6), st.booleans()
)
@hypothesis.settings(max_examples=300, derandomize=True)
def test_refusal_names_whole_seconds_within_its_limit(on_time, late, cpu, fair):
    """Guards against a refusal without a time, and a time on an acceptance."""
    load = build_load(build_backlog(on_time, late), cpu=cpu)
    verdict = decide(load, fair=fair)
    assert verdict.is_refused == (verdict.reason == "overloaded")
    assert 0 <= verdict.retry_after_s <= MAX_RETRY_AFTER_S
    assert not verdict.is_refused or verdict.end_ms > 3 * verdict.objective_ms - 2


def test_unknown_load_refuses_nothing():
    """Guards against refusals without a leader."""
    assert decide(None).reason == "no-load"


def test_pool_without_capacity_or_waiting_work_has_no_load():
    """Guards against a division by zero, and against load where nothing waits."""
    scheduler = Scheduler(1, 0, PlatformTiming(), 0)
    scheduler.set_configuration(make_configuration())
    assert compute_load_by_service(scheduler, {}, 0, 0) == {}
    scheduler.add_submission(SUBMISSION, 0)
    assert compute_load_by_service(scheduler, {}, 0, 0) == {}
    assert compute_load_by_service(scheduler, {"pool": 3}, 0, 0) == {}


def test_lent_and_arriving_machines_count():
    """Guards against refusals by a pool whose machines are on their way."""
    rows = [
        Machine("a", "pool", MachineState.UP, "z", ""),
        Machine("b", "other", MachineState.UP, "z", ""),
        Machine("c", "standby", MachineState.MOVING, "z", ""),
        Machine("d", "pool", MachineState.DOWN, "z", ""),
    ]
    sizing = PoolSizingState(
        home_pool_by_machine={"a": "pool", "b": "pool", "c": "standby", "d": "pool"},
        destination_by_machine={"c": "pool"},
    )
    assert count_expected_machines(sizing, rows)["pool"] == 3


def test_sum_of_scattered_declarations_is_estimated_without_bias():
    """Guards against a backlog that seems four times as long as it is.

    With declarations that are ten times too long or too short, the mean ratio of single
    runs is 5, while the declared sum is about the true one.
    """
    ratio = WorkRatio()
    scheduler = Scheduler(1, 0, PlatformTiming(), 0)
    scheduler.add_submission(SUBMISSION, 0)
    live = scheduler.live_by_id[SUBMISSION.id]
    for number in range(400):
        declared_ms = 10_000 if number % 2 else 100
        step = make_step(1, estimated_ms=declared_ms)
        ratio.record_run(live, step, 1_000)
    assert ratio.get_factor(live) == pytest.approx(2_000 / 10_100, rel=0.1)


@pytest.mark.parametrize(
    "unreachable_ms,retry_s", [(0, 1), (1_000, 1), (2_500, 3), (90_000, 5)]
)
def test_callers_return_to_a_store_as_late_as_it_has_been_away(unreachable_ms, retry_s):
    """Guards against a constant second while the store is away for longer."""
    assert compute_store_retry_after_s(unreachable_ms) == retry_s


def test_resources_of_the_fixture_are_those_of_the_comments():
    """Guards against figures in this file that no longer fit the submission."""
    step = SUBMISSION.steps[0]
    assert (step.count, step.size.cpu, step.estimated_ms) == (2, 1_000, 1_000)
    assert Resources(1_000, 100, 0) == step.size

"""Executors that fail every run at once while their pool is full."""

import dataclasses
import random

import pytest
from leader_harness import (
    QUEUE,
    LeaderHarness,
    make_configuration,
    make_step,
    make_submission,
)

from cranberrywheel.submission.features import ALL_OFF, Switch
from cranberrywheel.submission.model import SubmissionState

SETTINGS = dataclasses.replace(ALL_OFF, failing_executors=Switch.ON)
#: Largest number of failed submissions by attempts. With one attempt the runs that an
#: executor fails before it is known to be failing are final: 19 and 18 of 400 failed
#: with the rule, 81 and 83 without.
MAX_FAILED_BY_ATTEMPTS = {1: 24, 3: 0}


@pytest.mark.parametrize("attempts", MAX_FAILED_BY_ATTEMPTS)
@pytest.mark.parametrize("seed", range(2))
def test_full_pool_does_not_fail_submissions_on_failing_executors(
    monkeypatch, seed, attempts
):
    """Guards against tasks that use up their attempts where capacity is always free.

    An executor that fails its runs within 50 ms is empty again at once, so in a full
    pool it is the only one with capacity. Other executors were merely preferred to it,
    and 78 and 69 of 400 submissions failed with three attempts.
    """
    harness = LeaderHarness(monkeypatch, seed)
    harness.feature_settings = SETTINGS
    queue = dataclasses.replace(QUEUE, attempts=attempts)
    harness.configuration = make_configuration([queue])
    for number in range(18):
        zone, rack = f"z{number // 6}", f"r{number // 3}"
        harness.fleet.add(f"x{number}", "pool", 16_000, rack=rack, zone=zone)
    harness.start_leader()
    harness.run_for(300)
    drawn = random.Random(seed)
    executors = list(harness.fleet.executors_by_id.values())
    failing = drawn.sample(executors, 3)
    for number in range(400):
        is_failing = 80 <= number < 280
        for executor in failing:
            executor.fails_all_runs = is_failing
            executor.slowdown_factor = 0.05 if is_failing else 1
        submission = make_submission(
            f"s{number}",
            make_step(drawn.randint(4, 16)),
            queue=queue,
            accepted_ms=harness.unix_ms(),
        )
        harness.submit(submission, drawn.randint(500, 1_100))
        harness.run_for(25)
    harness.run_for(20_000)
    states = list(harness.scheduler.final_state_by_id.values())
    failed = states.count(SubmissionState.FAILED)
    print("COUNT", attempts, seed, failed)
    assert failed <= MAX_FAILED_BY_ATTEMPTS[attempts]
    assert states.count(SubmissionState.COMPLETED) == 400 - failed
    assert harness.fleet.violations == []


@pytest.mark.parametrize(
    ("settings", "failing", "started"),
    [(SETTINGS, 2, 4), (SETTINGS, 3, 6), (SETTINGS, 6, 6), (ALL_OFF, 2, 6)],
)
def test_last_attempts_are_withheld_from_few_executors_and_only_if_switched_on(
    monkeypatch, settings, failing, started
):
    """Guards against one queue's failing tasks that block the work of the others."""
    harness = LeaderHarness(monkeypatch)
    harness.feature_settings = settings
    queue = dataclasses.replace(QUEUE, attempts=1)
    harness.configuration = make_configuration([queue])
    for number in range(6):
        harness.fleet.add(f"x{number}", "pool", 1_000)
    harness.start_leader()
    harness.run_for(300)
    executors = list(harness.scheduler.executors_by_id.values())
    for executor in executors[:failing]:
        executor.failing_until_ms = harness.loop.clock.now_ms() + 5_000
    submission = make_submission(
        "s", make_step(6), queue=queue, accepted_ms=harness.unix_ms()
    )
    harness.submit(submission, 3_000)
    harness.run_for(1_000)
    assert sum(len(executor.runs) for executor in executors) == started

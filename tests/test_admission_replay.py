"""Bursts beyond a pool, replayed with admission and callers that return.

The plan has one pool of six machines that demands five times what it holds for 4.5 s of
18 s, and small other pools. Declared durations scatter by 0.3.
"""

import dataclasses

import pytest
from admission_replay import AdmissionReplay

from cranberrywheel_load import burst_replay
from cranberrywheel_load.burst_load import THREE_ZONES
from cranberrywheel_load.burst_replay import Cut

SEEDS = (1, 2)


def build_plan(burst_load):
    queues = tuple(
        dataclasses.replace(
            queue, burst_load=0.3 if number else burst_load, declared_spread=0.3
        )
        for number, queue in enumerate(THREE_ZONES.queues)
    )
    return dataclasses.replace(
        THREE_ZONES,
        pools=(6, 1, 1, 1),
        standby=0,
        queues=queues,
        length_ms=24_000,
    )


OVERLOAD = build_plan(5.0)


def replay(plan, **arguments):
    replays = [AdmissionReplay(plan, seed, **arguments) for seed in SEEDS]
    with pytest.MonkeyPatch.context() as patch:
        # Everything that was accepted ends within the replay.
        patch.setattr(burst_replay, "TAIL_MS", 45_000)
        served = sum(row.run().served for row in replays) / len(replays)
    return replays, [row.count() for row in replays], served


def total(counts, name):
    return sum(getattr(row, name) for row in counts)


@pytest.fixture(scope="module")
def without():
    return replay(OVERLOAD, admits=False)


@pytest.fixture(scope="module")
def with_admission():
    return replay(OVERLOAD)


def find_refused_with_room(replays):
    return [
        arrival.submission.id
        for row in replays
        for arrival in row.arrivals
        if arrival.submission.id in {key for _, key, _ in row.refusals}
        and row.had_room(arrival)
    ]


def test_refusals_serve_no_fewer_callers(without, with_admission):
    """Guards against refusals that take more than they give."""
    assert total(with_admission[1], "refused") > 0
    assert total(with_admission[1], "in_time") >= total(without[1], "in_time")
    assert with_admission[2] > without[2]


def test_nobody_is_refused_while_there_is_room(with_admission):
    """Guards against a refusal of what the pool could have served.

    That is the case if nothing waits at a time from which the submission would end
    within three times its objective.
    """
    assert find_refused_with_room(with_admission[0]) == []


def test_refused_callers_are_served_when_they_return(with_admission):
    """Guards against times at which callers are refused again, for ever."""
    for row, count in zip(*with_admission[:2], strict=True):
        accepted = {key for _, key, _ in row.refusals} & row.accepted_ms.keys()
        assert all(key in row.ended_ms for key in accepted)  # accepted work is finished
        assert len(accepted) + count.lost == count.refused
        tries = [key for _, key, _ in row.refusals]
        assert len(tries) == len(set(tries))  # one refusal, then accepted in its turn


def test_accepted_submissions_are_finished_also_when_late(with_admission):
    """Guards against work that is accepted and dropped once it is late."""
    assert total(with_admission[1], "late") > 0
    for row in with_admission[0]:
        assert row.accepted_ms.keys() <= row.ended_ms.keys()


@pytest.mark.parametrize("returns", [0.0, 0.5, 1.8])
def test_callers_that_return_early_late_or_never_harm_nobody(without, returns):
    """Guards against places that are kept for callers while others are refused."""
    replays, counts, _ = replay(OVERLOAD, returns=returns)
    assert find_refused_with_room(replays) == []
    assert total(counts, "in_time") >= 0.98 * total(without[1], "in_time")


def test_bursts_that_the_pools_carry_are_not_refused():
    """Guards against refusals on a day on which everything is served, or with a cut."""
    for cuts in ((), (Cut(20_000, 5_500, "z1"),)):
        replays, counts, _ = replay(THREE_ZONES, cuts=cuts)
        assert total(counts, "refused") == 0, cuts

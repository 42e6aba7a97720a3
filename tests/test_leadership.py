"""Who takes a free lead, and who leaves it, on a virtual store."""

import typing as t

from cranberrywheel.node.leadership import (
    LARGER_CANDIDATE_DELAY_MS,
    MIN_LEADERSHIP_MS,
    Candidate,
    Leadership,
    scheduling_capacity,
)
from cranberrywheel_standin.virtual_fleet import VirtualLoop, VirtualStore

LARGE = scheduling_capacity(2.15, 100)
SMALL = scheduling_capacity(0.516, 5)


class Contest:
    """Candidates of given capacities that compete for one lead."""

    def __init__(self, *capacities: float) -> None:
        self.loop = VirtualLoop()
        self.store = VirtualStore(self.loop)
        self.able = [True] * len(capacities)
        self.rows = [
            Leadership(
                t.cast(t.Any, self.loop),
                self.store.as_store(),
                Candidate(f"p{index}", f"a{index}", capacity),
                lambda index=index: max(
                    (c for i, c in enumerate(capacities) if i != index), default=0.0
                ),
                lambda index=index: self.able[index],
                lambda *_: None,
                lambda: None,
            )
            for index, capacity in enumerate(capacities)
        ]
        for row in self.rows:
            row.start()

    def leaders(self) -> list[int]:
        """Numbers of the candidates that lead."""
        return [index for index, row in enumerate(self.rows) if row.is_leader]


def test_larger_machine_takes_the_first_lead():
    """A machine of half a core and 5 Mbit/s leads from the start and serves a tenth
    of the load (mlr-clyde-grown scale-1: LOST 880, MIXED 11)."""
    contest = Contest(SMALL, SMALL, LARGE)
    contest.loop.run_for(500)
    assert contest.leaders() == [2]


def test_smaller_machine_leads_when_no_larger_one_takes_the_lead():
    """Nobody leads, since all wait for a machine that cannot."""
    contest = Contest(SMALL, LARGE)
    contest.able[1] = False
    contest.loop.run_for(LARGER_CANDIDATE_DELAY_MS)
    assert contest.leaders() == []
    contest.loop.run_for(1_500)
    assert contest.leaders() == [0]


def test_smaller_machine_hands_over_once_a_larger_one_can_lead():
    """A small machine that got the lead in a bad moment keeps it all day."""
    contest = Contest(SMALL, LARGE)
    contest.able[1] = False
    contest.loop.run_for(3_000)
    small, large = contest.rows
    assert small.is_leader and not small.should_yield
    contest.able[1] = True
    contest.loop.run_for(MIN_LEADERSHIP_MS)
    assert small.should_yield
    small.release(lambda: b"{}", "a larger machine can lead")
    contest.loop.run_for(300)
    assert contest.leaders() == [1] and not large.should_yield


def test_yielding_is_repeated_less_often_when_nobody_takes_the_lead():
    """A small machine that gives the lead up every few seconds for nothing."""
    contest = Contest(SMALL, LARGE)
    contest.able[1] = False
    contest.loop.run_for(3_000 + MIN_LEADERSHIP_MS)
    contest.rows[0].release(lambda: b"{}", "a larger machine can lead")
    contest.loop.run_for(3_000 + MIN_LEADERSHIP_MS)
    assert contest.leaders() == [0] and not contest.rows[0].should_yield


def test_machines_of_one_size_lead_at_once():
    """A pause for machines that nobody is larger than."""
    contest = Contest(SMALL, SMALL)
    contest.loop.run_for(1_500)
    assert len(contest.leaders()) == 1

"""Availability zones that the leader cannot reach."""

from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import ExecutorEntry
from cranberrywheel.submission.failure_domains import find_unreachable_zones
from cranberrywheel.submission.model import Resources


def make_executors(zone, count, unreachable):
    rows = []
    for number in range(count):
        entry = ExecutorEntry(
            id=f"{zone}-{number}",
            service="s",
            address="a:1",
            zone=zone,
            draining=False,
            capacity=Resources(1_000, 1_000, 0),
            labels=frozenset(),
            rack="",
            machine="",
            boot=1,
        )
        executor = Executor(entry, True, 0)
        executor.reachable = number >= unreachable
        rows.append(executor)
    return rows


def test_zone_most_of_whose_executors_are_silent_is_unreachable():
    """Guards against machines that are ordered where nobody reaches them."""
    executors = make_executors("x", 6, 5) + make_executors("y", 6, 0)
    assert find_unreachable_zones(executors) == {"x"}


def test_loss_of_a_rack_is_no_loss_of_its_zone():
    """Guards against a zone that is left aside for some lost executors."""
    assert find_unreachable_zones(make_executors("x", 6, 3)) == frozenset()


def test_few_executors_say_nothing_about_their_zone():
    """Guards against a small pool's zone that one crash takes out of use."""
    assert find_unreachable_zones(make_executors("x", 2, 2)) == frozenset()


def test_executors_whose_entries_expired_still_count():
    """Guards against a zone that seems reachable once its entries are gone."""
    executors = make_executors("x", 6, 6)
    for executor in executors:
        executor.registered = False
    assert find_unreachable_zones(executors) == {"x"}

"""Availability zones that the leader cannot reach.

Load pattern: an availability zone is cut off for some seconds while a queue has its
burst. Machines there can be ordered, but the leader does not reach their executors, and
their entries disappear from the store.
"""

import typing as t

from cranberrywheel.submission.executor import Executor

#: Fraction of a zone's executors that are unreachable when the zone counts as cut off.
#: The loss of a rack or some slow executors stay below it.
CUT_OFF_FRACTION = 0.5
#: Executors of a zone below which their reachability says nothing about the zone.
MIN_EXECUTORS = 3


def find_unreachable_zones(executors: t.Iterable[Executor]) -> frozenset[str]:
    """Return the availability zones most of whose executors do not answer.

    Executors without an entry count as long as they are tracked, since the entries of a
    zone that is cut off expire.
    """
    counts_by_zone: dict[str, list[int]] = {}
    for executor in executors:
        counts = counts_by_zone.setdefault(executor.entry.zone, [0, 0])
        counts[0] += 1
        counts[1] += not executor.reachable
    return frozenset(
        zone
        for zone, (count, unreachable) in counts_by_zone.items()
        if count >= MIN_EXECUTORS and unreachable > CUT_OFF_FRACTION * count
    )

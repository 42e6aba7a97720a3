"""What a burst replay served in time, by organisation and by size."""

import typing as t

from cranberrywheel_load.burst_load import BurstArrival
from cranberrywheel_load.burst_replay import BurstReplay


def compute_in_time(replay: BurstReplay, arrivals: t.Collection[BurstArrival]) -> float:
    """Return the fraction of some arrivals that met their latency objective."""
    met = sum(replay.earned_share(arrival) == 1.0 for arrival in arrivals)
    return met / max(1, len(arrivals))


def compute_in_time_by_organisation(replay: BurstReplay) -> dict[str, float]:
    """Return the fraction in time of each organisation's submissions."""
    by_organisation: dict[str, list[BurstArrival]] = {}
    for arrival in replay.arrivals:
        owner = arrival.submission.organisation
        by_organisation.setdefault(owner, []).append(arrival)
    return {
        owner: compute_in_time(replay, rows) for owner, rows in by_organisation.items()
    }


def compute_in_time_by_size(replay: BurstReplay) -> list[tuple[float, float, float]]:
    """Return three fractions in time of each queue.

    :returns: those of the largest tenth, of the fifth below it and of the whole queue.
    """
    by_queue: dict[int, list[BurstArrival]] = {}
    for arrival in replay.arrivals:
        by_queue.setdefault(arrival.queue, []).append(arrival)
    rows: list[tuple[float, float, float]] = []
    for _, arrivals in sorted(by_queue.items()):
        arrivals.sort(key=lambda arrival: -arrival.core_ms)
        tenth = len(arrivals) // 10 + 1
        fifth = arrivals[tenth : tenth + len(arrivals) // 5]
        rows.append(
            (
                compute_in_time(replay, arrivals[:tenth]),
                compute_in_time(replay, fifth),
                compute_in_time(replay, arrivals),
            )
        )
    return rows

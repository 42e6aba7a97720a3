"""Failures of one fortnight, drawn from a seed and equal for each policy."""

import dataclasses
import random

from cranberrywheel.version.configuration import Configuration

HOUR_MS = 3_600_000
MINUTE_MS = 60_000
DAY_MS = 24 * HOUR_MS
#: Rates at 2,000 workers from docs/design.md. Small fleets get at least one failure
#: and three restarts a day, so that a fortnight shows some.
FAILURES_PER_WORKER_DAY = 15 / 2000
RESTARTS_PER_WORKER_DAY = 140 / 2000
#: The second maintenance round starts about here: three quarters of 14 days.
SECOND_ROUND_MS = int(10.5 * DAY_MS)


@dataclasses.dataclass(frozen=True)
class Outage:
    """Workers that are down from ``start_ms`` until ``end_ms``."""

    start_ms: int
    end_ms: int
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Job:
    """Work that runs on a worker and cannot be checkpointed, if it serves then."""

    start_ms: int
    end_ms: int
    name: str


@dataclasses.dataclass(frozen=True)
class FaultSchedule:
    """All failures of a fortnight.

    :param outages: worker, rack and zone failures.
    :param bad_waves: spans in which no reboot ends.
    :param failing: when each worker starts to fail everything until its reboot.
    :param jobs: overnight jobs.
    """

    outages: tuple[Outage, ...]
    bad_waves: tuple[tuple[int, int], ...]
    failing: tuple[tuple[int, str], ...]
    jobs: tuple[Job, ...]


def _domain_outages(configuration: Configuration, rng: random.Random) -> list[Outage]:
    """Return one rack loss and one zone loss, each inside a maintenance round."""
    workers = configuration.workers_by_name.values()
    racks = sorted({(w.zone, w.rack) for w in workers})
    rack = rng.choice(racks)
    zone = rng.choice(sorted(configuration.regions_by_zone))
    rack_names = tuple(w.name for w in workers if (w.zone, w.rack) == rack)
    zone_names = tuple(w.name for w in workers if w.zone == zone)
    rack_ms = rng.randrange(10, 60) * MINUTE_MS
    zone_ms = SECOND_ROUND_MS + rng.randrange(20, 90) * MINUTE_MS
    return [
        Outage(rack_ms, rack_ms + HOUR_MS, rack_names),
        Outage(zone_ms, zone_ms + HOUR_MS // 2, zone_names),
    ]


def build_schedule(configuration: Configuration, seed: int) -> FaultSchedule:
    """Draw the failures of a fortnight.

    :param seed: the same seed gives the same failures.
    """
    rng = random.Random(seed)
    names = sorted(configuration.workers_by_name)
    outages = _domain_outages(configuration, rng)
    failures = max(1.0, FAILURES_PER_WORKER_DAY * len(names))
    restarts = max(3.0, RESTARTS_PER_WORKER_DAY * len(names))
    for count, longest_min in ((failures, 240), (restarts, 10)):
        for _ in range(round(count * 14)):
            start_ms = rng.randrange(14 * DAY_MS)
            end_ms = start_ms + rng.randrange(3, longest_min) * MINUTE_MS
            outages.append(Outage(start_ms, end_ms, (rng.choice(names),)))
    bad_ms = rng.randrange(60, 120) * MINUTE_MS
    bad_late_ms = SECOND_ROUND_MS + rng.randrange(60, 120) * MINUTE_MS
    jobs = []
    for day in range(14):
        # From ten in the evening, a tenth of the workers run a job of 2 to 6 hours.
        for name in rng.sample(names, max(1, len(names) // 10)):
            start_ms = day * DAY_MS + rng.randrange(60) * MINUTE_MS
            end_ms = start_ms + rng.randrange(120, 360) * MINUTE_MS
            jobs.append(Job(start_ms, end_ms, name))
    return FaultSchedule(
        outages=tuple(sorted(outages, key=lambda outage: outage.start_ms)),
        bad_waves=(
            (bad_ms, bad_ms + 2 * HOUR_MS),
            (bad_late_ms, bad_late_ms + HOUR_MS),
        ),
        failing=tuple(
            sorted(
                (rng.randrange(14 * DAY_MS), rng.choice(names))
                for _ in range(max(3, len(names) // 100))
            )
        ),
        jobs=tuple(sorted(jobs, key=lambda job: job.start_ms)),
    )

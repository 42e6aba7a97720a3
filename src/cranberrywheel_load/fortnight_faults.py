"""Fault schedule of a simulated fortnight: from a seed, the same for each policy."""

import dataclasses
import random

from cranberrywheel.version.configuration import Configuration

HOUR_MS = 3_600_000
MINUTE_MS = 60_000
DAY_MS = 24 * HOUR_MS
#: Rates from docs/design.md, which gives them for 2,000 workers. Small fleets get at
#: least one failure and three restarts a day, so that every fortnight has some.
FAILURES_PER_WORKER_DAY = 15 / 2000
RESTARTS_PER_WORKER_DAY = 140 / 2000
#: Approximate start of the second maintenance round: three quarters of 14 days.
SECOND_ROUND_MS = int(10.5 * DAY_MS)


@dataclasses.dataclass(frozen=True)
class Outage:
    """Workers that are down from ``start_ms`` until ``end_ms``.

    :param names: names of the workers.
    """

    start_ms: int
    end_ms: int
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class BatchJob:
    """Work that cannot be checkpointed; it runs if the worker serves at its start.

    :param name: name of the worker.
    """

    start_ms: int
    end_ms: int
    name: str


@dataclasses.dataclass(frozen=True)
class FaultSchedule:
    """All faults and batch jobs of a fortnight, each tuple in order of time.

    :param outages: worker, rack and zone outages.
    :param bad_waves: (start, end) in ms of intervals in which no reboot completes.
    :param failing: (start in ms, worker); the worker fails every task until its reboot.
    :param jobs: overnight batch jobs.
    """

    outages: tuple[Outage, ...]
    bad_waves: tuple[tuple[int, int], ...]
    failing: tuple[tuple[int, str], ...]
    jobs: tuple[BatchJob, ...]


def _draw_domain_outages(
    configuration: Configuration, rng: random.Random
) -> list[Outage]:
    """Draw one rack outage and one zone outage, each inside a maintenance round."""
    workers = configuration.workers_by_name.values()
    racks = sorted({(worker.zone, worker.rack) for worker in workers})
    rack = rng.choice(racks)
    zone = rng.choice(sorted(configuration.regions_by_zone))
    rack_names = tuple(
        worker.name for worker in workers if (worker.zone, worker.rack) == rack
    )
    zone_names = tuple(worker.name for worker in workers if worker.zone == zone)
    rack_start_ms = rng.randrange(10, 60) * MINUTE_MS
    zone_start_ms = SECOND_ROUND_MS + rng.randrange(20, 90) * MINUTE_MS
    return [
        Outage(rack_start_ms, rack_start_ms + HOUR_MS, rack_names),
        Outage(zone_start_ms, zone_start_ms + HOUR_MS // 2, zone_names),
    ]


def build_schedule(configuration: Configuration, seed: int) -> FaultSchedule:
    """Draw the faults and batch jobs of a fortnight.

    :param seed: the same seed gives the same schedule.
    """
    rng = random.Random(seed)
    names = sorted(configuration.workers_by_name)
    outages = _draw_domain_outages(configuration, rng)
    failures_per_day = max(1.0, FAILURES_PER_WORKER_DAY * len(names))
    restarts_per_day = max(3.0, RESTARTS_PER_WORKER_DAY * len(names))
    for daily_count, longest_min in ((failures_per_day, 240), (restarts_per_day, 10)):
        for _ in range(round(daily_count * 14)):
            start_ms = rng.randrange(14 * DAY_MS)
            end_ms = start_ms + rng.randrange(3, longest_min) * MINUTE_MS
            outages.append(Outage(start_ms, end_ms, (rng.choice(names),)))
    first_bad_wave_ms = rng.randrange(60, 120) * MINUTE_MS
    second_bad_wave_ms = SECOND_ROUND_MS + rng.randrange(60, 120) * MINUTE_MS
    jobs = []
    for day in range(14):
        # Each day starts at ten in the evening. Within its first hour, a tenth of the
        # workers start a job of 2 to 6 hours.
        for name in rng.sample(names, max(1, len(names) // 10)):
            start_ms = day * DAY_MS + rng.randrange(60) * MINUTE_MS
            end_ms = start_ms + rng.randrange(120, 360) * MINUTE_MS
            jobs.append(BatchJob(start_ms, end_ms, name))
    return FaultSchedule(
        outages=tuple(sorted(outages, key=lambda outage: outage.start_ms)),
        bad_waves=(
            (first_bad_wave_ms, first_bad_wave_ms + 2 * HOUR_MS),
            (second_bad_wave_ms, second_bad_wave_ms + HOUR_MS),
        ),
        failing=tuple(
            sorted(
                (rng.randrange(14 * DAY_MS), rng.choice(names))
                for _ in range(max(3, len(names) // 100))
            )
        ),
        jobs=tuple(sorted(jobs, key=lambda job: job.start_ms)),
    )

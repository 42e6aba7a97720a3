"""Arrivals with bursts: each queue in turn demands more than its pool holds."""

import dataclasses
import math
import random
import typing as t

from cranberrywheel.submission.model import (
    Organisation,
    Queue,
    Resources,
    Step,
    Submission,
)

#: Time of day at which replays begin, in Unix milliseconds.
UNIX_START_MS = 1_700_000_000_000
#: Drawn submissions from which the mean work is taken.
MEAN_SAMPLES = 400
#: Duration of a slow task as a multiple of that of the others.
SLOW_FACTOR = 7


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueLoad:
    """What the callers of one queue submit.

    :param burst_load: work that arrives during a burst, as a multiple of the pool; 0.8
        to 1.1 in the small deployments and 1.4 in the larger ones.
    :param work_ms: mean duration of a task; ``work_spread`` is the sigma of its
        logarithm between submissions, ``task_spread`` the one within a submission.
    :param declared_spread: sigma of the logarithm of declared against true durations.
    :param slow_share: fraction of the tasks that take :data:`SLOW_FACTOR` times as
        long.
    """

    burst_load: float = 0.8
    steps: float = 1.8
    width: float = 6.0
    width_spread: float = 0.6
    cpu: int = 1_800
    cpu_spread: float = 0.45
    memory_mb: int = 6_000
    work_ms: float = 1_000.0
    work_spread: float = 0.5
    task_spread: float = 0.2
    declared_spread: float = 0.2
    objective_factor: float = 1.6
    objective_ms: int = 600
    slow_share: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrganisationLoad:
    """What one organisation submits to all queues.

    :param share: its part of the arrivals, relative to the other organisations.
    :param factor: multiple of its usual rate from ``from_ms`` on for ``for_ms``.
    :param width_factor: multiple of the usual number of tasks of a step.
    """

    name: str
    share: float = 1.0
    factor: float = 1.0
    from_ms: int = 0
    for_ms: int = 0
    width_factor: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class BurstPlan:
    """A deployment and its load.

    :param pools: machines of each queue's pool.
    :param standby: machines that are off until a pool borrows them.
    :param burst_ms: length of a burst.
    :param idle_load: load between bursts, as a fraction of the mean.
    :param machines_per_rack: machines with successive numbers in one rack; 0: the
        machines of a zone are dealt out to ``racks`` racks.
    :param long_running: tasks of each long-running submission.
    :param long_running_limit: largest number of them on one machine; 0 for no limit.
    :param long_running_submissions: long-running submissions in each pool.
    :param long_running_fills: whether the last of them is a background task, which
        uses spare cpu.
    :param target_ms: limit of the tail latency of the other long-running tasks; 0 for
        none.
    :param crowding_load: by how much each further long-running task on its machine
        raises a task's tail latency, as a fraction of ``target_ms``.
    :param organisations: senders of the arrivals; without any, no call has an API key.
    """

    pools: tuple[int, ...] = (8, 8, 8, 8)
    standby: int = 8
    zones: int = 4
    racks: int = 3
    machine: Resources = Resources(32_000, 131_072, 0)
    queues: tuple[QueueLoad, ...] = (
        QueueLoad(),
        QueueLoad(
            width=8, cpu=3_800, work_ms=1_300, declared_spread=1.2, memory_mb=10_000
        ),
        QueueLoad(),
        QueueLoad(
            width=8, cpu=3_800, work_ms=1_300, declared_spread=1.2, memory_mb=10_000
        ),
    )
    burst_ms: int = 4_500
    length_ms: int = 38_000
    lead_ms: int = 8_000
    idle_load: float = 0.05
    long_running: int = 5
    long_running_cpu: int = 3_300
    long_running_limit: int = 2
    may_miss: int = 1
    machines_per_rack: int = 0
    long_running_submissions: int = 1
    long_running_memory_mb: int = 8_000
    long_running_fills: bool = False
    target_ms: int = 0
    crowding_load: float = 0.0
    organisations: tuple[OrganisationLoad, ...] = ()


def _alternate(first: QueueLoad, second: QueueLoad) -> tuple[QueueLoad, ...]:
    return (first, second, first, second)


FOUR_ZONES = BurstPlan()
THREE_ZONES = BurstPlan(
    pools=(6, 6, 6, 6),
    standby=6,
    zones=3,
    machine=Resources(16_000, 65_536, 0),
    queues=_alternate(
        QueueLoad(burst_load=1.05, cpu=1_100, work_ms=640, memory_mb=3_000),
        QueueLoad(
            burst_load=1.1,
            width=8,
            cpu=2_500,
            work_ms=1_700,
            declared_spread=1.2,
            memory_mb=6_000,
        ),
    ),
    long_running_cpu=1_500,
    long_running_limit=0,
)
FOUR_ZONES_GROWN = dataclasses.replace(
    FOUR_ZONES,
    pools=(32, 36, 40, 44),
    standby=28,
    queues=_alternate(
        QueueLoad(burst_load=1.4, width=8, cpu=3_100),
        QueueLoad(
            burst_load=1.4,
            width=8,
            cpu=6_700,
            work_ms=1_300,
            declared_spread=1.2,
            memory_mb=14_000,
        ),
    ),
    long_running=24,
    long_running_cpu=4_500,
    may_miss=3,
)
THREE_ZONES_GROWN = dataclasses.replace(
    FOUR_ZONES_GROWN,
    machine=Resources(16_000, 32_768, 0),
    queues=_alternate(
        QueueLoad(burst_load=1.4, width=8, cpu=2_000, work_ms=800, memory_mb=2_000),
        QueueLoad(
            burst_load=1.4,
            width=8,
            cpu=4_400,
            work_ms=1_700,
            declared_spread=1.2,
            memory_mb=5_000,
        ),
    ),
    long_running_cpu=2_200,
)
SIX_ZONES_LARGE = dataclasses.replace(
    FOUR_ZONES_GROWN,
    pools=(48, 54, 60, 66),
    standby=44,
    zones=6,
    racks=2,
    queues=_alternate(
        QueueLoad(burst_load=1.4, width=8, cpu=4_500, memory_mb=13_000),
        QueueLoad(
            burst_load=1.4,
            width=8,
            cpu=9_800,
            work_ms=1_300,
            declared_spread=1.2,
            memory_mb=28_000,
        ),
    ),
    long_running_cpu=4_800,
    long_running_limit=1,
)
CONTENDED_TURNS = dataclasses.replace(
    FOUR_ZONES_GROWN,
    pools=(32, 36, 39, 43),
    standby=29,
    zones=3,
    machines_per_rack=8,
    machine=Resources(64_000, 262_144, 0),
    queues=_alternate(
        QueueLoad(
            burst_load=1.4,
            width=8,
            cpu=6_200,
            memory_mb=16_000,
            work_ms=700,
            declared_spread=0.5,
            objective_ms=610,
        ),
        QueueLoad(
            burst_load=1.4,
            width=8,
            cpu=9_000,
            memory_mb=24_000,
            work_ms=1_300,
            declared_spread=0.5,
            objective_ms=610,
        ),
    ),
    length_ms=36_000,
    long_running_cpu=8_000,
    long_running_memory_mb=34_000,
    long_running_limit=1,
    long_running_submissions=3,
    long_running_fills=True,
    target_ms=100,
)
UNEVEN_TURNS = dataclasses.replace(
    CONTENDED_TURNS,
    machines_per_rack=20,
    machine=Resources(32_000, 65_536, 0),
    queues=tuple(
        dataclasses.replace(
            queue, cpu=queue.cpu // 2, memory_mb=queue.memory_mb // 4, slow_share=0.03
        )
        for queue in CONTENDED_TURNS.queues
    ),
    long_running_cpu=4_000,
    long_running_memory_mb=8_500,
)


def add_organisations(
    plan: BurstPlan, count: int, hot: int, **changes: t.Any
) -> BurstPlan:
    """Return a plan with organisations of which some are hot, one after the other.

    :param count: number of organisations.
    :param hot: number of those that send eight times their rate for six seconds.
    :param changes: further changes of the hot organisations.
    """
    values: dict[str, t.Any] = {"factor": 8.0, "for_ms": 6_000}
    values |= changes
    organisations = tuple(
        OrganisationLoad(
            name=f"organisation-{number}",
            from_ms=2 * plan.burst_ms + number * plan.burst_ms,
            **(values if number < hot else {}),
        )
        for number in range(count)
    )
    return dataclasses.replace(plan, organisations=organisations)


#: Deployments like those of the users.
PLANS = {
    "four-zones": FOUR_ZONES,
    "three-zones": THREE_ZONES,
    "four-zones-grown": FOUR_ZONES_GROWN,
    "three-zones-grown": THREE_ZONES_GROWN,
    "six-zones-large": SIX_ZONES_LARGE,
    "contended-turns": CONTENDED_TURNS,
    "uneven-turns": UNEVEN_TURNS,
    "three-zones-hot": add_organisations(THREE_ZONES, 6, 2),
    "four-zones-grown-hot": add_organisations(FOUR_ZONES_GROWN, 20, 2),
}


def build_queue(plan: BurstPlan, number: int) -> Queue:
    """Return the queue of a pool."""
    load = plan.queues[number]
    return Queue(
        f"queue-{number}",
        "load",
        f"/{number}/",
        f"pool-{number}",
        attempts=4,
        objective_factor=load.objective_factor,
        objective_ms=load.objective_ms,
    )


def build_organisations(plan: BurstPlan) -> dict[str, Organisation]:
    """Return the organisations, each with its usual rate as its weight."""
    count = len(plan.pools)
    mean_rate = sum(compute_burst_rate(plan, n) / count for n in range(count))
    shares = sum(row.share for row in plan.organisations)
    return {
        row.name: Organisation(row.name, 1_000 * mean_rate * row.share / shares)
        for row in plan.organisations
    }


@dataclasses.dataclass(frozen=True, kw_only=True)
class BurstArrival:
    """A submission with the true durations of its tasks.

    :param at_ms: time from the start of the load.
    :param durations_ms: true duration of each task, by step and index.
    """

    at_ms: int
    queue: int
    submission: Submission
    durations_ms: tuple[tuple[int, ...], ...]

    @property
    def core_ms(self) -> float:
        """Work of all tasks."""
        return sum(
            sum(row) * step.size.cpu / 1_000
            for step, row in zip(self.submission.steps, self.durations_ms, strict=True)
        )

    def compute_critical_path_ms(self, pool_cpu: int) -> float:
        """Return the duration of the steps one after the other.

        A step that asks for more than a quarter of its pool counts in waves.
        """
        total = 0.0
        for step, row in zip(self.submission.steps, self.durations_ms, strict=True):
            waves = math.ceil(step.count * step.size.cpu / (pool_cpu / 4))
            total += waves * max(row)
        return total


def _lognormal(rng: random.Random, mean: float, sigma: float) -> float:
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


def _mean_work_core_ms(plan: BurstPlan, number: int) -> float:
    """Estimate the mean work of a submission; rounding moves it off the plan."""
    rng = random.Random(number)
    rows = [_draw_arrival(plan, number, 0, "", rng) for _ in range(MEAN_SAMPLES)]
    return sum(row.core_ms for row in rows) / len(rows)


def _draw_arrival(
    plan: BurstPlan, number: int, at_ms: int, name: str, rng: random.Random
) -> BurstArrival:
    load = plan.queues[number]
    queue = build_queue(plan, number)
    cpu = min(
        plan.machine.cpu // 2,
        max(50, round(_lognormal(rng, load.cpu, load.cpu_spread) / 50) * 50),
    )
    memory_mb = min(
        plan.machine.memory_mb // 3, int(_lognormal(rng, load.memory_mb, 0.6))
    )
    base_ms = min(2.5 * load.work_ms, _lognormal(rng, load.work_ms, load.work_spread))
    steps: list[Step] = []
    rows: list[tuple[int, ...]] = []
    count_steps = max(1, round(_lognormal(rng, load.steps, 0.4)))
    for index in range(count_steps):
        width = _lognormal(rng, load.width, load.width_spread)
        count = min(4 * round(load.width), max(1, round(width)))
        task_ms = base_ms * rng.lognormvariate(0, 0.2)
        row = tuple(
            max(30, int(task_ms * rng.lognormvariate(0, load.task_spread)))
            for _ in range(count)
        )
        if load.slow_share:
            row = tuple(
                SLOW_FACTOR * took_ms if rng.random() < load.slow_share else took_ms
                for took_ms in row
            )
        declared = task_ms * rng.lognormvariate(0, load.declared_spread)
        steps.append(
            Step(
                count=count,
                size=Resources(cpu, memory_mb, 0),
                estimated_ms=max(30, int(declared)),
                after=(index - 1,) if index else (),
            )
        )
        rows.append(row)
    submission = Submission(
        id=name,
        queue=queue.key,
        service=queue.service,
        organisation="",
        payload="",
        steps=tuple(steps),
        accepted_ms=UNIX_START_MS + plan.lead_ms + at_ms,
    )
    return BurstArrival(
        at_ms=at_ms, queue=number, submission=submission, durations_ms=tuple(rows)
    )


def compute_burst_rate(plan: BurstPlan, number: int) -> float:
    """Return the submissions per millisecond of a queue's burst."""
    pool_cores = plan.pools[number] * plan.machine.cpu / 1_000
    burst_load = plan.queues[number].burst_load
    return burst_load * pool_cores / _mean_work_core_ms(plan, number)


def draw_arrivals(plan: BurstPlan, seed: int) -> list[BurstArrival]:
    """Draw the arrivals of a plan in order of time."""
    rng = random.Random(seed)
    arrivals: list[BurstArrival] = []
    count = len(plan.pools)
    for number in range(count):
        burst_rate = compute_burst_rate(plan, number)
        mean_rate = burst_rate / count
        at_ms = 0.0
        while True:
            # Thinning: candidates come at the rate of a burst.
            at_ms += rng.expovariate(burst_rate)
            if at_ms >= plan.length_ms:
                break
            in_burst = int(at_ms / plan.burst_ms) % count == number
            if in_burst or rng.random() < plan.idle_load * mean_rate / burst_rate:
                name = f"{number:x}{len(arrivals):015x}"
                arrivals.append(_draw_arrival(plan, number, int(at_ms), name, rng))
    if plan.organisations:
        arrivals = _assign_organisations(plan, seed, arrivals)
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def _assign_organisations(
    plan: BurstPlan, seed: int, arrivals: t.Sequence[BurstArrival]
) -> list[BurstArrival]:
    """Give each arrival a sender and add what hot organisations send beyond that.

    The arrivals themselves are those of the plan without organisations.
    """
    rng = random.Random(f"organisations-{seed}")
    shares = [row.share for row in plan.organisations]
    assigned: list[BurstArrival] = []
    for arrival in arrivals:
        load = rng.choices(plan.organisations, shares)[0]
        copies = 1
        if load.from_ms <= arrival.at_ms < load.from_ms + load.for_ms:
            copies = math.floor(load.factor + rng.random())
        wide = _widen(plan, arrival.queue, load.width_factor)
        name = arrival.submission.id
        for copy in range(copies):
            row = arrival
            if copy or load.width_factor != 1.0:
                at_ms = arrival.at_ms + round(copy * rng.uniform(0, 100))
                row = _draw_arrival(
                    wide, arrival.queue, at_ms, f"{name[0]}{copy:x}{name[2:]}", rng
                )
            submission = dataclasses.replace(row.submission, organisation=load.name)
            assigned.append(dataclasses.replace(row, submission=submission))
    return assigned


def _widen(plan: BurstPlan, number: int, factor: float) -> BurstPlan:
    """Return a plan in which the steps of one queue have more tasks."""
    queues = list(plan.queues)
    load = queues[number]
    queues[number] = dataclasses.replace(load, width=load.width * factor)
    return dataclasses.replace(plan, queues=tuple(queues))

"""Arrivals of a load run, in which the queues burst one after the other."""

import dataclasses
import itertools
import random
import typing as t

from cranberrywheel.version.configuration import Configuration, Queue

BURST_FACTOR = 5.0
IDLE_FACTOR = 0.05
#: Fraction of a queue's run time before which no caller cancels.
MIN_CANCEL_FRACTION = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadPlan:
    """Parameters of the generated load.

    :param duration_ms: length of the run.
    :param burst_ms: length of each queue's burst.
    :param scale: factor on the mean rates of the configuration.
    :param cancel_fraction: fraction of the calls that their caller cancels.
    :param repeat_fraction: fraction of the ticketed calls that their caller sends a
        second time, with the same ticket, before the first is answered.
    :param max_calls: maximum number of arrivals.
    :param queues: queues to use; empty for all.
    :param weights_by_team: relative call rates of the teams; empty for their shares.
    """

    duration_ms: int
    burst_ms: int = 3_000
    scale: float = 1.0
    cancel_fraction: float = 0.6
    repeat_fraction: float = 0.1
    max_calls: int = 100_000
    queues: tuple[str, ...] = ()
    weights_by_team: t.Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A planned call.

    :param at_ms: time from the start of the run.
    :param team: team whose key is sent; ``""`` on queues that are open to all.
    :param run_ms: run time of the task.
    :param cancel_after_ms: time from sending after which the caller disconnects, or
        ``None``.
    :param repeat_after_ms: time from sending after which the caller sends the same
        ticket again, or ``None``.
    """

    at_ms: float
    queue: str
    team: str
    run_ms: int
    cancel_after_ms: float | None = None
    repeat_after_ms: float | None = None


def compute_rate_factor(index: int, count: int, at_ms: float, burst_ms: int) -> float:
    """Return the factor on the mean rate of a queue at a time.

    :param index: position of the queue among ``count`` queues, which burst in turn.
    """
    bursting = int(at_ms // burst_ms) % count
    return BURST_FACTOR if bursting == index else IDLE_FACTOR


def _generate_queue_times(
    index: int, queue: Queue, count: int, plan: LoadPlan, rng: random.Random
) -> t.Iterator[float]:
    """Yield Poisson arrival times in milliseconds; the rate changes with each burst."""
    for start_ms in range(0, plan.duration_ms, plan.burst_ms):
        end_ms = min(start_ms + plan.burst_ms, plan.duration_ms)
        factor = compute_rate_factor(index, count, start_ms, plan.burst_ms)
        per_ms = queue.mean_per_second * factor * plan.scale / 1000
        at_ms = float(start_ms)
        while (at_ms := at_ms + rng.expovariate(per_ms)) < end_ms:
            yield at_ms


def _create_arrival(
    queue: Queue,
    at_ms: float,
    weights_by_team: t.Mapping[str, float],
    plan: LoadPlan,
    rng: random.Random,
) -> Arrival:
    team = ""
    if not queue.open_to_all:
        team = rng.choices(list(weights_by_team), list(weights_by_team.values()))[0]
    cancel_after_ms = repeat_after_ms = None
    if rng.random() < plan.cancel_fraction:
        cancel_after_ms = queue.run_ms * rng.uniform(MIN_CANCEL_FRACTION, 1)
    if not queue.idempotent and rng.random() < plan.repeat_fraction:
        repeat_after_ms = queue.run_ms * rng.random()
    return Arrival(
        at_ms=at_ms,
        queue=queue.name,
        team=team,
        run_ms=queue.run_ms,
        cancel_after_ms=cancel_after_ms,
        repeat_after_ms=repeat_after_ms,
    )


def plan_arrivals(
    configuration: Configuration, plan: LoadPlan, rng: random.Random
) -> list[Arrival]:
    """Return the arrivals of a run, ordered by time.

    :param configuration: queues with their mean rates, and teams with the queues
        that they may use.
    :param plan: parameters of the load.
    :param rng: random source; the same seed yields the same arrivals.
    """
    names = plan.queues or tuple(configuration.queues_by_name)
    teams = configuration.teams_by_name
    weights = plan.weights_by_team or {n: x.share for n, x in teams.items()}
    arrivals = []
    for index, name in enumerate(names):
        queue = configuration.queues_by_name[name]
        weights_of_allowed_teams = {
            n: w for n, w in weights.items() if w and teams[n].may_use(name)
        }
        if not weights_of_allowed_teams and not queue.open_to_all:
            continue
        times = _generate_queue_times(index, queue, len(names), plan, rng)
        for at_ms in itertools.islice(times, plan.max_calls):
            arrivals.append(
                _create_arrival(queue, at_ms, weights_of_allowed_teams, plan, rng)
            )
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return arrivals[: plan.max_calls]

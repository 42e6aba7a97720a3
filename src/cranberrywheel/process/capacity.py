"""How many workers each pool needs and what sizes and wave sizes cost."""

import dataclasses
import functools
import math

from cranberrywheel.process.fleet_model import (
    Fleet,
    QueueUsage,
    find_dependency_pools,
    group_services_by_pool,
)
from cranberrywheel.version.configuration import Configuration, Pool, Queue, Weights

#: A queue bursts to five times its mean and lies at a twentieth in between.
BURST_FACTOR = 5.0
IDLE_FACTOR = 0.05
#: A move costs its worker minutes of service once; a buffer costs all the time.
MOVE_COST_FACTOR = 0.5


@dataclasses.dataclass(frozen=True)
class PoolDemand:
    """Workers that a pool needs.

    :param mean: for its mean load.
    :param surge: while its largest queue bursts and the others lie low.
    """

    mean_workers: float
    burst_workers: float


def _workers_for(queue: Queue, usage: QueueUsage | None, pool: Pool) -> float:
    """Return the workers that the mean load of a queue occupies."""
    busy = usage.busy if usage else queue.mean_per_second * queue.run_ms / 1000
    cores = usage.cores if usage else queue.cores
    memory_mb = usage.memory_mb if usage else queue.memory_mb
    return busy * max(
        1 / pool.slots_per_executor, cores / pool.cores, memory_mb / pool.memory_mb
    )


def compute_pool_demands(
    configuration: Configuration, usage_by_queue: dict[str, QueueUsage]
) -> dict[str, PoolDemand]:
    """Compute what each pool needs, from learned usage where there is any.

    The queues of a pool share one buffer because they burst in turn: it covers the
    largest burst, not their sum.
    """
    means: dict[str, list[float]] = {name: [] for name in configuration.pools_by_name}
    for queue in configuration.queues_by_name.values():
        pool = configuration.pool_of_queue(queue.name)
        workers = _workers_for(queue, usage_by_queue.get(queue.name), pool)
        means[pool.name].append(workers)
    needs = {}
    for name, loads in means.items():
        lull = IDLE_FACTOR * sum(loads)
        burst = (BURST_FACTOR - IDLE_FACTOR) * max(loads, default=0.0)
        needs[name] = PoolDemand(mean_workers=sum(loads), burst_workers=lull + burst)
    return needs


@functools.lru_cache(maxsize=50_000)
def compute_wave_limit(counts: tuple[int, ...], min_healthy: int) -> int:
    """Return how many workers of a pool may be out so that any zone may be lost.

    Where the loss of a zone breaks the budget without maintenance, only workers of
    that zone may be out beyond the rest.

    :param counts: workers of the pool in each of its zones, in any order.
    :param min_healthy: workers that must stay healthy.
    """
    total = sum(counts)
    slacks = [total - n - min(min_healthy, total - n) for n in counts]
    for out in range(max(0, total - min_healthy), 0, -1):
        # The workers out beyond a zone's slack must lie in that zone itself.
        inside = [max(0, out - slack) for slack in slacks]
        fits = all(a <= b for a, b in zip(inside, counts, strict=True))
        if fits and sum(inside) <= out:
            return out
    return 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SizingProblem:
    """Input of the size decision.

    :param counts: workers at present, by pool, then by zone.
    :param min_healthy_by_pool: largest budget of the pool's services.
    :param importance_by_pool: 1 plus the number of pools that depend on it; a
        shortage in a dependency reaches its dependents.
    :param spare_pools: pools whose idle workers are no buffer cost.
    """

    counts: dict[str, dict[str, int]]
    demands_by_pool: dict[str, PoolDemand]
    min_healthy_by_pool: dict[str, int]
    importance_by_pool: dict[str, float]
    spare_pools: frozenset[str]
    weights: Weights

    @functools.cached_property
    def sizes_by_pool(self) -> dict[str, int]:
        """Workers of each pool at present."""
        return {pool: sum(zones.values()) for pool, zones in self.counts.items()}

    @functools.cached_property
    def fleet_size(self) -> int:
        """Workers of all pools, at least 1."""
        return max(1, sum(self.sizes_by_pool.values()))

    @functools.cached_property
    def best_wave_cache(self) -> dict[tuple[str, int, int], tuple[float, int]]:
        """Memo of :func:`best_wave` by pool, size and wave limit."""
        return {}

    @property
    def move_cost(self) -> float:
        """Cost of one move."""
        return self.weights.moves * MOVE_COST_FACTOR / self.fleet_size


def build_problem(configuration: Configuration, fleet: Fleet) -> SizingProblem:
    """Collect the input of the size decision."""
    zones = list(configuration.regions_by_zone)
    counts = {pool: dict.fromkeys(zones, 0) for pool in configuration.pools_by_name}
    for instance in fleet.instances_by_name.values():
        pool = instance.assignment.target_pool or instance.pool
        declared = instance.name in configuration.workers_by_name
        if declared and pool in counts:
            counts[pool][instance.zone] += 1
    needed = find_dependency_pools(configuration)
    dependents = dict.fromkeys(counts, 1.0)
    for others in needed.values():
        for other in others:
            dependents[other] += 1
    return SizingProblem(
        counts={
            pool: {zone: n for zone, n in by_zone.items() if n}
            for pool, by_zone in counts.items()
        },
        demands_by_pool=compute_pool_demands(configuration, fleet.usage_by_queue),
        min_healthy_by_pool=min_healthy_by_pool(configuration),
        importance_by_pool=dependents,
        spare_pools=frozenset(
            pool.name for pool in configuration.pools_by_name.values() if pool.spare
        ),
        weights=configuration.weights,
    )


def min_healthy_by_pool(configuration: Configuration) -> dict[str, int]:
    """Return the largest ``min_healthy`` among the services of each pool."""
    services = configuration.services_by_name
    return {
        pool: max((services[name].min_healthy for name in names), default=0)
        for pool, names in group_services_by_pool(configuration).items()
    }


def compute_pool_cost(
    problem: SizingProblem, pool: str, total: int, wave: int
) -> float:
    """Return the cost of one pool, without moves.

    :param total: its workers.
    :param wave: how many of them are out at once during maintenance.
    """
    weights, need = problem.weights, problem.demands_by_pool[pool]
    idle = 0.0 if pool in problem.spare_pools else max(0.0, total - need.mean_workers)
    # Relative to one worker at a time, so that pools of any size compare.
    size = max(1, problem.sizes_by_pool[pool])
    rounds = math.ceil(total / wave) / size if wave else 2.0
    short = (
        max(0.0, need.burst_workers - (total - wave)) / need.burst_workers
        if need.burst_workers
        else 0.0
    )
    pools = len(problem.counts)
    return (
        weights.buffer_cost * idle / problem.fleet_size
        + weights.rollout_time * rounds / pools
        + weights.share * short * problem.importance_by_pool[pool] / pools
    )


def find_best_wave(
    problem: SizingProblem, pool: str, counts_by_zone: dict[str, int]
) -> tuple[float, int]:
    """Return the lowest cost of a pool of these workers and its wave size."""
    counts = tuple(sorted(filter(None, counts_by_zone.values())))
    limit = compute_wave_limit(counts, problem.min_healthy_by_pool[pool])
    key = (pool, sum(counts), limit)
    known = problem.best_wave_cache.get(key)
    if known is None:
        known = problem.best_wave_cache[key] = min(
            (compute_pool_cost(problem, pool, sum(counts), wave), wave)
            for wave in (range(1, limit + 1) if limit else (0,))
        )
    return known


def compute_cost(
    problem: SizingProblem, counts: dict[str, dict[str, int]], waves: dict[str, int]
) -> float:
    """Return the weighted cost of a decision."""
    cost, moves = 0.0, 0
    for pool, zones in counts.items():
        before = problem.counts[pool]
        cost += compute_pool_cost(problem, pool, sum(zones.values()), waves[pool])
        moves += sum(max(0, n - before.get(zone, 0)) for zone, n in zones.items())
    return cost + problem.move_cost * moves

"""Worker demand of each pool, and the cost of pool sizes and wave sizes."""

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

#: Load of a queue relative to its mean: five times the mean during a burst, a
#: twentieth of it while the queue is idle.
BURST_FACTOR = 5.0
IDLE_FACTOR = 0.05
#: Weight of a move relative to a buffer worker: a move costs a few minutes of
#: service once, while a buffer worker costs all the time.
MOVE_COST_FACTOR = 0.5


@dataclasses.dataclass(frozen=True)
class PoolDemand:
    """Number of workers that a pool needs.

    :param mean_workers: for its mean load.
    :param burst_workers: while its largest queue bursts and the others are idle.
    """

    mean_workers: float
    burst_workers: float


def _compute_mean_workers(queue: Queue, usage: QueueUsage | None, pool: Pool) -> float:
    """Return the number of workers that the mean load of a queue occupies."""
    concurrency = usage.busy if usage else queue.mean_per_second * queue.run_ms / 1000
    cores = usage.cores if usage else queue.cores
    memory_mb = usage.memory_mb if usage else queue.memory_mb
    return concurrency * max(
        1 / pool.slots_per_executor, cores / pool.cores, memory_mb / pool.memory_mb
    )


def compute_pool_demands(
    configuration: Configuration, usage_by_queue: dict[str, QueueUsage]
) -> dict[str, PoolDemand]:
    """Compute the demand of each pool from measured usage, or else declared usage.

    The queues of a pool share one buffer because they burst at different times: it
    covers the largest burst, not the sum of all bursts.
    """
    means: dict[str, list[float]] = {name: [] for name in configuration.pools_by_name}
    for queue in configuration.queues_by_name.values():
        pool = configuration.pool_of_queue(queue.name)
        workers = _compute_mean_workers(queue, usage_by_queue.get(queue.name), pool)
        means[pool.name].append(workers)
    demands_by_pool = {}
    for name, loads in means.items():
        idle_load = IDLE_FACTOR * sum(loads)
        burst_increase = (BURST_FACTOR - IDLE_FACTOR) * max(loads, default=0.0)
        demands_by_pool[name] = PoolDemand(
            mean_workers=sum(loads), burst_workers=idle_load + burst_increase
        )
    return demands_by_pool


@functools.lru_cache(maxsize=50_000)
def compute_wave_limit(counts: tuple[int, ...], min_healthy: int) -> int:
    """Return how many workers may be out such that any one zone can still fail.

    If the loss of a zone breaks the availability budget even without maintenance,
    further workers may be out only in that zone.

    :param counts: workers of the pool in each of its zones, in any order.
    :param min_healthy: workers that must stay healthy.
    """
    total = sum(counts)
    slacks = [total - count - min(min_healthy, total - count) for count in counts]
    for out_count in range(max(0, total - min_healthy), 0, -1):
        # Workers out beyond the slack that a zone's loss leaves must be in that zone.
        required_inside = [max(0, out_count - slack) for slack in slacks]
        fits = all(
            required <= present
            for required, present in zip(required_inside, counts, strict=True)
        )
        if fits and sum(required_inside) <= out_count:
            return out_count
    return 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SizingProblem:
    """Input of the pool size decision.

    :param counts: workers at present, by pool, then by zone.
    :param min_healthy_by_pool: largest ``min_healthy`` of the pool's services.
    :param importance_by_pool: 1 plus the number of pools that depend on the pool,
        because a shortage in a dependency also affects its dependents.
    :param spare_pools: pools whose idle workers do not count as buffer cost.
    """

    counts: dict[str, dict[str, int]]
    demands_by_pool: dict[str, PoolDemand]
    min_healthy_by_pool: dict[str, int]
    importance_by_pool: dict[str, float]
    spare_pools: frozenset[str]
    weights: Weights

    @functools.cached_property
    def sizes_by_pool(self) -> dict[str, int]:
        """Present number of workers of each pool."""
        return {pool: sum(zones.values()) for pool, zones in self.counts.items()}

    @functools.cached_property
    def fleet_size(self) -> int:
        """Number of workers of all pools, at least 1."""
        return max(1, sum(self.sizes_by_pool.values()))

    @functools.cached_property
    def best_wave_cache(self) -> dict[tuple[str, int, int], tuple[float, int]]:
        """Cache of :func:`find_best_wave` by pool, size and wave limit."""
        return {}

    @property
    def move_cost(self) -> float:
        """Cost of moving one worker to another pool."""
        return self.weights.moves * MOVE_COST_FACTOR / self.fleet_size


def build_problem(configuration: Configuration, fleet: Fleet) -> SizingProblem:
    """Build the input of the pool size decision.

    An instance that is being moved counts for its target pool.
    """
    zones = list(configuration.regions_by_zone)
    counts = {pool: dict.fromkeys(zones, 0) for pool in configuration.pools_by_name}
    for instance in fleet.instances_by_name.values():
        pool = instance.assignment.target_pool or instance.pool
        declared = instance.name in configuration.workers_by_name
        if declared and pool in counts:
            counts[pool][instance.zone] += 1
    dependencies_by_pool = find_dependency_pools(configuration)
    importance_by_pool = dict.fromkeys(counts, 1.0)
    for others in dependencies_by_pool.values():
        for other in others:
            importance_by_pool[other] += 1
    return SizingProblem(
        counts={
            pool: {zone: count for zone, count in by_zone.items() if count}
            for pool, by_zone in counts.items()
        },
        demands_by_pool=compute_pool_demands(configuration, fleet.usage_by_queue),
        min_healthy_by_pool=min_healthy_by_pool(configuration),
        importance_by_pool=importance_by_pool,
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

    :param total: number of its workers.
    :param wave: number of workers out at once during maintenance.
    """
    weights, demand = problem.weights, problem.demands_by_pool[pool]
    idle = 0.0 if pool in problem.spare_pools else max(0.0, total - demand.mean_workers)
    # Relative to waves of one worker, so that pools of different size compare.
    size = max(1, problem.sizes_by_pool[pool])
    relative_rounds = math.ceil(total / wave) / size if wave else 2.0
    shortage = (
        max(0.0, demand.burst_workers - (total - wave)) / demand.burst_workers
        if demand.burst_workers
        else 0.0
    )
    pools = len(problem.counts)
    return (
        weights.buffer_cost * idle / problem.fleet_size
        + weights.rollout_time * relative_rounds / pools
        + weights.share * shortage * problem.importance_by_pool[pool] / pools
    )


def find_best_wave(
    problem: SizingProblem, pool: str, counts_by_zone: dict[str, int]
) -> tuple[float, int]:
    """Return the lowest cost of a pool with these workers, and the wave size for it.

    :returns: cost and wave size; 0 if no worker may be out.
    """
    counts = tuple(sorted(filter(None, counts_by_zone.values())))
    limit = compute_wave_limit(counts, problem.min_healthy_by_pool[pool])
    key = (pool, sum(counts), limit)
    cached = problem.best_wave_cache.get(key)
    if cached is None:
        cached = problem.best_wave_cache[key] = min(
            (compute_pool_cost(problem, pool, sum(counts), wave), wave)
            for wave in (range(1, limit + 1) if limit else (0,))
        )
    return cached


def compute_cost(
    problem: SizingProblem, counts: dict[str, dict[str, int]], waves: dict[str, int]
) -> float:
    """Return the weighted cost of pool sizes and wave sizes, including moves."""
    cost, moves = 0.0, 0
    for pool, zones in counts.items():
        before = problem.counts[pool]
        cost += compute_pool_cost(problem, pool, sum(zones.values()), waves[pool])
        moves += sum(
            max(0, count - before.get(zone, 0)) for zone, count in zones.items()
        )
    return cost + problem.move_cost * moves

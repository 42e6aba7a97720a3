"""How many workers each pool needs, and which sizes and wave sizes cost least.

A greedy local search chooses the sizes; docs/planning.md compares it with a
mixed-integer model.
"""

import dataclasses
import math

from cranberrywheel.process.fleet_model import (
    Fleet,
    QueueUsage,
    Sizing,
    dependency_pools,
    services_by_pool,
)
from cranberrywheel.version.configuration import Configuration, Pool, Queue, Weights

#: A queue bursts to five times its mean and lies at a twentieth in between.
SURGE_FACTOR = 5.0
LULL_FACTOR = 0.05
#: A move costs its worker minutes of service once; a buffer costs all the time.
MOVE_FACTOR = 0.5
#: The search stops here at the latest; it normally stops for lack of a better step.
MAX_SEARCH_STEPS = 500


@dataclasses.dataclass(frozen=True)
class PoolNeed:
    """Workers that a pool needs.

    :param mean: for its mean load.
    :param surge: while its largest queue bursts and the others lie low.
    """

    mean: float
    surge: float


def _workers_for(queue: Queue, usage: QueueUsage | None, pool: Pool) -> float:
    """Return the workers that the mean load of a queue occupies."""
    busy = usage.busy if usage else queue.mean_per_second * queue.run_ms / 1000
    cores = usage.cores if usage else queue.cores
    memory_mb = usage.memory_mb if usage else queue.memory_mb
    return busy * max(
        1 / pool.slots_per_executor, cores / pool.cores, memory_mb / pool.memory_mb
    )


def pool_needs(
    configuration: Configuration, usage_by_queue: dict[str, QueueUsage]
) -> dict[str, PoolNeed]:
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
        lull = LULL_FACTOR * sum(loads)
        burst = (SURGE_FACTOR - LULL_FACTOR) * max(loads, default=0.0)
        needs[name] = PoolNeed(mean=sum(loads), surge=lull + burst)
    return needs


def wave_limit(counts_by_zone: dict[str, int], min_healthy: int) -> int:
    """Return how many workers of a pool may be out so that any zone may be lost.

    Where the loss of a zone breaks the budget without maintenance, only workers of
    that zone may be out beyond the rest.

    :param counts_by_zone: workers of the pool in each zone.
    :param min_healthy: workers that must stay healthy.
    """
    total = sum(counts_by_zone.values())
    slack_by_zone = {
        zone: total - count - min(min_healthy, total - count)
        for zone, count in counts_by_zone.items()
    }
    for out in range(max(0, total - min_healthy), 0, -1):
        # The workers out beyond a zone's slack must lie in that zone itself.
        inside = {z: max(0, out - slack) for z, slack in slack_by_zone.items()}
        fits = all(inside[z] <= counts_by_zone[z] for z in inside)
        if fits and sum(inside.values()) <= out:
            return out
    return 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SizingProblem:
    """Input of the size decision.

    :param counts: workers at present, by pool, then by zone.
    :param min_healthy_by_pool: largest budget of the pool's services.
    :param importance_by_pool: 1 plus the number of pools that depend on it, scaled
        so that the mean is 1; a shortage in a dependency reaches its dependents.
    :param spare_pools: pools whose idle workers are no buffer cost.
    """

    counts: dict[str, dict[str, int]]
    needs_by_pool: dict[str, PoolNeed]
    min_healthy_by_pool: dict[str, int]
    importance_by_pool: dict[str, float]
    spare_pools: frozenset[str]
    weights: Weights


def build_problem(configuration: Configuration, fleet: Fleet) -> SizingProblem:
    """Collect the input of the size decision."""
    zones = list(configuration.regions_by_zone)
    counts = {pool: dict.fromkeys(zones, 0) for pool in configuration.pools_by_name}
    for instance in fleet.instances_by_name.values():
        pool = instance.row.target_pool or instance.pool
        if pool in counts:
            counts[pool][instance.zone] += 1
    needed = dependency_pools(configuration)
    dependents = dict.fromkeys(counts, 1.0)
    for others in needed.values():
        for other in others:
            dependents[other] += 1
    scale = len(dependents) / sum(dependents.values())
    return SizingProblem(
        counts={
            pool: {zone: n for zone, n in by_zone.items() if n}
            for pool, by_zone in counts.items()
        },
        needs_by_pool=pool_needs(configuration, fleet.usage_by_queue),
        min_healthy_by_pool=min_healthy_by_pool(configuration),
        importance_by_pool={pool: n * scale for pool, n in dependents.items()},
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
        for pool, names in services_by_pool(configuration).items()
    }


def pool_cost(
    problem: SizingProblem, pool: str, total: int, wave: int, size: int
) -> float:
    """Return the cost of one pool, without moves.

    :param total: its workers.
    :param wave: how many of them are out at once during maintenance.
    :param size: its workers before the decision.
    """
    weights, need = problem.weights, problem.needs_by_pool[pool]
    fleet_size = sum(sum(zones.values()) for zones in problem.counts.values())
    idle = 0.0 if pool in problem.spare_pools else max(0.0, total - need.mean)
    # Relative to one worker at a time, so that pools of any size compare.
    rounds = math.ceil(total / wave) / max(1, size) if wave else 2.0
    short = max(0.0, need.surge - (total - wave)) / need.surge if need.surge else 0.0
    pools = len(problem.counts)
    return (
        weights.buffer_cost * idle / max(1, fleet_size)
        + weights.rollout_time * rounds / pools
        + weights.share * short * problem.importance_by_pool[pool] / pools
    )


def best_wave(
    problem: SizingProblem, pool: str, counts_by_zone: dict[str, int]
) -> tuple[float, int]:
    """Return the lowest cost of a pool of these workers and its wave size."""
    total = sum(counts_by_zone.values())
    size = sum(problem.counts[pool].values())
    limit = wave_limit(counts_by_zone, problem.min_healthy_by_pool[pool])
    return min(
        (pool_cost(problem, pool, total, wave, size), wave)
        for wave in (range(1, limit + 1) if limit else (0,))
    )


def cost_of(
    problem: SizingProblem, counts: dict[str, dict[str, int]], waves: dict[str, int]
) -> float:
    """Return the weighted cost of a decision."""
    fleet_size = sum(sum(zones.values()) for zones in problem.counts.values())
    cost, moves = 0.0, 0
    for pool, zones in counts.items():
        before = problem.counts[pool]
        cost += pool_cost(
            problem, pool, sum(zones.values()), waves[pool], sum(before.values())
        )
        moves += sum(max(0, n - before.get(zone, 0)) for zone, n in zones.items())
    step = problem.weights.moves * MOVE_FACTOR / max(1, fleet_size)
    return cost + step * moves


class _Search:
    """State of the local search: present counts and the cost of each pool."""

    def __init__(self, problem: SizingProblem) -> None:
        self.problem = problem
        self.counts = {pool: dict(zones) for pool, zones in problem.counts.items()}
        self.costs = {
            pool: best_wave(problem, pool, zones) for pool, zones in self.counts.items()
        }
        fleet_size = sum(sum(zones.values()) for zones in self.counts.values())
        self.step_cost = problem.weights.moves * MOVE_FACTOR / max(1, fleet_size)
        self._gains: dict[tuple[str, str, int], tuple[float, int] | None] = {}

    def changed(self, pool: str, zone: str, by: int) -> tuple[float, int] | None:
        """Return cost and wave size of a pool after a change, or ``None``.

        ``None`` means that the change breaks the pool's budget or its robustness.
        """
        key = (pool, zone, by)
        if key not in self._gains:
            self._gains[key] = self._compute(pool, zone, by)
        return self._gains[key]

    def _compute(self, pool: str, zone: str, by: int) -> tuple[float, int] | None:
        zones = dict(self.counts[pool])
        zones[zone] = zones.get(zone, 0) + by
        if by < 0:
            total = sum(zones.values())
            need = self.problem.min_healthy_by_pool[pool]
            if zones[zone] < 0 or total - max(zones.values()) < need + 1:
                # One worker beyond the budget after a zone loss stays for waves.
                return None
        return best_wave(self.problem, pool, zones)

    def moved(self, zone: str, pool: str) -> int:
        """Return by how much the pool's workers of a zone differ from the start."""
        return self.counts[pool].get(zone, 0) - self.problem.counts[pool].get(zone, 0)

    def apply(self, zone: str, source: str, target: str) -> None:
        """Move one worker."""
        for pool, by in ((source, -1), (target, 1)):
            result = self.changed(pool, zone, by)
            assert result is not None
            self.costs[pool] = result
            self.counts[pool][zone] = self.counts[pool].get(zone, 0) + by
        self._gains = {
            key: value
            for key, value in self._gains.items()
            if key[0] not in (source, target)
        }

    def best_step(self) -> tuple[float, str, str, str] | None:
        """Return the change of cost, zone, source and target of the best move."""
        best = None
        for zone in {zone for zones in self.counts.values() for zone in zones}:
            losses, gains = [], []
            for pool, (cost, _) in self.costs.items():
                moved = self.moved(zone, pool)
                if self.counts[pool].get(zone, 0):
                    fewer = self.changed(pool, zone, -1)
                    # Undoing an earlier step saves its move.
                    if fewer:
                        step = -self.step_cost if moved > 0 else 0.0
                        losses.append((fewer[0] - cost + step, pool))
                more = self.changed(pool, zone, 1)
                if more:
                    step = 0.0 if moved < 0 else self.step_cost
                    gains.append((more[0] - cost + step, pool))
            # The two best of each side suffice: a pool cannot be both.
            for loss, source in sorted(losses)[:2]:
                for gain, target in sorted(gains)[:2]:
                    if source != target:
                        step = (loss + gain, zone, source, target)
                        best = min(best, step) if best else step
        return best


def choose_sizes(problem: SizingProblem) -> Sizing:
    """Choose pool sizes and wave sizes by the best single move until none helps.

    Workers change pools only within their zone.
    """
    search = _Search(problem)
    for _ in range(MAX_SEARCH_STEPS):
        step = search.best_step()
        if step is None or step[0] > -1e-9:
            break
        search.apply(*step[1:])
    waves = {pool: wave for pool, (_, wave) in search.costs.items()}
    return Sizing(
        counts=search.counts,
        wave_sizes_by_pool=waves,
        cost=cost_of(problem, search.counts, waves),
    )

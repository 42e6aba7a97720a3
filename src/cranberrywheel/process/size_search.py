"""Chooses pool sizes by a greedy local search.

docs/planning.md compares it with a mixed-integer model.
"""

import heapq
import itertools
import operator
import typing as t

from cranberrywheel.process.capacity import SizingProblem, compute_cost, find_best_wave
from cranberrywheel.process.fleet_model import Sizing

#: Bounds the time of one decision. The best steps come first, and the next decision
#: goes on from the moves that were started.
MAX_STEPS = 1_000
#: Smaller gains are rounding errors.
MIN_GAIN = 1e-9

#: Changes of one pool's workers by zone.
Deltas = tuple[tuple[str, int], ...]
#: Cost of a step, then the changes of two pools.
Step = tuple[float, tuple[tuple[str, Deltas], ...]]


class _Costs:
    """Cost of each of some changes for each pool that can make it.

    Only the pools that a step touched are computed again.
    """

    def __init__(self, pools: t.Iterable[str], all_deltas: t.Iterable[Deltas]) -> None:
        self._costs: dict[Deltas, dict[str, float]] = {d: {} for d in all_deltas}
        self._stale = set(pools)

    def forget(self, pool: str) -> None:
        """Note that a pool changed."""
        self._stale.add(pool)

    def refresh(self, compute: t.Callable[[str, Deltas], float | None]) -> None:
        """Compute the costs of the pools that changed."""
        for pool in self._stale:
            for deltas, costs in self._costs.items():
                cost = compute(pool, deltas)
                if cost is None:
                    costs.pop(pool, None)
                else:
                    costs[pool] = cost
        self._stale.clear()

    def best_pair(self, first: Deltas, second: Deltas) -> Step | None:
        """Return the two pools for which two opposite changes cost least.

        The two best of each change suffice, because a pool cannot be on both sides.
        """
        by_cost = operator.itemgetter(1, 0)
        pairs = [
            (cost_a + cost_b, ((a, first), (b, second)))
            for a, cost_a in heapq.nsmallest(2, self._costs[first].items(), by_cost)
            for b, cost_b in heapq.nsmallest(2, self._costs[second].items(), by_cost)
            if a != b
        ]
        return min(pairs, default=None)


class _Search:
    """Present counts and the steps that may follow."""

    def __init__(self, problem: SizingProblem) -> None:
        self.problem = problem
        self.counts = {pool: dict(zones) for pool, zones in problem.counts.items()}
        self.best = {
            pool: find_best_wave(problem, pool, zones)
            for pool, zones in self.counts.items()
        }
        zones = sorted({z for zones in self.counts.values() for z in zones})
        self._transfers = [(((z, -1),), ((z, 1),)) for z in zones]
        self._swaps = [
            (((z, -1), (other, 1)), ((other, -1), (z, 1)))
            for z, other in itertools.combinations(zones, 2)
        ]
        self._transfer_costs = _Costs(
            self.counts, itertools.chain.from_iterable(self._transfers)
        )
        self._swap_costs = _Costs(
            self.counts, itertools.chain.from_iterable(self._swaps)
        )

    def _compute(self, pool: str, deltas: Deltas) -> float | None:
        """Return how much a change costs, or ``None`` if the pool must not make it."""
        present, start = self.counts[pool], self.problem.counts[pool]
        if any(by < 0 and not present.get(zone) for zone, by in deltas):
            return None
        zones, moves = dict(present), 0
        for zone, by in deltas:
            before = zones.get(zone, 0)
            zones[zone] = before + by
            # A move counts where a worker arrives; undoing one saves it.
            moves += max(0, before + by - start.get(zone, 0))
            moves -= max(0, before - start.get(zone, 0))
        if any(by < 0 for _, by in deltas) and not self._is_robust(pool, zones):
            return None
        cost = find_best_wave(self.problem, pool, zones)[0] - self.best[pool][0]
        return cost + moves * self.problem.move_cost

    def _is_robust(self, pool: str, zones: dict[str, int]) -> bool:
        """Tell whether one worker beyond the budget is left after a zone loss.

        Without it maintenance could take nothing.
        """
        left = sum(zones.values()) - max(zones.values())
        return left >= self.problem.min_healthy_by_pool[pool] + 1

    def apply(self, step: Step) -> None:
        """Make a step."""
        for pool, deltas in step[1]:
            zones = self.counts[pool]
            for zone, by in deltas:
                zones[zone] = zones.get(zone, 0) + by
            self.best[pool] = find_best_wave(self.problem, pool, zones)
            self._transfer_costs.forget(pool)
            self._swap_costs.forget(pool)

    def best_step(self) -> Step | None:
        """Return the best step that lowers the cost.

        A transfer moves one worker to another pool of its zone. A swap exchanges
        workers of two pools between two zones: it keeps all sizes but spreads a
        pool over more domains, which allows larger waves.
        """
        for steps, costs in (
            (self._transfers, self._transfer_costs),
            (self._swaps, self._swap_costs),
        ):
            costs.refresh(self._compute)
            found = [costs.best_pair(*pair) for pair in steps]
            best = min(filter(None, found), default=None)
            if best and best[0] < -MIN_GAIN:
                return best
        return None


def choose_sizes(problem: SizingProblem) -> Sizing:
    """Choose pool sizes and wave sizes by the best step until none helps.

    Workers change pools only within their zone.
    """
    search = _Search(problem)
    for _ in range(MAX_STEPS):
        step = search.best_step()
        if step is None:
            break
        search.apply(step)
    waves = {pool: wave for pool, (_, wave) in search.best.items()}
    return Sizing(
        counts=search.counts,
        wave_sizes_by_pool=waves,
        cost=compute_cost(problem, search.counts, waves),
    )

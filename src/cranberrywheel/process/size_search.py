"""Greedy local search for pool sizes.

docs/planning.md compares it with a mixed-integer model.
"""

import heapq
import itertools
import operator
import typing as t

from cranberrywheel.process.capacity import SizingProblem, compute_cost, find_best_wave
from cranberrywheel.process.fleet_model import Sizing

#: Bounds the running time of one decision. The best steps are made first, and the
#: next decision continues from the moves already started.
MAX_STEPS = 1_000
#: Smaller cost reductions are treated as rounding errors.
MIN_GAIN = 1e-9

#: Changes of the number of one pool's workers, by zone.
Deltas = tuple[tuple[str, int], ...]
#: Cost difference of a step, then the changes of the two pools involved.
Step = tuple[float, tuple[tuple[str, Deltas], ...]]


class _ChangeCosts:
    """Cost of each candidate change, for each pool that can make it.

    Only the costs of pools that a step has changed are computed again.
    """

    def __init__(self, pools: t.Iterable[str], all_deltas: t.Iterable[Deltas]) -> None:
        self._costs: dict[Deltas, dict[str, float]] = {
            deltas: {} for deltas in all_deltas
        }
        self._stale = set(pools)

    def invalidate(self, pool: str) -> None:
        """Mark the costs of a pool as outdated."""
        self._stale.add(pool)

    def refresh(self, compute: t.Callable[[str, Deltas], float | None]) -> None:
        """Compute the outdated costs again.

        :param compute: returns the cost of a change, or ``None`` if the pool must
            not make it.
        """
        for pool in self._stale:
            for deltas, costs in self._costs.items():
                cost = compute(pool, deltas)
                if cost is None:
                    costs.pop(pool, None)
                else:
                    costs[pool] = cost
        self._stale.clear()

    def find_best_pair(self, first: Deltas, second: Deltas) -> Step | None:
        """Return the two pools for which two opposite changes cost least.

        The two cheapest pools of each change suffice: at most one of them is
        excluded because it is on the other side of the step.
        """
        by_cost = operator.itemgetter(1, 0)
        pairs = [
            (first_cost + second_cost, ((first_pool, first), (second_pool, second)))
            for first_pool, first_cost in heapq.nsmallest(
                2, self._costs[first].items(), by_cost
            )
            for second_pool, second_cost in heapq.nsmallest(
                2, self._costs[second].items(), by_cost
            )
            if first_pool != second_pool
        ]
        return min(pairs, default=None)


class _LocalSearch:
    """Present counts and the candidate steps."""

    def __init__(self, problem: SizingProblem) -> None:
        self.problem = problem
        self.counts = {pool: dict(zones) for pool, zones in problem.counts.items()}
        self.best_waves = {
            pool: find_best_wave(problem, pool, zones)
            for pool, zones in self.counts.items()
        }
        zones = sorted({zone for zones in self.counts.values() for zone in zones})
        self._transfers = [(((zone, -1),), ((zone, 1),)) for zone in zones]
        self._swaps = [
            (((zone, -1), (other, 1)), ((other, -1), (zone, 1)))
            for zone, other in itertools.combinations(zones, 2)
        ]
        self._transfer_costs = _ChangeCosts(
            self.counts, itertools.chain.from_iterable(self._transfers)
        )
        self._swap_costs = _ChangeCosts(
            self.counts, itertools.chain.from_iterable(self._swaps)
        )

    def _compute_change_cost(self, pool: str, deltas: Deltas) -> float | None:
        """Return the cost of a change, or ``None`` if the pool must not make it."""
        present, initial = self.counts[pool], self.problem.counts[pool]
        if any(change < 0 and not present.get(zone) for zone, change in deltas):
            return None
        zones, moves = dict(present), 0
        for zone, change in deltas:
            before = zones.get(zone, 0)
            zones[zone] = before + change
            # A move is counted where the worker arrives; undoing it removes its cost.
            moves += max(0, before + change - initial.get(zone, 0))
            moves -= max(0, before - initial.get(zone, 0))
        if any(change < 0 for _, change in deltas) and not self._is_robust(pool, zones):
            return None
        cost = find_best_wave(self.problem, pool, zones)[0] - self.best_waves[pool][0]
        return cost + moves * self.problem.move_cost

    def _is_robust(self, pool: str, zones: dict[str, int]) -> bool:
        """Tell whether one worker beyond ``min_healthy`` is left after a zone loss.

        Without it, no worker could be taken out for maintenance.
        """
        left = sum(zones.values()) - max(zones.values())
        return left >= self.problem.min_healthy_by_pool[pool] + 1

    def apply(self, step: Step) -> None:
        """Apply a step to the counts and mark the costs of both pools as outdated."""
        for pool, deltas in step[1]:
            zones = self.counts[pool]
            for zone, change in deltas:
                zones[zone] = zones.get(zone, 0) + change
            self.best_waves[pool] = find_best_wave(self.problem, pool, zones)
            self._transfer_costs.invalidate(pool)
            self._swap_costs.invalidate(pool)

    def find_best_step(self) -> Step | None:
        """Return the step that lowers the cost most, or ``None``.

        A transfer moves one worker to another pool of its zone. A swap exchanges
        workers of two pools between two zones: it keeps all sizes but spreads a
        pool over more failure domains, which allows larger waves. Swaps are used
        only if no transfer lowers the cost.
        """
        for steps, costs in (
            (self._transfers, self._transfer_costs),
            (self._swaps, self._swap_costs),
        ):
            costs.refresh(self._compute_change_cost)
            found = [costs.find_best_pair(*pair) for pair in steps]
            best = min(filter(None, found), default=None)
            if best and best[0] < -MIN_GAIN:
                return best
        return None


def choose_sizes(problem: SizingProblem) -> Sizing:
    """Choose pool sizes and wave sizes by making the best step until none lowers cost.

    Workers change pools only within their zone.
    """
    search = _LocalSearch(problem)
    for _ in range(MAX_STEPS):
        step = search.find_best_step()
        if step is None:
            break
        search.apply(step)
    waves = {pool: wave for pool, (_, wave) in search.best_waves.items()}
    return Sizing(
        counts=search.counts,
        wave_sizes_by_pool=waves,
        cost=compute_cost(problem, search.counts, waves),
    )

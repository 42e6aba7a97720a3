"""Measures and budget violations of a fortnight."""

import collections
import typing as t

from cranberrywheel.process.capacity import MOVE_COST_FACTOR, PoolDemand
from cranberrywheel.process.fleet_model import InstanceState
from cranberrywheel.version.configuration import Configuration
from cranberrywheel_load.fortnight_world import World


class Measures:
    """Adds up one note for each step.

    Buffer cost is the mean part of the fleet that is idle outside the spare pool at
    mean load. Closeness to share is the part of a burst that the pool's healthy
    workers can take, the mean over pools and steps; teams use what is there by share.
    """

    def __init__(
        self,
        configuration: Configuration,
        demands_by_pool: dict[str, PoolDemand],
        min_healthy_by_pool: dict[str, int],
    ) -> None:
        self._configuration = configuration
        self._needs = demands_by_pool
        self._min_healthy = min_healthy_by_pool
        self._steps = 0
        self._last_ms = 0
        self._buffer = 0.0
        self._closeness = 0.0
        self._lowest_closeness = 1.0
        self.rollout_ms: int | None = None
        self.moves = 0
        self.violations = 0
        self.unplanned_breaches = 0

    def note(self, world: World, now_ms: int) -> None:
        """Add one step."""
        healthy: collections.Counter[str] = collections.Counter()
        withheld: collections.Counter[str] = collections.Counter()
        for name, row in world.rows_by_name.items():
            if world.is_down(name, now_ms) or world.is_failing(name):
                continue
            # Also an instance that does not return from its reboot counts as
            # withheld: without maintenance it would be healthy.
            serving = row.state is InstanceState.SERVING
            (healthy if serving else withheld)[row.pool] += 1
        self._steps += 1
        self._last_ms = now_ms
        self.moves = world.moves
        self._note_budgets(healthy, withheld)
        self._note_capacity(healthy)
        if self.rollout_ms is None and all(world.maintained_ms_by_name.values()):
            self.rollout_ms = now_ms

    def _note_budgets(
        self, healthy: t.Mapping[str, int], withheld: t.Mapping[str, int]
    ) -> None:
        for pool, least in self._min_healthy.items():
            if healthy[pool] >= least:
                continue
            if healthy[pool] + withheld[pool] >= least:
                self.violations += 1
            else:
                self.unplanned_breaches += 1

    def _note_capacity(self, healthy: t.Mapping[str, int]) -> None:
        closeness = 0.0
        for pool, need in self._needs.items():
            if not self._configuration.pools_by_name[pool].spare:
                self._buffer += max(0.0, healthy[pool] - need.mean_workers)
            part = (
                min(1.0, healthy[pool] / need.burst_workers)
                if need.burst_workers
                else 1.0
            )
            closeness += part
            self._lowest_closeness = min(self._lowest_closeness, part)
        self._closeness += closeness / len(self._needs)

    def _weighted(self) -> float:
        """Return the weighted sum, scaled as in the planner's cost."""
        weights = self._configuration.weights
        workers = len(self._configuration.workers_by_name)
        largest = max(
            len(p.worker_names) for p in self._configuration.pools_by_name.values()
        )
        longest_ms = largest * self._configuration.reboot_minutes * 60_000
        # An unfinished round counts as if it took the whole time.
        rollout_ms = self._last_ms if self.rollout_ms is None else self.rollout_ms
        rollout = rollout_ms / longest_ms
        return (
            weights.buffer_cost * self._buffer / self._steps / workers
            + weights.rollout_time * rollout
            + weights.moves * MOVE_COST_FACTOR * self.moves / workers
            + weights.share * (1 - self._closeness / self._steps)
        )

    def line(self) -> str:
        """Return the measures as one line."""
        workers = len(self._configuration.workers_by_name)
        rollout = "unfinished"
        if self.rollout_ms is not None:
            rollout = f"{self.rollout_ms / 3_600_000:.2f} h"
        return (
            f"buffer={self._buffer / self._steps / workers:.3f} of fleet, "
            f"roll-out={rollout}, moves={self.moves}, "
            f"closeness={self._closeness / self._steps:.4f} "
            f"(lowest {self._lowest_closeness:.2f}), weighted={self._weighted():.3f}, "
            f"violations={self.violations}, "
            f"unplanned breaches={self.unplanned_breaches}"
        )

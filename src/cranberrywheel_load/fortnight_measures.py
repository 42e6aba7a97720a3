"""Metrics and availability budget violations of a simulated fortnight."""

import collections
import typing as t

from cranberrywheel.process.capacity import MOVE_COST_FACTOR, PoolDemand
from cranberrywheel.process.fleet_model import InstanceState
from cranberrywheel.version.configuration import Configuration
from cranberrywheel_load.fortnight_fleet import SimulatedFleet


class FortnightMetrics:
    """Accumulates metrics over the steps of a run.

    Buffer cost is the mean fraction of the fleet that is idle at mean load, spare pools
    excluded. Closeness to share is the fraction of a burst that a pool's healthy
    workers can run, as the mean over pools and steps; it assumes that teams divide the
    available capacity by share.
    """

    def __init__(
        self,
        configuration: Configuration,
        demands_by_pool: dict[str, PoolDemand],
        min_healthy_by_pool: dict[str, int],
    ) -> None:
        self._configuration = configuration
        self._demands_by_pool = demands_by_pool
        self._min_healthy_by_pool = min_healthy_by_pool
        self._steps = 0
        self._last_ms = 0
        self._buffer_sum = 0.0
        self._closeness_sum = 0.0
        self._lowest_closeness = 1.0
        self.rollout_ms: int | None = None
        self.moves = 0
        self.violations = 0
        self.unplanned_breaches = 0

    def record_step(self, fleet: SimulatedFleet, now_ms: int) -> None:
        """Add the state of the fleet after one step."""
        healthy: collections.Counter[str] = collections.Counter()
        withheld: collections.Counter[str] = collections.Counter()
        for name, assignment in fleet.assignments_by_name.items():
            if fleet.is_down(name, now_ms) or fleet.is_failing(name):
                continue
            # An instance that does not return from its reboot counts as withheld too:
            # without maintenance it would be healthy.
            serving = assignment.state is InstanceState.SERVING
            (healthy if serving else withheld)[assignment.pool] += 1
        self._steps += 1
        self._last_ms = now_ms
        self.moves = fleet.moves
        self._record_budgets(healthy, withheld)
        self._record_capacity(healthy)
        if self.rollout_ms is None and all(fleet.maintained_ms_by_name.values()):
            self.rollout_ms = now_ms

    def _record_budgets(
        self, healthy: t.Mapping[str, int], withheld: t.Mapping[str, int]
    ) -> None:
        for pool, min_healthy in self._min_healthy_by_pool.items():
            if healthy[pool] >= min_healthy:
                continue
            if healthy[pool] + withheld[pool] >= min_healthy:
                self.violations += 1
            else:
                self.unplanned_breaches += 1

    def _record_capacity(self, healthy: t.Mapping[str, int]) -> None:
        closeness = 0.0
        for pool, demand in self._demands_by_pool.items():
            if not self._configuration.pools_by_name[pool].spare:
                self._buffer_sum += max(0.0, healthy[pool] - demand.mean_workers)
            covered_fraction = (
                min(1.0, healthy[pool] / demand.burst_workers)
                if demand.burst_workers
                else 1.0
            )
            closeness += covered_fraction
            self._lowest_closeness = min(self._lowest_closeness, covered_fraction)
        self._closeness_sum += closeness / len(self._demands_by_pool)

    def _compute_weighted_cost(self) -> float:
        """Return the weighted sum of the metrics, scaled as in the planner's cost."""
        weights = self._configuration.weights
        workers = len(self._configuration.workers_by_name)
        largest = max(
            len(pool.worker_names)
            for pool in self._configuration.pools_by_name.values()
        )
        longest_ms = largest * self._configuration.reboot_minutes * 60_000
        # An unfinished roll-out counts as if it took the whole run.
        rollout_ms = self._last_ms if self.rollout_ms is None else self.rollout_ms
        rollout = rollout_ms / longest_ms
        return (
            weights.buffer_cost * self._buffer_sum / self._steps / workers
            + weights.rollout_time * rollout
            + weights.moves * MOVE_COST_FACTOR * self.moves / workers
            + weights.share * (1 - self._closeness_sum / self._steps)
        )

    def format_line(self) -> str:
        """Return the metrics as one line of text."""
        workers = len(self._configuration.workers_by_name)
        rollout = "unfinished"
        if self.rollout_ms is not None:
            rollout = f"{self.rollout_ms / 3_600_000:.2f} h"
        return (
            f"buffer={self._buffer_sum / self._steps / workers:.3f} of fleet, "
            f"roll-out={rollout}, moves={self.moves}, "
            f"closeness={self._closeness_sum / self._steps:.4f} "
            f"(lowest {self._lowest_closeness:.2f}), "
            f"weighted={self._compute_weighted_cost():.3f}, "
            f"violations={self.violations}, "
            f"unplanned breaches={self.unplanned_breaches}"
        )

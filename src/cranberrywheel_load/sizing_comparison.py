"""Compares the product's local search for pool sizes with a mixed-integer program.

``python -m cranberrywheel_load.sizing_comparison local|milp|both`` prints cost,
processor time and peak memory; docs/planning.md explains the decision. Peak memory
is meaningful only if a process runs one method alone.
"""

import math
import pathlib
import resource
import sys
import time
import typing as t

import numpy as np

from cranberrywheel.connection.store_client import InstanceList
from cranberrywheel.process.capacity import (
    SizingProblem,
    build_problem,
    compute_cost,
    find_best_wave,
)
from cranberrywheel.process.fleet_model import Sizing, build_fleet
from cranberrywheel.process.size_search import choose_sizes
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel_load.planned_scale import build_planned_text

SEED = 11
MILP_LIMIT_S = 60.0


class _MilpModel:
    """Collects the variables and linear constraints of a mixed-integer program."""

    def __init__(self) -> None:
        self.costs: list[float] = []
        self.integral: list[int] = []
        self.upper: list[float] = []
        self.constraints: list[tuple[dict[int, float], float, float]] = []

    def add_variable(
        self, cost: float = 0.0, integer: bool = False, upper=np.inf
    ) -> int:
        self.costs.append(cost)
        self.integral.append(int(integer))
        self.upper.append(upper)
        return len(self.costs) - 1

    def add_constraint(
        self, terms: dict[int, float], low: float, high: float = np.inf
    ) -> None:
        self.constraints.append((terms, low, high))

    def solve(self) -> t.Any:
        # Imported here so that scipy does not add to the memory of a local search run.
        from scipy.optimize import Bounds, LinearConstraint, milp
        from scipy.sparse import coo_array

        coefficients = [
            (index, column, value)
            for index, (terms, _, _) in enumerate(self.constraints)
            for column, value in terms.items()
        ]
        rows, columns, values = zip(*coefficients, strict=True)
        matrix = coo_array(
            (values, (rows, columns)), shape=(len(self.constraints), len(self.costs))
        ).tocsr()
        return milp(
            np.array(self.costs),
            integrality=np.array(self.integral),
            bounds=Bounds(0, np.array(self.upper)),
            constraints=LinearConstraint(
                matrix,
                [constraint[1] for constraint in self.constraints],
                [constraint[2] for constraint in self.constraints],
            ),
            options={"time_limit": MILP_LIMIT_S, "mip_rel_gap": 0.001},
        )


def _add_pool(
    model: _MilpModel, problem: SizingProblem, pool: str, counts: dict[str, int]
) -> None:
    """Add the size, wave size, availability budget and cost of one pool.

    :param counts: variables of the pool's worker counts by zone.
    """
    weights, demand = problem.weights, problem.demands_by_pool[pool]
    pools, size = len(problem.counts), problem.sizes_by_pool[pool]
    min_healthy = problem.min_healthy_by_pool[pool]
    out_of_service = {zone: model.add_variable() for zone in counts}
    waves = {
        k: model.add_variable(
            weights.rollout_time * math.ceil(size / k) / size / pools, True, 1
        )
        for k in range(1, max(2, size))
    }
    model.add_constraint(dict.fromkeys(waves.values(), 1.0), 1, 1)
    wave_terms = {column: -float(k) for k, column in waves.items()}
    model.add_constraint(
        {**dict.fromkeys(out_of_service.values(), 1.0), **wave_terms}, 0, 0
    )
    total_terms = dict.fromkeys(counts.values(), 1.0)
    for lost_zone in counts:
        remaining = {
            column: 1.0 for zone, column in counts.items() if zone != lost_zone
        }
        model.add_constraint(remaining, min_healthy + 1)
        negated_out = {
            column: -1.0 for zone, column in out_of_service.items() if zone != lost_zone
        }
        model.add_constraint({**remaining, **negated_out}, min_healthy)
        model.add_constraint(
            {counts[lost_zone]: 1.0, out_of_service[lost_zone]: -1.0}, 0
        )
    if pool not in problem.spare_pools:
        idle = model.add_variable(weights.buffer_cost / problem.fleet_size)
        negated = dict.fromkeys(counts.values(), -1.0)
        model.add_constraint({idle: 1.0, **negated}, -demand.mean_workers)
    if demand.burst_workers:
        shortfall_cost = (
            weights.share
            * problem.importance_by_pool[pool]
            / pools
            / demand.burst_workers
        )
        shortfall = model.add_variable(shortfall_cost)
        model.add_constraint(
            {shortfall: 1.0, **total_terms, **wave_terms}, demand.burst_workers
        )


def choose_sizes_by_milp(problem: SizingProblem) -> Sizing:
    """Choose pool sizes by a mixed-integer program.

    Roll-out times are computed with the present pool sizes.
    """
    model = _MilpModel()
    zones = sorted({zone for zones in problem.counts.values() for zone in zones})
    counts: dict[str, dict[str, int]] = {}
    for pool, before in problem.counts.items():
        counts[pool] = {zone: model.add_variable(0, True) for zone in zones}
        for zone, column in counts[pool].items():
            moved_in = model.add_variable(problem.move_cost)
            model.add_constraint({moved_in: 1.0, column: -1.0}, -before.get(zone, 0))
        _add_pool(model, problem, pool, counts[pool])
    for zone in zones:
        zone_total = sum(before.get(zone, 0) for before in problem.counts.values())
        model.add_constraint(
            {counts[pool][zone]: 1.0 for pool in counts}, zone_total, zone_total
        )
    result = model.solve()
    if result.x is None:
        raise RuntimeError(result.message)
    counts_by_pool = {
        pool: {zone: round(result.x[column]) for zone, column in columns.items()}
        for pool, columns in counts.items()
    }
    waves = {
        pool: find_best_wave(problem, pool, counts_by_pool[pool])[1]
        for pool in counts_by_pool
    }
    return Sizing(
        counts=counts_by_pool,
        wave_sizes_by_pool=waves,
        cost=compute_cost(problem, counts_by_pool, waves),
    )


def _build_problems() -> t.Iterator[tuple[str, SizingProblem]]:
    examples = pathlib.Path(__file__).parents[2] / "examples"
    texts = {
        path.stem: path.read_text(encoding="utf-8")
        for path in sorted(examples.glob("*.ini"))
    }
    texts["planned-scale, share first"] = build_planned_text(SEED, (3, 1, 1, 4))
    texts["planned-scale, moves first"] = build_planned_text(SEED, (1, 4, 4, 1))
    for name, text in texts.items():
        configuration = parse_configuration(text)
        fleet = build_fleet(configuration, {}, InstanceList(0, 0, ()), 0)
        yield name, build_problem(configuration, fleet)


def main(arguments: list[str]) -> int:
    """Print one line for each problem and method.

    :param arguments: ``local``, ``milp`` or ``both``, which is the default.
    """
    selected_method = arguments[0] if arguments else "both"
    methods = {"local": choose_sizes, "milp": choose_sizes_by_milp}
    print(f"seed {SEED}")
    for name, problem in _build_problems():
        waves = {
            pool: find_best_wave(problem, pool, counts)[1]
            for pool, counts in problem.counts.items()
        }
        print(
            f"{name}: unchanged cost={compute_cost(problem, problem.counts, waves):.4f}"
        )
        for method, choose_sizes_by_method in methods.items():
            if selected_method not in (method, "both"):
                continue
            started_s = time.process_time()
            sizing = choose_sizes_by_method(problem)
            spent_s = time.process_time() - started_s
            moves = sum(
                max(0, count - problem.counts[pool].get(zone, 0))
                for pool, zones in sizing.counts.items()
                for zone, count in zones.items()
            )
            peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
            print(
                f"{name}: {method} cost={sizing.cost:.4f} moves={moves} "
                f"cpu_s={spent_s:.3f} peak_mb={peak_mb:.0f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Compares the product's local search with a mixed-integer model of pool sizes.

``python -m cranberrywheel_load.sizing_comparison local|milp|both`` prints cost,
processor time and peak memory; docs/planning.md has the decision. Memory counts only
when one of both runs alone.
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
from cranberrywheel_load.planned_scale import planned_text

SEED = 11
MILP_LIMIT_S = 60.0


class _Model:
    """Collects variables and rows of a mixed-integer model."""

    def __init__(self) -> None:
        self.costs: list[float] = []
        self.integral: list[int] = []
        self.upper: list[float] = []
        self.rows: list[tuple[dict[int, float], float, float]] = []

    def variable(self, cost: float = 0.0, integer: bool = False, upper=np.inf) -> int:
        self.costs.append(cost)
        self.integral.append(int(integer))
        self.upper.append(upper)
        return len(self.costs) - 1

    def row(self, terms: dict[int, float], low: float, high: float = np.inf) -> None:
        self.rows.append((terms, low, high))

    def solve(self) -> t.Any:
        # Imported here so that a run of the local search alone has its own memory.
        from scipy.optimize import Bounds, LinearConstraint, milp
        from scipy.sparse import coo_array

        entries = [
            (index, column, value)
            for index, (terms, _, _) in enumerate(self.rows)
            for column, value in terms.items()
        ]
        rows, columns, values = zip(*entries, strict=True)
        matrix = coo_array(
            (values, (rows, columns)), shape=(len(self.rows), len(self.costs))
        ).tocsr()
        return milp(
            np.array(self.costs),
            integrality=np.array(self.integral),
            bounds=Bounds(0, np.array(self.upper)),
            constraints=LinearConstraint(
                matrix, [r[1] for r in self.rows], [r[2] for r in self.rows]
            ),
            options={"time_limit": MILP_LIMIT_S, "mip_rel_gap": 0.001},
        )


def _add_pool(
    model: _Model, problem: SizingProblem, pool: str, counts: dict[str, int]
) -> None:
    """Add size, wave size, budget and cost of one pool.

    :param counts: variables of the pool's workers by zone.
    """
    weights, need = problem.weights, problem.demands_by_pool[pool]
    pools, size = len(problem.counts), problem.sizes_by_pool[pool]
    healthy = problem.min_healthy_by_pool[pool]
    out = {zone: model.variable() for zone in counts}
    waves = {
        k: model.variable(
            weights.rollout_time * math.ceil(size / k) / size / pools, True, 1
        )
        for k in range(1, max(2, size))
    }
    model.row(dict.fromkeys(waves.values(), 1.0), 1, 1)
    wave_terms = {column: -float(k) for k, column in waves.items()}
    model.row({**dict.fromkeys(out.values(), 1.0), **wave_terms}, 0, 0)
    total_terms = dict.fromkeys(counts.values(), 1.0)
    for lost in counts:
        left = {column: 1.0 for zone, column in counts.items() if zone != lost}
        model.row(left, healthy + 1)
        gone = {column: -1.0 for zone, column in out.items() if zone != lost}
        model.row({**left, **gone}, healthy)
        model.row({counts[lost]: 1.0, out[lost]: -1.0}, 0)
    if pool not in problem.spare_pools:
        idle = model.variable(weights.buffer_cost / problem.fleet_size)
        negated = dict.fromkeys(counts.values(), -1.0)
        model.row({idle: 1.0, **negated}, -need.mean_workers)
    if need.burst_workers:
        price = (
            weights.share
            * problem.importance_by_pool[pool]
            / pools
            / need.burst_workers
        )
        short = model.variable(price)
        model.row({short: 1.0, **total_terms, **wave_terms}, need.burst_workers)


def choose_sizes_by_milp(problem: SizingProblem) -> Sizing:
    """Choose pool sizes by a mixed-integer model; rounds use the present sizes."""
    model = _Model()
    zones = sorted({zone for zones in problem.counts.values() for zone in zones})
    counts: dict[str, dict[str, int]] = {}
    for pool, before in problem.counts.items():
        counts[pool] = {zone: model.variable(0, True) for zone in zones}
        for zone, column in counts[pool].items():
            moved_in = model.variable(problem.move_cost)
            model.row({moved_in: 1.0, column: -1.0}, -before.get(zone, 0))
        _add_pool(model, problem, pool, counts[pool])
    for zone in zones:
        here = sum(before.get(zone, 0) for before in problem.counts.values())
        model.row({counts[pool][zone]: 1.0 for pool in counts}, here, here)
    result = model.solve()
    if result.x is None:
        raise RuntimeError(result.message)
    found = {
        pool: {zone: round(result.x[c]) for zone, c in columns.items()}
        for pool, columns in counts.items()
    }
    waves = {pool: find_best_wave(problem, pool, found[pool])[1] for pool in found}
    return Sizing(
        counts=found,
        wave_sizes_by_pool=waves,
        cost=compute_cost(problem, found, waves),
    )


def _problems() -> t.Iterator[tuple[str, SizingProblem]]:
    examples = pathlib.Path(__file__).parents[2] / "examples"
    texts = {
        path.stem: path.read_text(encoding="utf-8")
        for path in sorted(examples.glob("*.ini"))
    }
    texts["planned-scale, share first"] = planned_text(SEED, (3, 1, 1, 4))
    texts["planned-scale, moves first"] = planned_text(SEED, (1, 4, 4, 1))
    for name, text in texts.items():
        configuration = parse_configuration(text)
        fleet = build_fleet(configuration, {}, InstanceList(0, 0, ()), 0)
        yield name, build_problem(configuration, fleet)


def main(arguments: list[str]) -> int:
    """Print one line for each problem and method."""
    wanted = arguments[0] if arguments else "both"
    methods = {"local": choose_sizes, "milp": choose_sizes_by_milp}
    print(f"seed {SEED}")
    for name, problem in _problems():
        waves = {p: find_best_wave(problem, p, z)[1] for p, z in problem.counts.items()}
        print(
            f"{name}: unchanged cost={compute_cost(problem, problem.counts, waves):.4f}"
        )
        for method, choose in methods.items():
            if wanted not in (method, "both"):
                continue
            started_s = time.process_time()
            sizing = choose(problem)
            spent_s = time.process_time() - started_s
            moves = sum(
                max(0, n - problem.counts[pool].get(zone, 0))
                for pool, zones in sizing.counts.items()
                for zone, n in zones.items()
            )
            peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
            print(
                f"{name}: {method} cost={sizing.cost:.4f} moves={moves} "
                f"cpu_s={spent_s:.3f} peak_mb={peak_mb:.0f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Simulates the fleet planner over a fortnight with faults drawn from a seed.

``python -m cranberrywheel_load.fortnight [--seed N] [--runs N] [--size today|planned]
[--tighter N]`` prints four metrics and the availability budget violations of the
planner and of a baseline, which maintains one worker at a time per pool and keeps the
declared pool sizes. It runs the planning functions in a loop over plan steps; requests,
networks and processes are not simulated.
"""

import argparse
import pathlib
import re
import sys
import typing as t

from cranberrywheel.clock import ManualClock
from cranberrywheel.process.capacity import (
    build_problem,
    compute_pool_demands,
    min_healthy_by_pool,
)
from cranberrywheel.process.fleet_model import Fleet, InstanceState, Plan, Sizing
from cranberrywheel.process.size_search import choose_sizes
from cranberrywheel.process.waves import is_maintenance_due, plan_round
from cranberrywheel.version.configuration import Configuration, parse_configuration
from cranberrywheel_load.fortnight_faults import FaultSchedule, build_schedule
from cranberrywheel_load.fortnight_fleet import SimulatedFleet
from cranberrywheel_load.fortnight_measures import FortnightMetrics
from cranberrywheel_load.planned_scale import build_planned_text

FORTNIGHT_MS = 14 * 24 * 3_600_000
#: Time between two plan steps. The instance list lags by up to one step, and a drain
#: reacts to changes only at a step.
STEP_MS_BY_SIZE = {"today": 2 * 60_000, "planned": 5 * 60_000}
#: Pool sizes are chosen anew every this many steps.
SIZING_INTERVAL_STEPS = 30

PlanningPolicy = t.Callable[[Configuration, Fleet, Sizing], Plan]


def plan_one_at_a_time(
    configuration: Configuration, fleet: Fleet, sizing: Sizing
) -> Plan:
    """Baseline policy: maintain one worker at a time per pool, never move workers."""
    busy_pools, take = set(), {}
    instances = fleet.instances_by_name.values()
    for instance in instances:
        if instance.assignment.state is not InstanceState.SERVING:
            busy_pools.add(instance.pool)
    for instance in instances:
        if (
            instance.pool not in busy_pools
            and instance.live
            and is_maintenance_due(configuration, instance.maintained_ms, fleet.now_ms)
        ):
            busy_pools.add(instance.pool)
            take[instance.name] = ""
    return Plan(sizing=sizing, take=take)


def run_fortnight(
    configuration: Configuration,
    schedule: FaultSchedule,
    policy: PlanningPolicy,
    step_ms: int,
    duration_ms: int = FORTNIGHT_MS,
) -> FortnightMetrics:
    """Simulate a fortnight, or a part of it.

    :param schedule: faults and batch jobs, the same for each policy.
    :param policy: returns the plan of each step.
    :param step_ms: time between two plan steps.
    :param duration_ms: simulated time.
    """
    clock = ManualClock()
    simulated_fleet = SimulatedFleet(configuration, schedule)
    demands_by_pool = compute_pool_demands(configuration, {})
    metrics = FortnightMetrics(
        configuration, demands_by_pool, min_healthy_by_pool(configuration)
    )
    sizing: Sizing | None = None
    for step in range(duration_ms // step_ms):
        now_ms = clock.now_ms()
        simulated_fleet.apply_faults(now_ms)
        fleet = simulated_fleet.build_fleet_view(now_ms)
        if sizing is None or step % SIZING_INTERVAL_STEPS == 0:
            sizing = choose_sizes(build_problem(configuration, fleet))
        if simulated_fleet.has_work(now_ms):
            simulated_fleet.apply_plan(policy(configuration, fleet, sizing), now_ms)
            simulated_fleet.advance_instances(now_ms)
        metrics.record_step(simulated_fleet, now_ms)
        clock.advance(step_ms)
    return metrics


def _load_texts(size: str, seed: int, tighter: int) -> dict[str, str]:
    """Return configuration texts by the name that is printed."""
    if size == "planned":
        return {"planned size": build_planned_text(seed, (2, 2, 2, 2))}
    examples = pathlib.Path(__file__).parents[2] / "examples"
    return {
        path.stem: re.sub(
            r"(?m)^min_healthy = (\d+)$",
            lambda match: f"min_healthy = {int(match[1]) + tighter}",
            path.read_text(encoding="utf-8"),
        )
        for path in sorted(examples.glob("*.ini"))
    }


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Print one line for each deployment, seed and policy.

    :returns: 1 if the planner violated a budget, otherwise 0.
    """
    parser = argparse.ArgumentParser(prog="python -m cranberrywheel_load.fortnight")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument("--size", choices=("today", "planned", "both"), default="both")
    parser.add_argument(
        "--tighter",
        type=int,
        default=0,
        help="workers added to each min_healthy of today's examples",
    )
    options = parser.parse_args(arguments)
    violations = 0
    policies: dict[str, PlanningPolicy] = {
        "planner": plan_round,
        "baseline": plan_one_at_a_time,
    }
    for size, step_ms in STEP_MS_BY_SIZE.items():
        if options.size not in (size, "both"):
            continue
        for seed in range(options.seed, options.seed + options.runs):
            for name, text in _load_texts(size, seed, options.tighter).items():
                configuration = parse_configuration(text)
                schedule = build_schedule(configuration, seed)
                for kind, policy in policies.items():
                    metrics = run_fortnight(configuration, schedule, policy, step_ms)
                    print(
                        f"{name} seed={seed} {kind}: {metrics.format_line()}",
                        flush=True,
                    )
                    if kind == "planner":
                        violations += metrics.violations
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs a seeded fortnight of plans through the pure decisions, with failures.

``python -m cranberrywheel_load.fortnight [--seed N] [--runs N] [--size today|planned]
[--tighter N]`` prints the four measures and the budget violations of the planner and
of a baseline: one worker at a time per pool, declared sizes as fixed buffers. It is one
bounded loop over plan steps; requests, networks and processes are not simulated.
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
from cranberrywheel_load.fortnight_measures import Measures
from cranberrywheel_load.fortnight_world import World
from cranberrywheel_load.planned_scale import planned_text

FORTNIGHT_MS = 14 * 24 * 3_600_000
#: The instance list lags by up to one step, and a step bounds a drain's reaction.
STEP_MS_BY_SIZE = {"today": 2 * 60_000, "planned": 5 * 60_000}
SIZING_STEPS = 30

Policy = t.Callable[[Configuration, Fleet, Sizing], Plan]


def plan_one_at_a_time(
    configuration: Configuration, fleet: Fleet, sizing: Sizing
) -> Plan:
    """Baseline: maintain one worker at a time per pool and never change sizes."""
    busy, take = set(), {}
    instances = fleet.instances_by_name.values()
    for instance in instances:
        if instance.assignment.state is not InstanceState.SERVING:
            busy.add(instance.pool)
    for instance in instances:
        if (
            instance.pool not in busy
            and instance.live
            and is_maintenance_due(configuration, instance.maintained_ms, fleet.now_ms)
        ):
            busy.add(instance.pool)
            take[instance.name] = ""
    return Plan(sizing=sizing, take=take)


def run_fortnight(
    configuration: Configuration,
    schedule: FaultSchedule,
    policy: Policy,
    step_ms: int,
    duration_ms: int = FORTNIGHT_MS,
) -> Measures:
    """Run one fortnight, or a part of it.

    :param schedule: failures, the same for each policy.
    :param policy: decides what each step starts.
    """
    clock = ManualClock()
    world = World(configuration, schedule)
    needs = compute_pool_demands(configuration, {})
    measures = Measures(configuration, needs, min_healthy_by_pool(configuration))
    sizing: Sizing | None = None
    for step in range(duration_ms // step_ms):
        now_ms = clock.now_ms()
        world.apply_faults(now_ms)
        fleet = world.fleet(now_ms)
        if sizing is None or step % SIZING_STEPS == 0:
            sizing = choose_sizes(build_problem(configuration, fleet))
        if world.has_work(now_ms):
            world.start(policy(configuration, fleet, sizing), now_ms)
            world.finish_steps(now_ms)
        measures.note(world, now_ms)
        clock.advance(step_ms)
    return measures


def _texts(size: str, seed: int, tighter: int) -> dict[str, str]:
    if size == "planned":
        return {"planned size": planned_text(seed, (2, 2, 2, 2))}
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
    policies: dict[str, Policy] = {
        "planner": plan_round,
        "baseline": plan_one_at_a_time,
    }
    for size, step_ms in STEP_MS_BY_SIZE.items():
        if options.size not in (size, "both"):
            continue
        for seed in range(options.seed, options.seed + options.runs):
            for name, text in _texts(size, seed, options.tighter).items():
                configuration = parse_configuration(text)
                schedule = build_schedule(configuration, seed)
                for kind, policy in policies.items():
                    found = run_fortnight(configuration, schedule, policy, step_ms)
                    print(f"{name} seed={seed} {kind}: {found.line()}", flush=True)
                    if kind == "planner":
                        violations += found.violations
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

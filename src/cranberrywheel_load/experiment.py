"""Experiment that runs the same load under each fault scenario and measures it."""

import concurrent.futures
import dataclasses
import pathlib
import random
import typing as t

from cranberrywheel_load.balancer import StandInBalancer
from cranberrywheel_load.cluster import Cluster
from cranberrywheel_load.cluster_plan import ClusterPlan
from cranberrywheel_load.configuration_reduction import reduce_configuration
from cranberrywheel_load.driver import LoadDriver, monotonic_ms
from cranberrywheel_load.faults import LEAVING_BOUND_MS, FaultRun, FaultScenario
from cranberrywheel_load.measures import (
    Figures,
    compute_figures,
    count_starts_after_failure,
    read_events,
)
from cranberrywheel_load.pattern import LoadPlan, plan_arrivals
from cranberrywheel_load.report import format_table, summarize, write_json
from cranberrywheel_spec.history_events import History

ZONE_COUNT = 3
WORKERS_PER_POOL = 3
#: Few, so that bursts saturate a pool but not the processors of the machine.
SLOTS_PER_WORKER = 2
#: Length of the store outage that the design covers, before scaling.
STORE_OUTAGE_S = 60.0
#: Settings of the quota leases in the design, before scaling.
SHORT_HOLD_MS = 150_000
SHORT_HOLD_MARGIN_MS = 30_000
LONG_HOLD_MS = 3_900_000
#: Time from the start of the load to the start of the fault.
FAULT_DELAY_S = 5.0
ANSWER_WAIT_MS = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExperimentPlan:
    """Parameters common to all scenarios.

    :param text: configuration text; it is reduced to fit on one machine.
    :param time_scale: factor on the store outage and the quota lease times.
    :param load: the load; its duration must cover the longest fault.
    :param folder: folder in which one folder for each scenario is created.
    """

    text: str
    time_scale: float
    load: LoadPlan
    seed: int
    folder: pathlib.Path

    @property
    def pause_s(self) -> float:
        """Return the pause of an entry instance, longer than a short quota lease."""
        return SHORT_HOLD_MS * self.time_scale / 1000 + 2


def build_cluster_plan(plan: ExperimentPlan, with_relays: bool) -> ClusterPlan:
    """Return the plan of a deployment with one entry instance in each zone."""
    text = reduce_configuration(
        plan.text, ZONE_COUNT, WORKERS_PER_POOL, SLOTS_PER_WORKER
    )
    lines = [x for x in text.splitlines() if x.startswith("[zone ")]
    quota_lease_settings = {
        "short_hold_ms": round(SHORT_HOLD_MS * plan.time_scale),
        "short_hold_margin_ms": round(SHORT_HOLD_MARGIN_MS * plan.time_scale),
        "long_hold_ms": round(LONG_HOLD_MS * plan.time_scale),
    }
    return ClusterPlan(
        text=text,
        entry_zones=tuple(line[6:-1] for line in lines),
        entry_settings={"limits": quota_lease_settings},
        with_relays=with_relays,
    )


def prepare_cluster(cluster: Cluster) -> dict[str, str]:
    """Apply the configuration, create a key for each team and wait for readiness.

    :returns: whole keys by team.
    """
    cluster.apply_configuration(cluster.plan.text)
    keys = cluster.grant_keys()
    for name in cluster.endpoints:
        cluster.wait_until_ready(name)
    cluster.wait_for_quota_units()
    return keys


def run_scenario(plan: ExperimentPlan, scenario: FaultScenario) -> Figures:
    """Run the load under one fault scenario and return its metrics."""
    folder = plan.folder / scenario.name.replace(" ", "-")
    folder.mkdir(parents=True)
    rng = random.Random(plan.seed)
    with Cluster(build_cluster_plan(plan, scenario.needs_relays), folder) as cluster:
        cluster.history.write("meta", seed=plan.seed)
        keys = prepare_cluster(cluster)
        fault = FaultRun(cluster, STORE_OUTAGE_S * plan.time_scale, plan.pause_s)
        arrivals = plan_arrivals(cluster.configuration, plan.load, rng)
        cancellation_times_ms = (
            range(1_000, plan.load.duration_ms, 2_000)
            if scenario.cancels_in_waves
            else ()
        )
        with (
            StandInBalancer(cluster.entry_urls(), rng) as balancer,
            concurrent.futures.ThreadPoolExecutor(1) as pool,
        ):
            driver = LoadDriver(
                balancer.choose, cluster.configuration, keys, rng, cluster.history
            )
            script_future = pool.submit(_run_fault_script, scenario, fault)
            end_ms = monotonic_ms() + plan.load.duration_ms + ANSWER_WAIT_MS
            driver.run(arrivals, end_ms, cancellation_times_ms)
            fault.ended.set()
            script_future.result()
    write_json(str(folder / "calls.json"), summarize(driver.results), driver.results)
    events = read_events(folder)
    late_work = 0
    if fault.failing:
        worker, since_ms = fault.failing
        late_work = count_starts_after_failure(
            History(events), worker, since_ms, LEAVING_BOUND_MS
        )
    return compute_figures(
        events, driver.results, cluster.configuration, fault.stops, late_work
    )


def _run_fault_script(scenario: FaultScenario, fault: FaultRun) -> None:
    fault.wait(FAULT_DELAY_S)
    scenario.script(fault)


TABLE_HEADER = (
    "fault",
    "useful/offered",
    "closeness",
    "urgent p50",
    "urgent p99",
    "urgent max",
    "runs/ticket",
    "over limit",
    "false not-run",
    "cut by stops",
    "late work",
    "violations",
)


def build_figures_row(name: str, figures: Figures) -> list[t.Any]:
    """Return the cells of one scenario's table row."""
    return [
        name,
        figures.useful,
        figures.closeness,
        figures.urgent_ms["p50"],
        figures.urgent_ms["p99"],
        figures.urgent_ms["max"],
        figures.runs_per_ticket,
        ",".join(figures.over_limit) or "none",
        figures.false_not_run,
        figures.cut,
        figures.late_work,
        len(figures.violations),
    ]


def run_experiment(
    plan: ExperimentPlan,
    scenarios: t.Sequence[FaultScenario],
    print_line: t.Callable[[str], None],
) -> dict[str, Figures]:
    """Run scenarios one after the other and print a table of their metrics.

    :param print_line: function that prints one line.
    :returns: metrics by scenario name.
    """
    print_line(
        f"seed={plan.seed} time_scale={plan.time_scale:.4g} "
        f"outage_s={STORE_OUTAGE_S * plan.time_scale:g} pause_s={plan.pause_s:g} "
        f"short_hold_ms={round(SHORT_HOLD_MS * plan.time_scale)}"
    )
    figures_by_scenario = {}
    for scenario in scenarios:
        figures = figures_by_scenario[scenario.name] = run_scenario(plan, scenario)
        print_line(f"done: {scenario.name}; greatest running counts: {figures.peak}")
        for violation in figures.violations:
            print_line(f"  {violation}")
    table = [
        build_figures_row(name, figures)
        for name, figures in figures_by_scenario.items()
    ]
    print_line(format_table(TABLE_HEADER, table))
    return figures_by_scenario

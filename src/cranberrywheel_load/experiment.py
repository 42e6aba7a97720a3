"""Runs the same load under each fault and measures it from the histories."""

import concurrent.futures
import dataclasses
import pathlib
import random
import typing as t

from cranberrywheel_load.balancer import Balancer
from cranberrywheel_load.cluster import Cluster
from cranberrywheel_load.cluster_plan import ClusterPlan
from cranberrywheel_load.driver import LoadDriver, monotonic_ms
from cranberrywheel_load.faults import LEAVING_BOUND_MS, FaultRun, Row
from cranberrywheel_load.measures import (
    Figures,
    measure,
    read_events,
    starts_after_failure,
)
from cranberrywheel_load.pattern import LoadPlan, plan_arrivals
from cranberrywheel_load.report import format_table, summarize, write_json
from cranberrywheel_load.texts import reduce_text
from cranberrywheel_spec.history_events import History

ZONES = 3
WORKERS_PER_POOL = 3
#: few, so that bursts fill a pool without filling the processors of the machine.
SLOTS = 2
#: the store outage of the design, and its short hold time.
OUTAGE_S = 60.0
SHORT_HOLD_MS = 150_000
SHORT_HOLD_MARGIN_MS = 30_000
LONG_HOLD_MS = 3_900_000
#: part of the run before the fault begins.
FAULT_START_S = 5.0
ANSWER_WAIT_MS = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExperimentPlan:
    """What all rows have in common.

    :param text: an operators' text; it is reduced to one machine.
    :param time_scale: factor on the store outage and the hold times.
    :param load: the load; its duration must cover the longest fault.
    :param folder: gets one folder for each row.
    """

    text: str
    time_scale: float
    load: LoadPlan
    seed: int
    folder: pathlib.Path

    @property
    def pause_s(self) -> float:
        """Return a pause that is longer than the short hold."""
        return SHORT_HOLD_MS * self.time_scale / 1000 + 2


def cluster_plan(plan: ExperimentPlan, with_relays: bool) -> ClusterPlan:
    """Return a deployment with one entry instance in each zone."""
    text = reduce_text(plan.text, ZONES, WORKERS_PER_POOL, SLOTS)
    lines = [x for x in text.splitlines() if x.startswith("[zone ")]
    holds = {
        "short_hold_ms": round(SHORT_HOLD_MS * plan.time_scale),
        "short_hold_margin_ms": round(SHORT_HOLD_MARGIN_MS * plan.time_scale),
        "long_hold_ms": round(LONG_HOLD_MS * plan.time_scale),
    }
    return ClusterPlan(
        text=text,
        entry_zones=tuple(line[6:-1] for line in lines),
        entry_settings={"limits": holds},
        with_relays=with_relays,
    )


def prepare(cluster: Cluster) -> dict[str, str]:
    """Apply the text and grant a key to each team.

    :returns: whole keys by team.
    """
    cluster.apply_text(cluster.plan.text)
    keys = cluster.grant_keys()
    for name in cluster.places:
        cluster.wait_ready(name)
    cluster.wait_units()
    return keys


def run_row(plan: ExperimentPlan, row: Row) -> Figures:
    """Run the load under one fault and measure it."""
    folder = plan.folder / row.name.replace(" ", "-")
    folder.mkdir(parents=True)
    rng = random.Random(plan.seed)
    with Cluster(cluster_plan(plan, row.partitions), folder) as cluster:
        cluster.history.write("meta", seed=plan.seed)
        keys = prepare(cluster)
        fault = FaultRun(cluster, OUTAGE_S * plan.time_scale, plan.pause_s)
        arrivals = plan_arrivals(cluster.configuration, plan.load, rng)
        waves = range(1_000, plan.load.duration_ms, 2_000) if row.waves else ()
        with (
            Balancer(cluster.entry_urls(), rng) as balancer,
            concurrent.futures.ThreadPoolExecutor(1) as pool,
        ):
            driver = LoadDriver(
                balancer.choose, cluster.configuration, keys, rng, cluster.history
            )
            script = pool.submit(_run_fault, row, fault)
            end_ms = monotonic_ms() + plan.load.duration_ms + ANSWER_WAIT_MS
            driver.run(arrivals, end_ms, waves)
            fault.ended.set()
            script.result()
    write_json(str(folder / "calls.json"), summarize(driver.results), driver.results)
    events = read_events(folder)
    late_work = 0
    if fault.failing:
        worker, since_ms = fault.failing
        late_work = starts_after_failure(
            History(events), worker, since_ms, LEAVING_BOUND_MS
        )
    return measure(
        events, driver.results, cluster.configuration, fault.stops, late_work
    )


def _run_fault(row: Row, fault: FaultRun) -> None:
    fault.wait(FAULT_START_S)
    row.script(fault)


HEADER = (
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


def figures_row(name: str, figures: Figures) -> list[t.Any]:
    """Return one line of the table."""
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
    plan: ExperimentPlan, rows: t.Sequence[Row], show: t.Callable[[str], None]
) -> dict[str, Figures]:
    """Run all rows, one after the other, and print a table.

    :param show: prints one line.
    """
    show(
        f"seed={plan.seed} time_scale={plan.time_scale:.4g} "
        f"outage_s={OUTAGE_S * plan.time_scale:g} pause_s={plan.pause_s:g} "
        f"short_hold_ms={round(SHORT_HOLD_MS * plan.time_scale)}"
    )
    figures_by_row = {}
    for row in rows:
        figures = figures_by_row[row.name] = run_row(plan, row)
        show(f"done: {row.name}; greatest running counts: {figures.peak}")
        for violation in figures.violations:
            show(f"  {violation}")
    table = [figures_row(name, figures) for name, figures in figures_by_row.items()]
    show(format_table(HEADER, table))
    return figures_by_row

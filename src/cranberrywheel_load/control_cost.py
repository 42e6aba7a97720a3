"""Measures the control cost of entry instances without callers, and how it grows.

``python -m cranberrywheel_load.control_cost`` with ``--seconds`` and ``--sizes``
starts entry processes on loopback, one per availability zone in turn, lets them
run idle and prints per entry: processor time, memory, bytes per second to peers and to
the platform, and the store calls per second of all entries. Workers exist only in
the platform's instance list, because an idle entry does not contact them. Then it
prints a least-squares line for each series with the standard error of the slope.
"""

import argparse
import dataclasses
import math
import os
import pathlib
import tempfile
import time
import typing as t

from cranberrywheel_load.cluster import Cluster
from cranberrywheel_load.cluster_plan import ClusterPlan
from cranberrywheel_standin.http_call import call_json

#: Time in which 14 entries divide the quota units, which takes many writes, and reach
#: a steady state.
STABILIZATION_S = 18.0
POOLS = 5
#: Sizes (entries, workers, teams) of each series.
SERIES = {
    "entries": [(2, 40, 6), (4, 40, 6), (7, 40, 6), (14, 40, 6)],
    "workers": [(4, 40, 6), (4, 500, 6), (4, 2_000, 6)],
    "teams": [(4, 40, 6), (4, 40, 24), (4, 40, 51)],
}
#: Position in the sizes of the value that a series varies.
SIZE_INDEX_BY_SERIES = {"entries": 0, "workers": 1, "teams": 2}


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlCost:
    """Cost per entry, except ``store_calls_s``, which counts the calls of all entries.

    :param core_percent: processor time in percent of one core.
    :param memory_mb: resident memory in MB (10^6 bytes).
    :param peer_bytes_s: payload bytes per second sent to and received from peers.
    :param platform_bytes_s: payload bytes per second to and from the platform.
    :param store_calls_s: store calls per second.
    """

    core_percent: float
    memory_mb: float
    peer_bytes_s: float
    platform_bytes_s: float
    store_calls_s: float


def build_sized_text(zones: int, workers: int, teams: int) -> str:
    """Return a configuration text of a given size.

    :param zones: number of availability zones.
    :param workers: number of workers in all pools together.
    :param teams: number of teams, each with an equal share.
    """
    lines = ["[deployment]", "name = control-cost"]
    lines += [f"[zone z{zone}]" for zone in range(zones)]
    for pool in range(POOLS):
        names = ", ".join(
            f"w{worker}@z{worker // POOLS % zones}/r{worker // POOLS % zones}"
            for worker in range(pool, workers, POOLS)
        )
        lines += [f"[pool p{pool}]", f"workers = {names}", "cores = 32"]
        lines += ["memory_mb = 131072", f"[service s{pool}]", f"pool = p{pool}"]
        lines += ["min_healthy = 1", f"[queue q{pool}]", f"service = s{pool}"]
    for team in range(teams):
        lines += [f"[team t{team}]", f"share = {0.99 / teams:.4f}", "limit = 140"]
    return "\n".join(lines) + "\n"


class _IdleCluster(Cluster):
    """A cluster whose workers exist only in the instance list."""

    def _start_workers(self) -> None:
        for worker in self.configuration.workers_by_name.values():
            row = {
                "kind": "worker",
                "zone": worker.zone,
                "rack": worker.rack,
                "address": "127.0.0.1:9",
                "cores": worker.cores,
                "memory_mb": worker.memory_mb,
            }
            call_json("PUT", f"{self.platform_url}/v1/instances/{worker.name}", row)


def _read_processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _read_memory_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _count_store_calls(cluster: Cluster) -> int:
    counters = call_json("GET", f"{cluster.platform_url}/v1/counters")[1]
    return sum(t.cast(dict[str, int], counters).values())


class ControlCostMeter:
    """Measures the entry processes of a cluster, from the creation of the meter.

    Peer and platform traffic is counted by the cluster's relays. Calls to workers of
    other zones also pass relays, but count as neither.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pids = [cluster.processes[name].pid for name in cluster.endpoints]
        self._totals_at_start = self._read_totals()

    def _read_totals(self) -> tuple[float, float, int, int, int]:
        peer_ports = {
            endpoint.peer_port for endpoint in self._cluster.endpoints.values()
        }
        platform_port = int(self._cluster.platform_url.rpartition(":")[2])
        relayed_bytes = self._cluster.get_relayed_bytes()
        return (
            time.monotonic(),
            sum(map(_read_processor_s, self._pids)),
            sum(count for port, count in relayed_bytes.items() if port in peer_ports),
            relayed_bytes.get(platform_port, 0),
            _count_store_calls(self._cluster),
        )

    def compute_cost(self) -> ControlCost:
        """Return the mean cost since the creation of the meter."""
        elapsed_s, processor_s, peer_bytes, platform_bytes, calls = (
            end - start
            for start, end in zip(
                self._totals_at_start, self._read_totals(), strict=True
            )
        )
        entries = len(self._pids)
        return ControlCost(
            core_percent=100 * processor_s / elapsed_s / entries,
            memory_mb=sum(map(_read_memory_mb, self._pids)) / entries,
            # An exchange costs both the calling and the answering entry its bytes.
            peer_bytes_s=2 * peer_bytes / elapsed_s / entries,
            platform_bytes_s=platform_bytes / elapsed_s / entries,
            store_calls_s=calls / elapsed_s,
        )


def measure(
    entries: int, workers: int, teams: int, seconds: float, interval_ms: int
) -> ControlCost:
    """Run entry instances without callers and measure their control cost.

    :param seconds: length of the measurement, after the stabilization.
    :param interval_ms: time between two exchanges with peers.
    """
    zones = min(entries, 4)
    text = build_sized_text(zones, workers, teams)
    plan = ClusterPlan(
        text=text,
        entry_zones=tuple(f"z{i % zones}" for i in range(entries)),
        entry_settings={"entry": {"exchange_interval_ms": interval_ms}},
        with_relays=True,
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        _IdleCluster(plan, pathlib.Path(folder)) as cluster,
    ):
        cluster.apply_configuration(text)
        time.sleep(STABILIZATION_S)
        meter = ControlCostMeter(cluster)
        time.sleep(seconds)
        return meter.compute_cost()


def fit_line(points: t.Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Fit a line by least squares.

    :param points: at least three (x, y) pairs.
    :returns: intercept (value at x = 0), slope, standard error of the slope.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
    intercept = mean_y - slope * mean_x
    squared_residuals = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return (
        intercept,
        slope,
        math.sqrt(squared_residuals / (count - 2) / squared_deviations),
    )


def main(arguments: t.Sequence[str] | None = None) -> None:
    """Measure the selected series; print the costs and the fitted lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--interval-ms", type=int, default=500)
    parser.add_argument("--sizes", choices=(*SERIES, "all"), default="all")
    options = parser.parse_args(arguments)
    for series in SERIES if options.sizes == "all" else (options.sizes,):
        costs = [
            measure(*size, options.seconds, options.interval_ms)
            for size in SERIES[series]
        ]
        for size, cost in zip(SERIES[series], costs, strict=True):
            costs_by_name = dataclasses.asdict(cost).items()
            values = " ".join(f"{name}={value:.2f}" for name, value in costs_by_name)
            print("entries={} workers={} teams={}".format(*size), values, flush=True)
        for field in dataclasses.fields(ControlCost):
            points = [
                (size[SIZE_INDEX_BY_SERIES[series]], getattr(cost, field.name))
                for size, cost in zip(SERIES[series], costs, strict=True)
            ]
            intercept, slope, error = fit_line(points)
            print(
                f"  {field.name}: {intercept:.2f} + {slope:.4f} +- {error:.4f}"
                f" x {series}"
            )


if __name__ == "__main__":
    main()

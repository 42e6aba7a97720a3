"""Control cost of entry instances without callers, and how it grows.

``python -m cranberrywheel_load.control_cost`` with ``--seconds`` and ``--sizes``
starts entry processes on loopback, one per availability zone in turn, lets them
idle and prints per entry: processor share, memory, bytes a second to peers and to
the platform, and the store calls a second of the whole fleet. Workers exist only in
the platform's instance list, because an idle entry does not talk to them. Then it
prints a least-squares slope for each series with the standard error of the slope.
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

#: Time in which 14 entries divide the units, which takes many writes, and settle.
SETTLE_S = 18.0
POOLS = 5
#: (entries, workers, teams) of each series.
SERIES = {
    "entries": [(2, 40, 6), (4, 40, 6), (7, 40, 6), (14, 40, 6)],
    "workers": [(4, 40, 6), (4, 500, 6), (4, 2_000, 6)],
    "teams": [(4, 40, 6), (4, 40, 24), (4, 40, 51)],
}
AXES = {"entries": 0, "workers": 1, "teams": 2}


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlCost:
    """Cost per entry, except ``store_calls_s``, which counts the whole fleet.

    :param core_percent: processor time in percent of one core.
    :param memory_mb: resident memory.
    :param peer_bytes_s: payload bytes sent to and received from peers.
    :param platform_bytes_s: payload bytes to and from the platform.
    """

    core_percent: float
    memory_mb: float
    peer_bytes_s: float
    platform_bytes_s: float
    store_calls_s: float


def sized_text(zones: int, workers: int, teams: int) -> str:
    """Return an operators' text of a given size.

    :param zones: availability zones.
    :param workers: workers over all pools.
    :param teams: teams, each with an equal share.
    """
    lines = ["[deployment]", "name = control-cost"]
    lines += [f"[zone z{z}]" for z in range(zones)]
    for pool in range(POOLS):
        names = ", ".join(
            f"w{w}@z{w // POOLS % zones}/r{w // POOLS % zones}"
            for w in range(pool, workers, POOLS)
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


def _processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _store_calls(cluster: Cluster) -> int:
    counters = call_json("GET", f"{cluster.platform_url}/v1/counters")[1]
    return sum(t.cast(dict[str, int], counters).values())


class ControlReader:
    """Measures the entry processes of a cluster from its creation on.

    Peer and platform traffic is what passes the cluster's relays; calls to workers
    of other zones pass relays too and count as neither.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pids = [cluster.processes[name].pid for name in cluster.endpoints]
        self._before = self._read()

    def _read(self) -> tuple[float, float, int, int, int]:
        peer_ports = {
            endpoint.peer_port for endpoint in self._cluster.endpoints.values()
        }
        platform_port = int(self._cluster.platform_url.rpartition(":")[2])
        relayed_bytes = self._cluster.get_relayed_bytes()
        return (
            time.monotonic(),
            sum(map(_processor_s, self._pids)),
            sum(n for port, n in relayed_bytes.items() if port in peer_ports),
            relayed_bytes.get(platform_port, 0),
            _store_calls(self._cluster),
        )

    def cost(self) -> ControlCost:
        """Return the mean cost since the creation."""
        length_s, processor_s, peer, platform, calls = (
            b - a for a, b in zip(self._before, self._read(), strict=True)
        )
        entries = len(self._pids)
        return ControlCost(
            core_percent=100 * processor_s / length_s / entries,
            memory_mb=sum(map(_memory_mb, self._pids)) / entries,
            # Each exchange is paid by the entry that asks and by the one that answers.
            peer_bytes_s=2 * peer / length_s / entries,
            platform_bytes_s=platform / length_s / entries,
            store_calls_s=calls / length_s,
        )


def measure(
    entries: int, workers: int, teams: int, seconds: float, interval_ms: int
) -> ControlCost:
    """Run entry instances without callers and measure their control cost.

    :param interval_ms: time between two exchanges with peers.
    :param seconds: length of the measurement after the start has settled.
    """
    zones = min(entries, 4)
    text = sized_text(zones, workers, teams)
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
        time.sleep(SETTLE_S)
        reader = ControlReader(cluster)
        time.sleep(seconds)
        return reader.cost()


def fit(points: t.Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Fit a line by least squares.

    :param points: at least three (x, y) pairs.
    :returns: value at x = 0, slope, standard error of the slope.
    """
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    rest = sum((y - start - slope * x) ** 2 for x, y in points)
    return start, slope, math.sqrt(rest / (n - 2) / spread)


def main(arguments: t.Sequence[str] | None = None) -> None:
    """Measure the chosen series and print figures and slopes."""
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
            figures = dataclasses.asdict(cost).items()
            values = " ".join(f"{name}={value:.2f}" for name, value in figures)
            print("entries={} workers={} teams={}".format(*size), values, flush=True)
        for field in dataclasses.fields(ControlCost):
            points = [
                (size[AXES[series]], getattr(cost, field.name))
                for size, cost in zip(SERIES[series], costs, strict=True)
            ]
            start, slope, error = fit(points)
            print(
                f"  {field.name}: {start:.2f} + {slope:.4f} +- {error:.4f} x {series}"
            )


if __name__ == "__main__":
    main()

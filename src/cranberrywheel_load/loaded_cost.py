"""Cost of an entry instance with callers, and its slope per call.

``python -m cranberrywheel_load.loaded_cost`` starts seven entry processes and the
workers of examples/kayis-birligi.ini on loopback, sends calls at several scales of
the text's mean rates, and prints processor time, memory and traffic per entry. The
value at no calls is the control cost; the slope is the cost of a call.
"""

import argparse
import pathlib
import random
import tempfile
import time
import typing as t

from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel_load.cluster import Cluster
from cranberrywheel_load.cluster_plan import ClusterPlan
from cranberrywheel_load.control_cost import ControlReader, fit
from cranberrywheel_load.driver import LoadDriver, monotonic_ms
from cranberrywheel_load.pattern import LoadPlan, plan_arrivals
from cranberrywheel_standin.history import HistoryWriter

ENTRIES = 7
SCALES = (0.02, 0.1, 0.2, 0.3)
SEED = 5
TEXT = pathlib.Path("examples/kayis-birligi.ini")


def _drive(cluster: Cluster, seconds: float, scale: float) -> int:
    """Send the calls of one plan; returns their number."""
    rng = random.Random(SEED)
    configuration = parse_configuration(cluster.plan.text)
    keys = cluster.grant_keys()
    plan = LoadPlan(duration_ms=round(seconds * 1000), scale=scale)
    arrivals = plan_arrivals(configuration, plan, rng)
    urls = cluster.entry_urls()
    driver = LoadDriver(
        lambda: rng.choice(urls), configuration, keys, rng, HistoryWriter("")
    )
    driver.run(arrivals, monotonic_ms() + plan.duration_ms)
    return len(arrivals)


def measure_loaded(scale: float, seconds: float) -> tuple[float, t.Any]:
    """Run entry instances with callers.

    :param scale: factor on the mean rates of the text.
    :returns: calls a second per entry, and the cost.
    """
    text = TEXT.read_text()
    zones = list(parse_configuration(text).regions_by_zone)
    plan = ClusterPlan(
        text=text,
        entry_zones=tuple(zones[i % len(zones)] for i in range(ENTRIES)),
        with_relays=True,
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(plan, pathlib.Path(folder)) as cluster,
    ):
        cluster.apply_configuration(text)
        time.sleep(10)
        reader = ControlReader(cluster)
        calls = _drive(cluster, seconds, scale)
        cost = reader.cost()
    return calls / seconds / ENTRIES, cost


def main(arguments: t.Sequence[str] | None = None) -> None:
    """Measure each scale and print figures and the slope per call."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args(arguments)
    points = []
    print(f"seed={SEED} entries={ENTRIES}")
    for scale in SCALES:
        rate, cost = measure_loaded(scale, options.seconds)
        points.append((rate, cost.core_percent))
        print(f"calls_per_s={rate:.2f} {cost}", flush=True)
    start, slope, error = fit(points)
    print(f"core_percent: {start:.2f} + {slope:.4f} +- {error:.4f} x calls a second")


if __name__ == "__main__":
    main()

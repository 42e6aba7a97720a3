"""Measures the cost of an entry instance with callers, and the cost per call.

``python -m cranberrywheel_load.loaded_cost`` starts seven entry processes and the
workers of examples/kayis-birligi.ini on loopback, sends calls at several fractions of
the text's mean rates, and prints processor time, memory and traffic per entry. The
fitted value at zero calls is the control cost; the slope is the cost of a call.
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
from cranberrywheel_load.control_cost import ControlCostMeter, fit_line
from cranberrywheel_load.driver import LoadDriver, monotonic_ms
from cranberrywheel_load.pattern import LoadPlan, plan_arrivals
from cranberrywheel_standin.history import HistoryWriter

ENTRY_COUNT = 7
#: Factors on the mean rates of the text.
RATE_SCALES = (0.02, 0.1, 0.2, 0.3)
SEED = 5
TEXT_PATH = pathlib.Path("examples/kayis-birligi.ini")


def _send_calls(cluster: Cluster, seconds: float, scale: float) -> int:
    """Send calls at a factor on the mean rates; return their number."""
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
    :param seconds: length of the load.
    :returns: calls per second and entry, and the cost.
    """
    text = TEXT_PATH.read_text()
    zones = list(parse_configuration(text).regions_by_zone)
    plan = ClusterPlan(
        text=text,
        entry_zones=tuple(zones[number % len(zones)] for number in range(ENTRY_COUNT)),
        with_relays=True,
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(plan, pathlib.Path(folder)) as cluster,
    ):
        cluster.apply_configuration(text)
        time.sleep(10)
        meter = ControlCostMeter(cluster)
        calls = _send_calls(cluster, seconds, scale)
        cost = meter.compute_cost()
    return calls / seconds / ENTRY_COUNT, cost


def main(arguments: t.Sequence[str] | None = None) -> None:
    """Measure each rate; print the costs and the processor time per call."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args(arguments)
    points = []
    print(f"seed={SEED} entries={ENTRY_COUNT}")
    for scale in RATE_SCALES:
        rate, cost = measure_loaded(scale, options.seconds)
        points.append((rate, cost.core_percent))
        print(f"calls_per_s={rate:.2f} {cost}", flush=True)
    intercept, slope, error = fit_line(points)
    print(
        f"core_percent: {intercept:.2f} + {slope:.4f} +- {error:.4f} x calls a second"
    )


if __name__ == "__main__":
    main()

"""Metrics of images that disturb each other."""

import math

from interference_fixtures import know

from cranberrywheel.node.metrics import Metrics
from cranberrywheel.submission.interference import (
    LISTED_PAIRS,
    InterferenceEstimates,
    advance,
)


def test_metrics_list_a_bounded_number_of_pairs():
    """Guards against one time series for each pair that ever existed."""
    estimates = InterferenceEstimates()
    for number in range(3 * LISTED_PAIRS):
        pair = know(estimates, "web", f"batch-{number}", 0.3 + number / 100)
        pair.effect_by_witness = {"x": (0.3, 10**9), "y": (0.3, 10**9)}
        pair.slowed = number
    metrics = Metrics()
    current = []
    metrics.collect_interference(lambda: current[0] if current else None)
    assert b'disturbed="' not in metrics.render()
    current.append(estimates)
    advance(estimates, 2_000)
    lines = metrics.render().decode().splitlines()
    ratios = [line for line in lines if "interference_ratio{" in line]
    assert len(ratios) == LISTED_PAIRS
    worst = 'disturbed="web",disturbing="batch-29"'
    value = next(line.split()[-1] for line in ratios if worst in line)
    assert math.isclose(float(value), math.exp(0.59))
    assert any(
        'action="slowed"' in line and worst in line and line.endswith("29.0")
        for line in lines
    )

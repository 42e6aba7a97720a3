"""Tables and JSON reports of call results."""

import collections
import dataclasses
import json
import pathlib
import typing as t

from ddsketch import DDSketch

from cranberrywheel_load.driver import CallResult

#: Largest relative error of a percentile.
RELATIVE_ACCURACY = 0.001
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def compute_percentiles(values_ms: t.Iterable[float]) -> dict[str, float]:
    """Return count, percentiles and maximum of durations in milliseconds."""
    sketch = DDSketch(RELATIVE_ACCURACY)
    highest_ms = 0
    for value in values_ms:
        rounded_ms = max(round(value), 1)
        highest_ms = max(highest_ms, rounded_ms)
        sketch.add(rounded_ms)
    by_percentile = {
        f"p{p:g}": round(sketch.get_quantile_value(p / 100) or 0) for p in PERCENTILES
    }
    return {"count": round(sketch.count), **by_percentile, "max": highest_ms}


def compute_useful_fraction(results: t.Sequence[CallResult]) -> float:
    """Return the run time of work answered ``ok`` divided by the requested run time.

    Calls that their caller cancels are ignored, and work that was sent several times
    counts once.
    """
    offered = {r.work: r.run_ms for r in results if r.wanted}
    done = {r.work: r.run_ms for r in results if r.wanted and r.outcome == "ok"}
    return sum(done.values()) / max(sum(offered.values()), 1)


def summarize(results: t.Sequence[CallResult]) -> dict[str, t.Any]:
    """Return the useful fraction, and the counts and latencies of each queue."""
    by_queue: dict[str, list[CallResult]] = collections.defaultdict(list)
    for result in results:
        by_queue[result.queue].append(result)
    rows = {}
    for queue, queue_results in sorted(by_queue.items()):
        answered = [r.done_ms - r.sent_ms for r in queue_results if r.outcome == "ok"]
        kinds = collections.Counter(r.kind for r in queue_results if r.kind)
        rows[queue] = {
            "calls": len(queue_results),
            "outcomes": dict(collections.Counter(r.outcome for r in queue_results)),
            "kinds": dict(kinds),
            "latency_ms": compute_percentiles(answered),
        }
    return {"useful_over_offered": compute_useful_fraction(results), "queues": rows}


def format_table(header: t.Sequence[str], rows: t.Iterable[t.Sequence[t.Any]]) -> str:
    """Return a table with aligned columns; floats are rounded to three decimals."""
    texts = [
        [f"{cell:.3f}" if isinstance(cell, float) else str(cell) for cell in row]
        for row in rows
    ]
    widths = [
        max(len(row[i]) for row in [list(header), *texts]) for i in range(len(header))
    ]
    lines = [list(header), *texts]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_queue_table(summary: t.Mapping[str, t.Any]) -> str:
    """Return a summary as a table with one row for each queue."""
    outcomes = ("ok", "failed", "unknown", "not-run", "broken", "cancelled")
    rows = [
        [
            queue,
            row["calls"],
            *(row["outcomes"].get(outcome, 0) for outcome in outcomes),
            *(row["latency_ms"][p] for p in ("p50", "p99", "max")),
        ]
        for queue, row in summary["queues"].items()
    ]
    return format_table(["queue", "calls", *outcomes, "p50", "p99", "max"], rows)


def write_json(
    path: str, summary: t.Mapping[str, t.Any], results: t.Sequence[CallResult] = ()
) -> None:
    """Write a summary and the call results as JSON."""
    calls = [dataclasses.asdict(result) for result in results]
    pathlib.Path(path).write_text(json.dumps({**summary, "calls": calls}, indent=1))

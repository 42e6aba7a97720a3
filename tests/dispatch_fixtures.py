"""Requests and worker rows shared by the tests of the dispatch modules."""

import dataclasses

from cranberrywheel_load.decision_cost import SEED, make_request, make_workers

__all__ = ["SEED", "request", "rows"]


def request(request_id="r", team="a", arrived_ms=0, **changes):
    changes = {"urgent": False, "deadline_ms": arrived_ms + 10_000} | changes
    return make_request(0, team, arrived_ms, request_id=request_id, **changes)


def rows(count, **changes):
    """Build rows of workers w0, w1, ... of pool p in zones z0, z1, racks r0 to r3."""
    return [
        dataclasses.replace(
            row, **{"name": f"w{n}", "zone": f"z{n % 2}", "rack": f"r{n % 4}"} | changes
        )
        for n, row in enumerate(make_workers(count, "p"))
    ]

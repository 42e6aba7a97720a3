"""Values shared by the tests of the decision modules."""

from cranberrywheel.process.worker_table import WorkerRow
from cranberrywheel.request.model import Request

SEED = 20_261_204


def request(request_id="r", team="a", arrived_ms=0, **changes):
    values = {
        "request_id": request_id,
        "queue": "q",
        "service": "s",
        "team": team,
        "body": b"",
        "content_type": "",
        "arrived_ms": arrived_ms,
        "deadline_ms": arrived_ms + 10_000,
        "idempotent": True,
        "urgent": False,
    }
    return Request(**(values | changes))


def rows(count, zones=2, slots=8, pool="p", **changes):
    return [
        WorkerRow(
            **{
                "name": f"w{number}",
                "address": f"127.0.0.1:{number}",
                "zone": f"z{number % zones}",
                "rack": f"r{number % 4}",
                "pool": pool,
                "slots": slots,
                "serving": True,
                **changes,
            }
        )
        for number in range(count)
    ]

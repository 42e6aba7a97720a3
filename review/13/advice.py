"""After a burst on a queue with an advisor each call for advice is given up.

The advisor needs 150 ms and 10 ms for each of 8 executors, 230 ms in all, and handles
one call after the other. Before and after the burst a submission comes each 2 s.
"""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage3  # noqa: E402

EXECUTORS = 8
DECISION_MS, PERIOD_MS, VALID_MS = 150, 10, 3000
#: Seconds and submissions a second: before, in the turn of the queue, and after.
CALM_S, CALM_PER_S = 6.0, 0.5
TURN_S, TURN_PER_S = 4.0, 4.0
AFTER_S = 30.0
#: Dose of `burst` in the site file.
BURST_X = 2.6
KEY = "pqk8bdk9eevyxq2yyaza"
SUBMISSION = {
    "spec": '{"ms":500,"cpu":1000,"memMb":256}',
    "steps": [{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 500}],
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-quote",
            "host": "quote.example",
            "prefix": "/quote/",
            "type": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "priority": 0,
            "service": "trade-counter",
            "attempts": 4,
            "targetFactor": 1.6,
            "public": False,
            "advisor": {
                "decisionMs": DECISION_MS,
                "periodMs": PERIOD_MS,
                "validMs": VALID_MS,
            },
        }
    ],
    "services": [{"name": "trade-counter", "enforceCapacity": True, "standby": False}],
    "limits": {"maxBodyBytes": 262144, "idleTimeoutMs": 15000},
    "tenants": [
        {
            "name": "office",
            "apiKeys": [KEY],
            "weight": 40,
            "cap": {"cpu": 200000, "memMb": 400000, "gpu": 0},
        }
    ],
}


def case(stage: stage3.Stage) -> bool:
    """Play the case; returns whether the rule was broken."""
    stage.add_advisor(DECISION_MS, PERIOD_MS, VALID_MS)
    stage.add_executors(EXECUTORS, "trade-counter", on_event=stage.record.write)
    stage.put_configuration(CONFIGURATION)
    stage.add_nodes(3)
    stage.wait_until_ready()
    channels = [stage3.Channel(port) for port in stage.front_ports.values()]
    accepted: list[str] = []
    sent = 0

    def hand_in(seconds: float, per_s: float) -> None:
        nonlocal sent
        begin_s = time.monotonic()
        for number in range(round(seconds * per_s)):
            time.sleep(max(0.0, begin_s + number / per_s - time.monotonic()))
            name = f"5c0e7a21{sent:08x}"
            status, _ = channels[sent % 3].ask(
                "POST",
                f"/quote/{name}",
                body=SUBMISSION,
                key=KEY,
                host="quote.example",
            )
            sent += 1
            stage.record.write(f"POST {name}: {status}")
            if status == 200:
                accepted.append(name)
        time.sleep(max(0.0, begin_s + seconds - time.monotonic()))

    hand_in(CALM_S, CALM_PER_S)
    hand_in(TURN_S, TURN_PER_S * (BURST_X if stage3.has_trouble() else 1.0))
    stage.record.write("end of the turn")
    hand_in(AFTER_S, CALM_PER_S)
    stage.record.write("end of the traffic")
    time.sleep(stage3.BOUNDS["finish_s"])
    started = {task.partition(".")[0] for _, task, _, _ in stage.starts}
    lost = [name for name in accepted if name not in started]
    for name in lost:
        answer = stage3.ask(
            stage.front_ports[0], "GET", f"/quote/{name}", key=KEY, host="quote.example"
        )
        stage.record.write(f"GET {name}: {answer}")
    stage.record.write(
        f"{len(accepted)} accepted, {len(lost)} never started; the advisor answered "
        f"{stage.advisor.answers}"
    )
    return bool(lost)


if __name__ == "__main__":
    stage3.play(case, FOLDER)

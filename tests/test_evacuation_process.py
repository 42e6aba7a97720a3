"""Evacuations with real node processes and a stand-in of the platform, over sockets."""

import itertools
import json
import time
import urllib.request

import pytest

from cranberrywheel.node.keys import LEADER_KEY
from cranberrywheel.platform.evacuations import EVACUATION_PREFIX
from cranberrywheel.store_messages import Outcome
from cranberrywheel_load.soak import (
    ROUTE_PREFIX,
    STARTUP_TIMEOUT_S,
    Deployment,
    SoakSize,
    send_call,
)

KEY = EVACUATION_PREFIX + "z0"
EVACUATION_MS = 5_000
SUBMISSION = json.dumps(
    {"spec": "work", "steps": [{"count": 3, "cpu": 1_000, "memMb": 10}]}
).encode()
_ids = itertools.count(0xE0)


class Zones:
    """Three nodes and six executors in three zones.

    :ivar starts: time and zone of each start.
    """

    def __init__(self, folder, evacuation_ms=EVACUATION_MS):
        size = SoakSize(
            executors=6,
            filler_routes=5,
            zones=("z0", "z1", "z2"),
            evacuation_ms=evacuation_ms,
        )
        self.deployment = Deployment(folder, size)
        self.platform = self.deployment.platform
        self.starts = []
        record_start = self.platform.fleet.record_start

        def record(executor, run):
            now_ms = self.platform.clock.now_ms()
            self.starts.append((now_ms, executor.entry.zone))
            record_start(executor, run)

        self.platform.fleet.record_start = record
        self.deployment.start()
        assert self.wait_for(self.all_ready, STARTUP_TIMEOUT_S)

    def all_ready(self):
        return all(
            send_call("GET", front, ROUTE_PREFIX)[0] == 200
            for front in self.deployment.front_addresses
        )

    def put(self, key, value):
        """Write a key as an operator, and return the time of the acknowledgement."""
        with self.platform.lock:
            self.platform.state.put(key, value)
        return self.platform.clock.now_ms()

    def read_metric(self, node, name):
        """Return a metric of a node; ``None`` while it does not answer."""
        url = f"http://{self.deployment.metrics_addresses[node]}/metrics"
        try:
            with urllib.request.urlopen(url, timeout=2) as answer:
                lines = answer.read().decode().splitlines()
        except OSError:
            return None
        values = [line.split()[1] for line in lines if line.startswith(name + " ")]
        return float(values[0]) if values else None

    def find_leader(self):
        for node in range(len(self.deployment.nodes)):
            if self.read_metric(node, "cranberrywheel_is_leader") == 1.0:
                return node
        return None

    def is_led(self):
        return self.find_leader() is not None

    def submit(self, seconds, until=lambda: False):
        """Submit work at all nodes for a time, or until a condition holds."""
        end_s = time.monotonic() + seconds
        fronts = itertools.cycle(self.deployment.front_addresses)
        while time.monotonic() < end_s and not until():
            path = f"{ROUTE_PREFIX}{next(_ids):016x}"
            send_call("POST", next(fronts), path, SUBMISSION)
            time.sleep(0.05)

    def wait_for(self, condition, seconds=10.0):
        end_s = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end_s:
                return False
            time.sleep(0.1)
        return True

    def starts_in(self, zone, since_ms=0):
        return [
            time_ms
            for time_ms, other in self.starts
            if other == zone and time_ms >= since_ms
        ]


@pytest.fixture
def zones(tmp_path):
    zones = Zones(tmp_path)
    yield zones
    # Watches that stay silent would keep the threads of the stand-in alive.
    zones.platform.watches_silent = False
    zones.deployment.stop()


def evacuate_at_next_takeover(zones):
    """Write the request in the moment in which the store makes a process the leader.

    :returns: list that gets the times of the takeover, in milliseconds.
    """
    state = zones.platform.state
    write = state.write
    takeovers_ms = []

    def write_and_evacuate(order):
        reply = write(order)
        if reply.outcome is Outcome.OK and not takeovers_ms:
            if any(key == LEADER_KEY for key, _, _ in order.puts):
                takeovers_ms.append(zones.put(KEY, b"{}"))
        return reply

    state.write = write_and_evacuate
    return takeovers_ms


def test_leader_killed_between_the_request_and_its_effect(zones):
    """Guards against a successor that starts work in a zone it has not heard of.

    The request is acknowledged just before it takes over, and all watches are silent,
    so that it learns of the request only if it reads the zones.
    """
    zones.submit(
        30.0, lambda: zones.starts_in("z0") and zones.find_leader() is not None
    )
    zones.platform.watches_silent = True
    takeovers_ms = evacuate_at_next_takeover(zones)
    zones.deployment.nodes[zones.find_leader()].kill()
    zones.submit(30.0, lambda: takeovers_ms)
    takeover_ms = takeovers_ms[0]
    zones.submit(30.0, lambda: len(zones.starts_in("z1", takeover_ms)) >= 10)
    assert len(zones.starts_in("z1", takeover_ms)) >= 10
    assert zones.starts_in("z0", takeover_ms) == []
    zones.platform.watches_silent = False
    zones.submit(3.0)
    assert zones.starts_in("z0", takeover_ms) == []
    for node in range(len(zones.deployment.nodes)):
        assert zones.wait_for(
            lambda node=node: (
                zones.read_metric(node, "cranberrywheel_evacuated_zones") == 1.0
            )
        )
    with zones.platform.lock:
        zones.platform.state.delete(KEY)
    returned_ms = zones.platform.clock.now_ms()
    zones.submit(30.0, lambda: zones.starts_in("z0", returned_ms))
    assert zones.starts_in("z0", returned_ms)
    assert zones.platform.fleet.violations == []


def test_nothing_is_watched_where_the_platform_has_no_evacuations(tmp_path):
    """Guards against calls to the store in deployments without evacuations."""
    zones = Zones(tmp_path, evacuation_ms=0)
    try:
        zones.put(KEY, b"{}")
        zones.submit(10.0, lambda: len(zones.starts_in("z0")) >= 3)
        assert len(zones.starts_in("z0")) >= 3
        assert EVACUATION_PREFIX not in zones.platform.watched_prefixes
        assert zones.read_metric(0, "cranberrywheel_evacuated_zones") is None
    finally:
        zones.deployment.stop()

"""Configurations, fleets and fakes shared by the tests of the planner."""

import dataclasses
import json

from cranberrywheel.clock import ManualClock
from cranberrywheel.connection.store_client import Instance, InstanceList, Record
from cranberrywheel.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from cranberrywheel.process.fleet_model import build_fleet
from cranberrywheel.process.planner import Planner
from cranberrywheel.settings import PlannerSettings, PlatformSettings
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel_standin.platform import Platform

NOW_MS = 1_800_000_000_000


FOUR_WORKERS = ("a1@x/r1", "a2@x/r1", "a3@y/r2", "a4@y/r2")


def make_configuration(workers=FOUR_WORKERS, healthy=1):
    return parse_configuration(make_configuration_text(workers, healthy))


def make_configuration_text(workers=FOUR_WORKERS, healthy=1):
    return f"""
[deployment]
name = d
[zone x]
[zone y]
[zone z]
[pool a]
workers = {", ".join(workers)}
cores = 8
memory_mb = 8000
[pool b]
workers = b1@x/r3, b2@x/r3, b3@y/r4, b4@y/r4
cores = 8
memory_mb = 8000
spare = yes
[service a]
pool = a
depends_on = b
min_healthy = {healthy}
[service b]
pool = b
min_healthy = 1
[queue qa]
service = a
mean_per_second = 2
can_checkpoint = no
[queue qb]
service = b
can_checkpoint = yes
"""


def make_instance_list(configuration, missing=(), addresses=None, age_ms=0):
    rows = tuple(
        Instance(
            w.name, "worker", w.zone, w.rack, (addresses or {}).get(w.name, ""),
            False, w.cores, w.memory_mb,
        )
        for w in configuration.workers_by_name.values()
        if w.name not in missing
    )  # fmt: skip
    return InstanceList(1, age_ms, rows)


def make_fleet(configuration, missing=(), reports=None, assignments=None, **fields):
    fleet = build_fleet(
        configuration, {}, make_instance_list(configuration, missing), NOW_MS, reports
    )
    instances = dict(fleet.instances_by_name)
    for name, assignment in (assignments or {}).items():
        instances[name] = dataclasses.replace(instances[name], assignment=assignment)
    return dataclasses.replace(fleet, instances_by_name=instances, **fields)


class FakeStoreClient:
    """In-process :class:`StoreClient` over the platform stand-in.

    :param before_put: called with the key before each write, so that a test can
        advance the clock or run another planner.
    """

    def __init__(self, platform):
        self.platform = platform
        self.before_put = lambda key: None
        self.actions = []
        self.control_outage = False

    def _check(self):
        if self.platform.faults.outage:
            raise StoreUnavailableError("No answer.")

    def get(self, key, newer_than=0, wait_ms=0):
        self._check()
        found = self.platform.watch(key, newer_than, 0)
        if found is None or found == "unchanged":
            return found
        return Record(key, found.value, found.revision)

    def list(self, prefix):
        self._check()
        return [Record(**row) for row in self.platform.list(prefix)]

    def put(self, key, value, expected_revision, lease=""):
        self.before_put(key)
        self._check()
        status, body = self.platform.put(key, value, expected_revision, lease)
        if status == 412:
            raise StoreConflictError("Conflict.", "", body["revision"])
        if status == 404:
            raise LeaseLostError("Lapsed.")
        if self.platform.faults.lose_answers > 0:
            self.platform.faults.lose_answers -= 1
            raise StoreUnavailableError("The answer was lost.")
        return body["revision"]

    def grant_lease(self, ttl_ms):
        self._check()
        return self.platform.grant_lease(ttl_ms)

    def renew_lease(self, lease):
        self._check()
        if not self.platform.renew_lease(lease):
            raise LeaseLostError("Lapsed.")

    def revoke_lease(self, lease):
        self.platform.revoke_lease(lease)

    def instances(self):
        self._check()
        body = self.platform.instance_list()
        rows = tuple(
            Instance(
                r["id"], r["kind"], r["zone"], r["rack"], r["address"],
                r["state"] == "leaving", r["cores"], r["memory_mb"],
            )
            for r in body["instances"]
        )  # fmt: skip
        return InstanceList(body["revision"], body["age_ms"], rows)

    def control_instance(self, instance, action, fence):
        if self.control_outage:
            raise StoreUnavailableError("No answer.")
        accepted = self.platform.accept_fence(instance, fence)
        if accepted:
            self.actions.append((instance, str(action)))
        return accepted


class FakeWorkerClient:
    """Worker client with preset tasks by worker; ``None`` if it does not answer."""

    def __init__(self):
        self.tasks_by_name = {}
        self.checkpoints = []

    def tasks(self, addresses_by_name):
        return {name: self.tasks_by_name.get(name, ()) for name in addresses_by_name}

    def checkpoint(self, address, task_id):
        self.checkpoints.append((address, task_id))


class Deployment:
    """Platform stand-in with a configuration, its workers and a manual clock."""

    def __init__(self, configuration_text):
        self.clock = ManualClock(1_000)
        self.platform = Platform(lambda: self.clock.now_ms() / 1000)
        self.workers = FakeWorkerClient()
        self.configuration = parse_configuration(configuration_text)
        self.apply(configuration_text)
        for worker in self.configuration.workers_by_name.values():
            self.platform.set_instance(
                worker.name,
                {"zone": worker.zone, "rack": worker.rack, "address": worker.name},
            )

    def apply(self, configuration_text):
        """Write a configuration text to the record ``configuration``."""
        present = self.platform.get("configuration")
        revision = present.revision if present else 0
        body = {"text_version": revision + 1, "text": configuration_text}
        envelope = {"write_id": "1", "writer": "test", "recent_write_ids": []}
        value = json.dumps({**envelope, "body": body})
        self.platform.put("configuration", value, revision, "")

    def planner(self, zone="x", instance="p1"):
        """Create a planner and its store client."""
        settings = PlannerSettings(
            instance=instance, zone=zone, platform=PlatformSettings(url="http://x")
        )
        client = FakeStoreClient(self.platform)
        now_wall_ms = lambda: NOW_MS + self.clock.now_ms()
        return Planner(settings, client, self.workers, self.clock, now_wall_ms), client

    def body(self, key):
        """Return the body of a record, or ``{}`` if there is none."""
        entry = self.platform.get(key)
        return json.loads(entry.value)["body"] if entry else {}

    def states(self, zone="x"):
        """Return pool and state by name of the zone's instances that do not serve."""
        rows = self.body(f"pools/{zone}").get("instances", {})
        return {
            name: (row["pool"], row["state"])
            for name, row in rows.items()
            if row["state"] != "serving"
        }

    def out(self):
        """Return the names of all instances in the record ``disruptions``."""
        services = self.body("disruptions").get("out", {})
        return {name for names in services.values() for name in names}

    def rounds(self, planner, count, step_ms=2_000):
        """Run planning rounds.

        :param step_ms: time to advance the clock after each round.
        """
        for _ in range(count):
            planner.run_once()
            self.clock.advance(step_ms)

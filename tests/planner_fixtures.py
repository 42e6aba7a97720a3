"""Fleets that the planner's tests share."""

import dataclasses

from cranberrywheel.connection.store_client import Instance, InstanceList
from cranberrywheel.process.fleet_model import build_fleet
from cranberrywheel.version.configuration import parse_configuration

NOW_MS = 1_800_000_000_000


def configuration(workers=("a1@x/r1", "a2@x/r1", "a3@y/r2", "a4@y/r2"), healthy=1):
    return parse_configuration(
        f"""
[deployment]
name = d
[zone x]
[zone y]
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
    )


def listing(configuration, missing=(), addresses=None, age_ms=0):
    rows = tuple(
        Instance(
            w.name, "worker", w.zone, w.rack, (addresses or {}).get(w.name, ""),
            False, w.cores, w.memory_mb,
        )
        for w in configuration.workers_by_name.values()
        if w.name not in missing
    )  # fmt: skip
    return InstanceList(1, age_ms, rows)


def fleet(configuration, missing=(), reports=None, rows=None, **fields):
    built = build_fleet(
        configuration, {}, listing(configuration, missing), NOW_MS, reports
    )
    instances = dict(built.instances_by_name)
    for name, row in (rows or {}).items():
        instances[name] = dataclasses.replace(instances[name], row=row)
    return dataclasses.replace(built, instances_by_name=instances, **fields)

"""Data of the planner's decisions: instances, usage, pool records and plans.

Times in records are wall-clock milliseconds since 1970. They order events that
are minutes or days apart; no lease or fence depends on them.
"""

import dataclasses
import enum
import typing as t

from cranberrywheel.connection.store_client import InstanceList
from cranberrywheel.errors import StoreError
from cranberrywheel.version.configuration import Configuration


class InstanceState(enum.StrEnum):
    """State of an instance in its pool; see docs/design.md, section 4."""

    SERVING = "serving"
    DRAINING = "draining"
    EMPTY = "empty"
    REBOOTING = "rebooting"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceAssignment:
    """One instance of a ``pools/<zone>`` record.

    :param target_pool: pool that a recorded move leads to, or ``""``.
    :param since_ms: when the state began.
    """

    pool: str
    state: InstanceState = InstanceState.SERVING
    target_pool: str = ""
    since_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZonePoolsRecord:
    """Body of a ``pools/<zone>`` record.

    :param fence: fencing number of the planner that wrote it.
    :param maintained_ms_by_name: end of the last maintenance; an absent instance
        was not maintained since it became known.
    """

    fence: int
    assignments_by_name: dict[str, InstanceAssignment]
    maintained_ms_by_name: dict[str, int] = dataclasses.field(default_factory=dict)

    def replace_assignment(
        self, name: str, assignment: InstanceAssignment
    ) -> "ZonePoolsRecord":
        """Return a copy in which one instance has another row."""
        assignments = {**self.assignments_by_name, name: assignment}
        return dataclasses.replace(self, assignments_by_name=assignments)


def parse_zone_pools(body: t.Mapping[str, t.Any]) -> ZonePoolsRecord:
    """Read the body of a ``pools/<zone>`` record.

    :param body: the decoded JSON body.
    :raises StoreError: if it has another form.
    """
    try:
        assignments = {
            name: _parse_assignment(assignment)
            for name, assignment in body["instances"].items()
        }
        maintained = {n: int(v) for n, v in body.get("maintained", {}).items()}
        return ZonePoolsRecord(
            fence=int(body["fence"]),
            assignments_by_name=assignments,
            maintained_ms_by_name=maintained,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise StoreError(
            f"A record of pools cannot be read: {error!r}.", "Delete or correct it."
        ) from None


def _parse_assignment(assignment: t.Mapping[str, t.Any]) -> InstanceAssignment:
    return InstanceAssignment(
        pool=str(assignment["pool"]),
        state=InstanceState(assignment["state"]),
        target_pool=str(assignment.get("target_pool") or ""),
        since_ms=int(assignment["since"]),
    )


def dump_zone_pools(pools: ZonePoolsRecord) -> dict[str, t.Any]:
    """Return the JSON-ready body of a ``pools/<zone>`` record."""
    return {
        "fence": pools.fence,
        "instances": {
            name: {
                "pool": assignment.pool,
                "state": str(assignment.state),
                "target_pool": assignment.target_pool,
                "since": assignment.since_ms,
            }
            for name, assignment in pools.assignments_by_name.items()
        },
        "maintained": dict(pools.maintained_ms_by_name),
    }


def add_declared_workers(
    configuration: Configuration,
    zone: str,
    known: ZonePoolsRecord | None,
    fence: int,
    now_ms: int,
) -> ZonePoolsRecord:
    """Add the declared workers of a zone that its record lacks.

    :param known: the present record, or ``None``; its rows keep their pools.
    :param fence: fencing number to write.
    """
    assignments = dict(known.assignments_by_name) if known else {}
    for worker in configuration.workers_by_name.values():
        if worker.zone == zone and worker.name not in assignments:
            assignments[worker.name] = InstanceAssignment(
                pool=worker.pool, since_ms=now_ms
            )
    maintained = dict(known.maintained_ms_by_name) if known else {}
    return ZonePoolsRecord(
        fence=fence, assignments_by_name=assignments, maintained_ms_by_name=maintained
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerReport:
    """What a worker said about itself.

    :param running: tasks that run now.
    :param drain_ms: longest remaining time of a task that cannot be checkpointed.
    :param fails_everything: its recent tasks all failed.
    :param reachable: whether it answered.
    """

    running: int = 0
    drain_ms: int = 0
    fails_everything: bool = False
    reachable: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueUsage:
    """Learned use of one queue.

    :param busy: mean number of requests running at once, over the whole fleet.
    :param cores: cores that one request takes.
    :param memory_mb: memory that one request takes.
    :param age_ms: lag of the report.
    """

    busy: float
    cores: float
    memory_mb: float
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetInstance:
    """One instance as the decisions see it.

    :param live: in the instance list and not leaving.
    :param maintained_ms: end of the last maintenance, or 0.
    """

    name: str
    zone: str
    rack: str
    assignment: InstanceAssignment
    live: bool
    maintained_ms: int = 0
    report: WorkerReport = WorkerReport()

    @property
    def pool(self) -> str:
        """Pool that the instance is in."""
        return self.assignment.pool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fleet:
    """Everything a decision depends on besides the configuration.

    :param out_by_service: instances out on purpose, from ``disruptions``.
    :param list_age_ms: lag of the instance list.
    """

    now_ms: int
    instances_by_name: dict[str, FleetInstance]
    usage_by_queue: dict[str, QueueUsage] = dataclasses.field(default_factory=dict)
    out_by_service: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    list_age_ms: int = 0


def build_fleet(
    configuration: Configuration,
    pools_by_zone: t.Mapping[str, ZonePoolsRecord],
    listed: InstanceList,
    now_ms: int,
    reports_by_name: t.Mapping[str, WorkerReport] | None = None,
    usage_by_queue: dict[str, QueueUsage] | None = None,
    out_by_service: dict[str, tuple[str, ...]] | None = None,
) -> Fleet:
    """Join the records, the instance list and the workers' reports.

    A zone without a record counts with its declared workers. Racks and zones come
    from the configuration, and from the instance list for undeclared instances.
    """
    listed_by_name = {i.instance_id: i for i in listed.instances if i.kind == "worker"}
    reports = reports_by_name or {}
    instances = {}
    for zone in configuration.regions_by_zone:
        known = pools_by_zone.get(zone)
        pools = known or add_declared_workers(configuration, zone, None, 0, now_ms)
        for name, assignment in pools.assignments_by_name.items():
            listing = listed_by_name.get(name)
            declared = configuration.workers_by_name.get(name)
            rack = declared.rack if declared else listing.rack if listing else ""
            instances[name] = FleetInstance(
                name=name,
                zone=zone,
                rack=rack,
                assignment=assignment,
                live=listing is not None and not listing.leaving,
                maintained_ms=pools.maintained_ms_by_name.get(name, 0),
                report=reports.get(name, WorkerReport()),
            )
    return Fleet(
        now_ms=now_ms,
        instances_by_name=instances,
        usage_by_queue=usage_by_queue or {},
        out_by_service=out_by_service or {},
        list_age_ms=listed.age_ms,
    )


def group_services_by_pool(configuration: Configuration) -> dict[str, list[str]]:
    """Return the names of the services of each pool."""
    names: dict[str, list[str]] = {pool: [] for pool in configuration.pools_by_name}
    for service in configuration.services_by_name.values():
        names[service.pool].append(service.name)
    return names


def find_dependency_pools(configuration: Configuration) -> dict[str, frozenset[str]]:
    """Return, for each pool, the other pools that its services need, transitively."""
    services = configuration.services_by_name
    needed: dict[str, frozenset[str]] = {}

    def collect(name: str) -> frozenset[str]:
        if name not in needed:
            found: set[str] = set()
            for other in services[name].depends_on:
                found |= {services[other].pool} | collect(other)
            needed[name] = frozenset(found)
        return needed[name]

    pools = {}
    for pool, names in group_services_by_pool(configuration).items():
        pools[pool] = frozenset().union(*map(collect, names)) - {pool}
    return pools


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sizing:
    """Decided sizes.

    :param counts: workers by pool, then by zone.
    :param wave_sizes_by_pool: most instances of a pool out at once.
    :param cost: weighted cost; see ``capacity.cost_of``.
    """

    counts: dict[str, dict[str, int]]
    wave_sizes_by_pool: dict[str, int]
    cost: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """One round of decisions; ``to_json`` is what operators see.

    :param wave: instances out for maintenance now, with their states.
    :param take: instances to drain next, with the target pool or ``""``.
    :param quarantine: instances to quarantine.
    :param repair: quarantined instances to reboot.
    :param recall: instances to return to service without maintenance.
    :param drop: instances to remove from the record.
    :param waits_by_name: why each instance that is due waits.
    :param risks: pools that lack workers for a domain loss or for maintenance.
    """

    sizing: Sizing
    wave: dict[str, str] = dataclasses.field(default_factory=dict)
    take: dict[str, str] = dataclasses.field(default_factory=dict)
    quarantine: tuple[str, ...] = ()
    repair: tuple[str, ...] = ()
    recall: tuple[str, ...] = ()
    drop: tuple[str, ...] = ()
    waits_by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    risks: tuple[str, ...] = ()

    def to_json(self) -> dict[str, t.Any]:
        """Return the plan as JSON-ready values."""
        return dataclasses.asdict(self)

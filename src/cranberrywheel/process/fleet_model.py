"""Data model of the planner: instances, usage, pool records and plans.

Times in records are wall-clock milliseconds since 1970. They order events that
are minutes or days apart; no lease or fencing token depends on them.
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
    """Pool and state of one instance in a ``pools/<zone>`` record.

    :param target_pool: destination of a recorded move to another pool, or ``""``.
    :param since_ms: when the state began.
    """

    pool: str
    state: InstanceState = InstanceState.SERVING
    target_pool: str = ""
    since_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZonePoolsRecord:
    """Body of a ``pools/<zone>`` record.

    :param fence: fencing token of the planner that wrote it.
    :param maintained_ms_by_name: end of the last maintenance; an instance without
        an entry has not been maintained since it was added.
    """

    fence: int
    assignments_by_name: dict[str, InstanceAssignment]
    maintained_ms_by_name: dict[str, int] = dataclasses.field(default_factory=dict)

    def replace_assignment(
        self, name: str, assignment: InstanceAssignment
    ) -> "ZonePoolsRecord":
        """Return a copy in which one instance has another assignment."""
        assignments = {**self.assignments_by_name, name: assignment}
        return dataclasses.replace(self, assignments_by_name=assignments)


def parse_zone_pools(body: t.Mapping[str, t.Any]) -> ZonePoolsRecord:
    """Parse the body of a ``pools/<zone>`` record.

    :param body: the decoded JSON body.
    :raises StoreError: if a field is missing or has the wrong type.
    """
    try:
        assignments = {
            name: _parse_assignment(assignment)
            for name, assignment in body["instances"].items()
        }
        maintained = {
            name: int(ended_ms) for name, ended_ms in body.get("maintained", {}).items()
        }
        return ZonePoolsRecord(
            fence=int(body["fence"]),
            assignments_by_name=assignments,
            maintained_ms_by_name=maintained,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise StoreError(
            f"A pools record cannot be parsed: {error!r}.", "Delete or correct it."
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
    current: ZonePoolsRecord | None,
    fence: int,
    now_ms: int,
) -> ZonePoolsRecord:
    """Return the record of a zone with all workers that the configuration declares.

    :param current: the stored record, or ``None``; its instances keep their pools.
    :param fence: fencing token to write.
    :param now_ms: wall clock; the start time of each added assignment.
    """
    assignments = dict(current.assignments_by_name) if current else {}
    for worker in configuration.workers_by_name.values():
        if worker.zone == zone and worker.name not in assignments:
            assignments[worker.name] = InstanceAssignment(
                pool=worker.pool, since_ms=now_ms
            )
    maintained = dict(current.maintained_ms_by_name) if current else {}
    return ZonePoolsRecord(
        fence=fence, assignments_by_name=assignments, maintained_ms_by_name=maintained
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerReport:
    """Status that a worker reported.

    :param running: number of running tasks.
    :param drain_ms: longest remaining time of a task that cannot be checkpointed.
    :param fails_everything: whether all of its recent tasks failed.
    :param reachable: whether it answered.
    """

    running: int = 0
    drain_ms: int = 0
    fails_everything: bool = False
    reachable: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueUsage:
    """Measured resource usage of one queue.

    :param busy: mean number of concurrently running requests in the whole fleet.
    :param cores: cores that one request uses.
    :param memory_mb: memory that one request uses.
    :param age_ms: age of the report.
    """

    busy: float
    cores: float
    memory_mb: float
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetInstance:
    """State of one instance, as input of a decision.

    :param live: whether it is in the instance list and not leaving.
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
        """Pool that the instance belongs to at present."""
        return self.assignment.pool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fleet:
    """Input of a decision besides the configuration.

    :param out_by_service: instances taken out of service deliberately, from the
        record ``disruptions``.
    :param list_age_ms: age of the instance list.
    """

    now_ms: int
    instances_by_name: dict[str, FleetInstance]
    usage_by_queue: dict[str, QueueUsage] = dataclasses.field(default_factory=dict)
    out_by_service: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    list_age_ms: int = 0


def build_fleet(
    configuration: Configuration,
    pools_by_zone: t.Mapping[str, ZonePoolsRecord],
    instance_list: InstanceList,
    now_ms: int,
    reports_by_name: t.Mapping[str, WorkerReport] | None = None,
    usage_by_queue: dict[str, QueueUsage] | None = None,
    out_by_service: dict[str, tuple[str, ...]] | None = None,
) -> Fleet:
    """Combine the pool records, the instance list and the workers' reports.

    For a zone without a record, its declared workers are used. Racks come from the
    configuration, or from the instance list for undeclared instances.

    :param instance_list: the platform's instance list.
    :param now_ms: wall clock.
    """
    listed_by_name = {
        instance.instance_id: instance
        for instance in instance_list.instances
        if instance.kind == "worker"
    }
    reports = reports_by_name or {}
    instances = {}
    for zone in configuration.regions_by_zone:
        current = pools_by_zone.get(zone)
        pools = current or add_declared_workers(configuration, zone, None, 0, now_ms)
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
        list_age_ms=instance_list.age_ms,
    )


def group_services_by_pool(configuration: Configuration) -> dict[str, list[str]]:
    """Return the names of the services by pool."""
    names: dict[str, list[str]] = {pool: [] for pool in configuration.pools_by_name}
    for service in configuration.services_by_name.values():
        names[service.pool].append(service.name)
    return names


def find_dependency_pools(configuration: Configuration) -> dict[str, frozenset[str]]:
    """Return the pools that the services of each pool depend on, transitively."""
    services = configuration.services_by_name
    dependencies_by_service: dict[str, frozenset[str]] = {}

    def collect_dependencies(name: str) -> frozenset[str]:
        if name not in dependencies_by_service:
            found: set[str] = set()
            for other in services[name].depends_on:
                found |= {services[other].pool} | collect_dependencies(other)
            dependencies_by_service[name] = frozenset(found)
        return dependencies_by_service[name]

    pools = {}
    for pool, names in group_services_by_pool(configuration).items():
        pools[pool] = frozenset().union(*map(collect_dependencies, names)) - {pool}
    return pools


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sizing:
    """Decided pool sizes and wave sizes.

    :param counts: workers by pool, then by zone.
    :param wave_sizes_by_pool: largest number of instances of a pool that may be out
        of service at once.
    :param cost: weighted cost; see :func:`capacity.compute_cost`.
    """

    counts: dict[str, dict[str, int]]
    wave_sizes_by_pool: dict[str, int]
    cost: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Decisions of one planning round; ``to_json`` gives the form shown to operators.

    :param wave: instances out of service at present, with their states.
    :param take: instances to drain next, with the target pool, or ``""`` for
        maintenance in the present pool.
    :param quarantine: instances to quarantine.
    :param repair: quarantined instances to reboot.
    :param recall: instances to return to service without maintenance.
    :param drop: instances to remove from the record.
    :param waits_by_name: reason for postponing each instance that needs action.
    :param risks: pools that cannot tolerate the loss of a failure domain, or from
        which no worker can be taken for maintenance.
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

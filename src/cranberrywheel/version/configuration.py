"""The operators' text: an INI file, validated into a :class:`Configuration`."""

import configparser
import dataclasses
import re
import typing as t

import pydantic

from cranberrywheel.errors import ConfigurationError
from cranberrywheel.version.configuration_sections import (
    DeploymentSection,
    PoolSection,
    QueueSection,
    Section,
    ServiceSection,
    TeamSection,
    ZoneSection,
)

#: The store holds values up to a megabyte; keys and JSON quoting need room too.
MAX_TEXT_BYTES = 600_000
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_WORKER = re.compile(r"([a-z0-9][a-z0-9-]{0,62})@([a-z0-9-]+)/([a-z0-9-]+)")
_SECTION_LINE = re.compile(r"\s*\[([^\]]*)\]")
_KEY_LINE = re.compile(r"([A-Za-z_][A-Za-z0-9_]*)\s*[=:]")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Worker:
    """A worker as the operators declared it."""

    name: str
    zone: str
    rack: str
    pool: str
    cores: float
    memory_mb: int
    slots: int
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """A pool with its declared workers; ``connections`` is per worker."""

    name: str
    worker_names: tuple[str, ...]
    cores: float
    memory_mb: int
    slots_per_executor: int
    connections: int
    spare: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service; ``min_healthy`` is its availability budget in workers."""

    name: str
    pool: str
    depends_on: tuple[str, ...]
    min_healthy: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queue:
    """A queue; times in milliseconds, sizes as declared."""

    name: str
    service: str
    open_to_all: bool
    idempotent: bool
    urgent: bool
    mean_per_second: float
    run_ms: int
    cores: float
    memory_mb: int
    timeout_ms: int
    max_queued: int
    can_checkpoint: bool
    serve_stale_keys: bool
    stale_serve_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Team:
    """A team; ``share`` is a fraction, ``limit`` counts running requests."""

    name: str
    share: float
    limit: int
    queues: tuple[str, ...]

    def may_use(self, queue: str) -> bool:
        """Tell whether the team has a right to a queue.

        :param queue: queue name.
        """
        return "*" in self.queues or queue in self.queues


@dataclasses.dataclass(frozen=True, kw_only=True)
class Weights:
    """Weights of the four measures in the planner's cost."""

    buffer_cost: float
    rollout_time: float
    moves: float
    share: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One validated operators' text.

    All collections are named by their key; names are unique per kind.
    """

    name: str
    weights: Weights
    maintenance_period_hours: int
    reboot_minutes: int
    regions_by_zone: dict[str, str]
    pools_by_name: dict[str, Pool]
    workers_by_name: dict[str, Worker]
    services_by_name: dict[str, Service]
    queues_by_name: dict[str, Queue]
    teams_by_name: dict[str, Team]

    def pool_of_queue(self, queue: str) -> Pool:
        """Return the pool that serves a queue.

        :param queue: a known queue name.
        """
        service = self.services_by_name[self.queues_by_name[queue].service]
        return self.pools_by_name[service.pool]


_MODELS: dict[str, type[Section]] = {
    "zone": ZoneSection,
    "pool": PoolSection,
    "service": ServiceSection,
    "queue": QueueSection,
    "team": TeamSection,
}
Sections = dict[str, dict[str, t.Any]]


class _LineIndex:
    """Finds the line of a section or key, for error messages."""

    def __init__(self, text: str) -> None:
        self._lines: dict[tuple[str, str], int] = {}
        section = ""
        for number, line in enumerate(text.splitlines(), 1):
            if match := _SECTION_LINE.match(line):
                section = " ".join(match[1].split())
                self._lines.setdefault((section, ""), number)
            elif match := _KEY_LINE.match(line):
                self._lines.setdefault((section, match[1].lower()), number)

    def find(self, section: str, key: str = "") -> int:
        return self._lines.get((section, key)) or self._lines.get((section, ""), 0)


def _read_ini(text: str) -> configparser.ConfigParser:
    if len(text.encode("utf-8", "replace")) > MAX_TEXT_BYTES:
        raise ConfigurationError(
            f"The text is over {MAX_TEXT_BYTES} bytes.", "Split the deployment."
        )
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\x00none", empty_lines_in_values=False
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        line = getattr(error, "lineno", None) or 0
        if faults := getattr(error, "errors", None):
            line = faults[0][0]
        raise ConfigurationError(
            type(error).__name__.removesuffix("Error") + " in the INI text.",
            "Write each section and key once, as '[kind name]' and 'key = value'.",
            line,
        ) from None
    return parser


def _validate(model: type[Section], section: str, values: t.Any, index: _LineIndex):
    try:
        return model.model_validate(dict(values))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        key = str(first["loc"][0]) if first["loc"] else ""
        remedy = (
            f"Use one of: {', '.join(model.model_fields)}."
            if first["type"] == "extra_forbidden"
            else "Correct the value."
        )
        raise ConfigurationError(
            f"[{section}] {key}: {first['msg']}.", remedy, index.find(section, key)
        ) from None


def _read_sections(
    parser: configparser.ConfigParser, index: _LineIndex
) -> tuple[DeploymentSection, Sections]:
    by_kind: Sections = {kind: {} for kind in _MODELS}
    deployment = None
    for section in parser.sections():
        kind, _, name = " ".join(section.split()).partition(" ")
        if section == "deployment":
            deployment = _validate(DeploymentSection, section, parser[section], index)
            continue
        if kind not in _MODELS or not _NAME.fullmatch(name):
            raise ConfigurationError(
                f"[{section}] is no known section.",
                "Use [deployment], or [zone|pool|service|queue|team NAME] with a "
                "name of lower-case letters, digits and hyphens.",
                index.find(" ".join(section.split())),
            )
        if name in by_kind[kind]:
            raise ConfigurationError(
                f"[{section}] is given twice.", "Keep one.", index.find(section)
            )
        by_kind[kind][name] = _validate(_MODELS[kind], section, parser[section], index)
    if deployment is None:
        raise ConfigurationError("There is no [deployment].", "Add it with a name.")
    return deployment, by_kind


def _check_reference(
    by_kind: Sections, index: _LineIndex, section: str, key: str, kind: str, name: str
) -> None:
    if name not in by_kind[kind]:
        raise ConfigurationError(
            f"[{section}] {key} names the unknown {kind} {name!r}.",
            f"Add [{kind} {name}] or correct the name.",
            index.find(section, key),
        )


def _check_references(by_kind: Sections, index: _LineIndex) -> None:
    for name, service in by_kind["service"].items():
        section = f"service {name}"
        _check_reference(by_kind, index, section, "pool", "pool", service.pool)
        for other in service.depends_on:
            _check_reference(by_kind, index, section, "depends_on", "service", other)
        count = len(by_kind["pool"][service.pool].workers)
        if service.min_healthy > count:
            raise ConfigurationError(
                f"[{section}] min_healthy is {service.min_healthy} but its pool has "
                f"{count} workers.",
                "Lower it or add workers.",
                index.find(section, "min_healthy"),
            )
    for name, queue in by_kind["queue"].items():
        section = f"queue {name}"
        _check_reference(by_kind, index, section, "service", "service", queue.service)
        pool = by_kind["pool"][by_kind["service"][queue.service].pool]
        for key in ("cores", "memory_mb"):
            if getattr(queue, key) > getattr(pool, key):
                raise ConfigurationError(
                    f"[{section}] {key} is more than a worker of its pool has, so "
                    "its requests could never run.",
                    "Lower it or give the service a pool of larger workers.",
                    index.find(section, key),
                )
    for name, team in by_kind["team"].items():
        for queue in team.queues:
            if queue != "*":
                _check_reference(
                    by_kind, index, f"team {name}", "queues", "queue", queue
                )


def _check_cycles(services: dict[str, ServiceSection], index: _LineIndex) -> None:
    done: set[str] = set()
    for start in services:
        stack = [(start, iter(services[start].depends_on))]
        path = {start: None}
        while stack and start not in done:
            name, children = stack[-1]
            child = next((c for c in children if c not in done), None)
            if child is None:
                stack.pop()
                path.pop(name, None)
                done.add(name)
            elif child in path:
                names = list(path)
                cycle = " -> ".join([*names[names.index(child) :], child])
                raise ConfigurationError(
                    f"Services depend on each other in a cycle: {cycle}.",
                    "Remove one of these dependencies.",
                    index.find(f"service {name}", "depends_on"),
                )
            else:
                path[child] = None
                stack.append((child, iter(services[child].depends_on)))


def _check_shares(teams: dict[str, TeamSection], index: _LineIndex) -> None:
    total = 0.0
    for name, team in teams.items():
        total += team.share
        if total > 1 + 1e-9:
            raise ConfigurationError(
                f"The shares add up to {total:g}, more than the whole fleet.",
                "Lower shares until they add up to 1 or less.",
                index.find(f"team {name}", "share"),
            )


def _build_workers(by_kind: Sections, index: _LineIndex) -> dict[str, Worker]:
    workers: dict[str, Worker] = {}
    for pool_name, pool in by_kind["pool"].items():
        section = f"pool {pool_name}"
        for item in pool.workers:
            match = _WORKER.fullmatch(item)
            line = index.find(section, "workers")
            if match is None:
                raise ConfigurationError(
                    f"[{section}] {item!r} is no worker.",
                    "Write workers as name@zone/rack.",
                    line,
                )
            name, zone, rack = match.groups()
            _check_reference(by_kind, index, section, "workers", "zone", zone)
            if name in workers:
                raise ConfigurationError(
                    f"Worker {name!r} is in pool {workers[name].pool!r} and in "
                    f"{pool_name!r}.",
                    "List each worker once.",
                    line,
                )
            workers[name] = Worker(
                name=name,
                zone=zone,
                rack=rack,
                pool=pool_name,
                cores=pool.cores,
                memory_mb=pool.memory_mb,
                slots=pool.slots_per_executor,
                accelerators=pool.accelerators,
            )
    return workers


def _build_pool(name: str, section: PoolSection) -> Pool:
    return Pool(
        name=name,
        worker_names=tuple(item.partition("@")[0] for item in section.workers),
        **section.model_dump(exclude={"workers", "accelerators"}),
    )


def _build_queue(name: str, section: QueueSection) -> Queue:
    return Queue(
        name=name,
        open_to_all=section.access == "open",
        serve_stale_keys=section.stale_keys == "serve",
        **section.model_dump(exclude={"access", "stale_keys"}),
    )


def parse_configuration(text: str) -> Configuration:
    """Validate an operators' text.

    :param text: the INI text; see docs/operating.md for its sections.
    :returns: the configuration, every name in it resolved.
    :raises ConfigurationError: with line, cause and remedy, at the first fault.
    """
    index = _LineIndex(text)
    deployment, by_kind = _read_sections(_read_ini(text), index)
    _check_references(by_kind, index)
    _check_cycles(by_kind["service"], index)
    _check_shares(by_kind["team"], index)
    return Configuration(
        name=deployment.name,
        weights=Weights(
            buffer_cost=deployment.weight_buffer_cost,
            rollout_time=deployment.weight_rollout_time,
            moves=deployment.weight_moves,
            share=deployment.weight_share,
        ),
        maintenance_period_hours=deployment.maintenance_period_hours,
        reboot_minutes=deployment.reboot_minutes,
        regions_by_zone={n: z.region for n, z in by_kind["zone"].items()},
        workers_by_name=_build_workers(by_kind, index),
        pools_by_name={n: _build_pool(n, p) for n, p in by_kind["pool"].items()},
        services_by_name={
            n: Service(name=n, **s.model_dump()) for n, s in by_kind["service"].items()
        },
        queues_by_name={n: _build_queue(n, q) for n, q in by_kind["queue"].items()},
        teams_by_name={
            n: Team(name=n, **m.model_dump()) for n, m in by_kind["team"].items()
        },
    )

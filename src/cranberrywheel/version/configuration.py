"""Parses the INI configuration text into a validated :class:`Configuration`."""

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

#: Largest configuration text. The store holds values up to a megabyte, which must
#: also hold the keys and the JSON escapes.
MAX_TEXT_BYTES = 600_000
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_WORKER = re.compile(r"([a-z0-9][a-z0-9-]{0,62})@([a-z0-9-]+)/([a-z0-9-]+)")
_SECTION_LINE = re.compile(r"\s*\[([^\]]*)\]")
_KEY_LINE = re.compile(r"([A-Za-z_][A-Za-z0-9_]*)\s*[=:]")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Worker:
    """A worker as declared in the configuration text."""

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
    """A pool with its declared workers.

    :param worker_names: names of its workers.
    :param cores: cores of each worker.
    :param memory_mb: memory of each worker in MB.
    :param slots_per_executor: number of tasks that each worker runs at once.
    :param connections: largest number of connections to each worker.
    :param spare: whether the pool supplies spare workers.
    """

    name: str
    worker_names: tuple[str, ...]
    cores: float
    memory_mb: int
    slots_per_executor: int
    connections: int
    spare: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service; ``min_healthy`` is the number of workers that must stay available."""

    name: str
    pool: str
    depends_on: tuple[str, ...]
    min_healthy: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queue:
    """A queue with the declared run time and size of its requests."""

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
    """A team; ``share`` is a fraction of the fleet, ``limit`` a number of requests.

    ``limit`` bounds the running requests of the team.
    """

    name: str
    share: float
    limit: int
    queues: tuple[str, ...]

    def may_use(self, queue: str) -> bool:
        """Return whether the team may send requests to a queue.

        :param queue: queue name.
        """
        return "*" in self.queues or queue in self.queues


@dataclasses.dataclass(frozen=True, kw_only=True)
class Weights:
    """Weights of the four terms of the planner's cost function."""

    buffer_cost: float
    rollout_time: float
    moves: float
    share: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """A validated configuration text.

    Names are unique among items of one kind.
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


_SECTION_MODELS: dict[str, type[Section]] = {
    "zone": ZoneSection,
    "pool": PoolSection,
    "service": ServiceSection,
    "queue": QueueSection,
    "team": TeamSection,
}
SectionsByKind = dict[str, dict[str, t.Any]]


class _LineNumbers:
    """Line numbers of the sections and keys of a text, for error messages."""

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


def _parse_ini(text: str) -> configparser.ConfigParser:
    if len(text.encode("utf-8", "replace")) > MAX_TEXT_BYTES:
        raise ConfigurationError(
            f"The text is longer than {MAX_TEXT_BYTES} bytes.", "Split the deployment."
        )
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\x00none", empty_lines_in_values=False
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        line = getattr(error, "lineno", None) or 0
        if parse_errors := getattr(error, "errors", None):
            line = parse_errors[0][0]
        raise ConfigurationError(
            type(error).__name__.removesuffix("Error") + " in the INI text.",
            "Write each section and key once, as '[kind name]' and 'key = value'.",
            line,
        ) from None
    return parser


def _validate(
    model: type[Section], section: str, values: t.Any, line_numbers: _LineNumbers
):
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
            f"[{section}] {key}: {first['msg']}.",
            remedy,
            line_numbers.find(section, key),
        ) from None


def _validate_sections(
    parser: configparser.ConfigParser, line_numbers: _LineNumbers
) -> tuple[DeploymentSection, SectionsByKind]:
    sections_by_kind: SectionsByKind = {kind: {} for kind in _SECTION_MODELS}
    deployment = None
    for section in parser.sections():
        kind, _, name = " ".join(section.split()).partition(" ")
        if section == "deployment":
            deployment = _validate(
                DeploymentSection, section, parser[section], line_numbers
            )
            continue
        if kind not in _SECTION_MODELS or not _NAME.fullmatch(name):
            raise ConfigurationError(
                f"[{section}] is not a known section.",
                "Use [deployment], or [zone|pool|service|queue|team NAME] with a "
                "name of lower-case letters, digits and hyphens.",
                line_numbers.find(" ".join(section.split())),
            )
        if name in sections_by_kind[kind]:
            raise ConfigurationError(
                f"[{section}] is defined twice.",
                "Remove one of the sections.",
                line_numbers.find(section),
            )
        sections_by_kind[kind][name] = _validate(
            _SECTION_MODELS[kind], section, parser[section], line_numbers
        )
    if deployment is None:
        raise ConfigurationError(
            "The [deployment] section is missing.", "Add it with a name."
        )
    return deployment, sections_by_kind


def _check_reference(
    sections_by_kind: SectionsByKind,
    line_numbers: _LineNumbers,
    section: str,
    key: str,
    kind: str,
    name: str,
) -> None:
    if name not in sections_by_kind[kind]:
        raise ConfigurationError(
            f"[{section}] {key} refers to the unknown {kind} {name!r}.",
            f"Add [{kind} {name}] or correct the name.",
            line_numbers.find(section, key),
        )


def _check_references(
    sections_by_kind: SectionsByKind, line_numbers: _LineNumbers
) -> None:
    for name, service in sections_by_kind["service"].items():
        section = f"service {name}"
        _check_reference(
            sections_by_kind, line_numbers, section, "pool", "pool", service.pool
        )
        for other in service.depends_on:
            _check_reference(
                sections_by_kind, line_numbers, section, "depends_on", "service", other
            )
        count = len(sections_by_kind["pool"][service.pool].workers)
        if service.min_healthy > count:
            raise ConfigurationError(
                f"[{section}] min_healthy is {service.min_healthy} but its pool has "
                f"{count} workers.",
                "Lower it or add workers.",
                line_numbers.find(section, "min_healthy"),
            )
    for name, queue in sections_by_kind["queue"].items():
        section = f"queue {name}"
        _check_reference(
            sections_by_kind, line_numbers, section, "service", "service", queue.service
        )
        pool = sections_by_kind["pool"][sections_by_kind["service"][queue.service].pool]
        for key in ("cores", "memory_mb"):
            if getattr(queue, key) > getattr(pool, key):
                raise ConfigurationError(
                    f"[{section}] {key} exceeds that of a worker of its pool, so its "
                    "requests could never run.",
                    "Lower it or assign the service to a pool of larger workers.",
                    line_numbers.find(section, key),
                )
    for name, team in sections_by_kind["team"].items():
        for queue in team.queues:
            if queue != "*":
                _check_reference(
                    sections_by_kind,
                    line_numbers,
                    f"team {name}",
                    "queues",
                    "queue",
                    queue,
                )


def _check_cycles(
    services: dict[str, ServiceSection], line_numbers: _LineNumbers
) -> None:
    visited: set[str] = set()
    for start in services:
        stack = [(start, iter(services[start].depends_on))]
        path = {start: None}
        while stack and start not in visited:
            name, children = stack[-1]
            child = next((other for other in children if other not in visited), None)
            if child is None:
                stack.pop()
                path.pop(name, None)
                visited.add(name)
            elif child in path:
                names = list(path)
                cycle = " -> ".join([*names[names.index(child) :], child])
                raise ConfigurationError(
                    f"Services depend on each other in a cycle: {cycle}.",
                    "Remove one of these dependencies.",
                    line_numbers.find(f"service {name}", "depends_on"),
                )
            else:
                path[child] = None
                stack.append((child, iter(services[child].depends_on)))


def _check_shares(teams: dict[str, TeamSection], line_numbers: _LineNumbers) -> None:
    total = 0.0
    for name, team in teams.items():
        total += team.share
        if total > 1 + 1e-9:
            raise ConfigurationError(
                f"The shares add up to {total:g}, which exceeds the whole fleet.",
                "Lower shares until they add up to 1 or less.",
                line_numbers.find(f"team {name}", "share"),
            )


def _build_workers(
    sections_by_kind: SectionsByKind, line_numbers: _LineNumbers
) -> dict[str, Worker]:
    workers: dict[str, Worker] = {}
    for pool_name, pool in sections_by_kind["pool"].items():
        section = f"pool {pool_name}"
        for item in pool.workers:
            match = _WORKER.fullmatch(item)
            line = line_numbers.find(section, "workers")
            if match is None:
                raise ConfigurationError(
                    f"[{section}] {item!r} is not a worker.",
                    "Write workers as name@zone/rack.",
                    line,
                )
            name, zone, rack = match.groups()
            _check_reference(
                sections_by_kind, line_numbers, section, "workers", "zone", zone
            )
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
    """Parse and validate a configuration text.

    :param text: the INI text; docs/operating.md describes its sections.
    :returns: the configuration; every name in it refers to a defined item.
    :raises ConfigurationError: at the first error, with line, cause and remedy.
    """
    line_numbers = _LineNumbers(text)
    deployment, sections_by_kind = _validate_sections(_parse_ini(text), line_numbers)
    _check_references(sections_by_kind, line_numbers)
    _check_cycles(sections_by_kind["service"], line_numbers)
    _check_shares(sections_by_kind["team"], line_numbers)
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
        regions_by_zone={
            name: zone.region for name, zone in sections_by_kind["zone"].items()
        },
        workers_by_name=_build_workers(sections_by_kind, line_numbers),
        pools_by_name={
            name: _build_pool(name, pool)
            for name, pool in sections_by_kind["pool"].items()
        },
        services_by_name={
            name: Service(name=name, **service.model_dump())
            for name, service in sections_by_kind["service"].items()
        },
        queues_by_name={
            name: _build_queue(name, queue)
            for name, queue in sections_by_kind["queue"].items()
        },
        teams_by_name={
            name: Team(name=name, **team.model_dump())
            for name, team in sections_by_kind["team"].items()
        },
    )

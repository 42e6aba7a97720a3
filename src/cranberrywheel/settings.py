"""Settings of each program, read from an INI file and checked before start."""

import configparser
import dataclasses
import ipaddress
import typing as t

from cranberrywheel.errors import SettingsError


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """How a process reaches the platform.

    :param url: base URL of the platform's HTTP service.
    :param timeout_ms: longest wait for one call.
    """

    url: str
    timeout_ms: int = 2_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaSettings:
    """Hold times and fences of limit units; see docs/design.md, section 4.

    :param short_hold_ms: how long short units stay usable after the last
        lease renewal; also the TTL of the store lease.
    :param short_hold_margin_ms: last part of the short hold, in which nothing
        new starts on short units.
    :param long_hold_ms: the same for long units.
    :param long_fraction: part of a holder's units that are long.
    :param start_token_ms: lifetime of a start token at the worker.
    :param task_lease_ms: how long a task runs without renewal.
    """

    short_hold_ms: int = 150_000
    short_hold_margin_ms: int = 30_000
    long_hold_ms: int = 3_900_000
    long_fraction: float = 0.5
    start_token_ms: int = 2_000
    task_lease_ms: int = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of one entry instance.

    :param instance: name of the machine, as in the instance list.
    :param zone: availability zone.
    :param host: IP number to listen on and to register.
    :param http_port: port for callers and operators.
    :param peer_port: port for other entry instances.
    :param advertised_peer_port: port to register for other entry instances, if
        something relays it to ``peer_port``; 0 for that port itself.
    :param operator_token_file: file with the operators' bearer token.
    :param platform: how to reach the platform.
    :param limits: hold times of limit units.
    :param http_threads: caller connections served at once.
    :param max_body_bytes: largest request or answer body.
    :param key_freshness_ms: age up to which keys count as current.
    :param exchange_interval_ms: time between exchanges with peers.
    :param exchange_fanout: peers asked per interval; 0 asks all.
    :param ticket_lifetime_ms: time from issue in which a ticket can start.
    :param ticket_retention_ms: time after expiry in which a result is kept.
    :param max_tickets: bound on ticket records.
    :param leave_delay_ms: time between failing ``/readyz`` and refusing
        connections, so that the balancer notices.
    :param drain_timeout_ms: longest wait for running requests at shutdown.
    :param statsd_host: where metrics go; empty for none.
    :param statsd_port: UDP port of the metrics server.
    """

    instance: str
    zone: str
    host: str
    http_port: int
    peer_port: int
    operator_token_file: str
    platform: PlatformSettings
    limits: QuotaSettings = QuotaSettings()
    http_threads: int = 256
    max_body_bytes: int = 1_000_000
    key_freshness_ms: int = 5_000
    exchange_interval_ms: int = 500
    exchange_fanout: int = 2
    advertised_peer_port: int = 0
    ticket_lifetime_ms: int = 600_000
    ticket_retention_ms: int = 600_000
    max_tickets: int = 100_000
    leave_delay_ms: int = 1_000
    drain_timeout_ms: int = 60_000
    statsd_host: str = ""
    statsd_port: int = 8125


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannerSettings:
    """Settings of one planner process.

    :param instance: name of the machine, as in the instance list.
    :param zone: availability zone that this planner may act for.
    :param platform: how to reach the platform.
    :param lease_ttl_ms: TTL of the planner's store lease.
    :param interval_ms: time between two rounds of planning.
    :param max_list_age_ms: oldest instance list that a plan may use.
    :param statsd_host: where metrics go; empty for none.
    :param statsd_port: UDP port of the metrics server.
    """

    instance: str
    zone: str
    platform: PlatformSettings
    lease_ttl_ms: int = 15_000
    interval_ms: int = 2_000
    max_list_age_ms: int = 30_000
    statsd_host: str = ""
    statsd_port: int = 8125


_SECTIONS: dict[str, type] = {"platform": PlatformSettings, "limits": QuotaSettings}
_POSITIVE_SUFFIXES = ("_ms", "_port", "_bytes", "_threads")
S = t.TypeVar("S")


def _convert(path: str, section: str, name: str, kind: type, text: str) -> t.Any:
    where = f"{path}: [{section}] {name} = {text!r}"
    try:
        value = kind(text)
    except ValueError:
        raise SettingsError(
            f"{where} is not {'a number' if kind is not str else 'text'}.",
            f"Give a value of type {kind.__name__}.",
        ) from None
    if name.endswith(_POSITIVE_SUFFIXES) and value <= 0:
        raise SettingsError(f"{where} is not above zero.", "Give a positive number.")
    if name.endswith("_port") and value > 65_535:
        raise SettingsError(f"{where} is no port.", "Give a number up to 65535.")
    if name == "long_fraction" and not 0 <= value <= 1:
        raise SettingsError(f"{where} is out of range.", "Give a number from 0 to 1.")
    if name == "host":
        try:
            ipaddress.ip_address(value)
        except ValueError:
            raise SettingsError(
                f"{where} is no IP number.", "Give an IPv4 or IPv6 number."
            ) from None
    if name == "url" and not value.startswith(("http://", "https://")):
        raise SettingsError(f"{where} is no URL.", "Start it with http:// or https://.")
    return value


def _build(
    path: str, parser: configparser.ConfigParser, section: str, cls: type[S]
) -> S:
    values: dict[str, t.Any] = {}
    given = dict(parser[section]) if parser.has_section(section) else {}
    for field in dataclasses.fields(t.cast(t.Any, cls)):
        if field.name in _SECTIONS:
            values[field.name] = _build(path, parser, field.name, _SECTIONS[field.name])
        elif field.name in given:
            text = given.pop(field.name)
            values[field.name] = _convert(
                path, section, field.name, t.cast(type, field.type), text
            )
        elif field.default is dataclasses.MISSING:
            raise SettingsError(
                f"{path}: [{section}] has no {field.name}.",
                f"Add a line '{field.name} = ...' to that section.",
            )
    if given:
        known = ", ".join(
            f.name
            for f in dataclasses.fields(t.cast(t.Any, cls))
            if f.name not in _SECTIONS
        )
        raise SettingsError(
            f"{path}: [{section}] has the unknown key {sorted(given)[0]!r}.",
            f"Remove it or use one of: {known}.",
        )
    return cls(**values)


def _load(path: str, section: str, cls: type[S]) -> S:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path} cannot be read: {error}.", "Check --settings and the file's mode."
        ) from None
    except configparser.Error as error:
        raise SettingsError(
            f"{path} is not an INI file: {' '.join(str(error).split())}.",
            "Write sections in brackets and 'key = value' lines.",
        ) from None
    allowed = {section, *_SECTIONS}
    for name in parser.sections():
        if name not in allowed:
            raise SettingsError(
                f"{path}: unknown section [{name}].",
                f"Remove it or use one of: {', '.join(sorted(allowed))}.",
            )
    return _build(path, parser, section, cls)


def load_entry_settings(path: str) -> EntrySettings:
    """Read and check the settings of an entry instance.

    :param path: INI file with ``[entry]``, ``[platform]`` and, optionally,
        ``[limits]``.
    :returns: checked settings with defaults filled in.
    :raises SettingsError: naming file, section, key, expectation and remedy.
    """
    return _load(path, "entry", EntrySettings)


def load_planner_settings(path: str) -> PlannerSettings:
    """Read and check the settings of a planner.

    :param path: INI file with ``[planner]`` and ``[platform]``.
    :returns: checked settings with defaults filled in.
    :raises SettingsError: naming file, section, key, expectation and remedy.
    """
    return _load(path, "planner", PlannerSettings)

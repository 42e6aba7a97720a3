"""Settings of each program, read from an INI file and validated at startup."""

import configparser
import dataclasses
import ipaddress
import typing as t

from cranberrywheel.errors import SettingsError
from cranberrywheel.submission.features import FeatureSettings, Switch


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """Connection to the platform.

    :param url: base URL of the platform's HTTP service.
    :param timeout_ms: timeout of a call in milliseconds.
    """

    url: str
    timeout_ms: int = 2_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaSettings:
    """Lease times of quota units and tasks; see docs/design.md, section 4.

    :param short_hold_ms: time in milliseconds that units on a short lease stay usable
        after the last renewal; also the time to live of the lease in the store.
    :param short_hold_margin_ms: last part of the short lease in milliseconds, in which
        no task is started on its units.
    :param long_hold_ms: time in milliseconds that units on a long lease stay usable
        after the last renewal.
    :param long_fraction: fraction of a holder's units that are on a long lease.
    :param start_token_ms: lifetime in milliseconds of a start token at the worker.
    :param task_lease_ms: time in milliseconds that a task runs without a renewal of
        its lease.
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
    :param host: IP address to listen on and to register.
    :param http_port: port for callers and operators.
    :param peer_port: port for other entry instances.
    :param advertised_peer_port: port to register for other entry instances if it
        differs from ``peer_port``, for example behind a relay; 0 for ``peer_port``.
    :param operator_token_file: path of the file with the operators' bearer token.
    :param platform: connection to the platform.
    :param limits: lease times of quota units.
    :param http_threads: number of caller connections served at once.
    :param max_body_bytes: largest request or answer body in bytes.
    :param key_freshness_ms: age in milliseconds up to which keys count as current.
    :param exchange_interval_ms: time in milliseconds between exchanges with peers.
    :param exchange_fanout: number of peers contacted per interval; 0 contacts all.
    :param ticket_lifetime_ms: time in milliseconds after its issue in which a ticket
        can start a request.
    :param ticket_retention_ms: time in milliseconds after the expiry of a ticket in
        which its result is kept.
    :param max_tickets: largest number of ticket records.
    :param leave_delay_ms: time in milliseconds between failing ``/readyz`` and
        refusing connections, in which the load balancer stops sending requests.
    :param drain_timeout_ms: longest wait in milliseconds for running requests at
        shutdown.
    :param statsd_host: host of the metrics server; empty to send no metrics.
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
    :param zone: availability zone that this planner may manage.
    :param platform: connection to the platform.
    :param lease_ttl_ms: time to live in milliseconds of the planner's lease in the
        store.
    :param interval_ms: time in milliseconds between two planning rounds.
    :param max_list_age_ms: largest age in milliseconds of an instance list that a plan
        may use.
    :param statsd_host: host of the metrics server; empty to send no metrics.
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
SettingsT = t.TypeVar("SettingsT")


def _parse_value(
    path: str, section: str, name: str, value_type: type, text: str
) -> t.Any:
    setting = f"{path}: [{section}] {name} = {text!r}"
    try:
        value = value_type(text)
    except ValueError:
        if value_type is Switch:
            raise SettingsError(
                f"{setting} is not a switch.",
                f"Use one of: {', '.join(switch.value for switch in Switch)}.",
            ) from None
        raise SettingsError(
            f"{setting} is not {'a number' if value_type is not str else 'text'}.",
            f"Use a value of type {value_type.__name__}.",
        ) from None
    if name.endswith(_POSITIVE_SUFFIXES) and value <= 0:
        raise SettingsError(f"{setting} is not positive.", "Use a number above zero.")
    if name.endswith("_port") and value > 65_535:
        raise SettingsError(f"{setting} is not a port.", "Use a number up to 65535.")
    if name == "long_fraction" and not 0 <= value <= 1:
        raise SettingsError(f"{setting} is out of range.", "Use a number from 0 to 1.")
    if name == "host":
        try:
            ipaddress.ip_address(value)
        except ValueError:
            raise SettingsError(
                f"{setting} is not an IP address.", "Use an IPv4 or IPv6 address."
            ) from None
    if name == "url" and not value.startswith(("http://", "https://")):
        raise SettingsError(
            f"{setting} is not a URL.", "Start it with http:// or https://."
        )
    return value


def _build_settings(
    path: str, parser: configparser.ConfigParser, section: str, cls: type[SettingsT]
) -> SettingsT:
    values: dict[str, t.Any] = {}
    given = dict(parser[section]) if parser.has_section(section) else {}
    for field in dataclasses.fields(t.cast(t.Any, cls)):
        if field.name in _SECTIONS:
            values[field.name] = _build_settings(
                path, parser, field.name, _SECTIONS[field.name]
            )
        elif field.name in given:
            text = given.pop(field.name)
            values[field.name] = _parse_value(
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


def _load_settings(path: str, section: str, cls: type[SettingsT]) -> SettingsT:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path} cannot be read: {error}.",
            "Check the --settings option and the permissions of the file.",
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
    return _build_settings(path, parser, section, cls)


def load_entry_settings(path: str) -> EntrySettings:
    """Read and validate the settings of an entry instance.

    :param path: path of an INI file with the sections ``[entry]``, ``[platform]`` and,
        optionally, ``[limits]``.
    :returns: the settings, with defaults for missing keys.
    :raises SettingsError: if the file is invalid; names file, section, key and remedy.
    """
    return _load_settings(path, "entry", EntrySettings)


def load_planner_settings(path: str) -> PlannerSettings:
    """Read and validate the settings of a planner.

    :param path: path of an INI file with the sections ``[planner]`` and
        ``[platform]``.
    :returns: the settings, with defaults for missing keys.
    :raises SettingsError: if the file is invalid; names file, section, key and remedy.
    """
    return _load_settings(path, "planner", PlannerSettings)


def load_feature_settings(path: str) -> FeatureSettings:
    """Read and validate the switches of a node.

    :param path: path of an INI file with the section ``[scheduling]``.
    :returns: the switches; ``auto`` for missing keys.
    :raises SettingsError: if the file is invalid; names file, section, key and remedy.
    """
    return _load_settings(path, "scheduling", FeatureSettings)

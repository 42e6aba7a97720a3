"""Reads the settings file that the platform gives each process."""

import dataclasses
import os

import pydantic

from cranberrywheel.errors import SettingsError
from cranberrywheel.platform.wire_model import WireModel
from cranberrywheel.submission.platform_timing import PlatformTiming

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "CRANBERRYWHEEL_BOOT"


class _Timing(WireModel):
    grace_s: float = pydantic.Field(6, alias="gracePeriodS")
    # Lease of machine orders, and duration of the maintenance of a machine. The input
    # may use the field names, too, so they stay.
    duty_lease_ms: int = pydantic.Field(3000, alias="leaseDurationMs")
    upkeep_s: float = pydantic.Field(2, alias="maintenanceS")
    # Longest lease of a run.
    hold_max_ms: int = pydantic.Field(10_000, alias="holdMaxMs")
    # Missing where operators cannot evacuate an availability zone.
    evacuation_ms: int = pydantic.Field(0, alias="evacuationMs")


class _Listen(WireModel):
    frontend: str = ""
    ready: str = ""


class _Store(WireModel):
    address: str


class _Cloud(WireModel):
    address: str = ""


class _Limits(WireModel):
    cpu_share: float = pydantic.Field(1.0, alias="cpuShare")
    # Processor speed as a multiple of a core of the reference machine; not the number
    # of cores.
    cpu_speed: float = pydantic.Field(1.0, alias="cpuCores")
    link_mbps: float = pydantic.Field(1000.0, alias="linkMbps")


class _Settings(WireModel):
    node: str = pydantic.Field(alias="nodeName")
    ip: str
    zone: str
    listen: _Listen = pydantic.Field(alias="listenAddrs")
    ports: list[int] = pydantic.Field(alias="internalPorts")
    bounds: _Timing = pydantic.Field(default_factory=_Timing)
    limits: _Limits = pydantic.Field(default_factory=_Limits)
    advisor: str | None = None
    store: _Store = pydantic.Field(alias="platform")
    cloud: _Cloud | None = pydantic.Field(None, alias="cloudApi")


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one process, read at its start.

    :param node: name of the process.
    :param ip: address on which peers and the metrics are served.
    :param zone: availability zone of the instance.
    :param caller_address: ``host:port`` on which callers are served.
    :param readiness_address: ``host:port`` on which the balancer's readiness check is
        served.
    :param peer_port: port on which the other entry instances are served.
    :param store_address: ``host:port`` of the key-value service.
    :param machines_address: ``host:port`` of the machine interface, or ``""``.
    :param advisor_address: ``host:port`` of the advisor, the service that allows
        executors for a step, or ``""``.
    :param cores: processor capacity of the instance, in cores of the reference machine.
    :param link_mbps: bandwidth of the instance's network link, in Mbit/s.
    :param timing: time limits that the platform sets.
    """

    node: str
    ip: str
    zone: str
    caller_address: str
    readiness_address: str
    peer_port: int
    store_address: str
    machines_address: str
    advisor_address: str
    cores: float
    link_mbps: float
    timing: PlatformTiming


def load_settings(path: str | None = None) -> NodeSettings:
    """Read and validate the platform's settings file.

    :param path: path of the file; by default the value of ``CRANBERRYWHEEL_BOOT``.
    :raises SettingsError: if it is missing or invalid; the message names the file, the
        field and the remedy.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(
            f"{SETTINGS_VARIABLE} is not set.",
            "Set it to the path of the settings file.",
        )
    try:
        with open(path, encoding="utf-8") as file:
            wire = _Settings.model_validate_json(file.read())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path} cannot be read: {error}.",
            "Check the path and the file permissions.",
        ) from None
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "the file"
        raise SettingsError(
            f"{path}: {field}: {first['msg']}.",
            "Correct the field in the settings file.",
        ) from None
    if not wire.ports:
        raise SettingsError(f"{path}: internalPorts is empty.", "List two ports.")
    timing = wire.bounds
    return NodeSettings(
        node=wire.node,
        ip=wire.ip,
        zone=wire.zone,
        caller_address=wire.listen.frontend,
        readiness_address=wire.listen.ready,
        peer_port=wire.ports[0],
        store_address=wire.store.address,
        machines_address=wire.cloud.address if wire.cloud else "",
        advisor_address=wire.advisor or "",
        cores=wire.limits.cpu_share * wire.limits.cpu_speed,
        link_mbps=wire.limits.link_mbps,
        timing=PlatformTiming(
            grace_ms=int(timing.grace_s * 1000),
            order_lease_ms=timing.duty_lease_ms,
            maintenance_ms=int(timing.upkeep_s * 1000),
            max_run_lease_ms=timing.hold_max_ms,
            evacuation_ms=timing.evacuation_ms,
        ),
    )

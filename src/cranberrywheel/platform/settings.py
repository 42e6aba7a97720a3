"""Settings file of the platform and the variable that names it."""

import dataclasses
import os

import pydantic

from cranberrywheel.errors import SettingsError
from cranberrywheel.submission.platform_timing import PlatformTiming

SETTINGS_VARIABLE = "CRANBERRYWHEEL_BOOT"


class _Wire(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", populate_by_name=True)


class _Bounds(_Wire):
    grace_s: float = pydantic.Field(6, alias="gracePeriodS")
    duty_lease_ms: int = pydantic.Field(3000, alias="leaseDurationMs")
    upkeep_s: float = pydantic.Field(2, alias="maintenanceS")


class _Listen(_Wire):
    frontend: str = ""
    ready: str = ""


class _Store(_Wire):
    address: str


class _Cloud(_Wire):
    address: str = ""
    duty_per_s: float = pydantic.Field(64, alias="dutyPerS")


class _Limits(_Wire):
    cpu_share: float = pydantic.Field(1.0, alias="cpuShare")
    # Speed of the processor in cores of the reference machine, not their number.
    cpu_speed: float = pydantic.Field(1.0, alias="cpuCores")
    link_mbps: float = pydantic.Field(1000.0, alias="linkMbps")


class _Settings(_Wire):
    node: str = pydantic.Field(alias="nodeName")
    ip: str
    zone: str
    listen: _Listen = pydantic.Field(alias="listenAddrs")
    ports: list[int] = pydantic.Field(alias="internalPorts")
    heartbeat_ms: int = pydantic.Field(1500, alias="heartbeatIntervalMs")
    bounds: _Bounds = pydantic.Field(default_factory=_Bounds)
    limits: _Limits = pydantic.Field(default_factory=_Limits)
    advisor: str | None = None
    store: _Store = pydantic.Field(alias="platform")
    cloud: _Cloud | None = pydantic.Field(None, alias="cloudApi")


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """What the platform tells a process at its start.

    :param front: ``host:port`` for callers.
    :param ready: ``host:port`` for the balancer.
    :param peer_port: port for the other entry instances.
    :param store: ``host:port`` of the key-value service.
    :param machines: ``host:port`` of the machines' interface, or ``""``.
    :param cores: processor of the machine, in cores.
    :param link_mbps: bandwidth of the machine's own link.
    :param advisor: ``host:port`` of the service that allows executors, or ``""``.
    """

    node: str
    ip: str
    zone: str
    front: str
    ready: str
    peer_port: int
    store: str
    machines: str
    advisor: str
    heartbeat_ms: int
    cores: float
    link_mbps: float
    bounds: PlatformTiming


def load_settings(path: str | None = None) -> NodeSettings:
    """Read and check the platform's settings file.

    :param path: the file; by default the one that the environment names.
    :raises SettingsError: naming the file, the field and the remedy.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(
            f"{SETTINGS_VARIABLE} is not set.", "Set it to the settings file's path."
        )
    try:
        with open(path, encoding="utf-8") as file:
            wire = _Settings.model_validate_json(file.read())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path} cannot be read: {error}.", "Check the path and the file's mode."
        ) from None
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "the file"
        raise SettingsError(
            f"{path}: {field}: {first['msg']}.", "Write it as the platform does."
        ) from None
    if not wire.ports:
        raise SettingsError(f"{path}: internalPorts is empty.", "Name two ports.")
    bounds = wire.bounds
    return NodeSettings(
        node=wire.node,
        ip=wire.ip,
        zone=wire.zone,
        front=wire.listen.frontend,
        ready=wire.listen.ready,
        peer_port=wire.ports[0],
        store=wire.store.address,
        machines=wire.cloud.address if wire.cloud else "",
        advisor=wire.advisor or "",
        heartbeat_ms=wire.heartbeat_ms,
        cores=wire.limits.cpu_share * wire.limits.cpu_speed,
        link_mbps=wire.limits.link_mbps,
        bounds=PlatformTiming(
            grace_ms=int(bounds.grace_s * 1000),
            order_lease_ms=bounds.duty_lease_ms,
            maintenance_ms=int(bounds.upkeep_s * 1000),
        ),
    )

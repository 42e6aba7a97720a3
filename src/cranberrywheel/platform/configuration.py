"""Decoding of the operators' configuration from the platform's store."""

import math

import pydantic

from cranberrywheel.configuration_check.entries import ConfigurationEntries, FormatFault
from cranberrywheel.json_body import clamp
from cranberrywheel.platform.wire_model import WireModel
from cranberrywheel.submission.model import (
    AdvisorTiming,
    Configuration,
    Organisation,
    Queue,
    Resources,
    Service,
)
from cranberrywheel.validation import list_format_faults

#: Key prefix of everything that operators write.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
#: Largest time of an advisor that counts, an hour.
MAX_DECISION_MS = 3_600_000


class _Advisor(WireModel):
    decision_ms: float = pydantic.Field(0.0, alias="decisionMs")
    period_ms: float = pydantic.Field(0.0, alias="periodMs")


class _Route(WireModel):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    # Factor and constant part of the latency objective; "target" in the aliases is not
    # a back end. The input may use the field names, too, so they stay.
    goal_factor: float = pydantic.Field(1.0, alias="targetFactor")
    goal_ms: int = pydantic.Field(0, alias="targetLatencyMs")
    timeout_ms: int = pydantic.Field(0, alias="timeoutMs")
    public: bool = False
    advisor: _Advisor | None = None


class _Service(WireModel):
    name: str
    standby: bool = False


class _Quota(WireModel):
    cpu: int = 0
    memory_mb: int = pydantic.Field(0, alias="memMb")
    gpu: int = 0


class _Organisation(WireModel):
    name: str
    api_keys: list[str] = pydantic.Field(default_factory=list, alias="apiKeys")
    weight: float = 1.0
    cap: _Quota = pydantic.Field(default_factory=_Quota)


class _Limits(WireModel):
    max_body_bytes: int = pydantic.Field(262_144, alias="maxBodyBytes")


class _Configuration(WireModel):
    version: int
    routes: list[_Route] = pydantic.Field(default_factory=list)
    services: list[_Service] = pydantic.Field(default_factory=list)
    tenants: list[_Organisation] = pydantic.Field(default_factory=list)
    limits: _Limits = pydantic.Field(default_factory=_Limits)


class ConfigurationFormatError(ValueError):
    """Bytes that :func:`decode_configuration` refuses.

    :param faults: every fault found, in the order of the text.
    """

    def __init__(self, faults: tuple[FormatFault, ...]) -> None:
        super().__init__(f"{faults[0].place}: {faults[0].message}")
        self.faults = faults


def _build_advisor_timing(advisor: _Advisor | None) -> AdvisorTiming:
    if advisor is None:
        return AdvisorTiming()
    return AdvisorTiming(
        math.ceil(clamp(advisor.decision_ms, MAX_DECISION_MS)),
        math.ceil(clamp(advisor.period_ms, MAX_DECISION_MS)),
    )


def _build_queue(route: _Route) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        attempts=max(1, route.attempts),
        objective_factor=route.goal_factor,
        objective_ms=route.goal_ms,
        timeout_ms=route.timeout_ms,
        public=route.public,
        advised=route.advisor is not None,
        advisor_timing=_build_advisor_timing(route.advisor),
    )


def _build_service(service: _Service) -> Service:
    return Service(service.name, service.standby)


def _build_organisation(tenant: _Organisation) -> Organisation:
    return Organisation(
        tenant.name,
        tenant.weight,
        Resources(tenant.cap.cpu, tenant.cap.memory_mb, tenant.cap.gpu),
    )


def decode_configuration(value: bytes) -> Configuration:
    """Decode a configuration.

    :raises ValueError: if the bytes are no valid configuration.
    """
    wire = _Configuration.model_validate_json(value)
    queues = [_build_queue(route) for route in wire.routes]
    by_host: dict[str, list[Queue]] = {}
    for queue in sorted(queues, key=lambda queue: -len(queue.prefix)):
        by_host.setdefault(queue.host, []).append(queue)
    return Configuration(
        version=wire.version,
        queues_by_host={host: tuple(queues) for host, queues in by_host.items()},
        queues_by_key={queue.key: queue for queue in queues},
        services_by_name={
            service.name: _build_service(service) for service in wire.services
        },
        organisations_by_name={
            tenant.name: _build_organisation(tenant) for tenant in wire.tenants
        },
        organisation_by_api_key={
            key: tenant.name for tenant in wire.tenants for key in tenant.api_keys
        },
        max_body_bytes=wire.limits.max_body_bytes,
    )


def decode_entries(value: bytes) -> ConfigurationEntries:
    """Decode the entries of a configuration as written, with their duplicates.

    :raises ConfigurationFormatError: if the bytes are no valid configuration.
    """
    try:
        wire = _Configuration.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise ConfigurationFormatError(list_format_faults(error)) from None
    return ConfigurationEntries(
        version=wire.version,
        queues=tuple(_build_queue(route) for route in wire.routes),
        written_attempts=tuple(route.attempts for route in wire.routes),
        services=tuple(_build_service(service) for service in wire.services),
        organisations=tuple(_build_organisation(tenant) for tenant in wire.tenants),
        api_keys=tuple(tuple(tenant.api_keys) for tenant in wire.tenants),
        max_body_bytes=wire.limits.max_body_bytes,
    )

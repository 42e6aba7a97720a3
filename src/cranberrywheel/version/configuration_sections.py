"""Pydantic models of the sections of the configuration text."""

import typing as t

import pydantic

CommaSeparatedNames = t.Annotated[
    tuple[str, ...],
    pydantic.BeforeValidator(
        lambda text: tuple(
            name.strip() for name in str(text).split(",") if name.strip()
        )
    ),
]


class Section(pydantic.BaseModel):
    """Base of all sections; rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class DeploymentSection(Section):
    """``[deployment]``: name, cost weights and the maintenance period."""

    name: str
    weight_buffer_cost: float = pydantic.Field(1.0, ge=0, le=1000)
    weight_rollout_time: float = pydantic.Field(1.0, ge=0, le=1000)
    weight_moves: float = pydantic.Field(1.0, ge=0, le=1000)
    weight_share: float = pydantic.Field(1.0, ge=0, le=1000)
    maintenance_period_hours: int = pydantic.Field(336, ge=1, le=100_000)
    reboot_minutes: int = pydantic.Field(10, ge=1, le=10_000)


class ZoneSection(Section):
    """``[zone NAME]``: an availability zone and its region."""

    region: str = ""


class PoolSection(Section):
    """``[pool NAME]``: workers as ``name@zone/rack`` and their declared size."""

    workers: CommaSeparatedNames
    cores: float = pydantic.Field(gt=0, le=100_000)
    memory_mb: int = pydantic.Field(gt=0, le=1_000_000_000)
    accelerators: int = pydantic.Field(0, ge=0, le=1000)
    slots_per_executor: int = pydantic.Field(8, ge=1, le=10_000)
    connections: int = pydantic.Field(64, ge=1, le=100_000)
    spare: bool = False


class ServiceSection(Section):
    """``[service NAME]``: its pool, dependencies and availability requirement."""

    pool: str
    depends_on: CommaSeparatedNames = ()
    min_healthy: int = pydantic.Field(ge=0, le=1_000_000)


class QueueSection(Section):
    """``[queue NAME]``: access, run time, size and limits of its requests."""

    service: str
    access: t.Literal["keyed", "open"] = "keyed"
    idempotent: bool = False
    urgent: bool = False
    mean_per_second: float = pydantic.Field(1.0, gt=0, le=1_000_000)
    run_ms: int = pydantic.Field(100, ge=1, le=100_000_000)
    cores: float = pydantic.Field(1.0, gt=0, le=100_000)
    memory_mb: int = pydantic.Field(64, ge=1, le=1_000_000_000)
    timeout_ms: int = pydantic.Field(30_000, ge=1, le=100_000_000)
    max_queued: int = pydantic.Field(500, ge=1, le=1_000_000)
    can_checkpoint: bool = False
    stale_keys: t.Literal["pause", "serve"] = "pause"
    stale_serve_ms: int = pydantic.Field(60_000, ge=1, le=3_600_000)


class TeamSection(Section):
    """``[team NAME]``: its share of the fleet, upper limit and permitted queues."""

    share: float = pydantic.Field(ge=0, le=1)
    limit: int = pydantic.Field(ge=0, le=1_000_000)
    queues: CommaSeparatedNames = ("*",)

"""Description of a local deployment."""

import dataclasses
import typing as t

from cranberrywheel_load.processes import HOST


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClusterPlan:
    """The processes to start and their settings.

    :param text: configuration text; its workers are started as stand-ins.
    :param entry_zones: zone of each entry instance.
    :param planner_zones: zones in which a planner is started.
    :param entry_settings: settings by section and key that differ from the
        defaults, for example ``{"limits": {"short_hold_ms": 9000}}``.
    :param planner_settings: the same for planners.
    :param worker_fields: fields set for all worker stand-ins, such as ``stop_ms``.
    :param with_relays: whether connections to workers, platform and peers pass
        relays, so that zones can be partitioned.
    """

    text: str
    entry_zones: tuple[str, ...]
    planner_zones: tuple[str, ...] = ()
    entry_settings: t.Mapping[str, t.Mapping[str, t.Any]] = dataclasses.field(
        default_factory=dict
    )
    planner_settings: t.Mapping[str, t.Mapping[str, t.Any]] = dataclasses.field(
        default_factory=dict
    )
    worker_fields: t.Mapping[str, t.Any] = dataclasses.field(default_factory=dict)
    with_relays: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryEndpoint:
    """Location and ports of an entry instance.

    :param peer_port: port on which the instance listens for peers.
    :param advertised_peer_port: port that it registers for its peers; the port of a
        relay if the plan has relays.
    """

    name: str
    zone: str
    http_port: int
    peer_port: int
    advertised_peer_port: int

    @property
    def url(self) -> str:
        """Return the base URL for callers and operators."""
        return f"http://{HOST}:{self.http_port}"

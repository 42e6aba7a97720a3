"""What a local deployment consists of."""

import dataclasses
import typing as t

from cranberrywheel_load.processes import HOST


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClusterPlan:
    """What to start.

    :param text: the operators' text; its workers are started as stand-ins.
    :param entry_zones: zone of each entry instance.
    :param planner_zones: zones that get a planner.
    :param entry_settings: settings by section and key that differ from the
        defaults, for example ``{"limits": {"short_hold_ms": 9000}}``.
    :param planner_settings: the same for planners.
    :param worker_fields: fields of all worker stand-ins, such as ``stop_ms``.
    :param with_relays: put relays before workers, platform and peer ports, so
        that zones can be partitioned.
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
    """Where an entry instance listens.

    :param advertised_peer_port: the port that peers learn; a relay's, if there
        are relays.
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

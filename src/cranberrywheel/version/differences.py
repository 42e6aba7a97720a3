"""Readable differences between two configurations."""

import dataclasses
import typing as t

from cranberrywheel.version.configuration import Configuration

_KINDS = (
    ("zone", "regions_by_zone"),
    ("pool", "pools_by_name"),
    ("worker", "workers_by_name"),
    ("service", "services_by_name"),
    ("queue", "queues_by_name"),
    ("team", "teams_by_name"),
)


def _fields(value: t.Any) -> dict[str, t.Any]:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {f.name: getattr(value, f.name) for f in dataclasses.fields(value)}
    return {"value": value}


def _show(value: t.Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "(none)"
    return "(empty)" if value == "" else str(value)


def _changes(label: str, old: t.Any, new: t.Any) -> list[str]:
    before, after = _fields(old), _fields(new)
    return [
        f"{label}: {name} changed from {_show(before[name])} to {_show(after[name])}"
        for name in before
        if before[name] != after[name]
    ]


def list_differences(old: Configuration, new: Configuration) -> list[str]:
    """List what changes from one configuration to another.

    :param old: the configuration before.
    :param new: the configuration after.
    :returns: one sentence for each added, removed or changed item.
    """
    lines = []
    for name in ("name", "maintenance_period_hours", "reboot_minutes"):
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            lines.append(f"deployment: {name} changed from {before} to {after}")
    lines += _changes("weights", old.weights, new.weights)
    for kind, attribute in _KINDS:
        before, after = getattr(old, attribute), getattr(new, attribute)
        for name in sorted(before.keys() | after.keys()):
            label = f"{kind} {name}"
            if name not in after:
                lines.append(f"{label}: removed")
            elif name not in before:
                lines.append(f"{label}: added")
            else:
                lines += _changes(label, before[name], after[name])
    return lines

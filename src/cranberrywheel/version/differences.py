"""Describes the differences between two configurations."""

import dataclasses
import typing as t

from cranberrywheel.version.configuration import Configuration

_COLLECTIONS = (
    ("zone", "regions_by_zone"),
    ("pool", "pools_by_name"),
    ("worker", "workers_by_name"),
    ("service", "services_by_name"),
    ("queue", "queues_by_name"),
    ("team", "teams_by_name"),
)


def _list_fields(value: t.Any) -> dict[str, t.Any]:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {f.name: getattr(value, f.name) for f in dataclasses.fields(value)}
    return {"value": value}


def _format_value(value: t.Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "(none)"
    return "(empty)" if value == "" else str(value)


def _describe_changes(label: str, old: t.Any, new: t.Any) -> list[str]:
    before, after = _list_fields(old), _list_fields(new)
    return [
        f"{label}: {name} changed from {_format_value(before[name])} "
        f"to {_format_value(after[name])}"
        for name in before
        if before[name] != after[name]
    ]


def list_differences(old: Configuration, new: Configuration) -> list[str]:
    """List the differences between two configurations.

    :param old: the configuration before the change.
    :param new: the configuration after the change.
    :returns: one line for each added or removed item and for each changed value.
    """
    lines = []
    for name in ("name", "maintenance_period_hours", "reboot_minutes"):
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            lines.append(f"deployment: {name} changed from {before} to {after}")
    lines += _describe_changes("weights", old.weights, new.weights)
    for kind, attribute in _COLLECTIONS:
        before, after = getattr(old, attribute), getattr(new, attribute)
        for name in sorted(before.keys() | after.keys()):
            label = f"{kind} {name}"
            if name not in after:
                lines.append(f"{label}: removed")
            elif name not in before:
                lines.append(f"{label}: added")
            else:
                lines += _describe_changes(label, before[name], after[name])
    return lines

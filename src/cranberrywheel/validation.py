"""Descriptions of what the validation of a message has refused."""

import pydantic

from cranberrywheel.configuration_check.entries import FormatFault

#: Characters of a refused value that a log line shows.
LOGGED_VALUE_CHARS = 40


def _format_place(location: tuple[int | str, ...]) -> str:
    place = ""
    for part in location:
        if isinstance(part, int):
            place += f"[{part}]"
        else:
            # Keys of a mapping may be any text.
            name = part if part.isidentifier() and part.isascii() else repr(part)
            place += f".{name}" if place else name
    return place


def list_format_faults(error: pydantic.ValidationError) -> tuple[FormatFault, ...]:
    """Return the faults that a validation found.

    The refused values are left out, because they may be API keys.
    """
    details = error.errors(
        include_url=False, include_context=False, include_input=False
    )
    return tuple(
        FormatFault(detail["type"], _format_place(detail["loc"]), detail["msg"])
        for detail in details
    )


def describe_fault(error: pydantic.ValidationError) -> dict[str, str]:
    """Return the fields of a log line for the first fault that a validation found."""
    detail = error.errors(include_url=False, include_context=False)[0]
    return {
        "field": _format_place(detail["loc"]) or "whole value",
        "expected": detail["msg"],
        "value": repr(detail["input"])[:LOGGED_VALUE_CHARS],
    }

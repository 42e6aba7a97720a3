"""Decoding of JSON bodies that other processes wrote."""

import json
import math
import typing as t

#: Errors that fields of unexpected types raise when they are read and converted. An
#: integer of 400 digits raises OverflowError when it becomes a float.
FIELD_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
#: Largest integer that every JSON implementation keeps exactly.
MAX_INTEGER = 2**53


def _parse_finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"number out of range: {text[:20]}")
    return value


def decode_object(body: bytes) -> dict[str, t.Any]:
    """Decode a JSON object of finite numbers.

    :raises ValueError: for any other body: invalid UTF-8 or JSON, nesting that is too
        deep, numbers out of range, or another type.
    """
    try:
        value = json.loads(
            body, parse_float=_parse_finite, parse_constant=_parse_finite
        )
    except RecursionError:
        raise ValueError("nesting is too deep") from None
    if not isinstance(value, dict):
        raise ValueError(f"expected an object, not {type(value).__name__}")
    return value


def read_count(value: t.Any, largest: int = MAX_INTEGER) -> int:
    """Read a whole number from 0 on; a missing or empty value is 0.

    :raises ValueError: if it is not from 0 to ``largest``.
    """
    count = int(value or 0)
    if not 0 <= count <= largest:
        raise ValueError(f"expected 0 to {largest}, not {str(count)[:20]}")
    return count


def clamp(value: t.Any, largest: float) -> float:
    """Read a rough figure; one out of range becomes the nearest from 0 to ``largest``.

    :raises TypeError: if it is not a number.
    """
    return float(min(largest, max(0, value)))


def read_text(value: t.Any, largest: int) -> str:
    """Read a text.

    :raises ValueError: if it has more than ``largest`` characters.
    """
    text = str(value)
    if len(text) > largest:
        raise ValueError(f"expected at most {largest} characters, not {len(text)}")
    return text


def read_list(value: t.Any) -> list[t.Any]:
    """Read a list.

    :raises ValueError: for any other type; a text or a mapping could be iterated, too.
    """
    if not isinstance(value, list):
        raise ValueError(f"expected a list, not {type(value).__name__}")
    return value

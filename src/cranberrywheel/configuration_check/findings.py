"""Results of the check, and how names and keys appear in them."""

import dataclasses
import enum
import hashlib

from cranberrywheel.submission.model import Organisation, Queue

#: Hexadecimal digits of a key's hash that are shown. They tell a few thousand keys
#: apart and do not help to guess a key.
KEY_HASH_DIGITS = 8


class Severity(enum.Enum):
    """``ERROR``: must not be sent. ``WARNING``: has an effect that is rarely meant."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A fault of a configuration.

    :param place: path in the configuration, such as ``routes[2]``, or the name of the
        file.
    :param message: the fault and what it causes.
    :param remedy: how to mend it.
    """

    severity: Severity
    place: str
    message: str
    remedy: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A difference from the version in force.

    :param effect: what it does to running work and to calls.
    """

    place: str
    change: str
    effect: str


def quote(name: str) -> str:
    """Quote a name; characters that cannot be printed are escaped."""
    return repr(name)


def hash_key(api_key: str) -> str:
    """Return the short hash under which an API key is shown."""
    data = api_key.encode("utf-8", "surrogatepass")
    return hashlib.sha256(data).hexdigest()[:KEY_HASH_DIGITS]


def build_error(place: str, message: str, remedy: str) -> Finding:
    """Return a finding that must not be sent."""
    return Finding(Severity.ERROR, place, message, remedy)


def build_warning(place: str, message: str, remedy: str) -> Finding:
    """Return a finding that may be sent."""
    return Finding(Severity.WARNING, place, message, remedy)


def place_route(number: int, queue: Queue) -> str:
    """Return the place of a route."""
    return f"routes[{number}] {quote(queue.name)}"


def place_tenant(number: int, organisation: Organisation) -> str:
    """Return the place of an organisation."""
    return f"tenants[{number}] {quote(organisation.name)}"

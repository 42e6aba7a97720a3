"""Decoded input of the check: entries of a configuration, and machines."""

import dataclasses

from cranberrywheel.submission.model import Organisation, Queue, Resources, Service


@dataclasses.dataclass(frozen=True, slots=True)
class FormatFault:
    """A place in a text that its decoder refuses.

    :param kind: pydantic's type of the error, such as ``missing``.
    :param place: path of the value, such as ``routes[2].prefix``; ``""`` for the whole
        text.
    """

    kind: str
    place: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationEntries:
    """Entries of a configuration as they are written, with their duplicates.

    :param written_attempts: ``attempts`` of each queue before the decoder raises it to
        at least 1.
    :param api_keys: API keys of each organisation, in the order of ``organisations``.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    written_attempts: tuple[int, ...] = ()
    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    api_keys: tuple[tuple[str, ...], ...] = ()
    max_body_bytes: int = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class ListedMachine:
    """A machine of a list.

    :param size: its capacity; ``None`` if the list does not name it.
    """

    pool: str
    size: Resources | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MachineList:
    """A list of machines.

    :param is_complete: no further page follows.
    """

    machines: tuple[ListedMachine, ...]
    is_complete: bool = True

"""One version of the configuration record, as all parts of a process use it."""

import dataclasses

from cranberrywheel.version.configuration import Configuration


@dataclasses.dataclass(frozen=True)
class KeyEntry:
    """A team key as stored: only the hash of its secret."""

    key_id: str
    team: str
    secret_sha256: str


@dataclasses.dataclass(frozen=True)
class ConfigurationSnapshot:
    """One version of the configuration record.

    :param version: store revision of the record.
    :param text_version: counter of text changes.
    :param text: the operators' text.
    :param configuration: the parsed text.
    :param keys_by_id: granted keys; withdrawn ones are absent.
    :param withdrawn_ids: ids of withdrawn keys.
    """

    version: int
    text_version: int
    text: str
    configuration: Configuration
    keys_by_id: dict[str, KeyEntry]
    revoked_key_ids: frozenset[str]

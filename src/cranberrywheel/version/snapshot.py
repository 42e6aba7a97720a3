"""Immutable snapshot of one version of the configuration record."""

import dataclasses

from cranberrywheel.version.configuration import Configuration


@dataclasses.dataclass(frozen=True)
class KeyEntry:
    """A team key as stored, with the hash of its secret instead of the secret."""

    key_id: str
    team: str
    secret_sha256: str


@dataclasses.dataclass(frozen=True)
class ConfigurationSnapshot:
    """One version of the configuration record.

    :param version: store revision of the record.
    :param text_version: number of the text, which increases with each change.
    :param text: the configuration text.
    :param configuration: the parsed text.
    :param keys_by_id: granted keys without the revoked ones.
    :param revoked_key_ids: ids of revoked keys.
    """

    version: int
    text_version: int
    text: str
    configuration: Configuration
    keys_by_id: dict[str, KeyEntry]
    revoked_key_ids: frozenset[str]

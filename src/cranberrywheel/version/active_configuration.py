"""The configuration version that this process uses; versions only increase."""

import threading
import typing as t

import pydantic

from cranberrywheel.connection.store_client import Record
from cranberrywheel.errors import ConfigurationError, StoreError
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel.version.records import StoredRecord, parse_record
from cranberrywheel.version.snapshot import ConfigurationSnapshot, KeyEntry

CONFIGURATION_KEY = "configuration"
#: Number of revoked key ids that the record keeps. They only show processes with a
#: revocation tombstone that the revocation is stored; a revoked key is also absent
#: from ``keys``.
MAX_REVOKED_KEY_IDS = 1_000

_log = ComponentLogger("configuration")


class _KeyBody(pydantic.BaseModel):
    team: str
    secret_sha256: str = pydantic.Field(pattern=r"^[0-9a-f]{64}$")


class _ConfigurationBody(pydantic.BaseModel):
    text: str
    text_version: int = pydantic.Field(ge=1)
    keys: dict[str, _KeyBody] = {}
    withdrawn: tuple[str, ...] = ()


def read_snapshot(stored: StoredRecord) -> ConfigurationSnapshot:
    """Parse the ``configuration`` record into a snapshot.

    :param stored: the record.
    :raises StoreError: if the body is malformed or its text is invalid.
    """
    try:
        body = _ConfigurationBody.model_validate(stored.body)
        configuration = parse_configuration(body.text)
    except (pydantic.ValidationError, ConfigurationError) as error:
        raise StoreError(
            f"The configuration at revision {stored.revision} is invalid: "
            f"{str(error).splitlines()[0]}",
            "Restore the record from the version that an entry process shows.",
        ) from None
    return ConfigurationSnapshot(
        version=stored.revision,
        text_version=body.text_version,
        text=body.text,
        configuration=configuration,
        keys_by_id={
            key_id: KeyEntry(key_id, key.team, key.secret_sha256)
            for key_id, key in body.keys.items()
            if key_id not in body.withdrawn
        },
        revoked_key_ids=frozenset(body.withdrawn),
    )


def build_configuration_body(
    text: str,
    text_version: int,
    keys_by_id: t.Mapping[str, KeyEntry],
    revoked_key_ids: t.Sequence[str],
) -> dict[str, t.Any]:
    """Build the body of the ``configuration`` record.

    :param text: the configuration text.
    :param text_version: number of the text, which increases with each change.
    :param keys_by_id: granted keys.
    :param revoked_key_ids: ids of revoked keys, the newest last; only the newest
        ``MAX_REVOKED_KEY_IDS`` are kept.
    :returns: JSON-serializable body.
    """
    return {
        "text": text,
        "text_version": text_version,
        "keys": {
            key_id: {"team": key.team, "secret_sha256": key.secret_sha256}
            for key_id, key in keys_by_id.items()
        },
        "withdrawn": list(revoked_key_ids)[-MAX_REVOKED_KEY_IDS:],
    }


class ActiveConfiguration:
    """Holds the newest known version of the configuration; thread-safe.

    :param on_adopted: called with each adopted snapshot, in the order of versions.
    """

    def __init__(self, on_adopted: t.Callable[[ConfigurationSnapshot], None]) -> None:
        self._on_adopted = on_adopted
        self._lock = threading.Lock()
        self._snapshot: ConfigurationSnapshot | None = None
        self._record: Record | None = None

    @property
    def snapshot(self) -> ConfigurationSnapshot | None:
        """The snapshot in use, or ``None`` before the first is adopted."""
        return self._snapshot

    @property
    def version(self) -> int:
        """The version in use, or 0 before the first is adopted."""
        snapshot = self._snapshot
        return snapshot.version if snapshot else 0

    @property
    def record(self) -> Record | None:
        """The adopted record as stored, for peers with an older version."""
        return self._record

    def adopt(self, record: Record) -> bool:
        """Adopt a record if its revision is higher than the version in use.

        :param record: the ``configuration`` record from the store or a peer.
        :returns: whether the record was adopted.
        :raises StoreError: if the record is malformed; the version in use stays.
        """
        if record.revision <= self.version:
            return False
        snapshot = read_snapshot(parse_record(record))
        with self._lock:
            if snapshot.version <= self.version:
                return False
            # The callback runs under the lock, so that it receives versions in order,
            # and before the assignment, so that no other thread takes a freshness
            # proof from a version that the callback has not received.
            self._on_adopted(snapshot)
            self._record = record
            self._snapshot = snapshot
        _log.event(
            "adopted configuration",
            version=snapshot.version,
            text_version=snapshot.text_version,
        )
        return True

"""The configuration version in force in this process; it never goes back."""

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
#: Withdrawn ids that the record keeps. They only tell holders of a withdrawal
#: mark that it is stored; a withdrawn key is also absent from ``keys``.
MAX_WITHDRAWN_IDS = 1_000

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
    """Build a snapshot from the ``configuration`` record.

    :param stored: the record.
    :raises StoreError: if the body is malformed.
    """
    try:
        body = _ConfigurationBody.model_validate(stored.body)
        configuration = parse_configuration(body.text)
    except (pydantic.ValidationError, ConfigurationError) as error:
        raise StoreError(
            f"The configuration at revision {stored.revision} is not usable: "
            f"{str(error).splitlines()[0]}",
            "Restore the record from the version shown by an entry.",
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
    withdrawn: t.Sequence[str],
) -> dict[str, t.Any]:
    """Build the body of the ``configuration`` record.

    :param withdrawn: withdrawn ids, the newest last.
    :returns: JSON-ready content.
    """
    return {
        "text": text,
        "text_version": text_version,
        "keys": {
            key_id: {"team": key.team, "secret_sha256": key.secret_sha256}
            for key_id, key in keys_by_id.items()
        },
        "withdrawn": list(withdrawn)[-MAX_WITHDRAWN_IDS:],
    }


class ActiveConfiguration:
    """Holds the newest known version; usable from any thread.

    :param on_adopted: called with each adopted snapshot, in order of versions.
    """

    def __init__(self, on_adopted: t.Callable[[ConfigurationSnapshot], None]) -> None:
        self._on_adopted = on_adopted
        self._lock = threading.Lock()
        self._snapshot: ConfigurationSnapshot | None = None
        self._record: Record | None = None

    @property
    def snapshot(self) -> ConfigurationSnapshot | None:
        """The version in force, or ``None`` before the first."""
        return self._snapshot

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        snapshot = self._snapshot
        return snapshot.version if snapshot else 0

    @property
    def record(self) -> Record | None:
        """The adopted record as stored, for peers that lack it."""
        return self._record

    def adopt(self, record: Record) -> bool:
        """Adopt a record if its revision is higher than the one in force.

        :param record: the ``configuration`` record from the store or a peer.
        :returns: whether it was adopted.
        :raises StoreError: if the record is malformed; nothing changes then.
        """
        if record.revision <= self.version:
            return False
        snapshot = read_snapshot(parse_record(record))
        with self._lock:
            if snapshot.version <= self.version:
                return False
            # Under the lock, so that the receiver sees versions in order; and
            # before others see the version and count it as proven.
            self._on_adopted(snapshot)
            self._record = record
            self._snapshot = snapshot
        _log.event(
            "adopted configuration",
            version=snapshot.version,
            text_version=snapshot.text_version,
        )
        return True

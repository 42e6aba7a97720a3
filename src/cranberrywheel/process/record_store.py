"""Reads and writes JSON records with their envelope; resolves lost answers."""

import typing as t

from cranberrywheel.connection.store_client import Record, StoreClient
from cranberrywheel.errors import StoreConflictError, StoreUnavailableError
from cranberrywheel.version.records import (
    PreparedWrite,
    StoredRecord,
    WriteOutcome,
    parse_record,
    prepare_write,
    resolve_lost_write,
)

#: Largest number of times that one write is sent while no answer arrives.
MAX_WRITE_ATTEMPTS = 3


class RecordStore:
    """Reads and writes records for one writer; not thread-safe.

    :param writer: name of this process in the envelopes.
    """

    def __init__(self, client: StoreClient, writer: str) -> None:
        self._client = client
        self._writer = writer
        self._cached_by_key: dict[str, StoredRecord] = {}

    def read(self, key: str) -> StoredRecord | None:
        """Read a record; an unchanged record is not transferred again.

        :returns: the record, or ``None`` if there is none.
        :raises StoreUnavailableError: if there is no usable answer.
        """
        cached = self._cached_by_key.get(key)
        record = self._client.get(key, newer_than=cached.revision if cached else 0)
        if record == "unchanged":
            return cached
        if record is None:
            self._cached_by_key.pop(key, None)
            return None
        self._cached_by_key[key] = parse_record(record)
        return self._cached_by_key[key]

    def read_all(self, prefix: str) -> dict[str, StoredRecord]:
        """Read all records under a prefix.

        :returns: records by key without the prefix.
        """
        return {
            record.key.removeprefix(prefix): parse_record(record)
            for record in self._client.list(prefix)
        }

    def write(
        self,
        key: str,
        body: dict[str, t.Any],
        base: StoredRecord | None,
        lease: str = "",
    ) -> StoredRecord:
        """Write a record by compare-and-swap.

        :param base: the record that the body was derived from, or ``None``.
        :param lease: lease that the record is bound to, or ``""``.
        :raises StoreConflictError: if another write came before or after this one;
            read the record again.
        :raises StoreUnavailableError: if the outcome is unknown. The write may have
            taken effect, so read the record before the next write.
        """
        write = prepare_write(key, base, self._writer, body)
        for attempt in range(MAX_WRITE_ATTEMPTS):
            try:
                revision = self._client.put(
                    key, write.value, write.expected_revision, lease
                )
                self._cached_by_key[key] = parse_record(
                    Record(key, write.value, revision)
                )
                return self._cached_by_key[key]
            except StoreUnavailableError:
                # A read may show that the write took effect. If it does not, the
                # same write can be sent again: both expect the same revision, so at
                # most one of them takes effect.
                if stored := self._read_back(write):
                    return stored
            except StoreConflictError:
                if attempt and (stored := self._read_back(write)):
                    return stored
                raise
        raise StoreUnavailableError(
            f"{MAX_WRITE_ATTEMPTS} attempts to write {key} were not answered.",
            "Check the platform's key-value service.",
        )

    def _read_back(self, write: PreparedWrite) -> StoredRecord | None:
        stored = self.read(write.key)
        if stored is None:
            return None
        if resolve_lost_write(write, stored) is not WriteOutcome.WRITTEN:
            return None
        if stored.write_id != write.write_id:
            raise StoreConflictError(
                f"{write.key} was overwritten after a write whose answer was lost.",
                "Read the record again.",
                stored.revision,
            )
        return stored

"""Reads and writes JSON records with their envelope and resolves lost answers."""

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

#: Attempts to find out whether a write with a lost answer took effect.
MAX_RESOLVE_ATTEMPTS = 3


class RecordStore:
    """Records of one writer; use it from one thread only.

    :param writer: name of this process in the envelopes.
    """

    def __init__(self, client: StoreClient, writer: str) -> None:
        self._client = client
        self._writer = writer
        self._known: dict[str, StoredRecord] = {}

    def read(self, key: str) -> StoredRecord | None:
        """Read a record; an unchanged one is not transferred again.

        :raises StoreUnavailableError: without a usable answer.
        """
        known = self._known.get(key)
        record = self._client.get(key, newer_than=known.revision if known else 0)
        if record == "unchanged":
            return known
        if record is None:
            self._known.pop(key, None)
            return None
        self._known[key] = parse_record(record)
        return self._known[key]

    def read_all(self, prefix: str) -> dict[str, StoredRecord]:
        """Read all records under a prefix; keys are without the prefix."""
        return {
            record.key.removeprefix(prefix): parse_record(record)
            for record in self._client.list(prefix)
        }

    def write(
        self,
        key: str,
        body: dict[str, t.Any],
        known: StoredRecord | None,
        lease: str = "",
    ) -> StoredRecord:
        """Write a record by compare-and-swap.

        :param known: the record that the body was derived from, or ``None``.
        :raises StoreConflictError: another write came first, or came after this
            one; read the record again.
        :raises StoreUnavailableError: the write may have taken effect; the caller
            must read the record before it writes again.
        """
        write = prepare_write(key, known, self._writer, body)
        for attempt in range(MAX_RESOLVE_ATTEMPTS):
            try:
                revision = self._client.put(
                    key, write.value, write.expected_revision, lease
                )
                self._known[key] = parse_record(Record(key, write.value, revision))
                return self._known[key]
            except StoreUnavailableError:
                # The read may show that the write took effect. If it did not, the
                # same write can be sent again, because only one of both can win.
                if stored := self._find_write(write):
                    return stored
            except StoreConflictError:
                if attempt and (stored := self._find_write(write)):
                    return stored
                raise
        raise StoreUnavailableError(
            f"No answer came to {MAX_RESOLVE_ATTEMPTS} writes of {key}.",
            "Check the platform's key-value service.",
        )

    def _find_write(self, write: PreparedWrite) -> StoredRecord | None:
        stored = self.read(write.key)
        if stored is None:
            return None
        if resolve_lost_write(write, stored) is not WriteOutcome.WRITTEN:
            return None
        if stored.write_id != write.write_id:
            raise StoreConflictError(
                f"{write.key} was written again after the lost answer.",
                "Read it again.",
                stored.revision,
            )
        return stored

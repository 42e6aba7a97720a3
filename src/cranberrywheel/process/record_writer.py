"""Compare-and-swap writes of records; resolves writes whose answer was lost."""

import random

from cranberrywheel.connection.store_client import Record, StoreClient
from cranberrywheel.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.version.records import (
    PreparedWrite,
    StoredRecord,
    WriteOutcome,
    parse_record,
    prepare_write,
    resolve_lost_write,
)

FIRST_BACKOFF_MS = 100
#: Longer pauses would delay the first freshness proof after an outage beyond the
#: freshness bound of 5 s.
MAX_BACKOFF_MS = 2_000
#: Largest number of times that one call of :meth:`RecordWriter.resolve` sends a write
#: again.
MAX_RESENDS = 3

_log = ComponentLogger("store")


class Backoff:
    """Exponential backoff with full jitter."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._failures = 0
        self._until_ms = 0

    def record_failure(self, now_ms: int) -> None:
        """Count a failure and choose a random delay until the next attempt."""
        max_delay_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(self._failures, 10))
        self._failures += 1
        self._until_ms = now_ms + self._random.randint(
            FIRST_BACKOFF_MS // 2, max_delay_ms
        )

    def record_success(self) -> None:
        """Reset the backoff after a success."""
        self._failures = 0

    def allows_attempt(self, now_ms: int) -> bool:
        """Tell whether the next attempt may be made now."""
        return self._failures == 0 or now_ms >= self._until_ms


class RecordWriter:
    """Reads and writes records, with at most one pending write per record.

    :param client: store client of the calling thread.
    :param writer: process id, named as the writer in the records.
    """

    def __init__(self, client: StoreClient, writer: str) -> None:
        self._client = client
        self._writer = writer
        self._unresolved_by_key: dict[str, PreparedWrite] = {}

    def has_unresolved_write(self, key: str) -> bool:
        """Tell whether the outcome of the last write of a record is unknown."""
        return key in self._unresolved_by_key

    def read(self, key: str) -> StoredRecord | None:
        """Read a record.

        :returns: the record, or ``None`` if there is none.
        :raises StoreError: if it is malformed or the store is unavailable.
        """
        record = self._client.get(key)
        return parse_record(record) if isinstance(record, Record) else None

    def write(self, key: str, base: StoredRecord | None, body: dict) -> StoredRecord:
        """Write a record by compare-and-swap.

        :param base: the record that the body was derived from, or ``None``.
        :returns: the new record.
        :raises StoreConflictError: if the record has changed.
        :raises StoreUnavailableError: if the outcome is unknown; call
            :meth:`resolve` before the next write of this record.
        """
        if key in self._unresolved_by_key:
            raise StoreUnavailableError(
                f"The outcome of an earlier write of {key} is unknown.", "Retry later."
            )
        return self._send(prepare_write(key, base, self._writer, body))

    def _send(self, write: PreparedWrite) -> StoredRecord:
        self._unresolved_by_key[write.key] = write
        try:
            revision = self._client.put(write.key, write.value, write.expected_revision)
        except (KeyError, TypeError, ValueError):
            raise StoreUnavailableError(
                f"The store's answer to a write of {write.key} has no revision.",
                "Check the platform's key-value service.",
            ) from None
        except StoreUnavailableError:
            raise
        except StoreError:
            del self._unresolved_by_key[write.key]
            raise
        del self._unresolved_by_key[write.key]
        return parse_record(Record(write.key, write.value, revision))

    def resolve(self, key: str) -> tuple[WriteOutcome, StoredRecord | None]:
        """Find out whether a write without an answer took effect.

        A write that the store has not received may still arrive late. So it is sent
        again until this or another write has changed the record.

        :returns: the outcome and the present record.
        :raises StoreUnavailableError: if the outcome is still unknown.
        """
        write = self._unresolved_by_key[key]
        for _ in range(MAX_RESENDS):
            current = self.read(key)
            outcome = resolve_lost_write(write, current)
            if outcome is not WriteOutcome.PENDING:
                del self._unresolved_by_key[key]
                _log.event(
                    "resolved write without answer", key=key, outcome=outcome.value
                )
                return outcome, current
            try:
                return WriteOutcome.WRITTEN, self._send(write)
            except StoreConflictError:
                self._unresolved_by_key[key] = write
        raise StoreUnavailableError(
            f"The outcome of a write of {key} is still unknown.", "Retry later."
        )

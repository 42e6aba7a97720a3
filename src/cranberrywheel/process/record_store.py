"""Reads and writes JSON records with their envelope and resolves lost answers."""

import dataclasses
import json
import typing as t
import uuid

from cranberrywheel.connection.store_client import StoreClient
from cranberrywheel.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

#: Number of write ids that each writer carries forward.
RECENT_WRITES = 16
#: Attempts to find out whether a write with a lost answer took effect.
MAX_RESOLVE_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredBody:
    """Body of a record with what the next writer needs.

    :param recent_write_ids: ids of the last writes, this one included.
    """

    body: dict[str, t.Any]
    revision: int
    write_id: str
    recent_write_ids: tuple[str, ...]


def _parse(key: str, value: str, revision: int) -> StoredBody:
    try:
        envelope = json.loads(value)
        body = dict(envelope["body"])
        write_id = str(envelope["write_id"])
        recent = [str(i) for i in envelope.get("recent_write_ids", ())]
    except (AttributeError, KeyError, TypeError, ValueError):
        raise StoreError(
            f"The record {key} has no valid envelope.", "Delete or correct it."
        ) from None
    if write_id not in recent:
        recent.append(write_id)
    return StoredBody(
        body=body,
        revision=revision,
        write_id=write_id,
        recent_write_ids=tuple(recent[-RECENT_WRITES:]),
    )


class RecordStore:
    """Records of one writer; use it from one thread only.

    :param writer: name of this process in the envelopes.
    """

    def __init__(self, client: StoreClient, writer: str) -> None:
        self._client = client
        self._writer = writer
        self._known: dict[str, StoredBody] = {}

    def read(self, key: str) -> StoredBody | None:
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
        self._known[key] = _parse(key, record.value, record.revision)
        return self._known[key]

    def read_all(self, prefix: str) -> dict[str, StoredBody]:
        """Read all records under a prefix; keys are without the prefix."""
        return {
            record.key.removeprefix(prefix): _parse(
                record.key, record.value, record.revision
            )
            for record in self._client.list(prefix)
        }

    def write(
        self,
        key: str,
        body: dict[str, t.Any],
        known: StoredBody | None,
        lease: str = "",
    ) -> StoredBody:
        """Write a record by compare-and-swap.

        :param known: the record that the body was derived from, or ``None``.
        :raises StoreConflictError: another write came first, or came after this
            one; read the record again.
        :raises StoreUnavailableError: the write may have taken effect; the caller
            must read the record before it writes again.
        """
        write_id = uuid.uuid4().hex
        before = known.recent_write_ids if known else ()
        recent = (*before, write_id)[-RECENT_WRITES:]
        value = self._dump(body, write_id, recent)
        expected = known.revision if known else 0
        for attempt in range(MAX_RESOLVE_ATTEMPTS):
            try:
                revision = self._client.put(key, value, expected, lease)
                self._known[key] = _parse(key, value, revision)
                return self._known[key]
            except StoreUnavailableError:
                # The read may show that the write took effect. If it did not, the
                # same write can be sent again, because only one of both can win.
                if stored := self._find_write(key, write_id):
                    return stored
            except StoreConflictError:
                if attempt and (stored := self._find_write(key, write_id)):
                    return stored
                raise
        raise StoreUnavailableError(
            f"No answer came to {MAX_RESOLVE_ATTEMPTS} writes of {key}.",
            "Check the platform's key-value service.",
        )

    def _dump(
        self, body: dict[str, t.Any], write_id: str, recent: tuple[str, ...]
    ) -> str:
        envelope = {
            "write_id": write_id,
            "writer": self._writer,
            "recent_write_ids": recent,
            "body": body,
        }
        return json.dumps(envelope)

    def _find_write(self, key: str, write_id: str) -> StoredBody | None:
        stored = self.read(key)
        if stored is None or write_id not in stored.recent_write_ids:
            return None
        if stored.write_id != write_id:
            raise StoreConflictError(
                f"{key} was written again after the lost answer.",
                "Read it again.",
                stored.revision,
            )
        return stored

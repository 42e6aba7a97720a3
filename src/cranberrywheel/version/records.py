"""Envelope of the records in the store, and reading back a lost answer."""

import dataclasses
import enum
import json
import typing as t
import uuid

import pydantic

from cranberrywheel.connection.store_client import Record
from cranberrywheel.errors import StoreError

#: Writes that a record remembers. A writer that resolves its lost answer within
#: that many writes of others learns whether its own took effect.
RECENT_WRITE_IDS = 16


class _Envelope(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    write_id: str = pydantic.Field(min_length=1, max_length=100)
    writer: str = pydantic.Field(max_length=300)
    recent_write_ids: tuple[str, ...] = pydantic.Field(max_length=RECENT_WRITE_IDS)
    body: dict[str, t.Any]


@dataclasses.dataclass(frozen=True)
class StoredRecord:
    """A record of the store with its envelope.

    :param record: as stored.
    :param write_id: identifies the write that made this state.
    :param writer: process id of the writer.
    :param recent_write_ids: earlier writes, the newest first.
    :param body: JSON-ready content.
    """

    record: Record
    write_id: str
    writer: str
    recent_write_ids: tuple[str, ...]
    body: dict[str, t.Any]

    @property
    def key(self) -> str:
        """Key in the store."""
        return self.record.key

    @property
    def revision(self) -> int:
        """Store revision of this state."""
        return self.record.revision


@dataclasses.dataclass(frozen=True)
class PreparedWrite:
    """A write that can be sent again unchanged until its outcome is known.

    :param expected_revision: revision that the compare-and-swap expects.
    :param base_write_id: write id of that revision, or ``""`` for a new record.
    :param value: the whole JSON text.
    """

    key: str
    expected_revision: int
    base_write_id: str
    write_id: str
    value: str


class WriteOutcome(enum.Enum):
    """What a later read tells about a write whose answer was lost."""

    WRITTEN = "written"
    #: Another write came first, so the compare-and-swap can no longer succeed.
    NOT_WRITTEN = "not-written"
    #: The record is unchanged. The lost call may still reach the store, so the
    #: same write has to be sent again before its outcome counts as known.
    PENDING = "pending"
    #: Too many writes followed to tell.
    UNKNOWN = "unknown"


def parse_record(record: Record) -> StoredRecord:
    """Read the envelope of a record.

    :param record: as read from the store.
    :raises StoreError: if the value is not an envelope.
    """
    try:
        envelope = _Envelope.model_validate_json(record.value)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        raise StoreError(
            f"Record {record.key} at revision {record.revision} is malformed: "
            f"{first['msg']}.",
            "Find out which program wrote it and restore the record.",
        ) from None
    return StoredRecord(
        record=record,
        write_id=envelope.write_id,
        writer=envelope.writer,
        recent_write_ids=envelope.recent_write_ids,
        body=envelope.body,
    )


def prepare_write(
    key: str, base: StoredRecord | None, writer: str, body: dict[str, t.Any]
) -> PreparedWrite:
    """Build a write that follows a known state of the record.

    :param key: key in the store.
    :param base: the state that the body was derived from; ``None`` for a new record.
    :param writer: process id of the writer.
    :param body: JSON-ready content.
    """
    write_id = uuid.uuid4().hex
    recent = (base.write_id, *base.recent_write_ids) if base else ()
    value = json.dumps(
        {
            "write_id": write_id,
            "writer": writer,
            "recent_write_ids": recent[:RECENT_WRITE_IDS],
            "body": body,
        },
        separators=(",", ":"),
    )
    return PreparedWrite(
        key=key,
        expected_revision=base.revision if base else 0,
        base_write_id=base.write_id if base else "",
        write_id=write_id,
        value=value,
    )


def resolve_lost_write(
    write: PreparedWrite, current: StoredRecord | None
) -> WriteOutcome:
    """Tell whether a write took effect, from the record read afterwards.

    :param write: the write whose answer was lost.
    :param current: the record as read after that; ``None`` if there is none.
    """
    if current is None:
        if write.expected_revision == 0:
            return WriteOutcome.PENDING
        return WriteOutcome.UNKNOWN
    if write.write_id in (current.write_id, *current.recent_write_ids):
        return WriteOutcome.WRITTEN
    if current.revision <= write.expected_revision:
        return WriteOutcome.PENDING
    # The ids cover every write since the base if the base itself is among them.
    # A record that was new has no base: then the list must not be full.
    if write.base_write_id:
        covered = write.base_write_id in current.recent_write_ids
    else:
        covered = len(current.recent_write_ids) < RECENT_WRITE_IDS
    return WriteOutcome.NOT_WRITTEN if covered else WriteOutcome.UNKNOWN

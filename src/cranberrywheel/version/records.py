"""The envelope of records in the store, and resolution of writes without an answer."""

import dataclasses
import enum
import json
import typing as t
import uuid

import pydantic

from cranberrywheel.connection.store_client import Record
from cranberrywheel.errors import StoreError

#: Number of earlier writes whose ids a record keeps. A writer whose answer was lost
#: can tell whether its write took effect until that many other writes have followed.
RECENT_WRITE_IDS = 16


class _Envelope(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    write_id: str = pydantic.Field(min_length=1, max_length=100)
    writer: str = pydantic.Field(max_length=300)
    recent_write_ids: tuple[str, ...] = pydantic.Field(max_length=RECENT_WRITE_IDS)
    body: dict[str, t.Any]


@dataclasses.dataclass(frozen=True)
class StoredRecord:
    """A record of the store with its parsed envelope.

    :param record: the record as stored.
    :param write_id: id of the write that created this revision.
    :param writer: process id of the writer.
    :param recent_write_ids: ids of earlier writes, the newest first.
    :param body: JSON-serializable body.
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
        """Revision in the store."""
        return self.record.revision


@dataclasses.dataclass(frozen=True)
class PreparedWrite:
    """A write that can be sent again unchanged until its outcome is known.

    :param key: key in the store.
    :param expected_revision: revision that the compare-and-swap expects.
    :param base_write_id: write id of that revision, or ``""`` for a new record.
    :param write_id: id of this write.
    :param value: the complete JSON text.
    """

    key: str
    expected_revision: int
    base_write_id: str
    write_id: str
    value: str


class WriteOutcome(enum.Enum):
    """What a later read shows about a write whose answer was lost."""

    WRITTEN = "written"
    #: Another write took effect first, so the compare-and-swap cannot succeed any more.
    NOT_WRITTEN = "not-written"
    #: The record is unchanged. The call may still reach the store, so the same write
    #: has to be sent again until its outcome is known.
    PENDING = "pending"
    #: Too many other writes followed to decide.
    UNKNOWN = "unknown"


def parse_record(record: Record) -> StoredRecord:
    """Parse the envelope of a record.

    :param record: the record as read from the store.
    :raises StoreError: if the value is not a valid envelope.
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
    """Build a write that replaces a known revision of a record.

    :param key: key in the store.
    :param base: the revision from which the body was derived; ``None`` for a new
        record.
    :param writer: process id of the writer.
    :param body: JSON-serializable body.
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
    """Decide whether a write took effect, from the record read afterwards.

    :param write: the write whose answer was lost.
    :param current: the record read after the write was sent; ``None`` if there is none.
    """
    if current is None:
        if write.expected_revision == 0:
            return WriteOutcome.PENDING
        return WriteOutcome.UNKNOWN
    if write.write_id in (current.write_id, *current.recent_write_ids):
        return WriteOutcome.WRITTEN
    if current.revision <= write.expected_revision:
        return WriteOutcome.PENDING
    # The list covers every write since the base revision if it contains the write id
    # of the base. A new record has no base; then the list must not be full.
    if write.base_write_id:
        covered = write.base_write_id in current.recent_write_ids
    else:
        covered = len(current.recent_write_ids) < RECENT_WRITE_IDS
    return WriteOutcome.NOT_WRITTEN if covered else WriteOutcome.UNKNOWN

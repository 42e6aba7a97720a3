"""The ``limits/<team>`` record: which process holds how many units."""

import typing as t

import pydantic

from cranberrywheel.errors import StoreError


class HolderRow(pydantic.BaseModel):
    """Units of one holder in a ``limits/<team>`` record.

    :param registration: store revision of the holder's registration. It tells
        apart two times in which the same process was missing.
    :param wanted: total units that the holder asks others for, or 0.
    :param target: after the limit was lowered, the units that it may keep.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    long: int = pydantic.Field(0, ge=0)
    short: int = pydantic.Field(0, ge=0)
    registration: int = pydantic.Field(ge=0)
    instance: str
    zone: str
    address: str
    wanted: int = pydantic.Field(0, ge=0)
    target: int | None = pydantic.Field(None, ge=0)

    @property
    def total(self) -> int:
        """Long and short units together."""
        return self.long + self.short


class LimitRecord(pydantic.BaseModel):
    """Body of a ``limits/<team>`` record.

    :param limit: upper limit of the team.
    :param limit_version: configuration version that the limit comes from.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    limit: int = pydantic.Field(ge=0)
    limit_version: int = pydantic.Field(ge=0)
    holders: dict[str, HolderRow] = {}

    @property
    def total(self) -> int:
        """Units held by anyone."""
        return sum(row.total for row in self.holders.values())

    @property
    def free(self) -> int:
        """Units that nobody holds; 0 while a lowered limit is exceeded."""
        return max(0, self.limit - self.total)


def parse(body: dict[str, t.Any]) -> LimitRecord:
    """Read the body of a ``limits/<team>`` record.

    :raises StoreError: if it is malformed.
    """
    try:
        return LimitRecord.model_validate(body)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        raise StoreError(
            f"A limit record is malformed: {first['msg']}.", "Restore the record."
        ) from None


def dump(record: LimitRecord) -> dict[str, t.Any]:
    """Return the JSON-ready body of a record."""
    return record.model_dump(exclude_defaults=True)

"""The ``limits/<team>`` record: how many quota units each process holds."""

import typing as t

import pydantic

from cranberrywheel.errors import StoreError


class HolderRow(pydantic.BaseModel):
    """Units of one holder in a ``limits/<team>`` record.

    :param long: units on a long lease.
    :param short: units on a short lease.
    :param registration: store revision of the holder's registration. It
        distinguishes two absences of the same process.
    :param wanted: total number of units that the holder requests, or 0.
    :param target: number of units that it may keep after the limit was lowered, or
        ``None``.
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
        """Number of units on long and short leases together."""
        return self.long + self.short


class LimitRecord(pydantic.BaseModel):
    """Body of a ``limits/<team>`` record.

    :param limit: limit of the team over all entries.
    :param limit_version: configuration version that set the limit.
    :param holders: rows by process id.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    limit: int = pydantic.Field(ge=0)
    limit_version: int = pydantic.Field(ge=0)
    holders: dict[str, HolderRow] = {}

    @property
    def total(self) -> int:
        """Number of units that any process holds."""
        return sum(row.total for row in self.holders.values())

    @property
    def free(self) -> int:
        """Number of units that no process holds; 0 while the limit is exceeded."""
        return max(0, self.limit - self.total)


def parse(body: dict[str, t.Any]) -> LimitRecord:
    """Parse the body of a ``limits/<team>`` record.

    :raises StoreError: if it is malformed.
    """
    try:
        return LimitRecord.model_validate(body)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        raise StoreError(
            f"A limit record is malformed: {first['msg']}.",
            "Restore the record.",
        ) from None


def dump(record: LimitRecord) -> dict[str, t.Any]:
    """Return the JSON-serializable body of a record."""
    return record.model_dump(exclude_defaults=True)

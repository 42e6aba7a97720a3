"""Base of the validated models of the platform's messages."""

import typing as t

import pydantic

#: Longest name of a thing, in characters; the store's keys have at most 200 bytes.
MAX_NAME_CHARS = 200
Name = t.Annotated[str, pydantic.StringConstraints(max_length=MAX_NAME_CHARS)]


class WireModel(pydantic.BaseModel):
    """A message of which unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore", populate_by_name=True)

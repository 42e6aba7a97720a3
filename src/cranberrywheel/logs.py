"""One event a line, with a fixed prefix for each part and key=value fields."""

import typing as t

from absl import logging


def format_field(value: t.Any) -> str:
    """Render one value; text with blanks or quotes is quoted.

    :param value: any value; floats keep three decimals.
    :returns: text without line breaks.
    """
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if text and not any(c.isspace() or c in '"=' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + " ".join(escaped.splitlines()) + '"'


class PartLogger:
    """Writes events of one part of the program.

    :param prefix: name of the part, at the start of each line.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def _line(self, event: str, fields: dict[str, t.Any]) -> str:
        pairs = "".join(f" {k}={format_field(v)}" for k, v in fields.items())
        return f"[{self.prefix}] {event}{pairs}"

    @logging.skip_log_prefix
    def event(self, event: str, **fields: t.Any) -> None:
        """Log something that happened as planned.

        :param event: a short sentence without a full stop.
        :param fields: values, in the order given.
        """
        logging.info("%s", self._line(event, fields))

    @logging.skip_log_prefix
    def warning(self, event: str, **fields: t.Any) -> None:
        """Log something that an operator may want to look at."""
        logging.warning("%s", self._line(event, fields))

"""Logging of one event per line, with a component prefix and ``key=value`` fields."""

import collections
import logging as standard_logging
import os
import sys
import threading
import time
import typing as t

from absl import logging

#: Largest number of buffered lines. Further lines are dropped and counted while the
#: reader of standard output does not keep up.
MAX_BUFFERED_LINES = 5_000
#: Time between two writes of the buffered lines.
FLUSH_INTERVAL_S = 0.25
#: Largest single write. Writes to a pipe are atomic up to this size (``PIPE_BUF``), so
#: that a reader of several processes never receives part of a line.
MAX_WRITE_BYTES = 4_096


def format_field(value: t.Any) -> str:
    """Format a field value; quote text that is empty or holds blanks, ``"`` or ``=``.

    :param value: any value; floats are rounded to three decimal places.
    :returns: text without line breaks.
    """
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if text and not any(char.isspace() or char in '"=' for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + " ".join(escaped.splitlines()) + '"'


class ComponentLogger:
    """Logs the events of one component of the program.

    :param prefix: name of the component, at the start of each line.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def _format_line(self, event: str, fields: dict[str, t.Any]) -> str:
        pairs = "".join(
            f" {name}={format_field(value)}" for name, value in fields.items()
        )
        return f"[{self.prefix}] {event}{pairs}"

    @logging.skip_log_prefix
    def event(self, event: str, **fields: t.Any) -> None:
        """Log an expected event at level INFO.

        :param event: short description without a full stop.
        :param fields: values to log, in this order.
        """
        logging.info("%s", self._format_line(event, fields))

    @logging.skip_log_prefix
    def warning(self, event: str, **fields: t.Any) -> None:
        """Log an event at level WARNING that an operator may need to examine.

        :param event: short description without a full stop.
        :param fields: values to log, in this order.
        """
        logging.warning("%s", self._format_line(event, fields))

    @logging.skip_log_prefix
    def failure(self, event: str, error: BaseException, **fields: t.Any) -> None:
        """Log an unexpected exception at level ERROR, with its location in the source.

        :param event: short description without a full stop.
        :param error: the exception.
        :param fields: further fields of the line.
        """
        last = error.__traceback__
        while last is not None and last.tb_next is not None:
            last = last.tb_next
        location = ""
        if last is not None:
            name = last.tb_frame.f_code.co_filename.rpartition("/")[2]
            location = f"{name}:{last.tb_lineno}"
        logging.error(
            "%s",
            self._format_line(event, {**fields, "error": repr(error), "at": location}),
        )


def _batch_lines(lines: list[str]) -> t.Iterator[bytes]:
    """Join lines into blocks that can be written to a pipe atomically."""
    block = b""
    for line in lines:
        # Text of other processes may hold surrogates, which UTF-8 cannot encode. An
        # error here would end the thread that writes all lines.
        data = line.encode(errors="backslashreplace") + b"\n"
        if block and len(block) + len(data) > MAX_WRITE_BYTES:
            yield block
            block = b""
        block += data
    if block:
        yield block


class _LineBuffer(standard_logging.Handler):
    """Buffers lines for a writer thread, so that logging never blocks."""

    def __init__(self) -> None:
        super().__init__()
        self._lines: collections.deque[str] = collections.deque()
        self._dropped = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def emit(self, record: standard_logging.LogRecord) -> None:
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        milliseconds = int(record.created * 1000)
        self._lines.append(
            f"{record.levelname[0]} {milliseconds} {record.getMessage()}"
        )

    def _run(self) -> None:
        while not self._stopped.wait(FLUSH_INTERVAL_S):
            self._write_buffered()
        self._write_buffered()

    def _write_buffered(self) -> None:
        if not self._lines:
            return
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if self._dropped:
            lines.append(f"W {int(time.time() * 1000)} [log] dropped={self._dropped}")
            self._dropped = 0
        for data in _batch_lines(lines):
            while data:
                data = data[os.write(sys.stdout.fileno(), data) :]

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join(timeout=1)


def log_to_stdout() -> t.Callable[[], None]:
    """Start writing all events to standard output through a bounded buffer.

    :returns: a function that writes the buffered lines and stops the writer thread.
    """
    buffer = _LineBuffer()
    root = standard_logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    logger = logging.get_absl_logger()
    logger.handlers[:] = [buffer]
    logger.propagate = False
    buffer.start()
    return buffer.stop

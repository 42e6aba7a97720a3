"""One event a line, with a fixed prefix for each part and key=value fields."""

import collections
import logging as standard_logging
import os
import sys
import threading
import time
import typing as t

from absl import logging

#: Lines that wait for a reader of standard output; further ones are counted only.
MAX_WAITING_LINES = 5_000
#: Time between two writes of the waiting lines.
FLUSH_S = 0.25
#: Largest single write. Up to this size a pipe takes a write whole, so that a reader
#: of several processes never sees half a line.
MAX_WRITE_BYTES = 4_096


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


class ComponentLogger:
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

    @logging.skip_log_prefix
    def failure(self, event: str, error: BaseException) -> None:
        """Log an exception that no code expected, with its place in the source."""
        last = error.__traceback__
        while last is not None and last.tb_next is not None:
            last = last.tb_next
        place = ""
        if last is not None:
            name = last.tb_frame.f_code.co_filename.rpartition("/")[2]
            place = f"{name}:{last.tb_lineno}"
        logging.error("%s", self._line(event, {"error": repr(error), "at": place}))


def _whole_lines(lines: list[str]) -> t.Iterator[bytes]:
    """Join lines to writes that a pipe takes whole."""
    block = b""
    for line in lines:
        data = line.encode() + b"\n"
        if block and len(block) + len(data) > MAX_WRITE_BYTES:
            yield block
            block = b""
        block += data
    if block:
        yield block


class _LineBuffer(standard_logging.Handler):
    """Keeps lines until the writer thread takes them; never blocks a caller."""

    def __init__(self) -> None:
        super().__init__()
        self._lines: collections.deque[str] = collections.deque()
        self._dropped = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def emit(self, record: standard_logging.LogRecord) -> None:
        if len(self._lines) >= MAX_WAITING_LINES:
            self._dropped += 1
            return
        milliseconds = int(record.created * 1000)
        self._lines.append(
            f"{record.levelname[0]} {milliseconds} {record.getMessage()}"
        )

    def _run(self) -> None:
        while not self._stopped.wait(FLUSH_S):
            self._write()
        self._write()

    def _write(self) -> None:
        if not self._lines:
            return
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if self._dropped:
            lines.append(f"W {int(time.time() * 1000)} [log] dropped={self._dropped}")
            self._dropped = 0
        for data in _whole_lines(lines):
            while data:
                data = data[os.write(sys.stdout.fileno(), data) :]

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join(timeout=1)


def log_to_stdout() -> t.Callable[[], None]:
    """Write all events to standard output through a bounded buffer.

    :returns: a function that writes what is left and ends the writer.
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

"""Writes histories in the format of :mod:`cranberrywheel_spec.history_events`."""

import json
import threading
import time
import typing as t


class HistoryWriter:
    """Appends events as JSON lines; safe to use from several threads.

    Each line is flushed, so that a killed process loses at most its last line.

    :param path: file to append to, or ``""`` to write nothing.
    """

    def __init__(self, path: str) -> None:
        self._lock = threading.Lock()
        self._file = open(path, "a", encoding="utf-8") if path else None

    def write(self, event: str, **fields: t.Any) -> None:
        """Write one event with the present reading of the monotonic clock."""
        if self._file is None:
            return
        # Read under the lock: lines are then in the order of their readings.
        with self._lock:
            at_ms = time.monotonic_ns() / 1e6
            line = json.dumps({"event": event, "at_ms": at_ms, **fields})
            self._file.write(line + "\n")
            self._file.flush()

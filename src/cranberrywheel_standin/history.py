"""Writes histories in the format of :mod:`cranberrywheel_spec.history_events`."""

import json
import threading
import time
import typing as t

from cranberrywheel_standin.worker import Task


class HistoryWriter:
    """Appends events as JSON lines; safe to use from several threads.

    Each line is flushed, so that a process that is killed loses at most its last line.

    :param path: file to append to, or ``""`` to write nothing.
    """

    def __init__(self, path: str) -> None:
        self._lock = threading.Lock()
        self._file = open(path, "a", encoding="utf-8") if path else None

    def write(self, event: str, **fields: t.Any) -> None:
        """Write one event with the current time of the monotonic clock."""
        if self._file is None:
            return
        # The clock is read under the lock, so that the lines are in order of time.
        with self._lock:
            at_ms = time.monotonic_ns() / 1e6
            line = json.dumps({"event": event, "at_ms": at_ms, **fields})
            self._file.write(line + "\n")
            self._file.flush()


def build_task_recorder(history: HistoryWriter) -> t.Callable[[str, str, Task], None]:
    """Build a function that writes starts and ends of tasks on workers."""

    def record(event: str, worker: str, task: Task) -> None:
        # Task ids are unique per worker only: a retry on another worker may reuse one.
        fields = {"worker": worker, "task": f"{worker}/{task.order.task_id}"}
        if event == "task_start":
            order = task.order
            fields |= {"request": order.request, "team": order.team}
            history.write(event, queue=order.queue, **fields)
        else:
            how = "expired" if task.reason == "lease-expired" else task.state
            history.write(event, how=how, **fields)

    return record


def build_state_recorder(history: HistoryWriter) -> t.Callable[[str, str], None]:
    """Build a function that writes when instances leave or return."""

    def record(instance: str, state: str) -> None:
        event = "leaving" if state == "leaving" else "returned"
        history.write(event, worker=instance)

    return record


def build_write_recorder(history: HistoryWriter) -> t.Callable[[str, str, int], None]:
    """Build a function that writes quota unit and pool records of the store."""

    def record(key: str, value: str, revision: int) -> None:
        kind, _, name = key.partition("/")
        if kind not in ("limits", "pools"):
            return
        body = json.loads(value)["body"]
        if kind == "limits":
            # The record omits counts of zero.
            held = {
                holder: row.get("long", 0) + row.get("short", 0)
                for holder, row in body.get("holders", {}).items()
            }
            limit = body.get("limit", 0)
            fields = {"team": name, "limit": limit, "held_by_holder": held}
            history.write("units", revision=revision, **fields)
            return
        assignments = {
            instance: {"pool": row["pool"], "state": row["state"]}
            for instance, row in body["instances"].items()
        }
        fields = {"zone": name, "fence": body["fence"], "instances": assignments}
        history.write("pool_record", revision=revision, **fields)

    return record

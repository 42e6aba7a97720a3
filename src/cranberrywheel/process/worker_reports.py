"""Polls workers over HTTP for their tasks and estimates usage from the responses."""

import collections
import concurrent.futures
import dataclasses
import io
import json
import typing as t
import urllib.parse

import pycurl

from cranberrywheel.process.fleet_model import QueueUsage, WorkerReport
from cranberrywheel.version.configuration import Configuration

TIMEOUT_MS = 1_000
MAX_RESPONSE_BYTES = 1_000_000
#: Workers polled at the same time, so that dead ones delay a round only a little.
POLL_THREADS = 16
#: Fewer failed tasks than this may be due to the requests.
MIN_FAILURES = 5
#: Weight of one sample in the moving averages. At one sample a minute, half of the
#: weight lies on the last four hours, which cover many bursts and quiet periods.
SAMPLE_WEIGHT = 0.003
#: Fewer samples may all lie in one burst or one quiet period.
MIN_SAMPLES = 30


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskStatus:
    """Status of one task, as its worker reports it.

    :param state: ``running``, ``finished``, ``failed`` or ``stopped``.
    :param deadline_ms: milliseconds until its deadline, or ``None`` if not reported.
    :param cores: cores that it uses, or 0 if not reported.
    :param memory_mb: memory that it uses, or 0 if not reported.
    """

    task_id: str
    state: str
    queue: str = ""
    deadline_ms: int | None = None
    cores: float = 0.0
    memory_mb: float = 0.0


def parse_tasks(body: t.Any) -> tuple[TaskStatus, ...]:
    """Parse the response to ``GET /v1/tasks``.

    :param body: decoded JSON, ``{"tasks": [...]}`` or the list itself.
    :raises ValueError: if it has another form.
    """
    rows = body.get("tasks") if isinstance(body, dict) else body
    if not isinstance(rows, list):
        raise ValueError("the response holds no list of tasks")
    try:
        return tuple(
            TaskStatus(
                task_id=str(row.get("id") or row.get("task_id") or ""),
                state=str(row.get("state") or row.get("status") or "running"),
                queue=str(row.get("queue") or ""),
                deadline_ms=(
                    int(row["deadline_ms"])
                    if row.get("deadline_ms") is not None
                    else None
                ),
                cores=float(row.get("cores") or 0),
                memory_mb=float(row.get("memory_mb") or 0),
            )
            for row in rows
        )
    except (AttributeError, TypeError) as error:
        raise ValueError(f"the response holds a malformed task: {error}") from None


def call_worker(address: str, path: str, method: str = "GET") -> t.Any:
    """Send one HTTP request to a worker.

    :param address: ``host:port`` from the instance list.
    :returns: the decoded JSON, or ``None`` if there is no valid response.
    """
    response = io.BytesIO()

    def write(chunk: bytes) -> int | None:
        if response.tell() + len(chunk) > MAX_RESPONSE_BYTES:
            return -1
        return response.write(chunk)

    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, f"http://{address}{path}")
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
        curl.setopt(pycurl.WRITEFUNCTION, write)
        if method == "POST":
            curl.setopt(pycurl.POSTFIELDS, b"")
        curl.perform()
        if curl.getinfo(pycurl.RESPONSE_CODE) != 200:
            return None
        return json.loads(response.getvalue())
    except (pycurl.error, ValueError):
        return None
    finally:
        curl.close()


class WorkerClient:
    """Sends HTTP requests to several workers at the same time."""

    def __init__(self) -> None:
        self._executor = concurrent.futures.ThreadPoolExecutor(POLL_THREADS, "workers")

    def tasks(
        self, addresses_by_name: t.Mapping[str, str]
    ) -> dict[str, tuple[TaskStatus, ...] | None]:
        """Fetch the tasks of each worker, or ``None`` if it did not answer."""
        responses = self._executor.map(self._fetch_tasks, addresses_by_name.values())
        return dict(zip(addresses_by_name, responses, strict=True))

    @staticmethod
    def _fetch_tasks(address: str) -> tuple[TaskStatus, ...] | None:
        body = call_worker(address, "/v1/tasks")
        try:
            return None if body is None else parse_tasks(body)
        except ValueError:
            return None

    def checkpoint(self, address: str, task_id: str) -> None:
        """Request a checkpoint of a task without waiting for the response."""
        path = f"/v1/tasks/{urllib.parse.quote(task_id, safe='')}/checkpoint"
        self._executor.submit(call_worker, address, path, "POST")

    def close(self) -> None:
        """Wait for the requests in progress and stop the threads."""
        self._executor.shutdown()


def summarize_worker(
    configuration: Configuration, tasks: tuple[TaskStatus, ...] | None
) -> WorkerReport:
    """Summarize the tasks of a worker.

    A running task without a reported deadline counts with the timeout of its queue.

    :param tasks: tasks of the worker, or ``None`` if it did not answer.
    """
    if tasks is None:
        return WorkerReport(reachable=False)
    running = [task for task in tasks if task.state == "running"]
    drain_ms = 0
    for task in running:
        queue = configuration.queues_by_name.get(task.queue)
        if queue and queue.can_checkpoint:
            continue
        limit_ms = queue.timeout_ms if queue else 0
        left_ms = limit_ms if task.deadline_ms is None else task.deadline_ms
        drain_ms = max(drain_ms, left_ms)
    states = collections.Counter(task.state for task in tasks)
    return WorkerReport(
        running=len(running),
        drain_ms=drain_ms,
        fails_everything=states["failed"] >= MIN_FAILURES and not states["finished"],
    )


class UsageEstimator:
    """Estimates the mean number of running requests per queue in one zone."""

    def __init__(self) -> None:
        self._samples = 0
        self._busy_by_queue: dict[str, float] = {}
        self._sizes_by_queue: dict[str, tuple[float, float]] = {}

    def sample(
        self, tasks_by_name: t.Mapping[str, tuple[TaskStatus, ...] | None]
    ) -> None:
        """Add one sample of the tasks of all workers in the zone."""
        running: collections.Counter[str] = collections.Counter()
        for tasks in tasks_by_name.values():
            for task in tasks or ():
                if task.state == "running" and task.queue:
                    running[task.queue] += 1
                    if task.cores and task.memory_mb:
                        self._sizes_by_queue[task.queue] = (task.cores, task.memory_mb)
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._samples)
        for name in self._busy_by_queue.keys() | running.keys():
            mean = self._busy_by_queue.get(name, 0.0)
            self._busy_by_queue[name] = mean + (running[name] - mean) * weight

    def to_body(self, now_ms: int) -> dict[str, t.Any] | None:
        """Return the body of the ``usage/<zone>`` record.

        :returns: ``None`` if there are too few samples yet.
        """
        if self._samples < MIN_SAMPLES:
            return None
        queues = {
            name: {"busy": round(busy, 3), "size": self._sizes_by_queue.get(name)}
            for name, busy in self._busy_by_queue.items()
        }
        return {"taken_ms": now_ms, "queues": queues}


def sum_usage(
    configuration: Configuration, bodies: t.Iterable[dict[str, t.Any]], now_ms: int
) -> dict[str, QueueUsage]:
    """Return the usage by queue, summed over the ``usage/<zone>`` records.

    :param bodies: bodies of the records.
    :param now_ms: wall clock in milliseconds.
    """
    usage: dict[str, QueueUsage] = {}
    for body in bodies:
        age_ms = max(0, now_ms - int(body["taken_ms"]))
        for name, row in body["queues"].items():
            queue = configuration.queues_by_name.get(name)
            if queue is None:
                continue
            before = usage.get(name)
            cores, memory_mb = row["size"] or (queue.cores, queue.memory_mb)
            usage[name] = QueueUsage(
                busy=row["busy"] + (before.busy if before else 0),
                cores=max(cores, before.cores if before else 0),
                memory_mb=max(memory_mb, before.memory_mb if before else 0),
                age_ms=max(age_ms, before.age_ms if before else 0),
            )
    return usage

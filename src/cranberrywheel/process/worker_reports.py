"""Asks workers over HTTP for their tasks and learns from the answers."""

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
MAX_ANSWER_BYTES = 1_000_000
#: Workers asked at once; dead ones then delay a round by little.
ASK_THREADS = 16
#: Fewer failures than this say little about a worker.
MIN_FAILURES = 5
#: Weight of one sample in the learned means. At one sample a minute, half of the
#: weight lies on the last four hours, which cover many bursts and lulls.
SAMPLE_WEIGHT = 0.003
#: Fewer samples may all lie in one burst or one lull.
MIN_SAMPLES = 30


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskStatus:
    """One task that a worker lists.

    :param state: ``running``, ``finished``, ``failed`` or ``stopped``.
    :param deadline_ms: time left until its deadline, or ``None`` if not given.
    :param cores: cores it takes, or 0 if not given.
    """

    task_id: str
    state: str
    queue: str = ""
    deadline_ms: int | None = None
    cores: float = 0.0
    memory_mb: float = 0.0


def parse_tasks(body: t.Any) -> tuple[TaskStatus, ...]:
    """Read the answer to ``GET /v1/tasks``.

    :param body: ``{"tasks": [...]}`` or the list itself.
    :raises ValueError: if it has another form.
    """
    rows = body.get("tasks") if isinstance(body, dict) else body
    if not isinstance(rows, list):
        raise ValueError("no list of tasks")
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
        raise ValueError(f"a task is malformed: {error}") from None


def call_worker(address: str, path: str, method: str = "GET") -> t.Any:
    """Make one HTTP call to a worker.

    :param address: ``host:port`` from the instance list.
    :returns: the decoded JSON, or ``None`` without a usable answer.
    """
    answer = io.BytesIO()

    def write(chunk: bytes) -> int | None:
        if answer.tell() + len(chunk) > MAX_ANSWER_BYTES:
            return -1
        return answer.write(chunk)

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
        return json.loads(answer.getvalue())
    except (pycurl.error, ValueError):
        return None
    finally:
        curl.close()


class WorkerClient:
    """Asks several workers at once."""

    def __init__(self) -> None:
        self._executor = concurrent.futures.ThreadPoolExecutor(ASK_THREADS, "workers")

    def tasks(
        self, addresses_by_name: t.Mapping[str, str]
    ) -> dict[str, tuple[TaskStatus, ...] | None]:
        """Return the tasks of each worker, or ``None`` for one that is silent."""
        answers = self._executor.map(self._tasks, addresses_by_name.values())
        return dict(zip(addresses_by_name, answers, strict=True))

    @staticmethod
    def _tasks(address: str) -> tuple[TaskStatus, ...] | None:
        body = call_worker(address, "/v1/tasks")
        try:
            return None if body is None else parse_tasks(body)
        except ValueError:
            return None

    def checkpoint(self, address: str, task_id: str) -> None:
        """Ask a worker to checkpoint a task; a refusal leaves it running."""
        path = f"/v1/tasks/{urllib.parse.quote(task_id, safe='')}/checkpoint"
        self._executor.submit(call_worker, address, path, "POST")

    def close(self) -> None:
        """Wait for the calls in progress."""
        self._executor.shutdown()


def summarize_worker(
    configuration: Configuration, tasks: tuple[TaskStatus, ...] | None
) -> WorkerReport:
    """Summarize the tasks of a worker.

    A running task without a known end counts with the timeout of its queue.
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
    """Learns the mean number of running requests per queue in one zone."""

    def __init__(self) -> None:
        self._samples = 0
        self._busy_by_queue: dict[str, float] = {}
        self._sizes_by_queue: dict[str, tuple[float, float]] = {}

    def sample(
        self, tasks_by_name: t.Mapping[str, tuple[TaskStatus, ...] | None]
    ) -> None:
        """Add one sample of all workers of the zone."""
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
            known = self._busy_by_queue.get(name, 0.0)
            self._busy_by_queue[name] = known + (running[name] - known) * weight

    def to_body(self, now_ms: int) -> dict[str, t.Any] | None:
        """Return the body of the ``usage/<zone>`` record, or ``None`` too early."""
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
    """Add up the ``usage/<zone>`` records of all zones."""
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

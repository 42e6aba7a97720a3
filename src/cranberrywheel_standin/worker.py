"""State of a worker stand-in: slots, tasks with leases, start tokens and faults."""

import collections
import dataclasses
import secrets
import threading
import time
import typing as t

TOKEN_LIFETIME_MS = 2_000
#: Longest wait for a task between two readings of the clock.
MAX_WAIT_S = 0.25
#: Ended tasks that are kept to refuse duplicates and to answer ``GET /v1/tasks/<id>``.
MAX_ENDED_TASKS = 50_000


def monotonic_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class StartRefusedError(Exception):
    """A start or lease renewal was refused and had no effect.

    :param kind: ``stale-token``, ``busy``, ``draining``, ``duplicate`` or
        ``does-not-fit``.
    """

    def __init__(self, kind: str) -> None:
        super().__init__(kind)
        self.kind = kind


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerConfig:
    """Settings of one worker stand-in.

    :param port: listening port; 0 picks a free one.
    :param run_ms: run time of tasks that do not state one.
    :param stop_ms: time that a task needs to stop.
    :param usage_lag_ms: age of the reported usage.
    :param reboot_ms: time for which a rebooting worker answers 503.
    :param addresses: address of this worker by zone of the caller, for zones that
        reach it through a relay.
    """

    name: str
    zone: str = ""
    rack: str = ""
    host: str = "127.0.0.1"
    port: int = 0
    slots: int = 8
    cores: float = 32.0
    memory_mb: int = 131_072
    run_ms: int = 100
    stop_ms: int = 10
    usage_lag_ms: int = 1_000
    reboot_ms: int = 3_000
    addresses: t.Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class WorkerFaults:
    """Injected faults of one worker, set with ``PUT /v1/faults``.

    :param fail: every task fails at its start.
    :param slow_factor: factor on the run time of tasks.
    :param late_ms: delay between the end of a task and its answer.
    :param truncate: number of coming task answers that are cut off in the middle.
    :param cross: number of coming task answers that are those of another task.
    :param lose_answers: number of coming task answers that are not sent.
    :param freeze: calls are not answered until this is false again.
    """

    fail: bool = False
    slow_factor: float = 1.0
    late_ms: int = 0
    truncate: int = 0
    cross: int = 0
    lose_answers: int = 0
    freeze: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartOrder:
    """Request to start a task.

    :param lease_ms: duration of the task's lease.
    :param run_ms: run time of the task.
    :param deadline_ms: time left until the result is no longer needed; 0 for none.
    :param checkpoint: id of a checkpointed task to continue.
    :param request: the caller's id of the call, for the history.
    """

    task_id: str
    token: str
    lease_ms: int
    run_ms: int
    deadline_ms: int = 0
    team: str = ""
    queue: str = ""
    cores: float = 1.0
    memory_mb: int = 0
    checkpoint: str = ""
    request: str = ""
    body_digest: str = ""


@dataclasses.dataclass(kw_only=True)
class Task:
    """A started task.

    :param remaining_ms: run time left at ``updated_ms``, at full speed.
    :param throttled: whether it runs only on slots that no other task needs.
    :param speed: fraction of full speed since ``updated_ms``.
    :param stop_at_ms: when a requested stop takes effect.
    :param state: ``running``, ``finished``, ``stopped`` or ``failed``.
    :param reason: why the task was stopped or failed.
    """

    order: StartOrder
    started_ms: int
    updated_ms: int
    lease_end_ms: int
    deadline_end_ms: int | None
    remaining_ms: float
    throttled: bool = False
    speed: float = 1.0
    stop_at_ms: int | None = None
    state: str = "running"
    reason: str = ""

    def next_change_ms(self) -> float:
        """Return when this task ends if no further call changes it, in milliseconds."""
        end_times_ms = [self.lease_end_ms]
        if self.speed > 0:
            end_times_ms.append(self.updated_ms + self.remaining_ms / self.speed)
        if self.deadline_end_ms is not None:
            end_times_ms.append(self.deadline_end_ms)
        if self.stop_at_ms is not None:
            end_times_ms.append(self.stop_at_ms)
        return min(end_times_ms)


class Worker:
    """State of one worker; safe to use from several threads.

    :param now_ms: the worker's clock in milliseconds; tests replace it.
    :param record: called with ``task_start`` or ``task_end``, the worker's name and
        the task.
    :param checkpoints: remaining run time in milliseconds by id of a checkpointed
        task; workers that share the mapping can continue each other's tasks.
    """

    def __init__(
        self,
        config: WorkerConfig,
        now_ms: t.Callable[[], int] = monotonic_ms,
        record: t.Callable[[str, str, Task], None] = lambda event, worker, task: None,
        checkpoints: dict[str, float] | None = None,
    ) -> None:
        self.config = config
        self.faults = WorkerFaults()
        self.draining = False
        self.changed = threading.Condition()
        self._now_ms = now_ms
        self._record = record
        self._checkpoints = {} if checkpoints is None else checkpoints
        self._boot_id = secrets.token_hex(4)
        self._up_at_ms = 0
        self._running_by_id: dict[str, Task] = {}
        self._ended_by_id: collections.OrderedDict[str, Task] = (
            collections.OrderedDict()
        )

    def issue_start_token(self) -> str:
        """Return a start token: a reading of this worker's clock bound to its boot."""
        return f"{self._boot_id}.{self._now_ms()}"

    def _check_token(self, token: str) -> None:
        boot_id, _, reading = token.partition(".")
        is_fresh = (
            boot_id == self._boot_id
            and reading.isdecimal()
            and 0 <= self._now_ms() - int(reading) <= TOKEN_LIFETIME_MS
        )
        if not is_fresh:
            raise StartRefusedError("stale-token")

    def is_up(self) -> bool:
        """Return whether the last reboot is complete."""
        return self._now_ms() >= self._up_at_ms

    def count_free_slots(self) -> int:
        """Return the number of slots that no unthrottled task uses."""
        with self.changed:
            self._end_due_tasks()
            return self._count_free_slots()

    def _count_free_slots(self) -> int:
        used_slots = sum(not task.throttled for task in self._running_by_id.values())
        return self.config.slots - used_slots

    def _share_slots(self) -> None:
        """Divide the free slots among the throttled tasks by setting their speed."""
        throttled = [task for task in self._running_by_id.values() if task.throttled]
        for task in throttled:
            task.speed = min(1.0, self._count_free_slots() / len(throttled))
        self.changed.notify_all()

    def start(self, order: StartOrder) -> Task:
        """Start a task.

        :raises StartRefusedError: if the task was not started.
        """
        with self.changed:
            self._end_due_tasks()
            now_ms = self._now_ms()
            self._check_token(order.token)
            if self.draining:
                raise StartRefusedError("draining")
            is_running = order.task_id in self._running_by_id
            if is_running or order.task_id in self._ended_by_id:
                raise StartRefusedError("duplicate")
            config = self.config
            if order.cores > config.cores or order.memory_mb > config.memory_mb:
                raise StartRefusedError("does-not-fit")
            if self._count_free_slots() < 1:
                raise StartRefusedError("busy")
            if order.checkpoint and order.checkpoint not in self._checkpoints:
                raise StartRefusedError("no-checkpoint")
            work_ms = self._checkpoints.pop(order.checkpoint, float(order.run_ms))
            task = Task(
                order=order,
                started_ms=now_ms,
                updated_ms=now_ms,
                lease_end_ms=now_ms + order.lease_ms,
                deadline_end_ms=now_ms + order.deadline_ms
                if order.deadline_ms
                else None,
                remaining_ms=work_ms * self.faults.slow_factor,
            )
            self._running_by_id[order.task_id] = task
            self._share_slots()
            self._record("task_start", config.name, task)
            if self.faults.fail:
                self._end_task(task, "failed", "fault")
            return task

    def _end_task(self, task: Task, state: str, reason: str) -> None:
        task.state, task.reason = state, reason
        task.updated_ms = self._now_ms()
        self._running_by_id.pop(task.order.task_id, None)
        self._ended_by_id[task.order.task_id] = task
        if len(self._ended_by_id) > MAX_ENDED_TASKS:
            self._ended_by_id.popitem(last=False)
        self._record("task_end", self.config.name, task)
        self._share_slots()

    def _end_due_tasks(self) -> None:
        """End the tasks that are complete, stopped or past their lease or deadline."""
        now_ms = self._now_ms()
        for task in list(self._running_by_id.values()):
            task.remaining_ms -= (now_ms - task.updated_ms) * task.speed
            task.updated_ms = now_ms
            if task.stop_at_ms is not None and task.stop_at_ms <= now_ms:
                self._end_task(task, "stopped", task.reason)
            elif task.remaining_ms <= 0:
                self._end_task(task, "finished", "")
            elif task.lease_end_ms <= now_ms:
                self._end_task(task, "stopped", "lease-expired")
            elif task.deadline_end_ms is not None and task.deadline_end_ms <= now_ms:
                self._end_task(task, "stopped", "deadline")

    def wait_until_ended(self, task: Task) -> None:
        """Block until a task has ended."""
        with self.changed:
            while True:
                self._end_due_tasks()
                if task.state != "running":
                    return
                wait_ms = task.next_change_ms() - self._now_ms()
                self.changed.wait(min(max(wait_ms, 0) / 1000 + 0.001, MAX_WAIT_S))

    def find_latest_other(self, task: Task) -> Task | None:
        """Return the latest other task, to answer with its result by mistake."""
        with self.changed:
            others = [*self._ended_by_id.values(), *self._running_by_id.values()]
        return next((other for other in reversed(others) if other is not task), None)

    def find_task(self, task_id: str) -> Task | None:
        """Return a task that is running or has ended since the last boot."""
        with self.changed:
            self._end_due_tasks()
            return self._running_by_id.get(task_id) or self._ended_by_id.get(task_id)

    def list_running(self) -> list[Task]:
        """Return the running tasks."""
        with self.changed:
            self._end_due_tasks()
            return list(self._running_by_id.values())

    def renew(self, task: Task, token: str, lease_ms: int) -> None:
        """Renew the lease of a task.

        :param lease_ms: new duration of the lease from now.
        :raises StartRefusedError: if the token is stale.
        """
        with self.changed:
            self._end_due_tasks()
            self._check_token(token)
            if task.state == "running":
                task.lease_end_ms = self._now_ms() + lease_ms
                self.changed.notify_all()

    def request_stop(self, task: Task, reason: str = "stop-requested") -> None:
        """Request the stop of a task; :meth:`wait_until_ended` waits for it."""
        with self.changed:
            self._end_due_tasks()
            if task.state == "running" and task.stop_at_ms is None:
                task.stop_at_ms = self._now_ms() + self.config.stop_ms
                task.reason = reason
                self.changed.notify_all()

    def checkpoint(self, task: Task) -> bool:
        """Stop a task and keep its progress for a start that continues it.

        :returns: whether the task was running.
        """
        with self.changed:
            self._end_due_tasks()
            if task.state != "running":
                return False
            self._checkpoints[task.order.task_id] = task.remaining_ms
            self._end_task(task, "stopped", "checkpointed")
            return True

    def throttle(self, task: Task) -> None:
        """Run a task only on slots that no other task needs."""
        with self.changed:
            self._end_due_tasks()
            if task.state == "running":
                task.throttled = True
                self._share_slots()

    def list_usage(self) -> list[dict[str, t.Any]]:
        """Return the usage of the tasks that were running ``usage_lag_ms`` ago."""
        with self.changed:
            self._end_due_tasks()
            reported_ms = self._now_ms() - self.config.usage_lag_ms
            return [
                {
                    "id": task.order.task_id,
                    "team": task.order.team,
                    "queue": task.order.queue,
                    "cores": task.order.cores,
                    "memory_mb": task.order.memory_mb,
                    "run_ms": reported_ms - task.started_ms,
                }
                for task in self._running_by_id.values()
                if task.started_ms <= reported_ms
            ]

    def apply_control(self, action: str) -> None:
        """Apply an action of the platform: ``drain``, ``undrain`` or ``reboot``.

        A reboot stops all tasks, discards the ended ones and makes earlier start
        tokens stale. A drained worker stays drained through a reboot until it is
        undrained.
        """
        with self.changed:
            self._end_due_tasks()
            if action in ("drain", "undrain"):
                self.draining = action == "drain"
                return
            for task in list(self._running_by_id.values()):
                self._end_task(task, "stopped", "reboot")
            self._ended_by_id.clear()
            self._boot_id = secrets.token_hex(4)
            self._up_at_ms = self._now_ms() + self.config.reboot_ms

"""Stand-in for a worker: slots, tasks under leases, start tokens and faults."""

import collections
import dataclasses
import secrets
import threading
import time
import typing as t

TOKEN_LIFETIME_MS = 2_000
#: longest task wait between two looks at the clock.
MAX_WAIT_S = 0.25
#: ended tasks kept for duplicate refusal and ``GET /v1/tasks/<id>``.
MAX_ENDED_TASKS = 50_000


def monotonic_ms() -> int:
    """Return the clock of this worker in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class StartRefusedError(Exception):
    """A start or renewal that certainly had no effect.

    :param kind: ``stale-token``, ``busy``, ``draining``, ``duplicate`` or
        ``does-not-fit``.
    """

    def __init__(self, kind: str) -> None:
        super().__init__(kind)
        self.kind = kind


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerConfig:
    """One worker of the stand-in.

    :param port: listening port; 0 picks a free one.
    :param addresses: address by zone that asks, where it is not the worker's own.
    :param run_ms: run time of tasks that do not state one.
    :param stop_ms: time that a task needs to stop.
    :param usage_lag_ms: age of the usage that is reported.
    :param reboot_ms: time in which a rebooting worker answers 503.
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
    """Faults of one worker, set with ``PUT /v1/faults``.

    :param fail: every task fails at once.
    :param slow_factor: tasks take this many times their run time.
    :param late_ms: delay of each task answer after the task ended.
    :param truncate: how many of the next task answers break off half-way.
    :param cross: how many of the next task answers carry another task's id.
    :param lose_answers: how many of the next tasks run without an answer.
    :param freeze: answer nothing until this is false again.
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
    """What a start asks for.

    :param deadline_ms: time left until the task is useless; 0 for none.
    :param checkpoint: id of a checkpointed task to continue.
    :param request: the caller's token of the call, for the history.
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
    """A task that was started.

    :param remaining_ms: work left, at full speed, at ``updated_ms``.
    :param throttled: whether it runs only on slots that no other task needs.
    :param speed: part of full speed since ``updated_ms``.
    :param stop_at_ms: when a requested stop takes effect.
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
        """Return when this task changes state without further calls."""
        ends = [self.lease_end_ms]
        if self.speed > 0:
            ends.append(self.updated_ms + self.remaining_ms / self.speed)
        if self.deadline_end_ms is not None:
            ends.append(self.deadline_end_ms)
        if self.stop_at_ms is not None:
            ends.append(self.stop_at_ms)
        return min(ends)


class Worker:
    """State of one worker; safe to use from several threads.

    :param config: name, place and size.
    :param now_ms: own clock; replaceable in tests.
    :param record: receives ``task_start`` and ``task_end``, worker name and task.
    :param checkpoints: work left by checkpointed task; workers that share it
        can continue each other's tasks.
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

    def start_token(self) -> str:
        """Return a reading of the own clock bound to this boot."""
        return f"{self._boot_id}.{self._now_ms()}"

    def _check_token(self, token: str) -> None:
        boot_id, _, reading = token.partition(".")
        fresh = (
            boot_id == self._boot_id
            and reading.isdecimal()
            and 0 <= self._now_ms() - int(reading) <= TOKEN_LIFETIME_MS
        )
        if not fresh:
            raise StartRefusedError("stale-token")

    def is_up(self) -> bool:
        """Return whether the last reboot has ended."""
        return self._now_ms() >= self._up_at_ms

    def slots_free(self) -> int:
        """Return the slots that no unthrottled task uses."""
        with self.changed:
            self._settle()
            return self._slots_free()

    def _slots_free(self) -> int:
        used = sum(not task.throttled for task in self._running_by_id.values())
        return self.config.slots - used

    def _share_slots(self) -> None:
        """Divide the slots that are left among the throttled tasks."""
        throttled = [x for x in self._running_by_id.values() if x.throttled]
        for task in throttled:
            task.speed = min(1.0, self._slots_free() / len(throttled))
        self.changed.notify_all()

    def start(self, order: StartOrder) -> Task:
        """Start a task.

        :raises StartRefusedError: if it was certainly not started.
        """
        with self.changed:
            self._settle()
            now = self._now_ms()
            self._check_token(order.token)
            if self.draining:
                raise StartRefusedError("draining")
            known = order.task_id in self._running_by_id
            if known or order.task_id in self._ended_by_id:
                raise StartRefusedError("duplicate")
            config = self.config
            if order.cores > config.cores or order.memory_mb > config.memory_mb:
                raise StartRefusedError("does-not-fit")
            if self._slots_free() < 1:
                raise StartRefusedError("busy")
            if order.checkpoint and order.checkpoint not in self._checkpoints:
                raise StartRefusedError("no-checkpoint")
            work_ms = self._checkpoints.pop(order.checkpoint, float(order.run_ms))
            task = Task(
                order=order,
                started_ms=now,
                updated_ms=now,
                lease_end_ms=now + order.lease_ms,
                deadline_end_ms=now + order.deadline_ms if order.deadline_ms else None,
                remaining_ms=work_ms * self.faults.slow_factor,
            )
            self._running_by_id[order.task_id] = task
            self._share_slots()
            self._record("task_start", config.name, task)
            if self.faults.fail:
                self._end(task, "failed", "fault")
            return task

    def _end(self, task: Task, state: str, reason: str) -> None:
        task.state, task.reason = state, reason
        task.updated_ms = self._now_ms()
        self._running_by_id.pop(task.order.task_id, None)
        self._ended_by_id[task.order.task_id] = task
        if len(self._ended_by_id) > MAX_ENDED_TASKS:
            self._ended_by_id.popitem(last=False)
        self._record("task_end", self.config.name, task)
        self._share_slots()

    def _settle(self) -> None:
        """End the tasks whose work, lease, deadline or stop time has come."""
        now = self._now_ms()
        for task in list(self._running_by_id.values()):
            task.remaining_ms -= (now - task.updated_ms) * task.speed
            task.updated_ms = now
            if task.stop_at_ms is not None and task.stop_at_ms <= now:
                self._end(task, "stopped", task.reason)
            elif task.remaining_ms <= 0:
                self._end(task, "finished", "")
            elif task.lease_end_ms <= now:
                self._end(task, "stopped", "lease-expired")
            elif task.deadline_end_ms is not None and task.deadline_end_ms <= now:
                self._end(task, "stopped", "deadline")

    def wait(self, task: Task) -> None:
        """Block until a task has ended."""
        with self.changed:
            while True:
                self._settle()
                if task.state != "running":
                    return
                wait_ms = task.next_change_ms() - self._now_ms()
                self.changed.wait(min(max(wait_ms, 0) / 1000 + 0.001, MAX_WAIT_S))

    def find_other(self, task: Task) -> Task | None:
        """Return the newest other task, for a crossed answer."""
        with self.changed:
            others = [*self._ended_by_id.values(), *self._running_by_id.values()]
        return next((other for other in reversed(others) if other is not task), None)

    def find(self, task_id: str) -> Task | None:
        """Return a task that runs or that ended since the last boot."""
        with self.changed:
            self._settle()
            return self._running_by_id.get(task_id) or self._ended_by_id.get(task_id)

    def running(self) -> list[Task]:
        """Return the running tasks."""
        with self.changed:
            self._settle()
            return list(self._running_by_id.values())

    def renew(self, task: Task, token: str, lease_ms: int) -> None:
        """Renew the lease of a task.

        :raises StartRefusedError: if the token is stale.
        """
        with self.changed:
            self._settle()
            self._check_token(token)
            if task.state == "running":
                task.lease_end_ms = self._now_ms() + lease_ms
                self.changed.notify_all()

    def stop(self, task: Task, reason: str = "stop-requested") -> None:
        """Ask a task to stop; :meth:`wait` returns when it has."""
        with self.changed:
            self._settle()
            if task.state == "running" and task.stop_at_ms is None:
                task.stop_at_ms = self._now_ms() + self.config.stop_ms
                task.reason = reason
                self.changed.notify_all()

    def checkpoint(self, task: Task) -> bool:
        """Stop a task and keep its progress for a start that names it.

        :returns: false if the task had already ended.
        """
        with self.changed:
            self._settle()
            if task.state != "running":
                return False
            self._checkpoints[task.order.task_id] = task.remaining_ms
            self._end(task, "stopped", "checkpointed")
            return True

    def throttle(self, task: Task) -> None:
        """Let a task run only on slots that no other task needs."""
        with self.changed:
            self._settle()
            if task.state == "running":
                task.throttled = True
                self._share_slots()

    def usage(self) -> list[dict[str, t.Any]]:
        """Return the use of the running tasks as it was one lag ago."""
        with self.changed:
            self._settle()
            seen_ms = self._now_ms() - self.config.usage_lag_ms
            return [
                {
                    "id": task.order.task_id,
                    "team": task.order.team,
                    "queue": task.order.queue,
                    "cores": task.order.cores,
                    "memory_mb": task.order.memory_mb,
                    "run_ms": seen_ms - task.started_ms,
                }
                for task in self._running_by_id.values()
                if task.started_ms <= seen_ms
            ]

    def control(self, action: str) -> None:
        """Obey the platform: ``drain``, ``undrain`` or ``reboot``.

        A reboot stops all tasks, forgets ended ones and makes earlier start
        tokens stale. The drain lasts through it until an undrain.
        """
        with self.changed:
            self._settle()
            if action in ("drain", "undrain"):
                self.draining = action == "drain"
                return
            for task in list(self._running_by_id.values()):
                self._end(task, "stopped", "reboot")
            self._ended_by_id.clear()
            self._boot_id = secrets.token_hex(4)
            self._up_at_ms = self._now_ms() + self.config.reboot_ms

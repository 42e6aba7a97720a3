"""Schedulers that the policy benchmark compares."""

import collections
import random
import typing as t

from cranberrywheel.errors import OverloadedError
from cranberrywheel.process.worker_table import (
    AttemptVerdict,
    WorkerRow,
    WorkerTable,
)
from cranberrywheel.request.estimates import RunTimeEstimates
from cranberrywheel.request.fair_queue import FairQueue
from cranberrywheel.request.model import Request
from cranberrywheel.request.preemption import RunningTask, select_tasks_to_preempt
from cranberrywheel.request.retry import (
    RetryBudget,
    plan_retry,
    request_caused_failures,
)
from cranberrywheel_load.bench_arrivals import CAPACITY, SLOTS, WORKERS

POOL = "pool"
#: Upper limit of each team as a part of all slots.
LIMIT_FRACTION = 0.6
DECLARED_MS = 400
MAX_QUEUED = 500


class Policy:
    """The decisions of the product, as the dispatcher combines them.

    :param seed: of the random choices.
    :param shares: share of each team.
    """

    def __init__(self, seed: int, shares: t.Mapping[str, float]) -> None:
        self._shares = shares
        self._rng = random.Random(seed)
        self._queue = FairQueue(MAX_QUEUED)
        self._estimates = RunTimeEstimates()
        self._budget = RetryBudget()
        self._failed_workers: dict[str, list[str]] = {}
        self._use: collections.Counter[str] = collections.Counter()
        self._table = WorkerTable("zone-0", self._rng)
        self._table.set_ejection_limit(POOL, 1)
        self._table.set_workers(
            WorkerRow(
                name=f"worker-{number}",
                address=str(number),
                zone=f"zone-{number % 3}",
                rack=f"rack-{number // 3}",
                pool=POOL,
                slots=SLOTS,
                serving=True,
            )
            for number in range(WORKERS)
        )

    def admit(self, request: Request, now_ms: int) -> bool:
        """Queue a request unless it is refused."""
        share = self._shares[request.team]
        queued = self._queue.estimate_requests_ahead(
            request.team, request.urgent, share
        )
        wait_ms = self._estimates.estimate_wait_ms(
            request.queue, DECLARED_MS, queued, CAPACITY
        )
        run_ms = self._estimates.estimate_run_ms(request.queue, DECLARED_MS)
        if now_ms + wait_ms + run_ms > request.deadline_ms:
            return False
        if request.request_id not in self._failed_workers:
            self._budget.record_request(now_ms)
        try:
            self._queue.push(request, request.deadline_ms - round(run_ms))
        except OverloadedError:
            return False
        return True

    def start(self, now_ms: int) -> tuple[Request, str] | None:
        """Return the next request to start and its worker."""
        if not self._table.has_capacity(POOL, now_ms):
            return None
        limit = LIMIT_FRACTION * CAPACITY
        request = self._queue.pop(
            now_ms, self._shares, self._use, lambda team: self._use[team] < limit
        )
        if request is None:
            return None
        failed = self._failed_workers.get(request.request_id, ())
        may_probe = request.idempotent and not request.urgent
        worker = self._table.choose(POOL, now_ms, failed, may_probe=may_probe)
        worker = worker or self._table.choose(POOL, now_ms)
        if worker is None:
            raise RuntimeError("the pool had room")
        self._table.record_start(worker.name, now_ms)
        self._use[request.team] += 1
        return request, worker.name

    def finished(
        self,
        request: Request,
        worker: str,
        verdict: AttemptVerdict,
        duration_ms: int,
        now_ms: int,
    ) -> None:
        """Learn from an attempt."""
        self._use[request.team] -= 1
        run_ms = self._estimates.estimate_run_ms(request.queue, DECLARED_MS)
        self._table.record_end(worker, verdict, duration_ms, now_ms, run_ms)
        if verdict is AttemptVerdict.OK:
            self._estimates.record(request.queue, duration_ms, 1.0, 64)
        if verdict is AttemptVerdict.FAILED:
            failed = self._failed_workers.setdefault(request.request_id, [])
            failed.append(worker)
            if request_caused_failures(failed):
                self._table.retract_failures(failed, now_ms)
        else:
            self._failed_workers.pop(request.request_id, None)

    def retry_ms(self, request: Request, attempts: int, now_ms: int) -> int | None:
        """Return the delay before the next attempt, if any."""
        return plan_retry(request, attempts, False, now_ms, self._budget, self._rng)

    def remove(self, request_id: str) -> None:
        """Remove a cancelled request from the queue."""
        self._queue.remove(request_id)

    def take_expired(self, now_ms: int) -> list[Request]:
        """Return the requests whose deadline passed in the queue."""
        return self._queue.take_expired(now_ms)

    def displaced(
        self,
        running_by_team: t.Mapping[str, list[RunningTask]],
        urgent_by_team: t.Mapping[str, int],
        now_ms: int,
    ) -> list[str]:
        """Return the running requests that make room.

        A team at its limit gets room only from its own tasks.
        """
        chosen: list[str] = []
        below_limit = 0
        for team, waiting in urgent_by_team.items():
            if self._use[team] < LIMIT_FRACTION * CAPACITY:
                below_limit += waiting
            else:
                chosen += select_tasks_to_preempt(
                    running_by_team[team], waiting, now_ms
                )
        others = [
            task
            for tasks in running_by_team.values()
            for task in tasks
            if task.request_id not in chosen
        ]
        return chosen + select_tasks_to_preempt(others, below_limit, now_ms)


class Baseline:
    """First come, first served, with round robin over the workers.

    :param team_limit: slots of each team; all slots for round robin without limits.
    """

    def __init__(self, team_limit: int) -> None:
        self._team_limit = team_limit
        self._waiting: dict[str, collections.OrderedDict[str, Request]] = {}
        self._count = 0
        self._use: collections.Counter[str] = collections.Counter()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._next = 0

    def _key(self, request: Request) -> str:
        return request.team if self._team_limit < CAPACITY else ""

    def admit(self, request: Request, now_ms: int) -> bool:
        """Queue a request unless the queue is full."""
        if self._count >= MAX_QUEUED:
            return False
        waiting = self._waiting.setdefault(
            self._key(request), collections.OrderedDict()
        )
        waiting[request.request_id] = request
        self._count += 1
        return True

    def start(self, now_ms: int) -> tuple[Request, str] | None:
        """Return the oldest request of a team below its limit, and a worker."""
        if sum(self._in_flight.values()) >= CAPACITY:
            return None
        for key, waiting in self._waiting.items():
            if waiting and self._use[key] < self._team_limit:
                break
        else:
            return None
        _, request = waiting.popitem(last=False)
        self._waiting[key] = self._waiting.pop(key)
        self._count -= 1
        self._use[key] += 1
        while self._in_flight[worker := f"worker-{self._next}"] >= SLOTS:
            self._next = (self._next + 1) % WORKERS
        self._next = (self._next + 1) % WORKERS
        self._in_flight[worker] += 1
        return request, worker

    def finished(
        self,
        request: Request,
        worker: str,
        verdict: AttemptVerdict,
        duration_ms: int,
        now_ms: int,
    ) -> None:
        """Free the slot."""
        self._use[self._key(request)] -= 1
        self._in_flight[worker] -= 1

    def retry_ms(self, request: Request, attempts: int, now_ms: int) -> int | None:
        """Retry idempotent requests up to three attempts, without a budget."""
        return 0 if request.idempotent and attempts < 3 else None

    def remove(self, request_id: str) -> None:
        """Remove a cancelled request from the queue."""
        for waiting in self._waiting.values():
            if waiting.pop(request_id, None):
                self._count -= 1

    def take_expired(self, now_ms: int) -> list[Request]:
        """Return nothing; callers cancel at their deadline."""
        return []

    def displaced(
        self,
        running_by_team: t.Mapping[str, list[RunningTask]],
        urgent_by_team: t.Mapping[str, int],
        now_ms: int,
    ) -> list[str]:
        """Return nothing."""
        return []


Scheduler = Policy | Baseline
SCHEDULERS: dict[str, t.Callable[[int, t.Mapping[str, float]], Scheduler]] = {
    "policy": Policy,
    "round-robin": lambda _seed, _shares: Baseline(CAPACITY),
    "equal-parts": lambda _seed, shares: Baseline(max(1, CAPACITY // len(shares))),
}

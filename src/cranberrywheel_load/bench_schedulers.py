"""Schedulers that the policy benchmark compares: the product's and two baselines."""

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
#: Limit of each team as a fraction of all slots.
TEAM_LIMIT_FRACTION = 0.6
#: Declared run time of every queue.
DECLARED_RUN_MS = 400
MAX_QUEUED = 500


class ProductScheduler:
    """Combines the product's request decisions as its dispatcher does.

    :param seed: seeds the random choices of workers and retry delays.
    :param shares: share of the capacity of each team.
    """

    def __init__(self, seed: int, shares: t.Mapping[str, float]) -> None:
        self._shares = shares
        self._rng = random.Random(seed)
        self._queue = FairQueue(MAX_QUEUED)
        self._estimates = RunTimeEstimates()
        self._retry_budget = RetryBudget()
        self._failed_workers: dict[str, list[str]] = {}
        self._running_by_team: collections.Counter[str] = collections.Counter()
        self._workers = WorkerTable("zone-0", self._rng)
        self._workers.set_ejection_limit(POOL, 1)
        self._workers.set_workers(
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
        """Queue a request; return whether it was accepted.

        It is refused if its expected end exceeds its deadline or the queue is full.
        """
        share = self._shares[request.team]
        requests_ahead = self._queue.estimate_requests_ahead(
            request.team, request.urgent, share
        )
        wait_ms = self._estimates.estimate_wait_ms(
            request.queue, DECLARED_RUN_MS, requests_ahead, CAPACITY
        )
        run_ms = self._estimates.estimate_run_ms(request.queue, DECLARED_RUN_MS)
        if now_ms + wait_ms + run_ms > request.deadline_ms:
            return False
        if request.request_id not in self._failed_workers:
            self._retry_budget.record_request(now_ms)
        try:
            self._queue.push(request, request.deadline_ms - round(run_ms))
        except OverloadedError:
            return False
        return True

    def start(self, now_ms: int) -> tuple[Request, str] | None:
        """Start the next request; return it and its worker, or None."""
        if not self._workers.has_capacity(POOL, now_ms):
            return None
        limit = TEAM_LIMIT_FRACTION * CAPACITY
        request = self._queue.pop(
            now_ms,
            self._shares,
            self._running_by_team,
            lambda team: self._running_by_team[team] < limit,
        )
        if request is None:
            return None
        failed = self._failed_workers.get(request.request_id, ())
        may_probe = request.idempotent and not request.urgent
        worker = self._workers.choose(POOL, now_ms, failed, may_probe=may_probe)
        worker = worker or self._workers.choose(POOL, now_ms)
        if worker is None:
            raise RuntimeError("the pool has capacity but no worker could be chosen")
        self._workers.record_start(worker.name, now_ms)
        self._running_by_team[request.team] += 1
        return request, worker.name

    def record_end(
        self,
        request: Request,
        worker: str,
        verdict: AttemptVerdict,
        duration_ms: int,
        now_ms: int,
    ) -> None:
        """Record the end of an attempt, with its duration in ms."""
        self._running_by_team[request.team] -= 1
        run_ms = self._estimates.estimate_run_ms(request.queue, DECLARED_RUN_MS)
        self._workers.record_end(worker, verdict, duration_ms, now_ms, run_ms)
        if verdict is AttemptVerdict.OK:
            self._estimates.record(request.queue, duration_ms, 1.0, 64)
        if verdict is AttemptVerdict.FAILED:
            failed = self._failed_workers.setdefault(request.request_id, [])
            failed.append(worker)
            if request_caused_failures(failed):
                self._workers.retract_failures(failed, now_ms)
        else:
            self._failed_workers.pop(request.request_id, None)

    def plan_retry_ms(self, request: Request, attempts: int, now_ms: int) -> int | None:
        """Return the delay in ms before the next attempt, or None for no retry."""
        return plan_retry(
            request, attempts, False, now_ms, self._retry_budget, self._rng
        )

    def remove(self, request_id: str) -> None:
        """Remove a cancelled request from the queue."""
        self._queue.remove(request_id)

    def take_expired(self, now_ms: int) -> list[Request]:
        """Return the requests whose deadline passed in the queue."""
        return self._queue.take_expired(now_ms)

    def choose_preempted(
        self,
        running_by_team: t.Mapping[str, list[RunningTask]],
        urgent_by_team: t.Mapping[str, int],
        now_ms: int,
    ) -> list[str]:
        """Return the ids of running requests to preempt for waiting urgent ones.

        For a team at its limit only its own tasks are preempted.

        :param running_by_team: running tasks of each team.
        :param urgent_by_team: number of urgent requests that have waited too long.
        """
        preempted: list[str] = []
        waiting_below_limit = 0
        for team, waiting in urgent_by_team.items():
            if self._running_by_team[team] < TEAM_LIMIT_FRACTION * CAPACITY:
                waiting_below_limit += waiting
            else:
                preempted += select_tasks_to_preempt(
                    running_by_team[team], waiting, now_ms
                )
        others = [
            task
            for tasks in running_by_team.values()
            for task in tasks
            if task.request_id not in preempted
        ]
        return preempted + select_tasks_to_preempt(others, waiting_below_limit, now_ms)


class BaselineScheduler:
    """First come, first served, with round robin over the workers.

    Below ``CAPACITY``, each team has its own queue; otherwise all teams share one.

    :param team_limit: slots of each team; ``CAPACITY`` for no limit.
    """

    def __init__(self, team_limit: int) -> None:
        self._team_limit = team_limit
        self._waiting: dict[str, collections.OrderedDict[str, Request]] = {}
        self._queued_count = 0
        self._running_by_team: collections.Counter[str] = collections.Counter()
        self._running_by_worker: collections.Counter[str] = collections.Counter()
        self._next_worker = 0

    def _queue_key(self, request: Request) -> str:
        return request.team if self._team_limit < CAPACITY else ""

    def admit(self, request: Request, now_ms: int) -> bool:
        """Queue a request unless the queue is full; return whether it was queued."""
        if self._queued_count >= MAX_QUEUED:
            return False
        waiting = self._waiting.setdefault(
            self._queue_key(request), collections.OrderedDict()
        )
        waiting[request.request_id] = request
        self._queued_count += 1
        return True

    def start(self, now_ms: int) -> tuple[Request, str] | None:
        """Start the oldest request of a queue below its limit.

        :returns: the request and its worker, or None.
        """
        if sum(self._running_by_worker.values()) >= CAPACITY:
            return None
        for key, waiting in self._waiting.items():
            if waiting and self._running_by_team[key] < self._team_limit:
                break
        else:
            return None
        _, request = waiting.popitem(last=False)
        self._waiting[key] = self._waiting.pop(key)
        self._queued_count -= 1
        self._running_by_team[key] += 1
        while self._running_by_worker[worker := f"worker-{self._next_worker}"] >= SLOTS:
            self._next_worker = (self._next_worker + 1) % WORKERS
        self._next_worker = (self._next_worker + 1) % WORKERS
        self._running_by_worker[worker] += 1
        return request, worker

    def record_end(
        self,
        request: Request,
        worker: str,
        verdict: AttemptVerdict,
        duration_ms: int,
        now_ms: int,
    ) -> None:
        """Free the slot of an ended attempt."""
        self._running_by_team[self._queue_key(request)] -= 1
        self._running_by_worker[worker] -= 1

    def plan_retry_ms(self, request: Request, attempts: int, now_ms: int) -> int | None:
        """Retry idempotent requests at once, up to three attempts, without a budget."""
        return 0 if request.idempotent and attempts < 3 else None

    def remove(self, request_id: str) -> None:
        """Remove a cancelled request from the queue."""
        for waiting in self._waiting.values():
            if waiting.pop(request_id, None):
                self._queued_count -= 1

    def take_expired(self, now_ms: int) -> list[Request]:
        """Return an empty list; callers cancel at their deadline."""
        return []

    def choose_preempted(
        self,
        running_by_team: t.Mapping[str, list[RunningTask]],
        urgent_by_team: t.Mapping[str, int],
        now_ms: int,
    ) -> list[str]:
        """Return an empty list; the baselines do not preempt."""
        return []


Scheduler = ProductScheduler | BaselineScheduler
SCHEDULERS: dict[str, t.Callable[[int, t.Mapping[str, float]], Scheduler]] = {
    "policy": ProductScheduler,
    "round-robin": lambda _seed, _shares: BaselineScheduler(CAPACITY),
    "equal-parts": lambda _seed, shares: BaselineScheduler(
        max(1, CAPACITY // len(shares))
    ),
}

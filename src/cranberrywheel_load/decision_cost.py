"""Micro-benchmark of the decisions that each request needs.

Run ``python -m cranberrywheel_load.decision_cost``. It prints microseconds per request
for growing numbers of workers and teams, with fixed seeds.
"""

import argparse
import itertools
import random
import time
import typing as t

from cranberrywheel.process.worker_table import (
    AttemptVerdict,
    WorkerRow,
    WorkerTable,
)
from cranberrywheel.request.estimates import RunTimeEstimates
from cranberrywheel.request.fair_queue import FairQueue
from cranberrywheel.request.model import Request
from cranberrywheel.request.retry import RetryBudget

SEED = 20_261_204
ZONES = 4
SLOTS = 8
WORKER_COUNTS = (16, 64, 250, 1_000, 2_000)
TEAM_COUNTS = (6, 12, 25, 51)
#: Waiting requests per team, so that each decision sees every team.
QUEUED_PER_TEAM = 4
BUSY_FRACTION = 0.7


def make_workers(count: int, pool: str = "pool") -> list[WorkerRow]:
    """Return workers spread over the zones, four to a rack.

    :param count: number of workers.
    :param pool: pool of all of them.
    """
    return [
        WorkerRow(
            name=f"worker-{number}",
            address=f"127.0.0.1:{number}",
            zone=f"zone-{number % ZONES}",
            rack=f"rack-{number // ZONES // 4}-{number % ZONES}",
            pool=pool,
            slots=SLOTS,
            serving=True,
        )
        for number in range(count)
    ]


def make_request(number: int, team: str, now_ms: int, **changes: t.Any) -> Request:
    """Return an idempotent request with a deadline of 30 s.

    :param number: makes the id unique.
    :param team: its team.
    :param now_ms: arrival.
    :param changes: other values for fields of the request.
    """
    values: dict[str, t.Any] = {
        "request_id": f"request-{number}",
        "queue": "queue",
        "service": "service",
        "team": team,
        "body": b"",
        "content_type": "application/json",
        "arrived_ms": now_ms,
        "deadline_ms": now_ms + 30_000,
        "idempotent": True,
        "urgent": number % 20 == 0,
    }
    return Request(**(values | changes))


class _Path:
    """All decision state of one entry with a steady load."""

    def __init__(self, workers: int, teams: int, blocked: bool) -> None:
        self.rng = random.Random(SEED)
        self.teams = [f"team-{number}" for number in range(teams)]
        self.shares = dict.fromkeys(self.teams, 1 / teams)
        self.use = dict.fromkeys(self.teams, 0)
        # With ``blocked``, all teams but the first are at their limit.
        limit = 0 if blocked else workers * SLOTS
        self.limits = dict.fromkeys(self.teams, limit) | {
            self.teams[0]: workers * SLOTS
        }
        self.queue = FairQueue(100_000)
        self.table = WorkerTable("zone-0", self.rng)
        self.table.set_workers(make_workers(workers))
        self.table.set_ejection_limit("pool", workers // 10)
        self.estimates = RunTimeEstimates()
        self.budget = RetryBudget()
        self.numbers = itertools.count()
        self.running: list[tuple[str, Request, int]] = []
        for _ in range(QUEUED_PER_TEAM):
            for team in self.teams:
                self.queue.push(make_request(next(self.numbers), team, 0))
        for _ in range(int(workers * SLOTS * BUSY_FRACTION)):
            self._start(make_request(next(self.numbers), self.teams[0], 0), 0)

    def _start(self, request: Request, now_ms: int) -> None:
        worker = self.table.choose("pool", now_ms)
        if worker is None:
            raise RuntimeError("the benchmark keeps free slots")
        if self.table.get_token(worker.name, now_ms) is None:
            self.table.set_token(worker.name, "token", now_ms)
        self.table.record_start(worker.name, now_ms)
        self.use[request.team] += 1
        self.running.append((worker.name, request, now_ms))

    def step(self, now_ms: int) -> None:
        """Admit, start and finish one request."""
        number = next(self.numbers)
        self.budget.record_request(now_ms)
        self.estimates.estimate_wait_ms("queue", 100, len(self.queue), SLOTS)
        self.queue.push(make_request(number, self.arriving_team(number), now_ms))
        self.table.has_capacity("pool", now_ms)
        request = self.queue.pop(
            now_ms,
            self.shares,
            self.use,
            lambda team: self.use[team] < self.limits[team],
        )
        if request is None:
            raise RuntimeError("the first team is never at its limit")
        self._start(request, now_ms)
        position = int(self.rng.random() * len(self.running))
        self.running[position], self.running[-1] = (
            self.running[-1],
            self.running[position],
        )
        worker, request, started_ms = self.running.pop()
        self.use[request.team] -= 1
        verdict = AttemptVerdict.FAILED if number % 50 == 0 else AttemptVerdict.OK
        self.table.record_end(worker, verdict, now_ms - started_ms, now_ms)
        self.estimates.record("queue", now_ms - started_ms, 1.0, 64)

    def arriving_team(self, number: int) -> str:
        """Return the team of the next arrival; it keeps the queue length steady."""
        blocked = self.limits[self.teams[-1]] == 0
        return self.teams[0 if blocked else number % len(self.teams)]


def cost_us(workers: int, teams: int, blocked: bool, requests: int) -> float:
    """Measure the decisions of one request.

    :param workers: workers in the pool.
    :param teams: teams with waiting requests.
    :param blocked: whether all teams but one are at their limit.
    :param requests: number of requests.
    :returns: microseconds of processor time.
    """
    path = _Path(workers, teams, blocked)
    start_ns = time.process_time_ns()
    for number in range(requests):
        path.step(number // 2)
    return (time.process_time_ns() - start_ns) / 1000 / requests


def main(arguments: list[str] | None = None) -> None:
    """Print the cost per request.

    :param arguments: command line arguments, for tests.
    """
    parser = argparse.ArgumentParser(prog="python -m cranberrywheel_load.decision_cost")
    parser.add_argument("--requests", type=int, default=2_000)
    parser.add_argument("--repeats", type=int, default=12)
    options = parser.parse_args(arguments)
    print(f"seed={SEED} requests={options.requests} repeats={options.repeats}")
    cases = [(workers, 6, False) for workers in WORKER_COUNTS]
    cases += [
        (250, teams, blocked) for blocked in (False, True) for teams in TEAM_COUNTS
    ]
    # Other processes share the machine. The least of interleaved repetitions is
    # disturbed least, and a slow period does not fall on one case alone.
    costs = [
        [cost_us(*case, options.requests) for case in cases]
        for _ in range(options.repeats)
    ]
    for (workers, teams, blocked), cost in zip(
        cases, map(min, zip(*costs, strict=True)), strict=True
    ):
        at_limit = teams - 1 if blocked else 0
        print(f"workers={workers} teams={teams} at_limit={at_limit} us={cost:.1f}")


if __name__ == "__main__":
    main()

"""Micro-benchmark of the scheduling decisions for one request.

Run ``python -m cranberrywheel_load.decision_cost``. It prints microseconds of processor
time per request for growing numbers of workers and teams, with a fixed seed.
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
from cranberrywheel_load.pass_cost import compare_parts

SEED = 20_261_204
ZONES = 4
SLOTS = 8
WORKER_COUNTS = (16, 64, 250, 1_000, 2_000)
TEAM_COUNTS = (6, 12, 25, 51)
#: Waiting requests per team at the start, so that each decision considers every team.
QUEUED_PER_TEAM = 4
#: Fraction of the slots in use at the start.
BUSY_FRACTION = 0.7


def make_workers(count: int, pool: str = "pool") -> list[WorkerRow]:
    """Return rows of workers spread over the zones, four to a rack.

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

    :param number: part of the request id; every twentieth request is urgent.
    :param now_ms: time of arrival.
    :param changes: values that replace the defaults of the fields.
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


class _DecisionBenchmark:
    """Scheduling state of one entry under steady load.

    :param blocked: whether all teams but the first are at their limit.
    """

    def __init__(self, workers: int, teams: int, blocked: bool) -> None:
        self.rng = random.Random(SEED)
        self.teams = [f"team-{number}" for number in range(teams)]
        self.shares = dict.fromkeys(self.teams, 1 / teams)
        self.running_by_team = dict.fromkeys(self.teams, 0)
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
            raise RuntimeError("no worker has a free slot; lower BUSY_FRACTION")
        if self.table.get_token(worker.name, now_ms) is None:
            self.table.set_token(worker.name, "token", now_ms)
        self.table.record_start(worker.name, now_ms)
        self.running_by_team[request.team] += 1
        self.running.append((worker.name, request, now_ms))

    def step(self, now_ms: int) -> None:
        """Admit one request, start one and end one."""
        number = next(self.numbers)
        self.budget.record_request(now_ms)
        self.estimates.estimate_wait_ms("queue", 100, len(self.queue), SLOTS)
        self.queue.push(make_request(number, self.choose_arriving_team(number), now_ms))
        self.table.has_capacity("pool", now_ms)
        request = self.queue.pop(
            now_ms,
            self.shares,
            self.running_by_team,
            lambda team: self.running_by_team[team] < self.limits[team],
        )
        if request is None:
            raise RuntimeError("no request could start below its team's limit")
        self._start(request, now_ms)
        position = int(self.rng.random() * len(self.running))
        self.running[position], self.running[-1] = (
            self.running[-1],
            self.running[position],
        )
        worker, request, started_ms = self.running.pop()
        self.running_by_team[request.team] -= 1
        verdict = AttemptVerdict.FAILED if number % 50 == 0 else AttemptVerdict.OK
        self.table.record_end(worker, verdict, now_ms - started_ms, now_ms)
        self.estimates.record("queue", now_ms - started_ms, 1.0, 64)

    def choose_arriving_team(self, number: int) -> str:
        """Return the team of the next arrival; keeps the queue length steady."""
        blocked = self.limits[self.teams[-1]] == 0
        return self.teams[0 if blocked else number % len(self.teams)]


def measure_cost_us(workers: int, teams: int, blocked: bool, requests: int) -> float:
    """Measure the mean cost of the decisions for one request.

    :param workers: workers in the pool.
    :param teams: teams with waiting requests.
    :param blocked: whether all teams but one are at their limit.
    :param requests: number of requests to process.
    :returns: microseconds of processor time per request.
    """
    benchmark = _DecisionBenchmark(workers, teams, blocked)
    start_ns = time.process_time_ns()
    for number in range(requests):
        benchmark.step(number // 2)
    return (time.process_time_ns() - start_ns) / 1000 / requests


def main(arguments: list[str] | None = None) -> None:
    """Print the cost per request.

    :param arguments: command line arguments; by default those of the process.
    """
    parser = argparse.ArgumentParser(prog="python -m cranberrywheel_load.decision_cost")
    parser.add_argument("--requests", type=int, default=2_000)
    parser.add_argument("--repeats", type=int, default=12)
    parser.add_argument(
        "--parts",
        action="store_true",
        help="compare the scheduler with shares and preemption off and on instead",
    )
    options = parser.parse_args(arguments)
    if options.parts:
        for line in compare_parts(options.requests, options.repeats):
            print(line, flush=True)
        return
    print(f"seed={SEED} requests={options.requests} repeats={options.repeats}")
    cases = [(workers, 6, False) for workers in WORKER_COUNTS]
    cases += [
        (250, teams, blocked) for blocked in (False, True) for teams in TEAM_COUNTS
    ]
    # Other processes share the machine. The minimum of several repetitions is least
    # affected by them, and interleaving the cases spreads a slow period over all.
    costs = [
        [measure_cost_us(*case, options.requests) for case in cases]
        for _ in range(options.repeats)
    ]
    for (workers, teams, blocked), cost in zip(
        cases, map(min, zip(*costs, strict=True)), strict=True
    ):
        at_limit = teams - 1 if blocked else 0
        print(f"workers={workers} teams={teams} at_limit={at_limit} us={cost:.1f}")


if __name__ == "__main__":
    main()

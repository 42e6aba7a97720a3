"""Compares the request decisions with two baselines on the same arrivals.

Run ``python -m cranberrywheel_load.policy_bench``. One entry with one pool is driven
by a :class:`ManualClock`; the executors are a single queue of timed completions. The
baselines are round robin over first-come-first-served requests, and an equal static
part of the slots for each team. Neither ejects workers nor budgets retries.
"""

import argparse
import bisect
import collections
import concurrent.futures
import dataclasses
import heapq
import itertools
import typing as t

from cranberrywheel.clock import ManualClock
from cranberrywheel.process.worker_table import AttemptVerdict
from cranberrywheel.request.model import Request
from cranberrywheel.request.preemption import RunningTask
from cranberrywheel_load.bench_arrivals import (
    CAPACITY,
    SLOTS,
    WORKERS,
    WORKLOADS,
    Arrival,
    make_arrivals,
)
from cranberrywheel_load.bench_schedulers import SCHEDULERS, Scheduler

FIRST_SEED = 11
LOADS = (0.5, 1.0, 2.0, 5.0)
BAD_WORKER = "worker-0"
URGENT_WAIT_MS = 500
FAILURE_MS = 1
SLOW_FACTOR = 10
#: What is wrong with the bad worker: nothing, it fails everything at once, or its
#: runs take ten times as long.
FAULTS = ("none", "fails", "slow")
STOP_MS, CHECKPOINT_MS = 20, 50
TICK_MS, WINDOW_MS = 20, 1_000


@dataclasses.dataclass
class Measures:
    """Sums of one run.

    :param offered_ms: slot time that all requests would need.
    :param useful_ms: slot time of the answers that their callers received.
    :param attempts: attempts started.
    :param bad_attempts: attempts on the bad worker.
    :param requests: requests that arrived.
    :param lost: requests whose caller got a failure.
    :param urgent_waits_ms: wait of each urgent request that its caller did not
        cancel first; infinite if it was never started.
    :param used_ms: slot time per window and team.
    :param entitled_ms: the smaller of share and demand, summed over the ticks. A
        window-long sum of demand would count a burst that starts at the end of a
        window as if the team could have used its share from the start.
    """

    offered_ms: int = 0
    useful_ms: int = 0
    attempts: int = 0
    bad_attempts: int = 0
    requests: int = 0
    lost: int = 0
    urgent_waits_ms: list[float] = dataclasses.field(default_factory=list)
    used_ms: collections.Counter[tuple[int, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    entitled_ms: collections.Counter[tuple[int, str]] = dataclasses.field(
        default_factory=collections.Counter
    )

    def closeness_by_team(self) -> dict[str, float]:
        """Return the mean closeness to share of each team."""
        values = collections.defaultdict(list)
        for (window, team), entitled_ms in self.entitled_ms.items():
            if entitled_ms > 0:
                used_ms = self.used_ms[window, team]
                values[team].append(min(1.0, used_ms / entitled_ms))
        return {team: sum(found) / len(found) for team, found in values.items()}


@dataclasses.dataclass
class _Run:
    arrival: Arrival
    worker: str
    started_ms: int
    ends_ms: int
    slowdown: int = 1
    stopping: bool = False


class Simulation:
    """Drives one scheduler with timed completions.

    :param scheduler: what is measured.
    :param arrivals: requests in order of arrival.
    :param shares: share of each team.
    :param fault: one of ``FAULTS``.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        arrivals: list[Arrival],
        shares: t.Mapping[str, float],
        fault: str,
    ) -> None:
        self._shares = shares
        self._scheduler = scheduler
        self._clock = ManualClock()
        self._fault = fault
        self._events: list[tuple[int, int, t.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._open: dict[str, Arrival] = {}
        self._left_ms: dict[str, int] = {}
        self._attempts: collections.Counter[str] = collections.Counter()
        self._waiting_since: dict[str, int] = {}
        self._waiting_by_team: collections.Counter[str] = collections.Counter()
        #: Refusals since the last tick; they count as demand in it.
        self._refused_by_team: collections.Counter[str] = collections.Counter()
        self._running: dict[str, _Run] = {}
        self.measures = Measures()
        for arrival in arrivals:
            self._at(arrival.request.arrived_ms, self._arrive, arrival)
        self._end_ms = arrivals[-1].request.arrived_ms
        self._at(0, self._tick)

    def run(self) -> Measures:
        """Run until the last arrival and return the sums."""
        while self._events and self._events[0][0] <= self._end_ms:
            at_ms, _, event = heapq.heappop(self._events)
            self._clock.advance(at_ms - self._clock.now_ms())
            event()
            self._start_all()
        return self.measures

    def _at(self, at_ms: int, event: t.Callable[..., None], *values: t.Any) -> None:
        entry = (at_ms, next(self._sequence), lambda: event(*values))
        heapq.heappush(self._events, entry)

    def _arrive(self, arrival: Arrival) -> None:
        request = arrival.request
        now_ms = self._clock.now_ms()
        self.measures.requests += 1
        self.measures.offered_ms += arrival.run_ms
        self._open[request.request_id] = arrival
        self._left_ms[request.request_id] = arrival.run_ms
        self._at(now_ms + arrival.patience_ms, self._cancel, request.request_id)
        self._enqueue(request)

    def _enqueue(self, request: Request) -> None:
        if request.request_id not in self._open:
            return
        now_ms = self._clock.now_ms()
        if self._scheduler.admit(request, now_ms):
            self._waiting_since[request.request_id] = now_ms
            self._waiting_by_team[request.team] += 1
            return
        self._refused_by_team[request.team] += 1
        self._close(request)

    def _close(self, request: Request) -> None:
        if self._open.pop(request.request_id, None) is None:
            return
        if self._waiting_since.pop(request.request_id, None) is not None:
            self._waiting_by_team[request.team] -= 1
        if request.urgent and not self._attempts[request.request_id]:
            # Callers that cancel within the bound say nothing about the start.
            waited_ms = self._clock.now_ms() - request.arrived_ms
            if waited_ms == 0 or waited_ms > 1_500:
                self.measures.urgent_waits_ms.append(float("inf"))

    def _cancel(self, request_id: str) -> None:
        arrival = self._open.get(request_id)
        if arrival is None:
            return
        run = self._running.get(request_id)
        if run is None:
            self._scheduler.remove(request_id)
        elif not run.stopping:
            self._stop(run, STOP_MS, AttemptVerdict.CANCELLED)
        self._close(arrival.request)

    def _stop(self, run: _Run, delay_ms: int, verdict: AttemptVerdict) -> None:
        run.stopping = True
        self._at(self._clock.now_ms() + delay_ms, self._end, run, verdict)

    def _start_all(self) -> None:
        now_ms = self._clock.now_ms()
        while found := self._scheduler.start(now_ms):
            request, worker = found
            arrival = self._open[request.request_id]
            del self._waiting_since[request.request_id]
            self._waiting_by_team[request.team] -= 1
            self.measures.attempts += 1
            if request.urgent and not self._attempts[request.request_id]:
                self.measures.urgent_waits_ms.append(now_ms - request.arrived_ms)
            self._attempts[request.request_id] += 1
            left_ms, slowdown = self._left_ms[request.request_id], 1
            verdict = AttemptVerdict.OK
            if worker == BAD_WORKER:
                self.measures.bad_attempts += 1
                if self._fault == "fails":
                    left_ms, verdict = FAILURE_MS, AttemptVerdict.FAILED
                elif self._fault == "slow":
                    slowdown = SLOW_FACTOR
            ends_ms = now_ms + left_ms * slowdown
            run = _Run(arrival, worker, now_ms, ends_ms, slowdown)
            self._running[request.request_id] = run
            self._at(run.ends_ms, self._complete, run, verdict)

    def _complete(self, run: _Run, verdict: AttemptVerdict) -> None:
        if not run.stopping:
            self._end(run, verdict)

    def _end(self, run: _Run, verdict: AttemptVerdict) -> None:
        now_ms = self._clock.now_ms()
        request = run.arrival.request
        del self._running[request.request_id]
        self._scheduler.finished(
            request, run.worker, verdict, now_ms - run.started_ms, now_ms
        )
        if request.request_id not in self._open:
            return
        if verdict is AttemptVerdict.OK:
            self.measures.useful_ms += run.arrival.run_ms
            self._close(request)
        elif verdict is AttemptVerdict.FAILED:
            attempts = self._attempts[request.request_id]
            delay_ms = self._scheduler.retry_ms(request, attempts, now_ms)
            if delay_ms is None:
                self.measures.lost += 1
                self._close(request)
            else:
                self._at(now_ms + delay_ms, self._enqueue, request)
        else:
            left_ms = max(0, run.ends_ms - now_ms) // run.slowdown
            self._left_ms[request.request_id] = left_ms + CHECKPOINT_MS
            self._enqueue(request)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._at(now_ms + TICK_MS, self._tick)
        for request in self._scheduler.take_expired(now_ms):
            self._close(request)
        window = now_ms // WINDOW_MS
        running = collections.Counter(
            run.arrival.request.team for run in self._running.values()
        )
        for team, share in self._shares.items():
            wanted = running[team] + self._waiting_by_team[team]
            entitled = min(share * CAPACITY, wanted + self._refused_by_team[team])
            self.measures.used_ms[window, team] += running[team] * TICK_MS
            self.measures.entitled_ms[window, team] += entitled * TICK_MS
        self._refused_by_team.clear()
        urgent_by_team = collections.Counter(
            self._open[request_id].request.team
            for request_id, since_ms in self._waiting_since.items()
            if self._open[request_id].request.urgent
            and now_ms - since_ms > URGENT_WAIT_MS
        )
        if urgent_by_team:
            tasks = collections.defaultdict(list)
            for run in self._running.values():
                tasks[run.arrival.request.team].append(self._running_task(run))
            for request_id in self._scheduler.displaced(tasks, urgent_by_team, now_ms):
                verdict = AttemptVerdict.CANCELLED
                self._stop(self._running[request_id], CHECKPOINT_MS, verdict)

    def _running_task(self, run: _Run) -> RunningTask:
        request = run.arrival.request
        return RunningTask(
            request_id=request.request_id,
            urgent=request.urgent,
            can_checkpoint=run.arrival.can_checkpoint,
            can_throttle=False,
            expected_end_ms=run.ends_ms,
            preempted=run.stopping,
        )


@dataclasses.dataclass(frozen=True)
class Case:
    """What one run measures."""

    scheduler: str
    workload: str
    load: float
    fault: str
    seconds: int

    def run(self, seed: int) -> Measures:
        """Run it.

        :param seed: fixes all random values.
        """
        workload = WORKLOADS[self.workload]
        arrivals = make_arrivals(workload, self.load, self.seconds, seed)
        scheduler = SCHEDULERS[self.scheduler](seed, workload.shares)
        return Simulation(scheduler, arrivals, workload.shares, self.fault).run()


def _percentile(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _mean(values: t.Iterable[float]) -> float:
    found = list(values)
    return sum(found) / len(found)


def report(case: Case, runs: list[Measures]) -> str:
    """Return one line of the table.

    :param case: what was measured.
    :param runs: one per seed; means are over the runs, percentiles over all waits.
    """
    closeness = [run.closeness_by_team() for run in runs]
    waits_ms = [wait for run in runs for wait in run.urgent_waits_ms]
    late = 1 - bisect.bisect_right(sorted(waits_ms), 1_500) / len(waits_ms)
    useful = [run.useful_ms / run.offered_ms for run in runs]
    return (
        f"{case.scheduler:12} load={case.load:<4g} fault={case.fault:5}"
        f" useful={_mean(useful):.3f} ({min(useful):.3f}-{max(useful):.3f})"
        f" attempts={_mean(r.attempts / r.requests for r in runs):.2f}"
        f" bad={_mean(r.bad_attempts / max(1, r.attempts) for r in runs):.3f}"
        f" lost={_mean(1000 * r.lost / r.requests for r in runs):.2f}"
        f" closeness={_mean(_mean(c.values()) for c in closeness):.3f}"
        f" worst={_mean(min(c.values()) for c in closeness):.3f}"
        f" urgent_ms={_percentile(waits_ms, 0.5):.0f}/{_percentile(waits_ms, 0.95):.0f}"
        f"/{_percentile(waits_ms, 0.99):.0f} late={late:.4f}"
    )


def main(arguments: list[str] | None = None) -> None:
    """Print one line per scheduler, load and fault.

    :param arguments: command line arguments, for tests.
    """
    parser = argparse.ArgumentParser(prog="python -m cranberrywheel_load.policy_bench")
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--only", choices=SCHEDULERS, help="one scheduler")
    parser.add_argument("--workload", choices=WORKLOADS, default="cancelled")
    options = parser.parse_args(arguments)
    seeds = range(FIRST_SEED, FIRST_SEED + options.seeds)
    names = [options.only] if options.only else list(SCHEDULERS)
    print(
        f"workload={options.workload} seeds={list(seeds)} seconds={options.seconds}"
        f" workers={WORKERS} slots={SLOTS}"
    )
    print("bad: part of the attempts on the bad worker; lost: failures per 1000;")
    print("urgent_ms: start after p50/p95/p99; late: not started within 1.5 s")
    cases = [
        Case(name, options.workload, load, fault, options.seconds)
        for fault, load, name in itertools.product(FAULTS, LOADS, names)
    ]
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        runs = [[pool.submit(case.run, seed) for seed in seeds] for case in cases]
        for case, futures in zip(cases, runs, strict=True):
            print(report(case, [future.result() for future in futures]), flush=True)


if __name__ == "__main__":
    main()

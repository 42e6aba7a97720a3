"""Compares the product's request scheduling with two baselines on the same arrivals.

Run ``python -m cranberrywheel_load.policy_bench``. It simulates one entry with one
pool on a :class:`ManualClock`; workers are a queue of timed completion events. The
baselines are round robin over first-come-first-served requests, and an equal static
part of the slots for each team. Neither baseline ejects workers or limits retries by a
budget.
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
#: Mean offered loads as multiples of the capacity.
LOADS = (0.5, 1.0, 2.0, 5.0)
#: The worker to which the fault applies.
FAULTY_WORKER = "worker-0"
#: Wait after which running tasks are preempted for an urgent request.
PREEMPT_AFTER_MS = 500
#: Time after which an attempt on a failing worker fails.
FAILURE_MS = 1
SLOWDOWN_FACTOR = 10
#: Faults of the faulty worker: none, every attempt fails at once, or runs take ten
#: times as long.
FAULTS = ("none", "fails", "slow")
#: Time to stop a cancelled run and to checkpoint a preempted one.
STOP_MS, CHECKPOINT_MS = 20, 50
#: Interval between two samples of the use by teams, and the window of their sums.
TICK_MS, WINDOW_MS = 20, 1_000


@dataclasses.dataclass
class Metrics:
    """Totals of one simulation run.

    :param offered_ms: slot time that all requests would need.
    :param useful_ms: slot time of the responses that callers received.
    :param attempts: attempts started.
    :param faulty_attempts: attempts on the faulty worker.
    :param requests: requests that arrived.
    :param lost: requests whose caller received a failure.
    :param urgent_waits_ms: wait of each urgent request that its caller did not
        cancel first; infinite if it was never started.
    :param used_ms: slot time used, by window and team.
    :param entitled_ms: slot time to which a team was entitled, by window and team:
        the smaller of its share and its demand, summed over the ticks. A sum of the
        demand over a whole window would count a burst that starts at the end of the
        window as if the team could have used its share from the start.
    """

    offered_ms: int = 0
    useful_ms: int = 0
    attempts: int = 0
    faulty_attempts: int = 0
    requests: int = 0
    lost: int = 0
    urgent_waits_ms: list[float] = dataclasses.field(default_factory=list)
    used_ms: collections.Counter[tuple[int, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    entitled_ms: collections.Counter[tuple[int, str]] = dataclasses.field(
        default_factory=collections.Counter
    )

    def compute_closeness_by_team(self) -> dict[str, float]:
        """Return the mean over the windows of used to entitled slot time, at most 1."""
        ratios_by_team = collections.defaultdict(list)
        for (window, team), entitled_ms in self.entitled_ms.items():
            if entitled_ms > 0:
                used_ms = self.used_ms[window, team]
                ratios_by_team[team].append(min(1.0, used_ms / entitled_ms))
        return {
            team: sum(ratios) / len(ratios) for team, ratios in ratios_by_team.items()
        }


@dataclasses.dataclass
class _Attempt:
    arrival: Arrival
    worker: str
    started_ms: int
    ends_ms: int
    slowdown: int = 1
    stopping: bool = False


class Simulation:
    """Event-driven simulation of one scheduler and its workers.

    :param scheduler: scheduler under test.
    :param arrivals: requests in order of arrival.
    :param shares: share of the capacity of each team.
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
        self._open_requests: dict[str, Arrival] = {}
        self._remaining_run_ms: dict[str, int] = {}
        self._attempt_counts: collections.Counter[str] = collections.Counter()
        self._waiting_since: dict[str, int] = {}
        self._waiting_by_team: collections.Counter[str] = collections.Counter()
        #: Refusals since the last tick; the next tick counts them as demand.
        self._refused_by_team: collections.Counter[str] = collections.Counter()
        self._running: dict[str, _Attempt] = {}
        self.metrics = Metrics()
        for arrival in arrivals:
            self._schedule(arrival.request.arrived_ms, self._arrive, arrival)
        self._end_ms = arrivals[-1].request.arrived_ms
        self._schedule(0, self._tick)

    def run(self) -> Metrics:
        """Run the events up to the last arrival and return the totals."""
        while self._events and self._events[0][0] <= self._end_ms:
            at_ms, _, event = heapq.heappop(self._events)
            self._clock.advance(at_ms - self._clock.now_ms())
            event()
            self._start_requests()
        return self.metrics

    def _schedule(
        self, at_ms: int, event: t.Callable[..., None], *values: t.Any
    ) -> None:
        timed_event = (at_ms, next(self._sequence), lambda: event(*values))
        heapq.heappush(self._events, timed_event)

    def _arrive(self, arrival: Arrival) -> None:
        request = arrival.request
        now_ms = self._clock.now_ms()
        self.metrics.requests += 1
        self.metrics.offered_ms += arrival.run_ms
        self._open_requests[request.request_id] = arrival
        self._remaining_run_ms[request.request_id] = arrival.run_ms
        self._schedule(
            now_ms + arrival.cancel_after_ms, self._cancel, request.request_id
        )
        self._enqueue(request)

    def _enqueue(self, request: Request) -> None:
        if request.request_id not in self._open_requests:
            return
        now_ms = self._clock.now_ms()
        if self._scheduler.admit(request, now_ms):
            self._waiting_since[request.request_id] = now_ms
            self._waiting_by_team[request.team] += 1
            return
        self._refused_by_team[request.team] += 1
        self._close(request)

    def _close(self, request: Request) -> None:
        if self._open_requests.pop(request.request_id, None) is None:
            return
        if self._waiting_since.pop(request.request_id, None) is not None:
            self._waiting_by_team[request.team] -= 1
        if request.urgent and not self._attempt_counts[request.request_id]:
            # A cancellation within 1.5 s leaves open whether the start would be late.
            waited_ms = self._clock.now_ms() - request.arrived_ms
            if waited_ms == 0 or waited_ms > 1_500:
                self.metrics.urgent_waits_ms.append(float("inf"))

    def _cancel(self, request_id: str) -> None:
        arrival = self._open_requests.get(request_id)
        if arrival is None:
            return
        attempt = self._running.get(request_id)
        if attempt is None:
            self._scheduler.remove(request_id)
        elif not attempt.stopping:
            self._stop(attempt, STOP_MS, AttemptVerdict.CANCELLED)
        self._close(arrival.request)

    def _stop(self, attempt: _Attempt, delay_ms: int, verdict: AttemptVerdict) -> None:
        attempt.stopping = True
        self._schedule(self._clock.now_ms() + delay_ms, self._end, attempt, verdict)

    def _start_requests(self) -> None:
        now_ms = self._clock.now_ms()
        while started := self._scheduler.start(now_ms):
            request, worker = started
            arrival = self._open_requests[request.request_id]
            del self._waiting_since[request.request_id]
            self._waiting_by_team[request.team] -= 1
            self.metrics.attempts += 1
            if request.urgent and not self._attempt_counts[request.request_id]:
                self.metrics.urgent_waits_ms.append(now_ms - request.arrived_ms)
            self._attempt_counts[request.request_id] += 1
            remaining_ms, slowdown = self._remaining_run_ms[request.request_id], 1
            verdict = AttemptVerdict.OK
            if worker == FAULTY_WORKER:
                self.metrics.faulty_attempts += 1
                if self._fault == "fails":
                    remaining_ms, verdict = FAILURE_MS, AttemptVerdict.FAILED
                elif self._fault == "slow":
                    slowdown = SLOWDOWN_FACTOR
            ends_ms = now_ms + remaining_ms * slowdown
            attempt = _Attempt(arrival, worker, now_ms, ends_ms, slowdown)
            self._running[request.request_id] = attempt
            self._schedule(attempt.ends_ms, self._complete, attempt, verdict)

    def _complete(self, attempt: _Attempt, verdict: AttemptVerdict) -> None:
        if not attempt.stopping:
            self._end(attempt, verdict)

    def _end(self, attempt: _Attempt, verdict: AttemptVerdict) -> None:
        now_ms = self._clock.now_ms()
        request = attempt.arrival.request
        del self._running[request.request_id]
        self._scheduler.record_end(
            request, attempt.worker, verdict, now_ms - attempt.started_ms, now_ms
        )
        if request.request_id not in self._open_requests:
            return
        if verdict is AttemptVerdict.OK:
            self.metrics.useful_ms += attempt.arrival.run_ms
            self._close(request)
        elif verdict is AttemptVerdict.FAILED:
            attempts = self._attempt_counts[request.request_id]
            delay_ms = self._scheduler.plan_retry_ms(request, attempts, now_ms)
            if delay_ms is None:
                self.metrics.lost += 1
                self._close(request)
            else:
                self._schedule(now_ms + delay_ms, self._enqueue, request)
        else:
            remaining_ms = max(0, attempt.ends_ms - now_ms) // attempt.slowdown
            self._remaining_run_ms[request.request_id] = remaining_ms + CHECKPOINT_MS
            self._enqueue(request)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._schedule(now_ms + TICK_MS, self._tick)
        for request in self._scheduler.take_expired(now_ms):
            self._close(request)
        window = now_ms // WINDOW_MS
        running = collections.Counter(
            attempt.arrival.request.team for attempt in self._running.values()
        )
        for team, share in self._shares.items():
            demand = running[team] + self._waiting_by_team[team]
            entitled = min(share * CAPACITY, demand + self._refused_by_team[team])
            self.metrics.used_ms[window, team] += running[team] * TICK_MS
            self.metrics.entitled_ms[window, team] += entitled * TICK_MS
        self._refused_by_team.clear()
        urgent_by_team = collections.Counter(
            self._open_requests[request_id].request.team
            for request_id, since_ms in self._waiting_since.items()
            if self._open_requests[request_id].request.urgent
            and now_ms - since_ms > PREEMPT_AFTER_MS
        )
        if urgent_by_team:
            tasks = collections.defaultdict(list)
            for attempt in self._running.values():
                tasks[attempt.arrival.request.team].append(
                    self._build_running_task(attempt)
                )
            for request_id in self._scheduler.choose_preempted(
                tasks, urgent_by_team, now_ms
            ):
                verdict = AttemptVerdict.CANCELLED
                self._stop(self._running[request_id], CHECKPOINT_MS, verdict)

    def _build_running_task(self, attempt: _Attempt) -> RunningTask:
        request = attempt.arrival.request
        return RunningTask(
            request_id=request.request_id,
            urgent=request.urgent,
            can_checkpoint=attempt.arrival.can_checkpoint,
            can_throttle=False,
            expected_end_ms=attempt.ends_ms,
            preempted=attempt.stopping,
        )


@dataclasses.dataclass(frozen=True)
class Case:
    """Parameters of one simulation run.

    :param scheduler: key of ``SCHEDULERS``.
    :param workload: key of ``WORKLOADS``.
    :param load: mean offered load as a multiple of the capacity.
    :param fault: one of ``FAULTS``.
    :param seconds: simulated time.
    """

    scheduler: str
    workload: str
    load: float
    fault: str
    seconds: int

    def run(self, seed: int) -> Metrics:
        """Run the simulation.

        :param seed: the same seed gives the same arrivals and decisions.
        """
        workload = WORKLOADS[self.workload]
        arrivals = make_arrivals(workload, self.load, self.seconds, seed)
        scheduler = SCHEDULERS[self.scheduler](seed, workload.shares)
        return Simulation(scheduler, arrivals, workload.shares, self.fault).run()


def _percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _mean(values: t.Iterable[float]) -> float:
    items = list(values)
    return sum(items) / len(items)


def format_line(case: Case, runs: list[Metrics]) -> str:
    """Return one line of the table.

    :param case: parameters of the runs.
    :param runs: one per seed; means are over the runs, percentiles over the waits of
        all runs.
    """
    closeness = [run.compute_closeness_by_team() for run in runs]
    waits_ms = [wait for run in runs for wait in run.urgent_waits_ms]
    late = 1 - bisect.bisect_right(sorted(waits_ms), 1_500) / len(waits_ms)
    useful = [run.useful_ms / run.offered_ms for run in runs]
    return (
        f"{case.scheduler:12} load={case.load:<4g} fault={case.fault:5}"
        f" useful={_mean(useful):.3f} ({min(useful):.3f}-{max(useful):.3f})"
        f" attempts={_mean(run.attempts / run.requests for run in runs):.2f}"
        f" bad={_mean(run.faulty_attempts / max(1, run.attempts) for run in runs):.3f}"
        f" lost={_mean(1000 * run.lost / run.requests for run in runs):.2f}"
        f" closeness={_mean(_mean(by_team.values()) for by_team in closeness):.3f}"
        f" worst={_mean(min(by_team.values()) for by_team in closeness):.3f}"
        f" urgent_ms={_percentile(waits_ms, 0.5):.0f}/{_percentile(waits_ms, 0.95):.0f}"
        f"/{_percentile(waits_ms, 0.99):.0f} late={late:.4f}"
    )


def main(arguments: list[str] | None = None) -> None:
    """Print one line per fault, load and scheduler.

    :param arguments: command line arguments; by default those of the process.
    """
    parser = argparse.ArgumentParser(prog="python -m cranberrywheel_load.policy_bench")
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--only", choices=SCHEDULERS, help="run only this scheduler")
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
            print(
                format_line(case, [future.result() for future in futures]), flush=True
            )


if __name__ == "__main__":
    main()

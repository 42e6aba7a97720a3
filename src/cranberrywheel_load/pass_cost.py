"""Cost of the scheduler's decisions per started task, with parts off and on.

A contended pool in steady state: each task that ends releases capacity, and a pass
starts the next one. ``python -m cranberrywheel_load.decision_cost --parts`` prints the
ratios.
"""

import dataclasses
import random
import time
import typing as t

from absl import logging

from cranberrywheel.submission.executor_orders import (
    CompletionReport,
    ExecutorEntry,
    OrderVerdict,
    PollReply,
    RunningReport,
    RunOutcome,
)
from cranberrywheel.submission.features import ALL_OFF, FeatureSettings, Switch
from cranberrywheel.submission.live import RunState
from cranberrywheel.submission.model import (
    Configuration,
    Organisation,
    Queue,
    Resources,
    Service,
    Step,
    Submission,
)
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.scheduler import Scheduler

SEED = 20_261_205
#: Tasks that fit on an executor, and their declared duration.
SLOTS = 8
TASK_MS = 1_000
TICK_MS = 100
#: Ticks while the tasks of a full pool end once.
TICKS_PER_TASK = TASK_MS // TICK_MS
#: Waiting submissions per executor.
BACKLOG_PER_EXECUTOR = 1
TASKS_PER_SUBMISSION = 4
UNIX_MS = 1_700_000_000_000
PARTS = dataclasses.replace(ALL_OFF, fair_shares=Switch.ON, preemption=Switch.ON)
EXECUTOR_COUNTS = (32, 250, 2_000)
ORGANISATION_COUNTS = (6, 51)


class _PassBenchmark:
    """One contended pool whose tasks end one by one."""

    def __init__(
        self, executors: int, organisations: int, settings: FeatureSettings
    ) -> None:
        self._rng = random.Random(SEED)
        self._names = [f"organisation-{number}" for number in range(organisations)]
        queues = [
            Queue(f"q{n}", "h", f"/{n}/", "pool", n, 3, 1.6, 600) for n in range(2)
        ]
        self._queues = queues
        self.scheduler = Scheduler(1, 0, PlatformTiming(), 0, settings)
        self.scheduler.set_configuration(
            Configuration(
                version=1,
                queues_by_host={"h": tuple(queues)},
                queues_by_key={queue.key: queue for queue in queues},
                services_by_name={"pool": Service("pool")},
                organisations_by_name={
                    name: Organisation(name, 1_000.0) for name in self._names
                },
                organisation_by_api_key={},
            )
        )
        self._now_ms = 10_000
        self._clock_ms = 10_000.0
        self._step_ms = TASK_MS / (executors * SLOTS)
        self._next_tick_ms = self._now_ms
        self._count = 0
        self._sequence: dict[str, int] = {}
        self.started = 0
        for number in range(executors):
            entry = ExecutorEntry(
                f"x{number}",
                "pool",
                "",
                f"z{number % 3}",
                False,
                Resources(SLOTS * 1_000, 64_000, 0),
                frozenset(),
                f"r{number // 8}",
                f"m{number}",
                1,
            )
            self.scheduler.put_executor(entry, self._now_ms)
            reply = PollReply(OrderVerdict.OK, self._now_ms, 1)
            self.scheduler.on_poll_reply(
                entry.id, reply, self._now_ms - 1, self._now_ms
            )
        self._ids = list(self.scheduler.executors_by_id)
        submissions = executors * (SLOTS // TASKS_PER_SUBMISSION + BACKLOG_PER_EXECUTOR)
        for _ in range(submissions):
            self._submit()
        self._schedule()
        self._schedule()

    def _submit(self) -> None:
        self._count += 1
        queue = self._queues[self._count % 2]
        step = Step(TASKS_PER_SUBMISSION, Resources(1_000, 500, 0), TASK_MS)
        submission = Submission(
            f"s{self._count}",
            queue.key,
            "pool",
            self._rng.choice(self._names),
            "",
            (step,),
            UNIX_MS + self._now_ms,
        )
        self.scheduler.add_submission(submission, self._now_ms)

    def _schedule(self) -> None:
        scheduler = self.scheduler
        scheduler.schedule(self._now_ms, UNIX_MS + self._now_ms)
        for live in list(scheduler.unsaved_by_id.values()):
            scheduler.on_stored(live, live.version)
        scheduler.unsaved_by_id.clear()
        for action in scheduler.take_actions():
            run = getattr(action, "run", None)
            if run is not None and run.state is RunState.STARTING:
                run.state = RunState.RUNNING
                run.task.step_run.live.started = True
                self.started += 1

    def step(self) -> None:
        """End one task, add its part of a submission and start what fits."""
        self._clock_ms += self._step_ms
        self._now_ms = int(self._clock_ms)
        executor_id = self._rng.choice(self._ids)
        executor = self.scheduler.executors_by_id[executor_id]
        if executor.runs:
            run = next(iter(executor.runs.values()))
            sequence = self._sequence.get(executor_id, 0) + 1
            self._sequence[executor_id] = sequence
            rows = tuple(
                RunningReport(*key, "", 50.0, 0.0)
                for key in executor.runs
                if key != run.key
            )
            end = CompletionReport(sequence, *run.key, RunOutcome.DONE, "")
            reply = PollReply(OrderVerdict.OK, self._now_ms, 1, rows, (end,))
            executor.extend_lease(3_200, self._now_ms)
            self.scheduler.on_poll_reply(
                executor_id, reply, self._now_ms - 1, self._now_ms
            )
        if self._rng.random() < 1 / TASKS_PER_SUBMISSION:
            self._submit()
        if self._clock_ms >= self._next_tick_ms:
            self._next_tick_ms = self._now_ms + TICK_MS
            for executor in self.scheduler.executors_by_id.values():
                executor.extend_lease(3_200, self._now_ms)
            self.scheduler.tick(self._now_ms, UNIX_MS + self._now_ms)
        self._schedule()


def measure_pass_us(
    executors: int, organisations: int, settings: FeatureSettings, steps: int
) -> float:
    """Return the processor time per started task in microseconds."""
    benchmark = _PassBenchmark(executors, organisations, settings)
    before = benchmark.started
    begin_ns = time.process_time_ns()
    for _ in range(steps):
        benchmark.step()
    taken_us = (time.process_time_ns() - begin_ns) / 1_000
    return taken_us / max(1, benchmark.started - before)


def compare_parts(steps: int, repeats: int) -> t.Iterator[str]:
    """Yield a line with the cost and the ratio for each size of the pool.

    :param steps: ends of tasks in each repetition; more where a tick spans more.
    :param repeats: interleaved repetitions, of which the minimum counts.
    """
    logging.set_verbosity(logging.ERROR)
    for executors in EXECUTOR_COUNTS:
        for organisations in ORGANISATION_COUNTS:
            count = max(steps, executors * SLOTS // TICKS_PER_TASK)
            rows = [
                [
                    measure_pass_us(executors, organisations, settings, count)
                    for settings in (ALL_OFF, PARTS)
                ]
                for _ in range(repeats)
            ]
            off, on = map(min, zip(*rows, strict=True))
            yield (
                f"executors={executors} organisations={organisations} "
                f"off_us={off:.0f} on_us={on:.0f} ratio={on / off:.2f}"
            )

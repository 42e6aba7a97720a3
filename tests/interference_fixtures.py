"""Executors with serving and background runs in virtual time, for a real scheduler."""

import collections
import math
import random
import statistics

from leader_harness import make_configuration, make_step, make_submission

from cranberrywheel.submission import actions
from cranberrywheel.submission.executor_orders import (
    ExecutorEntry,
    OrderReply,
    OrderVerdict,
    PollReply,
    RunningReport,
)
from cranberrywheel.submission.features import ALL_OFF, FeatureSettings, Switch
from cranberrywheel.submission.interference import update_shifts
from cranberrywheel.submission.model import Resources
from cranberrywheel.submission.pair_estimate import PairEstimate, Verdict
from cranberrywheel.submission.pair_regression import ImageRegression
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel_standin.virtual_fleet import UNIX_START_MS

TICK_MS = 100
#: Polls of an executor are answered after at most this time.
POLL_MS = 900
START_UP_MS = 700
#: Time over which a reported latency is taken.
READING_MS = 500
TARGET_MS = 100
INTERFERENCE_ON = FeatureSettings(
    **{**vars(ALL_OFF), "interference": Switch.ON},
)


def serving(count, image="web", **fields):
    """Build a step of latency-sensitive tasks."""
    fields = {"may_miss": 3, "anti_affinity": 1, "target_ms": TARGET_MS, **fields}
    return make_step(count, long_running=True, image=image, **fields)


def background(count, image, **fields):
    """Build a step of long-running background tasks."""
    fields = {"may_miss": 3, **fields}
    return make_step(count, long_running=True, fills=True, image=image, **fields)


def know(estimates, disturbed, disturbing, effect, verdict=None):
    """Set what is known of a pair."""
    if verdict is None:
        verdict = Verdict.DISTURBING if effect > 0.2 else Verdict.HARMLESS
    regression = estimates.regression_by_image.setdefault(
        disturbed, ImageRegression(10**9, 10**9)
    )
    pair = PairEstimate(effect=effect, error=0.05, verdict=verdict)
    regression.pair_by_image[disturbing] = pair
    update_shifts(estimates)
    return pair


class World:
    """Executors whose latencies follow from the true effects between images.

    :ivar effect_by_pair: logarithm of the factor by which the second image raises the
        latency of the first.
    :ivar load: common factor of the latency of all serving runs.
    :ivar distort: changes the load that an executor reports for a run.
    :ivar over_target_ms: time that serving runs spent over their target.
    :ivar worked_ms: time that background runs worked, at full speed.
    """

    def __init__(self, executors, seed, effects=(), on=True, base_ms=40, slots=40):
        self.random = random.Random(seed)
        self.effect_by_pair = dict(effects)
        self.base_ms = base_ms
        self.now_ms = 10_000
        self.load = 1.0
        self.noise = self.own_load = 0.15
        self.distort = lambda executor_id, run, load: load
        self.freeze_clock = set()
        self.over_target_ms = self.worked_ms = self.report_count = 0
        self.started, self.stopped, self.speeds = [], [], []
        self.runs_by_executor = {f"x{number}": {} for number in range(executors)}
        self.own_load_by_run = {}
        self.recent_by_run = collections.defaultdict(
            lambda: collections.deque(maxlen=READING_MS // TICK_MS)
        )
        self.submissions = []
        self.slots = slots
        self.settings = INTERFERENCE_ON if on else ALL_OFF
        self.take_over()

    def take_over(self):
        """Replace the scheduler by that of a new leadership, without a handover."""
        self.scheduler = Scheduler(1, 0, PlatformTiming(), self.now_ms, self.settings)
        self.scheduler.set_configuration(make_configuration())
        self.scheduler.store_unreachable = True  # steps begin without a record
        for submission in self.submissions:
            self.scheduler.add_submission(submission, self.now_ms, recovered=True)
        for number, executor_id in enumerate(self.runs_by_executor):
            capacity = Resources(self.slots * 1_000, 256_000, 0)
            entry = ExecutorEntry(
                executor_id, "pool", executor_id, f"z{number % 3}", False, capacity,
                frozenset(), f"r{number // 8}", f"m{number}", 1,
            )  # fmt: skip
            self.scheduler.put_executor(entry, self.now_ms)
            self.poll(executor_id)

    def submit(self, submission_id, *steps):
        """Add a submission that the scheduler places."""
        submission = make_submission(submission_id, *steps, accepted_ms=UNIX_START_MS)
        self.submissions.append(submission)
        self.scheduler.add_submission(submission, self.now_ms)

    def put(self, image, executor_numbers, step=None):
        """Put running tasks of an image on executors, as if placed before."""
        numbers = list(executor_numbers)
        step = step or background(len(numbers), image)
        self.submit(f"s{len(self.submissions)}", step)
        live = self.scheduler.live_by_id[self.submissions[-1].id]
        for index, number in enumerate(numbers):
            name = live.step_runs[0, 0].tasks[index].name
            self.runs_by_executor[f"x{number}"][name, 1] = (step, self.now_ms - 5_000)
            self.poll(f"x{number}")

    @property
    def estimates(self):
        return self.scheduler.interference

    def verdict(self, disturbed, disturbing):
        return self.estimates.get_verdict(disturbed, disturbing).value

    def find_run(self, executor_id, key):
        return self.scheduler.executors_by_id[executor_id].runs.get(key)

    def speed(self, executor_id, key):
        run = self.find_run(executor_id, key)
        return run.speed_percent if run else 100

    def true_latency(self, executor_id, key):
        """Return the latency of a serving run, without noise."""
        runs = self.runs_by_executor[executor_id]
        image = runs[key][0].image
        own = self.own_load_by_run.setdefault(
            (executor_id, key), self.random.gauss(0, self.own_load)
        )
        effect = sum(
            self.effect_by_pair.get((image, step.image), 0.0)
            * (self.speed(executor_id, other) / 100 if step.fills else 1.0)
            for other, (step, _) in runs.items()
            if other != key
        )
        return self.base_ms * self.load * math.exp(own + effect)

    def poll(self, executor_id):
        """Let an executor answer a poll."""
        rows = []
        for key, (step, since_ms) in self.runs_by_executor[executor_id].items():
            load = 1.0
            if step.target_ms:
                noise = math.exp(self.random.gauss(0, self.noise))
                recent = self.recent_by_run[executor_id, key]
                latency = statistics.fmean(
                    recent or [self.true_latency(executor_id, key)]
                )
                load = float(round(latency * noise))
                load = self.distort(executor_id, key, load)
                self.report_count += 1
            percent = 100.0 if self.now_ms - since_ms >= START_UP_MS else 0.0
            rows.append(RunningReport(key[0], key[1], "", percent, load))
        clock_ms = (
            5 if executor_id in self.freeze_clock else UNIX_START_MS + self.now_ms
        )
        reply = PollReply(OrderVerdict.OK, clock_ms, 1, tuple(rows))
        self.scheduler.on_poll_reply(executor_id, reply, self.now_ms, self.now_ms)

    def run_for(self, duration_ms, each_tick=lambda: None):
        """Advance the time in ticks."""
        for _ in range(duration_ms // TICK_MS):
            self.now_ms += TICK_MS
            for number, executor_id in enumerate(self.runs_by_executor):
                if (self.now_ms // TICK_MS + number) % (POLL_MS // TICK_MS) == 0:
                    self.poll(executor_id)
            self.scheduler.tick(self.now_ms, UNIX_START_MS + self.now_ms)
            self.scheduler.schedule(self.now_ms, UNIX_START_MS + self.now_ms)
            for action in self.scheduler.take_actions():
                self.carry_out(action)
            self.measure()
            each_tick()

    def carry_out(self, action):
        if isinstance(action, actions.StartRun):
            run = action.run
            step = run.task.step_run.step
            self.runs_by_executor[run.executor_id][run.key] = (step, self.now_ms)
            self.scheduler.on_start_reply(run, OrderReply(OrderVerdict.OK), self.now_ms)
            self.started.append((self.now_ms, step.image, run.executor_id))
        elif isinstance(action, actions.StopRun):
            key = (action.task, action.number)
            step, _ = self.runs_by_executor[action.executor_id].pop(key)
            self.scheduler.on_stop_reply(
                action.run, OrderReply(OrderVerdict.OK), self.now_ms - 1
            )
            self.stopped.append((self.now_ms, step.image, action.executor_id))
        elif isinstance(action, actions.ThrottleRun):
            image = action.run.task.step_run.step.image
            self.speeds.append((self.now_ms, image, action.percent))

    def measure(self):
        for executor_id, runs in self.runs_by_executor.items():
            for key, (step, _) in runs.items():
                if step.fills:
                    self.worked_ms += TICK_MS * self.speed(executor_id, key) / 100
                else:
                    latency = self.true_latency(executor_id, key)
                    self.recent_by_run[executor_id, key].append(latency)
                    self.over_target_ms += TICK_MS * (latency > TARGET_MS)

"""Moves of background runs away from executors where they are throttled.

Load pattern: a background task is throttled for seconds because it is known to disturb
a latency-sensitive one on its executor, while other executors could take it.
"""

import dataclasses
import math
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.interference import InterferenceEstimates
from cranberrywheel.submission.live import Run, RunState, StepRun
from cranberrywheel.submission.maintenance import may_interrupt
from cranberrywheel.submission.pair_estimate import (
    PRIOR_EFFECT,
    PairEstimate,
    Verdict,
)
from cranberrywheel.submission.placement import can_start, compute_score
from cranberrywheel.submission.state import SchedulerState

#: Interval of the search for a run to move.
CHECK_INTERVAL_MS = 500
#: Shortest time between two moves, so that the next one sees the effect of the last.
MOVE_INTERVAL_MS = 1_000
#: Time for which the speed of a run must have been the same, so that a short peak
#: moves nothing.
SETTLED_MS = 1_000
#: Time for which the gain of a run without an end counts: effects change within
#: seconds, so evidence tells nothing of later.
GAIN_HORIZON_MS = 10_000
#: Cost of a move: 700 ms of start-up, up to 500 ms of work since the last checkpoint
#: and 100 ms to restore it.
MOVE_COST_MS = 1_300
#: Multiple of the cost that the gain must reach, as both are estimates.
MIN_GAIN_RATIO = 2.0
#: Fraction of its limit that the latency of a serving task may be expected to reach.
MAX_EXPECTED_RATIO = 0.9
#: Candidates for which places are searched in one check; each search covers a pool.
MAX_SEARCHES = 3

#: Time for which a task does not return to the executor that it has left.
AVOID_ORIGIN_MS = 4_000

_log = ComponentLogger("interference")


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A throttled background run that would gain by a move.

    :param gain_ms: work at full speed that the move regains, in milliseconds.
    :param disturbed: image of the latency-sensitive task for which it is throttled.
    """

    run: Run
    executor: Executor
    gain_ms: float
    disturbed: str
    pair: PairEstimate


def move_background_run(state: SchedulerState, now_ms: int) -> None:
    """Stop a background run that should move, so that it starts elsewhere.

    :param now_ms: steady time in milliseconds.
    """
    estimates = state.interference
    if now_ms - estimates.moves_checked_ms < CHECK_INTERVAL_MS:
        return
    estimates.moves_checked_ms = now_ms
    if not estimates.shift_by_disturbing:
        return
    if now_ms - estimates.moved_ms < MOVE_INTERVAL_MS:
        return
    candidates = sorted(
        _find_candidates(state, now_ms), key=lambda candidate: -candidate.gain_ms
    )
    refused_steps: set[StepRun] = set()
    searches = 0
    for candidate in candidates:
        step_run = candidate.run.task.step_run
        if step_run in refused_steps:
            continue
        if step_run.step.long_running and not may_interrupt(candidate.run):
            refused_steps.add(step_run)
            continue
        searches += 1
        if searches > MAX_SEARCHES:
            return
        place = _find_place(state, candidate, now_ms)
        if place is None:
            continue
        estimates.moved_ms = now_ms
        candidate.pair.moved += 1
        run = candidate.run
        _log.event(
            "background run moves away from a task that it disturbs",
            request=run.task.name,
            run=run.number,
            executor=run.executor_id,
            expected_executor=place.id,
            disturbed=candidate.disturbed,
            disturbing=run.task.step_run.step.image,
            ratio=math.exp(candidate.pair.effect),
            confidence=candidate.pair.confidence,
            speed_percent=run.speed_percent,
            gain_ms=round(candidate.gain_ms),
            cost_ms=MOVE_COST_MS,
        )
        # Once it has left, its executor has the most free capacity again.
        run.task.avoid_until_ms_by_executor[run.executor_id] = now_ms + AVOID_ORIGIN_MS
        state.stop_run(run, now_ms, "it disturbs a latency-sensitive task")
        return


def _find_candidates(state: SchedulerState, now_ms: int) -> t.Iterator[Candidate]:
    for executor in state.executors_by_id.values():
        if (
            not executor.background_count
            or not executor.latency_sensitive_count
            or not executor.reachable
            or not executor.registered
        ):
            continue
        for run in executor.runs.values():
            step = run.task.step_run.step
            if (
                not step.fills
                or run.speed_percent >= 100
                or now_ms - run.speed_changed_ms < SETTLED_MS
                or not _is_movable(run)
            ):
                continue
            gain_ms = compute_gain(state, run)
            if gain_ms < MIN_GAIN_RATIO * MOVE_COST_MS:
                continue
            found = _find_disturbed(state.interference, executor, step.image)
            if found:
                yield Candidate(run, executor, gain_ms, *found)


def _is_movable(run: Run) -> bool:
    """Tell whether a run may be stopped and resumed, but for ``may_miss`` right now."""
    step = run.task.step_run.step
    if run.state is not RunState.RUNNING or step.gang:
        return False
    if step.long_running:
        return step.may_miss > 0 and run.task.available_since_ms > 0
    return step.checkpointing


def compute_gain(state: SchedulerState, run: Run) -> float:
    """Return the work that a throttled run regains at full speed, in milliseconds."""
    step_run = run.task.step_run
    step = step_run.step
    lost = 1 - run.speed_percent / 100
    if step.long_running:
        return lost * GAIN_HORIZON_MS
    expected_ms = step.estimated_ms * state.duration_estimates.get_factor(step_run.live)
    left_ms = expected_ms * max(0.0, 1 - run.percent / 100)
    return min(lost * GAIN_HORIZON_MS, left_ms)


def _find_disturbed(
    estimates: InterferenceEstimates, executor: Executor, image: str
) -> tuple[str, PairEstimate] | None:
    """Return the image on an executor that another one is known to disturb most."""
    found: tuple[str, PairEstimate] | None = None
    for disturbed in executor.latency_sensitive_by_image:
        pair = estimates.find_pair(disturbed, image)
        if (
            pair is not None
            and pair.verdict is Verdict.DISTURBING
            and (found is None or pair.effect > found[1].effect)
        ):
            found = disturbed, pair
    return found


def _find_place(
    state: SchedulerState, candidate: Candidate, now_ms: int
) -> Executor | None:
    """Return the executor that placement would choose, if the move is worth it there.

    Nothing moves while other work waits in the pool, since that could take the place
    and the task would wait.
    """
    task = candidate.run.task
    service = candidate.executor.entry.service
    waiting = state.waiting_by_service.get(service, {}).values()
    if service in state.quota_limited_services or any(
        live.list_ready_steps() for live in waiting
    ):
        return None
    leaving_machines = state.maintenance_due | state.borrowed_machines
    packed_machines = state.packed_machines_by_service.get(service)

    def score(executor: Executor) -> float:
        return compute_score(
            executor,
            task,
            now_ms,
            leaving_machines,
            packed_machines,
            state.interference,
        )

    best = candidate.executor
    best_score = score(best)
    for executor in state.executors_by_service.get(service, {}).values():
        if executor is candidate.executor or not can_start(executor, task, now_ms):
            continue
        other_score = score(executor)
        if other_score > best_score:
            best, best_score = executor, other_score
    if best is candidate.executor or best.entry.machine in leaving_machines:
        return None
    if not _is_harmless_on(state, best, task.step_run.step.image):
        return None
    return best


def _is_harmless_on(state: SchedulerState, executor: Executor, image: str) -> bool:
    """Tell whether a background image is expected to disturb nothing on an executor.

    With the turn forecast on, an executor without long-running runs is left alone,
    since packing may have emptied its machine.
    """
    steps = [run.task.step_run.step for run in executor.runs.values()]
    if state.features.turn_forecast and not any(step.long_running for step in steps):
        return False
    for run in executor.runs.values():
        step = run.task.step_run.step
        if not step.target_ms:
            continue
        pair = state.interference.find_pair(step.image, image)
        if pair is not None and pair.verdict is Verdict.DISTURBING:
            return False
        effect = pair.effect if pair else PRIOR_EFFECT
        if run.load <= 0 or (
            run.load * math.exp(effect) > MAX_EXPECTED_RATIO * step.target_ms
        ):
            return False
    return True

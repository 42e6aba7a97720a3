"""Learns from executors' reports which images disturb which, and how sure that is.

Load pattern: background tasks share executors with latency-sensitive ones and raise
their tail latency by amounts that differ by pair of images and change within seconds,
while bursts raise the latency of all of them.
"""

import collections
import dataclasses
import math
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import RunningReport
from cranberrywheel.submission.live import Run, RunState
from cranberrywheel.submission.model import Step
from cranberrywheel.submission.pair_regression import (
    CROWDING,
    PRIOR_EFFECT,
    ImageRegression,
    PairEstimate,
    Reading,
    Verdict,
    add_window,
)

#: Time over which readings of an image are compared: each executor answers a poll at
#: least once in it.
WINDOW_MS = 1_000
#: Shortest time between two readings of one executor. A reading covers half a second,
#: and polls are answered at each completion.
MIN_READING_INTERVAL_MS = 400
#: Time after a change of the neighbours or their speeds for which readings mix the old
#: and the new state.
SETTLE_MS = 600
#: Multiple of its limit from which a latency is absurd.
ABSURD_FACTOR = 100
#: A latency that stays the same for this long, in at least this many readings, is
#: frozen. Below the smallest latency, whole milliseconds hide the noise.
FROZEN_MS = 1_500
FROZEN_READINGS = 3
MIN_FROZEN_LATENCY_MS = 10
#: Disturbed images, and readings of each per window.
MAX_IMAGES = 32
MAX_READINGS = 128
#: Images whose windows are evaluated in one pass: 3 in 100 ms cover 32 within a window.
IMAGES_PER_PASS = 3
#: Time without readings after which an image is forgotten.
FORGET_IMAGE_MS = 30_000
#: Limits of the placement term: below the bonus for locality and the penalty of a
#: suspect executor.
MAX_TERM = 6.0
#: Multiple of the prior effect beyond which placement makes no difference.
MAX_RELATIVE_EFFECT = 4.0
#: Pairs in the metrics and the status output.
LISTED_PAIRS = 10
#: Log lines about verdicts in one window; the others are counted.
MAX_LINES_PER_WINDOW = 5

#: Reasons for which reports or readings are not used.
IGNORED_REASONS = ("absurd", "bounds", "frozen", "missing", "suspect")

_log = ComponentLogger("interference")

RunKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class ExecutorView:
    """Last reading of an executor. Times are steady milliseconds.

    :param clock_ms: executor's clock in its last report.
    :param neighbours: background and latency-sensitive runs with state and speed.
    :param neighbours_since_ms: since when these have been the same.
    :param unchanged_by_run: for each run its latency, since when it has been reported,
        and in how many readings.
    """

    read_ms: int
    clock_ms: int = 0
    neighbours: tuple[tuple[RunKey, RunState, int], ...] = ()
    neighbours_since_ms: int = 0
    unchanged_by_run: dict[RunKey, tuple[float, int, int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ListedPair:
    """A pair for metrics and the status output.

    :param ratio: factor by which one disturbing run raises the tail latency.
    :param confidence: from 0 (prior) to 1.
    :param readings: recent readings with the neighbour.
    :param witnesses: executors with a recent reading.
    :param slowed: times that the disturbing image was slowed for the pair.
    :param spared: times that it was not, because it is harmless.
    :param moved: runs that moved away for the pair.
    """

    disturbed: str
    disturbing: str
    verdict: str
    ratio: float
    confidence: float
    readings: int
    witnesses: int
    slowed: int
    spared: int
    moved: int


class InterferenceEstimates:
    """Evidence of one leadership; a successor learns again.

    :ivar regression_by_image: evidence by disturbed image.
    :ivar ignored_by_reason: number of ignored reports.
    :ivar listed_pairs: worst pairs at the last pass; replaced as a whole, so that other
        threads may read it.
    :ivar has_verdicts: any pair is known to be disturbing or harmless.
    :ivar moved_ms: steady time of the last move, see :mod:`.neighbour_moves`.
    """

    def __init__(self) -> None:
        self.regression_by_image: dict[str, ImageRegression] = {}
        self.readings_by_image: dict[str, dict[RunKey, Reading]] = {}
        self.view_by_executor: dict[str, ExecutorView] = {}
        self.ignored_by_reason: collections.Counter[str] = collections.Counter()
        self.listed_pairs: tuple[ListedPair, ...] = ()
        self.has_verdicts = False
        self.moved_ms = -(10**9)
        self.moves_checked_ms = 0
        self.listed_ms = 0
        self.lines_in_window = 0
        self.lines_dropped = 0

    def find_pair(self, disturbed: str, disturbing: str) -> PairEstimate | None:
        """Return the estimate of a pair, or ``None`` if only the prior is known."""
        regression = self.regression_by_image.get(disturbed)
        if regression is None or not disturbing:
            return None
        return regression.pair_by_image.get(disturbing)

    def get_verdict(self, disturbed: str, disturbing: str) -> Verdict:
        """Return what is known about a pair."""
        pair = self.find_pair(disturbed, disturbing)
        return pair.verdict if pair else Verdict.UNKNOWN


def record_report(
    estimates: InterferenceEstimates,
    executor: Executor,
    report_by_run: t.Mapping[RunKey, RunningReport],
    clock_ms: int,
    now_ms: int,
) -> None:
    """Take the readings of an executor's answer to a poll.

    :param clock_ms: executor's clock; 0 if the answer has none.
    :param now_ms: steady time in milliseconds.
    """
    if not executor.latency_sensitive_count:
        estimates.view_by_executor.pop(executor.id, None)
        return
    view = estimates.view_by_executor.setdefault(
        executor.id, ExecutorView(now_ms - MIN_READING_INTERVAL_MS)
    )
    if now_ms - view.read_ms < MIN_READING_INTERVAL_MS:
        return
    view.read_ms = now_ms
    last_clock_ms, view.clock_ms = view.clock_ms, clock_ms
    runs = [
        run
        for run in executor.runs.values()
        if run.task.step_run.step.fills or run.task.step_run.step.target_ms
    ]
    neighbours = tuple((run.key, run.state, run.speed_percent) for run in runs)
    if neighbours != view.neighbours:
        view.neighbours, view.neighbours_since_ms = neighbours, now_ms
    reason = ""
    if executor.suspect_until_ms > now_ms:
        reason = "suspect"
    elif clock_ms and clock_ms == last_clock_ms:
        reason = "frozen"
    elif not all(_is_plausible(run, report_by_run) for run in runs):
        reason = "absurd"
    if reason:
        estimates.ignored_by_reason[reason] += 1
    elif now_ms - view.neighbours_since_ms >= SETTLE_MS:
        _record_readings(estimates, executor, view, runs, report_by_run, now_ms)


def _is_plausible(run: Run, report_by_run: t.Mapping[RunKey, RunningReport]) -> bool:
    report = report_by_run.get(run.key)
    if report is None:
        return True
    limit = run.task.step_run.step.target_ms * ABSURD_FACTOR
    return (
        math.isfinite(report.load)
        and report.load >= 0
        and (not limit or report.load <= limit)
    )


def _record_readings(
    estimates: InterferenceEstimates,
    executor: Executor,
    view: ExecutorView,
    runs: t.Sequence[Run],
    report_by_run: t.Mapping[RunKey, RunningReport],
    now_ms: int,
) -> None:
    """Add one reading per serving run to the present windows of their images."""
    exposure = _sum_exposure(runs)
    unchanged: dict[RunKey, tuple[float, int, int]] = {}
    for run in runs:
        step = run.task.step_run.step
        report = report_by_run.get(run.key)
        if not step.target_ms or not step.image or run.state is not RunState.RUNNING:
            continue
        if report is None or not report.load:
            estimates.ignored_by_reason["missing"] += 1
            continue
        if step.long_running and report.percent < 100:
            continue  # it is still starting up
        load, since_ms, count = view.unchanged_by_run.get(run.key, (-1.0, 0, 0))
        if load != report.load:
            since_ms, count = now_ms, 0
        unchanged[run.key] = (report.load, since_ms, count + 1)
        if (
            report.load >= MIN_FROZEN_LATENCY_MS
            and now_ms - since_ms >= FROZEN_MS
            and count + 1 >= FROZEN_READINGS
        ):
            estimates.ignored_by_reason["frozen"] += 1
            continue
        readings = _find_window(estimates, step.image, now_ms)
        if readings is None or (
            len(readings) >= MAX_READINGS and run.key not in readings
        ):
            estimates.ignored_by_reason["bounds"] += 1
            continue
        readings[run.key] = Reading(executor.id, math.log(report.load), exposure)
    view.unchanged_by_run = unchanged


def _sum_exposure(runs: t.Sequence[Run]) -> dict[str, float]:
    exposure: dict[str, float] = {}
    serving = 0
    for run in runs:
        step = run.task.step_run.step
        if step.fills:
            amount = run.speed_percent / 100
            exposure[step.image] = exposure.get(step.image, 0.0) + amount
        else:
            serving += 1
    if serving > 1:
        exposure[CROWDING] = serving - 1.0
    return exposure


def _find_window(
    estimates: InterferenceEstimates, image: str, now_ms: int
) -> dict[RunKey, Reading] | None:
    """Return the present readings of an image; ``None`` for one image too many."""
    if image not in estimates.regression_by_image:
        if len(estimates.regression_by_image) >= MAX_IMAGES:
            return None
        estimates.regression_by_image[image] = ImageRegression(now_ms, now_ms)
    return estimates.readings_by_image.setdefault(image, {})


def advance(estimates: InterferenceEstimates, now_ms: int) -> None:
    """Evaluate the windows that have ended, at most a few in one pass.

    :param now_ms: steady time in milliseconds.
    """
    due = sorted(
        (regression.updated_ms, image)
        for image, regression in estimates.regression_by_image.items()
        if now_ms - regression.updated_ms >= WINDOW_MS
    )
    for _, image in due[:IMAGES_PER_PASS]:
        regression = estimates.regression_by_image[image]
        before = {
            other: pair.verdict for other, pair in regression.pair_by_image.items()
        }
        readings = estimates.readings_by_image.pop(image, {})
        add_window(regression, list(readings.values()), now_ms)
        _log_changes(estimates, image, before)
        if now_ms - regression.read_ms > FORGET_IMAGE_MS:
            del estimates.regression_by_image[image]
    if now_ms - estimates.listed_ms >= WINDOW_MS:
        estimates.listed_ms = now_ms
        estimates.listed_pairs = tuple(list_worst_pairs(estimates, LISTED_PAIRS))
        estimates.has_verdicts = any(
            pair.verdict is not Verdict.UNKNOWN
            for regression in estimates.regression_by_image.values()
            for pair in regression.pair_by_image.values()
        )
        estimates.view_by_executor = {
            executor_id: view
            for executor_id, view in estimates.view_by_executor.items()
            if now_ms - view.read_ms <= FORGET_IMAGE_MS
        }
        if estimates.lines_dropped:
            _log.event("further verdicts not logged", count=estimates.lines_dropped)
        estimates.lines_in_window = estimates.lines_dropped = 0


def _log_changes(
    estimates: InterferenceEstimates, image: str, before: t.Mapping[str, Verdict]
) -> None:
    """Log the pairs that became known or unknown, with their evidence."""
    for disturbing, pair in estimates.regression_by_image[image].pair_by_image.items():
        if pair.verdict is before.get(disturbing, Verdict.UNKNOWN):
            continue
        if estimates.lines_in_window >= MAX_LINES_PER_WINDOW:
            estimates.lines_dropped += 1
            continue
        estimates.lines_in_window += 1
        _log.event(
            "pair of images judged",
            disturbed=image,
            disturbing=disturbing,
            verdict=pair.verdict.value,
            before=before.get(disturbing, Verdict.UNKNOWN).value,
            ratio=math.exp(pair.effect),
            error=pair.error,
            readings=round(pair.readings),
            executors=len(pair.effect_by_witness),
        )


def compute_placement_term(
    estimates: InterferenceEstimates,
    executor: Executor,
    step: Step,
    prior_penalty: float,
) -> float:
    """Return the correction of the fixed penalty for neighbours by what is known.

    It is 0 while nothing is known of the pairs, positive for harmless neighbours, and
    limited to :data:`MAX_TERM`.

    :param prior_penalty: penalty per neighbour that is already part of the score.
    """
    if not estimates.has_verdicts or not step.image:
        return 0.0
    correction = 0.0
    if step.fills:
        for image, count in executor.latency_sensitive_by_image.items():
            correction += count * _compute_shift(estimates, image, step.image)
    elif step.target_ms:
        for image, count in executor.background_by_image.items():
            correction += count * _compute_shift(estimates, step.image, image)
    return min(MAX_TERM, max(-MAX_TERM, -prior_penalty * correction))


def _compute_shift(
    estimates: InterferenceEstimates, disturbed: str, disturbing: str
) -> float:
    """Return by how much a pair's harm exceeds that of the prior, relative to it."""
    pair = estimates.find_pair(disturbed, disturbing)
    if pair is None or pair.verdict is Verdict.UNKNOWN:
        return 0.0
    relative = min(MAX_RELATIVE_EFFECT, max(0.0, pair.effect / PRIOR_EFFECT))
    return pair.confidence * (relative - 1)


def list_worst_pairs(
    estimates: InterferenceEstimates, limit: int = LISTED_PAIRS
) -> list[ListedPair]:
    """Return the pairs with the most certain harm, with evidence and what was done.

    Disturbing pairs come first; pairs of which only the prior is known are left out.
    """
    rows = [
        (pair.verdict is Verdict.DISTURBING, pair.effect - pair.error, image, other)
        for image, regression in estimates.regression_by_image.items()
        for other, pair in regression.pair_by_image.items()
        if other not in ("", CROWDING) and (pair.effect_by_witness or pair.slowed)
    ]
    rows.sort(key=lambda row: (not row[0], -row[1], row[2], row[3]))
    listed = []
    for _, _, image, other in rows[:limit]:
        pair = estimates.regression_by_image[image].pair_by_image[other]
        listed.append(
            ListedPair(
                disturbed=image,
                disturbing=other,
                verdict=pair.verdict.value,
                ratio=math.exp(pair.effect),
                confidence=pair.confidence,
                readings=round(pair.readings),
                witnesses=len(pair.effect_by_witness),
                slowed=pair.slowed,
                spared=pair.spared,
                moved=pair.moved,
            )
        )
    return listed

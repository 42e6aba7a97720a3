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
from cranberrywheel.submission.live import RunState
from cranberrywheel.submission.model import Step
from cranberrywheel.submission.pair_estimate import PRIOR_EFFECT, PairEstimate, Verdict
from cranberrywheel.submission.pair_regression import (
    CROWDING,
    ImageRegression,
    Reading,
    add_window,
)

#: Time over which readings of an image are compared: each executor answers a poll at
#: least once in it.
WINDOW_MS = 1_000
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
    :param neighbours: background and latency-sensitive runs with their state.
    :param neighbours_since_ms: since when these have been the same.
    :param exposure: exposure of its serving runs at the last reading.
    :param unchanged_by_run: for each run its latency, since when it has been reported,
        and in how many readings.
    """

    read_ms: int
    clock_ms: int = 0
    neighbours: tuple[tuple[RunKey, RunState], ...] = ()
    neighbours_since_ms: int = 0
    exposure: dict[str, float] = dataclasses.field(default_factory=dict)
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
    :ivar shift_by_disturbing: by disturbing and disturbed image of each pair with a
        verdict, by how much its harm exceeds that of the prior, relative to it.
    :ivar shift_by_disturbed: the same by disturbed and disturbing image.
    :ivar moved_ms: steady time of the last move, see :mod:`.neighbour_moves`.
    """

    def __init__(self) -> None:
        self.regression_by_image: dict[str, ImageRegression] = {}
        self.readings_by_image: dict[str, dict[RunKey, Reading]] = {}
        self.view_by_executor: dict[str, ExecutorView] = {}
        self.ignored_by_reason: collections.Counter[str] = collections.Counter()
        self.listed_pairs: tuple[ListedPair, ...] = ()
        self.shift_by_disturbing: dict[str, dict[str, float]] = {}
        self.shift_by_disturbed: dict[str, dict[str, float]] = {}
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


def find_window(
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
    if due:
        update_shifts(estimates)
    if now_ms - estimates.listed_ms >= WINDOW_MS:
        estimates.listed_ms = now_ms
        estimates.listed_pairs = tuple(list_worst_pairs(estimates, LISTED_PAIRS))
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
    if step.fills:
        shifts = estimates.shift_by_disturbing.get(step.image)
        neighbours = executor.latency_sensitive_by_image
    elif step.target_ms:
        shifts = estimates.shift_by_disturbed.get(step.image)
        neighbours = executor.background_by_image
    else:
        return 0.0
    if not shifts or not neighbours:
        return 0.0
    correction = 0.0
    for image, count in neighbours.items():
        correction += count * shifts.get(image, 0.0)
    return min(MAX_TERM, max(-MAX_TERM, -prior_penalty * correction))


def has_term(estimates: InterferenceEstimates, step: Step) -> bool:
    """Tell whether the placement term of any executor may differ from 0 for a step."""
    if step.fills:
        return step.image in estimates.shift_by_disturbing
    return step.target_ms > 0 and step.image in estimates.shift_by_disturbed


def update_shifts(estimates: InterferenceEstimates) -> None:
    """Prepare the placement term, which is read for each executor and task."""
    by_disturbing: dict[str, dict[str, float]] = {}
    by_disturbed: dict[str, dict[str, float]] = {}
    for disturbed, regression in estimates.regression_by_image.items():
        for disturbing, pair in regression.pair_by_image.items():
            if pair.verdict is Verdict.UNKNOWN or disturbing in ("", CROWDING):
                continue
            relative = min(MAX_RELATIVE_EFFECT, max(0.0, pair.effect / PRIOR_EFFECT))
            shift = pair.confidence * (relative - 1)
            by_disturbing.setdefault(disturbing, {})[disturbed] = shift
            by_disturbed.setdefault(disturbed, {})[disturbing] = shift
    estimates.shift_by_disturbing = by_disturbing
    estimates.shift_by_disturbed = by_disturbed


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

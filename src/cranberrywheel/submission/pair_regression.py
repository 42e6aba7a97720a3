"""Regression of the tail latency of one image on the images that run beside it.

Load pattern: all runs of the image see bursts of the same queue, single runs differ in
their own load, and the effect of a neighbour changes within seconds.
"""

import dataclasses
import enum
import math
import statistics
import typing as t

#: Time in which evidence halves; the platform's effects change within seconds.
HALF_LIFE_MS = 4_000
#: Expected effect of an image that was never observed, and its standard deviation:
#: natural logarithms of the factor by which the tail latency rises.
PRIOR_EFFECT = 0.25
PRIOR_DEVIATION = 0.5
#: Variance of single readings before any was seen, and the number of readings that it
#: counts as: readings differ by about a fifth.
PRIOR_NOISE = 0.04
PRIOR_NOISE_WEIGHT = 4.0
#: Smallest variance of a reading; latencies are whole milliseconds.
MIN_NOISE = 0.0025
#: Correlation of successive residuals of one run before any was seen: a run keeps its
#: own load for longer than a window.
PRIOR_CORRELATION = 0.5
#: Limit of a residual, so that one absurd reading moves an estimate little.
MAX_RESIDUAL = 1.0
#: Multiple of the median absolute residual beyond which residuals are limited, about
#: two standard deviations: runs with a load of their own are outliers, too.
RESIDUAL_LIMIT_FACTOR = 3.0
MIN_RESIDUAL_LIMIT = 0.25
#: Disturbing images per disturbed image; the regression costs the cube of this.
MAX_DISTURBING = 12
#: Column of the number of other serving runs, so that crowding is not attributed to a
#: background run beside them.
CROWDING = "(serving)"
#: Effect from which a neighbour counts as disturbing: 22% more latency, about the
#: difference between two readings of one run.
DISTURBING_EFFECT = 0.2
#: Confidence that a new verdict needs, and that an existing one needs to remain. The
#: difference keeps a verdict from changing with single readings.
VERDICT_CONFIDENCE = 0.6
KEEP_CONFIDENCE = 0.4
#: Standard errors by which an effect must exceed :data:`DISTURBING_EFFECT`. Where the
#: own loads of runs differ by half, 1.0 gave a false verdict in 4 of 30 simulated runs
#: of 12 s without any effect, and 1.5 in 1.
VERDICT_ERRORS = 1.5
#: Executors that must show an effect on their own: one alone may report falsely.
MIN_WITNESSES = 2
#: Executors remembered per pair, and for how long.
MAX_WITNESSES = 16
WITNESS_MS = 2 * HALF_LIFE_MS
#: Least exposure of a reading from which the effect of one neighbour is read.
MIN_WITNESS_EXPOSURE = 0.3
#: Evidence below which the column of an absent image is removed.
MIN_EVIDENCE = 0.05


class Verdict(enum.Enum):
    """What is known about a pair; ``UNKNOWN`` pairs are treated as by the prior."""

    UNKNOWN = "unknown"
    DISTURBING = "disturbing"
    HARMLESS = "harmless"


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Tail latency of one run, with the neighbours that it had.

    :param log_latency: natural logarithm of the latency in milliseconds.
    :param exposure_by_image: for each neighbouring background image, the sum of the
        speeds of its runs (1 is one run at full speed); for :data:`CROWDING`, the
        number of other serving runs.
    """

    executor_id: str
    log_latency: float
    exposure_by_image: t.Mapping[str, float]


@dataclasses.dataclass(slots=True)
class PairEstimate:
    """Estimated effect of one image on another.

    :param effect: natural logarithm of the factor by which one run at full speed
        raises the tail latency.
    :param error: standard error of the effect.
    :param readings: number of readings with the neighbour, with decay.
    :param effect_by_witness: for each executor, its own effect and when it was read.
    :param slowed: times that the disturbing image was slowed for this pair.
    :param spared: times that it was not, because it is harmless.
    :param moved: runs of it that moved away for this pair.
    """

    effect: float = PRIOR_EFFECT
    error: float = PRIOR_DEVIATION
    readings: float = 0.0
    verdict: Verdict = Verdict.UNKNOWN
    effect_by_witness: dict[str, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )
    slowed: int = 0
    spared: int = 0
    moved: int = 0

    @property
    def confidence(self) -> float:
        """Part of the prior's variance that evidence has removed, from 0 to 1."""
        return max(0.0, 1 - (self.error / PRIOR_DEVIATION) ** 2)


@dataclasses.dataclass(slots=True)
class ImageRegression:
    """Evidence of all images that run beside one disturbed image.

    :param columns: disturbing images, in the order of the moments.
    :param moments: sums of products of exposures, as differences from their window's
        mean, with decay.
    :param cross_moments: the same of exposures and logarithms of latencies.
    :param noise_sum: sum of the squares of residuals, with decay.
    :param noise_weight: number of these residuals, with decay.
    :param lag_sum: sum of the products of successive residuals of one executor.
    :param lag_weight: mean square of the residuals in these products, summed.
    :param window_count: number of windows with readings, with decay.
    :param residual_by_executor: residuals of the last window with readings.
    :param updated_ms: steady time of the last window.
    :param read_ms: steady time of the last window that had readings.
    """

    updated_ms: int
    read_ms: int
    columns: list[str] = dataclasses.field(default_factory=lambda: [CROWDING])
    moments: list[list[float]] = dataclasses.field(default_factory=lambda: [[0.0]])
    cross_moments: list[float] = dataclasses.field(default_factory=lambda: [0.0])
    noise_sum: float = 0.0
    noise_weight: float = 0.0
    lag_sum: float = 0.0
    lag_weight: float = 0.0
    window_count: float = 0.0
    residual_by_executor: dict[str, float] = dataclasses.field(default_factory=dict)
    pair_by_image: dict[str, PairEstimate] = dataclasses.field(
        default_factory=lambda: {CROWDING: PairEstimate(effect=0.0)}
    )


def add_window(
    regression: ImageRegression, readings: t.Sequence[Reading], now_ms: int
) -> None:
    """Add concurrent readings of the image and estimate all effects again.

    :param readings: one per run; empty if there were none, so that evidence fades.
    :param now_ms: steady time in milliseconds.
    """
    _fade(regression, now_ms)
    _update_columns(regression, readings)
    if readings:
        regression.read_ms = now_ms
        regression.window_count += 1
        _accumulate(regression, readings)
    _solve(regression)
    residuals = compute_residuals(regression, readings)
    _record_noise(regression, readings, residuals)
    _solve(regression)  # again, since the noise of this window is known only now
    for reading, residual in zip(readings, residuals, strict=True):
        _record_witness(regression, reading, residual, now_ms)
    for pair in regression.pair_by_image.values():
        _update_verdict(pair, now_ms)


def predict(regression: ImageRegression, exposure: t.Mapping[str, float]) -> float:
    """Return the sum of the effects of a run's neighbours."""
    pairs = regression.pair_by_image
    return sum(
        amount * pairs[image].effect
        for image, amount in exposure.items()
        if image in pairs
    )


def compute_residuals(
    regression: ImageRegression, readings: t.Sequence[Reading]
) -> list[float]:
    """Return what neither the window's load nor the neighbours explain, limited."""
    if not readings:
        return []
    unexplained = [
        reading.log_latency - predict(regression, reading.exposure_by_image)
        for reading in readings
    ]
    common_load = statistics.median(unexplained)
    residuals = [value - common_load for value in unexplained]
    usual = statistics.median(abs(residual) for residual in residuals)
    limit = min(MAX_RESIDUAL, max(MIN_RESIDUAL_LIMIT, RESIDUAL_LIMIT_FACTOR * usual))
    return [min(limit, max(-limit, residual)) for residual in residuals]


def _fade(regression: ImageRegression, now_ms: int) -> None:
    decay = 0.5 ** (max(0, now_ms - regression.updated_ms) / HALF_LIFE_MS)
    regression.updated_ms = now_ms
    regression.noise_sum *= decay
    regression.noise_weight *= decay
    regression.lag_sum *= decay
    regression.lag_weight *= decay
    regression.window_count *= decay
    regression.cross_moments = [value * decay for value in regression.cross_moments]
    regression.moments = [
        [value * decay for value in row] for row in regression.moments
    ]
    for pair in regression.pair_by_image.values():
        pair.readings *= decay


def _update_columns(regression: ImageRegression, readings: t.Sequence[Reading]) -> None:
    """Add columns for new neighbours; remove those without evidence."""
    present = {image for reading in readings for image in reading.exposure_by_image}
    for index in range(len(regression.columns) - 1, 0, -1):
        image = regression.columns[index]
        if image not in present and regression.moments[index][index] < MIN_EVIDENCE:
            del regression.columns[index], regression.cross_moments[index]
            del regression.moments[index], regression.pair_by_image[image]
            for row in regression.moments:
                del row[index]
    for image in sorted(present - set(regression.columns)):
        if len(regression.columns) > MAX_DISTURBING:
            return
        regression.columns.append(image)
        regression.cross_moments.append(0.0)
        for row in regression.moments:
            row.append(0.0)
        regression.moments.append([0.0] * len(regression.columns))
        regression.pair_by_image[image] = PairEstimate()


def _accumulate(regression: ImageRegression, readings: t.Sequence[Reading]) -> None:
    """Add the products of differences from the window's means."""
    size = len(regression.columns)
    index_by_image = {image: index for index, image in enumerate(regression.columns)}
    exposure_sums = [0.0] * size
    latency_sum = 0.0
    residuals = compute_residuals(regression, readings)
    for reading, residual in zip(readings, residuals, strict=True):
        # The latency without the common load, which cancels out, and with a limited
        # residual.
        latency = residual + predict(regression, reading.exposure_by_image)
        latency_sum += latency
        present = [
            (index_by_image[image], amount)
            for image, amount in reading.exposure_by_image.items()
            if amount and image in index_by_image
        ]
        for index, amount in present:
            exposure_sums[index] += amount
            regression.cross_moments[index] += amount * latency
            if index:
                pair = regression.pair_by_image[regression.columns[index]]
                pair.readings += 1
            for other, other_amount in present:
                regression.moments[index][other] += amount * other_amount
    for index in range(size):
        share = exposure_sums[index] / len(readings)
        regression.cross_moments[index] -= share * latency_sum
        for other in range(size):
            regression.moments[index][other] -= share * exposure_sums[other]


def _record_noise(
    regression: ImageRegression,
    readings: t.Sequence[Reading],
    residuals: t.Sequence[float],
) -> None:
    """Record the size of residuals, and how alike those of one run remain."""
    if not readings:
        return
    last = regression.residual_by_executor
    regression.residual_by_executor = {}
    for reading, residual in zip(readings, residuals, strict=True):
        regression.noise_sum += residual**2
        regression.noise_weight += 1
        regression.residual_by_executor[reading.executor_id] = residual
        if reading.executor_id in last:
            earlier = last[reading.executor_id]
            regression.lag_sum += residual * earlier
            regression.lag_weight += (residual**2 + earlier**2) / 2


def _compute_noise(regression: ImageRegression) -> float:
    """Return the variance of a reading, raised by what readings of a run share.

    Repeated readings of a run tell less than readings of different runs, since its own
    load persists. The factor is the design effect of cluster sampling.
    """
    variance = (PRIOR_NOISE * PRIOR_NOISE_WEIGHT + regression.noise_sum) / (
        PRIOR_NOISE_WEIGHT + regression.noise_weight
    )
    prior_weight = PRIOR_NOISE * PRIOR_NOISE_WEIGHT
    correlation = (PRIOR_CORRELATION * prior_weight + regression.lag_sum) / (
        prior_weight + regression.lag_weight
    )
    design_effect = 1 + max(0.0, regression.window_count - 1) * max(0.0, correlation)
    return max(MIN_NOISE, variance) * design_effect


def _solve(regression: ImageRegression) -> None:
    """Compute all effects and their errors by a ridge regression around the prior."""
    size = len(regression.columns)
    scale = 1 / _compute_noise(regression)
    priors = [0.0, *[PRIOR_EFFECT] * (size - 1)]
    precision = [[value * scale for value in row] for row in regression.moments]
    pull = [0.0] * size
    for index, row in enumerate(precision):
        explained = sum(value * priors[other] for other, value in enumerate(row))
        pull[index] = regression.cross_moments[index] * scale - explained
    for index in range(size):
        precision[index][index] += 1 / PRIOR_DEVIATION**2
    covariance = _invert(precision)
    for index, image in enumerate(regression.columns):
        pair = regression.pair_by_image[image]
        shift = sum(covariance[index][other] * pull[other] for other in range(size))
        pair.effect = priors[index] + shift
        pair.error = math.sqrt(max(0.0, covariance[index][index]))


def _invert(matrix: list[list[float]]) -> list[list[float]]:
    """Invert a positive definite matrix, which needs no pivoting."""
    size = len(matrix)
    rows = [
        [*row, *(float(index == other) for other in range(size))]
        for index, row in enumerate(matrix)
    ]
    for index in range(size):
        pivot = rows[index][index]
        rows[index] = [value / pivot for value in rows[index]]
        for other in range(size):
            factor = rows[other][index]
            if other != index and factor:
                rows[other] = [
                    value - factor * pivot_value
                    for value, pivot_value in zip(rows[other], rows[index], strict=True)
                ]
    return [row[size:] for row in rows]


def _record_witness(
    regression: ImageRegression, reading: Reading, residual: float, now_ms: int
) -> None:
    """Update the effect that one executor shows of each neighbour on its own."""
    for image, amount in reading.exposure_by_image.items():
        pair = regression.pair_by_image.get(image)
        if pair is None or image == CROWDING or amount < MIN_WITNESS_EXPOSURE:
            continue
        effect = pair.effect + residual / amount
        witnesses = pair.effect_by_witness
        if reading.executor_id in witnesses:
            effect = (effect + witnesses.pop(reading.executor_id)[0]) / 2
        witnesses[reading.executor_id] = (effect, now_ms)  # the oldest comes first
        if len(witnesses) > MAX_WITNESSES:
            del witnesses[next(iter(witnesses))]


def _update_verdict(pair: PairEstimate, now_ms: int) -> None:
    witnesses = {
        executor_id: row
        for executor_id, row in pair.effect_by_witness.items()
        if now_ms - row[1] <= WITNESS_MS
    }
    pair.effect_by_witness = witnesses
    effects = [effect for effect, _ in witnesses.values()]
    needed = max(MIN_WITNESSES, len(effects) // 2 + 1)
    is_kept = pair.verdict is Verdict.DISTURBING
    margin = 0.0 if is_kept else VERDICT_ERRORS * pair.error
    verdict = Verdict.UNKNOWN
    if (
        pair.effect - margin >= DISTURBING_EFFECT
        and pair.confidence >= (KEEP_CONFIDENCE if is_kept else VERDICT_CONFIDENCE)
        and sum(effect >= DISTURBING_EFFECT for effect in effects) >= needed
    ):
        verdict = Verdict.DISTURBING
    elif (
        pair.effect + pair.error <= DISTURBING_EFFECT
        and pair.confidence >= VERDICT_CONFIDENCE
        and sum(effect < DISTURBING_EFFECT for effect in effects) >= needed
    ):
        verdict = Verdict.HARMLESS
    pair.verdict = verdict

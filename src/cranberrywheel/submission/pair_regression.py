"""Regression of the tail latency of one image on the images that run beside it.

Load pattern: all runs of the image see bursts of the same queue, single runs differ in
their own load, and the effect of a neighbour changes within seconds.
"""

import dataclasses
import math
import statistics
import typing as t

from cranberrywheel.submission.pair_estimate import (
    HALF_LIFE_MS,
    PRIOR_DEVIATION,
    PRIOR_EFFECT,
    PairEstimate,
    record_witness,
    update_verdict,
)

#: Variance of single readings before any was seen, and the number of readings that it
#: counts as: readings differ by about a fifth.
PRIOR_NOISE = 0.04
PRIOR_NOISE_WEIGHT = 4.0
#: Smallest variance of a reading; latencies are whole milliseconds.
MIN_NOISE = 0.0025
#: Correlation of successive residuals of one run before any was seen: a run keeps its
#: own load for longer than a window.
PRIOR_CORRELATION = 0.5
MAX_CORRELATION = 0.9
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
#: Least exposure of a reading from which the effect of one neighbour is read.
MIN_WITNESS_EXPOSURE = 0.3
#: Evidence below which the column of an absent image is removed.
MIN_EVIDENCE = 0.05


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
class RunHistory:
    """Means of the readings of one executor, with decay.

    :param weight: number of the readings.
    :param latency: mean logarithm of the latency, without the common load.
    """

    weight: float = 0.0
    latency: float = 0.0
    exposure_by_image: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, latency: float, exposure: t.Mapping[str, float]) -> None:
        """Include a reading in the means."""
        self.weight += 1
        share = 1 / self.weight
        self.latency += share * (latency - self.latency)
        for image in self.exposure_by_image.keys() | exposure.keys():
            mean = self.exposure_by_image.get(image, 0.0)
            mean += share * (exposure.get(image, 0.0) - mean)
            self.exposure_by_image[image] = mean


@dataclasses.dataclass(slots=True)
class Moments:
    """Sums of products of differences from a window's means, with decay.

    :param matrix: products of the exposures in two columns.
    :param cross: products of an exposure and the logarithm of the latency.
    """

    matrix: list[list[float]] = dataclasses.field(default_factory=lambda: [[0.0]])
    cross: list[float] = dataclasses.field(default_factory=lambda: [0.0])

    def fade(self, decay: float) -> None:
        """Multiply everything by a factor."""
        self.matrix = [[value * decay for value in row] for row in self.matrix]
        self.cross = [value * decay for value in self.cross]

    def append(self) -> None:
        """Add a column without evidence."""
        self.cross.append(0.0)
        for row in self.matrix:
            row.append(0.0)
        self.matrix.append([0.0] * len(self.cross))

    def remove(self, index: int) -> None:
        """Remove a column."""
        del self.cross[index], self.matrix[index]
        for row in self.matrix:
            del row[index]

    def add(self, rows: t.Sequence[tuple[float, list[float]]]) -> None:
        """Add the latencies and exposures of one window."""
        latency_mean = statistics.fmean(latency for latency, _ in rows)
        columns = zip(*(exposure for _, exposure in rows), strict=True)
        means = [statistics.fmean(column) for column in columns]
        for latency, exposure in rows:
            differences = [
                amount - mean for amount, mean in zip(exposure, means, strict=True)
            ]
            for index, difference in enumerate(differences):
                self.cross[index] += difference * (latency - latency_mean)
                row = self.matrix[index]
                for other, other_difference in enumerate(differences):
                    row[other] += difference * other_difference


@dataclasses.dataclass(slots=True)
class ImageRegression:
    """Evidence of all images that run beside one disturbed image.

    :param columns: disturbing images, in the order of the moments.
    :param total: products of the readings.
    :param within: products of the differences of readings from their run's mean.
    :param noise_sum: sum of the squares of residuals, with decay.
    :param noise_weight: number of these residuals, with decay.
    :param lag_sum: sum of the products of successive residuals of one executor.
    :param lag_weight: mean square of the residuals in these products, summed.
    :param window_count: number of windows with readings, with decay.
    :param history_by_executor: means of earlier readings, see :class:`RunHistory`.
    :param residual_by_executor: residuals of the last window with readings.
    :param updated_ms: steady time of the last window.
    :param read_ms: steady time of the last window that had readings.
    """

    updated_ms: int
    read_ms: int
    columns: list[str] = dataclasses.field(default_factory=lambda: [CROWDING])
    total: Moments = dataclasses.field(default_factory=lambda: Moments())
    within: Moments = dataclasses.field(default_factory=lambda: Moments())
    noise_sum: float = 0.0
    noise_weight: float = 0.0
    lag_sum: float = 0.0
    lag_weight: float = 0.0
    window_count: float = 0.0
    history_by_executor: dict[str, RunHistory] = dataclasses.field(default_factory=dict)
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
        _record_witnesses(regression, reading, residual, now_ms)
    for pair in regression.pair_by_image.values():
        update_verdict(pair, now_ms)


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
    for executor_id, history in list(regression.history_by_executor.items()):
        history.weight *= decay
        if history.weight < MIN_EVIDENCE:
            del regression.history_by_executor[executor_id]
    regression.window_count *= decay
    regression.total.fade(decay)
    regression.within.fade(decay)
    for pair in regression.pair_by_image.values():
        pair.readings *= decay


def _update_columns(regression: ImageRegression, readings: t.Sequence[Reading]) -> None:
    """Add columns for new neighbours; remove those without evidence."""
    present = {image for reading in readings for image in reading.exposure_by_image}
    parts = (regression.total, regression.within)
    for index in range(len(regression.columns) - 1, 0, -1):
        image = regression.columns[index]
        if image in present:
            continue
        if sum(part.matrix[index][index] for part in parts) < MIN_EVIDENCE:
            del regression.columns[index], regression.pair_by_image[image]
            for part in parts:
                part.remove(index)
    for image in sorted(present - set(regression.columns)):
        if len(regression.columns) > MAX_DISTURBING:
            return
        regression.columns.append(image)
        for part in parts:
            part.append()
        regression.pair_by_image[image] = PairEstimate()


def _accumulate(regression: ImageRegression, readings: t.Sequence[Reading]) -> None:
    """Add the products of readings, and of their differences from their run's mean.

    Without the common load, which cancels out, and with limited residuals.
    """
    total: list[tuple[float, list[float]]] = []
    within: list[tuple[float, list[float]]] = []
    residuals = compute_residuals(regression, readings)
    for reading, residual in zip(readings, residuals, strict=True):
        exposure = reading.exposure_by_image
        latency = residual + predict(regression, exposure)
        history = regression.history_by_executor.setdefault(
            reading.executor_id, RunHistory()
        )
        history.add(latency, exposure)
        amounts = [exposure.get(image, 0.0) for image in regression.columns]
        means = [history.exposure_by_image.get(i, 0.0) for i in regression.columns]
        changes = [x - mean for x, mean in zip(amounts, means, strict=True)]
        total.append((latency, amounts))
        within.append((latency - history.latency, changes))
        for image, amount in exposure.items():
            if amount and image in regression.pair_by_image:
                regression.pair_by_image[image].readings += 1
    regression.total.add(total)
    regression.within.add(within)


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


def _compute_correlation(regression: ImageRegression) -> float:
    """Return how much of the variance of residuals stays with a run."""
    prior_weight = PRIOR_NOISE * PRIOR_NOISE_WEIGHT
    correlation = (PRIOR_CORRELATION * prior_weight + regression.lag_sum) / (
        prior_weight + regression.lag_weight
    )
    return min(MAX_CORRELATION, max(0.0, correlation))


def _compute_noise(regression: ImageRegression) -> tuple[float, float]:
    """Return the variances of a run's mean and of a reading around it.

    The first is that of one reading times the design effect of cluster sampling, since
    the own load of a run does not average out over its readings.
    """
    variance = (PRIOR_NOISE * PRIOR_NOISE_WEIGHT + regression.noise_sum) / (
        PRIOR_NOISE_WEIGHT + regression.noise_weight
    )
    variance = max(MIN_NOISE, variance)
    correlation = _compute_correlation(regression)
    design_effect = 1 + max(0.0, regression.window_count - 1) * correlation
    return variance * design_effect, variance * (1 - correlation)


def _solve(regression: ImageRegression) -> None:
    """Compute all effects and their errors by a ridge regression around the prior.

    Changes within a run count more than comparisons between runs, by their variances,
    as in the random-effects estimator for panel data.
    """
    size = len(regression.columns)
    priors = [0.0, *[PRIOR_EFFECT] * (size - 1)]
    precision = [[0.0] * size for _ in range(size)]
    pull = [0.0] * size
    noise_between, noise_within = _compute_noise(regression)
    for part, weight in (
        (regression.total, 1 / noise_between),
        (regression.within, 1 / noise_within - 1 / noise_between),
    ):
        for index, row in enumerate(part.matrix):
            pull[index] += part.cross[index] * weight
            for other, value in enumerate(row):
                precision[index][other] += value * weight
                pull[index] -= value * weight * priors[other]
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


def _record_witnesses(
    regression: ImageRegression, reading: Reading, residual: float, now_ms: int
) -> None:
    """Update the effect that one executor shows of each neighbour on its own."""
    for image, amount in reading.exposure_by_image.items():
        pair = regression.pair_by_image.get(image)
        if pair is not None and image != CROWDING and amount >= MIN_WITNESS_EXPOSURE:
            effect = pair.effect + residual / amount
            record_witness(pair, reading.executor_id, effect, now_ms)

"""Forecast of the turns in which the queues demand more than their pools hold.

Load pattern: the queues burst one after another, each for some seconds, and the order
repeats after each round. A deployment may see only two rounds, so the first forecast
comes from the distance between the turns of different queues, and the first round that
repeats confirms it. A forecast that fails twice in a row is abandoned for a time.
"""

import dataclasses
import math
import statistics
import typing as t

from cranberrywheel.logs import ComponentLogger

#: Arriving work, as a fraction of a pool's own machines, from which its queue may have
#: its turn; the mean of a round is about 0.3 and the idle load a twentieth of that.
TURN_LOAD = 0.4
#: Arriving work below which a turn has ended.
END_LOAD = 0.2
#: Use by short tasks below which the work of a turn is done.
IDLE_USE = 0.1
#: Time for which the load must last to count as a turn; a few large submissions at once
#: fill the window over which arrivals are averaged for one second.
MIN_TURN_MS = 1_200
#: Time over which arrivals are averaged. Turns that began earlier than this after the
#: first observation began at an unknown time before it.
OBSERVATION_MS = 1_000
#: Smallest uncertainty of an expected start: arrivals are random, and decisions are
#: made every 400 ms.
MIN_ERROR_MS = 300
#: Uncertainty of a start that is expected from the distance between turns of other
#: queues only.
MIN_UNCONFIRMED_ERROR_MS = 500
#: Time after the latest expected start at which a turn counts as missed.
GRACE_MS = 1_500
#: Time between two observations above which a turn may have passed unseen, as around
#: a takeover; decisions are made every 400 ms.
MAX_GAP_MS = 2_000
#: Failures in a row after which a forecast is abandoned.
MAX_FAILURES = 2
#: Rounds for which an abandoned forecast is not made again.
ABANDONED_ROUNDS = 3
#: Remembered periods and distances, from which the medians are taken.
MEMORY = 8
#: Weight of the newest observation in the averages of the idle load.
IDLE_LEARNING_RATE = 0.1

_log = ComponentLogger("turns")


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalLoad:
    """Work that arrives for a pool, in thousandths of a core.

    :param arriving: mean over the last second.
    :param certain: the same less its standard error.
    :param first_sign: mean over the last moments; 0 if too few submissions arrived for
        it to mean anything.
    :param since_ms: steady time by which a tenth of the last second's work had arrived.
    :param used: cpu that runs of short tasks reserve.
    :param waiting: cpu that ready short tasks without a run will reserve.
    :param own_cpu: cpu of the pool's own machines.
    :param error: relative standard error of ``arriving``.
    """

    arriving: int
    certain: int
    first_sign: int
    since_ms: int
    used: int
    waiting: int
    own_cpu: int
    error: float = 0.0

    def has_sign(self, fraction: float) -> bool:
        """Tell whether the arrivals show a load from a fraction of the pool on."""
        return max(self.certain, self.first_sign) >= fraction * max(1, self.own_cpu)


@dataclasses.dataclass(frozen=True, slots=True)
class TurnForecast:
    """Expected next turn of a queue.

    :param start_ms: expected start, in steady milliseconds.
    :param error_ms: uncertainty of the start.
    :param cpu: cpu that its work will use, with its error, in thousandths of a core; 0
        if it is unknown.
    :param confirmed: the order of the turns has repeated.
    """

    start_ms: int
    error_ms: int
    cpu: int
    confirmed: bool


@dataclasses.dataclass
class QueueTurns:
    """Turns of the queue of one pool. Times are steady milliseconds.

    :ivar began_ms: start of the present load; ``None`` between turns.
    :ivar counted: the present load has lasted long enough for a turn.
    :ivar last_start_ms: start of the last turn on which the forecast rests.
    :ivar period_ms: last distance between two of its turns; 0 if unknown.
    :ivar skipped: expected turns that did not come since ``last_start_ms``.
    :ivar used_core_ms: processor time that short tasks have used since the start of the
        last turn until its work was done; ``arrived_core_ms`` is that of the arrivals.
    :ivar peak_cpu: largest cpu that its short tasks used and waited for.
    :ivar window_error: relative standard error of the work that arrived in one second
        of the last turn.
    :ivar is_measured: a turn has ended whose work is not done yet.
    :ivar use_ratio: used processor time of the last turn against that of its arrivals.
    :ivar turn_ms: length of the last turn that has ended.
    :ivar turn_cpu: cpu that the work of the last turn would have used if it had ended
        with the turn, with its error, in thousandths of a core. Declared durations are
        off by half, so the size of a turn is taken from the use and only its time from
        the arrivals.
    :ivar idle_cpu: mean load between turns, and its mean deviation.
    """

    began_ms: int | None = None
    counted: bool = False
    last_start_ms: int | None = None
    period_ms: int = 0
    skipped: int = 0
    used_core_ms: float = 0.0
    arrived_core_ms: float = 0.0
    peak_cpu: int = 0
    window_error: float = 0.0
    is_measured: bool = False
    use_ratio: float = 1.0
    turn_ms: int = 0
    turn_cpu: int = 0
    idle_cpu: tuple[float, float] = (0.0, 0.0)

    @property
    def idle_cpu_bound(self) -> float:
        """Work that arrives between turns, with its error."""
        mean, deviation = self.idle_cpu
        return mean + 3 * deviation


@dataclasses.dataclass
class TurnForecastState:
    """What is known about the turns. A new leader begins without it.

    :ivar by_pool: turns of each pool's queue.
    :ivar periods_ms: last distances between two turns of the same queue.
    :ivar distances_ms: last distances between two turns of different queues.
    :ivar last_turn: pool and start of the last turn of any queue.
    :ivar observed_since_ms: first observation since the start or the last gap;
        ``observed_ms`` the last one.
    :ivar failures: failed forecasts in a row.
    :ivar abandoned_until_ms: until when no forecast is made.
    :ivar failure_count: failed forecasts of all pools since the takeover.
    """

    by_pool: dict[str, QueueTurns] = dataclasses.field(default_factory=dict)
    periods_ms: list[int] = dataclasses.field(default_factory=list)
    distances_ms: list[int] = dataclasses.field(default_factory=list)
    last_turn: tuple[str, int] | None = None
    observed_since_ms: int | None = None
    observed_ms: int | None = None
    failures: int = 0
    abandoned_until_ms: int = 0
    failure_count: int = 0


def observe(
    state: TurnForecastState, load_by_pool: t.Mapping[str, ArrivalLoad], now_ms: int
) -> None:
    """Record what arrives for each pool.

    :param now_ms: steady time in milliseconds.
    """
    if state.observed_ms is None or now_ms - state.observed_ms > MAX_GAP_MS:
        state.observed_since_ms = now_ms
        for queue in state.by_pool.values():
            queue.began_ms = None
            queue.counted = False
    for pool in [pool for pool in state.by_pool if pool not in load_by_pool]:
        del state.by_pool[pool]
    for pool, load in load_by_pool.items():
        queue = state.by_pool.setdefault(pool, QueueTurns())
        _observe_load(state, pool, queue, load, now_ms)
        forecast = _forecast(state, queue, now_ms)
        if (
            forecast is not None
            and queue.began_ms is None
            and now_ms > forecast.start_ms + forecast.error_ms + GRACE_MS
        ):
            queue.skipped += 1
            if forecast.start_ms - forecast.error_ms >= state.observed_since_ms:
                _record_failure(state, pool, "no turn", forecast, now_ms)
    state.observed_ms = now_ms


def _observe_load(
    state: TurnForecastState,
    pool: str,
    queue: QueueTurns,
    load: ArrivalLoad,
    now_ms: int,
) -> None:
    _measure_use(state, queue, load, now_ms)
    if queue.began_ms is None:
        if load.has_sign(TURN_LOAD):
            queue.began_ms = load.since_ms
            queue.counted = False
        else:
            mean, deviation = queue.idle_cpu
            # A few large submissions at once are not the load between turns.
            change = min(load.arriving, END_LOAD * load.own_cpu) - mean
            queue.idle_cpu = (
                mean + IDLE_LEARNING_RATE * change,
                deviation + IDLE_LEARNING_RATE * (abs(change) - deviation),
            )
        return
    lasted_ms = now_ms - queue.began_ms
    if load.arriving < END_LOAD * load.own_cpu and not load.has_sign(TURN_LOAD):
        if queue.counted:
            # The window over which arrivals are averaged reaches back one second.
            queue.turn_ms = max(MIN_TURN_MS, lasted_ms - OBSERVATION_MS)
            queue.is_measured = True
        queue.began_ms = None
    elif lasted_ms >= MIN_TURN_MS and not queue.counted:
        queue.counted = True
        _record_turn(state, pool, queue, queue.began_ms, now_ms)


def _measure_use(
    state: TurnForecastState, queue: QueueTurns, load: ArrivalLoad, now_ms: int
) -> None:
    """Add up what arrives in a turn and what it uses, until its work is done."""
    if queue.began_ms is None and load.used < IDLE_USE * load.own_cpu:
        if queue.is_measured:
            mean_cpu = round(1_000 * queue.used_core_ms / queue.turn_ms)
            # This turn's work is as random as that of the next one.
            error = math.sqrt(2_000 / queue.turn_ms) * queue.window_error
            queue.turn_cpu = round((1 + error) * min(mean_cpu, queue.peak_cpu))
            queue.use_ratio = queue.used_core_ms / max(1, queue.arrived_core_ms)
        queue.is_measured = False
        queue.used_core_ms = queue.arrived_core_ms = 0.0
        queue.peak_cpu = 0
    elif state.observed_ms is not None:
        elapsed_ms = now_ms - state.observed_ms
        queue.used_core_ms += load.used * elapsed_ms / 1_000
        queue.arrived_core_ms += load.arriving * elapsed_ms / 1_000
        queue.peak_cpu = max(queue.peak_cpu, load.used + load.waiting)
        if queue.counted and load.arriving >= TURN_LOAD * load.own_cpu:
            queue.window_error = load.error


def _record_turn(
    state: TurnForecastState, pool: str, queue: QueueTurns, start_ms: int, now_ms: int
) -> None:
    """Record a turn and compare it with the forecast."""
    observed_ms = start_ms - t.cast(int, state.observed_since_ms)
    if observed_ms < OBSERVATION_MS:
        return
    forecast = _forecast(state, queue, now_ms)
    _log.event(
        "turn began",
        pool=pool,
        start_ms=start_ms,
        expected_ms=forecast.start_ms if forecast else 0,
        error_ms=forecast.error_ms if forecast else 0,
        confirmed=bool(forecast and forecast.confirmed),
    )
    if state.last_turn is not None and state.last_turn[0] != pool:
        _remember(state.distances_ms, start_ms - state.last_turn[1])
    state.last_turn = (pool, start_ms)
    if forecast is not None and queue.last_start_ms is not None:
        off_ms = abs(start_ms - forecast.start_ms)
        if off_ms > forecast.error_ms + GRACE_MS:
            _record_failure(state, pool, "unexpected turn", forecast, now_ms)
            if forecast.confirmed:
                return  # the round goes on as before unless this repeats
        else:
            state.failures = 0
        queue.period_ms = (start_ms - queue.last_start_ms) // (queue.skipped + 1)
        _remember(state.periods_ms, queue.period_ms)
    queue.last_start_ms = start_ms
    queue.skipped = 0


def _remember(values: list[int], value: int) -> None:
    values.append(value)
    del values[:-MEMORY]


def _record_failure(
    state: TurnForecastState,
    pool: str,
    reason: str,
    forecast: TurnForecast,
    now_ms: int,
) -> None:
    """Count a failed forecast, and abandon all forecasts after several in a row.

    The turns follow each other, so one that comes at another's time makes every later
    one doubtful.
    """
    state.failure_count += 1
    state.failures += 1
    abandoned = state.failures >= MAX_FAILURES
    _log.event(
        "turn forecast failed",
        pool=pool,
        reason=reason,
        expected_ms=forecast.start_ms,
        error_ms=forecast.error_ms,
        failures=state.failures,
        abandoned=abandoned,
    )
    if not abandoned:
        return
    round_ms = max(
        _estimate_period(state, queue)[0] for queue in state.by_pool.values()
    )
    state.abandoned_until_ms = now_ms + ABANDONED_ROUNDS * round_ms
    state.failures = 0
    state.periods_ms.clear()
    state.distances_ms.clear()
    state.last_turn = None
    for queue in state.by_pool.values():
        queue.last_start_ms = None
        queue.period_ms = 0
        queue.skipped = 0


def _estimate_period(
    state: TurnForecastState, queue: QueueTurns
) -> tuple[int, int, bool] | None:
    """Return the length of a round, its uncertainty and whether it has repeated."""
    if state.periods_ms:
        median_ms = round(statistics.median(state.periods_ms))
        spread_ms = max(abs(value - median_ms) for value in state.periods_ms)
        error_ms = max(MIN_ERROR_MS, min(spread_ms, median_ms // 4))
        return queue.period_ms or median_ms, error_ms, True
    if not state.distances_ms:
        return None
    # Every queue has its turn before the first one has its next.
    count = len(state.by_pool)
    distance_ms = statistics.median(state.distances_ms)
    spread_ms = max(abs(value - distance_ms) for value in state.distances_ms)
    error_ms = max(MIN_UNCONFIRMED_ERROR_MS, round(spread_ms))
    return round(count * distance_ms), error_ms, False


def _forecast(
    state: TurnForecastState, queue: QueueTurns, now_ms: int
) -> TurnForecast | None:
    if queue.last_start_ms is None or now_ms < state.abandoned_until_ms:
        return None
    period = _estimate_period(state, queue)
    if period is None:
        return None
    period_ms, error_ms, confirmed = period
    start_ms = queue.last_start_ms + (queue.skipped + 1) * period_ms
    return TurnForecast(start_ms, error_ms, queue.turn_cpu, confirmed)


def is_contradicted(state: TurnForecastState, pool: str, now_ms: int) -> bool:
    """Tell whether another queue has its turn at the time of a pool's expected one.

    :param now_ms: steady time in milliseconds.
    """
    forecast = get_forecast(state, pool, now_ms)
    if forecast is None:
        return False
    for other_pool, other in state.by_pool.items():
        if other_pool == pool or other.began_ms is None:
            continue
        if other.began_ms < forecast.start_ms - forecast.error_ms - OBSERVATION_MS:
            continue
        expected = get_forecast(state, other_pool, now_ms)
        if expected is None or (
            not other.counted
            and abs(other.began_ms - expected.start_ms) > expected.error_ms + GRACE_MS
        ):
            return True
        if other.counted and other.last_start_ms != other.began_ms:
            return True
    return False


def get_forecast(
    state: TurnForecastState, pool: str, now_ms: int
) -> TurnForecast | None:
    """Return the expected next turn of a pool's queue, or ``None`` if none is known.

    :param now_ms: steady time in milliseconds.
    """
    queue = state.by_pool.get(pool)
    return _forecast(state, queue, now_ms) if queue else None

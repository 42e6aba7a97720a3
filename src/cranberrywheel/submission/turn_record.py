"""Record of the turns of the queues, from which the next leader forecasts.

Load pattern: all processes lose power between two rounds of turns. Learned again, the
turns would be known a round later, and until then every pool is as large as without a
forecast.
"""

import json

from cranberrywheel.json_body import FIELD_ERRORS, clamp, decode_object, read_count
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.turn_forecast import (
    MEMORY,
    QueueTurns,
    TurnForecastState,
)

#: Time after the last recorded turn from which the record is not used. A load that has
#: paused for longer may have other turns.
MAX_AGE_MS = 300_000
#: Largest use ratio in a record; far above that of any work that runs.
MAX_USE_RATIO = 1e3

_log = ComponentLogger("turns")


def encode_turns(state: TurnForecastState, unix_offset_ms: int) -> bytes:
    """Encode what a forecast rests on, with times of day.

    :param unix_offset_ms: time of day minus steady time, in milliseconds.
    """
    last_turn = None
    if state.last_turn is not None:
        pool, start_ms = state.last_turn
        last_turn = [pool, start_ms + unix_offset_ms]
    return json.dumps(
        {
            "periods_ms": state.periods_ms,
            "distances_ms": state.distances_ms,
            "last_turn": last_turn,
            "pools": {
                pool: {
                    "last_start_ms": queue.last_start_ms + unix_offset_ms,
                    "period_ms": queue.period_ms,
                    "turn_ms": queue.turn_ms,
                    "turn_cpu": queue.turn_cpu,
                    "use_ratio": queue.use_ratio,
                }
                for pool, queue in state.by_pool.items()
                if queue.last_start_ms is not None
            },
        }
    ).encode()


def decode_turns(
    value: bytes, unix_offset_ms: int, now_ms: int
) -> TurnForecastState | None:
    """Decode a record.

    :param unix_offset_ms: time of day minus steady time, in milliseconds.
    :param now_ms: steady time in milliseconds.
    :returns: ``None`` if it is invalid, too old or from the future; the turns are then
        learned again.
    """
    try:
        row = decode_object(value)
        state = TurnForecastState(
            periods_ms=list(map(read_count, row["periods_ms"]))[-MEMORY:],
            distances_ms=list(map(read_count, row["distances_ms"]))[-MEMORY:],
        )
        if row["last_turn"] is not None:
            pool, start_ms = row["last_turn"]
            state.last_turn = str(pool), read_count(start_ms) - unix_offset_ms
        for pool, fields in row["pools"].items():
            state.by_pool[str(pool)] = QueueTurns(
                last_start_ms=read_count(fields["last_start_ms"]) - unix_offset_ms,
                period_ms=read_count(fields["period_ms"]),
                turn_ms=read_count(fields["turn_ms"]),
                turn_cpu=read_count(fields["turn_cpu"]),
                use_ratio=clamp(fields["use_ratio"], MAX_USE_RATIO),
            )
    except FIELD_ERRORS as error:
        _log.warning("record of turns cannot be decoded; ignored", error=repr(error))
        return None
    if state.last_turn is None or not 0 <= now_ms - state.last_turn[1] <= MAX_AGE_MS:
        return None
    return state

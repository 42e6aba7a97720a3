"""Messages between entry processes and the leader about admission.

Times in them are durations, since clocks of processes are not comparable.
"""

import dataclasses
import json
import typing as t

from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.submission.pool_load import ORDER_BINS, Backlog, PoolLoad
from cranberrywheel.submission.turns import Turn

#: Turns in one message; one of 64 turns has about 4 KB.
MAX_TURNS_PER_MESSAGE = 64
#: Longest time in the future that a message may name.
MAX_AHEAD_MS = 120_000

#: A turn that a process gave, or ``None`` for one that has ended, by submission id.
TurnChange = tuple[str, Turn | None]


@dataclasses.dataclass(frozen=True)
class LoadRequest:
    """Request of an entry process for the load.

    :param address: ``host:port`` of the process.
    :param fence: fencing token of the leader that answered last; 0 for none.
    :param seen: number of the last change of a turn that this leader told it.
    :param changes: turns that the process has given or ended since.
    """

    address: str
    fence: int = 0
    seen: int = 0
    changes: tuple[TurnChange, ...] = ()


@dataclasses.dataclass(frozen=True)
class LoadAnswer:
    """Answer of the leader.

    :param fence: fencing token of the leader.
    :param load_by_service: load of each contended pool.
    :param age_ms: age of the load at the leader, in milliseconds.
    :param seen: number of the last change in the answer.
    :param changes: turns that other processes have given or ended.
    """

    fence: int
    load_by_service: dict[str, PoolLoad]
    age_ms: int = 0
    seen: int = 0
    changes: tuple[TurnChange, ...] = ()


def _encode_changes(changes: t.Iterable[TurnChange], now_ms: int) -> list[t.Any]:
    return [
        [key]
        if turn is None
        else [
            key,
            turn.service,
            round(turn.core_ms),
            now_ms - turn.refused_ms,
            turn.due_ms - now_ms,
            turn.expires_ms - now_ms,
        ]
        for key, turn in changes
        if turn is None or _is_sendable(turn, now_ms)
    ]


def _is_sendable(turn: Turn, now_ms: int) -> bool:
    """Tell whether a turn has not expired and its times are within their limits."""
    return (
        turn.core_ms >= 0
        and 0 <= now_ms - turn.refused_ms <= MAX_AHEAD_MS
        and turn.due_ms <= turn.expires_ms
        and now_ms <= turn.expires_ms <= now_ms + MAX_AHEAD_MS
    )


def _decode_changes(rows: t.Any, now_ms: int) -> tuple[TurnChange, ...]:
    """Decode changes of turns; a row that is none is skipped.

    Without the rest of the message, submissions would be decided without the load.
    """
    if not isinstance(rows, list):
        raise ValueError("not a list of turns")
    changes: list[TurnChange] = []
    for row in rows[:MAX_TURNS_PER_MESSAGE]:
        try:
            change = _decode_change(row, now_ms)
        except FIELD_ERRORS:
            continue
        changes.append(change)
    return tuple(changes)


def _decode_change(row: t.Any, now_ms: int) -> TurnChange:
    key, *fields = row
    if not isinstance(key, str):
        raise ValueError("not the id of a submission")
    if not fields:
        return key, None
    service, core_ms, refused_ago_ms, due_in_ms, expires_in_ms = fields
    turn = Turn(
        str(service),
        float(core_ms),
        now_ms - int(refused_ago_ms),
        now_ms + int(due_in_ms),
        now_ms + int(expires_in_ms),
    )
    if not _is_sendable(turn, now_ms):
        raise ValueError("not a turn")
    return key, turn


def encode_request(request: LoadRequest, now_ms: int) -> bytes:
    """Encode a request; ``now_ms`` is the sender's steady time in milliseconds."""
    return json.dumps(
        {
            "address": request.address,
            "fence": request.fence,
            "seen": request.seen,
            "turns": _encode_changes(request.changes, now_ms),
        }
    ).encode()


def decode_request(body: bytes, now_ms: int) -> LoadRequest:
    """Decode a request.

    :param now_ms: steady time of the receiver in milliseconds.
    :raises ValueError: if the body has another format.
    """
    try:
        row = decode_object(body)
        return LoadRequest(
            str(row["address"]),
            int(row["fence"]),
            int(row["seen"]),
            _decode_changes(row["turns"], now_ms),
        )
    except FIELD_ERRORS as error:
        raise ValueError(f"not a request for the load: {error!r}") from None


def encode_answer(answer: LoadAnswer, now_ms: int) -> dict[str, t.Any]:
    """Return an answer as a JSON object; ``now_ms`` is the leader's steady time."""
    return {
        "fence": answer.fence,
        "age": answer.age_ms,
        "seen": answer.seen,
        "turns": _encode_changes(answer.changes, now_ms),
        "pools": {
            service: {
                "drain": load.drain_cpu,
                "cpu": load.pool_cpu,
                "factors": {
                    queue: [round(value, 3) for value in factors]
                    for queue, factors in load.factors_by_queue.items()
                },
                "backlogs": [
                    [
                        row.queue,
                        row.organisation,
                        list(row.on_time_core_ms),
                        row.late_core_ms,
                        row.limit_cpu,
                    ]
                    for row in load.backlogs
                ],
            }
            for service, load in answer.load_by_service.items()
        },
    }


def _decode_load(row: t.Any) -> PoolLoad:
    backlogs = []
    for queue, organisation, on_time, late, limit in row["backlogs"]:
        backlog = Backlog(
            str(queue),
            str(organisation),
            tuple(int(core_ms) for core_ms in on_time),
            int(late),
            int(limit),
        )
        amounts = (*backlog.on_time_core_ms, backlog.late_core_ms, backlog.limit_cpu)
        if len(backlog.on_time_core_ms) != ORDER_BINS or min(amounts) < 0:
            raise ValueError("not a backlog")
        backlogs.append(backlog)
    factors = {
        str(queue): (float(work), float(order))
        for queue, (work, order) in row["factors"].items()
    }
    load = PoolLoad(int(row["drain"]), int(row["cpu"]), tuple(backlogs), factors)
    if min(load.drain_cpu, load.pool_cpu) <= 0 or any(
        min(pair) <= 0 for pair in factors.values()
    ):
        raise ValueError("not a load")
    return load


def decode_answer(body: bytes, now_ms: int) -> LoadAnswer:
    """Decode an answer.

    :param now_ms: steady time of the receiver in milliseconds.
    :raises ValueError: if the body has another format.
    """
    try:
        row = decode_object(body)
        answer = LoadAnswer(
            int(row["fence"]),
            {str(name): _decode_load(pool) for name, pool in row["pools"].items()},
            int(row["age"]),
            int(row["seen"]),
            _decode_changes(row["turns"], now_ms),
        )
    except FIELD_ERRORS as error:
        raise ValueError(f"not the load of the pools: {error!r}") from None
    if answer.age_ms < 0:
        raise ValueError("the load has a negative age")
    return answer

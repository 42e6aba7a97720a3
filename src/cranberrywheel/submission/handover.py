"""What a leader that stops leaves to the next one."""

import dataclasses
import json
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.live import Run, RunState
from cranberrywheel.submission.record import Progress
from cranberrywheel.submission.state import SchedulerState

#: Fence of an account that no leader may use.
NO_FENCE = 0

_log = ComponentLogger("leader")


@dataclasses.dataclass(frozen=True, slots=True)
class HandedRun:
    """A run that a leader hands over.

    :param lapse_ms: time until its lease has certainly ended.
    """

    task: str
    number: int
    executor_id: str
    lapse_ms: int


@dataclasses.dataclass(frozen=True)
class Account:
    """What a leader leaves to the next one.

    :param fence: fence of the leader that wrote it.
    :param progress_by_id: progress that was not stored yet.
    :param unseen_ms: time for which an executor that the leader never reached may run
        something of its predecessors.
    :param held_back: submissions whose tasks may run there.
    :param trusts_records: whether stored records name every step that began.
    """

    fence: int
    runs: list[HandedRun]
    progress_by_id: dict[str, Progress]
    unseen_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    held_back: list[str] = dataclasses.field(default_factory=list)
    trusts_records: bool = True


EMPTY_ACCOUNT = Account(NO_FENCE, [], {})


def write_account(state: SchedulerState, is_complete: bool, now_ms: int) -> Account:
    """Account for every run that may be at an executor, and for what is not stored.

    :param is_complete: whether everything stored was loaded before.
    """
    unseen_ms = {
        executor.id: executor.lapse_ms - now_ms
        for executor in state.executors_by_id.values()
        if not executor.fenced and executor.lapse_ms > now_ms
    }
    return Account(
        state.fence if is_complete else NO_FENCE,
        [
            HandedRun(
                run.task.name,
                run.number,
                executor.id,
                max(0, executor.lapse_ms - now_ms),
            )
            for executor in state.executors_by_id.values()
            for run in executor.runs.values()
        ],
        {
            live.submission.id: live.progress()
            for live in state.live_by_id.values()
            if live.stored_version < live.version and not live.cancelled
        },
        unseen_ms,
        _held_back(state, unseen_ms),
        state.trusts_records,
    )


def _held_back(state: SchedulerState, unseen: t.Iterable[str]) -> list[str]:
    """Return the submissions whose tasks may run at unseen executors."""
    services = {
        state.executors_by_id[executor_id].entry.service for executor_id in unseen
    }
    return [
        live.submission.id
        for live in state.live_by_id.values()
        if live.recovered and live.queue.service in services
    ]


def begin_from(state: SchedulerState, account: Account, now_ms: int) -> None:
    """Note which executors need no wait, before anything is loaded."""
    state.handed_over = True
    state.held_back_ids = set(account.held_back)
    state.trusts_records = state.trusts_records and account.trusts_records
    state.unseen_until_ms = {
        executor_id: now_ms + rest_ms
        for executor_id, rest_ms in account.unseen_ms.items()
    }


def take_over(state: SchedulerState, account: Account, now_ms: int) -> None:
    """Apply an account to the loaded submissions; looks bring it up to date."""
    for submission_id, progress in account.progress_by_id.items():
        live = state.live_by_id.get(submission_id)
        if live is not None and not live.final:
            live.restore(progress)
            state.touch(live)
            state.check_end(live)
    for row in account.runs:
        executor = state.executors_by_id.get(row.executor_id)
        task = state.find_task(row.task)
        if executor is None or task is None or task.done:
            continue
        run = Run(task, row.number, executor.id, now_ms)
        run.state = RunState.RUNNING
        task.last_number = max(task.last_number, row.number)
        executor.lapse_ms = max(executor.lapse_ms, now_ms + row.lapse_ms)
        state.count_run(run, executor)


def encode_account(account: Account) -> bytes:
    """Encode an account."""
    return json.dumps(
        {
            "fence": account.fence,
            "runs": [dataclasses.astuple(run) for run in account.runs],
            "progress": {
                submission_id: dataclasses.asdict(progress)
                for submission_id, progress in account.progress_by_id.items()
            },
            "unseen_ms": account.unseen_ms,
            "held_back": account.held_back,
            "trusts_records": account.trusts_records,
        }
    ).encode()


def decode_account(value: bytes) -> Account | None:
    """Decode an account; ``None`` if it is none."""
    try:
        row = json.loads(value)
        return Account(
            int(row["fence"]),
            [HandedRun(*run) for run in row["runs"]],
            {key: Progress(**progress) for key, progress in row["progress"].items()},
            {key: int(value) for key, value in row["unseen_ms"].items()},
            list(row["held_back"]),
            bool(row["trusts_records"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        _log.warning("unreadable account", error=repr(error))
        return None

"""What a leader that stops leaves to the next one."""

import dataclasses
import json
import typing as t

from cranberrywheel.logs import PartLogger
from cranberrywheel.submission.live import Run, RunState
from cranberrywheel.submission.record import Progress
from cranberrywheel.submission.state import SchedulerState

#: Fence of an account that no leader may use.
NO_FENCE = 0

_log = PartLogger("leader")


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOverRun:
    """A run that a leader hands over.

    :param lapse_ms: time until its lease has certainly ended.
    """

    task: str
    number: int
    executor_id: str
    expires_in_ms: int


@dataclasses.dataclass(frozen=True)
class HandoverRecord:
    """What a leader leaves to the next one.

    :param fence: fence of the leader that wrote it.
    :param progress_by_id: progress that was not stored yet.
    :param unseen_ms: time for which an executor that the leader never reached may run
        something of its predecessors.
    :param held_back: submissions whose tasks may run there.
    :param trusts_records: whether stored records name every step that began.
    """

    fence: int
    runs: list[HandedOverRun]
    progress_by_id: dict[str, Progress]
    unpolled_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    held_back: list[str] = dataclasses.field(default_factory=list)
    trusts_records: bool = True


EMPTY_HANDOVER_RECORD = HandoverRecord(NO_FENCE, [], {})


def build_handover_record(
    state: SchedulerState, is_complete: bool, now_ms: int
) -> HandoverRecord:
    """Account for every run that may be at an executor, and for what is not stored.

    :param is_complete: whether everything stored was loaded before.
    """
    unpolled_ms = {
        executor.id: executor.lease_expiry_ms - now_ms
        for executor in state.executors_by_id.values()
        if not executor.fence_confirmed and executor.lease_expiry_ms > now_ms
    }
    return HandoverRecord(
        state.fence if is_complete else NO_FENCE,
        [
            HandedOverRun(
                run.task.name,
                run.number,
                executor.id,
                max(0, executor.lease_expiry_ms - now_ms),
            )
            for executor in state.executors_by_id.values()
            for run in executor.runs.values()
        ],
        {
            live.submission.id: live.progress()
            for live in state.live_by_id.values()
            if live.stored_version < live.version and not live.cancelled
        },
        unpolled_ms,
        _held_back(state, unpolled_ms),
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


def prepare_takeover(
    state: SchedulerState, account: HandoverRecord, now_ms: int
) -> None:
    """Note which executors need no wait, before anything is loaded."""
    state.handed_over = True
    state.held_back_ids = set(account.held_back)
    state.trusts_records = state.trusts_records and account.trusts_records
    state.unpolled_until_ms = {
        executor_id: now_ms + rest_ms
        for executor_id, rest_ms in account.unpolled_ms.items()
    }


def apply_handover_record(
    state: SchedulerState, account: HandoverRecord, now_ms: int
) -> None:
    """Apply an account to the loaded submissions; looks bring it up to date."""
    for submission_id, progress in account.progress_by_id.items():
        live = state.live_by_id.get(submission_id)
        if live is not None and not live.final_state:
            live.restore(progress)
            state.mark_changed(live)
            state.finish_if_ended(live)
    for row in account.runs:
        executor = state.executors_by_id.get(row.executor_id)
        task = state.find_task(row.task)
        if executor is None or task is None or task.done:
            continue
        run = Run(task, row.number, executor.id, now_ms)
        run.state = RunState.RUNNING
        task.last_run_number = max(task.last_run_number, row.number)
        executor.lease_expiry_ms = max(
            executor.lease_expiry_ms, now_ms + row.expires_in_ms
        )
        state.track_run(run, executor)


def encode_handover_record(account: HandoverRecord) -> bytes:
    """Encode an account."""
    return json.dumps(
        {
            "fence": account.fence,
            "runs": [dataclasses.astuple(run) for run in account.runs],
            "progress": {
                submission_id: dataclasses.asdict(progress)
                for submission_id, progress in account.progress_by_id.items()
            },
            "unseen_ms": account.unpolled_ms,
            "held_back": account.held_back,
            "trusts_records": account.trusts_records,
        }
    ).encode()


def decode_handover_record(value: bytes) -> HandoverRecord | None:
    """Decode an account; ``None`` if it is none."""
    try:
        row = json.loads(value)
        return HandoverRecord(
            int(row["fence"]),
            [HandedOverRun(*run) for run in row["runs"]],
            {key: Progress(**progress) for key, progress in row["progress"].items()},
            {key: int(value) for key, value in row["unseen_ms"].items()},
            list(row["held_back"]),
            bool(row["trusts_records"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        _log.warning("unreadable account", error=repr(error))
        return None

"""Handover of tracked runs and unstored progress from a leader to its successor.

A leader that stops in good order stores a handover record. With it, the successor
need not wait until every lease of its predecessor has expired.
"""

import dataclasses
import json
import typing as t

from cranberrywheel.json_body import FIELD_ERRORS, decode_object, read_count
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.live import Run, RunState, Task, parse_task_name
from cranberrywheel.submission.record import Progress, build_progress
from cranberrywheel.submission.state import SchedulerState, UnlocatedRun

#: Fence of a handover record that no leader may use.
NO_FENCE = 0

_log = ComponentLogger("leader")


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOverRun:
    """A run in a handover record. The record holds the fields by position.

    :param expires_in_ms: time until its lease has expired on any clock, in
        milliseconds.
    """

    task: str
    number: int
    executor_id: str
    expires_in_ms: int


@dataclasses.dataclass(frozen=True)
class HandoverRecord:
    """State that a leader hands over to its successor.

    :param fence: fence of the leader that wrote the record; a successor of any other
        leader must not use it.
    :param runs: runs that may be on executors.
    :param progress_by_id: progress that was not stored yet, by submission id.
    :param unpolled_ms: for each executor that never answered a poll of the leader,
        the time for which it may run tasks of earlier leaders, in milliseconds.
    :param held_back: ids of the submissions whose tasks may run on those executors.
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
    """Collect every run that may be on an executor and all progress not yet stored.

    :param is_complete: whether the leader had loaded all stored records; otherwise the
        record gets :data:`NO_FENCE`, since it may lack runs.
    """
    unlocated_runs = [
        run for run in state.unlocated_runs.values() if run.until_ms > now_ms
    ]
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
        ]
        + [
            HandedOverRun(run.task, run.number, run.executor_id, run.until_ms - now_ms)
            for run in unlocated_runs
        ],
        {
            live.submission.id: live.build_progress()
            for live in state.live_by_id.values()
            if live.stored_version < live.version and not live.cancelled
        },
        unpolled_ms,
        _find_held_back(state, unpolled_ms),
        state.trusts_records,
    )


def _find_held_back(state: SchedulerState, unpolled_ids: t.Iterable[str]) -> list[str]:
    """Return ids of submissions whose tasks may run on executors never polled.

    :param unpolled_ids: ids of the executors that never answered a poll.
    """
    services = {
        state.executors_by_id[executor_id].entry.service for executor_id in unpolled_ids
    }
    return [
        live.submission.id
        for live in state.live_by_id.values()
        if live.recovered and services & live.list_possible_services()
    ]


def prepare_takeover(
    state: SchedulerState, record: HandoverRecord, now_ms: int
) -> None:
    """Record which executors may run unknown tasks, before the state is loaded.

    Only these executors and the held-back submissions have to wait for leases.
    """
    state.handed_over = True
    state.held_back_ids = set(record.held_back)
    state.trusts_records = state.trusts_records and record.trusts_records
    state.unpolled_until_ms = {
        executor_id: now_ms + remaining_ms
        for executor_id, remaining_ms in record.unpolled_ms.items()
    }


def apply_handover_record(
    state: SchedulerState, record: HandoverRecord, now_ms: int
) -> None:
    """Apply a handover record to the loaded submissions.

    Polls of the executors then update the runs.
    """
    for submission_id, progress in record.progress_by_id.items():
        live = state.live_by_id.get(submission_id)
        if live is not None and not live.final_state:
            live.restore(progress)
            state.mark_changed(live)
            state.finish_if_ended(live)
    for handed_run in record.runs:
        executor = state.executors_by_id.get(handed_run.executor_id)
        task = state.find_task(handed_run.task)
        if task is None or task.done:
            continue
        if executor is None:
            _block_task(state, task, handed_run, now_ms)
            continue
        run = Run(task, handed_run.number, executor.id, now_ms)
        run.state = RunState.RUNNING
        task.last_run_number = max(task.last_run_number, handed_run.number)
        executor.lease_expiry_ms = max(
            executor.lease_expiry_ms, now_ms + handed_run.expires_in_ms
        )
        state.track_run(run, executor)


def _block_task(
    state: SchedulerState, task: Task, handed_run: HandedOverRun, now_ms: int
) -> None:
    """Let a task wait for a run on an executor of which neither entry nor record is
    known, until that executor reports the run or its lease has expired."""
    until_ms = now_ms + handed_run.expires_in_ms
    state.unlocated_runs[handed_run.task, handed_run.number] = UnlocatedRun(
        handed_run.task, handed_run.number, handed_run.executor_id, until_ms
    )
    task.last_run_number = max(task.last_run_number, handed_run.number)
    state.unpolled_until_ms[handed_run.executor_id] = max(
        until_ms, state.unpolled_until_ms.get(handed_run.executor_id, 0)
    )


def encode_handover_record(record: HandoverRecord) -> bytes:
    """Encode a handover record for the store."""
    return json.dumps(
        {
            "fence": record.fence,
            "runs": [dataclasses.astuple(run) for run in record.runs],
            "progress": {
                submission_id: dataclasses.asdict(progress)
                for submission_id, progress in record.progress_by_id.items()
            },
            "unseen_ms": record.unpolled_ms,
            "held_back": record.held_back,
            "trusts_records": record.trusts_records,
        }
    ).encode()


def _decode_run(
    task: t.Any, number: t.Any, executor_id: t.Any, left_ms: t.Any
) -> HandedOverRun:
    if parse_task_name(task) is None:
        raise ValueError(f"expected the name of a task, not {task[:40]!r}")
    return HandedOverRun(
        task, read_count(number), str(executor_id), read_count(left_ms)
    )


def decode_handover_record(value: bytes) -> HandoverRecord | None:
    """Decode a handover record.

    :returns: ``None`` if the value has another format; the leader then waits until
        the leases of its predecessor have expired.
    """
    try:
        row = decode_object(value)
        return HandoverRecord(
            read_count(row["fence"]),
            [_decode_run(*run) for run in row["runs"]],
            {key: build_progress(value) for key, value in row["progress"].items()},
            {key: read_count(value) for key, value in row["unseen_ms"].items()},
            list(map(str, row["held_back"])),
            bool(row["trusts_records"]),
        )
    except FIELD_ERRORS as error:
        _log.warning(
            "ignored an unreadable handover record, waiting for leases",
            error=repr(error),
        )
        return None

"""Encoding of the submission records in the store.

A submission has a record of its own and one of its progress, which a final record
replaces when it ends. A withdrawal record under the key of the final record keeps a
submission from being stored that was cancelled before.
"""

import dataclasses
import functools
import json
import math
import typing as t

from cranberrywheel.json_body import MAX_INTEGER, decode_object
from cranberrywheel.submission.model import (
    Resources,
    Schedule,
    Step,
    Submission,
    SubmissionState,
    Terms,
)

#: Largest number of tasks in a record, above what any caller may submit.
MAX_RECORDED_TASKS = 100_000
#: Longest number of an occurrence, a step or a task in a key, in digits.
MAX_INDEX_DIGITS = 9
#: Number of fields of :class:`.live.Crash`.
CRASH_FIELDS = 5


def _encode_compact_json(value: t.Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def _encode_step(step: Step) -> dict[str, t.Any]:
    row: dict[str, t.Any] = {}
    for field in dataclasses.fields(Step):
        value = getattr(step, field.name)
        if field.name == "size":
            row["size"] = [value.cpu, value.memory_mb, value.gpu]
        elif value:
            row[field.name] = value
    return row


def _encode_terms(terms: Terms) -> dict[str, t.Any]:
    row = {
        field.name: getattr(terms, field.name) for field in dataclasses.fields(Terms)
    }
    row["quota"] = dataclasses.astuple(terms.quota)
    return row


def _decode_terms(row: dict[str, t.Any]) -> Terms:
    terms = Terms(**{**row, "quota": Resources(*row["quota"])})
    _check_types(terms)
    _check_types(terms.quota)
    for name in ("objective_factor", "weight"):
        value = getattr(terms, name)
        if type(value) not in (int, float) or not math.isfinite(value):
            raise ValueError(f"terms: {name}: expected a finite number")
    return terms


def encode_submission(submission: Submission) -> bytes:
    """Encode a submission record; steps omit fields that are empty or false."""
    row: dict[str, t.Any] = {
        "id": submission.id,
        "queue": submission.queue,
        "service": submission.service,
        "organisation": submission.organisation,
        "payload": submission.payload,
        "accepted_ms": submission.accepted_ms,
        "steps": [_encode_step(step) for step in submission.steps],
    }
    if submission.schedule:
        row["schedule"] = dataclasses.astuple(submission.schedule)
    if submission.terms:
        row["terms"] = _encode_terms(submission.terms)
    return _encode_compact_json(row)


@functools.cache
def _list_plain_fields(record_type: type) -> tuple[tuple[str, type], ...]:
    return tuple(
        (name, expected)
        for name, expected in t.get_type_hints(record_type).items()
        if expected in (int, bool, str)
    )


def _check_types(value: t.Any, smallest: int = -MAX_INTEGER) -> None:
    """Check the plain fields of a dataclass.

    :param smallest: smallest number that an integer field may hold.
    :raises ValueError: if one has another type or is out of range.
    """
    for name, expected in _list_plain_fields(type(value)):
        found = getattr(value, name)
        is_valid = type(found) is expected
        if not is_valid or (expected is int and not smallest <= found <= MAX_INTEGER):
            raise ValueError(f"{name}: expected {expected.__name__} in its range")


def _check_fields(value: t.Any) -> None:
    _check_types(value, smallest=0)


def _check_submission(submission: Submission) -> None:
    """Check the fields, with which every scheduling pass computes.

    :raises ValueError: if one has another type or is out of range.
    """
    _check_fields(submission)
    if submission.schedule is not None:
        _check_fields(submission.schedule)
    for number, step in enumerate(submission.steps):
        _check_fields(step)
        _check_fields(step.size)
        if any(
            type(other) is not int or not 0 <= other < number for other in step.after
        ):
            raise ValueError(
                f"step {number}: after may name only steps that precede it"
            )
    if sum(step.count for step in submission.steps) > MAX_RECORDED_TASKS:
        raise ValueError(f"expected at most {MAX_RECORDED_TASKS} tasks")


def decode_submission(value: bytes) -> Submission:
    """Decode a submission record.

    :raises ValueError: if the value is not a record of this format.
    """
    try:
        row = decode_object(value)
        steps = []
        for step in row.pop("steps"):
            size = Resources(*step.pop("size"))
            after = tuple(step.pop("after", ()))
            steps.append(Step(size=size, after=after, **step))
        schedule = row.pop("schedule", None)
        terms = row.pop("terms", None)
        submission = Submission(
            steps=tuple(steps),
            schedule=Schedule(*schedule) if schedule else None,
            terms=_decode_terms(terms) if terms else None,
            **row,
        )
        _check_submission(submission)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"invalid submission record: {error!r}") from None
    return submission


@dataclasses.dataclass
class Progress:
    """Progress that must survive the leader, since executors forget completions once
    they are acknowledged. The record uses the field names.

    :param done_by_step: indices of finished tasks, by ``OCCURRENCE.STEP``.
    :param failed_runs_by_task: numbers of failed runs, by ``OCCURRENCE.STEP.INDEX``.
    :param checkpoint_by_task: last checkpoint, by ``OCCURRENCE.STEP.INDEX``.
    :param crashes_by_task: the fields of each :class:`.live.Crash` by position, by
        ``OCCURRENCE.STEP.INDEX``.
    :param begun_steps: ``OCCURRENCE.STEP`` of each step that may have started tasks;
        stored before the first start, so that a new leader knows which steps cannot
        have runs that it has not seen.
    :param services_by_step: services on whose executors those tasks may have started,
        by ``OCCURRENCE.STEP``; omitted for the service that the submission names.
    """

    done_by_step: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    failed_runs_by_task: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    checkpoint_by_task: dict[str, str] = dataclasses.field(default_factory=dict)
    begun_steps: list[str] = dataclasses.field(default_factory=list)
    services_by_step: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    crashes_by_task: dict[str, list[tuple[t.Any, ...]]] = dataclasses.field(
        default_factory=dict
    )


def encode_progress(progress: Progress) -> bytes:
    """Encode a progress record; fields without entries are omitted."""
    return _encode_compact_json(
        {name: value for name, value in vars(progress).items() if value}
    )


def _is_path(key: t.Any, length: int) -> bool:
    parts = key.split(".")
    return len(parts) == length and all(
        part.isdecimal() and len(part) <= MAX_INDEX_DIGITS for part in parts
    )


def build_progress(row: dict[str, t.Any]) -> Progress:
    """Build the progress from the fields of a record.

    :raises ValueError: if a field has another format; a part of it would otherwise be
        applied before the error is noticed.
    """
    try:
        progress = Progress(**row)
        indices = (
            *progress.done_by_step.values(),
            *progress.failed_runs_by_task.values(),
        )
        by_task = (
            progress.failed_runs_by_task,
            progress.checkpoint_by_task,
            progress.crashes_by_task,
        )
        is_valid = (
            all(_is_path(key, 2) for key in progress.begun_steps)
            and all(_is_path(key, 2) for key in progress.done_by_step)
            and all(
                _is_path(key, 2) and all(type(name) is str for name in names)
                for key, names in progress.services_by_step.items()
            )
            and all(_is_path(key, 3) for rows in by_task for key in rows)
            and all(type(index) is int for values in indices for index in values)
            and all(
                type(value) is str for value in progress.checkpoint_by_task.values()
            )
            and all(
                len(crash) == CRASH_FIELDS
                for crashes in progress.crashes_by_task.values()
                for crash in crashes
            )
        )
    except (AttributeError, TypeError) as error:
        raise ValueError(f"invalid progress record: {error!r}") from None
    if not is_valid:
        raise ValueError("invalid progress record: unexpected key or value")
    return progress


def decode_progress(value: bytes) -> Progress:
    """Decode a progress record.

    :raises ValueError: if the value is not a record of this format.
    """
    return build_progress(decode_object(value))


def encode_final_state(state: SubmissionState, queue: str) -> bytes:
    """Encode the final record, which remains of a submission that has ended."""
    return _encode_compact_json({"state": state.value, "queue": queue})


def encode_withdrawal(organisations: t.Collection[str]) -> bytes:
    """Encode a withdrawal record.

    :param organisations: those that have cancelled the submission.
    """
    return _encode_compact_json({"withdrawn_by": sorted(organisations)})


def decode_withdrawal(value: bytes) -> frozenset[str]:
    """Return the organisations in a withdrawal record; empty for any other record."""
    try:
        names = decode_object(value).get("withdrawn_by", ())
    except ValueError:
        return frozenset()
    if type(names) is not list:
        return frozenset()
    return frozenset(name for name in names if type(name) is str)


def decode_final_state(value: bytes) -> SubmissionState:
    """Decode the state in a final record.

    :raises ValueError: if the value is not a record of this format.
    """
    try:
        return SubmissionState(decode_object(value)["state"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"invalid final record: {error!r}") from None

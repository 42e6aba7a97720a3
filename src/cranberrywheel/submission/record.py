"""Records of submissions as the store keeps them."""

import dataclasses
import json
import typing as t

from cranberrywheel.submission.model import (
    Resources,
    Schedule,
    Step,
    Submission,
    SubmissionState,
)


def _compact(value: t.Any) -> bytes:
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


def encode_submission(submission: Submission) -> bytes:
    """Encode a submission."""
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
    return _compact(row)


def decode_submission(value: bytes) -> Submission:
    """Decode a submission.

    :raises ValueError: if the record is not one of this format.
    """
    try:
        row = json.loads(value)
        steps = []
        for step in row.pop("steps"):
            size = Resources(*step.pop("size"))
            after = tuple(step.pop("after", ()))
            steps.append(Step(size=size, after=after, **step))
        schedule = row.pop("schedule", None)
        return Submission(
            steps=tuple(steps),
            schedule=Schedule(*schedule) if schedule else None,
            **row,
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"no submission record: {error!r}") from None


@dataclasses.dataclass
class Progress:
    """What must outlast the leader: ends that were acknowledged at executors.

    :param done_by_step: finished task numbers by ``OCCURRENCE.STEP``.
    :param failed_runs_by_task: numbers of failed runs by ``OCCURRENCE.STEP.INDEX``.
    :param checkpoint_by_task: last saved progress by ``OCCURRENCE.STEP.INDEX``.
    :param begun_steps: ``OCCURRENCE.STEP`` of which a task may have started; written
        before the first start, so that a new leader knows what cannot run unseen.
    """

    done_by_step: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    failed_runs_by_task: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    checkpoint_by_task: dict[str, str] = dataclasses.field(default_factory=dict)
    begun_steps: list[str] = dataclasses.field(default_factory=list)


def encode_progress(progress: Progress) -> bytes:
    """Encode a progress record."""
    return _compact(vars(progress))


def decode_progress(value: bytes) -> Progress:
    """Decode a progress record.

    :raises ValueError: if the record is not one of this format.
    """
    try:
        return Progress(**json.loads(value))
    except TypeError as error:
        raise ValueError(f"no progress record: {error!r}") from None


def encode_final_state(state: SubmissionState, queue: str) -> bytes:
    """Encode what stays of a submission that has ended."""
    return _compact({"state": state.value, "queue": queue})


def decode_final_state(value: bytes) -> SubmissionState:
    """Decode the state of a submission that has ended.

    :raises ValueError: if the record is not one of this format.
    """
    try:
        return SubmissionState(json.loads(value)["state"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"no final record: {error!r}") from None

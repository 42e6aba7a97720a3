"""Request and response bodies of callers, and the path of the readiness check."""

import json
import typing as t

import pydantic

from cranberrywheel.json_body import MAX_INTEGER
from cranberrywheel.platform.wire_model import WireModel
from cranberrywheel.submission.model import (
    Organisation,
    Queue,
    Resources,
    Schedule,
    Step,
    Submission,
    SubmissionState,
)
from cranberrywheel.submission.terms import build_terms

READY_PATH = "/api/ready"
#: Header with the time in milliseconds for which the caller waits for the response.
WAIT_HEADER = "Cranberrywheel-Deadline-Remaining"
#: Limits of one submission: far above what callers send, and low enough that one body
#: cannot exhaust the memory of an entry instance.
MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 200
MAX_TASKS = 10_000
MAX_REPEATS = 10_000
#: Limits of one task, so that sums over the work of a pool stay finite as floats.
MAX_ESTIMATED_MS = 30 * 24 * 3_600 * 1_000
MAX_AMOUNT = 10**9


class _Step(WireModel):
    count: int = pydantic.Field(ge=1, le=MAX_TASKS)
    cpu: int = pydantic.Field(0, ge=0, le=MAX_AMOUNT)
    memory_mb: int = pydantic.Field(0, ge=0, le=MAX_AMOUNT, alias="memMb")
    gpu: int = pydantic.Field(0, ge=0, le=MAX_AMOUNT)
    estimated_ms: int = pydantic.Field(
        0, ge=0, le=MAX_ESTIMATED_MS, alias="estimatedMs"
    )
    after: list[int] = pydantic.Field(default_factory=list)
    checkpointing: bool = False
    gang: bool = False
    colocate: bool = False
    required_label: str = pydantic.Field("", alias="requiredLabel")
    data_rack: str = pydantic.Field("", alias="dataRack")
    anti_affinity: int = pydantic.Field(0, ge=0, le=MAX_AMOUNT, alias="antiAffinity")
    speculative: bool = False
    long_running: bool = pydantic.Field(False, alias="longRunning")
    image: str = ""
    target_ms: int = pydantic.Field(0, ge=0, le=MAX_AMOUNT, alias="targetMs")
    fills: bool = False
    may_miss: int = pydantic.Field(0, ge=0, le=MAX_AMOUNT, alias="mayMiss")


class _Submission(WireModel):
    payload: str = pydantic.Field("", alias="spec")
    steps: list[_Step] = pydantic.Field(min_length=1, max_length=MAX_STEPS)
    start_at_ms: int = pydantic.Field(0, ge=0, le=MAX_INTEGER, alias="startAtMs")
    interval_ms: int = pydantic.Field(0, ge=0, le=MAX_INTEGER, alias="intervalMs")
    repeat_count: int = pydantic.Field(0, ge=0, le=MAX_REPEATS, alias="repeatCount")

    @pydantic.model_validator(mode="after")
    def _check_limits(self) -> "_Submission":
        if len(self.payload.encode()) > MAX_PAYLOAD_BYTES:
            raise ValueError(f"spec exceeds {MAX_PAYLOAD_BYTES} bytes; shorten it")
        if sum(step.count for step in self.steps) > MAX_TASKS:
            raise ValueError(
                f"submission exceeds {MAX_TASKS} tasks; split the submission"
            )
        for number, step in enumerate(self.steps):
            if any(not 0 <= predecessor < number for predecessor in step.after):
                raise ValueError(
                    f"step {number}: after may name only steps that precede it"
                )
        return self


def decode_submission(
    body: bytes,
    submission_id: str,
    queue: Queue,
    organisation: Organisation | None,
    now_ms: int,
) -> Submission:
    """Decode the body of a submission.

    :param organisation: owner of the API key; ``None`` for a call without one.
    :param now_ms: Unix time in milliseconds, stored as the time of acceptance.
    :raises ValueError: if the body is invalid; the message names field and reason.
    """
    try:
        wire = _Submission.model_validate_json(body)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise ValueError(f"{field}: {first['msg']}") from None
    schedule = None
    if wire.repeat_count:
        schedule = Schedule(wire.start_at_ms, wire.interval_ms, wire.repeat_count)
    return Submission(
        id=submission_id,
        queue=queue.key,
        service=queue.service,
        organisation=organisation.name if organisation else "",
        payload=wire.payload,
        steps=tuple(_decode_step(step) for step in wire.steps),
        accepted_ms=now_ms,
        schedule=schedule,
        terms=build_terms(queue, organisation),
    )


def _decode_step(step: _Step) -> Step:
    return Step(
        count=step.count,
        size=Resources(step.cpu, step.memory_mb, step.gpu),
        estimated_ms=step.estimated_ms,
        after=tuple(step.after),
        checkpointing=step.checkpointing,
        gang=step.gang,
        colocate=step.colocate,
        required_label=step.required_label,
        data_rack=step.data_rack,
        anti_affinity=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        target_ms=step.target_ms,
        fills=step.fills,
        may_miss=step.may_miss,
    )


def encode_state(state: SubmissionState) -> dict[str, t.Any]:
    """Return the response body for the state of a submission."""
    return {"state": state.value}


def encode_queue_length(count: int) -> dict[str, t.Any]:
    """Return the response body for the number of submissions without a started task."""
    return {"queuedJobs": count}


def encode_body(value: t.Any) -> bytes:
    """Encode a response body as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()

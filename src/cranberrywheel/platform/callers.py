"""Bodies that callers send and get, and the calls of the balancer."""

import json
import typing as t

import pydantic

from cranberrywheel.submission.model import (
    Queue,
    Resources,
    Schedule,
    Step,
    Submission,
    SubmissionState,
)

READY_PATH = "/api/ready"
#: Header that tells how long the caller waits for this answer, in milliseconds.
WAIT_HEADER = "Cranberrywheel-Deadline-Remaining"
#: Bounds on one submission: far above what callers send, low enough that one body
#: cannot exhaust the memory of an entry.
MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 200
MAX_TASKS = 10_000
MAX_REPEATS = 10_000


class _Wire(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", populate_by_name=True)


class _Step(_Wire):
    count: int = pydantic.Field(ge=1, le=MAX_TASKS)
    cpu: int = pydantic.Field(0, ge=0)
    memory_mb: int = pydantic.Field(0, ge=0, alias="memMb")
    gpu: int = pydantic.Field(0, ge=0)
    estimated_ms: int = pydantic.Field(0, ge=0, alias="estimatedMs")
    after: list[int] = pydantic.Field(default_factory=list)
    checkpointing: bool = False
    gang: bool = False
    colocate: bool = False
    required_label: str = pydantic.Field("", alias="requiredLabel")
    data_rack: str = pydantic.Field("", alias="dataRack")
    anti_affinity: int = pydantic.Field(0, ge=0, alias="antiAffinity")
    speculative: bool = False
    long_running: bool = pydantic.Field(False, alias="longRunning")
    image: str = ""
    target_ms: int = pydantic.Field(0, ge=0, alias="targetMs")
    fills: bool = False
    may_miss: int = pydantic.Field(0, ge=0, alias="mayMiss")


class _Submission(_Wire):
    payload: str = pydantic.Field("", alias="spec")
    steps: list[_Step] = pydantic.Field(min_length=1, max_length=MAX_STEPS)
    start_at_ms: int = pydantic.Field(0, ge=0, alias="startAtMs")
    interval_ms: int = pydantic.Field(0, ge=0, alias="intervalMs")
    repeat_count: int = pydantic.Field(0, ge=0, le=MAX_REPEATS, alias="repeatCount")

    @pydantic.model_validator(mode="after")
    def _check(self) -> "_Submission":
        if len(self.payload.encode()) > MAX_PAYLOAD_BYTES:
            raise ValueError(f"spec is longer than {MAX_PAYLOAD_BYTES} bytes")
        if sum(step.count for step in self.steps) > MAX_TASKS:
            raise ValueError(f"more than {MAX_TASKS} tasks")
        for number, step in enumerate(self.steps):
            if any(not 0 <= earlier < number for earlier in step.after):
                raise ValueError(
                    f"step {number} comes after a step that is not earlier"
                )
        return self


def decode_submission(
    body: bytes, submission_id: str, queue: Queue, organisation: str, now_ms: int
) -> Submission:
    """Decode a caller's body.

    :param now_ms: Unix time.
    :raises ValueError: if the body is no valid submission; the text says why.
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
        organisation=organisation,
        payload=wire.payload,
        steps=tuple(_decode_step(step) for step in wire.steps),
        accepted_ms=now_ms,
        schedule=schedule,
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
    """Return the body of a state answer."""
    return {"state": state.value}


def encode_queue_length(count: int) -> dict[str, t.Any]:
    """Return the body of a queue answer: submissions without a started task."""
    return {"queuedJobs": count}


def encode_body(value: t.Any) -> bytes:
    """Encode a body."""
    return json.dumps(value, separators=(",", ":")).encode()

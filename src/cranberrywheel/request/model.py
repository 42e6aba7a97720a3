"""Data of one request, shared by all parts that handle it."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What is known about a request."""

    OK = "ok"
    #: It ran and the target reported a failure.
    FAILED = "failed"
    #: It may have run.
    UNKNOWN = "unknown"
    #: It certainly was not started and will not be.
    NOT_RUN = "not-run"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """One caller's request, after authorization.

    :param request_id: unique per request and process; also the task id.
    :param queue: queue name.
    :param service: service that the queue belongs to.
    :param team: the team whose key came with it, or ``""`` on open queues.
    :param body: the whole request body.
    :param content_type: media type of the body.
    :param arrived_ms: clock reading at arrival.
    :param deadline_ms: clock reading after which no answer is wanted.
    :param idempotent: whether a second run does no harm.
    :param urgent: whether it goes ahead of other work.
    :param ticket: the ticket of a non-idempotent request, or ``""``.
    :param traceparent: the caller's trace context, passed on unchanged.
    """

    request_id: str
    queue: str
    service: str
    team: str
    body: bytes
    content_type: str
    arrived_ms: int
    deadline_ms: int
    idempotent: bool
    urgent: bool
    ticket: str = ""
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller gets.

    :param request_id: the request that this answers.
    :param outcome: what is known about the request.
    :param status: HTTP status.
    :param body: the whole body.
    :param content_type: media type of the body.
    :param kind: error kind, or ``""`` for a target's answer.
    :param remedy: what the caller can do, for errors.
    :param retry_after_s: value for ``Retry-After``, or ``None``.
    """

    request_id: str
    outcome: Outcome
    status: int
    body: bytes
    content_type: str = "application/octet-stream"
    kind: str = ""
    remedy: str = ""
    retry_after_s: int | None = None

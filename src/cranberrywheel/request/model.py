"""Data classes for a request and its answer."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    OK = "ok"
    #: The target ran the request and reported a failure.
    FAILED = "failed"
    #: The request may have run.
    UNKNOWN = "unknown"
    #: The request was not started and never will be.
    NOT_RUN = "not-run"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A caller's request after authorization.

    :param request_id: id that is unique per request and process; also the task id.
    :param queue: queue name.
    :param service: service that the queue belongs to.
    :param team: team whose key the request carried, or ``""`` on open queues.
    :param body: the complete request body.
    :param content_type: media type of the body.
    :param arrived_ms: clock reading in milliseconds at arrival.
    :param deadline_ms: clock reading in milliseconds after which the caller no longer
        needs an answer.
    :param idempotent: whether the request may safely run more than once.
    :param urgent: whether the request is served before non-urgent ones.
    :param ticket: the ticket of a non-idempotent request, or ``""``.
    :param traceparent: the caller's W3C trace context, forwarded unchanged.
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
    """The answer to a caller's request.

    :param request_id: id of the request.
    :param outcome: what is known about the execution of the request.
    :param status: HTTP status code.
    :param body: the complete body.
    :param content_type: media type of the body.
    :param kind: error kind, or ``""`` if a target gave the answer.
    :param remedy: what the caller can do about an error.
    :param retry_after_s: value of the ``Retry-After`` header in seconds, or ``None``.
    """

    request_id: str
    outcome: Outcome
    status: int
    body: bytes
    content_type: str = "application/octet-stream"
    kind: str = ""
    remedy: str = ""
    retry_after_s: int | None = None

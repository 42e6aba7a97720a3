"""The HTTP interface for callers: hand in, ask, cancel, and count what waits."""

import re
import time
import typing as t
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from werkzeug.wrappers import Request, Response

from cranberrywheel.logs import PartLogger
from cranberrywheel.node.intake import Acceptance
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.platform import callers as wire
from cranberrywheel.submission.model import (
    Configuration,
    Queue,
    Submission,
    SubmissionState,
)

#: Time kept back of a caller's wait for the way of the answer.
ANSWER_MARGIN_MS = 250
#: Wait of callers that name no limit.
DEFAULT_WAIT_MS = 3_000
#: Seconds after which a refused caller may come back: a take-over and most faults of
#: the store's connection are over by then.
RETRY_AFTER_S = 1

_ID = re.compile(r"[0-9a-f]{16}", re.IGNORECASE)

_log = PartLogger("front")


class Backend(t.Protocol):
    """What the front needs of the node; all futures complete on other threads."""

    configuration: Configuration | None
    stopping: bool

    def submit(self, submission: Submission, wait_ms: int) -> "Future[Acceptance]":
        """Store a submission."""

    def find_state(
        self, submission_id: str, wait_ms: int
    ) -> "Future[SubmissionState | None]":
        """Find a submission's state; ``None`` if there is no such submission."""

    def cancel(self, submission_id: str, wait_ms: int) -> "Future[bool]":
        """Cancel a submission; false if there is none."""

    def count_waiting(self, queue: Queue) -> "Future[int]":
        """Count a queue's submissions of which no task has started."""


class _Refusal(Exception):
    """An answer other than the one that the caller asked for."""

    def __init__(self, status: int, kind: str, outcome: str, detail: str = "") -> None:
        super().__init__(kind)
        self.status = status
        self.kind = kind
        self.outcome = outcome
        self.detail = detail


class FrontApi:
    """WSGI application for callers.

    :param backend: the node.
    :param metrics: counters of answers.
    """

    def __init__(self, backend: Backend, metrics: Metrics) -> None:
        self._backend = backend
        self._metrics = metrics

    def __call__(self, environ: t.Any, start_response: t.Any) -> t.Any:
        started = time.monotonic()
        request = Request(environ)
        try:
            queue, rest, organisation = self._authorise(request)
            response = self._handle(request, queue, rest, organisation)
        except _Refusal as refusal:
            response = _refuse(refusal)
            _log.event(
                "refused",
                request=request.path.rpartition("/")[2],
                method=request.method,
                status=refusal.status,
                reason=refusal.kind,
                detail=refusal.detail,
                config=self._version(),
            )
        except (FutureTimeoutError, TimeoutError):
            refusal = _Refusal(504, "no-answer-in-time", "unknown")
            response = _refuse(refusal)
            _log.warning(
                "no answer in time",
                request=request.path.rpartition("/")[2],
                method=request.method,
                waited_ms=int((time.monotonic() - started) * 1000),
            )
        if self._backend.stopping:
            response.headers["Connection"] = "close"
        self._metrics.note_answer(
            request.method, response.status_code, time.monotonic() - started
        )
        return response(environ, start_response)

    def _version(self) -> int:
        configuration = self._backend.configuration
        return configuration.version if configuration else 0

    def _authorise(self, request: Request) -> tuple[Queue, str, str]:
        configuration = self._backend.configuration
        if configuration is None:
            raise _Refusal(503, "no-configuration", "not-run")
        host = request.host.rpartition(":")[0] or request.host
        queue = configuration.find_queue(request.host, request.path)
        queue = queue or configuration.find_queue(host, request.path)
        if queue is None:
            raise _Refusal(404, "no-such-queue", "not-run")
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        organisation = ""
        if scheme.lower() == "bearer":
            organisation = configuration.organisation_by_api_key.get(key.strip(), "")
        if not organisation and not queue.public:
            raise _Refusal(401, "unknown-key", "not-run")
        return queue, request.path[len(queue.prefix) :], organisation

    def _handle(
        self, request: Request, queue: Queue, rest: str, organisation: str
    ) -> Response:
        wait_ms = _wait_ms(request, queue)
        if request.method == "GET" and not rest:
            count = self._backend.count_waiting(queue).result(wait_ms / 1000)
            return _answer(200, wire.encode_queue_length(count))
        if not _ID.fullmatch(rest):
            raise _Refusal(404, "no-such-submission", "not-run", rest[:40])
        if request.method == "POST":
            return self._submit(request, queue, rest, organisation, wait_ms)
        if request.method == "GET":
            state = self._backend.find_state(rest, wait_ms).result(wait_ms / 1000)
            if state is None:
                raise _Refusal(410, "no-such-submission", "not-run")
            return _answer(200, wire.encode_state(state))
        if request.method == "DELETE":
            if not self._backend.cancel(rest, wait_ms).result(wait_ms / 1000):
                raise _Refusal(410, "no-such-submission", "not-run")
            _log.event("cancelled", request=rest, queue=queue.name)
            return _answer(200, {})
        raise _Refusal(405, "method-not-allowed", "not-run")

    def _submit(
        self,
        request: Request,
        queue: Queue,
        submission_id: str,
        organisation: str,
        wait_ms: int,
    ) -> Response:
        configuration = self._backend.configuration
        limit = configuration.max_body_bytes if configuration else 0
        if (request.content_length or 0) > limit:
            raise _Refusal(413, "body-too-large", "not-run")
        try:
            submission = wire.decode_submission(
                request.get_data(),
                submission_id,
                queue,
                organisation,
                time.time_ns() // 1_000_000,
            )
        except ValueError as error:
            raise _Refusal(400, "bad-submission", "not-run", str(error)) from None
        acceptance = self._backend.submit(submission, wait_ms).result(
            (wait_ms + ANSWER_MARGIN_MS) / 1000
        )
        if acceptance is Acceptance.NOT_STORED:
            raise _Refusal(503, "store-unavailable", "not-run")
        if acceptance is Acceptance.UNKNOWN:
            raise _Refusal(504, "store-answer-lost", "unknown")
        _log.event(
            "accepted",
            request=submission_id,
            queue=queue.name,
            organisation=organisation,
            steps=len(submission.steps),
            config=configuration.version if configuration else 0,
        )
        return _answer(200, {})


def _wait_ms(request: Request, queue: Queue) -> int:
    text = request.headers.get(wire.WAIT_HEADER, "")
    limit_ms = int(text) if text.isdecimal() else DEFAULT_WAIT_MS
    if queue.timeout_ms:
        limit_ms = min(limit_ms, queue.timeout_ms)
    return max(100, limit_ms - ANSWER_MARGIN_MS)


def _answer(status: int, body: dict[str, t.Any]) -> Response:
    return Response(
        wire.encode_body(body), status=status, content_type="application/json"
    )


def _refuse(refusal: _Refusal) -> Response:
    body = {
        "title": refusal.kind,
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": refusal.outcome,
    }
    response = Response(
        wire.encode_body(body),
        status=refusal.status,
        content_type="application/problem+json",
    )
    if refusal.status in (429, 503, 504):
        response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return response

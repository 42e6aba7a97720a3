"""HTTP interface for callers: submit, query, cancel, and count waiting submissions."""

import re
import time
import typing as t
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from werkzeug.wrappers import Request, Response

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.admission_sync import Refusal
from cranberrywheel.node.cancellation import CancelResult
from cranberrywheel.node.intake import Acceptance
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.platform import callers as wire
from cranberrywheel.submission.model import (
    Configuration,
    Organisation,
    Queue,
    Submission,
    SubmissionState,
)

#: Part of a caller's wait that is reserved for the transfer of the response.
ANSWER_MARGIN_MS = 250
#: Wait of callers whose request sets no limit.
DEFAULT_CALLER_WAIT_MS = 3_000
#: Longest wait that a caller may ask for, which bounds how long it occupies a thread.
MAX_CALLER_WAIT_MS = 60_000
#: Longest header value that is converted; a longer number counts as no limit.
MAX_WAIT_DIGITS = 9
#: Value of ``Retry-After`` in seconds: a takeover and most faults of the connection to
#: the store are over by then.
RETRY_AFTER_S = 1

_SUBMISSION_ID = re.compile(r"[0-9a-f]{16}", re.IGNORECASE)

_log = ComponentLogger("front")


class Process(t.Protocol):
    """State of the process that answers depend on."""

    stopping: bool

    @property
    def configuration(self) -> Configuration | None:
        """Configuration in force; ``None`` before the first."""


class Backend(t.Protocol):
    """Interface of the process to this API; all futures complete on other threads."""

    def submit(
        self, submission: Submission, wait_ms: int
    ) -> "Future[Acceptance | Refusal]":
        """Store a submission, or refuse it because of load.

        :param wait_ms: time for which the caller waits, in milliseconds.
        """

    def find_state(
        self, submission_id: str, wait_ms: int
    ) -> "Future[SubmissionState | None]":
        """Read the state of a submission; ``None`` if it does not exist."""

    def cancel(
        self, submission_id: str, organisation: str, wait_ms: int
    ) -> "Future[CancelResult]":
        """Cancel a submission, or keep it from being stored if it does not exist.

        The future stays open if the cancellation cannot be stored within ``wait_ms``
        milliseconds.

        :param organisation: name of the caller's organisation.
        """

    def count_waiting(self, queue: Queue) -> "Future[int]":
        """Count the submissions of a queue without a started task."""


class _Rejection(Exception):
    """Response to a request that is rejected.

    :param status: HTTP status code.
    :param kind: problem title, which callers match.
    :param outcome: what happened to the request: ``not-run`` or ``unknown``.
    :param detail: reason for the caller, or ``""``.
    :param retry_after_s: value of ``Retry-After``, for statuses that have it.
    """

    def __init__(
        self,
        status: int,
        kind: str,
        outcome: str,
        detail: str = "",
        retry_after_s: int = RETRY_AFTER_S,
    ) -> None:
        super().__init__(kind)
        self.status = status
        self.kind = kind
        self.outcome = outcome
        self.detail = detail
        self.retry_after_s = retry_after_s


class CallerApi:
    """WSGI application for callers.

    :param process: the process that serves the API.
    :param backend: stores and reads submissions.
    :param metrics: metrics in which each answer is recorded.
    :param estimate_store_retry_s: returns the ``Retry-After`` of a submission that
        could not be stored, in seconds.
    """

    def __init__(
        self,
        process: Process,
        backend: Backend,
        metrics: Metrics,
        estimate_store_retry_s: t.Callable[[], int] = lambda: RETRY_AFTER_S,
    ) -> None:
        self._process = process
        self._backend = backend
        self._metrics = metrics
        self._estimate_store_retry_s = estimate_store_retry_s

    def __call__(self, environ: t.Any, start_response: t.Any) -> t.Any:
        started_s = time.monotonic()
        request = Request(environ)
        try:
            queue, submission_id, organisation = self._authenticate(request)
            response = self._handle(request, queue, submission_id, organisation)
        except _Rejection as rejection:
            response = _rejection_response(rejection)
            _log.event(
                "refused",
                request=request.path.rpartition("/")[2],
                method=request.method,
                status=rejection.status,
                reason=rejection.kind,
                detail=rejection.detail,
                config=self._configuration_version(),
            )
        except (FutureTimeoutError, TimeoutError):
            rejection = _Rejection(504, "no-answer-in-time", "unknown")
            response = _rejection_response(rejection)
            _log.warning(
                "request timed out",
                request=request.path.rpartition("/")[2],
                method=request.method,
                waited_ms=int((time.monotonic() - started_s) * 1000),
            )
        except Exception as error:
            response = _rejection_response(_Rejection(500, "internal-error", "unknown"))
            _log.failure(
                "request failed",
                error,
                request=request.path.rpartition("/")[2],
                method=request.method,
            )
        if self._process.stopping:
            response.headers["Connection"] = "close"
        self._metrics.record_answer(
            request.method, response.status_code, time.monotonic() - started_s
        )
        return response(environ, start_response)

    def _configuration_version(self) -> int:
        configuration = self._process.configuration
        return configuration.version if configuration else 0

    def _authenticate(self, request: Request) -> tuple[Queue, str, Organisation | None]:
        configuration = self._process.configuration
        if configuration is None:
            raise _Rejection(503, "no-configuration", "not-run")
        host = request.host.rpartition(":")[0] or request.host
        queue = configuration.find_queue(request.host, request.path)
        queue = queue or configuration.find_queue(host, request.path)
        if queue is None:
            raise _Rejection(404, "no-such-queue", "not-run")
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        name = ""
        if scheme.lower() == "bearer":
            name = configuration.organisation_by_api_key.get(key.strip(), "")
        if not name and not queue.public:
            raise _Rejection(401, "unknown-key", "not-run")
        organisation = configuration.organisations_by_name.get(name)
        return queue, request.path[len(queue.prefix) :], organisation

    def _handle(
        self,
        request: Request,
        queue: Queue,
        submission_id: str,
        organisation: Organisation | None,
    ) -> Response:
        wait_ms = _caller_wait_ms(request, queue)
        if request.method == "GET" and not submission_id:
            count = self._backend.count_waiting(queue).result(wait_ms / 1000)
            return _json_response(200, wire.encode_queue_length(count))
        if not _SUBMISSION_ID.fullmatch(submission_id):
            raise _Rejection(404, "no-such-submission", "not-run", submission_id[:40])
        if request.method == "POST":
            return self._submit(request, queue, submission_id, organisation, wait_ms)
        if request.method == "GET":
            state = self._backend.find_state(submission_id, wait_ms).result(
                wait_ms / 1000
            )
            if state is None:
                raise _Rejection(410, "no-such-submission", "not-run")
            return _json_response(200, wire.encode_state(state))
        if request.method == "DELETE":
            return self._cancel(queue, submission_id, organisation, wait_ms)
        raise _Rejection(405, "method-not-allowed", "not-run")

    def _cancel(
        self,
        queue: Queue,
        submission_id: str,
        organisation: Organisation | None,
        wait_ms: int,
    ) -> Response:
        owner = organisation.name if organisation else ""
        result = self._backend.cancel(submission_id, owner, wait_ms).result(
            wait_ms / 1000
        )
        if result is CancelResult.TOO_MANY:
            raise _Rejection(
                429,
                "too-many-cancellations",
                "not-run",
                "too many submissions that do not exist were cancelled; send it again",
            )
        if result is CancelResult.WITHDRAWN:
            raise _Rejection(410, "no-such-submission", "not-run")
        _log.event("cancelled", request=submission_id, queue=queue.name)
        return _json_response(200, {})

    def _submit(
        self,
        request: Request,
        queue: Queue,
        submission_id: str,
        organisation: Organisation | None,
        wait_ms: int,
    ) -> Response:
        configuration = self._process.configuration
        limit = configuration.max_body_bytes if configuration else 0
        if (request.content_length or 0) > limit:
            raise _Rejection(413, "body-too-large", "not-run")
        try:
            submission = wire.decode_submission(
                request.get_data(),
                submission_id,
                queue,
                organisation,
                time.time_ns() // 1_000_000,
            )
        except ValueError as error:
            raise _Rejection(400, "bad-submission", "not-run", str(error)) from None
        acceptance = self._backend.submit(submission, wait_ms).result(
            (wait_ms + ANSWER_MARGIN_MS) / 1000
        )
        if isinstance(acceptance, Refusal):
            raise _Rejection(
                429,
                "overloaded",
                "not-run",
                f"cannot be served in time; its place is kept from "
                f"{acceptance.retry_after_s} s on",
                acceptance.retry_after_s,
            )
        if acceptance is Acceptance.NOT_STORED:
            raise _Rejection(
                503,
                "store-unavailable",
                "not-run",
                retry_after_s=self._estimate_store_retry_s(),
            )
        if acceptance is Acceptance.WITHDRAWN:
            raise _Rejection(
                410,
                "submission-cancelled",
                "not-run",
                "it was cancelled before it was stored; submit it with another id",
            )
        if acceptance is Acceptance.UNKNOWN:
            raise _Rejection(504, "store-answer-lost", "unknown")
        _log.event(
            "accepted",
            request=submission_id,
            queue=queue.name,
            organisation=submission.organisation,
            steps=len(submission.steps),
            config=configuration.version if configuration else 0,
        )
        return _json_response(200, {})


def _caller_wait_ms(request: Request, queue: Queue) -> int:
    header = request.headers.get(wire.WAIT_HEADER, "")
    limit_ms = DEFAULT_CALLER_WAIT_MS
    if header.isdecimal() and len(header) <= MAX_WAIT_DIGITS:
        limit_ms = min(int(header), MAX_CALLER_WAIT_MS)
    if queue.timeout_ms:
        limit_ms = min(limit_ms, queue.timeout_ms)
    return max(100, limit_ms - ANSWER_MARGIN_MS)


def _json_response(status: int, body: dict[str, t.Any]) -> Response:
    return Response(
        wire.encode_body(body), status=status, content_type="application/json"
    )


def _rejection_response(rejection: _Rejection) -> Response:
    body = {
        "title": rejection.kind,
        "status": rejection.status,
        "detail": rejection.detail,
        "outcome": rejection.outcome,
    }
    response = Response(
        wire.encode_body(body),
        status=rejection.status,
        content_type="application/problem+json",
    )
    if rejection.status in (429, 503, 504):
        response.headers["Retry-After"] = str(rejection.retry_after_s)
    return response

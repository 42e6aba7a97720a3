"""HTTP API for callers: requests, tickets and health checks."""

import json
import re
import typing as t
import uuid
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import werkzeug
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge

from cranberrywheel.connection.http_server import DisconnectWatcher
from cranberrywheel.errors import (
    CranberrywheelError,
    MalformedRequestError,
    RequestTooLargeError,
    UnknownOutcomeError,
    UnknownQueueError,
)
from cranberrywheel.process import messages
from cranberrywheel.request.model import Answer, Outcome
from cranberrywheel.request.problem import build_problem_answer
from cranberrywheel.settings import EntrySettings

#: Longest wait for an answer that the dispatcher gives without running a request.
DISPATCHER_TIMEOUT_S = 5
#: Safety net: the dispatcher answers at the deadline of the request.
MAX_REQUEST_WAIT_S = 3_700
MAX_TICKETS_PER_CALL = 100
_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")


def to_response(answer: Answer) -> werkzeug.Response:
    """Return the HTTP response for an answer.

    :param answer: answer of the dispatcher, or an error.
    """
    response = werkzeug.Response(
        answer.body, status=answer.status, content_type=answer.content_type
    )
    response.headers["X-Request-Id"] = answer.request_id
    response.headers["Outcome"] = str(answer.outcome)
    if answer.retry_after_s is not None:
        response.headers["Retry-After"] = str(answer.retry_after_s)
    return response


class CallerApi:
    """WSGI application for callers.

    :param settings: settings of the entry, with the largest body size.
    :param post: sends a message to the dispatcher.
    :param is_ready: tells whether the load balancer should send requests here.
    :param fallback: serves all other paths.
    """

    def __init__(
        self,
        settings: EntrySettings,
        post: t.Callable[[t.Any], None],
        is_ready: t.Callable[[], bool],
        fallback: t.Callable[[werkzeug.Request], werkzeug.Response],
    ) -> None:
        self._settings = settings
        self._post = post
        self._is_ready = is_ready
        self._fallback = fallback
        self._hangup_watcher = DisconnectWatcher()

    def __call__(self, environ: t.Any, start_response: t.Any) -> t.Any:
        request = werkzeug.Request(environ)
        request.max_content_length = self._settings.max_body_bytes
        request_id = uuid.uuid4().hex
        # A request that is refused here may have run in an earlier call with the
        # same ticket.
        has_ticket = "Idempotency-Key" in request.headers
        outcome = Outcome.UNKNOWN if has_ticket else None
        try:
            response = self._route(request, request_id)
        except RequestEntityTooLarge:
            error: CranberrywheelError = RequestTooLargeError(
                f"The body has more than {self._settings.max_body_bytes} bytes.",
                "Send a smaller body.",
            )
            response = to_response(build_problem_answer(request_id, error, outcome))
            response.headers["Connection"] = "close"
        except HTTPException as failure:
            error = MalformedRequestError(
                f"The request could not be read: {failure.description}",
                "Send a valid HTTP request.",
            )
            response = to_response(build_problem_answer(request_id, error, outcome))
        except CranberrywheelError as error:
            response = to_response(build_problem_answer(request_id, error, outcome))
        if not self._is_ready():
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _route(self, request: werkzeug.Request, request_id: str) -> werkzeug.Response:
        path = request.path
        if path == "/healthz":
            return werkzeug.Response("ok\n")
        if path == "/readyz":
            ready = self._is_ready()
            return werkzeug.Response(
                "ready\n" if ready else "not ready\n", status=200 if ready else 503
            )
        if path.startswith("/v1/queues/"):
            if request.method != "POST":
                raise MalformedRequestError(
                    f"Queues accept POST only, not {request.method[:16]!r}.",
                    "Use POST.",
                )
            return self._run_request(
                request, request_id, path.removeprefix("/v1/queues/")
            )
        if path == "/v1/tickets" and request.method == "POST":
            return self._issue_tickets(request)
        if path.startswith("/v1/requests/") and request.method == "GET":
            return self._query_ticket(path.removeprefix("/v1/requests/"))
        return self._fallback(request)

    def _run_request(
        self, request: werkzeug.Request, request_id: str, queue: str
    ) -> werkzeug.Response:
        timeout = request.headers.get("Request-Timeout-Ms", "0")
        if not timeout.isdecimal() or len(timeout) > 9:
            raise MalformedRequestError(
                "Request-Timeout-Ms is not a whole number of at most 9 digits.",
                "Send a number of milliseconds.",
            )
        traceparent = request.headers.get("traceparent", "")
        incoming = messages.IncomingRequest(
            request_id=request_id,
            queue=queue,
            authorization=request.headers.get("Authorization", ""),
            idempotency_key=request.headers.get("Idempotency-Key", ""),
            body=request.get_data(cache=False),
            content_type=_sanitize_header(request.headers.get("Content-Type", "")),
            timeout_ms=int(timeout),
            traceparent=traceparent if _TRACEPARENT.fullmatch(traceparent) else "",
        )
        answer = self._wait_for_answer(incoming, request.environ.get("werkzeug.socket"))
        response = to_response(answer)
        self._add_next_ticket(response, incoming, answer)
        return response

    def _wait_for_answer(
        self, incoming: messages.IncomingRequest, connection: t.Any
    ) -> Answer:
        future: Future[Answer] = Future()
        self._post(messages.SubmitRequest(incoming, future))
        if connection is not None:
            self._hangup_watcher.watch(
                connection,
                lambda: self._post(messages.CancelRequest(incoming.request_id)),
            )
        try:
            return future.result(timeout=MAX_REQUEST_WAIT_S)
        except FutureTimeoutError:
            error = UnknownOutcomeError(
                f"The request got no answer within {MAX_REQUEST_WAIT_S} s.",
                "Retry it with its ticket.",
            )
            return build_problem_answer(incoming.request_id, error)
        finally:
            if connection is not None:
                self._hangup_watcher.unwatch(connection)

    def _add_next_ticket(
        self,
        response: werkzeug.Response,
        incoming: messages.IncomingRequest,
        answer: Answer,
    ) -> None:
        wants_ticket = (
            bool(incoming.idempotency_key) or answer.kind == "ticket-required"
        )
        if not wants_ticket or answer.kind in ("unauthorized", "keys-not-fresh"):
            return
        try:
            tickets = self._request_tickets(incoming.authorization, incoming.queue, 1)
        except CranberrywheelError:
            return
        response.headers["Next-Idempotency-Key"] = tickets[0]

    def _request_tickets(self, authorization: str, queue: str, count: int) -> list[str]:
        tickets: Future[list[str]] = Future()
        self._post(messages.IssueTickets(authorization, queue, count, tickets))
        return tickets.result(timeout=DISPATCHER_TIMEOUT_S)

    def _issue_tickets(self, request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_json(force=True, silent=True)
        queue = body.get("queue") if isinstance(body, dict) else None
        count = body.get("count", 1) if isinstance(body, dict) else 0
        if not isinstance(queue, str):
            raise UnknownQueueError(
                'The body has no string "queue".', 'Send {"queue": NAME}.'
            )
        if not isinstance(count, int) or not 1 <= count <= MAX_TICKETS_PER_CALL:
            raise MalformedRequestError(
                f"The count is not a whole number from 1 to {MAX_TICKETS_PER_CALL}.",
                "Request a valid number of tickets.",
            )
        tickets = self._request_tickets(
            request.headers.get("Authorization", ""), queue, count
        )
        return werkzeug.Response(
            json.dumps({"tickets": tickets}), content_type="application/json"
        )

    def _query_ticket(self, ticket: str) -> werkzeug.Response:
        future: Future[Answer] = Future()
        self._post(messages.QueryTicket(ticket, future))
        return to_response(future.result(timeout=DISPATCHER_TIMEOUT_S))


def _sanitize_header(value: str) -> str:
    """Return a header value, or ``""`` if it does not fit in one header line."""
    return value if value.isprintable() and len(value) < 256 else ""

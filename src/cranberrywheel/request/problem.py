"""Converts errors to ``application/problem+json`` answers (RFC 9457)."""

import json

from cranberrywheel.errors import CranberrywheelError, RequestError
from cranberrywheel.request.model import Answer, Outcome

CONTENT_TYPE = "application/problem+json"


def build_problem_answer(
    request_id: str, error: CranberrywheelError, outcome: Outcome | None = None
) -> Answer:
    """Build the answer that describes an error to a caller.

    :param request_id: id of the request that failed.
    :param error: the error.
    :param outcome: what is known about the execution of the request. Defaults to the
        outcome of the error, or to ``NOT_RUN`` if the error has none.
    :returns: an answer whose body holds kind, remedy, outcome and request id.
    """
    outcome = outcome or Outcome(error.outcome or Outcome.NOT_RUN)
    retry_after_s = error.retry_after_s if isinstance(error, RequestError) else None
    body = {
        "type": f"urn:cranberrywheel:{error.kind}",
        "title": type(error).__name__.removesuffix("Error"),
        "status": error.http_status,
        "detail": error.message,
        "kind": error.kind,
        "remedy": error.remedy,
        "outcome": str(outcome),
        "request_id": request_id,
    }
    return Answer(
        request_id=request_id,
        outcome=outcome,
        status=error.http_status,
        body=json.dumps(body).encode(),
        content_type=CONTENT_TYPE,
        kind=error.kind,
        remedy=error.remedy,
        retry_after_s=retry_after_s,
    )

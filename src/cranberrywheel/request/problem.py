"""Errors as ``application/problem+json`` (RFC 9457)."""

import json

from cranberrywheel.errors import CranberrywheelError, RequestError
from cranberrywheel.request.model import Answer, Outcome

CONTENT_TYPE = "application/problem+json"


def problem_answer(
    request_id: str, error: CranberrywheelError, outcome: Outcome | None = None
) -> Answer:
    """Describe an error to a caller.

    :param request_id: the request that failed.
    :param error: the typed error.
    :param outcome: what is known about the request; default as the error says.
    :returns: an answer with kind, remedy, outcome and request id.
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

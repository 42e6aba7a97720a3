"""Converts answers to and from the protobuf messages between entry processes."""

from cranberrywheel.errors import CranberrywheelError, PeerError
from cranberrywheel.generated import peer_pb2
from cranberrywheel.request.model import Answer, Outcome


def encode_answer(answer: Answer) -> peer_pb2.ForwardAnswer:
    """Convert an answer to a message."""
    return peer_pb2.ForwardAnswer(
        request_id=answer.request_id,
        outcome=str(answer.outcome),
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        kind=answer.kind,
        remedy=answer.remedy,
        retry_after_s=answer.retry_after_s or 0,
    )


def decode_answer(message: peer_pb2.ForwardAnswer) -> Answer:
    """Convert a message to an answer.

    :raises PeerError: if the outcome or the HTTP status is invalid.
    """
    try:
        outcome = Outcome(message.outcome)
    except ValueError:
        raise PeerError(
            f"A peer sent the unknown outcome {message.outcome!r}.",
            "Check the peer's version.",
        ) from None
    if not 100 <= message.status <= 599:
        raise PeerError(
            "A peer sent an invalid HTTP status.", "Check the peer's version."
        )
    return Answer(
        request_id=message.request_id,
        outcome=outcome,
        status=message.status,
        body=message.body,
        content_type=message.content_type,
        kind=message.kind,
        remedy=message.remedy,
        retry_after_s=message.retry_after_s or None,
    )


def build_error_answer(request_id: str, error: CranberrywheelError) -> Answer:
    """Build the plain-text answer to a peer whose request failed with an error."""
    return Answer(
        request_id=request_id,
        outcome=Outcome(error.outcome or Outcome.UNKNOWN),
        status=error.http_status,
        body=error.message.encode(),
        content_type="text/plain",
        kind=error.kind,
        remedy=error.remedy,
        retry_after_s=getattr(error, "retry_after_s", None),
    )

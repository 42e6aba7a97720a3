"""The exception tree. Each error has a kind, a remedy and an HTTP status."""

import typing as t


class CranberrywheelError(Exception):
    """Base of all errors that the project raises on purpose.

    :param message: what went wrong, one sentence.
    :param remedy: what the reader can do about it, one sentence.
    """

    kind: t.ClassVar[str] = "internal"
    http_status: t.ClassVar[int] = 500
    #: What is known about the request that failed: ``not-run``, ``unknown``
    #: or ``failed``. ``None`` for errors outside a request.
    outcome: t.ClassVar[str | None] = None

    def __init__(self, message: str, remedy: str = "") -> None:
        super().__init__(f"{message} {remedy}".strip())
        self.message = message
        self.remedy = remedy


class SettingsError(CranberrywheelError):
    """A settings file has an unknown key or a bad value."""

    kind = "bad-settings"


class ConfigurationError(CranberrywheelError):
    """The operators' text is invalid; nothing was applied.

    :param line: line number in the text, from 1, or 0 if no line applies.
    """

    kind = "bad-configuration"
    http_status = 422

    def __init__(self, message: str, remedy: str = "", line: int = 0) -> None:
        super().__init__(f"line {line}: {message}" if line else message, remedy)
        self.line = line


class VersionConflictError(CranberrywheelError):
    """Another operator changed the configuration first."""

    kind = "version-conflict"
    http_status = 412


class StoreError(CranberrywheelError):
    """A call to the platform's key-value service failed."""

    kind = "store"
    http_status = 503


class StoreUnavailableError(StoreError):
    """The store gave no answer; a write may or may not have taken effect."""

    kind = "store-unavailable"


class StoreConflictError(StoreError):
    """A compare-and-swap found another revision than expected.

    :param revision: the revision now in the store.
    """

    kind = "store-conflict"
    http_status = 409

    def __init__(self, message: str, remedy: str = "", revision: int = 0) -> None:
        super().__init__(message, remedy)
        self.revision = revision


class LeaseLostError(StoreError):
    """A lease has lapsed."""

    kind = "lease-lost"


class PeerError(CranberrywheelError):
    """A peer sent a malformed message or could not be reached."""

    kind = "peer"
    http_status = 502


class PeerUnreachableError(PeerError):
    """No connection to the peer was opened; nothing was sent."""

    kind = "peer-unreachable"


class RequestError(CranberrywheelError):
    """A caller's request was not answered by a target."""

    kind = "request"
    http_status = 503
    outcome = "not-run"
    #: Seconds for ``Retry-After``, or ``None`` where a retry cannot help.
    retry_after_s: int | None = None


class UnauthorizedError(RequestError):
    """The key is missing, wrong or withdrawn."""

    kind = "unauthorized"
    http_status = 401


class ForbiddenError(RequestError):
    """The team has no right to this queue."""

    kind = "forbidden"
    http_status = 403


class UnknownQueueError(RequestError):
    """No queue has the name that the caller asked for."""

    kind = "unknown-queue"
    http_status = 404


class MalformedRequestError(RequestError):
    """The request could not be read."""

    kind = "malformed-request"
    http_status = 400


class RequestTooLargeError(RequestError):
    """The body is over the limit."""

    kind = "request-too-large"
    http_status = 413


class TicketRequiredError(RequestError):
    """A non-idempotent queue needs a ticket as ``Idempotency-Key``."""

    kind = "ticket-required"
    http_status = 428


class TicketExpiredError(RequestError):
    """The ticket expired before its request was started."""

    kind = "ticket-expired"
    http_status = 409


class StaleKeysError(RequestError):
    """This instance cannot show that the key is still granted."""

    kind = "keys-not-fresh"
    retry_after_s = 5


class NotReadyError(RequestError):
    """The process has no configuration yet or is shutting down."""

    kind = "not-ready"
    retry_after_s = 1


class OverloadedError(RequestError):
    """The queue is longer than the request could wait.

    :param retry_after_s: when a retry has a chance, in seconds.
    """

    kind = "overloaded"

    def __init__(self, message: str, remedy: str = "", retry_after_s: int = 1) -> None:
        super().__init__(message, remedy)
        self.retry_after_s = retry_after_s


class NeverFitsError(RequestError):
    """No worker of the pool can ever run this request."""

    kind = "never-fits"
    http_status = 422


class DeadlineError(RequestError):
    """The deadline passed while the request was queued."""

    kind = "deadline-exceeded"
    http_status = 504


class CancelledError(RequestError):
    """The caller hung up while the request was queued."""

    kind = "cancelled"
    http_status = 499


class TargetFailedError(RequestError):
    """The target ran the request and reported a failure."""

    kind = "target-failed"
    http_status = 502
    outcome = "failed"


class UnknownOutcomeError(RequestError):
    """The request may have run; no answer came back."""

    kind = "unknown-outcome"
    http_status = 502
    outcome = "unknown"

"""HTTP API for operators: configuration, keys, fleet and status."""

import hmac
import json
import typing as t
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import werkzeug

from cranberrywheel.errors import (
    ConfigurationError,
    CranberrywheelError,
    MalformedRequestError,
    StoreUnavailableError,
    UnauthorizedError,
    UnknownQueueError,
)
from cranberrywheel.process import messages
from cranberrywheel.version.snapshot import ConfigurationSnapshot

#: Longer than the store session needs to report that the store is down.
STORE_WAIT_S = 15
#: Longest wait for an answer of the dispatcher.
STATUS_WAIT_S = 5


def _json_response(body: t.Any, status: int = 200) -> werkzeug.Response:
    return werkzeug.Response(
        json.dumps(body), status=status, content_type="application/json"
    )


def _await_result(future: "Future[t.Any]", seconds: float) -> t.Any:
    try:
        return future.result(timeout=seconds)
    except FutureTimeoutError:
        raise StoreUnavailableError(
            f"The store did not answer within {seconds} s; "
            "the change may have taken effect.",
            "Check with 'cranberrywheel show' before you try again.",
        ) from None


class OperatorApi:
    """Handles requests to the operators' paths of an entry process.

    :param token: the operators' bearer token.
    :param to_dispatcher: sends a message to the dispatcher.
    :param to_store: sends a message to the store session.
    :param snapshot: returns the adopted configuration, or ``None``.
    """

    def __init__(
        self,
        token: str,
        to_dispatcher: t.Callable[[t.Any], None],
        to_store: t.Callable[[t.Any], None],
        snapshot: t.Callable[[], ConfigurationSnapshot | None],
    ) -> None:
        self._token = token
        self._to_dispatcher = to_dispatcher
        self._to_store = to_store
        self._get_snapshot = snapshot

    def __call__(self, request: werkzeug.Request) -> werkzeug.Response:
        key = (request.method, request.path)
        if key == ("GET", "/v1/configuration"):
            handler: t.Callable[[werkzeug.Request], werkzeug.Response] = (
                self._show_configuration
            )
        elif key == ("PUT", "/v1/configuration"):
            handler = self._apply_configuration
        elif key == ("POST", "/v1/keys"):
            handler = self._create_key
        elif request.method == "DELETE" and request.path.startswith("/v1/keys/"):
            handler = self._revoke_key
        elif key == ("GET", "/v1/fleet"):
            handler = self._show_fleet
        elif key == ("GET", "/v1/status"):
            handler = self._show_status
        else:
            raise UnknownQueueError(
                f"There is no {request.method} {request.path[:100]}.",
                "See docs/operating.md for the paths.",
            )
        self._check_token(request)
        return handler(request)

    def _check_token(self, request: werkzeug.Request) -> None:
        given = request.headers.get("Authorization", "").encode()
        if not hmac.compare_digest(given, f"Bearer {self._token}".encode()):
            raise UnauthorizedError(
                "This request needs the operators' token.",
                "Send 'Authorization: Bearer' with the content of the token file.",
            )

    def _show_configuration(self, request: werkzeug.Request) -> werkzeug.Response:
        snapshot = self._get_snapshot()
        if snapshot is None:
            return _json_response(
                {"version": 0, "text_version": 0, "text": "", "keys": []}
            )
        keys = [
            {"key_id": key.key_id, "team": key.team}
            for key in snapshot.keys_by_id.values()
        ]
        return _json_response(
            {
                "version": snapshot.version,
                "text_version": snapshot.text_version,
                "text": snapshot.text,
                "keys": sorted(keys, key=lambda key: (key["team"], key["key_id"])),
            }
        )

    def _apply_configuration(self, request: werkzeug.Request) -> werkzeug.Response:
        expected = request.headers.get("If-Match", "").strip('"')
        if not expected.isdecimal():
            raise MalformedRequestError(
                "The If-Match header is missing or not a number.",
                "Send the version of the text that you edited.",
            )
        try:
            text = request.get_data().decode()
        except UnicodeDecodeError:
            raise ConfigurationError(
                "The configuration text is not UTF-8.", "Save it as UTF-8."
            ) from None
        version: Future[int] = Future()
        self._to_store(messages.ApplyConfiguration(text, int(expected), version))
        return _json_response({"text_version": _await_result(version, STORE_WAIT_S)})

    def _create_key(self, request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_json(force=True, silent=True)
        team = body.get("team") if isinstance(body, dict) else None
        if not isinstance(team, str):
            raise MalformedRequestError(
                "The body does not name a team.", 'Send {"team": NAME}.'
            )
        key: Future[str] = Future()
        self._to_store(messages.CreateKey(team, key))
        return _json_response({"key": _await_result(key, STORE_WAIT_S)}, 201)

    def _revoke_key(self, request: werkzeug.Request) -> werkzeug.Response:
        key_id = request.path.removeprefix("/v1/keys/")
        if not key_id.isalnum() or len(key_id) > 64:
            raise MalformedRequestError(
                f"{key_id[:64]!r} is not a key id.",
                "Use the id that 'cranberrywheel show' prints.",
            )
        self._to_dispatcher(messages.KeyRevoked(key_id))
        result: Future[dict[str, t.Any]] = Future()
        self._to_store(messages.RevokeKey(key_id, result))
        return _json_response(_await_result(result, STORE_WAIT_S))

    def _show_fleet(self, request: werkzeug.Request) -> werkzeug.Response:
        fleet: Future[dict[str, t.Any]] = Future()
        self._to_dispatcher(messages.ReadFleet(fleet))
        return self._await_dispatcher(fleet)

    def _show_status(self, request: werkzeug.Request) -> werkzeug.Response:
        status: Future[dict[str, t.Any]] = Future()
        self._to_dispatcher(messages.ReadStatus(status))
        return self._await_dispatcher(status)

    @staticmethod
    def _await_dispatcher(answer: "Future[dict[str, t.Any]]") -> werkzeug.Response:
        try:
            return _json_response(answer.result(timeout=STATUS_WAIT_S))
        except FutureTimeoutError:
            raise CranberrywheelError(
                f"The dispatcher did not answer within {STATUS_WAIT_S} s.",
                "Restart this instance.",
            ) from None

"""HTTP for operators: configuration, keys, status."""

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

#: Longer than the store session needs to find out that the store is down.
STORE_WAIT_S = 15
STATUS_WAIT_S = 5


def _json(body: t.Any, status: int = 200) -> werkzeug.Response:
    return werkzeug.Response(
        json.dumps(body), status=status, content_type="application/json"
    )


def _wait(future: "Future[t.Any]", seconds: float) -> t.Any:
    try:
        return future.result(timeout=seconds)
    except FutureTimeoutError:
        raise StoreUnavailableError(
            "The store did not answer in time; the change may have taken effect.",
            "Look with 'cranberrywheel show' before you try again.",
        ) from None


class OperatorApi:
    """Serves the operators' paths of an entry instance.

    :param token: the operators' bearer token.
    :param to_dispatcher: posts to the dispatcher.
    :param to_store: posts to the store session.
    :param snapshot: returns the configuration in force, or ``None``.
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
        self._snapshot = snapshot

    def __call__(self, request: werkzeug.Request) -> werkzeug.Response:
        key = (request.method, request.path)
        if key == ("GET", "/v1/configuration"):
            handler: t.Callable[[werkzeug.Request], werkzeug.Response] = self._show
        elif key == ("PUT", "/v1/configuration"):
            handler = self._apply
        elif key == ("POST", "/v1/keys"):
            handler = self._grant
        elif request.method == "DELETE" and request.path.startswith("/v1/keys/"):
            handler = self._withdraw
        elif key == ("GET", "/v1/fleet"):
            handler = self._fleet
        elif key == ("GET", "/v1/status"):
            handler = self._status
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
                "This needs the operators' token.",
                "Send 'Authorization: Bearer' with the content of the token file.",
            )

    def _show(self, request: werkzeug.Request) -> werkzeug.Response:
        snapshot = self._snapshot()
        if snapshot is None:
            return _json({"version": 0, "text_version": 0, "text": "", "keys": []})
        keys = [
            {"key_id": key.key_id, "team": key.team}
            for key in snapshot.keys_by_id.values()
        ]
        return _json(
            {
                "version": snapshot.version,
                "text_version": snapshot.text_version,
                "text": snapshot.text,
                "keys": sorted(keys, key=lambda key: (key["team"], key["key_id"])),
            }
        )

    def _apply(self, request: werkzeug.Request) -> werkzeug.Response:
        expected = request.headers.get("If-Match", "").strip('"')
        if not expected.isdecimal():
            raise MalformedRequestError(
                "If-Match is missing.", "Send the text version that you edited."
            )
        try:
            text = request.get_data().decode()
        except UnicodeDecodeError:
            raise ConfigurationError(
                "The text is not UTF-8.", "Save it as UTF-8."
            ) from None
        version: Future[int] = Future()
        self._to_store(messages.ApplyConfiguration(text, int(expected), version))
        return _json({"text_version": _wait(version, STORE_WAIT_S)})

    def _grant(self, request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_json(force=True, silent=True)
        team = body.get("team") if isinstance(body, dict) else None
        if not isinstance(team, str):
            raise MalformedRequestError("No team was named.", 'Send {"team": NAME}.')
        key: Future[str] = Future()
        self._to_store(messages.CreateKey(team, key))
        return _json({"key": _wait(key, STORE_WAIT_S)}, 201)

    def _withdraw(self, request: werkzeug.Request) -> werkzeug.Response:
        key_id = request.path.removeprefix("/v1/keys/")
        if not key_id.isalnum() or len(key_id) > 64:
            raise MalformedRequestError(
                "This is no key id.", "Use the id that 'show' prints."
            )
        self._to_dispatcher(messages.KeyRevoked(key_id))
        result: Future[dict[str, t.Any]] = Future()
        self._to_store(messages.RevokeKey(key_id, result))
        return _json(_wait(result, STORE_WAIT_S))

    def _fleet(self, request: werkzeug.Request) -> werkzeug.Response:
        fleet: Future[dict[str, t.Any]] = Future()
        self._to_dispatcher(messages.ReadFleet(fleet))
        return self._dispatchers_answer(fleet)

    def _status(self, request: werkzeug.Request) -> werkzeug.Response:
        status: Future[dict[str, t.Any]] = Future()
        self._to_dispatcher(messages.ReadStatus(status))
        return self._dispatchers_answer(status)

    @staticmethod
    def _dispatchers_answer(answer: "Future[dict[str, t.Any]]") -> werkzeug.Response:
        try:
            return _json(answer.result(timeout=STATUS_WAIT_S))
        except FutureTimeoutError:
            raise CranberrywheelError(
                "The dispatcher did not answer.", "Restart this instance."
            ) from None

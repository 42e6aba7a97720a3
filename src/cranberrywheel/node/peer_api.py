"""HTTP interface for the other processes: reports, notices and calls to the store."""

import json
import typing as t
from concurrent.futures import Future

from werkzeug.wrappers import Request, Response

from cranberrywheel.connection.http_loop import MAX_TRANSFER_MS, HttpLoop, HttpReply
from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.admission_sync import (
    ADMISSION_PATH,
    CONTENDED_FIELD,
    AdmissionSync,
)
from cranberrywheel.node.configuration_sync import (
    ANNOUNCEMENT_PATH,
    CONFIGURATION_PATH,
    ConfigurationSync,
)
from cranberrywheel.node.evacuation_sync import EVACUATIONS_PATH, EvacuationSync
from cranberrywheel.node.leader import Leader
from cranberrywheel.node.store_route import (
    PEER_TIMEOUT_MS,
    RELAY_PREFIX,
    STATUS_PATH,
    StoreRoute,
)
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item
from cranberrywheel.submission.demand import count_waiting_submissions

#: Path on which peers tell the leader what they have stored.
STORED_PATH = "/peer/stored"
#: Path on which peers ask the leader for the waiting submissions of a queue.
QUEUE_PATH = "/peer/queue"
#: Path prefix under which peers ask the leader for the state of a submission.
SUBMISSION_PATH = "/peer/submission/"
#: Time until a relayed call is answered: longer than the store holds a watch call open.
RELAY_TIMEOUT_MS = 1_600

_log = ComponentLogger("peers")


class PeerApi:
    """WSGI application for peers.

    :param find_leader: returns the leader if this process leads.
    :param find_fence: returns the fencing token of the newest known leader; 0 for none.
    :param evacuation_sync: the evacuated zones; ``None`` if there are no evacuations.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        store_route: StoreRoute,
        configuration_sync: ConfigurationSync,
        admission: AdmissionSync,
        find_leader: t.Callable[[], Leader | None],
        find_fence: t.Callable[[], int],
        evacuation_sync: EvacuationSync | None = None,
    ) -> None:
        self._loop = loop
        self._store = store
        self._store_route = store_route
        self._configuration_sync = configuration_sync
        self._admission = admission
        self._find_leader = find_leader
        self._find_fence = find_fence
        self._evacuation_sync = evacuation_sync

    def __call__(self, environ: t.Any, start_response: t.Any) -> t.Any:
        request = Request(environ)
        if request.path.startswith(RELAY_PREFIX + "/"):
            return self._relay_call(request)(environ, start_response)
        answer: Future[dict[str, t.Any]] = Future()
        self._loop.post(lambda: answer.set_result(self._build_answer(request)))
        try:
            body = answer.result(PEER_TIMEOUT_MS / 1000)
        except TimeoutError:
            body = {}
        response = Response(
            json.dumps(body),
            status=200 if body else 404,
            content_type="application/json",
        )
        return response(environ, start_response)

    def _relay_call(self, request: Request) -> Response:
        """Send a call to the store on behalf of a peer."""
        path = request.full_path.rstrip("?")[len(RELAY_PREFIX) :]
        body = request.get_data() if request.method == "POST" else None
        answer: Future[HttpReply] = Future()
        self._loop.post(
            lambda: self._store.relay(
                request.method, path, body, RELAY_TIMEOUT_MS, answer.set_result
            )
        )
        try:
            reply = answer.result(MAX_TRANSFER_MS / 1000 + 1)
        except TimeoutError:
            reply = HttpReply(0)
        # 503: the call had no effect; 504: it may have taken effect.
        status = reply.status or (504 if reply.sent else 503)
        return Response(reply.body, status=status, content_type="application/json")

    def _build_answer(self, request: Request) -> dict[str, t.Any]:
        """Build the body of an answer on the loop's thread; empty for none."""
        if request.path == STATUS_PATH:
            return {
                "store_away": self._store_route.is_unreachable,
                "fence": self._find_fence(),
                "version": self._configuration_sync.version,
            }
        if request.path == CONFIGURATION_PATH:
            return self._configuration_sync.encode_for_peer()
        if request.path == ANNOUNCEMENT_PATH:
            return self._configuration_sync.answer_announcement(request.get_data())
        if request.path == EVACUATIONS_PATH and self._evacuation_sync is not None:
            return self._evacuation_sync.answer_announcement(request.get_data())
        if request.path == STORED_PATH:
            return self._take_stored(request.get_data())
        if request.path == ADMISSION_PATH:
            return self._admission.answer(request.get_data())
        leader = self._find_leader()
        if leader is None or not leader.is_loaded:
            return {}
        if request.path == QUEUE_PATH:
            try:
                queue = str(decode_object(request.get_data())["queue"])
            except FIELD_ERRORS:
                return {}
            return {"count": count_waiting_submissions(leader.scheduler, queue)}
        if request.path.startswith(SUBMISSION_PATH):
            state = leader.scheduler.get_state(request.path[len(SUBMISSION_PATH) :])
            return {"state": state.value} if state else {}
        return {}

    def _take_stored(self, body: bytes) -> dict[str, t.Any]:
        try:
            items = decode_items(body)
        except ValueError as error:
            _log.warning("notice of a peer cannot be decoded", error=str(error)[:200])
            return {}
        leader = self._find_leader()
        if leader is not None:
            leader.offer(items)
        answer: dict[str, t.Any] = {"received": len(items)}
        if self._admission.is_contended():
            answer[CONTENDED_FIELD] = True
        return answer


def encode_items(items: t.Iterable[Item]) -> bytes:
    """Encode records of submissions, which are text, for a peer."""
    rows = [[item.key, (item.value or b"").decode(), item.revision] for item in items]
    return json.dumps({"items": rows}).encode()


def decode_items(body: bytes) -> list[Item]:
    """Decode records that a peer has stored.

    :raises ValueError: if the body has another format.
    """
    try:
        return [
            Item(str(key), str(value).encode(), int(revision))
            for key, value, revision in decode_object(body)["items"]
        ]
    except FIELD_ERRORS as error:
        raise ValueError(f"not a list of records: {error!r}") from None

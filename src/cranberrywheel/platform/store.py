"""Client of the platform's key-value service."""

import base64
import json
import typing as t
import urllib.parse

from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.store_messages import (
    CallResult,
    Item,
    Outcome,
    StoreReply,
    Write,
)

#: Longest timeout of a call. The service usually answers in 4 ms, and in 320 ms while
#: it is slow.
CALL_TIMEOUT_MS = 800
#: Time added to the wait of a watch call before it counts as unanswered.
WATCH_MARGIN_MS = 700
#: Longest pause in an answer with items. A lost packet is sent again after 0.2 to 1 s.
PROGRESS_TIMEOUT_MS = 1_200
_WRITE_PATH = "/api/kv-txn"

_log = ComponentLogger("store")


ReplyCallback = t.Callable[[StoreReply], None]

_OUTCOME_BY_STATUS = {
    200: Outcome.OK,
    404: Outcome.ABSENT,
    410: Outcome.COMPACTED,
    412: Outcome.CONFLICT,
    429: Outcome.NOT_DONE,
    503: Outcome.NOT_DONE,
}


def _decode_item(row: t.Any) -> Item | None:
    try:
        if row.get("tombstone"):
            return Item(str(row["key"]), None, int(row["revision"]))
        value = base64.b64decode(row["value"])
        return Item(str(row["key"]), value, int(row["revision"]))
    except FIELD_ERRORS as error:
        _log.warning("skipped an item that cannot be decoded", error=repr(error))
        return None


def _decode(reply: HttpReply) -> StoreReply:
    if reply.status == 0:
        return StoreReply(
            Outcome.UNKNOWN if reply.sent else Outcome.NOT_DONE,
            received_bytes=reply.received_bytes,
            error=reply.error,
        )
    outcome = _OUTCOME_BY_STATUS.get(reply.status, Outcome.UNKNOWN)
    try:
        body = decode_object(reply.body) if reply.body else {}
        if "key" in body:
            rows = [body]
        else:
            rows = list(body.get("items") or body.get("events") or [])
        items = tuple(item for item in map(_decode_item, rows) if item is not None)
        if body.get("hasMore") and not items:
            # The next page begins after the last key of this one.
            raise ValueError("a page with a successor has no readable item")
        return StoreReply(
            outcome,
            items,
            int(body.get("asOf") or body.get("revision") or 0),
            int(body.get("lease") or 0) if "key" not in body else 0,
            int(body.get("ttlMs") or 0),
            bool(body.get("hasMore")),
            reply.received_bytes,
            "" if outcome is Outcome.OK else str(reply.status),
        )
    except FIELD_ERRORS as error:
        _log.warning(
            "answer of the store cannot be decoded; outcome unknown",
            status=reply.status,
            error=repr(error)[:200],
        )
        return StoreReply(Outcome.UNKNOWN, error="malformed answer")


def _build_request(
    method: str, address: str, path: str, data: bytes | None, timeout_ms: int
) -> HttpRequest:
    """Build a request, whose answer may be large if it is a read.

    A write that a partition holds up is discarded when its call is given up. Reads use
    the same connections, so theirs are reset too.

    :param timeout_ms: longest time until the answer begins.
    """
    progress_timeout_ms = PROGRESS_TIMEOUT_MS if method == "GET" else 0
    is_write = path.endswith(_WRITE_PATH)
    return HttpRequest(
        method,
        address,
        path,
        data,
        timeout_ms=timeout_ms,
        progress_timeout_ms=progress_timeout_ms,
        resets_connection=True,
        sent_once=is_write,
    )


class Store:
    """Client of the key-value service; each ``done`` runs on the loop's thread.

    :param address: ``host:port`` of the service.
    :param on_call_end: called after each direct call.
    :param route: returns the address and the path prefix of a peer that relays calls,
        or ``None`` for direct calls.
    :param timeout: returns the timeout of direct calls in milliseconds.
    """

    def __init__(
        self,
        loop: HttpLoop,
        address: str,
        on_call_end: t.Callable[[CallResult], None],
        route: t.Callable[[], tuple[str, str] | None] = lambda: None,
        timeout: t.Callable[[], int] = lambda: CALL_TIMEOUT_MS,
    ) -> None:
        self._loop = loop
        self._address = address
        self._on_call_end = on_call_end
        self._route = route
        self._timeout = timeout

    def probe(self) -> None:
        """Send one direct call to learn whether the service answers."""
        self._call_directly(
            "GET",
            "/api/kv-key?key=probe&staleOk=1",
            None,
            CALL_TIMEOUT_MS,
            False,
            lambda reply: None,
        )

    def _call_directly(
        self,
        method: str,
        path: str,
        data: bytes | None,
        timeout_ms: int,
        waits: bool,
        done: ReplyCallback,
        on_data: t.Callable[[], None] = lambda: None,
    ) -> None:
        def decode(reply: HttpReply) -> None:
            result = _decode(reply)
            # The rest of a large answer takes its time on the link, not at the service.
            took_ms = reply.first_byte_ms
            self._on_call_end(
                CallResult(result.outcome.is_answer, took_ms, timeout_ms, waits)
            )
            done(result)

        self._loop.call(
            _build_request(method, self._address, path, data, timeout_ms),
            decode,
            on_data,
        )

    def relay(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        done: t.Callable[[HttpReply], None],
    ) -> None:
        """Send a call on behalf of a peer that cannot reach the service."""
        self._loop.call(
            _build_request(method, self._address, path, body, timeout_ms), done
        )

    def _call(
        self,
        method: str,
        path: str,
        done: ReplyCallback,
        body: t.Any = None,
        timeout_ms: int = 0,
        waits: bool = False,
        on_data: t.Callable[[], None] = lambda: None,
    ) -> None:
        """Send a call to the service or through the relay peer.

        :param timeout_ms: timeout; 0 for that of an ordinary call.
        :param waits: the service may hold the call open.
        :param on_data: called whenever bytes of the answer have arrived.
        """
        data = None if body is None else json.dumps(body).encode()
        route = self._route()
        if route is None:
            self._call_directly(
                method, path, data, timeout_ms or self._timeout(), waits, done, on_data
            )
            return
        address, prefix = route
        timeout_ms = timeout_ms or CALL_TIMEOUT_MS
        self._loop.call(
            _build_request(method, address, prefix + path, data, timeout_ms),
            lambda reply: done(_decode(reply)),
            on_data,
        )

    def read(self, key: str, done: ReplyCallback) -> None:
        """Read one key; the outcome is ``ABSENT`` if it does not exist."""
        self._call("GET", f"/api/kv-key?{urllib.parse.urlencode({'key': key})}", done)

    def read_all(
        self,
        prefix: str,
        done: ReplyCallback,
        on_data: t.Callable[[], None] = lambda: None,
    ) -> None:
        """Read all items under a prefix.

        The reply carries the revision of the first page, so that a watch from there
        also reports what changed while further pages were read.

        :param on_data: called whenever bytes of the answer have arrived.
        """
        items: list[Item] = []
        revisions: list[int] = []
        sizes: list[int] = []

        def read_page(after: str) -> None:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            path = f"/api/kv-range?{urllib.parse.urlencode(query)}"
            self._call("GET", path, on_page, on_data=on_data)

        def on_page(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                done(reply)
                return
            items.extend(reply.items)
            revisions.append(reply.revision)
            sizes.append(reply.received_bytes)
            if reply.has_more and reply.items:
                read_page(reply.items[-1].key)
            else:
                received_bytes = sum(sizes)
                done(
                    StoreReply(
                        Outcome.OK,
                        tuple(items),
                        revisions[0],
                        received_bytes=received_bytes,
                    )
                )

        read_page("")

    def watch(
        self,
        prefix: str,
        after: int,
        wait_ms: int,
        done: ReplyCallback,
        on_data: t.Callable[[], None] = lambda: None,
    ) -> None:
        """Wait for changes under a prefix.

        :param after: revision after which changes are reported.
        :param wait_ms: longest time for which the service holds the call open.
        :param on_data: called whenever bytes of the answer have arrived.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "waitMs": wait_ms}
        )
        self._call(
            "GET",
            f"/api/kv-watch?{query}",
            done,
            timeout_ms=wait_ms + WATCH_MARGIN_MS,
            waits=True,
            on_data=on_data,
        )

    def write(self, write: Write, done: ReplyCallback) -> None:
        """Write atomically; a ``CONFLICT`` reply holds the items of the conditions."""
        body = {
            "precondition": [
                {"key": key, "revision": revision} for key, revision in write.conditions
            ],
            "puts": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "lease": lease,
                }
                for key, value, lease in write.puts
            ],
            "deletes": list(write.deletes),
        }
        self._call("POST", _WRITE_PATH, done, body)

    def grant_lease(self, ttl_ms: int, done: ReplyCallback) -> None:
        """Create a lease."""
        self._call("POST", "/api/kv-lease", done, {"ttlMs": ttl_ms})

    def renew_lease(self, lease: int, done: ReplyCallback, timeout_ms: int = 0) -> None:
        """Renew a lease; the outcome is ``ABSENT`` if it has expired."""
        self._call("POST", f"/api/kv-keep/{lease}", done, {}, timeout_ms)

    def end_lease(self, lease: int, done: ReplyCallback) -> None:
        """Revoke a lease, which deletes its keys."""
        self._call("DELETE", f"/api/kv-lease-end/{lease}", done)

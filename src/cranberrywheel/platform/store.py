"""Client of the platform's key-value service."""

import base64
import binascii
import dataclasses
import enum
import json
import typing as t
import urllib.parse

from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.logs import ComponentLogger

#: The service answers in 4 ms, and in 240 ms while it is slow.
CALL_TIMEOUT_MS = 800
#: Longer than a call's, so that a waiting watch is not taken for a lost one.
WATCH_MARGIN_MS = 700
#: Entries that one write may hold.
MAX_WRITE_ENTRIES = 32

_log = ComponentLogger("store")


class Outcome(enum.Enum):
    """What is known about a call.

    ``NOT_DONE``: certainly without effect. ``UNKNOWN``: no answer; a write may have
    taken effect, or still will while its conditions hold.
    """

    OK = "ok"
    CONFLICT = "conflict"
    ABSENT = "absent"
    COMPACTED = "compacted"
    NOT_DONE = "not-done"
    UNKNOWN = "unknown"

    @property
    def is_answer(self) -> bool:
        """Whether the service answered the question."""
        return self not in (Outcome.NOT_DONE, Outcome.UNKNOWN)


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One value with the revision of its last change; ``None`` if deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReply:
    """Outcome of a call with the items that it brought.

    :param revision: of the write, or as of which a read holds.
    :param lease: id of a granted lease.
    """

    outcome: Outcome
    items: tuple[Item, ...] = ()
    revision: int = 0
    lease: int = 0
    ttl_ms: int = 0
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A conditional write.

    :param conditions: revision that each key must have; 0 for none.
    :param puts: rows of key, value and lease (0 for none).
    """

    conditions: tuple[tuple[str, int], ...] = ()
    puts: tuple[tuple[str, bytes, int], ...] = ()
    deletes: tuple[str, ...] = ()


Done = t.Callable[[StoreReply], None]

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
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error) as error:
        _log.warning("skipped an unreadable item", error=repr(error))
        return None


def _decode(reply: HttpReply) -> StoreReply:
    if reply.status == 0:
        return StoreReply(Outcome.UNKNOWN if reply.sent else Outcome.NOT_DONE)
    outcome = _OUTCOME_BY_STATUS.get(reply.status, Outcome.UNKNOWN)
    try:
        body = json.loads(reply.body) if reply.body else {}
    except ValueError:
        body = None
    if not isinstance(body, dict):
        return StoreReply(Outcome.UNKNOWN)
    if "key" in body:
        rows = [body]
    else:
        rows = body.get("items") or body.get("events") or []
    return StoreReply(
        outcome,
        tuple(item for item in map(_decode_item, rows) if item is not None),
        int(body.get("asOf") or body.get("revision") or 0),
        int(body.get("lease") or 0) if "key" not in body else 0,
        int(body.get("ttlMs") or 0),
        bool(body.get("hasMore")),
    )


class Store:
    """Calls the key-value service; ``done`` runs on the loop's thread.

    :param address: ``host:port``.
    :param on_contact: told after each direct call whether the service answered.
    :param way: returns address and path prefix of a peer that passes calls on, or
        ``None`` for direct calls.
    """

    def __init__(
        self,
        loop: HttpLoop,
        address: str,
        on_contact: t.Callable[[bool], None],
        way: t.Callable[[], tuple[str, str] | None] = lambda: None,
    ) -> None:
        self._loop = loop
        self._address = address
        self._on_contact = on_contact
        self._way = way

    def probe(self) -> None:
        """Make one direct call, only to learn whether it is answered."""
        path = "/api/kv-key?key=probe&staleOk=1"
        request = HttpRequest("GET", self._address, path, timeout_ms=CALL_TIMEOUT_MS)
        self._loop.call(
            request, lambda reply: self._on_contact(_decode(reply).outcome.is_answer)
        )

    def pass_on(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        done: t.Callable[[HttpReply], None],
    ) -> None:
        """Make a call for a peer that cannot reach the service."""
        request = HttpRequest(method, self._address, path, body, timeout_ms=timeout_ms)
        self._loop.call(request, done)

    def _call(
        self,
        method: str,
        path: str,
        done: Done,
        body: t.Any = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        way = self._way()

        def decode(reply: HttpReply) -> None:
            result = _decode(reply)
            if way is None:
                self._on_contact(result.outcome.is_answer)
            done(result)

        address, prefix = way or (self._address, "")
        data = None if body is None else json.dumps(body).encode()
        request = HttpRequest(
            method, address, prefix + path, data, timeout_ms=timeout_ms
        )
        self._loop.call(request, decode)

    def read(self, key: str, done: Done) -> None:
        """Read one key; ``ABSENT`` if there is none."""
        self._call("GET", f"/api/kv-key?{urllib.parse.urlencode({'key': key})}", done)

    def read_all(self, prefix: str, done: Done) -> None:
        """Read all items under a prefix.

        The reply's revision is the first page's, so that a watch from there misses
        nothing that changed while further pages were read.
        """
        items: list[Item] = []
        revisions: list[int] = []

        def read_page(after: str) -> None:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            path = f"/api/kv-range?{urllib.parse.urlencode(query)}"
            self._call("GET", path, on_page)

        def on_page(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                done(reply)
                return
            items.extend(reply.items)
            revisions.append(reply.revision)
            if reply.more and reply.items:
                read_page(reply.items[-1].key)
            else:
                done(StoreReply(Outcome.OK, tuple(items), revisions[0]))

        read_page("")

    def watch(self, prefix: str, after: int, wait_ms: int, done: Done) -> None:
        """Wait for changes under a prefix after a revision."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "waitMs": wait_ms}
        )
        self._call(
            "GET", f"/api/kv-watch?{query}", done, timeout_ms=wait_ms + WATCH_MARGIN_MS
        )

    def write(self, write: Write, done: Done) -> None:
        """Write all or nothing; a ``CONFLICT`` brings the conditions' items."""
        body = {
            "precondition": [{"key": k, "revision": r} for k, r in write.conditions],
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
        self._call("POST", "/api/kv-txn", done, body)

    def grant_lease(self, ttl_ms: int, done: Done) -> None:
        """Create a lease."""
        self._call("POST", "/api/kv-lease", done, {"ttlMs": ttl_ms})

    def renew_lease(
        self, lease: int, done: Done, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> None:
        """Renew a lease; ``ABSENT`` if it has ended."""
        self._call("POST", f"/api/kv-keep/{lease}", done, {}, timeout_ms)

    def end_lease(self, lease: int, done: Done) -> None:
        """End a lease and delete its keys."""
        self._call("DELETE", f"/api/kv-lease-end/{lease}", done)

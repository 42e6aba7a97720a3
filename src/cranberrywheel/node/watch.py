"""A view of all items under a prefix of the store, kept current by a watch."""

import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.platform.store import Item, Outcome, Store, StoreReply

#: Longest silence of one watch call. A connection that went silent is noticed after
#: this time and the store client's margin.
WAIT_MS = 1_000
#: Pause after a call that got no answer.
RETRY_MS = 250

_log = ComponentLogger("watch")


class PrefixWatch:
    """Reports each change of an item once, in order.

    :param on_item: called with each new or deleted item.
    :param on_ready: called once when the first full read is done.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        prefix: str,
        on_item: t.Callable[[Item], None],
        on_ready: t.Callable[[], None] = lambda: None,
    ) -> None:
        self._loop = loop
        self._store = store
        self._prefix = prefix
        self._on_item = on_item
        self._on_ready = on_ready
        self._revision_by_key: dict[str, int] = {}
        self._after = 0
        self._ready = False
        self._stopped = False
        self._failing = False

    def start(self) -> None:
        """Read everything, then follow the changes."""
        self._store.read_all(self._prefix, self._on_all)

    def stop(self) -> None:
        """Report nothing any more."""
        self._stopped = True

    def _on_all(self, reply: StoreReply) -> None:
        if self._stopped:
            return
        if reply.outcome is not Outcome.OK:
            self._retry(self.start, reply)
            return
        self._failing = False
        found = {item.key for item in reply.items}
        for key in [key for key in self._revision_by_key if key not in found]:
            self._report(Item(key, None, reply.revision))
        for item in reply.items:
            self._report(item)
        self._after = reply.revision
        if not self._ready:
            self._ready = True
            self._on_ready()
        self._follow()

    def _follow(self) -> None:
        self._store.watch(self._prefix, self._after, WAIT_MS, self._on_events)

    def _on_events(self, reply: StoreReply) -> None:
        if self._stopped:
            return
        if reply.outcome is Outcome.OK:
            self._failing = False
            for item in reply.items:
                self._report(item)
            self._after = max(self._after, reply.revision)
            self._follow()
        elif reply.outcome is Outcome.COMPACTED:
            _log.event("history is gone; reading again", prefix=self._prefix)
            self.start()
        else:
            # Changes may have been missed for longer than the history holds.
            self._retry(self.start, reply)

    def _retry(self, function: t.Callable[[], None], reply: StoreReply) -> None:
        if not self._failing:
            self._failing = True
            _log.warning(
                "watch interrupted", prefix=self._prefix, outcome=reply.outcome.value
            )
        self._loop.after(RETRY_MS, function)

    def _report(self, item: Item) -> None:
        known = self._revision_by_key.get(item.key, 0)
        if item.revision <= known:
            return
        if item.value is None:
            if not known:
                return
            del self._revision_by_key[item.key]
        else:
            self._revision_by_key[item.key] = item.revision
        self._on_item(item)

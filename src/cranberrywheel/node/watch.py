"""Reports the changes of all items under a key prefix of the store."""

import random
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply

#: Longest time for which the store holds a watch call open. A broken connection is
#: detected after this time plus the margin of the store client.
WATCH_WAIT_MS = 1_000
#: Delay before a failed read is repeated.
RETRY_MS = 250

_log = ComponentLogger("watch")


class PrefixWatch:
    """Reads all items under a prefix, then reports each change once and in order.

    :param on_item: called with each new, changed or deleted item.
    :param on_ready: called once after the first complete read.
    :param shortest_wait_ms: the store holds each watch call open for a random time from
        this to :data:`WATCH_WAIT_MS`.
    :ivar last_data_ms: steady time at which bytes of an answer last arrived.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        prefix: str,
        on_item: t.Callable[[Item], None],
        on_ready: t.Callable[[], None] = lambda: None,
        shortest_wait_ms: int = WATCH_WAIT_MS,
    ) -> None:
        self._loop = loop
        self._store = store
        self._prefix = prefix
        self._on_item = on_item
        self._on_ready = on_ready
        self._revision_by_key: dict[str, int] = {}
        self._last_revision = 0
        self._ready = False
        self._stopped = False
        self._last_answer_ms = loop.clock.now_ms()
        self._call_sent_ms = 0
        self._shortest_wait_ms = shortest_wait_ms
        self.last_data_ms = 0

    @property
    def silent_ms(self) -> int:
        """Time since a read or a watch was last answered, in milliseconds."""
        return self._loop.clock.now_ms() - self._last_answer_ms

    def start(self) -> None:
        """Read all items, then watch for changes."""
        if self._stopped:
            return
        self._call_sent_ms = self._loop.clock.now_ms()
        self._store.read_all(self._prefix, self._on_read, self._on_data)

    def read_beside(self) -> None:
        """Read all items beside the watch, which may have become silent.

        A failure has no consequence; the watch notices by itself that it is silent.
        """
        self._store.read_all(self._prefix, self._on_read_beside, self._on_data)

    def offer(self, item: Item) -> None:
        """Report an item that its writer passed on, ahead of the watch.

        An item up to the revision of the last answer is ignored, since it was reported
        or has been deleted meanwhile.
        """
        if self._ready and not self._stopped and item.revision > self._last_revision:
            self._report(item)

    def _on_data(self) -> None:
        self.last_data_ms = self._loop.clock.now_ms()

    def _on_read_beside(self, reply: StoreReply) -> None:
        if reply.outcome is Outcome.OK and not self._stopped:
            self._apply_read(reply)

    def stop(self) -> None:
        """Report no further changes."""
        self._stopped = True

    def _on_read(self, reply: StoreReply) -> None:
        if self._stopped:
            return
        if reply.outcome is not Outcome.OK:
            self._log_failure(reply, "read")
            self._loop.after(RETRY_MS, self.start)
            return
        if self._ready:
            self._log_read(reply)
        self._last_answer_ms = self._loop.clock.now_ms()
        self._apply_read(reply)
        # The watch goes on also if the callback fails.
        self._watch_changes()
        if not self._ready:
            self._ready = True
            self._on_ready()

    def _apply_read(self, reply: StoreReply) -> None:
        """Report the changes since what was last reported, deletions first."""
        found = {item.key for item in reply.items}
        for key in [key for key in self._revision_by_key if key not in found]:
            self._report(Item(key, None, reply.revision))
        for item in reply.items:
            self._report(item)
        self._last_revision = max(self._last_revision, reply.revision)

    def _log_read(self, reply: StoreReply) -> None:
        """Log what a repeated read found, so that a late change can be explained.

        A change up to the revision of the last watch was skipped by that watch; a later
        one came while no watch was answered.
        """
        revisions = [
            item.revision
            for item in reply.items
            if item.revision > self._revision_by_key.get(item.key, 0)
        ]
        _log.event(
            "all items read again",
            prefix=self._prefix,
            changed=len(revisions),
            skipped=sum(revision <= self._last_revision for revision in revisions),
            silent_ms=self.silent_ms,
            took_ms=self._loop.clock.now_ms() - self._call_sent_ms,
            received_bytes=reply.received_bytes,
        )

    def _watch_changes(self) -> None:
        self._call_sent_ms = self._loop.clock.now_ms()
        wait_ms = random.randint(self._shortest_wait_ms, WATCH_WAIT_MS)
        self._store.watch(
            self._prefix, self._last_revision, wait_ms, self._on_events, self._on_data
        )

    def _on_events(self, reply: StoreReply) -> None:
        if self._stopped:
            return
        if reply.outcome is Outcome.OK:
            self._last_answer_ms = self._loop.clock.now_ms()
            for item in reply.items:
                self._report(item)
            self._last_revision = max(self._last_revision, reply.revision)
            self._watch_changes()
        elif reply.outcome is Outcome.COMPACTED:
            _log.event(
                "store history compacted; reading all items again", prefix=self._prefix
            )
            self.start()
        else:
            # Changes may have been compacted meanwhile, so everything is read again, at
            # once: the timeout of the watch was long enough a delay.
            self._log_failure(reply, "watch")
            self.start()

    def _log_failure(self, reply: StoreReply, call: str) -> None:
        _log.warning(
            "store read or watch failed; reading all items again",
            prefix=self._prefix,
            call=call,
            outcome=reply.outcome.value,
            error=reply.error,
            took_ms=self._loop.clock.now_ms() - self._call_sent_ms,
            received_bytes=reply.received_bytes,
            silent_ms=self.silent_ms,
        )

    def _report(self, item: Item) -> None:
        known_revision = self._revision_by_key.get(item.key, 0)
        if item.revision <= known_revision:
            return
        if item.value is None:
            if not known_revision:
                return
            del self._revision_by_key[item.key]
        else:
            self._revision_by_key[item.key] = item.revision
        try:
            self._on_item(item)
        except Exception as error:
            # Without this guard one malformed record would end the watch, and the
            # process would act on the last state that it had seen.
            _log.failure("item not applied", error, key=item.key)

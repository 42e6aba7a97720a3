"""Deletes withdrawal records once no write of their submissions can be under way."""

import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.keys import LEADER_KEY
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply, Write

#: Time for which a withdrawal record is kept. A process repeats the write of a
#: submission for up to 60 s, the longest wait of a caller, and the store may carry out
#: the last one seconds later.
RETENTION_MS = 180_000
#: Records in one write: each takes a condition and a deletion, and with the condition
#: on the leader record a write may hold 32 entries.
RECORDS_PER_WRITE = 15
#: Delay before a failed write is repeated.
RETRY_MS = 1_000

_log = ComponentLogger("withdrawals")


class WithdrawalCleanup:
    """Withdrawal records that one leadership knows, and their deletion.

    All methods run on the loop's thread. A new leader keeps each record for the whole
    retention time again, since the records hold no time.

    :param fence: fencing token of the leadership.
    """

    def __init__(self, loop: HttpLoop, store: Store, fence: int) -> None:
        self._loop = loop
        self._store = store
        self._fence = fence
        self._item_by_key: dict[str, Item] = {}
        # In the order of the keys above, so the first is the next to be deleted.
        self._due_ms_by_key: dict[str, int] = {}
        self._is_writing = False
        self._stopped = False

    def stop(self) -> None:
        """Delete no further records."""
        self._stopped = True

    def add(self, item: Item) -> None:
        """Keep a record, from now on, for the retention time."""
        self.remove(item.key)
        self._item_by_key[item.key] = item
        self._due_ms_by_key[item.key] = self._loop.clock.now_ms() + RETENTION_MS

    def remove(self, key: str) -> None:
        """Forget a record that was deleted or replaced by another process."""
        self._item_by_key.pop(key, None)
        self._due_ms_by_key.pop(key, None)

    def delete_due(self) -> None:
        """Begin to delete the records whose retention time is over."""
        if self._is_writing or self._stopped:
            return
        now_ms = self._loop.clock.now_ms()
        due: list[Item] = []
        for key, due_ms in self._due_ms_by_key.items():
            if due_ms > now_ms or len(due) == RECORDS_PER_WRITE:
                break
            due.append(self._item_by_key[key])
        if due:
            self._delete(due)

    def _delete(self, due: t.Sequence[Item]) -> None:
        self._is_writing = True
        conditions = [(LEADER_KEY, self._fence)]
        conditions += [(item.key, item.revision) for item in due]
        write = Write(tuple(conditions), deletes=tuple(item.key for item in due))
        self._store.write(write, lambda reply: self._on_deleted(due, reply))

    def _on_deleted(self, due: t.Sequence[Item], reply: StoreReply) -> None:
        if reply.outcome is Outcome.OK:
            self._is_writing = False
            for item in due:
                self._forget(item)
            _log.event("withdrawal records deleted", count=len(due))
            return
        if reply.outcome is Outcome.CONFLICT:
            # A record that has changed is reported again by the watch.
            revision_by_key = {item.key: item.revision for item in reply.items}
            for item in due:
                if revision_by_key.get(item.key) != item.revision:
                    self._forget(item)
        self._loop.after(RETRY_MS, self._end_write)

    def _forget(self, item: Item) -> None:
        """Forget a record unless the watch has reported a newer one meanwhile."""
        if self._item_by_key.get(item.key) is item:
            self.remove(item.key)

    def _end_write(self) -> None:
        self._is_writing = False

"""Records of the executors, from which the next leader learns where runs may be.

The entry that an executor registers expires while the executor is cut off, although its
runs go on. Its record remains until nothing can run there any more.
"""

import dataclasses
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.node.keys import EXECUTOR_PREFIX, LEADER_KEY
from cranberrywheel.platform import executors as wire
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply, Write
from cranberrywheel.submission.executor import LATE_START_MS
from cranberrywheel.submission.executor_orders import ExecutorEntry
from cranberrywheel.submission.scheduler import Scheduler

#: Delay before a failed write is repeated.
RETRY_MS = 300


@dataclasses.dataclass(slots=True)
class _Record:
    """Record of one executor in the store.

    :ivar revision: last known revision of the record; 0 if there is none.
    :ivar stored: entry that the record certainly holds; ``None`` if not known.
    :ivar wanted: entry that it shall hold; ``None`` for a deleted record.
    :ivar value: encoded form of ``wanted``.
    :ivar is_writing: a write is under way.
    :ivar due_boot: boot that is stored later if it is still the present one.
    """

    revision: int = 0
    stored: ExecutorEntry | None = None
    wanted: ExecutorEntry | None = None
    value: bytes = b""
    is_writing: bool = False
    due_boot: int | None = None


def _has_same_place(stored: ExecutorEntry | None, entry: ExecutorEntry) -> bool:
    """Tell whether the next leader finds the executor and holds back its work.

    It polls the recorded address and holds back the work of the recorded service. A
    recorded boot that is too old does no harm, since the answer names the present one.
    """
    return (
        stored is not None
        and stored.address == entry.address
        and stored.service == entry.service
    )


class ExecutorRecords:
    """Keeps the records up to date while this process leads.

    No run starts on an executor whose record does not name its address and service.
    All methods run on the loop's thread.

    :param request_pass: called when an executor may get runs.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        scheduler: Scheduler,
        request_pass: t.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._scheduler = scheduler
        self._request_pass = request_pass
        self._stopped = False
        self._record_by_id: dict[str, _Record] = {}

    def stop(self) -> None:
        """Write nothing further."""
        self._stopped = True

    def load(self, item: Item) -> ExecutorEntry | None:
        """Take a record that is in the store.

        :returns: the recorded entry, or ``None`` if it is invalid.
        """
        executor_id = item.key[len(EXECUTOR_PREFIX) :]
        entry = wire.decode_executor(executor_id, item.value or b"")
        self._record_by_id[executor_id] = _Record(item.revision, entry)
        return entry

    def update(self, entry: ExecutorEntry, value: bytes) -> None:
        """Store an executor's entry if the record differs from it.

        :param value: encoded entry.
        """
        record = self._record_by_id.setdefault(entry.id, _Record())
        record.wanted, record.value = entry, value
        self._update_executor(record, entry)
        self._write_if_needed(record)

    def delete(self, executor_id: str) -> None:
        """Delete the record of an executor on which nothing can run.

        If the deletion fails, the next leader waits for the lease of the executor.
        """
        record = self._record_by_id.get(executor_id)
        if record is None:
            return
        record.wanted = record.stored = None
        revision = record.revision
        key = EXECUTOR_PREFIX + executor_id

        def on_reply(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK or record.revision != revision:
                return
            record.revision = 0
            if record.wanted is None:
                self._record_by_id.pop(executor_id, None)

        # A deletion that takes effect late must not remove a newer record.
        conditions = ((LEADER_KEY, self._scheduler.fence), (key, revision))
        self._store.write(Write(conditions, (), (key,)), on_reply)

    def _update_executor(self, record: _Record, entry: ExecutorEntry) -> None:
        executor = self._scheduler.executors_by_id.get(entry.id)
        if executor is not None:
            executor.recorded = _has_same_place(record.stored, entry)
            self._scheduler.dirty_services.add(entry.service)

    def _write_if_needed(self, record: _Record) -> None:
        entry = record.wanted
        if record.is_writing or self._stopped or entry is None:
            return
        if not _has_same_place(record.stored, entry):
            # A write without an answer may take effect later.
            record.stored = None
            self._write(record, entry)
        elif record.stored is not None and record.stored.boot != entry.boot:
            self._write_boot_later(record, entry.boot)

    def _write_boot_later(self, record: _Record, boot: int) -> None:
        """Store a new boot once no start for the earlier one can arrive any more.

        Until then the record shows the next leader that the executor has restarted, so
        that it waits for a run that such a start may have begun.
        """
        if record.due_boot == boot:
            return
        record.due_boot = boot

        def write() -> None:
            if record.due_boot != boot:
                return
            record.due_boot = None
            entry = record.wanted
            if entry is None or self._stopped or record.is_writing:
                return
            if _has_same_place(record.stored, entry) and entry.boot == boot:
                self._write(record, entry)

        self._loop.after(LATE_START_MS, write)

    def _write(self, record: _Record, entry: ExecutorEntry) -> None:
        record.is_writing = True
        key = EXECUTOR_PREFIX + entry.id
        # The fencing token is the revision of the leader record, so the write takes
        # effect only while this leadership lasts.
        conditions = ((LEADER_KEY, self._scheduler.fence), (key, record.revision))
        self._store.write(
            Write(conditions, ((key, record.value, 0),)),  # 0: no lease
            lambda reply: self._on_written(record, entry, reply),
        )

    def _on_written(
        self, record: _Record, entry: ExecutorEntry, reply: StoreReply
    ) -> None:
        record.is_writing = False
        if self._stopped:
            return
        if reply.outcome is Outcome.OK:
            record.revision = reply.revision
            record.stored = entry
            if record.wanted is not None:
                self._update_executor(record, record.wanted)
                self._request_pass()
        elif reply.outcome is Outcome.CONFLICT:
            revision_by_key = {item.key: item.revision for item in reply.items}
            if revision_by_key.get(LEADER_KEY, 0) != self._scheduler.fence:
                return  # there is a newer leader
            record.revision = revision_by_key.get(EXECUTOR_PREFIX + entry.id, 0)
        else:
            self._loop.after(RETRY_MS, lambda: self._write_if_needed(record))
            return
        self._write_if_needed(record)

"""Stores submissions, batching the records of many callers into one write."""

import collections
import dataclasses
import enum
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.keys import FINAL_SUFFIX, submission_key
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply, Write
from cranberrywheel.submission.model import Submission
from cranberrywheel.submission.record import decode_withdrawal, encode_submission

#: Conditions, puts and deletions that the store accepts in one write.
MAX_WRITE_ENTRIES = 32
#: Concurrent writes; while they run, further submissions collect into a larger batch.
MAX_CONCURRENT_WRITES = 3
#: Delay before a write that failed is retried.
RETRY_MS = 150

_log = ComponentLogger("intake")


class Acceptance(enum.Enum):
    """Whether a submission was stored.

    ``NOT_STORED``: it is not stored and never will be. ``WITHDRAWN``: neither, since
    its organisation has cancelled it before. ``UNKNOWN``: it may be stored.
    """

    STORED = "stored"
    NOT_STORED = "not-stored"
    WITHDRAWN = "withdrawn"
    UNKNOWN = "unknown"


@dataclasses.dataclass
class _PendingSubmission:
    submission: Submission
    done: t.Callable[[Acceptance], None]
    deadline_ms: int
    may_be_stored: bool = False
    #: Revision of the withdrawal record of other organisations; 0 if there is none.
    withdrawal_revision: int = 0

    @property
    def entries(self) -> int:
        """Entries in a write: two conditions, a put and sometimes a deletion."""
        return 4 if self.withdrawal_revision else 3


class Intake:
    """Stores submissions; all methods run on the loop's thread.

    :param can_write: returns whether calls can reach the store at this moment.
    :param on_stored: called with the records of each write.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        can_write: t.Callable[[], bool] = lambda: True,
        on_stored: t.Callable[[t.Sequence[Item]], None] = lambda items: None,
    ) -> None:
        self._loop = loop
        self._on_stored = on_stored
        self._store = store
        self._can_write = can_write
        self._pending: collections.deque[_PendingSubmission] = collections.deque()
        self._active_writes = 0

    def submit(
        self,
        submission: Submission,
        deadline_ms: int,
        done: t.Callable[[Acceptance], None],
    ) -> None:
        """Store a submission; repeated calls with the same id store it once.

        :param deadline_ms: steady time in milliseconds up to which failed writes are
            retried.
        """
        item = _PendingSubmission(submission, done, deadline_ms)
        if self._can_write():
            self._pending.append(item)
            self._start_writes()
        else:
            self._fail(item)

    def _start_writes(self) -> None:
        while self._pending and self._active_writes < MAX_CONCURRENT_WRITES:
            by_id: dict[str, _PendingSubmission] = {}
            entries = 0
            while self._pending:
                item = self._pending[0]
                entries += item.entries
                # One write may contain each record only once.
                if item.submission.id in by_id or entries > MAX_WRITE_ENTRIES:
                    break
                by_id[item.submission.id] = self._pending.popleft()
            self._write(list(by_id.values()))

    def _write(self, pending: list[_PendingSubmission]) -> None:
        self._active_writes += 1
        conditions: list[tuple[str, int]] = []
        puts: list[tuple[str, bytes, int]] = []
        deletes: list[str] = []
        for item in pending:
            key = submission_key(item.submission.id)
            # Revision 0 requires that the key is absent; lease 0 means no lease.
            conditions += [(key, 0), (key + FINAL_SUFFIX, item.withdrawal_revision)]
            puts.append((key, encode_submission(item.submission), 0))
            if item.withdrawal_revision:
                deletes.append(key + FINAL_SUFFIX)

        sent_ms = self._loop.clock.now_ms()

        def on_reply(reply: StoreReply) -> None:
            self._active_writes -= 1
            if reply.outcome is Outcome.OK:
                self._on_stored(
                    [Item(key, value, reply.revision) for key, value, _ in puts]
                )
            elif not reply.outcome.is_answer:
                _log.warning(
                    "write of submissions not confirmed",
                    requests=",".join(item.submission.id for item in pending),
                    outcome=reply.outcome.value,
                    error=reply.error,
                    took_ms=self._loop.clock.now_ms() - sent_ms,
                )
            self._on_written(pending, reply)
            self._start_writes()

        write = Write(tuple(conditions), tuple(puts), tuple(deletes))
        self._store.write(write, on_reply)

    def _on_written(self, pending: list[_PendingSubmission], reply: StoreReply) -> None:
        if reply.outcome is Outcome.OK:
            for item in pending:
                item.done(Acceptance.STORED)
        elif reply.outcome is Outcome.CONFLICT and len(pending) == 1:
            self._on_conflict(pending[0], reply)
        elif reply.outcome is Outcome.CONFLICT:
            for item in pending:
                self._write([item])
        else:
            for item in pending:
                item.may_be_stored |= reply.outcome is not Outcome.NOT_DONE
                self._retry_or_fail(item)

    def _on_conflict(self, item: _PendingSubmission, reply: StoreReply) -> None:
        """Tell a duplicate of a stored submission from one that was withdrawn."""
        key = submission_key(item.submission.id)
        found_by_key = {found.key: found for found in reply.items}
        final = found_by_key.get(key + FINAL_SUFFIX)
        withdrawn_by = decode_withdrawal(final.value or b"") if final else frozenset()
        if item.submission.organisation in withdrawn_by:
            _log.event(
                "submission was withdrawn before",
                request=item.submission.id,
                organisation=item.submission.organisation,
            )
            item.done(Acceptance.WITHDRAWN)
        elif key in found_by_key or (final and not withdrawn_by):
            item.done(Acceptance.STORED)
        else:
            # Only other organisations have withdrawn this id, or the record was deleted
            # in the meantime.
            item.withdrawal_revision = final.revision if final else 0
            self._retry_or_fail(item)

    def _retry_or_fail(self, item: _PendingSubmission) -> None:
        has_time_left = self._loop.clock.now_ms() + RETRY_MS < item.deadline_ms
        # After an attempt with an unknown outcome a retry shows whether it was stored.
        # Otherwise, while the store is unreachable, the caller is told at once, so that
        # it can try another instance.
        if has_time_left and (item.may_be_stored or self._can_write()):

            def retry() -> None:
                self._pending.append(item)
                self._start_writes()

            self._loop.after(RETRY_MS, retry)
            return
        self._fail(item)

    def _fail(self, item: _PendingSubmission) -> None:
        acceptance = Acceptance.UNKNOWN if item.may_be_stored else Acceptance.NOT_STORED
        _log.warning(
            "submission not stored",
            request=item.submission.id,
            outcome=acceptance.value,
        )
        item.done(acceptance)

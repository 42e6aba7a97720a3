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
from cranberrywheel.submission.record import encode_submission

#: Submissions in one write: each takes two conditions and one put, and a write holds
#: at most 32 entries.
SUBMISSIONS_PER_WRITE = 10
#: Concurrent writes; while they run, further submissions collect into a larger batch.
MAX_CONCURRENT_WRITES = 3
#: Delay before a write that failed is retried.
RETRY_MS = 150

_log = ComponentLogger("intake")


class Acceptance(enum.Enum):
    """Whether a submission was stored.

    ``NOT_STORED``: it is not stored and never will be. ``UNKNOWN``: it may be stored.
    """

    STORED = "stored"
    NOT_STORED = "not-stored"
    UNKNOWN = "unknown"


@dataclasses.dataclass
class _PendingSubmission:
    submission: Submission
    done: t.Callable[[Acceptance], None]
    deadline_ms: int
    may_be_stored: bool = False


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
            # One write may contain each record only once.
            while self._pending and len(by_id) < SUBMISSIONS_PER_WRITE:
                if self._pending[0].submission.id in by_id:
                    break
                item = self._pending.popleft()
                by_id[item.submission.id] = item
            self._write(list(by_id.values()))

    def _write(self, pending: list[_PendingSubmission]) -> None:
        self._active_writes += 1
        conditions: list[tuple[str, int]] = []
        puts: list[tuple[str, bytes, int]] = []
        for item in pending:
            key = submission_key(item.submission.id)
            # Revision 0 requires that the key is absent; lease 0 means no lease.
            conditions += [(key, 0), (key + FINAL_SUFFIX, 0)]
            puts.append((key, encode_submission(item.submission), 0))

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

        self._store.write(Write(tuple(conditions), tuple(puts)), on_reply)

    def _on_written(self, pending: list[_PendingSubmission], reply: StoreReply) -> None:
        if reply.outcome is Outcome.OK:
            for item in pending:
                item.done(Acceptance.STORED)
        elif reply.outcome is Outcome.CONFLICT and len(pending) == 1:
            # The submission is already stored, so this one is a duplicate.
            pending[0].done(Acceptance.STORED)
        elif reply.outcome is Outcome.CONFLICT:
            for item in pending:
                self._write([item])
        else:
            for item in pending:
                item.may_be_stored |= reply.outcome is not Outcome.NOT_DONE
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

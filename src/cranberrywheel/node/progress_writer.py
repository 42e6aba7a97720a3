"""Writes the progress and the final states of submissions for the leader."""

import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.node.keys import (
    CANCEL_SUFFIX,
    FINAL_SUFFIX,
    LEADER_KEY,
    PROGRESS_SUFFIX,
    submission_key,
)
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Outcome, StoreReply, Write
from cranberrywheel.submission.live import LiveSubmission
from cranberrywheel.submission.model import Submission
from cranberrywheel.submission.record import (
    encode_final_state,
    encode_progress,
    encode_submission,
)
from cranberrywheel.submission.scheduler import Scheduler

#: Submissions in one write. Each takes up to two conditions and two puts, or a
#: condition, a put and three deletions. With the condition on the leader record, six
#: submissions take at most 31 entries; the store accepts 32 in one write.
SUBMISSIONS_PER_WRITE = 6
#: Concurrent progress writes.
MAX_CONCURRENT_WRITES = 3
#: Shortest and longest delay after a write that failed; it doubles with each in a row.
MIN_RETRY_MS, MAX_RETRY_MS = 20, 300


class ProgressWriter:
    """Progress records of one leadership. All methods run on the loop's thread.

    :param request_pass: requests a scheduling pass, which also writes what changed.
    :param step_down: called with a reason when there is a newer leader.
    :param note_revision: called with the revision of each write.
    :ivar active_writes: writes that are not answered yet.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        scheduler: Scheduler,
        request_pass: t.Callable[[], None],
        step_down: t.Callable[[str], None],
        note_revision: t.Callable[[int], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._scheduler = scheduler
        self._request_pass = request_pass
        self._step_down = step_down
        self._note_revision = note_revision
        self._stopped = False
        self._ids_in_write: set[str] = set()
        self._failures_in_a_row = 0
        self._retry_ms = 0
        self.active_writes = 0

    def stop(self) -> None:
        """Ignore answers that are still outstanding."""
        self._stopped = True

    def write_changes(self) -> None:
        """Write the changed submissions, as far as the limit of writes allows."""
        if self._loop.clock.now_ms() < self._retry_ms:
            return
        unsaved = self._scheduler.unsaved_by_id
        while unsaved and self.active_writes < MAX_CONCURRENT_WRITES:
            batch = [
                live for key, live in unsaved.items() if key not in self._ids_in_write
            ]
            if not batch:
                return
            self._write_batch(batch[:SUBMISSIONS_PER_WRITE])

    def _write_batch(self, batch: list[LiveSubmission]) -> None:
        conditions: list[tuple[str, int]] = [(LEADER_KEY, self._scheduler.fence)]
        # Key, value and lease id; 0 means no lease.
        puts: list[tuple[str, bytes, int]] = []
        deletes: list[str] = []
        versions: list[tuple[LiveSubmission, int]] = []
        renewed: list[tuple[LiveSubmission, Submission]] = []
        for live in batch:
            submission_id = live.submission.id
            key = submission_key(submission_id)
            self._scheduler.unsaved_by_id.pop(submission_id, None)
            self._ids_in_write.add(submission_id)
            versions.append((live, live.version))
            conditions.append((key + PROGRESS_SUFFIX, live.progress_revision))
            if live.final_state:
                value = encode_final_state(live.final_state, live.submission.queue)
                puts.append((key + FINAL_SUFFIX, value, 0))
                deletes += [key, key + CANCEL_SUFFIX]
                if live.progress_revision:
                    deletes.append(key + PROGRESS_SUFFIX)
            else:
                value = encode_progress(live.build_progress())
                puts.append((key + PROGRESS_SUFFIX, value, 0))
                if live.has_outdated_terms:
                    submission = self._scheduler.renew_terms(live)
                    renewed.append((live, submission))
                    puts.append((key, encode_submission(submission), 0))
                    # A write that takes effect late must not bring it back.
                    conditions.append((key + FINAL_SUFFIX, 0))
        self.active_writes += 1
        self._store.write(
            Write(tuple(conditions), tuple(puts), tuple(deletes)),
            lambda reply: self._on_written(versions, renewed, reply),
        )

    def _on_written(
        self,
        versions: list[tuple[LiveSubmission, int]],
        renewed: list[tuple[LiveSubmission, Submission]],
        reply: StoreReply,
    ) -> None:
        self.active_writes -= 1
        for live, _ in versions:
            self._ids_in_write.discard(live.submission.id)
        if self._stopped:
            return
        if reply.outcome is Outcome.OK:
            self._failures_in_a_row = self._retry_ms = 0
            self._note_revision(reply.revision)
            for live, submission in renewed:
                live.submission = submission
            for live, version in versions:
                live.progress_revision = reply.revision
                self._scheduler.on_stored(live, version)
            for executor in self._scheduler.executors_by_id.values():
                executor.advance_acknowledged()
            self._request_pass()
            return
        for live, _ in versions:
            if not live.final_stored:
                self._scheduler.unsaved_by_id[live.submission.id] = live
        if reply.outcome is Outcome.CONFLICT:
            self._on_conflict(versions, reply)
        else:
            self._delay_next_write()

    def _delay_next_write(self) -> None:
        """Begin no write for a time, although passes go on."""
        now_ms = self._loop.clock.now_ms()
        if now_ms >= self._retry_ms:  # otherwise it was sent before the delay
            delay_ms = MIN_RETRY_MS << min(self._failures_in_a_row, 10)
            self._retry_ms = now_ms + min(delay_ms, MAX_RETRY_MS)
            self._failures_in_a_row += 1
        self._loop.after(self._retry_ms - now_ms, self._request_pass)

    def _on_conflict(
        self, versions: list[tuple[LiveSubmission, int]], reply: StoreReply
    ) -> None:
        """Adopt the current revisions, since an earlier write may have arrived late."""
        revision_by_key = {item.key: item.revision for item in reply.items}
        if revision_by_key.get(LEADER_KEY, 0) != self._scheduler.fence:
            self._step_down("the leader record has changed")
            return
        for live, _ in versions:
            key = submission_key(live.submission.id) + PROGRESS_SUFFIX
            live.progress_revision = revision_by_key.get(key, 0)
        self._request_pass()

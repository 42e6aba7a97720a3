"""Takes submissions in: many callers' records in one write to the store."""

import collections
import dataclasses
import enum
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.keys import FINAL_SUFFIX, submission_key
from cranberrywheel.platform.store import Outcome, Store, StoreReply, Write
from cranberrywheel.submission.model import Submission
from cranberrywheel.submission.record import encode_submission

#: Submissions in one write: two conditions and one put each, of 32 entries.
BATCH = 10
#: Writes under way at once; a further one waits so that it can carry more.
MAX_WRITES = 3
#: Pause before a write that did not happen is tried again.
RETRY_MS = 150

_log = ComponentLogger("intake")


class Acceptance(enum.Enum):
    """How a submission was taken in.

    ``NOT_STORED``: certainly not, and it never will be. ``UNKNOWN``: it may be.
    """

    STORED = "stored"
    NOT_STORED = "not-stored"
    UNKNOWN = "unknown"


@dataclasses.dataclass
class _Entry:
    submission: Submission
    done: t.Callable[[Acceptance], None]
    give_up_ms: int
    attempted: bool = False


class Intake:
    """Stores submissions; all methods run on the loop's thread.

    :param can_write: whether a call has a way to the store at this moment.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        can_write: t.Callable[[], bool] = lambda: True,
    ) -> None:
        self._loop = loop
        self._store = store
        self._can_write = can_write
        self._waiting: collections.deque[_Entry] = collections.deque()
        self._writes = 0

    def submit(
        self,
        submission: Submission,
        give_up_ms: int,
        done: t.Callable[[Acceptance], None],
    ) -> None:
        """Store a submission, once, however often it is handed in.

        :param give_up_ms: steady time at which the caller gets its answer.
        """
        entry = _Entry(submission, done, give_up_ms)
        if self._can_write():
            self._waiting.append(entry)
            self._pump()
        else:
            self._give_up(entry)

    def _pump(self) -> None:
        while self._waiting and self._writes < MAX_WRITES:
            by_id: dict[str, _Entry] = {}
            # A record may stand in one write only once.
            while self._waiting and len(by_id) < BATCH:
                if self._waiting[0].submission.id in by_id:
                    break
                entry = self._waiting.popleft()
                by_id[entry.submission.id] = entry
            self._write(list(by_id.values()))

    def _write(self, entries: list[_Entry]) -> None:
        self._writes += 1
        conditions: list[tuple[str, int]] = []
        puts: list[tuple[str, bytes, int]] = []
        for entry in entries:
            key = submission_key(entry.submission.id)
            conditions += [(key, 0), (key + FINAL_SUFFIX, 0)]
            puts.append((key, encode_submission(entry.submission), 0))

        def on_reply(reply: StoreReply) -> None:
            self._writes -= 1
            self._on_written(entries, reply)
            self._pump()

        self._store.write(Write(tuple(conditions), tuple(puts)), on_reply)

    def _on_written(self, entries: list[_Entry], reply: StoreReply) -> None:
        if reply.outcome is Outcome.OK:
            for entry in entries:
                entry.done(Acceptance.STORED)
        elif reply.outcome is Outcome.CONFLICT and len(entries) == 1:
            # The same submission came before; it remains one.
            entries[0].done(Acceptance.STORED)
        elif reply.outcome is Outcome.CONFLICT:
            for entry in entries:
                self._write([entry])
        else:
            for entry in entries:
                entry.attempted |= reply.outcome is not Outcome.NOT_DONE
                self._try_again(entry)

    def _try_again(self, entry: _Entry) -> None:
        in_time = self._loop.clock.now_ms() + RETRY_MS < entry.give_up_ms
        # An attempt whose end is not known is worth the wait: its repetition finds
        # out. Otherwise the caller is told at once to try elsewhere.
        if in_time and (entry.attempted or self._can_write()):

            def retry() -> None:
                self._waiting.append(entry)
                self._pump()

            self._loop.after(RETRY_MS, retry)
            return
        self._give_up(entry)

    def _give_up(self, entry: _Entry) -> None:
        verdict = Acceptance.UNKNOWN if entry.attempted else Acceptance.NOT_STORED
        _log.warning(
            "submission not stored",
            request=entry.submission.id,
            outcome=verdict.value,
        )
        entry.done(verdict)

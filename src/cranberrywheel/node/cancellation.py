"""Cancels submissions, and keeps those that are not stored yet from being stored.

A read that finds no submission does not show that there will be none: the write of the
process that took it may still be under way. A withdrawal record makes that write fail,
so a caller who is told that the submission does not exist can rely on it.
"""

import dataclasses
import enum
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.keys import CANCEL_SUFFIX, FINAL_SUFFIX, submission_key
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply, Write
from cranberrywheel.submission.organisation_shares import OrganisationShares
from cranberrywheel.submission.record import decode_withdrawal, encode_withdrawal

#: Delay before a failed store call is repeated.
RETRY_MS = 250
#: Withdrawal records that an organisation may cause per second and process. Each one
#: occupies the store for minutes.
WITHDRAWALS_PER_S = 50.0

_log = ComponentLogger("cancellation")


class CancelResult(enum.Enum):
    """Answer to a cancellation.

    ``CANCELLED``: it is stored, or the submission has ended. ``WITHDRAWN``: there is no
    such submission, and none of the caller's organisation will be stored under this id.
    ``TOO_MANY``: nothing was done, since the organisation has cancelled too many
    submissions that do not exist.
    """

    CANCELLED = "cancelled"
    WITHDRAWN = "withdrawn"
    TOO_MANY = "too-many"


@dataclasses.dataclass
class _PendingCancellation:
    submission_id: str
    organisation: str
    deadline_ms: int
    done: t.Callable[[CancelResult], None]
    is_counted: bool = False

    @property
    def key(self) -> str:
        return submission_key(self.submission_id)


class Cancellations:
    """Cancellations of this process; all methods run on the loop's thread.

    :param on_stored: called with the record of each cancellation.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        on_stored: t.Callable[[t.Sequence[Item]], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._on_stored = on_stored
        self._withdrawal_shares = OrganisationShares()

    def cancel(
        self,
        submission_id: str,
        organisation: str,
        deadline_ms: int,
        done: t.Callable[[CancelResult], None],
    ) -> None:
        """Cancel a submission.

        :param deadline_ms: steady time in milliseconds up to which failed calls are
            repeated; ``done`` is not called if none succeeds.
        """
        self._read(_PendingCancellation(submission_id, organisation, deadline_ms, done))

    def _read(self, pending: _PendingCancellation) -> None:
        self._store.read_all(pending.key, lambda reply: self._on_read(pending, reply))

    def _retry(self, pending: _PendingCancellation) -> None:
        # After the deadline CallerApi has stopped waiting and has told the caller that
        # the outcome is unknown.
        if self._loop.clock.now_ms() + RETRY_MS < pending.deadline_ms:
            self._loop.after(RETRY_MS, lambda: self._read(pending))

    def _on_read(self, pending: _PendingCancellation, reply: StoreReply) -> None:
        if reply.outcome is not Outcome.OK:
            self._retry(pending)
            return
        key = pending.key
        item_by_key = {item.key: item for item in reply.items}
        _log.event(
            "records read",
            request=pending.submission_id,
            found=",".join(item_by_key) or "none",
            revision=reply.revision,
        )
        final = item_by_key.get(key + FINAL_SUFFIX)
        withdrawn_by = decode_withdrawal(final.value or b"") if final else frozenset()
        if pending.organisation in withdrawn_by:
            pending.done(CancelResult.WITHDRAWN)
        elif key + CANCEL_SUFFIX in item_by_key or (final and not withdrawn_by):
            pending.done(CancelResult.CANCELLED)
        elif key in item_by_key:
            self._store_cancellation(pending, item_by_key[key])
        else:
            self._withdraw(pending, final, withdrawn_by)

    def _store_cancellation(self, pending: _PendingCancellation, found: Item) -> None:
        key = pending.key + CANCEL_SUFFIX

        def on_written(reply: StoreReply) -> None:
            if reply.outcome is Outcome.OK:
                self._on_stored([Item(key, b"{}", reply.revision)])
                pending.done(CancelResult.CANCELLED)
            else:
                self._retry(pending)

        put = (key, b"{}", 0)  # 0: no lease
        self._store.write(Write(((found.key, found.revision),), (put,)), on_written)

    def _withdraw(
        self,
        pending: _PendingCancellation,
        final: Item | None,
        withdrawn_by: frozenset[str],
    ) -> None:
        """Store a withdrawal record under the condition that nothing was stored.

        :param final: withdrawal record of other organisations, if there is one.
        """
        now_ms = self._loop.clock.now_ms()
        if not pending.is_counted:
            if not self._withdrawal_shares.take(
                pending.organisation, WITHDRAWALS_PER_S, now_ms
            ):
                pending.done(CancelResult.TOO_MANY)
                return
            pending.is_counted = True
        final_key = pending.key + FINAL_SUFFIX
        conditions = ((pending.key, 0), (final_key, final.revision if final else 0))
        value = encode_withdrawal(withdrawn_by | {pending.organisation})

        def on_written(reply: StoreReply) -> None:
            if reply.outcome is Outcome.OK:
                _log.event(
                    "withdrawal stored",
                    request=pending.submission_id,
                    organisation=pending.organisation,
                    revision=reply.revision,
                )
                pending.done(CancelResult.WITHDRAWN)
            else:
                self._retry(pending)

        self._store.write(Write(conditions, ((final_key, value, 0),)), on_written)

"""Operators' changes of the ``configuration`` record."""

import concurrent.futures
import dataclasses
import random
import typing as t

from cranberrywheel.errors import (
    ConfigurationError,
    CranberrywheelError,
    NotReadyError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from cranberrywheel.logs import PartLogger
from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel.process.messages import ApplyConfiguration, CreateKey, RevokeKey
from cranberrywheel.process.record_writer import RecordWriter
from cranberrywheel.settings import EntrySettings
from cranberrywheel.version.adoption import (
    CONFIGURATION_KEY,
    dump_body,
    read_snapshot,
)
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel.version.differences import list_differences
from cranberrywheel.version.keys import create_key
from cranberrywheel.version.records import StoredRecord, WriteOutcome

#: How long an operator waits for an unavailable store.
OPERATION_TIMEOUT_MS = 10_000
#: Conflicts with other writers, of keys for example, that one change survives.
MAX_CONFLICTS = 5
#: Entries other than the one that accepted a withdrawal write it after a random
#: delay in this range, so that usually one of them does.
MARK_DELAY_MS = (1_000, 3_000)

STOPPING = NotReadyError("This entry is shutting down.", "Ask another entry.")

#: Derives the next body from the present record, and the operator's result.
Change = t.Callable[[StoredRecord | None], tuple[dict[str, t.Any], t.Any]]
_log = PartLogger("configuration")


def settle(
    future: concurrent.futures.Future, result: t.Any = None, error: t.Any = None
) -> None:
    """Set the result or error of a future that its owner may have cancelled."""
    try:
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)
    except concurrent.futures.InvalidStateError:
        pass


@dataclasses.dataclass(eq=False)
class _Operation:
    change: Change
    future: concurrent.futures.Future | None
    deadline_ms: int
    conflicts: int = 0


@dataclasses.dataclass(eq=False)
class _Withdrawal:
    message: RevokeKey
    accepted_ms: int
    deadline_ms: int


def change_text(message: ApplyConfiguration) -> Change:
    """Return the change that a new text makes.

    :raises ConfigurationError: if the text is invalid.
    """
    configuration = parse_configuration(message.text)

    def change(stored: StoredRecord | None) -> tuple[dict[str, t.Any], int]:
        snapshot = read_snapshot(stored) if stored else None
        present = snapshot.text_version if snapshot else 0
        if present != message.expected_text_version:
            lines = (
                list_differences(snapshot.configuration, configuration)
                if snapshot
                else []
            )
            raise VersionConflictError(
                f"The text has version {present}, not "
                f"{message.expected_text_version}. Your text differs from it in: "
                f"{'; '.join(lines) or 'nothing'}.",
                f"Merge your changes into version {present} and apply it again.",
            )
        keys = snapshot.keys_by_id if snapshot else {}
        withdrawn = stored.body.get("withdrawn", []) if stored else []
        return dump_body(message.text, present + 1, keys, withdrawn), present + 1

    return change


def add_key(message: CreateKey) -> Change:
    """Return the change that grants a new key."""
    key, entry = create_key(message.team)

    def change(stored: StoredRecord | None) -> tuple[dict[str, t.Any], str]:
        snapshot = read_snapshot(stored) if stored else None
        if snapshot is None or message.team not in snapshot.configuration.teams_by_name:
            raise ConfigurationError(
                f"There is no team {message.team!r}.",
                "Add it to the operators' text first.",
            )
        keys = {**snapshot.keys_by_id, entry.key_id: entry}
        withdrawn = stored.body.get("withdrawn", []) if stored else []
        return dump_body(snapshot.text, snapshot.text_version, keys, withdrawn), key

    return change


def remove_keys(key_ids: t.Collection[str]) -> Change:
    """Return the change that withdraws keys."""

    def change(stored: StoredRecord | None) -> tuple[dict[str, t.Any], None]:
        if stored is None:
            raise ConfigurationError("There is no configuration.", "Apply a text.")
        snapshot = read_snapshot(stored)
        keys = {i: k for i, k in snapshot.keys_by_id.items() if i not in key_ids}
        withdrawn = list(stored.body.get("withdrawn", []))
        withdrawn += sorted(i for i in key_ids if i not in withdrawn)
        return dump_body(snapshot.text, snapshot.text_version, keys, withdrawn), None

    return change


class ConfigurationWriter:
    """Carries out operators' changes one at a time; used by the store session.

    :param settings: freshness bound.
    :param peers: holder, marks and confirmations.
    :param writer: writes the record.
    """

    def __init__(
        self,
        settings: EntrySettings,
        peers: PeerExchange,
        writer: RecordWriter,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._writer = writer
        self._random = rng
        self._operations: list[_Operation] = []
        self._lost: _Operation | None = None
        self._lost_result: t.Any = None
        self._withdrawals: list[_Withdrawal] = []
        self._mark_due_ms_by_id: dict[str, int] = {}

    def apply_text(self, message: ApplyConfiguration, now_ms: int) -> None:
        """Start the write of a new text; an invalid one is refused at once."""
        try:
            self._enqueue(change_text(message), message.version, now_ms)
        except ConfigurationError as error:
            settle(message.version, error=error)

    def grant_key(self, message: CreateKey, now_ms: int) -> None:
        """Start the write of a new key."""
        self._enqueue(add_key(message), message.key, now_ms)

    def _enqueue(
        self, change: Change, future: concurrent.futures.Future | None, now_ms: int
    ) -> None:
        deadline_ms = now_ms + OPERATION_TIMEOUT_MS
        self._operations.append(_Operation(change, future, deadline_ms))

    def withdraw_key(self, message: RevokeKey, now_ms: int, registered: bool) -> None:
        """Stop a key here at once, then in the store and on the peers.

        An unavailable store does not prevent it: the mark is written later.

        :param registered: whether this process has registered. The proofs of
            other entries do not cover a process that they do not know.
        """
        try:
            if not registered:
                raise StoreUnavailableError(
                    "This entry is not registered in the store yet.",
                    "Withdraw the key at another entry.",
                )
            if not self._is_known(message.key_id):
                raise ConfigurationError(
                    f"There is no key {message.key_id!r}.",
                    "Check the key id, which is the part before the dot.",
                )
        except CranberrywheelError as error:
            settle(message.result, error=error)
            return
        self._peers.add_tombstone(message.key_id)
        self._mark_due_ms_by_id[message.key_id] = now_ms
        deadline_ms = now_ms + self._settings.key_freshness_ms
        self._withdrawals.append(_Withdrawal(message, now_ms, deadline_ms))

    def _is_known(self, key_id: str) -> bool:
        """Tell whether a key exists or existed, or may exist."""
        snapshot = self._peers.holder.snapshot
        if snapshot is None or key_id not in {
            *snapshot.keys_by_id,
            *snapshot.withdrawn_ids,
        }:
            # Another entry may have granted it a moment ago.
            try:
                stored = self._writer.read(CONFIGURATION_KEY)
            except StoreUnavailableError:
                return True
            snapshot = read_snapshot(stored) if stored else None
        return snapshot is not None and (
            key_id in snapshot.keys_by_id or key_id in snapshot.withdrawn_ids
        )

    def step(self, now_ms: int, store_allowed: bool) -> None:
        """Carry on with open changes.

        :param store_allowed: false while the store's backoff lasts.
        :raises StoreUnavailableError: if the store gave no answer.
        """
        self._answer_withdrawals(now_ms)
        self._expire(now_ms)
        if store_allowed:
            self._resolve_lost()
            self._start_mark_write(now_ms)
            while self._operations and self._lost is None:
                self._attempt(self._operations[0])
            self._answer_withdrawals(now_ms)

    def _start_mark_write(self, now_ms: int) -> None:
        marks = self._peers.list_unwritten_tombstones()
        for key_id in marks - self._mark_due_ms_by_id.keys():
            delay_ms = self._random.randint(*MARK_DELAY_MS)
            self._mark_due_ms_by_id[key_id] = now_ms + delay_ms
        self._mark_due_ms_by_id = {
            i: due for i, due in self._mark_due_ms_by_id.items() if i in marks
        }
        due = {i for i, at_ms in self._mark_due_ms_by_id.items() if at_ms <= now_ms}
        if due and not any(op.future is None for op in self._operations):
            self._enqueue(remove_keys(due), None, now_ms)

    def _attempt(self, operation: _Operation) -> None:
        try:
            base = self._writer.read(CONFIGURATION_KEY)
            body, result = operation.change(base)
        except StoreUnavailableError:
            raise
        except CranberrywheelError as error:
            self._finish(operation, error=error)
            return
        try:
            stored = self._writer.write(CONFIGURATION_KEY, base, body)
        except StoreConflictError as error:
            operation.conflicts += 1
            if operation.conflicts > MAX_CONFLICTS:
                self._finish(operation, error=error)
        except StoreUnavailableError:
            self._lost, self._lost_result = operation, result
            raise
        except StoreError as error:
            self._finish(operation, error=error)
        else:
            self._adopt(stored)
            self._finish(operation, result)

    def _resolve_lost(self) -> None:
        operation = self._lost
        if operation is None:
            return
        outcome, current = self._writer.resolve(CONFIGURATION_KEY)
        self._lost = None
        if current is not None:
            self._adopt(current)
        if outcome is WriteOutcome.WRITTEN:
            self._finish(operation, self._lost_result)
        elif outcome is WriteOutcome.UNKNOWN:
            self._finish(operation, error=self._unknown_error())
        # After NOT_WRITTEN the operation is still in the queue and runs again.

    def _adopt(self, stored: StoredRecord) -> None:
        try:
            self._peers.holder.adopt(stored.record)
        except StoreError as error:
            _log.warning("ignored malformed record", cause=error.message)

    def abandon(self) -> None:
        """Fail all open changes at shutdown."""
        for operation in list(self._operations):
            error = self._unknown_error() if operation is self._lost else STOPPING
            self._finish(operation, error=error)
        for withdrawal in self._withdrawals:
            settle(withdrawal.message.result, error=STOPPING)
        self._withdrawals.clear()

    @staticmethod
    def _unknown_error() -> StoreUnavailableError:
        return StoreUnavailableError(
            "The change may or may not have been stored.",
            "Show the configuration before you try again.",
        )

    def _finish(
        self, operation: _Operation, result: t.Any = None, error: t.Any = None
    ) -> None:
        if operation in self._operations:
            self._operations.remove(operation)
        if operation.future is not None:
            settle(operation.future, result, error)
        elif error is not None:
            _log.warning("could not store withdrawals", cause=error)

    def _expire(self, now_ms: int) -> None:
        for operation in list(self._operations):
            if now_ms < operation.deadline_ms:
                continue
            if operation is self._lost:
                self._finish(operation, error=self._unknown_error())
                continue
            message = "The store is unavailable; nothing was changed."
            error = StoreUnavailableError(message, "Try again later.")
            self._finish(operation, error=error)

    def _answer_withdrawals(self, now_ms: int) -> None:
        snapshot = self._peers.holder.snapshot
        for withdrawal in list(self._withdrawals):
            key_id = withdrawal.message.key_id
            stored = snapshot is not None and key_id in snapshot.withdrawn_ids
            confirmed, unconfirmed = self._peers.list_confirmations(key_id)
            # An older roster may lack an entry that has the key.
            known = self._peers.has_roster_since(withdrawal.accepted_ms)
            complete = stored and known and not unconfirmed
            if complete or now_ms >= withdrawal.deadline_ms:
                self._withdrawals.remove(withdrawal)
                result = {
                    "stored": stored,
                    "confirmed": confirmed,
                    "unconfirmed": unconfirmed,
                }
                settle(withdrawal.message.result, result)

"""Writes operators' changes to the record ``configuration``."""

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
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel.process.messages import ApplyConfiguration, CreateKey, RevokeKey
from cranberrywheel.process.record_writer import RecordWriter
from cranberrywheel.settings import EntrySettings
from cranberrywheel.version.active_configuration import (
    CONFIGURATION_KEY,
    build_configuration_body,
    read_snapshot,
)
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel.version.differences import list_differences
from cranberrywheel.version.keys import create_key
from cranberrywheel.version.records import StoredRecord, WriteOutcome

#: Time after which a change fails if the store does not answer.
OPERATION_TIMEOUT_MS = 10_000
#: Largest number of conflicts with other writers, for example of keys, after which a
#: change is tried again.
MAX_CONFLICTS = 5
#: Range of the random delay after which entries other than the one that accepted a
#: revocation write it to the store. It is random so that usually only one of them
#: has to write.
TOMBSTONE_WRITE_DELAY_MS = (1_000, 3_000)

SHUTTING_DOWN = NotReadyError("This entry is shutting down.", "Ask another entry.")

#: Computes the new body and the operator's result from the present record.
Change = t.Callable[[StoredRecord | None], tuple[dict[str, t.Any], t.Any]]
_log = ComponentLogger("configuration")


def complete_future(
    future: concurrent.futures.Future, result: t.Any = None, error: t.Any = None
) -> None:
    """Set the result or the error of a future, unless it is cancelled or done."""
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
class _Revocation:
    message: RevokeKey
    accepted_ms: int
    deadline_ms: int


def make_text_change(message: ApplyConfiguration) -> Change:
    """Return the change that stores a new configuration text.

    :raises ConfigurationError: if the text is invalid.
    """
    configuration = parse_configuration(message.text)

    def change(stored: StoredRecord | None) -> tuple[dict[str, t.Any], int]:
        snapshot = read_snapshot(stored) if stored else None
        current_version = snapshot.text_version if snapshot else 0
        if current_version != message.expected_text_version:
            differences = (
                list_differences(snapshot.configuration, configuration)
                if snapshot
                else []
            )
            raise VersionConflictError(
                f"The text has version {current_version}, not "
                f"{message.expected_text_version}. Your text differs from it in: "
                f"{'; '.join(differences) or 'nothing'}.",
                f"Merge your changes into version {current_version} and apply it.",
            )
        keys = snapshot.keys_by_id if snapshot else {}
        revoked_ids = stored.body.get("withdrawn", []) if stored else []
        return build_configuration_body(
            message.text, current_version + 1, keys, revoked_ids
        ), current_version + 1

    return change


def make_key_creation(message: CreateKey) -> Change:
    """Return the change that stores a new key."""
    key, new_entry = create_key(message.team)

    def change(stored: StoredRecord | None) -> tuple[dict[str, t.Any], str]:
        snapshot = read_snapshot(stored) if stored else None
        if snapshot is None or message.team not in snapshot.configuration.teams_by_name:
            raise ConfigurationError(
                f"There is no team {message.team!r}.",
                "Add it to the configuration text first.",
            )
        keys = {**snapshot.keys_by_id, new_entry.key_id: new_entry}
        revoked_ids = stored.body.get("withdrawn", []) if stored else []
        return build_configuration_body(
            snapshot.text, snapshot.text_version, keys, revoked_ids
        ), key

    return change


def make_key_revocation(key_ids: t.Collection[str]) -> Change:
    """Return the change that revokes keys."""

    def change(stored: StoredRecord | None) -> tuple[dict[str, t.Any], None]:
        if stored is None:
            raise ConfigurationError("There is no configuration.", "Apply a text.")
        snapshot = read_snapshot(stored)
        keys = {
            key_id: key
            for key_id, key in snapshot.keys_by_id.items()
            if key_id not in key_ids
        }
        revoked_ids = list(stored.body.get("withdrawn", []))
        revoked_ids += sorted(key_id for key_id in key_ids if key_id not in revoked_ids)
        return build_configuration_body(
            snapshot.text, snapshot.text_version, keys, revoked_ids
        ), None

    return change


class ConfigurationWriter:
    """Makes operators' changes one at a time; used by the store session.

    :param settings: give the freshness bound.
    :param peers: has the adopted configuration and the revocation tombstones.
    :param writer: writes the record.
    :param rng: source of the random write delays.
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
        self._unresolved: _Operation | None = None
        self._unresolved_result: t.Any = None
        self._revocations: list[_Revocation] = []
        self._tombstone_due_ms_by_id: dict[str, int] = {}

    def apply_configuration(self, message: ApplyConfiguration, now_ms: int) -> None:
        """Queue the write of a new configuration text; refuse an invalid one."""
        try:
            self._enqueue(make_text_change(message), message.version, now_ms)
        except ConfigurationError as error:
            complete_future(message.version, error=error)

    def create_key(self, message: CreateKey, now_ms: int) -> None:
        """Queue the write of a new key."""
        self._enqueue(make_key_creation(message), message.key, now_ms)

    def _enqueue(
        self, change: Change, future: concurrent.futures.Future | None, now_ms: int
    ) -> None:
        deadline_ms = now_ms + OPERATION_TIMEOUT_MS
        self._operations.append(_Operation(change, future, deadline_ms))

    def revoke_key(self, message: RevokeKey, now_ms: int, registered: bool) -> None:
        """Revoke a key here at once, then in the store and at the peers.

        An unavailable store does not prevent this: the tombstone is written later.

        :param registered: whether this process is registered. The freshness proofs of
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
            complete_future(message.result, error=error)
            return
        self._peers.add_tombstone(message.key_id)
        self._tombstone_due_ms_by_id[message.key_id] = now_ms
        deadline_ms = now_ms + self._settings.key_freshness_ms
        self._revocations.append(_Revocation(message, now_ms, deadline_ms))

    def _is_known(self, key_id: str) -> bool:
        """Tell whether a key exists, has existed or may exist."""
        snapshot = self._peers.active_configuration.snapshot
        if snapshot is None or key_id not in {
            *snapshot.keys_by_id,
            *snapshot.revoked_key_ids,
        }:
            # Another entry may have created it a moment ago.
            try:
                stored = self._writer.read(CONFIGURATION_KEY)
            except StoreUnavailableError:
                return True
            snapshot = read_snapshot(stored) if stored else None
        return snapshot is not None and (
            key_id in snapshot.keys_by_id or key_id in snapshot.revoked_key_ids
        )

    def step(self, now_ms: int, store_allowed: bool) -> None:
        """Continue the pending changes.

        :param store_allowed: false while calls of the store back off.
        :raises StoreUnavailableError: if the store does not answer.
        """
        self._complete_revocations(now_ms)
        self._fail_expired(now_ms)
        if store_allowed:
            self._resolve_unknown_outcome()
            self._queue_tombstone_write(now_ms)
            while self._operations and self._unresolved is None:
                self._try_operation(self._operations[0])
            self._complete_revocations(now_ms)

    def _queue_tombstone_write(self, now_ms: int) -> None:
        key_ids = self._peers.list_unwritten_tombstones()
        for key_id in key_ids - self._tombstone_due_ms_by_id.keys():
            delay_ms = self._random.randint(*TOMBSTONE_WRITE_DELAY_MS)
            self._tombstone_due_ms_by_id[key_id] = now_ms + delay_ms
        self._tombstone_due_ms_by_id = {
            key_id: due_ms
            for key_id, due_ms in self._tombstone_due_ms_by_id.items()
            if key_id in key_ids
        }
        due_ids = {
            key_id
            for key_id, at_ms in self._tombstone_due_ms_by_id.items()
            if at_ms <= now_ms
        }
        if due_ids and not any(
            operation.future is None for operation in self._operations
        ):
            self._enqueue(make_key_revocation(due_ids), None, now_ms)

    def _try_operation(self, operation: _Operation) -> None:
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
            self._unresolved, self._unresolved_result = operation, result
            raise
        except StoreError as error:
            self._finish(operation, error=error)
        else:
            self._adopt(stored)
            self._finish(operation, result)

    def _resolve_unknown_outcome(self) -> None:
        operation = self._unresolved
        if operation is None:
            return
        outcome, current = self._writer.resolve(CONFIGURATION_KEY)
        self._unresolved = None
        if current is not None:
            self._adopt(current)
        if outcome is WriteOutcome.WRITTEN:
            self._finish(operation, self._unresolved_result)
        elif outcome is WriteOutcome.UNKNOWN:
            self._finish(operation, error=self._unknown_outcome_error())
        # After NOT_WRITTEN the operation is still in the queue and is tried again.

    def _adopt(self, stored: StoredRecord) -> None:
        try:
            self._peers.active_configuration.adopt(stored.record)
        except StoreError as error:
            _log.warning("malformed record ignored", cause=error.message)

    def fail_pending(self) -> None:
        """Fail all pending changes at shutdown."""
        for operation in list(self._operations):
            error = (
                self._unknown_outcome_error()
                if operation is self._unresolved
                else SHUTTING_DOWN
            )
            self._finish(operation, error=error)
        for revocation in self._revocations:
            complete_future(revocation.message.result, error=SHUTTING_DOWN)
        self._revocations.clear()

    @staticmethod
    def _unknown_outcome_error() -> StoreUnavailableError:
        return StoreUnavailableError(
            "The change may or may not have been stored.",
            "Check the configuration with 'cranberrywheel show' before you try again.",
        )

    def _finish(
        self, operation: _Operation, result: t.Any = None, error: t.Any = None
    ) -> None:
        if operation in self._operations:
            self._operations.remove(operation)
        if operation.future is not None:
            complete_future(operation.future, result, error)
        elif error is not None:
            _log.warning("could not store key revocations; retrying", cause=error)

    def _fail_expired(self, now_ms: int) -> None:
        for operation in list(self._operations):
            if now_ms < operation.deadline_ms:
                continue
            if operation is self._unresolved:
                self._finish(operation, error=self._unknown_outcome_error())
                continue
            message = "The store is unavailable; nothing was changed."
            error = StoreUnavailableError(message, "Try again later.")
            self._finish(operation, error=error)

    def _complete_revocations(self, now_ms: int) -> None:
        snapshot = self._peers.active_configuration.snapshot
        for revocation in list(self._revocations):
            key_id = revocation.message.key_id
            stored = snapshot is not None and key_id in snapshot.revoked_key_ids
            confirmed, unconfirmed = self._peers.list_confirmations(key_id)
            # An older roster may lack an entry that accepts the key.
            roster_is_current = self._peers.has_roster_since(revocation.accepted_ms)
            complete = stored and roster_is_current and not unconfirmed
            if complete or now_ms >= revocation.deadline_ms:
                self._revocations.remove(revocation)
                result = {
                    "stored": stored,
                    "confirmed": confirmed,
                    "unconfirmed": unconfirmed,
                }
                complete_future(revocation.message.result, result)

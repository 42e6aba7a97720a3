"""Keeps this process's units in the ``limits/<team>`` records."""

import concurrent.futures
import dataclasses
import random
import typing as t

from cranberrywheel.connection.store_client import Record, StoreClient
from cranberrywheel.errors import StoreConflictError, StoreError, StoreUnavailableError
from cranberrywheel.logs import PartLogger
from cranberrywheel.process import limit_record, quota_units
from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel.process.limit_record import HolderRow, LimitRecord
from cranberrywheel.process.membership import (
    ENTRIES_PREFIX,
    MissingHolders,
    Registration,
    group_by_location,
)
from cranberrywheel.process.messages import (
    QuotaDemand,
    QuotaUnitsHeld,
    ReleaseQuotaUnits,
)
from cranberrywheel.process.record_writer import RecordWriter
from cranberrywheel.settings import LimitSettings
from cranberrywheel.version.records import StoredRecord, parse_record
from cranberrywheel.version.snapshot import ConfigurationSnapshot

LIMITS_PREFIX = "limits/"
#: Longest wait for the dispatcher to release units. A late release is undone by
#: the ``QuotaUnitsHeld`` that follows it.
RELEASE_TIMEOUT_MS = 1_000
#: Attempts to write a record that other entries write at the same time. Entries
#: with idle units all answer the same request.
CONFLICT_ATTEMPTS = 4
#: The same at shutdown, which has no later attempt.
RETURN_ATTEMPTS = 10

_log = PartLogger("units")


@dataclasses.dataclass
class _TeamState:
    stored: StoredRecord | None = None
    record: LimitRecord | None = None


class QuotaManager:
    """Owns the unit records of one process; used by the store session only.

    :param settings: hold times and long fraction.
    :param registration: of this process; its revision is replaced on each
        registration.
    :param client: store client of the session's thread.
    :param writer: writes the records.
    :param peers: the configuration in force and the peers heard lately.
    :param to_dispatcher: takes messages for the dispatcher.
    """

    def __init__(
        self,
        settings: LimitSettings,
        registration: Registration,
        client: StoreClient,
        writer: RecordWriter,
        peers: PeerExchange,
        to_dispatcher: t.Callable[[object], None],
    ) -> None:
        self._settings = settings
        self._own = registration
        self._client = client
        self._writer = writer
        self._peers = peers
        self._to_dispatcher = to_dispatcher
        self._states_by_team: dict[str, _TeamState] = {}
        # Long and short units that the dispatcher uses now; lower than in the
        # record after a release that was not written yet.
        self._dispatcher_units_by_team: dict[str, tuple[int, int]] = {}
        self._missing = MissingHolders()
        self._random = random.Random(registration.process_id)
        self._registered_ids: set[str] = set()
        self._wanted = QuotaDemand({}, {})

    def set_demand(self, wanted: QuotaDemand) -> None:
        """Take the dispatcher's use and demand."""
        self._wanted = wanted

    def update_from_list(
        self,
        records: list[Record],
        registrations: list[Registration],
        now_ms: int,
    ) -> None:
        """Take all limit records and the registrations read after them."""
        for record in records:
            team = record.key.removeprefix(LIMITS_PREFIX)
            state = self._states_by_team.get(team)
            if state and state.stored and record.revision <= state.stored.revision:
                # Older than the last write of this process, or unchanged.
                continue
            try:
                self._adopt(parse_record(record))
            except StoreError as error:
                _log.warning("ignored limit record", cause=error.message)
        self._registered_ids = {
            max(group, key=lambda r: r.revision).process_id
            for group in group_by_location(registrations).values()
        }
        known = [s.record for s in self._states_by_team.values() if s.record]
        self._missing.observe(known, registrations, now_ms)

    def _adopt(self, stored: StoredRecord, force: bool = False) -> None:
        """Take a newer state of a record and tell the dispatcher its units.

        :param force: tell the dispatcher also if the state is not newer.
        """
        team = stored.key.removeprefix(LIMITS_PREFIX)
        state = self._states_by_team.setdefault(team, _TeamState())
        if state.stored is None or stored.revision > state.stored.revision:
            state.record = limit_record.parse(stored.body)
            state.stored = stored
        elif not force:
            return
        self._tell_held(team)

    def _tell_held(self, team: str, force: bool = False) -> None:
        """Tell the dispatcher its units, unless it waits for a lower limit.

        The dispatcher scales its units down by itself when a limit is lowered. It
        must not be told the higher count of the record until the sum fits.
        """
        record = self._states_by_team[team].record
        row = self._own_units(record)
        known = self._dispatcher_units_by_team.get(team, (0, 0))
        is_lower = row[0] < known[0] or row[1] < known[1]
        if record is not None and self._awaits_shrink(team, record):
            if not force and not is_lower:
                return
            row = self._own_units(self._shrink(team, record))
        self._dispatcher_units_by_team[team] = row
        self._to_dispatcher(QuotaUnitsHeld(team, *row))

    def _own_units(self, record: LimitRecord | None) -> tuple[int, int]:
        row = record.holders.get(self._own.process_id) if record else None
        return (row.long, row.short) if row else (0, 0)

    def _with_known_limit(self, team: str, record: LimitRecord) -> LimitRecord:
        snapshot = self._peers.holder.snapshot
        teams = snapshot.configuration.teams_by_name if snapshot else {}
        if snapshot is None or team not in teams:
            return record
        return quota_units.set_limit(record, teams[team].limit, snapshot.version)

    def _awaits_shrink(self, team: str, record: LimitRecord) -> bool:
        """Tell whether a lowered limit is known but not yet met by the record."""
        known = self._with_known_limit(team, record)
        return known.limit < record.limit or record.total > record.limit

    def _shrink(self, team: str, record: LimitRecord) -> LimitRecord:
        return quota_units.shrink_to_target(
            self._with_known_limit(team, record),
            self._own.process_id,
            self._wanted.in_use_by_team.get(team, 0),
            self._settings.long_fraction,
        )

    def reregister(self, registration: Registration) -> None:
        """Enter a new registration in each record that names this process.

        Units count again only after this, because a reclaim prepared while the
        registration was missing must fail first.

        :raises StoreError: if a record could not be rewritten.
        """
        self._own = registration
        for team in list(self._states_by_team):
            try:
                self._reregister_team(LIMITS_PREFIX + team)
            except (StoreUnavailableError, StoreConflictError):
                raise
            except StoreError as error:
                _log.warning("use no units", team=team, cause=error.message)
                self._dispatcher_units_by_team[team] = (0, 0)
                self._to_dispatcher(QuotaUnitsHeld(team, 0, 0))

    def _reregister_team(self, key: str) -> None:
        if self._writer.has_unresolved_write(key):
            self._writer.resolve(key)
        stored = self._writer.read(key)
        if stored is None:
            return
        record = limit_record.parse(stored.body)
        if self._own.process_id in record.holders:
            changed = quota_units.update_registration(
                record, self._own.process_id, self._own_row()
            )
            stored = self._writer.write(key, stored, limit_record.dump(changed))
        self._adopt(stored)

    def _own_row(self) -> HolderRow:
        return HolderRow(
            registration=self._own.revision,
            instance=self._own.instance,
            zone=self._own.zone,
            address=self._own.peer_address,
        )

    def step(self, snapshot: ConfigurationSnapshot, now_ms: int) -> None:
        """Adapt the units of every team and reclaim those of missing holders.

        :raises StoreUnavailableError: if the store gives no answer.
        """
        limits_by_team = {
            name: team.limit
            for name, team in snapshot.configuration.teams_by_name.items()
        }
        teams = sorted(limits_by_team.keys() | self._states_by_team.keys())
        # Entries in different order conflict less when all start at once.
        self._random.shuffle(teams)
        for team in teams:
            try:
                self._resolve(team)
                if team in limits_by_team:
                    self._keep_team(team, limits_by_team[team], snapshot.version)
                self._reclaim(team, now_ms)
            except StoreUnavailableError:
                raise
            except StoreError as error:
                _log.warning("could not keep units", team=team, cause=error.message)

    def _resolve(self, team: str) -> None:
        if self._writer.has_unresolved_write(LIMITS_PREFIX + team):
            _, current = self._writer.resolve(LIMITS_PREFIX + team)
            if current is not None:
                self._adopt(current, force=True)

    def _keep_team(self, team: str, limit: int, version: int) -> None:
        key = LIMITS_PREFIX + team
        state = self._states_by_team.setdefault(team, _TeamState())
        row = state.record.holders.get(self._own.process_id) if state.record else None
        if row is not None and row.wanted:
            # Others may have lent units since the last list.
            self._refresh(team)
        for _ in range(CONFLICT_ATTEMPTS):
            following = self._plan(team, state.record, limit, version)
            if following == state.record:
                return
            if not self._release(team, following):
                self._tell_held(team)
                return
            try:
                body = limit_record.dump(following)
                self._adopt(self._writer.write(key, state.stored, body), force=True)
                return
            except StoreConflictError:
                self._refresh(team)
            except StoreUnavailableError:
                raise
            except StoreError:
                self._tell_held(team)
                raise

    def _refresh(self, team: str) -> None:
        stored = self._writer.read(LIMITS_PREFIX + team)
        if stored is not None:
            self._adopt(stored, force=True)

    def _plan(
        self, team: str, before: LimitRecord | None, limit: int, version: int
    ) -> LimitRecord:
        holder = self._own.process_id
        record = before or LimitRecord(limit=limit, limit_version=version)
        record = quota_units.set_limit(record, limit, version)
        row = record.holders.get(holder)
        if row is None or row.registration != self._own.revision:
            record = quota_units.update_registration(record, holder, self._own_row())
        in_use = self._wanted.in_use_by_team.get(team, 0)
        waiting = self._wanted.waiting_by_team.get(team, 0)
        return quota_units.rebalance(
            record,
            holder,
            quota_units.UnitDemand(in_use, waiting),
            self._base(record),
            self._settings.long_fraction,
            self._peers.list_recent_peer_ids(),
        )

    def _base(self, record: LimitRecord) -> int:
        """Return the units that this entry takes without demand.

        All units are divided: those left free are of no use during an outage.
        """
        present = sorted(self._registered_ids | {self._own.process_id})
        withheld = sum(r.total for h, r in record.holders.items() if h not in present)
        base, rest = divmod(max(0, record.limit - withheld), len(present))
        return base + (present.index(self._own.process_id) < rest)

    def _release(self, team: str, following: LimitRecord) -> bool:
        """Let the dispatcher stop using what the next state takes away.

        :returns: whether all of it is released.
        """
        known = self._dispatcher_units_by_team.get(team, (0, 0))
        new = self._own_units(following)
        long_out, short_out = max(0, known[0] - new[0]), max(0, known[1] - new[1])
        if not long_out and not short_out:
            return True
        released: concurrent.futures.Future[tuple[int, int]]
        released = concurrent.futures.Future()
        self._to_dispatcher(ReleaseQuotaUnits(team, long_out, short_out, released))
        try:
            given = released.result(RELEASE_TIMEOUT_MS / 1000)
        except TimeoutError:
            self._tell_held(team, force=True)
            return False
        left = known[0] - given[0], known[1] - given[1]
        self._dispatcher_units_by_team[team] = left
        return left[0] <= new[0] and left[1] <= new[1]

    def _reclaim(self, team: str, now_ms: int) -> None:
        state = self._states_by_team.get(team)
        record = state.record if state else None
        if record is None:
            return
        for holder, row in record.holders.items():
            absence = self._missing.get(holder, row.registration)
            if absence is None or holder == self._own.process_id:
                continue
            expected = quota_units.reclaim(
                record, holder, absence, now_ms, self._settings
            )
            if expected != record:
                self._reclaim_holder(team, holder, row, absence, now_ms)

    def _reclaim_holder(
        self,
        team: str,
        holder: str,
        row: HolderRow,
        absence: quota_units.Absence,
        now_ms: int,
    ) -> None:
        key = LIMITS_PREFIX + team
        stored = self._writer.read(key)
        if stored is None:
            return
        # The registration is read after the record: if the holder registers
        # later, it rewrites the record before it uses units. A replaced holder
        # is dead, whether or not its lease has lapsed yet.
        if absence.replaced_ms is None and self._client.get(ENTRIES_PREFIX + holder):
            return
        record = limit_record.parse(stored.body)
        present = record.holders.get(holder)
        if present is None or present.registration != row.registration:
            return
        changed = quota_units.reclaim(record, holder, absence, now_ms, self._settings)
        try:
            written = self._writer.write(key, stored, limit_record.dump(changed))
        except StoreConflictError:
            return
        _log.event("reclaimed units", team=team, holder=holder, free=changed.free)
        self._adopt(written)

    def return_all(self) -> None:
        """Return all units at shutdown; units in use stay until reclaimed."""
        for team in list(self._states_by_team):
            key = LIMITS_PREFIX + team
            if self._writer.has_unresolved_write(key):
                self._writer.resolve(key)
            for _ in range(RETURN_ATTEMPTS):
                try:
                    self._return_team(team)
                    break
                except StoreConflictError:
                    continue

    def _return_team(self, team: str) -> None:
        key, holder = LIMITS_PREFIX + team, self._own.process_id
        stored = self._writer.read(key)
        if stored is None:
            return
        # After a conflict this also undoes the release that it followed.
        self._adopt(stored, force=True)
        record = limit_record.parse(stored.body)
        following = quota_units.remove_holder(record, holder)
        if following != record and self._release(team, following):
            self._adopt(self._writer.write(key, stored, limit_record.dump(following)))

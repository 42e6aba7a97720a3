"""Manages the quota units of this process in the ``limits/<team>`` records."""

import concurrent.futures
import dataclasses
import random
import typing as t

from cranberrywheel.connection.store_client import Record, StoreClient
from cranberrywheel.errors import StoreConflictError, StoreError, StoreUnavailableError
from cranberrywheel.logs import ComponentLogger
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
from cranberrywheel.settings import QuotaSettings
from cranberrywheel.version.records import StoredRecord, parse_record
from cranberrywheel.version.snapshot import ConfigurationSnapshot

LIMITS_PREFIX = "limits/"
#: Longest wait for the dispatcher to release units. A later release is undone by
#: the ``QuotaUnitsHeld`` that follows it.
RELEASE_TIMEOUT_MS = 1_000
#: Attempts to write a record that other entries write at the same time. Conflicts
#: are usual, because all entries with idle units react to the same request.
WRITE_ATTEMPTS = 4
#: Attempts at shutdown, when there is no later round to try again.
SHUTDOWN_WRITE_ATTEMPTS = 10

_log = ComponentLogger("units")


@dataclasses.dataclass
class _TeamState:
    """Latest known record of one team, as stored and as parsed."""

    stored: StoredRecord | None = None
    record: LimitRecord | None = None


class QuotaManager:
    """Manages the quota units of one process; used by the store session only.

    :param settings: durations of the leases and fraction of long ones.
    :param registration: registration of this process; :meth:`reregister` replaces it.
    :param client: store client of the session's thread.
    :param writer: writes the records.
    :param peers: gives the configuration in force and the peers with a recent report.
    :param to_dispatcher: sends a message to the dispatcher.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        registration: Registration,
        client: StoreClient,
        writer: RecordWriter,
        peers: PeerExchange,
        to_dispatcher: t.Callable[[object], None],
    ) -> None:
        self._settings = settings
        self._registration = registration
        self._client = client
        self._writer = writer
        self._peers = peers
        self._to_dispatcher = to_dispatcher
        self._states_by_team: dict[str, _TeamState] = {}
        # Long and short units that the dispatcher may use now; fewer than in the
        # record after a release that is not written yet.
        self._dispatcher_units_by_team: dict[str, tuple[int, int]] = {}
        self._missing = MissingHolders()
        self._random = random.Random(registration.process_id)
        self._registered_ids: set[str] = set()
        self._demand = QuotaDemand({}, {})

    def set_demand(self, demand: QuotaDemand) -> None:
        """Set the units that the dispatcher uses and requests."""
        self._demand = demand

    def update_from_list(
        self,
        records: list[Record],
        registrations: list[Registration],
        now_ms: int,
    ) -> None:
        """Update the state from all limit records.

        :param records: all ``limits/`` records in the store.
        :param registrations: registrations of entries, read after the records.
        :param now_ms: reading of the local clock in milliseconds.
        """
        for record in records:
            team = record.key.removeprefix(LIMITS_PREFIX)
            state = self._states_by_team.get(team)
            if state and state.stored and record.revision <= state.stored.revision:
                # The record is unchanged, or older than the last write of this process.
                continue
            try:
                self._adopt(parse_record(record))
            except StoreError as error:
                _log.warning("ignored malformed limit record", cause=error.message)
        self._registered_ids = {
            max(group, key=lambda r: r.revision).process_id
            for group in group_by_location(registrations).values()
        }
        known = [s.record for s in self._states_by_team.values() if s.record]
        self._missing.observe(known, registrations, now_ms)

    def _adopt(self, stored: StoredRecord, force: bool = False) -> None:
        """Store a newer state of a record and notify the dispatcher of its units.

        :param force: whether to notify the dispatcher even if the state is not newer.
        """
        team = stored.key.removeprefix(LIMITS_PREFIX)
        state = self._states_by_team.setdefault(team, _TeamState())
        if state.stored is None or stored.revision > state.stored.revision:
            state.record = limit_record.parse(stored.body)
            state.stored = stored
        elif not force:
            return
        self._notify_dispatcher(team)

    def _notify_dispatcher(self, team: str, force: bool = False) -> None:
        """Send the dispatcher its units.

        When a limit is lowered, the dispatcher scales its units down by itself. Until
        the sum of the record fits the limit, it must not get the higher count of the
        record, so only lower counts are sent.

        :param force: whether to send the lowered count in any case.
        """
        record = self._states_by_team[team].record
        row = self._own_units(record)
        known = self._dispatcher_units_by_team.get(team, (0, 0))
        is_lower = row[0] < known[0] or row[1] < known[1]
        if record is not None and self._exceeds_limit(team, record):
            if not force and not is_lower:
                return
            row = self._own_units(self._shrink_to_target(team, record))
        self._dispatcher_units_by_team[team] = row
        self._to_dispatcher(QuotaUnitsHeld(team, *row))

    def _own_units(self, record: LimitRecord | None) -> tuple[int, int]:
        row = record.holders.get(self._registration.process_id) if record else None
        return (row.long, row.short) if row else (0, 0)

    def _apply_known_limit(self, team: str, record: LimitRecord) -> LimitRecord:
        snapshot = self._peers.active_configuration.snapshot
        teams = snapshot.configuration.teams_by_name if snapshot else {}
        if snapshot is None or team not in teams:
            return record
        return quota_units.set_limit(record, teams[team].limit, snapshot.version)

    def _exceeds_limit(self, team: str, record: LimitRecord) -> bool:
        """Tell whether the record does not meet a limit that was lowered."""
        known = self._apply_known_limit(team, record)
        return known.limit < record.limit or record.total > record.limit

    def _shrink_to_target(self, team: str, record: LimitRecord) -> LimitRecord:
        return quota_units.shrink_to_target(
            self._apply_known_limit(team, record),
            self._registration.process_id,
            self._demand.in_use_by_team.get(team, 0),
            self._settings.long_fraction,
        )

    def reregister(self, registration: Registration) -> None:
        """Store a new registration in each record in which this process has a row.

        The units may be used again only after this: the write makes a reclaim fail
        that was prepared while the registration was missing.

        :raises StoreError: if a record could not be rewritten.
        """
        self._registration = registration
        for team in list(self._states_by_team):
            try:
                self._reregister_team(LIMITS_PREFIX + team)
            except (StoreUnavailableError, StoreConflictError):
                raise
            except StoreError as error:
                _log.warning(
                    "could not update limit record; using no units of the team",
                    team=team,
                    cause=error.message,
                )
                self._dispatcher_units_by_team[team] = (0, 0)
                self._to_dispatcher(QuotaUnitsHeld(team, 0, 0))

    def _reregister_team(self, key: str) -> None:
        if self._writer.has_unresolved_write(key):
            self._writer.resolve(key)
        stored = self._writer.read(key)
        if stored is None:
            return
        record = limit_record.parse(stored.body)
        if self._registration.process_id in record.holders:
            changed = quota_units.update_registration(
                record, self._registration.process_id, self._build_row()
            )
            stored = self._writer.write(key, stored, limit_record.dump(changed))
        self._adopt(stored)

    def _build_row(self) -> HolderRow:
        return HolderRow(
            registration=self._registration.revision,
            instance=self._registration.instance,
            zone=self._registration.zone,
            address=self._registration.peer_address,
        )

    def update_units(self, snapshot: ConfigurationSnapshot, now_ms: int) -> None:
        """Adapt the units of every team and reclaim those of missing holders.

        :raises StoreUnavailableError: if the store does not answer.
        """
        limits_by_team = {
            name: team.limit
            for name, team in snapshot.configuration.teams_by_name.items()
        }
        teams = sorted(limits_by_team.keys() | self._states_by_team.keys())
        # Entries that start at the same time conflict less if each visits the teams
        # in a different order.
        self._random.shuffle(teams)
        for team in teams:
            try:
                self._resolve_lost_write(team)
                if team in limits_by_team:
                    self._rebalance_team(team, limits_by_team[team], snapshot.version)
                self._reclaim(team, now_ms)
            except StoreUnavailableError:
                raise
            except StoreError as error:
                _log.warning(
                    "could not update units; retrying in the next round",
                    team=team,
                    cause=error.message,
                )

    def _resolve_lost_write(self, team: str) -> None:
        if self._writer.has_unresolved_write(LIMITS_PREFIX + team):
            _, current = self._writer.resolve(LIMITS_PREFIX + team)
            if current is not None:
                self._adopt(current, force=True)

    def _rebalance_team(self, team: str, limit: int, version: int) -> None:
        key = LIMITS_PREFIX + team
        state = self._states_by_team.setdefault(team, _TeamState())
        row = (
            state.record.holders.get(self._registration.process_id)
            if state.record
            else None
        )
        if row is not None and row.wanted:
            # Others may have transferred units since the records were last listed.
            self._refresh(team)
        for _ in range(WRITE_ATTEMPTS):
            next_record = self._plan_next_record(team, state.record, limit, version)
            if next_record == state.record:
                return
            if not self._release(team, next_record):
                self._notify_dispatcher(team)
                return
            try:
                body = limit_record.dump(next_record)
                self._adopt(self._writer.write(key, state.stored, body), force=True)
                return
            except StoreConflictError:
                self._refresh(team)
            except StoreUnavailableError:
                raise
            except StoreError:
                self._notify_dispatcher(team)
                raise

    def _refresh(self, team: str) -> None:
        stored = self._writer.read(LIMITS_PREFIX + team)
        if stored is not None:
            self._adopt(stored, force=True)

    def _plan_next_record(
        self, team: str, before: LimitRecord | None, limit: int, version: int
    ) -> LimitRecord:
        holder = self._registration.process_id
        record = before or LimitRecord(limit=limit, limit_version=version)
        record = quota_units.set_limit(record, limit, version)
        row = record.holders.get(holder)
        if row is None or row.registration != self._registration.revision:
            record = quota_units.update_registration(record, holder, self._build_row())
        in_use = self._demand.in_use_by_team.get(team, 0)
        waiting = self._demand.waiting_by_team.get(team, 0)
        return quota_units.rebalance(
            record,
            holder,
            quota_units.UnitDemand(in_use, waiting),
            self._base_share(record),
            self._settings.long_fraction,
            self._peers.list_recent_peer_ids(),
        )

    def _base_share(self, record: LimitRecord) -> int:
        """Return the number of units that this entry takes without demand.

        All units are divided among the registered entries, because units that no
        entry holds cannot be used during a store outage.
        """
        present = sorted(self._registered_ids | {self._registration.process_id})
        unavailable = sum(
            row.total for holder, row in record.holders.items() if holder not in present
        )
        base, remainder = divmod(max(0, record.limit - unavailable), len(present))
        return base + (present.index(self._registration.process_id) < remainder)

    def _release(self, team: str, next_record: LimitRecord) -> bool:
        """Make the dispatcher stop using the units that the next record removes.

        :returns: whether it has released all of them.
        """
        known = self._dispatcher_units_by_team.get(team, (0, 0))
        new = self._own_units(next_record)
        long_to_release, short_to_release = (
            max(0, known[0] - new[0]),
            max(0, known[1] - new[1]),
        )
        if not long_to_release and not short_to_release:
            return True
        released: concurrent.futures.Future[tuple[int, int]]
        released = concurrent.futures.Future()
        self._to_dispatcher(
            ReleaseQuotaUnits(team, long_to_release, short_to_release, released)
        )
        try:
            released_counts = released.result(RELEASE_TIMEOUT_MS / 1000)
        except TimeoutError:
            self._notify_dispatcher(team, force=True)
            return False
        remaining = known[0] - released_counts[0], known[1] - released_counts[1]
        self._dispatcher_units_by_team[team] = remaining
        return remaining[0] <= new[0] and remaining[1] <= new[1]

    def _reclaim(self, team: str, now_ms: int) -> None:
        state = self._states_by_team.get(team)
        record = state.record if state else None
        if record is None:
            return
        for holder, row in record.holders.items():
            absence = self._missing.get(holder, row.registration)
            if absence is None or holder == self._registration.process_id:
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
        # The registration is read after the record: a holder that registers later
        # rewrites the record before it uses units. A replaced holder has stopped,
        # whether or not its lease has expired yet.
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
        """Return all units at shutdown; units in use stay until they are reclaimed."""
        for team in list(self._states_by_team):
            key = LIMITS_PREFIX + team
            if self._writer.has_unresolved_write(key):
                self._writer.resolve(key)
            for _ in range(SHUTDOWN_WRITE_ATTEMPTS):
                try:
                    self._return_team(team)
                    break
                except StoreConflictError:
                    continue

    def _return_team(self, team: str) -> None:
        key, holder = LIMITS_PREFIX + team, self._registration.process_id
        stored = self._writer.read(key)
        if stored is None:
            return
        # After a write conflict, this also undoes the release before that write.
        self._adopt(stored, force=True)
        record = limit_record.parse(stored.body)
        next_record = quota_units.remove_holder(record, holder)
        if next_record != record and self._release(team, next_record):
            self._adopt(self._writer.write(key, stored, limit_record.dump(next_record)))

"""Quota units: the share of a team's limit that each process may use.

A team's limit on concurrent requests is divided into units, one per request. Each
process (a holder) leases some of them through the ``limits/<team>`` record: long
leases outlast a store outage, short ones can be transferred sooner.

:class:`QuotaLedger` counts the use of the units of this process. The functions
compute the next state of a record. The sum over the holders exceeds the limit only
while holders release units after the limit was lowered.
"""

import dataclasses
import math
import typing as t

from cranberrywheel.process.limit_record import HolderRow, LimitRecord
from cranberrywheel.settings import QuotaSettings

#: Fraction of its base share that an idle holder keeps when others request units.
RESERVE_FRACTION = 0.25
#: Assumed largest difference between the rates of two clocks, as a fraction.
CLOCK_RATE_MARGIN = 0.01


class QuotaLedger:
    """Counts the units that this process holds and uses; owned by the dispatcher.

    :param settings: durations of the leases.
    """

    def __init__(self, settings: QuotaSettings) -> None:
        self._settings = settings
        self._held_by_team: dict[str, tuple[int, int]] = {}
        self._limits_by_team: dict[str, int] = {}
        # Units held and limit in force when a lower limit became known. Until the
        # sum over all holders fits the new limit, the units usable for new requests
        # are scaled down by the ratio of the limits.
        self._held_before_lowering_by_team: dict[str, tuple[tuple[int, int], int]] = {}
        # Ids of the running requests of each team, the earliest first.
        self._running_by_team: dict[str, dict[str, None]] = {}
        self._teams_by_request: dict[str, str] = {}
        self._lease_renewed_ms: int | None = None

    def set_held(self, team: str, long_units: int, short_units: int) -> None:
        """Set how many units of a team this process holds.

        The counts must come from a record whose sum fits the latest limit.
        """
        self._held_by_team[team] = (max(0, long_units), max(0, short_units))
        self._held_before_lowering_by_team.pop(team, None)

    def set_limit(self, team: str, limit: int) -> None:
        """Set the limit of a team over all entries.

        A lower limit scales down the units usable for new requests at once. All
        holders do so, so that their sum fits. Running requests are not stopped.
        """
        before = self._limits_by_team.get(team, limit)
        if limit < before:
            held = self._held_by_team.get(team, (0, 0))
            self._held_before_lowering_by_team.setdefault(team, (held, before))
        elif (
            team in self._held_before_lowering_by_team
            and limit >= self._held_before_lowering_by_team[team][1]
        ):
            del self._held_before_lowering_by_team[team]
        self._limits_by_team[team] = limit

    def note_lease_renewal(self, started_ms: int) -> None:
        """Record a successful lease renewal.

        :param started_ms: reading of the local clock, in milliseconds, before the
            renewal was sent.
        """
        if self._lease_renewed_ms is None or started_ms > self._lease_renewed_ms:
            self._lease_renewed_ms = started_ms

    def _count_valid(
        self, held: tuple[int, int], now_ms: int, short_lease_ms: int
    ) -> int:
        if self._lease_renewed_ms is None:
            return 0
        age_ms = now_ms - self._lease_renewed_ms
        long_units, short_units = held
        valid = long_units if age_ms < self._settings.long_hold_ms else 0
        if age_ms < short_lease_ms:
            valid += short_units
        return valid

    def usable_units(self, team: str, now_ms: int) -> int:
        """Return how many units requests may use, including those in use.

        :param team: name of the team.
        :param now_ms: reading of the local clock in milliseconds.
        """
        settings = self._settings
        short_lease_ms = settings.short_hold_ms - settings.short_hold_margin_ms
        held = self._held_by_team.get(team, (0, 0))
        valid = self._count_valid(held, now_ms, short_lease_ms)
        limit = self._limits_by_team.get(team, valid)
        if team in self._held_before_lowering_by_team:
            held, before = self._held_before_lowering_by_team[team]
            # Other processes may have reclaimed expired units already, so these
            # must not count here.
            scaled = self._count_valid(held, now_ms, short_lease_ms) * limit // before
            valid = min(valid, scaled)
        return min(valid, limit)

    def idle_units(self, team: str, now_ms: int) -> int:
        """Return how many more requests may start now.

        :param team: name of the team.
        :param now_ms: reading of the local clock in milliseconds.
        """
        in_use = len(self._running_by_team.get(team, ()))
        return max(0, self.usable_units(team, now_ms) - in_use)

    def acquire_unit(self, team: str, request_id: str, now_ms: int) -> bool:
        """Reserve a unit for a request that is about to start.

        :returns: false if no unit is free.
        """
        if request_id in self._teams_by_request:
            return True
        running = self._running_by_team.setdefault(team, {})
        if len(running) >= self.usable_units(team, now_ms):
            return False
        running[request_id] = None
        self._teams_by_request[request_id] = team
        return True

    def has_valid_unit(self, request_id: str, now_ms: int) -> bool:
        """Tell whether the unit of a running request is still valid.

        The requests that started first are counted on the long leases.
        """
        team = self._teams_by_request.get(request_id)
        if team is None:
            return False
        held = self._held_by_team.get(team, (0, 0))
        valid = self._count_valid(held, now_ms, self._settings.short_hold_ms)
        running = self._running_by_team[team]
        if valid >= len(running):
            return True
        return request_id in list(running)[:valid]

    def free_unit(self, request_id: str) -> None:
        """Free the unit of a request that is confirmed to have ended."""
        team = self._teams_by_request.pop(request_id, None)
        if team is not None:
            self._running_by_team[team].pop(request_id, None)

    def release_units(
        self, team: str, long_units: int, short_units: int
    ) -> tuple[int, int]:
        """Stop using units that are about to be removed from this holder's row.

        :returns: how many long and short units are no longer used; fewer than asked
            if the others are in use.
        """
        held_long, held_short = self._held_by_team.get(team, (0, 0))
        idle = held_long + held_short - len(self._running_by_team.get(team, ()))
        released_short = max(0, min(short_units, held_short, idle))
        released_long = max(0, min(long_units, held_long, idle - released_short))
        self._held_by_team[team] = (
            held_long - released_long,
            held_short - released_short,
        )
        return released_long, released_short

    def in_use_by_team(self) -> dict[str, int]:
        """Return the number of units with a running request, by team."""
        return {
            team: len(requests)
            for team, requests in self._running_by_team.items()
            if requests
        }


@dataclasses.dataclass(frozen=True)
class UnitDemand:
    """Demand of one holder for units of a team.

    :param in_use: units with a running request.
    :param waiting: requests that wait for a unit.
    """

    in_use: int
    waiting: int

    @property
    def total(self) -> int:
        """Units that the holder could use at once."""
        return self.in_use + self.waiting


@dataclasses.dataclass(frozen=True)
class Absence:
    """Since when a holder is known to be gone, by the clock of the observer.

    :param missing_ms: when its registration was first found missing, or ``None``
        if it is present.
    :param replaced_ms: when another process was first found registered with its
        instance, zone and address, or ``None`` if there is none.
    """

    missing_ms: int | None
    replaced_ms: int | None = None


def split_units(total: int, long_fraction: float) -> tuple[int, int]:
    """Split a holder's units between long and short leases.

    :param long_fraction: fraction of the units that get a long lease.
    :returns: numbers of long and short units.
    """
    long_units = math.floor(total * long_fraction + 0.5)
    return long_units, total - long_units


def _with_row(record: LimitRecord, holder: str, **changes: t.Any) -> LimitRecord:
    row = record.holders[holder].model_copy(update=changes)
    return record.model_copy(update={"holders": {**record.holders, holder: row}})


def _add_units(
    record: LimitRecord, holder: str, amount: int, long_fraction: float
) -> LimitRecord:
    """Add units to a holder.

    Neither of its counts falls, so the holder need not release any first.
    """
    row = record.holders[holder]
    long_share, _ = split_units(row.total + amount, long_fraction)
    long_gain = min(amount, max(0, long_share - row.long))
    return _with_row(
        record,
        holder,
        long=row.long + long_gain,
        short=row.short + amount - long_gain,
    )


def _remove_units(
    record: LimitRecord, holder: str, total: int, long_fraction: float
) -> LimitRecord:
    """Lower a holder's units to a total; neither of its counts rises."""
    row = record.holders[holder]
    long_share, short_share = split_units(total, long_fraction)
    short_units = min(row.short, max(short_share, total - row.long))
    return _with_row(record, holder, long=total - short_units, short=short_units)


def update_registration(
    record: LimitRecord, holder: str, row: HolderRow
) -> LimitRecord:
    """Store the current registration of a holder, keeping the units that it has.

    :param holder: process id.
    :param row: registration, instance, zone and address of the holder; its units
        are ignored.
    """
    old = record.holders.get(holder, HolderRow.model_construct())
    kept = {"long": old.long, "short": old.short, "target": old.target}
    new = row.model_copy(update=kept)
    return record.model_copy(update={"holders": {**record.holders, holder: new}})


def set_limit(record: LimitRecord, limit: int, version: int) -> LimitRecord:
    """Store the limit of a configuration version, unless a newer one is stored.

    If the units held exceed the limit, each holder gets a target in proportion to
    its units; the targets add up to the limit.
    """
    # An equal limit is not written, because each new API key makes a new version.
    if version <= record.limit_version or limit == record.limit:
        return record
    changed = record.model_copy(update={"limit": limit, "limit_version": version})
    total = record.total
    holders = {
        holder: row.model_copy(update={"target": None})
        for holder, row in record.holders.items()
    }
    if total > limit:
        targets = {
            holder: row.total * limit // total for holder, row in holders.items()
        }
        remaining = limit - sum(targets.values())
        for holder in sorted(targets, key=lambda name: (targets[name], name)):
            if remaining and targets[holder] < holders[holder].total:
                targets[holder] += 1
                remaining -= 1
        holders = {
            holder: row.model_copy(update={"target": targets[holder]})
            for holder, row in holders.items()
        }
    return changed.model_copy(update={"holders": holders})


def shrink_to_target(
    record: LimitRecord, holder: str, in_use: int, long_fraction: float
) -> LimitRecord:
    """Lower a holder's units towards its target after the limit was lowered.

    :param in_use: units with a running request, which cannot be released yet.
    """
    row = record.holders.get(holder)
    if row is None or row.target is None:
        return record
    total = max(row.target, min(row.total, in_use))
    if row.total > total:
        record = _remove_units(record, holder, total, long_fraction)
    return record


def _count_missing_units(row: HolderRow) -> int:
    return max(0, row.wanted - row.total)


def _transfer_idle_units(
    record: LimitRecord,
    holder: str,
    need: int,
    base_share: int,
    long_fraction: float,
    reachable: t.Collection[str],
) -> LimitRecord:
    """Transfer idle units of a holder to reachable holders that request more.

    A receiver that only requests its base share gets the units above the donor's own
    base share. One that requests more gets all units that the donor does not need,
    except a reserve.

    :param holder: process id of the donor.
    :param need: units that the donor itself needs.
    :param base_share: units that the donor holds without demand.
    """
    reserve = math.ceil(base_share * RESERVE_FRACTION)
    receivers = [
        name for name in record.holders if name != holder and name in reachable
    ]
    for receiver in sorted(
        receivers, key=lambda name: (record.holders[name].total, name)
    ):
        row, own = record.holders[receiver], record.holders[holder]
        # The base share of another holder may be one unit larger.
        kept = max(need, reserve if row.wanted > base_share + 1 else base_share)
        amount = min(_count_missing_units(row), own.total - kept)
        if amount > 0:
            record = _add_units(record, receiver, amount, long_fraction)
            record = _remove_units(record, holder, own.total - amount, long_fraction)
    return record


def _compute_request(row: HolderRow, wanted_total: int) -> int:
    """Return the number of units to request in the record.

    A recorded request that is at most twice the needed number stays, because each
    change costs a write of the record.
    """
    if row.total >= wanted_total:
        return 0
    if wanted_total <= row.wanted <= 2 * wanted_total:
        return row.wanted
    return wanted_total


def rebalance(
    record: LimitRecord,
    holder: str,
    demand: UnitDemand,
    base_share: int,
    long_fraction: float,
    reachable: t.Collection[str] = (),
) -> LimitRecord:
    """Adapt a holder's units to its demand; the sum never grows above the limit.

    :param holder: process id; it has a row in the record.
    :param demand: demand of the holder.
    :param base_share: units that a holder takes without demand.
    :param reachable: holders with a recent peer report. Units transferred to a
        holder that has failed would be unusable until its long lease expires.
    :returns: the next record, equal to the given one if nothing has to change.
    """
    if record.total > record.limit:
        return shrink_to_target(record, holder, demand.in_use, long_fraction)
    if record.holders[holder].target is not None:
        record = _with_row(record, holder, target=None)
    wanted_total = min(record.limit, max(demand.total, base_share))
    gain = min(record.free, wanted_total - record.holders[holder].total)
    if gain > 0:
        record = _add_units(record, holder, gain, long_fraction)
    row = record.holders[holder]
    wanted = _compute_request(row, wanted_total)
    if wanted != row.wanted:
        record = _with_row(record, holder, wanted=wanted)
    if wanted:
        return record
    return _transfer_idle_units(
        record, holder, demand.total, base_share, long_fraction, reachable
    )


def remove_holder(record: LimitRecord, holder: str) -> LimitRecord:
    """Remove the row of a holder that has stopped using its units."""
    holders = {h: row for h, row in record.holders.items() if h != holder}
    return record.model_copy(update={"holders": holders})


def reclaim(
    record: LimitRecord,
    holder: str,
    absence: Absence,
    now_ms: int,
    settings: QuotaSettings,
) -> LimitRecord:
    """Free the units of a missing or replaced holder once its leases have expired.

    Unless the holder is replaced, the caller must have found its registration
    missing after it read the record.

    :param absence: since when the holder is missing or replaced.
    :param now_ms: reading of the observer's clock in milliseconds.
    """
    row = record.holders.get(holder)
    if row is None:
        return record
    # Time until the last task that the holder started has ended on its worker.
    task_expiry_ms = settings.start_token_ms + settings.task_lease_ms
    # The store ended the holder's lease after short_hold_ms by its own clock; the
    # holder's clock may have run slower meanwhile.
    clock_drift_ms = settings.short_hold_ms * CLOCK_RATE_MARGIN
    short_wait_ms = task_expiry_ms * (1 + CLOCK_RATE_MARGIN) + clock_drift_ms
    long_wait_ms = (settings.long_hold_ms + task_expiry_ms) * (1 + CLOCK_RATE_MARGIN)
    if absence.replaced_ms is not None:
        replaced_wait_ms = task_expiry_ms * (1 + CLOCK_RATE_MARGIN)
        if now_ms - absence.replaced_ms >= replaced_wait_ms:
            return remove_holder(record, holder)
    if absence.missing_ms is None:
        return record
    if now_ms - absence.missing_ms >= long_wait_ms:
        return remove_holder(record, holder)
    if now_ms - absence.missing_ms < short_wait_ms:
        return record
    if not row.long:
        return remove_holder(record, holder)
    return _with_row(record, holder, short=0, wanted=0) if row.short else record

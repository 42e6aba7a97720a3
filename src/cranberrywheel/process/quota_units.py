"""Units of a team's upper limit: use by this process, and the shared record.

``QuotaLedger`` counts the use of units that this process holds. The functions
compute the next state of a ``limits/<team>`` record; the sum over its holders
exceeds its limit only while holders release units after the limit was lowered.
"""

import dataclasses
import math
import typing as t

from cranberrywheel.process.limit_record import HolderRow, LimitRecord
from cranberrywheel.settings import LimitSettings

#: Part of its base that an idle holder keeps when others want units.
RESERVE_FRACTION = 0.25
#: Allowance for clocks that run at different rates.
CLOCK_RATE_MARGIN = 0.01


class QuotaLedger:
    """Counts units held and used; owned by the dispatcher.

    :param settings: hold times.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._held_by_team: dict[str, tuple[int, int]] = {}
        self._limits_by_team: dict[str, int] = {}
        # Units held and limit when a lower limit became known. They scale the
        # units usable for new starts until the sum over all holders fits.
        self._lowered_by_team: dict[str, tuple[tuple[int, int], int]] = {}
        # Running requests of each team, the earliest first; values are unused.
        self._running_by_team: dict[str, dict[str, None]] = {}
        self._teams_by_request: dict[str, str] = {}
        self._renewed_ms: int | None = None

    def set_held(self, team: str, long_units: int, short_units: int) -> None:
        """Set how many units of a team this process holds.

        The counts come from a record whose sum fits the limit last set.
        """
        self._held_by_team[team] = (max(0, long_units), max(0, short_units))
        self._lowered_by_team.pop(team, None)

    def set_limit(self, team: str, limit: int) -> None:
        """Set the upper limit of a team over all entries.

        A lower limit scales the units usable for new starts at once; the other
        holders do the same, so their sum fits. Running requests are not stopped.
        """
        before = self._limits_by_team.get(team, limit)
        if limit < before:
            held = self._held_by_team.get(team, (0, 0))
            self._lowered_by_team.setdefault(team, (held, before))
        elif team in self._lowered_by_team and limit >= self._lowered_by_team[team][1]:
            del self._lowered_by_team[team]
        self._limits_by_team[team] = limit

    def note_lease_renewal(self, started_ms: int) -> None:
        """Note a successful lease renewal.

        :param started_ms: own clock reading before the renewal was sent.
        """
        if self._renewed_ms is None or started_ms > self._renewed_ms:
            self._renewed_ms = started_ms

    def _valid(self, held: tuple[int, int], now_ms: int, short_hold_ms: int) -> int:
        if self._renewed_ms is None:
            return 0
        age_ms = now_ms - self._renewed_ms
        long_units, short_units = held
        valid = long_units if age_ms < self._settings.long_hold_ms else 0
        if age_ms < short_hold_ms:
            valid += short_units
        return valid

    def usable_units(self, team: str, now_ms: int) -> int:
        """Return on how many units requests may start, used ones included.

        :param team: name of the team.
        :param now_ms: own clock reading.
        """
        settings = self._settings
        hold_ms = settings.short_hold_ms - settings.short_hold_margin_ms
        held = self._held_by_team.get(team, (0, 0))
        valid = self._valid(held, now_ms, hold_ms)
        limit = self._limits_by_team.get(team, valid)
        if team in self._lowered_by_team:
            held, before = self._lowered_by_team[team]
            # Expired units may be reclaimed already; they must not count here.
            scaled = self._valid(held, now_ms, hold_ms) * limit // before
            valid = min(valid, scaled)
        return min(valid, limit)

    def idle_units(self, team: str, now_ms: int) -> int:
        """Return how many more requests may start now.

        :param team: name of the team.
        :param now_ms: own clock reading.
        """
        in_use = len(self._running_by_team.get(team, ()))
        return max(0, self.usable_units(team, now_ms) - in_use)

    def acquire_unit(self, team: str, request_id: str, now_ms: int) -> bool:
        """Take a unit for a request that is about to start.

        :returns: false if no unit is usable.
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

        The earliest requests count as running on long units.
        """
        team = self._teams_by_request.get(request_id)
        if team is None:
            return False
        held = self._held_by_team.get(team, (0, 0))
        valid = self._valid(held, now_ms, self._settings.short_hold_ms)
        running = self._running_by_team[team]
        if valid >= len(running):
            return True
        return request_id in list(running)[:valid]

    def free_unit(self, request_id: str) -> None:
        """Free the unit of a request that has certainly ended."""
        team = self._teams_by_request.pop(request_id, None)
        if team is not None:
            self._running_by_team[team].pop(request_id, None)

    def release_units(
        self, team: str, long_units: int, short_units: int
    ) -> tuple[int, int]:
        """Stop using units that are about to be written away.

        :returns: long and short units that are now unusable; lower than asked
            where units are in use.
        """
        held_long, held_short = self._held_by_team.get(team, (0, 0))
        idle = held_long + held_short - len(self._running_by_team.get(team, ()))
        short_out = max(0, min(short_units, held_short, idle))
        long_out = max(0, min(long_units, held_long, idle - short_out))
        self._held_by_team[team] = (held_long - long_out, held_short - short_out)
        return long_out, short_out

    def in_use_by_team(self) -> dict[str, int]:
        """Return how many units have a running request."""
        return {team: len(r) for team, r in self._running_by_team.items() if r}


@dataclasses.dataclass(frozen=True)
class UnitDemand:
    """Units with a running request, and requests that wait for one."""

    in_use: int
    waiting: int

    @property
    def total(self) -> int:
        """Units that would all be used at once."""
        return self.in_use + self.waiting


@dataclasses.dataclass(frozen=True)
class Absence:
    """Since when a holder is known to be gone, on the observer's clock.

    :param missing_ms: when its registration was first seen missing; ``None``
        while it is there.
    :param replaced_ms: when another process was first seen registered with its
        instance, zone and address; ``None`` if that was not seen.
    """

    missing_ms: int | None
    replaced_ms: int | None = None


def split_units(total: int, long_fraction: float) -> tuple[int, int]:
    """Split a holder's units into long and short ones.

    :returns: long and short units.
    """
    long_units = math.floor(total * long_fraction + 0.5)
    return long_units, total - long_units


def _with_row(record: LimitRecord, holder: str, **changes: t.Any) -> LimitRecord:
    row = record.holders[holder].model_copy(update=changes)
    return record.model_copy(update={"holders": {**record.holders, holder: row}})


def _add_units(
    record: LimitRecord, holder: str, amount: int, long_fraction: float
) -> LimitRecord:
    """Add units. No count falls, so the holder need not be asked first."""
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
    """Take units away down to a total. No count rises."""
    row = record.holders[holder]
    long_share, short_share = split_units(total, long_fraction)
    short_units = min(row.short, max(short_share, total - row.long))
    return _with_row(record, holder, long=total - short_units, short=short_units)


def update_registration(
    record: LimitRecord, holder: str, row: HolderRow
) -> LimitRecord:
    """Enter a holder's present registration, keeping the units that it has.

    :param holder: process id.
    :param row: identity of the holder; its units are ignored.
    """
    old = record.holders.get(holder, HolderRow.model_construct())
    kept = {"long": old.long, "short": old.short, "target": old.target}
    new = row.model_copy(update=kept)
    return record.model_copy(update={"holders": {**record.holders, holder: new}})


def set_limit(record: LimitRecord, limit: int, version: int) -> LimitRecord:
    """Enter the limit of a configuration version, unless a later one is known.

    When the units held exceed the limit, each holder gets a target in proportion
    to its units; the targets add up to the limit.
    """
    # An equal limit is not written: every grant of a key is a new version.
    if version <= record.limit_version or limit == record.limit:
        return record
    changed = record.model_copy(update={"limit": limit, "limit_version": version})
    total = record.total
    holders = {
        holder: row.model_copy(update={"target": None})
        for holder, row in record.holders.items()
    }
    if total > limit:
        targets = {h: row.total * limit // total for h, row in holders.items()}
        left = limit - sum(targets.values())
        for holder in sorted(targets, key=lambda h: (targets[h], h)):
            if left and targets[holder] < holders[holder].total:
                targets[holder] += 1
                left -= 1
        holders = {
            h: row.model_copy(update={"target": targets[h]})
            for h, row in holders.items()
        }
    return changed.model_copy(update={"holders": holders})


def shrink_to_target(
    record: LimitRecord, holder: str, in_use: int, long_fraction: float
) -> LimitRecord:
    """Bring a holder towards its target after the limit was lowered.

    :param in_use: units that cannot be released yet.
    """
    row = record.holders.get(holder)
    if row is None or row.target is None:
        return record
    total = max(row.target, min(row.total, in_use))
    if row.total > total:
        record = _remove_units(record, holder, total, long_fraction)
    return record


def _unmet(row: HolderRow) -> int:
    return max(0, row.wanted - row.total)


def _transfer_idle_units(
    record: LimitRecord,
    holder: str,
    need: int,
    base: int,
    long_fraction: float,
    reachable: t.Collection[str],
) -> LimitRecord:
    """Give idle units of a holder to those that want more.

    A holder that only wants its base gets units above the giver's own base. One
    with more demand gets all that the giver does not need, except a reserve.
    """
    reserve = math.ceil(base * RESERVE_FRACTION)
    wanting = [h for h in record.holders if h != holder and h in reachable]
    for taker in sorted(wanting, key=lambda h: (record.holders[h].total, h)):
        row, own = record.holders[taker], record.holders[holder]
        # The base of another holder may be one unit more.
        kept = max(need, reserve if row.wanted > base + 1 else base)
        amount = min(_unmet(row), own.total - kept)
        if amount > 0:
            record = _add_units(record, taker, amount, long_fraction)
            record = _remove_units(record, holder, own.total - amount, long_fraction)
    return record


def _wanted(row: HolderRow, wanted_total: int) -> int:
    """Return the request to record; an earlier one that is close enough stays.

    Each change of it costs a write of the record.
    """
    if row.total >= wanted_total:
        return 0
    if wanted_total <= row.wanted <= 2 * wanted_total:
        return row.wanted
    return wanted_total


def rebalance(
    record: LimitRecord,
    holder: str,
    need: UnitDemand,
    base: int,
    long_fraction: float,
    reachable: t.Collection[str] = (),
) -> LimitRecord:
    """Adapt a holder's units to its need; the sum never grows above the limit.

    :param holder: process id; it has a row in the record.
    :param need: use and demand of the holder.
    :param base: units that a holder takes without demand.
    :param reachable: holders that were heard lately. Units lent to a holder that
        has failed would be lost for the long hold.
    :returns: the next record, equal to the given one if nothing should change.
    """
    if record.total > record.limit:
        return shrink_to_target(record, holder, need.in_use, long_fraction)
    if record.holders[holder].target is not None:
        record = _with_row(record, holder, target=None)
    wanted_total = min(record.limit, max(need.total, base))
    gain = min(record.free, wanted_total - record.holders[holder].total)
    if gain > 0:
        record = _add_units(record, holder, gain, long_fraction)
    row = record.holders[holder]
    wanted = _wanted(row, wanted_total)
    if wanted != row.wanted:
        record = _with_row(record, holder, wanted=wanted)
    if wanted:
        return record
    return _transfer_idle_units(
        record, holder, need.total, base, long_fraction, reachable
    )


def remove_holder(record: LimitRecord, holder: str) -> LimitRecord:
    """Remove a holder that has stopped using its units."""
    holders = {h: row for h, row in record.holders.items() if h != holder}
    return record.model_copy(update={"holders": holders})


def reclaim(
    record: LimitRecord,
    holder: str,
    absence: Absence,
    now_ms: int,
    settings: LimitSettings,
) -> LimitRecord:
    """Free the units of a missing or replaced holder after its hold times.

    Unless the holder is replaced, the caller must see the registration missing
    after it read the record.

    :param absence: since when the holder is missing.
    :param now_ms: the observer's clock reading.
    """
    row = record.holders.get(holder)
    if row is None:
        return record
    fence_ms = settings.start_token_ms + settings.task_lease_ms
    # The store's clock ended the lease after short_hold_ms; the holder's own
    # clock may have run slower meanwhile.
    rate_ms = settings.short_hold_ms * CLOCK_RATE_MARGIN
    short_wait_ms = fence_ms * (1 + CLOCK_RATE_MARGIN) + rate_ms
    long_wait_ms = (settings.long_hold_ms + fence_ms) * (1 + CLOCK_RATE_MARGIN)
    if absence.replaced_ms is not None:
        replaced_wait_ms = fence_ms * (1 + CLOCK_RATE_MARGIN)
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

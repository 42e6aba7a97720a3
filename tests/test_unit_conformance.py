import dataclasses

import testtools
from hypothesis.stateful import run_state_machine_as_test

from cranberrywheel.process import quota_units
from cranberrywheel.process.membership import MissingHolders
from cranberrywheel.process.quota_units import QuotaLedger
from cranberrywheel.version.records import WriteOutcome, resolve_lost_write
from cranberrywheel_spec.compare import build_run_settings
from cranberrywheel_spec.unit_times_conformance import UnitTimesMachine
from cranberrywheel_spec.unit_transfers_conformance import UnitTransfersMachine


class NonReleasingLedger(QuotaLedger):
    def release_units(self, team, long_units, short_units):
        held_units = self._held_by_team[team]
        released = super().release_units(team, long_units, short_units)
        self._held_by_team[team] = held_units
        return released


class LateExpiryLedger(QuotaLedger):
    def has_valid_unit(self, request_id, now_ms):
        return super().has_valid_unit(request_id, now_ms - 900)


class MergedAbsenceHolders(MissingHolders):
    """Counts a second absence of a holder from the start of the first."""

    def observe(self, records, registrations, now_ms):
        absences_by_holder = {
            holder: absence for (holder, _), absence in self._absences.items()
        }
        for record in records:
            for holder, row in record.holders.items():
                if holder in absences_by_holder:
                    self._absences[holder, row.registration] = absences_by_holder[
                        holder
                    ]
        super().observe(records, registrations, now_ms)


def resolve_pending_as_not_written(write, current):
    outcome = resolve_lost_write(write, current)
    return WriteOutcome.NOT_WRITTEN if outcome is WriteOutcome.PENDING else outcome


def rebalance_beyond_limit(record, holder, need, base, fraction, reachable=()):
    record = record.model_copy(update={"limit": record.limit + 1})
    return quota_units.rebalance(record, holder, need, base, fraction, reachable)


def reclaim_without_rate_margin(record, holder, absence, now_ms, limits):
    now_ms += int(limits.short_hold_ms * quota_units.CLOCK_RATE_MARGIN)
    return quota_units.reclaim(record, holder, absence, now_ms, limits)


def reclaim_early_after_reuse(record, holder, absence, now_ms, limits):
    if absence.replaced_ms is not None:
        absence = dataclasses.replace(absence, replaced_ms=absence.replaced_ms - 121)
    return quota_units.reclaim(record, holder, absence, now_ms, limits)


class UnitConformanceTest(testtools.TestCase):
    """Guards against conformance checks that miss faults in the quota unit code."""

    def assert_detected(self, machine, **changes):
        changes = {
            name: value if isinstance(value, type) else staticmethod(value)
            for name, value in changes.items()
        }
        faulty_class = type("Changed", (machine,), changes)
        self.assertRaises(
            AssertionError,
            run_state_machine_as_test,
            faulty_class,
            settings=build_run_settings(500),
        )

    def test_faulty_transfers_are_detected(self):
        self.assert_detected(UnitTransfersMachine, make_ledger=NonReleasingLedger)
        self.assert_detected(
            UnitTransfersMachine, resolve=resolve_pending_as_not_written
        )
        self.assert_detected(UnitTransfersMachine, rebalance=rebalance_beyond_limit)

    def test_faulty_unit_times_are_detected(self):
        self.assert_detected(UnitTimesMachine, make_ledger=LateExpiryLedger)
        self.assert_detected(UnitTimesMachine, make_missing=MergedAbsenceHolders)
        self.assert_detected(UnitTimesMachine, reclaim=reclaim_without_rate_margin)
        self.assert_detected(UnitTimesMachine, reclaim=reclaim_early_after_reuse)

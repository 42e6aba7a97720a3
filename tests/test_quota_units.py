import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywheel.errors import StoreError
from cranberrywheel.process import limit_record, quota_units
from cranberrywheel.process.limit_record import HolderRow, LimitRecord
from cranberrywheel.process.quota_units import Absence, QuotaLedger, UnitDemand
from cranberrywheel.settings import QuotaSettings

SETTINGS = QuotaSettings(short_hold_ms=90_000)
HOLDERS = "abcd"
COUNTS = st.integers(0, 12)


def make_row(long_units=0, short_units=0, **fields):
    return HolderRow(
        long=long_units,
        short=short_units,
        registration=1,
        instance="e",
        zone="z",
        address="127.0.0.1:1",
        **fields,
    )


class QuotaLedgerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = QuotaLedger(SETTINGS)
        self.ledger.set_limit("t", 10)
        self.ledger.set_held("t", 2, 3)

    def test_units_expire_with_their_leases(self):
        """Units must expire by the local clock, without any message."""
        self.assertEqual(0, self.ledger.usable_units("t", 0))
        self.ledger.note_lease_renewal(1_000)
        self.ledger.note_lease_renewal(500)
        usable = {
            at_ms: self.ledger.usable_units("t", 1_000 + at_ms)
            for at_ms in (0, 59_999, 60_000, 3_899_999, 3_900_000)
        }
        expected = {0: 5, 59_999: 5, 60_000: 2, 3_899_999: 2, 3_900_000: 0}
        self.assertEqual(expected, usable)

    def test_latest_requests_lose_their_units_first(self):
        """Units on long leases must keep requests running during a store outage."""
        self.ledger.note_lease_renewal(0)
        taken = [self.ledger.acquire_unit("t", f"r{n}", 0) for n in range(6)]
        self.assertEqual([True] * 5 + [False], taken)

        def renewable(now_ms):
            return [n for n in range(5) if self.ledger.has_valid_unit(f"r{n}", now_ms)]

        self.assertEqual([0, 1, 2, 3, 4], renewable(89_999))
        self.assertEqual([0, 1], renewable(90_000))
        self.ledger.free_unit("r0")
        self.assertEqual([1, 2], renewable(90_000))
        self.assertEqual([], renewable(3_900_000))
        self.assertFalse(self.ledger.has_valid_unit("unknown", 0))

    def test_units_in_use_are_not_released(self):
        """A unit with a running request must not be transferred to another entry."""
        self.ledger.note_lease_renewal(0)
        for n in range(3):
            self.ledger.acquire_unit("t", f"r{n}", 0)
        self.assertEqual((0, 2), self.ledger.release_units("t", 2, 3))
        self.assertFalse(self.ledger.acquire_unit("t", "r3", 0))
        self.assertEqual({"t": 3}, self.ledger.in_use_by_team())

    def test_lowered_limit_applies_to_new_requests_at_once(self):
        """Until the record changes, new requests could exceed the limit."""
        self.ledger.note_lease_renewal(0)
        for n in range(4):
            self.ledger.acquire_unit("t", f"r{n}", 0)
        self.ledger.set_limit("t", 6)
        self.assertEqual(3, self.ledger.usable_units("t", 0))
        self.assertTrue(self.ledger.has_valid_unit("r3", 0))
        self.ledger.set_limit("t", 2)
        self.assertEqual(1, self.ledger.usable_units("t", 0))
        self.ledger.set_limit("t", 10)
        self.assertEqual(5, self.ledger.usable_units("t", 0))
        self.ledger.set_limit("t", 5)
        # The short units have expired and may have been reclaimed by others.
        self.assertEqual(1, self.ledger.usable_units("t", 60_000))


class LimitRecordTest(testtools.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(HOLDERS), COUNTS, COUNTS, st.integers(1, 12)),
            max_size=20,
        ),
        st.sampled_from([0, 0.3, 0.5, 1]),
    )
    def test_rebalance_keeps_the_limit_and_lowers_only_the_writer(
        self, steps, fraction
    ):
        """Units of another holder may be in use until that holder releases them."""
        holders = {h: make_row() for h in HOLDERS}
        record = LimitRecord(limit=12, limit_version=1, holders=holders)
        for version, (holder, in_use, waiting, limit) in enumerate(steps, 2):
            before = record
            if in_use == 0:
                record = quota_units.set_limit(record, limit, version)
                self.assertEqual(before.total, record.total)
            need = UnitDemand(min(in_use, record.holders[holder].total), waiting)
            record = quota_units.rebalance(record, holder, need, 3, fraction, HOLDERS)
            self.assertLessEqual(record.total, max(before.total, record.limit))
            if before.total > record.limit:
                self.assertLessEqual(record.total, before.total)
            self.assertGreaterEqual(record.holders[holder].total, need.in_use)
            for other in set(HOLDERS) - {holder}:
                old, new = before.holders[other], record.holders[other]
                self.assertGreaterEqual(new.long, old.long)
                self.assertGreaterEqual(new.short, old.short)
            self.assertEqual(record, limit_record.parse(limit_record.dump(record)))

    def test_lowered_limit_is_met_by_all_holders_together(self):
        """Rounded targets must neither exceed the limit nor leave units unused."""
        holders = {"a": make_row(3, 3), "b": make_row(2, 2), "c": make_row(1, 1)}
        record = LimitRecord(limit=12, limit_version=1, holders=holders)
        record = quota_units.set_limit(record, 5, 2)
        self.assertEqual(record, quota_units.set_limit(record, 12, 1))
        for holder in "abc":
            record = quota_units.rebalance(record, holder, UnitDemand(0, 9), 1, 0.5)
        self.assertEqual(5, record.total)

    def test_units_are_transferred_only_to_reachable_holders(self):
        """Units of a failed holder are unusable until its long lease ends."""
        holders = {
            "a": make_row(6, 6),
            "b": make_row(wanted=8),
            "c": make_row(wanted=8),
        }
        record = LimitRecord(limit=12, limit_version=1, holders=holders)
        record_after = quota_units.rebalance(
            record, "a", UnitDemand(2, 0), 4, 0.5, {"c"}
        )
        totals = [record_after.holders[h].total for h in "abc"]
        self.assertEqual([4, 0, 8], totals)

    def free_units_after_reclaim(self, missing_ms, replaced_ms, now_ms):
        record = LimitRecord(limit=12, limit_version=1, holders={"a": make_row(2, 3)})
        absence = Absence(missing_ms, replaced_ms)
        return quota_units.reclaim(record, "a", absence, now_ms, SETTINGS).free

    def test_reclaim_waits_for_quota_lease_start_token_and_task_lease(self):
        """An earlier reclaim would let two entries use the same unit."""
        short_ms = 12_120 + 900
        self.assertEqual(7, self.free_units_after_reclaim(0, None, short_ms - 1))
        self.assertEqual(10, self.free_units_after_reclaim(0, None, short_ms))
        long_ms = 3_912_000 * 101 // 100
        self.assertEqual(10, self.free_units_after_reclaim(0, None, long_ms - 1))
        self.assertEqual(12, self.free_units_after_reclaim(0, None, long_ms))

    def test_reclaim_of_a_replaced_holder_waits_for_its_tasks_only(self):
        """The old process has stopped, since its port is taken; its tasks may run."""
        self.assertEqual(7, self.free_units_after_reclaim(None, 0, 12_119))
        self.assertEqual(12, self.free_units_after_reclaim(None, 0, 12_120))

    def test_malformed_record_is_rejected(self):
        """Units taken from a malformed record could exceed a limit."""
        for body in ({}, {"limit": -1, "limit_version": 1}, {"holders": {"a": {}}}):
            self.assertRaises(StoreError, limit_record.parse, body)

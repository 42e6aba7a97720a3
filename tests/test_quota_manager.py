import random

import testtools
from entry_group_fixtures import TEXT, build_entry_group

from cranberrywheel.errors import StoreError
from cranberrywheel.process.messages import Stop
from cranberrywheel.settings import QuotaSettings
from cranberrywheel.version.records import parse_record

LIMIT = 12


class QuotaManagerTest(testtools.TestCase):
    def build_group(self, count=3, limits=None):
        group = build_entry_group(count, limits)
        group.entries[0].apply_configuration(TEXT, 0).result(0)
        group.run(8_000)
        return group

    def test_units_spread_over_entries_and_follow_demand(self):
        """A burst lasts some seconds; units transferred later are of no use."""
        group = self.build_group()
        self.assertEqual([4, 4, 4], [e.count_usable_units("t") for e in group.entries])
        group.entries[0].waiting_by_team = {"t": 10}
        group.run(5_000)
        self.assertEqual(10, len(group.entries[0].lease_ends_by_request))
        for request_id in list(group.entries[0].lease_ends_by_request):
            group.entries[0].finish_task(request_id)
        group.run(10_000)
        self.assertEqual([4, 4, 4], [e.count_usable_units("t") for e in group.entries])

    def test_remainder_of_the_division_is_held_too(self):
        """Units that no entry holds cannot be used during a store outage."""
        group = self.build_group(5)
        text = TEXT.replace("limit = 12", "limit = 14")
        group.entries[0].apply_configuration(text, 1).result(0)
        group.run(8_000)
        self.assertEqual(14, group.count_usable_units("t"))

    def test_units_last_for_their_leases_during_a_store_outage(self):
        """All units must last for 60 s, and those on long leases for an hour."""
        group = self.build_group()
        group.set_store_unreachable(True)
        usable = {}
        for at_s in (29, 3_600, 3_960):
            group.clock.advance(at_s * 1_000 - sum(usable))
            usable[at_s * 1_000 - sum(usable)] = group.count_usable_units("t")
        self.assertEqual([12, 6, 0], list(usable.values()))
        group.set_store_unreachable(False)
        group.run(8_000)
        self.assertEqual(LIMIT, group.count_usable_units("t"))

    def test_lost_store_responses_during_transfers_do_not_duplicate_units(self):
        """Neither entry may use a unit whose transfer is not confirmed."""
        group = self.build_group()
        a, b, _ = group.entries
        a.waiting_by_team = {"t": 12}
        for round_number in range(60):
            giver = group.entries[1 + round_number % 2]
            giver.clients[0].unanswered_writes = a.clients[0].unanswered_writes = 1
            group.run(500, check=lambda: self.assert_limit_holds(group))
        self.assertEqual(10, len(a.lease_ends_by_request))

    def assert_limit_holds(self, group):
        self.assertLessEqual(group.count_held_units("t"), LIMIT)
        self.assertLessEqual(group.count_usable_units("t"), LIMIT)
        self.assertLessEqual(group.count_running_tasks(), LIMIT)

    def test_delayed_write_does_not_duplicate_units(self):
        """The write that transfers units may arrive after the record was read back."""
        group = self.build_group(2)
        a, b = group.entries
        b.clients[0].delay_writes = True
        a.waiting_by_team = {"t": 12}
        group.run(6_000, check=lambda: self.assert_limit_holds(group))
        b.clients[0].delay_writes = False
        b.waiting_by_team = {"t": 12}
        for send in b.clients[0].delayed_writes:
            send()
            group.run(3_000, check=lambda: self.assert_limit_holds(group))
        self.assertEqual(LIMIT, group.count_running_tasks())

    def test_old_list_does_not_undo_a_write(self):
        """The list is read on another connection and may be older than the write."""
        group = self.build_group(2)
        a, b = group.entries
        old = a.clients[1].list("limits/")
        b.waiting_by_team = {"t": 9}
        group.run(6_000)
        self.assertEqual(3, a.count_usable_units("t"))
        a.session._quota_manager.update_from_list(old, [], group.clock.now_ms())
        self.assertEqual(3, a.count_usable_units("t"))

    def test_reclaim_is_not_written_after_the_holder_registered_again(self):
        """A holder may use units between registering and changing its records."""
        group = self.build_group(2)
        a, b = group.entries
        b.paused = True
        group.run(90_000)
        a.session.reader.step = lambda: None
        a.set_store_unreachable(True)
        group.run(15_000)
        b.paused = False
        b.clients[0].put = self.put_registration_only(b.clients[0])
        b.step()
        a.set_store_unreachable(False)
        group.run(4_000)
        self.assertEqual((3, 3), group.read_units_by_holder("t")[b.process_id])

    @staticmethod
    def put_registration_only(client):
        put = client.put

        def put_until_other_key(key, *args):
            if not key.startswith("entries/"):
                client.down = True
            return put(key, *args)

        return put_until_other_key

    def test_reclaim_prepared_before_the_holder_registered_again_fails(self):
        """The holder changes its records before it uses units again."""
        group = self.build_group(2)
        a, b = group.entries
        put = a.clients[0].put
        b.paused = True

        def put_after_registration(key, *args):
            if key == "limits/t" and b.paused:
                b.paused = False
                b.session._renew_lease_if_due(group.clock.now_ms())
            try:
                return put(key, *args)
            finally:
                held = sum(group.read_units_by_holder("t")[b.process_id])
                self.assertLessEqual(b.count_usable_units("t"), held)

        group.run(90_000)
        a.clients[0].put = put_after_registration
        group.run(15_000, check=lambda: self.assert_limit_holds(group))
        self.assertFalse(b.paused)
        self.assertEqual(6, b.count_usable_units("t"))
        self.assertEqual((3, 3), group.read_units_by_holder("t")[b.process_id])

    def test_long_units_of_a_failed_entry_are_reclaimed_after_their_lease(self):
        """Units must become free again, but not before their leases expire."""
        group = self.build_group(
            3, QuotaSettings(short_hold_ms=90_000, long_hold_ms=200_000)
        )
        group.entries[2].paused = True
        group.run(110_000)
        self.assertEqual(
            (2, 0), group.read_units_by_holder("t")[group.entries[2].process_id]
        )
        self.assertEqual(10, sum(e.count_usable_units("t") for e in group.entries[:2]))
        group.run(210_000)
        self.assertEqual(12, sum(e.count_usable_units("t") for e in group.entries[:2]))

    def test_replacement_on_the_same_address_frees_the_units(self):
        """An ordinary restart must not make units unusable for an hour."""
        group = self.build_group(3)
        group.replace_entry(2, "b")
        group.run(20_000, check=lambda: self.assert_limit_holds(group))
        self.assertEqual([4, 4, 4], [e.count_usable_units("t") for e in group.entries])

    def test_lowered_limit_is_met_as_requests_end(self):
        """New requests must meet the limit at once, and the record as requests end."""
        group = self.build_group()
        a, b, c = group.entries
        a.waiting_by_team = {"t": 4}
        b.waiting_by_team = {"t": 4}
        group.run(1_000)
        a.apply_configuration(TEXT.replace("limit = 12", "limit = 6"), 1).result(0)
        group.run(1_000)
        c.waiting_by_team = {"t": 5}
        group.run(4_000)
        self.assertEqual(8 + 2, group.count_running_tasks())
        for entry in (a, b):
            for request_id in list(entry.lease_ends_by_request)[:3]:
                entry.finish_task(request_id)
        group.run(12_000)
        self.assertEqual(
            (6, 6), (group.count_held_units("t"), group.count_usable_units("t"))
        )
        a.apply_configuration(TEXT.replace("limit = 12", "limit = 9"), 2).result(0)
        group.run(8_000)
        self.assertEqual(9, group.count_usable_units("t"))

    def test_count_of_a_record_with_the_old_limit_is_not_used(self):
        """Another entry may write the record before it knows the new limit."""
        group = self.build_group()
        a, b, c = group.entries
        c.paused = b.isolated = True
        b.session.reader.step = lambda: None
        put = a.clients[0].put

        def delay_limit_writes(key, *args):
            a.clients[0].delay_writes = key.startswith("limits/")
            return put(key, *args)

        a.clients[0].put = delay_limit_writes
        a.apply_configuration(TEXT.replace("limit = 12", "limit = 6"), 1).result(0)
        set_held, usable = a.ledger.set_held, [a.count_usable_units("t")]

        def set_held_and_record(*args):
            set_held(*args)
            usable.append(a.count_usable_units("t"))

        a.ledger.set_held = set_held_and_record
        b.waiting_by_team = {"t": 9}
        group.run(5_000)
        self.assertEqual(2, max(usable))

    def test_stop_returns_units_and_the_registration(self):
        """A graceful stop must not make units unusable."""
        group = self.build_group()
        a = group.entries[0]
        stopped = a.send_request(lambda future: None)
        a.session.stop(Stop(stopped))
        self.assertIsNone(stopped.result(0))
        self.assertEqual(0, a.count_usable_units("t"))
        self.assertEqual(2, len(group.platform.list("entries/")))
        group.entries = group.entries[1:]
        group.run(8_000)
        self.assertEqual([6, 6], [e.count_usable_units("t") for e in group.entries])

    def test_malformed_record_affects_only_its_team(self):
        """Other teams must still get units, and the lease must still be renewed."""
        group = self.build_group()
        revision = group.platform.get("limits/t").revision
        group.platform.put("limits/t", "{}", revision, "")
        group.run(40_000)
        record = group.entries[0].clients[0].get("limits/t")
        self.assertRaises(StoreError, parse_record, record)
        self.assertTrue(all(e.has_fresh_keys() for e in group.entries))


class FaultHistoryTest(testtools.TestCase):
    """Random pauses, replacements, outages and lost or delayed writes."""

    STEPS = 500

    def repair_entry(self, entry):
        entry.set_store_unreachable(False)
        entry.paused = entry.isolated = entry.clients[0].delay_writes = False
        delayed, entry.clients[0].delayed_writes = entry.clients[0].delayed_writes, []
        self.rng.shuffle(delayed)
        for send in delayed:
            send()

    def inject_fault(self, second):
        rng = self.rng
        entry = rng.choice(self.group.entries)
        fault = rng.choices(
            [
                "",
                "paused",
                "down",
                "isolated",
                "unanswered_writes",
                "delay_writes",
                "replace",
            ],
            [91, 2, 2, 0.5, 2, 1.5, 1],
        )[0]
        if fault == "replace":
            self.group.replace_entry(self.group.entries.index(entry), f"s{second}")
        elif fault == "down":
            entry.set_store_unreachable(True)
        elif fault in ("unanswered_writes", "delay_writes"):
            setattr(entry.clients[0], fault, True)
        elif fault:
            setattr(entry, fault, True)
        if fault:
            duration_s = rng.choice([3, 30, 105, 130, 300])
            self.repairs.append((second + duration_s, entry))
        for at, faulty_entry in list(self.repairs):
            if at <= second:
                self.repairs.remove((at, faulty_entry))
                self.repair_entry(faulty_entry)

    def run_history(self, seed):
        print("seed", seed)
        self.rng, self.repairs = random.Random(seed), []
        self.group = build_entry_group(
            4, QuotaSettings(short_hold_ms=90_000, long_hold_ms=240_000)
        )
        self.group.entries[0].apply_configuration(TEXT, 0).result(0)
        self.group.run(4_000)
        end_chance = self.rng.choice([0.01, 0.1])
        running = 0
        for second in range(self.STEPS):
            self.inject_fault(second)
            for entry in self.group.entries:
                waiting = entry.waiting_by_team.get("t", 0)
                waiting = max(waiting, self.rng.choice([0, 0, 0, 8]))
                entry.waiting_by_team = {"t": waiting}
                for request_id in list(entry.lease_ends_by_request):
                    if not entry.paused and self.rng.random() < end_chance:
                        entry.finish_task(request_id)
            self.group.run(1_000, 1_000)
            self.assertLessEqual(self.group.count_held_units("t"), LIMIT)
            self.assertLessEqual(self.group.count_running_tasks(), LIMIT)
            running += self.group.count_running_tasks()
        for entry in self.group.entries:
            versions = entry.versions
            self.assertEqual(sorted(versions), versions)
        # With few running requests, the limit could not be exceeded anyway.
        self.assertGreater(running / self.STEPS, LIMIT / 3)

    def test_limit_holds_in_random_fault_histories(self):
        for seed in range(1, 5):
            self.run_history(seed)

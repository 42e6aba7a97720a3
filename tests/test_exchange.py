import testtools
from entry_group_fixtures import TEXT, build_entry_group

from cranberrywheel.connection.store_client import Record
from cranberrywheel.errors import PeerError, StoreError
from cranberrywheel.generated.peer_pb2 import ConfigurationRecord
from cranberrywheel.process.exchange import check_state
from cranberrywheel.process.limit_record import HolderRow, LimitRecord
from cranberrywheel.process.membership import (
    MissingHolders,
    Registration,
    parse_registration,
)
from cranberrywheel.process.messages import (
    KeyRevoked,
    LoadReport,
    PeerLoad,
    PeerLost,
    PeerReport,
)
from cranberrywheel_load.entry_group import exchange_once


class ExchangeTest(testtools.TestCase):
    def group(self, count=3):
        group = build_entry_group(count)
        group.entries[0].apply_configuration(TEXT, 0).result(0)
        group.run(5_000)
        return group, group.entries

    def received(self, entry, kind):
        return [m for m in entry.messages if isinstance(m, kind)]

    def count_reads(self, cut_off):
        group, entries = self.group()
        reads = []
        for entry in entries:
            entry.isolated = cut_off
            client = entry.clients[1]
            get = client.get
            client.get = lambda *args, get=get: reads.append(args) or get(*args)
        for _ in range(120):
            group.run(500)
            self.assertTrue(all(e.has_fresh_keys() for e in entries))
        return len(reads)

    def test_store_reads_are_shared(self):
        """Without shared freshness proofs, store load grows with the entry count."""
        self.assertLess(self.count_reads(False), 0.6 * self.count_reads(True))

    def test_proof_of_a_peer_ages_by_the_whole_exchange(self):
        """A slow answer must not make an old freshness proof look recent."""
        group, (a, b, _) = self.group()
        group.set_store_unreachable(True)
        group.clock.advance(60_000)
        b.exchange.record_store_read(group.clock.now_ms() - 1_000)
        exchange_once(a, b, delay_ms=3_500)
        self.assertEqual(4_500, a.freshness.age_ms(group.clock.now_ms()))

    def test_proof_of_a_slow_read_counts_from_before_it(self):
        """A revocation may be stored after the store has built its answer."""
        group, (a, _, _) = self.group()
        client = a.clients[1]
        get = client.get

        def get_slowly(*args):
            answer = get(*args)
            group.clock.advance(3_000)
            return answer

        client.get = get_slowly
        group.clock.advance(60_000)
        a.session.reader.read_configuration()
        self.assertEqual(3_000, a.freshness.age_ms(group.clock.now_ms()))

    def test_messages_of_entries_prove_nothing_while_the_store_is_read(self):
        """Peer reports prove nothing: an entry may just have registered."""
        group, (a, _, _) = self.group()
        for _ in range(20):
            group.run(500)
            proof_ms = a.freshness.age_ms(group.clock.now_ms())
            self.assertEqual(a.exchange.store_read_age_ms(), proof_ms)

    def test_registered_entry_without_any_report(self):
        """Such an entry may know a revocation that no other entry knows."""
        group = build_entry_group(3)
        a, b, c = group.entries
        c.isolated = True
        a.apply_configuration(TEXT, 0).result(0)
        group.run(5_000)
        group.set_store_unreachable(True)
        group.run(6_000)
        self.assertEqual([False, False], [a.has_fresh_keys(), b.has_fresh_keys()])

    def test_ages_in_unsolicited_messages_do_not_count(self):
        """A message may have waited in a paused receiver for any length of time."""
        group, (a, b, _) = self.group()
        state = b.exchange.build_state()
        group.clock.advance(60_000)
        a.exchange.merge_state(state, None)
        self.assertFalse(a.has_fresh_keys())

    def test_store_down_for_all_entries(self):
        """Keys must stay fresh without the store while all entries reach each other."""
        group, entries = self.group()
        group.set_store_unreachable(True)
        for _ in range(300):
            group.run(500)
            self.assertTrue(all(e.has_fresh_keys() for e in entries))

    def test_silent_entry_ends_freshness_without_the_store(self):
        """An entry that sends no reports may have accepted a revocation."""
        group, (a, b, c) = self.group()
        group.set_store_unreachable(True)
        c.isolated = True
        group.run(4_000)
        self.assertEqual([True, True], [a.has_fresh_keys(), b.has_fresh_keys()])
        group.run(2_000)
        fresh = [a.has_fresh_keys(), b.has_fresh_keys(), c.has_fresh_keys()]
        self.assertEqual([False, False, False], fresh)

    def test_age_of_a_message_is_relayed(self):
        """Entries that cannot reach each other must stay fresh through a third one."""
        group, (a, b, c) = self.group()
        group.set_store_unreachable(True)
        for _ in range(40):
            for caller, peer in ((c, b), (b, c), (b, a), (a, b)):
                exchange_once(caller, peer)
            group.clock.advance(500)
        self.assertTrue(a.has_fresh_keys() and c.has_fresh_keys())

    def test_revocation_during_an_outage_reaches_all_entries(self):
        """A tombstone must reach relayed entries before their proof is renewed."""
        group, (a, b, c) = self.group()
        key_id = a.create_key("t").result(0).partition(".")[0]
        group.run(3_000)
        group.set_store_unreachable(True)
        group.run(2_000)
        answer = a.revoke_key(key_id)
        self.assertFalse(answer.done())
        exchange_once(c, b)
        self.assertEqual([], self.received(c, KeyRevoked))
        exchange_once(b, a)
        exchange_once(c, b)
        for entry in (a, b, c):
            self.assertIn(KeyRevoked(key_id), entry.messages)
        group.run(6_000)
        result = answer.result(0)
        self.assertFalse(result["stored"])
        self.assertEqual({e.process_id for e in (a, b, c)}, set(result["confirmed"]))
        group.set_store_unreachable(False)
        group.run(6_000)
        self.assertIn(key_id, c.exchange.active_configuration.snapshot.revoked_key_ids)
        self.assertEqual(set(), b.exchange.list_unwritten_tombstones())

    def test_older_proof_does_not_hide_a_newer_version(self):
        """A proof covers the version of its sender and is invalid without it."""
        group, (a, b, _) = self.group()
        group.set_store_unreachable(True)
        group.clock.advance(60_000)
        record = b.exchange.active_configuration.record
        newer = ConfigurationRecord(version=99, record_json=record.value)
        b.exchange.adopt_fetched(newer)
        b.exchange.record_store_read(group.clock.now_ms())
        state = b.exchange.build_state()
        self.assertFalse(a.exchange.merge_state(state, group.clock.now_ms()))
        self.assertFalse(a.has_fresh_keys())
        a.exchange.adopt_fetched(
            b.exchange.get_newer_record(a.exchange.active_configuration.version)
        )
        self.assertTrue(a.exchange.merge_state(state, group.clock.now_ms()))
        self.assertTrue(a.has_fresh_keys())

    def test_start_during_an_outage(self):
        """A replacement must get the configuration from peers without the store."""
        group, entries = self.group()
        key_id = entries[0].create_key("t").result(0).partition(".")[0]
        group.run(5_000)
        version = entries[0].versions[-1]
        group.set_store_unreachable(True)
        new = group.replace_entry(2, "b")
        new.set_store_unreachable(True)
        group.run(6_000)
        self.assertEqual([version], new.versions)
        self.assertTrue(all(e.has_fresh_keys() for e in entries[:2]))
        refused = new.revoke_key(key_id)
        self.assertEqual("store-unavailable", refused.exception(0).kind)

    def test_load_is_reported_and_unresponsive_peer_is_dropped(self):
        """The load of a peer that has ended must not count forever."""
        group, (a, b, _) = self.group()
        load = PeerLoad("t", "s", 3, 2, 1)
        b.exchange.set_load(LoadReport((load,), {"w1": 4}, ("w2",), True))
        exchange_once(a, b)
        report = self.received(a, PeerReport)[-1]
        self.assertEqual((load,), report.loads)
        self.assertEqual({"w1": 4}, report.in_flight_by_worker)
        self.assertEqual((("w2",), True), (report.leaving_instances, report.stopping))
        b.paused = True
        group.run(4_000)
        self.assertEqual([PeerLost(b.process_id)], self.received(a, PeerLost))

    def test_malformed_messages_are_refused(self):
        """A malformed message must not change the state of this entry."""
        group, (a, b, _) = self.group()
        for name, value in (
            ("process_id", ""),
            ("zone", "other"),
            ("peer_address", "host:1"),
            ("http_address", "127.0.0.1:99999"),
            ("configuration_version", -1),
        ):
            state = b.exchange.build_state()
            setattr(state, name, value)
            self.assertRaises(PeerError, a.exchange.merge_state, state, None)
        state.words.add(process_id="a b")
        self.assertRaises(PeerError, check_state, state)
        bad = ConfigurationRecord(version=99, record_json="{}")
        self.assertRaises(PeerError, a.exchange.adopt_fetched, bad)


class MembershipTest(testtools.TestCase):
    def test_each_absence_of_a_holder_counts_for_itself(self):
        """Units of a holder that returned must not be reclaimed for an old absence."""
        missing = MissingHolders()

        def observe(registration, now_ms, *registered):
            row = HolderRow(
                registration=registration, instance="e", zone="z", address="a:1"
            )
            record = LimitRecord(limit=1, limit_version=1, holders={"h": row})
            missing.observe([record], list(registered), now_ms)
            absence = missing.get("h", registration)
            return (absence.missing_ms, absence.replaced_ms) if absence else None

        self.assertEqual((10, None), observe(1, 10))
        self.assertEqual((10, None), observe(1, 20))
        self.assertEqual((30, None), observe(2, 30))
        holder = Registration("h", "e", "z", "a:2", "a:1", 2)
        self.assertIsNone(observe(2, 40, holder))
        other = Registration("o", "e", "z", "a:2", "a:1", 3)
        self.assertEqual((None, 50), observe(2, 50, holder, other))
        self.assertEqual((60, 50), observe(2, 60, other))
        elsewhere = Registration("o", "e", "z2", "a:2", "a:1", 9)
        self.assertEqual((70, None), observe(5, 70, elsewhere))

    def test_new_instance_does_not_count_as_removed(self):
        """An outdated list lacks new instances; only a listed one can be removed."""
        group = build_entry_group(3)
        group.entries[0].apply_configuration(TEXT, 0).result(0)
        for entry in group.entries[:2]:
            group.platform.set_instance(entry.settings.instance, {"kind": "entry"})
        group.run(5_000)
        a, b, c = group.entries
        c.paused = True
        group.platform.remove_instance(b.settings.instance)
        group.run(5_000)
        self.assertEqual([c.process_id], [p.process_id for p in a.exchange.peers()])

    def test_malformed_registration_is_refused(self):
        """One malformed registration must not hide the other entries."""
        record = Record("entries/x", "{}", 1)
        self.assertRaises(StoreError, parse_registration, record)

import json

import testtools
from entry_group_fixtures import TEXT, build_entry_group

from cranberrywheel.errors import (
    ConfigurationError,
    StoreUnavailableError,
    VersionConflictError,
)
from cranberrywheel.process.messages import (
    InstancesListed,
    PoolAssignment,
    PoolsChanged,
    QuotaLeaseRenewed,
)
from cranberrywheel.version.active_configuration import CONFIGURATION_KEY
from cranberrywheel.version.records import prepare_write


class ConfigurationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.group = build_entry_group(2)
        self.a, self.b = self.group.entries
        self.group.run(1_000)

    def test_first_text_creates_the_record(self):
        """A new deployment must accept a text although it has no record yet."""
        self.assertEqual(1, self.a.apply_configuration(TEXT, 0).result(0))
        self.group.run(4_000)
        self.assertEqual(self.a.versions, self.b.versions)
        self.assertEqual(1, len(self.a.versions))

    def test_invalid_text_is_refused(self):
        """An invalid text must not be stored, because entries could not adopt it."""
        error = self.a.apply_configuration(TEXT + "colour = red\n", 0).exception(0)
        self.assertIsInstance(error, ConfigurationError)
        self.assertIsNone(self.group.platform.get(CONFIGURATION_KEY))

    def test_one_of_two_operators_wins(self):
        """A lost edit must be reported to the operator who made it."""
        self.a.apply_configuration(TEXT, 0).result(0)
        self.assertEqual(
            2, self.b.apply_configuration(TEXT.replace("12", "10"), 1).result(0)
        )
        error = self.a.apply_configuration(TEXT.replace("12", "8"), 1).exception(0)
        self.assertIsInstance(error, VersionConflictError)
        self.assertIn("version 2", error.message)
        self.assertIn("limit changed from 10 to 8", error.message)

    def test_key_grant_does_not_conflict_with_an_edit(self):
        """A key created between read and write of an edit must not be lost."""
        self.a.apply_configuration(TEXT, 0).result(0)
        put, keys = self.a.clients[0].put, []

        def grant_first(*args):
            if not keys:
                keys.append(self.b.create_key("t").result(0))
            return put(*args)

        self.a.clients[0].put = grant_first
        self.assertEqual(
            2, self.a.apply_configuration(TEXT.replace("12", "10"), 1).result(0)
        )
        snapshot = self.a.exchange.active_configuration.snapshot
        self.assertEqual({keys[0].partition(".")[0]}, set(snapshot.keys_by_id))
        self.assertEqual(10, snapshot.configuration.teams_by_name["t"].limit)

    def test_lost_answer_is_read_back(self):
        """A write whose answer was lost must not be reported as a conflict."""
        self.a.clients[0].unanswered_writes = 1
        answer = self.a.apply_configuration(TEXT, 0)
        self.group.run(4_000)
        self.assertEqual(1, answer.result(0))
        self.a.clients[0].unanswered_writes = 1
        key = self.a.create_key("t")
        self.group.run(4_000)
        key_id = key.result(0).partition(".")[0]
        self.assertEqual(
            {key_id}, set(self.a.exchange.active_configuration.snapshot.keys_by_id)
        )

    def test_delayed_write_cannot_follow_a_refusal(self):
        """An edit reported as refused must not take effect later."""
        self.a.apply_configuration(TEXT, 0).result(0)
        client = self.a.clients[0]
        client.delay_writes = True
        answer = self.a.apply_configuration(TEXT.replace("12", "10"), 1)
        self.b.apply_configuration(TEXT.replace("12", "8"), 1).result(0)
        client.delay_writes = False
        self.group.run(4_000)
        self.assertIsInstance(answer.exception(0), VersionConflictError)
        client.delayed_writes[0]()
        self.group.run(4_000)
        team = (
            self.b.exchange.active_configuration.snapshot.configuration.teams_by_name[
                "t"
            ]
        )
        self.assertEqual(8, team.limit)

    def test_store_outage_is_reported_with_what_is_known(self):
        """The message "nothing was changed" must only appear if it is true."""
        self.group.set_store_unreachable(True)
        unsent = self.a.apply_configuration(TEXT, 0)
        self.group.run(11_000)
        self.assertIn("nothing was changed", str(unsent.exception(0)))
        self.group.set_store_unreachable(False)
        self.group.run(4_000)
        self.a.clients[0].delay_writes = True
        sent = self.a.apply_configuration(TEXT, 0)
        self.group.run(11_000)
        self.assertIsInstance(sent.exception(0), StoreUnavailableError)
        self.assertIn("may or may not", str(sent.exception(0)))

    def test_keys_of_unknown_teams_and_unknown_keys_are_refused(self):
        """A mistyped name must be refused instead of reported as success."""
        self.a.apply_configuration(TEXT, 0).result(0)
        for answer in (self.a.create_key("other"), self.a.revoke_key("0123")):
            self.assertIsInstance(answer.exception(0), ConfigurationError)

    def test_revocation_names_entries_that_did_not_confirm(self):
        """The operator must learn where the key may still be in use."""
        self.a.apply_configuration(TEXT, 0).result(0)
        key_ids = [self.a.create_key("t").result(0).partition(".")[0] for _ in range(2)]
        self.group.run(4_000)
        answer = self.a.revoke_key(key_ids[0])
        self.group.run(4_000)
        ids = [self.a.process_id, self.b.process_id]
        expected = {"stored": True, "confirmed": ids, "unconfirmed": []}
        self.assertEqual(expected, answer.result(0))
        self.b.isolated = self.b.paused = True
        answer = self.a.revoke_key(key_ids[1])
        self.group.run(6_000)
        self.assertEqual([self.b.process_id], answer.result(0)["unconfirmed"])

    def test_revocation_waits_for_a_roster_read_after_it(self):
        """A newly registered entry must not confirm before it knows the others."""
        self.a.apply_configuration(TEXT, 0).result(0)
        key_id = self.a.create_key("t").result(0).partition(".")[0]
        self.group.run(4_000)
        new = self.group.replace_entry(0, "b", number=5)
        new.session.reader.read_configuration()
        self.assertEqual("store-unavailable", new.revoke_key(key_id).exception(0).kind)
        answer = new.revoke_key(key_id)
        self.assertFalse(answer.done())
        self.group.run(6_000)
        self.assertIn(self.b.process_id, answer.result(0)["confirmed"])

    def test_partitioned_entry_loses_its_proof_but_not_its_version(self):
        """A partitioned entry must not count as fresh, but keeps its configuration."""
        self.a.apply_configuration(TEXT, 0).result(0)
        self.group.run(4_000)
        self.b.isolated = True
        self.b.set_store_unreachable(True)
        self.a.revoke_key(self.a.create_key("t").result(0).partition(".")[0])
        self.group.run(6_000)
        self.assertEqual(
            (True, False), (self.a.has_fresh_keys(), self.b.has_fresh_keys())
        )
        now_ms = self.group.clock.now_ms()
        self.assertTrue(self.b.freshness.is_fresh(now_ms, 60_000))
        self.assertEqual(1, len(self.b.versions))


class SessionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.group = build_entry_group(1)
        (self.a,) = self.group.entries

    def renewals(self):
        return [
            m.started_ms for m in self.a.messages if isinstance(m, QuotaLeaseRenewed)
        ]

    def test_renewal_counts_from_before_it_was_sent(self):
        """A slow renewal must not extend the time for which quota units are held."""
        self.group.run(1_000)
        client, clock = self.a.clients[0], self.group.clock
        renew = client.renew_lease

        def renew_slowly(lease):
            clock.advance(1_500)
            renew(lease)

        client.renew_lease = renew_slowly
        clock.advance(30_000)
        before_ms = clock.now_ms()
        self.a.step()
        self.assertEqual(before_ms, self.renewals()[-1])

    def test_lost_registration_answer_is_not_a_conflict(self):
        """An entry must count as registered although the store's answer was lost."""
        self.a.clients[0].unanswered_writes = 1
        self.group.run(1_000)
        key = f"entries/{self.a.process_id}"
        value = json.loads(self.group.platform.get(key).value)
        self.assertEqual("127.0.0.1:9000", value["peer_address"])
        self.assertEqual(1, len(self.renewals()))

    def test_calls_back_off_during_an_outage(self):
        """Entries must not overload an unavailable store with retries."""
        self.group.run(1_000)
        calls = []

        def fail():
            calls.append(1)
            raise StoreUnavailableError("", "")

        for client in self.a.clients:
            client.check = fail
        self.group.run(60_000, step_ms=100)
        self.assertLess(len(calls), 200)

    def test_pools_and_instances_reach_the_dispatcher_once_per_revision(self):
        """A malformed record of one zone must not hide another."""
        rows = {"w1": {"pool": "p", "state": "draining"}}
        value = prepare_write("pools/z1", None, "planner", {"instances": rows}).value
        self.group.platform.put("pools/z1", value, 0, "")
        self.group.platform.put("pools/z2", "{}", 0, "")
        self.group.platform.set_instance("w1", {"state": "leaving"})
        self.group.run(6_000)
        pools = [m for m in self.a.messages if isinstance(m, PoolsChanged)]
        rows = (PoolAssignment("w1", "p", "draining"),)
        self.assertEqual([("z1", rows)], [(m.zone, m.rows) for m in pools])
        listed = [m for m in self.a.messages if isinstance(m, InstancesListed)][-1]
        self.assertTrue(listed.listed.instances[0].leaving)

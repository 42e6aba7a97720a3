import random

import testtools
from dispatch_fixtures import SEED

from cranberrywheel.errors import (
    ForbiddenError,
    MalformedRequestError,
    OverloadedError,
)
from cranberrywheel.request.model import Answer, Outcome
from cranberrywheel.request.ticket import ClaimState, TicketRegistry, parse_owner
from cranberrywheel.settings import EntrySettings, PlatformSettings

LIFETIME_MS = 1_000
RETENTION_MS = 500
ANSWER = Answer(request_id="r", outcome=Outcome.OK, status=200, body=b"paid")


def make_registry(process_id="z1.e1.x", max_tickets=10):
    settings = EntrySettings(
        instance="e1",
        zone="z1",
        host="127.0.0.1",
        http_port=1,
        peer_port=2,
        operator_token_file="",
        platform=PlatformSettings(url=""),
        ticket_lifetime_ms=LIFETIME_MS,
        ticket_retention_ms=RETENTION_MS,
        max_tickets=max_tickets,
    )
    return TicketRegistry(process_id, settings, process_id.encode())


class TicketRegistryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.registry = make_registry()
        self.ticket = self.registry.issue("team", "queue", 0)

    def claim(self, now_ms=0, ticket=None):
        ticket = self.ticket if ticket is None else ticket
        return self.registry.claim(ticket, "team", "queue", now_ms)

    def run_request(self, now_ms=0):
        self.assertEqual(ClaimState.NEW, self.claim(now_ms).state)
        self.registry.mark_started(self.ticket)
        self.registry.finish(self.ticket, ANSWER, now_ms)

    def test_ticket_starts_its_request_at_most_once(self):
        """A repeated claim must not start the request again."""
        states = [self.claim(now_ms).state for now_ms in range(5)]
        self.registry.mark_started(self.ticket)
        states.append(self.claim(5).state)
        self.assertEqual([ClaimState.NEW] + [ClaimState.RUNNING] * 5, states)
        self.registry.finish(self.ticket, ANSWER, 6)
        claim = self.claim(7)
        self.assertEqual((ClaimState.FINISHED, ANSWER), (claim.state, claim.answer))

    def test_query_voids_a_ticket_that_was_not_claimed(self):
        """A request delayed past the query must not start after a not-run answer."""
        self.assertEqual(ClaimState.NOT_RUN, self.registry.query(self.ticket, 0).state)
        self.assertEqual(ClaimState.NOT_RUN, self.claim(1).state)

    def test_query_of_a_queued_request_does_not_say_not_run(self):
        """A claimed request may still start, so not-run would be false."""
        self.claim()
        self.assertEqual(ClaimState.RUNNING, self.registry.query(self.ticket, 0).state)

    def test_released_ticket_can_be_claimed_again_until_it_expires(self):
        """A claim that never started must not block the ticket, nor extend it."""
        self.claim()
        self.registry.mark_started(self.ticket)
        self.registry.release(self.ticket, 1)
        self.assertEqual(ClaimState.NEW, self.claim(2).state)
        self.registry.release(self.ticket, LIFETIME_MS)
        self.assertEqual(ClaimState.NOT_RUN, self.claim(LIFETIME_MS).state)

    def test_late_release_does_not_undo_an_answer(self):
        """A release after the answer must not make the ticket claimable again."""
        self.run_request()
        self.registry.release(self.ticket, 1)
        self.assertEqual(ClaimState.FINISHED, self.claim(2).state)

    def test_ticket_that_expired_unclaimed_was_not_run(self):
        """An expired ticket must not start its request, nor count as unknown."""
        self.registry.expire(LIFETIME_MS)
        self.assertEqual(ClaimState.NOT_RUN, self.claim(LIFETIME_MS).state)
        query = self.registry.query(self.ticket, LIFETIME_MS + RETENTION_MS - 1)
        self.assertEqual(ClaimState.NOT_RUN, query.state)

    def test_nothing_is_known_after_the_retention(self):
        """A ticket whose result was deleted must not be reported as not run."""
        self.run_request()
        last_ms = LIFETIME_MS + RETENTION_MS - 1
        self.registry.expire(last_ms)
        self.assertEqual(ClaimState.FINISHED, self.claim(last_ms).state)
        self.registry.expire(last_ms + 1)
        self.assertEqual(ClaimState.UNKNOWN, self.claim(last_ms + 1).state)

    def test_running_request_outlives_the_retention(self):
        """A record must not be deleted while a worker still runs the request."""
        self.claim()
        self.registry.mark_started(self.ticket)
        for now_ms in range(0, 10 * LIFETIME_MS, 100):
            self.registry.expire(now_ms)
        self.assertEqual(ClaimState.RUNNING, self.claim(now_ms).state)
        self.registry.finish(self.ticket, ANSWER, now_ms)
        self.assertEqual(ClaimState.FINISHED, self.registry.query(self.ticket, 0).state)

    def test_full_registry_refuses_new_tickets_and_keeps_the_old(self):
        """Issuing beyond the bound must not evict records that are still needed."""
        self.run_request()
        others = [self.registry.issue(f"team{n}", "queue", 0) for n in range(9)]
        self.assertRaises(OverloadedError, self.registry.issue, "new", "queue", 1)
        claim = self.registry.claim(others[-1], "team8", "queue", 1)
        self.assertEqual(ClaimState.NEW, claim.state)
        self.assertEqual(ClaimState.NOT_RUN, self.registry.query(others[0], 1).state)
        # At expiry unclaimed and void tickets free their entries; running requests
        # and stored answers keep theirs.
        for number in range(8):
            self.registry.issue(f"late{number}", "queue", LIFETIME_MS)
        self.assertRaises(OverloadedError, self.registry.issue, "", "", LIFETIME_MS)

    def test_one_team_cannot_take_all_tickets(self):
        """A team must not lock the others out of non-idempotent queues."""
        # One of the ten tickets was issued in setUp.
        for team, count in (("team", 7), ("other", 2)):
            for _ in range(count):
                self.registry.issue(team, "queue", 0)
            self.assertRaises(OverloadedError, self.registry.issue, team, "queue", 0)

    def test_forged_and_malformed_tickets_are_refused(self):
        """A caller must not extend or invent a ticket."""
        head, _, mac = self.ticket.rpartition("~")
        longer = head[:-4] + "9999" + "~" + mac
        for text in (longer, head + "~" + "0" * 32, head, "", "~~~~~", head + "~é"):
            self.assertRaises(MalformedRequestError, self.claim, 0, text)
            self.assertRaises(MalformedRequestError, self.registry.query, text, 0)
        self.assertEqual(ClaimState.NEW, self.claim().state)

    def test_ticket_of_another_team_or_queue_is_refused(self):
        """A refused claim must not use up the ticket of its owner."""
        for team, queue in (("other", "queue"), ("team", "other"), ("", "queue")):
            self.assertRaises(
                ForbiddenError, self.registry.claim, self.ticket, team, queue, 0
            )
        self.assertEqual(ClaimState.NEW, self.claim().state)

    def test_ticket_of_another_process_is_unknown(self):
        """A process must not answer not-run for requests it knows nothing about."""
        self.assertEqual("z1.e1.x", parse_owner(self.ticket))
        self.assertRaises(MalformedRequestError, parse_owner, "not a ticket")
        other = make_registry("z1.e2.y")
        claim = other.claim(self.ticket, "team", "queue", 0)
        self.assertEqual(ClaimState.UNKNOWN, claim.state)
        self.assertEqual(ClaimState.UNKNOWN, other.query(self.ticket, 0).state)

    def test_results_are_handed_over(self):
        """Results must survive the shutdown of the process that issued the tickets."""
        running, unused = (self.registry.issue("team", "queue", 0) for _ in range(2))
        self.run_request()
        self.registry.claim(running, "team", "queue", 0)
        other = make_registry("z1.e2.y")
        other.import_results("z1.e1.x", self.registry.export_results(0))
        self.assertEqual(ANSWER, other.query(self.ticket, 0).answer)
        self.assertEqual(ClaimState.NOT_RUN, other.query(unused, 0).state)
        # The request may still run.
        self.assertEqual(ClaimState.UNKNOWN, other.query(running, 0).state)
        # After the export the issuing process must not start a request that the
        # importing process reports as not run.
        self.assertEqual(ClaimState.NOT_RUN, self.claim(1, unused).state)
        self.assertRaises(OverloadedError, self.registry.issue, "team", "queue", 1)

    def test_result_deleted_before_the_handover_is_not_reported_as_not_run(self):
        """A request that ran long before the export must not count as not run."""
        self.run_request()
        now_ms = LIFETIME_MS + RETENTION_MS
        self.registry.expire(now_ms)
        later = self.registry.issue("team", "queue", now_ms)
        other = make_registry("z1.e2.y")
        other.import_results("z1.e1.x", self.registry.export_results(now_ms))
        self.assertEqual(ClaimState.UNKNOWN, other.query(self.ticket, 0).state)
        self.assertEqual(ClaimState.NOT_RUN, other.query(later, 0).state)

    def test_imported_results_expire(self):
        """Imported results must not accumulate over repeated shutdowns of peers."""
        other = make_registry("z1.e2.y")
        other.import_results("z1.e1.x", self.registry.export_results(0))
        self.assertEqual(ClaimState.NOT_RUN, other.query(self.ticket, 0).state)
        other.expire(0)
        other.expire(LIFETIME_MS + RETENTION_MS)
        self.assertEqual(ClaimState.UNKNOWN, other.query(self.ticket, 0).state)

    def test_refused_repeat_may_have_run_unless_nothing_was_started(self):
        """Refusing a repeated request must not deny an earlier run of its ticket."""
        unused = self.registry.issue("team", "queue", 0)
        self.run_request()
        self.assertTrue(self.registry.may_have_run(self.ticket, 1))
        self.assertFalse(self.registry.may_have_run(unused, 1))
        self.assertFalse(self.registry.may_have_run("own key", 1))
        self.assertTrue(make_registry("z1.e2.y").may_have_run(unused, 1))

    def test_results_that_do_not_fit_leave_the_tickets_unknown(self):
        """After a partial import, not-run would be false for the missing tickets."""
        self.run_request()
        other = make_registry("z1.e2.y", max_tickets=0)
        export = self.registry.export_results(0)
        self.assertRaises(OverloadedError, other.import_results, "z1.e1.x", export)
        self.assertEqual(ClaimState.UNKNOWN, other.query(self.ticket, 0).state)

    def test_random_histories_start_at_most_once_and_not_run_is_final(self):
        """No order of operations may start a request twice or after a not-run."""
        rng = random.Random(SEED)
        registry = make_registry(max_tickets=5_000)
        tickets, running, finished, not_run = [], set(), set(), set()
        for now_ms in range(0, 50_000, 10):
            if rng.random() < 0.2 or not tickets:
                tickets.append(registry.issue("team", "queue", now_ms))
            ticket = rng.choice(tickets[-8:])
            action = rng.choice(["claim", "query", "finish", "release", "expire"])
            if action == "expire":
                registry.expire(now_ms)
            elif action == "finish" and ticket in running:
                registry.finish(ticket, ANSWER, now_ms)
                running.discard(ticket)
                finished.add(ticket)
            elif action == "release" and ticket in running:
                registry.release(ticket, now_ms)
                running.discard(ticket)
            else:
                if action == "claim":
                    claim = registry.claim(ticket, "team", "queue", now_ms)
                else:
                    claim = registry.query(ticket, now_ms)
                if claim.state is ClaimState.NEW:
                    self.assertNotIn(ticket, running | finished | not_run)
                    running.add(ticket)
                elif claim.state is ClaimState.NOT_RUN:
                    self.assertNotIn(ticket, running | finished)
                    not_run.add(ticket)
        self.assertTrue(min(len(not_run), len(finished)) > 20)

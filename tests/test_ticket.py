import random

import testtools
from dispatch_fixtures import SEED

from cranberrywheel.errors import (
    ForbiddenError,
    MalformedRequestError,
    OverloadedError,
)
from cranberrywheel.request.model import Answer, Outcome
from cranberrywheel.request.ticket import ClaimState, TicketBook, owner_of
from cranberrywheel.settings import EntrySettings, PlatformSettings

LIFETIME_MS = 1_000
RETENTION_MS = 500
ANSWER = Answer(request_id="r", outcome=Outcome.OK, status=200, body=b"paid")


def book(process_id="z1.e1.x", max_tickets=10):
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
    return TicketBook(process_id, settings, process_id.encode())


class TicketBookTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.book = book()
        self.ticket = self.book.issue("team", "queue", 0)

    def claim(self, now_ms=0, ticket=None):
        ticket = self.ticket if ticket is None else ticket
        return self.book.claim(ticket, "team", "queue", now_ms)

    def run_request(self, now_ms=0):
        self.assertEqual(ClaimState.NEW, self.claim(now_ms).state)
        self.book.started(self.ticket)
        self.book.finish(self.ticket, ANSWER, now_ms)

    def test_at_most_one_start_per_ticket(self):
        states = [self.claim(now_ms).state for now_ms in range(5)]
        self.book.started(self.ticket)
        states.append(self.claim(5).state)
        self.assertEqual([ClaimState.NEW] + [ClaimState.RUNNING] * 5, states)
        self.book.finish(self.ticket, ANSWER, 6)
        claim = self.claim(7)
        self.assertEqual((ClaimState.FINISHED, ANSWER), (claim.state, claim.answer))

    def test_query_voids_a_ticket_that_was_not_claimed(self):
        # Guards against a false not-run: the delayed request arrives afterwards.
        self.assertEqual(ClaimState.NOT_RUN, self.book.query(self.ticket, 0).state)
        self.assertEqual(ClaimState.NOT_RUN, self.claim(1).state)

    def test_query_of_a_queued_request_does_not_say_not_run(self):
        self.claim()
        self.assertEqual(ClaimState.RUNNING, self.book.query(self.ticket, 0).state)

    def test_released_ticket_can_be_claimed_again_until_it_expires(self):
        self.claim()
        self.book.started(self.ticket)
        self.book.release(self.ticket, 1)
        self.assertEqual(ClaimState.NEW, self.claim(2).state)
        self.book.release(self.ticket, LIFETIME_MS)
        self.assertEqual(ClaimState.NOT_RUN, self.claim(LIFETIME_MS).state)

    def test_late_release_does_not_undo_an_answer(self):
        self.run_request()
        self.book.release(self.ticket, 1)
        self.assertEqual(ClaimState.FINISHED, self.claim(2).state)

    def test_ticket_that_expired_unclaimed_was_not_run(self):
        self.book.expire(LIFETIME_MS)
        self.assertEqual(ClaimState.NOT_RUN, self.claim(LIFETIME_MS).state)
        query = self.book.query(self.ticket, LIFETIME_MS + RETENTION_MS - 1)
        self.assertEqual(ClaimState.NOT_RUN, query.state)

    def test_nothing_is_known_after_the_retention(self):
        self.run_request()
        last_ms = LIFETIME_MS + RETENTION_MS - 1
        self.book.expire(last_ms)
        self.assertEqual(ClaimState.FINISHED, self.claim(last_ms).state)
        self.book.expire(last_ms + 1)
        self.assertEqual(ClaimState.UNKNOWN, self.claim(last_ms + 1).state)

    def test_running_request_outlives_the_retention(self):
        # Guards against a record that is dropped while the worker still runs it.
        self.claim()
        self.book.started(self.ticket)
        for now_ms in range(0, 10 * LIFETIME_MS, 100):
            self.book.expire(now_ms)
        self.assertEqual(ClaimState.RUNNING, self.claim(now_ms).state)
        self.book.finish(self.ticket, ANSWER, now_ms)
        self.assertEqual(ClaimState.FINISHED, self.book.query(self.ticket, 0).state)

    def test_full_book_refuses_new_tickets_and_keeps_the_old(self):
        self.run_request()
        others = [self.book.issue(f"team{n}", "queue", 0) for n in range(9)]
        self.assertRaises(OverloadedError, self.book.issue, "new", "queue", 1)
        claim = self.book.claim(others[-1], "team8", "queue", 1)
        self.assertEqual(ClaimState.NEW, claim.state)
        self.assertEqual(ClaimState.NOT_RUN, self.book.query(others[0], 1).state)
        # Unclaimed and void tickets make room at expiry, answer and run do not.
        for number in range(8):
            self.book.issue(f"late{number}", "queue", LIFETIME_MS)
        self.assertRaises(OverloadedError, self.book.issue, "", "", LIFETIME_MS)

    def test_one_team_cannot_take_all_tickets(self):
        # Guards against a team that locks the others out of non-idempotent queues.
        # One of the ten tickets was issued in setUp.
        for team, count in (("team", 7), ("other", 2)):
            for _ in range(count):
                self.book.issue(team, "queue", 0)
            self.assertRaises(OverloadedError, self.book.issue, team, "queue", 0)

    def test_forged_and_malformed_tickets_are_refused(self):
        head, _, mac = self.ticket.rpartition("~")
        longer = head[:-4] + "9999" + "~" + mac
        for text in (longer, head + "~" + "0" * 32, head, "", "~~~~~", head + "~é"):
            self.assertRaises(MalformedRequestError, self.claim, 0, text)
            self.assertRaises(MalformedRequestError, self.book.query, text, 0)
        self.assertEqual(ClaimState.NEW, self.claim().state)

    def test_ticket_of_another_team_or_queue_is_refused(self):
        for team, queue in (("other", "queue"), ("team", "other"), ("", "queue")):
            self.assertRaises(
                ForbiddenError, self.book.claim, self.ticket, team, queue, 0
            )
        self.assertEqual(ClaimState.NEW, self.claim().state)

    def test_ticket_of_another_process_is_unknown(self):
        self.assertEqual("z1.e1.x", owner_of(self.ticket))
        self.assertRaises(MalformedRequestError, owner_of, "not a ticket")
        other = book("z1.e2.y")
        claim = other.claim(self.ticket, "team", "queue", 0)
        self.assertEqual(ClaimState.UNKNOWN, claim.state)
        self.assertEqual(ClaimState.UNKNOWN, other.query(self.ticket, 0).state)

    def test_results_are_handed_over(self):
        running, unused = (self.book.issue("team", "queue", 0) for _ in range(2))
        self.run_request()
        self.book.claim(running, "team", "queue", 0)
        other = book("z1.e2.y")
        other.import_results("z1.e1.x", self.book.export_results(0))
        self.assertEqual(ANSWER, other.query(self.ticket, 0).answer)
        self.assertEqual(ClaimState.NOT_RUN, other.query(unused, 0).state)
        # A request that may still run must not be reported as not run.
        self.assertEqual(ClaimState.UNKNOWN, other.query(running, 0).state)
        # After the export the old process must not start what the new one denies.
        self.assertEqual(ClaimState.NOT_RUN, self.claim(1, unused).state)
        self.assertRaises(OverloadedError, self.book.issue, "team", "queue", 1)

    def test_result_dropped_before_the_hand_over_is_not_denied(self):
        # Guards against a not-run for a request that ran long before.
        self.run_request()
        now_ms = LIFETIME_MS + RETENTION_MS
        self.book.expire(now_ms)
        later = self.book.issue("team", "queue", now_ms)
        other = book("z1.e2.y")
        other.import_results("z1.e1.x", self.book.export_results(now_ms))
        self.assertEqual(ClaimState.UNKNOWN, other.query(self.ticket, 0).state)
        self.assertEqual(ClaimState.NOT_RUN, other.query(later, 0).state)

    def test_handed_over_results_expire(self):
        other = book("z1.e2.y")
        other.import_results("z1.e1.x", self.book.export_results(0))
        self.assertEqual(ClaimState.NOT_RUN, other.query(self.ticket, 0).state)
        other.expire(0)
        other.expire(LIFETIME_MS + RETENTION_MS)
        self.assertEqual(ClaimState.UNKNOWN, other.query(self.ticket, 0).state)

    def test_refused_repeat_may_have_run_unless_nothing_was_started(self):
        # Guards against a refusal that denies an earlier run of the same ticket.
        unused = self.book.issue("team", "queue", 0)
        self.run_request()
        self.assertTrue(self.book.may_have_run(self.ticket, 1))
        self.assertFalse(self.book.may_have_run(unused, 1))
        self.assertFalse(self.book.may_have_run("own key", 1))
        self.assertTrue(book("z1.e2.y").may_have_run(unused, 1))

    def test_results_that_do_not_fit_leave_the_tickets_unknown(self):
        # Guards against a partial import, after which not-run would be false.
        self.run_request()
        other = book("z1.e2.y", max_tickets=0)
        export = self.book.export_results(0)
        self.assertRaises(OverloadedError, other.import_results, "z1.e1.x", export)
        self.assertEqual(ClaimState.UNKNOWN, other.query(self.ticket, 0).state)

    def test_random_histories_start_at_most_once_and_not_run_is_final(self):
        rng = random.Random(SEED)
        store = book(max_tickets=5_000)
        tickets, running, finished, denied = [], set(), set(), set()
        for now_ms in range(0, 50_000, 10):
            if rng.random() < 0.2 or not tickets:
                tickets.append(store.issue("team", "queue", now_ms))
            ticket = rng.choice(tickets[-8:])
            action = rng.choice(["claim", "query", "finish", "release", "expire"])
            if action == "expire":
                store.expire(now_ms)
            elif action == "finish" and ticket in running:
                store.finish(ticket, ANSWER, now_ms)
                running.discard(ticket)
                finished.add(ticket)
            elif action == "release" and ticket in running:
                store.release(ticket, now_ms)
                running.discard(ticket)
            else:
                if action == "claim":
                    claim = store.claim(ticket, "team", "queue", now_ms)
                else:
                    claim = store.query(ticket, now_ms)
                if claim.state is ClaimState.NEW:
                    self.assertNotIn(ticket, running | finished | denied)
                    running.add(ticket)
                elif claim.state is ClaimState.NOT_RUN:
                    self.assertNotIn(ticket, running | finished)
                    denied.add(ticket)
        self.assertTrue(min(len(denied), len(finished)) > 20)

from concurrent.futures import Future

import testtools
from dispatcher_fakes import TEXT, DispatcherHarness

from cranberrywheel.connection.store_client import InstanceList
from cranberrywheel.connection.target_messages import (
    AttemptOutcome,
    ControlFinished,
    ControlTask,
    FetchUsage,
    QueryTask,
    TaskQueried,
    UsageFetched,
)
from cranberrywheel.errors import NotReadyError
from cranberrywheel.process import messages
from cranberrywheel.request.model import Answer, Outcome
from cranberrywheel.request.problem import build_problem_answer
from cranberrywheel.request.ticket import TicketExport
from cranberrywheel.version.configuration import parse_configuration


class DispatcherTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatcherHarness()

    def assert_refused(self, future, kind, outcome=Outcome.NOT_RUN):
        answer = future.result(0)
        self.assertEqual((kind, outcome), (answer.kind, answer.outcome))
        self.assertNotEqual("", answer.remedy)

    def test_each_caller_gets_its_own_answer(self):
        first, second = self.harness.submit("a"), self.harness.submit("b")
        start_a, start_b = self.harness.take_starts()
        self.harness.finish_attempt(start_b, body=b"for b")
        self.harness.finish_attempt(start_a, body=b"for a")
        self.assertEqual(b"for a", first.result(0).body)
        self.assertEqual(b"for b", second.result(0).body)

    def test_running_requests_stay_within_the_limit_of_the_team(self):
        futures = [self.harness.submit(f"r{i}") for i in range(5)]
        starts = self.harness.take_starts()
        self.assertEqual(2, len(starts))
        self.harness.finish_attempt(starts[0])
        self.assertEqual(1, len(self.harness.take_starts()))
        self.assertEqual(1, sum(future.done() for future in futures))

    def test_unit_that_expired_while_the_token_was_fetched_is_not_used(self):
        harness = DispatcherHarness(long_units=0, short_units=2)
        for worker in ("w1", "w2", "w3"):
            harness.state.workers.set_token(worker, "", 0)
        harness.grant_tokens = lambda: None
        harness.submit("a")
        harness.clock.advance(harness.settings.limits.short_hold_ms + 1)
        DispatcherHarness.grant_tokens(harness)
        self.assertEqual([], harness.take_starts())

    def test_unit_of_a_cancelled_task_is_freed_when_the_stop_is_confirmed(self):
        self.harness.submit("a")
        self.harness.submit("b")
        waiting = self.harness.submit("c")
        start, _ = self.harness.take_starts()
        self.harness.post(messages.CancelRequest("a"))
        (stop,) = self.harness.take_sent(ControlTask)
        self.assertEqual([], self.harness.take_starts())
        self.harness.post(
            ControlFinished(
                task_id=stop.task_id,
                worker=stop.worker,
                action="stop",
                confirmed=True,
                task_unknown=False,
            )
        )
        self.harness.grant_tokens()
        (started,) = self.harness.take_starts()
        self.harness.finish_attempt(started)
        self.assertEqual(Outcome.OK, waiting.result(0).outcome)
        self.assertEqual(start.task_id, stop.task_id)

    def test_unit_of_an_unreachable_worker_is_freed_only_after_its_lease(self):
        self.harness.submit("a")
        self.harness.submit("b")
        self.harness.submit("c")
        self.harness.take_starts()
        self.harness.post(messages.CancelRequest("a"))
        limits = self.harness.settings.limits
        self.harness.advance(limits.task_lease_ms + limits.start_token_ms)
        self.harness.grant_tokens()
        self.assertEqual(
            [], [s for s in self.harness.take_starts() if "c." in s.task_id]
        )
        self.harness.advance(1_000)
        self.harness.grant_tokens()
        self.assertEqual(1, self.harness.state.ledger.in_use_by_team()["red"])

    def test_queued_request_of_a_disconnected_caller_is_never_started(self):
        self.harness.submit("a")
        self.harness.submit("b")
        queued = self.harness.submit("c")
        starts = self.harness.take_starts()
        self.harness.post(messages.CancelRequest("c"))
        self.assert_refused(queued, "cancelled")
        for start in starts:
            self.harness.finish_attempt(start)
        self.assertEqual([], self.harness.take_starts())

    def test_refused_start_is_retried_on_another_worker(self):
        future = self.harness.submit("a")
        (start,) = self.harness.take_starts()
        self.harness.finish_attempt(start, AttemptOutcome.REFUSED, "busy")
        self.harness.advance(2_000)
        self.harness.grant_tokens()
        (again,) = self.harness.take_starts()
        self.assertNotEqual(start.worker, again.worker)
        self.harness.finish_attempt(again)
        self.assertEqual(Outcome.OK, future.result(0).outcome)

    def test_broken_non_idempotent_attempt_is_queried_and_never_started_again(self):
        ticket = self.harness.ticket()
        future = self.harness.submit("a", "payments", ticket)
        (start,) = self.harness.take_starts()
        self.harness.finish_attempt(start, AttemptOutcome.NO_USABLE_ANSWER)
        (query,) = self.harness.take_sent(QueryTask)
        self.assertFalse(future.done())
        self.harness.post(
            TaskQueried(
                task_id=query.task_id,
                worker=query.worker,
                state="finished",
                body=b"paid",
            )
        )
        again = self.harness.submit("b", "payments", ticket)
        self.assertEqual(b"paid", future.result(0).body)
        self.assertEqual(b"paid", again.result(0).body)
        self.assertEqual([], self.harness.take_starts())

    def test_retry_of_a_running_ticket_waits_for_the_same_answer(self):
        ticket = self.harness.ticket()
        first = self.harness.submit("a", "payments", ticket)
        second = self.harness.submit("b", "payments", ticket)
        (start,) = self.harness.take_starts()
        self.harness.finish_attempt(start, body=b"paid")
        self.assertEqual(b"paid", first.result(0).body)
        self.assertEqual(b"paid", second.result(0).body)

    def test_non_idempotent_task_continues_after_its_caller_disconnected(self):
        ticket = self.harness.ticket()
        self.harness.submit("a", "payments", ticket)
        (start,) = self.harness.take_starts()
        self.harness.post(messages.CancelRequest("a"))
        self.assertEqual([], self.harness.take_sent(ControlTask))
        self.harness.finish_attempt(start, body=b"paid")
        later = self.harness.submit("b", "payments", ticket)
        self.assertEqual(b"paid", later.result(0).body)

    def test_non_idempotent_request_without_an_answer_is_unknown(self):
        ticket = self.harness.ticket()
        future = self.harness.submit("a", "payments", ticket)
        (start,) = self.harness.take_starts()
        self.harness.finish_attempt(start, AttemptOutcome.NO_USABLE_ANSWER)
        self.harness.advance(30_000)
        self.assert_refused(future, "unknown-outcome", Outcome.UNKNOWN)
        again = self.harness.submit("b", "payments", ticket)
        self.assert_refused(again, "unknown-outcome", Outcome.UNKNOWN)
        self.assertEqual([], self.harness.take_starts())

    def test_ticket_of_a_process_that_is_gone_is_unknown(self):
        other = DispatcherHarness()
        ticket = other.ticket().replace("z1.e1.x", "z1.e1.y")
        future = self.harness.submit("a", "payments", ticket)
        self.assert_refused(future, "unknown-outcome", Outcome.UNKNOWN)

    def test_ticket_of_a_peer_is_forwarded_and_a_failed_forward_is_unknown(self):
        report = messages.PeerReport("z1.e1.y", "z1", "h:1", "h:2", False, (), {}, ())
        self.harness.post(report)
        ticket = self.harness.ticket().replace("z1.e1.x", "z1.e1.y")
        future = self.harness.submit("a", "payments", ticket)
        ((address, incoming, forward),) = self.harness.forwarded
        self.assertEqual(("h:2", True), (address, incoming.forwarded))
        forward.set_exception(ConnectionError())
        self.harness.dispatcher.run_once()
        self.assert_refused(future, "unknown-outcome", Outcome.UNKNOWN)

    def test_non_idempotent_queue_needs_a_ticket(self):
        for ticket in ("", "my-own-key"):
            future = self.harness.submit("a", "payments", ticket)
            self.assert_refused(future, "ticket-required")
        self.assertEqual([], self.harness.take_starts())

    def test_revoked_key_is_refused_at_once(self):
        self.harness.post(messages.KeyRevoked(self.harness.key_id))
        self.assert_refused(self.harness.submit("a"), "unauthorized")

    def test_outdated_keys_are_refused_but_open_queues_are_served(self):
        self.harness.clock.advance(self.harness.settings.key_freshness_ms + 1)
        self.assert_refused(self.harness.submit("a"), "keys-not-fresh")
        self.assertFalse(self.harness.submit("b", "public", key="").done())
        self.assertFalse(self.harness.submit("c", "patient").done())
        self.harness.clock.advance(30_000)
        self.assert_refused(self.harness.submit("d", "patient"), "keys-not-fresh")

    def test_missing_and_wrong_keys_are_refused(self):
        for key in ("", "wrong", self.harness.key + "x", self.harness.key[:-1]):
            self.assert_refused(self.harness.submit("a", key=key), "unauthorized")

    def test_expired_request_is_not_run_if_queued_and_unknown_if_running(self):
        running = [self.harness.submit("a"), self.harness.submit("b")]
        queued = self.harness.submit("c")
        self.harness.advance(10_100)
        self.assert_refused(queued, "deadline-exceeded")
        for future in running:
            self.assert_refused(future, "unknown-outcome", Outcome.UNKNOWN)

    def test_second_answer_of_an_attempt_is_dropped(self):
        future = self.harness.submit("a")
        (start,) = self.harness.take_starts()
        self.harness.finish_attempt(start, body=b"first")
        self.harness.finish_attempt(start, body=b"second")
        self.assertEqual(b"first", future.result(0).body)

    def test_malformed_message_does_not_end_the_dispatcher(self):
        self.harness.post(object(), messages.SubmitRequest(None, None))
        self.assertFalse(self.harness.submit("a").done())
        self.assertEqual(1, len(self.harness.take_starts()))

    def test_drained_process_refuses_requests_as_not_run(self):
        self.harness.state.drained = True
        self.assert_refused(self.harness.submit("a"), "not-ready")

    def test_deadline_after_a_broken_attempt_is_unknown(self):
        future = self.harness.submit("a")
        (start,) = self.harness.take_starts()
        self.harness.finish_attempt(start, AttemptOutcome.NO_USABLE_ANSWER)
        self.harness.post(messages.InstancesListed(InstanceList(2, 0, ())))
        self.harness.advance(10_100)
        self.assert_refused(future, "unknown-outcome", Outcome.UNKNOWN)

    def test_checkpointed_request_continues_from_its_checkpoint(self):
        ticket = self.harness.ticket()
        future = self.harness.submit("a", "payments", ticket)
        (start,) = self.harness.take_starts()
        self.harness.finish_attempt(start, AttemptOutcome.STOPPED, "checkpointed")
        (again,) = self.harness.take_starts()
        self.assertEqual(start.task_id, again.checkpoint)
        self.harness.finish_attempt(again, body=b"counted")
        self.assertEqual(b"counted", future.result(0).body)

    def test_urgent_request_preempts_a_task_that_can_be_checkpointed(self):
        harness = DispatcherHarness(long_units=20)
        for i in range(12):
            harness.submit(f"n{i}", "rebuilds")
        self.assertEqual(12, len(harness.take_starts()))
        harness.submit("u", "urgent")
        harness.advance(700)
        (checkpoint,) = [
            c for c in harness.take_sent(ControlTask) if c.action != "lease"
        ]
        self.assertEqual("checkpoint", checkpoint.action)

    def test_request_without_a_unit_is_forwarded_to_a_peer_with_an_idle_one(self):
        load = messages.PeerLoad("red", "", 0, 0, 1)
        self.harness.post(
            messages.PeerReport("z1.e1.y", "z1", "h:1", "h:2", False, (load,), {}, ())
        )
        futures = [self.harness.submit(f"r{i}") for i in range(4)]
        self.harness.advance(400)
        ((_, incoming, forward),) = self.harness.forwarded
        forward.set_result(
            build_problem_answer(incoming.request_id, NotReadyError("x"))
        )
        self.harness.post()
        self.harness.dispatcher.run_once()
        self.assertEqual(1, sum(future.done() for future in futures))

    def test_non_idempotent_request_between_attempts_ends_with_its_caller(self):
        """Guards against a request without a caller that blocks the shutdown."""
        ticket = self.harness.ticket()
        future = self.harness.submit("a", "payments", ticket)
        (start,) = self.harness.take_starts()
        self.harness.finish_attempt(start, AttemptOutcome.REFUSED, "busy")
        self.harness.post(messages.CancelRequest("a"))
        self.assert_refused(future, "cancelled")
        self.assertEqual(0, len(self.harness.state.pending))

    def test_refusal_of_a_ticket_that_ran_is_unknown(self):
        ticket = self.harness.ticket()
        self.harness.submit("a", "payments", ticket)
        (start,) = self.harness.take_starts()
        self.harness.finish_attempt(start)
        self.harness.post(messages.KeyRevoked(self.harness.key_id))
        future = self.harness.submit("b", "payments", ticket)
        self.assert_refused(future, "unauthorized", Outcome.UNKNOWN)

    def test_requests_too_large_for_every_worker_are_refused(self):
        """Guards against requests that can never run and are retried forever."""
        for number in range(8):
            self.harness.submit(f"r{number}")
            (start,) = self.harness.take_starts()
            self.harness.advance(5_000)
            self.assertIn(
                start.worker, {u.worker for u in self.harness.take_sent(FetchUsage)}
            )
            usage = {start.task_id: (64.0, 100)}
            self.harness.post(UsageFetched(worker=start.worker, usage_by_task=usage))
            self.harness.finish_attempt(start)
        self.assert_refused(self.harness.submit("late"), "never-fits")

    def test_handed_over_ticket_is_answered_and_exported_again(self):
        """Guards against forwards to a stopped process and against lost results.

        Results were lost when the process that had received them stopped as well.
        """
        report = messages.PeerReport("z1.e1.y", "z1", "h:1", "h:2", False, (), {}, ())
        ticket = self.harness.ticket().replace("z1.e1.x", "z1.e1.y")
        paid = Answer(request_id="", outcome=Outcome.OK, status=200, body=b"paid")
        export = TicketExport(forgotten_ms=0, results=((ticket, paid),))
        self.harness.post(report, messages.ResultsHandedOver("z1.e1.y", export))
        answer = self.harness.submit("a", "payments", ticket).result(0)
        self.assertEqual(b"paid", answer.body)
        self.assertEqual([], self.harness.forwarded)
        exports = Future()
        self.harness.post(messages.ExportResults(exports))
        self.assertEqual(export, dict(exports.result(0))["z1.e1.y"])

    def test_query_for_the_ticket_of_a_peer_is_forwarded_to_it(self):
        report = messages.PeerReport("z1.e1.y", "z1", "h:1", "h:2", False, (), {}, ())
        self.harness.post(report)
        ticket = self.harness.ticket().replace("z1.e1.x", "z1.e1.y")
        answered, failed, forwarded_again = Future(), Future(), Future()
        self.harness.post(
            messages.QueryTicket(ticket, answered), messages.QueryTicket(ticket, failed)
        )
        (_, incoming, first), (_, _, second) = self.harness.forwarded
        self.assertTrue(incoming.query)
        paid = Answer(request_id="", outcome=Outcome.OK, status=200, body=b"paid")
        first.set_result(paid)
        second.set_exception(ConnectionError())
        self.assertEqual(paid, answered.result(0))
        self.assert_refused(failed, "unknown-outcome", Outcome.UNKNOWN)
        self.harness.post(messages.QueryTicket(ticket, forwarded_again, forwarded=True))
        self.assert_refused(forwarded_again, "unknown-outcome", Outcome.UNKNOWN)

    def test_request_cancelled_before_its_start_token_is_not_counted_as_running(self):
        """Guards against use counts of teams that only ever rise."""
        self.harness.grant_tokens = lambda: None
        self.harness.submit("a")
        self.assertEqual(1, self.harness.state.fleet.use_by_team["red"])
        self.harness.post(messages.CancelRequest("a"))
        self.assertEqual(0, self.harness.state.fleet.use_by_team["red"])

    def test_ejection_limit_of_a_pool_follows_its_strictest_service(self):
        extra = "[service t]\npool = p\nmin_healthy = 3\n[service u]\npool = p\n"
        configuration = parse_configuration(f"{TEXT}{extra}min_healthy = 0\n")
        limits = {}
        self.harness.state.workers.set_ejection_limit = limits.__setitem__
        self.harness.state.fleet.set_configuration(configuration)
        self.assertEqual({"p": 0}, limits)

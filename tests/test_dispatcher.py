from concurrent.futures import Future

import testtools
from dispatcher_fakes import TEXT, DispatcherBench

from cranberrywheel.connection.store_client import InstanceList
from cranberrywheel.connection.target_messages import (
    AttemptEnd,
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
from cranberrywheel.request.problem import problem_answer
from cranberrywheel.request.ticket import TicketExport
from cranberrywheel.version.configuration import parse_configuration


class DispatcherTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.bench = DispatcherBench()

    def assert_refused(self, future, kind, outcome=Outcome.NOT_RUN):
        answer = future.result(0)
        self.assertEqual((kind, outcome), (answer.kind, answer.outcome))
        self.assertNotEqual("", answer.remedy)

    def test_whole_answer_goes_to_its_own_caller(self):
        first, second = self.bench.submit("a"), self.bench.submit("b")
        start_a, start_b = self.bench.starts()
        self.bench.end(start_b, body=b"for b")
        self.bench.end(start_a, body=b"for a")
        self.assertEqual(b"for a", first.result(0).body)
        self.assertEqual(b"for b", second.result(0).body)

    def test_limit_holds_while_more_requests_wait(self):
        futures = [self.bench.submit(f"r{i}") for i in range(5)]
        starts = self.bench.starts()
        self.assertEqual(2, len(starts))
        self.bench.end(starts[0])
        self.assertEqual(1, len(self.bench.starts()))
        self.assertEqual(1, sum(future.done() for future in futures))

    def test_unit_that_expired_while_the_token_was_fetched_is_not_used(self):
        bench = DispatcherBench(long_units=0, short_units=2)
        for worker in ("w1", "w2", "w3"):
            bench.state.workers.set_token(worker, "", 0)
        bench.give_tokens = lambda: None
        bench.submit("a")
        bench.clock.advance(bench.settings.limits.short_hold_ms + 1)
        DispatcherBench.give_tokens(bench)
        self.assertEqual([], bench.starts())

    def test_unit_of_a_cancelled_task_returns_when_the_stop_is_confirmed(self):
        self.bench.submit("a")
        self.bench.submit("b")
        waiting = self.bench.submit("c")
        start, _ = self.bench.starts()
        self.bench.post(messages.CancelRequest("a"))
        (stop,) = self.bench.take(ControlTask)
        self.assertEqual([], self.bench.starts())
        self.bench.post(
            ControlFinished(
                task_id=stop.task_id,
                worker=stop.worker,
                action="stop",
                confirmed=True,
                gone=False,
            )
        )
        self.bench.give_tokens()
        (started,) = self.bench.starts()
        self.bench.end(started)
        self.assertEqual(Outcome.OK, waiting.result(0).outcome)
        self.assertEqual(start.task_id, stop.task_id)

    def test_unit_of_an_unreachable_worker_returns_only_after_its_lease(self):
        self.bench.submit("a")
        self.bench.submit("b")
        self.bench.submit("c")
        self.bench.starts()
        self.bench.post(messages.CancelRequest("a"))
        limits = self.bench.settings.limits
        self.bench.advance(limits.task_lease_ms + limits.start_token_ms)
        self.bench.give_tokens()
        self.assertEqual([], [s for s in self.bench.starts() if "c." in s.task_id])
        self.bench.advance(1_000)
        self.bench.give_tokens()
        self.assertEqual(1, self.bench.state.ledger.in_use_by_team()["red"])

    def test_queued_request_of_a_caller_that_left_is_never_started(self):
        self.bench.submit("a")
        self.bench.submit("b")
        queued = self.bench.submit("c")
        starts = self.bench.starts()
        self.bench.post(messages.CancelRequest("c"))
        self.assert_refused(queued, "cancelled")
        for start in starts:
            self.bench.end(start)
        self.assertEqual([], self.bench.starts())

    def test_refused_start_is_retried_on_another_worker(self):
        future = self.bench.submit("a")
        (start,) = self.bench.starts()
        self.bench.end(start, AttemptEnd.REFUSED, "busy")
        self.bench.advance(2_000)
        self.bench.give_tokens()
        (again,) = self.bench.starts()
        self.assertNotEqual(start.worker, again.worker)
        self.bench.end(again)
        self.assertEqual(Outcome.OK, future.result(0).outcome)

    def test_broken_non_idempotent_attempt_is_queried_and_never_started_again(self):
        ticket = self.bench.ticket()
        future = self.bench.submit("a", "payments", ticket)
        (start,) = self.bench.starts()
        self.bench.end(start, AttemptEnd.BROKEN)
        (query,) = self.bench.take(QueryTask)
        self.assertFalse(future.done())
        self.bench.post(
            TaskQueried(
                task_id=query.task_id,
                worker=query.worker,
                state="finished",
                body=b"paid",
            )
        )
        again = self.bench.submit("b", "payments", ticket)
        self.assertEqual(b"paid", future.result(0).body)
        self.assertEqual(b"paid", again.result(0).body)
        self.assertEqual([], self.bench.starts())

    def test_retry_of_a_running_ticket_waits_for_the_same_answer(self):
        ticket = self.bench.ticket()
        first = self.bench.submit("a", "payments", ticket)
        second = self.bench.submit("b", "payments", ticket)
        (start,) = self.bench.starts()
        self.bench.end(start, body=b"paid")
        self.assertEqual(b"paid", first.result(0).body)
        self.assertEqual(b"paid", second.result(0).body)

    def test_payment_runs_on_after_its_caller_left_and_is_reported_later(self):
        ticket = self.bench.ticket()
        self.bench.submit("a", "payments", ticket)
        (start,) = self.bench.starts()
        self.bench.post(messages.CancelRequest("a"))
        self.assertEqual([], self.bench.take(ControlTask))
        self.bench.end(start, body=b"paid")
        later = self.bench.submit("b", "payments", ticket)
        self.assertEqual(b"paid", later.result(0).body)

    def test_worker_that_never_answers_a_payment_gives_unknown(self):
        ticket = self.bench.ticket()
        future = self.bench.submit("a", "payments", ticket)
        (start,) = self.bench.starts()
        self.bench.end(start, AttemptEnd.BROKEN)
        self.bench.advance(30_000)
        self.assert_refused(future, "unknown-outcome", Outcome.UNKNOWN)
        again = self.bench.submit("b", "payments", ticket)
        self.assert_refused(again, "unknown-outcome", Outcome.UNKNOWN)
        self.assertEqual([], self.bench.starts())

    def test_ticket_of_a_process_that_is_gone_gives_unknown(self):
        other = DispatcherBench()
        ticket = other.ticket().replace("z1.e1.x", "z1.e1.y")
        future = self.bench.submit("a", "payments", ticket)
        self.assert_refused(future, "unknown-outcome", Outcome.UNKNOWN)

    def test_ticket_of_a_peer_is_forwarded_and_a_lost_forward_is_unknown(self):
        report = messages.PeerReport("z1.e1.y", "z1", "h:1", "h:2", False, (), {}, ())
        self.bench.post(report)
        ticket = self.bench.ticket().replace("z1.e1.x", "z1.e1.y")
        future = self.bench.submit("a", "payments", ticket)
        ((address, incoming, forward),) = self.bench.forwarded
        self.assertEqual(("h:2", True), (address, incoming.forwarded))
        forward.set_exception(ConnectionError())
        self.bench.dispatcher.run_once()
        self.assert_refused(future, "unknown-outcome", Outcome.UNKNOWN)

    def test_non_idempotent_queue_needs_a_ticket(self):
        for ticket in ("", "my-own-key"):
            future = self.bench.submit("a", "payments", ticket)
            self.assert_refused(future, "ticket-required")
        self.assertEqual([], self.bench.starts())

    def test_withdrawn_key_stops_at_once(self):
        self.bench.post(messages.KeyRevoked(self.bench.key_id))
        self.assert_refused(self.bench.submit("a"), "unauthorized")

    def test_keys_that_are_not_fresh_pause_keyed_queues_but_not_open_ones(self):
        self.bench.clock.advance(self.bench.settings.key_freshness_ms + 1)
        self.assert_refused(self.bench.submit("a"), "keys-not-fresh")
        self.assertFalse(self.bench.submit("b", "public", key="").done())
        self.assertFalse(self.bench.submit("c", "patient").done())
        self.bench.clock.advance(30_000)
        self.assert_refused(self.bench.submit("d", "patient"), "keys-not-fresh")

    def test_missing_and_wrong_keys_are_refused(self):
        for key in ("", "wrong", self.bench.key + "x", self.bench.key[:-1]):
            self.assert_refused(self.bench.submit("a", key=key), "unauthorized")

    def test_deadline_in_the_queue_is_not_run_and_while_running_is_unknown(self):
        running = [self.bench.submit("a"), self.bench.submit("b")]
        queued = self.bench.submit("c")
        self.bench.advance(10_100)
        self.assert_refused(queued, "deadline-exceeded")
        for future in running:
            self.assert_refused(future, "unknown-outcome", Outcome.UNKNOWN)

    def test_late_answer_is_dropped(self):
        future = self.bench.submit("a")
        (start,) = self.bench.starts()
        self.bench.end(start, body=b"first")
        self.bench.end(start, body=b"second")
        self.assertEqual(b"first", future.result(0).body)

    def test_bad_message_does_not_end_the_task(self):
        self.bench.post(object(), messages.SubmitRequest(None, None))
        self.assertFalse(self.bench.submit("a").done())
        self.assertEqual(1, len(self.bench.starts()))

    def test_drained_process_refuses_truthfully(self):
        self.bench.state.drained = True
        self.assert_refused(self.bench.submit("a"), "not-ready")

    def test_deadline_after_a_broken_attempt_is_unknown_and_not_not_run(self):
        future = self.bench.submit("a")
        (start,) = self.bench.starts()
        self.bench.end(start, AttemptEnd.BROKEN)
        self.bench.post(messages.InstancesListed(InstanceList(2, 0, ())))
        self.bench.advance(10_100)
        self.assert_refused(future, "unknown-outcome", Outcome.UNKNOWN)

    def test_checkpointed_request_continues_and_does_not_start_again(self):
        ticket = self.bench.ticket()
        future = self.bench.submit("a", "payments", ticket)
        (start,) = self.bench.starts()
        self.bench.end(start, AttemptEnd.STOPPED, "checkpointed")
        (again,) = self.bench.starts()
        self.assertEqual(start.task_id, again.checkpoint)
        self.bench.end(again, body=b"counted")
        self.assertEqual(b"counted", future.result(0).body)

    def test_urgent_request_displaces_work_that_can_be_checkpointed(self):
        bench = DispatcherBench(long_units=20)
        for i in range(12):
            bench.submit(f"n{i}", "rebuilds")
        self.assertEqual(12, len(bench.starts()))
        bench.submit("u", "urgent")
        bench.advance(700)
        (checkpoint,) = [c for c in bench.take(ControlTask) if c.action != "lease"]
        self.assertEqual("checkpoint", checkpoint.action)

    def test_request_without_a_unit_goes_to_a_peer_that_has_one(self):
        load = messages.PeerLoad("red", "", 0, 0, 1)
        self.bench.post(
            messages.PeerReport("z1.e1.y", "z1", "h:1", "h:2", False, (load,), {}, ())
        )
        futures = [self.bench.submit(f"r{i}") for i in range(4)]
        self.bench.advance(400)
        ((_, incoming, forward),) = self.bench.forwarded
        forward.set_result(problem_answer(incoming.request_id, NotReadyError("x")))
        self.bench.post()
        self.bench.dispatcher.run_once()
        self.assertEqual(1, sum(future.done() for future in futures))

    def test_refused_payment_between_attempts_ends_with_its_caller(self):
        # Guards against a request that nobody waits for and that blocks a shutdown.
        ticket = self.bench.ticket()
        future = self.bench.submit("a", "payments", ticket)
        (start,) = self.bench.starts()
        self.bench.end(start, AttemptEnd.REFUSED, "busy")
        self.bench.post(messages.CancelRequest("a"))
        self.assert_refused(future, "cancelled")
        self.assertEqual(0, len(self.bench.state.pending))

    def test_refusal_of_a_ticket_that_ran_is_not_called_not_run(self):
        ticket = self.bench.ticket()
        self.bench.submit("a", "payments", ticket)
        (start,) = self.bench.starts()
        self.bench.end(start)
        self.bench.post(messages.KeyRevoked(self.bench.key_id))
        future = self.bench.submit("b", "payments", ticket)
        self.assert_refused(future, "unauthorized", Outcome.UNKNOWN)

    def test_jobs_that_use_more_than_a_worker_has_are_refused_with_the_reason(self):
        # Guards against jobs that can never run and that retry for ever.
        for number in range(8):
            self.bench.submit(f"r{number}")
            (start,) = self.bench.starts()
            self.bench.advance(5_000)
            self.assertIn(start.worker, {u.worker for u in self.bench.take(FetchUsage)})
            usage = {start.task_id: (64.0, 100)}
            self.bench.post(UsageFetched(worker=start.worker, usage_by_task=usage))
            self.bench.end(start)
        self.assert_refused(self.bench.submit("late"), "never-fits")

    def test_handed_over_ticket_is_answered_here_and_passed_on(self):
        # Guards against forwards to a stopped owner and against results that are
        # lost when their receiver is replaced too.
        report = messages.PeerReport("z1.e1.y", "z1", "h:1", "h:2", False, (), {}, ())
        ticket = self.bench.ticket().replace("z1.e1.x", "z1.e1.y")
        paid = Answer(request_id="", outcome=Outcome.OK, status=200, body=b"paid")
        export = TicketExport(forgotten_ms=0, results=((ticket, paid),))
        self.bench.post(report, messages.ResultsHandedOver("z1.e1.y", export))
        answer = self.bench.submit("a", "payments", ticket).result(0)
        self.assertEqual(b"paid", answer.body)
        self.assertEqual([], self.bench.forwarded)
        exports = Future()
        self.bench.post(messages.ExportResults(exports))
        self.assertEqual(export, dict(exports.result(0))["z1.e1.y"])

    def test_query_of_a_peers_ticket_asks_its_owner(self):
        report = messages.PeerReport("z1.e1.y", "z1", "h:1", "h:2", False, (), {}, ())
        self.bench.post(report)
        ticket = self.bench.ticket().replace("z1.e1.x", "z1.e1.y")
        known, lost, passed_on = Future(), Future(), Future()
        self.bench.post(
            messages.QueryTicket(ticket, known), messages.QueryTicket(ticket, lost)
        )
        (_, incoming, first), (_, _, second) = self.bench.forwarded
        self.assertTrue(incoming.query)
        paid = Answer(request_id="", outcome=Outcome.OK, status=200, body=b"paid")
        first.set_result(paid)
        second.set_exception(ConnectionError())
        self.assertEqual(paid, known.result(0))
        self.assert_refused(lost, "unknown-outcome", Outcome.UNKNOWN)
        self.bench.post(messages.QueryTicket(ticket, passed_on, forwarded=True))
        self.assert_refused(passed_on, "unknown-outcome", Outcome.UNKNOWN)

    def test_request_cancelled_before_its_start_token_leaves_the_use_counts(self):
        # Guards against teams that seem to use more and more of their share.
        self.bench.give_tokens = lambda: None
        self.bench.submit("a")
        self.assertEqual(1, self.bench.state.fleet.use_by_team["red"])
        self.bench.post(messages.CancelRequest("a"))
        self.assertEqual(0, self.bench.state.fleet.use_by_team["red"])

    def test_services_of_one_pool_are_ejected_within_the_larger_budget(self):
        extra = "[service t]\npool = p\nmin_healthy = 3\n[service u]\npool = p\n"
        configuration = parse_configuration(f"{TEXT}{extra}min_healthy = 0\n")
        limits = {}
        self.bench.state.workers.set_ejection_limit = limits.__setitem__
        self.bench.state.fleet.set_configuration(configuration)
        self.assertEqual({"p": 0}, limits)

import queue
import socket
import threading

import testtools

from cranberrywheel.clock import Clock
from cranberrywheel.connection.target_client import TargetClient
from cranberrywheel.connection.target_messages import (
    AttemptFinished,
    AttemptOutcome,
    ControlFinished,
    ControlTask,
    FetchToken,
    QueryTask,
    StartAttempt,
)
from cranberrywheel_standin.serving import Server
from cranberrywheel_standin.worker import Worker, WorkerConfig, WorkerFaults
from cranberrywheel_standin.worker_app import WorkerApp

WAIT_S = 20
BAD_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTask-Id: other\r\n\r\nok"


def start_message(address, task_id, token="", **changes):
    fields = dict(
        task_id=task_id,
        worker="w1",
        address=address,
        token=token,
        lease_ms=5_000,
        timeout_ms=10_000,
        team="t",
        queue="q",
        cores=1.0,
        memory_mb=1,
        run_ms=10,
        idempotent=True,
        checkpoint="",
        content_type="text/plain",
        traceparent="",
        body=b"payload",
    )
    return StartAttempt(**{**fields, **changes})


class ScriptedServer:
    """Answers the requests of each connection with given bytes, then closes it."""

    def __init__(self, answers_by_connection):
        self.requests = queue.SimpleQueue()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._answers = answers_by_connection
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        for answers in self._answers:
            connection, _ = self._listener.accept()
            work = (connection, answers)
            threading.Thread(target=self._serve, args=work, daemon=True).start()
        self._listener.close()

    def _serve(self, connection, answers):
        with connection:
            for answer in answers:
                self.requests.put(connection.recv(65536))
                connection.sendall(answer)


class TargetClientTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.results = queue.SimpleQueue()
        self.client = TargetClient(Clock(), self.results.put, 1_000)
        self.client.start()
        self.addCleanup(self.client.stop)

    def call(self, message):
        self.client.post(message)
        return self.results.get(timeout=WAIT_S)

    def start_worker(self, **faults):
        worker = Worker(WorkerConfig(name="w1", zone="z1", rack="r1"))
        worker.faults = WorkerFaults(**faults)
        server = Server("127.0.0.1", 0, WorkerApp(worker))
        server.start()
        self.addCleanup(server.stop)
        return worker, server.address

    def run_task(self, address, task_id, **changes):
        token = self.call(FetchToken(worker="w1", address=address)).token
        return self.call(start_message(address, task_id, token, **changes))

    def test_complete_answer_is_forwarded(self):
        """The result and the next start token must reach the dispatcher."""
        _, address = self.start_worker()
        result = self.run_task(address, "a")
        self.assertEqual(AttemptOutcome.RAN, result.outcome)
        self.assertIn(b'"task": "a"', result.body)
        self.assertNotEqual("", result.next_token)

    def test_truncated_answer_never_counts_as_complete(self):
        """A caller must not receive part of a result."""
        _, address = self.start_worker(truncate=1)
        self.assertEqual(
            AttemptOutcome.NO_USABLE_ANSWER, self.run_task(address, "a").outcome
        )

    def test_answer_of_another_task_is_discarded(self):
        """A caller must not receive the result of another request."""
        server = ScriptedServer([[BAD_ANSWER]])
        result = self.call(start_message(server.address, "a"))
        self.assertEqual(AttemptOutcome.NO_USABLE_ANSWER, result.outcome)

    def test_answer_over_the_limit_is_discarded(self):
        """A worker must not exhaust the memory of the entry process."""
        answer = b"HTTP/1.1 200 OK\r\nTask-Id: a\r\nContent-Length: 2000\r\n\r\n"
        server = ScriptedServer([[answer + b"x" * 2000]])
        result = self.call(start_message(server.address, "a"))
        self.assertEqual(AttemptOutcome.NO_USABLE_ANSWER, result.outcome)

    def test_stale_token_is_a_certain_refusal(self):
        """A start that certainly did not happen must be safe to retry."""
        _, address = self.start_worker()
        result = self.call(start_message(address, "a", token="old"))
        self.assertEqual(
            (AttemptOutcome.REFUSED, "stale-token"), (result.outcome, result.kind)
        )

    def test_duplicate_refusal_does_not_claim_that_nothing_ran(self):
        """A task with the same id may run, so the start must not be retried."""
        _, address = self.start_worker()
        self.run_task(address, "a")
        result = self.run_task(address, "a")
        self.assertEqual(
            (AttemptOutcome.NO_USABLE_ANSWER, "duplicate"),
            (result.outcome, result.kind),
        )

    def test_refused_connection_counts_as_not_sent(self):
        """An unreachable worker must not make the outcome of a request unknown."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "{}:{}".format(*listener.getsockname())
        result = self.call(start_message(address, "a"))
        self.assertEqual(AttemptOutcome.NOT_SENT, result.outcome)

    def test_lost_answer_is_not_usable_and_can_be_queried(self):
        """The result of a task must still be available after its answer was lost."""
        _, address = self.start_worker(lose_answers=1)
        self.assertEqual(
            AttemptOutcome.NO_USABLE_ANSWER, self.run_task(address, "a").outcome
        )
        found = self.call(QueryTask(task_id="a", worker="w1", address=address))
        self.assertEqual("finished", found.state)
        self.assertIn(b'"task": "a"', found.body)

    def test_non_idempotent_start_is_sent_once_when_a_reused_connection_closes(self):
        """libcurl must not repeat a non-idempotent request on a new connection."""
        complete = BAD_ANSWER.replace(b"other", b"a")
        server = ScriptedServer([[complete, b""], [b""], [b""]])
        first = self.call(start_message(server.address, "a"))
        self.assertEqual(AttemptOutcome.RAN, first.outcome)
        second = self.call(start_message(server.address, "b", idempotent=False))
        self.assertEqual(AttemptOutcome.NO_USABLE_ANSWER, second.outcome)
        sent = []
        while not server.requests.empty():
            sent.append(server.requests.get())
        self.assertEqual(1, sum(b"/tasks/b" in request for request in sent))

    def test_stop_is_confirmed_by_the_worker(self):
        """The slot of a task must not be reused before the worker has stopped it."""
        _, address = self.start_worker()
        token = self.call(FetchToken(worker="w1", address=address)).token
        self.client.post(start_message(address, "a", token, run_ms=60_000))
        stop = ControlTask(task_id="a", worker="w1", address=address, action="stop")
        results = {}
        while not (ControlFinished in results and results[ControlFinished].confirmed):
            result = self.call(stop)
            results[type(result)] = result
        if AttemptFinished not in results:
            results[AttemptFinished] = self.results.get(timeout=WAIT_S)
        self.assertEqual(AttemptOutcome.STOPPED, results[AttemptFinished].outcome)

"""Requests that must not be delivered after their call has ended, over sockets."""

import threading

import pytest
from socket_server import SocketServer

from cranberrywheel.clock import Clock
from cranberrywheel.connection.http_loop import HttpLoop, HttpRequest
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Outcome, Write

#: Of calls that get no answer.
TIMEOUT_MS = 100
#: Of calls that are answered, long enough on a busy machine.
ANSWER_TIMEOUT_MS = 10_000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class Server(SocketServer):
    """Answers nothing until told to, and records how its connections end.

    :param answers: whether requests are answered.
    :param answers_reads: whether those that read are answered nevertheless.
    :ivar ends: how each connection ended: an error or ``None`` for an orderly end.
    """

    def __init__(self, answers, answers_reads=False):
        self._answers = answers
        self._answers_reads = answers_reads
        self.ends = []
        self.ended = threading.Event()
        super().__init__()

    def answer(self, connection, request):
        if self._answers or (self._answers_reads and request.startswith(b"GET")):
            connection.sendall(ANSWER)
            return
        error = None
        try:
            while connection.recv(65_536):
                pass
        except OSError as raised:
            error = raised
        self.ends.append(error)
        self.ended.set()


@pytest.fixture
def loop():
    loop = HttpLoop(Clock())
    loop.start()
    yield loop
    loop.stop()


def call(loop, address, **fields):
    """Send a request and return its reply."""
    replied = threading.Event()
    replies = []

    def on_reply(reply):
        replies.append(reply)
        replied.set()

    request = HttpRequest("POST", address, "/", b"{}", **fields)
    loop.post(lambda: loop.call(request, on_reply))
    assert replied.wait(30)
    return replies[0]


@pytest.mark.parametrize("resets", [False, True])
def test_timeout_resets_the_connection(loop, resets):
    """An order in a closed connection would still be delivered after a partition."""
    server = Server(answers=False)
    reply = call(loop, server.address, timeout_ms=TIMEOUT_MS, resets_connection=resets)
    assert reply.status == 0 and reply.sent
    assert server.ended.wait(30)
    assert [isinstance(error, ConnectionResetError) for error in server.ends] == [
        resets
    ]
    server.close()


def test_answered_calls_share_a_connection(loop):
    """A connection for each order would be one more channel for each."""
    server = Server(answers=True)
    for _ in range(3):
        reply = call(
            loop, server.address, timeout_ms=ANSWER_TIMEOUT_MS, resets_connection=True
        )
        assert reply.status == 200
    assert len(server.connections) == 1
    server.close()


def test_machine_orders_reset_their_connections():
    """An order that arrives after the next leader's breaks the order of fences."""
    requests = []

    class Loop:
        def call(self, request, on_reply):
            requests.append(request)

    client = MachineClient(Loop(), "a:1", "holder")
    client.move("m", "pool", 1, lambda verdict: None)
    client.begin_maintenance("m", 1, 1, lambda verdict: None)
    client.read_all(lambda machines: None)
    assert [request.resets_connection for request in requests] == [True] * 3


def test_unanswered_write_to_the_store_resets_its_connection(loop):
    """Guards against a write that a partition holds up and delivers minutes later.

    The write uses a connection that a read has opened.
    """
    server = Server(answers=False, answers_reads=True)
    replies = []
    replied = threading.Event()
    timeouts_ms = iter([ANSWER_TIMEOUT_MS, TIMEOUT_MS])
    store = Store(
        loop, server.address, lambda result: None, timeout=lambda: next(timeouts_ms)
    )

    def on_written(reply):
        replies.append(reply)
        replied.set()

    def write_after_read():
        store.read(
            "key", lambda reply: store.write(Write(puts=(("key", b"", 0),)), on_written)
        )

    loop.post(write_after_read)
    assert replied.wait(30) and server.ended.wait(30)
    assert [reply.outcome for reply in replies] == [Outcome.UNKNOWN]
    assert len(server.connections) == 1
    assert [isinstance(error, ConnectionResetError) for error in server.ends] == [True]
    server.close()

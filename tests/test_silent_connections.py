"""Connections that go silent without a reset while new ones work, over sockets."""

import threading

import pytest
from socket_server import SocketServer

from cranberrywheel.clock import Clock
from cranberrywheel.connection.http_loop import HttpLoop, HttpRequest
from cranberrywheel_load.processes import wait_until

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
#: Long enough for an answer on a busy machine.
CALL_TIMEOUT_MS = 1_000
#: Of the calls that wait until all connections are open.
FIRST_TIMEOUT_MS = 10_000


class Server(SocketServer):
    """Answers requests on connections that were not silenced.

    :ivar release: requests are answered once this is set.
    """

    def __init__(self):
        self.release = threading.Event()
        self._silent = set()
        super().__init__()

    def answer(self, connection, request):
        self.release.wait()
        if connection not in self._silent:
            connection.sendall(ANSWER)

    def silence_open_connections(self):
        self._silent = set(self.connections)


class Client:
    """Sends requests in parallel and waits for all replies."""

    def __init__(self, loop, address):
        self._loop = loop
        self._address = address

    def call(self, count=1, timeout_ms=CALL_TIMEOUT_MS):
        replies = []
        all_done = threading.Event()

        def on_reply(reply):
            replies.append(reply)
            if len(replies) == count:
                all_done.set()

        def send():
            for _ in range(count):
                request = HttpRequest("GET", self._address, "/", timeout_ms=timeout_ms)
                self._loop.call(request, on_reply)

        self._loop.post(send)
        return all_done, replies


@pytest.fixture
def loop():
    loop = HttpLoop(Clock())
    loop.start()
    yield loop
    loop.stop()


def test_silent_connections_cost_one_timeout(loop):
    """Guards against a call that times out once for each silent connection.

    Connections to the store, to peers and to executors may go silent together; a call
    that is repeated on the next of them is answered only when all are used up.
    """
    server = Server()
    client = Client(loop, server.address)
    # Four connections are opened, which stay in the pool.
    warm, replies = client.call(4, FIRST_TIMEOUT_MS)
    wait_until(lambda: len(server.connections) == 4, 10, "four connections")
    server.release.set()
    assert warm.wait(5) and [reply.status for reply in replies] == [200] * 4
    server.silence_open_connections()
    statuses = []
    for _ in range(6):
        done, replies = client.call()
        assert done.wait(5)
        statuses.append(replies[0].status)
    server.close()
    assert statuses == [0, 200, 200, 200, 200, 200]

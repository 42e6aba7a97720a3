"""Answers that arrive slowly, as over the link of a small instance, over sockets."""

import base64
import json
import threading
import time

import pytest
from socket_server import SocketServer

from cranberrywheel.clock import Clock
from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.platform.store import CALL_TIMEOUT_MS, Store

KEY = "op/config"
VALUE = b"x" * 200_000
CHUNK_BYTES = 12_000
#: With 23 chunks, an answer takes longer than the longest timeout of a store call.
CHUNK_INTERVAL_S = 0.06


class SlowServer(SocketServer):
    """Answers each request with the same body, chunk by chunk.

    :ivar sent_chunks: chunks after which an answer stalls; ``None`` to send all.
    :ivar paths: paths of all requests.
    """

    def __init__(self, body):
        self.body = body
        self.sent_chunks = None
        self.paths = []
        super().__init__()

    def answer(self, connection, request):
        self.paths.append(request.split()[1].decode())
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
        connection.sendall(head.encode())
        for number, start in enumerate(range(0, len(self.body), CHUNK_BYTES)):
            if number == self.sent_chunks:
                connection.recv(1)  # stalls until the client closes the connection
                return
            connection.sendall(self.body[start : start + CHUNK_BYTES])
            time.sleep(CHUNK_INTERVAL_S)


@pytest.fixture
def server():
    row = {"key": KEY, "value": base64.b64encode(VALUE).decode(), "revision": 7}
    server = SlowServer(json.dumps({"items": [row], "asOf": 7}).encode())
    yield server
    server.close()


@pytest.fixture
def loop():
    loop = HttpLoop(Clock())
    loop.start()
    yield loop
    loop.stop()


def test_large_configuration_arrives_over_a_slow_link(server, loop):
    """Guards against a read that is ended and begun again while its bytes arrive.

    On mlr-clyde-grown, processes with links of 10 Mbit/s had a confirmed configuration
    in force more than 3 s late.
    """
    assert len(server.body) / CHUNK_BYTES * CHUNK_INTERVAL_S * 1000 > CALL_TIMEOUT_MS
    store = Store(
        loop, server.address, lambda result: None, timeout=lambda: CALL_TIMEOUT_MS
    )
    values = []
    arrived = threading.Event()

    def on_item(item):
        values.append(item.value)
        arrived.set()

    watch = PrefixWatch(loop, store, KEY, on_item)
    loop.post(watch.start)
    assert arrived.wait(10)
    reads = [path for path in server.paths if path.startswith("/api/kv-range")]
    assert values == [VALUE] and len(reads) == 1


def test_stalled_answer_ends_the_call(server, loop):
    """Guards against a read that waits for ever for the rest of an answer."""
    server.sent_chunks = 3
    results = []
    ended = threading.Event()
    store = Store(loop, server.address, results.append, timeout=lambda: CALL_TIMEOUT_MS)

    def on_reply(reply):
        results.append(reply)
        ended.set()

    loop.post(lambda: store.read_all(KEY, on_reply))
    assert ended.wait(10)
    result, reply = results
    assert not result.answered and not reply.outcome.is_answer
    assert reply.received_bytes == 3 * CHUNK_BYTES

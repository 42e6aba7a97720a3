import http.client
import socket
import threading

import testtools

from cranberrywheel.connection.http_server import (
    IDLE_TIMEOUT_S,
    DisconnectWatcher,
    HttpServer,
)

WAIT_S = 20


def echo(environ, start_response):
    body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


class HttpServerTest(testtools.TestCase):
    def start(self, app=echo, threads=2, **options):
        server = HttpServer("127.0.0.1", 0, app, threads, 1_000, **options)
        server.start()
        self.addCleanup(server.stop)
        self.addCleanup(server.close_listener)
        return server

    def connect(self, server):
        connection = http.client.HTTPConnection(
            "127.0.0.1", server.server_port, timeout=WAIT_S
        )
        self.addCleanup(connection.close)
        return connection

    def send_request(self, connection, body):
        connection.request("POST", "/", body)
        return connection.getresponse().read()

    def test_answers_on_one_connection_are_not_crossed(self):
        """A reused connection must not deliver the answer of an earlier request."""
        connection = self.connect(self.start())
        connection.connect()
        sock = connection.sock
        for body in (b"first", b"second"):
            self.assertEqual(body, self.send_request(connection, body))
        self.assertIs(sock, connection.sock)

    def test_body_that_was_not_read_is_not_taken_for_a_request(self):
        """A caller must not smuggle requests in a body that the server rejects."""

        def ignore(environ, start_response):
            start_response("413 Too Large", [("Content-Length", "0")])
            return [b""]

        connection = self.connect(self.start(ignore))
        self.send_request(connection, b"GET / HTTP/1.1\r\n\r\n" * 100)
        self.assertIsNone(connection.sock)

    def test_bad_content_length_is_refused(self):
        """An invalid Content-Length must be answered with status 400."""
        server = self.start()
        with socket.create_connection(("127.0.0.1", server.server_port)) as sock:
            sock.settimeout(WAIT_S)
            sock.sendall(b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n")
            self.assertIn(b" 400 ", sock.recv(100))

    def test_connections_over_the_bound_are_refused_at_once(self):
        """An overloaded server must answer instead of letting callers wait."""
        release, entered = threading.Event(), threading.Semaphore(0)

        def slow(environ, start_response):
            entered.release()
            release.wait(WAIT_S)
            return echo(environ, start_response)

        server = self.start(slow, threads=1)
        self.addCleanup(release.set)
        waiting = [self.connect(server) for _ in range(3)]
        for connection in waiting:
            connection.request("POST", "/", b"x")
        entered.acquire(timeout=WAIT_S)
        late = self.connect(server)
        late.connect()
        response = http.client.HTTPResponse(late.sock)
        response.begin()
        self.assertEqual(503, response.status)
        self.assertEqual("1", response.headers["Retry-After"])
        self.assertIn(b'"outcome":"unknown"', response.read())
        release.set()
        self.assertEqual(b"x", waiting[0].getresponse().read())

    def test_idle_connections_hold_up_other_callers_only_for_the_idle_timeout(self):
        """Peers that keep connections to the leader open must not shut others out.

        On the large deployment there are more peers than the leader has threads.
        """
        server = self.start(idle_timeout_s=0.2)
        idle = [self.connect(server) for _ in range(2)]
        for connection in idle:
            self.assertEqual(b"x", self.send_request(connection, b"x"))
        other = http.client.HTTPConnection(
            "127.0.0.1", server.server_port, timeout=IDLE_TIMEOUT_S / 2
        )
        self.addCleanup(other.close)
        self.assertEqual(b"y", self.send_request(other, b"y"))

    def test_slow_request_is_not_cut_off_by_the_idle_timeout(self):
        """A request that takes longer than the idle timeout must be answered."""

        def delay(environ, start_response):
            threading.Event().wait(0.5)
            return echo(environ, start_response)

        connection = self.connect(self.start(delay, idle_timeout_s=0.1))
        for body in (b"first", b"second"):
            self.assertEqual(body, self.send_request(connection, body))

    def test_stop_finishes_running_answers_and_ends_idle_connections(self):
        """A shutdown must not cut off an answer, nor wait for idle callers."""
        release, entered = threading.Event(), threading.Event()

        def slow(environ, start_response):
            if environ["PATH_INFO"] == "/slow":
                entered.set()
                release.wait(WAIT_S)
            return echo(environ, start_response)

        server = HttpServer("127.0.0.1", 0, slow, 4, 1_000)
        server.start()
        idle, busy = self.connect(server), self.connect(server)
        self.send_request(idle, b"x")
        busy.request("POST", "/slow", b"whole")
        entered.wait(WAIT_S)
        server.close_listener()
        stopper = threading.Thread(target=server.stop)
        stopper.start()
        release.set()
        self.assertEqual(b"whole", busy.getresponse().read())
        stopper.join(WAIT_S)
        self.assertFalse(stopper.is_alive())


class HangupWatcherTest(testtools.TestCase):
    def test_closed_connection_is_reported_and_unwatched_ones_are_not(self):
        """A request must not be cancelled because of another caller's connection."""
        watcher = DisconnectWatcher()
        closed, unwatched = threading.Event(), threading.Event()
        pairs = [socket.socketpair() for _ in range(2)]
        for pair, event in zip(pairs, (closed, unwatched), strict=True):
            watcher.watch(pair[0], event.set)
            self.addCleanup(pair[0].close)
        watcher.unwatch(pairs[1][0])
        for pair in pairs:
            pair[1].close()
        self.assertTrue(closed.wait(WAIT_S))
        self.assertFalse(unwatched.is_set())

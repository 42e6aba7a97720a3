"""A bounded HTTP/1.1 server for callers and operators, on werkzeug."""

import io
import select
import socket
import threading
import typing as t
from concurrent.futures import ThreadPoolExecutor

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from cranberrywheel.logs import ComponentLogger

#: A connection on which nothing moves for this time is closed, which frees its thread.
IDLE_TIMEOUT_S = 10
#: Connections that may wait for a thread, as a multiple of the number of threads.
QUEUED_CONNECTIONS_PER_THREAD = 2

# The outcome is unknown because this answer is sent before the request is read: an
# earlier request with the same ticket may have run.
_REJECTION_BODY = (
    b'{"kind":"overloaded","remedy":"Retry later.","outcome":"unknown",'
    b'"title":"Overloaded","status":503}'
)
_REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
    b"Content-Type: application/problem+json\r\nContent-Length: "
    + str(len(_REJECTION_BODY)).encode()
    + b"\r\n\r\n"
    + _REJECTION_BODY
)

_log = ComponentLogger("http")


class DisconnectWatcher:
    """Notifies when callers close their connections.

    One thread waits on all watched sockets, so that no request has to poll its own.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks_by_fd: dict[int, t.Callable[[], None]] = {}
        self._thread = threading.Thread(target=self._run, name="hangup", daemon=True)
        self._thread.start()

    def watch(self, connection: socket.socket, callback: t.Callable[[], None]) -> None:
        """Call a function once when the caller closes the connection.

        :param connection: socket of the caller.
        :param callback: called on the watcher's thread, or at once if the socket is
            already closed on this side.
        """
        fd = connection.fileno()
        if fd < 0:
            callback()
            return
        with self._lock:
            self._callbacks_by_fd[fd] = callback
        flags = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
        try:
            self._epoll.register(fd, flags | select.EPOLLONESHOT)
        except FileExistsError:
            self._epoll.modify(fd, flags | select.EPOLLONESHOT)

    def unwatch(self, connection: socket.socket) -> None:
        """Stop watching a connection."""
        fd = connection.fileno()
        if fd < 0:
            return
        with self._lock:
            self._callbacks_by_fd.pop(fd, None)
        try:
            self._epoll.unregister(fd)
        except OSError:
            pass  # the socket is closed and no longer registered

    def _run(self) -> None:
        while True:
            for fd, _ in self._epoll.poll():
                with self._lock:
                    callback = self._callbacks_by_fd.pop(fd, None)
                if callback:
                    callback()


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = IDLE_TIMEOUT_S
    # Buffering sends headers and body in one segment. Otherwise Nagle's algorithm
    # delays small answers by up to 40 ms.
    disable_nagle_algorithm = True
    wbufsize = -1

    server_version = "cranberrywheel"
    sys_version = ""

    def run_wsgi(self) -> None:
        """Answer one request and keep the connection open for the next one.

        The handler of werkzeug closes the connection after each answer.
        """
        self.connection.settimeout(IDLE_TIMEOUT_S)
        try:
            self._answer_request()
        finally:
            # From here on the thread waits for the next request of the connection.
            self.connection.settimeout(t.cast(HttpServer, self.server).idle_timeout_s)

    def _answer_request(self) -> None:
        environ = self.make_environ()
        length = self.headers.get("Content-Length") or "0"
        if not length.isdecimal():
            self.send_error(400, "Content-Length is not a number")
            self.close_connection = True
            return
        limit = t.cast(HttpServer, self.server).max_body_bytes
        if int(length) <= limit:
            if not environ.get("wsgi.input_terminated"):
                environ["wsgi.input"] = io.BytesIO(self.rfile.read(int(length)))
        # An unread chunked or oversized body would be parsed as the next request, so
        # the connection must be closed after the answer.
        has_unread_body = "Transfer-Encoding" in self.headers or int(length) > limit
        self._send(environ, has_unread_body)

    def _send(self, environ: t.Any, close: bool) -> None:
        status_and_headers: list[t.Any] = []

        def start_response(
            status: str, headers: t.Any, exc_info: t.Any = None
        ) -> t.Any:
            status_and_headers[:] = [status, headers]
            return lambda data: None

        body = b"".join(self.server.app(environ, start_response))
        code, _, reason = status_and_headers[0].partition(" ")
        self.send_response(int(code), reason)
        for name, value in status_and_headers[1]:
            if name.lower() == "connection":
                close = close or value.lower() == "close"
            else:
                self.send_header(name, value)
        if close:
            self.send_header("Connection", "close")
            self.close_connection = True
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()

    def log_request(self, code: t.Any = "-", size: t.Any = "-") -> None:
        """Do nothing: requests are logged where their outcome is decided."""

    def log(self, type: str, message: str, *args: t.Any) -> None:
        if message.startswith("Request timed out"):
            return  # an idle connection is closed
        _log.warning("connection error", detail=message % args if args else message)


class HttpServer(BaseWSGIServer):
    """Serves a WSGI application with a bounded number of threads.

    A connection that exceeds the bound is answered with status 503 and closed.

    :param host: IP address to listen on.
    :param port: TCP port; 0 selects a free one.
    :param app: the WSGI application.
    :param threads: number of connections served at once.
    :param max_body_bytes: largest request body in bytes that is read before the
        application runs.
    :param idle_timeout_s: time for which a thread waits for the next request of a
        connection, in seconds. If more callers than threads keep connections open,
        the others wait for this long.
    """

    request_queue_size = 512

    def __init__(
        self,
        host: str,
        port: int,
        app: t.Any,
        threads: int,
        max_body_bytes: int,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        super().__init__(host, port, app, handler=_Handler)
        self.max_body_bytes = max_body_bytes
        self.idle_timeout_s = idle_timeout_s
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="http")
        self._connection_slots = threading.BoundedSemaphore(
            threads * (1 + QUEUED_CONNECTIONS_PER_THREAD)
        )
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._accept_thread = threading.Thread(
            target=self.serve_forever, name="http-accept", daemon=True
        )

    def start(self) -> None:
        """Start the thread that accepts connections."""
        self._accept_thread.start()

    def process_request(self, request: t.Any, client_address: t.Any) -> None:
        if not self._connection_slots.acquire(blocking=False):
            self._reject(request)
            return
        self._pool.submit(self._serve, request, client_address)

    def _reject(self, request: socket.socket) -> None:
        try:
            request.settimeout(0.1)
            request.sendall(_REJECTION)
        except OSError:
            pass  # the caller closed the connection
        self.shutdown_request(request)

    def _serve(self, request: t.Any, client_address: t.Any) -> None:
        with self._lock:
            self._connections.add(request)
        try:
            self.finish_request(request, client_address)
        except Exception as error:
            _log.warning("connection closed after an error", detail=error)
        finally:
            with self._lock:
                self._connections.discard(request)
            self.shutdown_request(request)
            self._connection_slots.release()

    def close_listener(self) -> None:
        """Stop accepting connections; open connections continue to be served."""
        self.shutdown()
        self._accept_thread.join()
        self.server_close()

    def stop(self) -> None:
        """Close idle connections and wait for the others to finish.

        Call :meth:`close_listener` first. Shutting down the receiving side ends a
        connection that waits for its next request, while an answer that is being
        written is still sent.
        """
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # the caller already closed the connection
        self._pool.shutdown(wait=True)

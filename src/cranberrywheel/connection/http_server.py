"""A bounded HTTP/1.1 server for callers and operators, on werkzeug."""

import io
import select
import socket
import threading
import typing as t
from concurrent.futures import ThreadPoolExecutor

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from cranberrywheel.logs import ComponentLogger

#: A connection that sends nothing for this long gives its thread back.
IDLE_TIMEOUT_S = 10
#: Connections that wait for a thread, as a multiple of the threads.
WAITING_PER_THREAD = 2

# Sent before the request is read: an earlier call with its ticket may have run.
_REFUSAL_BODY = (
    b'{"kind":"overloaded","remedy":"Retry later.","outcome":"unknown",'
    b'"title":"Overloaded","status":503}'
)
_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
    b"Content-Type: application/problem+json\r\nContent-Length: "
    + str(len(_REFUSAL_BODY)).encode()
    + b"\r\n\r\n"
    + _REFUSAL_BODY
)

_log = ComponentLogger("http")


class DisconnectWatcher:
    """Tells when callers close their connections.

    One task waits on all watched sockets, so that a waiting request needs no
    polling.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks_by_fd: dict[int, t.Callable[[], None]] = {}
        self._thread = threading.Thread(target=self._run, name="hangup", daemon=True)
        self._thread.start()

    def watch(self, connection: socket.socket, callback: t.Callable[[], None]) -> None:
        """Call back once when the other side closes the connection.

        :param connection: a caller's socket.
        :param callback: runs on the watcher's thread.
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
            pass  # the watcher saw it close

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
    # Headers and body leave in one segment; otherwise Nagle's algorithm delays
    # small answers by up to 40 ms.
    disable_nagle_algorithm = True
    wbufsize = -1

    server_version = "cranberrywheel"
    sys_version = ""

    def run_wsgi(self) -> None:
        """Answer one request and keep the connection for the next one.

        werkzeug's own handler closes the connection after each answer.
        """
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
        # The rest of a chunked or oversized body would be taken for a request.
        unread = "Transfer-Encoding" in self.headers or int(length) > limit
        self._send(environ, unread)

    def _send(self, environ: t.Any, close: bool) -> None:
        head: list[t.Any] = []

        def start_response(
            status: str, headers: t.Any, exc_info: t.Any = None
        ) -> t.Any:
            head[:] = [status, headers]
            return lambda data: None

        body = b"".join(self.server.app(environ, start_response))
        code, _, reason = head[0].partition(" ")
        self.send_response(int(code), reason)
        for name, value in head[1]:
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
        """Requests are logged where they are decided."""

    def log(self, type: str, message: str, *args: t.Any) -> None:
        _log.warning("connection problem", detail=message % args if args else message)


class HttpServer(BaseWSGIServer):
    """Serves a WSGI application with a bounded number of threads.

    :param host: IP number to listen on.
    :param port: TCP port; 0 picks a free one.
    :param app: the WSGI application.
    :param threads: connections served at once.
    :param max_body_bytes: largest request body that is read before the
        application runs.
    """

    request_queue_size = 512

    def __init__(
        self, host: str, port: int, app: t.Any, threads: int, max_body_bytes: int
    ) -> None:
        super().__init__(host, port, app, handler=_Handler)
        self.max_body_bytes = max_body_bytes
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="http")
        self._room = threading.BoundedSemaphore(threads * (1 + WAITING_PER_THREAD))
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._acceptor = threading.Thread(
            target=self.serve_forever, name="http-accept", daemon=True
        )

    def start(self) -> None:
        """Start accepting connections."""
        self._acceptor.start()

    def process_request(self, request: t.Any, client_address: t.Any) -> None:
        if not self._room.acquire(blocking=False):
            self._refuse(request)
            return
        self._pool.submit(self._serve, request, client_address)

    def _refuse(self, request: socket.socket) -> None:
        try:
            request.settimeout(0.1)
            request.sendall(_REFUSAL)
        except OSError:
            pass  # the caller is gone
        self.shutdown_request(request)

    def _serve(self, request: t.Any, client_address: t.Any) -> None:
        with self._lock:
            self._connections.add(request)
        try:
            self.finish_request(request, client_address)
        except Exception as error:
            _log.warning("connection ended early", detail=error)
        finally:
            with self._lock:
                self._connections.discard(request)
            self.shutdown_request(request)
            self._room.release()

    def close_listener(self) -> None:
        """Stop accepting; connections that are served go on."""
        self.shutdown()
        self._acceptor.join()
        self.server_close()

    def stop(self) -> None:
        """End idle connections and wait for the others; call it last.

        Closing the reading side ends a connection that waits for its next
        request, while an answer that is being written still goes out.
        """
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # the caller closed it
        self._pool.shutdown(wait=True)

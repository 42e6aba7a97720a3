"""Threaded HTTP/1.1 server with keep-alive for the stand-ins.

werkzeug's own handler closes the connection after each request, which would hide
faults in the reuse of connections.
"""

import io
import threading
import typing as t

from werkzeug.serving import ThreadedWSGIServer, WSGIRequestHandler
from werkzeug.test import run_wsgi_app

#: environ key of a list to which an application appends a fault for its answer.
WIRE_FAULT = "standin.wire_fault"
#: Sends the headers and half of the body, then closes the connection.
TRUNCATE = "truncate"
#: Closes the connection without an answer.
DROP = "drop"


class KeepAliveHandler(WSGIRequestHandler):
    """Request handler that keeps connections open between requests."""

    protocol_version = "HTTP/1.1"
    # Without these two, Nagle's algorithm delays each small answer by 40 ms.
    disable_nagle_algorithm = True
    wbufsize = -1

    def run_wsgi(self) -> None:
        environ = self.make_environ()
        length = int(self.headers.get("Content-Length") or 0)
        environ["wsgi.input"] = io.BytesIO(self.rfile.read(length))
        # run_wsgi_app gives the application a copy of environ; the list in it is
        # shared.
        faults: list[str] = []
        environ[WIRE_FAULT] = faults
        chunks, status, headers = run_wsgi_app(self.server.app, environ)
        body = b"".join(chunks)
        fault = faults[0] if faults else ""
        if fault == DROP:
            self.close_connection = True
            return
        code, _, reason = status.partition(" ")
        self.send_response(int(code), reason)
        for name, value in headers:
            if name.lower() != "content-length":
                self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if fault == TRUNCATE:
            body = body[: len(body) // 2]
            self.close_connection = True
        self.wfile.write(body)
        self.wfile.flush()

    def log_request(self, code: t.Any = "-", size: t.Any = "-") -> None:
        """Suppress the log of requests; the stand-ins answer thousands of them."""


class Server(ThreadedWSGIServer):
    """HTTP server that listens at once and serves after :meth:`start`."""

    def __init__(self, host: str, port: int, app: t.Any) -> None:
        super().__init__(host, port, app, KeepAliveHandler)

    @property
    def address(self) -> str:
        """Return ``ip:port``; the port is the bound one if 0 was requested."""
        return f"{self.server_address[0]}:{self.server_address[1]}"

    def start(self) -> None:
        """Serve on a new thread until :meth:`stop`."""
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop listening; handlers in progress are not waited for."""
        self.shutdown()
        self.server_close()

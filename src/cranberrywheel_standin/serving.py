"""Threaded HTTP/1.1 server with keep-alive for the stand-ins.

werkzeug's own handler closes each connection, which would hide faults of
connection reuse in the product.
"""

import io
import threading
import typing as t

from werkzeug.serving import ThreadedWSGIServer, WSGIRequestHandler
from werkzeug.test import run_wsgi_app

#: environ key of a list; an application appends a fault to damage its answer.
WIRE_FAULT = "standin.wire_fault"
#: send the headers and half of the body, then close the connection.
TRUNCATE = "truncate"
#: close the connection without an answer.
DROP = "drop"


class KeepAliveHandler(WSGIRequestHandler):
    """Serves several requests on one connection."""

    protocol_version = "HTTP/1.1"
    # Without these two, Nagle's algorithm delays each small answer by 40 ms.
    disable_nagle_algorithm = True
    wbufsize = -1

    def run_wsgi(self) -> None:
        environ = self.make_environ()
        length = int(self.headers.get("Content-Length") or 0)
        environ["wsgi.input"] = io.BytesIO(self.rfile.read(length))
        # run_wsgi_app passes on a copy of environ, so the application appends to
        # a list that both share.
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
        """Log nothing: the stand-ins answer thousands of calls."""


class Server(ThreadedWSGIServer):
    """A listening server; :meth:`start` serves it on its own thread."""

    def __init__(self, host: str, port: int, app: t.Any) -> None:
        super().__init__(host, port, app, KeepAliveHandler)

    @property
    def address(self) -> str:
        """Return ``ip:port``; the port is the real one if 0 was asked for."""
        return f"{self.server_address[0]}:{self.server_address[1]}"

    def start(self) -> None:
        """Serve until :meth:`stop`."""
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop listening; running handlers end with the process."""
        self.shutdown()
        self.server_close()

"""A server on a loopback socket whose answers a test shapes byte by byte."""

import socket
import threading


class SocketServer:
    """Passes each request to :meth:`answer`, on a thread for each connection.

    :ivar address: ``host:port``.
    """

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return  # the listener is closed
            self.connections.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        try:
            while request := connection.recv(65_536):
                self.answer(connection, request)
        except OSError:
            pass  # the client closed the connection

    def answer(self, connection, request):
        """Send the answer to a request."""
        raise NotImplementedError

    def close(self):
        """Accept no further connections."""
        self._listener.close()

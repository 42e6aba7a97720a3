"""TCP proxy that delays, resets, refuses or blackholes connections.

It can also hold whole requests back and pass them on after their callers gave up.
"""

import enum
import itertools
import selectors
import socket
import struct
import threading
import time

READ_BYTES = 65_536
#: Rate of a link of 5 Mbit/s, the smallest of the users' deployments.
THROTTLED_BYTES_PER_S = 625_000
POLL_INTERVAL_S = 0.05
#: Pause after which a request that is held back counts as complete.
REQUEST_PAUSE_S = 0.05
ANSWER_TIMEOUT_S = 3.0
#: SO_LINGER enabled with zero seconds: closing the socket sends a TCP reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class Fault(enum.Enum):
    """Treatment of connections.

    ``DELAY`` forwards bytes after a delay, ``SILENCE`` discards them in both
    directions, ``CUT_ANSWERS`` discards only those from the target, ``REFUSE``
    resets connections, ``THROTTLE`` forwards the target's bytes at a limited rate.
    ``LATE`` leaves every second request without an answer and passes it on after a
    delay, on a connection of its own.
    """

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    CUT_ANSWERS = "cut-answers"
    REFUSE = "refuse"
    THROTTLE = "throttle"
    LATE = "late"


class FaultProxy:
    """Forwards connections to a target and applies the current fault.

    A connection on which bytes were discarded forwards nothing any more, also after
    the fault has ended, like a connection whose peer gave up during a partition.

    :param listen: address on which the proxy listens.
    :param target: address to which connections are forwarded.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self._target = target
        self._listener = socket.create_server(listen, backlog=256)
        self._listener.settimeout(POLL_INTERVAL_S)
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self._stopped = False
        self._request_numbers = itertools.count()
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self._thread = threading.Thread(target=self._accept_connections, daemon=True)

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        self._stopped = True
        self._listener.close()
        self.reset()

    def set(self, fault: Fault, delay_s: float = 0.0) -> None:
        """Set the fault for existing and new connections.

        :param delay_s: delay of each chunk of bytes under ``DELAY``, and of each
            request that is passed on late under ``LATE``.
        """
        self.delay_s = delay_s
        self.fault = fault
        if fault is Fault.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        with self._lock:
            sockets, self._sockets = self._sockets, set()
        for sock in sockets:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                sock.close()
            except OSError:
                pass  # closed by the connection's own thread

    def _accept_connections(self) -> None:
        while not self._stopped:
            try:
                client, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return  # stop() closed the listener
            threading.Thread(
                target=self._handle_connection, args=(client,), daemon=True
            ).start()

    def _handle_connection(self, client: socket.socket) -> None:
        try:
            if self.fault is Fault.REFUSE:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                client.close()
                return
            server = socket.create_connection(self._target, timeout=1)
        except OSError:
            client.close()
            return
        with self._lock:
            self._sockets |= {client, server}
        try:
            self._forward(client, server)
        except (OSError, ValueError):
            pass  # reset by a fault or by one end
        finally:
            with self._lock:
                self._sockets -= {client, server}
            client.close()
            server.close()

    def _forward(self, client: socket.socket, server: socket.socket) -> None:
        selector = selectors.DefaultSelector()
        selector.register(client, selectors.EVENT_READ, server)
        selector.register(server, selectors.EVENT_READ, client)
        with selector:
            while not self._stopped:
                for key, _ in selector.select(POLL_INTERVAL_S):
                    source = key.fileobj
                    assert isinstance(source, socket.socket)
                    data = source.recv(READ_BYTES)
                    if not data:
                        return
                    fault = self.fault
                    if fault is Fault.DELAY:
                        time.sleep(self.delay_s)
                    elif fault is Fault.THROTTLE and source is server:
                        time.sleep(len(data) / THROTTLED_BYTES_PER_S)
                    if fault is Fault.SILENCE or (
                        fault is Fault.CUT_ANSWERS and source is server
                    ):
                        self._discard_bytes(client, server)
                        return
                    if fault is Fault.LATE and source is client:
                        if next(self._request_numbers) % 2:
                            self._pass_on_late(data + _read_rest(client))
                            self._discard_bytes(client, server)
                            return
                    key.data.sendall(data)

    def _pass_on_late(self, request: bytes) -> None:
        """Send a request to the target after the delay, and ignore the answer."""

        def send() -> None:
            if self._stopped:
                return
            try:
                with socket.create_connection(self._target, ANSWER_TIMEOUT_S) as server:
                    server.sendall(request)
                    server.recv(READ_BYTES)
            except OSError:
                pass  # nothing listens at the target any more

        timer = threading.Timer(self.delay_s, send)
        timer.daemon = True
        timer.start()

    def _discard_bytes(self, client: socket.socket, server: socket.socket) -> None:
        """Keep a connection open, discarding the client's bytes, until it closes."""
        while not self._stopped and client.fileno() >= 0 and server.fileno() >= 0:
            time.sleep(POLL_INTERVAL_S)
            try:
                client.setblocking(False)
                if not client.recv(READ_BYTES):
                    return
            except BlockingIOError:
                continue


def _read_rest(client: socket.socket) -> bytes:
    """Read the bytes of a request that arrive without a pause."""
    data = b""
    client.settimeout(REQUEST_PAUSE_S)
    try:
        while chunk := client.recv(READ_BYTES):
            data += chunk
    except TimeoutError:
        pass
    return data

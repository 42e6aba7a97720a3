"""One task that owns every outgoing HTTP call, its timers and its inbox."""

import dataclasses
import heapq
import io
import itertools
import queue
import selectors
import socket
import threading
import typing as t

import pycurl

from cranberrywheel.clock import Clock
from cranberrywheel.logs import ComponentLogger

#: Kept connections; above the executors of the largest planned deployment.
MAX_CONNECTIONS = 1_024
#: A connection that is not accepted by then counts as unreachable. Zones are a few
#: milliseconds apart, and a lost first packet is sent again after a second.
CONNECT_TIMEOUT_MS = 1_000
#: Largest body that is read from any server.
MAX_REPLY_BYTES = 8_000_000
#: Longest sleep of the loop without any timer.
MAX_WAIT_MS = 1_000

_log = ComponentLogger("http-loop")


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """One outgoing call.

    :param address: ``host:port``.
    :param path: path with query.
    :param timeout_ms: longest time until the whole reply has arrived.
    """

    method: str
    address: str
    path: str
    body: bytes | None = None
    headers: tuple[str, ...] = ()
    timeout_ms: int = 1_000


@dataclasses.dataclass(frozen=True)
class HttpReply:
    """What came back; ``status`` 0 stands for no usable reply.

    :param sent: false if certainly no byte of the request left.
    """

    status: int
    body: bytes = b""
    sent: bool = True
    error: str = ""


class _Transfer:
    __slots__ = ("body", "curl", "done")

    def __init__(self, curl: pycurl.Curl, done: t.Callable[[HttpReply], None]) -> None:
        self.curl = curl
        self.done = done
        self.body = io.BytesIO()

    def write(self, chunk: bytes) -> int:
        if self.body.tell() + len(chunk) > MAX_REPLY_BYTES:
            return -1
        return self.body.write(chunk)


class HttpLoop:
    """A thread with a ``CurlMulti``, timers and an inbox of functions.

    Everything that runs on this thread shares state without locks. ``call`` and
    ``after`` belong to that thread; ``post`` may be called from any thread.

    :param clock: source of the timers' readings.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._inbox: queue.SimpleQueue[t.Callable[[], None]] = queue.SimpleQueue()
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._wake_out, selectors.EVENT_READ)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_curl_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)
        self._curl_due_ms: int | None = None
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._idle: list[pycurl.Curl] = []
        self._timers: list[tuple[int, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="loop", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; running calls are dropped."""
        self._stopping = True
        self.post(lambda: None)
        self._thread.join(timeout=2)

    def post(self, function: t.Callable[[], None]) -> None:
        """Run a function on the loop's thread."""
        self._inbox.put(function)
        try:
            self._wake_in.send(b"\0")
        except BlockingIOError:
            pass  # a full pipe already wakes the loop

    def after(self, delay_ms: int, function: t.Callable[[], None]) -> None:
        """Run a function once after a delay."""
        due_ms = self.clock.now_ms() + max(0, delay_ms)
        heapq.heappush(self._timers, (due_ms, next(self._order), function))

    def call(self, request: HttpRequest, done: t.Callable[[HttpReply], None]) -> None:
        """Send a request and hand its reply to ``done`` on the loop's thread."""
        curl = self._idle.pop() if self._idle else pycurl.Curl()
        curl.reset()
        transfer = _Transfer(curl, done)
        curl.setopt(pycurl.URL, f"http://{request.address}{request.path}")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, request.timeout_ms))
        curl.setopt(
            pycurl.CONNECTTIMEOUT_MS,
            max(1, min(CONNECT_TIMEOUT_MS, request.timeout_ms)),
        )
        curl.setopt(pycurl.WRITEFUNCTION, transfer.write)
        headers = list(request.headers)
        if request.method == "POST":
            curl.setopt(pycurl.POSTFIELDS, request.body or b"")
            headers += ["Content-Type: application/json", "Expect:"]
        elif request.method != "GET":
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        if headers:
            curl.setopt(pycurl.HTTPHEADER, headers)
        self._transfers[curl] = transfer
        self._multi.add_handle(curl)

    def _watch_socket(self, event: int, fd: int, multi: t.Any, data: t.Any) -> None:
        registered = fd in self._selector.get_map()
        if event == pycurl.POLL_REMOVE:
            if registered:
                self._selector.unregister(fd)
            return
        events = 0
        if event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            events |= selectors.EVENT_READ
        if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            events |= selectors.EVENT_WRITE
        if registered:
            self._selector.modify(fd, events)
        else:
            self._selector.register(fd, events)

    def _set_curl_timer(self, timeout_ms: int) -> None:
        self._curl_due_ms = None if timeout_ms < 0 else self.clock.now_ms() + timeout_ms

    def _run(self) -> None:
        while not self._stopping:
            self._wait()
            now_ms = self.clock.now_ms()
            if self._curl_due_ms is not None and now_ms >= self._curl_due_ms:
                self._curl_due_ms = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._collect()
            while self._timers and self._timers[0][0] <= self.clock.now_ms():
                self._guard(heapq.heappop(self._timers)[2])

    def _wait(self) -> None:
        due_ms = [self.clock.now_ms() + MAX_WAIT_MS]
        if self._curl_due_ms is not None:
            due_ms.append(self._curl_due_ms)
        if self._timers:
            due_ms.append(self._timers[0][0])
        wait_ms = max(0, min(due_ms) - self.clock.now_ms())
        for key, mask in self._selector.select(wait_ms / 1000):
            if key.fileobj is self._wake_out:
                self._read_inbox()
                continue
            flags = 0
            if mask & selectors.EVENT_READ:
                flags |= pycurl.CSELECT_IN
            if mask & selectors.EVENT_WRITE:
                flags |= pycurl.CSELECT_OUT
            self._multi.socket_action(key.fd, flags)

    def _read_inbox(self) -> None:
        try:
            while len(self._wake_out.recv(4096)) == 4096:
                pass
        except BlockingIOError:
            pass  # another reader emptied the pipe
        while True:
            try:
                function = self._inbox.get_nowait()
            except queue.Empty:
                return
            self._guard(function)

    def _collect(self) -> None:
        remaining = 1
        while remaining:
            remaining, finished, failed = self._multi.info_read()
            for curl, code, text in [(c, 0, "") for c in finished] + list(failed):
                transfer = self._transfers.pop(curl)
                if code:
                    sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
                    reply = HttpReply(0, sent=sent, error=f"{code} {text}")
                else:
                    status = curl.getinfo(pycurl.RESPONSE_CODE)
                    reply = HttpReply(status, transfer.body.getvalue())
                self._multi.remove_handle(curl)
                self._idle.append(curl)
                self._guard(lambda d=transfer.done, r=reply: d(r))

    def _guard(self, function: t.Callable[[], None]) -> None:
        try:
            function()
        except Exception as error:
            # One broken message must not end the task that owns all state.
            _log.failure("handler failed", error)

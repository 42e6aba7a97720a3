"""An event loop for outgoing HTTP calls, timers and functions of other threads."""

import dataclasses
import heapq
import io
import itertools
import queue
import selectors
import socket
import struct
import threading
import typing as t

import pycurl

from cranberrywheel.clock import Clock
from cranberrywheel.logs import ComponentLogger

#: Size of the connection cache; above the number of executors of the largest planned
#: deployment.
MAX_CONNECTIONS = 1_024
#: A server that does not accept a connection within this time counts as unreachable.
#: The round trip between zones is a few milliseconds, and a lost first packet is sent
#: again after a second.
CONNECT_TIMEOUT_MS = 1_000
#: Time after which the transfer library closes an unused connection.
MAX_IDLE_CONNECTION_MS = 118_000
#: Limit of calls with a progress timeout, against a server that sends without end. The
#: largest value of the store takes about 6 s over a link of 2 Mbit/s.
MAX_TRANSFER_MS = 15_000
#: Largest accepted reply body.
MAX_REPLY_BYTES = 8_000_000
#: Error codes for a connection that the server closed or reset during a call.
LOST_CONNECTION_CODES = frozenset(
    {
        pycurl.E_GOT_NOTHING,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
        # The library would have sent the request again, see HttpRequest.sent_once.
        pycurl.E_SEND_FAIL_REWIND,
    }
)
#: Longest wait of the loop if no timer is due earlier.
MAX_SELECT_MS = 1_000

_log = ComponentLogger("http-loop")


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """An outgoing HTTP request.

    :param method: HTTP method.
    :param address: ``host:port`` of the server.
    :param path: path with query string.
    :param body: request body, sent as JSON by ``POST``.
    :param headers: additional header lines.
    :param timeout_ms: longest time in milliseconds until the reply is complete or, with
        a progress timeout, until its body begins to arrive.
    :param progress_timeout_ms: longest time in milliseconds without a further byte of
        the body; 0 for none. It keeps a large reply over a slow link from being
        abandoned while it arrives.
    :param resets_connection: close the connection with a reset, so that the system
        discards what it has not delivered. Without it, a request that a partition holds
        up is delivered after the end of the partition, although its call has timed out
        or its process has ended.
    :param sent_once: keep the transfer library from sending the body again on another
        connection if a pooled one ends without an answer. The answer would be that to
        the second copy, and a refusal would hide that the first one took effect.
    """

    method: str
    address: str
    path: str
    body: bytes | None = None
    headers: tuple[str, ...] = ()
    timeout_ms: int = 1_000
    progress_timeout_ms: int = 0
    resets_connection: bool = False
    sent_once: bool = False


def _open_resetting_socket(purpose: int, address: t.Any) -> socket.socket:
    """Open a socket that sends a reset when it is closed; a callback of the library."""
    opened = socket.socket(address.family, address.socktype, address.protocol)
    # On, with no time for the delivery of what is left.
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return opened


@dataclasses.dataclass(frozen=True)
class HttpReply:
    """The result of a request.

    :param status: HTTP status code, or 0 if there is no usable reply.
    :param body: the complete reply body.
    :param sent: false if certainly no byte of the request was sent.
    :param error: cause if there is no usable reply.
    :param received_bytes: bytes of the body that arrived, also without a usable reply.
    :param first_byte_ms: time from the call to the first byte of the body or, without
        one, to the end of the call, in milliseconds.
    :param connection_lost: the server closed or reset the connection of the call.
    :param refused: no connection to the server could be opened, and that was known
        before the timeout.
    """

    status: int
    body: bytes = b""
    sent: bool = True
    error: str = ""
    received_bytes: int = 0
    first_byte_ms: int = 0
    connection_lost: bool = False
    refused: bool = False


class HttpCall:
    """A call under way.

    :ivar sent_ms: steady time of the call, in milliseconds.
    :ivar last_byte_ms: steady time at which the last bytes of the body arrived, in
        milliseconds; 0 before the first.
    """

    __slots__ = (
        "_clock",
        "_on_data",
        "address",
        "body",
        "curl",
        "first_byte_ms",
        "last_byte_ms",
        "on_reply",
        "sent_ms",
    )

    def __init__(
        self,
        curl: pycurl.Curl,
        address: str,
        on_reply: t.Callable[[HttpReply], None],
        on_data: t.Callable[[], None],
        clock: Clock,
    ) -> None:
        self.curl = curl
        self.address = address
        self.on_reply = on_reply
        self._on_data = on_data
        self.body = io.BytesIO()
        self.sent_ms = clock.now_ms()
        self.first_byte_ms = 0
        self.last_byte_ms = 0
        self._clock = clock

    def write(self, chunk: bytes) -> int:
        """Receive bytes of the body; the callback of the transfer library."""
        self.last_byte_ms = self._clock.now_ms()
        self.first_byte_ms = self.first_byte_ms or self.last_byte_ms
        self._on_data()
        if self.body.tell() + len(chunk) > MAX_REPLY_BYTES:
            return -1
        return self.body.write(chunk)

    def build_reply(self, code: int, text: str) -> HttpReply:
        """Build the reply from what has arrived.

        :param code: error code of the transfer library; 0 for a complete reply.
        :param text: its description.
        """
        first_byte_ms = (self.first_byte_ms or self._clock.now_ms()) - self.sent_ms
        received_bytes = self.body.tell()
        if not code:
            return HttpReply(
                self.curl.getinfo(pycurl.RESPONSE_CODE),
                self.body.getvalue(),
                received_bytes=received_bytes,
                first_byte_ms=first_byte_ms,
            )
        return HttpReply(
            0,
            sent=self.curl.getinfo(pycurl.REQUEST_SIZE) > 0,
            error=f"{code} {text}",
            received_bytes=received_bytes,
            first_byte_ms=first_byte_ms,
            connection_lost=code in LOST_CONNECTION_CODES,
            refused=code == pycurl.E_COULDNT_CONNECT,
        )


class HttpLoop:
    """A thread with a ``CurlMulti``, timers and a queue of functions to run.

    All callbacks run on this thread and can share state without locks. ``call`` and
    ``after`` must be called on this thread; ``post`` may be called from any thread.

    :param clock: clock for the timers.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._inbox: queue.SimpleQueue[t.Callable[[], None]] = queue.SimpleQueue()
        self._wakeup_sender, self._wakeup_receiver = socket.socketpair()
        self._wakeup_sender.setblocking(False)
        self._wakeup_receiver.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._wakeup_receiver, selectors.EVENT_READ)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_curl_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)
        self._curl_timer_due_ms: int | None = None
        self._calls: dict[pycurl.Curl, HttpCall] = {}
        #: Steady time of the last call that timed out, by address. Connections to a
        #: server may go silent together, so those opened before are not used again.
        self._timeout_ms_by_address: dict[str, int] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._timers: list[tuple[int, int, t.Callable[[], None]]] = []
        self._timer_sequence = itertools.count()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="loop", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; running calls are abandoned without a reply."""
        self._stopping = True
        self.post(lambda: None)
        self._thread.join(timeout=2)

    def post(self, function: t.Callable[[], None]) -> None:
        """Run a function on the loop's thread."""
        self._inbox.put(function)
        try:
            self._wakeup_sender.send(b"\0")
        except BlockingIOError:
            pass  # the socket already holds bytes that wake the loop

    def after(self, delay_ms: int, function: t.Callable[[], None]) -> None:
        """Run a function once after a delay in milliseconds."""
        due_ms = self.clock.now_ms() + max(0, delay_ms)
        heapq.heappush(self._timers, (due_ms, next(self._timer_sequence), function))

    def call(
        self,
        request: HttpRequest,
        on_reply: t.Callable[[HttpReply], None],
        on_data: t.Callable[[], None] = lambda: None,
    ) -> None:
        """Send a request.

        :param on_reply: receives its reply on the loop's thread.
        :param on_data: called whenever bytes of the body have arrived.
        """
        curl = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        curl.reset()
        call = HttpCall(curl, request.address, on_reply, on_data, self.clock)
        try:
            self._set_up(curl, request, call)
        except (pycurl.error, TypeError, ValueError) as error:
            # Addresses and ids come from other processes. The caller gets its reply
            # like that of any other failed call.
            _log.warning(
                "request cannot be sent",
                address=request.address[:100],
                error=repr(error)[:200],
            )
            self._idle_handles.append(curl)
            reply = HttpReply(0, sent=False, error=repr(error))
            self.after(0, lambda: on_reply(reply))
            return
        self._calls[curl] = call
        self._multi.add_handle(curl)
        if request.progress_timeout_ms:
            self._check_progress(call, request)

    def _check_progress(self, call: HttpCall, request: HttpRequest) -> None:
        """End a call whose body does not begin or does not go on in time."""
        if self._calls.get(call.curl) is not call:
            return  # the call has ended
        due_ms = (
            call.last_byte_ms + request.progress_timeout_ms
            if call.last_byte_ms
            else call.sent_ms + request.timeout_ms
        )
        remaining_ms = due_ms - self.clock.now_ms()
        if remaining_ms > 0:
            self.after(remaining_ms, lambda: self._check_progress(call, request))
            return
        self._end_call(
            call, pycurl.E_OPERATION_TIMEDOUT, "timed out without further data"
        )

    def _set_up(self, curl: pycurl.Curl, request: HttpRequest, call: HttpCall) -> None:
        curl.setopt(pycurl.URL, f"http://{request.address}{request.path}")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        limit_ms = (
            MAX_TRANSFER_MS if request.progress_timeout_ms else request.timeout_ms
        )
        curl.setopt(pycurl.TIMEOUT_MS, max(1, limit_ms))
        curl.setopt(
            pycurl.CONNECTTIMEOUT_MS,
            max(1, min(CONNECT_TIMEOUT_MS, request.timeout_ms)),
        )
        curl.setopt(pycurl.WRITEFUNCTION, call.write)
        if request.address in self._timeout_ms_by_address:
            self._exclude_old_connections(curl, request.address)
        if request.resets_connection:
            curl.setopt(pycurl.OPENSOCKETFUNCTION, _open_resetting_socket)
        headers = list(request.headers)
        if request.method == "POST":
            body = request.body or b""
            if request.sent_once:
                # A body from a function without a seek function cannot be sent again.
                curl.setopt(pycurl.POST, 1)
                curl.setopt(pycurl.POSTFIELDSIZE, len(body))
                curl.setopt(pycurl.READFUNCTION, io.BytesIO(body).read)
            else:
                curl.setopt(pycurl.POSTFIELDS, body)
            headers += ["Content-Type: application/json", "Expect:"]
        elif request.method != "GET":
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        if headers:
            curl.setopt(pycurl.HTTPHEADER, headers)

    def _exclude_old_connections(self, curl: pycurl.Curl, address: str) -> None:
        """Prevent the use of connections from before the address's last timeout."""
        elapsed_ms = self.clock.now_ms() - self._timeout_ms_by_address[address]
        if elapsed_ms < 1_000:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        elif elapsed_ms < MAX_IDLE_CONNECTION_MS:
            curl.setopt(pycurl.MAXLIFETIME_CONN, elapsed_ms // 1_000)
        else:
            del self._timeout_ms_by_address[address]

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
        self._curl_timer_due_ms = (
            None if timeout_ms < 0 else self.clock.now_ms() + timeout_ms
        )

    def _run(self) -> None:
        while not self._stopping:
            self._run_once()

    def _run_once(self) -> None:
        """Wait for the next events and process them."""
        self._wait_for_events()
        now_ms = self.clock.now_ms()
        if self._curl_timer_due_ms is not None and now_ms >= self._curl_timer_due_ms:
            self._curl_timer_due_ms = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._collect_finished()
        while self._timers and self._timers[0][0] <= self.clock.now_ms():
            self._run_guarded(heapq.heappop(self._timers)[2])

    def _wait_for_events(self) -> None:
        due_ms = [self.clock.now_ms() + MAX_SELECT_MS]
        if self._curl_timer_due_ms is not None:
            due_ms.append(self._curl_timer_due_ms)
        if self._timers:
            due_ms.append(self._timers[0][0])
        wait_ms = max(0, min(due_ms) - self.clock.now_ms())
        for key, mask in self._selector.select(wait_ms / 1000):
            if key.fileobj is self._wakeup_receiver:
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
            while len(self._wakeup_receiver.recv(4096)) == 4096:
                pass
        except BlockingIOError:
            pass  # the socket has no more bytes
        while True:
            try:
                function = self._inbox.get_nowait()
            except queue.Empty:
                return
            self._run_guarded(function)

    def _collect_finished(self) -> None:
        remaining = 1
        while remaining:
            remaining, finished, failed = self._multi.info_read()
            for curl, code, text in [(curl, 0, "") for curl in finished] + list(failed):
                self._end_call(self._calls[curl], code, text)

    def _end_call(self, call: HttpCall, code: int, text: str) -> None:
        """Release the handle of a call and deliver its reply.

        :param code: error code of the transfer library; 0 for a complete reply.
        """
        curl = call.curl
        del self._calls[curl]
        if code == pycurl.E_OPERATION_TIMEDOUT:
            self._timeout_ms_by_address[call.address] = self.clock.now_ms()
        reply = call.build_reply(code, text)
        self._multi.remove_handle(curl)
        self._idle_handles.append(curl)
        self._run_guarded(lambda: call.on_reply(reply))

    def _run_guarded(self, function: t.Callable[[], None]) -> None:
        try:
            function()
        except Exception as error:
            # An error in one callback must not end the thread that runs all of them.
            _log.failure("callback failed", error)

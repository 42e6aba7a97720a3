"""Creates the tasks of an entry instance and runs it until a stop is requested."""

import random
import threading
import typing as t
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from cranberrywheel.clock import Clock
from cranberrywheel.connection.http_server import HttpServer
from cranberrywheel.connection.target_client import TargetClient
from cranberrywheel.errors import CranberrywheelError, SettingsError
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process import messages
from cranberrywheel.process.caller_api import CallerApi
from cranberrywheel.process.dispatcher import Dispatcher
from cranberrywheel.process.entry_state import Links, create_state
from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel.process.membership import new_process_id
from cranberrywheel.process.operator_api import OperatorApi
from cranberrywheel.process.peer_service import PeerService
from cranberrywheel.process.store_session import StoreSession
from cranberrywheel.request.model import Answer
from cranberrywheel.request.ticket import TicketExport
from cranberrywheel.settings import EntrySettings

HANDOVER_TIMEOUT_S = 5
#: The operating system may deliver a signal to any thread, but Python runs the handler
#: on the main thread only, which must therefore not block indefinitely.
SIGNAL_POLL_INTERVAL_S = 0.2
STORE_STOP_TIMEOUT_S = 5

_log = ComponentLogger("entry")


def read_token(path: str) -> str:
    """Read the bearer token of the operators.

    :param path: file with the token in its first line.
    :raises SettingsError: if the file cannot be read or has no token.
    """
    try:
        with open(path, encoding="utf-8") as file:
            token = file.readline().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"The operator token cannot be read: {error}.",
            "Check operator_token_file in [entry].",
        ) from None
    if not token:
        raise SettingsError(
            f"{path} has no token in its first line.",
            "Write the operator token into the first line.",
        )
    return token


class Entry:
    """One entry instance: creates its tasks, starts and stops them in order.

    :param settings: validated settings.
    :raises SettingsError: if the operator token cannot be read.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._stop_requested = threading.Event()
        clock = Clock()
        process_id = new_process_id(settings)
        token = read_token(settings.operator_token_file)
        links = Links(
            to_targets=lambda message: self._targets.post(message),
            to_store=lambda message: self._store.inbox.put(message),
            to_self=lambda message: self._dispatcher.post(message),
            to_peers=lambda load: self._peers.report_load(load),
            forward=lambda address, incoming, timeout_ms: self._peers.forward(
                address, incoming, timeout_ms
            ),
        )
        self._dispatcher = Dispatcher(
            create_state(settings, process_id, clock, links, random.Random())
        )
        post = self._dispatcher.post
        self._targets = TargetClient(clock, post, settings.max_body_bytes)
        self._exchange = PeerExchange(settings, clock, process_id, post)
        self._peers = PeerService(
            settings,
            clock,
            self._exchange,
            self._submit_forwarded,
            lambda peer, export: post(messages.ResultsHandedOver(peer, export)),
            lambda request_id: post(messages.CancelRequest(request_id)),
        )
        self._store = StoreSession(settings, clock, post, self._exchange)
        operators = OperatorApi(
            token,
            post,
            self._store.inbox.put,
            lambda: self._exchange.active_configuration.snapshot,
        )
        callers = CallerApi(settings, post, self.is_ready, operators)
        self._http = HttpServer(
            settings.host,
            settings.http_port,
            callers,
            settings.http_threads,
            settings.max_body_bytes,
        )

    def _submit_forwarded(self, incoming: messages.IncomingRequest) -> "Future[Answer]":
        answer: Future[Answer] = Future()
        if incoming.query:
            query = messages.QueryTicket(
                incoming.idempotency_key, answer, forwarded=True
            )
            self._dispatcher.post(query)
        else:
            self._dispatcher.post(messages.SubmitRequest(incoming, answer))
        return answer

    def is_ready(self) -> bool:
        """Tell whether the load balancer should send requests here."""
        return (
            not self._stop_requested.is_set()
            and self._exchange.active_configuration.snapshot is not None
        )

    def start(self) -> None:
        """Start all tasks.

        The peer port is bound before this process registers in the store, because the
        registration tells others that no older process uses the address.
        """
        self._dispatcher.start()
        self._targets.start()
        self._peers.start()
        self._store.start()
        self._http.start()
        _log.event(
            "started",
            process=self._exchange.process_id,
            zone=self._settings.zone,
            port=self._settings.http_port,
        )

    def request_stop(self) -> None:
        """Request a graceful stop; safe in a signal handler."""
        self._stop_requested.set()

    def run(self) -> None:
        """Run until a stop is requested, then shut down gracefully."""
        self.start()
        while not self._stop_requested.wait(SIGNAL_POLL_INTERVAL_S):
            pass
        self._stop()

    def _stop(self) -> None:
        _log.event(
            "shutting down; waiting for the load balancer",
            delay_ms=self._settings.leave_delay_ms,
        )
        Clock().sleep_ms(self._settings.leave_delay_ms)
        # Each step runs even if one before it failed, because a process that hangs in
        # its shutdown keeps its port and its quota units.
        for step in (
            self._http.close_listener,
            self._wait_for_requests,
            self._hand_over,
            self._http.stop,
            self._return_units,
            self._dispatcher.stop,
            self._peers.stop,
            self._targets.stop,
        ):
            try:
                step()
            except Exception as error:
                _log.warning(
                    "shutdown step failed; continuing",
                    step=step.__name__,
                    error=repr(error),
                )
        _log.event("stopped", process=self._exchange.process_id)

    def _wait_for_requests(self) -> None:
        done: Future[None] = Future()
        self._dispatcher.post(messages.Stop(done))
        done.result(timeout=self._settings.drain_timeout_ms / 1000)

    def _return_units(self) -> None:
        done: Future[None] = Future()
        self._store.inbox.put(messages.Stop(done))
        done.result(timeout=STORE_STOP_TIMEOUT_S)

    def _hand_over(self) -> None:
        exported: Future[list[tuple[str, TicketExport]]] = Future()
        self._dispatcher.post(messages.ExportResults(exported))
        exports = exported.result(timeout=HANDOVER_TIMEOUT_S)
        pending: list[tuple[str, t.Any]] = [
            (peer.peer_address, self._peers.hand_over(peer.peer_address, *export))
            for peer in self._exchange.peers()
            for export in exports
            if export[0] != peer.process_id
        ]
        for address, future in pending:
            try:
                future.result(timeout=HANDOVER_TIMEOUT_S)
            except (CranberrywheelError, FutureTimeoutError) as error:
                _log.warning("handover to peer failed", peer=address, error=repr(error))

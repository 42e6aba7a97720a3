"""Serves and sends gRPC calls between entry processes, on one asyncio thread."""

import asyncio
import concurrent.futures
import contextlib
import random
import threading
import typing as t

import grpclib.client
import grpclib.exceptions
import grpclib.server
from google.protobuf.message import DecodeError
from grpclib.const import Status

from cranberrywheel.clock import Clock
from cranberrywheel.connection.peer_codec import (
    build_error_answer,
    decode_answer,
    encode_answer,
)
from cranberrywheel.errors import (
    CranberrywheelError,
    PeerError,
    PeerUnreachableError,
    UnknownOutcomeError,
)
from cranberrywheel.generated import peer_pb2
from cranberrywheel.generated.peer_grpc import PeerBase, PeerStub
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process.exchange import PeerExchange, check_names
from cranberrywheel.process.messages import IncomingRequest, LoadReport
from cranberrywheel.request.model import Answer
from cranberrywheel.request.ticket import TicketExport
from cranberrywheel.settings import EntrySettings

#: Longest wait for a connection to a peer.
CONNECT_TIMEOUT_MS = 1_000
#: Longest wait for the answer to any call but a forwarded request.
CALL_TIMEOUT_MS = 2_000
#: Time after the timeout of a forwarded request in which its answer may still
#: arrive.
FORWARD_GRACE_MS = 500
START_TIMEOUT_MS = 10_000
CLOSE_TIMEOUT_MS = 1_000
#: Time until a connection that gets no more requests is closed; requests that were
#: sent on it may finish until then.
RETIRED_CHANNEL_LIFETIME_MS = 120_000
CALL_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)

Channels = dict[str, grpclib.client.Channel]
_log = ComponentLogger("peer")


class _Handlers(PeerBase):
    """Serves the calls of peers; runs on the asyncio thread."""

    def __init__(
        self,
        exchange: PeerExchange,
        submit_forwarded: t.Callable[
            [IncomingRequest], "concurrent.futures.Future[Answer]"
        ],
        cancel_forwarded: t.Callable[[str], None],
        import_results: t.Callable[[str, TicketExport], None],
        count_malformed: t.Callable[[str, PeerError], None],
    ) -> None:
        self._exchange = exchange
        self._submit_forwarded = submit_forwarded
        self._cancel_forwarded = cancel_forwarded
        self._import_results = import_results
        #: Whether the service is stopping; set before it cancels its calls.
        self.stopping = False
        self._count_malformed = count_malformed

    def _reject(self, call: str, error: PeerError) -> grpclib.exceptions.GRPCError:
        self._count_malformed(call, error)
        return grpclib.exceptions.GRPCError(Status.INVALID_ARGUMENT, error.message)

    async def _receive(self, call: str, stream: t.Any) -> t.Any:
        try:
            message = await stream.recv_message()
        except DecodeError:
            message = None
        if message is None:
            error = PeerError(
                f"A peer sent a {call} message that cannot be decoded.",
                "Check the version of the peer.",
            )
            raise self._reject(call, error)
        return message

    async def Exchange(self, stream: t.Any) -> None:
        state = await self._receive("Exchange", stream)
        try:
            self._exchange.merge_state(state, None)
        except PeerError as error:
            raise self._reject("Exchange", error) from None
        await stream.send_message(self._exchange.build_state())

    async def FetchConfiguration(self, stream: t.Any) -> None:
        request = await self._receive("FetchConfiguration", stream)
        await stream.send_message(self._exchange.get_newer_record(request.newer_than))

    async def Forward(self, stream: t.Any) -> None:
        message = await self._receive("Forward", stream)
        incoming = IncomingRequest(
            request_id=message.request_id,
            queue=message.queue,
            authorization=message.authorization,
            idempotency_key=message.ticket,
            body=message.body,
            content_type=message.content_type,
            timeout_ms=message.timeout_ms,
            traceparent=message.traceparent,
            query=message.query,
            forwarded=True,
        )
        try:
            # The shield keeps a peer that disconnects from cancelling the future that
            # the dispatcher sets.
            answer = await asyncio.shield(
                asyncio.wrap_future(self._submit_forwarded(incoming))
            )
        except CranberrywheelError as error:
            answer = build_error_answer(incoming.request_id, error)
        except asyncio.CancelledError:
            self._cancel_forwarded(incoming.request_id)
            if not self.stopping:
                raise
            # grpclib sends no answer to a cancelled call, so the peer would wait for
            # its whole timeout.
            raise grpclib.exceptions.GRPCError(Status.UNAVAILABLE) from None
        await stream.send_message(encode_answer(answer))

    async def HandOver(self, stream: t.Any) -> None:
        message = await self._receive("HandOver", stream)
        try:
            check_names(
                [message.process_id, *(tombstone.key_id for tombstone in message.marks)]
            )
            results = tuple(
                (r.ticket, decode_answer(r.answer)) for r in message.results
            )
        except PeerError as error:
            raise self._reject("HandOver", error) from None
        for tombstone in message.marks:
            self._exchange.add_tombstone(tombstone.key_id)
        export = TicketExport(forgotten_ms=message.forgotten_ms, results=results)
        self._import_results(message.process_id, export)
        await stream.send_message(peer_pb2.HandOverAnswer(accepted=len(results)))


class PeerService:
    """Manages the connections to other entries and runs the periodic exchange.

    :param settings: listening address, exchange interval and fan-out.
    :param clock: local clock.
    :param exchange: state that is sent to peers, and into which theirs is merged.
    :param submit_forwarded: runs a request that a peer forwarded; its future
        gets an answer or an error.
    :param import_results: called with the process id and the ticket results of a peer
        that shuts down, on the asyncio thread; must not block.
    :param cancel_forwarded: called with the id of a forwarded request whose peer
        disconnected.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        exchange: PeerExchange,
        submit_forwarded: t.Callable[
            [IncomingRequest], "concurrent.futures.Future[Answer]"
        ],
        import_results: t.Callable[[str, TicketExport], None] = lambda peer, export: (
            None
        ),
        cancel_forwarded: t.Callable[[str], None] = lambda request_id: None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._exchange = exchange
        self._loop = asyncio.new_event_loop()
        self._handlers = _Handlers(
            exchange,
            submit_forwarded,
            cancel_forwarded,
            import_results,
            self._count_malformed,
        )
        self._thread = threading.Thread(target=self._run, name="peer", daemon=True)
        self._listening: concurrent.futures.Future[None] = concurrent.futures.Future()
        # Exchanges use separate connections, because a connection is closed when an
        # exchange on it fails, which must not end a forwarded request.
        self._exchange_channels: dict[str, grpclib.client.Channel] = {}
        self._forward_channels: dict[str, grpclib.client.Channel] = {}
        self._exchange_tasks: set[asyncio.Task[None]] = set()
        self._busy_addresses: set[str] = set()
        self._round_robin_addresses: list[str] = []
        self._stop_event = asyncio.Event()
        self._random = random.Random()
        #: Number of messages that were dropped because they were malformed.
        self.malformed_count = 0

    def start(self) -> None:
        """Start to listen and to exchange state.

        Returns when the port is bound. This process must register in the store only
        after this, because the registration claims the address.

        :raises OSError: if the port cannot be bound.
        """
        self._thread.start()
        self._listening.result(START_TIMEOUT_MS / 1000)

    def stop(self) -> None:
        """Close the connections and end the thread."""
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._stop_event.set)
            self._thread.join()

    def report_load(self, load: LoadReport) -> None:
        """Set the load to send in the next exchanges."""
        self._exchange.set_load(load)

    def forward(
        self, peer_address: str, incoming: IncomingRequest, timeout_ms: int
    ) -> "concurrent.futures.Future[Answer]":
        """Send a request to a peer.

        :param peer_address: address of the peer's service.
        :param timeout_ms: timeout of the request in milliseconds.
        :returns: a future that gets the answer, or :class:`PeerUnreachableError` if
            the request was not sent, or :class:`UnknownOutcomeError` if the peer may
            have run it.
        """
        message = peer_pb2.ForwardRequest(
            queue=incoming.queue,
            authorization=incoming.authorization,
            ticket=incoming.idempotency_key,
            content_type=incoming.content_type,
            body=incoming.body,
            timeout_ms=timeout_ms,
            traceparent=incoming.traceparent,
            query=incoming.query,
            request_id=incoming.request_id,
        )
        return self._run_on_loop(self._forward(peer_address, message, timeout_ms))

    def hand_over(
        self, peer_address: str, process_id: str, export: TicketExport
    ) -> "concurrent.futures.Future[int]":
        """Send ticket results and revocation tombstones to a peer at shutdown.

        :param process_id: id of the process that issued the tickets.
        :returns: a future that gets the number of accepted results, or
            :class:`PeerError`.
        """
        message = peer_pb2.HandOverRequest(process_id=process_id)
        message.forgotten_ms = export.forgotten_ms
        for ticket, answer in export.results:
            message.results.add(ticket=ticket, answer=encode_answer(answer))
        for key_id in self._exchange.list_unwritten_tombstones():
            message.marks.add(key_id=key_id)
        return self._run_on_loop(self._hand_over(peer_address, message))

    def _run_on_loop(self, coroutine: t.Coroutine) -> t.Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def _count_malformed(self, call: str, error: PeerError) -> None:
        self.malformed_count += 1
        _log.warning(
            "dropped malformed message from a peer", call=call, cause=error.message
        )

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_until_complete(self._serve())
        finally:
            self._loop.close()

    async def _serve(self) -> None:
        server = grpclib.server.Server([self._handlers])
        try:
            await server.start(self._settings.host, self._settings.peer_port)
        except OSError as error:
            self._listening.set_exception(error)
            return
        self._listening.set_result(None)
        exchange_loop = asyncio.ensure_future(self._run_exchanges())
        await self._stop_event.wait()
        self._handlers.stopping = True
        exchange_loop.cancel()
        server.close()
        # Calls in progress are answered with an error before their connections close.
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(server.wait_closed(), CLOSE_TIMEOUT_MS / 1000)
        for channels in (self._exchange_channels, self._forward_channels):
            for channel in channels.values():
                channel.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    async def _run_exchanges(self) -> None:
        while True:
            for address in self._choose_addresses():
                task = asyncio.ensure_future(self._exchange_with(address))
                self._exchange_tasks.add(task)
                task.add_done_callback(self._exchange_tasks.discard)
            self._exchange.drop_unresponsive_peers()
            await asyncio.sleep(self._settings.exchange_interval_ms / 1000)

    def _choose_addresses(self) -> list[str]:
        """Return the addresses of the peers for this round of exchanges.

        Peers are chosen round-robin, in a new random order each time. An independent
        random choice per round would leave some peers without an exchange for longer
        than the key freshness limit.
        """
        addresses = {peer.peer_address for peer in self._exchange.peers()}
        fanout = self._settings.exchange_fanout
        if fanout and len(addresses) > fanout:
            self._round_robin_addresses = [
                address
                for address in self._round_robin_addresses
                if address in addresses
            ]
            if len(self._round_robin_addresses) < fanout:
                others = sorted(addresses - set(self._round_robin_addresses))
                self._random.shuffle(others)
                self._round_robin_addresses += others
            addresses, self._round_robin_addresses = (
                set(self._round_robin_addresses[:fanout]),
                self._round_robin_addresses[fanout:],
            )
        return [
            address
            for address in sorted(addresses)
            if address not in self._busy_addresses
        ]

    async def _exchange_with(self, address: str) -> None:
        self._busy_addresses.add(address)
        try:
            stub = PeerStub(await self._connect(address, self._exchange_channels))
            sent_ms = self._clock.now_ms()
            timeout = CALL_TIMEOUT_MS / 1000
            state = await stub.Exchange(self._exchange.build_state(), timeout=timeout)
            if not self._exchange.merge_state(state, sent_ms):
                request = peer_pb2.FetchRequest(
                    newer_than=self._exchange.active_configuration.version
                )
                fetched = await stub.FetchConfiguration(request, timeout=timeout)
                self._exchange.adopt_fetched(fetched)
                self._exchange.merge_state(state, sent_ms)
        except PeerUnreachableError as error:
            _log.event("exchange with peer failed", peer=address, cause=error.message)
        except PeerError as error:
            self._count_malformed("Exchange", error)
        except DecodeError:
            error = PeerError(
                f"Peer {address} sent an answer that cannot be decoded.",
                "Check the version of the peer.",
            )
            self._count_malformed("Exchange", error)
        except CALL_ERRORS as error:
            _log.event(
                "exchange with peer failed; closing connections",
                peer=address,
                cause=type(error).__name__,
            )
            self._close_channel(address, self._exchange_channels)
            self._retire_forward_channel(address)
        finally:
            self._busy_addresses.discard(address)

    async def _connect(self, address: str, channels: Channels) -> t.Any:
        channel = channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = grpclib.client.Channel(host.strip("[]"), int(port))
            channels[address] = channel
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                await channel.__connect__()
        except (OSError, TimeoutError) as error:
            self._close_channel(address, channels)
            raise PeerUnreachableError(
                f"No connection to peer {address}: {type(error).__name__}.",
                "Check the peer and the network between the zones.",
            ) from None
        return channel

    @staticmethod
    def _close_channel(address: str, channels: Channels) -> None:
        channel = channels.pop(address, None)
        if channel is not None:
            channel.close()

    def _retire_forward_channel(self, address: str) -> None:
        """Use a new connection for further requests.

        The old one is closed later, so that requests on it may finish.
        """
        channel = self._forward_channels.pop(address, None)
        if channel is not None:
            self._loop.call_later(RETIRED_CHANNEL_LIFETIME_MS / 1000, channel.close)

    async def _forward(
        self, address: str, message: peer_pb2.ForwardRequest, timeout_ms: int
    ) -> Answer:
        stub = PeerStub(await self._connect(address, self._forward_channels))
        try:
            reply = await stub.Forward(
                message, timeout=(timeout_ms + FORWARD_GRACE_MS) / 1000
            )
            return decode_answer(reply)
        except (Exception, asyncio.CancelledError) as error:
            raise UnknownOutcomeError(
                f"Peer {address} did not answer a forwarded request: "
                f"{type(error).__name__}.",
                "Query the ticket later, or send an idempotent request again.",
            ) from None

    async def _hand_over(self, address: str, message: peer_pb2.HandOverRequest) -> int:
        stub = PeerStub(await self._connect(address, self._forward_channels))
        try:
            reply = await stub.HandOver(message, timeout=CALL_TIMEOUT_MS / 1000)
        except CALL_ERRORS as error:
            raise PeerError(
                f"Peer {address} did not accept the handover: {type(error).__name__}.",
                "Check the peer; tickets of this process may answer 'unknown'.",
            ) from None
        return reply.accepted

import asyncio
import concurrent.futures
import dataclasses
import socket
import threading

import grpclib
import grpclib.client
import testtools

from cranberrywheel.clock import Clock
from cranberrywheel.errors import (
    OverloadedError,
    PeerError,
    PeerUnreachableError,
    UnknownOutcomeError,
)
from cranberrywheel.generated.peer_pb2 import PeerState
from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel.process.messages import IncomingRequest, LoadReport, PeerReport
from cranberrywheel.process.peer_service import PeerService
from cranberrywheel.request.model import Answer, Outcome
from cranberrywheel.request.ticket import TicketExport
from cranberrywheel.settings import EntrySettings, PlatformSettings

WAIT_S = 20
INCOMING = IncomingRequest(
    request_id="r1",
    queue="q",
    authorization="Bearer k",
    idempotency_key="ticket",
    body=b"\x00body",
    content_type="text/plain",
    timeout_ms=5_000,
)


def make_answer(body=b"done"):
    return Answer(request_id="r1", outcome=Outcome.OK, status=200, body=body)


def find_free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class UndecodableMessage:
    """A message that protobuf cannot decode."""

    def SerializeToString(self):
        return b"\xff\xff\xff"


class Peer:
    """A peer service with a recording dispatcher.

    :param number: number of the entry, for its name.
    :param submit: answers the requests that are forwarded to it.
    """

    def __init__(self, number, port, submit):
        self.settings = settings = EntrySettings(
            instance=f"e{number}",
            zone="z1",
            host="127.0.0.1",
            http_port=port,
            peer_port=port,
            operator_token_file="unused",
            platform=PlatformSettings(url="http://127.0.0.1:1"),
            exchange_interval_ms=20,
        )
        self.reports, self.reported = [], threading.Event()
        self.export = None
        self.exchange = PeerExchange(
            settings, Clock(), f"z1.e{number}.a", self.record_report
        )
        self.service = PeerService(
            settings,
            Clock(),
            self.exchange,
            submit,
            lambda peer, export: setattr(self, "export", export),
        )
        self.address = self.exchange.registration.peer_address

    def record_report(self, message):
        if isinstance(message, PeerReport) and message.in_flight_by_worker:
            self.reports.append(message)
            self.reported.set()


class PeerServiceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.submitted, self.arrived = [], threading.Event()
        self.future = concurrent.futures.Future()
        self.peers = [
            Peer(n, port, self.submit) for n, port in enumerate(find_free_ports(2))
        ]
        for peer in self.peers:
            peer.service.start()
            self.addCleanup(peer.service.stop)
        self.a, self.b = self.peers

    def submit(self, incoming):
        self.submitted.append(incoming)
        self.arrived.set()
        return self.future

    def forward(self):
        return self.a.service.forward(self.b.address, INCOMING, 5_000)

    def test_load_is_exchanged_in_both_directions(self):
        """Two entries must exchange loads even if only one knows the other."""
        for peer in self.peers:
            peer.service.report_load(LoadReport((), {"w": 1}, (), False))
        roster = [
            dataclasses.replace(p.exchange.registration, revision=n + 1)
            for n, p in enumerate(self.peers)
        ]
        self.a.exchange.set_roster(roster, 0)
        for peer in self.peers:
            self.assertTrue(peer.reported.wait(WAIT_S))
        self.assertEqual(self.b.exchange.process_id, self.a.reports[0].process_id)

    def test_forwarded_request_arrives_unchanged(self):
        """A lost header or byte would change the request."""
        self.future.set_result(make_answer(b"\x00answer"))
        self.assertEqual(make_answer(b"\x00answer"), self.forward().result(WAIT_S))
        expected = dataclasses.replace(INCOMING, forwarded=True)
        self.assertEqual([expected], self.submitted)

    def test_refusal_of_a_forwarded_request_is_returned(self):
        """A refusal that arrives as an unknown outcome would prevent a safe retry."""
        self.future.set_exception(OverloadedError("full", "wait", 7))
        refused = self.forward().result(WAIT_S)
        self.assertEqual(
            (Outcome.NOT_RUN, 503, "overloaded", 7),
            (refused.outcome, refused.status, refused.kind, refused.retry_after_s),
        )

    def test_failure_after_sending_has_an_unknown_outcome(self):
        """The peer may have started the request."""
        pending = self.forward()
        self.future.set_running_or_notify_cancel()
        self.assertTrue(self.arrived.wait(WAIT_S))
        self.b.service.stop()
        error = pending.exception(WAIT_S)
        self.assertIsInstance(error, UnknownOutcomeError)
        self.future.set_result(make_answer())

    def test_request_to_a_closed_port_was_not_sent(self):
        """Such a request may be retried elsewhere, even if it is not idempotent."""
        self.b.service.stop()
        error = self.forward().exception(WAIT_S)
        self.assertIsInstance(error, PeerUnreachableError)

    def test_handover_transfers_results_and_revocations(self):
        """Ticket results and revocations must not be lost when a process stops."""
        self.a.exchange.add_tombstone("k1")
        export = TicketExport(forgotten_ms=7, results=(("ticket", make_answer()),))
        count = self.a.service.hand_over(self.b.address, "z1.e9.x", export).result(
            WAIT_S
        )
        self.assertEqual(1, count)
        self.assertEqual(export, self.b.export)
        self.assertEqual({"k1"}, self.b.exchange.list_unwritten_tombstones())

    def test_malformed_answer_is_rejected_and_counted(self):
        """A malformed outcome must not reach a caller."""
        malformed = dataclasses.replace(make_answer(), outcome="odd")
        export = TicketExport(forgotten_ms=7, results=(("ticket", malformed),))
        handover = self.a.service.hand_over(self.b.address, "z1.e9.x", export)
        self.assertIsInstance(handover.exception(WAIT_S), PeerError)
        self.assertEqual(1, self.b.service.malformed_count)

    def test_undecodable_message_is_rejected_and_counted(self):
        """Any program can connect to the port and send anything."""

        async def call():
            host, port = self.b.address.split(":")
            async with grpclib.client.Channel(host, int(port)) as channel:
                method = grpclib.client.UnaryUnaryMethod(
                    channel,
                    "/cranberrywheel.peer.Peer/Exchange",
                    UndecodableMessage,
                    PeerState,
                )
                await method(UndecodableMessage())

        error = self.assertRaises(grpclib.GRPCError, asyncio.run, call())
        self.assertIs(grpclib.Status.INVALID_ARGUMENT, error.status)
        self.assertEqual(1, self.b.service.malformed_count)

    def test_port_in_use_fails_the_start(self):
        """A process that does not own its port must not register."""
        port = int(self.a.address.rpartition(":")[2])
        second = Peer(0, port, self.submit)
        self.assertRaises(OSError, second.service.start)

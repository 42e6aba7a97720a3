import concurrent.futures
import dataclasses
import json
import threading

import testtools
from entry_group_fixtures import TEXT
from test_peer_service import WAIT_S, Peer, find_free_ports
from werkzeug.serving import make_server

from cranberrywheel.clock import Clock
from cranberrywheel.connection.store_client import StoreClient
from cranberrywheel.errors import StoreConflictError, StoreUnavailableError
from cranberrywheel.process.messages import (
    ApplyConfiguration,
    CreateKey,
    RevokeKey,
    Stop,
)
from cranberrywheel.process.store_session import StoreSession
from cranberrywheel.settings import PlatformSettings
from cranberrywheel_standin.platform import Platform, PlatformApp, PlatformFaults


class StoreSessionNetworkTest(testtools.TestCase):
    """Two entries with threads and sockets; guards how the components are connected."""

    def setUp(self):
        super().setUp()
        self.platform = Platform()
        server = make_server("127.0.0.1", 0, PlatformApp(self.platform), threaded=True)
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        url = f"http://127.0.0.1:{server.server_port}"
        self.platform_settings = PlatformSettings(url=url, timeout_ms=5_000)

    def start_entry(self, number, port):
        peer = Peer(number, port, lambda incoming: None)
        settings = dataclasses.replace(peer.settings, platform=self.platform_settings)
        peer.session = StoreSession(
            settings, Clock(), peer.record_report, peer.exchange
        )
        peer.service.start()
        peer.session.start()
        self.addCleanup(self.stop_entry, peer)
        return peer

    def ask(self, peer, kind, *fields):
        future = concurrent.futures.Future()
        peer.session.inbox.put(kind(*fields, future))
        return future

    def stop_entry(self, peer):
        self.ask(peer, Stop).result(WAIT_S)
        peer.service.stop()

    def test_key_creation_and_revocation_reach_the_other_entry(self):
        """Both must take effect at an entry that did not accept them."""
        a, b = (self.start_entry(n, p) for n, p in enumerate(find_free_ports(2)))
        self.assertEqual(1, self.ask(a, ApplyConfiguration, TEXT, 0).result(WAIT_S))
        key_id = self.ask(b, CreateKey, "t").result(WAIT_S).partition(".")[0]
        result = self.ask(a, RevokeKey, key_id).result(WAIT_S)
        ids = [a.exchange.process_id, b.exchange.process_id]
        expected = {"stored": True, "confirmed": ids, "unconfirmed": []}
        self.assertEqual(expected, result)
        # A peer confirms with its tombstone or with the stored version. It removes
        # the tombstone only once it has that version, so tombstones are read first.
        revoked_ids = b.exchange.list_unwritten_tombstones()
        revoked_ids |= b.exchange.active_configuration.snapshot.revoked_key_ids
        self.assertIn(key_id, revoked_ids)

    def test_store_client_reports_what_the_platform_answers(self):
        """A lost answer must not look like a refusal."""
        client = StoreClient(self.platform_settings)
        self.addCleanup(client.close)
        revision = client.put("limits/a b", "{}", 0)
        self.assertEqual("unchanged", client.get("limits/a b", newer_than=revision))
        self.assertEqual(["limits/a b"], [r.key for r in client.list("limits/")])
        error = self.assertRaises(StoreConflictError, client.put, "limits/a b", "", 9)
        self.assertEqual(revision, error.revision)
        self.platform.faults = PlatformFaults(lose_answers=1)
        self.assertRaises(StoreUnavailableError, client.put, "k", json.dumps({}), 0)
        self.assertEqual("{}", client.get("k").value)

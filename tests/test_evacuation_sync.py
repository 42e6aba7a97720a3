"""Every process learns which zones are evacuated, whatever its watch does."""

import json
import logging
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberrywheel.connection.http_loop import HttpReply
from cranberrywheel.node.evacuation_sync import EVACUATIONS_PATH, EvacuationSync
from cranberrywheel.platform.evacuations import EVACUATION_PREFIX
from cranberrywheel.submission.evacuation import (
    EvacuatedZones,
    ZoneChange,
    apply_changes,
    compute_max_age_ms,
    replace_zones,
)
from cranberrywheel_standin.virtual_fleet import VirtualLoop, VirtualStore

EVACUATION_MS = 5_000
MAX_AGE_MS = compute_max_age_ms(EVACUATION_MS)
PEER_DELAY_MS = 4
KEY = EVACUATION_PREFIX + "z0"


class PeerNetwork(VirtualLoop):
    """Processes that exchange the evacuated zones."""

    def __init__(self, count):
        super().__init__()
        random.seed(count)  # of the times for which watches are held open
        self.store = VirtualStore(self)
        self.sync_by_address = {}
        self.clients = []
        self.peer_clients = []
        self.announcements = 0
        for number in range(count):
            address = f"10.0.0.{number:03}:7000"
            client, peer_client = self.store.build_client(), self.store.build_client()
            self.clients.append(client)
            self.peer_clients.append(peer_client)
            self.sync_by_address[address] = EvacuationSync(
                self,
                client,
                peer_client,
                lambda own=address: [a for a in self.sync_by_address if a != own],
                address,
                EVACUATION_MS,
                lambda: None,
            )
        self.syncs = list(self.sync_by_address.values())
        for sync in self.syncs:
            sync.start()
        self.run_for(2_500)

    def call(self, request, on_reply, on_data=lambda: None):
        def deliver():
            assert request.path == EVACUATIONS_PATH
            self.announcements += 1
            sync = self.sync_by_address[request.address]
            body = json.dumps(sync.answer_announcement(request.body)).encode()
            self.after(PEER_DELAY_MS, lambda: on_reply(HttpReply(200, body)))

        self.after(PEER_DELAY_MS, deliver)

    def zones(self):
        return {sync.known.zones for sync in self.syncs}


def silence(clients):
    for client in clients:
        client.watches_silent = True


def test_process_with_a_silent_watch_learns_from_its_peers():
    """Guards against a process that becomes the leader without the evacuation."""
    network = PeerNetwork(31)
    silence(network.clients[1:])
    network.store.put(KEY, b"{}")
    network.run_for(200)
    assert network.zones() == {frozenset({"z0"})}
    network.store.delete(KEY)
    network.run_for(200)
    assert network.zones() == {frozenset()}


def test_unchanged_zones_are_not_announced():
    """Guards against announcements whenever any key of the store changes."""
    network = PeerNetwork(7)
    network.store.put("other", b"")
    network.run_for(2_000)
    assert network.announcements == 0
    network.store.put(KEY, b"{}")
    network.run_for(2_000)
    assert 0 < network.announcements <= 7 * 3


def test_late_announcement_restores_neither_a_request_nor_its_absence():
    """Guards against a peer that was frozen and ends or repeats an evacuation."""
    network = PeerNetwork(2)
    sync = network.syncs[0]
    network.store.put(KEY, b"{}")
    network.run_for(100)
    evacuated = json.dumps(sync._encode()).encode()
    network.store.delete(KEY)
    network.run_for(100)
    free = json.dumps(sync._encode()).encode()
    assert sync.answer_announcement(evacuated)["zones"] == []
    network.store.put(KEY, b"{}")
    network.run_for(100)
    assert sync.answer_announcement(free)["zones"] == ["z0"]


def test_unreadable_value_that_is_read_ends_no_evacuation():
    """Guards against an evacuation that a mistyped value and a lost watch end."""
    network = PeerNetwork(2)
    network.store.put(KEY, b"{}")
    network.run_for(100)
    silence(network.clients)
    network.run_for(1_100)
    network.store.put(KEY, b"x")
    network.store.drop_history()
    for client in network.clients:
        client.watches_silent = False
    network.run_for(3_000)
    assert {sync.known.unreadable for sync in network.syncs} == {frozenset({"z0"})}
    assert network.zones() == {frozenset({"z0"})}


def test_late_answer_of_the_store_is_harmless():
    """Guards against a read before a removal that is answered after it."""
    network = PeerNetwork(1)
    network.store.put(KEY, b"{}")
    network.run_for(100)
    late = network.store.read_all(EVACUATION_PREFIX)
    network.store.delete(KEY)
    network.run_for(100)
    sync = network.syncs[0]
    sync._apply_read(late, network.clock.now_ms(), "store")
    assert sync.known.zones == frozenset()


def test_removal_is_inferred_after_the_history_was_compacted():
    """Guards against a zone that stays evacuated since its removal was compacted."""
    network = PeerNetwork(3)
    network.store.put(KEY, b"{}")
    network.run_for(100)
    silence(network.clients)
    network.run_for(1_100)
    network.store.delete(KEY)
    network.store.drop_history()
    for client in network.clients:
        client.watches_silent = False
    network.run_for(2_000)
    assert network.zones() == {frozenset()}


def test_lost_answers_delay_but_do_not_distort():
    """Guards against zones that depend on a call whose answer is lost."""
    network = PeerNetwork(3)
    network.store.lost_answer_share = 0.5
    silence(network.clients)
    network.store.put(KEY, b"{}")
    network.run_for(6_000)
    assert network.zones() == {frozenset({"z0"})}


@pytest.mark.parametrize("value", [b"", b"[]", b"{", b"\xff", b"1" * 5_000])
def test_unreadable_value_is_logged_with_its_key_and_changes_nothing(value, caplog):
    """Guards against a mistyped value that evacuates a zone or ends an evacuation."""
    caplog.set_level(logging.INFO, logger="absl")
    network = PeerNetwork(2)
    network.store.put(EVACUATION_PREFIX + "z1", value)
    network.store.put(EVACUATION_PREFIX, b"{}")
    network.store.put(KEY, b"{}")
    network.store.put(KEY, value)
    network.run_for(3_000)
    assert network.zones() == {frozenset({"z0"})}
    assert f"evacuation cannot be read; ignored key={KEY}" in caplog.text
    assert caplog.text.count(f"ignored key={EVACUATION_PREFIX}z1") <= 2
    network.store.delete(KEY)
    network.run_for(1_500)
    assert network.zones() == {frozenset()}


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"revision": 900}',
        b'{"revision": "x", "zones": [], "unreadable": []}',
        b'{"revision": 900, "zones": "z0", "unreadable": []}',
        b'{"revision": 900, "zones": {}, "unreadable": 3}',
    ],
)
def test_malformed_announcement_is_ignored(body):
    """Guards against a message that evacuates zones named after single letters."""
    sync = PeerNetwork(1).syncs[0]
    assert sync.answer_announcement(body)["zones"] == []


def test_knowledge_is_current_only_for_a_part_of_the_bound():
    """Guards against starts by a process that is cut off from the store."""
    network = PeerNetwork(1)
    sync = network.syncs[0]
    assert sync.is_current and MAX_AGE_MS < EVACUATION_MS / 2
    network.clients[0].unreachable = network.peer_clients[0].unreachable = True
    silence(network.clients)
    for _ in range(40):
        network.run_for(100)
        sync.refresh_if_old()
    assert not sync.is_current
    network.peer_clients[0].unreachable = False
    for _ in range(12):
        network.run_for(100)
        sync.refresh_if_old()
    assert sync.is_current


def test_a_regular_watch_and_few_reads_keep_the_leader_current():
    """Guards against a leader that pauses its starts, or reads for each of them."""
    network = PeerNetwork(1)
    sync = network.syncs[0]
    network.store.reads = 0
    for _ in range(300):
        network.run_for(100)
        sync.refresh_if_old()
        assert sync.is_current
    assert network.store.reads <= 45


def test_read_before_a_takeover_does_not_count():
    """Guards against a new leader that starts work on what it knew before."""
    network = PeerNetwork(1)
    sync = network.syncs[0]
    network.run_for(100)
    sync.require_read()
    assert not sync.is_current
    network.run_for(10)
    assert sync.is_current


EVENTS = st.lists(
    st.tuples(st.sampled_from(["z0", "z1"]), st.sampled_from(["put", "bad", "delete"])),
    max_size=12,
)


POSITIONS = st.integers(0, 12)


@given(EVENTS, st.lists(st.tuples(st.none() | POSITIONS, POSITIONS), max_size=12))
def test_the_newest_answer_wins_in_any_order(events, answers):
    """Guards against an order of reads and watches that loses a change.

    A watch reports from the revision that was known when it was sent. An unreadable
    value may only keep a zone that is evacuated already.
    """

    def read(revision):
        kind_by_zone = {}
        for zone, kind in events[:revision]:
            kind_by_zone[zone] = kind
        return EvacuatedZones(
            revision,
            frozenset(zone for zone, kind in kind_by_zone.items() if kind == "put"),
            frozenset(zone for zone, kind in kind_by_zone.items() if kind == "bad"),
        )

    known = EvacuatedZones()
    for watched_from, position in answers:
        revision = min(position, len(events))
        before = known
        if watched_from is not None:
            first = min(watched_from, before.revision)
            changes = [
                ZoneChange(zone, number + 1, kind != "delete", kind == "put")
                for number, (zone, kind) in enumerate(events)
                if first <= number < revision
            ]
            known = apply_changes(known, changes, revision)
        else:
            known = replace_zones(known, read(revision))
        assert known.revision == max(before.revision, revision)
        true = read(known.revision)
        assert true.zones <= known.zones <= true.zones | true.unreadable
        assert known.unreadable == true.unreadable

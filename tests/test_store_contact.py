"""Ways to the store while it turns this process away."""

import json

from cranberrywheel.connection.http_loop import HttpReply
from cranberrywheel.node.store_contact import ISOLATED_MS, StoreContact
from cranberrywheel_standin.virtual_fleet import VirtualLoop


class PeerLoop(VirtualLoop):
    """A loop on which peers answer what the test says; ``None`` is silence."""

    def __init__(self, answers):
        super().__init__()
        self.answers = answers

    def call(self, request, done):
        body = self.answers.get(request.address)
        if body is None:
            self.after(request.timeout_ms, lambda: done(HttpReply(0)))
        else:
            reply = HttpReply(200, json.dumps(body).encode())
            self.after(2, lambda: done(reply))


def make_contact(answers):
    loop = PeerLoop(answers)
    contact = StoreContact(loop, lambda: list(answers), lambda: None)
    contact.start()
    return loop, contact


def lose(loop, contact):
    contact.note(False)
    contact.note(False)
    loop.run_for(ISOLATED_MS + 500)


def test_calls_go_through_a_peer_that_reaches_the_store():
    """A store that turns some machines away and serves the others."""
    loop, contact = make_contact(
        {
            "a": {"store_away": True, "fence": 3},
            "b": {"store_away": False, "fence": 3},
        }
    )
    lose(loop, contact)
    assert contact.helper() == "b"
    assert contact.can_write and not contact.is_isolated(3)


def test_process_without_any_way_leaves_the_balancer():
    """A zone that is cut off and goes on taking callers that it cannot serve."""
    loop, contact = make_contact({"a": {"store_away": True, "fence": 3}, "b": None})
    lose(loop, contact)
    assert contact.is_isolated(3) and not contact.can_write


def test_outage_for_all_keeps_everyone_in_the_balancer():
    """A deployment that takes itself out of service because the store is down."""
    loop, contact = make_contact(
        {"a": {"store_away": True, "fence": 3}, "b": {"store_away": True, "fence": 0}}
    )
    lose(loop, contact)
    assert contact.all_away(3) and not contact.is_isolated(3)


def test_leader_does_not_go_on_when_a_peer_knows_a_newer_one():
    """Two leaders that both extend leases."""
    loop, contact = make_contact({"a": {"store_away": True, "fence": 9}})
    lose(loop, contact)
    assert not contact.all_away(3)


def test_leader_does_not_go_on_when_a_peer_is_silent():
    """A peer behind a partition may reach the store and have taken over."""
    loop, contact = make_contact({"a": {"store_away": True, "fence": 3}, "b": None})
    lose(loop, contact)
    assert not contact.all_away(3)


def test_direct_calls_come_back_with_the_store():
    """Calls that go through a peer for ever after one outage."""
    loop, contact = make_contact({"a": {"store_away": False, "fence": 3}})
    lose(loop, contact)
    assert contact.helper() == "a"
    contact.note(True)
    assert contact.helper() is None and contact.was_away_lately()
    loop.run_for(9_000)
    assert not contact.was_away_lately()


def test_way_through_a_peer_is_known_when_the_second_call_fails():
    """A leader that loses its lease while it looks for a way to the store
    (mlr-clyde trouble-1, 16.5 s: 1.5 s without a leader)."""
    loop, contact = make_contact({"a": {"store_away": False, "fence": 3}})
    contact.note(False)
    loop.run_for(10)
    assert contact.helper() is None
    contact.note(False)
    assert contact.helper() == "a"

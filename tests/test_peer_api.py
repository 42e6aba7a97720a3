"""Interface for the other processes, with input that none of them should send."""

import json
from types import SimpleNamespace

import pytest
from werkzeug.test import Client

from cranberrywheel.node.admission_sync import ADMISSION_PATH, AdmissionSync
from cranberrywheel.node.configuration_sync import (
    ANNOUNCEMENT_PATH,
    CONFIGURATION_PATH,
    ConfigurationSync,
)
from cranberrywheel.node.peer_api import (
    QUEUE_PATH,
    STORED_PATH,
    SUBMISSION_PATH,
    PeerApi,
)
from cranberrywheel.node.store_route import STATUS_PATH, StoreRoute
from cranberrywheel.store_messages import Item
from cranberrywheel.submission.features import ALL_OFF, NO_FEATURES
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel_standin.virtual_fleet import VirtualLoop, VirtualStore


class InlineLoop(VirtualLoop):
    """A loop that runs posted functions at once."""

    def post(self, function):
        function()


class RecordingLeader:
    """Stands in for a leader that has not loaded its submissions."""

    is_loaded = False
    scheduler = SimpleNamespace(features=NO_FEATURES)

    def __init__(self):
        self.offered = []

    def offer(self, items):
        self.offered += items


@pytest.fixture
def leader():
    return RecordingLeader()


@pytest.fixture
def client(leader):
    loop = InlineLoop()
    store = VirtualStore(loop).build_client()
    sync = ConfigurationSync(
        loop, store, lambda: [], "a:1", lambda: True, lambda configuration: None
    )
    route = StoreRoute(loop, dict, lambda: None)
    admission = AdmissionSync(
        loop,
        store,
        "a:1",
        lambda: leader,
        lambda: None,
        lambda: None,
        ALL_OFF,
        PlatformTiming(),
    )
    return Client(
        PeerApi(loop, store, route, sync, admission, lambda: leader, lambda: 7)
    )


@pytest.mark.parametrize(
    "path",
    [
        STATUS_PATH,
        CONFIGURATION_PATH,
        ANNOUNCEMENT_PATH,
        STORED_PATH,
        QUEUE_PATH,
        SUBMISSION_PATH + "0" * 16,
        SUBMISSION_PATH,
        ADMISSION_PATH,
        "/peer/none",
    ],
)
@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b'{"items": 3, "version": {}}'])
def test_malformed_input_of_a_peer_is_answered(client, leader, path, body):
    """Guards against a message that raises on the loop's thread or gets no answer."""
    response = client.post(path, data=body)
    assert response.status_code in (200, 404)
    assert isinstance(json.loads(response.get_data()), dict)
    assert leader.offered == []


def test_report_names_fence_version_and_store(client):
    """Guards against a report that peers cannot decode, so that none can be chosen."""
    report = client.get(STATUS_PATH).get_json()
    assert report == {"store_away": False, "fence": 7, "version": 0}


def test_notice_reaches_the_leader(client, leader):
    """Guards against stored submissions that only the watch tells the leader."""
    rows = [["cw/j/a", "{}", 5]]
    response = client.post(STORED_PATH, data=json.dumps({"items": rows}))
    assert response.get_json() == {"received": 1}
    assert leader.offered == [Item("cw/j/a", b"{}", 5)]

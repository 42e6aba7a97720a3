"""Records that entry processes pass on to the leader ahead of its watch."""

import pytest
from leader_harness import LeaderHarness, make_step, make_submission

from cranberrywheel.node.peer_api import decode_items, encode_items
from cranberrywheel.store_messages import Item
from cranberrywheel.submission.model import SubmissionState


@pytest.fixture
def harness(monkeypatch):
    """A leader whose watches get no answer, and two executors."""
    harness = LeaderHarness(monkeypatch)
    for number in range(2):
        harness.fleet.add(f"x{number}", "pool", cpu=4_000)
    harness.start_leader()
    harness.run_for(500)
    harness.notifies = True
    harness.leader_client.watches_silent = True
    harness.run_for(100)
    return harness


def test_silent_watch_delays_no_submission(harness):
    """Guards against work that waits for a watch that gets no answer.

    Without the notice, the first task starts when the watch has timed out.
    """
    harness.submit(make_submission("s1"), 300)
    harness.run_for(50)
    assert harness.fleet.started_tasks == {"s1.0.0.0"}
    harness.run_for(5_000)
    assert harness.scheduler.get_state("s1") is SubmissionState.COMPLETED
    assert harness.fleet.violations == []


def test_silent_watch_delays_no_cancellation(harness):
    """Guards against tasks that go on seconds after their cancellation was accepted."""
    harness.submit(make_submission("s1", make_step(4)), 20_000)
    harness.run_for(100)
    assert any(x.runs for x in harness.fleet.executors_by_id.values())
    harness.cancel("s1")
    harness.run_for(300)
    assert not any(x.runs for x in harness.fleet.executors_by_id.values())


def test_cancellation_that_overtakes_its_submission_is_applied(harness):
    """Guards against a cancelled submission that runs until the leader changes.

    The notice of the submission is lost and that of its cancellation is not, while the
    watch of the leader is silent.
    """
    harness.notifies = False
    harness.submit(make_submission("s1", make_step(4)), long_running=True)
    harness.notifies = True
    harness.cancel("s1")
    harness.leader_client.watches_silent = False
    harness.run_for(5_000)
    assert not any(x.runs for x in harness.fleet.executors_by_id.values())
    assert harness.scheduler.get_state("s1") is SubmissionState.CANCELLED
    assert "cw/j/s1/x" not in harness.store.item_by_key


def test_cancellation_that_is_read_before_its_submission_is_applied(harness):
    """Guards against the same fault after a read whose pages are no snapshot.

    A later page holds the cancellation of a submission that was stored after the page
    on which it would be.
    """
    harness.store.put("cw/j/s1/x", b"{}")
    harness.start_leader()
    harness.run_for(500)
    harness.submit(make_submission("s1", make_step(4)), long_running=True)
    harness.run_for(5_000)
    assert not any(x.runs for x in harness.fleet.executors_by_id.values())
    assert harness.scheduler.get_state("s1") is SubmissionState.CANCELLED


def test_late_notice_of_an_ended_submission_starts_nothing(harness):
    """Guards against a second run after a notice that arrives late or twice."""
    harness.submit(make_submission("s1"), 300)
    item = harness.store.item_by_key["cw/j/s1"]
    harness.run_for(2_000)
    harness.leader.offer([item, item])
    harness.run_for(2_000)
    harness.start_leader()
    harness.leader.offer([item])  # before the records are loaded
    harness.run_for(2_000)
    harness.leader.offer([item])
    harness.run_for(2_000)
    assert harness.fleet.starts == 1 and harness.fleet.violations == []
    assert harness.scheduler.get_state("s1") is SubmissionState.COMPLETED


def test_notice_and_watch_report_a_submission_once(harness):
    """Guards against tasks that start twice, once for the notice and once later."""
    harness.leader_client.watches_silent = False
    for number in range(5):
        harness.submit(make_submission(f"s{number}"), 200)
        harness.run_for(30)
    harness.run_for(3_000)
    assert harness.fleet.starts == 5 and harness.fleet.violations == []


def test_items_survive_encoding():
    """Guards against a notice that the leader takes for another record."""
    items = [Item("cw/j/a", '{"payload":"\u00e9\\n"}'.encode(), 7)]
    assert decode_items(encode_items(items)) == items


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"items": [["a"]]}', b'{"items": [["a", "b", "c"]]}']
)
def test_malformed_notice_is_rejected(body):
    """Guards against a notice that raises in the leader's loop."""
    with pytest.raises(ValueError):
        decode_items(body)

"""Watches of the store's keys: what they report, when, and what they log."""

import logging

import pytest

from cranberrywheel.node.watch import RETRY_MS, WATCH_WAIT_MS, PrefixWatch
from cranberrywheel.store_messages import Item, Outcome, StoreReply
from cranberrywheel_standin.virtual_fleet import VirtualLoop

FAILED_READ = StoreReply(Outcome.UNKNOWN, received_bytes=120_000, error="28 timed out")


class ScriptedStore:
    """A store that answers each call with the next scripted reply.

    A call for which the script has no reply is never answered.
    """

    def __init__(self, loop, read_replies, watch_replies, delay_ms=5):
        self._loop = loop
        self._read_replies = list(read_replies)
        self._watch_replies = list(watch_replies)
        self._delay_ms = delay_ms

    def read_all(self, prefix, done, on_data):
        self._answer(self._read_replies, done)

    def watch(self, prefix, after, wait_ms, done, on_data):
        self._answer(self._watch_replies, done)

    def _answer(self, replies, done):
        if replies:
            reply = replies.pop(0)
            self._loop.after(self._delay_ms, lambda: done(reply))


def start_watch(read_replies, watch_replies):
    loop = VirtualLoop()
    store = ScriptedStore(loop, read_replies, watch_replies)
    values = []
    watch = PrefixWatch(loop, store, "k", lambda item: values.append(item.value))
    watch.start()
    return loop, watch, values


def read_reply(revision, value, item_revision):
    return StoreReply(Outcome.OK, (Item("k", value, item_revision),), revision)


@pytest.fixture
def log_lines(caplog):
    caplog.set_level(logging.INFO, logger="absl")
    return lambda event: [
        record.getMessage() for record in caplog.records if event in record.getMessage()
    ]


def test_each_failed_read_is_logged_with_what_arrived(log_lines):
    """Guards against a late change whose failed reads leave no trace."""
    loop, _, _ = start_watch([FAILED_READ, FAILED_READ, FAILED_READ], [])
    loop.run_for(3 * (RETRY_MS + 10))
    lines = log_lines("store read or watch failed")
    assert len(lines) == 3
    assert "call=read" in lines[2] and "received_bytes=120000" in lines[2]


def test_change_that_a_watch_skipped_is_told_from_a_late_one(log_lines):
    """Guards against logs in which a skipped change looks like a slow one."""
    loop, _, values = start_watch(
        [read_reply(5, b"a", 5), read_reply(9, b"b", 7)],
        [StoreReply(Outcome.OK, (), 8), StoreReply(Outcome.COMPACTED)],
    )
    loop.run_for(WATCH_WAIT_MS)
    assert values == [b"a", b"b"]
    (line,) = log_lines("all items read again")
    assert "changed=1 skipped=1" in line

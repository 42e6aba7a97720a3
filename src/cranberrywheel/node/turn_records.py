"""Stores the turns of the queues for the next leader, and reads them at a takeover."""

import time
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.node.keys import LEADER_KEY, TURNS_KEY
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Outcome, StoreReply, Write
from cranberrywheel.submission.scheduler import Scheduler
from cranberrywheel.submission.turn_record import decode_turns, encode_turns

#: Delay before a failed read from the store is repeated.
RETRY_MS = 700


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000


class TurnRecords:
    """Record of the turns. All methods run on the loop's thread."""

    def __init__(self, loop: HttpLoop, store: Store, scheduler: Scheduler) -> None:
        self._loop = loop
        self._store = store
        self._scheduler = scheduler
        self._writing = False
        self._stored_turn: tuple[str, int] | None = None

    def load(self, on_loaded: t.Callable[[], None]) -> None:
        """Read the record of the earlier leader.

        :param on_loaded: called once there is an answer, whatever it is.
        """

        def on_reply(reply: StoreReply) -> None:
            if not reply.outcome.is_answer:
                self._loop.after(RETRY_MS, lambda: self.load(on_loaded))
                return
            if reply.outcome is Outcome.OK:
                turns = decode_turns(
                    reply.items[0].value or b"",
                    self._unix_offset_ms(),
                    self._loop.clock.now_ms(),
                )
                if turns is not None:
                    self._scheduler.turns = turns
                    self._stored_turn = turns.last_turn
            on_loaded()

        self._store.read(TURNS_KEY, on_reply)

    def store_changes(self) -> None:
        """Store the turns once after each turn that was recorded."""
        turns = self._scheduler.turns
        if self._writing or turns.last_turn == self._stored_turn:
            return
        last_turn = turns.last_turn
        self._writing = True

        def on_reply(reply: StoreReply) -> None:
            # After a failure the next round writes again.
            self._writing = False
            if reply.outcome is Outcome.OK:
                self._stored_turn = last_turn

        value = encode_turns(turns, self._unix_offset_ms())
        write = Write(
            ((LEADER_KEY, self._scheduler.fence),),
            ((TURNS_KEY, value, 0),),  # 0: no lease
        )
        self._store.write(write, on_reply)

    def _unix_offset_ms(self) -> int:
        return unix_ms() - self._loop.clock.now_ms()

"""Which process decides: a lease in the store with a rising fence."""

import dataclasses
import json
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import PartLogger
from cranberrywheel.node.keys import HANDOVER_KEY, LEADER_KEY, TERM_KEY
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.platform.store import Item, Outcome, Store, StoreReply, Write

#: Time to live of the leader's lease: a dead leader is noticed within it, and runs
#: whose executor lease is longer survive the take-over.
LEASE_MS = 1_200
#: Time between renewals.
RENEW_MS = 200
#: Longest wait for a renewal. Two direct ones may fail, and one through a peer still
#: comes within the lease; the store answers in 250 ms while it is slow.
RENEW_TIMEOUT_MS = 350
#: Pause before a failed renewal is repeated.
RETRY_RENEW_MS = 5
#: The holder stops this long before its lease may end in the store.
SAFETY_MS = 150
#: A machine with that many cores carries the scheduler of the largest known
#: deployment (0.15 of a core at 180 executors, with room for its callers).
ENOUGH_CORES = 1.0
#: Pause of a machine for each core that it lacks.
HANDICAP_MS = 400
#: Longest pause before a process competes, a millisecond for each second of its age.
MAX_SENIORITY_MS = 100
#: Pause before the next try to take the leadership.
RETRY_MS = 200

_log = PartLogger("leadership")


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The process that holds the leadership.

    :param address: ``host:port`` of its peer service.
    :param fence: revision of its record; rises with each leadership.
    """

    process: str
    address: str
    fence: int


class Leadership:
    """Follows the leadership and takes it when it is free.

    All methods run on the loop's thread.

    :param process: name of this incarnation.
    :param address: ``host:port`` of its peer service.
    :param cores: processor of this machine; smaller ones let larger ones lead.
    :param may_compete: whether this process can lead at all.
    :param on_gain: called with fence, term and the fence of the leadership before.
    :param on_loss: called when this process must stop deciding.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        process: str,
        address: str,
        cores: float,
        may_compete: t.Callable[[], bool],
        on_gain: t.Callable[[int, int, int], None],
        on_loss: t.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._process = process
        self._address = address
        self._handicap_ms = round(max(0.0, ENOUGH_CORES - cores) * HANDICAP_MS)
        self._may_compete = may_compete
        self._on_gain = on_gain
        self._on_loss = on_loss
        self.holder: Holder | None = None
        self.fence = 0
        self._lease = 0
        self._valid_until_ms = 0
        self._attempting = False
        self._known = False
        self._generation = 0
        self._started_ms = loop.clock.now_ms()
        self._free_since_ms = loop.clock.now_ms()
        self._watch = PrefixWatch(
            loop, store, LEADER_KEY, self._on_item, self._on_first_read
        )

    @property
    def is_leader(self) -> bool:
        """Whether this process leads, as far as it knows."""
        return bool(self.fence)

    def is_valid(self) -> bool:
        """Whether nobody else can hold the leadership at this moment."""
        return bool(self.fence) and self._loop.clock.now_ms() < self._valid_until_ms

    def start(self) -> None:
        """Begin to follow the leadership."""
        self._watch.start()
        self._loop.after(RETRY_MS, self._retry)

    def release(self, account: t.Callable[[], bytes]) -> None:
        """Give the leadership up, so that another process takes it at once.

        :param account: called after the loss; returns the record for the successor.
        """
        if not self.fence:
            return
        fence = self.fence
        self._lose("released")
        write = Write(
            conditions=((LEADER_KEY, fence),),
            puts=((HANDOVER_KEY, account(), 0),),
            deletes=(LEADER_KEY,),
        )

        def on_reply(reply: StoreReply) -> None:
            # Without the write the lease ends by itself a second later.
            _log.event("handed over", fence=fence, outcome=reply.outcome.value)

        self._store.write(write, on_reply)

    def step_down(self, reason: str) -> None:
        """Stop leading because another leader was seen."""
        if self.fence:
            self._lose(reason)

    def _retry(self) -> None:
        self._loop.after(RETRY_MS, self._retry)
        self._try_to_lead()

    def _on_first_read(self) -> None:
        self._known = True
        self._try_to_lead()

    def _on_item(self, item: Item) -> None:
        if item.key != LEADER_KEY:
            return
        if item.value is None:
            self.holder = None
            self._free_since_ms = self._loop.clock.now_ms()
            self._loop.after(self._patience_ms(), self._try_to_lead)
            return
        holder = _decode_holder(item)
        self.holder = holder
        if self.fence and holder and holder.fence > self.fence:
            self._lose("another process leads")

    def _patience_ms(self) -> int:
        """Return how long a free leadership is left to others.

        Larger machines go first, and younger processes, since a rolling restart has
        passed them.
        """
        up_ms = self._loop.clock.now_ms() - self._started_ms
        return self._handicap_ms + min(MAX_SENIORITY_MS, up_ms // 1_000)

    def _try_to_lead(self) -> None:
        if (
            self.fence
            or self.holder
            or self._attempting
            or not self._known
            or self._loop.clock.now_ms() - self._free_since_ms < self._patience_ms()
            or not self._may_compete()
        ):
            return
        self._attempting = True
        granted_ms = self._loop.clock.now_ms()

        def on_lease(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK or not reply.lease:
                self._attempting = False
                return
            self._lease = reply.lease
            self._valid_until_ms = granted_ms + reply.ttl_ms - SAFETY_MS
            self._store.read(TERM_KEY, on_term)

        def on_term(reply: StoreReply) -> None:
            if reply.outcome not in (Outcome.OK, Outcome.ABSENT):
                self._attempting = False
                return
            item = reply.items[0] if reply.outcome is Outcome.OK else None
            term = int(item.value or b"0") + 1 if item else 0
            revision = item.revision if item else 0
            record = {"process": self._process, "address": self._address}
            write = Write(
                conditions=((LEADER_KEY, 0), (TERM_KEY, revision)),
                puts=(
                    (LEADER_KEY, json.dumps(record).encode(), self._lease),
                    (TERM_KEY, str(term).encode(), 0),
                ),
            )
            # Fence and term of a leadership are written together.
            self._store.write(write, lambda result: on_written(result, term, revision))

        def on_written(reply: StoreReply, term: int, previous_fence: int) -> None:
            self._attempting = False
            if reply.outcome is Outcome.OK:
                self._gain(reply.revision, term, previous_fence)
            else:
                # Without an answer the record may still appear; its lease is not
                # renewed, so that it ends and the next try finds the way free.
                _log.event("did not gain the lead", outcome=reply.outcome.value)

        self._store.grant_lease(LEASE_MS, on_lease)

    def _gain(self, fence: int, term: int, previous_fence: int) -> None:
        if self._loop.clock.now_ms() >= self._valid_until_ms:
            _log.warning("gained the lead too late", fence=fence)
            return
        self.fence = fence
        self.holder = Holder(self._process, self._address, fence)
        self._generation += 1
        _log.event("leads", fence=fence, term=term)
        generation = self._generation
        self._loop.after(RENEW_MS, lambda: self._renew(generation))
        self._on_gain(fence, term, previous_fence)

    def _lose(self, reason: str) -> None:
        _log.event("leads no more", fence=self.fence, reason=reason)
        self.fence = 0
        self._lease = 0
        self._generation += 1
        if self.holder and self.holder.process == self._process:
            self.holder = None
        self._on_loss()

    def _renew(self, generation: int) -> None:
        if generation != self._generation:
            return
        sent_ms = self._loop.clock.now_ms()

        def on_reply(reply: StoreReply) -> None:
            if generation != self._generation:
                return
            if reply.outcome is Outcome.OK:
                ttl_ms = reply.ttl_ms or LEASE_MS
                self._valid_until_ms = sent_ms + ttl_ms - SAFETY_MS
                self._loop.after(RENEW_MS, lambda: self._renew(generation))
            elif reply.outcome is Outcome.ABSENT:
                self._lose("the lease has ended")
            else:
                self._loop.after(RETRY_RENEW_MS, lambda: self._renew(generation))

        self._store.renew_lease(self._lease, on_reply, RENEW_TIMEOUT_MS)


def _decode_holder(item: Item) -> Holder | None:
    try:
        row = json.loads(item.value or b"")
        return Holder(str(row["process"]), str(row["address"]), item.revision)
    except (KeyError, TypeError, ValueError) as error:
        _log.warning("unreadable leader record", error=repr(error))
        return None

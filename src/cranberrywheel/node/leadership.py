"""Which process decides: a lease in the store with a rising fence."""

import dataclasses
import json
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import ComponentLogger
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
#: Processor and link of a machine that carries the scheduler of the largest known
#: deployment: 180 executors take up to half a core and 10 Mbit/s in a queue's turn.
ENOUGH_CORES = 1.0
ENOUGH_LINK_MBPS = 50.0
#: Pause of a machine that has nothing of that; others pause for their lack only.
HANDICAP_MS = 1_000
#: A machine leaves the lead to one that has this multiple of its capacity.
CLEARLY_LARGER = 1.25
#: How long a free lead is left to a larger machine that is registered.
DEFER_MS = 1_000
#: How long a smaller machine leads before it hands over: above the lease of a
#: member's record, so that a larger one that is cut off is registered no more.
YIELD_AFTER_MS = 6_000
#: Factor by which that time grows each time that no larger machine took the lead.
YIELD_BACKOFF = 4
#: Longest pause before a process competes, a millisecond for each second of its age.
MAX_SENIORITY_MS = 100
#: Pause before the next try to take the leadership.
RETRY_MS = 200

_log = ComponentLogger("leadership")


def lead_capacity(cores: float, link_mbps: float) -> float:
    """Return how well a machine carries the scheduler, from 0 to 1."""
    return min(1.0, cores / ENOUGH_CORES, link_mbps / ENOUGH_LINK_MBPS)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """This process as a candidate for the leadership.

    :param process: name of this incarnation.
    :param address: ``host:port`` of its peer service.
    :param capacity: of its machine, from :func:`lead_capacity`.
    """

    process: str
    address: str
    capacity: float


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

    :param candidate: this process.
    :param largest_rival: returns the largest capacity among the other registered
        processes.
    :param may_compete: whether this process can lead at all.
    :param on_gain: called with fence, term and the fence of the leadership before.
    :param on_loss: called when this process must stop deciding.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        candidate: Candidate,
        largest_rival: t.Callable[[], float],
        may_compete: t.Callable[[], bool],
        on_gain: t.Callable[[int, int, int], None],
        on_loss: t.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._candidate = candidate
        self._largest_rival = largest_rival
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
        self._gained_ms = 0
        self._yield_after_ms = YIELD_AFTER_MS
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

    @property
    def should_yield(self) -> bool:
        """Whether a larger machine should lead instead of this one."""
        if not self.is_valid() or not self._is_outsized():
            return False
        return self._loop.clock.now_ms() - self._gained_ms >= self._yield_after_ms

    def release(self, account: t.Callable[[], bytes], reason: str) -> None:
        """Give the leadership up, so that another process takes it at once.

        :param account: called after the loss; returns the record for the successor.
        """
        if not self.fence:
            return
        fence = self.fence
        if self._is_outsized():
            self._yield_after_ms *= YIELD_BACKOFF
        self._lose(reason)
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
        patience_ms = min(MAX_SENIORITY_MS, up_ms // 1_000)
        patience_ms += round((1.0 - self._candidate.capacity) * HANDICAP_MS)
        return patience_ms + (DEFER_MS if self._is_outsized() else 0)

    def _is_outsized(self) -> bool:
        return self._largest_rival() >= CLEARLY_LARGER * self._candidate.capacity

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
            record = {
                "process": self._candidate.process,
                "address": self._candidate.address,
            }
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
        candidate = self._candidate
        self.holder = Holder(candidate.process, candidate.address, fence)
        self._generation += 1
        self._gained_ms = self._loop.clock.now_ms()
        _log.event("leads", fence=fence, term=term, capacity=candidate.capacity)
        generation = self._generation
        self._loop.after(RENEW_MS, lambda: self._renew(generation))
        self._on_gain(fence, term, previous_fence)

    def _lose(self, reason: str) -> None:
        _log.event("leads no more", fence=self.fence, reason=reason)
        self.fence = 0
        self._lease = 0
        self._generation += 1
        if self.holder and self.holder.process == self._candidate.process:
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

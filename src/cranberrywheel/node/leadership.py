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
LEADER_LEASE_MS = 1_200
#: Time between renewals.
RENEW_INTERVAL_MS = 200
#: Longest wait for a renewal. Two direct ones may fail, and one through a peer still
#: comes within the lease; the store answers in 250 ms while it is slow.
RENEW_TIMEOUT_MS = 350
#: Pause before a failed renewal is repeated.
RENEW_RETRY_MS = 5
#: The holder stops this long before its lease may end in the store.
LEASE_SAFETY_MARGIN_MS = 150
#: Processor and link of a machine that carries the scheduler of the largest known
#: deployment: 180 executors take up to half a core and 10 Mbit/s in a queue's turn.
FULL_CAPACITY_CORES = 1.0
FULL_CAPACITY_LINK_MBPS = 50.0
#: Pause of a machine that has nothing of that; others pause for their lack only.
MAX_CAPACITY_DELAY_MS = 1_000
#: A machine leaves the lead to one that has this multiple of its capacity.
LARGER_CAPACITY_RATIO = 1.25
#: How long a free lead is left to a larger machine that is registered.
LARGER_CANDIDATE_DELAY_MS = 1_000
#: How long a smaller machine leads before it hands over: above the lease of a
#: member's record, so that a larger one that is cut off is registered no more.
MIN_LEADERSHIP_MS = 6_000
#: Factor by which that time grows each time that no larger machine took the lead.
YIELD_BACKOFF_FACTOR = 4
#: Longest pause before a process competes, a millisecond for each second of its age.
MAX_UPTIME_DELAY_MS = 100
#: Pause before the next try to take the leadership.
ACQUIRE_RETRY_MS = 200

_log = PartLogger("leadership")


def scheduling_capacity(cores: float, link_mbps: float) -> float:
    """Return how well a machine carries the scheduler, from 0 to 1."""
    return min(1.0, cores / FULL_CAPACITY_CORES, link_mbps / FULL_CAPACITY_LINK_MBPS)


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
        largest_rival_capacity: t.Callable[[], float],
        may_compete: t.Callable[[], bool],
        on_acquired: t.Callable[[int, int, int], None],
        on_lost: t.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._candidate = candidate
        self._largest_rival_capacity = largest_rival_capacity
        self._may_compete = may_compete
        self._on_leadership_acquired = on_acquired
        self._on_leadership_lost = on_lost
        self.holder: Holder | None = None
        self.fence = 0
        self._lease = 0
        self._valid_until_ms = 0
        self._acquiring = False
        self._initial_read_done = False
        self._generation = 0
        self._started_ms = loop.clock.now_ms()
        self._acquired_ms = 0
        self._min_leadership_ms = MIN_LEADERSHIP_MS
        self._vacant_since_ms = loop.clock.now_ms()
        self._watch = PrefixWatch(
            loop, store, LEADER_KEY, self._on_item, self._on_first_read
        )

    @property
    def is_leader(self) -> bool:
        """Whether this process leads, as far as it knows."""
        return bool(self.fence)

    def has_valid_lease(self) -> bool:
        """Whether nobody else can hold the leadership at this moment."""
        return bool(self.fence) and self._loop.clock.now_ms() < self._valid_until_ms

    def start(self) -> None:
        """Begin to follow the leadership."""
        self._watch.start()
        self._loop.after(ACQUIRE_RETRY_MS, self._on_retry_timer)

    @property
    def should_yield(self) -> bool:
        """Whether a larger machine should lead instead of this one."""
        if not self.has_valid_lease() or not self._has_larger_rival():
            return False
        return self._loop.clock.now_ms() - self._acquired_ms >= self._min_leadership_ms

    def release(self, handover_record: t.Callable[[], bytes], reason: str) -> None:
        """Give the leadership up, so that another process takes it at once.

        :param account: called after the loss; returns the record for the successor.
        """
        if not self.fence:
            return
        fence = self.fence
        if self._has_larger_rival():
            self._min_leadership_ms *= YIELD_BACKOFF_FACTOR
        self._stop_leading(reason)
        write = Write(
            conditions=((LEADER_KEY, fence),),
            puts=((HANDOVER_KEY, handover_record(), 0),),
            deletes=(LEADER_KEY,),
        )

        def on_reply(reply: StoreReply) -> None:
            # Without the write the lease ends by itself a second later.
            _log.event("handed over", fence=fence, outcome=reply.outcome.value)

        self._store.write(write, on_reply)

    def step_down(self, reason: str) -> None:
        """Stop leading because another leader was seen."""
        if self.fence:
            self._stop_leading(reason)

    def _on_retry_timer(self) -> None:
        self._loop.after(ACQUIRE_RETRY_MS, self._on_retry_timer)
        self._try_acquire()

    def _on_first_read(self) -> None:
        self._initial_read_done = True
        self._try_acquire()

    def _on_item(self, item: Item) -> None:
        if item.key != LEADER_KEY:
            return
        if item.value is None:
            self.holder = None
            self._vacant_since_ms = self._loop.clock.now_ms()
            self._loop.after(self._acquire_delay_ms(), self._try_acquire)
            return
        holder = _decode_holder(item)
        self.holder = holder
        if self.fence and holder and holder.fence > self.fence:
            self._stop_leading("another process leads")

    def _acquire_delay_ms(self) -> int:
        """Return how long a free leadership is left to others.

        Larger machines go first, and younger processes, since a rolling restart has
        passed them.
        """
        up_ms = self._loop.clock.now_ms() - self._started_ms
        delay_ms = min(MAX_UPTIME_DELAY_MS, up_ms // 1_000)
        delay_ms += round((1.0 - self._candidate.capacity) * MAX_CAPACITY_DELAY_MS)
        return delay_ms + (LARGER_CANDIDATE_DELAY_MS if self._has_larger_rival() else 0)

    def _has_larger_rival(self) -> bool:
        return (
            self._largest_rival_capacity()
            >= LARGER_CAPACITY_RATIO * self._candidate.capacity
        )

    def _try_acquire(self) -> None:
        if (
            self.fence
            or self.holder
            or self._acquiring
            or not self._initial_read_done
            or self._loop.clock.now_ms() - self._vacant_since_ms
            < self._acquire_delay_ms()
            or not self._may_compete()
        ):
            return
        self._acquiring = True
        requested_ms = self._loop.clock.now_ms()

        def on_lease(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK or not reply.lease:
                self._acquiring = False
                return
            self._lease = reply.lease
            self._valid_until_ms = requested_ms + reply.ttl_ms - LEASE_SAFETY_MARGIN_MS
            self._store.read(TERM_KEY, on_term)

        def on_term(reply: StoreReply) -> None:
            if reply.outcome not in (Outcome.OK, Outcome.ABSENT):
                self._acquiring = False
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
            self._acquiring = False
            if reply.outcome is Outcome.OK:
                self._on_acquired_lease(reply.revision, term, previous_fence)
            else:
                # Without an answer the record may still appear; its lease is not
                # renewed, so that it ends and the next try finds the way free.
                _log.event("did not gain the lead", outcome=reply.outcome.value)

        self._store.grant_lease(LEADER_LEASE_MS, on_lease)

    def _on_acquired_lease(self, fence: int, term: int, previous_fence: int) -> None:
        if self._loop.clock.now_ms() >= self._valid_until_ms:
            _log.warning("gained the lead too late", fence=fence)
            return
        self.fence = fence
        candidate = self._candidate
        self.holder = Holder(candidate.process, candidate.address, fence)
        self._generation += 1
        self._acquired_ms = self._loop.clock.now_ms()
        _log.event("leads", fence=fence, term=term, capacity=candidate.capacity)
        generation = self._generation
        self._loop.after(RENEW_INTERVAL_MS, lambda: self._renew(generation))
        self._on_leadership_acquired(fence, term, previous_fence)

    def _stop_leading(self, reason: str) -> None:
        _log.event("leads no more", fence=self.fence, reason=reason)
        self.fence = 0
        self._lease = 0
        self._generation += 1
        if self.holder and self.holder.process == self._candidate.process:
            self.holder = None
        self._on_leadership_lost()

    def _renew(self, generation: int) -> None:
        if generation != self._generation:
            return
        sent_ms = self._loop.clock.now_ms()

        def on_reply(reply: StoreReply) -> None:
            if generation != self._generation:
                return
            if reply.outcome is Outcome.OK:
                ttl_ms = reply.ttl_ms or LEADER_LEASE_MS
                self._valid_until_ms = sent_ms + ttl_ms - LEASE_SAFETY_MARGIN_MS
                self._loop.after(RENEW_INTERVAL_MS, lambda: self._renew(generation))
            elif reply.outcome is Outcome.ABSENT:
                self._stop_leading("the lease has ended")
            else:
                self._loop.after(RENEW_RETRY_MS, lambda: self._renew(generation))

        self._store.renew_lease(self._lease, on_reply, RENEW_TIMEOUT_MS)


def _decode_holder(item: Item) -> Holder | None:
    try:
        row = json.loads(item.value or b"")
        return Holder(str(row["process"]), str(row["address"]), item.revision)
    except (KeyError, TypeError, ValueError) as error:
        _log.warning("unreadable leader record", error=repr(error))
        return None

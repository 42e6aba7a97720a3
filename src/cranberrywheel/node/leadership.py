"""Leader election by a lease in the store, with a fencing token that increases."""

import dataclasses
import json
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.json_body import FIELD_ERRORS, decode_object, read_count
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.keys import HANDOVER_KEY, LEADER_KEY, TERM_KEY
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply, Write

#: Time to live of the leader's lease. The loss of a leader is detected within it; runs
#: survive the takeover because the lease of an executor is longer.
LEADER_LEASE_MS = 1_200
#: Interval between renewals.
RENEW_INTERVAL_MS = 200
#: Remaining validity below which renewals are overdue, since two got no answer, and
#: their interval from then on. Eight more fit into the lease.
OVERDUE_VALIDITY_MS = 650
OVERDUE_RENEW_INTERVAL_MS = 100
#: Timeout of a renewal. After two failed direct renewals one through a relay peer still
#: fits into the lease; a slow store answers in 250 ms.
RENEW_TIMEOUT_MS = 350
#: The leader stops this long before its lease can expire in the store.
LEASE_SAFETY_MARGIN_MS = 150
#: Processor and link with which a machine has full capacity for the scheduler, which
#: uses up to half a core and 10 Mbit/s during a burst in the largest known deployment,
#: with 180 executors.
FULL_CAPACITY_CORES = 1.0
FULL_CAPACITY_LINK_MBPS = 50.0
#: Acquisition delay of a machine with capacity 0; it falls linearly to 0 at capacity 1.
MAX_CAPACITY_DELAY_MS = 1_000
#: A candidate with at least this multiple of the own capacity counts as larger and is
#: given precedence.
LARGER_CAPACITY_RATIO = 1.25
#: Additional acquisition delay while a larger candidate is registered.
LARGER_CANDIDATE_DELAY_MS = 1_000
#: Time for which a smaller machine leads before it hands over. It exceeds the lease of
#: a member record, so that an unreachable larger machine is no longer registered.
MIN_LEADERSHIP_MS = 6_000
#: Factor by which that time grows with each handover to a larger candidate, so that
#: handovers become rare when no larger machine acquires the leadership.
HANDOVER_BACKOFF_FACTOR = 4
#: Longest acquisition delay for uptime, which adds 1 ms for each second of uptime.
MAX_UPTIME_DELAY_MS = 100
#: Interval between attempts to acquire the leadership.
ACQUIRE_RETRY_MS = 200

_log = ComponentLogger("leadership")


def scheduling_capacity(cores: float, link_mbps: float) -> float:
    """Return the capacity of a machine for running the scheduler, from 0 to 1.

    :param cores: processor capacity in cores.
    :param link_mbps: bandwidth of the network link in Mbit/s.
    """
    return min(1.0, cores / FULL_CAPACITY_CORES, link_mbps / FULL_CAPACITY_LINK_MBPS)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A process as a candidate for the leadership.

    :param process: unique name of the process, which changes with each start.
    :param address: ``host:port`` of its peer service.
    :param capacity: capacity of its machine, from :func:`scheduling_capacity`.
    """

    process: str
    address: str
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The process that holds the leadership.

    :param process: unique name of the process.
    :param address: ``host:port`` of its peer service.
    :param fence: fencing token: the revision of its record, which increases with each
        leadership.
    """

    process: str
    address: str
    fence: int


class Leadership:
    """Watches the leadership and acquires it when it is vacant.

    All methods run on the loop's thread.

    :param candidate: this process.
    :param largest_candidate_capacity: returns the largest capacity among the other
        candidates, which are the other registered processes; 0 if there is none.
    :param may_compete: returns whether this process can lead at all.
    :param on_acquired: called with the fencing token, the term, and the previous
        leadership's fencing token.
    :param on_lost: called when this process must stop scheduling.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        candidate: Candidate,
        largest_candidate_capacity: t.Callable[[], float],
        may_compete: t.Callable[[], bool],
        on_acquired: t.Callable[[int, int, int], None],
        on_lost: t.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._candidate = candidate
        self._largest_candidate_capacity = largest_candidate_capacity
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
            loop, store, LEADER_KEY, self._on_leader_record, self._on_first_read
        )

    @property
    def is_leader(self) -> bool:
        """Whether this process leads; its lease may have expired since."""
        return bool(self.fence)

    def has_valid_lease(self) -> bool:
        """Whether this process leads and its lease has certainly not expired."""
        return bool(self.fence) and self._loop.clock.now_ms() < self._valid_until_ms

    def start(self) -> None:
        """Start to watch the leadership and to compete for it."""
        self._watch.start()
        self._loop.after(ACQUIRE_RETRY_MS, self._on_retry_timer)

    @property
    def should_hand_over(self) -> bool:
        """Whether this leader should hand over to a larger machine."""
        if not self.has_valid_lease() or not self._has_larger_candidate():
            return False
        return self._loop.clock.now_ms() - self._acquired_ms >= self._min_leadership_ms

    def release(self, handover_record: t.Callable[[], bytes], reason: str) -> None:
        """Release the leadership, so that another process can acquire it immediately.

        :param handover_record: called after ``on_lost``; returns the encoded handover
            record for the successor.
        :param reason: reason that is logged.
        """
        if not self.fence:
            return
        fence = self.fence
        if self._has_larger_candidate():
            self._min_leadership_ms *= HANDOVER_BACKOFF_FACTOR
        self._stop_leading(reason)
        write = Write(
            conditions=((LEADER_KEY, fence),),
            puts=((HANDOVER_KEY, handover_record(), 0),),
            deletes=(LEADER_KEY,),
        )

        def on_reply(reply: StoreReply) -> None:
            # If the write fails, the lease expires within about a second.
            _log.event("leadership released", fence=fence, outcome=reply.outcome.value)

        self._store.write(write, on_reply)

    def step_down(self, reason: str) -> None:
        """Stop leading because there is a newer leader.

        :param reason: reason that is logged.
        """
        if self.fence:
            self._stop_leading(reason)

    def _on_retry_timer(self) -> None:
        self._loop.after(ACQUIRE_RETRY_MS, self._on_retry_timer)
        self._try_acquire()

    def _on_first_read(self) -> None:
        self._initial_read_done = True
        self._try_acquire()

    def _on_leader_record(self, item: Item) -> None:
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
        """Return the time for which a vacant leadership is left to other candidates.

        Larger machines have precedence, and so have recently started processes, since
        a rolling restart has already passed them.
        """
        uptime_ms = self._loop.clock.now_ms() - self._started_ms
        # 1 ms of delay for each second of uptime.
        delay_ms = min(MAX_UPTIME_DELAY_MS, uptime_ms // 1_000)
        delay_ms += round((1.0 - self._candidate.capacity) * MAX_CAPACITY_DELAY_MS)
        return delay_ms + (
            LARGER_CANDIDATE_DELAY_MS if self._has_larger_candidate() else 0
        )

    def _has_larger_candidate(self) -> bool:
        return (
            self._largest_candidate_capacity()
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
            self._store.read(TERM_KEY, on_term_read)

        def on_term_read(reply: StoreReply) -> None:
            if reply.outcome not in (Outcome.OK, Outcome.ABSENT):
                self._acquiring = False
                return
            item = reply.items[0] if reply.outcome is Outcome.OK else None
            term = _decode_term(item) + 1 if item else 0
            # The term is written together with the leader record, so its revision is
            # the fencing token of the previous leadership; 0 if there was none.
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
            # One write, so that the fencing token and the term change together.
            self._store.write(write, lambda result: on_written(result, term, revision))

        def on_written(reply: StoreReply, term: int, previous_fence: int) -> None:
            self._acquiring = False
            if reply.outcome is Outcome.OK:
                self._begin_leadership(reply.revision, term, previous_fence)
            else:
                # If the outcome is unknown, the record may still be written. Its lease
                # is not renewed, so it expires and a later attempt can succeed.
                _log.event("leadership not acquired", outcome=reply.outcome.value)

        self._store.grant_lease(LEADER_LEASE_MS, on_lease)

    def _begin_leadership(self, fence: int, term: int, previous_fence: int) -> None:
        if self._loop.clock.now_ms() >= self._valid_until_ms:
            _log.warning(
                "leadership not used: its lease may have expired already", fence=fence
            )
            return
        self.fence = fence
        candidate = self._candidate
        self.holder = Holder(candidate.process, candidate.address, fence)
        self._generation += 1
        self._acquired_ms = self._loop.clock.now_ms()
        _log.event(
            "leadership acquired", fence=fence, term=term, capacity=candidate.capacity
        )
        generation = self._generation
        self._loop.after(RENEW_INTERVAL_MS, lambda: self._renew(generation))
        self._on_leadership_acquired(fence, term, previous_fence)

    def _stop_leading(self, reason: str) -> None:
        _log.event("stopped leading", fence=self.fence, reason=reason)
        self.fence = 0
        self._lease = 0
        self._generation += 1
        if self.holder and self.holder.process == self._candidate.process:
            self.holder = None
        self._on_leadership_lost()

    def _renew(self, generation: int) -> None:
        """Renew the lease in each interval, also while a renewal is not answered.

        A store that loses a third of its answers would otherwise delay each renewal
        by a timeout, and three in a row end the lease.
        """
        if generation != self._generation:
            return
        sent_ms = self._loop.clock.now_ms()
        is_overdue = self._valid_until_ms - sent_ms < OVERDUE_VALIDITY_MS
        interval_ms = OVERDUE_RENEW_INTERVAL_MS if is_overdue else RENEW_INTERVAL_MS
        self._loop.after(interval_ms, lambda: self._renew(generation))

        def on_reply(reply: StoreReply) -> None:
            if generation != self._generation:
                return
            if reply.outcome is Outcome.OK:
                ttl_ms = reply.ttl_ms or LEADER_LEASE_MS
                self._valid_until_ms = max(
                    self._valid_until_ms, sent_ms + ttl_ms - LEASE_SAFETY_MARGIN_MS
                )
            elif reply.outcome is Outcome.ABSENT:
                self._stop_leading("the lease has expired")

        self._store.renew_lease(self._lease, on_reply, RENEW_TIMEOUT_MS)


def _decode_holder(item: Item) -> Holder | None:
    try:
        row = decode_object(item.value or b"")
        return Holder(str(row["process"]), str(row["address"]), item.revision)
    except FIELD_ERRORS as error:
        _log.warning(
            "leader record cannot be decoded; leader unknown", error=repr(error)
        )
        return None


def _decode_term(item: Item) -> int:
    """Decode the number of the latest leadership, or return one that is at least it.

    Each leadership adds a revision to the store, so that the revision of the record is
    higher than the number of any leadership up to then.
    """
    try:
        return read_count(item.value, item.revision)
    except FIELD_ERRORS as error:
        _log.warning(
            "number of the leadership cannot be decoded; using its revision",
            revision=item.revision,
            error=repr(error)[:200],
        )
        return item.revision

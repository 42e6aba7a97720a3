"""Route to the store: direct calls or, while these fail, a peer that relays them."""

import dataclasses
import typing as t
import zlib

from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.json_body import FIELD_ERRORS, decode_object
from cranberrywheel.logs import ComponentLogger

STATUS_PATH = "/peer/status"
#: Path prefix under which a peer relays calls to the store.
RELAY_PREFIX = "/relay"
#: Consecutive unanswered calls after which the store counts as unreachable.
FAILURES_UNTIL_UNREACHABLE = 2
#: Time without an answer after which the store counts as unreachable after one failed
#: call.
SILENCE_UNTIL_UNREACHABLE_MS = 900
#: Time without an answer from which a call that timed out counts as failed. While the
#: store is there, each process gets answers more often.
MIN_SILENCE_MS = 400
#: Interval between polls of the peers while the store is unreachable.
PEER_POLL_INTERVAL_MS = 250
#: Timeout of a call to a peer; the round trip between zones takes about 1 ms.
PEER_TIMEOUT_MS = 400
#: Time for which a peer's report is used.
REPORT_LIFETIME_MS = 1_000
#: Time for which a process that left the list of peers may come back unnoticed. It
#: covers a restart; one that returns while the store answers is listed again.
DEPARTURE_MEMORY_MS = 5_000
#: Time without a route after which the readiness check fails, so that the balancer
#: sends callers to other instances.
ISOLATION_DELAY_MS = 700
#: Time for which an outage is remembered: longer than every executor lease that a
#: leader may have extended without the store.
OUTAGE_MEMORY_MS = 8_000

_log = ComponentLogger("store-contact")


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerReport:
    sent_ms: int
    received_ms: int
    store_away: bool
    fence: int
    version: int


class StoreRoute:
    """Tracks whether the store answers and selects a relay peer while it does not.

    All methods run on the loop's thread.

    :param peers: returns the capacities of the other entry instances, by ``host:port``.
    :param probe: sends one direct call to the store.
    :param own_address: ``host:port`` of this process. Processes with different
        addresses prefer different peers, so that no peer relays the calls of all.
    :param on_version: called with the configuration version of each peer that reports,
        and its address.
    """

    def __init__(
        self,
        loop: HttpLoop,
        peers: t.Callable[[], t.Mapping[str, float]],
        probe: t.Callable[[], None],
        own_address: str = "",
        on_version: t.Callable[[int, str], None] = lambda version, address: None,
    ) -> None:
        self._loop = loop
        self._on_version = on_version
        self._peers = peers
        self._probe = probe
        self._own_address = own_address
        self._last_answer_ms = loop.clock.now_ms()
        self._failures = 0
        self._report_by_address: dict[str, _PeerReport] = {}
        self._last_seen_ms_by_address: dict[str, int] = {}
        self._had_peers = False
        self._relay_peer: str | None = None
        self._unreachable_since_ms = 0
        # A new process cannot know whether there was an outage, so it assumes one.
        self._last_unreachable_ms = loop.clock.now_ms()

    def start(self) -> None:
        """Start the periodic probes."""
        self._loop.after(PEER_POLL_INTERVAL_MS, self._on_timer)

    def record_call(self, answered: bool, timed_out: bool = False) -> None:
        """Record whether the store answered a direct call.

        :param timed_out: nothing was heard of the call. Such calls count only after a
            time without any answer, since a store that loses some answers is not away.
        """
        now_ms = self._loop.clock.now_ms()
        if answered:
            self._last_answer_ms = now_ms
            self._failures = 0
        elif timed_out and now_ms - self._last_answer_ms < MIN_SILENCE_MS:
            return
        else:
            self._failures += 1
            if self._failures == 1:
                self._poll_peers()  # reports are then available if the next call fails
        self._update_state()

    @property
    def is_unreachable(self) -> bool:
        """Whether direct calls to the store fail."""
        return self._unreachable_since_ms > 0

    @property
    def unreachable_ms(self) -> int:
        """Time for which direct calls to the store have failed; 0 if they do not."""
        if not self.is_unreachable:
            return 0
        return self._loop.clock.now_ms() - self._unreachable_since_ms

    def relay_peer(self) -> str | None:
        """Return the address of the relay peer; ``None`` for direct calls."""
        return self._relay_peer if self.is_unreachable else None

    @property
    def has_route(self) -> bool:
        """Whether calls can reach the store, directly or through a peer."""
        return not self.is_unreachable or self._relay_peer is not None

    def is_unreachable_for_all(self, fence: int) -> bool:
        """Whether no instance can reach the store and no peer knows a newer leader.

        Requires a recent report from every peer. A peer that left the list shortly
        before the store was last reached, or later, may have come back since and lead;
        an empty list proves nothing if it had peers before.

        :param fence: fencing token of the leadership that this process holds.
        """
        peers = self._peers()
        if (self._had_peers and not peers) or self._find_departed(peers):
            return False
        return self._is_unreachable_for(fence, peers)

    def _is_unreachable_for(self, fence: int, addresses: t.Iterable[str]) -> bool:
        """Whether neither this process nor others reach the store or a newer leader."""
        if not self.is_unreachable:
            return False
        now_ms = self._loop.clock.now_ms()
        for address in addresses:
            report = self._report_by_address.get(address)
            if report is None or now_ms - report.received_ms > REPORT_LIFETIME_MS:
                return False
            if not report.store_away or report.fence > fence:
                return False
        return True

    def is_isolated(self, fence: int) -> bool:
        """Whether callers should use other instances, since those may reach the store.

        :param fence: fencing token of the leadership that this process holds.
        """
        now_ms = self._loop.clock.now_ms()
        return (
            self.is_unreachable
            and now_ms - self._unreachable_since_ms > ISOLATION_DELAY_MS
            and self._relay_peer is None
            and not self._is_unreachable_for(fence, self._peers())
        )

    def was_recently_unreachable(self) -> bool:
        """Whether a leader may recently have continued without the store."""
        if self.is_unreachable:
            return True
        return self._loop.clock.now_ms() - self._last_unreachable_ms < OUTAGE_MEMORY_MS

    def _update_state(self) -> None:
        now_ms = self._loop.clock.now_ms()
        unreachable = self._failures >= FAILURES_UNTIL_UNREACHABLE or (
            self._failures > 0
            and now_ms - self._last_answer_ms > SILENCE_UNTIL_UNREACHABLE_MS
        )
        if unreachable and not self._unreachable_since_ms:
            self._unreachable_since_ms = now_ms
            _log.warning(
                "store does not answer; selecting a relay peer", failures=self._failures
            )
            self._select_relay_peer()
            self._poll_peers()
        elif not unreachable and self._unreachable_since_ms:
            _log.event(
                "store answers again", after_ms=now_ms - self._unreachable_since_ms
            )
            self._unreachable_since_ms = 0
            self._last_unreachable_ms = now_ms
            self._relay_peer = None
            self._report_by_address.clear()

    def _on_timer(self) -> None:
        self._loop.after(PEER_POLL_INTERVAL_MS, self._on_timer)
        self._note_peers()
        if self.is_unreachable:
            self._probe()
            self._poll_peers()

    def _note_peers(self) -> None:
        """Note which peers are listed, and forget those that left long ago."""
        now_ms = self._loop.clock.now_ms()
        peers = self._peers()
        self._had_peers = self._had_peers or bool(peers)
        departed = self._find_departed(peers)
        self._last_seen_ms_by_address = {
            address: self._last_seen_ms_by_address[address] for address in departed
        } | dict.fromkeys(peers, now_ms)

    def _find_departed(self, peers: t.Container[str]) -> list[str]:
        """Return former peers that left shortly before the store was last reached."""
        earliest_ms = self._last_answer_ms - DEPARTURE_MEMORY_MS
        return [
            address
            for address, seen_ms in self._last_seen_ms_by_address.items()
            if address not in peers and seen_ms > earliest_ms
        ]

    def _poll_peers(self) -> None:
        sent_ms = self._loop.clock.now_ms()
        for address in self._peers():
            request = HttpRequest(
                "GET", address, STATUS_PATH, timeout_ms=PEER_TIMEOUT_MS
            )
            self._loop.call(
                request,
                lambda reply, peer=address: self._on_peer_report(peer, reply, sent_ms),
            )

    def _on_peer_report(self, address: str, reply: HttpReply, sent_ms: int) -> None:
        """Apply a peer's report, unless that of a later poll was applied before.

        :param sent_ms: steady time at which the poll was sent, in milliseconds.
        """
        latest = self._report_by_address.get(address)
        if latest is not None and sent_ms < latest.sent_ms:
            return
        try:
            body = decode_object(reply.body)
            report = _PeerReport(
                sent_ms,
                self._loop.clock.now_ms(),
                bool(body["store_away"]),
                int(body["fence"]),
                int(body["version"]),
            )
        except FIELD_ERRORS:
            self._report_by_address.pop(address, None)
            if self._relay_peer == address:
                self._select_relay_peer()
            return
        self._report_by_address[address] = report
        self._on_version(report.version, address)
        if not self.is_unreachable:
            return
        if not report.store_away or self._relay_peer == address:
            self._select_relay_peer()

    def _select_relay_peer(self) -> None:
        now_ms = self._loop.clock.now_ms()
        capacity_by_address = self._peers()
        usable_peers = [
            address
            for address, report in self._report_by_address.items()
            if not report.store_away
            and now_ms - report.received_ms <= REPORT_LIFETIME_MS
        ]

        def rank(address: str) -> tuple[float, int]:
            capacity = capacity_by_address.get(address, 0.0)
            return capacity, zlib.crc32(f"{self._own_address} {address}".encode())

        chosen = max(usable_peers, key=rank, default=None)
        all_have_reported = now_ms - self._unreachable_since_ms > PEER_TIMEOUT_MS
        if all_have_reported and self._relay_peer in usable_peers and chosen:
            # Only a larger peer is worth a change.
            if rank(chosen)[0] <= rank(self._relay_peer)[0]:
                chosen = self._relay_peer
        if chosen != self._relay_peer and self.is_unreachable:
            _log.event("relay peer selected", helper=chosen or "none")
        self._relay_peer = chosen

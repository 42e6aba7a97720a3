"""Keeps the evacuated availability zones of one process up to date.

Load pattern: an operator evacuates a zone while watches are silent, the history is
compacted, a process is cut off from the store or the leader changes, and hundreds of
tasks a second start. Processes announce what they learn, and the leader reads the zones
again as soon as it knows too little to start anything.
"""

import json
import random
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.json_body import FIELD_ERRORS, decode_object, read_list
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.configuration_sync import (
    PEER_TIMEOUT_MS,
    SHORTEST_WATCH_WAIT_MS,
    select_announcement_targets,
)
from cranberrywheel.node.watch import RETRY_MS, WATCH_WAIT_MS
from cranberrywheel.platform.evacuations import (
    EVACUATION_PREFIX,
    decode_zone,
    is_valid_request,
)
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply
from cranberrywheel.submission.evacuation import (
    EvacuatedZones,
    ZoneChange,
    apply_changes,
    compute_max_age_ms,
    replace_zones,
)

#: Path on which peers announce and exchange the evacuated zones.
EVACUATIONS_PATH = "/peer/evacuations"
#: Part of the largest age from which the leader reads the zones again, so that a read
#: that fails can be repeated before starts have to wait.
REFRESH_FRACTION = 0.5
#: Shortest time between two such reads.
REFRESH_INTERVAL_MS = 250

_log = ComponentLogger("evacuation")


class EvacuationSync:
    """Evacuated zones as one process knows them. All methods run on the loop's thread.

    :param peer_store: client that reads through a peer, the other route to the store.
    :param peers: returns ``host:port`` of the other processes.
    :param own_address: ``host:port`` on which this process serves its peers.
    :param evacuation_ms: time within which an evacuation must take effect.
    :param on_change: called after the zones or their confirmation have changed.
    :ivar known: the evacuated zones.
    """

    def __init__(
        self,
        loop: HttpLoop,
        store: Store,
        peer_store: Store,
        peers: t.Callable[[], t.Iterable[str]],
        own_address: str,
        evacuation_ms: int,
        on_change: t.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._peer_store = peer_store
        self._peers = peers
        self._own_address = own_address
        self._on_change = on_change
        self._max_age_ms = compute_max_age_ms(evacuation_ms)
        self.known = EvacuatedZones()
        #: Steady time at which the call was sent that last confirmed the zones; before
        #: the first confirmation -1.
        self._confirmed_ms = -1
        self._required_ms = 0
        self._refreshed_ms = 0
        self._refreshes = 0
        self._logged_unreadable: dict[str, int] = {}

    def start(self) -> None:
        """Read the zones and watch them."""
        sent_ms = self._loop.clock.now_ms()

        def on_read(reply: StoreReply) -> None:
            if reply.outcome is Outcome.OK:
                self._apply_read(reply, sent_ms, "store")
                self._watch()
            else:
                self._loop.after(RETRY_MS, self.start)

        self._store.read_all(EVACUATION_PREFIX, on_read)

    def _watch(self) -> None:
        sent_ms = self._loop.clock.now_ms()

        def on_events(reply: StoreReply) -> None:
            if reply.outcome is not Outcome.OK:
                _log.event(
                    "watch failed; reading the evacuated zones again",
                    outcome=reply.outcome.value,
                    age_ms=self.age_ms,
                )
                self.start()
                return
            changes = [self._decode_change(item) for item in reply.items]
            known = apply_changes(self.known, changes, reply.revision)
            self._confirm(known, sent_ms, "watch")
            self._watch()

        # The times vary, so that the watches of different processes do not all time out
        # together.
        wait_ms = random.randint(SHORTEST_WATCH_WAIT_MS, WATCH_WAIT_MS)
        self._store.watch(EVACUATION_PREFIX, self.known.revision, wait_ms, on_events)

    def _decode_change(self, item: Item) -> ZoneChange:
        is_readable = is_valid_request(item)
        if item.value is not None and not is_readable:
            self._log_unreadable(item)
        return ZoneChange(
            decode_zone(item.key), item.revision, item.value is not None, is_readable
        )

    def _log_unreadable(self, item: Item) -> None:
        if self._logged_unreadable.get(item.key) != item.revision:
            self._logged_unreadable[item.key] = item.revision
            _log.warning(
                "evacuation cannot be read; ignored",
                key=item.key,
                value=(item.value or b"")[:40],
            )

    def _apply_read(self, reply: StoreReply, sent_ms: int, source: str) -> None:
        changes = [self._decode_change(item) for item in reply.items]
        read = EvacuatedZones(
            reply.revision,
            frozenset(change.zone for change in changes if change.is_readable),
            frozenset(change.zone for change in changes if not change.is_readable),
        )
        # The keys are gone whose values would be logged again.
        keys = {item.key for item in reply.items}
        for key in self._logged_unreadable.keys() - keys:
            del self._logged_unreadable[key]
        self._confirm(replace_zones(self.known, read), sent_ms, source)

    def _confirm(self, known: EvacuatedZones, sent_ms: int, source: str) -> None:
        """Take the zones from an answer of the store.

        They hold as of the time at which the call was sent, also if the answer is older
        than what is known.
        """
        was_current = self.is_current
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)
        is_changed = self._adopt(known, source)
        if is_changed or not was_current:
            self._on_change()

    def _adopt(self, known: EvacuatedZones, source: str) -> bool:
        """Replace what is known; tells whether the zones differ, and announces them."""
        before, self.known = self.known, known
        for zone in sorted(known.zones - before.zones):
            self._log_zone("evacuation of a zone begins", zone, source)
        for zone in sorted(before.zones - known.zones):
            self._log_zone("evacuation of a zone ends", zone, source)
        is_changed = known.zones != before.zones
        if is_changed or known.unreadable != before.unreadable:
            self._announce()
        return is_changed

    def _log_zone(self, event: str, zone: str, source: str) -> None:
        _log.event(event, zone=zone, revision=self.known.revision, source=source)

    # Age of the knowledge

    @property
    def age_ms(self) -> int:
        """Time since the call was sent that last confirmed the zones."""
        return self._loop.clock.now_ms() - max(0, self._confirmed_ms)

    @property
    def is_current(self) -> bool:
        """Whether the zones are known well enough to start runs."""
        return (
            self._confirmed_ms >= self._required_ms and self.age_ms <= self._max_age_ms
        )

    def require_read(self) -> None:
        """Let nothing be current that was read before now, as at a takeover."""
        self._required_ms = self._loop.clock.now_ms()
        self._refreshed_ms = 0
        self._refreshes = 0
        self.refresh_if_old()

    def refresh_if_old(self) -> None:
        """Read the zones if starts will have to wait soon, as the leader does often."""
        now_ms = self._loop.clock.now_ms()
        is_old = self.age_ms >= REFRESH_FRACTION * self._max_age_ms
        if not is_old and self._confirmed_ms >= self._required_ms:
            self._refreshes = 0
            return
        if self._refreshed_ms and now_ms - self._refreshed_ms < REFRESH_INTERVAL_MS:
            return
        self._refreshed_ms = now_ms
        # A second read goes by the other route, since the first may be cut off.
        through_peer = self._refreshes % 2 == 1
        self._refreshes += 1
        if not self.is_current:
            _log.event(
                "no starts until the evacuated zones are read",
                age_ms=self.age_ms,
                route="peer" if through_peer else "store",
            )
        store = self._peer_store if through_peer else self._store

        def on_read(reply: StoreReply) -> None:
            if reply.outcome is Outcome.OK:
                self._apply_read(reply, now_ms, "peer" if through_peer else "store")

        store.read_all(EVACUATION_PREFIX, on_read)

    # Announcements

    def _encode(self) -> dict[str, t.Any]:
        return {
            "revision": self.known.revision,
            "zones": sorted(self.known.zones),
            "unreadable": sorted(self.known.unreadable),
        }

    def _announce(self) -> None:
        body = json.dumps(self._encode()).encode()
        for address in select_announcement_targets(self._own_address, self._peers()):
            request = HttpRequest(
                "POST", address, EVACUATIONS_PATH, body, timeout_ms=PEER_TIMEOUT_MS
            )
            self._loop.call(request, self._on_answer)

    def _on_answer(self, reply: HttpReply) -> None:
        """Take the zones of a peer that has newer ones from its answer."""
        if reply.status == 200:
            self._take_announcement(reply.body)

    def answer_announcement(self, body: bytes) -> dict[str, t.Any]:
        """Take the zones that a peer announces if newer, and return the own."""
        self._take_announcement(body)
        return self._encode()

    def _take_announcement(self, body: bytes) -> None:
        try:
            row = decode_object(body)
            read = EvacuatedZones(
                int(row["revision"]),
                frozenset(map(str, read_list(row["zones"]))),
                frozenset(map(str, read_list(row["unreadable"]))),
            )
        except FIELD_ERRORS as error:
            _log.warning("announcement cannot be decoded", error=repr(error)[:200])
            return
        if read.revision > self.known.revision:
            if self._adopt(replace_zones(self.known, read), "peer"):
                self._on_change()

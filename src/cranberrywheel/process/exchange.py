"""State that entry processes exchange.

It consists of configuration versions, freshness proofs, revocation tombstones and
load.
"""

import dataclasses
import re
import threading
import typing as t

from cranberrywheel.clock import Clock
from cranberrywheel.connection.store_client import InstanceList, Record
from cranberrywheel.errors import PeerError, StoreError
from cranberrywheel.generated.peer_pb2 import ConfigurationRecord, PeerState
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process.membership import (
    Membership,
    Registration,
    build_own_registration,
    is_address,
)
from cranberrywheel.process.messages import (
    ConfigurationAdopted,
    FreshnessProven,
    KeyRevoked,
    LoadReport,
    PeerLoad,
    PeerLost,
    PeerReport,
)
from cranberrywheel.settings import EntrySettings
from cranberrywheel.version.active_configuration import ActiveConfiguration
from cranberrywheel.version.freshness import FreshnessTracker
from cranberrywheel.version.snapshot import ConfigurationSnapshot

#: Number of consecutive exchanges that may fail before a peer is reported as lost.
MISSED_EXCHANGES = 5
#: Larger ages are not sent, because no freshness bound in use is that long.
MAX_AGE_MS = 3_600_000
#: Largest number of items in each list of a peer's message.
MAX_ITEMS = 100_000
#: Age of the newest store read, relative to the freshness bound, from which the
#: store counts as down. Entries read the store at 0.4 to 0.7 of the bound.
STORE_DOWN_FRACTION = 0.75
_NAME = re.compile(r"[A-Za-z0-9_.:-]{1,200}")

_log = ComponentLogger("exchange")


def check_names(names: t.Iterable[str]) -> None:
    """Check the identifiers in a peer's message.

    :raises PeerError: if one is malformed.
    """
    if not all(_NAME.fullmatch(name) for name in names):
        raise PeerError(
            "A peer sent a malformed identifier.", "Check the peer's version."
        )


def check_state(state: PeerState) -> None:
    """Check the fields of a peer's message.

    :raises PeerError: if a field is malformed or a list is too long.
    """
    check_names([state.process_id, state.zone])
    check_names(word.process_id for word in state.words)
    check_names(mark.key_id for mark in state.marks)
    if not state.process_id.startswith(f"{state.zone}."):
        raise PeerError(
            f"Peer {state.process_id} does not belong to its zone {state.zone}.",
            "Check the peer's settings.",
        )
    for address in (state.http_address, state.peer_address):
        if not is_address(address):
            raise PeerError(
                f"Peer {state.process_id} sent a malformed address.",
                "Check the peer's settings.",
            )
    if state.configuration_version < 0:
        raise PeerError(
            f"Peer {state.process_id} sent a negative configuration version.",
            "Check the peer's version.",
        )
    sizes = (len(state.words), len(state.marks), len(state.loads), len(state.workers))
    if max(sizes) > MAX_ITEMS:
        raise PeerError(
            f"Peer {state.process_id} sent {max(sizes)} items, "
            f"the limit is {MAX_ITEMS}.",
            "Check the peer's version.",
        )


class PeerExchange:
    """State that this process sends to its peers and receives from them.

    Used by the store session and by the peer service; a lock guards the state.
    Ages in a message are used only if the message answers a call of this process:
    then the time since the call was sent bounds the age of the message. An
    unsolicited message may have been delayed for any length of time.

    :param settings: of this process.
    :param clock: own clock.
    :param process_id: id of this process.
    :param to_dispatcher: receives messages for the dispatcher.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        process_id: str,
        to_dispatcher: t.Callable[[object], None],
    ) -> None:
        self.process_id = process_id
        self.registration = build_own_registration(settings, process_id)
        self.active_configuration = ActiveConfiguration(self._on_adopted)
        self._settings = settings
        self._clock = clock
        self._to_dispatcher = to_dispatcher
        self._lock = threading.RLock()
        self._membership = Membership(process_id)
        self._proof = FreshnessTracker()
        self._store_read = FreshnessTracker()
        self._tombstones: set[str] = set()
        self._states_by_id: dict[str, PeerState] = {}
        self._last_seen_ms_by_id: dict[str, int] = {}
        self._roster_read_ms: int | None = None
        self._load = LoadReport((), {}, (), False)

    def _on_adopted(self, snapshot: ConfigurationSnapshot) -> None:
        self._to_dispatcher(ConfigurationAdopted(snapshot))

    # Called by the store session.

    def set_roster(self, registrations: list[Registration], read_ms: int) -> None:
        """Use the registered entries that were read from the store.

        :param read_ms: own clock reading before the read was sent.
        """
        with self._lock:
            self._membership.set_roster(registrations)
            self._roster_read_ms = read_ms

    def has_roster_since(self, at_ms: int) -> bool:
        """Tell whether the roster was read from the store at or after a time.

        :param at_ms: own clock reading.
        """
        with self._lock:
            return self._roster_read_ms is not None and self._roster_read_ms >= at_ms

    def set_instances(self, listed: InstanceList) -> None:
        """Use the platform's new instance list."""
        with self._lock:
            self._membership.set_instances(listed)

    def record_store_read(self, sent_ms: int) -> None:
        """Record that the configuration was read from the store and adopted.

        :param sent_ms: own clock reading before the read was sent.
        """
        with self._lock:
            self._store_read.record_proof(sent_ms)
        self._record_proof(sent_ms)

    def store_read_age_ms(self) -> int | None:
        """Return the age of the newest store read by this entry or a peer.

        :returns: milliseconds, or ``None`` if no read is known.
        """
        with self._lock:
            return self._store_read.age_ms(self._clock.now_ms())

    def _record_proof(self, proven_ms: int) -> None:
        """Record that every key revocation accepted up to a time is known here.

        :param proven_ms: own clock reading.
        """
        with self._lock:
            if self._proof.record_proof(proven_ms):
                self._to_dispatcher(FreshnessProven(proven_ms))

    def _is_store_down(self) -> bool:
        """Tell whether no entry is known to have read the store recently.

        Only then may the messages of all entries serve as a freshness proof: while
        the store is read, an entry may have registered that the roster here lacks.
        """
        age_ms = self.store_read_age_ms()
        bound_ms = self._settings.key_freshness_ms
        return age_ms is None or age_ms >= bound_ms * STORE_DOWN_FRACTION

    def add_tombstone(self, key_id: str) -> None:
        """Add a key revocation that may not be in the store yet."""
        snapshot = self.active_configuration.snapshot
        with self._lock:
            if key_id in self._tombstones:
                return
            if snapshot is not None and key_id in snapshot.revoked_key_ids:
                return
            self._tombstones.add(key_id)
            self._to_dispatcher(KeyRevoked(key_id))
        _log.event("key revoked here; writing it to the store later", key_id=key_id)

    def list_unwritten_tombstones(self) -> set[str]:
        """Return the ids of revoked keys that are not known to be in the store."""
        snapshot = self.active_configuration.snapshot
        with self._lock:
            if snapshot is not None:
                self._tombstones -= snapshot.revoked_key_ids
            return set(self._tombstones)

    def list_confirmations(self, key_id: str) -> tuple[list[str], list[str]]:
        """List the entries that are known to refuse a revoked key, and the others.

        :returns: ids of the processes that confirmed, this one first, and ids of the
            processes that did not.
        """
        snapshot = self.active_configuration.snapshot
        is_stored = snapshot is not None and key_id in snapshot.revoked_key_ids
        confirmed, unconfirmed = [self.process_id], []
        with self._lock:
            for peer in self._membership.peers():
                state = self._states_by_id.get(peer.process_id)
                has_tombstone = state is not None and any(
                    mark.key_id == key_id for mark in state.marks
                )
                has_version = (
                    state is not None
                    and is_stored
                    and state.configuration_version >= snapshot.version
                )
                has_confirmed = has_tombstone or has_version
                (confirmed if has_confirmed else unconfirmed).append(peer.process_id)
        return confirmed, unconfirmed

    def list_recent_peer_ids(self) -> set[str]:
        """Return the ids of the peers that sent a message recently."""
        with self._lock:
            return set(self._last_seen_ms_by_id)

    # Called by the peer service.

    def set_load(self, load: LoadReport) -> None:
        """Set the load that the next exchanges report."""
        with self._lock:
            self._load = load

    def peers(self) -> list[Registration]:
        """Return the other entries that may be alive."""
        with self._lock:
            return self._membership.peers()

    def build_state(self) -> PeerState:
        """Build the message for a peer from the present state."""
        with self._lock:
            now_ms = self._clock.now_ms()
            # Proofs are read before the state that they cover, so that the version
            # and the tombstones can only be newer than the proof.
            proof_age_ms = self._proof.age_ms(now_ms)
            read_age_ms = self._store_read.age_ms(now_ms)
            last_report_ms_by_id = (
                self._membership.last_report_ms_by_id() if self._is_store_down() else {}
            )
            tombstones = self.list_unwritten_tombstones()
            own, load = self.registration, self._load
            state = PeerState(
                process_id=own.process_id,
                zone=own.zone,
                http_address=own.http_address,
                peer_address=own.peer_address,
                configuration_version=self.active_configuration.version,
                has_proof=proof_age_ms is not None and proof_age_ms < MAX_AGE_MS,
                leaving_instances=load.leaving_instances,
                stopping=load.stopping,
            )
            if state.has_proof:
                state.proof_age_ms = t.cast(int, proof_age_ms)
            if read_age_ms is not None and read_age_ms < MAX_AGE_MS:
                state.has_store_read, state.store_read_age_ms = True, read_age_ms
            for process_id, reported_ms in last_report_ms_by_id.items():
                if now_ms - reported_ms < MAX_AGE_MS:
                    state.words.add(process_id=process_id, age_ms=now_ms - reported_ms)
            for key_id in sorted(tombstones):
                state.marks.add(key_id=key_id)
            for row in load.loads:
                state.loads.add(**dataclasses.asdict(row))
            for worker, in_flight in load.in_flight_by_worker.items():
                state.workers.add(worker=worker, in_flight=in_flight)
            return state

    def merge_state(self, state: PeerState, sent_ms: int | None) -> bool:
        """Merge a peer's message.

        :param state: the message.
        :param sent_ms: own clock reading before the call that it answers, or
            ``None`` if the message is unsolicited.
        :returns: false if the peer has a higher configuration version. The caller
            then fetches and adopts it and merges the message again.
        :raises PeerError: if the message is malformed.
        """
        check_state(state)
        if state.process_id == self.process_id:
            return True
        for mark in state.marks:
            self.add_tombstone(mark.key_id)
        instance = state.process_id[len(state.zone) + 1 :].rpartition(".")[0]
        peer = Registration(
            state.process_id,
            instance,
            state.zone,
            state.http_address,
            state.peer_address,
        )
        with self._lock:
            self._membership.add_discovered(peer, answered=sent_ms is not None)
            self._states_by_id[state.process_id] = state
            self._last_seen_ms_by_id[state.process_id] = self._clock.now_ms()
        self._to_dispatcher(self._build_report(state))
        if state.configuration_version > self.active_configuration.version:
            return False
        if sent_ms is not None:
            self._merge_ages(state, sent_ms)
        return True

    def _merge_ages(self, state: PeerState, sent_ms: int) -> None:
        # Ages were valid when the answer was built, which was after the call was
        # sent. So the time of the call minus an age is not later than the real time.
        with self._lock:
            self._membership.record_report(state.process_id, sent_ms)
            for word in state.words:
                if word.process_id != self.process_id:
                    self._membership.record_report(
                        word.process_id, sent_ms - word.age_ms
                    )
            if state.has_store_read:
                self._store_read.record_proof(sent_ms - state.store_read_age_ms)
            known_until_ms = None
            if self._is_store_down():
                known_until_ms = self._membership.known_until_ms()
        if state.has_proof:
            self._record_proof(sent_ms - state.proof_age_ms)
        if known_until_ms is not None:
            self._record_proof(known_until_ms)

    @staticmethod
    def _build_report(state: PeerState) -> PeerReport:
        return PeerReport(
            process_id=state.process_id,
            zone=state.zone,
            http_address=state.http_address,
            peer_address=state.peer_address,
            stopping=state.stopping,
            loads=tuple(
                PeerLoad(
                    load.team, load.service, load.running, load.queued, load.idle_units
                )
                for load in state.loads
            ),
            in_flight_by_worker={load.worker: load.in_flight for load in state.workers},
            leaving_instances=tuple(state.leaving_instances),
        )

    def adopt_fetched(self, fetched: ConfigurationRecord) -> None:
        """Adopt a configuration record from a peer.

        :raises PeerError: if the record is malformed.
        """
        record = Record("configuration", fetched.record_json, fetched.version)
        try:
            self.active_configuration.adopt(record)
        except StoreError as error:
            raise PeerError(error.message, "Check the peer's version.") from None

    def get_newer_record(self, newer_than: int) -> ConfigurationRecord:
        """Return the adopted configuration record, or an empty one if not newer.

        :param newer_than: version that the peer has.
        """
        record = self.active_configuration.record
        if record is None or record.revision <= newer_than:
            return ConfigurationRecord()
        return ConfigurationRecord(version=record.revision, record_json=record.value)

    def drop_unresponsive_peers(self) -> None:
        """Report peers as lost that sent no message for several exchanges."""
        settings, now_ms = self._settings, self._clock.now_ms()
        with self._lock:
            rounds = 1
            if settings.exchange_fanout:
                count = len(self._membership.peers())
                rounds = max(1, -(-count // settings.exchange_fanout))
            timeout_ms = settings.exchange_interval_ms * MISSED_EXCHANGES * rounds
            unresponsive_ids = [
                process_id
                for process_id, last_seen_ms in self._last_seen_ms_by_id.items()
                if now_ms - last_seen_ms > timeout_ms
            ]
            for process_id in unresponsive_ids:
                del self._last_seen_ms_by_id[process_id]
                self._states_by_id.pop(process_id, None)
        for process_id in unresponsive_ids:
            _log.warning(
                "no message from peer; treating it as lost",
                peer=process_id,
                timeout_ms=timeout_ms,
            )
            self._to_dispatcher(PeerLost(process_id))

"""Knowledge that entries exchange: versions, proofs, withdrawal marks and load."""

import dataclasses
import re
import threading
import typing as t

from cranberrywheel.clock import Clock
from cranberrywheel.connection.store_client import InstanceList, Record
from cranberrywheel.errors import PeerError, StoreError
from cranberrywheel.generated.peer_pb2 import ConfigurationRecord, PeerState
from cranberrywheel.logs import PartLogger
from cranberrywheel.process.membership import (
    Membership,
    Registration,
    is_address,
    own_registration,
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
from cranberrywheel.version.adoption import ConfigurationHolder
from cranberrywheel.version.freshness import FreshnessTracker
from cranberrywheel.version.snapshot import ConfigurationSnapshot

#: Exchanges that may fail in a row before a peer is reported lost.
MISSED_EXCHANGES = 5
#: Ages above this are not sent: no bound in use is that long.
MAX_AGE_MS = 3_600_000
MAX_ITEMS = 100_000
#: Age of the newest store read, relative to the freshness bound, from which the
#: store counts as down. Entries read at 0.4 to 0.7 of the bound.
STORE_DOWN_FRACTION = 0.75
_NAME = re.compile(r"[A-Za-z0-9_.:-]{1,200}")

_log = PartLogger("exchange")


def check_names(names: t.Iterable[str]) -> None:
    """Check identifiers that a peer sent.

    :raises PeerError: if one is malformed.
    """
    if not all(_NAME.fullmatch(name) for name in names):
        raise PeerError("A peer sent a malformed identifier.", "Check its version.")


def check_state(state: PeerState) -> None:
    """Check the fields of a peer's state.

    :raises PeerError: naming the field.
    """
    check_names([state.process_id, state.zone])
    check_names(word.process_id for word in state.words)
    check_names(mark.key_id for mark in state.marks)
    if not state.process_id.startswith(f"{state.zone}."):
        raise PeerError("A peer's id is not of its zone.", "Check its settings.")
    for address in (state.http_address, state.peer_address):
        if not is_address(address):
            raise PeerError("A peer sent a malformed address.", "Check its settings.")
    if state.configuration_version < 0:
        raise PeerError("A peer sent a negative version.", "Check its version.")
    sizes = (len(state.words), len(state.marks), len(state.loads), len(state.workers))
    if max(sizes) > MAX_ITEMS:
        raise PeerError("A peer sent too many items.", "Check its version.")


class PeerExchange:
    """What this process tells its peers and learns from them.

    Used by the store session and by the peer service; a lock guards the state.
    Times in a message count only if it answers a call of this process: then the
    time since the call was sent bounds its age. A message that arrives unasked
    may have been delayed for any time.

    :param settings: of this process.
    :param clock: own clock.
    :param process_id: id of this process.
    :param to_dispatcher: takes messages for the dispatcher.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        process_id: str,
        to_dispatcher: t.Callable[[object], None],
    ) -> None:
        self.process_id = process_id
        self.registration = own_registration(settings, process_id)
        self.holder = ConfigurationHolder(self._adopted)
        self._settings = settings
        self._clock = clock
        self._to_dispatcher = to_dispatcher
        self._lock = threading.RLock()
        self._membership = Membership(process_id)
        self._proof = FreshnessTracker()
        self._store_read = FreshnessTracker()
        self._marks: set[str] = set()
        self._states_by_id: dict[str, PeerState] = {}
        self._seen_ms_by_id: dict[str, int] = {}
        self._roster_read_ms: int | None = None
        self._load = LoadReport((), {}, (), False)

    def _adopted(self, snapshot: ConfigurationSnapshot) -> None:
        self._to_dispatcher(ConfigurationAdopted(snapshot))

    # Called by the store session.

    def set_roster(self, registrations: list[Registration], read_ms: int) -> None:
        """Take the registered entries as read from the store.

        :param read_ms: own clock reading before the read was sent.
        """
        with self._lock:
            self._membership.set_roster(registrations)
            self._roster_read_ms = read_ms

    def has_roster_since(self, at_ms: int) -> bool:
        """Tell whether the roster was read from the store at or after a time."""
        with self._lock:
            return self._roster_read_ms is not None and self._roster_read_ms >= at_ms

    def set_instances(self, listed: InstanceList) -> None:
        """Take the platform's instance list."""
        with self._lock:
            self._membership.set_instances(listed)

    def record_store_read(self, taken_ms: int) -> None:
        """Note that the configuration was read from the store and adopted.

        :param taken_ms: own clock reading before the read was sent.
        """
        with self._lock:
            self._store_read.proven(taken_ms)
        self._prove(taken_ms)

    def store_read_age_ms(self) -> int | None:
        """Return the age of the newest store read by this entry or a peer.

        :returns: milliseconds, or ``None`` if there was none.
        """
        with self._lock:
            return self._store_read.age_ms(self._clock.now_ms())

    def _prove(self, taken_ms: int) -> None:
        """Note that every accepted withdrawal up to a time is known here."""
        with self._lock:
            if self._proof.proven(taken_ms):
                self._to_dispatcher(FreshnessProven(taken_ms))

    def _is_store_down(self) -> bool:
        """Tell whether no entry seems to have read the store lately.

        Only then proofs from the messages of all entries are used: the roster
        may lack an entry that registered since this process read the store.
        """
        age_ms = self.store_read_age_ms()
        bound_ms = self._settings.key_freshness_ms
        return age_ms is None or age_ms >= bound_ms * STORE_DOWN_FRACTION

    def add_tombstone(self, key_id: str) -> None:
        """Take a withdrawal that may not be in the store yet."""
        snapshot = self.holder.snapshot
        with self._lock:
            if key_id in self._marks:
                return
            if snapshot is not None and key_id in snapshot.withdrawn_ids:
                return
            self._marks.add(key_id)
            self._to_dispatcher(KeyRevoked(key_id))
        _log.event("marked key as withdrawn", key_id=key_id)

    def list_unwritten_tombstones(self) -> set[str]:
        """Return withdrawals that are not known to be in the store."""
        snapshot = self.holder.snapshot
        with self._lock:
            if snapshot is not None:
                self._marks -= snapshot.withdrawn_ids
            return set(self._marks)

    def list_confirmations(self, key_id: str) -> tuple[list[str], list[str]]:
        """Return which entries are known to refuse a withdrawn key.

        :returns: process ids that confirmed, this one first, and all others.
        """
        snapshot = self.holder.snapshot
        stored = snapshot is not None and key_id in snapshot.withdrawn_ids
        confirmed, unconfirmed = [self.process_id], []
        with self._lock:
            for peer in self._membership.peers():
                state = self._states_by_id.get(peer.process_id)
                has_mark = state is not None and any(
                    mark.key_id == key_id for mark in state.marks
                )
                has_version = (
                    state is not None
                    and stored
                    and state.configuration_version >= snapshot.version
                )
                known = has_mark or has_version
                (confirmed if known else unconfirmed).append(peer.process_id)
        return confirmed, unconfirmed

    def list_recent_peer_ids(self) -> set[str]:
        """Return the peers that sent a message lately."""
        with self._lock:
            return set(self._seen_ms_by_id)

    # Called by the peer service.

    def set_load(self, load: LoadReport) -> None:
        """Take the load that the next exchanges report."""
        with self._lock:
            self._load = load

    def peers(self) -> list[Registration]:
        """Return the other entries to exchange with."""
        with self._lock:
            return self._membership.peers()

    def build_state(self) -> PeerState:
        """Build the message for a peer from what is known now."""
        with self._lock:
            now_ms = self._clock.now_ms()
            # Everything that proves something is read before what it is about:
            # the version and the marks can only be newer than the proof.
            proof_age_ms = self._proof.age_ms(now_ms)
            read_age_ms = self._store_read.age_ms(now_ms)
            heard = (
                self._membership.last_report_ms_by_id() if self._is_store_down() else {}
            )
            marks = self.list_unwritten_tombstones()
            own, load = self.registration, self._load
            state = PeerState(
                process_id=own.process_id,
                zone=own.zone,
                http_address=own.http_address,
                peer_address=own.peer_address,
                configuration_version=self.holder.version,
                has_proof=proof_age_ms is not None and proof_age_ms < MAX_AGE_MS,
                leaving_instances=load.leaving_instances,
                stopping=load.stopping,
            )
            if state.has_proof:
                state.proof_age_ms = t.cast(int, proof_age_ms)
            if read_age_ms is not None and read_age_ms < MAX_AGE_MS:
                state.has_store_read, state.store_read_age_ms = True, read_age_ms
            for process_id, heard_ms in heard.items():
                if now_ms - heard_ms < MAX_AGE_MS:
                    state.words.add(process_id=process_id, age_ms=now_ms - heard_ms)
            for key_id in sorted(marks):
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
            ``None`` if it came unasked.
        :returns: false if the peer has a higher configuration version. Then fetch
            and adopt it and merge the message again.
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
            self._membership.learn(peer, answered=sent_ms is not None)
            self._states_by_id[state.process_id] = state
            self._seen_ms_by_id[state.process_id] = self._clock.now_ms()
        self._to_dispatcher(self._report(state))
        if state.configuration_version > self.holder.version:
            return False
        if sent_ms is not None:
            self._merge_ages(state, sent_ms)
        return True

    def _merge_ages(self, state: PeerState, sent_ms: int) -> None:
        # An age was valid when the answer was built, after the call was sent. So
        # the time of the call minus the age is not later than the real time.
        with self._lock:
            self._membership.heard(state.process_id, sent_ms)
            for word in state.words:
                if word.process_id != self.process_id:
                    self._membership.heard(word.process_id, sent_ms - word.age_ms)
            if state.has_store_read:
                self._store_read.proven(sent_ms - state.store_read_age_ms)
            known_until_ms = None
            if self._is_store_down():
                known_until_ms = self._membership.known_until_ms()
        if state.has_proof:
            self._prove(sent_ms - state.proof_age_ms)
        if known_until_ms is not None:
            self._prove(known_until_ms)

    @staticmethod
    def _report(state: PeerState) -> PeerReport:
        return PeerReport(
            process_id=state.process_id,
            zone=state.zone,
            http_address=state.http_address,
            peer_address=state.peer_address,
            stopping=state.stopping,
            loads=tuple(
                PeerLoad(x.team, x.service, x.running, x.queued, x.idle_units)
                for x in state.loads
            ),
            in_flight_by_worker={x.worker: x.in_flight for x in state.workers},
            leaving_instances=tuple(state.leaving_instances),
        )

    def adopt_fetched(self, fetched: ConfigurationRecord) -> None:
        """Adopt a configuration record from a peer.

        :raises PeerError: if the record is malformed.
        """
        record = Record("configuration", fetched.record_json, fetched.version)
        try:
            self.holder.adopt(record)
        except StoreError as error:
            raise PeerError(error.message, "Check the peer's version.") from None

    def get_newer_record(self, newer_than: int) -> ConfigurationRecord:
        """Return the adopted record, empty if it is not newer."""
        record = self.holder.record
        if record is None or record.revision <= newer_than:
            return ConfigurationRecord()
        return ConfigurationRecord(version=record.revision, record_json=record.value)

    def drop_unresponsive_peers(self) -> None:
        """Report peers as lost that sent nothing for several exchanges."""
        settings, now_ms = self._settings, self._clock.now_ms()
        with self._lock:
            rounds = 1
            if settings.exchange_fanout:
                count = len(self._membership.peers())
                rounds = max(1, -(-count // settings.exchange_fanout))
            timeout_ms = settings.exchange_interval_ms * MISSED_EXCHANGES * rounds
            silent = [
                process_id
                for process_id, seen_ms in self._seen_ms_by_id.items()
                if now_ms - seen_ms > timeout_ms
            ]
            for process_id in silent:
                del self._seen_ms_by_id[process_id]
                self._states_by_id.pop(process_id, None)
        for process_id in silent:
            _log.warning("lost peer", peer=process_id, timeout_ms=timeout_ms)
            self._to_dispatcher(PeerLost(process_id))

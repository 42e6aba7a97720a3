"""Quota, key and configuration state of several entries, without a network.

All entries share one in-memory store and one manual clock; no threads or sockets run.
"""

import concurrent.futures
import json
import typing as t

from cranberrywheel.clock import ManualClock
from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel.process.messages import (
    ApplyConfiguration,
    ConfigurationAdopted,
    CreateKey,
    FreshnessProven,
    QuotaDemand,
    QuotaLeaseRenewed,
    QuotaUnitsHeld,
    ReleaseQuotaUnits,
    RevokeKey,
)
from cranberrywheel.process.quota_units import QuotaLedger
from cranberrywheel.process.store_session import StoreSession
from cranberrywheel.settings import EntrySettings, PlatformSettings, QuotaSettings
from cranberrywheel.version.freshness import FreshnessTracker
from cranberrywheel_standin.direct_client import DirectStoreClient
from cranberrywheel_standin.platform import Platform


class SimulatedEntry:
    """Store session, peer exchange and quota ledger of one entry.

    A minimal dispatcher updates the ledger from messages and starts the requests
    counted in ``waiting_by_team``.

    :param group: provides the clock, the store and the quota settings.
    :param number: determines the instance's name and ports.
    :param zone: availability zone.
    :param start: last part of the process id; distinguishes successive processes of
        the same instance.
    """

    def __init__(self, group: "EntryGroup", number: int, zone: str, start: str) -> None:
        self.clock = group.clock
        self._group = group
        self.settings = EntrySettings(
            instance=f"e{number}",
            zone=zone,
            host="127.0.0.1",
            http_port=8000 + number,
            peer_port=9000 + number,
            operator_token_file="unused",
            platform=PlatformSettings(url="http://127.0.0.1:1"),
            limits=group.limits,
        )
        self.ledger = QuotaLedger(group.limits)
        self.freshness = FreshnessTracker()
        #: Adopted configuration versions, oldest first.
        self.versions: list[int] = []
        #: All messages sent to the dispatcher, oldest first.
        self.messages: list[object] = []
        #: Time in ms at which the worker lets the task lease of a request expire.
        self.lease_ends_by_request: dict[str, int] = {}
        self.waiting_by_team: dict[str, int] = {}
        self._started_count = 0
        #: A paused entry does no work; an isolated one exchanges with no peer.
        self.paused = self.isolated = False
        self.exchange = PeerExchange(
            self.settings, self.clock, f"{zone}.e{number}.{start}", self.dispatch
        )
        self.process_id = self.exchange.process_id
        #: Store clients in order of creation: the session's, then its reader's.
        self.clients: list[DirectStoreClient] = []
        self.session = StoreSession(
            self.settings, self.clock, self.dispatch, self.exchange, self._make_client
        )

    def _make_client(self, settings: PlatformSettings) -> t.Any:
        self.clients.append(DirectStoreClient(self._group.platform))
        return self.clients[-1]

    def dispatch(self, message: object) -> None:
        """Record a message and apply it as the real dispatcher does."""
        self.messages.append(message)
        match message:
            case QuotaUnitsHeld(team, long_units, short_units):
                self.ledger.set_held(team, long_units, short_units)
            case QuotaLeaseRenewed(started_ms):
                self.ledger.note_lease_renewal(started_ms)
            case ReleaseQuotaUnits(team, long_units, short_units, released):
                released.set_result(
                    self.ledger.release_units(team, long_units, short_units)
                )
            case FreshnessProven(taken_ms):
                self.freshness.record_proof(taken_ms)
            case ConfigurationAdopted(snapshot):
                self.versions.append(snapshot.version)
                for name, team in snapshot.configuration.teams_by_name.items():
                    self.ledger.set_limit(name, team.limit)

    def set_store_unreachable(self, unreachable: bool) -> None:
        """Disconnect the entry from the store, or connect it again."""
        for client in self.clients:
            client.down = unreachable

    def step(self) -> None:
        """Run all work that is due now, unless the entry is paused."""
        if self.paused:
            return
        self._run_tasks()
        in_use = self.ledger.in_use_by_team()
        self.session.step(QuotaDemand(in_use, dict(self.waiting_by_team)))
        self.session.reader.step()
        while not self.session.inbox.empty():
            self.session.step(self.session.inbox.get())

    def _run_tasks(self) -> None:
        now_ms = self.clock.now_ms()
        limits = self._group.limits
        end_ms = now_ms + limits.start_token_ms + limits.task_lease_ms
        for request_id, lease_end_ms in list(self.lease_ends_by_request.items()):
            if lease_end_ms <= now_ms:
                self.finish_task(request_id)
            elif self.ledger.has_valid_unit(request_id, now_ms):
                self.lease_ends_by_request[request_id] = end_ms
        for team, waiting in self.waiting_by_team.items():
            for _ in range(waiting):
                request_id = f"{self.process_id}/{self._started_count}"
                if not self.ledger.acquire_unit(team, request_id, now_ms):
                    break
                self._started_count += 1
                self.waiting_by_team[team] -= 1
                self.lease_ends_by_request[request_id] = end_ms

    def finish_task(self, request_id: str) -> None:
        """End a running request and free its quota unit."""
        del self.lease_ends_by_request[request_id]
        self.ledger.free_unit(request_id)

    def send_request(self, kind: t.Callable[..., object], *fields: t.Any) -> t.Any:
        """Send an operator's request to the session.

        :param kind: message class; its last field is the future of the result.
        :param fields: values of the other fields.
        :returns: the future.
        """
        future: concurrent.futures.Future[t.Any] = concurrent.futures.Future()
        self.session.step(kind(*fields, future))
        return future

    def apply_configuration(self, text: str, expected_text_version: int) -> t.Any:
        """Apply a configuration text; returns the future of its version."""
        return self.send_request(ApplyConfiguration, text, expected_text_version)

    def create_key(self, team: str) -> t.Any:
        """Create a key for a team; returns the future of the key."""
        return self.send_request(CreateKey, team)

    def revoke_key(self, key_id: str) -> t.Any:
        """Revoke a key; returns the future of the result."""
        return self.send_request(RevokeKey, key_id)

    def count_usable_units(self, team: str) -> int:
        """Count the team's units with which this entry may start requests now."""
        return self.ledger.usable_units(team, self.clock.now_ms())

    def has_fresh_keys(self) -> bool:
        """Return whether the key list is fresh enough to accept requests now."""
        max_age_ms = self.settings.key_freshness_ms
        return self.freshness.is_fresh(self.clock.now_ms(), max_age_ms)


class EntryGroup:
    """Entries that share one store and one manual clock.

    :param zones: zone of each entry; one entry is created per item.
    :param limits: quota settings, such as lease durations.
    """

    def __init__(self, zones: t.Sequence[str], limits: QuotaSettings) -> None:
        self.limits = limits
        self.clock = ManualClock(1_000_000)
        self.platform = Platform(lambda: self.clock.now_ms() / 1000)
        self.entries = [
            SimulatedEntry(self, number, zone, "a") for number, zone in enumerate(zones)
        ]
        #: Killed processes; workers run their tasks until the task leases expire.
        self.killed: list[SimulatedEntry] = []

    def replace_entry(
        self, index: int, start: str, number: int | None = None
    ) -> SimulatedEntry:
        """Kill an entry's process and start a new one.

        :param index: position of the entry.
        :param start: last part of the new process id.
        :param number: instance number for the new process; by default the same
            instance and address.
        """
        old = self.entries[index]
        self.killed.append(old)
        number = index if number is None else number
        self.entries[index] = SimulatedEntry(self, number, old.settings.zone, start)
        return self.entries[index]

    def run(
        self,
        duration_ms: int,
        step_ms: int = 500,
        check: t.Callable[[], None] = lambda: None,
    ) -> None:
        """Step all entries and exchange state between all reachable pairs.

        :param duration_ms: total time; the clock advances by it.
        :param step_ms: time between two steps.
        :param check: called after each step, before the clock advances.
        """
        for _ in range(duration_ms // step_ms):
            for entry in self.entries:
                entry.step()
            alive = [e for e in self.entries if not e.paused and not e.isolated]
            for caller in alive:
                for peer in alive:
                    if peer is not caller:
                        exchange_once(caller, peer)
                caller.exchange.drop_unresponsive_peers()
            check()
            self.clock.advance(step_ms)

    def set_store_unreachable(self, unreachable: bool) -> None:
        """Disconnect all entries from the store, or connect them again."""
        for entry in self.entries:
            entry.set_store_unreachable(unreachable)

    def read_units_by_holder(self, team: str) -> dict[str, tuple[int, int]]:
        """Return the stored (long-lease, short-lease) units of each holder."""
        stored = self.platform.get(f"limits/{team}")
        holders = json.loads(stored.value)["body"]["holders"] if stored else {}
        return {
            holder: (row.get("long", 0), row.get("short", 0))
            for holder, row in holders.items()
        }

    def count_held_units(self, team: str) -> int:
        """Return the sum of the stored units over all holders."""
        return sum(sum(units) for units in self.read_units_by_holder(team).values())

    def count_usable_units(self, team: str) -> int:
        """Return the sum of the usable units over all entries."""
        return sum(entry.count_usable_units(team) for entry in self.entries)

    def count_running_tasks(self) -> int:
        """Count the requests that may still run, those of killed processes included."""
        now_ms = self.clock.now_ms()
        entries = self.entries + self.killed
        return sum(
            end_ms > now_ms
            for e in entries
            for end_ms in e.lease_ends_by_request.values()
        )


def exchange_once(
    caller: SimulatedEntry, peer: SimulatedEntry, delay_ms: int = 0
) -> None:
    """Exchange state between two entries, as one call by the first.

    A configuration version that the caller does not know is fetched from the peer.

    :param delay_ms: time from the call to its answer.
    """
    sent_ms = caller.clock.now_ms()
    peer.exchange.merge_state(caller.exchange.build_state(), None)
    state = peer.exchange.build_state()
    caller.clock.advance(delay_ms)
    if not caller.exchange.merge_state(state, sent_ms):
        known_version = caller.exchange.active_configuration.version
        caller.exchange.adopt_fetched(peer.exchange.get_newer_record(known_version))
        caller.exchange.merge_state(state, sent_ms)

"""The sharing side of a few entries on one manual clock, without a network."""

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


class SharingEntry:
    """Store session, exchange and unit ledger of one entry.

    Its dispatcher keeps the ledger and starts the requests in ``waiting_by_team``.

    :param group: has the clock, the store and the hold times.
    :param number: gives the instance its name and ports.
    :param zone: availability zone.
    :param start: makes the process id differ from earlier ones of the instance.
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
        #: Adopted configuration versions, and all messages to the dispatcher.
        self.versions: list[int] = []
        self.messages: list[object] = []
        #: End of the task lease per running request, as its worker sees it.
        self.lease_ends_by_request: dict[str, int] = {}
        self.waiting_by_team: dict[str, int] = {}
        self._started = 0
        #: A paused entry does nothing; one that is cut off reaches no peer.
        self.paused = self.isolated = False
        self.exchange = PeerExchange(
            self.settings, self.clock, f"{zone}.e{number}.{start}", self.dispatch
        )
        self.process_id = self.exchange.process_id
        #: Clients of the session and of its reader.
        self.clients: list[DirectStoreClient] = []
        self.session = StoreSession(
            self.settings, self.clock, self.dispatch, self.exchange, self._make_client
        )

    def _make_client(self, settings: PlatformSettings) -> t.Any:
        self.clients.append(DirectStoreClient(self._group.platform))
        return self.clients[-1]

    def dispatch(self, message: object) -> None:
        """Handle one message as the dispatcher does."""
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

    def set_store_unreachable(self, down: bool) -> None:
        """Cut the entry off from the store, or connect it again."""
        for client in self.clients:
            client.down = down

    def step(self) -> None:
        """Do all work that is due now."""
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
                request_id = f"{self.process_id}/{self._started}"
                if not self.ledger.acquire_unit(team, request_id, now_ms):
                    break
                self._started += 1
                self.waiting_by_team[team] -= 1
                self.lease_ends_by_request[request_id] = end_ms

    def finish_task(self, request_id: str) -> None:
        """End a running request."""
        del self.lease_ends_by_request[request_id]
        self.ledger.free_unit(request_id)

    def send_request(self, kind: t.Callable[..., object], *fields: t.Any) -> t.Any:
        """Send an operator's request; its future is the last field."""
        future: concurrent.futures.Future[t.Any] = concurrent.futures.Future()
        self.session.step(kind(*fields, future))
        return future

    def apply_configuration(self, text: str, expected_text_version: int) -> t.Any:
        """Apply an operators' text; returns the future of its version."""
        return self.send_request(ApplyConfiguration, text, expected_text_version)

    def create_key(self, team: str) -> t.Any:
        """Grant a key; returns the future of the key."""
        return self.send_request(CreateKey, team)

    def revoke_key(self, key_id: str) -> t.Any:
        """Withdraw a key; returns the future of the result."""
        return self.send_request(RevokeKey, key_id)

    def count_usable_units(self, team: str) -> int:
        """Return the units of a team on which requests may start now."""
        return self.ledger.usable_units(team, self.clock.now_ms())

    def has_fresh_keys(self) -> bool:
        """Tell whether authenticated requests are accepted now."""
        bound_ms = self.settings.key_freshness_ms
        return self.freshness.is_fresh(self.clock.now_ms(), bound_ms)


class EntryGroup:
    """Entries on one store and one manual clock.

    :param zones: one entry per item.
    :param limits: hold times.
    """

    def __init__(self, zones: t.Sequence[str], limits: QuotaSettings) -> None:
        self.limits = limits
        self.clock = ManualClock(1_000_000)
        self.platform = Platform(lambda: self.clock.now_ms() / 1000)
        self.entries = [
            SharingEntry(self, number, zone, "a") for number, zone in enumerate(zones)
        ]
        #: Processes that were killed; their tasks may still run.
        self.killed: list[SharingEntry] = []

    def replace_entry(
        self, index: int, start: str, number: int | None = None
    ) -> SharingEntry:
        """Kill an entry and start a new process.

        :param index: position of the entry.
        :param start: last part of the new process id.
        :param number: another instance to run on; by default the same address.
        """
        old = self.entries[index]
        self.killed.append(old)
        number = index if number is None else number
        self.entries[index] = SharingEntry(self, number, old.settings.zone, start)
        return self.entries[index]

    def run(
        self,
        duration_ms: int,
        step_ms: int = 500,
        check: t.Callable[[], None] = lambda: None,
    ) -> None:
        """Let all entries work and exchange.

        :param check: called after each step.
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

    def set_store_unreachable(self, down: bool) -> None:
        """Take the store from all entries, or give it back."""
        for entry in self.entries:
            entry.set_store_unreachable(down)

    def read_units_by_holder(self, team: str) -> dict[str, tuple[int, int]]:
        """Return long and short units per holder, as stored."""
        stored = self.platform.get(f"limits/{team}")
        holders = json.loads(stored.value)["body"]["holders"] if stored else {}
        return {h: (r.get("long", 0), r.get("short", 0)) for h, r in holders.items()}

    def count_held_units(self, team: str) -> int:
        """Return the sum of units over all holders, as stored."""
        return sum(sum(units) for units in self.read_units_by_holder(team).values())

    def count_usable_units(self, team: str) -> int:
        """Return the sum of usable units over all entries."""
        return sum(entry.count_usable_units(team) for entry in self.entries)

    def count_running_tasks(self) -> int:
        """Return how many requests may still run on workers."""
        now_ms = self.clock.now_ms()
        entries = self.entries + self.killed
        return sum(
            end_ms > now_ms
            for e in entries
            for end_ms in e.lease_ends_by_request.values()
        )


def exchange_once(caller: SharingEntry, peer: SharingEntry, delay_ms: int = 0) -> None:
    """Let one entry call another.

    :param delay_ms: time from the call to its answer.
    """
    sent_ms = caller.clock.now_ms()
    peer.exchange.merge_state(caller.exchange.build_state(), None)
    state = peer.exchange.build_state()
    caller.clock.advance(delay_ms)
    if not caller.exchange.merge_state(state, sent_ms):
        known = caller.exchange.active_configuration.version
        caller.exchange.adopt_fetched(peer.exchange.get_newer_record(known))
        caller.exchange.merge_state(state, sent_ms)

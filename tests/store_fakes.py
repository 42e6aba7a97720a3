"""In-process store client over the platform stand-in, with faults, for tests."""

import json

from cranberrywheel.clock import ManualClock
from cranberrywheel.connection.store_client import (
    Instance,
    InstanceList,
    Record,
)
from cranberrywheel.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel.process.limit_units import UnitLedger
from cranberrywheel.process.messages import (
    ApplyText,
    ConfigurationAdopted,
    HoldRenewed,
    ProofTaken,
    ReleaseUnits,
    UnitsHeld,
    UnitsWanted,
)
from cranberrywheel.process.store_session import StoreSession
from cranberrywheel.settings import EntrySettings, PlatformSettings
from cranberrywheel.version.freshness import FreshnessTracker
from cranberrywheel_standin.platform import Platform

TEXT = """\
[deployment]
name = small
[zone z1]
[zone z2]
[pool p]
workers = w1@z1/r1, w2@z2/r2
cores = 8
memory_mb = 1024
[service s]
pool = p
min_healthy = 1
[queue q]
service = s
[team t]
share = 0.5
limit = 12
"""


class FakeStoreClient:
    """Calls a platform directly.

    :param lose: counts down; each write while above 0 takes effect unanswered.
    :param late: writes that are held back while ``hold_writes`` is set, as if
        delayed in the network; call them to deliver.
    """

    def __init__(self, platform):
        self.platform = platform
        self.down = False
        self.lose = 0
        self.hold_writes = False
        self.late = []

    def _check(self):
        if self.down:
            raise StoreUnavailableError("down", "wait")

    def close(self):
        pass

    def get(self, key, newer_than=0, wait_ms=0):
        self._check()
        entry = self.platform.get(key)
        if entry is None:
            return None
        if newer_than and entry.revision <= newer_than:
            return "unchanged"
        return Record(key, entry.value, entry.revision)

    def list(self, prefix):
        self._check()
        rows = self.platform.list(prefix)
        return [Record(r["key"], r["value"], r["revision"]) for r in rows]

    def put(self, key, value, expected_revision, lease=""):
        self._check()
        send = lambda: self.platform.put(key, value, expected_revision, lease)
        if self.hold_writes:
            self.late.append(send)
            raise StoreUnavailableError("no answer", "wait")
        status, answer = send()
        if self.lose > 0:
            self.lose -= 1
            raise StoreUnavailableError("no answer", "wait")
        if status == 412:
            raise StoreConflictError("conflict", "retry", answer["revision"])
        if status == 404:
            raise LeaseLostError("lapsed", "grant")
        return answer["revision"]

    def grant_lease(self, ttl_ms):
        self._check()
        return self.platform.grant_lease(ttl_ms)

    def renew_lease(self, lease):
        self._check()
        if not self.platform.renew_lease(lease):
            raise LeaseLostError("lapsed", "grant")

    def revoke_lease(self, lease):
        self._check()
        self.platform.revoke_lease(lease)

    def instances(self):
        self._check()
        listed = self.platform.instance_list()
        rows = tuple(
            Instance(
                r["id"],
                r["kind"],
                r["zone"],
                r["rack"],
                r["address"],
                r["state"] == "leaving",
                r["cores"],
                r["memory_mb"],
            )
            for r in listed["instances"]
        )
        return InstanceList(listed["revision"], listed["age_ms"], rows)


class FakeEntry:
    """One entry: exchange, session and a dispatcher that only keeps a ledger."""

    def __init__(self, fleet, number, zone, start, port=0):
        self.fleet = fleet
        self.settings = EntrySettings(
            instance=f"e{number}",
            zone=zone,
            host="127.0.0.1",
            http_port=port or 8000 + number,
            peer_port=port or 9000 + number,
            operator_token_file="unused",
            platform=PlatformSettings(url="http://127.0.0.1:1"),
        )
        self.clock = fleet.clock
        self.ledger = UnitLedger(self.settings.limits)
        self.freshness = FreshnessTracker()
        self.versions = []
        self.messages = []
        self.waiting = 0
        self.running = []
        self.reachable = True
        self.paused = False
        process_id = f"{zone}.e{number}.{start}"
        self.exchange = PeerExchange(
            self.settings, self.clock, process_id, self.dispatch
        )
        self.clients = []
        self.session = StoreSession(
            self.settings, self.clock, self.dispatch, self.exchange, self._make_client
        )

    def _make_client(self, settings):
        self.clients.append(FakeStoreClient(self.fleet.platform))
        return self.clients[-1]

    @property
    def process_id(self):
        return self.exchange.process_id

    def dispatch(self, message):
        self.messages.append(message)
        match message:
            case UnitsHeld():
                self.ledger.set_held(
                    message.team, message.long_units, message.short_units
                )
            case HoldRenewed():
                self.ledger.renewed(message.started_ms)
            case ReleaseUnits():
                message.released.set_result(
                    self.ledger.release(
                        message.team, message.long_units, message.short_units
                    )
                )
            case ProofTaken():
                self.freshness.proven(message.taken_ms)
            case ConfigurationAdopted():
                self.versions.append(message.snapshot.version)
                for name, team in message.snapshot.configuration.teams_by_name.items():
                    self.ledger.set_limit(name, team.limit)

    def set_down(self, down):
        for client in self.clients:
            client.down = down

    def step(self):
        if self.paused:
            return
        self.session.step(
            UnitsWanted(self.ledger.in_use_by_team(), {"t": self.waiting})
        )
        self.session.reader.step()
        while not self.session.inbox.empty():
            self.session.step(self.session.inbox.get())

    def usable(self):
        return self.ledger.usable("t", self.clock.now_ms())

    def is_fresh(self):
        bound_ms = self.settings.key_freshness_ms
        return self.freshness.is_fresh(self.clock.now_ms(), bound_ms)


class FakeFleet:
    """Entries on one store and one manual clock."""

    def __init__(self, count=3, zones=("z1", "z2")):
        self.clock = ManualClock(1_000_000)
        self.platform = Platform(lambda: self.clock.now_ms() / 1000)
        self.entries = [
            FakeEntry(self, n, zones[n % len(zones)], "a") for n in range(count)
        ]

    def exchange(self):
        alive = [e for e in self.entries if not e.paused and e.reachable]
        for caller in alive:
            for peer in alive:
                if peer is not caller:
                    exchange_once(caller, peer)

    def run(self, duration_ms, step_ms=500):
        for _ in range(duration_ms // step_ms):
            for entry in self.entries:
                entry.step()
            self.exchange()
            self.clock.advance(step_ms)

    def apply(self, text, expected, entry=None):
        message = ApplyText(text, expected, _future())
        (entry or self.entries[0]).session.step(message)
        return message.version

    def record(self):
        return json.loads(self.platform.get("limits/t").value)["body"]

    def held_total(self):
        rows = self.record()["holders"].values()
        return sum(r.get("long", 0) + r.get("short", 0) for r in rows)

    def usable_total(self):
        return sum(e.usable() for e in self.entries)


def exchange_once(caller, peer, delay_ms=0):
    """Let one entry call another; the answer takes ``delay_ms``."""
    sent_ms = caller.clock.now_ms()
    peer.exchange.merge_state(caller.exchange.build_state(), None)
    state = peer.exchange.build_state()
    caller.clock.advance(delay_ms)
    if not caller.exchange.merge_state(state, sent_ms):
        known = caller.exchange.holder.version
        caller.exchange.adopt_fetched(peer.exchange.record_for_peer(known))
        caller.exchange.merge_state(state, sent_ms)


def _future():
    import concurrent.futures

    return concurrent.futures.Future()

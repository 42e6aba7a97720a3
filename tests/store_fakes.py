"""A few entries on the platform stand-in and a manual clock, for tests."""

import concurrent.futures
import dataclasses
import json

from cranberrywheel.clock import ManualClock
from cranberrywheel.connection.store_client import Instance, InstanceList, Record
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
    GrantKey,
    HoldRenewed,
    ProofTaken,
    ReleaseUnits,
    UnitsHeld,
    UnitsWanted,
    WithdrawKey,
)
from cranberrywheel.process.store_session import StoreSession
from cranberrywheel.settings import EntrySettings, LimitSettings, PlatformSettings
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
TOKEN_MS, TASK_LEASE_MS = 2_000, 10_000


class FakeStoreClient:
    """Calls a platform directly.

    :param lose: number of writes that take effect without an answer.
    :param delay_writes: if set, writes get no answer and wait in ``delayed``, as
        if held up in the network; call an item to deliver it.
    """

    def __init__(self, platform):
        self.platform = platform
        self.down = False
        self.lose = 0
        self.delay_writes = False
        self.delayed = []

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
        if self.delay_writes:
            self.delayed.append(send)
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
        names = {f.name for f in dataclasses.fields(Instance)}
        rows = tuple(
            Instance(
                instance_id=r["id"],
                leaving=r["state"] == "leaving",
                **{k: v for k, v in r.items() if k in names},
            )
            for r in listed["instances"]
        )
        return InstanceList(listed["revision"], listed["age_ms"], rows)


class FakeEntry:
    """The tested parts of an entry, with a minimal dispatcher.

    :param tasks: end of the task lease per running request, as its worker sees it.
    """

    def __init__(self, fleet, number, zone, start):
        self.fleet, self.clock = fleet, fleet.clock
        self.settings = EntrySettings(
            instance=f"e{number}",
            zone=zone,
            host="127.0.0.1",
            http_port=8000 + number,
            peer_port=9000 + number,
            operator_token_file="unused",
            platform=PlatformSettings(url="http://127.0.0.1:1"),
            limits=fleet.limits,
        )
        self.ledger = UnitLedger(self.settings.limits)
        self.freshness = FreshnessTracker()
        self.versions, self.messages = [], []
        self.tasks, self.waiting, self._started = {}, 0, 0
        #: A paused entry does nothing; one that is cut off reaches no peer.
        self.paused = self.cut_off = False
        self.exchange = PeerExchange(
            self.settings, self.clock, f"{zone}.e{number}.{start}", self.dispatch
        )
        self.process_id = self.exchange.process_id
        self.clients = []
        self.session = StoreSession(
            self.settings, self.clock, self.dispatch, self.exchange, self._make_client
        )

    def _make_client(self, settings):
        self.clients.append(FakeStoreClient(self.fleet.platform))
        return self.clients[-1]

    def dispatch(self, message):
        self.messages.append(message)
        match message:
            case UnitsHeld(team, long_units, short_units):
                self.ledger.set_held(team, long_units, short_units)
            case HoldRenewed(started_ms):
                self.ledger.renewed(started_ms)
            case ReleaseUnits(team, long_units, short_units, released):
                released.set_result(self.ledger.release(team, long_units, short_units))
            case ProofTaken(taken_ms):
                self.freshness.proven(taken_ms)
            case ConfigurationAdopted(snapshot):
                self.versions.append(snapshot.version)
                for name, team in snapshot.configuration.teams_by_name.items():
                    self.ledger.set_limit(name, team.limit)

    def set_down(self, down):
        for client in self.clients:
            client.down = down

    def step(self):
        if self.paused:
            return
        self._run_tasks()
        wanted = UnitsWanted(self.ledger.in_use_by_team(), {"t": self.waiting})
        self.session.step(wanted)
        self.session.reader.step()
        while not self.session.inbox.empty():
            self.session.step(self.session.inbox.get())

    def _run_tasks(self):
        now_ms = self.clock.now_ms()
        for request_id, end_ms in list(self.tasks.items()):
            if end_ms <= now_ms:
                self.finish(request_id)
            elif self.ledger.may_renew(request_id, now_ms):
                self.tasks[request_id] = now_ms + TOKEN_MS + TASK_LEASE_MS
        while self.waiting:
            request_id = f"{self.process_id}/{self._started}"
            if not self.ledger.take("t", request_id, now_ms):
                break
            self._started += 1
            self.waiting -= 1
            self.tasks[request_id] = now_ms + TOKEN_MS + TASK_LEASE_MS

    def finish(self, request_id):
        del self.tasks[request_id]
        self.ledger.give_back(request_id)

    def ask(self, kind, *fields):
        """Send an operator's request; its future is the last field."""
        future = concurrent.futures.Future()
        self.session.step(kind(*fields, future))
        return future

    def apply(self, text, expected):
        return self.ask(ApplyText, text, expected)

    def grant(self, team="t"):
        return self.ask(GrantKey, team)

    def withdraw(self, key_id):
        return self.ask(WithdrawKey, key_id)

    def usable(self):
        return self.ledger.usable("t", self.clock.now_ms())

    def is_fresh(self):
        bound_ms = self.settings.key_freshness_ms
        return self.freshness.is_fresh(self.clock.now_ms(), bound_ms)


class FakeFleet:
    """Entries on one store and one manual clock."""

    def __init__(self, count=3, limits=None):
        self.limits = limits or LimitSettings()
        self.clock = ManualClock(1_000_000)
        self.platform = Platform(lambda: self.clock.now_ms() / 1000)
        self.entries = []
        for _ in range(count):
            self.add()
        self.dead = []

    def add(self):
        number = len(self.entries)
        self.entries.append(FakeEntry(self, number, f"z{number % 2 + 1}", "a"))
        return self.entries[-1]

    def replace(self, index, start):
        """Kill an entry and start a new process on its address."""
        old = self.entries[index]
        self.dead.append(old)
        self.entries[index] = FakeEntry(self, index, old.settings.zone, start)
        return self.entries[index]

    def run(self, duration_ms, step_ms=500, check=lambda: None):
        for _ in range(duration_ms // step_ms):
            for entry in self.entries:
                entry.step()
            alive = [e for e in self.entries if not e.paused and not e.cut_off]
            for caller in alive:
                for peer in alive:
                    if peer is not caller:
                        exchange_once(caller, peer)
                if not caller.paused:
                    caller.exchange.drop_silent_peers()
            check()
            self.clock.advance(step_ms)

    def set_down(self, down):
        for entry in self.entries:
            entry.set_down(down)

    def record(self):
        return json.loads(self.platform.get("limits/t").value)["body"]

    def held(self, entry):
        row = self.record()["holders"].get(entry.process_id, {})
        return row.get("long", 0), row.get("short", 0)

    def held_total(self):
        rows = self.record()["holders"].values()
        return sum(r.get("long", 0) + r.get("short", 0) for r in rows)

    def usable_total(self):
        return sum(e.usable() for e in self.entries)

    def running_total(self):
        now_ms = self.clock.now_ms()
        everyone = self.entries + self.dead
        return sum(end > now_ms for e in everyone for end in e.tasks.values())


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

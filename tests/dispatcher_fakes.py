"""A dispatcher with a manual clock, and lists in place of the other tasks."""

import random
from concurrent.futures import Future

from cranberrywheel.clock import ManualClock
from cranberrywheel.connection.store_client import Instance, InstanceList
from cranberrywheel.connection.target_messages import (
    AttemptFinished,
    AttemptOutcome,
    FetchToken,
    StartAttempt,
    TokenFetched,
)
from cranberrywheel.process import messages
from cranberrywheel.process.dispatcher import Dispatcher
from cranberrywheel.process.entry_state import Links, create_state
from cranberrywheel.settings import EntrySettings, PlatformSettings
from cranberrywheel.version.configuration import parse_configuration
from cranberrywheel.version.keys import create_key
from cranberrywheel.version.snapshot import ConfigurationSnapshot

TEXT = """\
[deployment]
name = small
[zone z1]
[pool p]
workers = w1@z1/r1, w2@z1/r2, w3@z1/r3
cores = 8
memory_mb = 1024
slots_per_executor = 4
[service s]
pool = p
min_healthy = 1
[queue lookups]
service = s
idempotent = yes
timeout_ms = 10000
[queue payments]
service = s
timeout_ms = 10000
[queue patient]
service = s
idempotent = yes
stale_keys = serve
stale_serve_ms = 30000
[queue public]
service = s
access = open
idempotent = yes
[queue rebuilds]
service = s
idempotent = yes
run_ms = 60000
timeout_ms = 90000
can_checkpoint = yes
[queue urgent]
service = s
idempotent = yes
urgent = yes
[team red]
share = 0.5
limit = 20
"""
WORKERS = ("w1", "w2", "w3")


def make_settings(**changes):
    platform = PlatformSettings(url="http://127.0.0.1:1")
    fields = dict(
        instance="e1",
        zone="z1",
        host="127.0.0.1",
        http_port=1,
        peer_port=2,
        operator_token_file="",
        platform=platform,
    )
    return EntrySettings(**{**fields, **changes})


class DispatcherHarness:
    """Runs one dispatcher step by step; by default with two units of team ``red``."""

    def __init__(self, long_units=2, short_units=0):
        self.clock = ManualClock(1_000_000)
        self.sent = []
        self.forwarded = []
        self.settings = make_settings()
        links = Links(
            to_targets=self.sent.append,
            to_store=lambda message: None,
            to_peers=lambda report: None,
            to_self=lambda message: self.dispatcher.post(message),
            forward=self._forward,
        )
        state = create_state(
            self.settings, "z1.e1.x", self.clock, links, random.Random(7)
        )
        self.dispatcher = Dispatcher(state)
        self.state = state
        self.key, entry = create_key("red")
        self.key_id = entry.key_id
        snapshot = ConfigurationSnapshot(
            5, 1, TEXT, parse_configuration(TEXT), {entry.key_id: entry}, frozenset()
        )
        rows = tuple(
            Instance(w, "worker", "z1", f"r{w[1]}", f"{w}:1", False, 8.0, 1024)
            for w in WORKERS
        )
        self.post(
            messages.ConfigurationAdopted(snapshot),
            messages.InstancesListed(InstanceList(1, 0, rows)),
            messages.FreshnessProven(self.clock.now_ms()),
            messages.QuotaLeaseRenewed(self.clock.now_ms()),
            messages.QuotaUnitsHeld("red", long_units, short_units),
        )

    def _forward(self, address, incoming, timeout_ms):
        future = Future()
        self.forwarded.append((address, incoming, future))
        return future

    def post(self, *batch):
        for message in batch:
            self.dispatcher.post(message)
        self.dispatcher.run_once()

    def advance(self, duration_ms):
        """Advance the clock in steps of 100 ms.

        Each step renews the freshness proof and the quota lease and grants tokens.
        """
        for _ in range(0, duration_ms, 100):
            self.clock.advance(100)
            now_ms = self.clock.now_ms()
            self.post(
                messages.FreshnessProven(now_ms), messages.QuotaLeaseRenewed(now_ms)
            )
            self.grant_tokens()

    def submit(self, request_id, queue="lookups", ticket="", key=None, **changes):
        future = Future()
        authorization = "" if key == "" else f"Bearer {key or self.key}"
        incoming = messages.IncomingRequest(
            request_id=request_id,
            queue=queue,
            authorization=authorization,
            idempotency_key=ticket,
            body=b"x",
            content_type="text/plain",
            timeout_ms=0,
            **changes,
        )
        self.post(messages.SubmitRequest(incoming, future))
        self.grant_tokens()
        return future

    def ticket(self, queue="payments"):
        tickets = Future()
        self.post(messages.IssueTickets(f"Bearer {self.key}", queue, 1, tickets))
        return tickets.result(0)[0]

    def take_sent(self, kind):
        found = [message for message in self.sent if isinstance(message, kind)]
        for message in found:
            self.sent.remove(message)
        return found

    def grant_tokens(self):
        for fetch in self.take_sent(FetchToken):
            now_ms = self.clock.now_ms()
            self.post(TokenFetched(worker=fetch.worker, token="t", requested_ms=now_ms))

    def take_starts(self):
        return self.take_sent(StartAttempt)

    def finish_attempt(self, start, end=AttemptOutcome.RAN, kind="", body=b"done"):
        self.post(
            AttemptFinished(
                task_id=start.task_id,
                worker=start.worker,
                outcome=end,
                kind=kind,
                body=body,
                next_token="t",
                requested_ms=self.clock.now_ms(),
            )
        )
        self.grant_tokens()

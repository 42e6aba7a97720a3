"""Compares versions, tombstones and freshness proofs with the key freshness model."""

import fractions
import typing as t

from cranberrywheel.clock import ManualClock
from cranberrywheel.connection.store_client import Instance, InstanceList, Record
from cranberrywheel.generated.peer_pb2 import PeerState
from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel.process.messages import FreshnessProven
from cranberrywheel.settings import EntrySettings, PlatformSettings
from cranberrywheel.version.active_configuration import (
    CONFIGURATION_KEY,
    build_configuration_body,
)
from cranberrywheel.version.freshness import FreshnessTracker
from cranberrywheel.version.records import parse_record, prepare_write
from cranberrywheel.version.snapshot import KeyEntry
from cranberrywheel_spec.conformance import ConformanceMachine
from cranberrywheel_spec.key_freshness import (
    BOUND_S,
    ENTRIES,
    INFORMED,
    LEARNERS,
    PAIRS,
    key_freshness,
)
from cranberrywheel_spec.model_execution import CompiledModel, ModelExecution

_MODEL = CompiledModel(key_freshness())
_KEY = "key1"
_TEXT = """\
[deployment]
name = small
[zone z1]
[pool p]
workers = w1@z1/r1
cores = 8
memory_mb = 1024
[service s]
pool = p
min_healthy = 0
[team t]
share = 0.5
limit = 4
"""
_PASSED_MS = (0, 1, 100, 500, 2_000, 3_500, 4_999, 5_000, 5_001)


def _records() -> tuple[Record, Record]:
    """Return the configuration record before and after the key is revoked."""
    granted = {_KEY: KeyEntry(_KEY, "t", "0" * 64)}
    first = prepare_write(
        CONFIGURATION_KEY, None, "w", build_configuration_body(_TEXT, 1, granted, [])
    )
    before = Record(CONFIGURATION_KEY, first.value, 1)
    body = build_configuration_body(_TEXT, 1, {}, [_KEY])
    second = prepare_write(CONFIGURATION_KEY, parse_record(before), "w", body)
    return before, Record(CONFIGURATION_KEY, second.value, 2)


class _Entry:
    """The exchange of one entry, and the tracker that its dispatcher owns."""

    def __init__(self, number: int, exchange: type[PeerExchange]) -> None:
        settings = EntrySettings(
            instance=f"e{number}",
            zone="z1",
            host="127.0.0.1",
            http_port=8000 + number,
            peer_port=9000 + number,
            operator_token_file="unused",
            platform=PlatformSettings(url="http://127.0.0.1:1"),
        )
        # Steady clocks of two instances have unrelated origins.
        self.start_ms = 1_000_000 * number
        self.clock = ManualClock(self.start_ms)
        self.tracker = FreshnessTracker()
        self.proof_ms: int | None = None
        self.exchange = exchange(settings, self.clock, f"z1.e{number}.0", self._take)
        self.version = 0

    def _take(self, message: object) -> None:
        if isinstance(message, FreshnessProven):
            self.tracker.record_proof(message.proven_ms)
            self.proof_ms = message.proven_ms - self.start_ms

    def knows(self) -> bool:
        """Return whether this entry refuses the revoked key."""
        snapshot = self.exchange.active_configuration.snapshot
        is_revoked = snapshot is not None and _KEY not in snapshot.keys_by_id
        return is_revoked or _KEY in self.exchange.list_unwritten_tombstones()


class FreshnessMachine(ConformanceMachine):
    """Requires that the product claims no more freshness than the model allows."""

    make_exchange: t.ClassVar[type[PeerExchange]] = PeerExchange

    def __init__(self) -> None:
        super().__init__()
        self.execution = ModelExecution(
            _MODEL, lists_c=True, lists_w=True, lists_d=True
        )
        self.before, self.after = _records()
        self.stored = self.before
        self.passed_ms = 0
        self.entries = {
            name: _Entry(number, self.make_exchange)
            for number, name in enumerate(ENTRIES, 1)
        }
        self.listed = set(ENTRIES)
        self.reads: dict[str, tuple[int, Record]] = {}
        self.sent_ms: dict[str, int] = {}
        self.answers: dict[str, tuple[PeerState, Record | None]] = {}
        roster = [e.exchange.registration for e in self.entries.values()]
        for entry in self.entries.values():
            entry.exchange.active_configuration.adopt(self.stored)
            entry.exchange.set_roster(roster, entry.start_ms)
        self._list_instances()

    def _list_instances(self) -> None:
        rows = tuple(
            Instance(f"e{number}", "entry", "z1", "r", "", False, 1.0, 1)
            for number, name in enumerate(ENTRIES, 1)
            if name in self.listed
        )
        for entry in self.entries.values():
            entry.exchange.set_instances(InstanceList(1, 0, rows))

    @classmethod
    def model(cls) -> CompiledModel:
        """Return the model that this machine compares with."""
        return _MODEL

    def list_step_weights(self) -> dict[str, int]:
        weights = {"wait": 6, "deliver_old_record x": 1, "deliver_old_record d": 1}
        for name in self.execution.find_enabled_actions():
            if "answer" in name or "gets" in name:
                weights[f"take {name}"] = 9
            elif "has heard all" not in name:
                weights[f"take {name}"] = 1 if "dies" in name else 2
        return weights

    def wait(self) -> None:
        """Advance all clocks."""
        passed_ms = self.rng.choice(_PASSED_MS)
        self.passed_ms += passed_ms
        for entry in self.entries.values():
            entry.clock.advance(passed_ms)
        self._check()

    def deliver_old_record(self, entry_name: str) -> None:
        """Deliver the old record late, as by a delayed watch or a slow peer."""
        self.entries[entry_name].exchange.active_configuration.adopt(self.before)
        self._check()

    def _advance_model(self, name: str) -> None:
        self.execution.take_action(
            name, passed_s=fractions.Fraction(self.passed_ms, 1000)
        )
        self.passed_ms = 0

    def take(self, name: str) -> None:
        """Take a step of the model and apply it to the product."""
        self._advance_model(name)
        for entry_name in LEARNERS:
            if name == f"{entry_name} sends a read to the store":
                self.sent_ms[entry_name] = self.entries[entry_name].clock.now_ms()
            elif name == f"store answers {entry_name}":
                self.reads[entry_name] = self.sent_ms[entry_name], self.stored
            elif name == f"{entry_name} gets the record":
                self._get_record(entry_name)
        for entry_name, peer_name in PAIRS:
            if name == f"{entry_name} calls {peer_name}":
                self.sent_ms[entry_name + peer_name] = self.entries[
                    entry_name
                ].clock.now_ms()
            elif name == f"{peer_name} answers {entry_name}":
                exchange = self.entries[peer_name].exchange
                self.answers[entry_name + peer_name] = (
                    exchange.build_state(),
                    exchange.active_configuration.record,
                )
            elif name == f"{entry_name} gets the answer of {peer_name}":
                self._get_answer(entry_name, peer_name)
        self._withdraw(name)
        self._check()

    def _get_record(self, entry_name: str) -> None:
        sent_ms, record = self.reads[entry_name]
        exchange = self.entries[entry_name].exchange
        exchange.active_configuration.adopt(record)
        exchange.record_store_read(sent_ms)

    def _get_answer(self, entry_name: str, peer_name: str) -> None:
        state, record = self.answers[entry_name + peer_name]
        exchange, sent_ms = (
            self.entries[entry_name].exchange,
            self.sent_ms[entry_name + peer_name],
        )
        if not exchange.merge_state(state, sent_ms):
            exchange.active_configuration.adopt(record)
            assert exchange.merge_state(state, sent_ms)
        # Each merge in the product also evaluates the proof from all entries' reports.
        if f"{entry_name} has heard all" in self.execution.find_enabled_actions():
            self._advance_model(f"{entry_name} has heard all")

    def _withdraw(self, name: str) -> None:
        w, c = self.entries["w"].exchange, self.entries["c"].exchange
        if name in ("w marks the key", "w marks and stores"):
            w.add_tombstone(_KEY)
        if name in (
            "w marks and stores",
            "an entry writes the withdrawal to the store",
        ):
            self.stored = self.after
        if name == "c confirms the mark":
            c.merge_state(w.build_state(), None)
        for informed_name in INFORMED:
            if name == f"{informed_name} dies, list shows it gone":
                self.listed.discard(informed_name)
                self._list_instances()

    def _check(self) -> None:
        values = self.execution.values
        now_s = values["now_s"] + fractions.Fraction(self.passed_ms, 1000)
        is_late = values["accepted"] and now_s - values["accepted_s"] > BOUND_S
        for name, entry in self.entries.items():
            version = entry.exchange.active_configuration.version
            assert version >= entry.version, f"{name} reverted to {version}"
            entry.version = version
            assert entry.knows() >= bool(values[f"knows_{name}"]), name
            if name in LEARNERS and entry.proof_ms is not None:
                assert entry.proof_ms <= values[f"proof_s_{name}"] * 1000, name
                now_ms = entry.clock.now_ms()
                fresh = entry.tracker.is_fresh(now_ms, BOUND_S * 1000)
                assert not (is_late and fresh) or entry.knows(), f"{name} accepts"

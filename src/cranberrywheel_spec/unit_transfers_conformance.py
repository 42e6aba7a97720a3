"""Compares ``QuotaLedger`` and the limit record functions with the model."""

import typing as t

from cranberrywheel.connection.store_client import Record
from cranberrywheel.process import limit_record, quota_units
from cranberrywheel.process.limit_record import HolderRow, LimitRecord
from cranberrywheel.process.quota_units import QuotaLedger, UnitDemand
from cranberrywheel.settings import QuotaSettings
from cranberrywheel.version.records import (
    PreparedWrite,
    StoredRecord,
    WriteOutcome,
    parse_record,
    prepare_write,
    resolve_lost_write,
)
from cranberrywheel_spec.conformance import ConformanceMachine
from cranberrywheel_spec.model_execution import CompiledModel, ModelExecution
from cranberrywheel_spec.unit_transfers import HOLDERS, unit_transfers

KEY, TEAM = "limits/t", "t"
_MODEL = CompiledModel(unit_transfers())


class _Holder:
    """One holder: its ledger, view of the record and pending messages."""

    def __init__(self, stored: StoredRecord, name: str, ledger: QuotaLedger) -> None:
        self.name, self.ledger = name, ledger
        self.ledger.set_limit(TEAM, 1_000)
        self.ledger.note_lease_renewal(0)
        self.view = self.read = stored
        self.write: PreparedWrite | None = None
        self.accepted: StoredRecord | None = None
        self.waiting = self.in_flight = False
        self.requests = 0
        self.adopt(stored)

    def adopt(self, stored: StoredRecord) -> None:
        self.view = stored
        row = limit_record.parse(stored.body).holders[self.name]
        self.ledger.set_held(TEAM, row.long, row.short)
        self.waiting, self.accepted = False, None


class UnitTransfersMachine(ConformanceMachine):
    """Transfers units between two holders; the model must allow each write."""

    rebalance: t.ClassVar = staticmethod(quota_units.rebalance)
    make_ledger: t.ClassVar[type[QuotaLedger]] = QuotaLedger
    resolve: t.ClassVar = staticmethod(resolve_lost_write)

    def set_up_run(self) -> None:
        a, b, free = (self.rng.randrange(9) for _ in range(3))
        rows = {}
        for name, total in (("a", a), ("b", b)):
            long, short = quota_units.split_units(total, 0.5)
            rows[name] = HolderRow(
                long=long,
                short=short,
                registration=1,
                instance=name,
                zone="z",
                address="",
            )
        self.limit = a + b + free
        record = LimitRecord(limit=self.limit, limit_version=1, holders=rows)
        first = prepare_write(KEY, None, "a", limit_record.dump(record))
        self.stored = parse_record(Record(KEY, first.value, 1))
        make = lambda: self.make_ledger(QuotaSettings())
        self.holders_by_name = {n: _Holder(self.stored, n, make()) for n in HOLDERS}
        counts = {"a": a, "b": b}
        start: dict[str, int] = {"limit": self.limit}
        for p in HOLDERS:
            start |= {f"held_{p}": counts[p], f"usable_{p}": counts[p]}
            for kind in ("view", "read", "write"):
                start |= {f"{kind}_{q}_{p}": counts[q] for q in HOLDERS}
        self.execution = ModelExecution(_MODEL, **start)

    @classmethod
    def model(cls) -> CompiledModel:
        """Return the model that this machine compares with."""
        return _MODEL

    def list_step_weights(self) -> dict[str, int]:
        weights = {"read": 1, "start_request": 1, "finish_request": 1, "deliver_all": 2}
        found = {f"{step} {p}": w for step, w in weights.items() for p in HOLDERS}
        for p, holder in self.holders_by_name.items():
            if not holder.waiting and not holder.in_flight:
                found[f"send_write {p}"] = 4
            if holder.in_flight:
                found[f"deliver_write {p}"] = 4
            if holder.accepted:
                found[f"deliver_answer {p}"] = 2
            if holder.read is not holder.view:
                found[f"deliver_read {p}"] = 4
        return found

    def _check(self) -> None:
        used = 0
        for name, holder in self.holders_by_name.items():
            usable = holder.ledger.usable_units(TEAM, 0)
            assert usable == self.execution.values[f"usable_{name}"], (name, usable)
            used += holder.ledger.in_use_by_team().get(TEAM, 0)
        assert used <= self.limit

    def send_write(self, name: str) -> None:
        waiting = self.rng.choice(range(9))
        holder = self.holders_by_name[name]
        if holder.waiting or holder.in_flight:
            return
        other = HOLDERS[name == "a"]
        before = limit_record.parse(holder.view.body)
        need = UnitDemand(holder.ledger.in_use_by_team().get(TEAM, 0), waiting)
        after = self.rebalance(before, name, need, self.limit // 2, 0.5, {other})
        if after == before:
            return
        old, new = before.holders[name], after.holders[name]
        out = max(0, old.long - new.long), max(0, old.short - new.short)
        if holder.ledger.release_units(TEAM, *out) != out:
            holder.ledger.set_held(TEAM, old.long, old.short)
            return
        body = limit_record.dump(after)
        holder.write = prepare_write(KEY, holder.view, name, body)
        holder.waiting = holder.in_flight = True
        given = after.holders[other].total - before.holders[other].total
        self.execution.take_action(
            f"{name} sends a write", input_own=new.total, input_given=given
        )
        self._check()

    def deliver_write(self, name: str) -> None:
        holder = self.holders_by_name[name]
        if not holder.in_flight:
            return
        holder.in_flight = False
        write = holder.write
        if write.expected_revision != self.stored.revision:
            self.execution.take_action(f"store refuses write of {name}")
            return
        record = Record(KEY, write.value, self.stored.revision + 1)
        self.stored = holder.accepted = parse_record(record)
        self.execution.take_action(f"store accepts write of {name}")

    def deliver_answer(self, name: str) -> None:
        holder = self.holders_by_name[name]
        if holder.waiting and holder.accepted:
            holder.adopt(holder.accepted)
            self.execution.take_action(f"{name} gets its answer")
            self._check()

    def read(self, name: str) -> None:
        self.holders_by_name[name].read = self.stored
        self.execution.take_action(f"{name} reads")

    def deliver_read(self, name: str) -> None:
        holder = self.holders_by_name[name]
        if holder.waiting:
            outcome = self.resolve(holder.write, holder.read)
            adopts = outcome is not WriteOutcome.PENDING
        else:
            adopts = holder.read.revision > holder.view.revision
        if adopts:
            self.execution.take_action(f"{name} gets the record")
            holder.adopt(holder.read)
        self._check()

    def deliver_all(self, name: str) -> None:
        """Complete a pending write and read the result, as in a run without faults."""
        self.deliver_write(name)
        self.deliver_answer(name)
        self.read(name)
        self.deliver_read(name)

    def start_request(self, name: str) -> None:
        holder = self.holders_by_name[name]
        holder.requests += 1
        holder.ledger.acquire_unit(TEAM, f"{name}{holder.requests}", 0)
        self._check()

    def finish_request(self, name: str) -> None:
        number = self.rng.choice(range(1, 9))
        self.holders_by_name[name].ledger.free_unit(f"{name}{number}")

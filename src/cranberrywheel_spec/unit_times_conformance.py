"""Compares lease times, reclaim and reregistration with the unit times model."""

import dataclasses
import fractions
import typing as t

from cranberrywheel.process import quota_units
from cranberrywheel.process.limit_record import HolderRow, LimitRecord
from cranberrywheel.process.membership import MissingHolders, Registration
from cranberrywheel.process.quota_units import Absence, QuotaLedger
from cranberrywheel.settings import QuotaSettings
from cranberrywheel_spec.conformance import ConformanceMachine
from cranberrywheel_spec.model_execution import (
    CompiledModel,
    ModelExecution,
    as_fraction,
)
from cranberrywheel_spec.unit_times import (
    CLOCKS,
    LONG,
    SHORT,
    TOKEN_S,
    TTL_S,
    UnitKind,
    unit_times,
)

_HOLDER, _TEAM, _REQUEST = "z1.e1.0", "t", "r"
_MODELS = {
    unit_kind.name: CompiledModel(unit_times(unit_kind)) for unit_kind in (SHORT, LONG)
}
_SETTINGS = QuotaSettings()
#: Time before a step: one of these durations, or the time left to a time bound of the
#: protocol with an offset of up to a millisecond.
_SHORT_MS = (0, 0, 1, 500, 5_000, 30_000)
_OFFSETS_MS = (-1, 0, 0, 1)

#: A holder's death disables most actions, so it is rare; renewals and starts need
#: several steps, so these are frequent.
_WEIGHTS = {
    "holder dies": 1,
    "answer to renewal is lost": 3,
    "store renews lease": 30,
    "holder gets answer to renewal": 30,
    "holder checks unit and sends start": 30,
    "worker starts or renews task": 60,
}


def _build_inputs(
    passed_ms: int, rates: tuple[int, ...] = (0,) * len(CLOCKS)
) -> dict[str, fractions.Fraction]:
    inputs = {"passed_s": fractions.Fraction(passed_ms, 1000)}
    for clock, rate in zip(CLOCKS, rates, strict=True):
        # The product reads whole milliseconds; the drift is rounded towards true time.
        gain_ms = passed_ms + int(passed_ms * rate / 10_000)
        inputs[f"{clock}_gain"] = fractions.Fraction(gain_ms, 1000)
    return inputs


class UnitTimesMachine(ConformanceMachine):
    """Requires that the product uses and reclaims a unit exactly when the model may."""

    unit_kind: t.ClassVar[UnitKind] = SHORT
    make_ledger: t.ClassVar[type[QuotaLedger]] = QuotaLedger
    make_missing: t.ClassVar[type[MissingHolders]] = MissingHolders
    reclaim: t.ClassVar = staticmethod(quota_units.reclaim)

    def __init__(self) -> None:
        super().__init__()
        self.execution = ModelExecution(
            self.model(), registered=True, knows_unit=True, lease_end_s=TTL_S
        )
        self.registration = Registration(
            _HOLDER, "e1", "z1", "1.1.1.1:1", "1.1.1.1:2", 1
        )
        units = {
            "long": int(self.unit_kind is LONG),
            "short": int(self.unit_kind is SHORT),
        }
        row = HolderRow(
            registration=1, instance="e1", zone="z1", address="1.1.1.1:2", **units
        )
        self.record = LimitRecord(limit=1, limit_version=1, holders={_HOLDER: row})
        self.read_record = self.record
        self.ledger = self.make_ledger(_SETTINGS)
        self.ledger.set_held(_TEAM, row.long, row.short)
        self.ledger.set_limit(_TEAM, 1)
        self.ledger.note_lease_renewal(0)
        self.ledger.acquire_unit(_TEAM, _REQUEST, 0)
        self.missing = self.make_missing()
        self.sent_ms = 0

    @classmethod
    def model(cls) -> CompiledModel:
        """Return the model that this machine compares with."""
        return _MODELS[cls.unit_kind.name]

    def _now_ms(self, clock: str) -> int:
        return int(self.execution.values[clock] * 1000)

    def _list_time_bounds(self) -> list[tuple[str, str, t.Any]]:
        """Return clock, start and length (s) of each time bound of the protocol."""
        return [
            ("holder_s", "valid_from_s", self.unit_kind.hold_s),
            ("store_s", "lease_end_s", 0),
            ("worker_s", "token_s", TOKEN_S),
            ("reclaimer_s", "missing_since_s", as_fraction(self.unit_kind.wait_s)),
            ("reclaimer_s", "reuse_since_s", fractions.Fraction(12_120, 1000)),
        ]

    def _compute_remaining_ms(self, number: int) -> int:
        clock, start, length = self._list_time_bounds()[number]
        values = self.execution.values
        return int((values[start] + length - values[clock]) * 1000)

    def list_step_weights(self) -> dict[str, int]:
        return {"step_shortly": 6, "step_to_bound": 3, "expire_registration": 1}

    def step_shortly(self) -> None:
        """Take any step after a short time, with clocks at different rates."""
        rates = tuple(self.rng.choice((-48, 0, 48)) for _ in CLOCKS)
        self._take_random_action(_build_inputs(self.rng.choice(_SHORT_MS), rates))

    def step_to_bound(self) -> None:
        """Take any step at about the time when a bound of the protocol is reached."""
        remaining_ms = self._compute_remaining_ms(
            self.rng.randrange(5)
        ) + self.rng.choice(_OFFSETS_MS)
        self._take_random_action(_build_inputs(max(0, remaining_ms)))

    def expire_registration(self) -> None:
        """Expire the registration, also directly after a reregistration."""
        self._take_action("holder registers again", _build_inputs(0))
        self._take_action("holder rewrites the record", _build_inputs(0))
        self._take_action("store ends lease", _build_inputs(TTL_S * 1000))
        self._take_action("reclaimer reads the record", _build_inputs(0))
        self._take_action("reclaimer sees registration missing", _build_inputs(0))

    def _take_random_action(self, inputs: dict[str, fractions.Fraction]) -> None:
        names = sorted(self.execution.find_enabled_actions(**inputs))
        weights = [_WEIGHTS.get(name, 10) for name in names]
        self._take_action(self.rng.choices(names, weights)[0], inputs)

    def _take_action(self, name: str, inputs: dict[str, fractions.Fraction]) -> None:
        if name not in self.execution.find_enabled_actions(**inputs):
            return
        self.execution.take_action(name, **inputs)
        if apply_to_product := getattr(self, "_" + name.replace(" ", "_"), None):
            apply_to_product()
        self._check()

    def _check(self) -> None:
        enabled = self.execution.find_enabled_actions()
        values = self.execution.values
        if values["has_token"] and not values["dead"]:
            ledger_may_use = self.ledger.has_valid_unit(
                _REQUEST, self._now_ms("holder_s")
            )
            model_may_use = "holder checks unit and sends start" in enabled
            assert ledger_may_use == model_may_use, f"ledger says {ledger_may_use}"
        if values["record_read"] and values["read_revision"] == values["revision"]:
            is_due = self._is_due()
            may_reclaim = "reclaimer writes the record" in enabled
            # The product restarts the wait after a reuse when the record names another
            # registration of the dead holder; the model does not require this.
            agrees = is_due == may_reclaim or (may_reclaim and values["reuse_seen"])
            assert agrees, f"due: {is_due}"

    def _is_due(self) -> bool:
        row = self.read_record.holders.get(_HOLDER)
        absence = row and self.missing.get(_HOLDER, row.registration)
        if not absence:
            return False
        if not self.execution.values["seen_after_read"]:
            absence = dataclasses.replace(absence, missing_ms=None)
        now_ms = self._now_ms("reclaimer_s")
        after = self.reclaim(self.read_record, _HOLDER, absence, now_ms, _SETTINGS)
        return after.total < self.read_record.total

    def _holder_sends_renewal(self) -> None:
        self.sent_ms = self._now_ms("holder_s")

    def _holder_gets_answer_to_renewal(self) -> None:
        self.ledger.note_lease_renewal(self.sent_ms)

    def _holder_registers_again(self) -> None:
        self.sent_ms = self._now_ms("holder_s")
        self.registration = dataclasses.replace(
            self.registration, revision=self.registration.revision + 1
        )

    def _holder_rewrites_the_record(self) -> None:
        row = HolderRow(
            registration=self.registration.revision,
            instance="e1",
            zone="z1",
            address="1.1.1.1:2",
        )
        self.record = quota_units.update_registration(self.record, _HOLDER, row)
        row = self.record.holders[_HOLDER]
        self.ledger.set_held(_TEAM, row.long, row.short)
        self.ledger.note_lease_renewal(self.sent_ms)

    def _reclaimer_reads_the_record(self) -> None:
        self.read_record = self.record

    def _observe(self, *registrations: Registration) -> None:
        now_ms = self._now_ms("reclaimer_s")
        self.missing.observe([self.read_record], list(registrations), now_ms)

    def _list_replacement_registrations(self) -> list[Registration]:
        replacement = dataclasses.replace(
            self.registration, process_id="z1.e1.1", revision=1_000
        )
        return [replacement] if self.execution.values["reuse_seen"] else []

    def _reclaimer_sees_registration_missing(self) -> None:
        self._observe(*self._list_replacement_registrations())

    def _reclaimer_sees_registration(self) -> None:
        self._observe(self.registration, *self._list_replacement_registrations())

    def _reclaimer_sees_the_new_process(self) -> None:
        present = [] if self.execution.values["missing_seen"] else [self.registration]
        self._observe(*present, *self._list_replacement_registrations())

    def _reclaimer_writes_the_record(self) -> None:
        absence = Absence(0, 0)
        self.record = quota_units.reclaim(
            self.record, _HOLDER, absence, 10**9, _SETTINGS
        )

"""Inductive invariant of the unit time model, for traces of any length.

The model is extended by the true time of each recorded clock reading. With the clock
rate error, a reading then bounds the true time that has passed since.
"""

import dataclasses
import typing as t

import z3

from cranberrywheel_spec.model_checking import Action, Guard, Model, State
from cranberrywheel_spec.unit_times import (
    CLOCK_ERROR,
    TASK_S,
    TOKEN_S,
    TTL_S,
    UnitKind,
    unit_times,
)

#: Recorded readings: the variable, its clock, and the variable for the true time.
_READINGS = (
    ("sent_s", "holder_s", "true_sent_s"),
    ("valid_from_s", "holder_s", "true_valid_s"),
    ("token_s", "worker_s", "true_token_s"),
    ("missing_since_s", "reclaimer_s", "true_missing_s"),
    ("reuse_since_s", "reclaimer_s", "true_reuse_s"),
)
_TRUE_TIMES = (
    "true_now_s", "true_check_s", "true_start_s", "true_lease_s", "true_dead_s",
    *(name for _, _, name in _READINGS),
)  # fmt: skip
_SLOWEST_RATE, _FASTEST_RATE = 1 - CLOCK_ERROR, 1 + CLOCK_ERROR


def _with_true_times(s: State, action: Action) -> Action:
    now_s = s.true_now_s + s.passed_s
    updates: dict[str, t.Any] = {"true_now_s": now_s}
    for reading_name, _, name in _READINGS:
        if reading_name in action.updates:
            old_reading = getattr(s, reading_name)
            keeps_reading = z3.And(
                action.updates[reading_name] == old_reading,
                reading_name == "missing_since_s",
            )
            updates[name] = z3.If(keeps_reading, getattr(s, name), now_s)
    if "valid_from_s" in action.updates:
        updates["true_valid_s"] = s.true_sent_s
    if "task_end_s" in action.updates:
        updates["true_start_s"] = now_s
    if "lease_end_s" in action.updates:
        updates["true_lease_s"] = now_s
    if "dead" in action.updates:
        updates["true_dead_s"] = now_s
    if action.name == "holder checks unit and sends start":
        updates["true_check_s"] = now_s
    return Action(action.name, action.condition, action.updates | updates)


def _clock_facts(s: State) -> list[t.Any]:
    """Return the bounds on each clock's progress at its slowest and fastest rate."""
    facts = []
    readings = [(getattr(s, a), b, getattr(s, c)) for a, b, c in _READINGS]
    readings.append((s.task_end_s - TASK_S, "worker_s", s.true_start_s))
    readings.append((s.lease_end_s - TTL_S, "store_s", s.true_lease_s))
    for reading, clock, true_s in readings:
        gain_s, passed_s = getattr(s, clock) - reading, s.true_now_s - true_s
        facts += [
            gain_s >= passed_s * _SLOWEST_RATE,
            gain_s <= passed_s * _FASTEST_RATE,
        ]
        facts.append(passed_s >= 0)
    return facts


def _state_facts(s: State, unit_kind: UnitKind) -> list[t.Any]:
    use_s = unit_kind.hold_s / _SLOWEST_RATE
    lease_s = TTL_S / _FASTEST_RATE
    started = s.true_start_s >= 0
    pending = z3.And(s.renewing, s.renewed, z3.Not(s.dead))
    seen_missing = z3.And(s.missing_seen, s.seen_entry == s.entry)
    return [
        s.true_now_s >= 0,
        s.true_valid_s <= s.true_sent_s,
        # A check follows its token; a start follows its check.
        z3.Implies(
            s.checked,
            z3.And(
                s.has_token,
                s.true_token_s <= s.true_check_s,
                s.true_check_s <= s.true_now_s,
                s.true_check_s < s.true_valid_s + use_s,
                z3.Implies(s.dead, s.true_check_s <= s.true_dead_s),
            ),
        ),
        z3.Implies(
            started, s.true_start_s <= s.true_valid_s + use_s + TOKEN_S / _SLOWEST_RATE
        ),
        z3.Implies(
            z3.And(started, s.dead),
            s.true_start_s <= s.true_dead_s + TOKEN_S / _SLOWEST_RATE,
        ),
        z3.Implies(z3.Not(started), z3.And(s.task_end_s == 0, s.worker_s >= 0)),
        z3.Implies(s.dead, s.true_dead_s <= s.true_now_s),
        # The store's last renewal of the lease is not before the time from which the
        # holder counts, or will count after the pending answer.
        s.true_lease_s >= s.true_valid_s,
        z3.Implies(pending, s.true_lease_s >= s.true_sent_s),
        z3.Implies(z3.Not(s.registered), s.true_now_s >= s.true_lease_s + lease_s),
        z3.Implies(s.rejoining, s.true_valid_s + lease_s <= s.true_now_s),
        z3.Implies(
            s.rejoining,
            z3.And(z3.Not(s.renewing), s.true_lease_s >= s.true_sent_s),
        ),
        z3.And(s.read_entry <= s.entry, s.seen_entry <= s.read_entry),
        s.read_revision <= s.revision,
        z3.Implies(s.read_revision == s.revision, s.read_entry == s.entry),
        z3.Implies(
            seen_missing,
            z3.And(
                s.true_valid_s + lease_s <= s.true_missing_s,
                z3.Implies(pending, s.true_sent_s + lease_s <= s.true_missing_s),
                z3.Implies(s.registered, z3.Or(s.rejoining, s.dead)),
            ),
        ),
        z3.Implies(s.seen_after_read, z3.And(s.missing_seen, s.record_read)),
        z3.Implies(s.seen_after_read, s.seen_entry == s.read_entry),
        z3.Implies(s.reused, s.dead),
        z3.Implies(s.reuse_seen, z3.And(s.reused, s.true_dead_s <= s.true_reuse_s)),
        z3.Implies(z3.Not(s.reclaimed), s.knows_unit),
        z3.Implies(
            s.reclaimed,
            z3.And(
                s.worker_s >= s.task_end_s,
                z3.Implies(
                    s.checked, s.true_now_s > s.true_check_s + TOKEN_S / _SLOWEST_RATE
                ),
            ),
        ),
        z3.Implies(
            z3.And(s.reclaimed, s.knows_unit, z3.Not(s.dead)),
            z3.And(
                s.true_now_s >= s.true_valid_s + use_s,
                z3.Implies(pending, s.true_now_s >= s.true_sent_s + use_s),
                z3.Implies(s.registered, s.rejoining),
            ),
        ),
    ]


def unit_proof(unit_kind: UnitKind) -> Model:
    """Build the extended model.

    :param unit_kind: times of the kind of unit.
    :returns: the model with an inductive invariant, for ``prove``.
    """
    model = unit_times(unit_kind)

    def actions(s: State, guard: Guard) -> list[Action]:
        return [_with_true_times(s, action) for action in model.actions(s, guard)]

    return dataclasses.replace(
        model,
        name=f"{model.name}, any length",
        sorts=model.sorts | {name: z3.RealSort() for name in _TRUE_TIMES},
        start=lambda s: [
            *model.start(s),
            *(getattr(s, name) == 0 for name in _TRUE_TIMES if name != "true_start_s"),
            # No task has run yet: modelled as one that ended when the clocks started.
            s.true_start_s == -TASK_S,
        ],
        actions=actions,
        invariant=lambda s: [*_clock_facts(s), *_state_facts(s, unit_kind)],
    )

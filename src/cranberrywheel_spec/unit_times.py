"""Model of one quota unit over time: lease, start token, task lease and reclaim.

The holder is one process with one unit. Time is real. Each process reads its own clock,
whose rate differs from true time by up to ``CLOCK_ERROR``, so two clocks differ by
about 1%, as docs/design.md assumes. Any time can pass between two steps, which covers
pauses and slow messages.
"""

import dataclasses
import typing as t

import z3

from cranberrywheel_spec.model_checking import NEVER, Action, Guard, Model, State

# Two clocks differ by at most (1 + e) / (1 - e), which is below 1.01.
CLOCK_ERROR = z3.Q(49, 10_000)
CLOCKS = ("holder_s", "store_s", "reclaimer_s", "worker_s")
TTL_S, SHORT_HOLD_S, LONG_HOLD_S, TOKEN_S, TASK_S = 150, 150, 3_900, 2, 10
MARGIN = z3.Q(101, 100)


@dataclasses.dataclass(frozen=True)
class UnitKind:
    """Times of one kind of unit.

    :param name: name of the kind.
    :param hold_s: how long the holder may use the unit after the last lease renewal.
    :param wait_s: how long the registration must be missing before a reclaim.
    """

    name: str
    hold_s: t.Any
    wait_s: t.Any


# The store's clock ends the registration while the holder's clock ends the hold; the
# last term covers their difference over the short hold.
SHORT = UnitKind(
    "short", SHORT_HOLD_S, (TOKEN_S + TASK_S) * MARGIN + z3.Q(SHORT_HOLD_S, 100)
)
SHORT_AS_DESIGNED = UnitKind(
    "short, designed", SHORT_HOLD_S, (TOKEN_S + TASK_S) * MARGIN
)
LONG = UnitKind("long", LONG_HOLD_S, (LONG_HOLD_S + TOKEN_S + TASK_S) * MARGIN)

_TIMES = (
    *CLOCKS, "lease_end_s", "valid_from_s", "sent_s", "token_s", "task_end_s",
    "missing_since_s", "reuse_since_s",
)  # fmt: skip
_FLAGS = (
    "registered", "renewing", "renewed", "rejoining", "knows_unit", "has_token",
    "checked", "dead", "reused", "reuse_seen", "missing_seen", "record_read",
    "seen_after_read", "reclaimed",
)  # fmt: skip
# ``entry`` is the number of registrations that the holder has written to the record.
_REVISIONS = ("revision", "read_revision", "entry", "read_entry", "seen_entry")


def _start(s: State) -> list[t.Any]:
    initially_true = ("registered", "knows_unit")
    return [
        *(getattr(s, n) == 0 for n in _TIMES if n != "lease_end_s"),
        *(getattr(s, n) == z3.BoolVal(n in initially_true) for n in _FLAGS),
        s.lease_end_s == TTL_S,
        *(getattr(s, n) == 0 for n in _REVISIONS),
    ]


def _renewal_actions(s: State, guard: Guard) -> list[Action]:
    counts_from_answer = guard("hold counts from the start of the renewal", NEVER)
    alive = z3.Not(s.dead)
    return [
        Action(
            "holder sends renewal",
            z3.And(alive, s.registered, z3.Not(s.rejoining)),
            {"renewing": True, "renewed": False, "sent_s": s.holder_s},
        ),
        Action(
            "store renews lease",
            z3.And(s.renewing, s.registered, z3.Not(s.renewed)),
            {"renewed": True, "lease_end_s": s.store_s + TTL_S},
        ),
        Action(
            "holder gets answer to renewal",
            z3.And(alive, s.renewing, s.renewed),
            {
                "renewing": False,
                "valid_from_s": z3.If(counts_from_answer, s.holder_s, s.sent_s),
            },
        ),
        Action("answer to renewal is lost", s.renewing, {"renewing": False}),
        Action(
            "store ends lease",
            z3.And(s.registered, s.store_s >= s.lease_end_s),
            {"registered": False},
        ),
        Action("holder dies", alive, {"dead": True}),
    ]


def _rejoin_actions(s: State, guard: Guard) -> list[Action]:
    alive = z3.Not(s.dead)
    return [
        Action(
            "holder registers again",
            z3.And(alive, z3.Not(s.registered)),
            {
                "registered": True,
                "lease_end_s": s.store_s + TTL_S,
                "renewing": False,
                "sent_s": s.holder_s,
                "rejoining": True,
            },
        ),
        Action(
            "holder rewrites the record",
            z3.And(alive, s.rejoining),
            {
                "rejoining": False,
                "revision": s.revision + 1,
                "entry": s.entry + 1,
                "knows_unit": z3.Not(s.reclaimed),
                "valid_from_s": s.sent_s,
            },
        ),
        Action(
            "holder uses its units without a rewrite",
            z3.And(alive, s.rejoining, guard("rejoin rewrites the record", NEVER)),
            {"rejoining": False, "valid_from_s": s.sent_s},
        ),
    ]


def _task_actions(s: State, unit_kind: UnitKind, guard: Guard) -> list[Action]:
    unit_is_valid = z3.And(s.knows_unit, s.holder_s - s.valid_from_s < unit_kind.hold_s)
    skips_order = guard("check follows token", NEVER)
    return [
        Action(
            "holder gets token",
            z3.Not(s.dead),
            {
                "has_token": True,
                "token_s": s.worker_s,
                "checked": z3.And(s.checked, skips_order),
            },
        ),
        Action(
            "holder checks unit and sends start",
            z3.And(
                z3.Not(s.dead),
                z3.Or(s.has_token, skips_order),
                guard("unit is valid at the check", unit_is_valid),
            ),
            {"checked": True},
        ),
        Action(
            "worker starts or renews task",
            z3.And(
                s.checked,
                s.has_token,
                guard("token is fresh", s.worker_s - s.token_s <= TOKEN_S),
            ),
            {"task_end_s": s.worker_s + TASK_S},
        ),
    ]


def _observation_actions(s: State, guard: Guard) -> list[Action]:
    same_registration = guard(
        "absence is of one registration", s.seen_entry == s.read_entry
    )
    since_s = z3.If(
        z3.And(s.missing_seen, same_registration), s.missing_since_s, s.reclaimer_s
    )
    may_reuse = guard("address is given to one machine", s.dead)
    skips_order = guard("record is read before registrations", NEVER)
    return [
        Action(
            "reclaimer reads the record",
            z3.BoolVal(True),
            {
                "record_read": True,
                "read_revision": s.revision,
                "read_entry": s.entry,
                "seen_after_read": z3.And(s.seen_after_read, skips_order),
            },
        ),
        Action(
            "reclaimer sees registration missing",
            z3.And(s.record_read, z3.Not(s.registered)),
            {
                "missing_seen": True,
                "missing_since_s": since_s,
                "seen_entry": s.read_entry,
                "seen_after_read": True,
            },
        ),
        Action(
            "reclaimer sees registration",
            s.registered,
            {"missing_seen": False, "seen_after_read": False},
        ),
        Action(
            "new process takes the address",
            z3.And(may_reuse, z3.Not(s.reused)),
            {"reused": True},
        ),
        Action(
            "reclaimer sees the new process",
            z3.And(s.reused, z3.Not(s.reuse_seen)),
            {"reuse_seen": True, "reuse_since_s": s.reclaimer_s},
        ),
    ]


def _reclaim_actions(s: State, unit_kind: UnitKind, guard: Guard) -> list[Action]:
    missing_s = s.reclaimer_s - s.missing_since_s
    reuse_s = s.reclaimer_s - s.reuse_since_s
    is_due = z3.Or(
        z3.And(
            s.seen_after_read,
            s.missing_seen,
            guard("reclaim waits", missing_s >= unit_kind.wait_s),
        ),
        z3.And(
            s.reuse_seen,
            guard("reuse waits", reuse_s >= (TOKEN_S + TASK_S) * MARGIN),
        ),
    )
    return [
        Action(
            "reclaimer writes the record",
            z3.And(
                s.record_read,
                is_due,
                z3.Not(s.reclaimed),
                guard("reclaim compares the revision", s.read_revision == s.revision),
            ),
            {"reclaimed": True, "revision": s.revision + 1},
        ),
    ]


def _advance_clocks(s: State) -> tuple[State, t.Any, dict[str, t.Any]]:
    """Advance the clocks before an action, each at its own rate within the error."""
    clocks = {name: getattr(s, name) + getattr(s, f"{name}_gain") for name in CLOCKS}
    allowed = [s.passed_s >= 0]
    for name in CLOCKS:
        gain = getattr(s, f"{name}_gain")
        allowed.append(gain >= s.passed_s * (1 - CLOCK_ERROR))
        allowed.append(gain <= s.passed_s * (1 + CLOCK_ERROR))
    return State(**(vars(s) | clocks)), z3.And(*allowed), clocks


def unit_times(unit_kind: UnitKind) -> Model:
    """Build the model for one kind of unit.

    :param unit_kind: times of the kind.
    :returns: the model; its property is that the holder's task has ended before the
        unit is free for another holder.
    """

    def actions(s: State, guard: Guard) -> list[Action]:
        later_state, allowed, clocks = _advance_clocks(s)
        actions_at_later_time = [
            *_renewal_actions(later_state, guard),
            *_rejoin_actions(later_state, guard),
            *_task_actions(later_state, unit_kind, guard),
            *_observation_actions(later_state, guard),
            *_reclaim_actions(later_state, unit_kind, guard),
        ]
        return [
            Action(a.name, z3.And(allowed, a.condition), clocks | a.updates)
            for a in actions_at_later_time
        ]

    single_user = "unit has one user"
    names = (
        "hold counts from the start of the renewal",
        "rejoin rewrites the record",
        "check follows token",
        "unit is valid at the check",
        "token is fresh",
        "absence is of one registration",
        "address is given to one machine",
        "reclaim waits",
        "reuse waits",
        "record is read before registrations",
        "reclaim compares the revision",
    )
    return Model(
        name=f"unit times, {unit_kind.name}",
        sorts={n: z3.RealSort() for n in _TIMES}
        | {n: z3.BoolSort() for n in _FLAGS}
        | {n: z3.IntSort() for n in _REVISIONS},
        inputs={n: z3.RealSort() for n in ("passed_s", *(f"{c}_gain" for c in CLOCKS))},
        start=_start,
        actions=actions,
        properties=lambda s: {
            single_user: z3.Not(z3.And(s.reclaimed, s.worker_s < s.task_end_s))
        },
        guards=dict.fromkeys(names, single_user),
        depth=12,
    )

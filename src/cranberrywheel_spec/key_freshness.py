"""Model of the revocation of one key and of the three proofs of key freshness.

The model has four entries: the revocation arrives at ``w``, ``c`` confirms it, ``x``
and ``d`` learn of it from the store or from the other entries. The proofs of ``c`` and
``w`` are omitted, since an answer of an entry that knows of the revocation includes
it. Any call can be slow or never answered, which covers outages and partitions. Times
are true time in seconds; messages carry ages, so clocks of two instances are never
compared.
"""

import typing as t

import z3

from cranberrywheel_spec.model_checking import NEVER, Action, Guard, Model, State

LEARNERS, INFORMED = ("x", "d"), ("c", "w")
ENTRIES = (*LEARNERS, *INFORMED)
BOUND_S = 5
#: Pairs of an entry and the peer that it calls.
PAIRS = tuple((entry, peer) for entry in LEARNERS for peer in ENTRIES if entry != peer)

_TIMES = (
    "now_s",
    "accepted_s",
    *(f"{name}_{entry}" for entry in LEARNERS for name in ("proof_s", "read_sent_s")),
    *(
        f"{name}_{entry}{peer}"
        for entry, peer in PAIRS
        for name in ("heard_s", "sent_s")
    ),
    # In an answer of another learner: ages of its proof and of its peer reports.
    *(
        f"{name}_{entry}"
        for entry in LEARNERS
        for name in ("proof_age_s", "c_age_s", "w_age_s")
    ),
)
_FLAGS = (
    "stored",
    "accepted",
    *(f"knows_{entry}" for entry in ENTRIES),
    *(f"gone_{entry}" for entry in INFORMED),
    *(
        f"{name}_{entry}"
        for entry in LEARNERS
        for name in ("reading", "read", "read_knows")
    ),
    *(
        f"{name}_{entry}{peer}"
        for entry, peer in PAIRS
        for name in ("calling", "answered", "answer_knows")
    ),
)
#: Whether the roster of ``x`` lists the entry.
_ROSTER_FLAGS = ("lists_d", "lists_c", "lists_w")


def _get(s: State, name: str, *entries: str) -> t.Any:
    return getattr(s, f"{name}_{''.join(entries)}")


def _max(a: t.Any, b: t.Any) -> t.Any:
    return z3.If(a > b, a, b)


def _start(s: State) -> list[t.Any]:
    return [
        *(getattr(s, name) == 0 for name in _TIMES),
        *(z3.Not(getattr(s, name)) for name in _FLAGS),
    ]


def _read_actions(s: State, entry: str, guard: Guard) -> list[Action]:
    """Build the actions of proof 1: the entry's own read of the store."""
    counts_from_answer = guard("read age counts from before the read", NEVER)
    sent_s = z3.If(counts_from_answer, s.now_s, _get(s, "read_sent_s", entry))
    return [
        Action(
            f"{entry} sends a read to the store",
            z3.BoolVal(True),
            {
                f"reading_{entry}": True,
                f"read_{entry}": False,
                f"read_sent_s_{entry}": s.now_s,
            },
        ),
        Action(
            f"store answers {entry}",
            z3.And(_get(s, "reading", entry), z3.Not(_get(s, "read", entry))),
            {f"read_{entry}": True, f"read_knows_{entry}": s.stored},
        ),
        Action(
            f"{entry} gets the record",
            _get(s, "read", entry),
            {
                f"reading_{entry}": False,
                f"read_{entry}": False,
                f"knows_{entry}": z3.Or(
                    _get(s, "knows", entry), _get(s, "read_knows", entry)
                ),
                f"proof_s_{entry}": _max(_get(s, "proof_s", entry), sent_s),
            },
        ),
    ]


def _call_actions(s: State, entry: str, peer: str, guard: Guard) -> list[Action]:
    """Build the exchange of an entry with a peer that answers until it is gone."""
    counts_from_answer = guard("message age counts from before the call", NEVER)
    sent_s = z3.If(counts_from_answer, s.now_s, _get(s, "sent_s", entry, peer))
    knows_after_merge = z3.Or(
        _get(s, "knows", entry), _get(s, "answer_knows", entry, peer)
    )
    skips_merge = guard("knowledge is merged before its age counts", NEVER)
    reply_updates = {
        f"answered_{entry}{peer}": True,
        f"answer_knows_{entry}{peer}": _get(s, "knows", peer),
    }
    answer_updates = {
        f"calling_{entry}{peer}": False,
        f"answered_{entry}{peer}": False,
        f"knows_{entry}": z3.If(
            skips_merge, _get(s, "knows", entry), knows_after_merge
        ),
        f"heard_s_{entry}{peer}": _max(_get(s, "heard_s", entry, peer), sent_s),
    }
    is_running = z3.BoolVal(True)
    if peer in LEARNERS:
        reply_updates[f"proof_age_s_{entry}"] = s.now_s - _get(s, "proof_s", peer)
        proof_s = sent_s - _get(s, "proof_age_s", entry)
        answer_updates[f"proof_s_{entry}"] = _max(_get(s, "proof_s", entry), proof_s)
        for informed in INFORMED:
            reply_updates[f"{informed}_age_s_{entry}"] = s.now_s - _get(
                s, "heard_s", peer, informed
            )
            reported_s = sent_s - _get(s, f"{informed}_age_s", entry)
            answer_updates[f"heard_s_{entry}{informed}"] = _max(
                _get(s, "heard_s", entry, informed), reported_s
            )
    else:
        is_running = z3.Not(_get(s, "gone", peer))
    return [
        Action(
            f"{entry} calls {peer}",
            z3.BoolVal(True),
            {
                f"calling_{entry}{peer}": True,
                f"answered_{entry}{peer}": False,
                f"sent_s_{entry}{peer}": s.now_s,
            },
        ),
        Action(
            f"{peer} answers {entry}",
            z3.And(
                is_running,
                _get(s, "calling", entry, peer),
                z3.Not(_get(s, "answered", entry, peer)),
            ),
            reply_updates,
        ),
        Action(
            f"{entry} gets the answer of {peer}",
            _get(s, "answered", entry, peer),
            answer_updates,
        ),
    ]


def _all_entries_heard_action(s: State, entry: str, guard: Guard) -> Action:
    """Build proof 3: the oldest report of all registered entries that are not gone."""
    (other,) = set(LEARNERS) - {entry}
    skips_unheard = guard("every registered entry is heard", NEVER)
    skips_unlisted = guard("roster lists every registered entry", NEVER)
    oldest_s, any_counts = s.now_s, NEVER
    for peer in (other, *INFORMED):
        heard_s = _get(s, "heard_s", entry, peer)
        is_counted = (
            z3.BoolVal(True) if peer == other else z3.Not(_get(s, "gone", peer))
        )
        if entry == "x":
            is_counted = z3.And(
                is_counted, z3.Or(_get(s, "lists", peer), z3.Not(skips_unlisted))
            )
        any_counts = z3.Or(any_counts, is_counted)
        # Without the guard, the report of the other learner is sufficient.
        is_counted = z3.And(
            is_counted, z3.Or(z3.Not(skips_unheard), z3.BoolVal(peer == other))
        )
        oldest_s = z3.If(z3.And(is_counted, heard_s < oldest_s), heard_s, oldest_s)
    proof_s = _max(_get(s, "proof_s", entry), oldest_s)
    return Action(f"{entry} has heard all", any_counts, {f"proof_s_{entry}": proof_s})


def _revocation_actions(s: State, guard: Guard) -> list[Action]:
    second_entry_knows = z3.Or(s.knows_c, s.knows_x, s.knows_d)
    all_know = z3.And(s.knows_x, s.knows_d, z3.Or(s.knows_c, s.gone_c))
    accepted_by_tombstone = z3.Or(
        all_know, z3.And(second_entry_knows, guard("mark needs every entry", NEVER))
    )
    accepted_by_store = guard(
        "stored withdrawal needs a second entry", second_entry_knows
    )
    accepted_by_store = z3.And(s.stored, accepted_by_store)
    is_running = z3.Not(s.gone_w)
    actions = [
        Action("w marks the key", is_running, {"knows_w": True}),
        # The two steps are also possible separately; one step keeps traces short.
        Action("w marks and stores", is_running, {"knows_w": True, "stored": True}),
        Action(
            "c confirms the mark",
            z3.And(s.knows_w, z3.Not(s.gone_c)),
            {"knows_c": True},
        ),
        Action(
            "w reports the withdrawal",
            z3.And(
                is_running,
                s.knows_w,
                z3.Not(s.accepted),
                z3.Or(accepted_by_tombstone, accepted_by_store),
            ),
            {"accepted": True, "accepted_s": s.now_s},
        ),
        Action(
            "an entry writes the withdrawal to the store",
            z3.Or(*(_get(s, "knows", entry) for entry in ENTRIES)),
            {"stored": True},
        ),
    ]
    for entry, other in (INFORMED, INFORMED[::-1]):
        other_present = guard(
            "one informed entry is lost at most", z3.Not(_get(s, "gone", other))
        )
        actions.append(
            Action(
                f"{entry} dies, list shows it gone",
                other_present,
                {f"gone_{entry}": True},
            )
        )
    return actions


def _actions(s: State, guard: Guard) -> list[Action]:
    now_s = s.now_s + s.passed_s
    later_state = State(**(vars(s) | {"now_s": now_s}))
    actions = _revocation_actions(later_state, guard)
    for entry in LEARNERS:
        actions += [
            *_read_actions(later_state, entry, guard),
            _all_entries_heard_action(later_state, entry, guard),
        ]
    for entry, peer in PAIRS:
        actions += _call_actions(later_state, entry, peer, guard)
    return [
        Action(
            a.name, z3.And(s.passed_s >= 0, a.condition), {"now_s": now_s} | a.updates
        )
        for a in actions
    ]


def _properties(s: State) -> dict[str, t.Any]:
    is_late = z3.And(s.accepted, s.now_s - s.accepted_s > BOUND_S)
    is_fresh = s.now_s - s.proof_s_x < BOUND_S
    return {
        "withdrawn key is refused": z3.Not(z3.And(is_late, is_fresh, z3.Not(s.knows_x)))
    }


def key_freshness() -> Model:
    """Build the model.

    :returns: the model; its property is that ``x`` accepts no revoked key once
        ``BOUND_S`` has passed since the revocation was reported as accepted.
    """
    names = (
        "read age counts from before the read",
        "message age counts from before the call",
        "knowledge is merged before its age counts",
        "roster lists every registered entry",
        "every registered entry is heard",
        "mark needs every entry",
        "stored withdrawal needs a second entry",
        "one informed entry is lost at most",
    )
    return Model(
        name="key freshness",
        sorts={n: z3.RealSort() for n in _TIMES}
        | {n: z3.BoolSort() for n in (*_FLAGS, *_ROSTER_FLAGS)},
        inputs={"passed_s": z3.RealSort()},
        start=_start,
        actions=_actions,
        properties=_properties,
        guards=dict.fromkeys(names, "withdrawn key is refused"),
        depth=10,
    )

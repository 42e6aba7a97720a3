"""Specification of one key withdrawal and the three proofs of key freshness.

Four entries: the withdrawal arrives at ``w``, ``c`` confirms it, ``x`` and ``d`` learn
of it from the store or from the others. The proofs of ``c`` and ``w`` are left out: an
answer of an entry that knows of the withdrawal carries that knowledge. Any call can be
slow or never answered, which covers outages and partitions. Times are true time in
seconds; messages carry ages, so clocks of two machines are never compared.
"""

import typing as t

import z3

from cranberrywheel_spec.bounded import NEVER, Action, Guard, Model, State

LEARNERS, INFORMED = ("x", "d"), ("c", "w")
ENTRIES = (*LEARNERS, *INFORMED)
BOUND_S = 5
#: ``("i", "j")``: i asks j.
PAIRS = tuple((i, j) for i in LEARNERS for j in ENTRIES if i != j)

_TIMES = (
    "now_s",
    "accepted_s",
    *(f"{name}_{i}" for i in LEARNERS for name in ("proof_s", "read_sent_s")),
    *(f"{name}_{i}{j}" for i, j in PAIRS for name in ("heard_s", "sent_s")),
    # In an answer of another learner: ages of its proof and of what it heard.
    *(
        f"{name}_{i}"
        for i in LEARNERS
        for name in ("proof_age_s", "c_age_s", "w_age_s")
    ),
)
_FLAGS = (
    "stored",
    "accepted",
    *(f"knows_{i}" for i in ENTRIES),
    *(f"gone_{i}" for i in INFORMED),
    *(f"{name}_{i}" for i in LEARNERS for name in ("reading", "read", "read_knows")),
    *(
        f"{name}_{i}{j}"
        for i, j in PAIRS
        for name in ("calling", "answered", "answer_knows")
    ),
)
#: Whether the roster of ``x`` lists the entry.
_ROSTER = ("lists_d", "lists_c", "lists_w")


def _get(s: State, name: str, *entries: str) -> t.Any:
    return getattr(s, f"{name}_{''.join(entries)}")


def _max(a: t.Any, b: t.Any) -> t.Any:
    return z3.If(a > b, a, b)


def _start(s: State) -> list[t.Any]:
    return [
        *(getattr(s, name) == 0 for name in _TIMES),
        *(z3.Not(getattr(s, name)) for name in _FLAGS),
    ]


def _reads(s: State, i: str, guard: Guard) -> list[Action]:
    """Proof 1: the entry's own read of the store."""
    late = guard("read age counts from before the read", NEVER)
    sent_s = z3.If(late, s.now_s, _get(s, "read_sent_s", i))
    return [
        Action(
            f"{i} sends a read to the store",
            z3.BoolVal(True),
            {f"reading_{i}": True, f"read_{i}": False, f"read_sent_s_{i}": s.now_s},
        ),
        Action(
            f"store answers {i}",
            z3.And(_get(s, "reading", i), z3.Not(_get(s, "read", i))),
            {f"read_{i}": True, f"read_knows_{i}": s.stored},
        ),
        Action(
            f"{i} gets the record",
            _get(s, "read", i),
            {
                f"reading_{i}": False,
                f"read_{i}": False,
                f"knows_{i}": z3.Or(_get(s, "knows", i), _get(s, "read_knows", i)),
                f"proof_s_{i}": _max(_get(s, "proof_s", i), sent_s),
            },
        ),
    ]


def _calls(s: State, i: str, j: str, guard: Guard) -> list[Action]:
    """Exchange of i with j; j can be an entry that is gone only before it is."""
    late = guard("message age counts from before the call", NEVER)
    sent_s = z3.If(late, s.now_s, _get(s, "sent_s", i, j))
    known = z3.Or(_get(s, "knows", i), _get(s, "answer_knows", i, j))
    unmerged = guard("knowledge is merged before its age counts", NEVER)
    answer = {f"answered_{i}{j}": True, f"answer_knows_{i}{j}": _get(s, "knows", j)}
    gain = {
        f"calling_{i}{j}": False,
        f"answered_{i}{j}": False,
        f"knows_{i}": z3.If(unmerged, _get(s, "knows", i), known),
        f"heard_s_{i}{j}": _max(_get(s, "heard_s", i, j), sent_s),
    }
    present = z3.BoolVal(True)
    if j in LEARNERS:
        answer[f"proof_age_s_{i}"] = s.now_s - _get(s, "proof_s", j)
        proof_s = sent_s - _get(s, "proof_age_s", i)
        gain[f"proof_s_{i}"] = _max(_get(s, "proof_s", i), proof_s)
        for k in INFORMED:
            answer[f"{k}_age_s_{i}"] = s.now_s - _get(s, "heard_s", j, k)
            word_s = sent_s - _get(s, f"{k}_age_s", i)
            gain[f"heard_s_{i}{k}"] = _max(_get(s, "heard_s", i, k), word_s)
    else:
        present = z3.Not(_get(s, "gone", j))
    return [
        Action(
            f"{i} calls {j}",
            z3.BoolVal(True),
            {
                f"calling_{i}{j}": True,
                f"answered_{i}{j}": False,
                f"sent_s_{i}{j}": s.now_s,
            },
        ),
        Action(
            f"{j} answers {i}",
            z3.And(
                present, _get(s, "calling", i, j), z3.Not(_get(s, "answered", i, j))
            ),
            answer,
        ),
        Action(f"{i} gets the answer of {j}", _get(s, "answered", i, j), gain),
    ]


def _census(s: State, i: str, guard: Guard) -> Action:
    """Proof 3: the oldest message of all registered entries that are not gone."""
    (other,) = set(LEARNERS) - {i}
    unheard = guard("every registered entry is heard", NEVER)
    unlisted = guard("roster lists every registered entry", NEVER)
    oldest_s, some = s.now_s, NEVER
    for j in (other, *INFORMED):
        heard_s = _get(s, "heard_s", i, j)
        counts = z3.BoolVal(True) if j == other else z3.Not(_get(s, "gone", j))
        if i == "x":
            counts = z3.And(counts, z3.Or(_get(s, "lists", j), z3.Not(unlisted)))
        some = z3.Or(some, counts)
        # Without the guard, the message of the other learner is enough.
        counts = z3.And(counts, z3.Or(z3.Not(unheard), z3.BoolVal(j == other)))
        oldest_s = z3.If(z3.And(counts, heard_s < oldest_s), heard_s, oldest_s)
    proof_s = _max(_get(s, "proof_s", i), oldest_s)
    return Action(f"{i} has heard all", some, {f"proof_s_{i}": proof_s})


def _withdrawal(s: State, guard: Guard) -> list[Action]:
    second = z3.Or(s.knows_c, s.knows_x, s.knows_d)
    everyone = z3.And(s.knows_x, s.knows_d, z3.Or(s.knows_c, s.gone_c))
    by_mark = z3.Or(everyone, z3.And(second, guard("mark needs every entry", NEVER)))
    by_store = guard("stored withdrawal needs a second entry", second)
    by_store = z3.And(s.stored, by_store)
    present = z3.Not(s.gone_w)
    found = [
        Action("w marks the key", present, {"knows_w": True}),
        # Also possible in two steps; one step keeps traces short.
        Action("w marks and stores", present, {"knows_w": True, "stored": True}),
        Action(
            "c confirms the mark",
            z3.And(s.knows_w, z3.Not(s.gone_c)),
            {"knows_c": True},
        ),
        Action(
            "w reports the withdrawal",
            z3.And(present, s.knows_w, z3.Not(s.accepted), z3.Or(by_mark, by_store)),
            {"accepted": True, "accepted_s": s.now_s},
        ),
        Action(
            "an entry writes the withdrawal to the store",
            z3.Or(*(_get(s, "knows", i) for i in ENTRIES)),
            {"stored": True},
        ),
    ]
    for i, other in (INFORMED, INFORMED[::-1]):
        one = guard(
            "one informed entry is lost at most", z3.Not(_get(s, "gone", other))
        )
        found.append(Action(f"{i} dies, list shows it gone", one, {f"gone_{i}": True}))
    return found


def _actions(s: State, guard: Guard) -> list[Action]:
    now_s = s.now_s + s.passed_s
    later = State(**(vars(s) | {"now_s": now_s}))
    found = _withdrawal(later, guard)
    for i in LEARNERS:
        found += [*_reads(later, i, guard), _census(later, i, guard)]
    for i, j in PAIRS:
        found += _calls(later, i, j, guard)
    return [
        Action(
            a.name, z3.And(s.passed_s >= 0, a.condition), {"now_s": now_s} | a.updates
        )
        for a in found
    ]


def _properties(s: State) -> dict[str, t.Any]:
    late = z3.And(s.accepted, s.now_s - s.accepted_s > BOUND_S)
    fresh = s.now_s - s.proof_s_x < BOUND_S
    return {"withdrawn key is refused": z3.Not(z3.And(late, fresh, z3.Not(s.knows_x)))}


def key_freshness() -> Model:
    """Build the model.

    :returns: the model; its property says that ``x`` accepts no withdrawn key once the
        bound has passed since the withdrawal was reported as accepted.
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
        | {n: z3.BoolSort() for n in (*_FLAGS, *_ROSTER)},
        inputs={"passed_s": z3.RealSort()},
        start=_start,
        actions=_actions,
        properties=_properties,
        guards=dict.fromkeys(names, "withdrawn key is refused"),
        depth=10,
    )

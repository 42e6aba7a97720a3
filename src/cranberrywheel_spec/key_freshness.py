"""Specification of one key withdrawal and the three proofs of key freshness.

Three entries: the withdrawal arrives at ``w``; ``c`` and ``x`` learn of it from the
store or from peers. Any call can be slow or never answered, which covers outages and
partitions. Times are true time in seconds; messages carry ages, so clocks of two
machines are never compared.
"""

import itertools
import typing as t

import z3

from cranberrywheel_spec.bounded import Action, Guard, Model, State

ENTRIES = ("x", "c", "w")
BOUND_S = 5
NEVER = z3.BoolVal(False)
#: ``("i", "j")``: what entry i asked entry j.
PAIRS = tuple(itertools.permutations(ENTRIES, 2))

_TIMES = (
    "now_s",
    "accepted_s",
    *(f"{name}_{i}" for i in ENTRIES for name in ("proof_s", "read_sent_s")),
    # A call: when it was sent, and the ages in its answer. ``word`` is about the third
    # entry, which the answering one relays.
    *(
        f"{name}_{i}{j}"
        for i, j in PAIRS
        for name in ("heard_s", "sent_s", "proof_age_s", "word_age_s")
    ),
)
_FLAGS = (
    "stored",
    "accepted",
    *(
        f"{name}_{i}"
        for i in ENTRIES
        for name in ("knows", "dead", "gone", "reading", "read", "read_knows")
    ),
    *(
        f"{name}_{i}{j}"
        for i, j in PAIRS
        for name in ("calling", "answered", "answer_knows")
    ),
)
#: Rosters of ``x``: whether it lists the entry.
_ROSTER = ("lists_c", "lists_w")


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
    alive = z3.Not(_get(s, "dead", i))
    sent_s = z3.If(
        guard("read age counts from before the read", NEVER),
        s.now_s,
        _get(s, "read_sent_s", i),
    )
    return [
        Action(
            f"{i} sends a read to the store",
            alive,
            {f"reading_{i}": True, f"read_{i}": False, f"read_sent_s_{i}": s.now_s},
        ),
        Action(
            f"store answers {i}",
            z3.And(_get(s, "reading", i), z3.Not(_get(s, "read", i))),
            {f"read_{i}": True, f"read_knows_{i}": s.stored},
        ),
        Action(
            f"{i} gets the record",
            z3.And(alive, _get(s, "read", i)),
            {
                f"reading_{i}": False,
                f"read_{i}": False,
                f"knows_{i}": z3.Or(_get(s, "knows", i), _get(s, "read_knows", i)),
                f"proof_s_{i}": _max(_get(s, "proof_s", i), sent_s),
            },
        ),
    ]


def _exchanges(s: State, i: str, j: str, guard: Guard) -> list[Action]:
    """Proof 2, and the messages that proof 3 counts."""
    (k,) = set(ENTRIES) - {i, j}
    alive = z3.Not(_get(s, "dead", i))
    sent_s = z3.If(
        guard("message age counts from before the call", NEVER),
        s.now_s,
        _get(s, "sent_s", i, j),
    )
    known = z3.Or(_get(s, "knows", i), _get(s, "answer_knows", i, j))
    unmerged = guard("knowledge is merged before its age counts", NEVER)
    proof_s = sent_s - _get(s, "proof_age_s", i, j)
    word_s = sent_s - _get(s, "word_age_s", i, j)
    return [
        Action(
            f"{i} calls {j}",
            alive,
            {
                f"calling_{i}{j}": True,
                f"answered_{i}{j}": False,
                f"sent_s_{i}{j}": s.now_s,
            },
        ),
        Action(
            f"{j} answers {i}",
            z3.And(
                z3.Not(_get(s, "dead", j)),
                _get(s, "calling", i, j),
                z3.Not(_get(s, "answered", i, j)),
            ),
            {
                f"answered_{i}{j}": True,
                f"answer_knows_{i}{j}": _get(s, "knows", j),
                f"proof_age_s_{i}{j}": s.now_s - _get(s, "proof_s", j),
                f"word_age_s_{i}{j}": s.now_s - _get(s, "heard_s", j, k),
            },
        ),
        Action(
            f"{i} gets the answer of {j}",
            z3.And(alive, _get(s, "answered", i, j)),
            {
                f"calling_{i}{j}": False,
                f"answered_{i}{j}": False,
                f"knows_{i}": z3.If(unmerged, _get(s, "knows", i), known),
                f"heard_s_{i}{j}": _max(_get(s, "heard_s", i, j), sent_s),
                f"heard_s_{i}{k}": _max(_get(s, "heard_s", i, k), word_s),
                f"proof_s_{i}": _max(_get(s, "proof_s", i), proof_s),
            },
        ),
    ]


def _census(s: State, i: str, guard: Guard) -> Action:
    """Proof 3: every registered entry that is not gone was heard."""
    newest = _get(s, "proof_s", i)
    needed = []
    for j in set(ENTRIES) - {i}:
        listed = z3.BoolVal(True)
        if i == "x":
            # An entry that registered after the last read of the roster.
            unlisted = guard("roster lists every registered entry", NEVER)
            listed = z3.Or(_get(s, "lists", j), z3.Not(unlisted))
        needed.append((z3.And(listed, z3.Not(_get(s, "gone", j))), j))
    some = z3.Or(*(counts for counts, _ in needed))
    oldest = s.now_s
    for counts, j in needed:
        counts = z3.And(counts, guard("every registered entry is heard", counts))
        heard_s = _get(s, "heard_s", i, j)
        oldest = z3.If(z3.And(counts, heard_s < oldest), heard_s, oldest)
    if not z3.is_true(guard("every registered entry is heard", NEVER)):
        proof_s = oldest
    else:
        first, second = (_get(s, "heard_s", i, j) for _, j in needed)
        proof_s = _max(first, second)
    return Action(
        f"{i} has heard all",
        z3.And(z3.Not(_get(s, "dead", i)), some),
        {f"proof_s_{i}": _max(newest, proof_s)},
    )


def _withdrawal(s: State, guard: Guard) -> list[Action]:
    second = z3.Or(s.knows_c, s.knows_x)
    everyone = z3.And(
        *(z3.Or(_get(s, "knows", i), _get(s, "gone", i)) for i in ("x", "c"))
    )
    by_mark = z3.Or(everyone, z3.And(second, guard("a mark needs every entry", NEVER)))
    by_store = z3.And(
        s.stored, guard("a stored withdrawal needs a second entry", second)
    )
    alive = z3.Not(s.dead_w)
    found = [
        Action("w marks the key", alive, {"knows_w": True}),
        Action(
            "w reports the withdrawal",
            z3.And(
                alive, s.knows_w, z3.Not(s.accepted), z3.Or(by_mark, by_store),
            ),
            {"accepted": True, "accepted_s": s.now_s},
        ),
    ]  # fmt: skip
    for i in ENTRIES:
        found.append(
            Action(
                f"{i} writes the withdrawal to the store",
                z3.And(_get(s, "knows", i), z3.Not(_get(s, "dead", i))),
                {"stored": True},
            )
        )
    # Not both entries that know of a withdrawal are lost.
    for i in ("c", "w"):
        other = "w" if i == "c" else "c"
        one = guard("one entry is lost at most", z3.Not(_get(s, "dead", other)))
        found.append(Action(f"{i} dies", one, {f"dead_{i}": True}))
        truly = guard("list names only dead entries as gone", _get(s, "dead", i))
        found.append(Action(f"list shows {i} gone", truly, {f"gone_{i}": True}))
    return found


def _actions(s: State, guard: Guard) -> list[Action]:
    now_s = s.now_s + s.passed_s
    later = State(**(vars(s) | {"now_s": now_s}))
    found = _withdrawal(later, guard)
    for i in ENTRIES:
        found += [*_reads(later, i, guard), _census(later, i, guard)]
    for i, j in PAIRS:
        found += _exchanges(later, i, j, guard)
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
    refused = "withdrawn key is refused"
    names = (
        "read age counts from before the read",
        "message age counts from before the call",
        "knowledge is merged before its age counts",
        "roster lists every registered entry",
        "every registered entry is heard",
        "a mark needs every entry",
        "a stored withdrawal needs a second entry",
        "one entry is lost at most",
        "list names only dead entries as gone",
    )
    return Model(
        name="key freshness",
        sorts={n: z3.RealSort() for n in _TIMES}
        | {n: z3.BoolSort() for n in (*_FLAGS, *_ROSTER)},
        inputs={"passed_s": z3.RealSort()},
        start=_start,
        actions=_actions,
        properties=_properties,
        guards=dict.fromkeys(names, refused),
        depth=8,
    )

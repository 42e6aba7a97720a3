"""Specification of unit counts in ``limits/<team>``: transfers by compare-and-swap.

Two holders, any limit. Each holder has a view of the record and a usable count. Writes
and reads are messages that can be delayed without bound, and answers can be lost. Free
units are those of the limit that no holder has.
"""

import typing as t

import z3

from cranberrywheel_spec.bounded import NEVER, Action, Guard, Model, State

HOLDERS = ("a", "b")
# record: held_*; view, read and write of each holder: counts and revision.
_COUNTS = (
    "limit", "held_a", "held_b", "revision", "input_own", "input_given",
    *(
        f"{name}_{p}"
        for p in HOLDERS
        for name in (
            "usable", "view_a", "view_b", "view_revision", "read_a", "read_b",
            "read_revision", "write_a", "write_b", "write_expects", "accepted_at",
        )
    ),
)  # fmt: skip
_FLAGS = tuple(
    f"{name}_{p}" for p in HOLDERS for name in ("waiting", "in_flight", "accepted")
)


class _Holder:
    """Variables of one holder by role instead of by name."""

    def __init__(self, s: State, own: str) -> None:
        self.own, self.other = own, HOLDERS[own == "a"]
        self._s = s

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._s, f"{name}_{self.own}")

    def pair(self, name: str) -> dict[str, t.Any]:
        """Return one count per holder: of the view, the read or the write."""
        return {p: getattr(self._s, f"{name}_{p}_{self.own}") for p in HOLDERS}


def _start(s: State) -> list[t.Any]:
    found = [s.revision == 0, s.held_a >= 0, s.held_b >= 0]
    found.append(s.held_a + s.held_b <= s.limit)
    for p in HOLDERS:
        h = _Holder(s, p)
        found += [h.usable == getattr(s, f"held_{p}"), h.view_revision == 0]
        found += [h.read_revision == 0, h.write_expects == 0, h.accepted_at == 0]
        for name in ("view", "read", "write"):
            found += [v == getattr(s, f"held_{q}") for q, v in h.pair(name).items()]
        found += [z3.Not(x) for x in (h.waiting, h.in_flight, h.accepted)]
    return found


def _write(h: _Holder, counts: dict[str, t.Any], usable: t.Any) -> dict[str, t.Any]:
    p = h.own
    return {
        f"write_a_{p}": counts["a"],
        f"write_b_{p}": counts["b"],
        f"write_expects_{p}": h.view_revision,
        f"usable_{p}": usable,
        f"waiting_{p}": True,
        f"in_flight_{p}": True,
        f"accepted_{p}": False,
    }


def _sends(s: State, h: _Holder, guard: Guard) -> list[Action]:
    """A write changes the own count and only raises the other holder's count."""
    view, p, q = h.pair("view"), h.own, h.other
    # A write in flight that expects an older revision can only fail.
    idle = z3.And(
        z3.Not(h.waiting),
        z3.Or(z3.Not(h.in_flight), h.write_expects < h.view_revision),
    )
    own, given = s.input_own, s.input_given
    fits = guard("sum fits the limit", own + view[q] + given <= s.limit)
    usable = z3.If(own < h.usable, own, h.usable)
    usable = z3.If(guard("count falls before the write", NEVER), h.usable, usable)
    late = guard("count rises after the answer", NEVER)
    usable = z3.If(z3.And(late, own > usable), own, usable)
    return [
        Action(
            f"{p} sends a write",
            z3.And(idle, own >= 0, given >= 0, fits),
            _write(h, {p: own, q: view[q] + given}, usable),
        )
    ]


def _store(s: State, h: _Holder, guard: Guard) -> list[Action]:
    p, write = h.own, h.pair("write")
    same = guard("store compares the revision", h.write_expects == s.revision)
    return [
        Action(
            f"store accepts write of {p}",
            z3.And(h.in_flight, same),
            {
                "held_a": write["a"],
                "held_b": write["b"],
                "revision": s.revision + 1,
                f"in_flight_{p}": False,
                f"accepted_{p}": True,
                f"accepted_at_{p}": s.revision + 1,
            },
        ),
        Action(
            f"store refuses write of {p}",
            z3.And(h.in_flight, h.write_expects != s.revision),
            {f"in_flight_{p}": False},
        ),
        Action(
            f"{p} reads",
            z3.BoolVal(True),
            {
                f"read_a_{p}": s.held_a,
                f"read_b_{p}": s.held_b,
                f"read_revision_{p}": s.revision,
            },
        ),
    ]


def _adopt(h: _Holder, counts: dict[str, t.Any], revision: t.Any) -> dict[str, t.Any]:
    p = h.own
    return {
        f"view_a_{p}": counts["a"],
        f"view_b_{p}": counts["b"],
        f"view_revision_{p}": revision,
        f"usable_{p}": counts[p],
        f"waiting_{p}": False,
        f"accepted_{p}": False,
    }


def _answers(s: State, h: _Holder, guard: Guard) -> list[Action]:
    p = h.own
    newer = h.read_revision > h.view_revision
    not_older = h.read_revision >= h.view_revision
    usable_record = z3.If(
        h.waiting,
        z3.Or(newer, z3.And(not_older, guard("lost write needs a newer read", NEVER))),
        guard("older reads are ignored", not_older),
    )
    return [
        Action(
            f"{p} gets its answer",
            z3.And(h.waiting, h.accepted),
            _adopt(h, h.pair("write"), h.accepted_at),
        ),
        Action(
            f"{p} gets the record",
            usable_record,
            _adopt(h, h.pair("read"), h.read_revision),
        ),
    ]


def _actions(s: State, guard: Guard) -> list[Action]:
    found = []
    for p in HOLDERS:
        h = _Holder(s, p)
        for part in (_sends, _store, _answers):
            found += part(s, h, guard)
    return found


def _properties(s: State) -> dict[str, t.Any]:
    return {"usable units fit the limit": s.usable_a + s.usable_b <= s.limit}


def _invariant(s: State) -> list[t.Any]:
    """Inductive: implies the property in every reachable state."""
    held = {"a": s.held_a, "b": s.held_b}
    found = [s.held_a >= 0, s.held_b >= 0, s.held_a + s.held_b <= s.limit]
    for p in HOLDERS:
        h = _Holder(s, p)
        view, read, write, q = h.pair("view"), h.pair("read"), h.pair("write"), h.other
        live = z3.And(h.in_flight, h.write_expects == s.revision)
        found += [
            h.usable <= held[p],
            h.view_revision <= s.revision,
            h.read_revision <= s.revision,
            h.write_expects <= h.view_revision,
            z3.Implies(h.accepted, h.accepted_at <= s.revision),
            z3.Implies(h.in_flight, z3.Not(h.accepted)),
            z3.Implies(z3.Not(h.waiting), view[p] <= held[p]),
            z3.Implies(
                h.read_revision == h.view_revision,
                z3.And(*(read[x] == view[x] for x in HOLDERS)),
            ),
        ]
        for revision, counts in ((h.view_revision, view), (h.read_revision, read)):
            same = z3.And(*(counts[x] == held[x] for x in HOLDERS))
            found.append(z3.Implies(revision == s.revision, same))
        found += [
            z3.Implies(h.read_revision > h.view_revision, read[p] <= held[p]),
            z3.Implies(
                z3.And(h.waiting, h.accepted),
                z3.And(write[p] <= held[p], h.accepted_at > h.view_revision),
            ),
            z3.Implies(
                z3.And(h.accepted, h.accepted_at == s.revision),
                z3.And(*(write[x] == held[x] for x in HOLDERS)),
            ),
            z3.Implies(
                z3.And(h.accepted, h.accepted_at == h.read_revision),
                z3.And(*(write[x] == read[x] for x in HOLDERS)),
            ),
            z3.Implies(
                live,
                z3.And(
                    h.waiting,
                    h.usable <= write[p],
                    write[q] >= held[q],
                    write[p] >= 0,
                    write["a"] + write["b"] <= s.limit,
                ),
            ),
        ]
    return found


def unit_transfers() -> Model:
    """Build the model.

    :returns: the model; its property says that the usable counts fit the limit.
    """
    fits = "usable units fit the limit"
    names = (
        "count falls before the write", "count rises after the answer",
        "sum fits the limit", "store compares the revision",
        "lost write needs a newer read", "older reads are ignored",
    )  # fmt: skip
    inputs = {n: z3.IntSort() for n in _COUNTS if n.startswith("input_")}
    return Model(
        name="unit transfers",
        sorts={n: z3.IntSort() for n in _COUNTS if n not in inputs}
        | {n: z3.BoolSort() for n in _FLAGS},
        inputs=inputs,
        start=_start,
        actions=_actions,
        properties=_properties,
        guards=dict.fromkeys(names, fits),
        depth=6,
        invariant=_invariant,
    )

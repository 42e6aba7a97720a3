"""Model of quota unit counts in ``limits/<team>``: transfers by compare-and-swap.

The model has two holders and any limit. Each holder has a view of the record and a
usable count. Writes and reads are messages that can be delayed without bound, and
answers can be lost. Free units are the part of the limit that no holder has.
"""

import typing as t

import z3

from cranberrywheel_spec.model_checking import NEVER, Action, Guard, Model, State

HOLDERS = ("a", "b")
# ``held_*`` are the counts in the record; each holder has counts and a revision for its
# view of the record, its last read and its pending write.
_COUNTS = (
    "limit", "held_a", "held_b", "revision", "input_own", "input_given",
    *(
        f"{name}_{holder_id}"
        for holder_id in HOLDERS
        for name in (
            "usable", "view_a", "view_b", "view_revision", "read_a", "read_b",
            "read_revision", "write_a", "write_b", "write_expects", "accepted_at",
        )
    ),
)  # fmt: skip
_FLAGS = tuple(
    f"{name}_{holder_id}"
    for holder_id in HOLDERS
    for name in ("waiting", "in_flight", "accepted")
)


class _HolderVariables:
    """Accesses the variables of one holder without its name suffix."""

    def __init__(self, s: State, own: str) -> None:
        self.own, self.other = own, HOLDERS[own == "a"]
        self._s = s

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._s, f"{name}_{self.own}")

    def counts_by_holder(self, name: str) -> dict[str, t.Any]:
        """Return the counts by holder in the view, the read or the write."""
        return {
            holder_id: getattr(self._s, f"{name}_{holder_id}_{self.own}")
            for holder_id in HOLDERS
        }


def _start(s: State) -> list[t.Any]:
    conditions = [s.revision == 0, s.held_a >= 0, s.held_b >= 0]
    conditions.append(s.held_a + s.held_b <= s.limit)
    for holder_id in HOLDERS:
        holder = _HolderVariables(s, holder_id)
        conditions += [
            holder.usable == getattr(s, f"held_{holder_id}"),
            holder.view_revision == 0,
        ]
        conditions += [
            holder.read_revision == 0,
            holder.write_expects == 0,
            holder.accepted_at == 0,
        ]
        for name in ("view", "read", "write"):
            conditions += [
                v == getattr(s, f"held_{other_id}")
                for other_id, v in holder.counts_by_holder(name).items()
            ]
        conditions += [
            z3.Not(flag) for flag in (holder.waiting, holder.in_flight, holder.accepted)
        ]
    return conditions


def _write_updates(
    holder: _HolderVariables, counts: dict[str, t.Any], usable: t.Any
) -> dict[str, t.Any]:
    holder_id = holder.own
    return {
        f"write_a_{holder_id}": counts["a"],
        f"write_b_{holder_id}": counts["b"],
        f"write_expects_{holder_id}": holder.view_revision,
        f"usable_{holder_id}": usable,
        f"waiting_{holder_id}": True,
        f"in_flight_{holder_id}": True,
        f"accepted_{holder_id}": False,
    }


def _send_actions(s: State, holder: _HolderVariables, guard: Guard) -> list[Action]:
    """Build a write that sets the own count and may only raise the other's count."""
    view, holder_id, other_id = (
        holder.counts_by_holder("view"),
        holder.own,
        holder.other,
    )
    # A write in flight that expects an older revision will be refused.
    may_send = z3.And(
        z3.Not(holder.waiting),
        z3.Or(z3.Not(holder.in_flight), holder.write_expects < holder.view_revision),
    )
    own, given = s.input_own, s.input_given
    within_limit = guard("sum fits the limit", own + view[other_id] + given <= s.limit)
    usable = z3.If(own < holder.usable, own, holder.usable)
    usable = z3.If(guard("count falls before the write", NEVER), holder.usable, usable)
    raises_early = guard("count rises after the answer", NEVER)
    usable = z3.If(z3.And(raises_early, own > usable), own, usable)
    return [
        Action(
            f"{holder_id} sends a write",
            z3.And(may_send, own >= 0, given >= 0, within_limit),
            _write_updates(
                holder, {holder_id: own, other_id: view[other_id] + given}, usable
            ),
        )
    ]


def _store_actions(s: State, holder: _HolderVariables, guard: Guard) -> list[Action]:
    holder_id, write = holder.own, holder.counts_by_holder("write")
    revision_matches = guard(
        "store compares the revision", holder.write_expects == s.revision
    )
    return [
        Action(
            f"store accepts write of {holder_id}",
            z3.And(holder.in_flight, revision_matches),
            {
                "held_a": write["a"],
                "held_b": write["b"],
                "revision": s.revision + 1,
                f"in_flight_{holder_id}": False,
                f"accepted_{holder_id}": True,
                f"accepted_at_{holder_id}": s.revision + 1,
            },
        ),
        Action(
            f"store refuses write of {holder_id}",
            z3.And(holder.in_flight, holder.write_expects != s.revision),
            {f"in_flight_{holder_id}": False},
        ),
        Action(
            f"{holder_id} reads",
            z3.BoolVal(True),
            {
                f"read_a_{holder_id}": s.held_a,
                f"read_b_{holder_id}": s.held_b,
                f"read_revision_{holder_id}": s.revision,
            },
        ),
    ]


def _adopt_updates(
    holder: _HolderVariables, counts: dict[str, t.Any], revision: t.Any
) -> dict[str, t.Any]:
    holder_id = holder.own
    return {
        f"view_a_{holder_id}": counts["a"],
        f"view_b_{holder_id}": counts["b"],
        f"view_revision_{holder_id}": revision,
        f"usable_{holder_id}": counts[holder_id],
        f"waiting_{holder_id}": False,
        f"accepted_{holder_id}": False,
    }


def _answer_actions(s: State, holder: _HolderVariables, guard: Guard) -> list[Action]:
    holder_id = holder.own
    newer = holder.read_revision > holder.view_revision
    not_older = holder.read_revision >= holder.view_revision
    usable_record = z3.If(
        holder.waiting,
        z3.Or(newer, z3.And(not_older, guard("lost write needs a newer read", NEVER))),
        guard("older reads are ignored", not_older),
    )
    return [
        Action(
            f"{holder_id} gets its answer",
            z3.And(holder.waiting, holder.accepted),
            _adopt_updates(
                holder, holder.counts_by_holder("write"), holder.accepted_at
            ),
        ),
        Action(
            f"{holder_id} gets the record",
            usable_record,
            _adopt_updates(
                holder, holder.counts_by_holder("read"), holder.read_revision
            ),
        ),
    ]


def _actions(s: State, guard: Guard) -> list[Action]:
    actions = []
    for holder_id in HOLDERS:
        holder = _HolderVariables(s, holder_id)
        for build_actions in (_send_actions, _store_actions, _answer_actions):
            actions += build_actions(s, holder, guard)
    return actions


def _properties(s: State) -> dict[str, t.Any]:
    return {"usable units fit the limit": s.usable_a + s.usable_b <= s.limit}


def _invariant(s: State) -> list[t.Any]:
    """Return the inductive invariant, which implies the property."""
    held = {"a": s.held_a, "b": s.held_b}
    conditions = [s.held_a >= 0, s.held_b >= 0, s.held_a + s.held_b <= s.limit]
    for holder_id in HOLDERS:
        holder = _HolderVariables(s, holder_id)
        view, read, write, other_id = (
            holder.counts_by_holder("view"),
            holder.counts_by_holder("read"),
            holder.counts_by_holder("write"),
            holder.other,
        )
        may_succeed = z3.And(holder.in_flight, holder.write_expects == s.revision)
        conditions += [
            holder.usable <= held[holder_id],
            holder.view_revision <= s.revision,
            holder.read_revision <= s.revision,
            holder.write_expects <= holder.view_revision,
            z3.Implies(holder.accepted, holder.accepted_at <= s.revision),
            z3.Implies(holder.in_flight, z3.Not(holder.accepted)),
            z3.Implies(z3.Not(holder.waiting), view[holder_id] <= held[holder_id]),
            z3.Implies(
                holder.read_revision == holder.view_revision,
                z3.And(
                    *(
                        read[counted_holder] == view[counted_holder]
                        for counted_holder in HOLDERS
                    )
                ),
            ),
        ]
        for revision, counts in (
            (holder.view_revision, view),
            (holder.read_revision, read),
        ):
            counts_match = z3.And(
                *(
                    counts[counted_holder] == held[counted_holder]
                    for counted_holder in HOLDERS
                )
            )
            conditions.append(z3.Implies(revision == s.revision, counts_match))
        conditions += [
            z3.Implies(
                holder.read_revision > holder.view_revision,
                read[holder_id] <= held[holder_id],
            ),
            z3.Implies(
                z3.And(holder.waiting, holder.accepted),
                z3.And(
                    write[holder_id] <= held[holder_id],
                    holder.accepted_at > holder.view_revision,
                ),
            ),
            z3.Implies(
                z3.And(holder.accepted, holder.accepted_at == s.revision),
                z3.And(
                    *(
                        write[counted_holder] == held[counted_holder]
                        for counted_holder in HOLDERS
                    )
                ),
            ),
            z3.Implies(
                z3.And(holder.accepted, holder.accepted_at == holder.read_revision),
                z3.And(
                    *(
                        write[counted_holder] == read[counted_holder]
                        for counted_holder in HOLDERS
                    )
                ),
            ),
            z3.Implies(
                may_succeed,
                z3.And(
                    holder.waiting,
                    holder.usable <= write[holder_id],
                    write[other_id] >= held[other_id],
                    write[holder_id] >= 0,
                    write["a"] + write["b"] <= s.limit,
                ),
            ),
        ]
    return conditions


def unit_transfers() -> Model:
    """Build the model.

    :returns: the model; its property is that the usable counts fit the limit.
    """
    within_limit = "usable units fit the limit"
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
        guards=dict.fromkeys(names, within_limit),
        depth=6,
        invariant=_invariant,
    )

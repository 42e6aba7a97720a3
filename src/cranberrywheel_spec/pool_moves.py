"""Specification of maintenance and moves of one instance under two planners.

Planner 1 holds the zone's lease first and planner 2 after it; a paused planner 1 goes
on at any later time. The instance shares the budget of one service with an instance of
another zone, so at most one of the two may be out. Platform calls can be delayed or
lost.
"""

import typing as t

import z3

from cranberrywheel_spec.bounded import NEVER, Action, Guard, Model, State

PLANNERS = ("1", "2")
SERVING, DRAINING, EMPTY, REBOOTING = range(4)
NO_CALL, DRAIN, UNDRAIN, REBOOT = range(4)

# ``listed`` and ``other_listed`` are the record ``disruptions``; ``disturbed`` notes a
# pool change or reboot while a task ran.
_FLAGS = (
    "listed", "other_listed", "drained", "other_drained", "running", "disturbed",
    *(
        f"{name}_{p}"
        for p in PLANNERS
        for name in (
            "leads", "in_force", "knows_listed", "list_own", "list_other",
            "lease_checked", "saw_empty", "answered",
        )
    ),
)  # fmt: skip
_NUMBERS = (
    "state", "pool", "fence", "revision", "platform_fence", "list_revision",
    *(
        f"{name}_{p}"
        for p in PLANNERS
        for name in (
            "view_state", "view_revision", "list_view", "call",
        )
    ),
)  # fmt: skip


def _get(s: State, name: str, p: str) -> t.Any:
    return getattr(s, f"{name}_{p}")


def _start(s: State) -> list[t.Any]:
    return [getattr(s, n) == 0 for n in _NUMBERS] + [
        z3.Not(getattr(s, n)) for n in _FLAGS
    ]


def _lead(s: State, p: str, guard: Guard) -> list[Action]:
    """A new planner writes its fence, then repeats the recorded state."""
    mine = int(p)
    first = z3.Not(_get(s, "leads", "2")) if p == "1" else z3.BoolVal(True)
    repeated = guard("new planner repeats the recorded state", NEVER)
    return [
        Action(
            f"planner {p} takes the lease and writes its fence",
            z3.And(z3.Not(_get(s, "leads", p)), first, s.fence < mine),
            {
                f"leads_{p}": True,
                f"in_force_{p}": repeated,
                f"answered_{p}": repeated,
                "fence": mine,
                "revision": s.revision + 1,
                f"view_revision_{p}": s.revision + 1,
                f"view_state_{p}": s.state,
                f"call_{p}": z3.If(repeated, NO_CALL, _call_for(s.state)),
            },
        ),
        Action(
            f"planner {p} reads disruptions",
            _get(s, "leads", p),
            {
                f"list_view_{p}": s.list_revision,
                f"list_own_{p}": s.listed,
                f"list_other_{p}": s.other_listed,
                f"lease_checked_{p}": False,
                f"knows_listed_{p}": z3.Or(
                    _get(s, "knows_listed", p),
                    z3.And(s.listed, guard("own write lists the instance", NEVER)),
                ),
            },
        ),
        Action(
            f"planner {p} finds its lease valid",
            z3.And(_get(s, "leads", p), first),
            {f"lease_checked_{p}": True},
        ),
        Action(
            f"planner {p} repeats its call",
            z3.And(
                _get(s, "leads", p),
                _get(s, "call", p) == NO_CALL,
                z3.Not(_get(s, "answered", p)),
            ),
            {f"call_{p}": _call_for(_get(s, "view_state", p))},
        ),
    ]


def _call_for(state: t.Any) -> t.Any:
    return z3.If(state == SERVING, UNDRAIN, z3.If(state == REBOOTING, REBOOT, DRAIN))


def _write(s: State, p: str, guard: Guard, state: int, when: t.Any) -> Action:
    """Write the next state by compare-and-swap; the platform call follows it."""
    same = _get(s, "view_revision", p) == s.revision
    call = {SERVING: UNDRAIN, DRAINING: DRAIN, EMPTY: NO_CALL, REBOOTING: REBOOT}
    names = ("serving", "draining", "empty", "rebooting")
    disturbs = z3.And(s.running, z3.BoolVal(state in (SERVING, REBOOTING)))
    moves = z3.And(z3.BoolVal(state == SERVING), _get(s, "view_state", p) == EMPTY)
    return Action(
        f"planner {p} writes {names[state]}",
        z3.And(
            _get(s, "leads", p),
            _get(s, "in_force", p),
            guard("record write compares the revision", same),
            when,
        ),
        {
            "state": state,
            "pool": z3.If(moves, 1 - s.pool, s.pool),
            "disturbed": z3.Or(s.disturbed, z3.And(disturbs, moves)),
            "revision": s.revision + 1,
            f"view_revision_{p}": s.revision + 1,
            f"view_state_{p}": state,
            f"call_{p}": call[state],
            f"answered_{p}": z3.BoolVal(state == EMPTY),
            f"saw_empty_{p}": False,
        },
    )


def _steps(s: State, p: str, guard: Guard) -> list[Action]:
    view = _get(s, "view_state", p)
    listed = guard("instance is listed before it drains", _get(s, "knows_listed", p))
    answered = _get(s, "answered", p)
    after = guard("report follows the answer to the drain", answered)
    empty = guard("worker reports no task", z3.Not(s.running))
    found = [
        _write(s, p, guard, DRAINING, z3.And(view == SERVING, answered, listed)),
        Action(
            f"planner {p} gets a report without tasks",
            z3.And(_get(s, "leads", p), view == DRAINING, after, empty),
            {f"saw_empty_{p}": True},
        ),
        _write(s, p, guard, EMPTY, z3.And(view == DRAINING, _get(s, "saw_empty", p))),
        _write(s, p, guard, REBOOTING, view == EMPTY),
        _write(s, p, guard, SERVING, z3.Or(view == EMPTY, view == DRAINING)),
    ]
    back = z3.And(view == REBOOTING, answered)
    found.append(_write(s, p, guard, SERVING, back))
    return found


def _disruptions(s: State, p: str, guard: Guard) -> list[Action]:
    revision = s.list_revision + 1
    same = _get(s, "list_view", p) == s.list_revision
    own, other = _get(s, "list_own", p), _get(s, "list_other", p)
    checked = _get(s, "lease_checked", p)
    may_write = z3.And(
        _get(s, "leads", p),
        guard("disruptions are compared and swapped", same),
        guard("lease is checked after the list is read", checked),
        _get(s, "view_state", p) == SERVING,
    )
    served = guard("entry stays until the undrain is answered", _get(s, "answered", p))
    view = {
        "other_listed": other,
        "list_revision": revision,
        f"list_view_{p}": revision,
        f"lease_checked_{p}": False,
    }
    return [
        Action(
            f"planner {p} lists the instance",
            z3.And(may_write, z3.Not(own), guard("budget is checked", z3.Not(other))),
            {"listed": True, f"list_own_{p}": True, f"knows_listed_{p}": True, **view},
        ),
        Action(
            f"planner {p} removes the instance from the list",
            z3.And(may_write, own, _get(s, "in_force", p), served),
            {
                "listed": False,
                f"list_own_{p}": False,
                f"knows_listed_{p}": False,
                **view,
            },
        ),
    ]


def _platform(s: State, p: str, guard: Guard) -> list[Action]:
    call, mine = _get(s, "call", p), int(p)
    fenced = guard("platform compares the fence", s.platform_fence <= mine)
    return [
        Action(
            f"platform carries out the call of planner {p}",
            z3.And(call != NO_CALL, fenced),
            {
                "platform_fence": z3.If(
                    s.platform_fence > mine, s.platform_fence, mine
                ),
                "drained": call != UNDRAIN,
                "disturbed": z3.Or(s.disturbed, z3.And(call == REBOOT, s.running)),
                f"call_{p}": NO_CALL,
                f"in_force_{p}": True,
                f"answered_{p}": True,
            },
        ),
        Action(
            f"call of planner {p} is lost before the platform",
            call != NO_CALL,
            {f"call_{p}": NO_CALL},
        ),
    ]


def _others(s: State, guard: Guard) -> list[Action]:
    """Entries start tasks; the planner of the other zone drains its instance."""
    return [
        Action("entry starts a task", z3.Not(s.drained), {"running": True}),
        Action("task ends", s.running, {"running": False}),
        Action(
            "other planner lists and drains",
            z3.And(z3.Not(s.listed), z3.Not(s.other_listed)),
            {
                "other_listed": True,
                "other_drained": True,
                "list_revision": s.list_revision + 1,
            },
        ),
        Action(
            "other planner admits and removes",
            s.other_listed,
            {
                "other_listed": False,
                "other_drained": False,
                "list_revision": s.list_revision + 1,
            },
        ),
    ]


def _actions(s: State, guard: Guard) -> list[Action]:
    found = _others(s, guard)
    for p in PLANNERS:
        for part in (_lead, _steps, _disruptions, _platform):
            found += part(s, p, guard)
    return found


def _properties(s: State) -> dict[str, t.Any]:
    return {
        "planned stops disturb no task": z3.Not(s.disturbed),
        "drained instances fit the budget": z3.Not(z3.And(s.drained, s.other_drained)),
    }


def pool_moves() -> Model:
    """Build the model.

    :returns: the model; its properties say that no task runs at a pool change or
        reboot, and that instances of two zones are never drained beyond the budget.
    """
    quiet, budget = "planned stops disturb no task", "drained instances fit the budget"
    return Model(
        name="pool moves",
        sorts={n: z3.IntSort() for n in _NUMBERS} | {n: z3.BoolSort() for n in _FLAGS},
        inputs={},
        start=_start,
        actions=_actions,
        properties=_properties,
        guards={
            "new planner repeats the recorded state": quiet,
            "record write compares the revision": quiet,
            "instance is listed before it drains": budget,
            "report follows the answer to the drain": quiet,
            "worker reports no task": quiet,
            "disruptions are compared and swapped": budget,
            "budget is checked": budget,
            "entry stays until the undrain is answered": budget,
            "own write lists the instance": budget,
            "lease is checked after the list is read": budget,
            "platform compares the fence": quiet,
        },
        depth=12,
    )

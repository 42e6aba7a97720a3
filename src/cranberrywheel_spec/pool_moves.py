"""Model of maintenance and pool moves of one instance under two planners.

Planner 1 holds the zone's lease first, planner 2 after it; a paused planner 1 can
resume at any later time. The instance shares the budget of one service with an
instance of another zone, so at most one of the two may be drained at a time. Platform
calls can be delayed or lost.
"""

import typing as t

import z3

from cranberrywheel_spec.model_checking import NEVER, Action, Guard, Model, State

PLANNERS = ("1", "2")
SERVING, DRAINING, EMPTY, REBOOTING = range(4)
NO_CALL, DRAIN, UNDRAIN, REBOOT = range(4)

# ``listed`` and ``other_listed`` are the record ``disruptions``; ``disturbed`` is set
# by a pool change or reboot while a task runs.
_FLAGS = (
    "listed", "other_listed", "drained", "other_drained", "running", "disturbed",
    *(
        f"{name}_{planner}"
        for planner in PLANNERS
        for name in (
            "leads", "in_force", "knows_listed", "list_own", "list_other",
            "lease_checked", "saw_empty", "answered",
        )
    ),
)  # fmt: skip
_NUMBERS = (
    "state", "pool", "fence", "revision", "platform_fence", "list_revision",
    *(
        f"{name}_{planner}"
        for planner in PLANNERS
        for name in (
            "view_state", "view_revision", "list_view", "call",
        )
    ),
)  # fmt: skip


def _get(s: State, name: str, planner: str) -> t.Any:
    return getattr(s, f"{name}_{planner}")


def _start(s: State) -> list[t.Any]:
    return [getattr(s, n) == 0 for n in _NUMBERS] + [
        z3.Not(getattr(s, n)) for n in _FLAGS
    ]


def _leadership_actions(s: State, planner: str, guard: Guard) -> list[Action]:
    """Build the takeover: write the fence, then repeat the call for the state."""
    own_fence = int(planner)
    may_hold_lease = (
        z3.Not(_get(s, "leads", "2")) if planner == "1" else z3.BoolVal(True)
    )
    skips_repeat = guard("new planner repeats the recorded state", NEVER)
    return [
        Action(
            f"planner {planner} takes the lease and writes its fence",
            z3.And(
                z3.Not(_get(s, "leads", planner)), may_hold_lease, s.fence < own_fence
            ),
            {
                f"leads_{planner}": True,
                f"in_force_{planner}": skips_repeat,
                f"answered_{planner}": skips_repeat,
                "fence": own_fence,
                "revision": s.revision + 1,
                f"view_revision_{planner}": s.revision + 1,
                f"view_state_{planner}": s.state,
                f"call_{planner}": z3.If(
                    skips_repeat, NO_CALL, _required_call(s.state)
                ),
            },
        ),
        Action(
            f"planner {planner} reads disruptions",
            _get(s, "leads", planner),
            {
                f"list_view_{planner}": s.list_revision,
                f"list_own_{planner}": s.listed,
                f"list_other_{planner}": s.other_listed,
                f"lease_checked_{planner}": False,
                f"knows_listed_{planner}": z3.Or(
                    _get(s, "knows_listed", planner),
                    z3.And(s.listed, guard("own write lists the instance", NEVER)),
                ),
            },
        ),
        Action(
            f"planner {planner} finds its lease valid",
            z3.And(_get(s, "leads", planner), may_hold_lease),
            {f"lease_checked_{planner}": True},
        ),
        Action(
            f"planner {planner} repeats its call",
            z3.And(
                _get(s, "leads", planner),
                _get(s, "call", planner) == NO_CALL,
                z3.Not(_get(s, "answered", planner)),
            ),
            {f"call_{planner}": _required_call(_get(s, "view_state", planner))},
        ),
    ]


def _required_call(state: t.Any) -> t.Any:
    return z3.If(state == SERVING, UNDRAIN, z3.If(state == REBOOTING, REBOOT, DRAIN))


def _record_write_action(
    s: State, planner: str, guard: Guard, state: int, condition: t.Any
) -> Action:
    """Build a compare-and-swap of the state, which the platform call follows."""
    revision_matches = _get(s, "view_revision", planner) == s.revision
    call_by_state = {
        SERVING: UNDRAIN,
        DRAINING: DRAIN,
        EMPTY: NO_CALL,
        REBOOTING: REBOOT,
    }
    names = ("serving", "draining", "empty", "rebooting")
    may_disturb = z3.And(s.running, z3.BoolVal(state in (SERVING, REBOOTING)))
    changes_pool = z3.And(
        z3.BoolVal(state == SERVING), _get(s, "view_state", planner) == EMPTY
    )
    return Action(
        f"planner {planner} writes {names[state]}",
        z3.And(
            _get(s, "leads", planner),
            _get(s, "in_force", planner),
            guard("record write compares the revision", revision_matches),
            condition,
        ),
        {
            "state": state,
            "pool": z3.If(changes_pool, 1 - s.pool, s.pool),
            "disturbed": z3.Or(s.disturbed, z3.And(may_disturb, changes_pool)),
            "revision": s.revision + 1,
            f"view_revision_{planner}": s.revision + 1,
            f"view_state_{planner}": state,
            f"call_{planner}": call_by_state[state],
            f"answered_{planner}": z3.BoolVal(state == EMPTY),
            f"saw_empty_{planner}": False,
        },
    )


def _lifecycle_actions(s: State, planner: str, guard: Guard) -> list[Action]:
    view_state = _get(s, "view_state", planner)
    is_listed = guard(
        "instance is listed before it drains", _get(s, "knows_listed", planner)
    )
    answered = _get(s, "answered", planner)
    report_is_current = guard("report follows the answer to the drain", answered)
    reports_idle = guard("worker reports no task", z3.Not(s.running))
    actions = [
        _record_write_action(
            s,
            planner,
            guard,
            DRAINING,
            z3.And(view_state == SERVING, answered, is_listed),
        ),
        Action(
            f"planner {planner} gets a report without tasks",
            z3.And(
                _get(s, "leads", planner),
                view_state == DRAINING,
                report_is_current,
                reports_idle,
            ),
            {f"saw_empty_{planner}": True},
        ),
        _record_write_action(
            s,
            planner,
            guard,
            EMPTY,
            z3.And(view_state == DRAINING, _get(s, "saw_empty", planner)),
        ),
        _record_write_action(s, planner, guard, REBOOTING, view_state == EMPTY),
        _record_write_action(
            s,
            planner,
            guard,
            SERVING,
            z3.Or(view_state == EMPTY, view_state == DRAINING),
        ),
    ]
    after_reboot = z3.And(view_state == REBOOTING, answered)
    actions.append(_record_write_action(s, planner, guard, SERVING, after_reboot))
    return actions


def _disruption_list_actions(s: State, planner: str, guard: Guard) -> list[Action]:
    revision = s.list_revision + 1
    revision_matches = _get(s, "list_view", planner) == s.list_revision
    lists_own, lists_other = (
        _get(s, "list_own", planner),
        _get(s, "list_other", planner),
    )
    lease_checked = _get(s, "lease_checked", planner)
    may_write = z3.And(
        _get(s, "leads", planner),
        guard("disruptions are compared and swapped", revision_matches),
        guard("lease is checked after the list is read", lease_checked),
        _get(s, "view_state", planner) == SERVING,
    )
    undrain_answered = guard(
        "entry stays until the undrain is answered", _get(s, "answered", planner)
    )
    updates = {
        "other_listed": lists_other,
        "list_revision": revision,
        f"list_view_{planner}": revision,
        f"lease_checked_{planner}": False,
    }
    return [
        Action(
            f"planner {planner} lists the instance",
            z3.And(
                may_write,
                z3.Not(lists_own),
                guard("budget is checked", z3.Not(lists_other)),
            ),
            {
                "listed": True,
                f"list_own_{planner}": True,
                f"knows_listed_{planner}": True,
                **updates,
            },
        ),
        Action(
            f"planner {planner} removes the instance from the list",
            z3.And(
                may_write, lists_own, _get(s, "in_force", planner), undrain_answered
            ),
            {
                "listed": False,
                f"list_own_{planner}": False,
                f"knows_listed_{planner}": False,
                **updates,
            },
        ),
    ]


def _platform_actions(s: State, planner: str, guard: Guard) -> list[Action]:
    pending_call, own_fence = _get(s, "call", planner), int(planner)
    fence_accepted = guard("platform compares the fence", s.platform_fence <= own_fence)
    return [
        Action(
            f"platform carries out the call of planner {planner}",
            z3.And(pending_call != NO_CALL, fence_accepted),
            {
                "platform_fence": z3.If(
                    s.platform_fence > own_fence, s.platform_fence, own_fence
                ),
                "drained": pending_call != UNDRAIN,
                "disturbed": z3.Or(
                    s.disturbed, z3.And(pending_call == REBOOT, s.running)
                ),
                f"call_{planner}": NO_CALL,
                f"in_force_{planner}": True,
                f"answered_{planner}": True,
            },
        ),
        Action(
            f"call of planner {planner} is lost before the platform",
            pending_call != NO_CALL,
            {f"call_{planner}": NO_CALL},
        ),
    ]


def _environment_actions(s: State, guard: Guard) -> list[Action]:
    """Build the actions of the entries and of the planner of the other zone."""
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
    actions = _environment_actions(s, guard)
    for planner in PLANNERS:
        for build_actions in (
            _leadership_actions,
            _lifecycle_actions,
            _disruption_list_actions,
            _platform_actions,
        ):
            actions += build_actions(s, planner, guard)
    return actions


def _properties(s: State) -> dict[str, t.Any]:
    return {
        "planned stops disturb no task": z3.Not(s.disturbed),
        "drained instances fit the budget": z3.Not(z3.And(s.drained, s.other_drained)),
    }


def pool_moves() -> Model:
    """Build the model.

    :returns: the model; its properties are that no task runs during a pool change or
        reboot, and that instances of two zones are never drained beyond the budget.
    """
    no_disturbance, within_budget = (
        "planned stops disturb no task",
        "drained instances fit the budget",
    )
    return Model(
        name="pool moves",
        sorts={n: z3.IntSort() for n in _NUMBERS} | {n: z3.BoolSort() for n in _FLAGS},
        inputs={},
        start=_start,
        actions=_actions,
        properties=_properties,
        guards={
            "new planner repeats the recorded state": no_disturbance,
            "record write compares the revision": no_disturbance,
            "instance is listed before it drains": within_budget,
            "report follows the answer to the drain": no_disturbance,
            "worker reports no task": no_disturbance,
            "disruptions are compared and swapped": within_budget,
            "budget is checked": within_budget,
            "entry stays until the undrain is answered": within_budget,
            "own write lists the instance": within_budget,
            "lease is checked after the list is read": within_budget,
            "platform compares the fence": no_disturbance,
        },
        depth=12,
    )

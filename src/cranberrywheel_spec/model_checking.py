"""Bounded model checking of transition systems with z3.

A :class:`Model` lists typed variables, the initial states, actions and properties. Each
action is a condition and the new values of the variables that it changes. A guard is a
named condition that can be dropped, to show that a property depends on it.
"""

import dataclasses
import types
import typing as t

import z3

State = types.SimpleNamespace
#: ``guard(name, condition)`` returns the condition, or true if the guard is dropped.
Guard = t.Callable[[str, t.Any], t.Any]
#: ``guard(name, NEVER)`` is true only if the guard is dropped: it enables the faulty
#: behaviour that the guard excludes.
NEVER = z3.BoolVal(False)


@dataclasses.dataclass
class Action:
    """One transition.

    :param name: shown in traces.
    :param condition: z3 expression that enables the transition.
    :param updates: new values by variable name; other variables are unchanged.
    """

    name: str
    condition: t.Any
    updates: dict[str, t.Any]


@dataclasses.dataclass(frozen=True)
class Model:
    """A transition system.

    :param name: used by the command line and the reports.
    :param sorts: z3 sorts of the state variables, by name.
    :param inputs: z3 sorts of values chosen freely at each step, by name.
    :param start: constraints on the initial state.
    :param actions: returns the actions from a state (inputs included), given a guard
        function.
    :param properties: conditions that hold in each state, by name.
    :param guards: name of each guard that can be dropped and the property that then
        fails.
    :param depth: number of steps that the check covers.
    :param invariant: conditions that hold at the start, are kept by every action and
        imply the properties; ``None`` if the model has none.
    """

    name: str
    sorts: dict[str, z3.SortRef]
    inputs: dict[str, z3.SortRef]
    start: t.Callable[[State], list[t.Any]]
    actions: t.Callable[[State, Guard], list[Action]]
    properties: t.Callable[[State], dict[str, t.Any]]
    guards: dict[str, str]
    depth: int
    invariant: t.Callable[[State], list[t.Any]] | None = None


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """Outcome of one bounded check.

    :param violated: the property that fails, or ``""``.
    :param steps: the shortest trace that violates it: action names with the variables
        that changed; empty if no property fails.
    :param depth: number of steps covered, or the length of the trace.
    """

    violated: str
    steps: tuple[str, ...]
    depth: int


def _make_state(model: Model, step: int) -> State:
    sorts = model.sorts | model.inputs
    return State(**{n: z3.Const(f"{n}@{step}", sort) for n, sort in sorts.items()})


def _build_transition(
    model: Model, state: State, next_state: State, guard: Guard, choice: t.Any
) -> tuple[list[t.Any], list[Action]]:
    actions = model.actions(state, guard)
    enabled = [
        z3.Implies(choice == i, action.condition) for i, action in enumerate(actions)
    ]
    constraints = [z3.And(0 <= choice, choice < len(actions)), *enabled]
    for name in model.sorts:
        value = getattr(state, name)
        for i, action in enumerate(actions):
            if name in action.updates:
                value = z3.If(choice == i, action.updates[name], value)
        constraints.append(getattr(next_state, name) == value)
    return constraints, actions


def _format_trace(
    model: Model, model_values: z3.ModelRef, names: list[str], depth: int
) -> list[str]:
    steps = []
    for step in range(depth):
        action = names[model_values.eval(z3.Int(f"choice@{step}")).as_long()]
        state, next_state = _make_state(model, step), _make_state(model, step + 1)
        changes = []
        for name in model.sorts:
            old = model_values.eval(getattr(state, name), model_completion=True)
            new = model_values.eval(getattr(next_state, name), model_completion=True)
            if not old.eq(new):
                text = new.as_decimal(3) if z3.is_rational_value(new) else str(new)
                changes.append(f"{name}={text}")
        steps.append(f"{action}: {' '.join(changes)}")
    return steps


def _make_guard(model: Model, dropped: str) -> Guard:
    def guard(name: str, condition: t.Any) -> t.Any:
        if name not in model.guards:
            raise KeyError(f"{model.name} does not list guard {name!r}")
        return z3.BoolVal(True) if name == dropped else condition

    return guard


def find_violation(model: Model, dropped: str = "", depth: int = 0) -> CheckResult:
    """Search all traces from the shortest for one that violates a property.

    :param model: the transition system.
    :param dropped: a guard to leave out; ``""`` keeps all.
    :param depth: number of steps to cover; 0 means the depth of the model.
    :returns: the first violation, or none within the depth.
    :raises RuntimeError: if z3 cannot decide a query.
    """

    guard = _make_guard(model, dropped)
    solver = z3.Solver()
    solver.set("random_seed", 0)
    state = _make_state(model, 0)
    solver.add(*model.start(state))
    names: list[str] = []
    for step in range((depth or model.depth) + 1):
        for name, holds in model.properties(state).items():
            answer = solver.check(z3.Not(holds))
            if answer == z3.sat:
                steps = _format_trace(model, solver.model(), names, step)
                return CheckResult(name, tuple(steps), step)
            if answer == z3.unknown:
                raise RuntimeError(
                    f"z3 could not decide {name!r}: {solver.reason_unknown()}"
                )
        next_state = _make_state(model, step + 1)
        choice = z3.Int(f"choice@{step}")
        constraints, actions = _build_transition(
            model, state, next_state, guard, choice
        )
        names = [action.name for action in actions]
        solver.add(*constraints)
        state = next_state
    return CheckResult("", (), depth or model.depth)


def find_unproved_claims(model: Model, dropped: str = "") -> list[str]:
    """Check that the invariant of a model is inductive and implies its properties.

    A successful proof covers traces of any length.

    :param model: a model with an invariant.
    :param dropped: a guard to leave out; ``""`` keeps all.
    :returns: names of the failed claims: ``start``, a property, or an action that
        breaks the invariant; empty if the proof succeeds.
    """
    state, next_state = _make_state(model, 0), _make_state(model, 1)
    invariant = z3.And(*model.invariant(state))
    choice = z3.Int("choice@0")
    step, actions = _build_transition(
        model, state, next_state, _make_guard(model, dropped), choice
    )
    claims = {"start": [*model.start(state), z3.Not(invariant)]}
    for name, holds in model.properties(state).items():
        claims[name] = [invariant, z3.Not(holds)]
    invariant_broken = z3.Not(z3.And(*model.invariant(next_state)))
    for i, action in enumerate(actions):
        claims[action.name] = [invariant, *step, choice == i, invariant_broken]
    failed = []
    for name, claim in claims.items():
        solver = z3.Solver()
        solver.add(*claim)
        if solver.check() != z3.unsat:
            failed.append(name)
    return failed

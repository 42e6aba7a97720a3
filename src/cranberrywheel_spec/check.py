"""Runs the model checks and prints the extent of each one.

``python -m cranberrywheel_spec.check`` checks every model with all guards, then once
without each guard. ``--deeper N`` adds steps to the first check; ``--traces`` prints
the shortest violation for each dropped guard. The exit code is 0 if every
property holds and every dropped guard leads to a violation, else 1.
"""

import argparse
import dataclasses
import sys
import typing as t

import z3

from cranberrywheel_spec.key_freshness import key_freshness
from cranberrywheel_spec.model_checking import (
    CheckResult,
    Model,
    State,
    find_unproved_claims,
    find_violation,
)
from cranberrywheel_spec.pool_moves import pool_moves
from cranberrywheel_spec.tickets import tickets
from cranberrywheel_spec.unit_proof import unit_proof
from cranberrywheel_spec.unit_times import LONG, SHORT, unit_times
from cranberrywheel_spec.unit_transfers import unit_transfers

MODELS: tuple[Model, ...] = (
    unit_times(SHORT),
    unit_times(LONG),
    unit_transfers(),
    tickets(),
    pool_moves(),
    key_freshness(),
)

#: Models with an inductive invariant, by the name of the model that they prove.
PROOFS: dict[str, Model] = {
    "unit times, short": unit_proof(SHORT),
    "unit times, long": unit_proof(LONG),
    "unit transfers": unit_transfers(),
    "tickets": tickets(),
}


def describe_size(model: Model) -> str:
    """Describe the size of a model: its numbers of variables and actions."""
    sorts = model.sorts | model.inputs
    state = State(**{name: z3.Const(name, sort) for name, sort in sorts.items()})
    actions = model.actions(state, lambda _, condition: condition)
    kinds = [str(sort) for sort in model.sorts.values()]
    counts = ", ".join(f"{kinds.count(k)} {k}" for k in sorted(set(kinds)))
    return f"variables={len(kinds)} ({counts}) actions={len(actions)}"


def find_violation_without_guard(model: Model, guard: str) -> CheckResult:
    """Check a model without one guard for the property that depends on the guard."""
    name = model.guards[guard]
    single_property_model = dataclasses.replace(
        model, properties=lambda s: {name: model.properties(s)[name]}
    )
    return find_violation(single_property_model, guard)


def report_model(model: Model, deeper: int, traces: bool) -> bool:
    """Check one model and print the results.

    :param deeper: steps beyond the depth of the model.
    :param traces: whether to print the violations that dropped guards lead to.
    :returns: whether every property holds and every dropped guard gives a violation.
    """
    print(f"{model.name}: {describe_size(model)}")
    result = find_violation(model, depth=model.depth + deeper)
    as_expected = not result.violated
    print(f"  all guards: {result.violated or 'holds'}, every trace to {result.depth}")
    for step in result.steps:
        print(f"    {step}")
    if proof := PROOFS.get(model.name):
        failed = find_unproved_claims(proof)
        as_expected = as_expected and not failed
        text = f"not proved: {', '.join(failed)}" if failed else "proved"
        print(f"  any length: {text}")
    for guard in model.guards:
        guard_result = find_violation_without_guard(model, guard)
        as_expected = as_expected and bool(guard_result.violated)
        text = (
            f"fails at {guard_result.depth}: {guard_result.violated}"
            if guard_result.violated
            else "HOLDS"
        )
        print(f"  without '{guard}': {text}")
        for step in guard_result.steps if traces else ():
            print(f"    {step}")
    return as_expected


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Check all models.

    :param arguments: command-line arguments; ``None`` reads ``sys.argv``.
    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(prog="python -m cranberrywheel_spec.check")
    parser.add_argument("--deeper", type=int, default=0, metavar="N")
    parser.add_argument("--traces", action="store_true")
    options = parser.parse_args(arguments)
    as_expected = [
        report_model(model, options.deeper, options.traces) for model in MODELS
    ]
    print(f"{sum(as_expected)} of {len(as_expected)} models as expected")
    return 0 if all(as_expected) else 1


if __name__ == "__main__":
    sys.exit(main())

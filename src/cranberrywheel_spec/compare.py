"""Runs the conformance checks of the product's code against the models.

``python -m cranberrywheel_spec.compare --examples N`` runs each state machine N times
with fixed seeds and prints the number of steps and the actions of the model that were
never taken. The exit code is 0, or 1 if the code differs from a model.
"""

import argparse
import dataclasses
import sys
import typing as t

import hypothesis
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from cranberrywheel_spec.freshness_conformance import FreshnessMachine
from cranberrywheel_spec.pool_conformance import PoolMachine
from cranberrywheel_spec.ticket_conformance import TicketMachine
from cranberrywheel_spec.unit_times import LONG
from cranberrywheel_spec.unit_times_conformance import UnitTimesMachine
from cranberrywheel_spec.unit_transfers_conformance import UnitTransfersMachine


class LongUnitTimesMachine(UnitTimesMachine):
    """Compares units on a long lease."""

    unit_kind = LONG


#: Seed of the runs of each state machine.
SEED = 1
#: Number of runs of each state machine in the tests.
EXAMPLES_BY_MACHINE: dict[type[RuleBasedStateMachine], int] = {
    TicketMachine: 60,
    UnitTransfersMachine: 60,
    UnitTimesMachine: 30,
    LongUnitTimesMachine: 30,
    PoolMachine: 250,
    FreshnessMachine: 60,
}


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Extent of one comparison.

    :param steps: number of model steps taken in all runs.
    :param untaken: actions of the model that no run took.
    """

    steps: int
    untaken: frozenset[str]


def build_run_settings(examples: int) -> hypothesis.settings:
    """Build hypothesis settings with fixed seeds.

    :param examples: number of runs.
    """
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=30,
        derandomize=True,
        deadline=None,
        database=None,
        print_blob=False,
        phases=[hypothesis.Phase.generate],
    )


def compare(machine: type[RuleBasedStateMachine], examples: int) -> Comparison:
    """Run a state machine and compare the product with the model.

    :param machine: drives the product and the model.
    :param examples: number of runs.
    :returns: steps taken and actions never taken.
    :raises AssertionError: if the product differs from the model.
    """
    model = machine.model()
    model.taken_count_by_action.clear()
    # Without it hypothesis seeds from the source of the class, so that a new name
    # draws other runs, which may leave out actions.
    hypothesis.seed(SEED)(machine)
    run_state_machine_as_test(machine, settings=build_run_settings(examples))
    names = {action.name for action in model.actions}
    return Comparison(
        sum(model.taken_count_by_action.values()),
        frozenset(names - model.taken_count_by_action.keys()),
    )


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Run all comparisons.

    :param arguments: command-line arguments; ``None`` reads ``sys.argv``.
    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(prog="python -m cranberrywheel_spec.compare")
    parser.add_argument("--examples", type=int, metavar="N")
    options = parser.parse_args(arguments)
    code = 0
    for machine, default_examples in EXAMPLES_BY_MACHINE.items():
        examples = options.examples or default_examples
        name = f"{machine.__name__} ({machine.model().name})"
        try:
            comparison = compare(machine, examples)
        except AssertionError as error:
            print(f"{name}: DIFFERS: {error}")
            code = 1
        else:
            untaken = ", ".join(sorted(comparison.untaken)) or "none"
            print(
                f"{name}: runs={examples} steps={comparison.steps} untaken: {untaken}"
            )
    return code


if __name__ == "__main__":
    sys.exit(main())

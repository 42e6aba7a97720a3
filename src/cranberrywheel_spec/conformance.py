"""Base class of the state machines that compare the product's code with a model."""

import random

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

STEPS_PER_RULE = 5
#: The seed is drawn as booleans: hypothesis tries integer constants that it finds in
#: imported modules, so drawn integers would vary with the order of the tests.
SEED_BITS = 32


class ConformanceMachine(RuleBasedStateMachine):
    """Chooses each step at random among those that are useful in the current state.

    Hypothesis draws only the number of steps and one seed per run. With a hypothesis
    rule for each step, most runs repeat queries and reads: none of 150 runs of the pool
    machine reached a drain.
    """

    @initialize(bits=st.tuples(*[st.booleans()] * SEED_BITS))
    def seed(self, bits: tuple[bool, ...]) -> None:
        """Seed the random generator that makes all choices of this run."""
        self.rng = random.Random(sum(bit << i for i, bit in enumerate(bits)))
        self.set_up_run()

    def set_up_run(self) -> None:
        """Set up the state that depends on the seed."""

    def list_step_weights(self) -> dict[str, int]:
        """List the useful steps with their weights.

        :returns: weights by step; a step is a method name, optionally followed by a
            space and its argument.
        """
        raise NotImplementedError

    @rule()
    def take_steps(self) -> None:
        """Take several steps: hypothesis applies the rule about 14 times a run."""
        for _ in range(STEPS_PER_RULE):
            weights = self.list_step_weights()
            (name,) = self.rng.choices([*weights], [*weights.values()])
            hypothesis.note(name)
            method, _, argument = name.partition(" ")
            getattr(self, method)(*([argument] if argument else []))

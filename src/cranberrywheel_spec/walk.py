"""Steps of a model on concrete values, to compare the product's code with it."""

import typing as t

import z3

from cranberrywheel_spec.bounded import Model, State

Value = bool | int | float
_MAKERS = {"Bool": z3.BoolVal, "Int": z3.IntVal, "Real": z3.RealVal}


def _python(value: t.Any) -> Value:
    value = z3.simplify(z3.simplify(value) if z3.is_expr(value) else value)
    if z3.is_int_value(value):
        return value.as_long()
    if z3.is_rational_value(value):
        return float(value.as_fraction())
    return z3.is_true(value)


class Walk:
    """One trace through a model.

    :param model: the model; no guard is dropped.
    :param start: first values; the others are false or 0.
    """

    def __init__(self, model: Model, **start: Value) -> None:
        self._model = model
        self.values: dict[str, Value] = dict.fromkeys(model.sorts, 0) | start
        state = self._state({})
        if not all(_python(c) for c in model.start(state)):
            raise ValueError(f"not a first state of {model.name}: {start}")

    def _state(self, inputs: dict[str, Value]) -> State:
        values = dict.fromkeys(self._model.inputs, 0) | self.values | inputs
        sorts = self._model.sorts | self._model.inputs
        return State(**{n: _MAKERS[str(s)](values[n]) for n, s in sorts.items()})

    def enabled(self, **inputs: Value) -> set[str]:
        """Return the names of the actions that are possible now.

        :param inputs: values of the model's inputs; absent ones are 0.
        """
        actions = self._model.actions(self._state(inputs), lambda _, c: c)
        return {a.name for a in actions if _python(a.condition)}

    def take(self, name: str, **inputs: Value) -> None:
        """Take an action.

        :param name: of an action that is possible now.
        :param inputs: values of the model's inputs; absent ones are 0.
        :raises AssertionError: if the action is not possible now, or if a property
            fails after it.
        """
        actions = self._model.actions(self._state(inputs), lambda _, c: c)
        named = [a for a in actions if a.name == name]
        if not named:
            raise KeyError(name)
        possible = [a for a in named if _python(a.condition)]
        assert possible, f"the specification does not allow {name!r} now"
        updates = possible[0].updates
        self.values |= {n: _python(_expression(v)) for n, v in updates.items()}
        for prop, holds in self._model.properties(self._state({})).items():
            assert _python(holds), f"{prop} fails after {name!r}"


def _expression(value: t.Any) -> t.Any:
    if isinstance(value, bool):
        return z3.BoolVal(value)
    return z3.IntVal(value) if isinstance(value, int) else value

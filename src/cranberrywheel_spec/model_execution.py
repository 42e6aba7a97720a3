"""Executes a model on concrete values, to compare the product's code with it."""

import collections
import fractions
import math
import operator
import typing as t

import z3

from cranberrywheel_spec.model_checking import Action, Model, State

Value = bool | int | fractions.Fraction
#: Values by name; evaluation also caches results of subexpressions here.
Values = dict[str, Value]
Evaluator = t.Callable[[Values], Value]

_OPERATORS: dict[int, t.Callable[..., Value]] = {
    z3.Z3_OP_TRUE: lambda: True,
    z3.Z3_OP_FALSE: lambda: False,
    z3.Z3_OP_NOT: operator.not_,
    z3.Z3_OP_IMPLIES: lambda a, b: not a or b,
    z3.Z3_OP_EQ: operator.eq,
    z3.Z3_OP_DISTINCT: operator.ne,
    z3.Z3_OP_LE: operator.le,
    z3.Z3_OP_LT: operator.lt,
    z3.Z3_OP_GE: operator.ge,
    z3.Z3_OP_GT: operator.gt,
    z3.Z3_OP_ADD: lambda *values: sum(values),
    z3.Z3_OP_SUB: operator.sub,
    z3.Z3_OP_MUL: lambda *values: math.prod(values),
    z3.Z3_OP_TO_REAL: lambda a: a,
}


def as_fraction(number: t.Any) -> fractions.Fraction:
    """Return the value of a z3 constant expression."""
    return z3.simplify(number).as_fraction()


def _compile(expression: t.Any) -> Evaluator:
    """Translate a z3 expression to a function; evaluation by z3 takes milliseconds."""
    if not z3.is_expr(expression):
        return lambda values: expression
    if z3.is_int_value(expression):
        number = expression.as_long()
        return lambda values: number
    if z3.is_rational_value(expression):
        fraction = expression.as_fraction()
        return lambda values: fraction
    kind = expression.decl().kind()
    if kind == z3.Z3_OP_UNINTERPRETED:
        name = expression.decl().name()
        return lambda values: values[name]
    operands = [_compile(child) for child in expression.children()]
    if kind == z3.Z3_OP_AND:
        return lambda values: all(operand(values) for operand in operands)
    if kind == z3.Z3_OP_OR:
        return lambda values: any(operand(values) for operand in operands)
    if kind == z3.Z3_OP_ITE:
        condition, if_true, if_false = operands
        return lambda values: (if_true if condition(values) else if_false)(values)
    apply_operator = _OPERATORS[kind]
    memo_key = f"value {expression.get_id()}"

    def evaluate(values: Values) -> Value:
        # All actions share the sums and conditions that advance the clocks.
        if memo_key not in values:
            values[memo_key] = apply_operator(
                *(operand(values) for operand in operands)
            )
        return values[memo_key]

    # Keeps the expression alive: z3 reuses the id of an unreferenced expression.
    evaluate.expression = expression
    return evaluate


class CompiledModel:
    """A model with all guards, compiled for repeated executions."""

    def __init__(self, model: Model) -> None:
        sorts = model.sorts | model.inputs
        state = State(**{name: z3.Const(name, sort) for name, sort in sorts.items()})
        self.name = model.name
        self.inputs: Values = dict.fromkeys(model.inputs, 0)
        self.zeros: Values = dict.fromkeys(model.sorts, 0)
        self.actions = [
            Action(a.name, _compile(a.condition), _compile_all(a.updates))
            for a in model.actions(state, lambda _, condition: condition)
        ]
        self.properties = _compile_all(model.properties(state))
        #: Number of times that each action was taken, over all executions.
        self.taken_count_by_action: collections.Counter[str] = collections.Counter()
        self.start = [_compile(condition) for condition in model.start(state)]


class ModelExecution:
    """One execution of a model.

    :param model: the compiled model.
    :param start: initial values; absent variables are false or 0.
    """

    def __init__(self, model: CompiledModel, **start: Value) -> None:
        self._model = model
        self.values: Values = model.zeros | start
        if not all(is_satisfied(dict(self.values)) for is_satisfied in model.start):
            raise ValueError(f"not an initial state of model {model.name!r}: {start}")

    def find_enabled_actions(self, **inputs: Value) -> set[str]:
        """Return the names of the actions that are enabled in the current state.

        :param inputs: values of the model's inputs; absent ones are 0.
        """
        values = self.values | self._model.inputs | inputs
        return {a.name for a in self._model.actions if a.condition(values)}

    def take_action(self, name: str, **inputs: Value) -> None:
        """Take an action and check the properties of the model after it.

        :param name: name of an enabled action.
        :param inputs: values of the model's inputs; absent ones are 0.
        :raises AssertionError: if the action is not enabled or a property fails after
            it.
        :raises KeyError: if the model has no action of this name.
        """
        values = self.values | self._model.inputs | inputs
        candidates = [a for a in self._model.actions if a.name == name]
        if not candidates:
            raise KeyError(name)
        enabled_actions = [a for a in candidates if a.condition(values)]
        assert enabled_actions, f"the specification does not allow {name!r} now"
        updates = enabled_actions[0].updates
        self.values = self.values | {
            n: evaluate_update(values) for n, evaluate_update in updates.items()
        }
        self._model.taken_count_by_action[name] += 1
        for property_name, is_satisfied in self._model.properties.items():
            assert is_satisfied(dict(self.values)), (
                f"{property_name!r} fails after {name!r}"
            )


def _compile_all(expressions: dict[str, t.Any]) -> dict[str, Evaluator]:
    return {name: _compile(value) for name, value in expressions.items()}

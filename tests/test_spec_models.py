import contextlib
import dataclasses
import io

import testtools
import z3

from cranberrywheel_spec import check
from cranberrywheel_spec.key_freshness import key_freshness
from cranberrywheel_spec.model_checking import (
    Action,
    Model,
    find_unproved_claims,
    find_violation,
)
from cranberrywheel_spec.pool_moves import pool_moves
from cranberrywheel_spec.tickets import tickets
from cranberrywheel_spec.unit_proof import unit_proof
from cranberrywheel_spec.unit_times import LONG, SHORT, SHORT_AS_DESIGNED, unit_times
from cranberrywheel_spec.unit_transfers import unit_transfers


class ModelChecks:
    """Guards against a protocol change that breaks an invariant, and against a check
    that cannot detect one: each dropped guard must give a violation."""

    def test_properties_hold(self):
        proof = check.PROOFS.get(self.model.name)
        # A proof covers traces of any length, so a shorter search is sufficient.
        self.assertEqual(
            "", find_violation(self.model, depth=6 if proof else 0).violated
        )
        if proof:
            self.assertEqual([], find_unproved_claims(proof))

    def test_proof_needs_each_guard(self):
        proof = check.PROOFS.get(self.model.name)
        for guard in proof.guards if proof else ():
            self.assertNotEqual([], find_unproved_claims(proof, guard), guard)

    def test_each_missing_guard_is_found(self):
        found = {
            g: check.find_violation_without_guard(self.model, g).violated
            for g in self.model.guards
        }
        self.assertEqual(self.model.guards, found)


class ShortUnitTimesTest(ModelChecks, testtools.TestCase):
    model = unit_times(SHORT)

    def test_margin_over_token_and_task_lease_alone_is_too_short(self):
        self.assertEqual(7, find_violation(unit_times(SHORT_AS_DESIGNED)).depth)
        failed = find_unproved_claims(unit_proof(SHORT_AS_DESIGNED))
        self.assertEqual(["reclaimer writes the record"], failed)


class LongUnitTimesTest(ModelChecks, testtools.TestCase):
    model = unit_times(LONG)


class UnitTransfersTest(ModelChecks, testtools.TestCase):
    model = unit_transfers()


class TicketsTest(ModelChecks, testtools.TestCase):
    model = tickets()


class PoolMovesTest(ModelChecks, testtools.TestCase):
    model = pool_moves()


class KeyFreshnessTest(ModelChecks, testtools.TestCase):
    model = key_freshness()


COUNTER_MODEL = Model(
    name="counter",
    sorts={"n": z3.IntSort()},
    inputs={},
    start=lambda s: [s.n == 0],
    actions=lambda s, guard: [
        Action("add", guard("bound", s.n < 3), {"n": s.n + 1}),
        Action("reset", s.n == 3, {"n": z3.IntVal(0)}),
    ],
    properties=lambda s: {"small": s.n <= 3},
    guards={"bound": "small"},
    depth=8,
    invariant=lambda s: [s.n >= 0, s.n <= 3],
)


class ModelSearchTest(testtools.TestCase):
    """Guards against a search that misses violations or reports a wrong trace."""

    def test_shortest_trace_is_found(self):
        result = find_violation(COUNTER_MODEL, "bound")
        self.assertEqual(("small", 4), (result.violated, result.depth))
        self.assertEqual(
            ["add: n=1", "add: n=2", "add: n=3", "add: n=4"], [*result.steps]
        )

    def test_depth_limits_the_search(self):
        self.assertEqual("", find_violation(COUNTER_MODEL, "bound", depth=3).violated)

    def test_proof_names_what_fails(self):
        self.assertEqual([], find_unproved_claims(COUNTER_MODEL))
        self.assertEqual(["add"], find_unproved_claims(COUNTER_MODEL, "bound"))
        weak_model = dataclasses.replace(COUNTER_MODEL, invariant=lambda s: [s.n >= 1])
        self.assertEqual(["start", "small", "reset"], find_unproved_claims(weak_model))

    def test_unlisted_guard_is_an_error(self):
        model = dataclasses.replace(COUNTER_MODEL, guards={})
        self.assertRaises(KeyError, find_violation, model)

    def test_report_fails_for_a_guard_without_effect(self):
        vacuous_model = dataclasses.replace(
            COUNTER_MODEL, properties=lambda s: {"small": s.n >= 0}
        )
        with contextlib.redirect_stdout(io.StringIO()) as output:
            self.patch(check, "PROOFS", {"counter": COUNTER_MODEL})
            self.assertTrue(check.report_model(COUNTER_MODEL, deeper=0, traces=True))
            self.assertFalse(check.report_model(vacuous_model, deeper=0, traces=False))
        self.assertIn("without 'bound': HOLDS", output.getvalue())

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from cranberrywheel_spec.history import RULES, check, main
from cranberrywheel_spec.history_events import HistoryError, parse_lines


def line(at_ms, event, **fields):
    return json.dumps({"at_ms": at_ms, "event": event, **fields}) + "\n"


def invoke(at_ms, request, **fields):
    fields = {"team": "t", "queue": "q", "key_id": "k", **fields}
    return line(at_ms, "invoke", request=request, **fields)


def response(at_ms, request, outcome="ok", **fields):
    if outcome == "ok":
        fields.setdefault("answer_to", request)
    return line(at_ms, "response", request=request, outcome=outcome, **fields)


def start(at_ms, task, request, worker="w", team="t"):
    return line(
        at_ms, "task_start", task=task, request=request, worker=worker, team=team,
        queue="q",
    )  # fmt: skip


def end(at_ms, task, how="finished", worker="w"):
    return line(at_ms, "task_end", task=task, worker=worker, how=how)


def pools(at_ms, revision, fence=1, zone="z", **instances):
    rows = {name: {"pool": p, "state": s} for name, (p, s) in instances.items()}
    return line(
        at_ms, "pool_record", zone=zone, revision=revision, fence=fence, instances=rows
    )


def units(at_ms, revision, limit, **held):
    return line(
        at_ms, "units", team="t", revision=revision, limit=limit, held_by_holder=held
    )


CALL = [invoke(1, "r1", ticket="k1"), start(2, "a", "r1"), end(3, "a")]
LIMIT = line(0, "limit", team="t", limit=1)
ACCEPTED = {
    "ticket retried, both calls get the one answer": [
        *CALL, response(4, "r1"),
        invoke(2, "r2", ticket="k1"), response(5, "r2", answer_to="r1"),
    ],
    "not-run, then the same ticket runs for a later call": [
        invoke(1, "r1", ticket="k1"), response(2, "r1", "not-run"),
        invoke(3, "r2", ticket="k1"), start(4, "a", "r2"), end(5, "a"),
        response(6, "r2"),
    ],
    "idempotent retry after a failure": [
        invoke(1, "r1"), start(2, "a", "r1"), end(3, "a", "failed"),
        start(4, "b", "r1"), end(5, "b"), response(6, "r1"),
    ],
    "limit lowered while two tasks run": [
        line(0, "limit", team="t", limit=2), invoke(1, "r1"), invoke(1, "r2"),
        start(2, "a", "r1"), start(2, "b", "r2"),
        line(3, "limit", team="t", limit=1), end(9_000, "a"), end(9_001, "b"),
        start(9_001, "c", "r1"),
    ],
    "tasks of a lost worker have ended": [
        LIMIT, invoke(1, "r1"), start(2, "a", "r1"),
        line(3, "worker_lost", worker="w"), start(4, "b", "r1", worker="v"),
    ],
    "revoked key used within the bound": [
        line(1, "withdraw", key_id="k"), invoke(5_001, "r1"), start(5_002, "a", "r1"),
    ],
    "revoked key on a queue that serves stale keys": [
        line(0, "meta", stale_queues=["q"]), line(1, "withdraw", key_id="k"),
        invoke(9_000, "r1"), start(9_001, "a", "r1"),
    ],
    "instance moved while empty": [
        pools(1, 1, i=("p", "empty")), pools(2, 5, i=("x", "serving")),
        pools(2, 4, zone="y", j=("p", "serving")),
    ],
    "leaving worker that returned": [
        line(1, "leaving", worker="w"), line(2, "returned", worker="w"),
        invoke(3, "r1"), start(9_000, "a", "r1"),
    ],
    "units above a lowered limit shrink": [
        units(1, 1, 9, x=5, y=4), units(2, 2, 6, x=3, y=4), units(3, 3, 6, x=2, y=4),
    ],
}  # fmt: skip
REJECTED = {
    "at-most-once": [[*CALL, start(9, "b", "r1", worker="v")]],
    "true-not-run": [
        [*CALL, response(4, "r1", "not-run")],
        [invoke(1, "r1"), response(2, "r1", "not-run"), start(3, "a", "r1")],
        [*CALL, line(9, "query", ticket="k1", outcome="not-run")],
        [line(0, "query", ticket="k1", outcome="not-run"), *CALL],
    ],
    "true-outcome": [
        [*CALL, response(4, "r1", "failed")],
        [invoke(1, "r1"), response(2, "r1")],
    ],
    "own-answer": [
        [*CALL, response(4, "r1", answer_to="r2")],
        [*CALL, response(4, "r1", complete=False)],
        [response(4, "r1", "unknown")],
    ],
    "limit": [
        [LIMIT, invoke(1, "r1"), start(2, "a", "r1"), start(3, "b", "r1")],
        [line(0, "limit", team="t", limit=2), line(1, "limit", team="t", limit=1),
         start(7_000, "a", "r1"), start(7_001, "b", "r1")],
    ],
    "units": [[units(1, 1, 9, x=5, y=5)], [units(1, 1, 9, x=-1)],
              [units(1, 1, 9, x=9), units(2, 2, 6, x=9), units(3, 3, 6, x=8),
               units(4, 4, 6, x=9)]],
    "versions": [[line(i, "adopt", process="p", version=v)
                  for i, v in enumerate((1, 3, 2))]],
    "keys": [
        [line(1, "withdraw", key_id="k"), invoke(5_002, "r1"),
         start(5_003, "a", "r1")],
        [invoke(1, "r1", key_id="z", key_valid=False), start(2, "a", "r1")],
    ],
    "team": [[invoke(1, "r1"), start(2, "a", "r1", team="u")], [start(2, "a", "r1")]],
    "one-pool": [
        [pools(1, 1, i=("p", "serving")), pools(2, 2, i=("x", "serving"))],
        [pools(1, 1, i=("p", "empty")), pools(2, 2, zone="y", i=("p", "serving"))],
        [pools(1, 1, fence=4), pools(2, 2, fence=3)],
        [pools(1, 7, i=("p", "empty")), pools(2, 7, i=("p", "empty"))],
    ],
    "leaving": [[line(1, "leaving", worker="w"), start(5_002, "a", "r1")]],
}  # fmt: skip


class HistoryTest(testtools.TestCase):
    """Guards against a checker that accepts a history with a violation, or rejects a
    correct one."""

    def test_every_rule_has_histories_that_it_rejects(self):
        self.assertEqual(sorted(RULES), sorted(REJECTED))
        for rule, histories in REJECTED.items():
            for number, lines in enumerate(histories):
                verdicts = {v.rule: v for v in check(parse_lines(lines))}
                self.assertTrue(verdicts[rule].violations, f"{rule} {number}")

    def test_correct_histories_are_accepted(self):
        for name, lines in ACCEPTED.items():
            violations = [
                v.format_line() for v in check(parse_lines(lines)) if v.violations
            ]
            self.assertEqual([], violations, name)

    def test_line_order_does_not_matter(self):
        for rule, histories in REJECTED.items():
            for lines in histories:
                verdicts = {v.rule: v for v in check(parse_lines(lines[::-1]))}
                self.assertTrue(verdicts[rule].violations, rule)

    def test_unknown_field_is_an_error_with_its_line(self):
        lines = [LIMIT, line(1, "adopt", process="p", version=1, colour="red")]
        error = self.assertRaises(HistoryError, parse_lines, lines, "h.jsonl")
        self.assertIn("h.jsonl:2", str(error))

    def test_truncated_last_line_is_skipped(self):
        self.assertEqual(1, len(parse_lines([LIMIT, '{"at_ms": 3, "ev'])))

    def test_exit_codes(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        valid_path, violating_path, malformed_path = (
            pathlib.Path(folder.name) / n for n in "abc"
        )
        valid_path.write_text("".join(CALL))
        violating_path.write_text("".join(REJECTED["at-most-once"][0]))
        malformed_path.write_text("no json\n")
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            codes = [
                main([str(p)]) for p in (valid_path, violating_path, malformed_path)
            ] + [main([])]
        self.assertEqual([0, 1, 2, 2], codes)
        self.assertIn("FAIL at-most-once checked=1", output.getvalue())
        self.assertIn("unexercised leaving", output.getvalue())

"""Model of one ticket: claim, start, release, query, expiry and handover.

The owner is the process that issued the ticket, the peer any other one. Calls with the
ticket are messages that can be delayed, repeated and forwarded. ``age`` is the phase of
the ticket by the owner's clock: valid, expired but retained, or past retention.
"""

import typing as t

import z3

from cranberrywheel_spec.model_checking import NEVER, Action, Guard, Model, State

VALID, EXPIRED, PAST_RETENTION = range(3)
NONE, CLAIMED, STARTED, FINISHED, VOID = range(5)
UNLISTED, ANSWER, UNKNOWN = range(3)
# ``sent`` is a start request in transit to a worker, ``said_not_run`` an answer to a
# query or to a call.
_FLAGS = (
    "sent", "said_not_run", "owner_gone", "exported", "exported_past_retention",
    "handed_over",
)  # fmt: skip
_NUMBERS = ("age", "record", "starts", "ends", "listed")


def _start(s: State) -> list[t.Any]:
    return [getattr(s, n) == 0 for n in _NUMBERS] + [
        z3.Not(getattr(s, n)) for n in _FLAGS
    ]


def _call_actions(s: State, guard: Guard) -> list[Action]:
    """Build the owner's handling of calls and queries, which can arrive at any time."""
    alive = z3.Not(s.owner_gone)
    unclaimed = z3.And(s.record == NONE, s.age == VALID)
    # Past retention, the absence of a record may mean that it was dropped.
    assumes_unclaimed = guard("no record past retention is unknown", NEVER)
    retained = z3.Or(
        s.age == EXPIRED, z3.And(s.age == PAST_RETENTION, assumes_unclaimed)
    )
    not_run = z3.Or(s.record == VOID, z3.And(s.record == NONE, retained))
    may_start = guard("expired ticket cannot start", s.age == VALID)
    open_call = z3.Or(s.record == CLAIMED, s.record == STARTED)
    claims_again = z3.And(open_call, guard("one claim at a time", NEVER))
    return [
        Action(
            "owner accepts a call",
            z3.And(
                alive,
                guard("exported book starts nothing", z3.Not(s.exported)),
                z3.Or(z3.And(s.record == NONE, may_start), claims_again),
            ),
            {"record": CLAIMED},
        ),
        Action("owner refuses a call", z3.And(alive, not_run), {"said_not_run": True}),
        Action(
            "owner refuses a call after its export",
            z3.And(alive, s.exported, unclaimed),
            {"said_not_run": True},
        ),
        Action(
            "owner answers a query",
            z3.And(alive, z3.Or(not_run, unclaimed)),
            {
                "said_not_run": True,
                "record": z3.If(
                    z3.And(unclaimed, z3.Not(guard("query voids the ticket", NEVER))),
                    VOID,
                    s.record,
                ),
            },
        ),
    ]


def _run_actions(s: State, guard: Guard) -> list[Action]:
    alive = z3.Not(s.owner_gone)
    releases_unrefused = guard("release needs a refusal by the worker", NEVER)
    return [
        Action(
            "owner sends the start",
            z3.And(alive, s.record == CLAIMED),
            {"record": STARTED, "sent": True},
        ),
        Action(
            "worker starts the task", s.sent, {"sent": False, "starts": s.starts + 1}
        ),
        Action(
            "worker refuses the start and owner releases",
            z3.And(alive, s.record == STARTED, z3.Or(s.sent, releases_unrefused)),
            {"record": NONE, "sent": z3.And(s.sent, releases_unrefused)},
        ),
        Action(
            "owner gets the answer",
            z3.And(alive, s.record == STARTED, s.starts > s.ends),
            {"record": FINISHED, "ends": s.ends + 1},
        ),
        Action(
            "owner gives up waiting",
            z3.And(alive, s.record == STARTED),
            {"record": FINISHED},
        ),
        Action("owner dies", alive, {"owner_gone": True}),
    ]


def _expiry_actions(s: State, guard: Guard) -> list[Action]:
    running = z3.Or(s.record == CLAIMED, s.record == STARTED)
    drops_finished = z3.And(
        s.record == FINISHED, guard("finished record is kept", NEVER)
    )
    drops_running = z3.And(running, guard("running record is kept", NEVER))
    return [
        Action("ticket expires", s.age == VALID, {"age": EXPIRED}),
        Action("retention passes", s.age == EXPIRED, {"age": PAST_RETENTION}),
        Action(
            "owner drops a void record",
            z3.And(s.record == VOID, guard("void lasts until expiry", s.age != VALID)),
            {"record": NONE},
        ),
        Action(
            "owner drops the record",
            z3.Or(
                z3.And(s.record == FINISHED, s.age == PAST_RETENTION),
                z3.And(z3.Or(drops_finished, drops_running), s.age == EXPIRED),
            ),
            {"record": NONE},
        ),
    ]


def _handover_actions(s: State, guard: Guard) -> list[Action]:
    """Build the handover: the peer answers for the owner after a complete export."""
    open_call = z3.Or(s.record == CLAIMED, s.record == STARTED)
    omits_open_calls = guard("export lists open calls as unknown", NEVER)
    listed = z3.If(
        s.record == FINISHED,
        ANSWER,
        z3.If(z3.And(open_call, z3.Not(omits_open_calls)), UNKNOWN, UNLISTED),
    )
    within_retention = guard(
        "peer answers not-run only for tickets retained at the export",
        z3.Not(s.exported_past_retention),
    )
    has_handover = guard("peer answers only after a hand-over", s.handed_over)
    return [
        Action(
            "owner exports",
            z3.And(z3.Not(s.owner_gone), z3.Not(s.exported)),
            {
                "exported": True,
                "listed": listed,
                "exported_past_retention": s.age == PAST_RETENTION,
            },
        ),
        Action(
            "peer takes over",
            z3.And(s.exported, z3.Not(s.handed_over)),
            {"handed_over": True},
        ),
        Action(
            "peer answers not-run",
            z3.And(has_handover, s.listed == UNLISTED, within_retention),
            {"said_not_run": True},
        ),
    ]


def _actions(s: State, guard: Guard) -> list[Action]:
    return [
        a
        for build_actions in (
            _call_actions,
            _run_actions,
            _expiry_actions,
            _handover_actions,
        )
        for a in build_actions(s, guard)
    ]


def _properties(s: State) -> dict[str, t.Any]:
    return {
        "at most once": s.starts <= 1,
        "not-run is true": z3.Not(z3.And(s.said_not_run, s.starts > 0)),
    }


def _invariant(s: State) -> list[t.Any]:
    """Return the inductive invariant, which implies the properties."""
    never_started = z3.And(s.starts == 0, z3.Not(s.sent))
    never_claimed = z3.And(never_started, z3.Or(s.record == NONE, s.record == VOID))
    cannot_start = z3.Or(s.record == VOID, s.age != VALID, s.exported)
    return [
        z3.And(s.age >= VALID, s.age <= PAST_RETENTION),
        z3.And(s.record >= NONE, s.record <= VOID),
        z3.And(s.starts >= 0, s.starts <= 1),
        z3.Implies(s.sent, z3.And(s.starts == 0, s.record != CLAIMED)),
        z3.Implies(s.sent, s.record != VOID),
        z3.Implies(z3.And(s.sent, s.record == NONE), z3.And(s.age == PAST_RETENTION)),
        z3.Implies(s.record == CLAIMED, never_started),
        z3.Implies(s.record == VOID, never_started),
        z3.Implies(z3.And(s.record == NONE, s.age != PAST_RETENTION), never_started),
        z3.Implies(s.said_not_run, z3.And(never_claimed, cannot_start)),
        z3.Implies(s.handed_over, s.exported),
        z3.Implies(
            z3.And(s.exported, s.listed == UNLISTED, z3.Not(s.exported_past_retention)),
            z3.And(never_claimed, cannot_start),
        ),
    ]


def tickets() -> Model:
    """Build the model.

    :returns: the model; its properties are that a ticket starts at most once and that
        a task answered as ``not-run`` never runs, also later.
    """
    starts_once, is_truthful = "at most once", "not-run is true"
    return Model(
        name="tickets",
        sorts={n: z3.IntSort() for n in _NUMBERS} | {n: z3.BoolSort() for n in _FLAGS},
        inputs={},
        start=_start,
        actions=_actions,
        properties=_properties,
        guards={
            "one claim at a time": starts_once,
            "expired ticket cannot start": is_truthful,
            "no record past retention is unknown": is_truthful,
            "query voids the ticket": is_truthful,
            "void lasts until expiry": is_truthful,
            "release needs a refusal by the worker": is_truthful,
            "running record is kept": is_truthful,
            "finished record is kept": is_truthful,
            "exported book starts nothing": is_truthful,
            "export lists open calls as unknown": is_truthful,
            "peer answers only after a hand-over": is_truthful,
            "peer answers not-run only for tickets retained at the export": is_truthful,
        },
        depth=10,
        invariant=_invariant,
    )

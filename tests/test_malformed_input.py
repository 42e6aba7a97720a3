"""Malformed messages from executors, store, machines, advisor, peers and callers."""

import json
from concurrent.futures import Future
from types import SimpleNamespace

import pytest
from leader_harness import QUEUE, make_configuration
from werkzeug.test import Client

from cranberrywheel.clock import ManualClock
from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.json_body import decode_object
from cranberrywheel.node.caller_api import CallerApi
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.node.watch import PrefixWatch
from cranberrywheel.platform.advisor import AdvisorClient
from cranberrywheel.platform.callers import (
    decode_submission as decode_caller_submission,
)
from cranberrywheel.platform.executors import ExecutorClient
from cranberrywheel.platform.machines import MachineClient
from cranberrywheel.platform.store import Store
from cranberrywheel.store_messages import Item, Outcome, StoreReply
from cranberrywheel.submission.advice import AdviceOutcome
from cranberrywheel.submission.executor_orders import (
    ExecutorEntry,
    OrderVerdict,
    StartOrder,
)
from cranberrywheel.submission.machines import MachineOrderVerdict
from cranberrywheel.submission.model import Organisation, Resources, SubmissionState
from cranberrywheel.submission.record import decode_submission
from cranberrywheel_standin.virtual_fleet import VirtualLoop, VirtualStore

ENTRY = ExecutorEntry(
    "i-1", "s", "10.0.0.1:80", "z", False, Resources(1, 1, 0), frozenset(), "", "m", 5
)

#: A number with fewer digits than the JSON decoder refuses and too large for a float.
HUGE = b"9" * 400
#: Bodies that no program of the platform sends.
MALFORMED_BODIES = [
    b"",
    b"\xff\xfe",
    b"[]",
    b"7",
    b"null",
    b'{"timestampMs":',
    b'{"timestampMs":1e999}',
    b'{"timestampMs":"x"}',
    b'{"timestampMs":{"a":1}}',
    b'{"timestampMs":' + HUGE + b"}",
    b'{"timestampMs":-1}',
    b'{"timestampMs":' + b"9" * 6_000 + b"}",
    b"[" * 100_000,
    b'{"a":' * 100_000,
]
MALFORMED_POLLS = [
    *MALFORMED_BODIES,
    b'{"timestampMs":5}',
    b'{"timestampMs":5,"running":[]}',
    b'{"timestampMs":5,"running":{},"finished":[]}',
    b'{"timestampMs":5,"running":[{"run":"q"}],"finished":[]}',
    b'{"timestampMs":5,"running":[["t",1]],"finished":[]}',
    b'{"timestampMs":5,"running":[["t",1e999,"",1]],"finished":[]}',
    b'{"timestampMs":5,"born":1e999,"running":[],"finished":[]}',
    b'{"timestampMs":5,"running":[],"finished":[[1,"t",1,"vanished",""]]}',
    b'{"timestampMs":5,"running":[],"finished":[[1,"t",1,["done"],""]]}',
    b'{"timestampMs":' + HUGE + b',"running":[],"finished":[]}',
    b'{"timestampMs":5,"born":' + HUGE + b',"running":[],"finished":[]}',
    b'{"timestampMs":5,"born":-1,"running":[],"finished":[]}',
    b'{"timestampMs":5,"running":[["t",' + HUGE + b',"",1]],"finished":[]}',
    b'{"timestampMs":5,"running":[["t",1,"","nan"]],"finished":[]}',
    b'{"timestampMs":5,"running":[["t",1,"",NaN]],"finished":[]}',
    b'{"timestampMs":5,"running":[["' + b"t" * 5_000 + b'",1,"",1]],"finished":[]}',
    b'{"timestampMs":5,"running":[],"finished":[[' + HUGE + b',"t",1,"done",""]]}',
    b'{"timestampMs":5,"running":[],"finished":[[1,"t",' + HUGE + b',"done",""]]}',
]


class ScriptedLoop(VirtualLoop):
    """A loop whose calls are all answered with the same reply.

    :ivar replies: replies of later calls, first to last; the last one repeats.
    """

    def __init__(self, *replies: HttpReply) -> None:
        super().__init__()
        self.replies = list(replies)

    def call(self, request, on_reply, on_data=lambda: None):
        reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        self.after(1, lambda: on_reply(reply))


def call_once(operation, status, body):
    """Return the arguments of the only call of the callback of an operation."""
    loop = ScriptedLoop(HttpReply(status, body))
    calls = []
    operation(loop, lambda *arguments: calls.append(arguments))
    loop.run_for(10_000)
    assert len(calls) == 1
    return calls[0]


@pytest.mark.parametrize("body", MALFORMED_POLLS)
def test_malformed_poll_reply_counts_as_no_answer(body):
    """Guards against a poll reply that raises, or that claims that nothing runs.

    A reply that raised left the executor without further polls; one without a list of
    runs had the running work discarded and started again elsewhere.
    """
    (reply,) = call_once(
        lambda loop, done: ExecutorClient(loop).poll(ENTRY, 1, 0, 0, 0, done), 200, body
    )
    assert reply.verdict is OrderVerdict.UNKNOWN
    assert reply.running == () and reply.completions == ()


@pytest.mark.parametrize(
    ("percent", "load", "expected"),
    [
        (HUGE, b"7", (100.0, 7.0)),
        (b"-" + HUGE, b"-7", (0.0, 0.0)),
        (b"50", HUGE, (50.0, 1e9)),
        (b"1e300", b"1e300", (100.0, 1e9)),
    ],
)
def test_rough_figures_of_a_run_are_clamped(percent, load, expected):
    """Guards against a progress or load that ends the polls of its executor.

    A whole number of 400 digits raised OverflowError when it became a float. The poll
    then never got its reply, and the executor was not polled again.
    """
    body = b'{"timestampMs":5,"running":[["t",1,"",%s,%s]],"finished":[]}'
    (reply,) = call_once(
        lambda loop, done: ExecutorClient(loop).poll(ENTRY, 1, 0, 0, 0, done),
        200,
        body % (percent, load),
    )
    assert reply.verdict is OrderVerdict.OK
    (run,) = reply.running
    assert (run.percent, run.load) == expected


@pytest.mark.parametrize("body", MALFORMED_BODIES)
def test_malformed_order_reply_leaves_the_outcome_unknown(body):
    """Guards against an order that never gets an outcome, or a wrong one."""
    order = StartOrder("t", 1, "work", 5, 1)
    (reply,) = call_once(
        lambda loop, done: ExecutorClient(loop).start(ENTRY, order, done), 200, body
    )
    assert reply.verdict is OrderVerdict.UNKNOWN
    (reply,) = call_once(
        lambda loop, done: ExecutorClient(loop).stop(ENTRY, "t", 1, 1, done), 200, body
    )
    assert reply.verdict is OrderVerdict.UNKNOWN


@pytest.mark.parametrize("status", [409, 400, 500, 503])
@pytest.mark.parametrize("body", MALFORMED_BODIES)
def test_malformed_refusal_is_a_refusal(status, body):
    """Guards against a refused order that raises instead of being tried elsewhere."""
    order = StartOrder("t", 1, "work", 5, 1)
    (reply,) = call_once(
        lambda loop, done: ExecutorClient(loop).start(ENTRY, order, done), status, body
    )
    assert reply.verdict is OrderVerdict.REFUSED


def request_tickets(loop, done):
    AdvisorClient(loop, "a:1").request_tickets("s", ["i"], 1_000, done)


@pytest.mark.parametrize("body", MALFORMED_BODIES)
def test_malformed_answers_of_advisor_and_machines_are_reported(body):
    """Guards against advice or a machine order that stays open for ever."""
    (reply,) = call_once(request_tickets, 200, body)
    assert reply.outcome is AdviceOutcome.REFUSED
    assert reply.ticket_by_executor == {} and reply.valid_ms == 0
    (machines,) = call_once(
        lambda loop, done: MachineClient(loop, "a:1", "h").read_all(done), 200, body
    )
    assert machines is None
    (verdict,) = call_once(
        lambda loop, done: MachineClient(loop, "a:1", "h").move("m", "p", 1, done),
        409,
        body,
    )
    assert verdict is MachineOrderVerdict.REFUSED


@pytest.mark.parametrize(
    "body",
    [
        b'{"allowed":[["i","t"]]}',
        b'{"allowed":[["i","t"]],"validMs":0}',
        b'{"allowed":[["i","t"]],"validMs":-1}',
        b'{"allowed":[["i","t"]],"validMs":1e999}',
        b'{"allowed":[["i","t"]],"validMs":' + HUGE + b"}",
        b'{"allowed":{"i":"t"},"validMs":3000}',
        b'{"allowed":[["i"]],"validMs":3000}',
        b'{"allowed":[["i","' + b"t" * 5_000 + b'"]],"validMs":3000}',
        b'{"validMs":3000}',
    ],
)
def test_malformed_advice_is_refused_as_a_whole(body):
    """Guards against an executor that counts as denied since its row was skipped."""
    (reply,) = call_once(request_tickets, 200, body)
    assert reply.outcome is AdviceOutcome.REFUSED


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (HttpReply(429), AdviceOutcome.BUSY),
        (HttpReply(503), AdviceOutcome.REFUSED),
        (HttpReply(0, sent=False, error="refused"), AdviceOutcome.REFUSED),
        (HttpReply(0, error="timed out"), AdviceOutcome.NO_ANSWER),
    ],
)
def test_failed_calls_for_advice_are_told_apart(reply, outcome):
    """Guards against a call given up that counts as one that is over."""
    loop = ScriptedLoop(reply)
    ends = []
    request_tickets(loop, ends.append)
    loop.run_for(100)
    assert [end.outcome for end in ends] == [outcome]


@pytest.mark.parametrize(
    "body",
    [
        *(body for body in MALFORMED_BODIES if body and b"timestampMs" not in body),
        b'{"asOf":1e999,"items":[]}',
        b'{"asOf":"x","items":[]}',
        b'{"asOf":5,"items":7}',
        b'{"asOf":5,"items":[{"key":"k"}],"hasMore":true}',
    ],
)
def test_malformed_store_reply_is_no_answer(body):
    """Guards against a read or watch that never returns, or returns half of the items.

    A page without a readable item would end a list early, so that all later items
    would count as deleted.
    """
    (reply,) = call_once(
        lambda loop, done: Store(loop, "s:1", lambda answered: None).read_all(
            "p/", done
        ),
        200,
        body,
    )
    assert reply.outcome is Outcome.UNKNOWN


def test_item_that_cannot_be_applied_does_not_end_the_watch():
    """Guards against one malformed record after which a process sees no change."""
    loop = VirtualLoop()
    store = VirtualStore(loop)
    seen = []

    def on_item(item: Item) -> None:
        if item.value == b"bad":
            raise RuntimeError("cannot apply")
        seen.append(item.value)

    watch = PrefixWatch(loop, store.build_client(), "p/", on_item)
    store.put("p/1", b"bad")
    store.put("p/2", b"first")
    watch.start()
    loop.run_for(100)
    store.put("p/3", b"bad")
    store.put("p/4", b"second")
    loop.run_for(3_000)
    assert seen == [b"first", b"second"]


@pytest.mark.parametrize("body", MALFORMED_BODIES)
def test_malformed_record_raises_only_value_errors(body):
    """Guards against a stored record that ends the loading of all submissions."""
    with pytest.raises(ValueError):
        decode_submission(body)


@pytest.mark.parametrize(
    "body", [b"NaN", b'{"a":NaN}', b'{"a":-Infinity}', b'{"a":1e400}', b"[" * 90_000]
)
def test_decode_object_raises_value_error(body):
    """Guards against numbers that raise OverflowError later and deep nesting."""
    with pytest.raises(ValueError):
        decode_object(body)


@pytest.mark.parametrize(
    "request_",
    [
        HttpRequest("GET", "bad host\r\n:80", "/"),
        HttpRequest("GET", "h:80", "/", headers=("X: \u0131\u0307\ud800",)),
        HttpRequest("GET", "h:80", "/\x00"),
    ],
)
def test_request_that_cannot_be_sent_gets_a_reply(request_):
    """Guards against an invalid address or id whose call never ends.

    Such an executor was not polled again, and no later call could use the handle.
    """
    loop = HttpLoop(ManualClock(0))
    replies = []
    loop.call(request_, replies.append)
    for _ in range(100):
        loop._run_once()
        if replies:
            break
    assert [(reply.status, reply.sent) for reply in replies] == [(0, False)]


def build_caller_client(**methods):
    backend = SimpleNamespace(
        configuration=make_configuration(), stopping=False, **methods
    )
    return Client(CallerApi(backend, backend, Metrics()))


def send(client, headers, path="00000000000000a1"):
    return client.get(
        QUEUE.prefix + path,
        headers={"Host": QUEUE.host, "Authorization": "Bearer key", **headers},
    )


@pytest.mark.parametrize("value", ["9" * 5_000, "٣٤٥", "-1", "1e9", "", "0"])
def test_wait_header_of_any_form_is_accepted(value):
    """Guards against a header that raises or that occupies a thread for hours."""
    waits = []

    def find_state(submission_id, wait_ms):
        waits.append(wait_ms)
        future = Future()
        future.set_result(SubmissionState.RUNNING)
        return future

    client = build_caller_client(find_state=find_state)
    header = value.encode().decode("latin-1")
    response = send(client, {"Cranberrywheel-Deadline-Remaining": header})
    assert response.status_code == 200
    assert 0 < waits[0] <= 60_000


def test_unexpected_error_is_answered_with_an_unknown_outcome():
    """Guards against a traceback, or a closed connection, instead of an answer."""

    def find_state(submission_id, wait_ms):
        raise RuntimeError("defect")

    response = send(build_caller_client(find_state=find_state), {})
    assert response.status_code == 500
    assert json.loads(response.data)["outcome"] == "unknown"


@pytest.mark.parametrize(
    "field",
    ["estimatedMs", "cpu", "memMb", "gpu", "antiAffinity", "targetMs", "mayMiss"],
)
def test_amounts_of_a_step_are_bounded(field):
    """Guards against a submission that makes the sums over a pool infinite."""

    def decode(value):
        body = json.dumps({"steps": [{"count": 1, field: value}]}).encode()
        return decode_caller_submission(body, "a" * 16, QUEUE, Organisation("org"), 0)

    limit = 30 * 86_400_000 if field == "estimatedMs" else 10**9
    decode(limit)
    for value in (limit + 1, 10**400):
        with pytest.raises(ValueError, match=field):
            decode(value)


@pytest.mark.parametrize("field", ["startAtMs", "intervalMs"])
def test_times_of_a_submission_are_bounded(field):
    """Guards against due times that no record keeps exactly."""
    body = {"steps": [{"count": 1}], "repeatCount": 1}
    decode_caller_submission(json.dumps(body).encode(), "a" * 16, QUEUE, None, 0)
    odd = json.dumps({**body, field: 10**400}).encode()
    with pytest.raises(ValueError, match=field):
        decode_caller_submission(odd, "a" * 16, QUEUE, None, 0)


def test_store_reply_keeps_readable_items():
    """Guards against one unreadable entry that hides the readable ones."""
    body = {"asOf": 9, "items": [{"key": "p/1"}, {"key": "p/2", "value": "YQ=="}]}
    body["items"][1]["revision"] = 3
    (reply,) = call_once(
        lambda loop, done: Store(loop, "s:1", lambda answered: None).read_all(
            "p/", done
        ),
        200,
        json.dumps(body).encode(),
    )
    assert reply == StoreReply(Outcome.OK, (Item("p/2", b"a", 3),), 9)

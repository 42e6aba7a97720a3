"""Admission in the processes: the load and its age, stored ids, turns and answers."""

import json

import pytest
from leader_harness import (
    QUEUE,
    UNIX_START_MS,
    LeaderHarness,
    make_configuration,
    make_step,
    make_submission,
)
from werkzeug.test import Client

from cranberrywheel.connection.http_loop import HttpReply
from cranberrywheel.node import admission_sync as admission_sync_module
from cranberrywheel.node.admission_messages import (
    LoadAnswer,
    LoadRequest,
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
)
from cranberrywheel.node.admission_sync import (
    CONTENDED_FIELD,
    CONTENDED_MEMORY_MS,
    MAX_LOAD_AGE_MS,
    REFRESH_MS,
    AdmissionSync,
    Refusal,
)
from cranberrywheel.node.caller_api import CallerApi
from cranberrywheel.node.intake import Acceptance, Intake
from cranberrywheel.node.keys import submission_key
from cranberrywheel.node.leadership import Holder
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.submission.features import ALL_OFF, FeatureSettings, Switch
from cranberrywheel.submission.model import Resources
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.pool_load import (
    ORDER_BINS,
    Backlog,
    PoolLoad,
    compute_load_by_service,
)
from cranberrywheel.submission.turns import Turn
from cranberrywheel_standin.virtual_fleet import VirtualLoop, VirtualStore

LEADER_ADDRESS = "10.0.0.1:7440"
ON = FeatureSettings(admission=Switch.ON)


def build_load(core_ms=400_000):
    """Build a load of 4 cores with a backlog that is all ahead of a new submission."""
    on_time = (core_ms, *[0] * (ORDER_BINS - 1))
    backlog = Backlog(QUEUE.key, "org", on_time, 0)
    return PoolLoad(4_000, 4_000, (backlog,), {QUEUE.key: (1.0, 1.0)})


class PeerLoop(VirtualLoop):
    """A loop whose calls reach the leader's side of ``AdmissionSync``.

    :ivar answer: returns the body of the answer to a request; ``None``: no answer.
    :ivar requests: bodies of all requests.
    """

    def __init__(self):
        super().__init__()
        self.answer = lambda body: None
        self.delay_ms = 1
        self.requests = []

    def call(self, request, on_reply, on_data=lambda: None):
        self.requests.append(request.body)
        body = self.answer(request.body)
        if body is None:
            self.after(request.timeout_ms, lambda: on_reply(HttpReply(0)))
            return
        encoded = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.after(self.delay_ms, lambda: on_reply(HttpReply(200, encoded)))


class Entry:
    """An entry process that does not lead, and what the leader answers it."""

    def __init__(self, settings=ON):
        self.loop = PeerLoop()
        self.store = VirtualStore(self.loop)
        self.client = self.store.build_client()
        self.holder = Holder("leader", LEADER_ADDRESS, 7)
        self.load_by_service = {"pool": build_load()}
        self.fence = 7
        self.loop.answer = lambda body: encode_answer(
            LoadAnswer(self.fence, self.load_by_service), self.loop.clock.now_ms()
        )
        self.sync = AdmissionSync(
            self.loop,
            self.client,
            "10.0.0.2:7440",
            lambda: None,
            lambda: self.holder,
            make_configuration,
            settings,
            PlatformTiming(),
        )

    def notice(self, contended=True):
        """Deliver the leader's answer to a notice of stored submissions."""
        body = {"received": 1, **({CONTENDED_FIELD: True} if contended else {})}
        self.sync.take_notice_answer(HttpReply(200, json.dumps(body).encode()))

    def check(self, submission_id, run_ms=300, **fields):
        """Return the verdict on a submission."""
        submission = make_submission(submission_id, make_step(2), **fields)
        verdicts = []
        self.sync.check(submission, verdicts.append)
        self.loop.run_for(run_ms)
        assert len(verdicts) == 1
        return verdicts[0]


@pytest.fixture
def entry():
    entry = Entry()
    entry.notice()
    return entry


def test_contended_pool_refuses_with_a_time(entry):
    """Guards against a backlog that grows although every process knows of it."""
    verdict = entry.check("a" * 16)
    # 100 s of backlog: the longest time that a caller is asked to wait.
    assert verdict == Refusal(30)
    assert entry.store.writes == 0


def test_nothing_is_asked_while_no_pool_is_contended():
    """Guards against messages that each submission of a calm day causes."""
    entry = Entry()
    entry.notice(contended=False)
    assert not isinstance(entry.check("a" * 16), Refusal)
    entry.loop.run_for(60_000)
    assert entry.loop.requests == [] and entry.store.reads == 0


def test_process_asks_at_most_once_per_interval(entry):
    """Guards against a request for each submission of a burst."""
    for number in range(100):
        entry.check(f"{number:016x}", run_ms=10)
    entry.loop.run_for(1_000)
    assert len(entry.loop.requests) == 1_000 // REFRESH_MS


def test_leader_that_answers_no_more_refuses_nothing(entry):
    """Guards against refusals by a load that is gone: the summary is lost or old."""
    assert isinstance(entry.check("a" * 16), Refusal)
    entry.loop.answer = lambda body: None
    entry.loop.run_for(MAX_LOAD_AGE_MS)
    assert not isinstance(entry.check("b" * 16), Refusal)
    entry.loop.run_for(CONTENDED_MEMORY_MS)
    requests = len(entry.loop.requests)
    entry.check("c" * 16)
    assert len(entry.loop.requests) == requests


def test_answer_that_was_on_its_way_for_long_is_not_used(entry):
    """Guards against a process that was paused and takes an old load for a new one."""
    entry.loop.delay_ms = MAX_LOAD_AGE_MS + 50
    assert not isinstance(entry.check("a" * 16, run_ms=2_000), Refusal)


@pytest.mark.parametrize("holder_fence", [None, 8])
def test_load_of_a_deposed_leader_is_ignored(entry, holder_fence):
    """Guards against refusals by the load of a leader that has been replaced."""
    assert isinstance(entry.check("a" * 16), Refusal)
    entry.holder = holder_fence and Holder("other", LEADER_ADDRESS, holder_fence)
    assert not isinstance(entry.check("b" * 16), Refusal)
    entry.loop.run_for(REFRESH_MS)
    assert not isinstance(entry.check("c" * 16), Refusal)


def test_answer_of_an_earlier_leader_does_not_replace_a_newer_load(entry):
    """Guards against a process that forgets the load because two leaders answer it."""
    entry.fence = 8
    assert isinstance(entry.check("a" * 16), Refusal)
    entry.fence, entry.load_by_service = 7, {}
    assert isinstance(entry.check("b" * 16), Refusal)


def test_turn_is_reported_again_after_a_lost_request(entry):
    """Guards against a place that no other process learns of."""
    entry.check("a" * 16)
    answer, entry.loop.answer = entry.loop.answer, lambda body: None
    entry.check("b" * 16, run_ms=REFRESH_MS)
    entry.loop.answer = answer
    entry.check("c" * 16)
    reported = [
        [key for key, _ in decode_request(body, 0).changes]
        for body in entry.loop.requests
    ]
    assert reported[0] == [] and reported[1] == ["a" * 16]
    assert "a" * 16 in reported[2]


def malform(**changes):
    answer = encode_answer(LoadAnswer(7, {"pool": build_load()}), 0)
    return json.dumps({**answer, **changes}).encode()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b"\xff",
        malform(fence="x"),
        malform(age=-5),
        malform(pools=[]),
        malform(pools={"pool": {"drain": 0, "cpu": 1, "backlogs": [], "factors": {}}}),
        malform(
            pools={"pool": {"drain": 1, "cpu": 1, "backlogs": [[]], "factors": {}}}
        ),
        malform(turns=7),
        malform(
            pools={
                "pool": {
                    "drain": 1,
                    "cpu": 1,
                    "backlogs": [],
                    "factors": {"q": [10**400, 1]},
                }
            }
        ),
    ],
)
def test_malformed_load_refuses_nothing(entry, body):
    """Guards against an answer that raises in the loop, or that refuses everything."""
    entry.loop.answer = lambda request: body
    assert not isinstance(entry.check("a" * 16), Refusal)


@pytest.mark.parametrize(
    "row",
    [
        ["c", "pool", -1, 0, 0, 0],
        ["c", "pool", 1, 0, 0, 10**9],
        ["c", "pool", 10**400, 0, 0, 0],
        ["c", "pool", 1, 130_000, 0, 0],
        ["c", "pool", 1],
        [[], "pool", 1, 0, 0, 0],
        [],
        7,
    ],
)
def test_malformed_turn_does_not_hide_the_load(entry, row):
    """Guards against one bad turn that makes a process decide without the load."""
    body = malform(turns=[row, ["d", "pool", 1, 0, 1_000, 2_000]])
    entry.loop.answer = lambda request: body
    assert isinstance(entry.check("a" * 16), Refusal)
    (change,) = decode_answer(body, 1_000).changes
    assert change == ("d", Turn("pool", 1.0, 1_000, 2_000, 3_000))


def test_turn_that_is_too_old_is_not_sent():
    """Guards against a message that no receiver can decode because of one turn."""
    kept = Turn("pool", 500.0, 199_000, 203_000, 206_000)
    rows = [
        ("a", Turn("pool", 500.0, 100, 3_000, 6_000)),
        ("b", Turn("pool", 500.0, 190_000, 193_000, 196_000)),
        ("c", kept),
        ("d", None),
    ]
    request = LoadRequest("a:1", 3, 5, tuple(rows))
    decoded = decode_request(encode_request(request, 200_000), 200_000)
    assert decoded.changes == (("c", kept), ("d", None))


def test_error_in_deciding_one_submission_accepts_it_and_decides_the_others(
    entry, monkeypatch
):
    """Guards against callers that get no answer because of another one's defect."""
    decide = admission_sync_module.decide_admission

    def decide_or_fail(load, age_ms, submission, *arguments):
        if submission.id == "a" * 16:
            raise RuntimeError("defect")
        return decide(load, age_ms, submission, *arguments)

    def fail(verdict):
        raise RuntimeError("defect of a caller")

    monkeypatch.setattr(admission_sync_module, "decide_admission", decide_or_fail)
    verdicts = {}
    entry.sync.check(make_submission("a" * 16, make_step(2)), fail)
    for name in ("a" * 16, "b" * 16):
        entry.sync.check(
            make_submission(name, make_step(2)),
            lambda verdict, name=name: verdicts.update({name: verdict}),
        )
    entry.loop.run_for(300)
    assert verdicts["a" * 16].id == "a" * 16
    assert isinstance(verdicts["b" * 16], Refusal)


def test_error_in_recording_a_refusal_accepts_the_submission(entry, monkeypatch):
    """Guards against a caller that gets no answer after the store has been asked."""

    def fail(*arguments):
        raise RuntimeError("defect")

    monkeypatch.setattr(entry.sync, "_log_refusal", fail)
    assert entry.check("a" * 16).id == "a" * 16
    assert entry.sync.refusals == 0


@pytest.mark.parametrize("suffix", ["", "/p", "/f"])
def test_stored_id_is_never_refused(entry, suffix):
    """Guards against ``not-run`` for an id that another process has stored."""
    entry.store.put(submission_key("a" * 16) + suffix, b"{}")
    assert not isinstance(entry.check("a" * 16), Refusal)
    assert isinstance(entry.check("b" * 16), Refusal)


def test_id_refused_here_and_stored_elsewhere_is_not_refused_again(entry):
    """Guards against a second refusal after another process accepted the id."""
    assert isinstance(entry.check("a" * 16), Refusal)
    entry.store.put(submission_key("a" * 16), b"{}")
    assert not isinstance(entry.check("a" * 16), Refusal)


def test_id_whose_write_got_no_answer_is_never_refused():
    """Guards against ``not-run`` for an id whose write may yet take effect.

    The write is delivered seconds after its caller was told that the outcome is
    unknown, and until then the store says that the id is absent.
    """
    entry = Entry()
    submission = make_submission("a" * 16)
    entry.store.lost_answer_share = 1.0
    outcomes = []
    intake = Intake(entry.loop, entry.client)
    entry.sync.check(submission, lambda row: intake.submit(row, 0, outcomes.append))
    entry.loop.run_for(900)
    entry.store.lost_answer_share = 0.0
    assert outcomes == [Acceptance.UNKNOWN]
    assert submission_key(submission.id) not in entry.store.item_by_key
    entry.notice()
    assert isinstance(entry.check("b" * 16), Refusal)
    assert not isinstance(entry.check("a" * 16), Refusal)


def test_id_that_arrives_twice_at_once_is_refused_only_unstored(entry):
    """Guards against a refusal that was decided before a second call was accepted."""
    verdicts = []
    submission = make_submission("a" * 16, make_step(2))
    entry.check("b" * 16, run_ms=20)  # so that the load is known
    entry.sync.check(submission, verdicts.append)
    entry.load_by_service = {}
    entry.sync._load = None  # the second call finds no load
    entry.sync.check(submission, verdicts.append)
    entry.loop.run_for(1_000)
    assert [isinstance(row, Refusal) for row in verdicts] == [False, False]


def test_unreachable_store_refuses_nothing_because_of_load(entry):
    """Guards against 429 where the store cannot say whether the id is stored."""
    entry.client.unreachable = True
    assert not isinstance(entry.check("a" * 16, run_ms=2_000), Refusal)


def test_caller_that_returns_early_keeps_its_place(entry):
    """Guards against a caller that is put behind others because it is impatient."""
    first = entry.check("a" * 16)
    entry.loop.run_for(5_000)
    entry.notice()
    again = entry.check("a" * 16)
    assert again.retry_after_s < first.retry_after_s - 3
    entry.loop.run_for(1_000 * again.retry_after_s)
    entry.notice()
    accepted = entry.check("a" * 16)
    # Its place is that of its first attempt.
    assert accepted.accepted_ms < UNIX_START_MS - 1_000 * (first.retry_after_s - 1)
    assert entry.sync.kept_turns == 1


def test_caller_that_returns_after_its_place_is_a_new_one(entry):
    """Guards against places that are kept for ever."""
    entry.check("a" * 16)
    entry.loop.run_for(62_000)
    entry.notice()
    assert isinstance(entry.check("a" * 16), Refusal)


def test_long_running_and_scheduled_submissions_are_not_refused(entry):
    """Guards against the refusal of work that has no objective to miss."""
    verdicts = []
    submission = make_submission("a" * 16, make_step(2, long_running=True))
    entry.sync.check(submission, verdicts.append)
    entry.loop.run_for(300)
    assert verdicts == [submission]


def test_switched_off_part_sends_and_reads_nothing():
    """Guards against another answer, message or store call with the switch off."""
    entry = Entry(ALL_OFF)
    entry.notice()
    assert not isinstance(entry.check("a" * 16, run_ms=0), Refusal)
    assert entry.loop.requests == [] and entry.store.reads == 0


# The leader's side


@pytest.fixture
def leading(monkeypatch):
    """A leader with one executor of 4 cores and a backlog of 60 submissions."""
    harness = LeaderHarness(monkeypatch)
    monkeypatch.setattr(admission_sync_module, "unix_ms", harness.unix_ms)
    harness.fleet.add("x0", "pool", cpu=4_000)
    harness.start_leader()
    harness.scheduler.feature_settings = ON
    harness.scheduler.set_configuration(harness.configuration)
    harness.run_for(500)
    return harness


def build_leader_sync(harness):
    return AdmissionSync(
        harness.loop,
        harness.store.build_client(),
        LEADER_ADDRESS,
        lambda: harness.leader,
        lambda: Holder("leader", LEADER_ADDRESS, harness.scheduler.fence),
        lambda: harness.configuration,
        ON,
        PlatformTiming(),
    )


def add_backlog(harness, count=60):
    for number in range(count):
        harness.submit(
            make_submission(
                f"{number:016x}", make_step(4), accepted_ms=harness.unix_ms()
            )
        )
    harness.run_for(300)


def test_leader_reports_only_a_contended_pool(leading):
    """Guards against requests of all processes while nothing waits."""
    sync = build_leader_sync(leading)
    assert not sync.is_contended()
    add_backlog(leading)
    leading.run_for(REFRESH_MS)
    assert sync.is_contended()
    body = encode_request(LoadRequest("10.0.0.2:7440"), leading.loop.clock.now_ms())
    answer = decode_answer(json.dumps(sync.answer(body)).encode(), 0)
    load = answer.load_by_service["pool"]
    assert load.drain_cpu == 4_000 and answer.fence == leading.scheduler.fence
    # 60 submissions of 4 s on 4 cores, less the standard error and what has run.
    assert 45_000 < load.wait_ms < 60_000


def compute_load(harness):
    return compute_load_by_service(
        harness.scheduler, {}, harness.loop.clock.now_ms(), harness.unix_ms()
    ).get("pool")


def submit_long(harness, count):
    step = make_step(count, estimated_ms=600_000)
    row = make_submission("long", step, accepted_ms=harness.unix_ms())
    harness.submit(row, 600_000)
    harness.run_for(300)


def test_pool_with_room_for_all_waiting_work_has_no_load(leading):
    """Guards against refusals while half of a pool is free.

    The waiting tasks are beyond the quota of an organisation with long runs.
    """
    leading.configuration = make_configuration(quota=Resources(2_000, 0, 0))
    leading.scheduler.set_configuration(leading.configuration)
    submit_long(leading, 2)
    add_backlog(leading, 1)
    pool = leading.scheduler.executors_by_service["pool"]
    assert pool["x0"].free.cpu == 2_000
    live = leading.scheduler.live_by_id[f"{0:016x}"]
    waiting = live.list_ready_steps()[0].waiting
    assert len(waiting) == 4
    assert compute_load(leading) is not None  # two of the four tasks do not fit
    for key in list(waiting)[:2]:
        del waiting[key]
    assert compute_load(leading) is None


def test_long_runs_count_up_to_the_horizon_of_the_order(leading):
    """Guards against refusals because of runs that last for minutes."""
    submit_long(leading, 4)
    add_backlog(leading)
    load = compute_load(leading)
    assert sum(row.on_time_core_ms[0] for row in load.backlogs) <= 4 * 4_500


def test_executor_that_stops_runs_of_the_previous_leader_counts_as_serving(leading):
    """Guards against the load of a part of the pool just after a takeover."""
    add_backlog(leading)
    load = compute_load(leading)
    (executor,) = leading.scheduler.executors_by_service["pool"].values()
    executor.set_untracked([("old.0.0.0", 1)])
    assert compute_load(leading).drain_cpu == load.drain_cpu == 4_000


def test_no_load_until_each_reachable_executor_has_answered(leading):
    """Guards against refusals by a leader that does not know the runs yet."""
    add_backlog(leading)
    leading.fleet.add("x1", "pool", cpu=4_000)
    leading.run_for(500)
    assert compute_load(leading).drain_cpu == 8_000
    executor = leading.scheduler.executors_by_service["pool"]["x1"]
    executor.fence_confirmed = False
    assert compute_load(leading) is None
    executor.reachable = False  # it may be away for long
    assert compute_load(leading).drain_cpu == 8_000


def test_leader_passes_turns_on_between_processes(leading):
    """Guards against a caller that loses its place because it returns elsewhere."""
    sync = build_leader_sync(leading)
    now_ms = leading.loop.clock.now_ms()
    turn = Turn("pool", 500.0, now_ms, now_ms + 3_000, now_ms + 6_000)

    def ask(address, seen=0, changes=()):
        request = LoadRequest(address, leading.scheduler.fence, seen, changes)
        answer = sync.answer(encode_request(request, now_ms))
        return decode_answer(json.dumps(answer).encode(), now_ms)

    assert ask("b", changes=(("a" * 16, turn),)).changes == ()
    told = ask("c")
    assert told.changes == (("a" * 16, turn),)
    assert ask("c", told.seen).changes == ()
    ask("b", changes=(("a" * 16, None),))
    assert ask("c", told.seen).changes == (("a" * 16, None),)


def test_changes_of_an_earlier_leadership_are_not_passed_on(leading):
    """Guards against turns that have ended while another process led."""
    sync = build_leader_sync(leading)
    now_ms = leading.loop.clock.now_ms()
    turn = Turn("pool", 500.0, now_ms, now_ms + 3_000, now_ms + 6_000)
    changes = (("a" * 16, turn),)
    sync.answer(encode_request(LoadRequest("b", changes=changes), now_ms))
    leading.scheduler.fence += 2
    answer = sync.answer(encode_request(LoadRequest("c"), now_ms))
    assert answer["fence"] == leading.scheduler.fence
    assert answer["turns"] == []


def test_messages_survive_encoding():
    """Guards against a load or a turn that the other side takes for another one."""
    turn = Turn("pool", 500.0, 900, 3_000, 6_000)
    changes = (("a" * 16, turn), ("b" * 16, None))
    request = LoadRequest("a:1", 3, 5, changes)
    assert decode_request(encode_request(request, 1_000), 1_000) == request
    answer = LoadAnswer(7, {"pool": build_load()}, 20, 5, changes)
    body = json.dumps(encode_answer(answer, 1_000)).encode()
    assert decode_answer(body, 1_000) == answer


def test_process_that_does_not_lead_answers_nothing():
    """Guards against a load of a process that is not the leader."""
    entry = Entry()
    assert entry.sync.answer(encode_request(LoadRequest("a:1"), 0)) == {}
    assert not entry.sync.is_contended()


# The answer to callers


class RefusingBackend:
    """A backend with a fixed result, and the process that serves it."""

    stopping = False
    configuration = make_configuration()

    def __init__(self, result):
        self._result = result

    def submit(self, submission, wait_ms):
        from concurrent.futures import Future

        future = Future()
        future.set_result(self._result)
        return future


def post(result, **arguments):
    backend = RefusingBackend(result)
    client = Client(CallerApi(backend, backend, Metrics(), **arguments))
    return client.post(
        QUEUE.prefix + "0" * 16,
        data=json.dumps({"steps": [{"count": 1}]}),
        headers={"Host": QUEUE.host, "Authorization": "Bearer key"},
    )


def test_refused_caller_learns_that_nothing_runs_and_when_to_return():
    """Guards against a refusal that a caller cannot tell from a lost answer."""
    response = post(Refusal(4))
    assert response.status_code == 429
    assert response.headers["Retry-After"] == "4"
    body = response.get_json(force=True)
    assert body["outcome"] == "not-run" and body["title"] == "overloaded"


def test_other_refusals_name_the_time_of_their_cause():
    """Guards against callers that return every second to a store that is away."""
    response = post(Acceptance.NOT_STORED, estimate_store_retry_s=lambda: 3)
    assert (response.status_code, response.headers["Retry-After"]) == (503, "3")
    response = post(Acceptance.NOT_STORED)
    assert (response.status_code, response.headers["Retry-After"]) == (503, "1")
    response = post(Acceptance.UNKNOWN, estimate_store_retry_s=lambda: 3)
    assert (response.status_code, response.headers["Retry-After"]) == (504, "1")

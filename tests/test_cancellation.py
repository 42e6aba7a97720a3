"""Cancellations of submissions that are still being stored, or that never come."""

import random
from types import SimpleNamespace

import pytest
from leader_harness import QUEUE, LeaderHarness, make_step, make_submission
from werkzeug.test import Client

from cranberrywheel.node.caller_api import CallerApi
from cranberrywheel.node.cancellation import WITHDRAWALS_PER_S, CancelResult
from cranberrywheel.node.intake import MAX_WRITE_ENTRIES, Acceptance
from cranberrywheel.node.metrics import Metrics
from cranberrywheel.node.submission_calls import SubmissionCalls
from cranberrywheel.node.withdrawal_cleanup import RECORDS_PER_WRITE, RETENTION_MS
from cranberrywheel.submission.model import SubmissionState

ID = "5c0e7a21d94b36f8"
KEY = f"cw/j/{ID}"
#: Longest time after which the simulated store carries out an unanswered write.
LATE_MS = 6_000
WAIT_MS = 2_750


class EntryProcess:
    """The caller-facing part of a process, with a client of its own to the store."""

    def __init__(self, harness):
        self._harness = harness
        self.client = harness.store.build_client()
        self.calls = SubmissionCalls(
            harness.loop,
            self.client,
            SimpleNamespace(holder=None, has_valid_lease=lambda: True),
            SimpleNamespace(check=lambda submission, done: done(submission)),
            "10.0.0.2:7440",
            lambda: True,
            lambda: harness.leader,
        )

    def submit(self, submission, wait_ms=WAIT_MS):
        """Hand a submission in; returns the future of its acceptance."""
        step = submission.steps[0]
        self._harness.fleet.set_task_profile(
            submission.id, step.size.cpu, 1_000, step.long_running
        )
        return self.calls.submit(submission, wait_ms)

    def submit_unanswered(self, submission):
        """Hand a submission in; the store carries its write out seconds later."""
        store = self._harness.store
        store.lost_answer_share = 1.0
        acceptance = self.submit(submission, wait_ms=100)
        self._harness.run_for(20)
        store.lost_answer_share = 0.0
        return acceptance

    def cancel(self, submission_id=ID, organisation="org", run_ms=100):
        """Cancel a submission; returns the result, ``None`` without an answer."""
        future = self.calls.cancel(submission_id, organisation, WAIT_MS)
        self._harness.run_for(run_ms)
        return future.result(0) if future.done() else None

    def find_state(self, submission_id=ID):
        """Return the state of a submission, ``None`` if it does not exist."""
        future = self.calls.find_state(submission_id, WAIT_MS)
        self._harness.run_for(100)
        return future.result(0)


@pytest.fixture
def harness(monkeypatch):
    """A leader and two executors with capacity."""
    harness = LeaderHarness(monkeypatch)
    for number in range(2):
        harness.fleet.add(f"x{number}", "pool", cpu=8_000)
    harness.start_leader()
    harness.run_for(500)
    return harness


@pytest.fixture
def entries(harness):
    """Two entry processes."""
    return EntryProcess(harness), EntryProcess(harness)


def lasting(submission_id=ID, **fields):
    """Build a submission of two tasks that run until they are cancelled."""
    step = make_step(2, long_running=True)
    return make_submission(submission_id, step, **fields)


def result_of(future):
    """Return the result of a future that must be complete."""
    assert future.done()
    return future.result(0)


def test_cancelled_submission_does_not_start_when_its_write_arrives_late(
    harness, entries
):
    """Guards against tasks that start after their cancel was answered 410.

    The write of the submission is under way while it is cancelled elsewhere.
    """
    first, second = entries
    acceptance = first.submit_unanswered(lasting())
    assert second.cancel() is CancelResult.WITHDRAWN
    harness.run_for(LATE_MS + 10_000)
    assert result_of(acceptance) is Acceptance.UNKNOWN
    assert harness.fleet.started_tasks == set()
    assert second.find_state() is None
    assert harness.start_leader() and not harness.run_for(5_000)
    assert harness.fleet.started_tasks == set()


def test_cancelled_submission_is_not_stored_by_a_retry_of_its_process(harness, entries):
    """Guards against a write that the process repeats after the cancel."""
    first, second = entries
    first.client.unreachable = True
    acceptance = first.submit(lasting())
    harness.run_for(100)
    assert second.cancel() is CancelResult.WITHDRAWN
    first.client.unreachable = False
    harness.run_for(5_000)
    assert result_of(acceptance) is Acceptance.WITHDRAWN
    assert harness.fleet.started_tasks == set()


def test_cancelled_submission_is_not_stored_by_another_process(harness, entries):
    """Guards against the copy that a caller's retry brings to another process."""
    first, second = entries
    first.submit_unanswered(lasting())
    assert second.cancel() is CancelResult.WITHDRAWN
    copy = second.submit(lasting())
    harness.run_for(LATE_MS)
    assert result_of(copy) is Acceptance.WITHDRAWN
    assert harness.fleet.started_tasks == set()


def test_others_in_the_write_of_a_cancelled_submission_run(harness, entries):
    """Guards against a cancel that keeps others of the same write from being stored."""
    first, second = entries
    ids = [f"{number:016x}" for number in range(9)]
    first.client.unreachable = True
    acceptances = [first.submit(make_submission(name)) for name in ids]
    harness.run_for(100)
    for name in ids[:3]:
        assert second.cancel(name) is CancelResult.WITHDRAWN
    first.client.unreachable = False
    harness.run_for(6_000)
    expected = [Acceptance.WITHDRAWN] * 3 + [Acceptance.STORED] * 6
    assert [result_of(acceptance) for acceptance in acceptances] == expected
    assert harness.fleet.started_tasks == {f"{name}.0.0.0" for name in ids[3:]}


def test_late_withdrawal_does_not_end_a_submission_that_was_stored(harness, entries):
    """Guards against a withdrawal that the store carries out after the submission."""
    first, second = entries
    write_at_once = second.client.write
    second.client.write = lambda write, done: harness.loop.after(
        3_000, lambda: write_at_once(write, done)
    )
    assert second.cancel() is None
    acceptance = first.submit(make_submission(ID))
    harness.run_for(6_000)
    assert result_of(acceptance) is Acceptance.STORED
    assert first.find_state() is SubmissionState.COMPLETED


def test_unanswered_withdrawal_is_repeated(harness, entries):
    """Guards against a 410 without a record behind it."""
    harness.store.lost_answer_share = 1.0
    future = entries[0].calls.cancel(ID, "org", WAIT_MS)
    harness.run_for(500)
    assert not future.done()
    harness.store.lost_answer_share = 0.0
    harness.run_for(2_000)
    assert result_of(future) is CancelResult.WITHDRAWN
    assert KEY + "/f" in harness.store.item_by_key


def test_cancel_without_the_store_is_not_answered(harness, entries):
    """Guards against a 410 that nothing in the store makes true."""
    harness.store.unreachable = True
    assert entries[0].cancel(run_ms=5_000) is None


def test_cancel_of_an_unknown_id_shows_no_submission(harness, entries):
    """Guards against a submission that is shown although nobody submitted it."""
    first, second = entries
    assert first.cancel() is CancelResult.WITHDRAWN
    assert first.find_state() is None and second.find_state() is None
    harness.run_for(2_000)
    assert harness.scheduler.get_state(ID) is None
    assert second.cancel() is CancelResult.WITHDRAWN
    harness.start_leader()
    harness.run_for(2_000)
    assert harness.scheduler.get_state(ID) is None
    assert second.find_state() is None


def test_cancel_of_an_ended_submission_is_confirmed(harness, entries):
    """Guards against a final record that is taken for a withdrawal."""
    first, second = entries
    first.submit(make_submission(ID))
    harness.run_for(3_000)
    assert second.cancel() is CancelResult.CANCELLED
    assert second.find_state() is SubmissionState.COMPLETED
    duplicate = second.submit(make_submission(ID))
    harness.run_for(3_000)
    assert result_of(duplicate) is Acceptance.STORED
    assert harness.fleet.starts == 1


def test_withdrawal_does_not_block_the_id_for_another_organisation(harness, entries):
    """Guards against work that an organisation cannot submit since another cancelled.

    The withdrawn submission still does not start when its write arrives.
    """
    first, second = entries
    first.submit_unanswered(make_submission(ID))
    assert second.cancel() is CancelResult.WITHDRAWN
    other = make_submission(ID, make_step(3), organisation="other")
    acceptance = second.submit(other)
    harness.run_for(LATE_MS + 2_000)
    assert result_of(acceptance) is Acceptance.STORED
    assert harness.fleet.started_tasks == {f"{ID}.0.0.{index}" for index in range(3)}
    assert second.find_state() is SubmissionState.COMPLETED


def test_two_organisations_withdraw_one_id(harness, entries):
    """Guards against a withdrawal that replaces that of another organisation."""
    first, second = entries
    first.submit_unanswered(lasting())
    assert first.cancel() is CancelResult.WITHDRAWN
    assert second.cancel(organisation="other") is CancelResult.WITHDRAWN
    copies = [
        entry.submit(lasting(organisation=name))
        for entry, name in ((first, "other"), (second, "org"))
    ]
    harness.run_for(LATE_MS)
    assert [result_of(copy) for copy in copies] == [Acceptance.WITHDRAWN] * 2
    assert harness.fleet.started_tasks == set()


@pytest.mark.parametrize("run_ms", [0, 10, 2_000])
def test_withdrawals_of_others_fit_into_a_write(harness, entries, run_ms):
    """Guards against writes that the store refuses for having too many entries."""
    first, second = entries
    sizes = []
    original = first.client.write

    def write(write, done):
        sizes.append(len(write.conditions) + len(write.puts) + len(write.deletes))
        original(write, done)

    first.client.write = write
    ids = [f"{number:016x}" for number in range(25)]
    for name in ids:
        assert second.cancel(name, "other", run_ms=20) is CancelResult.WITHDRAWN
    harness.run_for(run_ms)
    acceptances = [first.submit(make_submission(name)) for name in ids]
    harness.run_for(8_000)
    assert {result_of(acceptance) for acceptance in acceptances} == {Acceptance.STORED}
    assert max(sizes) <= MAX_WRITE_ENTRIES


def test_withdrawal_record_is_deleted_after_its_retention_time(harness, entries):
    """Guards against records of cancels that nothing ever deletes."""
    ids = [f"{number:016x}" for number in range(2 * RECORDS_PER_WRITE + 1)]
    for name in ids:
        entries[0].cancel(name, run_ms=50)
    keys = {f"cw/j/{name}/f" for name in ids}
    harness.run_for(RETENTION_MS - 5_000)
    assert keys <= harness.store.item_by_key.keys()
    harness.run_for(15_000)
    assert not keys & harness.store.item_by_key.keys()
    acceptance = entries[0].submit(make_submission(ids[0]))
    harness.run_for(2_000)
    assert result_of(acceptance) is Acceptance.STORED


def test_new_leader_deletes_withdrawal_records(harness, entries):
    """Guards against records that stay after a change of the leader."""
    entries[0].cancel()
    harness.run_for(RETENTION_MS // 2)
    harness.start_leader()
    harness.run_for(RETENTION_MS - 1_000)
    assert KEY + "/f" in harness.store.item_by_key
    harness.run_for(5_000)
    assert KEY + "/f" not in harness.store.item_by_key


def test_deletion_leaves_a_withdrawal_that_was_changed(harness, entries):
    """Guards against the deletion of a record that protects a later cancel."""
    entries[0].cancel()
    harness.run_for(RETENTION_MS - 2_000)
    entries[0].cancel(organisation="other")
    harness.leader_client.watches_silent = True
    harness.run_for(5_000)
    assert KEY + "/f" in harness.store.item_by_key
    harness.leader_client.watches_silent = False
    harness.run_for(RETENTION_MS + 10_000)
    assert KEY + "/f" not in harness.store.item_by_key


def test_cancels_of_unknown_ids_are_limited(harness, entries):
    """Guards against a caller that fills the store with withdrawal records."""
    first, _ = entries

    def cancel_many(count, organisation="org"):
        futures = [
            first.calls.cancel(f"{random.getrandbits(64):016x}", organisation, WAIT_MS)
            for _ in range(count)
        ]
        harness.run_for(100)
        return [result_of(future) for future in futures]

    random.seed(1)
    results = cancel_many(1_000)
    allowed = int(2 * WITHDRAWALS_PER_S)
    assert results.count(CancelResult.WITHDRAWN) == allowed
    assert results.count(CancelResult.TOO_MANY) == 1_000 - allowed
    assert cancel_many(1, "other") == [CancelResult.WITHDRAWN]
    first.submit(lasting())
    harness.run_for(200)
    assert first.cancel() is CancelResult.CANCELLED
    harness.run_for(1_000)
    assert cancel_many(10) == [CancelResult.WITHDRAWN] * 10


def test_cost_of_a_cancel_in_calls_to_the_store(harness, entries):
    """Guards against cancels that load the store more than one read and one write."""
    first, second = entries
    store = harness.store

    def count_calls(entry):
        before = store.reads, store.writes
        entry.cancel()
        return store.reads - before[0], store.writes - before[1]

    assert count_calls(first) == (1, 1)
    assert count_calls(second) == (1, 0)


@pytest.mark.parametrize("seed", range(60))
def test_no_order_of_events_starts_a_cancelled_submission(monkeypatch, seed):
    """Guards against any order of copies, late writes, cancels and takeovers.

    Nothing starts after a cancel was answered, except within the time in which the
    leader learns of the cancellation of a stored submission.
    """
    chance = random.Random(seed)
    harness = LeaderHarness(monkeypatch, seed)
    harness.fleet.add("x0", "pool", cpu=32_000)
    harness.store.random.seed(seed)
    harness.notifies = True
    harness.start_leader()
    harness.run_for(500)
    entries = [EntryProcess(harness) for _ in range(3)]
    ids = [f"{number:016x}" for number in range(6)]
    acked_ms_by_id = {}

    def cancel(name):
        future = chance.choice(entries).calls.cancel(name, "org", WAIT_MS)

        def note(done):
            if done.result(0) in (CancelResult.CANCELLED, CancelResult.WITHDRAWN):
                acked_ms_by_id.setdefault(name, harness.loop.clock.now_ms())

        future.add_done_callback(note)

    for name in ids:
        for _ in range(chance.randint(1, 3)):
            entry = chance.choice(entries)
            harness.loop.after(
                chance.randint(0, 3_000),
                lambda entry=entry, name=name: entry.submit(lasting(name)),
            )
        for _ in range(chance.randint(1, 2)):
            harness.loop.after(chance.randint(0, 4_000), lambda name=name: cancel(name))
    if chance.random() < 0.3:
        harness.loop.after(chance.randint(500, 4_000), harness.start_leader)
    harness.store.lost_answer_share = chance.choice((0.0, 0.3, 0.6))
    harness.run_for(5_000)
    harness.store.lost_answer_share = 0.0
    harness.run_for(20_000)
    for name, acked_ms in acked_ms_by_id.items():
        for task, times in harness.fleet.start_times_by_task.items():
            if task.startswith(name):
                # cancel_ms of the small deployments.
                assert max(times) <= acked_ms + 3_000
        assert not any(
            task.startswith(name)
            for executor in harness.fleet.executors_by_id.values()
            for task, _ in executor.runs
        )
    assert harness.fleet.violations == []


class Backend:
    """Completes each call at once with a given result."""

    def __init__(self, result):
        self.result = result
        self.cancelled = []

    def submit(self, submission, wait_ms):
        return SimpleNamespace(result=lambda timeout: self.result)

    def cancel(self, submission_id, organisation, wait_ms):
        self.cancelled.append((submission_id, organisation))
        return SimpleNamespace(result=lambda timeout: self.result)


def call_api(harness, result, method, json=None):
    """Send a caller's request to an API whose backend has one result."""
    process = SimpleNamespace(stopping=False, configuration=harness.configuration)
    backend = Backend(result)
    api = Client(CallerApi(process, backend, Metrics()))
    response = api.open(
        QUEUE.prefix + ID,
        method=method,
        headers={"Host": QUEUE.host, "Authorization": "Bearer key"},
        json=json,
    )
    return response, backend


@pytest.mark.parametrize(
    ("result", "status", "title"),
    [
        (CancelResult.CANCELLED, 200, None),
        (CancelResult.WITHDRAWN, 410, "no-such-submission"),
        (CancelResult.TOO_MANY, 429, "too-many-cancellations"),
    ],
)
def test_answers_to_a_cancel(harness, result, status, title):
    """Guards against a cancel whose answer does not say what was done."""
    response, backend = call_api(harness, result, "DELETE")
    assert response.status_code == status and response.json.get("title") == title
    assert backend.cancelled == [(ID, "org")]
    assert ("Retry-After" in response.headers) == (status == 429)


def test_withdrawn_submission_is_refused_as_not_run(harness):
    """Guards against an acceptance, or a try again, of work that can never run."""
    body = {"spec": "work", "steps": [{"count": 1, "cpu": 100, "memMb": 1}]}
    response, _ = call_api(harness, Acceptance.WITHDRAWN, "POST", body)
    assert response.status_code == 410
    assert response.json["title"] == "submission-cancelled"
    assert response.json["outcome"] == "not-run"
    assert "Retry-After" not in response.headers

"""Orders for a former process of an executor that reach its next one.

Nothing in an order names the process, and the next one counts its ends and its clock
anew. An order with the numbers of the former process would make it forget ends that no
leader has seen, so that their tasks run again, or extend its lease unnoticed.
"""

import types

import pytest
from leader_harness import LeaderHarness, make_submission
from test_run_exclusivity import FAULTS_WITH_RESTARTS, describe, play_world
from test_run_taken_for_gone import (
    CLOCK_MS,
    FIRST_BOOT,
    NOW_MS,
    SECOND_BOOT,
    make_entry,
    make_poll_reply,
    make_scheduler,
    schedule,
    start_task,
)

from cranberrywheel.node.executor_calls import RETRY_MS, ExecutorCalls
from cranberrywheel.submission import actions
from cranberrywheel.submission.executor_orders import (
    CompletionReport,
    OrderReply,
    OrderVerdict,
    PollReply,
    RunOutcome,
)
from cranberrywheel.submission.live import Run
from cranberrywheel_standin.virtual_fleet import VirtualLoop

#: Faults without orders that are carried out late; a slow message takes 0.6 s at most.
FAULTS_IN_TIME = (
    "slow,lost,unanswered,cuts,restarts,takeovers,handovers,slow_clocks,failures,"
    "startups,store"
)


class Calls:
    """Calls of a leader to one executor, whose answers a test gives.

    :ivar polls: fencing token, acknowledged number, callback and deadline of each poll.
    :ivar starts: fencing token and callback of each start.
    :ivar reasons: reasons for which the leader has stepped down.
    """

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.loop.clock.advance(NOW_MS - self.loop.clock.now_ms())
        self.scheduler = make_scheduler("a")
        self.executor = self.scheduler.executors_by_id["a"]
        self.polls = []
        self.starts = []
        self.reasons = []
        client = types.SimpleNamespace(
            poll=lambda entry, fence, number, deadline_ms, wait_ms, done: (
                self.polls.append((fence, number, done, deadline_ms))
            ),
            start=lambda entry, order, done: self.starts.append((order.fence, done)),
            stop=lambda *args: None,
        )
        self.calls = ExecutorCalls(
            self.loop,
            client,
            self.scheduler,
            lambda: True,
            lambda: None,
            lambda: None,
            self.reasons.append,
        )
        self.calls.start()

    def begin_run(self):
        """Start a task at the executor and return its run."""
        self.scheduler.may_start = True
        run = start_task(self.scheduler, self.loop.clock.now_ms())
        self.scheduler.actions.clear()
        self.calls.execute(actions.StartRun(run))
        return run

    def acknowledge(self):
        """Let the next polls acknowledge three of four ends, and poll."""
        self.executor.received_sequence = 4
        self.executor.acknowledged_sequence = 3
        self.calls.poll_if_needed(self.executor)
        return self.polls[-1]

    def answer_start(self, reply):
        self.starts[-1][1](reply)


def test_unanswered_poll_is_not_repeated_with_its_number():
    """Guards against a poll in which a new process first hears of old ends.

    A poll without an answer was repeated with the number of the former process.
    """
    calls = Calls()
    fence, number, answer, _ = calls.acknowledge()
    assert number == 3
    calls.scheduler.note_revision(fence + 5)
    answer(PollReply(OrderVerdict.UNKNOWN))
    calls.loop.run_for(RETRY_MS)
    again_fence, again_number, answer, _ = calls.polls[-1]
    assert again_fence > fence
    assert again_number == 0
    answer(make_poll_reply())
    calls.loop.run_for(RETRY_MS)
    assert calls.polls[-1][1] == 3


def test_earlier_clock_in_an_answer_shows_the_restart():
    """Guards against numbers of the former process after a start has shown the next.

    The answer has an earlier clock, and only the next poll names the process.
    """
    calls = Calls()
    calls.begin_run()
    calls.executor.received_sequence = calls.executor.acknowledged_sequence = 3
    calls.scheduler.note_revision(50)
    calls.answer_start(OrderReply(OrderVerdict.OK, 30))
    assert not calls.executor.is_available
    fence, number, answer, _ = calls.polls[-1]
    assert (fence, number) == (50, 0)
    completion = CompletionReport(1, "s1.0.0.0", 1, RunOutcome.DONE, "")
    answer(make_poll_reply(40, SECOND_BOOT, completions=[completion]))
    assert calls.scheduler.find_task("s1.0.0.0").done
    assert calls.executor.is_available


def test_nothing_starts_or_is_renewed_while_the_process_is_in_doubt():
    """Guards against leases on the clock of a process that has ended."""
    calls = Calls()
    calls.begin_run()
    calls.answer_start(OrderReply(OrderVerdict.OK, 30))
    calls.scheduler.add_submission(make_submission("s2"), NOW_MS)
    assert schedule(calls.scheduler, NOW_MS) == []
    run = Run(calls.scheduler.find_task("s2.0.0.0"), 1, "a", NOW_MS)
    calls.scheduler.track_run(run, calls.executor)  # decided just before the answer
    calls.calls.execute(actions.StartRun(run))
    assert len(calls.starts) == 1
    assert run.task.runs == []
    calls.polls[0][2](PollReply(OrderVerdict.UNKNOWN))
    calls.executor.reachable = True
    calls.loop.run_for(RETRY_MS)
    assert [deadline_ms for *_, deadline_ms in calls.polls[1:]] == [0, 0]


def test_late_answer_of_the_former_process_does_not_end_the_doubt():
    """Guards against trust in a process that ended before a start was answered."""
    calls = Calls()
    calls.begin_run()
    former_answer = calls.polls[0][2]
    calls.loop.run_for(10)
    calls.answer_start(OrderReply(OrderVerdict.OK, 30))
    former_answer(make_poll_reply(CLOCK_MS + 5, FIRST_BOOT))
    assert not calls.executor.is_available


def test_start_outdates_a_poll_that_acknowledges():
    """Guards against a slow poll that arrives after the end of a run.

    Both were sent to a process that had ended, and a new one took them.
    """
    calls = Calls()
    fence, number, *_ = calls.acknowledge()
    assert number == 3
    calls.scheduler.note_revision(fence + 5)
    calls.begin_run()
    assert calls.starts[-1][0] > fence


def test_known_restart_outdates_what_is_on_its_way():
    """Guards against a late poll after the entry has shown the new process."""
    calls = Calls()
    calls.scheduler.note_revision(50)
    calls.scheduler.put_executor(make_entry("a", SECOND_BOOT), NOW_MS)
    calls.calls.poll_if_needed(calls.executor)
    assert calls.polls[-1][:2] == (50, 0)


def test_unanswered_start_is_outdated():
    """Guards against a late start at a new process that has had another order."""
    calls = Calls()
    calls.begin_run()
    calls.scheduler.note_revision(50)
    calls.answer_start(OrderReply(OrderVerdict.UNKNOWN))
    assert calls.scheduler.get_fence("a") == 50


def test_poll_beside_an_unanswered_start_acknowledges_nothing():
    """Guards against a poll that overtakes the answer of a start at a new process."""
    calls = Calls()
    calls.executor.received_sequence = calls.executor.acknowledged_sequence = 3
    calls.begin_run()
    assert [number for _, number, *_ in calls.polls] == [0]


@pytest.mark.parametrize("raised", [False, True])
def test_refusal_of_an_overtaken_order_is_no_newer_leader(raised):
    """Guards against a leader that steps down because of its own later order."""
    calls = Calls()
    run = calls.begin_run()
    if raised:
        calls.scheduler.note_revision(50)
        calls.scheduler.raise_fence(calls.executor)
    calls.answer_start(OrderReply(OrderVerdict.FENCED, CLOCK_MS))
    assert bool(calls.reasons) is not raised
    if raised:
        assert run.key not in calls.executor.runs
        assert run.task.index in run.task.step_run.waiting


def test_raised_token_outlasts_the_executor_entry():
    """Guards against orders that an executor refuses after its entry was away."""
    calls = Calls()
    calls.scheduler.note_revision(50)
    calls.scheduler.raise_fence(calls.executor)
    calls.scheduler.forget_executor(calls.executor)
    calls.scheduler.put_executor(make_entry("a"), NOW_MS)
    assert calls.scheduler.get_fence("a") == 50


def test_revision_counts_only_while_no_other_process_can_lead(monkeypatch):
    """Guards against a token above that of the next leader."""
    harness = LeaderHarness(monkeypatch)
    harness.fleet.add("a", "pool")
    harness.start_leader()
    harness.run_for(200)
    before = harness.scheduler.newest_revision
    harness.fleet.add("b", "pool")
    harness.run_for(200)
    assert harness.scheduler.newest_revision > before
    before = harness.scheduler.newest_revision
    harness.has_valid_lease = False
    harness.fleet.add("c", "pool")
    harness.run_for(200)
    assert harness.scheduler.newest_revision == before


def test_idle_executor_restarts_before_its_last_ends_are_acknowledged(monkeypatch):
    """Guards against a start after an end that a poll for the former process names.

    The poll and the starts are sent together, and the poll takes longer than the task.
    """
    harness = LeaderHarness(monkeypatch)
    virtual = harness.fleet.add("a", "pool")
    harness.start_leader()
    harness.run_for(200)
    harness.submit(make_submission("s1"), 300)
    executor = harness.scheduler.executors_by_id["a"]
    while not executor.acknowledged_sequence:
        harness.run_for(1)
    virtual.restart()
    client = harness.fleet
    poll = client.poll

    def delay(*args):
        harness.loop.after(280, lambda: poll(*args))

    monkeypatch.setattr(client, "poll", delay)
    harness.submit(make_submission("s2"), 150)
    harness.run_for(5_000)
    assert harness.fleet.violations == []


@pytest.mark.parametrize("seed", [30500, 30639])
def test_no_poll_in_time_makes_a_restarted_executor_forget_an_end(monkeypatch, seed):
    """Guards against a start after an acknowledged end without any late order."""
    monkeypatch.setenv("RUN_EXCLUSIVITY_FAULTS", FAULTS_IN_TIME)
    world = play_world(seed, FAULTS_WITH_RESTARTS)
    assert world.harness.fleet.violations == [], describe(world)
    assert world.unfinished == []

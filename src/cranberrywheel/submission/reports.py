"""Handling of executors' answers to polls, starts and stops."""

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission import actions
from cranberrywheel.submission.advice import note_accepted, note_refused_ticket
from cranberrywheel.submission.cold_executors import ran_cold
from cranberrywheel.submission.crash_attribution import (
    clear_survivors,
    may_have_crashed,
)
from cranberrywheel.submission.executor import Executor, PendingCompletion
from cranberrywheel.submission.executor_orders import (
    CompletionReport,
    OrderReply,
    OrderVerdict,
    PollReply,
    RunningReport,
    RunOutcome,
)
from cranberrywheel.submission.fault_detection import (
    is_slow,
    record_failed_run,
    record_fault,
)
from cranberrywheel.submission.interference_readings import record_report
from cranberrywheel.submission.live import LiveSubmission, Run, RunState, Task
from cranberrywheel.submission.model import SubmissionState
from cranberrywheel.submission.state import STOP_RETRY_MS, SchedulerState

#: Time for which a task avoids an executor on which it failed or stalled.
AVOID_AFTER_FAULT_MS = 4_000
#: Time for which a task avoids an executor that refused it for lack of capacity.
AVOID_AFTER_REFUSAL_MS = 200
#: Largest number of concurrent runs of one task of a speculative step.
MAX_CONCURRENT_RUNS = 2

_log = ComponentLogger("scheduler")


def apply_poll_reply(
    state: SchedulerState, executor_id: str, reply: PollReply, sent_ms: int, now_ms: int
) -> bool:
    """Apply an executor's answer to a poll.

    :param sent_ms: steady time at which the poll was sent, in milliseconds.
    :returns: false if the executor has seen the fence of a newer leader.
    """
    executor = state.executors_by_id.get(executor_id)
    if executor is None:
        return reply.verdict is not OrderVerdict.FENCED
    if reply.verdict is OrderVerdict.FENCED:
        return False
    if reply.verdict is OrderVerdict.OTHER_BOOT:
        # Another process answers at the address, so that of the entry has ended.
        mark_terminated(state, executor, now_ms, "another boot answered")
        return True
    if reply.verdict is not OrderVerdict.OK:
        if reply.connection_lost and executor.reachable:
            executor.last_alive_ms = now_ms
        if reply.connection_lost or reply.refused:
            executor.note_visible_end(now_ms)
        _mark_unreachable(state, executor, reply.error)
        return True
    if reply.boot and executor.boot and reply.boot != executor.boot:
        if reply.boot < executor.boot and sent_ms <= executor.boot_known_ms:
            return True  # a late answer of an earlier boot
        state.restart_executor(executor, reply.boot, now_ms)
    executor.boot = reply.boot or executor.boot
    if sent_ms >= executor.boot_doubtful_ms:
        executor.boot_doubtful_ms = 0
    executor.last_alive_ms = now_ms
    executor.ended_visibly = False
    if not executor.reachable:
        _log.event("executor reachable again", executor=executor_id)
    if not executor.reachable or not executor.fence_confirmed:
        state.dirty_services.add(executor.entry.service)
    executor.reachable = True
    executor.was_polled = True
    # Beyond a first answer that is cut off, there may be ends of tasks that still wait.
    executor.fence_confirmed = executor.fence_confirmed or not reply.is_truncated
    executor.update_clock(reply.clock_ms, now_ms)
    for completion in sorted(reply.completions, key=lambda end: end.sequence):
        if completion.sequence > executor.received_sequence:
            executor.received_sequence = completion.sequence
            _handle_completion(state, executor, completion, now_ms)
    running = {(report.task, report.number): report for report in reply.running}
    # An overtaken answer may list runs of which a newer one has shown the end.
    is_newest = sent_ms >= executor.answered_poll_sent_ms
    if is_newest:
        executor.answered_poll_sent_ms = sent_ms
    for key, report in running.items():
        if is_newest or key in executor.runs:
            _apply_running_report(state, executor, key, report, now_ms)
    if is_newest and executor.set_untracked(running.keys() - executor.runs.keys()):
        state.dirty_services.add(executor.entry.service)
    for key, run in list(executor.runs.items()):
        # Without the remaining completions, a run that has ended as done looks like one
        # that never was.
        if key not in running and not reply.is_truncated:
            _handle_missing_run(state, executor, run, sent_ms, now_ms)
    for task in clear_survivors(executor):
        state.mark_changed(task.step_run.live)
    if state.features.interference:
        record_report(state.interference, executor, running, reply.clock_ms, now_ms)
    executor.advance_acknowledged()
    return True


def _mark_unreachable(state: SchedulerState, executor: Executor, error: str) -> None:
    """Record that an executor does not answer.

    Its runs stay tracked, since they may go on until the lease expires.
    """
    if executor.reachable:
        _log.warning(
            "executor unreachable, its runs stay tracked until their lease expires",
            executor=executor.id,
            error=error,
            runs=len(executor.runs),
        )
    executor.reachable = False
    state.dirty_services.add(executor.entry.service)
    for run in executor.runs.values():
        run.task.available_since_ms = 0
        # A second run would crash a second executor before the first crash is certain.
        if not (executor.ended_visibly and may_have_crashed(run, executor)):
            _allow_speculative_run(state, run.task)


def mark_terminated(
    state: SchedulerState, executor: Executor, now_ms: int, reason: str
) -> None:
    """Record that an executor's process has certainly ended, and requeue its tasks."""
    state.hold_crash_against_tasks(executor, now_ms)
    state.discard_runs(executor, list(executor.runs.values()), reason, now_ms)
    executor.reachable = False
    executor.lease_expiry_ms = min(executor.lease_expiry_ms, now_ms)
    if executor.registered:
        executor.registered = False
        executor.unregistered_ms = now_ms


def apply_start_reply(
    state: SchedulerState, run: Run, reply: OrderReply, now_ms: int
) -> bool:
    """Apply the answer to a start.

    :returns: false if the executor has seen the fence of a newer leader.
    """
    executor = state.executors_by_id.get(run.executor_id)
    if reply.verdict is OrderVerdict.FENCED:
        return False
    if executor is None or run.key not in executor.runs:
        return True
    if executor.is_behind(reply.clock_ms, run.started_ms):
        executor.extend_lease_to_limit(state.timing.max_run_lease_ms, now_ms)
        executor.boot_doubtful_ms = now_ms
        state.raise_fence(executor, "its clock is behind that of the known process")
    elif run.boot == executor.boot:
        executor.update_clock(reply.clock_ms, now_ms)
    if reply.verdict is OrderVerdict.OK:
        executor.last_alive_ms = now_ms
        executor.note_accepted_start()
    if run.state is not RunState.STARTING:
        return True
    if reply.verdict is OrderVerdict.OK:
        run.state = RunState.RUNNING
        run.confirm(now_ms)
        run.last_progress_ms = now_ms
        run.task.step_run.live.started = True
        note_accepted(run.task.step_run)
    elif reply.verdict is OrderVerdict.DUPLICATE:
        # The executor has ended or stopped this run or a later one, as the next poll
        # shows.
        run.state = RunState.RUNNING
        run.confirm(now_ms)
        run.task.avoid_until_ms_by_executor[executor.id] = (
            now_ms + AVOID_AFTER_REFUSAL_MS
        )
    elif reply.verdict is OrderVerdict.UNKNOWN:
        run.state = RunState.UNCONFIRMED
        run.last_progress_ms = now_ms
        executor.reachable = False
        executor.note_unanswered_start(run, now_ms)
        state.raise_fence(executor, "a start got no answer")
        # The stop also forbids a start that is carried out late, so that the task can
        # start elsewhere as soon as a poll does not list the run.
        state.stop_run(run, now_ms, "the start got no answer")
    else:
        _handle_refused_start(state, executor, run, reply, now_ms)
    return True


def _handle_refused_start(
    state: SchedulerState,
    executor: Executor,
    run: Run,
    reply: OrderReply,
    now_ms: int,
) -> None:
    """Requeue a task whose start had no effect, and avoid the executor for a time."""
    _log.event(
        "start refused, task requeued",
        request=run.task.name,
        run=run.number,
        executor=run.executor_id,
        reason=reply.verdict.value,
        error=reply.error,
        sent_ms_ago=now_ms - run.started_ms,
    )
    if reply.verdict not in (OrderVerdict.TICKET, OrderVerdict.OVERTAKEN):
        executor.note_refused_start(now_ms)
    avoid_ms = AVOID_AFTER_REFUSAL_MS
    if reply.verdict in (OrderVerdict.REFUSED, OrderVerdict.OTHER_BOOT):
        avoid_ms = AVOID_AFTER_FAULT_MS
        record_fault(executor, now_ms)
    elif reply.verdict is OrderVerdict.TICKET:
        note_refused_ticket(run.task.step_run, executor.id, run.ticket, now_ms)
    run.task.avoid_until_ms_by_executor[executor.id] = now_ms + avoid_ms
    state.discard_run(run)


def apply_stop_reply(run: Run | None, reply: OrderReply, now_ms: int) -> bool:
    """Apply the answer to a stop.

    :param run: the run, or ``None`` if it is not tracked.
    :returns: false if the executor has seen the fence of a newer leader.
    """
    if reply.verdict is OrderVerdict.FENCED:
        return False
    if run is not None and reply.verdict is OrderVerdict.OK:
        run.stop_confirmed_ms = now_ms
    return True


def _handle_completion(
    state: SchedulerState, executor: Executor, completion: CompletionReport, now_ms: int
) -> None:
    """Apply a completion, and acknowledge it once its effect is stored."""
    state.unlocated_runs.pop((completion.task, completion.number), None)
    run = executor.runs.get((completion.task, completion.number))
    task = run.task if run else state.find_task(completion.task)
    live: LiveSubmission | None = None
    if run is not None:
        state.untrack_run(run, executor)
    if task is not None:
        live = _apply_completion(state, executor, task, run, completion, now_ms)
    version = live.version if live else 0
    executor.pending_completions.append(
        PendingCompletion(completion.sequence, live, version)
    )


def _apply_completion(
    state: SchedulerState,
    executor: Executor,
    task: Task,
    run: Run | None,
    completion: CompletionReport,
    now_ms: int,
) -> LiveSubmission | None:
    """Apply the outcome of a run to its task.

    :param run: the run, or ``None`` if it was not tracked.
    :returns: the submission whose record must be stored before the completion is
        acknowledged, or ``None`` if the completion is ignored.
    """
    step_run = task.step_run
    live = step_run.live
    long_running = step_run.step.long_running
    if run is None and _is_outdated(task, completion):
        _log.event(
            "end of a run that is not tracked ignored",
            request=task.name,
            run=completion.number,
            executor=executor.id,
            end=completion.outcome.value,
            newest_run=task.last_run_number,
        )
        return None
    live.started = True
    if completion.checkpoint and not task.done:
        task.checkpoint = completion.checkpoint
    _log.event(
        "run ended",
        request=task.name,
        run=completion.number,
        executor=executor.id,
        end=completion.outcome.value,
        ran_ms=now_ms - run.started_ms if run else -1,
    )
    if completion.outcome is RunOutcome.DONE and not long_running:
        if run is not None and not ran_cold(executor, run):
            state.duration_estimates.record_run(
                live, step_run.step, now_ms - run.started_ms
            )
            state.work_ratio.record_run(live, step_run.step, now_ms - run.started_ms)
        _mark_done(state, task, now_ms)
    elif completion.outcome is RunOutcome.FAILED:
        record_failed_run(executor, now_ms)
        task.avoid_until_ms_by_executor[executor.id] = now_ms + AVOID_AFTER_FAULT_MS
        if not long_running and completion.number not in task.failed_runs:
            task.failed_runs.add(completion.number)
            state.mark_changed(live)
            if len(task.failed_runs) >= live.queue.attempts and not task.done:
                state.fail(live, now_ms)
    if not task.runs:
        task.available_since_ms = 0
        state.requeue(task)
    return live


def _is_outdated(task: Task, completion: CompletionReport) -> bool:
    """Tell whether the end of a run that is not tracked no longer concerns its task."""
    if not task.runs:
        return False
    if completion.outcome is RunOutcome.FAILED and task.step_run.live.recovered:
        return False  # the former leader may not have stored it
    if completion.outcome is not RunOutcome.DONE:
        return True  # a run that was discarded before
    # The lease expired before the completion arrived, and a newer run exists.
    return not task.step_run.live.recovered and task.last_run_number > completion.number


def _allow_speculative_run(state: SchedulerState, task: Task) -> None:
    """Requeue a task whose run may be lost or slow, if its step is speculative."""
    if task.step_run.step.speculative and len(task.runs) < MAX_CONCURRENT_RUNS:
        state.requeue(task)


def _mark_done(state: SchedulerState, task: Task, now_ms: int) -> None:
    """Mark a task as done, with its whole gang, and stop its other runs."""
    step_run = task.step_run
    live = step_run.live
    members = step_run.tasks if step_run.step.gang else [task]
    for member in members:
        step_run.mark_done(member)
        for run in list(member.runs):
            state.stop_run(run, now_ms, "another run of the task is done")
    state.mark_changed(live)
    if live.is_complete and not live.final_state:
        state.finish(live, SubmissionState.COMPLETED)
    elif step_run.is_done:
        state.dirty_services.add(live.queue.service)


def _apply_running_report(
    state: SchedulerState,
    executor: Executor,
    key: tuple[str, int],
    report: RunningReport,
    now_ms: int,
) -> None:
    """Update a run from an executor's report, and adopt one that is not tracked."""
    run = executor.runs.get(key)
    if run is None:
        run = _adopt_run(state, executor, report, now_ms)
        if run is None:
            return
    if run.state in (RunState.STARTING, RunState.UNCONFIRMED):
        run.state = RunState.RUNNING
    run.confirm(now_ms)
    run.listed_boot = executor.boot
    task = run.task
    task.step_run.live.started = True
    if report.percent != run.percent:
        run.percent = report.percent
        run.last_progress_ms = now_ms
    run.load = report.load
    if report.checkpoint:
        task.checkpoint = report.checkpoint
    if task.step_run.step.long_running:
        is_available = report.percent >= 100 and run.state is RunState.RUNNING
        if is_available and not task.available_since_ms:
            task.available_since_ms = now_ms
        elif not is_available:
            task.available_since_ms = 0
    else:
        _check_progress(state, run, executor, now_ms)


def _check_progress(
    state: SchedulerState, run: Run, executor: Executor, now_ms: int
) -> None:
    """Count a slow run as a fault, and move it off an executor that is suspect.

    A task with checkpoints is stopped and resumes elsewhere; a speculative one gets
    another run.
    """
    if run.state is not RunState.RUNNING or ran_cold(executor, run):
        return
    if not is_slow(run, state.duration_estimates, now_ms):
        return
    if not run.slowness_recorded:
        run.slowness_recorded = True
        record_fault(executor, now_ms)
    if executor.suspect_until_ms <= now_ms:
        return
    if run.task.step_run.step.checkpointing:
        run.task.avoid_until_ms_by_executor[executor.id] = now_ms + AVOID_AFTER_FAULT_MS
        state.stop_run(run, now_ms, "its executor is slow")
    else:
        _allow_speculative_run(state, run.task)


def _adopt_run(
    state: SchedulerState, executor: Executor, report: RunningReport, now_ms: int
) -> Run | None:
    """Track a run that an earlier leader started, or stop it if it is not wanted.

    :returns: the run, or ``None`` if it is stopped.
    """
    task = state.find_task(report.task)
    if (
        task is None
        or task.done
        or task.step_run.live.final_state
        or (task.runs and not task.step_run.step.speculative)
    ):
        if (report.task, report.number) not in executor.untracked_runs:
            _log.warning(
                "stopping a run that is not tracked",
                request=report.task,
                run=report.number,
                executor=executor.id,
                tracked=",".join(f"{run.number}@{run.executor_id}" for run in task.runs)
                if task
                else "",
            )
        _stop_untracked(state, executor, (report.task, report.number), now_ms)
        return None
    run = Run(task, report.number, executor.id, now_ms)
    run.state = RunState.RUNNING
    run.percent = report.percent
    task.last_run_number = max(task.last_run_number, report.number)
    state.track_run(run, executor)
    state.unlocated_runs.pop(run.key, None)
    # It may have begun while the store was away, so that no record names its step.
    state.mark_begun(task.step_run, executor.entry.service)
    _log.event(
        "run adopted", request=task.name, run=report.number, executor=executor.id
    )
    return run


def _stop_untracked(
    state: SchedulerState, executor: Executor, key: tuple[str, int], now_ms: int
) -> None:
    """Order the stop of a run that is not tracked, unless that was done just before."""
    sent_ms = executor.untracked_stop_ms.get(key)
    if sent_ms is None or now_ms - sent_ms > STOP_RETRY_MS:
        executor.untracked_stop_ms[key] = now_ms
        state.actions.append(actions.StopRun(executor.id, *key))


def _handle_missing_run(
    state: SchedulerState, executor: Executor, run: Run, sent_ms: int, now_ms: int
) -> None:
    """Handle a tracked run that an executor's report does not list.

    The report may be older than answers that have been applied before it. It proves
    that a run has ended only if the run was known to exist when the poll was sent.
    """
    if run.state is RunState.STARTING:
        return
    if run.state is RunState.STOPPING:
        # A poll that is sent in the millisecond of the confirmation arrives after the
        # stop, which the executor had applied before it answered.
        if run.stop_confirmed_ms and run.stop_confirmed_ms <= sent_ms:
            state.discard_run(run)
        return
    if (run.confirmed_ms or run.started_ms) >= sent_ms:
        return
    if run.state is RunState.UNCONFIRMED:
        state.stop_run(run, now_ms, "the start got no answer")
    else:
        _log.warning(
            "run missing at its executor, discarded",
            request=run.task.name,
            run=run.number,
            executor=executor.id,
            boot=executor.boot,
            started_ms_ago=now_ms - run.started_ms,
            confirmed_ms_ago=now_ms - run.confirmed_ms if run.confirmed_ms else -1,
            poll_ms_ago=now_ms - sent_ms,
        )
        state.discard_run(run)

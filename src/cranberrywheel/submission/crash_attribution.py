"""Attribution of executor crashes to the tasks that cause them.

Load pattern: a task crashes each executor that starts it, while a dozen other tasks run
there, and the executor is back after some seconds. Started again and again, it takes
one executor after the other out of its pool, with all tasks beside it.

A crash is held against the runs that had just begun. Their tasks start again on
isolated executors, on which nothing else begins meanwhile, so that a second crash shows
which submission causes them. A task that crashes its executors does so whenever it
starts, so one run that outlives the time of suspicion clears its task.
"""

import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.live import Crash, LiveSubmission, Run, Task
from cranberrywheel.submission.placement import PoolCapacity, meets_constraints

#: Time for which a run that has begun is a possible cause of a crash. A task that
#: crashes its executor does so when it starts; the time covers an executor that is
#: slow.
SUSPECT_MS = 400
#: Time after its start within which a crash is prompt: an executor that crashes by
#: chance seldom does so just then.
PROMPT_MS = 100
#: Crashes after which a task is given up, if all are prompt and the last one can only
#: be caused by its submission.
MAX_PROMPT_CRASHES = 2
#: Crashes after which a task is given up, if the last one can only be caused by its
#: submission. Executors that crash by themselves may hit a task twice.
MAX_ATTRIBUTED_CRASHES = 3
#: Crashes after which a task is given up in any case.
MAX_CRASHES = 4
#: Time for which an executor is kept free for a submission that is to start there.
RESERVATION_MS = 2_000
#: An executor in this many of a pool, and at least one, may be isolated at a time.
EXECUTORS_PER_ISOLATION = 3

_log = ComponentLogger("scheduler")


def may_have_crashed(run: Run, executor: Executor) -> bool:
    """Tell whether a run may be the cause of the end of its executor's process.

    It is not if the process was seen to end long enough after the run began.

    :param executor: one whose process has ended visibly.
    """
    if not run.confirmed_ms:
        return True
    return executor.ended_ms - run.confirmed_ms < SUSPECT_MS


def record_crash(executor: Executor) -> list[Task]:
    """Hold the crash of an executor against the tasks that may have caused it.

    A planned end of its process is no crash. Neither is silence before a new process:
    one that a task crashes closes its connections, and one that loses power does not.
    One process crashes once, however often that is noticed. Tasks that last are to be
    restarted however they end, so only prompt crashes count for them.

    :returns: the tasks of which the count has changed; their records must be stored.
    """
    if executor.entry.draining or executor.cordoned or not executor.ended_visibly:
        return []
    # Runs that are being stopped may be the cause, too.
    runs = [run for run in executor.runs.values() if may_have_crashed(run, executor)]
    is_attributed = (
        len({id(run.task.step_run.live) for run in runs}) == 1
        and not executor.untracked_runs
    )
    suspects = [
        run
        for run in runs
        if not run.task.done and not run.task.step_run.live.final_state
    ]
    changed = []
    for run in suspects:
        task = run.task
        ran_ms = executor.ended_ms - (run.confirmed_ms or run.started_ms)
        is_prompt = ran_ms < PROMPT_MS
        if task.step_run.step.long_running and not is_prompt:
            continue
        crash = Crash(
            executor.id, executor.boot, executor.entry.machine, is_attributed, is_prompt
        )
        if not any(crash.is_same_process(other) for other in task.crashes):
            task.crashes.append(crash)
            changed.append(task)
            _log.warning(
                "executor crashed just after the start of a run",
                request=task.name,
                executor=executor.id,
                machine=executor.entry.machine,
                crashes=len(task.crashes),
                suspects=len(suspects),
                attributed=is_attributed,
                prompt=crash.is_prompt,
            )
    return changed


def clear_survivors(executor: Executor) -> list[Task]:
    """Forget the crashes of tasks whose runs have outlived the time of suspicion.

    :param executor: one that has just answered a poll.
    :returns: the tasks of which the count has changed; their records must be stored.
    """
    survivors = [
        run.task
        for run in executor.runs.values()
        if run.task.crashes
        and run.confirmed_ms
        and executor.last_alive_ms - run.confirmed_ms >= SUSPECT_MS
    ]
    for task in survivors:
        _log.event(
            "run outlived the time of suspicion",
            request=task.name,
            executor=executor.id,
            crashes=len(task.crashes),
        )
        task.crashes.clear()
    return survivors


def must_give_up(task: Task) -> bool:
    """Tell whether a task may not be started again, because it crashes executors."""
    crashes = task.crashes
    if task.done or not crashes:
        return False
    if not crashes[-1].is_attributed:
        return len(crashes) >= MAX_CRASHES
    are_prompt = all(crash.is_prompt for crash in crashes)
    return len(crashes) >= (
        MAX_PROMPT_CRASHES if are_prompt else MAX_ATTRIBUTED_CRASHES
    )


def is_settled(
    executor: Executor, now_ms: int, exempt: LiveSubmission | None = None
) -> bool:
    """Tell whether all runs of an executor have begun long enough ago.

    :param exempt: submission whose runs may have begun just now.
    """
    return all(
        (run.confirmed_ms and now_ms - run.confirmed_ms >= SUSPECT_MS)
        or run.task.step_run.live is exempt
        for run in executor.runs.values()
    )


def choose_isolated_executor(
    pool: t.Sequence[Executor], pool_capacity: PoolCapacity, task: Task, now_ms: int
) -> Executor | None:
    """Return an executor on which only the task's submission begins, and isolate it.

    If runs have just begun on all executors with enough capacity, one of them is kept
    free and returned by a later call.

    :param pool: all executors of the pool.
    """
    live = task.step_run.live
    claim = task.step_run.step.claim
    isolated = [
        executor
        for executor in pool
        if executor.isolated_for is not None and executor.is_available
    ]
    own = [executor for executor in isolated if executor.isolated_for is live]
    for executor in own:
        if (
            is_settled(executor, now_ms, live)
            and claim.fits_in(executor.free)
            and meets_constraints(executor, task, now_ms)
        ):
            return executor
    if own:
        return None
    if len(isolated) >= max(1, len(pool) // EXECUTORS_PER_ISOLATION):
        return None
    candidates = [
        executor
        for executor in pool_capacity.usable
        if claim.fits_in(executor.free) and meets_constraints(executor, task, now_ms)
    ]
    if not candidates:
        return None
    crashed_machines = {crash.machine for crash in task.crashes}

    def rank(executor: Executor) -> tuple[bool, bool, int]:
        """Rank an executor; a machine that crashes by itself comes last.

        A crash costs the runs on the executor, so the emptiest one is preferred.
        """
        return (
            executor.entry.machine in crashed_machines,
            not is_settled(executor, now_ms),
            len(executor.runs),
        )

    chosen = min(candidates, key=rank)
    chosen.isolate(live, now_ms + RESERVATION_MS)
    pool_capacity.isolate(chosen)
    return chosen if is_settled(chosen, now_ms) else None


def end_isolation(executor: Executor, now_ms: int) -> None:
    """Open an executor to other work once its isolated runs are no cause of a crash."""
    live = executor.isolated_for
    if live is None or not executor.reachable:
        return
    runs = [run for run in executor.runs.values() if run.task.step_run.live is live]
    if any(
        not run.confirmed_ms or now_ms - run.confirmed_ms < SUSPECT_MS for run in runs
    ):
        return
    if runs or live.final_state or now_ms > executor.isolated_until_ms:
        executor.isolate(None, 0)

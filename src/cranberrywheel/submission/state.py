"""State of the leader: submissions, executors, and the runs that may be at them."""

import dataclasses
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission import actions as a
from cranberrywheel.submission.bounds import Bounds
from cranberrywheel.submission.durations import Durations
from cranberrywheel.submission.executor import Executor, lapse_after
from cranberrywheel.submission.live import (
    LiveSubmission,
    Run,
    RunState,
    Task,
    parse_task_name,
)
from cranberrywheel.submission.model import (
    NOTHING,
    Configuration,
    Resources,
    State,
)

#: Lease that runs are granted: longer than a take-over, short enough that the tasks
#: of a lost executor soon start elsewhere.
RUN_LEASE_MS = 3_200

_log = ComponentLogger("scheduler")


@dataclasses.dataclass
class Advice:
    """Executors that may run a step, with their tickets."""

    tickets: dict[str, str]
    until_ms: int
    asked: bool = False


class SchedulerState:
    """What a leadership knows, with the bookkeeping that keeps it consistent.

    :ivar handed_over: the predecessor left an account of all that may run.
    :ivar held_back_ids: submissions whose tasks the predecessor held back.
    :ivar unseen_until_ms: until when each executor may run something that no leader
        has seen since the predecessor's account.
    :ivar trusts_records: stored records name every step that the predecessor began.
    :ivar store_away: steps may begin before their record is stored.
    :ivar upkeep_due: machines of a wave that have their upkeep before them.
    :ivar lent_machines: machines that will go back to another pool.
    :ivar may_start: orders are held back while this is false.
    :ivar settled_ms: by then every lease of an earlier leader has ended.
    :ivar waiting_by_service: submissions with tasks that wait, by service and id.
    :ivar dirty_services: services of which something changed since the last pass.
    :ivar capped_services: services in which an organisation's cap held a step back.
    """

    def __init__(self, fence: int, term: int, bounds: Bounds, now_ms: int) -> None:
        self.fence = fence
        self.term = term
        self.bounds = bounds
        self.configuration: Configuration | None = None
        self.handed_over = False
        self.held_back_ids: set[str] = set()
        self.unseen_until_ms: dict[str, int] = {}
        self.trusts_records = False
        self.store_away = False
        self.may_start = True
        self.settled_ms = now_ms + lapse_after(RUN_LEASE_MS)
        self.executors_by_id: dict[str, Executor] = {}
        self.executors_by_service: dict[str, dict[str, Executor]] = {}
        self.live_by_id: dict[str, LiveSubmission] = {}
        self.final_by_id: dict[str, State] = {}
        self.changed: dict[str, LiveSubmission] = {}
        self.waiting_by_service: dict[str, dict[str, LiveSubmission]] = {}
        self.dirty_services: set[str] = set()
        self.capped_services: set[str] = set()
        self.upkeep_due: set[str] = set()
        self.lent_machines: set[str] = set()
        self.durations = Durations()
        self.advice_by_step: dict[str, Advice] = {}
        self.used_by_organisation: dict[str, Resources] = {}
        self.actions: list[a.Action] = []

    # Executors

    def add_executor(self, executor: Executor) -> None:
        """Take in an executor that was not known."""
        self.executors_by_id[executor.id] = executor
        self._index(executor)

    def forget_executor(self, executor: Executor) -> None:
        """Drop an executor on which nothing can run any more."""
        del self.executors_by_id[executor.id]
        self.executors_by_service[executor.entry.service].pop(executor.id, None)

    def _index(self, executor: Executor) -> None:
        service = executor.entry.service
        self.executors_by_service.setdefault(service, {})[executor.id] = executor
        self.dirty_services.add(service)

    def set_entry(self, executor: Executor, entry: t.Any) -> None:
        """Take a newer entry of an executor over."""
        if entry.service != executor.entry.service:
            self.executors_by_service[executor.entry.service].pop(executor.id, None)
        executor.set_entry(entry)
        self._index(executor)

    # Waiting work

    def note_waiting(self, live: LiveSubmission) -> None:
        """Let the next pass look at a submission."""
        service = live.queue.service
        self.waiting_by_service.setdefault(service, {})[live.submission.id] = live
        self.dirty_services.add(service)

    def index_waiting(self) -> None:
        """Sort all submissions by service again, after a change of the queues."""
        self.waiting_by_service.clear()
        for live in self.live_by_id.values():
            if live.has_waiting:
                self.note_waiting(live)

    def mark_all_dirty(self) -> None:
        """Let the next pass look at every service."""
        self.dirty_services.update(self.waiting_by_service)

    def wait_again(self, task: Task) -> None:
        """Let a task wait for a start, unless its submission has ended."""
        live = task.step_run.live
        if not task.done and not live.final:
            task.step_run.add_waiting(task)
            self.note_waiting(live)

    # Runs

    def find_task(self, name: str) -> Task | None:
        """Return a task by its name, or ``None`` if it is not known."""
        parts = parse_task_name(name)
        if parts is None:
            return None
        live = self.live_by_id.get(parts[0])
        return live.find_task(*parts[1:]) if live else None

    def count_run(self, run: Run, executor: Executor) -> None:
        """Count a run that may be at an executor from now on."""
        task = run.task
        live = task.step_run.live
        task.runs.append(run)
        task.step_run.remove_waiting(task)
        run.rack = executor.entry.rack
        executor.add_run(run)
        live.run_count += 1
        owner = live.submission.organisation
        used = self.used_by_organisation.get(owner, NOTHING)
        self.used_by_organisation[owner] = used + task.step_run.step.size

    def release_run(self, run: Run, executor: Executor | None) -> None:
        """Stop counting a run that an executor no longer holds."""
        if executor is not None:
            executor.remove_run(run)
            self.dirty_services.add(executor.entry.service)
        task = run.task
        live = task.step_run.live
        if run not in task.runs:
            return
        task.runs.remove(run)
        live.run_count -= 1
        owner = live.submission.organisation
        used = self.used_by_organisation.get(owner, NOTHING)
        self.used_by_organisation[owner] = used - task.step_run.step.size
        self.dirty_services |= self.capped_services
        task.work_since_ms = 0
        if live.final_stored and not live.run_count:
            self.live_by_id.pop(live.submission.id, None)

    def drop_run(self, run: Run) -> None:
        """Forget a run that is certainly not there; its task waits again."""
        self.release_run(run, self.executors_by_id.get(run.executor_id))
        if not run.task.runs:
            self.wait_again(run.task)

    def lose_runs(self, executor: Executor, reason: str) -> None:
        """Give all tasks of an executor back that certainly runs none of them."""
        if executor.runs:
            _log.warning(
                "runs lost",
                executor=executor.id,
                count=len(executor.runs),
                reason=reason,
            )
        for run in list(executor.runs.values()):
            self.drop_run(run)

    def restart_executor(self, executor: Executor, boot: int) -> None:
        """Note that an executor began a new boot, which runs nothing."""
        self.lose_runs(executor, "the executor restarted")
        executor.restart(boot)

    def stop_run(self, run: Run, now_ms: int, why: str) -> None:
        """Order the stop of a run; its task starts again elsewhere if it must."""
        if run.state is RunState.STOPPING:
            return
        run.state = RunState.STOPPING
        run.why_stopped = why
        run.stop_sent_ms = now_ms
        _log.event(
            "stopping a run",
            request=run.task.name,
            run=run.number,
            executor=run.executor_id,
            reason=why,
        )
        self.actions.append(a.StopRun(run.executor_id, run.task.name, run.number, run))

    # Submissions

    def touch(self, live: LiveSubmission) -> None:
        """Note a change of a submission that must be stored."""
        live.version += 1
        self.changed[live.submission.id] = live

    def finish(self, live: LiveSubmission, state: State) -> None:
        """End a submission; callers see it once it is stored."""
        live.final = state
        for step_run in live.step_runs.values():
            step_run.waiting.clear()
        live.forget_derived()
        self.touch(live)
        _log.event(
            "submission ended",
            request=live.submission.id,
            state=state.value,
            queue=live.queue.name,
        )

    def fail(self, live: LiveSubmission, now_ms: int) -> None:
        """End a submission of which a task has failed too often."""
        for run in list(live.runs()):
            self.stop_run(run, now_ms, "the submission failed")
        self.finish(live, State.FAILED)

    def check_end(self, live: LiveSubmission) -> None:
        """End a submission whose records say that it has ended."""
        if live.is_complete:
            self.finish(live, State.COMPLETED)
        elif any(
            len(task.failed_runs) >= live.queue.attempts and not task.done
            for task in live.tasks()
        ):
            self.finish(live, State.FAILED)

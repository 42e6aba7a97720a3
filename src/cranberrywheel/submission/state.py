"""State of the scheduler: submissions, executors and the runs that may be on them."""

import collections
import dataclasses
import typing as t

from cranberrywheel.logs import ComponentLogger
from cranberrywheel.submission import actions
from cranberrywheel.submission.advice_turns import AdviceTurns
from cranberrywheel.submission.crash_attribution import must_give_up, record_crash
from cranberrywheel.submission.duration_estimates import DurationEstimates
from cranberrywheel.submission.executor import Executor, compute_lease_expiry_delay
from cranberrywheel.submission.fair_shares import PoolShares, counts_towards_share
from cranberrywheel.submission.features import (
    ALL_OFF,
    NO_FEATURES,
    FeatureSettings,
)
from cranberrywheel.submission.interference import InterferenceEstimates
from cranberrywheel.submission.live import (
    LiveSubmission,
    Run,
    RunState,
    StepRun,
    Task,
    parse_task_name,
)
from cranberrywheel.submission.mean_work import MeanWork
from cranberrywheel.submission.model import (
    NO_RESOURCES,
    Configuration,
    Resources,
    SubmissionState,
)
from cranberrywheel.submission.organisation_shares import OrganisationShares
from cranberrywheel.submission.platform_timing import PlatformTiming
from cranberrywheel.submission.preemption import PreemptionState
from cranberrywheel.submission.terms import LastKnownSettings
from cranberrywheel.submission.turn_forecast import TurnForecastState
from cranberrywheel.submission.work_ratio import WorkRatio

#: Lease that executors are granted for their runs: longer than a takeover, so that
#: runs survive it, but short enough that tasks of a lost executor soon start
#: elsewhere.
RUN_LEASE_MS = 3_200

#: Pause before an unconfirmed stop is sent again.
STOP_RETRY_MS = 500
#: Time for which a leader that continues without the store may renew leases after
#: another process has reached the store: the interval of its polls of the other
#: processes and their timeout.
CONTINUATION_MS = 650

_log = ComponentLogger("scheduler")


@dataclasses.dataclass(frozen=True, slots=True)
class UnlocatedRun:
    """A run that the predecessor handed over, on an executor that is not known yet.

    :param until_ms: steady time at which its lease has expired, in milliseconds.
    """

    task: str
    number: int
    executor_id: str
    until_ms: int


def log_lost_run(run: Run, executor: Executor) -> None:
    """Log a run that ended with its executor, and how long it had certainly run."""
    _log.warning(
        "run lost with its executor",
        request=run.task.name,
        run=run.number,
        executor=executor.id,
        machine=executor.entry.machine,
        state=run.state.value,
        ran_ms=executor.last_alive_ms - run.started_ms,
    )


class SchedulerState:
    """State of the scheduler during one leadership, and its consistent changes.

    Times are steady milliseconds.

    :ivar fence: fencing token of this leadership; for its orders to an executor see
        :meth:`get_fence`.
    :ivar term: number of this leadership, from 0.
    :ivar newest_revision: latest revision of the store that was seen while no other
        process could lead, so that every later leader has a higher fencing token.
    :ivar settings: the queues and organisations of the submissions, also of those that
        the configuration does not name.
    :ivar handed_over: the predecessor left a handover record of all runs.
    :ivar held_back_ids: ids of submissions that the handover record holds back.
    :ivar unpolled_until_ms: by executor id, until when an executor that the
        predecessor never polled may run tasks of earlier leaders.
    :ivar unlocated_runs: runs on executors that are not known yet, by name of the task
        and number of the run. No other run of their tasks starts before they expire or
        their executor reports them.
    :ivar trusts_records: stored records name every step that the predecessor began.
    :ivar store_unreachable: steps may begin before their record is stored.
    :ivar may_start: starts and throttling are suspended while this is false.
    :ivar takeover_ms: when this leadership began.
    :ivar final_state_by_id: final states of submissions that have ended.
    :ivar unsaved_by_id: submissions with changes that must be stored.
    :ivar waiting_by_service: submissions with waiting tasks, by service and id.
    :ivar dirty_services: services of which something changed since the last pass.
    :ivar quota_limited_services: services in which a step waits for an organisation's
        quota.
    :ivar maintenance_due: machines of a wave whose maintenance has not begun.
    :ivar evacuated_zones: availability zones in which nothing may start.
    :ivar zones_current: nothing starts while this is false, since a zone may have been
        evacuated without the leader's knowledge.
    :ivar work_ratio: true against declared work, for sums over many submissions.
    :ivar borrowed_machines: machines that will return to another pool.
    :ivar used_by_organisation: resources in use by the runs of each organisation.
    :ivar unknown_use_by_organisation: the same for runs that may be on executors which
        have not answered this leader; set by each scheduling pass.
    :ivar arrivals_by_service: for each recent submission with short work only, when it
        arrived, and its expected work in core-milliseconds.
    :ivar mean_work_by_service: mean work of the submissions to each pool.
    :ivar advice_turns: steps that need tickets of the advisor.
    :ivar turns: what is known about the turns of the queues.
    :ivar packed_machines_by_service: ids of the machines on which a pool packs its
        long-running tasks, see :mod:`.pool_plans`.
    :ivar shares: use of the organisations' shares. A takeover forgets it, so the
        submissions that it recovers count as within their share.
    :ivar interference: effects of images on each other; learned only while that part is
        on, and forgotten by a takeover.
    :ivar pool_shares_by_service: use of each pool by the organisations. A successor
        rebuilds it from the runs that the executors report.
    :ivar features: parts that are on under the configuration in force.
    :ivar preemption: capacity that was freed for urgent submissions.
    :ivar actions: decided actions that the leader has not taken yet.
    """

    def __init__(
        self,
        fence: int,
        term: int,
        timing: PlatformTiming,
        now_ms: int,
        feature_settings: FeatureSettings = ALL_OFF,
    ) -> None:
        self.fence = fence
        self.term = term
        self.newest_revision = fence
        self._raised_fence_by_id: dict[str, int] = {}
        self.timing = timing
        self.configuration: Configuration | None = None
        self.settings = LastKnownSettings()
        self.feature_settings = feature_settings
        self.features = NO_FEATURES
        self.preemption = PreemptionState()
        self.handed_over = False
        self.held_back_ids: set[str] = set()
        self.unpolled_until_ms: dict[str, int] = {}
        self.unlocated_runs: dict[tuple[str, int], UnlocatedRun] = {}
        self.trusts_records = False
        self.store_unreachable = False
        self.may_start = True
        self.takeover_ms = now_ms
        self.executors_by_id: dict[str, Executor] = {}
        self.executors_by_service: dict[str, dict[str, Executor]] = {}
        self.live_by_id: dict[str, LiveSubmission] = {}
        self.final_state_by_id: dict[str, SubmissionState] = {}
        self.unsaved_by_id: dict[str, LiveSubmission] = {}
        self.waiting_by_service: dict[str, dict[str, LiveSubmission]] = {}
        self.dirty_services: set[str] = set()
        self.quota_limited_services: set[str] = set()
        self.maintenance_due: set[str] = set()
        self.evacuated_zones: frozenset[str] = frozenset()
        self.zones_current = True
        self.borrowed_machines: set[str] = set()
        self.duration_estimates = DurationEstimates()
        self.work_ratio = WorkRatio()
        self.advice_turns = AdviceTurns()
        self.used_by_organisation: dict[str, Resources] = {}
        self.unknown_use_by_organisation: dict[str, Resources] = {}
        self.arrivals_by_service: dict[str, collections.deque[tuple[int, float]]] = {}
        self.mean_work_by_service: dict[str, MeanWork] = {}
        self.turns = TurnForecastState()
        self.packed_machines_by_service: dict[str, frozenset[str]] = {}
        self.shares = OrganisationShares()
        self.interference = InterferenceEstimates()
        self.pool_shares_by_service: dict[str, PoolShares] = {}
        self.actions: list[actions.Action] = []

    @property
    def previous_leases_end_ms(self) -> int:
        """When every lease of an earlier leader has expired."""
        last_renewal_ms = self.takeover_ms
        if not self.trusts_records:
            last_renewal_ms += CONTINUATION_MS
        return last_renewal_ms + compute_lease_expiry_delay(RUN_LEASE_MS)

    def note_revision(self, revision: int) -> None:
        """Take a revision of the store, read while no other process could lead."""
        self.newest_revision = max(self.newest_revision, revision)

    def get_fence(self, executor_id: str) -> int:
        """Return the fencing token of the orders to an executor."""
        return self._raised_fence_by_id.get(executor_id, self.fence)

    def raise_fence(self, executor: Executor, reason: str = "") -> None:
        """Outdate the orders that may still be on their way to an executor.

        The next order has a higher fencing token, after which the executor does
        nothing for earlier ones. If it has restarted meanwhile, they would otherwise
        acknowledge ends and extend the lease by the numbers and the clock of its former
        process.

        :param reason: reason for the log; by default nothing is logged.
        """
        before = self.get_fence(executor.id)
        if self.newest_revision > before:
            self._raised_fence_by_id[executor.id] = self.newest_revision
        if reason:
            _log.event(
                "earlier orders to an executor outdated",
                executor=executor.id,
                reason=reason,
                fence_before=before,
                fence=self.get_fence(executor.id),
            )

    def add_executor(self, executor: Executor) -> None:
        """Track an executor that was not known."""
        self.executors_by_id[executor.id] = executor
        self._index_by_service(executor)

    def forget_executor(self, executor: Executor) -> None:
        """Stop tracking an executor on which nothing can run any more."""
        del self.executors_by_id[executor.id]
        self.executors_by_service[executor.entry.service].pop(executor.id, None)

    def _index_by_service(self, executor: Executor) -> None:
        service = executor.entry.service
        executor.evacuated = executor.entry.zone in self.evacuated_zones
        self.executors_by_service.setdefault(service, {})[executor.id] = executor
        self.dirty_services.add(service)

    def set_entry(self, executor: Executor, entry: t.Any) -> None:
        """Replace the entry of an executor by a newer one.

        If its service changes, the next leader looks for its runs under the new one.
        """
        if entry.service != executor.entry.service:
            self.executors_by_service[executor.entry.service].pop(executor.id, None)
            for run in executor.runs.values():
                self.mark_begun(run.task.step_run, entry.service)
        executor.set_entry(entry)
        self._index_by_service(executor)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Set the availability zones in which nothing may start."""
        if not self.features.zone_evacuation:
            zones = frozenset()
        if zones == self.evacuated_zones:
            return
        self.evacuated_zones = zones
        for executor in self.executors_by_id.values():
            executor.evacuated = executor.entry.zone in zones
        self.mark_all_dirty()

    def add_waiting_submission(self, live: LiveSubmission) -> None:
        """Include a submission in the next scheduling pass."""
        service = live.queue.service
        self.waiting_by_service.setdefault(service, {})[live.submission.id] = live
        self.dirty_services.add(service)

    def rebuild_waiting_index(self) -> None:
        """Group all waiting submissions by service again after the queues changed."""
        self.waiting_by_service.clear()
        for live in self.live_by_id.values():
            if live.has_waiting:
                self.add_waiting_submission(live)

    def mark_all_dirty(self) -> None:
        """Include every service with waiting work in the next scheduling pass."""
        self.dirty_services.update(self.waiting_by_service)

    def requeue(self, task: Task) -> None:
        """Put a task back into the waiting tasks of its step.

        Does nothing if the task is done or its submission has ended.
        """
        live = task.step_run.live
        if not task.done and not live.final_state:
            task.step_run.add_waiting(task)
            self.add_waiting_submission(live)

    def find_task(self, name: str) -> Task | None:
        """Return a task by its name, or ``None`` if it is not known."""
        parts = parse_task_name(name)
        if parts is None:
            return None
        live = self.live_by_id.get(parts[0])
        return live.find_task(*parts[1:]) if live else None

    def find_step_run(self, name: str) -> StepRun | None:
        """Return a step of an occurrence by its name, or ``None`` if it has ended."""
        task = self.find_task(f"{name}.0")
        if task is None or task.step_run.live.final_state:
            return None
        return task.step_run

    def track_run(self, run: Run, executor: Executor) -> None:
        """Track a run that may be on an executor from now on."""
        task = run.task
        live = task.step_run.live
        task.runs.append(run)
        task.step_run.remove_waiting(task)
        run.boot = executor.boot
        run.zone = executor.entry.zone
        run.rack = executor.entry.rack
        run.pool = executor.entry.service
        executor.add_run(run)
        live.count_run(run, 1)
        owner = live.submission.organisation
        used = self.used_by_organisation.get(owner, NO_RESOURCES)
        self.used_by_organisation[owner] = used + task.step_run.step.size
        if counts_towards_share(task.step_run.step):
            self.shares_of(run.pool).add_use(owner, task.step_run.step.size)

    def shares_of(self, service: str) -> PoolShares:
        """Return the use of a service's pool by the organisations."""
        shares = self.pool_shares_by_service.get(service)
        if shares is None:
            shares = self.pool_shares_by_service[service] = PoolShares()
        return shares

    def forget_expired_runs(self, now_ms: int) -> None:
        """Forget the runs on executors that did not appear before the lease expired."""
        for key, run in list(self.unlocated_runs.items()):
            if now_ms > run.until_ms:
                del self.unlocated_runs[key]

    def may_run_unlocated(self, task: Task) -> bool:
        """Tell whether a task may run on an executor that is not known yet."""
        return any(run.task == task.name for run in self.unlocated_runs.values())

    def untrack_run(self, run: Run, executor: Executor | None) -> None:
        """Stop tracking a run that is not on its executor any more.

        :param executor: the executor, or ``None`` if it is not tracked any more.
        """
        if executor is not None:
            executor.remove_run(run)
            self.dirty_services.add(executor.entry.service)
        task = run.task
        live = task.step_run.live
        if run not in task.runs:
            return
        task.runs.remove(run)
        live.count_run(run, -1)
        owner = live.submission.organisation
        used = self.used_by_organisation.get(owner, NO_RESOURCES)
        self.used_by_organisation[owner] = used - task.step_run.step.size
        if counts_towards_share(task.step_run.step):
            self.shares_of(run.pool).remove_use(owner, task.step_run.step.size)
        self.dirty_services |= self.quota_limited_services
        task.available_since_ms = 0
        if live.final_stored and not live.run_count:
            self.live_by_id.pop(live.submission.id, None)

    def discard_run(self, run: Run) -> None:
        """Stop tracking a run that certainly does not exist, and requeue its task."""
        self.untrack_run(run, self.executors_by_id.get(run.executor_id))
        if not run.task.runs:
            self.requeue(run.task)

    def discard_runs(
        self, executor: Executor, runs: t.Sequence[Run], reason: str, now_ms: int
    ) -> None:
        """Requeue the tasks of runs that are certainly not on their executor."""
        if runs:
            _log.warning(
                "requeueing tasks of lost runs",
                executor=executor.id,
                count=len(runs),
                reason=reason,
                silent_ms=now_ms - executor.last_alive_ms,
            )
        for run in runs:
            log_lost_run(run, executor)
            self.discard_run(run)

    def hold_crash_against_tasks(self, executor: Executor, now_ms: int) -> None:
        """Count the end of an executor's process against the tasks that may cause it.

        A submission with a task that crashes its executors fails.
        """
        for task in record_crash(executor):
            live = task.step_run.live
            self.mark_changed(live)
            task.crash_record_version = live.version
            if must_give_up(task) and not live.final_state:
                _log.warning(
                    "submission given up, since a task crashes its executors",
                    request=task.name,
                    executors=",".join(crash.executor_id for crash in task.crashes),
                )
                self.fail(live, now_ms)

    def restart_executor(self, executor: Executor, boot: int, now_ms: int) -> None:
        """Apply the restart of an executor, which ended the runs of its earlier boot.

        The runs stay tracked until the new boot has answered a poll: an order that
        was in flight may have reached the new boot, whose run must not get a second
        one beside it. Those that the earlier boot has listed cannot be there, so they
        stay tracked until its leases have expired at the latest. Stops are sent again.
        """
        _log.warning(
            "executor restarted, its runs are checked by the next poll",
            executor=executor.id,
            boot=boot,
            runs=len(executor.runs),
        )
        for run in executor.runs.values():
            log_lost_run(run, executor)
        self.hold_crash_against_tasks(executor, now_ms)
        executor.restart(boot, now_ms)
        self.raise_fence(executor, "it has restarted")
        # A poll or a start for the earlier boot may have reached the new one.
        executor.extend_lease_to_limit(self.timing.max_run_lease_ms, now_ms)
        self._repeat_stops(executor, now_ms)

    def _repeat_stops(self, executor: Executor, now_ms: int) -> None:
        """Stop at a new boot what the earlier one may have confirmed as stopped.

        The new boot knows nothing of these stops, so it would carry out a start that
        arrives late.
        """
        for run in executor.list_stopping_runs(now_ms):
            run.stop_confirmed_ms = 0
            run.stop_sent_ms = now_ms
            self.actions.append(
                actions.StopRun(executor.id, run.task.name, run.number, run)
            )

    def stop_run(self, run: Run, now_ms: int, reason: str) -> None:
        """Order the stop of a run, unless one is ordered already.

        The task is requeued once the run has ended, if it is not done by then.

        :param reason: reason for the log.
        """
        if run.state is RunState.STOPPING:
            return
        run.state = RunState.STOPPING
        run.stop_reason = reason
        run.stop_sent_ms = now_ms
        _log.event(
            "stopping a run",
            request=run.task.name,
            run=run.number,
            executor=run.executor_id,
            reason=reason,
        )
        self.actions.append(
            actions.StopRun(run.executor_id, run.task.name, run.number, run)
        )

    def mark_begun(self, step_run: StepRun, service: str) -> None:
        """Include in the next record that a step may have begun on a service."""
        if service not in step_run.begun_services:
            step_run.begun_services += (service,)
            self.mark_changed(step_run.live)
            step_run.begin_record_version = step_run.live.version

    def mark_changed(self, live: LiveSubmission) -> None:
        """Mark a submission as changed, so that its record is stored."""
        live.version += 1
        self.unsaved_by_id[live.submission.id] = live

    def finish(self, live: LiveSubmission, state: SubmissionState) -> None:
        """End a submission; callers see the final state once it is stored."""
        live.final_state = state
        for step_run in live.step_runs.values():
            step_run.waiting.clear()
        live.invalidate_derived()
        self.mark_changed(live)
        _log.event(
            "submission ended",
            request=live.submission.id,
            state=state.value,
            queue=live.queue.name,
            attempts=live.queue.attempts,
            most_failed_runs=max(
                (len(task.failed_runs) for task in live.tasks()), default=0
            ),
            config=self.configuration.version if self.configuration else 0,
            queue_configured=self.configuration is not None
            and live.submission.queue in self.configuration.queues_by_key,
        )

    def fail(self, live: LiveSubmission, now_ms: int) -> None:
        """End a submission of which a task has used up its attempts."""
        for run in list(live.runs()):
            self.stop_run(run, now_ms, "the submission failed")
        self.finish(live, SubmissionState.FAILED)

    def finish_if_ended(self, live: LiveSubmission) -> None:
        """End a submission if its restored progress says that it has ended."""
        if live.is_complete:
            self.finish(live, SubmissionState.COMPLETED)
        elif any(
            (len(task.failed_runs) >= live.queue.attempts and not task.done)
            or must_give_up(task)
            for task in live.tasks()
        ):
            self.finish(live, SubmissionState.FAILED)

"""Scheduler of the leader: decides which tasks run on which executors.

The scheduler does no input or output. The leader notifies it of events and carries out
the actions that it returns, so that tests can replay every decision. The decisions
themselves are in :mod:`.scheduling_pass`, :mod:`.reports`, :mod:`.handover` and
:mod:`.demand`.
"""

import dataclasses

from cranberrywheel.submission import (
    actions,
    contention,
    reports,
    scheduling_pass,
    urgent_work,
)
from cranberrywheel.submission.advice import AdviceReply, apply_reply
from cranberrywheel.submission.cold_executors import note_cold
from cranberrywheel.submission.crash_attribution import end_isolation
from cranberrywheel.submission.demand import record_arrival
from cranberrywheel.submission.evacuation import choose_runs_to_evacuate
from cranberrywheel.submission.executor import Executor
from cranberrywheel.submission.executor_orders import (
    ExecutorEntry,
    OrderReply,
    PollReply,
)
from cranberrywheel.submission.fault_detection import is_stalled, record_fault
from cranberrywheel.submission.features import select_features
from cranberrywheel.submission.interference import advance
from cranberrywheel.submission.live import LiveSubmission, Run, RunState
from cranberrywheel.submission.model import (
    Configuration,
    Submission,
    SubmissionState,
)
from cranberrywheel.submission.neighbour_moves import move_background_run
from cranberrywheel.submission.pool_floor import pack_pool
from cranberrywheel.submission.record import Progress
from cranberrywheel.submission.reports import AVOID_AFTER_FAULT_MS
from cranberrywheel.submission.state import STOP_RETRY_MS, SchedulerState
from cranberrywheel.submission.terms import build_terms
from cranberrywheel.submission.throttling import decide_throttling

#: Time after which an executor without an entry and without runs is forgotten. Entries
#: that expired during a store outage reappear within about two seconds of its end.
FORGET_DELAY_MS = 3_000


class Scheduler(SchedulerState):
    """Schedules all pools while this process holds the leadership.

    All methods take ``now_ms`` as steady time and ``unix_ms`` as time of day, in
    milliseconds.

    :param fence: fencing token of all orders of this leadership.
    :param term: number of this leadership, from 0.
    :param timing: timing of the platform.
    :param now_ms: steady time of the takeover.
    :param feature_settings: switches of the parts; by default all are off.
    """

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a newer configuration; submissions follow their queues."""
        self.configuration = configuration
        self.settings.set_configuration(
            configuration, (live.submission for live in self.live_by_id.values())
        )
        self.features = select_features(
            self.feature_settings, configuration, self.timing
        )
        if not self.features.preemption:
            self.preemption.expire((), 0)
        for live in self.live_by_id.values():
            self._set_queue(live, configuration)
            if self.features.fair_shares:
                live.beyond_share = False
            else:
                live.is_infeasible = False
                live.advance_ms = 0
        self.rebuild_waiting_index()

    def _set_queue(self, live: LiveSubmission, configuration: Configuration) -> None:
        """Apply the configured queue of a submission, if there is one.

        A submission with failed runs is stored again, so that the attempts that count
        for them are still known when the queue has left the configuration.
        """
        queue = configuration.queues_by_key.get(live.submission.queue)
        if queue is None:
            return
        live.queue = queue
        if live.has_outdated_terms and not live.final_state:
            self.mark_changed(live)

    def renew_terms(self, live: LiveSubmission) -> Submission:
        """Return a submission with the present settings of its queue as its terms."""
        owner = self.settings.find_organisation(live.submission.organisation)
        return dataclasses.replace(
            live.submission, terms=build_terms(live.queue, owner)
        )

    def put_executor(
        self, entry: ExecutorEntry, now_ms: int, registered: bool = True
    ) -> None:
        """Add an executor or update its entry.

        :param registered: whether the entry is in the store; false for the stored
            record of an executor on which an earlier leader may have started runs.
        """
        executor = self.executors_by_id.get(entry.id)
        if executor is None:
            # Only an executor that registered before the takeover may have runs that
            # this leader does not know.
            lease_expiry_ms = (
                self.previous_leases_end_ms
                if now_ms < self.previous_leases_end_ms
                else now_ms
            )
            if self.handed_over:
                lease_expiry_ms = self.unpolled_until_ms.get(entry.id, now_ms)
            executor = Executor(entry, registered, lease_expiry_ms)
            executor.boot = entry.boot
            self.add_executor(executor)
            self._note_cold(executor, now_ms)
            return
        if entry.boot and executor.boot and entry.boot > executor.boot:
            self.restart_executor(executor, entry.boot, now_ms)
        elif entry.boot and not executor.boot:
            executor.boot = entry.boot
        self.set_entry(executor, entry)
        if registered:
            executor.registered = True
            executor.unregistered_ms = 0
        self._note_cold(executor, now_ms)

    def _note_cold(self, executor: Executor, now_ms: int) -> None:
        # The stored record of an executor is older than its entry.
        if self.features.zone_evacuation and executor.registered:
            note_cold(executor, executor.entry.cold_remaining_ms, now_ms)

    def remove_executor(self, executor_id: str, now_ms: int) -> None:
        """Record that an executor's entry was removed.

        Its runs are tracked until it reports their end or the lease expires.
        """
        executor = self.executors_by_id.get(executor_id)
        if executor is not None and executor.registered:
            executor.registered = False
            executor.unregistered_ms = now_ms

    def mark_terminated(self, executor_id: str, now_ms: int) -> None:
        """Record that an executor's process has certainly ended."""
        executor = self.executors_by_id.get(executor_id)
        if executor is not None:
            reports.mark_terminated(self, executor, now_ms, "its process has ended")

    def add_submission(
        self, submission: Submission, now_ms: int, recovered: bool = False
    ) -> None:
        """Add a stored submission unless it is known already.

        :param recovered: it was stored before the takeover, so tasks of it may run.
        """
        if submission.id in self.live_by_id or submission.id in self.final_state_by_id:
            return
        self.settings.add_submission(submission)
        queue = self.settings.find_queue(submission)
        if self.handed_over:
            recovered = recovered and submission.id in self.held_back_ids
        live = LiveSubmission(submission, queue, recovered)
        live.begin_occurrence()
        self.live_by_id[submission.id] = live
        self.add_waiting_submission(live)
        if live.has_long_running_step and self.features.turn_forecast:
            pack_pool(self, live.queue.service)
        if not recovered:
            record_arrival(self, live, now_ms)
            if not self.features.fair_shares:
                live.beyond_share = not self._take_share(
                    submission.organisation, now_ms
                )

    def _take_share(self, owner: str, now_ms: int) -> bool:
        organisation = self.settings.find_organisation(owner)
        if organisation is None:
            return True
        return self.shares.take(owner, organisation.weight, now_ms)

    def restore(self, submission_id: str, progress: Progress, revision: int) -> None:
        """Apply the progress that an earlier leader stored for a submission.

        :param revision: store revision of the progress record.
        """
        live = self.live_by_id.get(submission_id)
        if live is None:
            return
        live.restore(progress)
        live.progress_revision = revision
        self.finish_if_ended(live)

    def cancel(self, submission_id: str, now_ms: int) -> None:
        """Cancel a submission and stop all its runs."""
        live = self.live_by_id.get(submission_id)
        if live is None or live.cancelled:
            return
        live.cancelled = True
        for run in list(live.runs()):
            self.stop_run(run, now_ms, "cancelled")
        self.finish(live, SubmissionState.CANCELLED)

    def on_stored(self, live: LiveSubmission, version: int) -> None:
        """Record that the store holds a version of a submission's progress."""
        live.stored_version = max(live.stored_version, version)
        if live.final_state and live.stored_version >= live.version:
            live.final_stored = True
            self.final_state_by_id[live.submission.id] = live.final_state
            if not live.run_count:
                self.live_by_id.pop(live.submission.id, None)
        elif live.list_ready_steps():
            self.dirty_services.add(live.queue.service)

    def on_advice(
        self, call: actions.RequestAdvice, reply: AdviceReply, now_ms: int
    ) -> None:
        """Apply the end of a call to the advisor; see :func:`.advice.apply_reply`."""
        apply_reply(self, call, reply, now_ms)

    def on_poll_reply(
        self, executor_id: str, reply: PollReply, sent_ms: int, now_ms: int
    ) -> bool:
        """Apply the answer to a poll; see :func:`.reports.apply_poll_reply`."""
        return reports.apply_poll_reply(self, executor_id, reply, sent_ms, now_ms)

    def on_start_reply(self, run: Run, reply: OrderReply, now_ms: int) -> bool:
        """Apply the answer to a start; see :func:`.reports.apply_start_reply`."""
        return reports.apply_start_reply(self, run, reply, now_ms)

    def on_stop_reply(self, run: Run | None, reply: OrderReply, now_ms: int) -> bool:
        """Apply the answer to a stop; see :func:`.reports.apply_stop_reply`."""
        return reports.apply_stop_reply(run, reply, now_ms)

    def tick(self, now_ms: int, unix_ms: int) -> None:
        """Act on the passage of time.

        Requeues tasks of unreachable executors whose lease has expired, repeats stops,
        stops stalled runs, moves runs out of evacuated zones, throttles background runs
        and begins due occurrences.
        """
        self.mark_all_dirty()
        for executor in list(self.executors_by_id.values()):
            self._check_executor(executor, now_ms)
        interference = None
        if self.features.interference:
            interference = self.interference
            advance(interference, now_ms)
        if self.features.fair_shares:
            contention.update_shares(self, now_ms, unix_ms)
        if self.features.preemption and self.may_start:
            urgent_work.preempt_for_urgent(self, now_ms, unix_ms)
        if self.may_start:
            for run in choose_runs_to_evacuate(self, now_ms):
                self.stop_run(run, now_ms, "its availability zone is evacuated")
            self.actions.extend(
                decide_throttling(self.executors_by_id.values(), now_ms, interference)
            )
            if interference is not None:
                move_background_run(self, now_ms)
        for live in self.live_by_id.values():
            while (
                not live.final_state
                and live.begun_occurrences < live.occurrences
                and live.get_due_ms(live.begun_occurrences) <= unix_ms
            ):
                live.begin_occurrence()
                self.add_waiting_submission(live)

    def _check_executor(self, executor: Executor, now_ms: int) -> None:
        """Check the lease of an executor and the state of its runs."""
        end_isolation(executor, now_ms)
        expired_runs = executor.list_expired_runs(now_ms)
        if expired_runs:
            if executor.ended_visibly:
                self.hold_crash_against_tasks(executor, now_ms)
            self.discard_runs(executor, expired_runs, "the lease has expired", now_ms)
        if (
            not executor.registered
            and not executor.runs
            and not executor.has_unanswered_starts(now_ms)
            and now_ms
            > max(executor.lease_expiry_ms, executor.unregistered_ms) + FORGET_DELAY_MS
        ):
            self.forget_executor(executor)
            self.actions.append(actions.DeleteExecutorRecord(executor.id))
            return
        for run in executor.list_stopping_runs(now_ms):
            if (
                not run.stop_confirmed_ms
                and now_ms - run.stop_sent_ms > STOP_RETRY_MS
                and executor.reachable
            ):
                run.stop_sent_ms = now_ms
                self.actions.append(
                    actions.StopRun(executor.id, run.task.name, run.number, run)
                )
        for run in list(executor.runs.values()):
            if run.state is RunState.RUNNING and is_stalled(
                run, executor, self.duration_estimates, now_ms
            ):
                record_fault(executor, now_ms)
                run.task.avoid_until_ms_by_executor[executor.id] = (
                    now_ms + AVOID_AFTER_FAULT_MS
                )
                self.stop_run(run, now_ms, "no progress")

    def schedule(self, now_ms: int, unix_ms: int) -> None:
        """Run a scheduling pass over the services that changed."""
        scheduling_pass.start_waiting_tasks(self, now_ms, unix_ms)

    def take_actions(self) -> list[actions.Action]:
        """Return the pending actions and clear them."""
        taken, self.actions = self.actions, []
        return taken

    def get_state(self, submission_id: str) -> SubmissionState | None:
        """Return the state that callers see, or ``None`` for an unknown submission."""
        live = self.live_by_id.get(submission_id)
        if live is not None:
            return live.get_visible_state()
        return self.final_state_by_id.get(submission_id)

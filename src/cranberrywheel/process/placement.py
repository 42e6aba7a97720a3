"""Starts queued requests on workers, and handles their results and retries."""

from cranberrywheel.connection.target_client import CHECKPOINTED_KIND
from cranberrywheel.connection.target_messages import AttemptOutcome
from cranberrywheel.errors import (
    NeverFitsError,
    OverloadedError,
    TargetFailedError,
)
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process.attempt import AttemptResult
from cranberrywheel.process.attempt_manager import AttemptManager
from cranberrywheel.process.entry_state import EntryState
from cranberrywheel.process.pending import PendingRequest
from cranberrywheel.process.request_handler import RequestHandler
from cranberrywheel.request.model import Answer, Outcome, Request
from cranberrywheel.request.problem import build_problem_answer
from cranberrywheel.request.retry import plan_retry, request_caused_failures

#: A request is refused as too large once this many workers answered that it does
#: not fit.
MAX_SIZE_REFUSALS = 2

_log = ComponentLogger("placement")


class Placement:
    """Starts queued requests and handles their results; part of the dispatcher.

    :param state: the dispatcher's state.
    """

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self.attempt_manager = AttemptManager(
            state.clock,
            state.settings.limits,
            state.ledger,
            state.workers,
            state.timers,
            state.links.to_targets,
            self._handle_result,
        )
        self.request_handler = RequestHandler(state, self.attempt_manager.stop)

    def start_queued(self) -> None:
        """Start queued requests while worker slots and quota units are free."""
        if self._state.snapshot is None:
            return
        now_ms = self._state.clock.now_ms()
        configuration = self._state.snapshot.configuration
        for service, fair_queue in self._state.queues_by_service.items():
            if not len(fair_queue) or service not in configuration.services_by_name:
                continue
            pool = configuration.services_by_name[service].pool
            while len(fair_queue) and self._state.workers.has_capacity(pool, now_ms):
                request = fair_queue.pop(
                    now_ms,
                    self._state.fleet.shares_by_team,
                    self._state.fleet.use_by_team,
                    lambda team: (
                        not team or self._state.ledger.idle_units(team, now_ms) > 0
                    ),
                )
                if request is None:
                    break
                if not self._start(request, pool, now_ms):
                    self.request_handler.push(request)
                    break
            for request in fair_queue.take_expired(now_ms):
                self.request_handler.drop_expired(request)

    def _start(self, request: Request, pool: str, now_ms: int) -> bool:
        pending = self._state.pending.find(request.request_id)
        if pending is None:
            return True
        workers = self._state.workers
        # A probe may fail, so only requests that can be retried and are not urgent
        # are used for it.
        may_probe = request.idempotent and not request.urgent
        tried, racks = pending.tried_workers, pending.avoided_racks
        worker = workers.choose(pool, now_ms, tried, racks, may_probe)
        if worker is None and tried:
            worker = workers.choose(pool, now_ms, may_probe=may_probe)
        if worker is None:
            return False
        assert self._state.snapshot is not None
        queue = self._state.snapshot.configuration.queues_by_name[request.queue]
        expected_ms = self._state.estimates.estimate_run_ms(queue.name, queue.run_ms)
        task_id = self.attempt_manager.start(
            request, queue, worker, expected_ms, pending.checkpoint
        )
        if task_id is None:
            return False
        if request.ticket:
            self._state.tickets.mark_started(request.ticket)
        pending.task_id = task_id
        pending.attempts += 1
        self._state.fleet.count_task_start(request.team, request.service)
        self._state.metrics.timing("start_wait_ms", now_ms - request.arrived_ms)
        _log.event(
            "sent request to worker",
            request_id=request.request_id,
            queue=request.queue,
            team=request.team or "-",
            worker=worker.name,
            zone=worker.zone,
            attempt=pending.attempts,
            waited_ms=now_ms - request.arrived_ms,
        )
        return True

    def _handle_result(self, result: AttemptResult) -> None:
        request = result.attempt.request
        if result.last:
            self._state.fleet.count_task_end(request.team, request.service)
        if result.end is AttemptOutcome.RAN:
            self._state.estimates.record(
                request.queue,
                self._state.clock.now_ms() - result.attempt.sent_ms,
                result.attempt.used_cores,
                result.attempt.used_memory_mb,
            )
        pending = self._state.pending.find(request.request_id)
        if pending is None or pending.task_id != result.attempt.task_id:
            return
        pending.may_have_run = pending.may_have_run or result.started
        if result.end in (AttemptOutcome.RAN, AttemptOutcome.FAILED):
            self._handle_target_answer(pending, result)
        elif result.kind == CHECKPOINTED_KIND:
            self._requeue_checkpointed(pending, result.attempt.task_id)
        elif not result.started:
            self._handle_not_started(pending, result)
        elif result.last or request.idempotent:
            self._handle_broken_attempt(pending, result)

    def _handle_target_answer(
        self, pending: PendingRequest, result: AttemptResult
    ) -> None:
        request = pending.request
        if result.end is AttemptOutcome.RAN:
            answer = Answer(
                request_id=request.request_id,
                outcome=Outcome.OK,
                status=200,
                body=result.body,
                content_type=result.content_type,
            )
        else:
            if self._retry(pending, result, certainly_not_started=False):
                return
            answer = build_problem_answer(
                request.request_id,
                TargetFailedError(
                    "The target ran the request and reported a failure.",
                    "Look for the cause in the target's log.",
                ),
            )
        if request.ticket:
            self._state.tickets.finish(
                request.ticket, answer, self._state.clock.now_ms()
            )
        self.request_handler.finish(pending, answer)

    def _handle_not_started(
        self, pending: PendingRequest, result: AttemptResult
    ) -> None:
        if result.kind == "does-not-fit":
            pending.size_refusals += 1
            if pending.size_refusals >= MAX_SIZE_REFUSALS:
                self.request_handler.finish_not_run(
                    pending,
                    NeverFitsError(
                        f"Requests of queue {pending.request.queue!r} do not fit on "
                        "the workers of its pool.",
                        "Ask an operator to check the sizes declared for the queue.",
                    ),
                )
                return
        if self._retry(pending, result, certainly_not_started=True):
            return
        error = OverloadedError(
            "No worker accepted the request, and it is not retried again.",
            "Retry later.",
        )
        self.request_handler.finish_not_run(pending, error)

    def _handle_broken_attempt(
        self, pending: PendingRequest, result: AttemptResult
    ) -> None:
        if not self._retry(pending, result, certainly_not_started=False):
            self.request_handler.finish_unknown(pending, result.detail)

    def _requeue_checkpointed(self, pending: PendingRequest, task_id: str) -> None:
        """Queue a checkpointed request again, to continue from its checkpoint."""
        pending.checkpoint = task_id
        pending.task_id = ""
        self._requeue(pending)

    def _requeue(self, pending: PendingRequest) -> None:
        request = pending.request
        if self._state.pending.find(request.request_id) is not pending:
            return
        if request.service not in self._state.queues_by_service:
            return
        try:
            self.request_handler.push(request)
        except OverloadedError as error:
            self.request_handler.finish_not_run(pending, error)

    def _retry(
        self,
        pending: PendingRequest,
        result: AttemptResult,
        certainly_not_started: bool,
    ) -> bool:
        now_ms = self._state.clock.now_ms()
        request = pending.request
        if not certainly_not_started:
            pending.failed_workers.add(result.attempt.worker.name)
            if request_caused_failures(pending.failed_workers):
                self._state.workers.retract_failures(pending.failed_workers, now_ms)
                _log.event(
                    "request failed on several workers; no more retries",
                    request_id=request.request_id,
                )
                return False
        delay_ms = plan_retry(
            request,
            pending.attempts,
            certainly_not_started,
            now_ms,
            self._state.retry_budget,
            self._state.rng,
        )
        if delay_ms is None:
            return False
        pending.task_id = ""
        if result.kind != "stale-token":
            pending.tried_workers.add(result.attempt.worker.name)
            pending.avoided_racks.add(result.attempt.worker.rack)
        if result.kind == "draining":
            self._state.fleet.mark_leaving(result.attempt.worker.name)
        self._state.metrics.count("retries")
        _log.event(
            "request will be retried",
            request_id=request.request_id,
            worker=result.attempt.worker.name,
            reason=result.kind or result.end.value,
            delay_ms=delay_ms,
        )

        self._state.timers.add(now_ms + delay_ms, lambda: self._requeue(pending))
        return True

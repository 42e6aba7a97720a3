"""Handles callers' requests: admission, tickets, deadlines and answers."""

import dataclasses
import typing as t

from cranberrywheel.errors import (
    CancelledError,
    DeadlineError,
    NeverFitsError,
    NotReadyError,
    OverloadedError,
    RequestError,
    TicketRequiredError,
    UnknownOutcomeError,
    UnknownQueueError,
)
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process import messages
from cranberrywheel.process.admission import (
    authorize_team,
    build_request,
    find_queue,
)
from cranberrywheel.process.entry_state import EntryState
from cranberrywheel.process.pending import Forward, PendingRequest, Waiter
from cranberrywheel.process.ticket_calls import build_claim_answer
from cranberrywheel.request.model import Answer, Outcome, Request
from cranberrywheel.request.problem import build_problem_answer
from cranberrywheel.request.ticket import ClaimState, parse_owner

_log = ComponentLogger("request")


class RequestHandler:
    """Admits requests to their queues and answers them; part of the dispatcher task.

    :param state: state of the dispatcher.
    :param stop_attempt: stops the task with an id; used when no caller waits for it.
    """

    def __init__(
        self, state: EntryState, stop_attempt: t.Callable[[str], None]
    ) -> None:
        self._state = state
        self._stop_attempt = stop_attempt

    def submit(self, message: messages.SubmitRequest) -> None:
        """Queue a caller's request, or answer it at once."""
        incoming = message.incoming
        now_ms = self._state.clock.now_ms()
        try:
            request = self._admit(incoming, now_ms)
            waiter = Waiter(incoming, message.answer, request.deadline_ms)
            if request.ticket and self._answer_by_ticket(request, waiter, now_ms):
                return
            self._enqueue(request, waiter, now_ms)
        except RequestError as error:
            _log.event(
                "refused request",
                request_id=incoming.request_id,
                queue=incoming.queue[:64],
                kind=error.kind,
            )
            self._state.metrics.count(f"refused.{error.kind}")
            message.answer.set_result(self._build_refusal(incoming, error))

    def _build_refusal(
        self, incoming: messages.IncomingRequest, error: RequestError
    ) -> Answer:
        """Return the answer to a refused request.

        The outcome is unknown if an earlier call with the same ticket may have run.
        """
        answer = build_problem_answer(incoming.request_id, error)
        now_ms = self._state.clock.now_ms()
        may_have_run = incoming.idempotency_key and self._state.tickets.may_have_run(
            incoming.idempotency_key, now_ms
        )
        if not may_have_run or answer.outcome is not Outcome.NOT_RUN:
            return answer
        return build_problem_answer(incoming.request_id, error, Outcome.UNKNOWN)

    def _admit(self, incoming: messages.IncomingRequest, now_ms: int) -> Request:
        if self._state.drained:
            raise NotReadyError(
                "This instance is shutting down.", "Retry on another instance."
            )
        queue = find_queue(self._state.snapshot, incoming.queue)
        assert self._state.snapshot is not None
        team = authorize_team(
            self._state.snapshot,
            queue,
            incoming.authorization,
            self._state.freshness,
            self._state.revoked_key_ids,
            self._state.settings,
            now_ms,
        )
        request = build_request(incoming, queue, team, self._state.settings, now_ms)
        pool = self._state.snapshot.configuration.pool_of_queue(queue.name)
        if self._state.estimates.should_reject_oversized(
            queue.name, pool.cores, pool.memory_mb
        ):
            raise NeverFitsError(
                f"Requests of queue {queue.name!r} use more cores or memory than a "
                f"worker of pool {pool.name!r} has.",
                "Ask an operator for a pool of larger workers.",
            )
        if not queue.idempotent and not incoming.idempotency_key:
            raise TicketRequiredError(
                f"Queue {queue.name!r} is not idempotent and needs a ticket.",
                "Send the ticket from Next-Idempotency-Key as Idempotency-Key.",
            )
        return request

    def _answer_by_ticket(self, request: Request, waiter: Waiter, now_ms: int) -> bool:
        """Answer a request from the state of its ticket, if it needs no new run here.

        :returns: false if the request is new and this process may start it.
        :raises TicketRequiredError: if the ticket is malformed.
        """
        try:
            owner = parse_owner(request.ticket)
        except RequestError:
            raise TicketRequiredError(
                "The Idempotency-Key is not a ticket of this system.",
                "Send the ticket from Next-Idempotency-Key as Idempotency-Key.",
            ) from None
        claim = self._state.tickets.claim(
            request.ticket, request.team, request.queue, now_ms
        )
        if claim.state is ClaimState.UNKNOWN and not waiter.incoming.forwarded:
            # The ticket was not in the results handed over to this process, so its
            # owner may still be running.
            peer = self._state.fleet.peer_address(owner)
            if peer and owner != self._state.process_id:
                self.forward(peer, waiter)
                return True
        if claim.state is ClaimState.NEW:
            return False
        if claim.state is ClaimState.RUNNING:
            pending = self._state.pending.find_ticket(request.ticket)
            if pending is not None:
                self._state.pending.add_waiter(pending, waiter)
                self._schedule_deadline(waiter)
                return True
        self._answer(waiter, build_claim_answer(request.request_id, claim))
        return True

    def _enqueue(self, request: Request, waiter: Waiter, now_ms: int) -> None:
        self._state.retry_budget.record_request(now_ms)
        try:
            self._check_expected_wait(request, now_ms)
            self.push(request)
        except OverloadedError:
            if request.ticket:
                self._state.tickets.release(request.ticket, now_ms)
            raise
        self._state.pending.add(PendingRequest(request=request, waiters=[waiter]))
        self._schedule_deadline(waiter)

    def push(self, request: Request) -> None:
        """Queue a request until it can no longer end before its deadline.

        :raises OverloadedError: if the queue is full.
        """
        assert self._state.snapshot is not None
        queue = self._state.snapshot.configuration.queues_by_name[request.queue]
        run_ms = self._state.estimates.estimate_run_ms(queue.name, queue.run_ms)
        # Run times are estimates, so a request may wait for at least half of the
        # time until its deadline.
        latest_start_ms = request.deadline_ms - run_ms
        halfway_ms = (request.arrived_ms + request.deadline_ms) / 2
        self._state.queues_by_service[request.service].push(
            request, round(max(latest_start_ms, halfway_ms))
        )

    def _check_expected_wait(self, request: Request, now_ms: int) -> None:
        """Refuse a request that would probably miss its deadline in the queue.

        :raises OverloadedError: with the expected wait.
        """
        assert self._state.snapshot is not None
        queue = self._state.snapshot.configuration.queues_by_name[request.queue]
        pool = self._state.snapshot.configuration.pool_of_queue(request.queue)
        slots = (
            self._state.fleet.count_serving_slots(pool.name)
            // self._state.fleet.entry_count
        )
        queued = self._state.queues_by_service[request.service].estimate_requests_ahead(
            request.team,
            request.urgent,
            self._state.fleet.shares_by_team.get(request.team, 0.0),
        )
        wait_ms = self._state.estimates.estimate_wait_ms(
            request.queue, queue.run_ms, round(queued), max(1, slots)
        )
        run_ms = self._state.estimates.estimate_run_ms(request.queue, queue.run_ms)
        if queued and now_ms + wait_ms + run_ms > request.deadline_ms:
            raise OverloadedError(
                f"The expected wait in queue {request.queue!r} is "
                f"{wait_ms / 1000:.1f} s, so the request would miss its deadline.",
                "Retry later or with a longer Request-Timeout-Ms.",
                retry_after_s=max(1, round(wait_ms / 1000)),
            )

    def _schedule_deadline(self, waiter: Waiter) -> None:
        def check() -> None:
            if not waiter.answer.done():
                self._handle_deadline(waiter)

        self._state.timers.add(waiter.deadline_ms, check)

    def _handle_deadline(self, waiter: Waiter) -> None:
        pending = self._state.pending.find_waiter(waiter.incoming.request_id)
        if pending is None:
            return
        request = pending.request
        if not pending.task_id:
            self._state.queues_by_service[request.service].remove(request.request_id)
            self.finish_not_run(pending, _queue_deadline_error())
            return
        error = UnknownOutcomeError(
            "The deadline passed while the request was running.",
            "Get the result from GET /v1/requests/<ticket> later."
            if request.ticket
            else "Retry with a longer Request-Timeout-Ms.",
        )
        self._answer(waiter, build_problem_answer(request.request_id, error))
        self._remove_waiter(pending, waiter)

    def cancel(self, request_id: str) -> None:
        """Cancel the wait of a caller that disconnected.

        A request that has not started and has no other caller leaves its queue.

        :param request_id: id given to the caller's connection.
        """
        forward = self._state.forwards_by_id.get(request_id)
        if forward is not None:
            forward.answer.cancel()
            return
        pending = self._state.pending.find_waiter(request_id)
        if pending is None:
            return
        waiter = next(w for w in pending.waiters if w.incoming.request_id == request_id)
        request = pending.request
        error = CancelledError("The caller disconnected.", "Send the request again.")
        is_queued = not pending.task_id and not pending.checkpoint
        if len(pending.waiters) == 1 and is_queued:
            self._state.queues_by_service[request.service].remove(request.request_id)
            _log.event("dropped a cancelled request", request_id=request_id)
            self.finish_not_run(pending, error)
            return
        self._answer(waiter, build_problem_answer(request_id, error))
        self._remove_waiter(pending, waiter)

    def _remove_waiter(self, pending: PendingRequest, waiter: Waiter) -> None:
        """Remove a waiter from a request that has been started.

        An idempotent task without waiters is stopped. A non-idempotent one continues,
        also from a checkpoint: stopping it would leave an unknown outcome, and this
        process can still report its result for the ticket.
        """
        self._state.pending.drop_waiter(pending, waiter)
        if pending.waiters or not pending.request.idempotent:
            return
        self._state.pending.remove(pending)
        if pending.task_id:
            self._stop_attempt(pending.task_id)

    def finish_not_run(self, pending: PendingRequest, error: RequestError) -> None:
        """Answer a request that is not running with an error.

        The outcome is ``unknown`` if an earlier attempt may have run.
        """
        if pending.may_have_run:
            self.finish_unknown(pending, error.message)
            return
        if pending.request.ticket:
            self._state.tickets.release(
                pending.request.ticket, self._state.clock.now_ms()
            )
        self.finish(pending, build_problem_answer(pending.request.request_id, error))

    def finish_unknown(self, pending: PendingRequest, detail: str) -> None:
        """Answer a request that may have run with an unknown outcome.

        :param detail: last error, one sentence.
        """
        request = pending.request
        answer = build_problem_answer(
            request.request_id,
            UnknownOutcomeError(
                f"An attempt was started but gave no complete answer: {detail}",
                "Retry if the request is idempotent; otherwise check its effect on "
                "the target.",
            ),
        )
        if request.ticket:
            self._state.tickets.finish(
                request.ticket, answer, self._state.clock.now_ms()
            )
        self.finish(pending, answer)

    def drop_expired(self, request: Request) -> None:
        """Refuse a request whose deadline passed while it was queued."""
        pending = self._state.pending.find(request.request_id)
        if pending is not None:
            self.finish_not_run(pending, _queue_deadline_error())

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Remove a request and answer every caller that waits for it."""
        for waiter in self._state.pending.remove(pending):
            self._answer(waiter, answer)

    def _answer(self, waiter: Waiter, answer: Answer) -> None:
        if not waiter.answer.done():
            self._state.metrics.count(f"requests.{answer.outcome}")
            waiter.answer.set_result(
                dataclasses.replace(answer, request_id=waiter.incoming.request_id)
            )

    def forward(self, peer_address: str, waiter: Waiter) -> None:
        """Forward a request to a peer; the waiter gets the peer's answer.

        :param peer_address: address on which the peer serves other entries.
        """
        request_id = waiter.incoming.request_id
        timeout_ms = max(1, waiter.deadline_ms - self._state.clock.now_ms())
        _log.event("forwarded request", request_id=request_id, peer=peer_address)
        incoming = dataclasses.replace(waiter.incoming, forwarded=True)
        answer = self._state.links.forward(peer_address, incoming, timeout_ms)
        self._state.forwards_by_id[request_id] = Forward(waiter, answer)
        answer.add_done_callback(
            lambda done: self._state.links.to_self(
                messages.ForwardFinished(request_id, done)
            )
        )

    def handle_forward_finished(self, message: messages.ForwardFinished) -> None:
        """Answer the caller of a forwarded request."""
        forward = self._state.forwards_by_id.pop(message.request_id, None)
        if forward is None:
            return
        if not message.answer.cancelled() and message.answer.exception() is None:
            self._answer(forward.waiter, message.answer.result())
            return
        # The outcome is unknown even if nothing was sent, because an earlier call
        # with this ticket may have run.
        error = UnknownOutcomeError(
            "The instance to which the request was forwarded did not answer.",
            "Retry with the same ticket, or retry an idempotent request.",
        )
        self._answer(forward.waiter, build_problem_answer(message.request_id, error))

    def drop_removed_queues(self) -> None:
        """Refuse queued requests of queues that the new configuration lacks."""
        assert self._state.snapshot is not None
        for pending in self._state.pending:
            request = pending.request
            if request.queue in self._state.snapshot.configuration.queues_by_name:
                continue
            if self._state.queues_by_service[request.service].remove(
                request.request_id
            ):
                error = UnknownQueueError(
                    f"Queue {request.queue!r} was removed from the configuration.",
                    "Use another queue.",
                )
                self.finish_not_run(pending, error)


def _queue_deadline_error() -> DeadlineError:
    return DeadlineError(
        "The deadline passed while the request was queued.",
        "Retry later or with a longer Request-Timeout-Ms.",
    )

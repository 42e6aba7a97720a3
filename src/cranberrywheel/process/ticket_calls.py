"""Issues tickets, and answers callers from the state of a ticket."""

import dataclasses
import uuid
from concurrent.futures import Future

from cranberrywheel.errors import (
    RequestError,
    TicketExpiredError,
    UnknownOutcomeError,
)
from cranberrywheel.process import messages
from cranberrywheel.process.admission import authorize_team, find_queue
from cranberrywheel.process.entry_state import EntryState
from cranberrywheel.request.model import Answer, Outcome
from cranberrywheel.request.problem import build_problem_answer
from cranberrywheel.request.ticket import Claim, ClaimState, parse_owner

#: Shorter than the wait of the caller API for the answer to a query.
QUERY_TIMEOUT_MS = 3_000


def build_claim_answer(request_id: str, claim: Claim) -> Answer:
    """Return the answer for a ticket whose request is not started.

    :param claim: state of the ticket; any but ``NEW``.
    """
    if claim.state is ClaimState.FINISHED:
        return dataclasses.replace(claim.answer, request_id=request_id)
    if claim.state is ClaimState.NOT_RUN:
        error: RequestError = TicketExpiredError(
            "The ticket has expired, and its request was never run.",
            "Send the request again with a new ticket.",
        )
    else:
        error = UnknownOutcomeError(
            "The process that held the result of the request is gone.",
            "Check its effect on the target before sending a new request.",
        )
    return build_problem_answer(request_id, error)


class TicketCalls:
    """Issues tickets and answers ticket queries; part of the dispatcher task.

    :param state: state of the dispatcher.
    """

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def issue(self, message: messages.IssueTickets) -> None:
        """Issue tickets to the team of an API key."""
        now_ms = self._state.clock.now_ms()
        try:
            queue = find_queue(self._state.snapshot, message.queue)
            assert self._state.snapshot is not None
            team = authorize_team(
                self._state.snapshot,
                queue,
                message.authorization,
                self._state.freshness,
                self._state.revoked_key_ids,
                self._state.settings,
                now_ms,
            )
            message.tickets.set_result(
                [
                    self._state.tickets.issue(team, message.queue, now_ms)
                    for _ in range(message.count)
                ]
            )
        except RequestError as error:
            message.tickets.set_exception(error)

    def _query_owner(self, peer_address: str, message: messages.QueryTicket) -> None:
        incoming = messages.IncomingRequest(
            request_id=uuid.uuid4().hex,
            queue="",
            authorization="",
            idempotency_key=message.ticket,
            body=b"",
            content_type="",
            timeout_ms=QUERY_TIMEOUT_MS,
            query=True,
        )

        def set_answer(done: "Future[Answer]") -> None:
            if not done.cancelled() and done.exception() is None:
                message.answer.set_result(done.result())
                return
            claim = Claim(ClaimState.UNKNOWN)
            message.answer.set_result(build_claim_answer("", claim))

        self._state.links.forward(
            peer_address, incoming, QUERY_TIMEOUT_MS
        ).add_done_callback(set_answer)

    def query(self, message: messages.QueryTicket) -> None:
        """Answer a query about a ticket; ask its owner if this process is not it."""
        now_ms = self._state.clock.now_ms()
        try:
            claim = self._state.tickets.query(message.ticket, now_ms)
        except RequestError as error:
            message.answer.set_result(build_problem_answer("", error))
            return
        if claim.state is ClaimState.UNKNOWN and not message.forwarded:
            peer = self._state.fleet.peer_address(parse_owner(message.ticket))
            if peer:
                self._query_owner(peer, message)
                return
        if claim.state is ClaimState.RUNNING:
            body = b'{"state":"running"}'
            message.answer.set_result(
                Answer(
                    request_id="",
                    outcome=Outcome.UNKNOWN,
                    status=202,
                    body=body,
                    content_type="application/json",
                )
            )
            return
        message.answer.set_result(build_claim_answer("", claim))

"""Callers' calls about tickets, and what a claimed ticket means for them."""

import dataclasses

from cranberrywheel.errors import (
    RequestError,
    TicketExpiredError,
    UnknownOutcomeError,
)
from cranberrywheel.process import messages as m
from cranberrywheel.process.admission import authorize_team, find_queue
from cranberrywheel.process.entry_state import EntryState
from cranberrywheel.request.model import Answer, Outcome
from cranberrywheel.request.problem import problem_answer
from cranberrywheel.request.ticket import Claim, ClaimState


def claimed_answer(request_id: str, claim: Claim) -> Answer:
    """Describe to a caller what is known about a ticket that is not to be started.

    :param claim: any state but ``NEW``.
    """
    if claim.state is ClaimState.FINISHED:
        return dataclasses.replace(claim.answer, request_id=request_id)
    if claim.state is ClaimState.NOT_RUN:
        error: RequestError = TicketExpiredError(
            "The ticket can no longer start its request, which was never run.",
            "Send the request again with a fresh ticket.",
        )
    else:
        error = UnknownOutcomeError(
            "The process that could tell what became of the request is gone.",
            "Check with the target before you send a new request.",
        )
    return problem_answer(request_id, error)


class TicketCalls:
    """Issues tickets and answers queries; part of the dispatcher task.

    :param state: the dispatcher's state.
    """

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def issue(self, message: m.IssueTickets) -> None:
        """Issue tickets to the team of a key."""
        now_ms = self._state.clock.now_ms()
        try:
            found = find_queue(self._state.snapshot, message.queue)
            assert self._state.snapshot is not None
            team = authorize_team(
                self._state.snapshot,
                found,
                message.authorization,
                self._state.freshness,
                self._state.marked_ids,
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

    def query(self, message: m.QueryTicket) -> None:
        """Tell what is known about a ticket."""
        now_ms = self._state.clock.now_ms()
        try:
            claim = self._state.tickets.query(message.ticket, now_ms)
        except RequestError as error:
            message.answer.set_result(problem_answer("", error))
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
        message.answer.set_result(claimed_answer("", claim))

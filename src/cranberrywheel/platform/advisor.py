"""Calls to the advisor, the service that allows executors for a step."""

import json
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop, HttpReply, HttpRequest
from cranberrywheel.json_body import (
    FIELD_ERRORS,
    decode_object,
    read_count,
    read_list,
    read_text,
)
from cranberrywheel.submission.advice import AdviceOutcome, AdviceReply

#: Longest ticket, in characters.
MAX_TICKET_CHARS = 4_000


def _decode_answer(reply: HttpReply, executor_ids: t.Container[str]) -> AdviceReply:
    """Decode a successful answer, completely or not at all.

    Rows of executors that were not named are ignored.
    """
    try:
        answer = decode_object(reply.body)
        valid_ms = read_count(answer.get("validMs"))
        if not valid_ms:
            raise ValueError("validMs is missing or 0")
        tickets = {
            str(row[0]): read_text(row[1], MAX_TICKET_CHARS)
            for row in read_list(answer["allowed"])
        }
    except FIELD_ERRORS as error:
        return AdviceReply(AdviceOutcome.REFUSED, error=repr(error)[:200])
    return AdviceReply(
        AdviceOutcome.ANSWERED,
        {name: text for name, text in tickets.items() if name in executor_ids},
        valid_ms,
        str(reply.status),
    )


def _decode_reply(reply: HttpReply, executor_ids: t.Container[str]) -> AdviceReply:
    if reply.status == 200:
        return _decode_answer(reply, executor_ids)
    if reply.status == 429:
        outcome = AdviceOutcome.BUSY
    elif reply.status == 0 and reply.sent:
        outcome = AdviceOutcome.NO_ANSWER
    else:
        outcome = AdviceOutcome.REFUSED
    return AdviceReply(outcome, error=reply.error or str(reply.status))


class AdvisorClient:
    """Client of the advisor.

    :param address: ``host:port`` of the advisor.
    """

    def __init__(self, loop: HttpLoop, address: str) -> None:
        self._loop = loop
        self._address = address

    def request_tickets(
        self,
        step: str,
        executor_ids: t.Sequence[str],
        timeout_ms: int,
        done: t.Callable[[AdviceReply], None],
    ) -> None:
        """Request which executors may run a step.

        :param step: name of the step with its submission and occurrence.
        :param executor_ids: at most
            :data:`~cranberrywheel.submission.advice.MAX_EXECUTORS_PER_CALL`.
        :param timeout_ms: longest time until the answer, with its wait for a turn.
        :param done: receives the end of the call on the loop's thread.
        """
        body = json.dumps({"step": step, "workers": list(executor_ids)}).encode()
        request = HttpRequest(
            "POST", self._address, "/api/advise", body, timeout_ms=timeout_ms
        )
        self._loop.call(
            request, lambda reply: done(_decode_reply(reply, set(executor_ids)))
        )

"""Calls of a process to the advisor, one at a time."""

import dataclasses
import typing as t

from cranberrywheel.connection.http_loop import HttpLoop
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.node.advisor_pace import AdvisorPace
from cranberrywheel.platform.advisor import AdvisorClient
from cranberrywheel.submission.actions import RequestAdvice
from cranberrywheel.submission.advice import AdviceOutcome, AdviceReply

_log = ComponentLogger("advisor")

_Receiver = t.Callable[[RequestAdvice, AdviceReply], None]


@dataclasses.dataclass(frozen=True, slots=True)
class EndedCall:
    """A call that has ended, for metrics.

    :param took_ms: time from the call to its end, in milliseconds.
    """

    outcome: AdviceOutcome
    took_ms: int


class AdvisorCalls:
    """Calls to the advisor, which last as long as the process.

    The advisor counts the calls of a machine, whichever leadership has made them. All
    methods run on the loop's thread.

    :ivar on_end: called with each call that has ended, for metrics.
    :ivar receiver: receives the end of each call; ``None`` while nobody leads here.
    :ivar under_way: the call that is under way; ``None`` without one.
    """

    def __init__(self, loop: HttpLoop, client: AdvisorClient) -> None:
        self._loop = loop
        self._client = client
        self._pace = AdvisorPace()
        self.on_end: t.Callable[[EndedCall], None] = lambda call: None
        self.receiver: _Receiver | None = None
        self.under_way: RequestAdvice | None = None

    @property
    def is_free(self) -> bool:
        """Whether a call may be made now."""
        return (
            self.under_way is None
            and self._loop.clock.now_ms() >= self._pace.next_call_ms
        )

    @property
    def given_up_count(self) -> int:
        """Number of calls without an answer that the advisor may handle yet."""
        return self._pace.given_up_count

    def call(self, request: RequestAdvice) -> None:
        """Ask the advisor; the receiver gets the end of the call."""
        sent_ms = self._loop.clock.now_ms()
        limit_ms = self._pace.compute_limit_ms(request.call_ms)
        self.under_way = request
        _log.event(
            "tickets requested",
            request=request.step,
            executors=len(request.executors),
            waited_ms=sent_ms - request.waiting_since_ms,
            expected_ms=request.call_ms,
            limit_ms=limit_ms,
            given_up=self.given_up_count,
        )

        def on_reply(reply: AdviceReply) -> None:
            now_ms = self._loop.clock.now_ms()
            self.under_way = None
            self._record(request, reply, now_ms - sent_ms, now_ms)
            self.on_end(EndedCall(reply.outcome, now_ms - sent_ms))
            if self.receiver is not None:
                self.receiver(request, reply)

        executor_ids = [executor_id for executor_id, _ in request.executors]
        self._client.request_tickets(request.step, executor_ids, limit_ms, on_reply)

    def _record(
        self, request: RequestAdvice, reply: AdviceReply, took_ms: int, now_ms: int
    ) -> None:
        pace = self._pace
        if reply.outcome is AdviceOutcome.ANSWERED:
            pace.record_handled(request.call_ms, took_ms)
            _log.event(
                "tickets received",
                request=request.step,
                took_ms=took_ms,
                allowed=len(reply.ticket_by_executor),
                executors=len(request.executors),
                valid_ms=reply.valid_ms,
            )
            return
        if reply.outcome is AdviceOutcome.NO_ANSWER:
            pace.record_given_up(request.call_ms, now_ms)
        else:
            pace.record_refused(request.call_ms, now_ms)
        _log.warning(
            "no tickets from the advisor",
            request=request.step,
            outcome=reply.outcome.value,
            error=reply.error,
            took_ms=took_ms,
            next_call_in_ms=pace.next_call_ms - now_ms,
            given_up=pace.given_up_count,
        )

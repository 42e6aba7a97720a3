"""Stand-in for the advisor, in virtual time and over HTTP.

It handles the calls of each machine one after the other, also those whose caller does
not wait any more, and refuses calls while too many wait.
"""

import collections
import dataclasses
import itertools
import json
import random
import time
import typing as t

from werkzeug.wrappers import Request, Response

from cranberrywheel.clock import Clock
from cranberrywheel.submission.advice import AdviceOutcome, AdviceReply

#: Calls that may wait for their turn.
MAX_WAITING_CALLS = 32


@dataclasses.dataclass(frozen=True)
class AdvisorCall:
    """A call that will be handled.

    :param begin_ms: when its turn begins.
    :param end_ms: when it is answered.
    """

    caller: str
    step: str
    executor_ids: tuple[str, ...]
    begin_ms: int
    end_ms: int


class AdvisorState:
    """Calls that wait, and the tickets that were given.

    :param get_boot: returns the start of the present process of an executor, by id.
    :param may_run: the policy: tells whether a step may run on an executor.
    :ivar decision_ms: time that each call takes, in milliseconds.
    :ivar period_ms: further time for each executor that a call names.
    :ivar valid_ms: validity of the tickets.
    :ivar count_by_status: answers by status code.
    :ivar calls: all calls that were or will be handled, in the order of arrival.
    :ivar largest_waiting: largest number of calls that have waited at a time.
    """

    def __init__(
        self,
        clock: Clock,
        get_boot: t.Callable[[str], int | None],
        may_run: t.Callable[[str, str], bool] = lambda step, executor_id: True,
        decision_ms: int = 150,
        period_ms: int = 10,
        valid_ms: int = 3_000,
    ) -> None:
        self._clock = clock
        self._get_boot = get_boot
        self._may_run = may_run
        self.decision_ms = decision_ms
        self.period_ms = period_ms
        self.valid_ms = valid_ms
        self.count_by_status: collections.Counter[int] = collections.Counter()
        self.calls: list[AdvisorCall] = []
        self.largest_waiting = 0
        self._last_end_ms_by_caller: dict[str, int] = {}
        self._serial = itertools.count(1)
        #: When each ticket expires, by step, executor, its boot and the ticket.
        self._until_ms: dict[tuple[str, str, int, str], int] = {}

    def count_waiting(self) -> int:
        """Return how many calls wait for their turn."""
        now_ms = self._clock.now_ms()
        waiting = 0
        for call in reversed(self.calls):
            if call.end_ms < now_ms - 600_000:
                break
            waiting += call.begin_ms > now_ms
        return waiting

    def arrive(
        self, caller: str, step: str, executor_ids: t.Sequence[str]
    ) -> AdvisorCall | None:
        """Take a call; ``None`` if too many wait."""
        now_ms = self._clock.now_ms()
        waiting = self.count_waiting()
        if waiting >= MAX_WAITING_CALLS:
            self.count_by_status[429] += 1
            return None
        begin_ms = max(now_ms, self._last_end_ms_by_caller.get(caller, 0))
        end_ms = begin_ms + self.decision_ms + self.period_ms * len(executor_ids)
        self._last_end_ms_by_caller[caller] = end_ms
        call = AdvisorCall(caller, step, tuple(executor_ids), begin_ms, end_ms)
        self.calls.append(call)
        self.largest_waiting = max(self.largest_waiting, self.count_waiting())
        return call

    def answer(self, call: AdvisorCall) -> dict[str, str]:
        """Handle a call at its end; returns tickets by id of the allowed executors."""
        self.count_by_status[200] += 1
        tickets = {}
        for executor_id in call.executor_ids:
            boot = self._get_boot(executor_id)
            if boot is None or not self._may_run(call.step, executor_id):
                continue
            ticket = f"{next(self._serial):08x}"
            until_ms = self._clock.now_ms() + self.valid_ms
            self._until_ms[call.step, executor_id, boot, ticket] = until_ms
            tickets[executor_id] = ticket
        return tickets

    def is_valid(self, task: str, executor_id: str, boot: int, ticket: str) -> bool:
        """Tell whether an executor accepts the ticket of a task now."""
        step = task.rpartition(".")[0]
        until_ms = self._until_ms.get((step, executor_id, boot, ticket), 0)
        return self._clock.now_ms() < until_ms


class VirtualAdvisor:
    """Calls of one machine in virtual time; stands in for ``AdvisorClient``.

    :param caller: name of the machine.
    :ivar lost_share: share of the answers, from 0 to 1, that are lost.
    :ivar is_cut_off: no call reaches the advisor.
    :ivar broken_steps: steps for which each answer is malformed.
    :ivar timeouts: time limits of the calls, in milliseconds.
    """

    def __init__(
        self, loop: t.Any, state: AdvisorState, caller: str, seed: int = 1
    ) -> None:
        self._loop = loop
        self.state = state
        self._caller = caller
        self._random = random.Random(seed)
        self.lost_share = 0.0
        self.is_cut_off = False
        self.broken_steps: set[str] = set()
        self.timeouts: list[int] = []

    def request_tickets(
        self,
        step: str,
        executor_ids: t.Sequence[str],
        timeout_ms: int,
        done: t.Callable[[AdviceReply], None],
    ) -> None:
        """See ``AdvisorClient.request_tickets``."""
        self.timeouts.append(timeout_ms)
        has_ended = False

        def end(reply: AdviceReply) -> None:
            nonlocal has_ended
            if not has_ended:
                has_ended = True
                done(reply)

        no_answer = AdviceReply(AdviceOutcome.NO_ANSWER, error="timed out")
        self._loop.after(timeout_ms, lambda: end(no_answer))

        def arrive() -> None:
            if self.is_cut_off:
                return
            call = self.state.arrive(self._caller, step, executor_ids)
            if call is None:
                end(AdviceReply(AdviceOutcome.BUSY, error="429"))
                return

            def answer() -> None:
                tickets = self.state.answer(call)
                if step in self.broken_steps:
                    reply = AdviceReply(AdviceOutcome.REFUSED, error="malformed")
                else:
                    reply = AdviceReply(
                        AdviceOutcome.ANSWERED, tickets, self.state.valid_ms, "200"
                    )
                if self._random.random() >= self.lost_share:
                    self._loop.after(1, lambda: end(reply))

            self._loop.after(call.end_ms - self._loop.clock.now_ms(), answer)

        self._loop.after(1, arrive)


class AdvisorApp:
    """WSGI application of the advisor for the calls of one machine.

    :param lock: guards the state, which executors on other threads read.
    :param caller: name of the machine; all have the same address in the tests.
    """

    def __init__(self, state: AdvisorState, lock: t.Any, caller: str) -> None:
        self._state = state
        self._lock = lock
        self._caller = caller
        self._clock = Clock()

    def __call__(self, environ: t.Any, start_response: t.Any) -> t.Any:
        request = Request(environ)
        body = json.loads(request.get_data() or b"{}")
        with self._lock:
            call = self._state.arrive(self._caller, body["step"], body["workers"])
        if call is None:
            return Response(b"{}", status=429)(environ, start_response)
        time.sleep(max(0, call.end_ms - self._clock.now_ms()) / 1000)
        with self._lock:
            tickets = self._state.answer(call)
        answer = {"allowed": list(tickets.items()), "validMs": self._state.valid_ms}
        response = Response(json.dumps(answer), content_type="application/json")
        return response(environ, start_response)

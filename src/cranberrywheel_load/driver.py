"""Callers: one thread that sends planned calls to entry instances over pycurl."""

import collections
import dataclasses
import hashlib
import heapq
import io
import itertools
import json
import random
import time
import typing as t

import pycurl

from cranberrywheel.version.configuration import Configuration
from cranberrywheel_load.pattern import Arrival
from cranberrywheel_standin.history import HistoryWriter

#: a caller's own timeout is the queue's plus this, so that the entry answers first.
GRACE_MS = 3_000
CONNECT_TIMEOUT_MS = 1_000
#: tickets asked for at once, and the stock below which more are asked for.
TICKET_BATCH = 32
TICKET_LOW = 8
#: shorter than the ticket lifetime of ten minutes.
TICKET_MAX_AGE_MS = 300_000
#: tries per call, the first one included.
MAX_TRIES = 3
RETRY_DELAY_MS = 200


def monotonic_ms() -> float:
    """Return the clock that histories use."""
    return time.monotonic_ns() / 1e6


@dataclasses.dataclass(kw_only=True)
class CallResult:
    """What a caller saw of one HTTP call.

    :param work: ticket, or the first try's request on idempotent queues.
    :param outcome: ``ok``, ``failed``, ``unknown``, ``not-run`` as answered;
        ``broken`` without a whole answer; ``cancelled`` by the caller.
    :param kind: error kind of the answer, or curl's message.
    """

    request: str
    work: str
    queue: str
    team: str
    entry: str
    run_ms: int
    sent_ms: float
    done_ms: float = 0.0
    outcome: str = ""
    status: int = 0
    kind: str = ""
    wanted: bool = True


@dataclasses.dataclass(kw_only=True)
class _Call:
    arrival: Arrival
    ticket: str
    tries: int
    result: CallResult
    curl: pycurl.Curl
    answer: io.BytesIO
    next_ticket: str = ""


class TicketStock:
    """Tickets at hand for each team and queue, and calls that wait for one."""

    def __init__(self) -> None:
        self._tickets: dict[tuple[str, str], collections.deque[tuple[float, str]]]
        self._tickets = collections.defaultdict(collections.deque)
        self.asking: set[tuple[str, str]] = set()
        self.waiting: dict[tuple[str, str], list[tuple[Arrival, int]]]
        self.waiting = collections.defaultdict(list)

    def add(self, use: tuple[str, str], tickets: t.Iterable[str]) -> None:
        """Keep tickets for a team and queue."""
        now = monotonic_ms()
        self._tickets[use].extend((now, ticket) for ticket in tickets)

    def take(self, use: tuple[str, str]) -> str:
        """Return a ticket that can still start, or ``""``."""
        stock = self._tickets[use]
        while stock:
            issued_ms, ticket = stock.popleft()
            if monotonic_ms() - issued_ms < TICKET_MAX_AGE_MS:
                return ticket
        return ""

    def is_low(self, use: tuple[str, str]) -> bool:
        """Return whether more should be asked for."""
        return len(self._tickets[use]) < TICKET_LOW and use not in self.asking


class LoadDriver:
    """Sends arrivals at their times; use it from one thread.

    :param choose_entry: returns the base URL of an entry instance for a call.
    :param configuration: queues with their timeouts.
    :param keys_by_team: whole team keys.
    :param rng: seeded source of request tokens.
    :param history: receives invocations and responses.
    """

    def __init__(
        self,
        choose_entry: t.Callable[[], str],
        configuration: Configuration,
        keys_by_team: t.Mapping[str, str],
        rng: random.Random,
        history: HistoryWriter,
    ) -> None:
        self._choose_entry = choose_entry
        self._configuration = configuration
        self._keys_by_team = keys_by_team
        self._history = history
        self._multi = pycurl.CurlMulti()
        self._calls: dict[pycurl.Curl, _Call] = {}
        self._ticket_calls: dict[pycurl.Curl, tuple[tuple[str, str], io.BytesIO]] = {}
        self._due: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        self._prefix = f"{rng.getrandbits(32):08x}"
        self._digests: dict[str, str] = {}
        self.stock = TicketStock()
        self.results: list[CallResult] = []

    def run(
        self,
        arrivals: t.Sequence[Arrival],
        end_ms: float,
        waves_ms: t.Sequence[float] = (),
    ) -> None:
        """Send all arrivals and wait for their answers.

        :param end_ms: reading of :func:`monotonic_ms` at which to give up.
        :param waves_ms: times from the start at which every open call is cancelled.
        """
        start_ms = monotonic_ms()
        for wave_ms in waves_ms:
            self._at(start_ms + wave_ms, self._cancel_all)
        for arrival in arrivals:
            self._at(start_ms + arrival.at_ms, self._send, arrival, 1)
        while self._due or self._calls or self._ticket_calls:
            now = monotonic_ms()
            if now >= end_ms:
                break
            while self._due and self._due[0][0] <= now:
                heapq.heappop(self._due)[2]()
            self._multi.perform()
            self._collect()
            next_ms = self._due[0][0] if self._due else now + 100
            wait_ms = min(max(next_ms - monotonic_ms(), 0), 100, end_ms - now)
            self._multi.select(wait_ms / 1000)
        self._abandon()

    def _at(self, due_ms: float, action: t.Callable[..., None], *args: t.Any) -> None:
        item = (due_ms, next(self._order), lambda: action(*args))
        heapq.heappush(self._due, item)

    def _abandon(self) -> None:
        """Close the calls and ticket calls that are still open."""
        self._due.clear()
        for curl in list(self._calls):
            self._finish(self._calls[curl], "broken", kind="run-ended")
        for curl in list(self._ticket_calls):
            self._multi.remove_handle(curl)
            curl.close()
        self._ticket_calls.clear()
        for waiting in self.stock.waiting.values():
            for arrival, _ in waiting:
                self._no_ticket(arrival)
            waiting.clear()

    # Tickets

    def _send(self, arrival: Arrival, tries: int) -> None:
        """Send a call, with a ticket if its queue needs one."""
        if self._configuration.queues_by_name[arrival.queue].idempotent:
            self._invoke(arrival, "", tries)
            return
        use = (arrival.team, arrival.queue)
        ticket = self.stock.take(use)
        if self.stock.is_low(use):
            self._ask_tickets(use)
        if ticket:
            self._invoke(arrival, ticket, tries)
        else:
            self.stock.waiting[use].append((arrival, tries))

    def _ask_tickets(self, use: tuple[str, str]) -> None:
        self.stock.asking.add(use)
        body = json.dumps({"queue": use[1], "count": TICKET_BATCH}).encode()
        url = self._choose_entry() + "/v1/tickets"
        curl, answer = self._prepare(url, body, use[0], CONNECT_TIMEOUT_MS * 3)
        self._ticket_calls[curl] = (use, answer)
        self._multi.add_handle(curl)

    def _tickets_arrived(self, curl: pycurl.Curl) -> None:
        use, answer = self._ticket_calls.pop(curl)
        self.stock.asking.discard(use)
        try:
            tickets = json.loads(answer.getvalue()).get("tickets", [])
        except (ValueError, AttributeError):
            tickets = []
        self.stock.add(use, tickets)
        waiting, self.stock.waiting[use] = self.stock.waiting[use], []
        for arrival, tries in waiting:
            if tickets:
                self._send(arrival, tries)
            elif tries < MAX_TRIES:
                due_ms = monotonic_ms() + RETRY_DELAY_MS * tries
                self._at(due_ms, self._send, arrival, tries + 1)
            else:
                self._no_ticket(arrival)

    def _no_ticket(self, arrival: Arrival) -> None:
        result = self._result(arrival, "", "")
        result.outcome, result.kind = "not-run", "no-ticket"
        self.results.append(result)

    # Calls

    def _prepare(
        self,
        url: str,
        body: bytes,
        team: str,
        timeout_ms: int,
        headers: t.Sequence[str] = (),
    ) -> tuple[pycurl.Curl, io.BytesIO]:
        answer = io.BytesIO()
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        curl.setopt(pycurl.WRITEFUNCTION, answer.write)
        sent = ["Content-Type: application/json", "Expect:", *headers]
        if team:
            sent.append(f"Authorization: Bearer {self._keys_by_team[team]}")
        curl.setopt(pycurl.HTTPHEADER, sent)
        return curl, answer

    def _result(self, arrival: Arrival, work: str, entry: str) -> CallResult:
        request = f"{self._prefix}-{next(self._order)}"
        return CallResult(
            request=request,
            work=work or request,
            queue=arrival.queue,
            team=arrival.team,
            entry=entry,
            run_ms=arrival.run_ms,
            sent_ms=monotonic_ms(),
            wanted=arrival.cancel_after_ms is None,
        )

    def _invoke(
        self, arrival: Arrival, ticket: str, tries: int, work: str = ""
    ) -> None:
        entry = self._choose_entry()
        result = self._result(arrival, ticket or work, entry)
        body = json.dumps({"request": result.request, "run_ms": arrival.run_ms})
        self._digests[result.request] = hashlib.sha256(body.encode()).hexdigest()
        headers = [f"Idempotency-Key: {ticket}"] if ticket else []
        timeout_ms = self._configuration.queues_by_name[arrival.queue].timeout_ms
        url = f"{entry}/v1/queues/{arrival.queue}"
        curl, answer = self._prepare(
            url, body.encode(), arrival.team, timeout_ms + GRACE_MS, headers
        )
        call = _Call(
            arrival=arrival,
            ticket=ticket,
            tries=tries,
            result=result,
            curl=curl,
            answer=answer,
        )
        curl.setopt(pycurl.HEADERFUNCTION, lambda line: self._read_header(call, line))
        self._history.write(
            "invoke",
            request=result.request,
            team=arrival.team,
            queue=arrival.queue,
            ticket=ticket,
            key_id=self._keys_by_team.get(arrival.team, "").partition(".")[0],
        )
        self._calls[curl] = call
        self._multi.add_handle(curl)
        if arrival.cancel_after_ms is not None:
            self._at(result.sent_ms + arrival.cancel_after_ms, self._cancel, call)
        if arrival.repeat_after_ms is not None and ticket and tries == 1:
            due_ms = result.sent_ms + arrival.repeat_after_ms
            self._at(due_ms, self._invoke, arrival, ticket, MAX_TRIES)

    @staticmethod
    def _read_header(call: _Call, line: bytes) -> None:
        name, _, value = line.decode("latin-1").partition(":")
        if name.lower() == "next-idempotency-key":
            call.next_ticket = value.strip()

    def _cancel(self, call: _Call) -> None:
        if call.curl in self._calls:
            self._finish(call, "cancelled")

    def _cancel_all(self) -> None:
        for call in list(self._calls.values()):
            call.result.wanted = False
            self._finish(call, "cancelled")

    def _collect(self) -> None:
        while True:
            queued, done, failed = self._multi.info_read()
            for curl in done:
                self._completed(curl, "")
            for curl, _, message in failed:
                self._completed(curl, message or "broken")
            if not queued:
                return

    def _completed(self, curl: pycurl.Curl, fault: str) -> None:
        if curl in self._ticket_calls:
            self._multi.remove_handle(curl)
            self._tickets_arrived(curl)
            curl.close()
            return
        call = self._calls[curl]
        call.result.status = curl.getinfo(pycurl.RESPONSE_CODE)
        if fault:
            self._finish(call, "broken", kind=fault)
        else:
            self._read_answer(call)
        self._maybe_retry(call)

    def _read_answer(self, call: _Call) -> None:
        try:
            body = json.loads(call.answer.getvalue())
            if not isinstance(body, dict):
                body = {}
        except ValueError:
            body = {}
        if call.next_ticket:
            self.stock.add((call.arrival.team, call.arrival.queue), [call.next_ticket])
        fields: dict[str, t.Any] = {}
        if call.result.status == 200:
            outcome, kind = "ok", ""
            answer_to = str(body.get("request", ""))
            complete = body.get("digest") == self._digests.get(answer_to)
            fields = {"answer_to": answer_to, "complete": complete}
        else:
            # A refusal without an outcome must not count as a true not-run.
            outcome = body.get("outcome") or "unknown"
            kind = str(body.get("kind", call.result.status))
        self._history.write(
            "response", request=call.result.request, outcome=outcome, **fields
        )
        self._finish(call, outcome, kind=kind)

    def _finish(self, call: _Call, outcome: str, kind: str = "") -> None:
        del self._calls[call.curl]
        self._multi.remove_handle(call.curl)
        call.curl.close()
        call.result.outcome, call.result.kind = outcome, kind
        call.result.done_ms = monotonic_ms()
        self.results.append(call.result)

    def _maybe_retry(self, call: _Call) -> None:
        """Send a call again that a caller would: same ticket, another try."""
        refused = call.result.outcome == "not-run" and call.result.status == 503
        if call.tries >= MAX_TRIES or not (refused or call.result.outcome == "broken"):
            return
        arrival = dataclasses.replace(call.arrival, repeat_after_ms=None)
        due_ms = monotonic_ms() + RETRY_DELAY_MS * call.tries
        tries = call.tries + 1
        self._at(due_ms, self._invoke, arrival, call.ticket, tries, call.result.work)

"""Load driver that sends planned calls to entry instances from one thread."""

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

#: Added to the queue's timeout for the caller's own timeout, so that the entry
#: instance answers first.
TIMEOUT_MARGIN_MS = 3_000
CONNECT_TIMEOUT_MS = 1_000
#: Tickets per request.
TICKET_BATCH_SIZE = 32
#: Number of tickets in stock below which more are requested.
TICKET_REFILL_THRESHOLD = 8
#: Shorter than the ticket lifetime of ten minutes.
MAX_TICKET_AGE_MS = 300_000
#: Attempts per call, including the first one.
MAX_ATTEMPTS = 3
RETRY_DELAY_MS = 200


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds, as histories record it."""
    return time.monotonic_ns() / 1e6


@dataclasses.dataclass(kw_only=True)
class CallResult:
    """The result of one HTTP call as its caller sees it.

    :param request: unique token of this attempt.
    :param work: the ticket; on idempotent queues the token of the first attempt.
    :param entry: base URL of the entry instance.
    :param outcome: ``ok``, ``failed``, ``unknown`` or ``not-run`` as answered;
        ``broken`` without a complete answer; ``cancelled`` by the caller.
    :param kind: error kind of the answer, or the message of curl.
    :param wanted: whether the caller did not cancel the call.
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
    attempt: int
    result: CallResult
    curl: pycurl.Curl
    answer: io.BytesIO
    next_ticket: str = ""


class TicketStock:
    """Unused tickets by team and queue, and the calls that wait for a ticket."""

    def __init__(self) -> None:
        self._tickets: dict[tuple[str, str], collections.deque[tuple[float, str]]]
        self._tickets = collections.defaultdict(collections.deque)
        self.requested: set[tuple[str, str]] = set()
        self.waiting: dict[tuple[str, str], list[tuple[Arrival, int]]]
        self.waiting = collections.defaultdict(list)

    def add(self, stock_key: tuple[str, str], tickets: t.Iterable[str]) -> None:
        """Add tickets of a team and queue."""
        now_ms = monotonic_ms()
        self._tickets[stock_key].extend((now_ms, ticket) for ticket in tickets)

    def take(self, stock_key: tuple[str, str]) -> str:
        """Remove and return a ticket that has not expired, or ``""``."""
        stock = self._tickets[stock_key]
        while stock:
            issued_ms, ticket = stock.popleft()
            if monotonic_ms() - issued_ms < MAX_TICKET_AGE_MS:
                return ticket
        return ""

    def needs_refill(self, stock_key: tuple[str, str]) -> bool:
        """Return whether tickets should be requested now."""
        return (
            len(self._tickets[stock_key]) < TICKET_REFILL_THRESHOLD
            and stock_key not in self.requested
        )


class LoadDriver:
    """Sends calls at their planned times; not thread-safe.

    :param choose_entry: returns the base URL of an entry instance for a call.
    :param configuration: queues with their timeouts.
    :param keys_by_team: whole team keys, with their secrets.
    :param rng: seeded random source of the request tokens.
    :param history: history that records invocations and responses.
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
        self._scheduled: list[tuple[float, int, t.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._prefix = f"{rng.getrandbits(32):08x}"
        self._digests: dict[str, str] = {}
        self.stock = TicketStock()
        self.results: list[CallResult] = []

    def run(
        self,
        arrivals: t.Sequence[Arrival],
        end_ms: float,
        cancellation_times_ms: t.Sequence[float] = (),
    ) -> None:
        """Send all arrivals and wait for their answers.

        :param end_ms: time of :func:`monotonic_ms` at which open calls are closed
            with the outcome ``broken``.
        :param cancellation_times_ms: times from the start of the run at which all
            open calls are cancelled.
        """
        start_ms = monotonic_ms()
        for cancellation_ms in cancellation_times_ms:
            self._schedule(start_ms + cancellation_ms, self._cancel_all)
        for arrival in arrivals:
            self._schedule(start_ms + arrival.at_ms, self._send_arrival, arrival, 1)
        while self._scheduled or self._calls or self._ticket_calls:
            now_ms = monotonic_ms()
            if now_ms >= end_ms:
                break
            while self._scheduled and self._scheduled[0][0] <= now_ms:
                heapq.heappop(self._scheduled)[2]()
            self._multi.perform()
            self._process_finished_requests()
            next_ms = self._scheduled[0][0] if self._scheduled else now_ms + 100
            wait_ms = min(max(next_ms - monotonic_ms(), 0), 100, end_ms - now_ms)
            self._multi.select(wait_ms / 1000)
        self._close_open_calls()

    def _schedule(
        self, due_ms: float, action: t.Callable[..., None], *args: t.Any
    ) -> None:
        item = (due_ms, next(self._sequence), lambda: action(*args))
        heapq.heappush(self._scheduled, item)

    def _close_open_calls(self) -> None:
        """Close the calls and ticket calls that are still open."""
        self._scheduled.clear()
        for curl in list(self._calls):
            self._record_result(self._calls[curl], "broken", kind="run-ended")
        for curl in list(self._ticket_calls):
            self._multi.remove_handle(curl)
            curl.close()
        self._ticket_calls.clear()
        for waiting in self.stock.waiting.values():
            for arrival, _ in waiting:
                self._record_missing_ticket(arrival)
            waiting.clear()

    def _send_arrival(self, arrival: Arrival, attempt: int) -> None:
        """Send a call, or queue it until its ticket arrives if it needs one."""
        if self._configuration.queues_by_name[arrival.queue].idempotent:
            self._send_call(arrival, "", attempt)
            return
        stock_key = (arrival.team, arrival.queue)
        ticket = self.stock.take(stock_key)
        if self.stock.needs_refill(stock_key):
            self._request_tickets(stock_key)
        if ticket:
            self._send_call(arrival, ticket, attempt)
        else:
            self.stock.waiting[stock_key].append((arrival, attempt))

    def _request_tickets(self, stock_key: tuple[str, str]) -> None:
        self.stock.requested.add(stock_key)
        body = json.dumps({"queue": stock_key[1], "count": TICKET_BATCH_SIZE}).encode()
        url = self._choose_entry() + "/v1/tickets"
        curl, answer = self._create_request(
            url, body, stock_key[0], CONNECT_TIMEOUT_MS * 3
        )
        self._ticket_calls[curl] = (stock_key, answer)
        self._multi.add_handle(curl)

    def _handle_tickets(self, curl: pycurl.Curl) -> None:
        stock_key, answer = self._ticket_calls.pop(curl)
        self.stock.requested.discard(stock_key)
        try:
            tickets = json.loads(answer.getvalue()).get("tickets", [])
        except (ValueError, AttributeError):
            tickets = []
        self.stock.add(stock_key, tickets)
        waiting, self.stock.waiting[stock_key] = self.stock.waiting[stock_key], []
        for arrival, attempt in waiting:
            if tickets:
                self._send_arrival(arrival, attempt)
            elif attempt < MAX_ATTEMPTS:
                due_ms = monotonic_ms() + RETRY_DELAY_MS * attempt
                self._schedule(due_ms, self._send_arrival, arrival, attempt + 1)
            else:
                self._record_missing_ticket(arrival)

    def _record_missing_ticket(self, arrival: Arrival) -> None:
        result = self._create_result(arrival, "", "")
        result.outcome, result.kind = "not-run", "no-ticket"
        self.results.append(result)

    def _create_request(
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

    def _create_result(self, arrival: Arrival, work: str, entry: str) -> CallResult:
        request = f"{self._prefix}-{next(self._sequence)}"
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

    def _send_call(
        self, arrival: Arrival, ticket: str, attempt: int, work: str = ""
    ) -> None:
        entry = self._choose_entry()
        result = self._create_result(arrival, ticket or work, entry)
        body = json.dumps({"request": result.request, "run_ms": arrival.run_ms})
        self._digests[result.request] = hashlib.sha256(body.encode()).hexdigest()
        headers = [f"Idempotency-Key: {ticket}"] if ticket else []
        timeout_ms = self._configuration.queues_by_name[arrival.queue].timeout_ms
        url = f"{entry}/v1/queues/{arrival.queue}"
        curl, answer = self._create_request(
            url, body.encode(), arrival.team, timeout_ms + TIMEOUT_MARGIN_MS, headers
        )
        call = _Call(
            arrival=arrival,
            ticket=ticket,
            attempt=attempt,
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
            self._schedule(result.sent_ms + arrival.cancel_after_ms, self._cancel, call)
        if arrival.repeat_after_ms is not None and ticket and attempt == 1:
            due_ms = result.sent_ms + arrival.repeat_after_ms
            self._schedule(due_ms, self._send_call, arrival, ticket, MAX_ATTEMPTS)

    @staticmethod
    def _read_header(call: _Call, line: bytes) -> None:
        name, _, value = line.decode("latin-1").partition(":")
        if name.lower() == "next-idempotency-key":
            call.next_ticket = value.strip()

    def _cancel(self, call: _Call) -> None:
        if call.curl in self._calls:
            self._record_result(call, "cancelled")

    def _cancel_all(self) -> None:
        for call in list(self._calls.values()):
            call.result.wanted = False
            self._record_result(call, "cancelled")

    def _process_finished_requests(self) -> None:
        while True:
            queued, done, failed = self._multi.info_read()
            for curl in done:
                self._handle_completion(curl, "")
            for curl, _, message in failed:
                self._handle_completion(curl, message or "broken")
            if not queued:
                return

    def _handle_completion(self, curl: pycurl.Curl, error_message: str) -> None:
        if curl in self._ticket_calls:
            self._multi.remove_handle(curl)
            self._handle_tickets(curl)
            curl.close()
            return
        call = self._calls[curl]
        call.result.status = curl.getinfo(pycurl.RESPONSE_CODE)
        if error_message:
            self._record_result(call, "broken", kind=error_message)
        else:
            self._read_answer(call)
        self._retry_if_allowed(call)

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
            # An error without an outcome does not guarantee that nothing ran.
            outcome = body.get("outcome") or "unknown"
            kind = str(body.get("kind", call.result.status))
        self._history.write(
            "response", request=call.result.request, outcome=outcome, **fields
        )
        self._record_result(call, outcome, kind=kind)

    def _record_result(self, call: _Call, outcome: str, kind: str = "") -> None:
        del self._calls[call.curl]
        self._multi.remove_handle(call.curl)
        call.curl.close()
        call.result.outcome, call.result.kind = outcome, kind
        call.result.done_ms = monotonic_ms()
        self.results.append(call.result)

    def _retry_if_allowed(self, call: _Call) -> None:
        """Schedule another attempt, with the same ticket, where a caller would retry.

        Callers retry broken calls and 503 answers with the outcome ``not-run``.
        """
        refused = call.result.outcome == "not-run" and call.result.status == 503
        if call.attempt >= MAX_ATTEMPTS or not (
            refused or call.result.outcome == "broken"
        ):
            return
        arrival = dataclasses.replace(call.arrival, repeat_after_ms=None)
        due_ms = monotonic_ms() + RETRY_DELAY_MS * call.attempt
        attempt = call.attempt + 1
        self._schedule(
            due_ms, self._send_call, arrival, call.ticket, attempt, call.result.work
        )

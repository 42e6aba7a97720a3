"""Tickets: idempotency keys that let a non-idempotent request start at most once."""

import collections
import dataclasses
import enum
import hashlib
import heapq
import hmac
import itertools

from cranberrywheel.errors import (
    ForbiddenError,
    MalformedRequestError,
    OverloadedError,
)
from cranberrywheel.request.model import Answer, Outcome
from cranberrywheel.settings import EntrySettings

#: Separator of the fields of a ticket. It needs no escaping in URLs and cannot occur
#: in the names of teams, queues and processes.
SEPARATOR = "~"
MAC_BYTES = 16
#: A team may hold this many tickets per free entry of the registry, so that a team
#: that requests many tickets leaves some to the others.
MAX_TICKETS_PER_FREE_ENTRY = 4


class ClaimState(enum.Enum):
    """What a registry knows about the request of a ticket."""

    #: The claimant, and nobody else, may start the request.
    NEW = "new"
    RUNNING = "running"
    FINISHED = "finished"
    #: The request was not started and never will be.
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Claim:
    """Result of a claim or query.

    :param state: what is known about the request of the ticket.
    :param answer: the answer if the state is ``FINISHED``, else ``None``.
    """

    state: ClaimState
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TicketExport:
    """Results that a process transfers to a peer when it shuts down.

    :param forgotten_ms: clock reading of that process in milliseconds; the result of
        a ticket that expired by then may already have been discarded.
    :param results: pairs of ticket and answer.
    """

    forgotten_ms: int
    results: tuple[tuple[str, Answer], ...]


class _Phase(enum.Enum):
    CLAIMED = "claimed"
    STARTED = "started"
    FINISHED = "finished"
    VOID = "void"


@dataclasses.dataclass(slots=True)
class _Record:
    phase: _Phase
    answer: Answer | None = None


@dataclasses.dataclass(slots=True)
class _ImportedResults:
    answers_by_ticket: dict[str, Answer]
    forgotten_ms: int
    #: Clock reading in milliseconds; set by the first ``expire`` after the import.
    delete_at_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class _TicketFields:
    process_id: str
    team: str
    queue: str
    serial: str
    expires_ms: int


def _parse_ticket(ticket: str) -> tuple[_TicketFields, str, str]:
    """Split a ticket into its fields, the signed text and the MAC."""
    signed, _, mac = ticket.rpartition(SEPARATOR)
    parts = signed.split(SEPARATOR)
    if len(parts) != 5 or not parts[0] or not mac:
        raise _malformed_ticket_error()
    process_id, team, queue, serial, expires = parts
    if not (expires.isascii() and expires.isdigit() and len(expires) < 20):
        raise _malformed_ticket_error()
    return _TicketFields(process_id, team, queue, serial, int(expires)), signed, mac


def _malformed_ticket_error() -> MalformedRequestError:
    return MalformedRequestError(
        "The ticket was not issued by this deployment.",
        "Use a ticket from POST /v1/tickets or Next-Idempotency-Key unchanged.",
    )


def parse_owner(ticket: str) -> str:
    """Return the process that issued a ticket, without verifying the MAC.

    :param ticket: the ticket.
    :returns: the process id.
    :raises MalformedRequestError: if the text is not a ticket.
    """
    return _parse_ticket(ticket)[0].process_id


class TicketRegistry:
    """Issues the tickets of one process and stores the results of their requests.

    Each issued ticket reserves a record until it expires, so that a genuine ticket can
    always be claimed or voided. All clock readings are those of this process, in
    milliseconds.

    :param process_id: id of this process.
    :param settings: lifetimes of tickets and results, and the bound on records.
    :param secret: MAC key, random per process.
    """

    def __init__(self, process_id: str, settings: EntrySettings, secret: bytes) -> None:
        self._process_id = process_id
        self._settings = settings
        self._secret = secret
        self._serials = itertools.count(1)
        self._records_by_ticket: dict[str, _Record] = {}
        self._reserved_by_team: collections.Counter[str] = collections.Counter()
        self._reserved = 0
        #: Clock readings at which records may be deleted, with their tickets.
        self._expiry_heap: list[tuple[int, str]] = []
        self._imported_by_process: dict[str, _ImportedResults] = {}
        self._exported = False

    def issue(self, team: str, queue: str, now_ms: int) -> str:
        """Create a ticket.

        :param team: team that may use the ticket, or ``""`` on open queues.
        :param queue: queue for which the ticket is valid.
        :param now_ms: clock reading.
        :returns: the ticket.
        :raises OverloadedError: if the registry is full or was exported, or if the
            remaining entries are reserved for other teams.
        """
        self.expire(now_ms)
        free_entries = self._settings.max_tickets - self._reserved
        team_reserved = self._reserved_by_team[team]
        if self._exported or team_reserved >= MAX_TICKETS_PER_FREE_ENTRY * free_entries:
            raise OverloadedError("No ticket can be issued now.", "Retry later.")
        expires_ms = now_ms + self._settings.ticket_lifetime_ms
        fields = (self._process_id, team, queue, str(next(self._serials)))
        signed = SEPARATOR.join((*fields, str(expires_ms)))
        ticket = signed + SEPARATOR + self._compute_mac(signed)
        self._reserved += 1
        self._reserved_by_team[team] += 1
        heapq.heappush(self._expiry_heap, (expires_ms, ticket))
        return ticket

    def claim(self, ticket: str, team: str, queue: str, now_ms: int) -> Claim:
        """Bind a request to its ticket.

        :param ticket: the ticket of the request.
        :param team: team of the request.
        :param queue: queue of the request.
        :param now_ms: clock reading.
        :returns: ``NEW`` if the claimant may start the request; only one claimant may.
        :raises MalformedRequestError: if the ticket is malformed or forged.
        :raises ForbiddenError: if the ticket is for another team or queue.
        """
        fields = self._verify(ticket)
        if (fields.team, fields.queue) != (team, queue):
            raise ForbiddenError(
                "The ticket is for another team or queue.",
                "Use a ticket issued for this team and queue.",
            )
        claim = self._look_up(ticket, fields, now_ms)
        if claim is not None:
            return claim
        if self._exported:
            return Claim(ClaimState.NOT_RUN)
        self._records_by_ticket[ticket] = _Record(_Phase.CLAIMED)
        return Claim(ClaimState.NEW)

    def mark_started(self, ticket: str) -> None:
        """Record that the request is being sent to a worker.

        :param ticket: a claimed ticket.
        """
        self._records_by_ticket[ticket].phase = _Phase.STARTED

    def finish(self, ticket: str, answer: Answer, now_ms: int) -> None:
        """Store the answer for later claims and queries.

        :param ticket: a claimed ticket; no effect if its claim was released.
        :param answer: the complete answer.
        :param now_ms: clock reading.
        """
        if record := self._records_by_ticket.get(ticket):
            record.phase, record.answer = _Phase.FINISHED, answer

    def release(self, ticket: str, now_ms: int) -> None:
        """Undo a claim whose request was certainly not started.

        :param ticket: a claimed ticket, which can be claimed again until it expires.
        :param now_ms: clock reading.
        """
        record = self._records_by_ticket.get(ticket)
        if record and record.phase in (_Phase.CLAIMED, _Phase.STARTED):
            del self._records_by_ticket[ticket]

    def query(self, ticket: str, now_ms: int) -> Claim:
        """Return what is known about a ticket; void it if it was not claimed.

        :param ticket: a ticket of any process.
        :param now_ms: clock reading.
        :returns: a claim whose state is never ``NEW``; ``RUNNING`` includes requests
            that are still queued.
        :raises MalformedRequestError: if the ticket is malformed or forged.
        """
        fields = self._verify(ticket)
        claim = self._look_up(ticket, fields, now_ms)
        if claim is not None:
            return claim
        self._records_by_ticket[ticket] = _Record(_Phase.VOID)
        return Claim(ClaimState.NOT_RUN)

    def expire(self, now_ms: int) -> None:
        """Delete records and imported results whose retention has ended.

        :param now_ms: clock reading.
        """
        retention_ms = self._settings.ticket_retention_ms
        while self._expiry_heap and self._expiry_heap[0][0] <= now_ms:
            due_ms, ticket = heapq.heappop(self._expiry_heap)
            fields = _parse_ticket(ticket)[0]
            kept_until_ms = fields.expires_ms + retention_ms
            record = self._records_by_ticket.get(ticket)
            phase = record.phase if record else _Phase.VOID
            if phase in (_Phase.CLAIMED, _Phase.STARTED):
                later_ms = max(kept_until_ms, now_ms + retention_ms)
                heapq.heappush(self._expiry_heap, (later_ms, ticket))
            elif phase is _Phase.FINISHED and due_ms < kept_until_ms:
                heapq.heappush(self._expiry_heap, (kept_until_ms, ticket))
            else:
                self._records_by_ticket.pop(ticket, None)
                self._reserved -= 1
                self._reserved_by_team[fields.team] -= 1
        self._expire_imported(now_ms)

    def may_have_run(self, ticket: str, now_ms: int) -> bool:
        """Return whether the request of a ticket may have been started.

        :param ticket: any text; false if it is not a ticket.
        :param now_ms: clock reading.
        """
        try:
            fields = self._verify(ticket)
        except MalformedRequestError:
            return False
        claim = self._look_up(ticket, fields, now_ms)
        return claim is not None and claim.state is not ClaimState.NOT_RUN

    def export_results(self, now_ms: int) -> TicketExport:
        """Return all results for a peer and reject new tickets and claims from now on.

        Requests that are still claimed are exported with outcome ``unknown``, because
        the receiver answers ``not-run`` for tickets that are not in the export.

        :param now_ms: clock reading.
        """
        self._exported = True
        results = []
        for ticket, record in self._records_by_ticket.items():
            if record.phase is _Phase.FINISHED and record.answer:
                results.append((ticket, record.answer))
            elif record.phase is not _Phase.VOID:
                results.append((ticket, _unknown_outcome_answer()))
        return TicketExport(
            forgotten_ms=now_ms - self._settings.ticket_retention_ms,
            results=tuple(results),
        )

    def export_imported_results(self) -> list[tuple[str, TicketExport]]:
        """Return the results imported from other processes, for the next peer.

        :returns: pairs of process id and the export of that process.
        """
        return [
            (
                process_id,
                TicketExport(
                    forgotten_ms=imported.forgotten_ms,
                    results=tuple(imported.answers_by_ticket.items()),
                ),
            )
            for process_id, imported in self._imported_by_process.items()
        ]

    def import_results(self, process_id: str, export: TicketExport) -> None:
        """Store the results of a process that shut down, to answer on its behalf.

        :param process_id: id of that process.
        :param export: its complete export. Its other tickets count as not run, unless
            they expired by ``forgotten_ms``.
        :raises OverloadedError: if the results exceed the bound on records; none is
            stored then, and the outcome of the process's tickets stays unknown.
        """
        answers = dict(export.results)
        imported_count = sum(
            len(imported.answers_by_ticket)
            for other, imported in self._imported_by_process.items()
            if other != process_id
        )
        if imported_count + len(answers) > self._settings.max_tickets:
            raise OverloadedError(
                f"The ticket results of {process_id} would exceed max_tickets.",
                "Hand over to another peer.",
            )
        self._imported_by_process[process_id] = _ImportedResults(
            answers, export.forgotten_ms
        )

    def _compute_mac(self, signed: str) -> str:
        digest = hmac.new(self._secret, signed.encode(), hashlib.sha256).digest()
        return digest[:MAC_BYTES].hex()

    def _verify(self, ticket: str) -> _TicketFields:
        fields, signed, mac = _parse_ticket(ticket)
        if fields.process_id == self._process_id and not hmac.compare_digest(
            self._compute_mac(signed).encode(), mac.encode()
        ):
            raise _malformed_ticket_error()
        return fields

    def _look_up(self, ticket: str, fields: _TicketFields, now_ms: int) -> Claim | None:
        """Return what is known about a ticket, or ``None`` if it can be claimed."""
        if fields.process_id != self._process_id:
            return self._look_up_imported(ticket, fields)
        record = self._records_by_ticket.get(ticket)
        if record is None:
            if now_ms >= fields.expires_ms + self._settings.ticket_retention_ms:
                return Claim(ClaimState.UNKNOWN)
            return Claim(ClaimState.NOT_RUN) if now_ms >= fields.expires_ms else None
        if record.phase is _Phase.FINISHED:
            return Claim(ClaimState.FINISHED, record.answer)
        if record.phase is _Phase.VOID:
            return Claim(ClaimState.NOT_RUN)
        return Claim(ClaimState.RUNNING)

    def _look_up_imported(self, ticket: str, fields: _TicketFields) -> Claim:
        imported = self._imported_by_process.get(fields.process_id)
        if imported is None:
            return Claim(ClaimState.UNKNOWN)
        answer = imported.answers_by_ticket.get(ticket)
        if answer is None:
            result_discarded = fields.expires_ms <= imported.forgotten_ms
            return Claim(ClaimState.UNKNOWN if result_discarded else ClaimState.NOT_RUN)
        if answer.outcome is Outcome.UNKNOWN:
            return Claim(ClaimState.UNKNOWN)
        return Claim(ClaimState.FINISHED, answer)

    def _expire_imported(self, now_ms: int) -> None:
        settings = self._settings
        retained_ms = settings.ticket_lifetime_ms + settings.ticket_retention_ms
        for process_id, imported in list(self._imported_by_process.items()):
            if imported.delete_at_ms is None:
                imported.delete_at_ms = now_ms + retained_ms
            elif imported.delete_at_ms <= now_ms:
                del self._imported_by_process[process_id]


def _unknown_outcome_answer() -> Answer:
    return Answer(
        request_id="",
        outcome=Outcome.UNKNOWN,
        status=502,
        body=b"",
        kind="unknown-outcome",
    )

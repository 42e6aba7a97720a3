"""Tickets that let a non-idempotent request start at most once."""

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

#: Separates the fields of a ticket. It needs no escaping in URLs and cannot occur in
#: the names of teams, queues and processes.
SEPARATOR = "~"
MAC_BYTES = 16
#: A team may hold this many times the free places of the book, so that one team that
#: asks for many tickets leaves some for the others.
PLACES_PER_FREE_PLACE = 4


class ClaimState(enum.Enum):
    """What a book knows about the request of a ticket."""

    #: The claimant may start it; nobody else can.
    NEW = "new"
    RUNNING = "running"
    FINISHED = "finished"
    #: It was not started and never will be.
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Claim:
    """Result of a claim or query.

    :param state: what is known.
    :param answer: the answer, if ``FINISHED``.
    """

    state: ClaimState
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TicketExport:
    """Results that a process hands over when it shuts down.

    :param forgotten_ms: latest expiry, on its clock, of a ticket that may have run
        and whose result it may have dropped.
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
class _HandedOver:
    answers_by_ticket: dict[str, Answer]
    forgotten_ms: int
    #: Set by the first ``expire`` after the import.
    drop_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class _Fields:
    process_id: str
    team: str
    queue: str
    serial: str
    expires_ms: int


def _parse(ticket: str) -> tuple[_Fields, str, str]:
    """Split a ticket into its fields, the signed text and the MAC."""
    signed, _, mac = ticket.rpartition(SEPARATOR)
    parts = signed.split(SEPARATOR)
    if len(parts) != 5 or not parts[0] or not mac:
        raise _malformed()
    process_id, team, queue, serial, expires = parts
    if not (expires.isascii() and expires.isdigit() and len(expires) < 20):
        raise _malformed()
    return _Fields(process_id, team, queue, serial, int(expires)), signed, mac


def _malformed() -> MalformedRequestError:
    return MalformedRequestError(
        "The ticket is not one that this deployment issued.",
        "Use a ticket from POST /v1/tickets or Next-Idempotency-Key unchanged.",
    )


def parse_owner(ticket: str) -> str:
    """Return the process that issued a ticket, without verifying it.

    :param ticket: the ticket.
    :returns: process id.
    :raises MalformedRequestError: if the text is not a ticket.
    """
    return _parse(ticket)[0].process_id


class TicketRegistry:
    """Tickets of one process and the results of their requests.

    Each issued ticket reserves its record until it expires, so a genuine ticket can
    always be claimed or voided. Clock readings are those of this process.

    :param process_id: id of this process.
    :param settings: lifetimes and the bound on records.
    :param secret: key of the MACs; random per process.
    """

    def __init__(self, process_id: str, settings: EntrySettings, secret: bytes) -> None:
        self._process_id = process_id
        self._settings = settings
        self._secret = secret
        self._serials = itertools.count(1)
        self._records_by_ticket: dict[str, _Record] = {}
        self._reserved_by_team: collections.Counter[str] = collections.Counter()
        self._reserved = 0
        #: Clock readings at which a ticket's record may be dropped.
        self._drops: list[tuple[int, str]] = []
        self._handed_over_by_process: dict[str, _HandedOver] = {}
        self._exported = False

    def issue(self, team: str, queue: str, now_ms: int) -> str:
        """Create a ticket.

        :param team: team that may use it, or ``""`` on open queues.
        :param queue: queue that it is for.
        :param now_ms: clock reading.
        :returns: the ticket.
        :raises OverloadedError: if the book is full or was handed over, or if the
            team holds so many tickets that the rest must be left to others.
        """
        self.expire(now_ms)
        free = self._settings.max_tickets - self._reserved
        held = self._reserved_by_team[team]
        if self._exported or held >= PLACES_PER_FREE_PLACE * free:
            raise OverloadedError("No ticket can be issued now.", "Retry later.")
        expires_ms = now_ms + self._settings.ticket_lifetime_ms
        fields = (self._process_id, team, queue, str(next(self._serials)))
        signed = SEPARATOR.join((*fields, str(expires_ms)))
        ticket = signed + SEPARATOR + self._mac(signed)
        self._reserved += 1
        self._reserved_by_team[team] += 1
        heapq.heappush(self._drops, (expires_ms, ticket))
        return ticket

    def claim(self, ticket: str, team: str, queue: str, now_ms: int) -> Claim:
        """Bind a request to its ticket.

        :param ticket: the ticket that came with the request.
        :param team: team of the request.
        :param queue: queue of the request.
        :param now_ms: clock reading.
        :returns: ``NEW`` for the only claimant that may start the request.
        :raises MalformedRequestError: if the ticket is forged.
        :raises ForbiddenError: if it is for another team or queue.
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
        """Note that the request is being sent to a worker.

        :param ticket: a claimed ticket.
        """
        self._records_by_ticket[ticket].phase = _Phase.STARTED

    def finish(self, ticket: str, answer: Answer, now_ms: int) -> None:
        """Store the answer for later claims and queries.

        :param ticket: a claimed ticket; no effect if its claim was released.
        :param answer: the whole answer.
        :param now_ms: clock reading.
        """
        if record := self._records_by_ticket.get(ticket):
            record.phase, record.answer = _Phase.FINISHED, answer

    def release(self, ticket: str, now_ms: int) -> None:
        """Undo a claim whose request was certainly not started.

        :param ticket: a claimed ticket; it may be claimed again until it expires.
        :param now_ms: clock reading.
        """
        record = self._records_by_ticket.get(ticket)
        if record and record.phase in (_Phase.CLAIMED, _Phase.STARTED):
            del self._records_by_ticket[ticket]

    def query(self, ticket: str, now_ms: int) -> Claim:
        """Return what is known and void the ticket if it was not claimed.

        :param ticket: any ticket.
        :param now_ms: clock reading.
        :returns: never ``NEW``; ``RUNNING`` also while the request is queued.
        :raises MalformedRequestError: if the ticket is forged.
        """
        fields = self._verify(ticket)
        claim = self._look_up(ticket, fields, now_ms)
        if claim is not None:
            return claim
        self._records_by_ticket[ticket] = _Record(_Phase.VOID)
        return Claim(ClaimState.NOT_RUN)

    def expire(self, now_ms: int) -> None:
        """Drop what is no longer needed.

        :param now_ms: clock reading.
        """
        retention_ms = self._settings.ticket_retention_ms
        while self._drops and self._drops[0][0] <= now_ms:
            due_ms, ticket = heapq.heappop(self._drops)
            fields = _parse(ticket)[0]
            kept_until_ms = fields.expires_ms + retention_ms
            record = self._records_by_ticket.get(ticket)
            phase = record.phase if record else _Phase.VOID
            if phase in (_Phase.CLAIMED, _Phase.STARTED):
                later_ms = max(kept_until_ms, now_ms + retention_ms)
                heapq.heappush(self._drops, (later_ms, ticket))
            elif phase is _Phase.FINISHED and due_ms < kept_until_ms:
                heapq.heappush(self._drops, (kept_until_ms, ticket))
            else:
                self._records_by_ticket.pop(ticket, None)
                self._reserved -= 1
                self._reserved_by_team[fields.team] -= 1
        self._expire_handed_over(now_ms)

    def may_have_run(self, ticket: str, now_ms: int) -> bool:
        """Tell whether the request of a ticket may have been started by anyone.

        :param ticket: any text; what is no ticket has started nothing.
        :param now_ms: clock reading.
        """
        try:
            fields = self._verify(ticket)
        except MalformedRequestError:
            return False
        claim = self._look_up(ticket, fields, now_ms)
        return claim is not None and claim.state is not ClaimState.NOT_RUN

    def export_results(self, now_ms: int) -> TicketExport:
        """Return all results for a peer and start nothing more.

        Requests that are still claimed are listed with outcome ``unknown``, because
        the receiver answers unlisted tickets with ``not-run``.

        :param now_ms: clock reading.
        """
        self._exported = True
        results = []
        for ticket, record in self._records_by_ticket.items():
            if record.phase is _Phase.FINISHED and record.answer:
                results.append((ticket, record.answer))
            elif record.phase is not _Phase.VOID:
                results.append((ticket, _unknown_answer()))
        return TicketExport(
            forgotten_ms=now_ms - self._settings.ticket_retention_ms,
            results=tuple(results),
        )

    def export_imported_results(self) -> list[tuple[str, TicketExport]]:
        """Return what this process answers for others, to pass it on.

        :returns: pairs of process id and its export.
        """
        return [
            (
                process_id,
                TicketExport(
                    forgotten_ms=handed.forgotten_ms,
                    results=tuple(handed.answers_by_ticket.items()),
                ),
            )
            for process_id, handed in self._handed_over_by_process.items()
        ]

    def import_results(self, process_id: str, export: TicketExport) -> None:
        """Answer for a process that shut down.

        :param process_id: that process.
        :param export: its complete export; its other tickets count as not run, as
            long as it would have kept their records.
        :raises OverloadedError: if there is no room; its tickets then stay unknown.
        """
        answers = dict(export.results)
        kept = sum(
            len(handed.answers_by_ticket)
            for other, handed in self._handed_over_by_process.items()
            if other != process_id
        )
        if kept + len(answers) > self._settings.max_tickets:
            raise OverloadedError(
                f"The results of {process_id} do not fit.", "Hand over to another peer."
            )
        self._handed_over_by_process[process_id] = _HandedOver(
            answers, export.forgotten_ms
        )

    def _mac(self, signed: str) -> str:
        digest = hmac.new(self._secret, signed.encode(), hashlib.sha256).digest()
        return digest[:MAC_BYTES].hex()

    def _verify(self, ticket: str) -> _Fields:
        fields, signed, mac = _parse(ticket)
        if fields.process_id == self._process_id and not hmac.compare_digest(
            self._mac(signed).encode(), mac.encode()
        ):
            raise _malformed()
        return fields

    def _look_up(self, ticket: str, fields: _Fields, now_ms: int) -> Claim | None:
        """Return what is known, or ``None`` for a ticket that can be claimed."""
        if fields.process_id != self._process_id:
            return self._look_up_handed_over(ticket, fields)
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

    def _look_up_handed_over(self, ticket: str, fields: _Fields) -> Claim:
        handed = self._handed_over_by_process.get(fields.process_id)
        if handed is None:
            return Claim(ClaimState.UNKNOWN)
        answer = handed.answers_by_ticket.get(ticket)
        if answer is None:
            forgotten = fields.expires_ms <= handed.forgotten_ms
            return Claim(ClaimState.UNKNOWN if forgotten else ClaimState.NOT_RUN)
        if answer.outcome is Outcome.UNKNOWN:
            return Claim(ClaimState.UNKNOWN)
        return Claim(ClaimState.FINISHED, answer)

    def _expire_handed_over(self, now_ms: int) -> None:
        settings = self._settings
        keep_ms = settings.ticket_lifetime_ms + settings.ticket_retention_ms
        for process_id, handed in list(self._handed_over_by_process.items()):
            if handed.drop_ms is None:
                handed.drop_ms = now_ms + keep_ms
            elif handed.drop_ms <= now_ms:
                del self._handed_over_by_process[process_id]


def _unknown_answer() -> Answer:
    return Answer(
        request_id="",
        outcome=Outcome.UNKNOWN,
        status=502,
        body=b"",
        kind="unknown-outcome",
    )

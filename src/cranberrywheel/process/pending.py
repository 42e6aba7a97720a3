"""Requests that this process has accepted and not answered yet."""

import dataclasses
import typing as t
from concurrent.futures import Future

from cranberrywheel.process.messages import IncomingRequest
from cranberrywheel.request.model import Answer, Request


@dataclasses.dataclass(eq=False)
class Waiter:
    """One caller connection that waits for an answer.

    A retry with the same ticket adds a waiter to the request that is running.
    """

    incoming: IncomingRequest
    answer: "Future[Answer]"
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Forward:
    """A caller's request that was forwarded to a peer."""

    waiter: Waiter
    answer: "Future[Answer]"


@dataclasses.dataclass(kw_only=True)
class PendingRequest:
    """A request with the callers that wait for it and its attempts.

    :param task_id: id of the current attempt, or ``""``.
    :param attempts: number of attempts so far.
    :param size_refusals: how often a worker answered that the request does not fit.
    :param may_have_run: whether an attempt was started or may have been.
    :param checkpoint: id of the checkpointed task to continue, or ``""``.
    :param failed_workers: workers on which an attempt failed or its connection broke.
    :param tried_workers: workers that another attempt should avoid.
    :param avoided_racks: racks that another attempt should avoid.
    """

    request: Request
    waiters: list[Waiter]
    task_id: str = ""
    attempts: int = 0
    size_refusals: int = 0
    may_have_run: bool = False
    checkpoint: str = ""
    failed_workers: set[str] = dataclasses.field(default_factory=set)
    tried_workers: set[str] = dataclasses.field(default_factory=set)
    avoided_racks: set[str] = dataclasses.field(default_factory=set)


class PendingRequests:
    """Index of the pending requests by id, by id of a waiter and by ticket."""

    def __init__(self) -> None:
        self._by_id: dict[str, PendingRequest] = {}
        self._by_ticket: dict[str, PendingRequest] = {}
        self._by_waiter: dict[str, PendingRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> t.Iterator[PendingRequest]:
        return iter(list(self._by_id.values()))

    def add(self, pending: PendingRequest) -> None:
        """Add a request with its waiters."""
        self._by_id[pending.request.request_id] = pending
        if pending.request.ticket:
            self._by_ticket[pending.request.ticket] = pending
        for waiter in pending.waiters:
            self._by_waiter[waiter.incoming.request_id] = pending

    def add_waiter(self, pending: PendingRequest, waiter: Waiter) -> None:
        """Add another caller that waits for the request."""
        pending.waiters.append(waiter)
        self._by_waiter[waiter.incoming.request_id] = pending

    def find(self, request_id: str) -> PendingRequest | None:
        """Return the request with an id, or ``None``."""
        return self._by_id.get(request_id)

    def find_ticket(self, ticket: str) -> PendingRequest | None:
        """Return the request with a ticket, or ``None``."""
        return self._by_ticket.get(ticket)

    def find_waiter(self, request_id: str) -> PendingRequest | None:
        """Return the request that a waiter waits for, or ``None``.

        :param request_id: id given to the waiter's connection.
        """
        return self._by_waiter.get(request_id)

    def drop_waiter(self, pending: PendingRequest, waiter: Waiter) -> None:
        """Remove one waiter from a request."""
        pending.waiters.remove(waiter)
        self._by_waiter.pop(waiter.incoming.request_id, None)

    def remove(self, pending: PendingRequest) -> list[Waiter]:
        """Remove a request.

        :returns: the waiters that still need an answer.
        """
        self._by_id.pop(pending.request.request_id, None)
        if pending.request.ticket:
            self._by_ticket.pop(pending.request.ticket, None)
        waiters, pending.waiters = pending.waiters, []
        for waiter in waiters:
            self._by_waiter.pop(waiter.incoming.request_id, None)
        return waiters

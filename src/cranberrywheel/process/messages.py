"""Messages between the tasks of one entry process.

Each task owns its state and reads its inbox, a ``queue.SimpleQueue``. A message
that expects a reply carries a ``concurrent.futures.Future`` for it.
"""

import dataclasses
import typing as t
from concurrent.futures import Future

from cranberrywheel.connection.store_client import InstanceList
from cranberrywheel.request.model import Answer
from cranberrywheel.request.ticket import TicketExport
from cranberrywheel.version.snapshot import ConfigurationSnapshot


@dataclasses.dataclass(frozen=True, kw_only=True)
class IncomingRequest:
    """A caller's request before authorization.

    :param request_id: id assigned by the connection that received the request.
    :param queue: queue name from the path.
    :param authorization: the ``Authorization`` header, or ``""``.
    :param idempotency_key: the ``Idempotency-Key`` header, or ``""``.
    :param timeout_ms: timeout set by the caller in milliseconds, or 0 to use that
        of the queue.
    :param forwarded: whether a peer sent the request; it is then not forwarded again.
    :param query: whether a peer only asks for the state of the ticket.
    """

    request_id: str
    queue: str
    authorization: str
    idempotency_key: str
    body: bytes
    content_type: str
    timeout_ms: int
    traceparent: str = ""
    forwarded: bool = False
    query: bool = False


@dataclasses.dataclass(frozen=True)
class SubmitRequest:
    """To the dispatcher: run a request and set its answer on the future."""

    incoming: IncomingRequest
    answer: "Future[Answer]"


@dataclasses.dataclass(frozen=True)
class CancelRequest:
    """To the dispatcher: the caller disconnected."""

    request_id: str


@dataclasses.dataclass(frozen=True)
class ForwardFinished:
    """To the dispatcher: the answer to a forwarded request arrived, or it failed."""

    request_id: str
    answer: "Future[Answer]"


@dataclasses.dataclass(frozen=True)
class IssueTickets:
    """To the dispatcher: issue tickets and set them on the future."""

    authorization: str
    queue: str
    count: int
    tickets: "Future[list[str]]"


@dataclasses.dataclass(frozen=True)
class QueryTicket:
    """To the dispatcher: report the state of a ticket.

    :param answer: gets the result of the ticket's request, or its state.
    :param forwarded: whether a peer asks; the query is then not forwarded again.
    """

    ticket: str
    answer: "Future[Answer]"
    forwarded: bool = False


@dataclasses.dataclass(frozen=True)
class ExportResults:
    """To the dispatcher: export the results of finished tickets.

    :param exports: gets the results with the id of the process that issued the
        tickets: this process and those that handed their results over to it.
    """

    exports: "Future[list[tuple[str, TicketExport]]]"


@dataclasses.dataclass(frozen=True)
class ReadStatus:
    """To the dispatcher: set a JSON-serializable status on the future."""

    status: "Future[dict[str, t.Any]]"


@dataclasses.dataclass(frozen=True)
class ReadFleet:
    """To the dispatcher: set the pool records and the instances on the future.

    Both are JSON-serializable.
    """

    fleet: "Future[dict[str, t.Any]]"


@dataclasses.dataclass(frozen=True)
class ConfigurationAdopted:
    """To the dispatcher: a newer configuration version is in force."""

    snapshot: ConfigurationSnapshot


@dataclasses.dataclass(frozen=True)
class FreshnessProven:
    """To the dispatcher: the API keys were up to date at ``proven_ms``.

    :param proven_ms: reading of the local clock, in milliseconds, before the read
        that proved it was sent.
    """

    proven_ms: int


@dataclasses.dataclass(frozen=True)
class KeyRevoked:
    """To the dispatcher: an API key was revoked and must be refused from now on."""

    key_id: str


@dataclasses.dataclass(frozen=True)
class PoolAssignment:
    """Pool and state of one instance in a ``pools/<zone>`` record."""

    worker: str
    pool: str
    state: str


@dataclasses.dataclass(frozen=True)
class PoolsChanged:
    """To the dispatcher: a ``pools/<zone>`` record has a newer revision.

    :param body: the whole JSON body, shown to operators.
    """

    zone: str
    revision: int
    rows: tuple[PoolAssignment, ...]
    body: dict[str, t.Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class InstancesListed:
    """To the dispatcher: a newer instance list was read."""

    listed: InstanceList


@dataclasses.dataclass(frozen=True)
class QuotaUnitsHeld:
    """To the dispatcher: the quota units that this process holds of one team.

    Sent after a confirmed write or read. Before the store session transfers units
    to another process, it sends :class:`ReleaseQuotaUnits`.

    :param long_units: units on a long lease, which outlasts a store outage.
    :param short_units: units on a short lease.
    """

    team: str
    long_units: int
    short_units: int


@dataclasses.dataclass(frozen=True)
class QuotaLeaseRenewed:
    """To the dispatcher: the lease on the quota units was renewed.

    :param started_ms: reading of the local clock, in milliseconds, before the
        renewal was sent.
    """

    started_ms: int


@dataclasses.dataclass(frozen=True)
class ReleaseQuotaUnits:
    """To the dispatcher: stop using units before they are removed from the record.

    :param released: gets the counts of long and short units that are no longer
        used; units with a running request stay, so both may be lower than asked.
    """

    team: str
    long_units: int
    short_units: int
    released: "Future[tuple[int, int]]"


@dataclasses.dataclass(frozen=True)
class QuotaDemand:
    """To the store session: quota units in use and requested, sent periodically.

    :param in_use_by_team: number of units with a running request.
    :param waiting_by_team: number of requests that wait for a unit.
    """

    in_use_by_team: dict[str, int]
    waiting_by_team: dict[str, int]


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """Load of one process for one team and service, as sent to its peers."""

    team: str
    service: str
    running: int
    queued: int
    idle_units: int


@dataclasses.dataclass(frozen=True)
class PeerReport:
    """To the dispatcher: load and addresses from a peer's latest exchange."""

    process_id: str
    zone: str
    http_address: str
    peer_address: str
    stopping: bool
    loads: tuple[PeerLoad, ...]
    in_flight_by_worker: dict[str, int]
    leaving_instances: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class PeerLost:
    """To the dispatcher: no exchange with a peer succeeded within its timeout."""

    process_id: str


@dataclasses.dataclass(frozen=True)
class ResultsHandedOver:
    """To the dispatcher: a peer that shut down handed over its ticket results."""

    process_id: str
    export: TicketExport


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """To the peer task: load of this process for the next exchange."""

    loads: tuple[PeerLoad, ...]
    in_flight_by_worker: dict[str, int]
    leaving_instances: tuple[str, ...]
    stopping: bool


@dataclasses.dataclass(frozen=True)
class ApplyConfiguration:
    """To the store session: store a new configuration text.

    :param expected_text_version: version of the text that the operator edited.
    :param version: gets the version of the new text, or an error.
    """

    text: str
    expected_text_version: int
    version: "Future[int]"


@dataclasses.dataclass(frozen=True)
class CreateKey:
    """To the store session: create an API key.

    :param key: gets the key including its secret, which cannot be read later.
    """

    team: str
    key: "Future[str]"


@dataclasses.dataclass(frozen=True)
class RevokeKey:
    """To the store session: revoke an API key.

    :param result: gets ``{"stored": bool, "confirmed": [...], "unconfirmed": [...]}``,
        with the ids of the processes that confirmed the revocation or did not.
    """

    key_id: str
    result: "Future[dict[str, t.Any]]"


@dataclasses.dataclass(frozen=True)
class Stop:
    """To any task: stop; the future is set when the task has finished."""

    done: "Future[None]"

"""Messages between the tasks of one entry process.

Each task owns its state and reads its inbox, a ``queue.SimpleQueue``. Replies
go through a ``concurrent.futures.Future`` in the message.
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

    :param request_id: assigned by the connection that received it.
    :param queue: queue name from the path.
    :param authorization: the ``Authorization`` header, or ``""``.
    :param idempotency_key: the ``Idempotency-Key`` header, or ``""``.
    :param timeout_ms: the caller's timeout, or 0 for the queue's.
    :param forwarded: true if a peer sent it; it is then not forwarded again.
    :param query: true if a peer only asks what is known about the ticket.
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
    """To the dispatcher: run a request; the future gets its answer."""

    incoming: IncomingRequest
    answer: "Future[Answer]"


@dataclasses.dataclass(frozen=True)
class CancelRequest:
    """To the dispatcher: the caller hung up."""

    request_id: str


@dataclasses.dataclass(frozen=True)
class ForwardFinished:
    """To the dispatcher: a forwarded request has its answer or an error."""

    request_id: str
    answer: "Future[Answer]"


@dataclasses.dataclass(frozen=True)
class IssueTickets:
    """To the dispatcher: the future gets a list of tickets."""

    authorization: str
    queue: str
    count: int
    tickets: "Future[list[str]]"


@dataclasses.dataclass(frozen=True)
class QueryTicket:
    """To the dispatcher: the future gets what is known about a ticket.

    :param forwarded: true if a peer asks; the query is then not passed on.
    """

    ticket: str
    answer: "Future[Answer]"
    forwarded: bool = False


@dataclasses.dataclass(frozen=True)
class ExportResults:
    """To the dispatcher: the future gets the results of finished tickets.

    They come by process id: its own, and those that were handed over to it.
    """

    exports: "Future[list[tuple[str, TicketExport]]]"


@dataclasses.dataclass(frozen=True)
class ReadStatus:
    """To the dispatcher: the future gets a JSON-ready status."""

    status: "Future[dict[str, t.Any]]"


@dataclasses.dataclass(frozen=True)
class ReadFleet:
    """To the dispatcher: the future gets pool records and instances, JSON-ready."""

    fleet: "Future[dict[str, t.Any]]"


@dataclasses.dataclass(frozen=True)
class ConfigurationAdopted:
    """To the dispatcher: a higher version is in force."""

    snapshot: ConfigurationSnapshot


@dataclasses.dataclass(frozen=True)
class FreshnessProven:
    """To the dispatcher: the keys were current at ``proven_ms``.

    :param proven_ms: own clock reading before the proving read was sent.
    """

    proven_ms: int


@dataclasses.dataclass(frozen=True)
class KeyRevoked:
    """To the dispatcher: a key was withdrawn and must stop at once."""

    key_id: str


@dataclasses.dataclass(frozen=True)
class PoolAssignment:
    """One instance of a ``pools/<zone>`` record."""

    worker: str
    pool: str
    state: str


@dataclasses.dataclass(frozen=True)
class PoolsChanged:
    """To the dispatcher: a newer ``pools/<zone>`` record.

    :param body: the whole JSON body, for operators.
    """

    zone: str
    revision: int
    rows: tuple[PoolAssignment, ...]
    body: dict[str, t.Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class InstancesListed:
    """To the dispatcher: a new instance list."""

    listed: InstanceList


@dataclasses.dataclass(frozen=True)
class QuotaUnitsHeld:
    """To the dispatcher: the units this process holds of one team.

    Sent after a confirmed write or read. The store session sends a lower count
    before it gives units away; see :class:`ReleaseQuotaUnits`.
    """

    team: str
    long_units: int
    short_units: int


@dataclasses.dataclass(frozen=True)
class QuotaLeaseRenewed:
    """To the dispatcher: the lease was renewed.

    :param started_ms: own clock reading before the renewal was sent.
    """

    started_ms: int


@dataclasses.dataclass(frozen=True)
class ReleaseQuotaUnits:
    """To the dispatcher: stop using units before they are written away.

    :param released: gets the long and short counts that are now unusable; both
        may be lower than asked where units are in use.
    """

    team: str
    long_units: int
    short_units: int
    released: "Future[tuple[int, int]]"


@dataclasses.dataclass(frozen=True)
class QuotaDemand:
    """To the store session: use and demand per team, sent every second.

    :param in_use_by_team: units with a running request.
    :param waiting_by_team: requests that wait for a unit.
    """

    in_use_by_team: dict[str, int]
    waiting_by_team: dict[str, int]


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """What a peer said about its load, per team and service."""

    team: str
    service: str
    running: int
    queued: int
    idle_units: int


@dataclasses.dataclass(frozen=True)
class PeerReport:
    """To the dispatcher: the load part of a peer's last exchange."""

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
    """To the dispatcher: a peer has not been heard within its timeout."""

    process_id: str


@dataclasses.dataclass(frozen=True)
class ResultsHandedOver:
    """To the dispatcher: a peer that shut down handed over its ticket results."""

    process_id: str
    export: TicketExport


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """To the peer task: own load for the next exchange."""

    loads: tuple[PeerLoad, ...]
    in_flight_by_worker: dict[str, int]
    leaving_instances: tuple[str, ...]
    stopping: bool


@dataclasses.dataclass(frozen=True)
class ApplyConfiguration:
    """To the store session: write a new operators' text.

    :param expected_text_version: the version that the operator edited.
    :param version: gets the new text version, or an error.
    """

    text: str
    expected_text_version: int
    version: "Future[int]"


@dataclasses.dataclass(frozen=True)
class CreateKey:
    """To the store session: create a key; the future gets the whole key once."""

    team: str
    key: "Future[str]"


@dataclasses.dataclass(frozen=True)
class RevokeKey:
    """To the store session: withdraw a key.

    :param result: gets ``{"stored": bool, "confirmed": [...], "unconfirmed": [...]}``
        with process ids.
    """

    key_id: str
    result: "Future[dict[str, t.Any]]"


@dataclasses.dataclass(frozen=True)
class Stop:
    """To any task: finish; the future is set when it is done."""

    done: "Future[None]"

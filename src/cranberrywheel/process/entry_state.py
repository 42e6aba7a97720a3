"""State of one entry process, owned by its dispatcher task."""

import dataclasses
import random
import secrets
import typing as t
from concurrent.futures import Future

from cranberrywheel.clock import Clock
from cranberrywheel.process import messages
from cranberrywheel.process.fleet_view import FleetView
from cranberrywheel.process.metrics import Metrics
from cranberrywheel.process.pending import Forward, PendingRequests
from cranberrywheel.process.quota_units import QuotaLedger
from cranberrywheel.process.timers import Timers
from cranberrywheel.process.worker_table import WorkerTable
from cranberrywheel.request.estimates import RunTimeEstimates
from cranberrywheel.request.fair_queue import FairQueue
from cranberrywheel.request.model import Answer
from cranberrywheel.request.retry import RetryBudget
from cranberrywheel.request.ticket import TicketRegistry
from cranberrywheel.settings import EntrySettings
from cranberrywheel.version.freshness import FreshnessTracker
from cranberrywheel.version.snapshot import ConfigurationSnapshot


@dataclasses.dataclass(frozen=True)
class Links:
    """Functions with which the dispatcher sends messages to other tasks.

    :param to_targets: sends a message to the target client.
    :param to_store: sends a message to the store session.
    :param to_peers: sends a load report to the peer service.
    :param to_self: sends a message to the dispatcher itself.
    :param forward: forwards a request to a peer; takes the peer's address, the
        request and a timeout in milliseconds.
    """

    to_targets: t.Callable[[t.Any], None]
    to_store: t.Callable[[t.Any], None]
    to_peers: t.Callable[[t.Any], None]
    to_self: t.Callable[[t.Any], None]
    forward: t.Callable[[str, messages.IncomingRequest, int], "Future[Answer]"]


@dataclasses.dataclass(kw_only=True)
class EntryState:
    """All data on which the dispatcher task bases its decisions.

    :param snapshot: configuration in force, or ``None`` before the first one.
    :param drained: whether a stop was requested and the last request has finished;
        no request is accepted from then on.
    :param revoked_key_ids: keys revoked since the snapshot was written.
    :param forwards_by_id: requests that a peer handles, by request id.
    """

    settings: EntrySettings
    process_id: str
    clock: Clock
    links: Links
    rng: random.Random
    ledger: QuotaLedger
    workers: WorkerTable
    fleet: FleetView
    tickets: TicketRegistry
    metrics: Metrics
    snapshot: ConfigurationSnapshot | None = None
    drained: bool = False
    revoked_key_ids: set[str] = dataclasses.field(default_factory=set)
    freshness: FreshnessTracker = dataclasses.field(default_factory=FreshnessTracker)
    timers: Timers = dataclasses.field(default_factory=Timers)
    estimates: RunTimeEstimates = dataclasses.field(default_factory=RunTimeEstimates)
    retry_budget: RetryBudget = dataclasses.field(default_factory=RetryBudget)
    forwards_by_id: dict[str, Forward] = dataclasses.field(default_factory=dict)
    pending: PendingRequests = dataclasses.field(default_factory=PendingRequests)
    queues_by_service: dict[str, FairQueue] = dataclasses.field(default_factory=dict)


def create_state(
    settings: EntrySettings,
    process_id: str,
    clock: Clock,
    links: Links,
    rng: random.Random,
) -> EntryState:
    """Create the state of a process that has just started.

    :param process_id: id of this process; it becomes part of its tickets.
    :param links: functions that reach the other tasks.
    :param rng: source of all random choices.
    """
    workers = WorkerTable(settings.zone, rng)
    return EntryState(
        settings=settings,
        process_id=process_id,
        clock=clock,
        links=links,
        rng=rng,
        ledger=QuotaLedger(settings.limits),
        workers=workers,
        fleet=FleetView(process_id, workers),
        metrics=Metrics(settings.statsd_host, settings.statsd_port),
        tickets=TicketRegistry(process_id, settings, secrets.token_bytes(32)),
    )

"""Periodic store reads of one entry: configuration, pools, roster and limits."""

import dataclasses
import random
import typing as t

import pydantic

from cranberrywheel.clock import Clock
from cranberrywheel.connection.store_client import Record, StoreClient
from cranberrywheel.errors import StoreError, StoreUnavailableError
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel.process.membership import (
    ENTRIES_PREFIX,
    Registration,
    parse_registration,
)
from cranberrywheel.process.messages import (
    InstancesListed,
    PoolAssignment,
    PoolsChanged,
)
from cranberrywheel.process.quota_manager import LIMITS_PREFIX
from cranberrywheel.process.record_writer import Backoff
from cranberrywheel.settings import EntrySettings
from cranberrywheel.version.active_configuration import CONFIGURATION_KEY
from cranberrywheel.version.records import parse_record

POOLS_PREFIX = "pools/"
#: Interval between two reads of the lists. A worker that leaves must receive no new
#: tasks after a few seconds.
LIST_INTERVAL_MS = 2_000
#: Age of the newest store read by any entry, relative to the freshness bound, from
#: which this entry reads the configuration itself.
READ_PROOF_FRACTION = 0.4
#: Largest random addition to :data:`READ_PROOF_FRACTION`. It is longer than an
#: exchange interval, so that after one entry has read the store, its peers usually
#: learn of it before they read too.
READ_JITTER_FRACTION = 0.3

_log = ComponentLogger("store")


class _PoolRowBody(pydantic.BaseModel):
    pool: str
    state: t.Literal["serving", "draining", "empty", "rebooting", "quarantined"]


class _PoolsBody(pydantic.BaseModel):
    instances: dict[str, _PoolRowBody]


@dataclasses.dataclass(frozen=True)
class LimitsListed:
    """To the store session: limit records, and registrations read after them.

    :param records: all ``limits/<team>`` records.
    :param registrations: registered entries.
    """

    records: list[Record]
    registrations: list[Registration]


def parse_pools(record: Record) -> PoolsChanged:
    """Parse a ``pools/<zone>`` record.

    :raises StoreError: if it is malformed.
    """
    stored = parse_record(record)
    try:
        body = _PoolsBody.model_validate(stored.body)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        raise StoreError(
            f"Record {record.key} is malformed: {first_error['msg']}.",
            "Let the zone's planner write it again.",
        ) from None
    assignments = tuple(
        PoolAssignment(worker, row.pool, row.state)
        for worker, row in body.instances.items()
    )
    zone = record.key.removeprefix(POOLS_PREFIX)
    return PoolsChanged(zone, record.revision, assignments, stored.body)


class StoreReader:
    """Polls the store on its own thread and connection.

    Periodic reads are not made on the session's thread, because a slow read must not
    delay the renewal of the lease.

    :param settings: give the freshness bound.
    :param clock: own clock.
    :param client: store client of the reader's thread.
    :param peers: receives configuration, freshness proofs, roster and instance list.
    :param to_dispatcher: receives messages for the dispatcher.
    :param to_session: receives :class:`LimitsListed`.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        client: StoreClient,
        peers: PeerExchange,
        to_dispatcher: t.Callable[[object], None],
        to_session: t.Callable[[object], None],
    ) -> None:
        self._bound_ms = settings.key_freshness_ms
        self._clock = clock
        self._client = client
        self._peers = peers
        self._to_dispatcher = to_dispatcher
        self._to_session = to_session
        self._random = random.Random(peers.process_id)
        self._backoff = Backoff(self._random)
        self._pool_revisions_by_key: dict[str, int] = {}
        self._malformed_revisions_by_key: dict[str, int] = {}
        self._list_due_ms = clock.now_ms()
        self._read_age_ms = 0
        self._choose_read_age()

    def _choose_read_age(self) -> None:
        fraction = READ_PROOF_FRACTION + self._random.uniform(0, READ_JITTER_FRACTION)
        self._read_age_ms = int(self._bound_ms * fraction)

    def step(self) -> None:
        """Make the reads that are due; an unavailable store starts a backoff."""
        now_ms = self._clock.now_ms()
        if not self._backoff.allows_attempt(now_ms):
            return
        try:
            age_ms = self._peers.store_read_age_ms()
            if age_ms is None or age_ms >= self._read_age_ms:
                self.read_configuration()
                self._choose_read_age()
            if now_ms >= self._list_due_ms:
                self.read_lists()
                self._list_due_ms = now_ms + LIST_INTERVAL_MS
            self._backoff.record_success()
        except StoreUnavailableError as error:
            self._backoff.record_failure(self._clock.now_ms())
            _log.event("store unavailable; reads back off", cause=error.message)

    def read_configuration(self) -> None:
        """Read the configuration if it is newer, and record a freshness proof.

        An answer that the configuration is unchanged is a proof as well.

        :raises StoreUnavailableError: if the store does not answer.
        """
        sent_ms = self._clock.now_ms()
        answer = self._client.get(
            CONFIGURATION_KEY, self._peers.active_configuration.version
        )
        if answer is None:
            return
        if isinstance(answer, Record):
            try:
                self._peers.active_configuration.adopt(answer)
            except StoreError as error:
                self._log_malformed(answer, error)
                return
        self._peers.record_store_read(sent_ms)

    def read_lists(self) -> None:
        """Read limits, roster, pools and instances with one call each.

        :raises StoreUnavailableError: if the store does not answer.
        """
        limit_records = self._client.list(LIMITS_PREFIX)
        read_ms = self._clock.now_ms()
        registrations = self._read_roster()
        self._peers.set_roster(registrations, read_ms)
        self._to_session(LimitsListed(limit_records, registrations))
        for record in self._client.list(POOLS_PREFIX):
            self._handle_pools(record)
        instance_list = self._client.instances()
        self._peers.set_instances(instance_list)
        self._to_dispatcher(InstancesListed(instance_list))

    def _read_roster(self) -> list[Registration]:
        registrations = []
        for record in self._client.list(ENTRIES_PREFIX):
            try:
                registrations.append(parse_registration(record))
            except StoreError as error:
                self._log_malformed(record, error)
        return registrations

    def _handle_pools(self, record: Record) -> None:
        if record.revision <= self._pool_revisions_by_key.get(record.key, 0):
            return
        try:
            changed = parse_pools(record)
        except StoreError as error:
            self._log_malformed(record, error)
            return
        self._pool_revisions_by_key[record.key] = record.revision
        self._to_dispatcher(changed)

    def _log_malformed(self, record: Record, error: StoreError) -> None:
        """Log a malformed record once per revision."""
        if self._malformed_revisions_by_key.get(record.key) != record.revision:
            self._malformed_revisions_by_key[record.key] = record.revision
            _log.warning("malformed record ignored", cause=error.message)

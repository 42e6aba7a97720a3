"""Reads the store for one entry: configuration, pools, roster and limits."""

import dataclasses
import random
import typing as t

import pydantic

from cranberrywheel.clock import Clock
from cranberrywheel.connection.store_client import Record, StoreClient
from cranberrywheel.errors import StoreError, StoreUnavailableError
from cranberrywheel.logs import PartLogger
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
from cranberrywheel.version.adoption import CONFIGURATION_KEY
from cranberrywheel.version.records import parse_record

POOLS_PREFIX = "pools/"
#: Time between two readings of the lists. A leaving target must get no new work
#: after a few seconds.
LIST_INTERVAL_MS = 2_000
#: Age of the newest store read, relative to the freshness bound, from which this
#: entry reads the configuration itself.
READ_PROOF_FRACTION = 0.4
#: Largest random addition to that age. It is more than an exchange interval, so
#: that after one entry has read, its peers usually hear before they read too.
READ_JITTER_FRACTION = 0.3

_log = PartLogger("store")


class _PoolRowBody(pydantic.BaseModel):
    pool: str
    state: t.Literal["serving", "draining", "empty", "rebooting", "quarantined"]


class _PoolsBody(pydantic.BaseModel):
    instances: dict[str, _PoolRowBody]


@dataclasses.dataclass(frozen=True)
class LimitsListed:
    """To the store session: limit records, and registrations read after them."""

    records: list[Record]
    registrations: list[Registration]


def read_pools(record: Record) -> PoolsChanged:
    """Read a ``pools/<zone>`` record.

    :raises StoreError: if it is malformed.
    """
    stored = parse_record(record)
    try:
        body = _PoolsBody.model_validate(stored.body)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        raise StoreError(
            f"Record {record.key} is malformed: {first['msg']}.",
            "Let the zone's planner write it again.",
        ) from None
    rows = tuple(PoolAssignment(w, r.pool, r.state) for w, r in body.instances.items())
    zone = record.key.removeprefix(POOLS_PREFIX)
    return PoolsChanged(zone, record.revision, rows, stored.body)


class StoreReader:
    """Polls the store on its own thread and connection.

    A slow read must not delay the renewal of the lease, so the session's thread
    does no periodic reads.

    :param settings: freshness bound.
    :param clock: own clock.
    :param client: store client of the calling thread.
    :param peers: takes configuration, proofs, roster and instance list.
    :param to_dispatcher: takes messages for the dispatcher.
    :param to_session: takes :class:`LimitsListed`.
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
        """Do the reads that are due; an unavailable store delays the next."""
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
            _log.event("store unavailable", cause=error.message)

    def read_configuration(self) -> None:
        """Read the configuration if it is newer; either way the keys are proven.

        :raises StoreUnavailableError: if the store gives no answer.
        """
        taken_ms = self._clock.now_ms()
        answer = self._client.get(CONFIGURATION_KEY, self._peers.holder.version)
        if answer is None:
            return
        if isinstance(answer, Record):
            try:
                self._peers.holder.adopt(answer)
            except StoreError as error:
                self._note_malformed(answer, error)
                return
        self._peers.record_store_read(taken_ms)

    def read_lists(self) -> None:
        """Read limits, roster, pools and instances, one call each.

        :raises StoreUnavailableError: if the store gives no answer.
        """
        limits = self._client.list(LIMITS_PREFIX)
        read_ms = self._clock.now_ms()
        registrations = self._read_roster()
        self._peers.set_roster(registrations, read_ms)
        self._to_session(LimitsListed(limits, registrations))
        for record in self._client.list(POOLS_PREFIX):
            self._take_pools(record)
        listed = self._client.instances()
        self._peers.set_instances(listed)
        self._to_dispatcher(InstancesListed(listed))

    def _read_roster(self) -> list[Registration]:
        registrations = []
        for record in self._client.list(ENTRIES_PREFIX):
            try:
                registrations.append(parse_registration(record))
            except StoreError as error:
                self._note_malformed(record, error)
        return registrations

    def _take_pools(self, record: Record) -> None:
        if record.revision <= self._pool_revisions_by_key.get(record.key, 0):
            return
        try:
            changed = read_pools(record)
        except StoreError as error:
            self._note_malformed(record, error)
            return
        self._pool_revisions_by_key[record.key] = record.revision
        self._to_dispatcher(changed)

    def _note_malformed(self, record: Record, error: StoreError) -> None:
        """Log a malformed record once per revision."""
        if self._malformed_revisions_by_key.get(record.key) != record.revision:
            self._malformed_revisions_by_key[record.key] = record.revision
            _log.warning("ignored malformed record", cause=error.message)

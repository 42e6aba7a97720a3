"""Store session of an entry process: owns the process's store clients."""

import dataclasses
import queue
import random
import threading
import typing as t

from cranberrywheel.clock import Clock
from cranberrywheel.connection.store_client import Record, StoreClient
from cranberrywheel.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process.configuration_writer import (
    SHUTTING_DOWN,
    ConfigurationWriter,
    complete_future,
)
from cranberrywheel.process.exchange import PeerExchange
from cranberrywheel.process.membership import ENTRIES_PREFIX, dump_registration
from cranberrywheel.process.messages import (
    ApplyConfiguration,
    CreateKey,
    QuotaDemand,
    QuotaLeaseRenewed,
    RevokeKey,
    Stop,
)
from cranberrywheel.process.quota_manager import QuotaManager
from cranberrywheel.process.record_writer import Backoff, RecordWriter
from cranberrywheel.process.store_reader import LimitsListed, StoreReader
from cranberrywheel.settings import EntrySettings, PlatformSettings

#: Longest wait for a message before the session checks for due work.
TICK_MS = 100
#: Interval between two updates of the quota units that this process holds.
QUOTA_INTERVAL_MS = 1_000
#: Attempts at shutdown to return the quota units if the store does not answer.
MAX_RETURN_ATTEMPTS = 3

_log = ComponentLogger("store")


class RegistrationLease:
    """Registration of this process in the store, bound to a store lease.

    :param settings: give the TTL of the lease, which is ``short_hold_ms``.
    :param clock: own clock.
    :param client: store client of the session's thread.
    :param peers: gives the registration of this process.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        client: StoreClient,
        peers: PeerExchange,
    ) -> None:
        self._ttl_ms = settings.limits.short_hold_ms
        self._clock = clock
        self._client = client
        self._registration = peers.registration
        self._lease = ""
        #: Store revision of the registration; 0 while there is none.
        self.revision = 0
        #: Own clock reading before the last successful grant or renewal was sent.
        self.started_ms = 0

    def is_due(self, now_ms: int) -> bool:
        """Tell whether a registration or a renewal is due."""
        return not self.revision or now_ms - self.started_ms >= self._ttl_ms // 3

    def renew_or_register(self) -> None:
        """Renew the lease, or acquire one and register.

        :raises LeaseLostError: if the lease has expired; the next call registers.
        :raises StoreUnavailableError: if the store does not answer.
        """
        started_ms = self._clock.now_ms()
        try:
            if self._lease:
                self._client.renew_lease(self._lease)
            else:
                self._lease = self._client.grant_lease(self._ttl_ms)
            if not self.revision:
                self.revision = self._register()
        except LeaseLostError:
            self._lease, self.revision = "", 0
            raise
        self.started_ms = started_ms

    def _register(self) -> int:
        key = ENTRIES_PREFIX + self._registration.process_id
        value = dump_registration(self._registration)
        try:
            return self._client.put(key, value, 0, self._lease)
        except StoreConflictError:
            # An earlier attempt under this lease took effect, but its answer was lost.
            record = self._client.get(key)
            if not isinstance(record, Record):
                raise LeaseLostError(
                    f"The registration {key} has expired.", "Register again."
                ) from None
            return record.revision

    def revoke(self) -> None:
        """Revoke the lease, which also deletes the registration."""
        if self._lease:
            self._client.revoke_lease(self._lease)
            self._lease, self.revision = "", 0


class StoreSession:
    """Maintains the lease, the quota units and the configuration of one entry.

    Writes and periodic reads run on two threads with a connection each.

    :param settings: of this process.
    :param clock: own clock.
    :param to_dispatcher: receives messages for the dispatcher.
    :param peers: state shared with the peer service.
    :param make_client: creates the store client of a thread.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        to_dispatcher: t.Callable[[object], None],
        peers: PeerExchange,
        make_client: t.Callable[[PlatformSettings], StoreClient] = StoreClient,
    ) -> None:
        #: Receives ApplyConfiguration, CreateKey, RevokeKey, QuotaDemand and Stop.
        self.inbox: queue.SimpleQueue[object] = queue.SimpleQueue()
        self._clock = clock
        self._to_dispatcher = to_dispatcher
        self._peers = peers
        self._client = make_client(settings.platform)
        self._reader_client = make_client(settings.platform)
        self._random = random.Random(peers.process_id)
        self._backoff = Backoff(self._random)
        writer = RecordWriter(self._client, peers.process_id)
        self._lease = RegistrationLease(settings, clock, self._client, peers)
        self._configuration_writer = ConfigurationWriter(
            settings, peers, writer, self._random
        )
        self._quota_manager = QuotaManager(
            settings.limits,
            peers.registration,
            self._client,
            writer,
            peers,
            to_dispatcher,
        )
        self.reader = StoreReader(
            settings, clock, self._reader_client, peers, to_dispatcher, self.inbox.put
        )
        self._registered_revision = 0
        self._quota_due_ms = clock.now_ms()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, name="store", daemon=True),
            threading.Thread(target=self._run_reader, name="store-reader", daemon=True),
        ]

    def start(self) -> None:
        """Start both threads; the peer port must already be bound."""
        for thread in self._threads:
            thread.start()

    def _run(self) -> None:
        while True:
            try:
                message = self.inbox.get(timeout=TICK_MS / 1000)
            except queue.Empty:
                message = None
            if isinstance(message, Stop):
                self.stop(message)
                return
            self.step(message)

    def _run_reader(self) -> None:
        while not self._stopping.wait(TICK_MS / 1000):
            self.reader.step()
        self._reader_client.close()

    def step(self, message: object = None) -> None:
        """Handle one message and do all work that is due.

        :param message: from the inbox, or ``None``.
        """
        try:
            self._handle(message)
            self._do_due_work()
        except StoreUnavailableError as error:
            self._backoff.record_failure(self._clock.now_ms())
            _log.event("store unavailable; calls back off", cause=error.message)
        except StoreError as error:
            _log.warning(
                "store refused a call; retrying when due again", cause=error.message
            )

    def _handle(self, message: object) -> None:
        now_ms = self._clock.now_ms()
        if isinstance(message, ApplyConfiguration):
            self._configuration_writer.apply_configuration(message, now_ms)
        elif isinstance(message, CreateKey):
            self._configuration_writer.create_key(message, now_ms)
        elif isinstance(message, RevokeKey):
            registered = self._lease.revision > 0
            self._configuration_writer.revoke_key(message, now_ms, registered)
        elif isinstance(message, QuotaDemand):
            self._quota_manager.set_demand(message)
        elif isinstance(message, LimitsListed):
            self._quota_manager.update_from_list(
                message.records, message.registrations, now_ms
            )

    def _do_due_work(self) -> None:
        now_ms = self._clock.now_ms()
        store_allowed = self._backoff.allows_attempt(now_ms)
        if store_allowed:
            self._renew_lease_if_due(now_ms)
        self._configuration_writer.step(now_ms, store_allowed)
        snapshot = self._peers.active_configuration.snapshot
        is_registered = self._registered_revision == self._lease.revision > 0
        if (
            store_allowed
            and is_registered
            and snapshot
            and now_ms >= self._quota_due_ms
        ):
            self._quota_due_ms = now_ms + QUOTA_INTERVAL_MS
            self._quota_manager.update_units(snapshot, now_ms)
        if store_allowed:
            self._backoff.record_success()

    def _renew_lease_if_due(self, now_ms: int) -> None:
        renewed = False
        if self._lease.is_due(now_ms):
            try:
                self._lease.renew_or_register()
                renewed = True
            except LeaseLostError:
                _log.warning("lease expired; registering again")
                self._lease.renew_or_register()
        revision = self._lease.revision
        if self._registered_revision != revision:
            own = dataclasses.replace(self._peers.registration, revision=revision)
            self._quota_manager.reregister(own)
            self._registered_revision = revision
            renewed = True
            _log.event(
                "registered in the store", process=own.process_id, revision=revision
            )
        if renewed:
            self._to_dispatcher(QuotaLeaseRenewed(self._lease.started_ms))

    def _reject_messages(self) -> None:
        while not self.inbox.empty():
            match self.inbox.get():
                case (
                    ApplyConfiguration(version=future)
                    | CreateKey(key=future)
                    | RevokeKey(result=future)
                ):
                    complete_future(future, error=SHUTTING_DOWN)

    def stop(self, message: Stop) -> None:
        """Return the quota units, revoke the lease and end both threads."""
        self._stopping.set()
        self._configuration_writer.fail_pending()
        self._reject_messages()
        for _ in range(MAX_RETURN_ATTEMPTS):
            try:
                self._quota_manager.return_all()
                self._lease.revoke()
                break
            except StoreUnavailableError:
                self._clock.sleep_ms(self._random.randint(50, 500))
            except StoreError as error:
                _log.warning("could not return quota units", cause=error.message)
        self._client.close()
        complete_future(message.done)

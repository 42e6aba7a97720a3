"""Store lease with a fencing token that entitles one planner to act for a zone."""

import typing as t

from cranberrywheel.clock import Clock
from cranberrywheel.connection.store_client import StoreClient
from cranberrywheel.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from cranberrywheel.process.record_store import RecordStore
from cranberrywheel.settings import PlannerSettings

#: Fraction of the lease TTL during which the holder acts. The rest covers differing
#: clock rates and the time that a call takes to reach the platform.
ACTING_FRACTION = 0.8
#: Fraction of the lease TTL after which the holder renews the lease.
RENEWAL_FRACTION = 0.3


class ZoneLease:
    """Lease of one planner process on the record ``planners/<zone>``.

    The fencing token is the store revision of that record. Revisions increase over
    the whole store, so each later holder has a higher token.
    """

    def __init__(
        self,
        settings: PlannerSettings,
        client: StoreClient,
        records: RecordStore,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._client = client
        self._records = records
        self._clock = clock
        self._lease = ""
        self._renewed_ms = 0
        self.fence = 0

    def is_valid(self) -> bool:
        """Tell whether the planner may act now, judged by its own clock."""
        age_ms = self._clock.now_ms() - self._renewed_ms
        acting_ms = self._settings.lease_ttl_ms * ACTING_FRACTION
        return self.fence > 0 and age_ms < acting_ms

    def require_valid(self) -> None:
        """Check that the lease is valid.

        :raises LeaseLostError: if the planner may not act.
        """
        if not self.is_valid():
            raise LeaseLostError(
                f"The planner lease of zone {self._settings.zone} is no longer valid.",
                "Nothing to do: a later round renews or acquires it.",
            )

    def renew_or_acquire(self) -> bool:
        """Renew the lease, or acquire it.

        :returns: false while another planner holds the lease of the zone.
        :raises StoreUnavailableError: if the store does not answer; a lease held so
            far may still be valid.
        """
        if self._lease and self.fence:
            started_ms = self._clock.now_ms()
            due_ms = self._settings.lease_ttl_ms * RENEWAL_FRACTION
            if started_ms - self._renewed_ms < due_ms:
                return True
            try:
                self._client.renew_lease(self._lease)
                self._renewed_ms = started_ms
                return True
            except LeaseLostError:
                self._clear()
        return self._acquire()

    def _acquire(self) -> bool:
        key = f"planners/{self._settings.zone}"
        if self._records.read(key) is not None:
            return False
        started_ms = self._clock.now_ms()
        lease = self._client.grant_lease(self._settings.lease_ttl_ms)
        body: dict[str, t.Any] = {"instance": self._settings.instance}
        try:
            stored = self._records.write(key, body, None, lease)
        except (StoreConflictError, LeaseLostError):
            self._client.revoke_lease(lease)
            return False
        self._lease, self._renewed_ms = lease, started_ms
        self.fence = stored.revision
        return True

    def _clear(self) -> None:
        self._lease, self.fence, self._renewed_ms = "", 0, 0

    def release(self) -> None:
        """Revoke the lease, so that another planner need not wait for its expiry."""
        if self._lease:
            try:
                self._client.revoke_lease(self._lease)
            except StoreUnavailableError:
                pass
        self._clear()

"""Store record ``pools/<zone>`` and the platform actions that establish its states."""

import dataclasses
import typing as t

from cranberrywheel.clock import Clock
from cranberrywheel.connection.store_client import StoreClient
from cranberrywheel.errors import (
    LeaseLostError,
    StoreError,
    StoreUnavailableError,
)
from cranberrywheel.logs import ComponentLogger
from cranberrywheel.process import instance_lifecycle
from cranberrywheel.process.fleet_model import (
    InstanceAssignment,
    InstanceState,
    ZonePoolsRecord,
    add_declared_workers,
    dump_zone_pools,
    parse_zone_pools,
)
from cranberrywheel.process.record_store import RecordStore
from cranberrywheel.process.zone_lease import ZoneLease
from cranberrywheel.version.configuration import Configuration
from cranberrywheel.version.records import StoredRecord

_log = ComponentLogger("planner")


class ZoneRecord:
    """Writes the states of one zone's instances and applies them at the platform.

    Each change is written first; then the platform action is repeated until the
    platform confirms it. A planner that was paused past its lease fails in both
    places: its write fails on the revision, its platform call on the fence.
    """

    def __init__(
        self,
        zone: str,
        client: StoreClient,
        records: RecordStore,
        lease: ZoneLease,
        clock: Clock,
    ) -> None:
        self._zone = zone
        self._key = f"pools/{zone}"
        self._client = client
        self._records = records
        self._lease = lease
        self._clock = clock
        self._stored: StoredRecord | None = None
        self._claimed_fence = 0
        #: Own clock reading when the platform confirmed the recorded state.
        self._confirmed_ms_by_name: dict[str, int] = {}
        self.pools = ZonePoolsRecord(fence=0, assignments_by_name={})

    def claim(self, configuration: Configuration, now_ms: int) -> bool:
        """Read the record and write this planner's fence and new workers into it.

        :param now_ms: wall clock.
        :returns: whether this is the first claim with the present fence.
        :raises LeaseLostError: if a planner with a higher fence wrote the record.
        """
        self._stored = self._records.read(self._key)
        current = parse_zone_pools(self._stored.body) if self._stored else None
        fence = self._lease.fence
        if current and current.fence > fence:
            raise LeaseLostError(
                f"A planner with fence {current.fence} wrote {self._key}; "
                f"this one has {fence}.",
                "Nothing to do: this planner stands by.",
            )
        completed = add_declared_workers(
            configuration, self._zone, current, fence, now_ms
        )
        if completed != current:
            self._write(completed)
        self.pools = completed
        is_first = self._claimed_fence != fence
        if is_first:
            # The platform must see the new fence for each instance, including those
            # that serve. Otherwise a paused planner could still drain them.
            self._confirmed_ms_by_name.clear()
            self._claimed_fence = fence
            _log.event(
                "acting as planner of the zone",
                zone=self._zone,
                fence=fence,
                instances=len(completed.assignments_by_name),
            )
        return is_first

    def _write(self, pools: ZonePoolsRecord) -> None:
        self._lease.require_valid()
        body = dump_zone_pools(pools)
        self._stored = self._records.write(self._key, body, self._stored)
        self.pools = pools

    def write_changes(
        self, assignments_by_name: t.Mapping[str, InstanceAssignment | None]
    ) -> None:
        """Write new assignments, then apply their states at the platform.

        :param assignments_by_name: new assignments; ``None`` drops an instance.
        """
        if not assignments_by_name:
            return
        maintained = dict(self.pools.maintained_ms_by_name)
        assignments = dict(self.pools.assignments_by_name)
        for name, assignment in assignments_by_name.items():
            before = assignments.pop(name)
            if assignment is None:
                maintained.pop(name, None)
                _log.event(
                    "dropping instance that left the configuration", instance=name
                )
                continue
            assignments[name] = assignment
            if before.state is InstanceState.REBOOTING:
                maintained[name] = assignment.since_ms
            _log.event(
                "changing state of instance",
                instance=name,
                before=before.state,
                after=assignment.state,
                pool=assignment.pool,
                target_pool=assignment.target_pool,
            )
        self._write(
            dataclasses.replace(
                self.pools,
                assignments_by_name=assignments,
                maintained_ms_by_name=maintained,
            )
        )
        for name in assignments_by_name:
            self._confirmed_ms_by_name.pop(name, None)
        self.apply_unconfirmed()

    def confirmation_age_ms(self, name: str) -> int | None:
        """Return the time since the platform confirmed the recorded state.

        :returns: milliseconds, or ``None`` if the platform has not confirmed it.
        """
        confirmed_ms = self._confirmed_ms_by_name.get(name)
        return None if confirmed_ms is None else self._clock.now_ms() - confirmed_ms

    def apply_unconfirmed(self) -> None:
        """Send the platform action of each recorded state that is not confirmed.

        :raises LeaseLostError: if the platform has seen a higher fence.
        """
        for name, assignment in self.pools.assignments_by_name.items():
            if name in self._confirmed_ms_by_name:
                continue
            self._lease.require_valid()
            action = instance_lifecycle.get_platform_action(assignment.state)
            try:
                accepted = self._client.control_instance(
                    name, action, self._lease.fence
                )
            except StoreUnavailableError:
                raise
            except StoreError as error:
                # The platform does not list the instance, so there is nothing to
                # act on yet.
                _log.event(
                    "platform action refused; retrying next round",
                    instance=name,
                    cause=error.message,
                )
                continue
            if not accepted:
                raise LeaseLostError(
                    f"The platform saw a higher fence than {self._lease.fence} for "
                    f"{name}.",
                    "Nothing to do: this planner stands by.",
                )
            self._confirmed_ms_by_name[name] = self._clock.now_ms()

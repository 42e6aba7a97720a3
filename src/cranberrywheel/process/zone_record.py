"""The record ``pools/<zone>`` and what the platform was asked to do because of it."""

import dataclasses
import typing as t

from cranberrywheel.clock import Clock
from cranberrywheel.connection.store_client import StoreClient
from cranberrywheel.errors import (
    LeaseLostError,
    StoreError,
    StoreUnavailableError,
)
from cranberrywheel.logs import PartLogger
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

_log = PartLogger("planner")


class ZoneRecord:
    """Changes the states of one zone's instances.

    Each change is written first and repeated at the platform until it is confirmed.
    A paused planner fails in both places: the write on its revision, the platform
    call on its fence.
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
        #: Clock reading at which the platform confirmed the recorded state.
        self._confirmed_ms_by_name: dict[str, int] = {}
        self.pools = ZonePoolsRecord(fence=0, assignments_by_name={})

    def claim(self, configuration: Configuration, now_ms: int) -> bool:
        """Read the record, write the own fence into it and add new workers.

        :returns: whether this is the first claim with the present fence.
        :raises LeaseLostError: if a later planner wrote the record.
        """
        self._stored = self._records.read(self._key)
        known = parse_zone_pools(self._stored.body) if self._stored else None
        fence = self._lease.fence
        if known and known.fence > fence:
            raise LeaseLostError("A later planner wrote the pools.", "Stand by.")
        seeded = add_declared_workers(configuration, self._zone, known, fence, now_ms)
        if seeded != known:
            self._write(seeded)
        self.pools = seeded
        is_first = self._claimed_fence != fence
        if is_first:
            # The platform must see the new fence for each instance, also for those
            # that serve: a paused planner could otherwise still drain them.
            self._confirmed_ms_by_name.clear()
            self._claimed_fence = fence
            _log.event(
                "acting for the zone",
                zone=self._zone,
                fence=fence,
                instances=len(seeded.assignments_by_name),
            )
        return is_first

    def _write(self, pools: ZonePoolsRecord) -> None:
        self._lease.check()
        body = dump_zone_pools(pools)
        self._stored = self._records.write(self._key, body, self._stored)
        self.pools = pools

    def change(
        self, assignments_by_name: t.Mapping[str, InstanceAssignment | None]
    ) -> None:
        """Record new states, then make them true at the platform.

        :param rows_by_name: new rows; ``None`` drops an instance.
        """
        if not assignments_by_name:
            return
        maintained = dict(self.pools.maintained_ms_by_name)
        assignments = dict(self.pools.assignments_by_name)
        for name, assignment in assignments_by_name.items():
            before = assignments.pop(name)
            if assignment is None:
                maintained.pop(name, None)
                _log.event("instance left the configuration", instance=name)
                continue
            assignments[name] = assignment
            if before.state is InstanceState.REBOOTING:
                maintained[name] = assignment.since_ms
            _log.event(
                "instance changes state",
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
        self.confirm()

    def confirmation_age_ms(self, name: str) -> int | None:
        """Return how long ago the platform confirmed the recorded state.

        :returns: milliseconds, or ``None`` if it has not confirmed it.
        """
        confirmed_ms = self._confirmed_ms_by_name.get(name)
        return None if confirmed_ms is None else self._clock.now_ms() - confirmed_ms

    def confirm(self) -> None:
        """Repeat the recorded states that the platform has not confirmed.

        :raises LeaseLostError: if a later planner acts for the zone.
        """
        for name, assignment in self.pools.assignments_by_name.items():
            if name in self._confirmed_ms_by_name:
                continue
            self._lease.check()
            action = instance_lifecycle.get_platform_action(assignment.state)
            try:
                accepted = self._client.control_instance(
                    name, action, self._lease.fence
                )
            except StoreUnavailableError:
                raise
            except StoreError as error:
                # The instance list does not show it, so there is nothing to act on.
                _log.event("action postponed", instance=name, cause=error.message)
                continue
            if not accepted:
                raise LeaseLostError(
                    f"The platform saw a later fence for {name}.", "Stand by."
                )
            self._confirmed_ms_by_name[name] = self._clock.now_ms()

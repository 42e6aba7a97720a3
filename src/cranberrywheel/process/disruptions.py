"""The store record ``disruptions``: instances out on purpose, per service."""

import typing as t

from cranberrywheel.process.fleet_model import group_services_by_pool
from cranberrywheel.process.record_store import RecordStore
from cranberrywheel.version.configuration import Configuration
from cranberrywheel.version.records import StoredRecord

KEY = "disruptions"


class Disruptions:
    """Reads and changes the record by compare-and-swap."""

    def __init__(self, records: RecordStore) -> None:
        self._records = records
        self._stored: StoredRecord | None = None

    def read(self) -> dict[str, tuple[str, ...]]:
        """Read which instances are out, per service.

        A plan reads this before the pools of other zones: an instance leaves the
        list after its pool record shows it in service, so it is never missing from
        both.
        """
        self._stored = self._records.read(KEY)
        out = self._stored.body["out"] if self._stored else {}
        return {service: tuple(names) for service, names in out.items()}

    def change(
        self,
        configuration: Configuration,
        out_pools_by_name: t.Mapping[str, str],
        removed: t.Collection[str] = (),
    ) -> None:
        """Write which instances are out, against the version last read.

        :param out_pools_by_name: instances to list under the services of their pool,
            and under no other.
        :param removed: instances to list nowhere unless they are out.
        :raises StoreConflictError: another planner changed the record; the plan
            that led to this change no longer holds.
        """
        present = self._stored.body["out"] if self._stored else {}
        out = {
            service: {n for n in names if n not in {*removed, *out_pools_by_name}}
            for service, names in present.items()
        }
        names_by_pool = group_services_by_pool(configuration)
        for name, pool in out_pools_by_name.items():
            for service in names_by_pool.get(pool, ()):
                out.setdefault(service, set()).add(name)
        listed = {service: sorted(names) for service, names in out.items() if names}
        if listed != present:
            self._stored = self._records.write(KEY, {"out": listed}, self._stored)

"""Store record ``disruptions``: instances taken out deliberately, by service."""

import typing as t

from cranberrywheel.process.fleet_model import group_services_by_pool
from cranberrywheel.process.record_store import RecordStore
from cranberrywheel.version.configuration import Configuration
from cranberrywheel.version.records import StoredRecord

DISRUPTIONS_KEY = "disruptions"


class Disruptions:
    """Reads the record and changes it by compare-and-swap."""

    def __init__(self, records: RecordStore) -> None:
        self._records = records
        self._stored: StoredRecord | None = None

    def read(self) -> dict[str, tuple[str, ...]]:
        """Read the names of the instances that are out, by service.

        A plan must read this record before the pools of other zones. An instance is
        removed from this record only after its pools record shows it in service, so
        in this order at least one of the two shows an instance that is out.
        """
        self._stored = self._records.read(DISRUPTIONS_KEY)
        out = self._stored.body["out"] if self._stored else {}
        return {service: tuple(names) for service, names in out.items()}

    def change(
        self,
        configuration: Configuration,
        out_pools_by_name: t.Mapping[str, str],
        removed: t.Collection[str] = (),
    ) -> None:
        """Write changes to the version of the record that was last read.

        :param out_pools_by_name: instances to list under the services of the given
            pool, and under no other service.
        :param removed: instances to remove unless ``out_pools_by_name`` lists them.
        :raises StoreConflictError: if another planner changed the record; the plan
            behind this change is then no longer valid.
        """
        present = self._stored.body["out"] if self._stored else {}
        out = {
            service: {
                name for name in names if name not in {*removed, *out_pools_by_name}
            }
            for service, names in present.items()
        }
        names_by_pool = group_services_by_pool(configuration)
        for name, pool in out_pools_by_name.items():
            for service in names_by_pool.get(pool, ()):
                out.setdefault(service, set()).add(name)
        names_by_service = {
            service: sorted(names) for service, names in out.items() if names
        }
        if names_by_service != present:
            self._stored = self._records.write(
                DISRUPTIONS_KEY, {"out": names_by_service}, self._stored
            )

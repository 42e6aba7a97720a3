"""The store record ``disruptions``: instances out on purpose, per service."""

import typing as t

from cranberrywheel.process.fleet_model import services_by_pool
from cranberrywheel.process.record_store import RecordStore, StoredBody
from cranberrywheel.version.configuration import Configuration

KEY = "disruptions"


class Disruptions:
    """Reads and changes the record by compare-and-swap."""

    def __init__(self, records: RecordStore) -> None:
        self._records = records
        self._stored: StoredBody | None = None

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
        added_pools_by_name: t.Mapping[str, str],
        removed: t.Collection[str] = (),
    ) -> None:
        """Add and remove instances against the version last read.

        :param added_pools_by_name: pools of the instances to add.
        :raises StoreConflictError: another planner changed the record; the plan
            that led to this change no longer holds.
        """
        present = self._stored.body["out"] if self._stored else {}
        out = {
            service: [name for name in names if name not in removed]
            for service, names in present.items()
        }
        names_by_pool = services_by_pool(configuration)
        for name, pool in added_pools_by_name.items():
            for service in names_by_pool.get(pool, ()):
                names = out.setdefault(service, [])
                if name not in names:
                    names.append(name)
        out = {service: names for service, names in out.items() if names}
        if out != present:
            self._stored = self._records.write(KEY, {"out": out}, self._stored)
